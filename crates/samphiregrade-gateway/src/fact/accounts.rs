//! Exchange of run reports and upstream accounts with the keepers that hold the accounts.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::client::{KeeperClient, REQUEST_TIMEOUT};
use super::message::{KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::model::UpstreamTag;
use crate::upstream::{AccountQuery, OrganisationShare, RunEnd, RunStart, UpstreamAccount};

/// A keeper and the upstreams whose accounts are requested from it.
struct KeeperQuery {
    slot: KeeperSlot,
    upstreams: Vec<UpstreamTag>,
}

/// What keepers have replied to a query for accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountReplies {
    /// Accounts of upstreams, each of them once.
    pub accounts: Vec<UpstreamAccount>,
    /// Shares of the querying organisation, one for each keeper that knows it.
    pub shares: Vec<OrganisationShare>,
}

impl KeeperClient {
    /// Reports to an upstream's keepers that a request is about to be sent to the upstream.
    pub fn report_run_start(&self, start: RunStart) {
        self.send_to_account_keepers(start.upstream, &KeeperRequest::RunBegan(start));
    }

    /// Reports to an upstream's keepers that a request at the upstream has ended.
    pub fn report_run_end(&self, end: RunEnd) {
        self.send_to_account_keepers(end.upstream, &KeeperRequest::RunEnded(end));
    }

    /// Requests the accounts of upstreams; resolves after `wait` at the latest, with the replies received by then.
    pub async fn query_accounts(&self, query: &AccountQuery, wait: Duration) -> AccountReplies {
        let placement = self.placement.load_full();
        let keeper_queries = self.assign_to_keepers(&placement, &query.upstreams);
        let (sender, mut replies) = mpsc::channel(keeper_queries.len().max(1));
        for keeper_query in keeper_queries {
            let client = self.clone();
            let placement = placement.clone();
            let sender = sender.clone();
            let request = KeeperRequest::Accounts(AccountQuery {
                service: query.service.clone(),
                upstreams: keeper_query.upstreams,
                prompt: query.prompt.clone(),
                organisation: query.organisation,
            });
            tokio::spawn(async move {
                let reply = client
                    .call(keeper_query.slot, &placement, request, REQUEST_TIMEOUT)
                    .await;
                // The receiver is gone if the caller has stopped waiting.
                let _ = sender.send(reply).await;
            });
        }
        drop(sender);
        let mut received = AccountReplies::default();
        let deadline = Instant::now() + wait;
        while let Ok(Some(reply)) = tokio::time::timeout_at(deadline.into(), replies.recv()).await {
            let Some(KeeperReply::Accounts {
                accounts, share, ..
            }) = reply
            else {
                continue;
            };
            received.shares.extend(share);
            for account in accounts {
                if received
                    .accounts
                    .iter()
                    .all(|other| other.upstream != account.upstream)
                {
                    received.accounts.push(account);
                }
            }
        }
        received
    }

    fn send_to_account_keepers(&self, upstream: UpstreamTag, request: &KeeperRequest) {
        let placement = self.placement.load_full();
        for slot in self.reachable_account_keepers(&placement, upstream) {
            self.send_to_keeper(slot, &placement, request.clone());
        }
    }

    /// Sends a one-way request: no reply is awaited.
    pub(super) fn send_to_keeper(
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

    /// Returns the reachable keepers that hold the account of a tag: of an upstream, or of an organisation's limit.
    pub(super) fn reachable_account_keepers<'placement>(
        &self,
        placement: &'placement KeeperPlacement,
        tag: u64,
    ) -> Vec<&'placement KeeperSlot> {
        let now = Instant::now();
        let mut slots = Vec::with_capacity(2);
        for index in placement.account_slots(tag) {
            let slot = &placement.slots[index];
            if self.health.is_reachable(&slot.name, now) {
                slots.push(slot);
            }
        }
        slots
    }

    /// Assigns each upstream to one keeper that holds its account: one in the own failure domain if there is one,
    /// otherwise one that already receives a query, otherwise any.
    fn assign_to_keepers(
        &self,
        placement: &KeeperPlacement,
        upstreams: &[UpstreamTag],
    ) -> Vec<KeeperQuery> {
        let mut keeper_queries: Vec<KeeperQuery> = Vec::new();
        for &upstream in upstreams {
            let slots = self.reachable_account_keepers(placement, upstream);
            let local = slots.iter().find(|slot| slot.domain == self.own.domain);
            let shared = slots.iter().find(|slot| {
                keeper_queries
                    .iter()
                    .any(|keeper_query| keeper_query.slot.name == slot.name)
            });
            let Some(slot) = local.or(shared).or(slots.first()) else {
                continue;
            };
            let keeper_query = keeper_queries
                .iter_mut()
                .find(|keeper_query| keeper_query.slot.name == slot.name);
            if let Some(keeper_query) = keeper_query {
                keeper_query.upstreams.push(upstream);
                continue;
            }
            keeper_queries.push(KeeperQuery {
                slot: KeeperSlot::clone(slot),
                upstreams: vec![upstream],
            });
        }
        keeper_queries
    }
}
