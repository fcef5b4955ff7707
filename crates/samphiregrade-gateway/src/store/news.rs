//! Detects that the followed source lags behind the revisions that keepers report; performs no I/O.
//!
//! Handles a source that no longer receives changes and hasn't noticed it yet: its replies look like those of a service
//! without changes. All keepers report with their replies up to which revision they know the service, so that an
//! instance can tell since when its source has been missing changes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dialect::StoreRevision;

/// Maximum number of revisions kept with their report times; further ones count as reported together with the last one.
const REPORT_LIMIT: usize = 256;

#[derive(Clone, Copy, Debug)]
struct ReportedRevision {
    revision: StoreRevision,
    reported: Instant,
}

/// The revisions that keepers have reported and this instance doesn't know yet.
#[derive(Debug, Default)]
pub struct LagTracker {
    /// Revision up to which the instance knows all changes.
    position: StoreRevision,
    /// Newer revisions in ascending order, with the time at which each was first reported.
    missing: VecDeque<ReportedRevision>,
    newest: StoreRevision,
    /// Keeper that reported the newest revision first.
    reporter: SmolStr,
}

impl LagTracker {
    /// Records a revision up to which a keeper knows all changes; returns whether the instance has just begun to lag.
    pub fn record(&mut self, reporter: &SmolStr, revision: StoreRevision, now: Instant) -> bool {
        if revision <= self.newest {
            return false;
        }
        self.newest = revision;
        self.reporter = reporter.clone();
        if revision <= self.position {
            return false;
        }
        if self.missing.len() >= REPORT_LIMIT
            && let Some(last) = self.missing.back_mut()
        {
            last.revision = revision;
            return false;
        }
        self.missing.push_back(ReportedRevision {
            revision,
            reported: now,
        });
        self.missing.len() == 1
    }

    /// Records that the instance knows all changes up to a revision.
    pub fn advance(&mut self, position: StoreRevision) {
        self.position = self.position.max(position);
        while self
            .missing
            .front()
            .is_some_and(|report| report.revision <= self.position)
        {
            self.missing.pop_front();
        }
    }

    /// Returns since when the instance has lagged behind a reported revision; `None` if it doesn't lag.
    #[must_use]
    pub fn lagging_since(&self) -> Option<Instant> {
        self.missing.front().map(|report| report.reported)
    }

    /// Returns when a source that has been followed since `followed_since` counts as stale: from then on it has had the
    /// whole timeout to deliver what others had reported before. `None` while the instance doesn't lag.
    #[must_use]
    pub fn stale_at(&self, followed_since: Instant, timeout: Duration) -> Option<Instant> {
        let since = self.lagging_since()?;
        Some(since.max(followed_since) + timeout)
    }

    /// Returns the newest reported revision.
    #[must_use]
    pub fn newest(&self) -> StoreRevision {
        self.newest
    }

    /// Returns the keeper that reported the newest revision first; empty if none was reported.
    #[must_use]
    pub fn reporter(&self) -> &SmolStr {
        &self.reporter
    }
}
