//! What a keeper answers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;

use super::book::FactBook;
use super::disk::{DiskState, FactDisk, RecoveredFacts};
use super::message::{
    ChainAnswer, FactRecord, KeeperEnvelope, KeeperReply, KeeperRequest, ProgramLedger,
};
use super::placement::{KeeperPlacement, PlacementGeneration};
use crate::observe::Logbook;

/// Bytes that segments may hold beyond twice the live ones before they are compacted.
const COMPACTION_SLACK: u64 = 24 << 20;

struct KeeperState {
    book: FactBook,
    disk_state: DiskState,
    /// Generation below which requests are refused.
    generation: PlacementGeneration,
    written_bytes: u64,
    /// Whether the disk has refused facts that are in memory: all are written again when it takes them.
    unwritten: bool,
}

#[derive(Serialize)]
struct PlacementLine<'line> {
    generation: PlacementGeneration,
    slots: Vec<&'line SmolStr>,
}

#[derive(Serialize)]
struct CompletenessLine {
    complete: bool,
    turns: usize,
    live_bytes: usize,
}

/// A keeper; cloning it is cheap.
#[derive(Clone)]
pub struct KeeperService {
    state: Arc<Mutex<KeeperState>>,
    disk: FactDisk,
}

impl KeeperService {
    /// Starts with what the disk held.
    #[must_use]
    pub fn new(disk: FactDisk, recovered: RecoveredFacts, first_start: bool) -> Self {
        let fresh = DiskState {
            complete: first_start,
            ..DiskState::default()
        };
        let disk_state = recovered.state.unwrap_or(fresh);
        let state = KeeperState {
            book: recovered.book,
            generation: disk_state.placement.generation,
            disk_state,
            written_bytes: recovered.bytes,
            unwritten: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            disk,
        }
    }

