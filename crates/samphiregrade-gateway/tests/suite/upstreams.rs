//! Upstreams that register, drain, expire and return.

use std::sync::Arc;
use std::time::{Duration, Instant};

use samphiregrade_gateway::model::{PromptPart, ReportedLoad, UpstreamRecord, UpstreamState};
use samphiregrade_gateway::upstream::{
    ContentionView, DepartureRule, Outcome, OutcomeTracker, Upstream, UpstreamRegistry,
};

const DRAIN: Duration = Duration::from_secs(2);

fn record(id: &str, state: UpstreamState) -> UpstreamRecord {
    UpstreamRecord {
        id: id.into(),
        started: None,
        service: "engines".into(),
        software: "v1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "a".into(),
        slots: 8,
        state,
        cold: Duration::ZERO,
    }
}

/// Returns a record of an upstream that started at a time.
fn started(id: &str, started: u64) -> UpstreamRecord {
    UpstreamRecord {
        started: Some(started),
        ..record(id, UpstreamState::Ready)
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
fn draining_upstream_immediately_gets_no_more_requests() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    registry.put(record("i-2", UpstreamState::Ready), now);
    registry.put(record("i-1", UpstreamState::Draining), now);
    assert_eq!(usable(&registry), ["i-2"]);
}

#[test]
fn upstream_without_record_is_dropped_within_the_drain_time() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    registry.remove(&"i-1".into(), now);
    let due = registry
        .drop_departed(now)
        .expect("a time for the next call");
    assert!(due < now + DRAIN);
    registry.drop_departed(due);
    assert!(usable(&registry).is_empty());
}

#[test]
fn expired_records_have_time_to_return_after_an_outage() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    registry.put(record("i-2", UpstreamState::Ready), now);
    registry.record_store_outage(now);
    registry.replace(Vec::new(), now);
    registry.drop_departed(now + Duration::from_millis(1900));
    assert_eq!(usable(&registry).len(), 2);
    registry.put(
        record("i-1", UpstreamState::Ready),
        now + Duration::from_secs(2),
    );
    registry.drop_departed(now + Duration::from_millis(2300));
    assert_eq!(usable(&registry), ["i-1"]);
}

#[test]
fn load_counts_own_requests_and_decays_those_of_others() {
    let now = Instant::now();
    let upstream = std::sync::Arc::new(Upstream::new(
        record("i-1", UpstreamState::Ready),
        std::sync::Arc::default(),
        now,
    ));
    let own = upstream.begin();
    let load = ReportedLoad {
        running: 5,
        waiting: 0,
        slots: 8,
        ..ReportedLoad::default()
    };
    upstream.note_load(load, now);
    assert!((upstream.load(now) - 5.0).abs() < 0.01);
    assert!((upstream.load(now + Duration::from_millis(250)) - 3.0).abs() < 0.01);
    drop(own);
    assert!((upstream.load(now) - 4.0).abs() < 0.01);
}

#[test]
fn reported_contention_is_bounded_and_decays() {
    let now = Instant::now();
    let domain_monitor = std::sync::Arc::default();
    let upstream = Upstream::new(record("i-1", UpstreamState::Ready), domain_monitor, now);
    assert_eq!(upstream.contention_view(now), ContentionView::default());
    // The usual figure follows a higher one by 3 % of the distance.
    let reports = [
        (100, 0.0),
        (250, 250.0 / 104.5 - 1.0),
        (100, 0.0),
        (4_000_000, 800.0 / 121.0 - 1.0),
    ];
    for (percent, excess) in reports {
        let load = ReportedLoad {
            work_time_percent: Some(percent),
            ..ReportedLoad::default()
        };
        upstream.note_load(load, now);
        let view = upstream.contention_view(now + Duration::from_millis(300));
        assert!((view.excess - excess).abs() < 1e-9, "{view:?}");
        assert!((view.freshness - 0.5).abs() < 1e-9, "{view:?}");
    }
}

// Guards against a machine's own speed counting as contention, in addition to the learned speed of its upstream.
#[test]
fn machine_that_always_reports_the_same_figure_has_no_contention() {
    let now = Instant::now();
    for percent in [55, 120, 220] {
        let upstream = Upstream::new(
            record("i-1", UpstreamState::Ready),
            std::sync::Arc::default(),
            now,
        );
        let load = ReportedLoad {
            work_time_percent: Some(percent),
            ..ReportedLoad::default()
        };
        for _ in 0..3 {
            upstream.note_load(load, now);
            assert!(upstream.contention_view(now).excess.abs() < 1e-9);
        }
        let contended = ReportedLoad {
            work_time_percent: Some(percent * 5 / 2),
            ..load
        };
        upstream.note_load(contended, now);
        let excess = upstream.contention_view(now).excess;
        assert!((1.3..=1.5).contains(&excess), "{excess}");
    }
}

