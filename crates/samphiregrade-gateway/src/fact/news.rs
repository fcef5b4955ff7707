//! Which revisions keepers have told beside their answers, for the one who follows one of them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::dialect::StoreRevision;
use crate::hold::hold;
use crate::store::RevisionNews;

/// What keepers have told of the key-value service's revisions, with a signal for the one who follows one of them.
#[derive(Debug, Default)]
pub struct NewsBoard {
    news: Mutex<RevisionNews>,
    fell_behind: Notify,
}

impl NewsBoard {
    /// Notes the revision up to which a keeper knows everything.
    pub fn hear(&self, keeper: &SmolStr, revision: StoreRevision) {
        if hold(&self.news).hear(keeper, revision, Instant::now()) {
            self.fell_behind.notify_one();
        }
    }

    /// Notes that this instance knows everything up to a revision.
    pub fn take(&self, position: StoreRevision) {
        hold(&self.news).take(position);
    }

    /// Returns the newest revision that was told, and who told it first.
    #[must_use]
    pub fn newest(&self) -> (StoreRevision, SmolStr) {
        let news = hold(&self.news);
        (news.newest(), news.teller().clone())
    }

    /// Returns how long somebody has been known to know more than this instance.
    #[must_use]
    pub fn behind_for(&self) -> Duration {
        let since = hold(&self.news).behind_since();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Resolves when a source that was turned to at a moment is to be left, since others have known more for too long.
    pub async fn leave(&self, turned: Instant, patience: Duration) {
        loop {
            let due = hold(&self.news).leave_at(turned, patience);
            match due {
                None => self.fell_behind.notified().await,
                Some(due) => return tokio::time::sleep_until(due.into()).await,
            }
        }
    }
}
