//! Upstreams that come, drain, lapse and come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use samphiregrade_gateway::model::{PromptPart, ReportedLoad, UpstreamRecord, UpstreamState};
use samphiregrade_gateway::upstream::{DepartureRule, Upstream, UpstreamRegistry};

const DRAIN: Duration = Duration::from_secs(2);

fn entry(id: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        started: None,
        service: "engines".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "a".into(),
        slots: 8,
        state,
        cold: Duration::ZERO,
    }
}

/// An entry of an upstream that started at a time, with everything else as ever.
fn started(id: &str, started: u64) -> UpstreamRecord {
    UpstreamRecord {
        started: Some(started),
        ..entry(id, UpstreamState::Ready)
    }
}

fn only(registry: &UpstreamRegistry) -> Arc<Upstream> {
    let directory = registry.directory().load_full();
    let upstreams = directory.of("engines");
    assert_eq!(upstreams.len(), 1);
    upstreams[0].clone()
}

fn usable(registry: &UpstreamRegistry) -> Vec<String> {
    let directory = registry.directory().load_full();
    let upstreams = directory
        .of("engines")
        .iter()
        .filter(|upstream| upstream.takes_requests());
    upstreams
        .map(|upstream| upstream.record.id.to_string())
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
    let due = registry.drop_departed(now).expect("a time to look again");
    assert!(due < now + DRAIN);
    registry.drop_departed(due);
    assert!(usable(&registry).is_empty());
}

#[test]
fn lapsed_entries_have_time_to_come_back_after_an_outage() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    registry.put(entry("i-2", UpstreamState::Ready), now);
    registry.record_store_outage(now);
    registry.replace(Vec::new(), now);
    registry.drop_departed(now + Duration::from_millis(1900));
    assert_eq!(usable(&registry).len(), 2);
    registry.put(
        entry("i-1", UpstreamState::Ready),
        now + Duration::from_secs(2),
    );
    registry.drop_departed(now + Duration::from_millis(2300));
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
    let far = |id: &str| UpstreamRecord {
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
        let load = upstreams[index].load(later);
        let candidate = upstreams[index].candidate(load, &[], false, &"a".into(), later);
        candidate.penalty
    };
    let _waiting = upstreams[1].await_head(Arc::default(), now);
    assert!(penalty(2) > Duration::from_millis(400));
    assert_eq!(penalty(0), Duration::ZERO);
    upstreams[2].record_domain_response(later);
    assert_eq!(penalty(2), Duration::ZERO);
    assert!(penalty(1) > Duration::from_millis(400));
}

#[test]
fn upstream_that_started_again_holds_nothing_of_before() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(started("i-1", 1000), now);
    let before = only(&registry);
    let prompt = [PromptPart {
        tag: 7,
        tokens: 900,
    }];
    before.note_prompt(&prompt, 100_000, now);
    before.record_failure(now, true);
    let load = ReportedLoad {
        running: 5,
        waiting: 2,
        slots: 8,
    };
    before.note_load(load, now);
    let again = UpstreamRecord {
        slots: 4,
        ..started("i-1", 2000)
    };
    registry.put(again, now);
    let after = only(&registry);
    let candidate = after.candidate(after.load(now), &prompt, false, &"a".into(), now);
    assert_eq!(candidate.uncached_tokens, 900);
    assert!(candidate.load < 0.01 && after.is_breaker_closed(now));
    assert!((candidate.slots - 4.0).abs() < 0.01);
    assert!(!before.takes_requests(), "who still holds it sends nothing");
}

/// Returns whether an answer that is silent is given up soon.
async fn is_given_up(upstream: &Upstream) -> bool {
    let lost = upstream.wait_until_unreachable(Duration::from_millis(20));
    tokio::time::timeout(Duration::from_millis(200), lost)
        .await
        .is_ok()
}

#[tokio::test]
async fn silent_answer_is_given_up_where_its_path_was_found_to_be_cut() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    let upstream = only(&registry);
    assert!(!is_given_up(&upstream).await, "silence alone is no reason");
    upstream.mark_domain_unreachable(Instant::now());
    assert!(is_given_up(&upstream).await);
    upstream.record_domain_response(Instant::now());
    assert!(!is_given_up(&upstream).await, "the way is open again");
}

#[test]
fn entry_of_a_start_that_is_over_says_nothing() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(started("i-1", 2000), now);
    let late = UpstreamRecord {
        state: UpstreamState::Draining,
        ..started("i-1", 1000)
    };
    registry.put(late, now);
    assert!(only(&registry).takes_requests());
}

#[test]
fn same_start_keeps_what_is_known_of_it() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(started("i-1", 1000), now);
    let before = only(&registry);
    registry.put(started("i-1", 1000), now);
    registry.put(entry("i-1", UpstreamState::Ready), now);
    assert!(Arc::ptr_eq(&before, &only(&registry)));
}

#[test]
fn known_id_with_another_address_or_service_is_another_upstream() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    let moved = UpstreamRecord {
        address: "127.0.0.1:10".parse().expect("an address"),
        ..entry("i-1", UpstreamState::Ready)
    };
    registry.put(moved.clone(), now);
    assert_eq!(only(&registry).record.address, moved.address);
    let lent = UpstreamRecord {
        service: "tools".into(),
        ..moved
    };
    registry.put(lent, now);
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.directory().load().of("tools").len(), 1);
}

#[test]
fn rejected_entry_names_no_upstream_until_it_can_be_read_again() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(entry("i-1", UpstreamState::Ready), now);
    registry.put(entry("i-2", UpstreamState::Ready), now);
    registry.reject(&"i-1".into(), now);
    assert_eq!(usable(&registry), ["i-2"]);
    registry.put(entry("i-1", UpstreamState::Ready), now);
    assert_eq!(usable(&registry), ["i-1", "i-2"]);
    registry.reject(&"i-1".into(), now);
    let due = registry.drop_departed(now).expect("a time to look again");
    registry.drop_departed(due);
    registry.put(entry("i-1", UpstreamState::Ready), due);
    assert_eq!(usable(&registry), ["i-1", "i-2"]);
}
