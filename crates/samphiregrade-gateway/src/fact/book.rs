//! In-memory index of a keeper's facts; performs no network or disk access.
//!
//! The content of turns (input and output) is many times larger than their metadata. Once it is on disk, the index
//! keeps only its location.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use smol_str::SmolStr;

use super::message::{
    ExportRequest, FactRecord, ProgramLedger, Reservation, StreamOrigin, TurnFact, TurnPlace,
};
use super::placement::KeeperPlacement;
use super::tries::{TimedTries, TryEntry, TryFact, TryKey};
use crate::model::{ProgramId, TurnId};

/// Number of parts into which facts are divided for export to a rebuilding keeper: one part of a small disk is well
/// under a megabyte.
pub const EXPORT_PARTS: u8 = 128;

/// Time for which a fact is kept beyond its retention time: a turn that arrives at the last moment still finds its
/// chain, even if it first waits for the store.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Location of a fact's frame on disk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FrameLocation {
    /// Segment number.
    pub segment: u64,
    /// Offset of the frame's first byte.
    pub offset: u64,
    /// Frame length in bytes.
    pub length: usize,
}

/// Content of a turn, or its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TurnContent {
    /// The content is not on disk yet.
    Memory {
        /// Data that the client sent.
        input: Bytes,
        /// Data that the upstream returned.
        output: Bytes,
    },
    /// The content is on disk.
    Disk(FrameLocation),
}

impl TurnContent {
    /// Returns a turn's content as kept in memory.
    #[must_use]
    pub fn of(turn: &TurnFact) -> Self {
        Self::Memory {
            input: turn.input.clone(),
            output: turn.output.clone(),
        }
    }
}

impl TurnContent {
    /// Returns the bytes of the content, with the framing of one that is on disk.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Memory { input, output } => input.len() + output.len(),
            Self::Disk(location) => location.length,
        }
    }
}

/// The known part of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownChain {
    /// The known turns, oldest first.
    pub turns: Vec<TurnContent>,
    /// The turn before these, if there is one and it is unknown.
    pub missing: Option<TurnId>,
}

/// One of the parts into which facts are divided for export.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FactPart {
    /// Facts that are completely in memory.
    pub facts: Vec<FactRecord>,
    /// Locations of turns whose content is on disk.
    pub on_disk: Vec<FrameLocation>,
}

struct ProgramEntry {
    ledger: ProgramLedger,
    keep: Duration,
    last_used: Instant,
}

impl ProgramEntry {
    /// Returns the facts of the streams that began with a reservation: none, or one.
    fn stream_facts(&self, program: &ProgramId, reservation: &Reservation) -> Vec<FactRecord> {
        let origins = self.ledger.origins.iter();
        origins
            .filter(|origin| origin.attempt == reservation.turn)
            .map(|origin| FactRecord::Stream {
                program: program.clone(),
                reservation: reservation.clone(),
                software: origin.software,
                keep: self.keep,
            })
            .collect()
    }
}

struct TurnEntry {
    program: ProgramId,
    previous: Option<TurnId>,
    content: TurnContent,
    spent: u32,
    bytes: usize,
    keep: Duration,
    last_used: Instant,
}

/// Index of all facts of a keeper.
#[derive(Default)]
pub struct FactIndex {
    programs: HashMap<ProgramId, ProgramEntry>,
    turns: HashMap<TurnId, TurnEntry>,
    /// Tries of requests under which upstreams have ended.
    tries: HashMap<TryKey, TryEntry>,
    live_bytes: usize,
}

impl FactIndex {
    /// Adds a fact; returns whether it contained anything new.
    pub fn insert(&mut self, fact: &FactRecord, now: Instant) -> bool {
        match fact {
            FactRecord::Reservation {
                program,
                reservation,
                keep,
            } => self.insert_reservation(program, reservation.clone(), *keep, now),
            FactRecord::Stream {
                program,
                reservation,
                software,
                keep,
            } => {
                let origin = StreamOrigin {
                    attempt: reservation.turn.clone(),
                    software: *software,
                };
                let is_new = self.insert_reservation(program, reservation.clone(), *keep, now);
                let entry = self.programs.get_mut(program);
                is_new | entry.is_some_and(|entry| entry.ledger.add_origin(origin))
            }
            FactRecord::Turn(turn) => self.insert_turn(turn, now),
            FactRecord::Tries(fact) => {
                let entry = self.tries.entry(fact.key.clone());
                let entry = entry.or_insert_with(|| TryEntry::new(now));
                entry.add(&fact.timed, now)
            }
            FactRecord::LimitUses { .. }
            | FactRecord::LimitReservations { .. }
            | FactRecord::LimitSnapshot { .. } => false,
        }
    }

