//! Requests to keepers for proofs of the configuration's freshness.

use std::time::{Duration, Instant};

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::placement::KeeperSlot;
use crate::store::ConfigurationProof;

/// Timeout of a request for a proof; the keeper may have to read the configuration first.
const PROOF_TIMEOUT: Duration = Duration::from_millis(300);

impl KeeperClient {
    /// Returns the reachable keepers in the order in which proofs are requested from them: those of the own failure
    /// domain first, in an order shared by all of the domain's instances, so that one keeper reads for all of them.
    #[must_use]
    pub fn proof_sources(&self) -> Vec<KeeperSlot> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let mut proof_sources: Vec<KeeperSlot> = placement
            .slots
            .iter()
            .filter(|slot| self.health.is_reachable(&slot.name, now))
            .cloned()
            .collect();
        proof_sources.sort_by_key(|slot| slot.domain != self.own.domain);
        proof_sources
    }

    /// Queries a keeper for the newest configuration at a point in time.
    pub async fn request_proof(&self, slot: &KeeperSlot) -> Option<ConfigurationProof> {
        let placement = self.placement.load_full();
        let reply = self.call(
            slot.clone(),
            &placement,
            KeeperRequest::Confirm,
            PROOF_TIMEOUT,
        );
        match reply.await {
            Some(KeeperReply::Confirmed(proof)) => proof,
            _ => None,
        }
    }
}
