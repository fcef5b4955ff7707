//! What is known of one upstream: reports, own and others' calls, times, cached prefixes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{InstanceName, TokenCount};
use crate::link::LoadReport;
use crate::upstream::CircuitBreaker;

/// Age from which another instance's word counts no more.
const SHARE_AGE: Duration = Duration::from_millis(1500);

/// Age from which an upstream's report counts no more.
const REPORT_AGE: Duration = Duration::from_secs(15);

/// Slots of an engine that has not reported yet.
const UNKNOWN_SLOTS: u32 = 4;

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

    /// Estimates the requests there, from the last report and from what the instances have sent.
    pub fn total_in_flight(&self, now: Instant) -> u32 {
        let peers: u32 = self.peer_shares(now).map(|share| share.in_flight).sum();
        let told = self.in_flight + peers;
        let reported = self.fresh_report(now).map_or(0, |report| {
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
        size > 0 && self.inserted.saturating_sub(mark) > size - size / 8
    }
}

/// Moves a mean a little towards a value.
pub(super) fn blend(mean: &mut Duration, value: Duration) {
    *mean = mean.mul_f64(1.0 - NEWEST) + value.mul_f64(NEWEST);
}
