//! What is known of one upstream: reports, own and others' calls, times, cached prefixes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::contract::TokenUsage;
use crate::ids::{InstanceName, TokenCount};
use crate::link::LoadReport;
use crate::upstream::CircuitBreaker;

/// Age from which another instance's word counts no more.
const SHARE_AGE: Duration = Duration::from_millis(1500);

/// Age up to which a report's requests count.
const REPORT_FRESH: Duration = Duration::from_millis(300);

/// Age from which an upstream's report counts no more.
const REPORT_AGE: Duration = Duration::from_secs(15);

/// Slots of an engine that has not reported yet.
const UNKNOWN_SLOTS: u32 = 4;

/// Shortest first message that counts as a prefix shared between programs.
const SHARED_PREFIX: TokenCount = 32;

/// First messages remembered for an upstream.
const PREFIX_LIMIT: usize = 256;

/// Fewest prefilled tokens whose time says something about the time of one.
const LEAST_PREFILL: TokenCount = 64;

/// Weight of the newest measured time.
const NEWEST: f64 = 0.1;

/// What another instance has at an upstream.
#[derive(Debug)]
pub(super) struct PeerShare {
    pub in_flight: u32,
    pub resident_tokens: TokenCount,
    pub at: Instant,
}

/// What is known of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub report: Option<(LoadReport, Instant)>,
    pub in_flight: u32,
    pub sent_since_report: u32,
    pub peers: HashMap<InstanceName, PeerShare>,
    pub breaker: CircuitBreaker,
    pub prefixes: HashMap<u64, (TokenCount, TokenCount)>,
    pub inserted: TokenCount,
    pub resident: TokenCount,
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
            inserted: 0,
            resident: 0,
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

    /// Returns whether the last report lacks the model; `None` without a report.
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

    /// Estimates the requests there.
    ///
    /// What the instances tell of their own calls is newer than most reports. A report counts while it
    /// is new itself: later, own calls sent since may have ended again, and would count too often.
    pub fn total_in_flight(&self, now: Instant) -> u32 {
        let peers: u32 = self.peer_shares(now).map(|share| share.in_flight).sum();
        let told = self.in_flight + peers;
        let reported = self
            .report
            .as_ref()
            .filter(|(_, at)| now.duration_since(*at) < REPORT_FRESH)
            .map_or(0, |(report, _)| {
                report.running + report.queued + self.sent_since_report
            });
        told.max(reported)
    }

    pub fn cache_tokens(&self, now: Instant) -> TokenCount {
        self.fresh_report(now)
            .map_or(0, |report| report.cache_tokens)
    }

    /// Returns whether something inserted at the mark has probably been put out since.
    pub fn is_stale(&self, mark: TokenCount, now: Instant) -> bool {
        let size = self.cache_tokens(now);
        // What others insert is only estimated: a prefix counts as lost late rather than early.
        size > 0 && self.inserted.saturating_sub(mark) > size + size / 2
    }

    /// Takes the times of an answer, and what it has put into the cache.
    pub fn note_answer(
        &mut self,
        usage: TokenUsage,
        first_token: Duration,
        total: Duration,
        now: Instant,
    ) {
        blend(&mut self.call_time, total);
        let missing = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        if missing > LEAST_PREFILL {
            let count = u32::try_from(missing).unwrap_or(u32::MAX);
            blend(&mut self.prefill_time, first_token / count);
        }
        let count = u32::try_from(usage.completion_tokens.max(1)).unwrap_or(u32::MAX);
        blend(
            &mut self.token_time,
            total.saturating_sub(first_token) / count,
        );
        // Other instances fill the cache as well, about in proportion to their calls there.
        let own = u64::from(self.in_flight) + 1;
        let all = u64::from(self.total_in_flight(now)) + 1;
        self.inserted += (missing + usage.completion_tokens) * all.div_ceil(own);
    }

    /// Notes that the first message of a program is cached; the oldest are forgotten.
    pub fn note_prefix(&mut self, prefix: u64, tokens: TokenCount) {
        if tokens < SHARED_PREFIX {
            return;
        }
        let mark = self.inserted;
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

/// Moves a mean a little towards a value.
fn blend(mean: &mut Duration, value: Duration) {
    *mean = mean.mul_f64(1.0 - NEWEST) + value.mul_f64(NEWEST);
}
