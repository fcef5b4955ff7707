//! Which revisions keepers have told beside their answers, for the one who follows one of them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::dialect::StoreRevision;
use crate::hold::lock_ignoring_poison;
use crate::store::LagTracker;

/// What keepers have told of the key-value service's revisions, with a signal for the one who follows one of them.
#[derive(Debug, Default)]
pub struct LagMonitor {
    news: Mutex<LagTracker>,
    fell_behind: Notify,
}

impl LagMonitor {
    /// Notes the revision up to which a keeper knows everything.
    pub fn hear(&self, keeper: &SmolStr, revision: StoreRevision) {
        if lock_ignoring_poison(&self.news).hear(keeper, revision, Instant::now()) {
            self.fell_behind.notify_one();
        }
    }

    /// Notes that this instance knows everything up to a revision.
    pub fn advance(&self, position: StoreRevision) {
        lock_ignoring_poison(&self.news).take(position);
    }

    /// Returns the newest revision that was told, and who told it first.
    #[must_use]
    pub fn newest(&self) -> (StoreRevision, SmolStr) {
        let news = lock_ignoring_poison(&self.news);
        (news.newest(), news.teller().clone())
    }

    /// Returns how long somebody has been known to know more than this instance.
    #[must_use]
    pub fn duration(&self) -> Duration {
        let since = lock_ignoring_poison(&self.news).behind_since();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Resolves when a source that was turned to at a moment is to be left, since others have known more for too long.
    pub async fn wait_until_stale(&self, turned: Instant, patience: Duration) {
        loop {
            let due = lock_ignoring_poison(&self.news).leave_at(turned, patience);
            match due {
                None => self.fell_behind.notified().await,
                Some(due) => return tokio::time::sleep_until(due.into()).await,
            }
        }
    }
}
