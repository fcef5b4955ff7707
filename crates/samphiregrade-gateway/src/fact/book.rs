//! The facts that a keeper has: an index in memory, pure, without sockets or disk.
//!
//! What turns said is many times larger than all that is known about them, so it stays on disk once it is there;
//! the index tells where.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use smol_str::SmolStr;

use super::message::{ExportRequest, FactRecord, ProgramLedger, Reservation, TurnFact, TurnPlace};
use super::placement::KeeperPlacement;
use crate::model::{ProgramId, TurnId};

/// Parts into which all facts are divided for a keeper that rebuilds: one part of a small disk is well under a
/// megabyte.
pub const EXPORT_PARTS: u8 = 128;

/// Time beyond its own for which a fact is kept: a turn that comes at the last moment still finds its
/// chain, also where it waits for the store.
const KEEP_MARGIN: Duration = Duration::from_secs(10);

/// Where a fact's frame stands on disk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct FrameLocation {
    /// Number of the segment.
    pub segment: u64,
    /// First byte of the frame.
    pub offset: u64,
    /// Bytes of the frame.
    pub length: usize,
}

/// What a turn said, or where that stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TurnContent {
    /// It is not on disk yet.
    Memory {
        /// What the client sent.
        input: Bytes,
        /// What the upstream answered.
        output: Bytes,
    },
    /// It is on disk.
    Disk(FrameLocation),
}

impl TurnContent {
    /// Returns a turn's content in memory.
    #[must_use]
    pub fn of(turn: &TurnFact) -> Self {
        Self::Memory {
            input: turn.input.clone(),
            output: turn.output.clone(),
        }
    }
}

/// What is known of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownChain {
    /// Its turns, from the oldest known one on.
    pub turns: Vec<TurnContent>,
    /// The turn before these, where it is not known.
    pub missing: Option<TurnId>,
}

/// One part of all facts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FactPart {
    /// Facts that are whole in memory.
    pub facts: Vec<FactRecord>,
    /// Turns that stand on disk.
    pub on_disk: Vec<FrameLocation>,
}

struct ProgramEntry {
    ledger: ProgramLedger,
    keep: Duration,
    used: Instant,
}

struct TurnEntry {
    program: ProgramId,
    previous: Option<TurnId>,
    content: TurnContent,
    spent: u32,
    bytes: usize,
    keep: Duration,
    used: Instant,
}

/// All facts of a keeper.
#[derive(Default)]
pub struct FactIndex {
    programs: HashMap<ProgramId, ProgramEntry>,
    turns: HashMap<TurnId, TurnEntry>,
    live_bytes: usize,
}

impl FactIndex {
    /// Takes a fact in; returns whether it told anything new.
    pub fn take(&mut self, fact: &FactRecord, now: Instant) -> bool {
        match fact {
            FactRecord::Reservation {
                program,
                reservation,
                keep,
            } => self.take_reservation(program, reservation.clone(), *keep, now),
            FactRecord::Turn(turn) => self.take_turn(turn, now),
            FactRecord::LimitUses { .. } => false,
        }
    }

