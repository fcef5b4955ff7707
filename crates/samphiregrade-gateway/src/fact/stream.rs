//! Follows the key-value service through keepers.

use std::time::{Duration, Instant};

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::news::LagMonitor;
use super::placement::KeeperSlot;
use crate::mix::hash_pair;
use crate::store::{StreamReply, StreamRequest};

/// Time allowed for the round trip to a keeper, in addition to the time for which it may hold the request.
const FOLLOW_MARGIN: Duration = Duration::from_millis(300);

impl KeeperClient {
    /// Returns the reachable keepers in the order in which this instance follows them: those of its failure domain
    /// first, and otherwise in an order that differs between instances, so that they spread across the keepers.
    #[must_use]
    pub fn stream_sources(&self) -> Vec<KeeperSlot> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let slots = placement.slots.iter().enumerate();
        let mut sources: Vec<(usize, &KeeperSlot)> = slots
            .filter(|(_, slot)| self.health.is_reachable(&slot.name, now))
            .collect();
        sources.sort_by_key(|(index, slot)| {
            let elsewhere = slot.domain != self.own.domain;
            (elsewhere, hash_pair(self.seed, *index as u64))
        });
        sources.into_iter().map(|(_, slot)| slot.clone()).collect()
    }

    /// Requests changes of the key-value service from a keeper.
    pub async fn follow(&self, slot: &KeeperSlot, request: StreamRequest) -> Option<StreamReply> {
        let placement = self.placement.load_full();
        let timeout = request.hold + FOLLOW_MARGIN;
        let follow = KeeperRequest::Follow {
            request,
            follower: self.own.clone(),
        };
        let reply = self.call(slot.clone(), &placement, follow, timeout);
        match reply.await {
            Some(KeeperReply::Stream { reply, .. }) => Some(reply),
            _ => None,
        }
    }

    /// Returns the monitor of this instance's lag behind the revisions that keepers report.
    #[must_use]
    pub fn lag(&self) -> &LagMonitor {
        &self.lag
    }
}
