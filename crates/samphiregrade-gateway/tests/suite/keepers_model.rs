//! Model test of the keepers: random partial writes, lost disks, rebuilds and reads.
//!
//! The model uses the product's placement arithmetic and fact index. Invariants, as long as no more disks are lost at
//! once than the placement tolerates: an acknowledged turn is never reported as absent, and a ledger on which a
//! decision is based includes every acknowledged reservation, origin of a stream and try of a request.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use samphiregrade_gateway::fact::{
    FactIndex, FactRecord, KeeperPlacement, KeeperSlot, KnownTries, RequestTry, Reservation,
    TryFact, TryState, try_key,
};

use crate::facts::{export_all, turn};

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A turn is written; the bits select the keepers that it reaches.
    Write(u8),
    /// A reservation is written; the bits select the keepers that it reaches.
    Reserve(u8),
    /// A reservation is written with the origin of its stream; the bits select the keepers that it reaches.
    Begin(u8),
    /// A try of a request is recorded with a state; the bits select the keepers that it reaches.
    Try(u8, TryState),
    /// A keeper loses its disk, if one more loss is tolerated.
    Wipe(u8),
    /// A keeper that lost its disk reads the other reachable keepers, selected by the bits.
    Rebuild(u8, u8),
    /// A reader queries the reachable keepers, selected by the bits, for all acknowledged facts.
    Read(u8),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let (one, two) = (u8::arbitrary(source), u8::arbitrary(source));
        match u8::arbitrary(source) % 8 {
            0 | 1 => Self::Write(one),
            2 => Self::Reserve(one),
            3 => Self::Wipe(one),
            4 => Self::Rebuild(one, two),
            5 => Self::Begin(one),
            6 => {
                let states = [
                    TryState::Open,
                    TryState::Unresolved,
                    TryState::Ended,
                    TryState::Harmless,
                ];
                Self::Try(one, states[usize::from(two) % states.len()])
            }
            _ => Self::Read(one),
        }
    }
}

struct Keeper {
    facts: FactIndex,
    complete: bool,
}

struct World {
    keepers: Vec<Keeper>,
    placement: KeeperPlacement,
    acknowledged: Vec<FactRecord>,
    written: usize,
    now: Instant,
}

fn reaches(bits: u8, index: usize) -> bool {
    bits >> index & 1 == 1
}

impl World {
    fn new(tolerated_losses: usize) -> Self {
        let count = u16::try_from(KeeperPlacement::wanted_copies(tolerated_losses))
            .expect("a small number");
        let slots = (0..count).map(|index| KeeperSlot {
            name: format!("k{index}").into(),
            address: ([127, 0, 0, 1], index).into(),
            domain: format!("d{index}").into(),
        });
        let placement = KeeperPlacement::first(slots.collect(), tolerated_losses);
        let keepers = placement.slots.iter().map(|_| Keeper {
            facts: FactIndex::default(),
            complete: true,
        });
        Self {
            keepers: keepers.collect(),
            placement: placement.clone(),
            acknowledged: Vec::new(),
            written: 0,
            now: Instant::now(),
        }
    }

    fn store(&mut self, fact: FactRecord, bits: u8) {
        let mut stored = 0;
        for (index, keeper) in self.keepers.iter_mut().enumerate() {
            if reaches(bits, index) {
                keeper.facts.insert(&fact, self.now);
                stored += 1;
            }
        }
        if stored >= self.placement.majority() {
            self.acknowledged.push(fact);
        }
    }

