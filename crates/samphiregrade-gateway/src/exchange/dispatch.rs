//! Sending a request to upstreams until one answers, within what may be repeated.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::attempt::{AttemptEnd, ChosenUpstream, LiveAnswer, attempt, note_failure};
use super::context::EntryContext;
use super::outcome::RequestRecord;
use super::refusal::{Refusal, RefusalReason};
use super::request::RoutedRequest;
use super::survey::PlacementView;
use crate::upstream::{
    Candidate, LoadView, Outcome, Upstream, WorkEstimate, choose_upstream, estimate_loads,
};

/// Connections that may fail before one attempt of a client is refused: each has cost no more than a round trip.
const CONNECT_TRIES: usize = 3;

/// Share of the requests that are placed as if a connection to every upstream were open: one that has just come, or is
/// faster than the others, gets a request then.
const EXPLORING_SHARE: f64 = 0.125;

/// Accounts of upstreams from which on a request is placed by these alone.
const LEAST_CHOICE: usize = 3;

/// Sends a request; resolves to an answer's head, or to a refusal that says whether it may have run.
pub async fn dispatch(
    context: &EntryContext,
    request: &RoutedRequest,
    record: &mut RequestRecord,
) -> Result<Box<LiveAnswer>, Refusal> {
    let mut tried: Vec<Arc<Upstream>> = Vec::new();
    let mut connect_failures = 0;
    let mut refused_wait = None;
    let mut may_have_run = false;
    while record.sends < request.route.max_attempts.max(1) && connect_failures < CONNECT_TRIES {
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
        let sending = attempt(context, request, &chosen, record);
        let Ok(end) = tokio::time::timeout_at(request.due.into(), sending).await else {
            note_failure(&upstream, false, "no answer in time");
            context.metrics.count_send("late");
            record.add_detail("no answer in time");
            return Err(RefusalReason::Late.into());
        };
        match end {
            AttemptEnd::Answered(answer) => return Ok(answer),
            AttemptEnd::NotSent(reason) => {
                connect_failures += 1;
                note_failure(&upstream, true, &reason);
                context.metrics.count_send("not-sent");
                record.add_detail(&reason);
            }
            AttemptEnd::Withdrawn(reason) if may_have_run => {
                record.add_detail(reason.name());
                return Err(RefusalReason::Broken.into());
            }
            AttemptEnd::Withdrawn(reason) => return Err(reason.into()),
            AttemptEnd::NotExecuted(status, wait) => {
                context.metrics.count_send("not-executed");
                record.add_detail(&format!(
                    "{} says not executed with {status}",
                    upstream.record.id
                ));
                refused_wait = wait;
            }
            AttemptEnd::Broken(reason) => {
                let now = Instant::now();
                context
                    .outcomes
                    .note(upstream.start_tag, Outcome::Failure, now);
                note_failure(&upstream, false, &reason);
                context.metrics.count_send("broken");
                record.add_detail(&reason);
                may_have_run = true;
            }
            AttemptEnd::Unreachable(reason) => {
                note_failure(&upstream, false, &reason);
                context.metrics.count_send("unreachable");
                record.add_detail(&reason);
                may_have_run = true;
            }
        }
        if may_have_run && !request.route.may_repeat() {
            return Err(RefusalReason::Broken.into());
        }
    }
    Err(give_up(request, record, may_have_run, refused_wait))
}

fn give_up(
    request: &RoutedRequest,
    record: &RequestRecord,
    may_have_run: bool,
    refused_wait: Option<Duration>,
) -> Refusal {
    if may_have_run {
        return RefusalReason::Broken.into();
    }
    if request.time_left(Instant::now()).is_zero() {
        return RefusalReason::LateUnsent.into();
    }
    let reason = if record.sends > 0 {
        RefusalReason::NotExecuted
    } else {
        RefusalReason::NoUpstream
    };
    let mut refusal = Refusal::from(reason);
    refusal.retry_after = refused_wait.or(refusal.retry_after);
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
    let fit = fit_upstreams(upstreams, tried, now);
    if let Some(probed) = probe(context, request, &fit, now) {
        return Some(probed);
    }
    let fit = accounted(fit, &request.view);
    let candidates = candidates(context, request, &fit, now);
    let index = choose_upstream(&candidates, &work_estimate(request), rand::random())?;
    record.load = candidates[index].load;
    record.uncached = candidates[index].uncached_tokens;
    Some(ChosenUpstream {
        upstream: fit[index].clone(),
        probes: false,
    })
}

