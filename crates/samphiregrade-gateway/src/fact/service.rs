//! What a keeper answers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use smol_str::SmolStr;

use super::book::{FactIndex, FactPart, TurnContent};
use super::disk::{DiskState, FactDisk, RecoveredFacts};
use super::helper::FollowerTable;
use super::message::{
    ChainAnswer, ExportRequest, FactRecord, KeeperAnswer, KeeperEnvelope, KeeperReply,
    KeeperRequest, ProgramLedger,
};
use super::placement::{KeeperPlacement, PlacementGeneration};
use crate::limits::{LedgerTime, LimitLedger, LimitRule};
use crate::model::TurnId;
use crate::observe::Logbook;
use crate::store::{ProofCache, StoreMirror};
use crate::upstream::{OutcomeTable, RunTable, UpstreamSuspect};

/// Bytes that segments may hold beyond twice the live ones before they are compacted.
const COMPACTION_SLACK: u64 = 24 << 20;

#[derive(Serialize)]
struct SizeLine {
    turns: usize,
    programs: usize,
    live_bytes: usize,
    written_bytes: u64,
    resident_bytes: u64,
}

/// Returns the memory that the process holds, as the system tells it; 0 where it doesn't.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Bytes that are written to disk at a time while facts are read or written again in bulk.
const GROUP_BYTES: usize = 256 << 10;

struct KeeperState {
    book: FactIndex,
    disk_state: DiskState,
    written_bytes: u64,
    /// Whether the disk has refused facts that are in memory: all are written again when it takes them.
    unwritten: bool,
    /// What entries tell of upstreams; memory only, since it is over within seconds.
    outcomes: OutcomeTable,
    /// What runs at the upstreams for which the keeper accounts; memory only too.
    runs: RunTable,
    /// Entries that follow this keeper.
    followers: FollowerTable,
    /// Organisations to which the keeper is home.
    limits: LimitLedger,
    limit_clock: LimitClock,
}

/// The clock of a home, which goes on where it stood when it starts again.
struct LimitClock {
    start: LedgerTime,
    since: Instant,
}

impl LimitClock {
    fn now(&self) -> LedgerTime {
        self.start + self.since.elapsed()
    }
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
    mirror: Arc<StoreMirror>,
    proofs: Arc<ProofCache>,
}

impl KeeperService {
    /// Starts with what the disk held.
    #[must_use]
    pub fn new(
        disk: FactDisk,
        recovered: RecoveredFacts,
        first_start: bool,
        limit_rule: LimitRule,
    ) -> Self {
        let mut limits = LimitLedger::new(limit_rule);
        limits.restore(&recovered.limit_uses, recovered.limits_at);
        let fresh = DiskState {
            complete: first_start,
            ..DiskState::default()
        };
        let disk_state = recovered.state.unwrap_or(fresh);
        let state = KeeperState {
            book: recovered.book,
            disk_state,
            written_bytes: recovered.bytes,
            unwritten: false,
            outcomes: OutcomeTable::default(),
            runs: RunTable::new(Instant::now()),
            followers: FollowerTable::default(),
            limits,
            limit_clock: LimitClock {
                start: recovered.limits_at,
                since: Instant::now(),
            },
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            disk,
            mirror: Arc::default(),
            proofs: Arc::default(),
        }
    }

    /// Returns what the keeper knows of the key-value service, for those who follow it here.
    #[must_use]
    pub fn mirror(&self) -> &Arc<StoreMirror> {
        &self.mirror
    }

    /// Returns what the keeper has proved of the configuration.
    #[must_use]
    pub fn proofs(&self) -> &Arc<ProofCache> {
        &self.proofs
    }

