//! Server side of a keeper: handles requests, and keeps facts in the index and on disk.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

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
use super::sends::SendTable;
use super::tries::{TryFact, TryKey, TryNumber};
use crate::byte_gate::ByteGate;
use crate::exchange::MachineLimits;
use crate::limits::{LedgerTime, LimitLedger, LimitReservation, LimitRule, LimitUse, TokenUse};
use crate::model::TurnId;
use crate::observe::Logbook;
use crate::store::{ProofCache, StoreMirror};
use crate::upstream::{OutcomeTable, RunTable, SpeedTable, UpstreamSpeed, UpstreamSuspect};

/// Number of bytes by which the segments may exceed twice the live data before they are compacted.
const COMPACTION_SLACK: u64 = 24 << 20;

/// Part of the machine's memory that the chains which are being read may have, as a divisor. Each is held three times: as
/// turns, joined, and as a message.
const READ_DIVISOR: u64 = 20;

#[derive(Serialize)]
struct SizeLine {
    turns: usize,
    programs: usize,
    live_bytes: usize,
    written_bytes: u64,
    resident_bytes: u64,
}

/// Returns the process's resident memory as reported by the system; 0 if the system doesn't report it.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Size in bytes at which a batch is written to disk while facts are imported in bulk.
const BATCH_BYTES: usize = 256 << 10;

struct KeeperState {
    index: FactIndex,
    disk_state: DiskState,
    written_bytes: u64,
    /// Whether this keeper has everything and waits only until the keeper that left its slot is no longer a source.
    awaits_release: bool,
    /// Whether facts in memory could not be written to disk; the next compaction writes all facts again.
    unwritten: bool,
    /// Outcomes of requests at upstreams that entries report; in memory only, because they lose relevance within
    /// seconds.
    outcomes: OutcomeTable,
    /// Speeds of upstreams, from the times of work that entries report; in memory only, too.
    speeds: SpeedTable,
    /// Sends of requests whose results entries have not reported; in memory only, because a result is recorded where it
    /// matters.
    sends: SendTable,
    /// Requests that run at the upstreams whose accounts the keeper holds; in memory only, too.
    runs: RunTable,
    /// Entries that follow this keeper.
    followers: FollowerTable,
    /// Limits of the organisations whose home is this keeper.
    limits: LimitLedger,
    limit_clock: LimitClock,
}

/// Clock of a home; a restarted home continues from the last recorded time.
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

/// A keeper's service; cheap to clone.
#[derive(Clone)]
pub struct KeeperService {
    state: Arc<Mutex<KeeperState>>,
    disk: FactDisk,
    mirror: Arc<StoreMirror>,
    proofs: Arc<ProofCache>,
    /// Chains that are being read.
    reads: ByteGate,
}