/// Returns the upstreams that may get the request: those that are trusted, where there are any.
fn fit_upstreams<'directory>(
    upstreams: &'directory [Arc<Upstream>],
    tried: &[Arc<Upstream>],
    now: Instant,
) -> Vec<&'directory Arc<Upstream>> {
    let fit: Vec<&Arc<Upstream>> = upstreams
        .iter()
        .filter(|upstream| upstream.takes_requests())
        .filter(|upstream| !tried.iter().any(|other| Arc::ptr_eq(other, upstream)))
        .collect();
    let trusted: Vec<&Arc<Upstream>> = fit
        .iter()
        .copied()
        .filter(|upstream| upstream.is_breaker_closed(now))
        .collect();
    if trusted.is_empty() { fit } else { trusted }
}

/// Describes upstreams as choices for the request.
fn candidates(
    context: &EntryContext,
    request: &RoutedRequest,
    fit: &[&Arc<Upstream>],
    now: Instant,
) -> Vec<Candidate> {
    let explores = rand::random_bool(EXPLORING_SHARE);
    let views: Vec<LoadView> = fit.iter().map(|upstream| upstream.load_view(now)).collect();
    let mut candidates = Vec::with_capacity(fit.len());
    for (upstream, load) in fit.iter().zip(estimate_loads(&views)) {
        let mut candidate = candidate(context, request, upstream, load, now);
        candidate.connected |= explores;
        candidates.push(candidate);
    }
    candidates
}

/// Describes an upstream as a choice for the request; `load` is what this instance believes of it.
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
    // Another instance may have sent the turn before; the keepers have told where.
    if let Some(uncached) = request.uncached_at_last_place(&upstream.record) {
        candidate.uncached_tokens = candidate.uncached_tokens.min(uncached);
    }
    let repeatable = request.may_resend();
    let doubt = context
        .outcomes
        .penalty(upstream.start_tag, repeatable, now);
    candidate.penalty += doubt;
    candidate
}

fn work_estimate(request: &RoutedRequest) -> WorkEstimate {
    WorkEstimate {
        slot_milliseconds: request.times.slot_time().as_secs_f64() * 1000.0,
        prefill_rate: request.times.prefill_rate(),
        on_engine: request.service.engine.is_some(),
    }
}

/// Returns the upstreams whose accounts the keepers have told, where these are a choice: what is not known looks idle.
fn accounted<'directory>(
    fit: Vec<&'directory Arc<Upstream>>,
    view: &PlacementView,
) -> Vec<&'directory Arc<Upstream>> {
    let told: Vec<&Arc<Upstream>> = fit
        .iter()
        .copied()
        .filter(|upstream| view.account(upstream.start_tag).is_some())
        .collect();
    if told.len() < LEAST_CHOICE {
        return fit;
    }
    told
}

/// Returns a doubted upstream that the request may probe: it is a call that may be repeated, or a program's first
/// turn, with which least is lost.
fn probe(
    context: &EntryContext,
    request: &RoutedRequest,
    fit: &[&Arc<Upstream>],
    now: Instant,
) -> Option<ChosenUpstream> {
    if !context.outcomes.has_probe_permit() || !request.may_probe() {
        return None;
    }
    let probed = fit
        .iter()
        .find(|upstream| context.outcomes.take_probe_permit(upstream.start_tag, now))?;
    Some(ChosenUpstream {
        upstream: (*probed).clone(),
        probes: true,
    })
}
