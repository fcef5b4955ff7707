//! Dispatch of a request: tries upstreams until one responds, and repeats a request only if that is safe.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::affinity::apply_affinity;
use super::attempt::{AttemptOutcome, ChosenUpstream, LiveResponse, attempt, record_failure};
use super::broken::{BreakStage, record_break};
use super::context::EntryContext;
use super::origin::SoftwareRule;
use super::outcome::RequestRecord;
use super::refusal::{Refusal, RefusalReason};
use super::request::RoutedRequest;
use super::survey::PlacementView;
use crate::model::UpstreamTag;
use crate::upstream::{
    BreakCause, Candidate, ContentionEstimate, ContentionView, LoadView, Outcome, SLOW_UPSTREAM,
    Upstream, WorkEstimate, choose_upstream, estimate_loads, mean_excess,
};

/// Number of failed connections after which a request is refused: each costs no more than a round trip.
const MAX_CONNECT_FAILURES: usize = 3;

/// Share of the requests that are placed as if a connection to every upstream were open, so that an upstream that is
/// new or faster than the others also gets requests.
const EXPLORATION_SHARE: f64 = 0.125;

/// Number of upstreams over which the mean contention of a service is taken, at least where there are as many.
const MEAN_SAMPLE: usize = 64;

/// Minimum number of upstreams with a known account for which a request is placed among these only.
const MIN_ACCOUNTS: usize = 3;

/// Sends a request; resolves to the head of a response, or to a refusal that says whether the request may have run.
pub async fn dispatch(
    context: &EntryContext,
    request: &RoutedRequest,
    record: &mut RequestRecord,
) -> Result<Box<LiveResponse>, Refusal> {
    let mut tried: Vec<Arc<Upstream>> = Vec::new();
    let mut connect_failures = 0;
    let mut retry_after = None;
    let mut may_have_run = false;
    while record.sends < request.route.max_attempts.max(1)
        && connect_failures < MAX_CONNECT_FAILURES
    {
        let now = Instant::now();
        if request.time_left(now).is_zero() {
            break;
        }
        let Some(chosen) = select(context, request, &tried, record) else {
            break;
        };
        let upstream = chosen.upstream.clone();
        tried.push(upstream.clone());
        record.upstream = upstream.record.id.clone();
        record.software = upstream.record.software.clone();
        let sends_before = record.sends;
        let sending = attempt(context, request, &chosen, record);
        let Ok(outcome) = tokio::time::timeout_at(request.due.into(), sending).await else {
            may_have_run |= record.sends > sends_before;
            if record.sends > sends_before {
                request.tries.abandon();
            } else {
                request.tries.settle();
            }
            record_failure(&upstream, false, "no response in time");
            context.metrics.count_send("late");
            record.add_detail("no response in time");
            let reason = if may_have_run {
                RefusalReason::Late
            } else {
                RefusalReason::LateUnsent
            };
            return Err(reason.into());
        };
        match outcome {
            AttemptOutcome::Responded(response) => return Ok(response),
            AttemptOutcome::NotSent(reason) => {
                request.tries.settle();
                connect_failures += 1;
                record_failure(&upstream, true, &reason);
                context.metrics.count_send("not-sent");
                record.add_detail(&reason);
            }
            AttemptOutcome::Withdrawn(refusal) => {
                request.tries.settle();
                record.add_detail(refusal.reason.name());
                if may_have_run && !refusal.reason.may_have_run() {
                    return Err(RefusalReason::Broken.into());
                }
                return Err(*refusal);
            }
            AttemptOutcome::NotExecuted(status, wait) => {
                request.tries.settle();
                context.metrics.count_send("not-executed");
                record.add_detail(&format!(
                    "{} reports status {status}, not executed",
                    upstream.record.id
                ));
                retry_after = wait;
            }
            AttemptOutcome::Broken(reason) => {
                let now = Instant::now();
                context
                    .outcomes
                    .note(upstream.start_tag, Outcome::Failure, now);
                context.metrics.count_send("broken");
                record.add_detail(&reason);
                let stage = BreakStage::BeforeHead;
                let ending = record_break(context, request, record, &upstream, stage);
                let cause = Box::pin(ending).await;
                record_failure(&upstream, cause == BreakCause::Ended, &reason);
                may_have_run = true;
            }
            AttemptOutcome::Unreachable(reason) => {
                record_failure(&upstream, false, &reason);
                context.metrics.count_send("unreachable");
                record.add_detail(&reason);
                let ending = request.tries.end(BreakCause::Unreachable, Instant::now());
                Box::pin(ending).await;
                may_have_run = true;
            }
        }
        if may_have_run {
            check_exhausted(request)?;
        }
        if may_have_run && !request.route.may_repeat() {
            return Err(RefusalReason::Broken.into());
        }
    }
    Err(final_refusal(request, record, may_have_run, retry_after))
}

