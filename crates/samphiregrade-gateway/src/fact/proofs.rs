//! Requests to keepers for proofs of the configuration's freshness.

use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::placement::KeeperSlot;
use crate::access::BootTime;
use crate::store::ConfigurationProof;

/// Timeout of a request for a proof without a bound for withdrawn keys; the keeper may have to read the configuration
/// first.
pub const PROOF_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of keepers queried at the same time.
const QUERY_LIMIT: usize = 6;

/// Number of consecutive rounds of all failure domains without a proof after which each domain's next keeper is queried
/// for one round. Most of these rounds are part of an outage of the service, where further keepers only add calls.
const ROUNDS_PER_RANK: u32 = 3;

/// Number of consecutive proofs that only another keeper gave after which that keeper is queried first. One late reply
/// does not move the entries of a failure domain to another domain's keeper.
const MISSES_UNTIL_MOVE: u32 = 2;

/// Time after which an entry returns to its failure domain's first keeper.
const RETURN_INTERVAL: Duration = Duration::from_secs(10);

/// Choice of the keepers to query for a proof under a bound for withdrawn keys.
#[derive(Debug, Default)]
pub struct ProofRoute {
    /// Keeper that is queried instead of the first one, and since when.
    replacement: Option<(SmolStr, BootTime)>,
    /// Consecutive rounds without a proof.
    failed_rounds: u32,
    /// Consecutive proofs that another keeper gave than the preferred one.
    misses: u32,
}

impl ProofRoute {
    /// Returns the keeper to query while the proof is recent; `slots` are the reachable keepers in the order of
    /// [`KeeperClient::proof_sources`].
    #[must_use]
    pub fn preferred<'slots>(
        &self,
        slots: &'slots [KeeperSlot],
        now: BootTime,
    ) -> Option<&'slots KeeperSlot> {
        let replacement = self.replacement.as_ref();
        let replacement = replacement.filter(|(_, since)| now.since(*since) < RETURN_INTERVAL);
        replacement
            .and_then(|(name, _)| slots.iter().find(|slot| slot.name == *name))
            .or_else(|| slots.first())
    }

    /// Returns the keepers to query while the proof is overdue: one of each failure domain, so that no more than one per
    /// domain reads during an outage.
    #[must_use]
    pub fn overdue<'slots>(&self, slots: &'slots [KeeperSlot]) -> Vec<&'slots KeeperSlot> {
        let second = self.failed_rounds % (ROUNDS_PER_RANK + 1) == ROUNDS_PER_RANK;
        let mut chosen: Vec<&KeeperSlot> = Vec::new();
        for slot in slots {
            let known = chosen.iter().position(|other| other.domain == slot.domain);
            let Some(index) = known else {
                chosen.push(slot);
                continue;
            };
            let is_first = slots
                .iter()
                .find(|other| other.domain == slot.domain)
                .is_some_and(|first| first.name == chosen[index].name);
            if second && is_first {
                chosen[index] = slot;
            }
        }
        chosen.truncate(QUERY_LIMIT);
        chosen
    }

    /// Records which keeper gave the proof of a round; `None` if none did.
    pub fn record(&mut self, preferred: &SmolStr, prover: Option<&SmolStr>, now: BootTime) {
        let Some(prover) = prover else {
            self.failed_rounds = self.failed_rounds.saturating_add(1);
            return;
        };
        self.failed_rounds = 0;
        if prover == preferred {
            self.misses = 0;
            return;
        }
        self.misses += 1;
        if self.misses >= MISSES_UNTIL_MOVE {
            self.misses = 0;
            self.replacement = Some((prover.clone(), now));
        }
    }
}

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
    pub async fn request_proof(
        &self,
        slot: &KeeperSlot,
        timeout: Duration,
    ) -> Option<ConfigurationProof> {
        let placement = self.placement.load_full();
        let reply = self.call(slot.clone(), &placement, KeeperRequest::Confirm, timeout);
        match reply.await {
            Some(KeeperReply::Confirmed(proof)) => proof,
            _ => None,
        }
    }
}