    fn insert_reservation(
        &mut self,
        program: &ProgramId,
        reservation: Reservation,
        keep: Duration,
        now: Instant,
    ) -> bool {
        let entry = self
            .programs
            .entry(program.clone())
            .or_insert_with(|| ProgramEntry {
                ledger: ProgramLedger::default(),
                keep,
                last_used: now,
            });
        entry.keep = entry.keep.max(keep);
        entry.last_used = now;
        entry.ledger.add(reservation)
    }

    fn insert_turn(&mut self, turn: &TurnFact, now: Instant) -> bool {
        let reservation = Reservation {
            turn: turn.turn.clone(),
            most: turn.spent,
            spent: Some(turn.spent),
            place: turn.place.clone(),
            program_left: None,
        };
        self.insert_reservation(&turn.program, reservation, turn.keep, now);
        if self.turns.contains_key(&turn.turn) {
            return false;
        }
        let entry = TurnEntry {
            program: turn.program.clone(),
            previous: turn.previous.clone(),
            content: TurnContent::of(turn),
            spent: turn.spent,
            bytes: turn.input.len() + turn.output.len(),
            keep: turn.keep,
            last_used: now,
        };
        self.live_bytes += entry.bytes;
        self.turns.insert(turn.turn.clone(), entry);
        self.touch_chain(&turn.turn, now);
        true
    }

    /// Records a fact's location on disk and releases its content in memory. A location in an older segment than the known
    /// one is ignored, since a compaction removes older segments.
    pub fn set_disk_location(&mut self, fact: &FactRecord, location: FrameLocation) {
        let FactRecord::Turn(turn) = fact else {
            return;
        };
        let Some(entry) = self.turns.get_mut(&turn.turn) else {
            return;
        };
        let is_outdated =
            matches!(&entry.content, TurnContent::Disk(known) if known.segment > location.segment);
        if !is_outdated {
            entry.content = TurnContent::Disk(location);
        }
    }

    /// Marks a chain as used, so that its older turns are kept as long as its newest one.
    fn touch_chain(&mut self, turn: &TurnId, now: Instant) {
        let mut next = Some(turn.clone());
        while let Some(id) = next {
            let Some(entry) = self.turns.get_mut(&id) else {
                return;
            };
            entry.last_used = now;
            let previous = entry.previous.clone();
            next = previous;
        }
    }

    /// Returns the known reservations of a program.
    #[must_use]
    pub fn ledger(&self, program: &str) -> ProgramLedger {
        let entry = self.programs.get(program);
        entry.map(|entry| entry.ledger.clone()).unwrap_or_default()
    }

    /// Returns the known tries of a request, and the time after which they are forgotten.
    #[must_use]
    pub fn tries(&self, key: &TryKey, now: Instant) -> (TimedTries, Duration) {
        let Some(entry) = self.tries.get(key) else {
            return Default::default();
        };
        let timed = TimedTries {
            tries: entry.tries(now),
            work_left: entry.work_left(now),
        };
        (timed, entry.kept_for(now))
    }

    /// Returns the known part of the chain that ends with a turn; `None` if the turn itself is unknown.
    pub fn chain(&mut self, turn: &TurnId, now: Instant) -> Option<KnownChain> {
        let mut turns = Vec::new();
        let mut next = Some(turn);
        while let Some(id) = next {
            let Some(entry) = self.turns.get(id) else {
                break;
            };
            next = entry.previous.as_ref();
            turns.push(entry.content.clone());
        }
        if turns.is_empty() {
            return None;
        }
        turns.reverse();
        let missing = next.cloned();
        self.touch_chain(turn, now);
        Some(KnownChain { turns, missing })
    }

