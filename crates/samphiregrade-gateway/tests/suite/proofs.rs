//! Proofs of the keys' freshness around an outage of the key-value service, played in steps of a millisecond.
//!
//! Load: a bound of 5 s, three failure domains with two keepers each, reads and transfers of a few milliseconds.

use std::ops::Range;
use std::time::Duration;

use quickcheck::quickcheck;
use samphiregrade_gateway::access::{
    BootTime, FreshnessRule, KeyFreshness, ProofTiming, READS_IN_FLIGHT, read_phase,
};
use samphiregrade_gateway::exchange::{Refusal, RefusalReason, proof_retry_after};
use samphiregrade_gateway::fact::{KeeperSlot, ProofRoute};

const BOUND: Duration = Duration::from_secs(5);

/// Duration of a read in milliseconds, unless the service is slow.
const READ_TIME: u64 = 6;

/// Time in milliseconds at which outages begin, before the phase is added.
const OUTAGE_START: u64 = 10_000;

/// Highest number of phases played per interval.
const PHASES: u64 = 50;

fn at(milliseconds: u64) -> BootTime {
    BootTime::since_start(Duration::from_millis(milliseconds))
}

fn timing() -> ProofTiming {
    ProofTiming::for_bound(BOUND)
}

fn slots() -> Vec<KeeperSlot> {
    let names = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
        ("c2", "c"),
    ];
    let slot = |(name, domain): (&str, &str)| KeeperSlot {
        name: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain.into(),
    };
    names.map(slot).into()
}

/// Faults of a play.
#[derive(Clone, Default)]
struct Faults {
    /// Time in milliseconds in which the service answers nobody.
    outage: Range<u64>,
    /// Keepers whose reads fail during the whole play.
    rejected: Vec<&'static str>,
    /// Factor of the duration of a read.
    slowness: u64,
}

/// A keeper that reads for one entry's domain.
#[derive(Clone, Default)]
struct PlayedKeeper {
    next_read: u64,
    active_until: u64,
    /// Times of the successful reads: sent, completed.
    reads: Vec<(u64, u64)>,
    calls: Vec<u64>,
}

impl PlayedKeeper {
    /// Reads if a read is due.
    fn step(&mut self, name: &str, phase: f64, now: u64, faults: &Faults) {
        if now < self.next_read || now > self.active_until {
            return;
        }
        self.calls.push(now);
        if !faults.outage.contains(&now) && !faults.rejected.contains(&name) {
            let duration = READ_TIME * faults.slowness.max(1);
            self.reads.push((now, now + duration));
        }
        let pause = timing().next_read_in(Duration::from_millis(now), phase);
        self.next_read = now + u64::try_from(pause.as_millis()).expect("a short pause");
    }

    /// Returns the reply to a request that arrived at a time: when the proved read was sent.
    fn reply(&self, arrived: u64, now: u64) -> Option<u64> {
        let completed = self.reads.iter().filter(|(_, done)| *done <= now);
        let (sent, done) = completed.max()?;
        let age = Duration::from_millis(arrived.saturating_sub(*sent));
        let answers = *done > arrived || timing().is_recent(age);
        answers.then_some(*sent.min(&arrived))
    }
}

/// An entry of domain `a`, and the keepers.
struct Play {
    faults: Faults,
    slots: Vec<KeeperSlot>,
    keepers: Vec<PlayedKeeper>,
    freshness: KeyFreshness,
    route: ProofRoute,
    /// Start of the round in progress, and the keepers asked in it.
    round: Option<(u64, Vec<KeeperSlot>, bool)>,
    next_round: u64,
    /// Milliseconds in which known keys were refused.
    refused: Vec<u64>,
    max_age: Duration,
}

impl Play {
    fn new(faults: Faults) -> Self {
        Self {
            faults,
            slots: slots(),
            keepers: vec![PlayedKeeper::default(); 6],
            freshness: KeyFreshness::new(FreshnessRule {
                strict: Some(BOUND),
            }),
            route: ProofRoute::default(),
            round: None,
            next_round: 0,
            refused: Vec::new(),
            max_age: Duration::ZERO,
        }
    }

