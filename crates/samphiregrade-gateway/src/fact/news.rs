//! Revisions that keepers report with their replies, from which the follower of one keeper sees that its source lags.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::dialect::StoreRevision;
use crate::hold::lock_ignoring_poison;
use crate::store::LagTracker;

/// Tracks the key-value service's revisions that keepers report, and signals the follower of a keeper that lags.
#[derive(Debug, Default)]
pub struct LagMonitor {
    tracker: Mutex<LagTracker>,
    lag_began: Notify,
}

impl LagMonitor {
    /// Records the revision up to which a keeper knows all changes.
    pub fn record(&self, keeper: &SmolStr, revision: StoreRevision) {
        if lock_ignoring_poison(&self.tracker).record(keeper, revision, Instant::now()) {
            self.lag_began.notify_one();
        }
    }

    /// Records that this instance knows all changes up to a revision.
    pub fn advance(&self, position: StoreRevision) {
        lock_ignoring_poison(&self.tracker).advance(position);
    }

    /// Returns the newest reported revision and the keeper that reported it first.
    #[must_use]
    pub fn newest(&self) -> (StoreRevision, SmolStr) {
        let tracker = lock_ignoring_poison(&self.tracker);
        (tracker.newest(), tracker.reporter().clone())
    }

    /// Returns how long this instance has lagged behind a reported revision; zero if it doesn't.
    #[must_use]
    pub fn duration(&self) -> Duration {
        let since = lock_ignoring_poison(&self.tracker).lagging_since();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Resolves when a source that has been followed since `followed_since` counts as stale: a newer revision was
    /// reported and the source hasn't delivered it within the timeout.
    pub async fn wait_until_stale(&self, followed_since: Instant, timeout: Duration) {
        loop {
            let deadline = lock_ignoring_poison(&self.tracker).stale_at(followed_since, timeout);
            match deadline {
                None => self.lag_began.notified().await,
                Some(deadline) => return tokio::time::sleep_until(deadline.into()).await,
            }
        }
    }
}
