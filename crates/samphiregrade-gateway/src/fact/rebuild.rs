//! Rebuilds a keeper that has lost its disk from the facts of the other keepers.

use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use tokio::task::JoinSet;

use super::book::EXPORT_PARTS;
use super::message::{ExportRequest, KeeperAnswer, KeeperEnvelope, KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use super::service::KeeperService;
use crate::link::LinkEndpoint;
use crate::observe::Logbook;

/// Timeout of a request for one part, which is well under a megabyte for a small disk.
const PART_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay between two rounds over the keepers that have not been read completely.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Time for which a keeper waits for complete sources: others that rebuild at the same moment are complete within it.
const SOURCE_WAIT: Duration = Duration::from_secs(5);

/// Number of parts read concurrently: each of them waits for round trips and syncs.
const CONCURRENT_PARTS: usize = 6;

/// Progress of reading another keeper's facts.
#[derive(Clone, Debug, Serialize)]
struct SourceProgress {
    name: SmolStr,
    /// Number of facts received.
    facts: usize,
    /// Whether the other keeper is complete.
    complete: bool,
    /// Why not all of its facts are durable here; empty if they are.
    failure: String,
}

/// Reads all facts of the other keepers; returns when no further facts can be recovered.
///
/// The keeper that left the slot as planned has everything that its successor needs. Without one, a fact that this keeper had
/// acknowledged was stored by a majority, so it is found once the complete keepers among those read include a member of every
/// majority. If there are too few complete keepers for a while because too many disks were lost at once, the other keepers have
/// all that is left, and the function returns when each of them has been read.
pub async fn rebuild_from_others(service: &KeeperService, links: &LinkEndpoint, own_name: &str) {
    let mut sources_read: Vec<SourceProgress> = Vec::new();
    let began = Instant::now();
    while !service.is_complete() {
        let placement = service.placement();
        if let Some(own) = placement.slot_of(own_name) {
            let departed = placement.departed_from(own).map(|slot| slot.name.clone());
            sources_read.retain(|source| {
                placement.slot_of(&source.name).is_some() || departed.as_ref() == Some(&source.name)
            });
            let sources = remaining_sources(&placement, own, &sources_read);
            for source in read_sources(service, links, own, sources).await {
                Logbook::global().record("rebuild", &source);
                if source.failure.is_empty() {
                    sources_read.retain(|known| known.name != source.name);
                    sources_read.push(source);
                }
            }
            let has_waited = began.elapsed() >= SOURCE_WAIT;
            if is_sufficient(&sources_read, &placement, own, has_waited) {
                if departed.is_none() {
                    service.set_complete(true).await;
                    return;
                }
                service.await_release();
            }
        }
        tokio::time::sleep(ROUND_DELAY).await;
    }
}

/// Returns the other keepers, without the complete ones that have been read already.
fn remaining_sources(
    placement: &KeeperPlacement,
    own: usize,
    sources_read: &[SourceProgress],
) -> Vec<KeeperSlot> {
    let is_read = |slot: &KeeperSlot| {
        let mut known = sources_read.iter();
        known.any(|source| source.name == slot.name && source.complete)
    };
    let slots = placement.slots.iter().enumerate();
    let others = slots.filter(|&(index, _)| index != own);
    let departed = placement.departed_from(own).into_iter();
    let sources = departed.chain(others.map(|(_, slot)| slot));
    sources.filter(|slot| !is_read(slot)).cloned().collect()
}

fn is_sufficient(
    sources_read: &[SourceProgress],
    placement: &KeeperPlacement,
    own: usize,
    has_waited: bool,
) -> bool {
    let departed = placement.departed_from(own);
    let is_departed =
        |source: &&SourceProgress| departed.is_some_and(|slot| slot.name == source.name);
    if sources_read
        .iter()
        .filter(is_departed)
        .any(|source| source.complete)
    {
        return true;
    }
    let others: Vec<_> = sources_read
        .iter()
        .filter(|source| !is_departed(source))
        .collect();
    let complete = others.iter().filter(|source| source.complete).count();
    let all_read = others.len() + 1 >= placement.slots.len();
    complete >= placement.rebuild_sources() || (has_waited && all_read)
}

/// Reads part by part, each from one source after the other, so that a fact is transferred only once.
async fn read_sources(
    service: &KeeperService,
    links: &LinkEndpoint,
    own: usize,
    sources: Vec<KeeperSlot>,
) -> Vec<SourceProgress> {
    let mut results: Vec<SourceProgress> = sources.iter().map(new_progress).collect();
    let mut reading = JoinSet::new();
    let mut parts = 0..EXPORT_PARTS;
    loop {
        while reading.len() < CONCURRENT_PARTS {
            let Some(part) = parts.next() else {
                break;
            };
            let (service, links, sources) = (service.clone(), links.clone(), sources.clone());
            reading.spawn(async move { read_part(&service, &links, own, &sources, part).await });
        }
        let Some(joined) = reading.join_next().await else {
            return results;
        };
        for (result, outcome) in results.iter_mut().zip(joined.unwrap_or_default()) {
            match outcome {
                Ok(part) => {
                    result.facts += part.facts;
                    result.complete &= part.complete;
                }
                Err(failure) => result.failure = failure,
            }
        }
    }
}

fn new_progress(slot: &KeeperSlot) -> SourceProgress {
    SourceProgress {
        name: slot.name.clone(),
        facts: 0,
        complete: true,
        failure: String::new(),
    }
}

/// Result of reading one part of a source.
struct ReadPart {
    facts: usize,
    complete: bool,
}

/// Reads one part of all sources; returns for each source the result, or why the part is not completely durable here.
async fn read_part(
    service: &KeeperService,
    links: &LinkEndpoint,
    own: usize,
    sources: &[KeeperSlot],
    part: u8,
) -> Vec<Result<ReadPart, String>> {
    let mut outcomes = Vec::with_capacity(sources.len());
    for source in sources {
        let request = ExportRequest {
            placement: service.placement(),
            part,
            slot: Some(own),
            known: service.known_digests(part),
        };
        outcomes.push(read_export(service, links, source, request).await);
    }
    outcomes
}

async fn read_export(
    service: &KeeperService,
    links: &LinkEndpoint,
    source: &KeeperSlot,
    request: ExportRequest,
) -> Result<ReadPart, String> {
    let generation = request.placement.generation;
    let envelope = KeeperEnvelope::between_keepers(generation, KeeperRequest::Export(request));
    let answer = links.request(source.address, &envelope, PART_TIMEOUT).await;
    let KeeperAnswer { reply, .. } = answer.map_err(|error| error.to_string())?;
    match reply {
        KeeperReply::Part { facts, complete } => {
            let accepted = service.import_part(facts).await;
            let facts = accepted.ok_or_else(|| "the facts are not durable here".to_owned())?;
            Ok(ReadPart { facts, complete })
        }
        KeeperReply::NewerPlacement(_) => Err("the keeper knows a newer placement".to_owned()),
        _ => Err("the keeper can't read its own facts now".to_owned()),
    }
}
