//! Requests to single keepers, sent directly or through a helper, and their retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::{KeeperClient, MemoryHold, REQUEST_TIMEOUT};
use crate::fact::message::{KeeperAnswer, KeeperEnvelope, KeeperReply, KeeperRequest};
use crate::fact::placement::{KeeperPlacement, KeeperSlot, PlacementGeneration};
use crate::upstream::{UpstreamSpeed, UpstreamSuspect};

/// Timeout of one attempt of a background request.
const BACKGROUND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Number of attempts to store a fact on a keeper in the background.
const BACKGROUND_ATTEMPTS: usize = 3;

/// Delay before a request is repeated after a connection failure: half of a link's reconnection delay.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Outcome of a request to a keeper.
enum CallOutcome {
    /// The keeper replied directly.
    Answered(KeeperAnswer),
    /// The keeper replied through a helper.
    Helped(KeeperAnswer),
    /// The connection failed, or no reply arrived in time.
    NoReply,
}

impl KeeperClient {
    /// Sends a request to several keepers at once. The receiver yields each reply as it arrives and `None` for a failed
    /// request; a fact's acknowledgement may still follow after a `None`.
    pub(super) fn call_group(
        &self,
        placement: &Arc<KeeperPlacement>,
        slots: &[KeeperSlot],
        request: &KeeperRequest,
    ) -> mpsc::Receiver<Option<KeeperReply>> {
        self.call_group_held(placement, slots, request, None)
    }

    /// Sends a request like [`call_group`](Self::call_group); the hold is kept until the last keeper has its copy.
    pub(super) fn call_group_held(
        &self,
        placement: &Arc<KeeperPlacement>,
        slots: &[KeeperSlot],
        request: &KeeperRequest,
        hold: Option<&MemoryHold>,
    ) -> mpsc::Receiver<Option<KeeperReply>> {
        let (sender, replies) = mpsc::channel(slots.len().max(1));
        for slot in slots {
            let client = self.clone();
            let placement = placement.clone();
            let request = request.clone();
            let sender = sender.clone();
            let slot = slot.clone();
            let hold = hold.cloned();
            tokio::spawn(async move {
                let _hold = hold;
                let calling =
                    client.call_with_retries(&slot, &placement, &request, REQUEST_TIMEOUT);
                let reply = calling.await;
                let failed = reply.is_none();
                // The receiver is gone if the caller has its majority already.
                let _ = sender.send(reply).await;
                let is_store = matches!(request, KeeperRequest::Store(_));
                if !failed || !is_store {
                    return;
                }
                let acknowledged = client.store_with_retries(slot, request).await;
                if acknowledged == Some(placement.generation) {
                    // The receiver is gone if the caller has stopped waiting or has its majority.
                    let _ = sender.send(Some(KeeperReply::Stored)).await;
                }
            });
        }
        replies
    }

    /// Sends a fact until the keeper acknowledges it or all attempts have failed; returns the generation of the
    /// placement under which the fact was acknowledged.
    pub(super) async fn store_with_retries(
        &self,
        slot: KeeperSlot,
        request: KeeperRequest,
    ) -> Option<PlacementGeneration> {
        for _ in 0..BACKGROUND_ATTEMPTS {
            let placement = self.placement.load_full();
            let calling = self.call_with_retries(&slot, &placement, &request, BACKGROUND_TIMEOUT);
            if matches!(calling.await, Some(KeeperReply::Stored)) {
                return Some(placement.generation);
            }
            tokio::time::sleep(REQUEST_TIMEOUT).await;
        }
        None
    }

    /// Wraps a request for a keeper, together with the outcomes and response times at upstreams that have not been
    /// reported to the keeper yet.
    pub(in crate::fact) fn envelope(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
    ) -> KeeperEnvelope {
        let may_request = matches!(
            request,
            KeeperRequest::Reserve(_) | KeeperRequest::Probe | KeeperRequest::Accounts(_)
        );
        let speeds = &self.speeds;
        KeeperEnvelope {
            generation: placement.generation,
            sender: self.tag,
            outcomes: self.outcomes.take_unreported(&slot.name),
            speeds: speeds.take_report(&slot.name, may_request, Instant::now()),
            sends_over: self.sends.take(&slot.name),
            request,
        }
    }

