//! Tests of the in-memory index of facts: budgets, chains, exports and expiry.

use std::time::{Duration, Instant};

use bytes::Bytes;
use quickcheck::quickcheck;
use samphiregrade_gateway::fact::{
    ExportRequest, FactIndex, FactPart, FactRecord, FrameLocation, KeeperPlacement, KeeperSlot,
    KnownChain, ProgramLedger, Reservation, TurnContent, TurnFact, TurnPlace,
};

const KEEP: Duration = Duration::from_mins(1);

/// Concatenates the content of a chain that is in memory.
pub fn joined(chain: &KnownChain) -> Vec<u8> {
    let mut bytes = Vec::new();
    for content in &chain.turns {
        let TurnContent::Memory { input, output } = content else {
            panic!("not in memory: {content:?}");
        };
        bytes.extend_from_slice(input);
        bytes.extend_from_slice(output);
    }
    bytes
}

/// Exports all facts of one part.
pub fn export_all(fact_index: &FactIndex, part: u8) -> FactPart {
    let request = ExportRequest {
        part,
        ..ExportRequest::default()
    };
    fact_index.export(&request, &KeeperPlacement::default())
}

pub fn turn(id: &str, previous: Option<&str>, input: &[u8], output: &[u8]) -> FactRecord {
    FactRecord::Turn(TurnFact {
        program: "p".into(),
        turn: id.into(),
        previous: previous.map(Into::into),
        input: Bytes::copy_from_slice(input),
        output: Bytes::copy_from_slice(output),
        spent: 30,
        place: None,
        keep: KEEP,
    })
}

fn reservation(turn: &str, most: u32, spent: Option<u32>) -> Reservation {
    Reservation {
        turn: turn.into(),
        most,
        spent,
        place: None,
        program_left: None,
    }
}

#[test]
fn budget_counts_open_turns_at_their_maximum() {
    let mut ledger = ProgramLedger::default();
    ledger.add(reservation("a", 100, Some(40)));
    ledger.add(reservation("b", 100, None));
    ledger.add(reservation("c", 100, None));
    assert!(ledger.fits_budget(240, &"c".into(), 100));
    assert!(!ledger.fits_budget(239, &"c".into(), 100));
    ledger.add(reservation("b", 100, Some(0)));
    assert!(ledger.fits_budget(140, &"c".into(), 100));
}

quickcheck! {
    fn merge_of_ledgers_is_commutative(left: Vec<(u8, u8, bool)>, right: Vec<(u8, u8, bool)>) -> bool {
        let ledger = |rows: &[(u8, u8, bool)]| {
            let mut ledger = ProgramLedger::default();
            for (turn, spent, ended) in rows {
                let spent = ended.then_some(u32::from(*spent));
                ledger.add(reservation(&turn.to_string(), 300, spent));
            }
            ledger
        };
        let mut one = ledger(&left);
        one.merge(ledger(&right));
        let mut other = ledger(&right);
        other.merge(ledger(&left));
        let sorted = |mut ledger: ProgramLedger| {
            ledger.reservations.sort_by(|a, b| a.turn.cmp(&b.turn));
            ledger
        };
        sorted(one) == sorted(other)
    }

    fn chain_is_ordered_from_the_oldest_turn(parts: Vec<(Vec<u8>, Vec<u8>)>) -> bool {
        let now = Instant::now();
        let mut fact_index = FactIndex::default();
        let mut expected = Vec::new();
        for (index, (input, output)) in parts.iter().enumerate() {
            let previous = index.checked_sub(1).map(|index| index.to_string());
            fact_index.insert(&turn(&index.to_string(), previous.as_deref(), input, output), now);
            expected.extend_from_slice(input);
            expected.extend_from_slice(output);
        }
        let Some(last) = parts.len().checked_sub(1) else {
            return true;
        };
        let chain = fact_index.chain(&last.to_string().into(), now).expect("a known chain");
        chain.missing.is_none() && joined(&chain) == expected
    }

    fn exported_facts_rebuild_the_same_index(inputs: Vec<Vec<u8>>) -> bool {
        let now = Instant::now();
        let mut fact_index = FactIndex::default();
        let shared = vec![7; 5000];
        for (index, input) in inputs.iter().enumerate() {
            let input = [&shared[..], input].concat();
            fact_index.insert(&turn(&index.to_string(), None, &input, b"out\n"), now);
        }
        let mut copy = FactIndex::default();
        for part in 0..=u8::MAX {
            for fact in export_all(&fact_index, part).facts {
                copy.insert(&fact, now);
            }
        }
        (0..inputs.len()).all(|index| {
            let id = index.to_string().into();
            copy.chain(&id, now) == fact_index.chain(&id, now)
        }) && copy.ledger("p").reservations.len() == fact_index.ledger("p").reservations.len()
    }
}

