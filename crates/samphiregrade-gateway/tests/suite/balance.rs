//! Selection of upstreams: cached prompt parts, filling slots, other failure domains.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use samphiregrade_gateway::model::PromptPart;
use samphiregrade_gateway::upstream::{
    BreakerState, Candidate, LoadView, PrefixCache, PrefixShares, SharedPrefix, UpstreamBreaker,
    WorkEstimate, choose_upstream, estimate_loads, rank_homes,
};

const TURN: WorkEstimate = WorkEstimate {
    slot_milliseconds: 220.0,
    prefill_rate: 247.0,
    on_engine: true,
};

const PLAIN: WorkEstimate = WorkEstimate {
    slot_milliseconds: 18.0,
    prefill_rate: 247.0,
    on_engine: false,
};

fn candidate(load: f64, uncached_tokens: u32) -> Candidate {
    Candidate {
        load,
        slots: 12.0,
        uncached_tokens,
        ..Candidate::default()
    }
}

#[test]
fn cached_prefix_beats_an_idle_engine() {
    let choice = choose_upstream(&[candidate(0.0, 14_000), candidate(2.0, 800)], &TURN, 0.0);
    assert_eq!(choice, Some(1));
}

#[test]
fn nearly_full_engine_keeps_its_cached_program() {
    // In a burst, all engines are nearly full; processing 5,000 tokens again elsewhere would delay eight other
    // requests.
    let home = candidate(10.0, 1_000);
    let other = candidate(7.0, 5_000);
    assert_eq!(choose_upstream(&[other, home], &TURN, 0.0), Some(1));
    // A program without cached tokens goes to the engine with the most free capacity.
    assert_eq!(
        choose_upstream(&[candidate(10.0, 1_500), candidate(7.0, 1_500)], &TURN, 0.0),
        Some(1)
    );
}

#[test]
fn plain_requests_go_to_the_least_loaded_upstream() {
    let busy = Candidate {
        load: 4.0,
        slots: 6.0,
        ..Candidate::default()
    };
    let free = Candidate {
        load: 1.0,
        in_other_domain: true,
        ..busy
    };
    assert_eq!(choose_upstream(&[busy, free], &PLAIN, 0.0), Some(1));
}

#[test]
fn full_slots_beat_a_cached_prefix() {
    let choice = choose_upstream(&[candidate(2.0, 14_000), candidate(20.0, 800)], &TURN, 0.0);
    assert_eq!(choice, Some(0));
}

#[test]
fn draw_selects_among_equal_engines() {
    let equal = [candidate(1.0, 0), candidate(1.0, 0), candidate(1.0, 0)];
    let choices: Vec<_> = [0.0, 0.4, 0.9]
        .into_iter()
        .map(|draw| choose_upstream(&equal, &TURN, draw))
        .collect();
    assert_eq!(choices, [Some(0), Some(1), Some(2)]);
    assert_eq!(choose_upstream(&equal, &TURN, 1.0), Some(2));
    assert_eq!(choose_upstream(&[], &TURN, 0.5), None);
}

#[test]
fn engine_in_the_same_domain_is_preferred() {
    let far = Candidate {
        in_other_domain: true,
        ..candidate(1.0, 0)
    };
    assert_eq!(
        choose_upstream(&[far, candidate(1.0, 0)], &TURN, 0.0),
        Some(1)
    );
}

#[test]
fn calls_stay_on_open_connections_until_load_differs() {
    // Many entries send few calls each: if all candidates cost the same, each call opens a connection of its own.
    let open = Candidate {
        load: 2.0,
        slots: 6.0,
        connected: true,
        ..Candidate::default()
    };
    let new = Candidate {
        load: 1.5,
        connected: false,
        ..open
    };
    assert_eq!(choose_upstream(&[new, open], &PLAIN, 0.0), Some(1));
    let idle = Candidate { load: 0.0, ..new };
    let busy = Candidate { load: 5.0, ..open };
    assert_eq!(choose_upstream(&[idle, busy], &PLAIN, 0.0), Some(0));
}

#[test]
fn upstream_without_recent_response_is_not_assumed_idle() {
    let fresh = LoadView {
        own: 1.0,
        others: 3.0,
        freshness: 1.0,
    };
    let faded = LoadView {
        others: 9.0,
        freshness: 0.0,
        ..LoadView::default()
    };
    let unknown = LoadView::default();
    let loads = estimate_loads(&[fresh, faded, unknown], |_| 1.0);
    assert_eq!(loads, [4.0, 3.0, 3.0]);
    // Without any known load, only the own requests count.
    assert_eq!(estimate_loads(&[unknown, faded], |_| 1.0), [0.0, 0.0]);
}