    fn run(mut self, until: u64) -> Self {
        let domains = self.slots.iter().map(|slot| slot.domain.clone()).collect();
        for now in 1..until {
            for (slot, keeper) in self.slots.iter().zip(&mut self.keepers) {
                let phase = read_phase(&domains, &slot.domain);
                keeper.step(&slot.name, phase, now, &self.faults);
            }
            self.step_entry(now);
            if now > 2000 && !self.freshness.permits_known_keys(at(now)) {
                self.refused.push(now);
            }
            if now > 2000 && now <= OUTAGE_START {
                let age = self.freshness.age(at(now));
                self.max_age = self.max_age.max(age.unwrap_or_default());
            }
        }
        self
    }

    fn step_entry(&mut self, now: u64) {
        let age = self.freshness.age(at(now));
        let overdue = age.is_none_or(|age| age >= timing().overdue_age);
        let Some((sent, asked, wide)) = self.round.take() else {
            if now >= self.next_round {
                self.begin_round(now, overdue);
            }
            return;
        };
        let preferred = self
            .route
            .preferred(&self.slots, at(sent))
            .expect("a keeper");
        let preferred = preferred.name.clone();
        for slot in &asked {
            let index = self.slots.iter().position(|other| other == slot);
            let keeper = &self.keepers[index.expect("a known keeper")];
            let Some(proved) = keeper.reply(sent, now) else {
                continue;
            };
            self.freshness.prove(at(proved));
            self.route.record(&preferred, Some(&slot.name), at(now));
            let age = Duration::from_millis(now - proved);
            let pause = timing().next_request_in(age);
            self.next_round = now + u64::try_from(pause.as_millis()).expect("a short pause");
            return;
        }
        let held = Duration::from_millis(now - sent);
        if held >= timing().hold || (overdue && !wide) {
            if wide {
                self.route.record(&preferred, None, at(now));
            }
            return;
        }
        self.round = Some((sent, asked, wide));
    }

    fn begin_round(&mut self, now: u64, overdue: bool) {
        let asked: Vec<KeeperSlot> = if overdue {
            let chosen = self.route.overdue(&self.slots);
            chosen.into_iter().cloned().collect()
        } else {
            let preferred = self.route.preferred(&self.slots, at(now));
            preferred.into_iter().cloned().collect()
        };
        for (slot, keeper) in self.slots.iter().zip(&mut self.keepers) {
            if asked.contains(slot) {
                if now > keeper.active_until {
                    keeper.next_read = now;
                }
                keeper.active_until = now + 1000;
            }
        }
        self.round = Some((now, asked, overdue));
    }

    fn calls(&self, name: &str) -> &[u64] {
        let index = self.slots.iter().position(|slot| slot.name == name);
        &self.keepers[index.expect("a known keeper")].calls
    }
}

/// Returns the longest time of refusal in milliseconds over all phases of an outage.
fn longest_refusal(outage: u64) -> usize {
    let interval = u64::try_from(timing().read_interval.as_millis()).expect("a short interval");
    let mut longest = 0;
    for phase in 0..PHASES {
        let start = OUTAGE_START + phase * interval / PHASES;
        let faults = Faults {
            outage: start..start + outage,
            ..Faults::default()
        };
        let play = Play::new(faults).run(start + outage + 1000);
        let late = play
            .refused
            .iter()
            .find(|time| **time > start + outage + 300);
        assert_eq!(late, None, "the proof comes late after the return");
        assert!(
            play.max_age <= BOUND / 6,
            "{:?} at the outage",
            play.max_age
        );
        longest = longest.max(play.refused.len());
    }
    longest
}

/// Guards against refusals of 1.7 s in outages that are shorter than the bound.
#[test]
fn outage_below_the_bound_refuses_keys_only_briefly() {
    let refused = longest_refusal(4600);
    assert!(refused <= 300, "{refused} ms");
}

#[test]
fn outage_above_the_bound_refuses_keys_for_little_more_than_the_excess() {
    let refused = longest_refusal(5800);
    assert!((1000..=1500).contains(&refused), "{refused} ms");
}

/// Guards against more calls than the service is sized for, also when it rejects them.
#[test]
fn keepers_make_at_most_two_calls_a_second() {
    let faults = Faults {
        outage: OUTAGE_START..OUTAGE_START + 5800,
        ..Faults::default()
    };
    let play = Play::new(faults).run(20_000);
    for slot in slots() {
        let calls = play.calls(&slot.name);
        for window in calls.windows(4) {
            assert!(window[3] - window[0] >= 1000, "{}: {window:?}", slot.name);
        }
        let usual = calls.iter().filter(|time| (3000..9000).contains(*time));
        let most = if slot.name == "a1" { 12 } else { 0 };
        assert!(usual.count() <= most, "{}", slot.name);
    }
}