    fn with<Output>(&self, action: impl FnOnce(&mut KeeperState) -> Output) -> Output {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut state)
    }

    /// Answers a request.
    pub async fn answer(&self, envelope: KeeperEnvelope) -> KeeperAnswer {
        let reply = self.reply_to(envelope).await;
        KeeperAnswer {
            revision: self.mirror.revision(),
            reply,
        }
    }

    async fn reply_to(&self, envelope: KeeperEnvelope) -> KeeperReply {
        let now = Instant::now();
        self.with(|state| {
            state.outcomes.take(&envelope.outcomes, now);
            if envelope.sender != 0 {
                let heard = state.limit_clock.now();
                state.limits.record_contact(envelope.sender, heard);
            }
        });
        if let KeeperRequest::Export(request) = &envelope.request {
            self.adopt_placement(request.placement.clone()).await;
        }
        if let Some(newer) = self.newer_placement(envelope.generation) {
            return KeeperReply::NewerPlacement(newer);
        }
        match envelope.request {
            KeeperRequest::Reserve(fact) => {
                let Some(ledger) = self.store(fact, now).await else {
                    return KeeperReply::NotStored;
                };
                KeeperReply::Reserved {
                    ledger,
                    complete: self.is_complete(),
                    suspects: self.suspects(),
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
            KeeperRequest::Chain(turn) => KeeperReply::Chain(self.chain(&turn, now).await),
            KeeperRequest::Export(request) => match self.export(&request).await {
                Some(facts) => KeeperReply::Part {
                    facts,
                    complete: self.is_complete(),
                },
                None => KeeperReply::NotStored,
            },
            KeeperRequest::Probe => KeeperReply::Alive {
                complete: self.is_complete(),
                suspects: self.suspects(),
            },
            KeeperRequest::RunBegan(start) => {
                self.with(|state| state.runs.begin(start, now));
                KeeperReply::Noted
            }
            KeeperRequest::RunEnded(end) => {
                self.with(|state| state.runs.end(end));
                KeeperReply::Noted
            }
            KeeperRequest::Accounts(question) => KeeperReply::Accounts {
                accounts: self.with(|state| state.runs.answer(&question, now)),
                suspects: self.suspects(),
                helper: self.with(|state| state.followers.next(None, now)),
            },
            KeeperRequest::Confirm => KeeperReply::Confirmed(self.proofs.answer().await),
            KeeperRequest::Allowance(ask) => KeeperReply::Allowance(self.with(|state| {
                let now = state.limit_clock.now();
                state.limits.answer(&ask, now)
            })),
            KeeperRequest::Follow { request, follower } => {
                let helper = self.with(|state| {
                    let helper = state.followers.next(Some(&follower.name), now);
                    state.followers.note(follower, now);
                    helper
                });
                KeeperReply::Stream {
                    reply: self.mirror.answer(request).await,
                    helper,
                }
            }
        }
    }

    fn suspects(&self) -> Vec<UpstreamSuspect> {
        self.with(|state| {
            let keepers = state.disk_state.placement.slots.len();
            state.outcomes.suspects(keepers, Instant::now())
        })
    }

    /// Returns the placement that is held where the sender's is older.
    ///
    /// What the instance that takes over a slot reads must be all that was confirmed under the placement before: it hands
    /// its own over with its first question, and from then on nothing is taken under an older one. No other request
    /// does that. Where entries that had heard of a newer placement first did, a keeper refused all others for
    /// 0.3 s, until it could tell the newer one itself, and turns that had run were broken off as not durable. What
    /// such an entry stores may be known to one keeper of the older placement only: who asks under that one takes a turn
    /// for absent only when all of its keepers have been heard.
    fn newer_placement(&self, generation: PlacementGeneration) -> Option<KeeperPlacement> {
        self.with(|state| {
            let held = &state.disk_state.placement;
            (generation < held.generation).then(|| held.clone())
        })
    }

    /// Returns what is known of a chain, read from disk where it stands there.
    async fn chain(&self, turn: &TurnId, now: Instant) -> ChainAnswer {
        let known = self.with(|state| match state.book.chain(turn, now) {
            Some(chain) => Ok(chain),
            None if state.disk_state.complete => Err(ChainAnswer::Absent),
            None => Err(ChainAnswer::Unknown),
        });
        let chain = match known {
            Ok(chain) => chain,
            Err(answer) => return answer,
        };
        let Some(joined) = self.join(chain.turns).await else {
            return ChainAnswer::Unknown;
        };
        match chain.missing {
            None => ChainAnswer::Found(joined),
            Some(missing) => ChainAnswer::Partial {
                missing,
                newer: joined,
            },
        }
    }

    /// Joins turns' inputs and outputs; `None` where one can't be read.
    async fn join(&self, turns: Vec<TurnContent>) -> Option<Bytes> {
        let on_disk = turns.iter().filter_map(|content| match content {
            TurnContent::Disk(location) => Some(*location),
            TurnContent::Memory { .. } => None,
        });
        let mut read = self.disk.read(on_disk.collect()).await?.into_iter();
        let mut joined = BytesMut::new();
        for content in turns {
            let (input, output) = match content {
                TurnContent::Memory { input, output } => (input, output),
                TurnContent::Disk(_) => {
                    let turn = read.next()?;
                    (turn.input, turn.output)
                }
            };
            joined.extend_from_slice(&input);
            joined.extend_from_slice(&output);
        }
        Some(joined.freeze())
    }

    /// Returns one part of all facts, read from disk where they stand there; `None` where one can't be read.
    async fn export(&self, request: &ExportRequest) -> Option<Vec<FactRecord>> {
        let FactPart { mut facts, on_disk } = self.with(|state| {
            let placement = &state.disk_state.placement;
            state.book.export(request, placement)
        });
        let turns = self.disk.read(on_disk).await?;
        facts.extend(turns.into_iter().map(FactRecord::Turn));
        Some(facts)
    }

    /// Takes a fact and resolves, once it is durable, to what is known of its program.
    async fn store(&self, fact: FactRecord, now: Instant) -> Option<ProgramLedger> {
        let ledger = self.with(|state| {
            state.take(&fact, now);
            state.book.ledger(program_of(&fact))
        });
        self.append(vec![fact]).await.then_some(ledger)
    }

    /// Returns the marks of the turns of one part that the keeper has.
    #[must_use]
    pub fn known_turns(&self, part: u8) -> Vec<u64> {
        self.with(|state| {
            // What the disk has refused is asked for again.
            if state.unwritten {
                return Vec::new();
            }
            state.book.known_turns(part)
        })
    }

    /// Takes facts of another keeper while rebuilding; resolves to how many came, `None` where not all of them
    /// are durable.
    ///
    /// Facts that are known already are on their way to the disk, in front of the last one here.
    pub async fn take_part(&self, facts: Vec<FactRecord>) -> Option<usize> {
        let now = Instant::now();
        let mut group = Vec::new();
        let (mut count, mut bytes) = (0, 0);
        for fact in facts {
            count += 1;
            if !self.with(|state| state.take(&fact, now) || state.unwritten) {
                continue;
            }
            bytes += fact.bytes();
            group.push(fact);
            if bytes >= GROUP_BYTES && !self.append(std::mem::take(&mut group)).await {
                return None;
            }
            bytes %= GROUP_BYTES;
        }
        let durable = group.is_empty() || self.append(group).await;
        durable.then_some(count)
    }

    /// Appends facts to the disk, where their content then stands; resolves to whether they are durable.
    async fn append(&self, facts: Vec<FactRecord>) -> bool {
        let indexed: Vec<FactRecord> = facts.iter().map(FactRecord::without_content).collect();
        let Some(locations) = self.disk.append(facts).await else {
            self.with(|state| state.unwritten = true);
            return false;
        };
        self.with(|state| {
            for (fact, location) in indexed.iter().zip(locations) {
                state.book.place_on_disk(fact, location);
            }
        });
        true
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
        Logbook::global().record("placement", &line);
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
        Logbook::global().record("keeper-complete", &line);
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

    /// Writes down what organisations have used of their limits since it was called last: a home that starts again goes
    /// on with it. Nobody waits for it; a home that ends in between forgets a tenth of a second.
    pub fn save_limits(&self) {
        let (at, uses) = self.with(|state| {
            let now = state.limit_clock.now();
            (now, state.limits.take_unsaved(now))
        });
        if uses.is_empty() {
            return;
        }
        let fact = FactRecord::LimitUses { at, uses };
        self.with(|state| state.written_bytes += fact.bytes() as u64);
        self.disk.note(fact);
    }

    /// Resolves once everything that was taken up to now stands on disk, as far as the disk takes it: notes are
    /// confirmed before they are written, and would end with the process.
    pub async fn flush(&self) -> bool {
        // The disk writes in order, so that the state comes after all that waits.
        self.remember().await
    }

    async fn remember(&self) -> bool {
        self.disk.remember(self.disk_state()).await
    }

    /// Drops what nobody has used for its time, and compacts the disk where that pays.
    pub async fn expire(&self) {
        let compacts = self.with(|state| {
            state.book.expire(Instant::now());
            let limits_now = state.limit_clock.now();
            state.limits.sweep(limits_now);
            let live_bytes = state.book.live_bytes() as u64;
            let over = state.written_bytes > 2 * live_bytes + COMPACTION_SLACK;
            let compacts = over || state.unwritten;
            if compacts {
                state.written_bytes = live_bytes;
            }
            compacts
        });
        let line = self.with(|state| SizeLine {
            turns: state.book.turn_count(),
            programs: state.book.program_count(),
            live_bytes: state.book.live_bytes(),
            written_bytes: state.written_bytes,
            resident_bytes: resident_bytes(),
        });
        Logbook::global().record("keeper-size", &line);
        if !compacts {
            return;
        }
        // Part by part, so that memory never holds a second copy of everything.
        let mut whole = self.disk.begin_segment().await;
        let (at, uses) = self.with(|state| (state.limit_clock.now(), state.limits.all_uses()));
        self.disk.note(FactRecord::LimitUses { at, uses });
        for part in 0..super::book::EXPORT_PARTS {
            let all = ExportRequest {
                part,
                ..ExportRequest::default()
            };
            whole &= match self.export(&all).await {
                Some(facts) if facts.is_empty() => true,
                Some(facts) => self.append(facts).await,
                None => false,
            };
        }
        if whole {
            self.with(|state| state.unwritten = false);
            self.disk.drop_older();
        }
    }
}

impl KeeperState {
    fn take(&mut self, fact: &FactRecord, now: Instant) -> bool {
        self.written_bytes += fact.bytes() as u64;
        self.book.take(fact, now)
    }
}

fn program_of(fact: &FactRecord) -> &str {
    match fact {
        FactRecord::Reservation { program, .. } => program,
        FactRecord::Turn(turn) => &turn.program,
        FactRecord::LimitUses { .. } => "",
    }
}