/// Fails if so many upstreams have ended under the request that it is not sent again, by any attempt.
fn check_exhausted(request: &RoutedRequest) -> Result<(), Refusal> {
    match request.tries.check() {
        Err(refusal) if refusal.reason == RefusalReason::UpstreamsEnded => Err(refusal),
        _ => Ok(()),
    }
}

fn final_refusal(
    request: &RoutedRequest,
    record: &RequestRecord,
    may_have_run: bool,
    retry_after: Option<Duration>,
) -> Refusal {
    if may_have_run {
        return RefusalReason::Broken.into();
    }
    if request.time_left(Instant::now()).is_zero() {
        return RefusalReason::LateUnsent.into();
    }
    let reason = if record.sends > 0 {
        RefusalReason::NotExecuted
    } else if request.resumes_stream() {
        RefusalReason::NoSameVersion
    } else {
        RefusalReason::NoUpstream
    };
    let mut refusal = Refusal::from(reason);
    refusal.retry_after = retry_after.or(refusal.retry_after);
    refusal
}

/// Chooses the upstream for the next attempt.
fn select(
    context: &EntryContext,
    request: &RoutedRequest,
    tried: &[Arc<Upstream>],
    record: &mut RequestRecord,
) -> Option<ChosenUpstream> {
    let now = Instant::now();
    let directory = context.directory.load();
    let upstreams = directory.of(&request.service.name);
    let eligible = eligible_upstreams(upstreams, request.software, tried, now);
    record.affinity = None;
    if request.tries.is_suspected() {
        return select_at_random(&eligible, now);
    }
    if let Some(probed) = select_probe(context, request, &eligible, now) {
        return Some(probed);
    }
    // The mean is not only over the upstreams with accounts, which are few.
    let step = (eligible.len() / MEAN_SAMPLE).max(1);
    let sample: Vec<&Arc<Upstream>> = eligible.iter().copied().step_by(step).collect();
    let mean_excess = mean_excess(&contention_views(request, &sample, now));
    let eligible = with_accounts(eligible, &request.view);
    let contentions = contentions(request, &eligible, mean_excess, now);
    let mut candidates = candidates(context, request, &eligible, &contentions, now);
    let work = work_estimate(request);
    let affinity = apply_affinity(
        context,
        request,
        upstreams,
        &eligible,
        &mut candidates,
        &work,
    );
    let index = choose_upstream(&candidates, &work, rand::random())?;
    record.affinity = affinity.map(|affinity| affinity.placed(index));
    record.load = candidates[index].load;
    record.uncached = candidates[index].uncached_tokens;
    record.slowdown = candidates[index].slowdown * candidates[index].contention.factor;
    record.contention = candidates[index].contention.factor;
    context.metrics.count_placement(speed_name(record.slowdown));
    Some(ChosenUpstream {
        upstream: eligible[index].clone(),
        is_probe: false,
    })
}

/// Chooses an upstream for a request under which upstreams have ended: any one with room, so that requests that ran beside
/// each other at an upstream that ended don't meet again at the next one.
fn select_at_random(eligible: &[&Arc<Upstream>], now: Instant) -> Option<ChosenUpstream> {
    let has_room =
        |upstream: &&&Arc<Upstream>| upstream.load(now) < f64::from(upstream.record.slots);
    let free: Vec<&&Arc<Upstream>> = eligible.iter().filter(has_room).collect();
    let chosen = match free.choose(&mut rand::rng()) {
        Some(chosen) => chosen,
        None => eligible.choose(&mut rand::rng())?,
    };
    Some(ChosenUpstream {
        upstream: (*chosen).clone(),
        is_probe: false,
    })
}

/// Returns the untried upstreams that may run the request; only those with a closed circuit breaker if there are any.
fn eligible_upstreams<'directory>(
    upstreams: &'directory [Arc<Upstream>],
    software: SoftwareRule,
    tried: &[Arc<Upstream>],
    now: Instant,
) -> Vec<&'directory Arc<Upstream>> {
    let eligible: Vec<&Arc<Upstream>> = upstreams
        .iter()
        .filter(|upstream| upstream.takes_requests() && software.allows(upstream))
        .filter(|upstream| !tried.iter().any(|other| Arc::ptr_eq(other, upstream)))
        .collect();
    let healthy: Vec<&Arc<Upstream>> = eligible
        .iter()
        .copied()
        .filter(|upstream| upstream.is_breaker_closed(now))
        .collect();
    if healthy.is_empty() {
        eligible
    } else {
        healthy
    }
}

/// Returns how much longer the upstream takes for the same work than the median upstream of its service, as learned from
/// responses; 1.0 if unknown.
pub(super) fn learned_slowdown(context: &EntryContext, tag: UpstreamTag, now: Instant) -> f64 {
    context.speeds.slowdown(tag, now)
}