impl KeeperService {
    /// Creates the service from the data read from disk.
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
            complete: first_start && recovered.is_fresh,
            ..DiskState::default()
        };
        let disk_state = recovered.state.unwrap_or(fresh);
        let state = KeeperState {
            index: recovered.index,
            disk_state,
            written_bytes: recovered.bytes,
            awaits_release: false,
            unwritten: false,
            outcomes: OutcomeTable::default(),
            speeds: SpeedTable::default(),
            sends: SendTable::default(),
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
            reads: read_gate(MachineLimits::default()),
        }
    }

    /// Bounds the chains that are read at the same time to a part of the machine's memory.
    #[must_use]
    pub fn on_machine(self, machine: MachineLimits) -> Self {
        Self {
            reads: read_gate(machine),
            ..self
        }
    }

    /// Returns the mirror of the key-value service that the keeper's followers read.
    #[must_use]
    pub fn mirror(&self) -> &Arc<StoreMirror> {
        &self.mirror
    }

    /// Returns the proofs of the configuration's freshness.
    #[must_use]
    pub fn proofs(&self) -> &Arc<ProofCache> {
        &self.proofs
    }

    fn with<Output>(&self, action: impl FnOnce(&mut KeeperState) -> Output) -> Output {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut state)
    }

    /// Handles a request.
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
            state.speeds.take(&envelope.speeds.samples, now);
            for &number in &envelope.sends_over {
                state.sends.end(number);
            }
            if envelope.sender != 0 {
                let contacted_at = state.limit_clock.now();
                state.limits.record_contact(envelope.sender, contacted_at);
            }
        });
        if let KeeperRequest::Export(request) = &envelope.request {
            self.adopt_placement(request.placement.clone()).await;
        }
        if let Some(newer) = self.newer_placement(envelope.generation) {
            return KeeperReply::NewerPlacement(newer);
        }
        let wants_speeds = envelope.speeds.wants_speeds;
        match envelope.request {
            KeeperRequest::Reserve(fact) => {
                let Some(ledger) = self.store(fact, now).await else {
                    return KeeperReply::NotStored;
                };
                KeeperReply::Reserved {
                    ledger,
                    complete: self.is_complete(),
                    suspects: self.suspects(),
                    speeds: self.speeds(wants_speeds),
                }
            }
            KeeperRequest::Store(fact) => self.reply_stored(fact, now).await,
            KeeperRequest::Note(fact) => {
                self.note(fact, now);
                KeeperReply::Stored
            }
            KeeperRequest::Chain(turn) => self.reply_chain(&turn, usize::MAX, now).await,
            KeeperRequest::ChainUpTo(turn, longest) => self.reply_chain(&turn, longest, now).await,
            KeeperRequest::Export(request) => match self.export(&request).await {
                Some(facts) => KeeperReply::Part {
                    facts,
                    complete: self.is_complete(),
                },
                None => KeeperReply::NotStored,
            },
            KeeperRequest::Ledger(program) => KeeperReply::Ledger {
                ledger: self.with(|state| state.index.ledger(&program)),
                complete: self.is_complete(),
            },
            KeeperRequest::Tries {
                key,
                number,
                work_left,
            } => self.register_send(&key, number, work_left, now),
            KeeperRequest::RecordTries(fact) => self.record_tries(fact, now),
            KeeperRequest::Probe => KeeperReply::Alive {
                complete: self.is_complete(),
                suspects: self.suspects(),
                speeds: self.speeds(wants_speeds),
            },
            KeeperRequest::RunBegan(start) => {
                self.with(|state| state.runs.begin(start, now));
                KeeperReply::Noted
            }
            KeeperRequest::RunEnded(end) => {
                self.with(|state| state.runs.end(end, now));
                KeeperReply::Noted
            }
            KeeperRequest::Accounts(question) => KeeperReply::Accounts {
                accounts: self.with(|state| {
                    let KeeperState { runs, speeds, .. } = state;
                    runs.answer(&question, now, |tag| speeds.slowdown(tag))
                }),
                share: self.with(|state| state.runs.share(&question, now)),
                suspects: self.suspects(),
                speeds: self.speeds(wants_speeds),
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
                    state.followers.record(follower, now);
                    helper
                });
                KeeperReply::Stream {
                    reply: self.mirror.answer(request).await,
                    helper,
                }
            }
        }
    }

    async fn reply_stored(&self, fact: FactRecord, now: Instant) -> KeeperReply {
        match self.store(fact, now).await {
            Some(_) => KeeperReply::Stored,
            None => KeeperReply::NotStored,
        }
    }

    async fn reply_chain(&self, turn: &TurnId, longest: usize, now: Instant) -> KeeperReply {
        KeeperReply::Chain(self.chain(turn, longest, now).await)
    }

    /// Stores a fact without waiting until it is durable.
    fn note(&self, fact: FactRecord, now: Instant) {
        let fact = match fact {
            FactRecord::Tries(fact) => FactRecord::Tries(fact.received_now()),
            other => other,
        };
        self.with(|state| state.insert(&fact, now));
        self.disk.append_later(fact);
    }

    fn register_send(
        &self,
        key: &TryKey,
        number: TryNumber,
        work_left: Duration,
        now: Instant,
    ) -> KeeperReply {
        self.with(|state| state.sends.register(key, number, work_left, now));
        self.known_tries(key, number, now)
    }

    fn known_tries(&self, key: &TryKey, own: TryNumber, now: Instant) -> KeeperReply {
        let (timed, kept_for) = self.with(|state| {
            let (mut timed, kept_for) = state.index.tries(key, now);
            state.sends.add_to(&mut timed.tries, key, own);
            (timed, kept_for)
        });
        KeeperReply::Tries {
            timed,
            kept_for,
            complete: self.is_complete(),
        }
    }

    fn record_tries(&self, fact: TryFact, now: Instant) -> KeeperReply {
        let key = fact.key.clone();
        let own = fact.timed.tries.iter().next().map(|own| own.number);
        self.note(FactRecord::Tries(fact), now);
        self.known_tries(&key, own.unwrap_or_default(), now)
    }

    fn suspects(&self) -> Vec<UpstreamSuspect> {
        self.with(|state| {
            let keepers = state.disk_state.placement.slots.len();
            state.outcomes.suspects(keepers, Instant::now())
        })
    }

    fn speeds(&self, wanted: bool) -> Vec<UpstreamSpeed> {
        if !wanted {
            return Vec::new();
        }
        self.with(|state| state.speeds.reports())
    }

    /// Returns the keeper's placement if the sender's is older.
    ///
    /// An instance that takes over a slot must read all facts that were acknowledged under the previous placement: its
    /// export requests carry the new placement, and from the first one on the keeper accepts nothing under an older
    /// placement. No other request carries a placement. When requests of entries that knew a newer placement early did
    /// so, a keeper rejected all other entries' requests for 0.3 s, until it could return the newer placement itself,
    /// and completed turns were aborted as not durable. A fact stored by such an early entry may be known to only one
    /// keeper of the older placement; therefore a reader under the older placement treats a turn as absent only after
    /// all of its keepers have replied or failed.
    fn newer_placement(&self, generation: PlacementGeneration) -> Option<KeeperPlacement> {
        self.with(|state| {
            let held = &state.disk_state.placement;
            (generation < held.generation).then(|| held.clone())
        })
    }

    /// Returns the known part of a chain; content that is no longer in memory is read from disk.
    ///
    /// Chains that are read at the same time are bounded, since a short request names a long one.
    async fn chain(&self, turn: &TurnId, longest: usize, now: Instant) -> ChainAnswer {
        let known = self.with(|state| match state.index.chain(turn, now) {
            Some(chain) => Ok(chain),
            None if state.disk_state.complete => Err(ChainAnswer::Absent),
            None => Err(ChainAnswer::Unknown),
        });
        let chain = match known {
            Ok(chain) => chain,
            Err(answer) => return answer,
        };
        let length = chain.turns.iter().map(TurnContent::stored_bytes).sum();
        if length > longest {
            return ChainAnswer::TooLong(length);
        }
        let _permit = self.reads.enter(length).await;
        let Some(joined) = self.join_content(chain.turns).await else {
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

    /// Concatenates turns' inputs and outputs; `None` if one of them can't be read.
    async fn join_content(&self, turns: Vec<TurnContent>) -> Option<Bytes> {
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

    /// Returns the facts of one part, those on disk included; `None` if one of them can't be read.
    async fn export(&self, request: &ExportRequest) -> Option<Vec<FactRecord>> {
        let FactPart { mut facts, on_disk } = self.with(|state| {
            let placement = &state.disk_state.placement;
            state.index.export(request, placement)
        });
        let turns = self.disk.read(on_disk).await?;
        facts.extend(turns.into_iter().map(FactRecord::Turn));
        Some(facts)
    }

    /// Stores a fact; resolves, once it is durable, to the program's known reservations.
    async fn store(&self, fact: FactRecord, now: Instant) -> Option<ProgramLedger> {
        let ledger = self.with(|state| {
            state.insert(&fact, now);
            state.index.ledger(program_of_fact(&fact))
        });
        self.append(vec![fact]).await.then_some(ledger)
    }

    /// Returns the digests of the turns of one part that the keeper has.
    #[must_use]
    pub fn known_digests(&self, part: u8) -> Vec<u64> {
        self.with(|state| {
            // Facts that the disk has not accepted are requested again.
            if state.unwritten {
                return Vec::new();
            }
            state.index.known_digests(part)
        })
    }

    /// Imports facts of another keeper while rebuilding; resolves to their number, or to `None` if not all of them are
    /// durable.
    ///
    /// Facts that are known already are skipped: their writes were queued before those of this call.
    pub async fn import_part(&self, facts: Vec<FactRecord>) -> Option<usize> {
        let now = Instant::now();
        let mut batch = Vec::new();
        let (mut count, mut batch_bytes) = (0, 0);
        for fact in facts {
            count += 1;
            if !self.with(|state| state.insert(&fact, now) || state.unwritten) {
                continue;
            }
            batch_bytes += fact.estimated_bytes();
            batch.push(fact);
            if batch_bytes >= BATCH_BYTES && !self.append(std::mem::take(&mut batch)).await {
                return None;
            }
            batch_bytes %= BATCH_BYTES;
        }
        let durable = batch.is_empty() || self.append(batch).await;
        durable.then_some(count)
    }

    /// Appends facts to the disk and releases their content in memory; resolves to whether they are durable.
    async fn append(&self, facts: Vec<FactRecord>) -> bool {
        let indexed: Vec<FactRecord> = facts.iter().map(FactRecord::without_content).collect();
        let Some(locations) = self.disk.append(facts).await else {
            self.with(|state| state.unwritten = true);
            return false;
        };
        self.with(|state| {
            for (fact, location) in indexed.iter().zip(locations) {
                state.index.set_disk_location(fact, location);
            }
        });
        true
    }

    /// Returns whether the keeper has every fact that it has ever acknowledged.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.with(|state| state.disk_state.complete)
    }

    /// Returns the newest placement that the keeper knows.
    #[must_use]
    pub fn placement(&self) -> KeeperPlacement {
        self.with(|state| state.disk_state.placement.clone())
    }

    /// Returns the persistent state besides facts.
    #[must_use]
    pub fn disk_state(&self) -> DiskState {
        self.with(|state| state.disk_state.clone())
    }

    /// Adopts a placement if it is newer than the known one.
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
        self.persist_state().await;
    }

    /// Records whether the keeper has every fact that it has ever acknowledged; resolves to whether the record is
    /// durable.
    pub async fn set_complete(&self, complete: bool) -> bool {
        let line = self.with(|state| {
            state.disk_state.complete = complete;
            state.awaits_release = false;
            CompletenessLine {
                complete,
                turns: state.index.turn_count(),
                live_bytes: state.index.live_bytes(),
            }
        });
        Logbook::global().record("keeper-complete", &line);
        self.persist_state().await
    }

    /// Records that this keeper has everything, and is complete once the keeper that left its slot is no longer a source.
    pub fn await_release(&self) {
        self.with(|state| state.awaits_release = true);
    }

    /// Returns whether this keeper has everything and waits until the keeper that left its slot is no longer a source.
    #[must_use]
    pub fn awaits_release(&self) -> bool {
        self.with(|state| state.awaits_release)
    }

    /// Records the deployment's certificate authority; resolves to whether the record is durable.
    pub async fn set_authority(&self, authority: &str, key: &str) -> bool {
        self.with(|state| {
            state.disk_state.authority = authority.into();
            state.disk_state.authority_key = key.into();
        });
        self.persist_state().await
    }

    /// Saves the uses of organisations' limits since the last call, from which a restarted home continues. The write is
    /// not awaited: a home that ends before the write loses the uses of a tenth of a second.
    pub fn save_limits(&self) {
        // A snapshot must not come between the uses and their write.
        self.with(|state| {
            let now = state.limit_clock.now();
            for fact in limit_facts(now, state.limits.take_unsaved(now)) {
                state.written_bytes += fact.estimated_bytes() as u64;
                self.disk.append_later(fact);
            }
        });
    }

    /// Writes all uses of limits anew; resolves to whether they are durable.
    async fn write_limit_snapshot(&self) -> bool {
        let writing = self.with(|state| {
            let (uses, reservations) = split_uses(state.limits.all_uses());
            let snapshot = FactRecord::LimitSnapshot {
                at: state.limit_clock.now(),
                uses,
                reservations,
            };
            self.disk.append(vec![snapshot])
        });
        writing.await.is_some()
    }

    /// Resolves once all facts accepted so far have been written, as far as the disk accepts them. Background facts are
    /// acknowledged before they are written and would be lost when the process ends.
    pub async fn flush(&self) -> bool {
        // The disk thread writes in order, so the state is written after all queued facts.
        self.persist_state().await
    }

    async fn persist_state(&self) -> bool {
        self.disk.write_state(self.disk_state()).await
    }

    /// Removes expired facts and limits, and compacts the disk if it holds too much dead data.
    pub async fn expire(&self) {
        let should_compact = self.with(|state| {
            state.index.expire(Instant::now());
            let limits_now = state.limit_clock.now();
            state.limits.sweep(limits_now);
            let live_bytes = state.index.live_bytes() as u64;
            let exceeds = state.written_bytes > 2 * live_bytes + COMPACTION_SLACK;
            let should_compact = exceeds || state.unwritten;
            if should_compact {
                state.written_bytes = live_bytes;
            }
            should_compact
        });
        let line = self.with(|state| SizeLine {
            turns: state.index.turn_count(),
            programs: state.index.program_count(),
            live_bytes: state.index.live_bytes(),
            written_bytes: state.written_bytes,
            resident_bytes: resident_bytes(),
        });
        Logbook::global().record("keeper-size", &line);
        if !should_compact {
            return;
        }
        // Part by part, so that memory never holds a second copy of all facts.
        let mut complete = self.disk.begin_segment().await;
        complete &= self.write_limit_snapshot().await;
        for part in 0..super::book::EXPORT_PARTS {
            let all = ExportRequest {
                part,
                ..ExportRequest::default()
            };
            complete &= match self.export(&all).await {
                Some(facts) if facts.is_empty() => true,
                Some(facts) => self.append(facts).await,
                None => false,
            };
        }
        if complete {
            self.with(|state| state.unwritten = false);
            self.disk.remove_older();
        }
    }
}

