//! Use of affinity by requests: adds the gain to the costs of candidates, and measures completed requests.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::context::EntryContext;
use super::outcome::RequestRecord;
use super::request::RoutedRequest;
use crate::model::name_tag;
use crate::upstream::{
    AffinityPlan, AffinityRole, AffinitySample, Candidate, ObjectTag, Upstream, WorkEstimate,
    rank_for_object, surcharges,
};

/// Where a request for an object was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedObject {
    /// How the request was placed.
    pub plan: AffinityPlan,
    /// What the chosen upstream is to the object.
    pub role: AffinityRole,
}

impl PlacedObject {
    /// Returns the name of the role for the log and the metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self.role {
            AffinityRole::Home => "home",
            AffinityRole::Spare => "spare",
            AffinityRole::Other => "other",
        }
    }

    /// Returns whether the upstream is likely to have handled the object before; `None` if that is uncertain.
    fn is_warm(&self) -> Option<bool> {
        match self.role {
            AffinityRole::Home if self.plan.is_warm => Some(true),
            AffinityRole::Other => Some(false),
            AffinityRole::Home | AffinityRole::Spare => None,
        }
    }
}

/// The affinity of a request to the candidates.
pub(super) struct CandidateAffinity {
    plan: AffinityPlan,
    roles: Vec<AffinityRole>,
}

impl CandidateAffinity {
    /// Returns where the request is sent if a candidate is chosen.
    pub fn placed(&self, index: usize) -> PlacedObject {
        PlacedObject {
            plan: self.plan,
            role: self.roles[index],
        }
    }
}

/// Returns the object of a request that may run faster on some upstreams; `None` for engines, which cache prompts.
fn object(request: &RoutedRequest) -> Option<ObjectTag> {
    let applies = request.route.affinity && request.service.engine.is_none();
    let name = request.metadata.affinity.as_ref()?;
    (applies && !name.is_empty()).then(|| name_tag(name))
}

/// Adds the gain to the costs of the candidates that are not preferred for the request's object. Without an object, the
/// candidates are unchanged.
pub(super) fn apply_affinity(
    context: &EntryContext,
    request: &RoutedRequest,
    upstreams: &[Arc<Upstream>],
    eligible: &[&Arc<Upstream>],
    candidates: &mut [Candidate],
    work: &WorkEstimate,
) -> Option<CandidateAffinity> {
    let object = object(request)?;
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = time.map_or(0, |time| time.as_secs());
    let service = &request.service.name;
    let now = Instant::now();
    let planned = context
        .affinity
        .plan(service, object, seconds, rand::random(), now);
    let roles = roles(object, planned.share, upstreams, eligible);
    let costs: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.cost(work))
        .collect();
    let gain = planned.plan.gain * work.slot_milliseconds;
    for (candidate, surcharge) in candidates.iter_mut().zip(surcharges(&roles, &costs, gain)) {
        candidate.penalty += Duration::from_secs_f64(surcharge / 1000.0);
    }
    Some(CandidateAffinity {
        plan: planned.plan,
        roles,
    })
}

/// Returns what each eligible upstream is to an object. The ranking covers all upstreams that accept requests, so that
/// it does not depend on this instance's experience with them.
fn roles(
    object: ObjectTag,
    share: f64,
    upstreams: &[Arc<Upstream>],
    eligible: &[&Arc<Upstream>],
) -> Vec<AffinityRole> {
    let accepting: Vec<&Arc<Upstream>> = upstreams
        .iter()
        .filter(|upstream| upstream.takes_requests())
        .collect();
    let tags: Vec<u64> = accepting.iter().map(|upstream| upstream.tag).collect();
    let ranking = rank_for_object(object, share, &tags);
    let mut roles = Vec::with_capacity(eligible.len());
    for upstream in eligible {
        let index = accepting
            .iter()
            .position(|other| Arc::ptr_eq(other, upstream));
        roles.push(index.map_or(AffinityRole::Other, |index| ranking.role(index)));
    }
    roles
}

/// Measures a completed request for an object. A request that was sent twice is not measured: its times mix two
/// upstreams.
pub(super) fn note_completed(
    context: &EntryContext,
    request: &RoutedRequest,
    upstream: &Upstream,
    record: &RequestRecord,
) {
    let Some(placed) = record.affinity.filter(|_| record.sends == 1) else {
        return;
    };
    context.metrics.count_affinity(placed.name());
    let (Some(is_warm), Some(before)) = (placed.is_warm(), record.before_send) else {
        return;
    };
    let now = Instant::now();
    let slots = f64::from(upstream.record.slots.max(1));
    let sample = AffinitySample {
        route: request.route.name.clone(),
        is_warm,
        load: record.load.max(upstream.load(now)) / slots,
        slowdown: record.slowdown,
        total: record.started.elapsed().saturating_sub(before),
    };
    context.affinity.note(&request.service.name, &sample, now);
}