    /// Sends a request to a keeper, through a helper if the keeper isn't directly reachable.
    pub(in crate::fact) async fn call(
        &self,
        slot: KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let outcome = self.call_once(&slot, placement, request, timeout).await;
        self.process_outcome(&slot, outcome)
    }

    /// Sends a request to a keeper and repeats it after connection failures until the timeout: requests on the links of
    /// a stopped process are lost, and the next process may be running already. Repeating these requests is safe: a
    /// keeper that knows a fact already acknowledges it again.
    async fn call_with_retries(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: &KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let outcome = self
                .call_once(slot, placement, request.clone(), remaining)
                .await;
            let expired = Instant::now() + RETRY_DELAY >= deadline;
            if expired || !matches!(outcome, CallOutcome::NoReply) {
                return self.process_outcome(slot, outcome);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn call_once(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> CallOutcome {
        let direct = self
            .health
            .is_directly_reachable(&slot.name, Instant::now());
        if direct || self.helpers.used().is_empty() {
            return self.call_link(slot, placement, request, timeout).await;
        }
        let envelope = self.envelope(slot, placement, request);
        match self.call_indirectly(slot, &envelope, timeout).await {
            Some(answer) => CallOutcome::Helped(answer),
            None => CallOutcome::NoReply,
        }
    }

    /// Sends a request on the direct link to the keeper, even if the keeper counts as unreachable.
    async fn call_link(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> CallOutcome {
        let envelope = self.envelope(slot, placement, request);
        match self.links.request(slot.address, &envelope, timeout).await {
            Ok(answer) => {
                self.health.record_reply(&slot.name, Instant::now());
                CallOutcome::Answered(answer)
            }
            Err(error) => {
                log::debug!("keeper={} {error}", slot.name);
                CallOutcome::NoReply
            }
        }
    }

    /// Counts a request and processes its reply.
    fn process_outcome(&self, slot: &KeeperSlot, outcome: CallOutcome) -> Option<KeeperReply> {
        let (result, answer) = match outcome {
            CallOutcome::Answered(answer) => ("answered", Some(answer)),
            CallOutcome::Helped(answer) => ("helped", Some(answer)),
            CallOutcome::NoReply => ("failed", None),
        };
        self.metrics.count_keeper_call(result);
        let KeeperAnswer { revision, reply } = answer?;
        self.lag.record(&slot.name, revision);
        self.process_reply(reply)
    }

    /// Sends a request to a keeper, without helpers.
    pub(in crate::fact) async fn call_directly(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let outcome = self.call_link(slot, placement, request, timeout).await;
        self.process_outcome(slot, outcome)
    }

    /// Processes the additional information in a reply; returns `None` if the reply only carries a newer placement.
    fn process_reply(&self, reply: KeeperReply) -> Option<KeeperReply> {
        match &reply {
            KeeperReply::NewerPlacement(newer) => {
                self.adopt(newer);
                return None;
            }
            KeeperReply::Reserved {
                suspects, speeds, ..
            }
            | KeeperReply::Alive {
                suspects, speeds, ..
            } => self.merge_upstreams(suspects, speeds),
            KeeperReply::Accounts {
                suspects,
                speeds,
                helper,
                ..
            } => {
                self.merge_upstreams(suspects, speeds);
                if let Some(helper) = helper {
                    self.record_helper(helper.clone());
                }
            }
            KeeperReply::Stream {
                helper: Some(helper),
                ..
            } => self.record_helper(helper.clone()),
            _ => {}
        }
        Some(reply)
    }
    /// Merges what a keeper reports about upstreams.
    fn merge_upstreams(&self, suspects: &[UpstreamSuspect], speeds: &[UpstreamSpeed]) {
        let now = Instant::now();
        self.outcomes.merge_suspects(suspects, now);
        self.speeds.merge_speeds(speeds, now);
    }
}
