//! Following the key-value service through keepers.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::sync::Notify;

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::placement::KeeperSlot;
use crate::dialect::StoreRevision;
use crate::hold::hold;
use crate::mix::mix;
use crate::store::{RevisionNews, StreamReply, StreamRequest};

/// Time for the way to a keeper and back, beyond what it may hold a question.
const FOLLOW_MARGIN: Duration = Duration::from_millis(300);

impl KeeperClient {
    /// Returns the keepers within reach in the order in which this instance follows them: those of its failure domain
    /// first, and among equals in an order of its own, so that instances spread over the keepers.
    #[must_use]
    pub fn stream_sources(&self) -> Vec<KeeperSlot> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let slots = placement.slots.iter().enumerate();
        let mut sources: Vec<(usize, &KeeperSlot)> = slots
            .filter(|(_, slot)| self.health.is_within_reach(&slot.name, now))
            .collect();
        sources.sort_by_key(|(index, slot)| {
            let elsewhere = slot.domain != self.own.domain;
            (elsewhere, mix(self.seed, *index as u64))
        });
        sources.into_iter().map(|(_, slot)| slot.clone()).collect()
    }

    /// Asks a keeper what is new in the key-value service.
    pub async fn follow(&self, slot: &KeeperSlot, request: StreamRequest) -> Option<StreamReply> {
        let placement = self.placement.load_full();
        let timeout = request.hold + FOLLOW_MARGIN;
        let follow = KeeperRequest::Follow {
            request,
            follower: self.own.clone(),
        };
        let asking = self.ask(slot.clone(), &placement, follow, timeout);
        match asking.await {
            Some(KeeperReply::Stream { reply, .. }) => Some(reply),
            _ => None,
        }
    }

    /// Returns what keepers have told of the key-value service's revisions.
    #[must_use]
    pub fn news(&self) -> &NewsBoard {
        &self.news
    }
}

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
