//! Selects the upstream with the least expected cost for a request: pure functions.
//!
//! Handles services whose upstreams are shared by many entries: prompt prefixes that are cached on some engines, slots
//! that fill up in bursts, and upstreams in other failure domains.

use std::time::Duration;

use super::run_table::UpstreamAccount;

/// Cost of a round trip to another failure domain, in milliseconds: the one-way latency is about 1.4 ms.
const OTHER_DOMAIN_MILLISECONDS: f64 = 2.8;

/// Cost of a new connection, in milliseconds: about one round trip, and the upstream's work to accept the connection.
const CONNECT_MILLISECONDS: f64 = 2.0;

/// Costs that differ by less than this many milliseconds count as equal, since load estimates are no more precise.
const INDIFFERENCE_MILLISECONDS: f64 = 0.3;

/// Slowdown of a plain request by each other request on the upstream, as a share of the request's own time and per
/// slot: a processor is slightly contended even before all slots are in use.
const PLAIN_CONTENTION: f64 = 0.35;

/// Lower bound for the divisor of the mean load: below this total freshness, the views say too little about the load of
/// upstreams that have no fresh view.
const MIN_FRESHNESS: f64 = 0.5;

/// Cost of one more request in an engine's batch, as a share of a turn's time for each request that runs there: an
/// engine step takes about 0.5 % longer for each request in the batch. Load views are old and imprecise where there are
/// many entries, so a higher cost would move turns away from their cached prompts without benefit (the paired runs are
/// in docs/design/urgency.md).
const BATCH_SLOWDOWN: f64 = 0.0045;

/// Time for which a keeper must have received run starts before its reported load replaces the local view: the longest
/// turns take about that long.
const LOAD_OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Time for which a keeper must have received run starts before its view of the cache replaces the local view: prompt
/// parts that are reused at all are reused within this time.
const CACHE_OBSERVATION_TIME: Duration = Duration::from_secs(15);

/// Share of the cost of processing a shared prefix that is charged to the turn for which a home engine first processes
/// the prefix: later turns reuse it at no cost. If the full cost is charged, the few engines that have the prefix
/// cached fill up before another engine processes it.
const HOME_PREFILL_SHARE: f64 = 0.15;

/// Slowdown above which an upstream counts as slow.
pub const SLOW_UPSTREAM: f64 = 1.4;

/// Weight of contention in costs. Contention lasts for about as long as a turn takes: at its full weight, turns that
/// avoid contended engines at high load queue elsewhere for longer than the contention lasts (tests/suite/placement.rs).
const CONTENTION_WEIGHT: f64 = 0.25;

/// Part of a request's own time by which costs may exceed the least one for a random draw, per unit of the contention
/// that is assumed but not reported. Entries whose views are old would otherwise all select the upstream that looked
/// best at the same past moment.
const DRAW_SHARE: f64 = 0.15;

/// Part of the queueing time at the cheapest upstream that is added to the range of the draw where speeds or contention
/// differ: the longer the queues, the more they have changed since they were reported.
const QUEUE_DRAW_SHARE: f64 = 0.5;

/// An upstream that may be selected for a request, with what the selection depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated number of requests that run or wait at the upstream.
    pub load: f64,
    /// Requests that the upstream runs concurrently.
    pub slots: f64,
    /// Prompt tokens that the upstream does not have cached and would have to process.
    pub uncached_tokens: u32,
    /// Whether the upstream is in another failure domain.
    pub in_other_domain: bool,
    /// Whether an idle connection to the upstream is open.
    pub connected: bool,
    /// Expected extra time while the upstream warms up or is suspected of failing.
    pub penalty: Duration,
    /// Time that the upstream takes for the same work without contention, relative to the median upstream of its
    /// service.
    pub slowdown: f64,
    /// Expected contention on the upstream's machine while the request runs.
    pub contention: ContentionEstimate,
}

impl Default for Candidate {
    fn default() -> Self {
        Self {
            load: 0.0,
            slots: 0.0,
            uncached_tokens: 0,
            in_other_domain: false,
            connected: false,
            penalty: Duration::ZERO,
            slowdown: 1.0,
            contention: ContentionEstimate::default(),
        }
    }
}

