//! Upstreams that accept requests and don't respond.

use std::time::{Duration, Instant};

use samphiregrade_gateway::upstream::ResponseMonitor;

const STEP: Duration = Duration::from_millis(100);

#[test]
fn short_delay_costs_nothing_and_a_long_one_more_than_a_cached_prompt() {
    let start = Instant::now();
    let mut monitor = ResponseMonitor::default();
    assert_eq!(monitor.penalty(start + 90 * STEP), Duration::ZERO);
    monitor.begin_wait(start);
    assert_eq!(monitor.penalty(start + 2 * STEP), Duration::ZERO);
    assert!(monitor.penalty(start + 4 * STEP) > Duration::from_millis(400));
}

#[test]
fn other_responses_show_that_the_upstream_is_alive() {
    let start = Instant::now();
    let mut monitor = ResponseMonitor::default();
    let number = monitor.begin_wait(start);
    monitor.record_response(start + 5 * STEP);
    assert_eq!(monitor.penalty(start + 7 * STEP), Duration::ZERO);
    assert!(!monitor.end_wait(number, start + 8 * STEP));
}

#[test]
fn client_that_leaves_after_a_long_delay_counts_as_a_failure() {
    let start = Instant::now();
    let mut monitor = ResponseMonitor::default();
    let early = monitor.begin_wait(start);
    let late = monitor.begin_wait(start + STEP);
    assert!(!monitor.end_wait(early, start + 2 * STEP));
    assert!(monitor.end_wait(late, start + 20 * STEP));
    assert_eq!(monitor.penalty(start + 40 * STEP), Duration::ZERO);
}

#[test]
fn response_in_time_is_not_a_failure() {
    let start = Instant::now();
    let mut monitor = ResponseMonitor::default();
    let number = monitor.begin_wait(start);
    monitor.record_response(start + STEP);
    assert!(!monitor.end_wait(number, start + STEP));
}

#[test]
fn request_is_abandoned_if_its_domain_is_unresponsive() {
    let start = Instant::now();
    let mut domain = ResponseMonitor::default();
    domain.begin_wait(start);
    assert!(!domain.is_overdue(start, start + 5 * STEP));
    assert!(domain.is_overdue(start, start + 8 * STEP));
    assert!(!domain.is_overdue(start + 5 * STEP, start + 8 * STEP));
    domain.record_response(start + 6 * STEP);
    assert!(!domain.is_overdue(start, start + 12 * STEP));
}

#[test]
fn unreachable_mark_ends_with_a_response_or_with_time() {
    let start = Instant::now();
    let mut domain = ResponseMonitor::default();
    domain.mark_unreachable(start);
    assert!(domain.penalty(start + STEP) > Duration::from_secs(1));
    assert_eq!(domain.penalty(start + 20 * STEP), Duration::ZERO);
    domain.mark_unreachable(start + 20 * STEP);
    domain.record_response(start + 21 * STEP);
    assert_eq!(domain.penalty(start + 22 * STEP), Duration::ZERO);
}

#[test]
fn recent_response_is_detected() {
    let start = Instant::now();
    let mut domain = ResponseMonitor::default();
    assert!(!domain.responded_within(STEP, start));
    domain.record_response(start);
    assert!(domain.responded_within(2 * STEP, start + STEP));
    assert!(!domain.responded_within(2 * STEP, start + 3 * STEP));
}
