//! Known state of one upstream: load report, calls of this and other instances, service times and cached prefixes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::contract::TokenUsage;
use crate::ids::{InstanceName, TokenCount};
use crate::link::LoadReport;
use crate::upstream::CircuitBreaker;

/// Age from which the calls that another instance reported are ignored.
const SHARE_AGE: Duration = Duration::from_millis(1500);

/// Age up to which the requests in an upstream's report count.
const REQUESTS_AGE: Duration = Duration::from_millis(300);

/// Age from which an upstream's report is ignored.
const REPORT_AGE: Duration = Duration::from_secs(15);

/// Slots assumed for an engine without a report.
const UNKNOWN_SLOTS: u32 = 4;

/// Minimum number of tokens of a first message that counts as a prefix shared between programs.
const MIN_SHARED_PREFIX: TokenCount = 32;

/// Maximum number of first messages stored for an upstream.
const PREFIX_LIMIT: usize = 256;

/// Prefilled tokens above which a measured time is used to estimate the time of one token.
const MIN_PREFILL: TokenCount = 64;

/// Weight of the newest measurement in a mean time.
const NEWEST_WEIGHT: f64 = 0.1;

/// Another instance's calls and cached tokens at an upstream.
#[derive(Debug)]
pub(super) struct PeerShare {
    pub in_flight: u32,
    pub resident_tokens: TokenCount,
    pub at: Instant,
}

/// Known state of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub report: Option<(LoadReport, Instant)>,
    pub in_flight: u32,
    pub sent_since_report: u32,
    pub peers: HashMap<InstanceName, PeerShare>,
    pub breaker: CircuitBreaker,
    /// Shared prefixes by hash: their tokens, and `inserted_tokens` when they were cached.
    pub prefixes: HashMap<u64, (TokenCount, TokenCount)>,
    /// Estimated total of tokens that all instances have inserted into the cache.
    pub inserted_tokens: TokenCount,
    /// Cached tokens of this instance's running programs.
    pub resident_tokens: TokenCount,
    pub call_time: Duration,
    pub prefill_time: Duration,
    pub token_time: Duration,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            report: None,
            in_flight: 0,
            sent_since_report: 0,
            peers: HashMap::new(),
            breaker: CircuitBreaker::default(),
            prefixes: HashMap::new(),
            inserted_tokens: 0,
            resident_tokens: 0,
            call_time: Duration::from_millis(500),
            prefill_time: Duration::from_micros(20),
            token_time: Duration::from_millis(6),
        }
    }
}

impl UpstreamState {
    pub fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        let (report, at) = self.report.as_ref()?;
        (now.duration_since(*at) < REPORT_AGE).then_some(report)
    }

    /// Returns whether the last report does not list the model; `None` without a recent report.
    pub fn lacks_model(&self, model: &str, now: Instant) -> Option<bool> {
        let report = self.fresh_report(now)?;
        Some(!report.models.iter().any(|loaded| loaded == model))
    }

    pub fn slots(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now).map_or(0, |report| report.slots);
        if reported == 0 {
            UNKNOWN_SLOTS
        } else {
            reported
        }
    }

    pub fn peer_shares(&self, now: Instant) -> impl Iterator<Item = &PeerShare> {
        let fresh = move |share: &&PeerShare| now.duration_since(share.at) < SHARE_AGE;
        self.peers.values().filter(fresh)
    }

    /// Estimates the requests at the upstream.
    ///
    /// The calls that instances report of themselves are newer than most upstream reports. An upstream's report counts
    /// only while it is fresh: calls sent since an older report may have ended already and would be counted too often.
    pub fn total_in_flight(&self, now: Instant) -> u32 {
        let peers: u32 = self.peer_shares(now).map(|share| share.in_flight).sum();
        let known = self.in_flight + peers;
        let reported = self
            .report
            .as_ref()
            .filter(|(_, at)| now.duration_since(*at) < REQUESTS_AGE)
            .map_or(0, |(report, _)| {
                report.running + report.queued + self.sent_since_report
            });
        known.max(reported)
    }

    pub fn cache_tokens(&self, now: Instant) -> TokenCount {
        self.fresh_report(now)
            .map_or(0, |report| report.cache_tokens)
    }

    /// Returns whether a prefix that was cached when `inserted_tokens` was `mark` has probably been evicted since.
    pub fn is_stale(&self, mark: TokenCount, now: Instant) -> bool {
        let size = self.cache_tokens(now);
        // The tokens that other instances insert are only estimated, so the threshold is 1.5 times the cache size: a
        // prefix counts as evicted late rather than early.
        size > 0 && self.inserted_tokens.saturating_sub(mark) > size + size / 2
    }

    /// Records the times of a response and the tokens that it inserted into the cache.
    pub fn record_response(
        &mut self,
        usage: TokenUsage,
        first_token: Duration,
        total: Duration,
        now: Instant,
    ) {
        update_mean(&mut self.call_time, total);
        let missing = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        if missing > MIN_PREFILL {
            let count = u32::try_from(missing).unwrap_or(u32::MAX);
            update_mean(&mut self.prefill_time, first_token / count);
        }
        let count = u32::try_from(usage.completion_tokens.max(1)).unwrap_or(u32::MAX);
        update_mean(
            &mut self.token_time,
            total.saturating_sub(first_token) / count,
        );
        // Other instances insert tokens as well, roughly in proportion to their calls at the upstream.
        let own = u64::from(self.in_flight) + 1;
        let all = u64::from(self.total_in_flight(now)) + 1;
        self.inserted_tokens += (missing + usage.completion_tokens) * all.div_ceil(own);
    }

    /// Records that the first message of a program is cached; beyond the limit, the oldest one is dropped.
    pub fn record_prefix(&mut self, prefix: u64, tokens: TokenCount) {
        if tokens < MIN_SHARED_PREFIX {
            return;
        }
        let mark = self.inserted_tokens;
        self.prefixes.insert(prefix, (tokens, mark));
        if self.prefixes.len() <= PREFIX_LIMIT {
            return;
        }
        let oldest = self.prefixes.iter().min_by_key(|(_, (_, mark))| *mark);
        if let Some(oldest) = oldest.map(|(prefix, _)| *prefix) {
            self.prefixes.remove(&oldest);
        }
    }
}

/// Updates an exponentially weighted moving average.
fn update_mean(mean: &mut Duration, value: Duration) {
    *mean = mean.mul_f64(1.0 - NEWEST_WEIGHT) + value.mul_f64(NEWEST_WEIGHT);
}
