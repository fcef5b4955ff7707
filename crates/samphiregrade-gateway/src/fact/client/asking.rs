//! Questions to single keepers, straight or through a helper, and asked again for as long as somebody waits.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::{ASK_TIMEOUT, KeeperClient};
use crate::fact::message::{KeeperAnswer, KeeperEnvelope, KeeperReply, KeeperRequest};
use crate::fact::placement::{KeeperPlacement, KeeperSlot, PlacementGeneration};

/// Longest wait for a keeper that nobody waits for.
const BACKGROUND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Times that a fact is sent to a keeper that does not confirm it.
const BACKGROUND_TRIES: usize = 3;

/// Pause before a question is sent again whose connection failed: half of what a link waits before it connects again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// What became of a question.
enum AskedKeeper {
    Answered(KeeperAnswer),
    /// A helper has passed it on.
    Helped(KeeperAnswer),
    /// The connection failed, or no answer came in time.
    Silent,
}

impl KeeperClient {
    /// Asks several keepers at once; each reply comes as it arrives, `None` for one that failed. A fact's confirmation
    /// may still come after that.
    pub(super) fn ask_group(
        &self,
        placement: &Arc<KeeperPlacement>,
        slots: &[KeeperSlot],
        request: &KeeperRequest,
    ) -> mpsc::Receiver<Option<KeeperReply>> {
        let (sender, replies) = mpsc::channel(slots.len().max(1));
        for slot in slots {
            let client = self.clone();
            let placement = placement.clone();
            let request = request.clone();
            let sender = sender.clone();
            let slot = slot.clone();
            tokio::spawn(async move {
                let asking = client.ask_until(&slot, &placement, &request, ASK_TIMEOUT);
                let reply = asking.await;
                let failed = reply.is_none();
                // The asker may have its majority already.
                let _ = sender.send(reply).await;
                let lasting = matches!(request, KeeperRequest::Store(_));
                if !failed || !lasting {
                    return;
                }
                let confirmed = client.insist(slot, request).await;
                if confirmed == Some(placement.generation) {
                    // The asker may have given up, or have its majority.
                    let _ = sender.send(Some(KeeperReply::Stored)).await;
                }
            });
        }
        replies
    }

    /// Sends a fact until the keeper confirms it, a few times; returns the placement's number under which it did.
    pub(super) async fn insist(
        &self,
        slot: KeeperSlot,
        request: KeeperRequest,
    ) -> Option<PlacementGeneration> {
        for _ in 0..BACKGROUND_TRIES {
            let placement = self.placement.load_full();
            let asking = self.ask_until(&slot, &placement, &request, BACKGROUND_TIMEOUT);
            if matches!(asking.await, Some(KeeperReply::Stored)) {
                return Some(placement.generation);
            }
            tokio::time::sleep(ASK_TIMEOUT).await;
        }
        None
    }

    /// Puts a request into the envelope for a keeper, with what the keeper has not been told of upstreams.
    pub(in crate::fact) fn envelope(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
    ) -> KeeperEnvelope {
        KeeperEnvelope {
            generation: placement.generation,
            sender: self.tag,
            outcomes: self.outcomes.take_unreported(&slot.name),
            request,
        }
    }

    /// Asks a keeper, through a helper where it doesn't answer straight.
    pub(in crate::fact) async fn ask(
        &self,
        slot: KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let asked = self.ask_once(&slot, placement, request, timeout).await;
        self.take_asked(&slot, asked)
    }

    /// Asks a keeper, and asks it again where the connection fails while the asker still waits: a process that is
    /// stopped takes the questions on its links with it, and the next one may be there already. All of these
    /// questions may come twice: a keeper that knows a fact takes it as it is.
    async fn ask_until(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: &KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let due = Instant::now() + timeout;
        loop {
            let left = due.saturating_duration_since(Instant::now());
            let asked = self.ask_once(slot, placement, request.clone(), left).await;
            let over = Instant::now() + REPEAT_PAUSE >= due;
            if over || !matches!(asked, AskedKeeper::Silent) {
                return self.take_asked(slot, asked);
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    async fn ask_once(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> AskedKeeper {
        let straight = self.health.is_straight(&slot.name, Instant::now());
        if straight || self.helpers.used().is_empty() {
            return self.ask_link(slot, placement, request, timeout).await;
        }
        let envelope = self.envelope(slot, placement, request);
        match self.ask_indirectly(slot, &envelope, timeout).await {
            Some(answer) => AskedKeeper::Helped(answer),
            None => AskedKeeper::Silent,
        }
    }

    /// Asks on the link to the keeper, whatever is known of it.
    async fn ask_link(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> AskedKeeper {
        let envelope = self.envelope(slot, placement, request);
        match self.links.request(slot.address, &envelope, timeout).await {
            Ok(answer) => {
                self.health.note(&slot.name, Instant::now());
                AskedKeeper::Answered(answer)
            }
            Err(error) => {
                log::debug!("keeper={} {error}", slot.name);
                AskedKeeper::Silent
            }
        }
    }

    /// Counts a question and takes what its answer tells.
    fn take_asked(&self, slot: &KeeperSlot, asked: AskedKeeper) -> Option<KeeperReply> {
        let (result, answer) = match asked {
            AskedKeeper::Answered(answer) => ("answered", Some(answer)),
            AskedKeeper::Helped(answer) => ("helped", Some(answer)),
            AskedKeeper::Silent => ("failed", None),
        };
        self.metrics.count_keeper_call(result);
        let KeeperAnswer { revision, reply } = answer?;
        self.news.hear(&slot.name, revision);
        self.learn_from(reply)
    }

    pub(in crate::fact) async fn ask_straight(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let asked = self.ask_link(slot, placement, request, timeout).await;
        self.take_asked(slot, asked)
    }

    /// Takes what a keeper tells beside its answer; `None` where the answer is only that the placement is old.
    fn learn_from(&self, reply: KeeperReply) -> Option<KeeperReply> {
        match &reply {
            KeeperReply::NewerPlacement(newer) => {
                self.adopt(newer);
                return None;
            }
            KeeperReply::Reserved { suspects, .. } | KeeperReply::Alive { suspects, .. } => {
                self.outcomes.merge_suspects(suspects, Instant::now());
            }
            KeeperReply::Accounts {
                suspects, helper, ..
            } => {
                self.outcomes.merge_suspects(suspects, Instant::now());
                if let Some(helper) = helper {
                    self.note_helper(helper.clone());
                }
            }
            KeeperReply::Stream {
                helper: Some(helper),
                ..
            } => self.note_helper(helper.clone()),
            _ => {}
        }
        Some(reply)
    }
}
