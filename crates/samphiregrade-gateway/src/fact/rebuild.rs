//! Reading back what a keeper without its disk had stored.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::task::JoinSet;

use super::book::EXPORT_PARTS;
use super::message::{KeeperEnvelope, KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use super::service::KeeperService;
use crate::link::LinkEndpoint;
use crate::observe::Logbook;

/// Longest wait for one part: at the size of a small disk it is well under a megabyte.
const PART_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between two rounds over keepers that could not be read.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Parts that are asked for at once: each waits for a round trip and a sync.
const PARTS_AT_ONCE: usize = 4;

/// What was read of another keeper.
#[derive(Clone, Debug)]
struct ReadSource {
    name: SmolStr,
    complete: bool,
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
        if placement.slot_of(own_name).is_some() {
            read.retain(|source| placement.slot_of(&source.name).is_some());
            read_sources(service, links, own_name, &placement, &mut read).await;
            if is_enough(&read, &placement) {
                service.set_complete(true).await;
                return;
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

async fn read_sources(
    service: &KeeperService,
    links: &LinkEndpoint,
    own_name: &str,
    placement: &KeeperPlacement,
    read: &mut Vec<ReadSource>,
) {
    for slot in &placement.slots {
        let whole = read
            .iter()
            .any(|source| source.name == slot.name && source.complete);
        if slot.name == own_name || whole {
            continue;
        }
        if let Some(complete) = read_keeper(service, links, slot).await {
            read.retain(|source| source.name != slot.name);
            read.push(ReadSource {
                name: slot.name.clone(),
                complete,
            });
        }
    }
}

fn is_enough(read: &[ReadSource], placement: &KeeperPlacement) -> bool {
    let complete = read.iter().filter(|source| source.complete).count();
    complete >= placement.rebuild_sources() || read.len() + 1 >= placement.slots.len()
}

#[derive(Serialize)]
struct RebuildLine<'line> {
    source: &'line str,
    facts: usize,
    complete: bool,
    failure: &'line str,
}

/// Reads all parts of one keeper; returns whether it has lost nothing, `None` where not all of it is durable
/// here.
async fn read_keeper(
    service: &KeeperService,
    links: &LinkEndpoint,
    source: &KeeperSlot,
) -> Option<bool> {
    let mut reading = JoinSet::new();
    let mut parts = 0..EXPORT_PARTS;
    let mut facts = 0;
    let mut complete = true;
    let mut failure = None;
    loop {
        while reading.len() < PARTS_AT_ONCE && failure.is_none() {
            let Some(part) = parts.next() else {
                break;
            };
            let (service, links, address) = (service.clone(), links.clone(), source.address);
            reading.spawn(async move { read_part(&service, &links, address, part).await });
        }
        match reading.join_next().await {
            None => break,
            Some(Ok(Ok(part))) => {
                facts += part.facts;
                complete &= part.complete;
            }
            Some(Ok(Err(error))) => failure = Some(error),
            Some(Err(error)) => failure = Some(error.to_string()),
        }
    }
    let line = RebuildLine {
        source: &source.name,
        facts,
        complete,
        failure: failure.as_deref().unwrap_or_default(),
    };
    Logbook::of_process().record("rebuild", &line);
    failure.is_none().then_some(complete)
}

/// What one part brought.
struct ReadPart {
    facts: usize,
    complete: bool,
}

/// Reads one part; returns why where it is not whole here.
async fn read_part(
    service: &KeeperService,
    links: &LinkEndpoint,
    address: SocketAddr,
    part: u8,
) -> Result<ReadPart, String> {
    let envelope = KeeperEnvelope {
        generation: service.placement().generation,
        request: KeeperRequest::Export { part },
    };
    let reply = links.ask(address, &envelope, PART_TIMEOUT).await;
    match reply.map_err(|error| error.to_string())? {
        KeeperReply::Part { export, complete } => {
            let facts = export.into_facts();
            let count = facts.len();
            if !service.take_part(facts).await {
                return Err("not durable here".to_owned());
            }
            Ok(ReadPart {
                facts: count,
                complete,
            })
        }
        KeeperReply::NewerPlacement(_) => Err("it knows a newer placement".to_owned()),
        _ => Err("it gave another reply than was asked for".to_owned()),
    }
}
