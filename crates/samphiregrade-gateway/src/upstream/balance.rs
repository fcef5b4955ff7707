//! Which upstream a request goes to: the least expected time, pure.
//!
//! Answers the pattern of a service whose upstreams are shared by many entries: prompts whose first parts are
//! cached at some engines, slots that fill up in bursts, upstreams in other failure domains.

use std::time::Duration;

use super::run_table::UpstreamAccount;

/// What a round trip to another failure domain costs, in milliseconds: one way is about 1.4 ms.
const OTHER_DOMAIN_MILLISECONDS: f64 = 2.8;

/// What a new connection costs, in milliseconds: about a round trip, and what the upstream takes for it.
const CONNECT_MILLISECONDS: f64 = 2.0;

/// Costs that differ by less are equal: the views of loads are no better than that, in milliseconds.
const INDIFFERENCE_MILLISECONDS: f64 = 0.3;

/// Part of a plain request's own time that each further request on the upstream costs it, per slot: a
/// processor is shared a little even before the slots are full.
const PLAIN_SHARING: f64 = 0.35;

/// Freshness of all views together below which they say nothing about the others.
const LEAST_FRESHNESS: f64 = 0.5;

/// What one more request in an engine's batch costs, as part of a turn's time for each request that runs there: a step
/// takes some half a hundredth longer for it. Views of loads are old and poor where there are many entries, so that
/// a dearer batch moves turns away from their cached prompts for nothing (the paired runs stand in
/// docs/design/urgency.md).
const BATCH_SHARE: f64 = 0.0045;

/// Time for which a keeper must have been told of what begins before its word on the load is taken alone: the longest
/// turns last as long.
const LOAD_INFORMED: Duration = Duration::from_secs(3);

/// Time for which it must have been told before its word on what is cached is taken alone: parts that are used again
/// at all are used again within it.
const CACHE_INFORMED: Duration = Duration::from_secs(15);

/// Part of the cost of reading a first part that is charged to the turn for which a home reads it: the turns after it
/// have it for nothing. Charged in full, the few engines that have the part fill up before another one reads it.
const HOME_READ_SHARE: f64 = 0.15;

/// An upstream as a choice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Requests that are thought to run or wait there.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Tokens of the prompt that it would have to read.
    pub uncached_tokens: u32,
    /// Whether it stands in another failure domain.
    pub elsewhere: bool,
    /// Whether a connection to it is open and idle.
    pub connected: bool,
    /// Time that is added while it warms up or is not trusted.
    pub penalty: Duration,
}

/// What an instance knows by itself of an upstream's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadView {
    /// Its own requests there.
    pub own: f64,
    /// Others' requests, by the last answer.
    pub others: f64,
    /// How much that still says, from 0 to 1.
    pub freshness: f64,
}

/// Returns the loads that upstreams of one service are thought to have.
///
/// What has faded is taken to be as with the others: an upstream that has not been heard of for a while isn't idle, and
/// one that has just answered isn't left for it.
#[must_use]
pub fn estimate_loads(views: &[LoadView]) -> Vec<f64> {
    let known: f64 = views.iter().map(|view| view.freshness).sum();
    let others: f64 = views.iter().map(|view| view.others * view.freshness).sum();
    let mean = others / known.max(LEAST_FRESHNESS);
    let load = |view: &LoadView| {
        let faded = 1.0 - view.freshness;
        view.own + view.others * view.freshness + mean * faded
    };
    views.iter().map(load).collect()
}

/// What is known of a request before it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// How long it holds a slot, in milliseconds.
    pub slot_milliseconds: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_rate: f64,
    /// Whether an engine runs it in a batch with others.
    pub on_engine: bool,
}

impl Candidate {
    /// Takes what a keeper tells of the upstream in place of this instance's own view; `own` is the requests of this
    /// instance, of which the keeper may not have heard yet, and `home` tells whether the upstream is a home of the
    /// prompt's first part.
    pub fn apply_account(&mut self, account: &UpstreamAccount, own: u32, home: bool) {
        let told = f64::from(account.running.max(own));
        self.load = if account.informed < LOAD_INFORMED {
            self.load.max(told)
        } else {
            told
        };
        let uncached = if home {
            account.uncached - spared_by_home(account.uncached_first)
        } else {
            account.uncached
        };
        self.uncached_tokens = if account.informed < CACHE_INFORMED {
            self.uncached_tokens.min(uncached)
        } else {
            uncached
        };
    }

    /// Returns what the request costs there, in milliseconds: its own expected time, and on an engine what it
    /// costs the requests that run there.
    ///
    /// An engine reads a prompt between the steps of its batch, so each request that runs waits meanwhile.
    /// That is what makes a lost cache dearest where engines are nearly full.
    #[must_use]
    pub fn cost(&self, work: &WorkEstimate) -> f64 {
        let slots = self.slots.max(1.0);
        let running = self.load.min(slots);
        let ahead = (self.load + 1.0 - slots).max(0.0);
        let queue = ahead * work.slot_milliseconds / slots;
        let way = if self.elsewhere {
            OTHER_DOMAIN_MILLISECONDS
        } else {
            0.0
        };
        let connection = if self.connected {
            0.0
        } else {
            CONNECT_MILLISECONDS
        };
        let read = f64::from(self.uncached_tokens) / work.prefill_rate.max(f64::MIN_POSITIVE);
        let shared = if work.on_engine {
            read * (1.0 + running) + BATCH_SHARE * work.slot_milliseconds * running
        } else {
            PLAIN_SHARING * work.slot_milliseconds * running / slots
        };
        shared + queue + way + connection + self.penalty.as_secs_f64() * 1000.0
    }
}

/// Returns the tokens of a first part that a turn is not charged for where a home reads it.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn spared_by_home(tokens: u32) -> u32 {
    (f64::from(tokens) * (1.0 - HOME_READ_SHARE)) as u32
}

/// Returns the index of the cheapest candidate; among equal ones the draw decides.
#[must_use]
pub fn choose_upstream(candidates: &[Candidate], work: &WorkEstimate, draw: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates
        .iter()
        .map(|candidate| candidate.cost(work))
        .collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let equal: Vec<usize> = (0..costs.len())
        .filter(|&index| costs[index] <= least + INDIFFERENCE_MILLISECONDS)
        .collect();
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let position = (draw * equal.len() as f64) as usize;
    equal
        .get(position.min(equal.len().saturating_sub(1)))
        .copied()
}