    fn with<Output>(&self, action: impl FnOnce(&mut KeeperState) -> Output) -> Output {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut state)
    }

    /// Answers a request.
    pub async fn answer(&self, envelope: KeeperEnvelope) -> KeeperReply {
        if let Some(newer) = self.check_generation(envelope.generation) {
            return KeeperReply::NewerPlacement(newer);
        }
        let now = Instant::now();
        match envelope.request {
            KeeperRequest::Reserve(fact) => {
                let Some(ledger) = self.store(fact, now).await else {
                    return KeeperReply::NotStored;
                };
                KeeperReply::Reserved {
                    ledger,
                    complete: self.is_complete(),
                }
            }
            KeeperRequest::Store(fact) => match self.store(fact, now).await {
                Some(_) => KeeperReply::Stored,
                None => KeeperReply::NotStored,
            },
            KeeperRequest::Note(fact) => {
                self.with(|state| state.take(&fact, now));
                self.disk.note(fact);
                KeeperReply::Stored
            }
            KeeperRequest::Chain(turn) => {
                let answer = self.with(|state| match state.book.chain(&turn, now) {
                    Some(chain) => chain.into(),
                    None if state.disk_state.complete => ChainAnswer::Absent,
                    None => ChainAnswer::Unknown,
                });
                KeeperReply::Chain(answer)
            }
            KeeperRequest::Export { part } => self.with(|state| KeeperReply::Part {
                export: state.book.export(part),
                complete: state.disk_state.complete,
            }),
            KeeperRequest::Probe => KeeperReply::Alive {
                complete: self.is_complete(),
            },
        }
    }

    /// Returns the newer placement where the sender's is old; adopts a newer generation.
    ///
    /// Once a keeper has heard of a placement it takes nothing more under an older one: a fact that it
    /// acknowledged before is in what it hands to the instance that takes over a slot.
    fn check_generation(&self, generation: PlacementGeneration) -> Option<KeeperPlacement> {
        self.with(|state| {
            if generation >= state.generation {
                state.generation = generation;
                return None;
            }
            Some(state.disk_state.placement.clone())
        })
    }

    /// Takes a fact and resolves, once it is durable, to what is known of its program.
    async fn store(&self, fact: FactRecord, now: Instant) -> Option<ProgramLedger> {
        let ledger = self.with(|state| {
            state.take(&fact, now);
            state.book.ledger(program_of(&fact))
        });
        self.append(vec![fact]).await.then_some(ledger)
    }

    /// Takes facts of another keeper while rebuilding; resolves to whether they are durable.
    ///
    /// Facts that are known already are on their way to the disk, in front of the last one here.
    pub async fn take_part(&self, facts: Vec<FactRecord>) -> bool {
        let now = Instant::now();
        let new = self.with(|state| {
            let all = state.unwritten;
            let new = facts
                .into_iter()
                .filter(|fact| state.take(fact, now) || all);
            new.collect::<Vec<_>>()
        });
        new.is_empty() || self.append(new).await
    }

    async fn append(&self, facts: Vec<FactRecord>) -> bool {
        let durable = self.disk.append_all(facts).await;
        if !durable {
            self.with(|state| state.unwritten = true);
        }
        durable
    }

    /// Returns whether the keeper has everything that it ever stored.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.with(|state| state.disk_state.complete)
    }

    /// Returns the newest placement that the keeper knows.
    #[must_use]
    pub fn placement(&self) -> KeeperPlacement {
        self.with(|state| state.disk_state.placement.clone())
    }

    /// Returns the state that lasts beside facts.
    #[must_use]
    pub fn disk_state(&self) -> DiskState {
        self.with(|state| state.disk_state.clone())
    }

    /// Takes a newer placement.
    pub async fn adopt_placement(&self, placement: KeeperPlacement) {
        let newer = self.with(|state| {
            if placement.generation <= state.disk_state.placement.generation {
                return false;
            }
            state.generation = state.generation.max(placement.generation);
            state.disk_state.placement = placement.clone();
            true
        });
        if !newer {
            return;
        }
        let line = PlacementLine {
            generation: placement.generation,
            slots: placement.slots.iter().map(|slot| &slot.name).collect(),
        };
        Logbook::of_process().record("placement", &line);
        self.remember().await;
    }

    /// Notes whether the keeper has everything that it ever stored; durable when it resolves to true.
    pub async fn set_complete(&self, complete: bool) -> bool {
        let line = self.with(|state| {
            state.disk_state.complete = complete;
            CompletenessLine {
                complete,
                turns: state.book.turn_count(),
                live_bytes: state.book.live_bytes(),
            }
        });
        Logbook::of_process().record("keeper-complete", &line);
        self.remember().await
    }

    /// Notes the deployment's authority.
    pub async fn set_authority(&self, authority: &str, key: &str) -> bool {
        self.with(|state| {
            state.disk_state.authority = authority.into();
            state.disk_state.authority_key = key.into();
        });
        self.remember().await
    }

    async fn remember(&self) -> bool {
        self.disk.remember(self.disk_state()).await
    }

    /// Drops what nobody has used for its time, and compacts the disk where that pays.
    pub async fn expire(&self) {
        let compacts = self.with(|state| {
            state.book.expire(Instant::now());
            let live_bytes = state.book.live_bytes() as u64;
            let over = state.written_bytes > 2 * live_bytes + COMPACTION_SLACK;
            let compacts = over || state.unwritten;
            if compacts {
                state.written_bytes = live_bytes;
            }
            compacts
        });
        if !compacts {
            return;
        }
        // Part by part, so that memory never holds a second copy of everything.
        let mut whole = self.disk.begin_segment().await;
        for part in 0..super::book::EXPORT_PARTS {
            let live = self.with(|state| state.book.export(part)).into_facts();
            whole &= live.is_empty() || self.disk.append_all(live).await;
        }
        if whole {
            self.with(|state| state.unwritten = false);
            self.disk.drop_older();
        }
    }
}

impl KeeperState {
    fn take(&mut self, fact: &FactRecord, now: Instant) -> bool {
        self.written_bytes += match fact {
            FactRecord::Reservation { .. } => 80,
            FactRecord::Turn(turn) => (turn.input.len() + turn.output.len() + 120) as u64,
        };
        self.book.take(fact, now)
    }
}

fn program_of(fact: &FactRecord) -> &str {
    match fact {
        FactRecord::Reservation { program, .. } => program,
        FactRecord::Turn(turn) => &turn.program,
    }
}