// Guards against a slow upstream that stays idle, and therefore unreported, while the others have long queues.
#[test]
fn slow_upstream_without_recent_response_is_used_if_the_others_have_queues() {
    let report = |others| LoadView {
        own: 0.0,
        others,
        freshness: 1.0,
    };
    let views = [
        report(31.0),
        report(33.0),
        report(35.0),
        LoadView::default(),
    ];
    let slowdown = |index| if index == 3 { 2.2 } else { 1.0 };
    let loads = estimate_loads(&views, slowdown);
    assert!((loads[3] - (34.0 / 2.2 - 1.0)).abs() < 1e-9, "{loads:?}");
    let candidates: Vec<Candidate> = (0..4)
        .map(|index| Candidate {
            slowdown: slowdown(index),
            ..candidate(loads[index], 0)
        })
        .collect();
    let chosen = (0..100).map(|draw| choose_upstream(&candidates, &TURN, f64::from(draw) / 100.0));
    let slow = chosen.filter(|choice| *choice == Some(3)).count();
    assert!((15..35).contains(&slow), "{slow} of 100");
    let idle = estimate_loads(&[report(0.5), LoadView::default()], |_| 2.2);
    assert!(idle.iter().all(|&load| load >= 0.0), "{idle:?}");
}

#[test]
fn departed_upstream_is_the_last_resort() {
    let departed = Candidate {
        penalty: Duration::from_secs(10),
        ..candidate(0.0, 0)
    };
    assert_eq!(
        choose_upstream(&[departed, candidate(30.0, 14_000)], &TURN, 0.0),
        Some(1)
    );
    assert_eq!(choose_upstream(&[departed], &TURN, 0.0), Some(0));
}

fn part(tag: u64, tokens: u32) -> PromptPart {
    PromptPart { tag, tokens }
}

#[test]
fn cache_counts_only_an_unbroken_prefix() {
    let now = Instant::now();
    let mut cache = PrefixCache::default();
    cache.record(&[part(1, 100), part(2, 50)], 10_000, now);
    assert_eq!(cache.uncached(&[part(1, 100), part(2, 50)], false, now), 0);
    assert_eq!(cache.uncached(&[part(1, 100), part(2, 80)], false, now), 30);
    assert_eq!(cache.uncached(&[part(9, 10), part(2, 50)], false, now), 60);
    let later = now + Duration::from_mins(1);
    assert_eq!(cache.uncached(&[part(1, 100)], false, later), 100);
}

#[test]
fn home_counts_the_first_part_as_cached() {
    let now = Instant::now();
    let cache = PrefixCache::default();
    assert_eq!(cache.uncached(&[part(1, 100), part(2, 50)], true, now), 50);
    assert_eq!(
        cache.uncached(&[part(1, 100), part(2, 50)], false, now),
        150
    );
}

/// Returns which engines are homes of a prefix; one engine's memory holds five such prefixes.
fn homes_of(share: f64, engines: &[u64]) -> Vec<bool> {
    let part = SharedPrefix {
        tag: 7,
        tokens: 10_000,
        share,
        capacity: 50_000,
    };
    let ranking = rank_homes(&part, engines);
    let is_home = |index: usize| ranking.homes().contains(&index);
    (0..engines.len()).map(is_home).collect()
}

#[test]
fn prefix_has_more_homes_if_memory_allows() {
    let engines: Vec<u64> = (0..40).collect();
    let part = SharedPrefix {
        tag: 7,
        tokens: 10_000,
        share: 0.1,
        capacity: 100_000,
    };
    assert_eq!(rank_homes(&part, &engines).count, 12);
    let larger = SharedPrefix {
        capacity: 1_000_000,
        ..part
    };
    assert_eq!(rank_homes(&larger, &engines).count, 18);
}

#[test]
fn sampled_homes_come_with_the_same_spare_engines() {
    let engines: Vec<u64> = (0..40).collect();
    let homes = rank_homes(
        &SharedPrefix {
            tag: 7,
            tokens: 10_000,
            share: 0.5,
            capacity: 50_000,
        },
        &engines,
    );
    let (first, rest) = (homes.homes(), &homes.order[homes.count..]);
    let mut random = StdRng::seed_from_u64(3);
    for _ in 0..20 {
        let sample = homes.clone().sample(5, 2, &mut random);
        assert_eq!(sample[..2], rest[..2]);
        assert!(sample[2..].iter().all(|index| first.contains(index)));
        assert_eq!(sample.len(), 7);
    }
    assert_eq!(homes.clone().sample(99, 99, &mut random).len(), 40);
}

