//! Budgets, chains, exports and expiry of facts, in memory.

use std::time::{Duration, Instant};

use bytes::Bytes;
use quickcheck::quickcheck;
use samphiregrade_gateway::fact::{
    FactBook, FactRecord, KnownChain, ProgramLedger, Reservation, TurnFact, TurnPlace,
};

const KEEP: Duration = Duration::from_mins(1);

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
    }
}

#[test]
fn budget_counts_open_turns_at_their_most() {
    let mut ledger = ProgramLedger::default();
    ledger.add(reservation("a", 100, Some(40)));
    ledger.add(reservation("b", 100, None));
    ledger.add(reservation("c", 100, None));
    assert!(ledger.holds(240, &"c".into(), 100));
    assert!(!ledger.holds(239, &"c".into(), 100));
    ledger.add(reservation("b", 100, Some(0)));
    assert!(ledger.holds(140, &"c".into(), 100));
}

quickcheck! {
    fn merged_ledgers_know_what_either_knew(left: Vec<(u8, u8, bool)>, right: Vec<(u8, u8, bool)>) -> bool {
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

    fn chain_joins_inputs_and_outputs_from_the_oldest(parts: Vec<(Vec<u8>, Vec<u8>)>) -> bool {
        let now = Instant::now();
        let mut book = FactBook::default();
        let mut expected = Vec::new();
        for (index, (input, output)) in parts.iter().enumerate() {
            let previous = index.checked_sub(1).map(|index| index.to_string());
            book.take(&turn(&index.to_string(), previous.as_deref(), input, output), now);
            expected.extend_from_slice(input);
            expected.extend_from_slice(output);
        }
        let Some(last) = parts.len().checked_sub(1) else {
            return true;
        };
        book.chain(&last.to_string().into(), now) == Some(KnownChain { joined: expected.into(), missing: None })
    }

    fn export_brings_the_same_facts(inputs: Vec<Vec<u8>>) -> bool {
        let now = Instant::now();
        let mut book = FactBook::default();
        let shared = vec![7; 5000];
        for (index, input) in inputs.iter().enumerate() {
            let input = [&shared[..], input].concat();
            book.take(&turn(&index.to_string(), None, &input, b"out\n"), now);
        }
        let mut copy = FactBook::default();
        for part in 0..=u8::MAX {
            for fact in book.export(part).into_facts() {
                copy.take(&fact, now);
            }
        }
        (0..inputs.len()).all(|index| {
            let id = index.to_string().into();
            copy.chain(&id, now) == book.chain(&id, now)
        }) && copy.ledger("p").reservations.len() == book.ledger("p").reservations.len()
    }
}

#[test]
fn equal_inputs_are_kept_once() {
    let now = Instant::now();
    let mut book = FactBook::default();
    let shared: Vec<u8> = (0..12_000_u32).map(|index| (index % 251) as u8).collect();
    for index in 0..50 {
        let input = [&shared[..], format!("own {index}").as_bytes()].concat();
        book.take(&turn(&index.to_string(), None, &input, b"out\n"), now);
    }
    assert!(book.live_bytes() > 600_000);
    assert!(book.block_bytes() < 100_000, "{}", book.block_bytes());
}

#[test]
fn used_chain_is_kept_and_others_expire() {
    let start = Instant::now();
    let mut book = FactBook::default();
    book.take(&turn("a", None, b"1", b"2"), start);
    book.take(&turn("b", Some("a"), b"3", b"4"), start);
    book.take(&turn("x", None, b"5", b"6"), start);
    let later = start + Duration::from_secs(80);
    assert!(book.chain(&"b".into(), later).is_some());
    book.expire(start + Duration::from_secs(100));
    assert_eq!(book.turn_count(), 2);
    assert!(book.chain(&"b".into(), later).is_some());
    book.expire(start + Duration::from_mins(5));
    assert_eq!((book.turn_count(), book.block_bytes()), (0, 0));
}

#[test]
fn place_of_the_own_line_goes_before_the_programs() {
    let place = |session: &str, upstream: &str| {
        Some(TurnPlace {
            session: session.into(),
            upstream: upstream.into(),
            tokens: 10,
        })
    };
    let mut ledger = ProgramLedger::default();
    for (turn, place) in [("a", place("s", "i-1")), ("b", place("t", "i-2"))] {
        ledger.add(Reservation {
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