#[test]
fn content_leaves_memory_once_it_is_on_disk() {
    let now = Instant::now();
    let mut fact_index = FactIndex::default();
    let fact = turn("a", None, b"in", b"out");
    fact_index.insert(&fact, now);
    let location = FrameLocation {
        segment: 3,
        offset: 17,
        length: 40,
    };
    fact_index.set_disk_location(&fact.without_content(), location);
    let chain = fact_index.chain(&"a".into(), now).expect("a known chain");
    assert_eq!(chain.turns, [TurnContent::Disk(location)]);
    let parts = (0..=u8::MAX).map(|part| export_all(&fact_index, part));
    let on_disk: Vec<FrameLocation> = parts.flat_map(|part| part.on_disk).collect();
    assert_eq!(on_disk, [location]);
}

#[test]
fn used_chain_is_kept_and_unused_ones_expire() {
    let start = Instant::now();
    let mut fact_index = FactIndex::default();
    fact_index.insert(&turn("a", None, b"1", b"2"), start);
    fact_index.insert(&turn("b", Some("a"), b"3", b"4"), start);
    fact_index.insert(&turn("x", None, b"5", b"6"), start);
    let later = start + Duration::from_secs(80);
    assert!(fact_index.chain(&"b".into(), later).is_some());
    fact_index.expire(start + Duration::from_secs(85));
    assert_eq!(fact_index.turn_count(), 2);
    assert!(fact_index.chain(&"b".into(), later).is_some());
    fact_index.expire(start + Duration::from_mins(5));
    assert_eq!((fact_index.turn_count(), fact_index.live_bytes()), (0, 0));
}

#[test]
fn place_of_the_own_session_is_preferred_to_the_programs() {
    let place = |session: &str, upstream: &str| {
        Some(TurnPlace {
            started: None,
            session: session.into(),
            upstream: upstream.into(),
            tokens: 10,
        })
    };
    let mut ledger = ProgramLedger::default();
    for (turn, place) in [("a", place("s", "i-1")), ("b", place("t", "i-2"))] {
        ledger.add(Reservation {
            program_left: None,
            place,
            ..reservation(turn, 1, Some(1))
        });
    }
    let upstream = |session: &str| {
        let place = ledger.last_place(Some(&session.into()));
        place.map(|place| place.upstream.to_string())
    };
    assert_eq!(upstream("s").as_deref(), Some("i-1"));
    assert_eq!(upstream("new").as_deref(), Some("i-2"));
}

#[test]
fn export_omits_known_facts_and_those_of_other_slots() {
    let now = Instant::now();
    let mut fact_index = FactIndex::default();
    for index in 0..40 {
        let mut fact = turn(&format!("t{index}"), None, b"in", b"out");
        if let FactRecord::Turn(turn) = &mut fact {
            turn.program = format!("p{index}").into();
        }
        fact_index.insert(&fact, now);
    }
    let slots = (0..8_u16).map(|index| KeeperSlot {
        name: format!("k{index}").into(),
        address: ([127, 0, 0, 1], index).into(),
        domain: format!("d{}", index % 3).into(),
    });
    let placement = KeeperPlacement::first(slots.collect(), 2);
    let mut of_slot = 0;
    for part in 0..=u8::MAX {
        let mut request = ExportRequest {
            part,
            slot: Some(3),
            known: Vec::new(),
            ..ExportRequest::default()
        };
        let facts = fact_index.export(&request, &placement).facts;
        of_slot += facts.len();
        for fact in facts {
            let FactRecord::Turn(turn) = fact else {
                panic!("{fact:?}");
            };
            assert!(placement.group(&turn.program).contains(&3));
        }
        request.known = fact_index.known_digests(part);
        assert!(fact_index.export(&request, &placement).facts.is_empty());
    }
    let expected = (0..40).filter(|index| placement.group(&format!("p{index}")).contains(&3));
    assert_eq!(of_slot, expected.count());
}

// Guards against a turn that stays unreadable because a late reply points it to a segment that a compaction removed.
#[test]
fn location_in_an_older_segment_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let mut index = FactIndex::default();
    let fact = turn("t", None, b"in", b"out");
    index.insert(&fact, now);
    let location = |segment| FrameLocation {
        segment,
        offset: 0,
        length: 100,
    };
    index.set_disk_location(&fact, location(5));
    index.set_disk_location(&fact, location(3));
    let chain = index.chain(&"t".into(), now).expect("a chain");
    assert_eq!(chain.turns, [TurnContent::Disk(location(5))]);
    index.set_disk_location(&fact, location(6));
    let chain = index.chain(&"t".into(), now).expect("a chain");
    assert_eq!(chain.turns, [TurnContent::Disk(location(6))]);
}
