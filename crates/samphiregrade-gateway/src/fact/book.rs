//! The facts that a keeper has, in memory: pure, without sockets or disk.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};

use super::message::{FactExport, FactRecord, ProgramLedger, Reservation, TurnFact, TurnPlace};
use crate::model::{ProgramId, TurnId};

/// Parts into which all facts are divided for a keeper that rebuilds.
pub const EXPORT_PARTS: u8 = 128;

/// Time beyond its own for which a fact is kept: a turn that comes at the last moment still finds its
/// chain, also where it waits for the store.
const KEEP_MARGIN: Duration = Duration::from_secs(30);

/// Inputs are cut into blocks of this size, and equal blocks are kept once. Programs of a class begin with the
/// same several thousand bytes.
const BLOCK_BYTES: usize = 1024;

type BlockHash = [u8; 16];

/// What is known of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownChain {
    /// Joined inputs and outputs, from the oldest known turn on.
    pub joined: Bytes,
    /// The turn before these, where it is not known.
    pub missing: Option<TurnId>,
}

struct ProgramEntry {
    ledger: ProgramLedger,
    keep: Duration,
    used: Instant,
}

struct TurnEntry {
    program: ProgramId,
    previous: Option<TurnId>,
    blocks: Vec<Bytes>,
    output: Bytes,
    spent: u32,
    place: Option<TurnPlace>,
    keep: Duration,
    used: Instant,
    /// Part of an export that it belongs to.
    part: u8,
}

impl TurnEntry {
    fn bytes(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum::<usize>() + self.output.len()
    }
}

struct SharedBlock {
    bytes: Bytes,
    users: usize,
}

/// All facts of a keeper.
#[derive(Default)]
pub struct FactBook {
    programs: HashMap<ProgramId, ProgramEntry>,
    turns: HashMap<TurnId, TurnEntry>,
    blocks: HashMap<BlockHash, SharedBlock>,
    live_bytes: usize,
}

impl FactBook {
    /// Takes a fact in; returns whether it told anything new.
    pub fn take(&mut self, fact: &FactRecord, now: Instant) -> bool {
        match fact {
            FactRecord::Reservation {
                program,
                reservation,
                keep,
            } => self.take_reservation(program, reservation.clone(), *keep, now),
            FactRecord::Turn(turn) => self.take_turn(turn, now),
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
        };
        self.take_reservation(&turn.program, reservation, turn.keep, now);
        if self.turns.contains_key(&turn.turn) {
            return false;
        }
        let entry = TurnEntry {
            program: turn.program.clone(),
            previous: turn.previous.clone(),
            blocks: self.share_blocks(&turn.input),
            output: Bytes::copy_from_slice(&turn.output),
            spent: turn.spent,
            place: turn.place.clone(),
            keep: turn.keep,
            used: now,
            part: part_of(&turn.input[..turn.input.len().min(BLOCK_BYTES)]),
        };
        self.live_bytes += entry.bytes();
        self.turns.insert(turn.turn.clone(), entry);
        self.use_chain(&turn.turn, now);
        true
    }

    fn share_blocks(&mut self, input: &[u8]) -> Vec<Bytes> {
        let mut shared = Vec::with_capacity(input.len() / BLOCK_BYTES + 1);
        for block in input.chunks(BLOCK_BYTES) {
            let entry = self
                .blocks
                .entry(block_hash(block))
                .or_insert_with(|| SharedBlock {
                    bytes: Bytes::copy_from_slice(block),
                    users: 0,
                });
            entry.users += 1;
            shared.push(entry.bytes.clone());
        }
        shared
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
        let mut line = Vec::new();
        let mut length = 0;
        let mut next = Some(turn);
        while let Some(id) = next {
            let Some(entry) = self.turns.get(id) else {
                break;
            };
            length += entry.bytes();
            next = entry.previous.as_ref();
            line.push(entry);
        }
        if line.is_empty() {
            return None;
        }
        let mut chain = BytesMut::with_capacity(length);
        for entry in line.iter().rev() {
            for block in &entry.blocks {
                chain.put_slice(block);
            }
            chain.put_slice(&entry.output);
        }
        let missing = next.cloned();
        self.use_chain(turn, now);
        Some(KnownChain {
            joined: chain.freeze(),
            missing,
        })
    }

    /// Returns the facts of one part.
    ///
    /// Turns whose inputs begin alike are in one part, so that their common blocks go out once.
    #[must_use]
    pub fn export(&self, part: u8) -> FactExport {
        let mut export = FactExport::default();
        for (program, entry) in &self.programs {
            if part_of(program.as_bytes()) != part {
                continue;
            }
            for reservation in &entry.ledger.reservations {
                if self.turns.contains_key(&reservation.turn) {
                    continue;
                }
                export.facts.push(FactRecord::Reservation {
                    program: program.clone(),
                    reservation: reservation.clone(),
                    keep: entry.keep,
                });
            }
        }
        let mut places: HashMap<*const u8, u32> = HashMap::new();
        for (turn, entry) in &self.turns {
            if entry.part != part {
                continue;
            }
            export.facts.push(FactRecord::Turn(bare_turn(turn, entry)));
            let indices = entry.blocks.iter().map(|block| {
                *places.entry(block.as_ptr()).or_insert_with(|| {
                    export.blocks.push(block.clone());
                    u32::try_from(export.blocks.len() - 1).unwrap_or(u32::MAX)
                })
            });
            let indices = indices.collect();
            export.inputs.push(indices);
        }
        export
    }

    /// Drops what nobody has used for its time.
    pub fn expire(&mut self, now: Instant) {
        let over = |used: Instant, keep: Duration| {
            now.saturating_duration_since(used) > keep + KEEP_MARGIN
        };
        self.programs
            .retain(|_, entry| !over(entry.used, entry.keep));
        let mut released: Vec<TurnEntry> = Vec::new();
        let ended: Vec<TurnId> = self
            .turns
            .iter()
            .filter(|(_, entry)| over(entry.used, entry.keep))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            released.extend(self.turns.remove(&id));
        }
        for entry in released {
            self.live_bytes = self.live_bytes.saturating_sub(entry.bytes());
            self.release_blocks(&entry.blocks);
        }
    }

    fn release_blocks(&mut self, blocks: &[Bytes]) {
        for block in blocks {
            let hash = block_hash(block);
            let Some(shared) = self.blocks.get_mut(&hash) else {
                continue;
            };
            shared.users -= 1;
            if shared.users == 0 {
                self.blocks.remove(&hash);
            }
        }
    }

    /// Returns the turns that are kept.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Returns the bytes of all turns as they were sent.
    #[must_use]
    pub fn live_bytes(&self) -> usize {
        self.live_bytes
    }

    /// Returns the bytes of input that memory holds, equal blocks counted once.
    #[must_use]
    pub fn block_bytes(&self) -> usize {
        self.blocks.values().map(|block| block.bytes.len()).sum()
    }
}

/// Returns a turn's fact without its input.
fn bare_turn(turn: &TurnId, entry: &TurnEntry) -> TurnFact {
    TurnFact {
        program: entry.program.clone(),
        turn: turn.clone(),
        previous: entry.previous.clone(),
        input: Bytes::new(),
        output: entry.output.clone(),
        spent: entry.spent,
        place: entry.place.clone(),
        keep: entry.keep,
    }
}

fn block_hash(block: &[u8]) -> BlockHash {
    let mut hash = BlockHash::default();
    hash.copy_from_slice(&blake3::hash(block).as_bytes()[..16]);
    hash
}

fn part_of(key: &[u8]) -> u8 {
    blake3::hash(key).as_bytes()[0] % EXPORT_PARTS
}