#[test]
fn unresponsive_failure_domain_adds_a_penalty_to_all_its_upstreams() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    let in_other_domain = |id: &str| UpstreamRecord {
        domain: "b".into(),
        ..record(id, UpstreamState::Ready)
    };
    registry.put(record("i-1", UpstreamState::Ready), now);
    registry.put(in_other_domain("i-2"), now);
    registry.put(in_other_domain("i-3"), now);
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
fn restarted_upstream_has_no_earlier_state() {
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
        ..ReportedLoad::default()
    };
    before.note_load(load, now);
    let restarted = UpstreamRecord {
        slots: 4,
        ..started("i-1", 2000)
    };
    registry.put(restarted, now);
    let after = only(&registry);
    let candidate = after.candidate(after.load(now), &prompt, false, &"a".into(), now);
    assert_eq!(candidate.uncached_tokens, 900);
    assert!(candidate.load < 0.01 && after.is_breaker_closed(now));
    assert!((candidate.slots - 4.0).abs() < 0.01);
    assert!(
        !before.takes_requests(),
        "a task that still holds the old upstream sends nothing"
    );
}

// Guards against an upstream that is avoided after its return, or believed to be known, because of its start before.
#[test]
fn outcomes_and_programs_of_an_earlier_start_do_not_count() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    let outcomes = OutcomeTracker::default();
    registry.put(started("i-1", 1000), now);
    let before = only(&registry);
    for _ in 0..20 {
        outcomes.note(before.start_tag, Outcome::Failure, now);
    }
    assert!(outcomes.penalty(before.start_tag, false, now) > Duration::ZERO);
    // The record expires, and the upstream returns before it is dropped.
    registry.remove(&"i-1".into(), now);
    registry.put(started("i-1", 2000), now);
    let after = only(&registry);
    assert_eq!(
        outcomes.penalty(after.start_tag, false, now),
        Duration::ZERO
    );
    let candidate = after.candidate(0.0, &[], false, &"a".into(), now);
    assert_eq!(candidate.penalty, Duration::ZERO);
    assert!(!after.record.is_same_start(&before.record));
    let due = now + DRAIN * 2;
    registry.drop_departed(due);
    assert_eq!(
        usable(&registry),
        ["i-1"],
        "the departure was that of the earlier start"
    );
}

/// Returns whether a stalled response is abandoned soon.
async fn is_abandoned(upstream: &Upstream) -> bool {
    let abandoned = upstream.wait_until_unreachable(Duration::from_millis(20));
    tokio::time::timeout(Duration::from_millis(200), abandoned)
        .await
        .is_ok()
}

#[tokio::test]
async fn stalled_response_is_abandoned_if_its_domain_is_unreachable() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    let upstream = only(&registry);
    assert!(
        !is_abandoned(&upstream).await,
        "a stalled response alone is no reason"
    );
    upstream.mark_domain_unreachable(Instant::now());
    assert!(is_abandoned(&upstream).await);
    upstream.record_domain_response(Instant::now());
    assert!(
        !is_abandoned(&upstream).await,
        "the domain is reachable again"
    );
}

#[test]
fn record_of_an_earlier_start_is_ignored() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(started("i-1", 2000), now);
    let outdated = UpstreamRecord {
        state: UpstreamState::Draining,
        ..started("i-1", 1000)
    };
    registry.put(outdated, now);
    assert!(only(&registry).takes_requests());
}

#[test]
fn record_of_the_same_start_keeps_the_known_state() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(started("i-1", 1000), now);
    let before = only(&registry);
    registry.put(started("i-1", 1000), now);
    registry.put(record("i-1", UpstreamState::Ready), now);
    assert!(Arc::ptr_eq(&before, &only(&registry)));
}

#[test]
fn known_id_with_another_address_or_service_is_another_upstream() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    let moved = UpstreamRecord {
        address: "127.0.0.1:10".parse().expect("an address"),
        ..record("i-1", UpstreamState::Ready)
    };
    registry.put(moved.clone(), now);
    assert_eq!(only(&registry).record.address, moved.address);
    let moved_service = UpstreamRecord {
        service: "tools".into(),
        software: "v1".into(),
        ..moved
    };
    registry.put(moved_service, now);
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.directory().load().of("tools").len(), 1);
}

#[test]
fn rejected_record_removes_the_upstream_until_a_valid_one_arrives() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    registry.put(record("i-2", UpstreamState::Ready), now);
    registry.reject(&"i-1".into(), now);
    assert_eq!(usable(&registry), ["i-2"]);
    registry.put(record("i-1", UpstreamState::Ready), now);
    assert_eq!(usable(&registry), ["i-1", "i-2"]);
    registry.reject(&"i-1".into(), now);
    let due = registry
        .drop_departed(now)
        .expect("a time for the next call");
    registry.drop_departed(due);
    registry.put(record("i-1", UpstreamState::Ready), due);
    assert_eq!(usable(&registry), ["i-1", "i-2"]);
}

// Guards against an upstream that comes back with other software under its id and address, and counts as the one before.
#[test]
fn record_with_another_software_version_describes_another_upstream() {
    let now = Instant::now();
    let mut registry = UpstreamRegistry::new(DepartureRule::for_drain(DRAIN));
    registry.put(record("i-1", UpstreamState::Ready), now);
    let before = only(&registry);
    let other = UpstreamRecord {
        software: "v2".into(),
        ..record("i-1", UpstreamState::Ready)
    };
    registry.put(other, now);
    let after = only(&registry);
    assert_ne!(after.software, before.software);
    assert!(!before.takes_requests() && after.takes_requests());
}
