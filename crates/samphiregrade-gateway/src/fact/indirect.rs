//! Reaching keepers through helpers.

use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::client::KeeperClient;
use super::helper::{HelperAddress, HelperReply, HelperRequest, ReachedKeeper};
use super::message::{KeeperAnswer, KeeperEnvelope};
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::observe::Logbook;

/// Longest wait for a helper's word on whom it reaches; it knows without asking.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);

#[derive(Serialize)]
struct HelperLine<'line> {
    helper: &'line str,
    used: bool,
    reaches: usize,
}

impl KeeperClient {
    /// Asks helpers whom they reach while too few keepers are within straight reach, and stops using them afterwards.
    pub(super) async fn seek_helpers(&self, placement: &KeeperPlacement) {
        if !self.health.needs_helpers(placement, Instant::now()) {
            if self.helpers.clear_used() {
                log_helper("", false, 0);
            }
            return;
        }
        let asked = self.helpers.next_to_ask();
        let asking = asked.iter().map(|helper| self.ask_reach(helper));
        futures_util::future::join_all(asking).await;
    }

    async fn ask_reach(&self, helper: &HelperAddress) {
        let asking = self
            .links
            .request(helper.address, &HelperRequest::Reach, REACH_TIMEOUT);
        let reached = match asking.await {
            Ok(HelperReply::Reach(reached)) => reached,
            Ok(_) => Vec::new(),
            Err(error) => {
                log::debug!("helper={} {error}", helper.name);
                Vec::new()
            }
        };
        let now = Instant::now();
        let missed = |keeper: &ReachedKeeper| !self.health.is_straight(&keeper.name, now);
        let useful = reached.iter().any(missed);
        for keeper in &reached {
            // A cut that the helper hasn't noticed either must not look shorter than it is.
            let heard = now.checked_sub(keeper.silence).unwrap_or(now);
            self.health.note_indirect(&keeper.name, heard);
        }
        if self.helpers.set_used(helper, useful) {
            log_helper(&helper.name, useful, reached.len());
        }
    }

    /// Asks a keeper through the helpers in use, one after the other; `None` where none has passed the question on.
    pub(super) async fn ask_indirectly(
        &self,
        slot: &KeeperSlot,
        envelope: &KeeperEnvelope,
        timeout: Duration,
    ) -> Option<KeeperAnswer> {
        let due = Instant::now() + timeout;
        for helper in self.helpers.used() {
            let wait = due.saturating_duration_since(Instant::now());
            let request = HelperRequest::Pass {
                keeper: slot.name.clone(),
                envelope: Box::new(envelope.clone()),
                wait,
            };
            match self.links.request(helper.address, &request, wait).await {
                Ok(HelperReply::Passed(answer)) => {
                    self.health.note_indirect(&slot.name, Instant::now());
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

    /// Returns whether keepers are reached through helpers.
    #[must_use]
    pub fn uses_helpers(&self) -> bool {
        !self.helpers.used().is_empty()
    }

    /// Returns the keepers that this instance reaches itself.
    #[must_use]
    pub fn reached_straight(&self) -> Vec<ReachedKeeper> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let mut reached = Vec::new();
        for slot in &placement.slots {
            if !self.health.is_straight(&slot.name, now) {
                continue;
            }
            reached.push(ReachedKeeper {
                name: slot.name.clone(),
                silence: self.health.silence(&slot.name, now),
            });
        }
        reached
    }

    /// Passes another entry's question on to a keeper that this instance reaches itself.
    pub async fn pass_on(
        &self,
        keeper: &SmolStr,
        envelope: &KeeperEnvelope,
        wait: Duration,
    ) -> Option<KeeperAnswer> {
        let placement = self.placement.load_full();
        let slot = placement.slots.iter().find(|slot| slot.name == *keeper)?;
        if !self.health.is_straight(&slot.name, Instant::now()) {
            return None;
        }
        match self.links.request(slot.address, envelope, wait).await {
            Ok(answer) => {
                self.health.note(&slot.name, Instant::now());
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
