//! Asking keepers how fresh the configuration is.

use std::time::{Duration, Instant};

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::placement::KeeperSlot;
use crate::store::ConfigurationProof;

/// Longest wait for a keeper, which may have to read first.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

impl KeeperClient {
    /// Returns the keepers within reach in the order in which they are asked for proofs: those of the own failure domain
    /// first, in an order that all of its instances share, so that one keeper reads for all.
    #[must_use]
    pub fn proof_sources(&self) -> Vec<KeeperSlot> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let mut proof_sources: Vec<KeeperSlot> = placement
            .slots
            .iter()
            .filter(|slot| self.health.is_within_reach(&slot.name, now))
            .cloned()
            .collect();
        proof_sources.sort_by_key(|slot| slot.domain != self.own.domain);
        proof_sources
    }

    /// Asks a keeper which configuration was the newest one, and when.
    pub async fn request_proof(&self, slot: &KeeperSlot) -> Option<ConfigurationProof> {
        let placement = self.placement.load_full();
        let asking = self.ask(
            slot.clone(),
            &placement,
            KeeperRequest::Confirm,
            CONFIRM_TIMEOUT,
        );
        match asking.await {
            Some(KeeperReply::Confirmed(proof)) => proof,
            _ => None,
        }
    }
}
