//! Upstreams that come, drain, lapse and come back.

use std::time::{Duration, Instant};

use samphiregrade_gateway::model::{ReportedLoad, UpstreamEntry, UpstreamState};
use samphiregrade_gateway::upstream::{DepartureRule, Upstream, UpstreamRegistry};

const DRAIN: Duration = Duration::from_secs(2);

fn entry(id: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        service: "engines".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "a".into(),
        slots: 8,
        state,
        cold: Duration::ZERO,
    }
}

fn usable(registry: &UpstreamRegistry) -> Vec<String> {
    let directory = registry.directory().load_full();
    let upstreams = directory
        .of("engines")
        .iter()
        .filter(|upstream| upstream.takes_requests());
    upstreams
        .map(|upstream| upstream.entry.id.to_string())
        .collect()
}

#[test]
fn draining_upstream_gets_nothing_at_once() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    registry.put(entry("i-2", UpstreamState::Ready), now);
    registry.put(entry("i-1", UpstreamState::Draining), now);
    assert_eq!(usable(&registry), ["i-2"]);
}

#[test]
fn upstream_without_entry_is_dropped_within_the_time_for_draining() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    registry.remove(&"i-1".into(), now);
    let due = registry.settle(now).expect("a time to look again");
    assert!(due < now + DRAIN);
    registry.settle(due);
    assert!(usable(&registry).is_empty());
}

#[test]
fn lapsed_entries_have_time_to_come_back_after_an_outage() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    registry.put(entry("i-2", UpstreamState::Ready), now);
    registry.unsettle(now);
    registry.replace(Vec::new(), now);
    registry.settle(now + Duration::from_millis(1900));
    assert_eq!(usable(&registry).len(), 2);
    registry.put(
        entry("i-1", UpstreamState::Ready),
        now + Duration::from_secs(2),
    );
    registry.settle(now + Duration::from_millis(2300));
    assert_eq!(usable(&registry), ["i-1"]);
}

#[test]
fn load_counts_own_requests_and_fades_others() {
    let now = Instant::now();
    let upstream = std::sync::Arc::new(Upstream::new(
        entry("i-1", UpstreamState::Ready),
        std::sync::Arc::default(),
        now,
    ));
    let own = upstream.begin();
    let load = ReportedLoad {
        running: 5,
        waiting: 0,
        slots: 8,
    };
    upstream.note_load(load, now);
    assert!((upstream.load(now) - 5.0).abs() < 0.01);
    assert!((upstream.load(now + Duration::from_millis(250)) - 3.0).abs() < 0.01);
    drop(own);
    assert!((upstream.load(now) - 4.0).abs() < 0.01);
}

#[test]
fn silent_failure_domain_costs_at_all_of_its_upstreams() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    let far = |id: &str| UpstreamEntry {
        domain: "b".into(),
        ..entry(id, UpstreamState::Ready)
    };
    registry.put(entry("i-1", UpstreamState::Ready), now);
    registry.put(far("i-2"), now);
    registry.put(far("i-3"), now);
    let directory = registry.directory().load_full();
    let upstreams = directory.of("engines");
    let later = now + Duration::from_millis(500);
    let penalty = |index: usize| {
        let candidate = upstreams[index].candidate(&[], false, &"a".into(), later);
        candidate.penalty
    };
    let _waiting = upstreams[1].await_head(now);
    assert!(penalty(2) > Duration::from_millis(400));
    assert_eq!(penalty(0), Duration::ZERO);
    upstreams[2].hear_domain(later);
    assert_eq!(penalty(2), Duration::ZERO);
    assert!(penalty(1) > Duration::from_millis(400));
}