/// Guards against entries that stay with a keeper whose calls are rejected.
#[test]
fn entry_moves_on_within_an_interval_if_its_keeper_is_rejected() {
    let faults = Faults {
        rejected: vec!["a1"],
        ..Faults::default()
    };
    let play = Play::new(faults).run(OUTAGE_START);
    assert!(play.refused.is_empty());
    assert!(
        play.max_age <= timing().read_interval * 2,
        "{:?}",
        play.max_age
    );
}

/// Guards against a failure domain that moves to another domain's keeper after one late reply, or stays there.
#[test]
fn other_keeper_is_preferred_after_two_misses_and_for_ten_seconds() {
    let slots = slots();
    let mut route = ProofRoute::default();
    let preferred = |route: &ProofRoute, now: u64| {
        let slot = route.preferred(&slots, at(now)).expect("a keeper");
        slot.name.clone()
    };
    for (now, expected) in [(1000, "a1"), (2000, "b1")] {
        route.record(&"a1".into(), Some(&"b1".into()), at(now));
        assert_eq!(preferred(&route, now), expected);
    }
    assert_eq!(preferred(&route, 11_000), "b1");
    assert_eq!(preferred(&route, 12_000), "a1");
}

/// Guards against entries that only ever query each domain's first keeper.
#[test]
fn keys_are_served_while_the_first_keeper_of_each_domain_is_rejected() {
    let faults = Faults {
        rejected: vec!["a1", "b1", "c1"],
        ..Faults::default()
    };
    let play = Play::new(faults).run(30_000);
    let refused = play.refused.iter().filter(|time| **time > 6000);
    assert_eq!(refused.count(), 0);
}

/// Guards against reads that wait for slow ones: sixty times the usual duration is most of an interval.
#[test]
fn slow_service_does_not_stop_proofs() {
    let faults = Faults {
        slowness: 60,
        ..Faults::default()
    };
    let play = Play::new(faults).run(OUTAGE_START);
    assert!(play.refused.is_empty());
    let longest = timing().read_interval * 2;
    assert!(play.max_age <= longest, "{:?}", play.max_age);
    assert!(timing().read_timeout < timing().read_interval * READS_IN_FLIGHT);
}

#[test]
fn short_bounds_are_read_as_often_as_before_and_long_ones_by_share() {
    let interval = |bound: u64| {
        let bound = Duration::from_millis(bound);
        ProofTiming::for_bound(bound).read_interval
    };
    assert_eq!(interval(500), Duration::from_millis(150));
    assert_eq!(interval(1500), Duration::from_millis(450));
    assert_eq!(interval(5000), Duration::from_millis(500));
    assert_eq!(interval(60_000), Duration::from_secs(6));
}

/// Guards against a change of deployments without a bound.
#[test]
fn timing_without_a_bound_is_as_before() {
    let rule = FreshnessRule { strict: None };
    assert_eq!(rule.proof_timing(), None);
    assert_eq!(rule.read_interval(), Duration::from_millis(10_500));
    assert_eq!(rule.ask_interval(), Duration::from_millis(4200));
    let freshness = KeyFreshness::new(rule);
    assert_eq!(freshness.unproved_for(at(100_000)), None);
    let refusal = Refusal::from(RefusalReason::KeysUnproved);
    assert_eq!(refusal.until_proof(None), refusal);
}

#[test]
fn retry_after_grows_with_the_time_without_proofs_and_is_spread() {
    let after = |milliseconds: u64, spread: f64| {
        proof_retry_after(Duration::from_millis(milliseconds), spread).as_millis()
    };
    assert_eq!((after(0, 0.0), after(0, 1.0)), (300, 420));
    assert_eq!((after(500, 0.0), after(500, 1.0)), (500, 700));
    assert!(after(5000, 0.0) >= 700 && after(5000, 1.0) <= 1000);
    let other = Refusal::from(RefusalReason::NoUpstream);
    assert_eq!(other.until_proof(Some(BOUND)), other);
}

quickcheck! {
    /// Guards against keepers that read twice at once if a timer fires early.
    fn reads_of_a_keeper_are_not_sent_together(time: u32, phase: u8) -> bool {
        let phase = f64::from(phase) / 256.0;
        let pause = timing().next_read_in(Duration::from_micros(u64::from(time)), phase);
        let interval = timing().read_interval;
        pause >= interval / 8 && pause <= interval.mul_f64(1.125)
    }
}