impl KeeperState {
    fn insert(&mut self, fact: &FactRecord, now: Instant) -> bool {
        self.written_bytes += fact.estimated_bytes() as u64;
        if let FactRecord::Tries(fact) = fact {
            for recorded in fact.timed.tries.iter() {
                self.sends.end(recorded.number);
            }
        }
        self.index.insert(fact, now)
    }
}

/// Returns the facts that keep uses of limits over a restart of the home.
fn limit_facts(at: LedgerTime, uses: Vec<LimitUse>) -> Vec<FactRecord> {
    let (uses, reservations) = split_uses(uses);
    let mut facts = Vec::new();
    if !uses.is_empty() {
        facts.push(FactRecord::LimitUses { at, uses });
    }
    if !reservations.is_empty() {
        facts.push(FactRecord::LimitReservations { at, reservations });
    }
    facts
}

fn split_uses(limit_uses: Vec<LimitUse>) -> (Vec<TokenUse>, Vec<LimitReservation>) {
    let (mut uses, mut reservations) = (Vec::new(), Vec::new());
    for limit_use in limit_uses {
        match limit_use {
            LimitUse::Tokens(tokens) => uses.push(tokens),
            LimitUse::Reservation(reservation) => reservations.push(reservation),
        }
    }
    (uses, reservations)
}

fn program_of_fact(fact: &FactRecord) -> &str {
    match fact {
        FactRecord::Reservation { program, .. } | FactRecord::Stream { program, .. } => program,
        FactRecord::Turn(turn) => &turn.program,
        FactRecord::Tries(fact) => &fact.key,
        FactRecord::LimitUses { .. }
        | FactRecord::LimitReservations { .. }
        | FactRecord::LimitSnapshot { .. } => "",
    }
}

fn read_gate(machine: MachineLimits) -> ByteGate {
    let bytes = machine.memory.saturating_mul(1 << 20) / READ_DIVISOR;
    ByteGate::new(usize::try_from(bytes).unwrap_or(usize::MAX))
}
