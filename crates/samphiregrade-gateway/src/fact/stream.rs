//! Following the key-value service through keepers.

use std::time::{Duration, Instant};

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::news::LagMonitor;
use super::placement::KeeperSlot;
use crate::mix::hash_pair;
use crate::store::{StreamReply, StreamRequest};

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
            (elsewhere, hash_pair(self.seed, *index as u64))
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
    pub fn lag(&self) -> &LagMonitor {
        &self.news
    }
}