/// An instance's own view of an upstream's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadView {
    /// Requests of this instance at the upstream.
    pub own: f64,
    /// Requests of other instances, according to the upstream's last response.
    pub others: f64,
    /// Weight of `others`, from 0 (outdated) to 1 (current).
    pub freshness: f64,
}

/// Returns the estimated loads of the upstreams of one service.
///
/// The outdated share of a view is replaced by the mean over the other upstreams: an upstream without a recent response
/// does not count as idle, and is not preferred to one that has just responded.
///
/// `slowdown` returns an upstream's slowdown by its index. The more outdated the view of a slow upstream is, the more it
/// is assumed to have the load at which a request completes as soon as at the mean load elsewhere: it gets few requests
/// and reports its load rarely, so with the mean load assumed it would stay unused while the others have long queues.
#[must_use]
pub fn estimate_loads<Slowdown>(views: &[LoadView], slowdown: Slowdown) -> Vec<f64>
where
    Slowdown: Fn(usize) -> f64,
{
    let known: f64 = views.iter().map(|view| view.freshness).sum();
    let others: f64 = views.iter().map(|view| view.others * view.freshness).sum();
    let mean = others / known.max(MIN_FRESHNESS);
    let load = |(index, view): (usize, &LoadView)| {
        let outdated = 1.0 - view.freshness;
        let difference = (mean + 1.0) * (1.0 / slowdown(index) - 1.0);
        let assumed = (mean + difference * outdated).max(0.0);
        view.own + view.others * view.freshness + assumed * outdated
    };
    views.iter().enumerate().map(load).collect()
}

/// An instance's own view of the contention on an upstream's machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ContentionView {
    /// Additional time that work took there according to the upstream's last response, as a multiple of the usual time.
    pub excess: f64,
    /// Weight of `excess`, from 0 (outdated) to 1 (current).
    pub freshness: f64,
}

/// Expected contention on an upstream's machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContentionEstimate {
    /// Time that work takes, as a multiple of the usual time.
    pub factor: f64,
    /// Part of the factor that is assumed from other upstreams.
    pub assumed: f64,
}

impl Default for ContentionEstimate {
    fn default() -> Self {
        Self {
            factor: 1.0,
            assumed: 0.0,
        }
    }
}

impl ContentionView {
    /// Returns the expected contention: the outdated share of the view is replaced by the mean excess over the service's
    /// upstreams.
    #[must_use]
    pub fn estimate(&self, mean_excess: f64) -> ContentionEstimate {
        let assumed = mean_excess * (1.0 - self.freshness);
        ContentionEstimate {
            factor: 1.0 + self.excess * self.freshness + assumed,
            assumed,
        }
    }
}

/// Returns the mean excess over the upstreams of one service, weighted by freshness.
#[must_use]
pub fn mean_excess(views: &[ContentionView]) -> f64 {
    let known: f64 = views.iter().map(|view| view.freshness).sum();
    let excess: f64 = views.iter().map(|view| view.excess * view.freshness).sum();
    excess / known.max(MIN_FRESHNESS)
}

/// Expected resource use of a request, known before it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Time for which the request occupies a slot, in milliseconds.
    pub slot_milliseconds: f64,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_rate: f64,
    /// Whether the request runs on an engine, in a batch with others.
    pub on_engine: bool,
}

impl Candidate {
    /// Replaces this instance's own view of the upstream by a keeper's account of it.
    ///
    /// `own` is the number of requests of this instance, which the keeper may not have received yet; `home` is set if
    /// the upstream is a home of the prompt's shared prefix.
    pub fn apply_account(&mut self, account: &UpstreamAccount, own: u32, home: bool) {
        let reported = f64::from(account.running.max(own));
        self.load = if account.informed < LOAD_OBSERVATION_TIME {
            self.load.max(reported)
        } else {
            reported
        };
        let uncached = if home {
            account.uncached - uncharged_at_home(account.uncached_first)
        } else {
            account.uncached
        };
        self.uncached_tokens = if account.informed < CACHE_OBSERVATION_TIME {
            self.uncached_tokens.min(uncached)
        } else {
            uncached
        };
    }

    /// Returns the factor by which costs account for the upstream's speed and contention.
    fn cost_factor(&self) -> f64 {
        self.slowdown * (1.0 + CONTENTION_WEIGHT * (self.contention.factor - 1.0))
    }