#[test]
fn slow_engines_are_the_last_homes() {
    let engines: Vec<u64> = (0..40).collect();
    let part = SharedPrefix {
        tag: 7,
        tokens: 10_000,
        share: 0.5,
        capacity: 50_000,
    };
    let ranking = rank_homes(&part, &engines);
    assert_eq!(ranking.clone().with_slow_last(|_| 1.4), ranking);
    let is_slow = |index: usize| index.is_multiple_of(4);
    let slowdown = |index| if is_slow(index) { 2.2 } else { 1.0 };
    let by_speed = ranking.clone().with_slow_last(slowdown);
    assert_eq!((ranking.count, by_speed.count), (30, 30));
    assert!(!by_speed.homes().iter().any(|&index| is_slow(index)));
    let fast = ranking.order.iter().filter(|&&index| !is_slow(index));
    assert!(fast.eq(by_speed.homes()), "the order of the others stays");
    assert_eq!(ranking.with_slow_last(|_| 2.2).count, 2);
}

#[test]
fn homes_scale_with_the_share_and_stay_when_an_engine_is_removed() {
    let engines: Vec<u64> = (0..40_u64)
        .map(|index| index.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect();
    let chosen = homes_of(0.25, &engines);
    assert_eq!(chosen.iter().filter(|&&home| home).count(), 15);
    assert_eq!(
        homes_of(0.25, &engines),
        chosen,
        "every entry selects the same homes"
    );
    let fewer: Vec<u64> = engines[1..].to_vec();
    let moved = homes_of(0.25, &fewer)
        .iter()
        .zip(&chosen[1..])
        .filter(|(now, then)| now != then)
        .count();
    assert!(moved <= 1, "{moved} homes moved");
    assert!(
        homes_of(0.001, &engines).iter().all(|&home| !home),
        "a prefix of a single program has no homes"
    );
    assert_eq!(
        homes_of(0.02, &engines[..3])
            .iter()
            .filter(|&&home| home)
            .count(),
        2
    );
}

#[test]
fn prefix_shares_follow_the_traffic() {
    let start = Instant::now();
    let parts = PrefixShares::default();
    for index in 0..100_u64 {
        parts.count(index % 4, start);
    }
    let share = parts.count(0, start);
    assert!((0.2..0.3).contains(&share), "{share}");
    let later = start + Duration::from_mins(2);
    assert!(parts.count(9, later) > 0.9, "old counts have decayed");
}

#[test]
fn cache_evicts_oldest_parts_beyond_capacity() {
    let now = Instant::now();
    let mut cache = PrefixCache::default();
    for tag in 0..20 {
        cache.record(&[part(tag, 100)], 2_000, now + Duration::from_millis(tag));
    }
    assert_eq!(cache.uncached(&[part(0, 100)], false, now), 100);
    assert_eq!(cache.uncached(&[part(19, 100)], false, now), 0);
}

#[test]
fn breaker_opens_after_failures_in_a_row_and_tries_again() {
    let now = Instant::now();
    let mut breaker = UpstreamBreaker::default();
    assert!(!breaker.record_failure(now, false));
    assert!(!breaker.record_failure(now, false));
    assert!(breaker.record_failure(now, false));
    assert_eq!(breaker.state(now), BreakerState::Open);
    let later = now + Duration::from_secs(1);
    assert_eq!(breaker.state(later), BreakerState::Closed);
    assert!(
        breaker.record_failure(later, false),
        "one failure opens a half-open breaker"
    );
    assert!(breaker.record_success());
    assert_eq!(breaker.state(later), BreakerState::Closed);
}

#[test]
fn breaker_opens_at_once_if_nothing_listens() {
    let now = Instant::now();
    let mut breaker = UpstreamBreaker::default();
    assert!(breaker.record_failure(now, true));
    assert_eq!(breaker.state(now), BreakerState::Open);
}

#[test]
fn cached_prompt_outweighs_a_slightly_smaller_batch() {
    let cached = Candidate {
        load: 4.0,
        slots: 8.0,
        uncached_tokens: 1_000,
        ..Candidate::default()
    };
    let empty = Candidate {
        load: 0.0,
        uncached_tokens: 14_000,
        ..cached
    };
    assert_eq!(choose_upstream(&[empty, cached], &TURN, 0.5), Some(1));
    let two_fewer = Candidate {
        load: 2.0,
        uncached_tokens: 3_000,
        ..cached
    };
    assert_eq!(choose_upstream(&[two_fewer, cached], &TURN, 0.5), Some(1));
}

// Guards against a table of prefixes that grows, and is searched at each request, while programs bring prefixes of their own.
#[test]
fn number_of_counted_prefixes_is_bounded() {
    const SHARED: u64 = u64::MAX;
    let start = Instant::now();
    let shares = PrefixShares::default();
    let mut share = 0.0;
    for number in 0..20_000_u64 {
        let now = start + Duration::from_micros(number * 100);
        shares.count(number, now);
        if number % 4 == 0 {
            share = shares.count(SHARED, now);
        }
        assert!(shares.tracked() <= 512, "{}", shares.tracked());
    }
    assert!((0.19..0.21).contains(&share), "{share}");
}
