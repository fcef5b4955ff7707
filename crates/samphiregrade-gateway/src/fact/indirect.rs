//! Sends requests to keepers through helpers, and forwards requests as a helper.

use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::client::KeeperClient;
use super::helper::{HelperAddress, HelperReply, HelperRequest, ReachedKeeper};
use super::message::{KeeperAnswer, KeeperEnvelope};
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::observe::Logbook;

/// Timeout of a query for the keepers that a helper reaches; the helper replies from memory.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);

#[derive(Serialize)]
struct HelperLine<'line> {
    helper: &'line str,
    used: bool,
    reaches: usize,
}

impl KeeperClient {
    /// Queries helpers for the keepers that they reach while too few keepers are directly reachable; otherwise stops
    /// using helpers.
    pub(super) async fn refresh_helpers(&self, placement: &KeeperPlacement) {
        if !self.health.needs_helpers(placement, Instant::now()) {
            if self.helpers.clear_used() {
                log_helper("", false, 0);
            }
            return;
        }
        let candidates = self.helpers.next_to_query();
        let querying = candidates.iter().map(|helper| self.query_reach(helper));
        futures_util::future::join_all(querying).await;
    }

    async fn query_reach(&self, helper: &HelperAddress) {
        let querying = self
            .links
            .request(helper.address, &HelperRequest::Reach, REACH_TIMEOUT);
        let reached = match querying.await {
            Ok(HelperReply::Reach(reached)) => reached,
            Ok(_) => Vec::new(),
            Err(error) => {
                log::debug!("helper={} {error}", helper.name);
                Vec::new()
            }
        };
        let now = Instant::now();
        let is_needed =
            |keeper: &ReachedKeeper| !self.health.is_directly_reachable(&keeper.name, now);
        let useful = reached.iter().any(is_needed);
        for keeper in &reached {
            // The helper may be affected by the same partition without having noticed it: the time of the keeper's last
            // reply to the helper is recorded, so that the partition doesn't appear shorter than it is.
            let last_reply = now.checked_sub(keeper.silence).unwrap_or(now);
            self.health.record_indirect_reply(&keeper.name, last_reply);
        }
        if self.helpers.set_used(helper, useful) {
            log_helper(&helper.name, useful, reached.len());
        }
    }

    /// Sends a request to a keeper through the helpers in use, one after the other; `None` if none of them has returned
    /// a reply.
    pub(super) async fn call_indirectly(
        &self,
        slot: &KeeperSlot,
        envelope: &KeeperEnvelope,
        timeout: Duration,
    ) -> Option<KeeperAnswer> {
        let deadline = Instant::now() + timeout;
        for helper in self.helpers.used() {
            let wait = deadline.saturating_duration_since(Instant::now());
            let request = HelperRequest::Pass {
                keeper: slot.name.clone(),
                envelope: Box::new(envelope.clone()),
                wait,
            };
            match self.links.request(helper.address, &request, wait).await {
                Ok(HelperReply::Passed(answer)) => {
                    self.health
                        .record_indirect_reply(&slot.name, Instant::now());
                    return Some(answer);
                }
                Ok(_) => {}
                Err(error) => {
                    log::debug!("helper={} {error}", helper.name);
                    self.helpers.set_used(&helper, false);
                }
            }
        }
        None
    }

    /// Returns whether any helper is in use.
    #[must_use]
    pub fn uses_helpers(&self) -> bool {
        !self.helpers.used().is_empty()
    }

    /// Returns the keepers that this instance reaches directly.
    #[must_use]
    pub fn directly_reachable(&self) -> Vec<ReachedKeeper> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let mut reached = Vec::new();
        for slot in &placement.slots {
            if !self.health.is_directly_reachable(&slot.name, now) {
                continue;
            }
            reached.push(ReachedKeeper {
                name: slot.name.clone(),
                silence: self.health.silence(&slot.name, now),
            });
        }
        reached
    }

    /// Forwards another entry's request to a keeper that this instance reaches directly.
    pub async fn forward(
        &self,
        keeper: &SmolStr,
        envelope: &KeeperEnvelope,
        wait: Duration,
    ) -> Option<KeeperAnswer> {
        let placement = self.placement.load_full();
        let slot = placement.slots.iter().find(|slot| slot.name == *keeper)?;
        if !self
            .health
            .is_directly_reachable(&slot.name, Instant::now())
        {
            return None;
        }
        match self.links.request(slot.address, envelope, wait).await {
            Ok(answer) => {
                self.health.record_reply(&slot.name, Instant::now());
                Some(answer)
            }
            Err(error) => {
                log::debug!("keeper={} {error}", slot.name);
                None
            }
        }
    }
}

fn log_helper(helper: &str, used: bool, reaches: usize) {
    let line = HelperLine {
        helper,
        used,
        reaches,
    };
    Logbook::global().record("keepers-helper", &line);
}