    /// Returns the digests of the known turns of one part.
    #[must_use]
    pub fn known_digests(&self, part: u8) -> Vec<u64> {
        let turns = self.turns.keys().map(digest_of);
        turns
            .filter(|digest| digest.part == part)
            .map(|digest| digest.number)
            .collect()
    }

    /// Returns the facts of one part, without the turns that the requester has already and without programs whose
    /// group doesn't include the requester's slot.
    #[must_use]
    pub fn export(&self, request: &ExportRequest, placement: &KeeperPlacement) -> FactPart {
        let wanted = |program: &str| {
            let slot = request.slot.filter(|_| !placement.slots.is_empty());
            slot.is_none_or(|slot| placement.group(program).contains(&slot))
        };
        let mut exported = FactPart::default();
        for (program, entry) in &self.programs {
            if digest_of(program).part != request.part || !wanted(program) {
                continue;
            }
            for reservation in &entry.ledger.reservations {
                let streams = entry.stream_facts(program, reservation);
                // The turn's own fact contains the reservation's data.
                if streams.is_empty() && !self.turns.contains_key(&reservation.turn) {
                    exported.facts.push(FactRecord::Reservation {
                        program: program.clone(),
                        reservation: reservation.clone(),
                        keep: entry.keep,
                    });
                }
                exported.facts.extend(streams);
            }
        }
        exported
            .facts
            .extend(self.export_tries(request.part, wanted));
        for (turn, entry) in &self.turns {
            let digest = digest_of(turn);
            let known = digest.part != request.part || request.known.contains(&digest.number);
            if known || !wanted(&entry.program) {
                continue;
            }
            match &entry.content {
                TurnContent::Disk(location) => exported.on_disk.push(*location),
                TurnContent::Memory { input, output } => {
                    exported.facts.push(FactRecord::Turn(TurnFact {
                        program: entry.program.clone(),
                        turn: turn.clone(),
                        previous: entry.previous.clone(),
                        input: input.clone(),
                        output: output.clone(),
                        spent: entry.spent,
                        place: self.place_of(&entry.program, turn),
                        keep: entry.keep,
                    }));
                }
            }
        }
        exported
    }

    /// Returns the tries of one part whose keys are wanted.
    fn export_tries<Choice>(&self, part: u8, wanted: Choice) -> Vec<FactRecord>
    where
        Choice: Fn(&str) -> bool,
    {
        let now = Instant::now();
        let mut facts = Vec::new();
        for (key, entry) in &self.tries {
            if digest_of(key).part != part || !wanted(key) || entry.is_forgotten(now) {
                continue;
            }
            let fact = TryFact::new(key.clone(), entry.timed_at_change(), entry.age(now));
            facts.push(FactRecord::Tries(fact));
        }
        facts
    }

    fn place_of(&self, program: &ProgramId, turn: &TurnId) -> Option<TurnPlace> {
        let ledger = &self.programs.get(program)?.ledger;
        let known = ledger
            .reservations
            .iter()
            .find(|known| known.turn == *turn)?;
        known.place.clone()
    }

    /// Removes the programs and turns that have not been used for their retention time.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |last_used: Instant, keep: Duration| {
            now.saturating_duration_since(last_used) > keep + RETENTION_MARGIN
        };
        self.programs
            .retain(|_, entry| !is_expired(entry.last_used, entry.keep));
        self.tries.retain(|_, entry| !entry.is_forgotten(now));
        let mut released = 0;
        self.turns.retain(|_, entry| {
            let retained = !is_expired(entry.last_used, entry.keep);
            released += if retained { 0 } else { entry.bytes };
            retained
        });
        self.live_bytes -= released;
    }

    /// Returns the number of turns.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Returns the number of programs.
    #[must_use]
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Returns the total content size of all turns in bytes.
    #[must_use]
    pub fn live_bytes(&self) -> usize {
        self.live_bytes
    }
}

/// Hash of an id: the part to which the id belongs, and a number that identifies it.
struct IdDigest {
    part: u8,
    number: u64,
}

fn digest_of(id: &SmolStr) -> IdDigest {
    let hash = blake3::hash(id.as_bytes());
    let mut number = [0; 8];
    number.copy_from_slice(&hash.as_bytes()[1..9]);
    IdDigest {
        part: hash.as_bytes()[0] % EXPORT_PARTS,
        number: u64::from_le_bytes(number),
    }
}