    fn take_reservation(
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
                used: now,
            });
        entry.keep = entry.keep.max(keep);
        entry.used = now;
        entry.ledger.add(reservation)
    }

    fn take_turn(&mut self, turn: &TurnFact, now: Instant) -> bool {
        let reservation = Reservation {
            turn: turn.turn.clone(),
            most: turn.spent,
            spent: Some(turn.spent),
            place: turn.place.clone(),
            program_left: None,
        };
        self.take_reservation(&turn.program, reservation, turn.keep, now);
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
            used: now,
        };
        self.live_bytes += entry.bytes;
        self.turns.insert(turn.turn.clone(), entry);
        self.use_chain(&turn.turn, now);
        true
    }

    /// Notes where a fact stands on disk now; memory gives its content up.
    pub fn place_on_disk(&mut self, fact: &FactRecord, location: FrameLocation) {
        let FactRecord::Turn(turn) = fact else {
            return;
        };
        if let Some(entry) = self.turns.get_mut(&turn.turn) {
            entry.content = TurnContent::Disk(location);
        }
    }

    /// Marks a chain as used, so that its older turns are kept as long as its newest.
    fn use_chain(&mut self, turn: &TurnId, now: Instant) {
        let mut next = Some(turn.clone());
        while let Some(id) = next {
            let Some(entry) = self.turns.get_mut(&id) else {
                return;
            };
            entry.used = now;
            let previous = entry.previous.clone();
            next = previous;
        }
    }

    /// Returns what is known of a program's budget.
    #[must_use]
    pub fn ledger(&self, program: &str) -> ProgramLedger {
        let entry = self.programs.get(program);
        entry.map(|entry| entry.ledger.clone()).unwrap_or_default()
    }

    /// Returns what is known of the chain that ends with a turn; `None` where the turn itself is not known.
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
        self.use_chain(turn, now);
        Some(KnownChain { turns, missing })
    }

    /// Returns the marks of the turns of one part that are known.
    #[must_use]
    pub fn known_turns(&self, part: u8) -> Vec<u64> {
        let turns = self.turns.keys().map(mark_of);
        turns
            .filter(|mark| mark.part == part)
            .map(|mark| mark.number)
            .collect()
    }

    /// Returns the facts of one part, without the turns that are known already and without programs that a
    /// slot's keeper does not have to have.
    #[must_use]
    pub fn export(&self, request: &ExportRequest, placement: &KeeperPlacement) -> FactPart {
        let wanted = |program: &str| {
            let slot = request.slot.filter(|_| !placement.slots.is_empty());
            slot.is_none_or(|slot| placement.group(program).contains(&slot))
        };
        let mut exported = FactPart::default();
        for (program, entry) in &self.programs {
            if mark_of(program).part != request.part || !wanted(program) {
                continue;
            }
            for reservation in &entry.ledger.reservations {
                // A turn says what its reservation says.
                if self.turns.contains_key(&reservation.turn) {
                    continue;
                }
                exported.facts.push(FactRecord::Reservation {
                    program: program.clone(),
                    reservation: reservation.clone(),
                    keep: entry.keep,
                });
            }
        }
        for (turn, entry) in &self.turns {
            let mark = mark_of(turn);
            let known = mark.part != request.part || request.known.contains(&mark.number);
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

    fn place_of(&self, program: &ProgramId, turn: &TurnId) -> Option<TurnPlace> {
        let ledger = &self.programs.get(program)?.ledger;
        let known = ledger
            .reservations
            .iter()
            .find(|known| known.turn == *turn)?;
        known.place.clone()
    }

    /// Drops what nobody has used for its time.
    pub fn expire(&mut self, now: Instant) {
        let over = |used: Instant, keep: Duration| {
            now.saturating_duration_since(used) > keep + KEEP_MARGIN
        };
        self.programs
            .retain(|_, entry| !over(entry.used, entry.keep));
        let mut released = 0;
        self.turns.retain(|_, entry| {
            let keeps = !over(entry.used, entry.keep);
            released += if keeps { 0 } else { entry.bytes };
            keeps
        });
        self.live_bytes -= released;
    }

    /// Returns the turns that are kept.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Returns the programs whose budgets are kept.
    #[must_use]
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Returns the bytes of all turns as they were sent.
    #[must_use]
    pub fn live_bytes(&self) -> usize {
        self.live_bytes
    }
}

/// Which part an id belongs to, and a number that stands for it.
struct IdMark {
    part: u8,
    number: u64,
}

fn mark_of(id: &SmolStr) -> IdMark {
    let hash = blake3::hash(id.as_bytes());
    let mut number = [0; 8];
    number.copy_from_slice(&hash.as_bytes()[1..9]);
    IdMark {
        part: hash.as_bytes()[0] % EXPORT_PARTS,
        number: u64::from_le_bytes(number),
    }
}
