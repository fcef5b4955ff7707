//! Upstreams that take requests and say nothing.

use std::time::{Duration, Instant};

use samphiregrade_gateway::upstream::SilenceWatch;

const STEP: Duration = Duration::from_millis(100);

#[test]
fn short_silence_costs_nothing_and_a_long_one_more_than_a_cached_prompt() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    assert_eq!(watch.penalty(start + 90 * STEP), Duration::ZERO);
    watch.begin(start);
    assert_eq!(watch.penalty(start + 2 * STEP), Duration::ZERO);
    assert!(watch.penalty(start + 4 * STEP) > Duration::from_millis(400));
}

#[test]
fn other_answers_show_that_the_upstream_lives() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    let number = watch.begin(start);
    watch.record_response(start + 5 * STEP);
    assert_eq!(watch.penalty(start + 7 * STEP), Duration::ZERO);
    assert!(!watch.end(number, start + 8 * STEP));
}

#[test]
fn client_that_leaves_after_a_long_silence_tells_of_a_failure() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    let early = watch.begin(start);
    let late = watch.begin(start + STEP);
    assert!(!watch.end(early, start + 2 * STEP));
    assert!(watch.end(late, start + 20 * STEP));
    assert_eq!(watch.penalty(start + 40 * STEP), Duration::ZERO);
}

#[test]
fn answer_that_comes_in_time_is_no_failure() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    let number = watch.begin(start);
    watch.record_response(start + STEP);
    assert!(!watch.end(number, start + STEP));
}

#[test]
fn request_is_given_up_when_its_whole_domain_is_silent() {
    let start = Instant::now();
    let mut domain = SilenceWatch::default();
    domain.begin(start);
    assert!(!domain.is_overdue(start, start + 5 * STEP));
    assert!(domain.is_overdue(start, start + 8 * STEP));
    assert!(!domain.is_overdue(start + 5 * STEP, start + 8 * STEP));
    domain.record_response(start + 6 * STEP);
    assert!(!domain.is_overdue(start, start + 12 * STEP));
}

#[test]
fn found_cut_counts_until_something_is_heard_or_it_is_old() {
    let start = Instant::now();
    let mut domain = SilenceWatch::default();
    domain.lose(start);
    assert!(domain.penalty(start + STEP) > Duration::from_secs(1));
    assert_eq!(domain.penalty(start + 20 * STEP), Duration::ZERO);
    domain.lose(start + 20 * STEP);
    domain.record_response(start + 21 * STEP);
    assert_eq!(domain.penalty(start + 22 * STEP), Duration::ZERO);
}

#[test]
fn what_was_heard_lately_is_told() {
    let start = Instant::now();
    let mut domain = SilenceWatch::default();
    assert!(!domain.was_heard_within(STEP, start));
    domain.record_response(start);
    assert!(domain.was_heard_within(2 * STEP, start + STEP));
    assert!(!domain.was_heard_within(2 * STEP, start + 3 * STEP));
}