    /// Returns the time for which the request waits for a slot, in milliseconds, at the median speed.
    fn queueing(&self, work: &WorkEstimate) -> f64 {
        let slots = self.slots.max(1.0);
        let ahead = (self.load + 1.0 - slots).max(0.0);
        ahead * work.slot_milliseconds / slots
    }

    /// Returns the cost of the request at this upstream, in milliseconds: the request's own expected time and, on an
    /// engine, the delay that it causes for the requests that already run there.
    ///
    /// An engine processes a prompt between the steps of its batch, so every running request waits meanwhile. A cache
    /// miss is therefore most expensive on engines that are nearly full.
    ///
    /// All work takes longer on a slow upstream. Of the request's own time only the difference to the median upstream
    /// is charged, since the rest is the same everywhere.
    #[must_use]
    pub fn cost(&self, work: &WorkEstimate) -> f64 {
        let slots = self.slots.max(1.0);
        let running = self.load.min(slots);
        let domain_latency = if self.in_other_domain {
            OTHER_DOMAIN_MILLISECONDS
        } else {
            0.0
        };
        let connection = if self.connected {
            0.0
        } else {
            CONNECT_MILLISECONDS
        };
        let prefill = f64::from(self.uncached_tokens) / work.prefill_rate.max(f64::MIN_POSITIVE);
        let execution = if work.on_engine {
            prefill * (1.0 + running) + BATCH_SLOWDOWN * work.slot_milliseconds * running
        } else {
            PLAIN_CONTENTION * work.slot_milliseconds * running / slots
        };
        let factor = self.cost_factor();
        let own_extra = work.slot_milliseconds * (factor - 1.0);
        let upstream_time = (execution + self.queueing(work)) * factor + own_extra;
        upstream_time + domain_latency + connection + self.penalty.as_secs_f64() * 1000.0
    }
}

/// Returns the part of a shared prefix's tokens that is not charged to a turn if a home engine has to process them.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn uncharged_at_home(tokens: u32) -> u32 {
    (f64::from(tokens) * (1.0 - HOME_PREFILL_SHARE)) as u32
}

/// Returns the index of the candidate with the least cost; `draw`, from 0 to 1, selects among candidates of equal cost,
/// or of similar cost if upstreams differ in speed or contention.
#[must_use]
pub fn choose_upstream(candidates: &[Candidate], work: &WorkEstimate, draw: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.cost(work))
        .collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let width = draw_width(candidates, &costs, work);
    if width > 0.0 {
        return draw_in_proportion(&costs, least, width + INDIFFERENCE_MILLISECONDS, draw);
    }
    let cheapest: Vec<usize> = (0..costs.len())
        .filter(|&index| costs[index] <= least + INDIFFERENCE_MILLISECONDS)
        .collect();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let position = (draw * cheapest.len() as f64) as usize;
    cheapest
        .get(position.min(cheapest.len().saturating_sub(1)))
        .copied()
}

/// Returns by how many milliseconds a cost may exceed the least one because the load or the contention of the cheapest
/// candidate may have changed; 0 if all upstreams are equally fast and report no contention.
fn draw_width(candidates: &[Candidate], costs: &[f64], work: &WorkEstimate) -> f64 {
    let is_usual = |candidate: &Candidate| {
        candidate.slowdown.total_cmp(&1.0).is_eq()
            && candidate.contention == ContentionEstimate::default()
    };
    let cheapest = (0..costs.len()).min_by(|&one, &other| costs[one].total_cmp(&costs[other]));
    let Some(index) = cheapest.filter(|_| !candidates.iter().all(is_usual)) else {
        return 0.0;
    };
    let candidate = &candidates[index];
    let assumed = candidate.contention.assumed.max(0.0);
    DRAW_SHARE * work.slot_milliseconds * assumed + QUEUE_DRAW_SHARE * candidate.queueing(work)
}

/// Draws an index with a probability that decreases linearly from the least cost to none at `width` above it.
fn draw_in_proportion(costs: &[f64], least: f64, width: f64, draw: f64) -> Option<usize> {
    let weights: Vec<f64> = costs
        .iter()
        .map(|cost| (1.0 - (cost - least) / width).max(0.0))
        .collect();
    let mut rest = draw * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return Some(index);
        }
    }
    weights.iter().rposition(|&weight| weight > 0.0)
}