    fn next_reservation(&mut self) -> Reservation {
        self.written += 1;
        Reservation {
            turn: format!("r{}", self.written).into(),
            most: 100,
            spent: None,
            place: None,
            program_left: None,
        }
    }

    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Write(bits) => {
                self.written += 1;
                let id = format!("t{}", self.written);
                self.store(turn(&id, None, id.as_bytes(), b"out\n"), bits);
            }
            Step::Reserve(bits) => {
                let fact = FactRecord::Reservation {
                    program: "p".into(),
                    reservation: self.next_reservation(),
                    keep: Duration::from_mins(1),
                };
                self.store(fact, bits);
            }
            Step::Begin(bits) => {
                let fact = FactRecord::Stream {
                    program: "p".into(),
                    reservation: self.next_reservation(),
                    software: self.written as u64,
                    keep: Duration::from_mins(1),
                };
                self.store(fact, bits);
            }
            Step::Try(bits, state) => {
                self.written += 1;
                let tries = KnownTries::from(RequestTry {
                    number: u64::from(bits) % 5,
                    upstream: self.written as u64,
                    state,
                });
                let fact = TryFact::new(try_key(1), tries.into(), Duration::ZERO);
                self.store(FactRecord::Tries(fact), bits);
            }
            Step::Wipe(which) => self.wipe(which),
            Step::Rebuild(which, bits) => self.rebuild(which, bits),
            Step::Read(bits) => return self.reads_are_correct(bits),
        }
        true
    }

    fn wipe(&mut self, which: u8) {
        let lost = self
            .keepers
            .iter()
            .filter(|keeper| !keeper.complete)
            .count();
        if lost >= self.placement.copies - self.placement.majority() {
            return;
        }
        let index = usize::from(which) % self.keepers.len();
        self.keepers[index] = Keeper {
            facts: FactIndex::default(),
            complete: false,
        };
    }

    fn rebuild(&mut self, which: u8, bits: u8) {
        let index = usize::from(which) % self.keepers.len();
        if self.keepers[index].complete {
            return;
        }
        let sources: Vec<usize> = (0..self.keepers.len())
            .filter(|&other| other != index && reaches(bits, other) && self.keepers[other].complete)
            .collect();
        for &source in &sources {
            for part in 0..=u8::MAX {
                for fact in export_all(&self.keepers[source].facts, part).facts {
                    self.keepers[index].facts.insert(&fact, self.now);
                }
            }
        }
        if sources.len() >= self.placement.rebuild_sources() {
            self.keepers[index].complete = true;
        }
    }

    fn reads_are_correct(&mut self, bits: u8) -> bool {
        let queried: Vec<usize> = (0..self.keepers.len())
            .filter(|&index| reaches(bits, index))
            .collect();
        let complete = queried
            .iter()
            .filter(|&&index| self.keepers[index].complete)
            .count();
        for fact in self.acknowledged.clone() {
            let known = queried.iter().any(|&index| match &fact {
                FactRecord::Turn(turn) => self.keepers[index]
                    .facts
                    .chain(&turn.turn, self.now)
                    .is_some(),
                FactRecord::Reservation { reservation, .. } => {
                    let ledger = self.keepers[index].facts.ledger("p");
                    ledger
                        .reservations
                        .iter()
                        .any(|known| known.turn == reservation.turn)
                }
                FactRecord::Stream {
                    reservation,
                    software,
                    ..
                } => {
                    let ledger = self.keepers[index].facts.ledger("p");
                    ledger.origin(&reservation.turn) == Some(*software)
                }
                FactRecord::Tries(fact) => {
                    let (known, _) = self.keepers[index].facts.tries(&fact.key, self.now);
                    fact.timed.tries.iter().all(|stored| {
                        known.tries.iter().any(|known| {
                            known.number == stored.number && known.state >= stored.state
                        })
                    })
                }
                FactRecord::LimitUses { .. }
                | FactRecord::LimitReservations { .. }
                | FactRecord::LimitSnapshot { .. } => {
                    unreachable!("only homes write limit uses")
                }
            });
            let quorum = match &fact {
                FactRecord::Turn(_) => self.placement.global_read_quorum(),
                FactRecord::Reservation { .. }
                | FactRecord::Stream { .. }
                | FactRecord::Tries(_) => self.placement.read_quorum(),
                FactRecord::LimitUses { .. }
                | FactRecord::LimitReservations { .. }
                | FactRecord::LimitSnapshot { .. } => {
                    unreachable!("only homes write limit uses")
                }
            };
            if !known && complete >= quorum {
                return false;
            }
        }
        true
    }
}

quickcheck! {
    fn acknowledged_facts_are_found_with_three_keepers(steps: Vec<Step>) -> bool {
        let mut world = World::new(1);
        steps.into_iter().all(|step| world.step(step)) && world.reads_are_correct(u8::MAX)
    }

    fn acknowledged_facts_are_found_with_five_keepers(steps: Vec<Step>) -> bool {
        let mut world = World::new(2);
        steps.into_iter().all(|step| world.step(step)) && world.reads_are_correct(u8::MAX)
    }
}
