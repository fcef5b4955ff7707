//! Reading back what a keeper without its disk had stored.

use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::task::JoinSet;

use super::book::EXPORT_PARTS;
use super::message::{ExportRequest, KeeperAnswer, KeeperEnvelope, KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use super::service::KeeperService;
use crate::link::LinkEndpoint;
use crate::observe::Logbook;

/// Longest wait for one part: at the size of a small disk it is well under a megabyte.
const PART_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between two rounds over keepers that could not be read.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Parts that are read at once: each waits for round trips and syncs.
const PARTS_AT_ONCE: usize = 6;

/// What was read of another keeper.
#[derive(Clone, Debug, Serialize)]
struct ReadSource {
    name: SmolStr,
    /// Facts that were new here.
    facts: usize,
    /// Whether it has lost nothing.
    complete: bool,
    /// Why not all of it is here; empty where all of it is.
    failure: String,
}

/// Reads all facts of the other keepers; ends when nothing more can be learnt.
///
/// Any fact that this keeper had acknowledged was acknowledged by a majority; so enough complete keepers
/// among the others, so that every majority is met, have it among them. Where there are too few of these,
/// because too many disks were lost at once, all that is left is in the others: it ends when each of them
/// has been read.
pub async fn rebuild_from_others(service: &KeeperService, links: &LinkEndpoint, own_name: &str) {
    let mut read: Vec<ReadSource> = Vec::new();
    while !service.is_complete() {
        let placement = service.placement();
        if let Some(own) = placement.slot_of(own_name) {
            read.retain(|source| placement.slot_of(&source.name).is_some());
            let sources = unread(&placement, own, &read);
            for source in read_sources(service, links, own, sources).await {
                Logbook::global().record("rebuild", &source);
                if source.failure.is_empty() {
                    read.retain(|known| known.name != source.name);
                    read.push(source);
                }
            }
            if is_enough(&read, &placement) {
                service.set_complete(true).await;
                return;
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Returns the keepers of which not everything has been read.
fn unread(placement: &KeeperPlacement, own: usize, read: &[ReadSource]) -> Vec<KeeperSlot> {
    let whole = |slot: &KeeperSlot| {
        let mut known = read.iter();
        known.any(|source| source.name == slot.name && source.complete)
    };
    let slots = placement.slots.iter().enumerate();
    let others = slots.filter(|&(index, slot)| index != own && !whole(slot));
    others.map(|(_, slot)| slot.clone()).collect()
}

fn is_enough(read: &[ReadSource], placement: &KeeperPlacement) -> bool {
    let complete = read.iter().filter(|source| source.complete).count();
    complete >= placement.rebuild_sources() || read.len() + 1 >= placement.slots.len()
}

/// Reads part by part, each from one source after the other, so that a fact comes over the network once.
async fn read_sources(
    service: &KeeperService,
    links: &LinkEndpoint,
    own: usize,
    sources: Vec<KeeperSlot>,
) -> Vec<ReadSource> {
    let mut results: Vec<ReadSource> = sources.iter().map(unread_source).collect();
    let mut reading = JoinSet::new();
    let mut parts = 0..EXPORT_PARTS;
    loop {
        while reading.len() < PARTS_AT_ONCE {
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

fn unread_source(slot: &KeeperSlot) -> ReadSource {
    ReadSource {
        name: slot.name.clone(),
        facts: 0,
        complete: true,
        failure: String::new(),
    }
}

/// What one part brought.
struct ReadPart {
    facts: usize,
    complete: bool,
}

/// Reads one part of all sources; returns for each what came, or why it is not whole here.
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
            known: service.known_turns(part),
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
            let taken = service.take_part(facts).await;
            let facts = taken.ok_or_else(|| "not durable here".to_owned())?;
            Ok(ReadPart { facts, complete })
        }
        KeeperReply::NewerPlacement(_) => Err("it knows a newer placement".to_owned()),
        _ => Err("it can't read its own facts now".to_owned()),
    }
}