/// Returns the name of an expected slowdown's range, for the metrics.
fn speed_name(slowdown: f64) -> &'static str {
    if slowdown > SLOW_UPSTREAM {
        "slow"
    } else {
        "usual"
    }
}

/// Returns what is known of the contention at the upstreams in the middle of the request: contention of a short time
/// matters less to a long request.
fn contention_views(
    request: &RoutedRequest,
    eligible: &[&Arc<Upstream>],
    now: Instant,
) -> Vec<ContentionView> {
    let middle = now + request.times.slot_time() / 2;
    let views = eligible
        .iter()
        .map(|upstream| upstream.contention_view(middle));
    views.collect()
}

/// Returns the contention that is expected at the upstreams.
fn contentions(
    request: &RoutedRequest,
    eligible: &[&Arc<Upstream>],
    mean_excess: f64,
    now: Instant,
) -> Vec<ContentionEstimate> {
    let views = contention_views(request, eligible, now);
    views
        .iter()
        .map(|view| view.estimate(mean_excess))
        .collect()
}

/// Describes upstreams as candidates for the request.
fn candidates(
    context: &EntryContext,
    request: &RoutedRequest,
    eligible: &[&Arc<Upstream>],
    contentions: &[ContentionEstimate],
    now: Instant,
) -> Vec<Candidate> {
    let explores = rand::random_bool(EXPLORATION_SHARE);
    let views: Vec<LoadView> = eligible
        .iter()
        .map(|upstream| upstream.load_view(now))
        .collect();
    let mut candidates = Vec::with_capacity(eligible.len());
    let slowdown = |index: usize| learned_slowdown(context, eligible[index].start_tag, now);
    for (upstream, load) in eligible.iter().zip(estimate_loads(&views, slowdown)) {
        let mut candidate = candidate(context, request, upstream, load, now);
        candidate.connected |= explores;
        candidates.push(candidate);
    }
    for (candidate, contention) in candidates.iter_mut().zip(contentions) {
        candidate.contention = *contention;
    }
    candidates
}

/// Describes an upstream as a candidate for the request; `load` is this instance's estimate of its load.
fn candidate(
    context: &EntryContext,
    request: &RoutedRequest,
    upstream: &Upstream,
    load: f64,
    now: Instant,
) -> Candidate {
    let prompt = &request.metadata.prompt;
    let home = request.view.homes.contains(&upstream.start_tag);
    let mut candidate = upstream.candidate(load, prompt, home, &context.domain, now);
    if let Some(account) = request.view.account(upstream.start_tag) {
        candidate.apply_account(account, upstream.own_requests(), home);
    }
    // Another instance may have sent the previous turn; the keepers report which upstream ran it.
    if let Some(uncached) = request.uncached_since_last_turn(&upstream.record) {
        candidate.uncached_tokens = candidate.uncached_tokens.min(uncached);
    }
    let repeatable = request.may_resend();
    let doubt = context
        .outcomes
        .penalty(upstream.start_tag, repeatable, now);
    candidate.penalty += doubt;
    candidate.slowdown = learned_slowdown(context, upstream.start_tag, now);
    candidate
}

fn work_estimate(request: &RoutedRequest) -> WorkEstimate {
    WorkEstimate {
        slot_milliseconds: request.times.slot_time().as_secs_f64() * 1000.0,
        prefill_rate: request.times.prefill_rate(),
        on_engine: request.service.engine.is_some(),
    }
}

/// Returns the upstreams whose accounts the keepers have reported, if there are enough to choose from: an upstream
/// without an account looks idle.
fn with_accounts<'directory>(
    eligible: Vec<&'directory Arc<Upstream>>,
    view: &PlacementView,
) -> Vec<&'directory Arc<Upstream>> {
    let reported: Vec<&Arc<Upstream>> = eligible
        .iter()
        .copied()
        .filter(|upstream| view.account(upstream.start_tag).is_some())
        .collect();
    if reported.len() < MIN_ACCOUNTS {
        return eligible;
    }
    reported
}

/// Returns a suspected upstream that the request may probe.
///
/// Only a request that may be repeated, or the first turn of a program, is a probe: they lose least if the probe fails.
fn select_probe(
    context: &EntryContext,
    request: &RoutedRequest,
    eligible: &[&Arc<Upstream>],
    now: Instant,
) -> Option<ChosenUpstream> {
    if !context.outcomes.has_probe_permit() || !request.may_probe() {
        return None;
    }
    let probed = eligible
        .iter()
        .find(|upstream| context.outcomes.take_probe_permit(upstream.start_tag, now))?;
    Some(ChosenUpstream {
        upstream: (*probed).clone(),
        is_probe: true,
    })
}
