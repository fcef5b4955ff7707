//! Asking and telling the keepers that account for upstreams.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::client::{ASK_TIMEOUT, KeeperClient};
use super::message::{KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::model::UpstreamTag;
use crate::upstream::{AccountQuery, RunEnd, RunStart, UpstreamAccount};

/// A keeper with the upstreams that it is asked about.
struct AccountErrand {
    slot: KeeperSlot,
    upstreams: Vec<UpstreamTag>,
}

impl KeeperClient {
    /// Tells an upstream's keepers that a request is about to be sent there.
    pub fn report_run_start(&self, start: RunStart) {
        self.tell_accountants(start.upstream, &KeeperRequest::RunBegan(start));
    }

    /// Tells an upstream's keepers that a request is over there.
    pub fn report_run_end(&self, end: RunEnd) {
        self.tell_accountants(end.upstream, &KeeperRequest::RunEnded(end));
    }

    /// Asks how upstreams stand; resolves after the time at the latest, with what has come by then.
    pub async fn query_accounts(
        &self,
        question: &AccountQuery,
        wait: Duration,
    ) -> Vec<UpstreamAccount> {
        let placement = self.placement.load_full();
        let errands = self.account_errands(&placement, &question.upstreams);
        let (sender, mut replies) = mpsc::channel(errands.len().max(1));
        for errand in errands {
            let client = self.clone();
            let placement = placement.clone();
            let sender = sender.clone();
            let request = KeeperRequest::Accounts(AccountQuery {
                service: question.service.clone(),
                upstreams: errand.upstreams,
                prompt: question.prompt.clone(),
            });
            tokio::spawn(async move {
                let reply = client
                    .ask(errand.slot, &placement, request, ASK_TIMEOUT)
                    .await;
                // The asker may have stopped waiting.
                let _ = sender.send(reply).await;
            });
        }
        drop(sender);
        let mut known: Vec<UpstreamAccount> = Vec::new();
        let due = Instant::now() + wait;
        while let Ok(Some(reply)) = tokio::time::timeout_at(due.into(), replies.recv()).await {
            let Some(KeeperReply::Accounts { accounts, .. }) = reply else {
                continue;
            };
            for account in accounts {
                if known.iter().all(|other| other.upstream != account.upstream) {
                    known.push(account);
                }
            }
        }
        known
    }

    fn tell_accountants(&self, upstream: UpstreamTag, request: &KeeperRequest) {
        let placement = self.placement.load_full();
        for slot in self.accountants_within_reach(&placement, upstream) {
            self.tell_keeper(slot, &placement, request.clone());
        }
    }

    /// Tells a keeper something that nobody waits for.
    pub(super) fn tell_keeper(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
    ) {
        let envelope = self.envelope(slot, placement, request);
        if let Err(error) = self.links.notify(slot.address, &envelope) {
            log::debug!("keeper={} {error}", slot.name);
        }
    }

    /// Returns the keepers within reach that account for what has a tag: an upstream, or an organisation's limit.
    pub(super) fn accountants_within_reach<'placement>(
        &self,
        placement: &'placement KeeperPlacement,
        tag: u64,
    ) -> Vec<&'placement KeeperSlot> {
        let now = Instant::now();
        let mut slots = Vec::with_capacity(2);
        for index in placement.account_slots(tag) {
            let slot = &placement.slots[index];
            if self.health.is_within_reach(&slot.name, now) {
                slots.push(slot);
            }
        }
        slots
    }

    /// Divides upstreams among the keepers that account for them: those of the own failure domain first, then those
    /// that are asked anyway.
    fn account_errands(
        &self,
        placement: &KeeperPlacement,
        upstreams: &[UpstreamTag],
    ) -> Vec<AccountErrand> {
        let mut errands: Vec<AccountErrand> = Vec::new();
        for &upstream in upstreams {
            let slots = self.accountants_within_reach(placement, upstream);
            let near = slots.iter().find(|slot| slot.domain == self.own.domain);
            let asked = slots
                .iter()
                .find(|slot| errands.iter().any(|errand| errand.slot.name == slot.name));
            let Some(slot) = near.or(asked).or(slots.first()) else {
                continue;
            };
            let errand = errands
                .iter_mut()
                .find(|errand| errand.slot.name == slot.name);
            if let Some(errand) = errand {
                errand.upstreams.push(upstream);
                continue;
            }
            errands.push(AccountErrand {
                slot: KeeperSlot::clone(slot),
                upstreams: vec![upstream],
            });
        }
        errands
    }
}
