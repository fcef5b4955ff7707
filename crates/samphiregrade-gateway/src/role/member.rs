//! Membership of a keeper in the deployment: registration, slots, rebuild and retirement.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use super::authority::{KEEPER_PREFIX, PLACEMENT_KEY, REGISTRATION_PREFIX};
use super::membership::{MembershipStep, MembershipView, SlotReplies, next_step};
use crate::access::read_phase;
use crate::dialect::{Dialect, StoreItem, StoreRevision, StoreValue, StoreWrite};
use crate::fact::{
    KeeperAnswer, KeeperEnvelope, KeeperPlacement, KeeperReply, KeeperRequest, KeeperService,
    KeeperSlot, rebuild_from_others,
};
use crate::link::LinkEndpoint;
use crate::model::DomainId;
use crate::observe::Logbook;
use crate::settings::GatewaySettings;
use crate::store::{
    ALL_KEYS, ConfigurationProver, EVENT_QUEUE, EventRouter, FollowEvent, FollowTiming,
    StoreClient, StoreMirror, follow_prefix,
};

/// Interval between two checks of the membership, and between two probes of the other keepers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the reply to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which the uses of limits are saved to disk.
const SAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two sweeps that drop expired facts.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Serialize)]
struct ProposalLine<'line> {
    generation: u64,
    slots: Vec<&'line SmolStr>,
    outcome: String,
}

#[derive(Serialize)]
struct RetirementLine<'line> {
    instance: &'line str,
    completed: bool,
}

/// The membership state of a keeper, and the task that maintains it.
pub(super) struct KeeperMember {
    settings: GatewaySettings,
    store: StoreClient,
    dialect: Arc<dyn Dialect>,
    service: KeeperService,
    links: LinkEndpoint,
    own: KeeperSlot,
    registered: HashMap<SmolStr, KeeperSlot>,
    registration_revisions: HashMap<SmolStr, StoreRevision>,
    registrations_changed: Instant,
    placement_revision: StoreRevision,
    /// Whether the registrations and the placement have been read once.
    initialized: bool,
    replies: SlotReplies,
    retiring: Vec<SmolStr>,
    /// Keepers of slots that have reported last that they are complete.
    complete: Vec<SmolStr>,
    /// The slot that this keeper has left as planned.
    left_slot: Option<usize>,
    /// Retirement status that was reported last: whether the retirement is complete.
    reported_status: Option<bool>,
    rebuild_task: Option<tokio::task::JoinHandle<()>>,
}

impl KeeperMember {
    pub(super) fn new(
        settings: GatewaySettings,
        store: StoreClient,
        dialect: Arc<dyn Dialect>,
        service: KeeperService,
        links: LinkEndpoint,
    ) -> Self {
        let own = KeeperSlot {
            name: settings.instance.name.clone(),
            address: settings.listen.advertised_links(),
            domain: settings.instance.failure_domain.clone(),
        };
        Self {
            settings,
            store,
            dialect,
            service,
            links,
            own,
            registered: HashMap::new(),
            registration_revisions: HashMap::new(),
            registrations_changed: Instant::now(),
            placement_revision: 0,
            initialized: false,
            replies: SlotReplies::default(),
            retiring: Vec::new(),
            complete: Vec::new(),
            left_slot: None,
            reported_status: None,
            rebuild_task: None,
        }
    }

    pub(super) async fn run(mut self, stop: &CancellationToken) {
        let mut router = self.follow_store(stop);
        let mut shared = router.add(KEEPER_PREFIX);
        let mut retirements = router.add(self.dialect.retirement_prefix());
        let all_keys = router.add(ALL_KEYS);
        tokio::spawn(router.run());
        tokio::spawn(fill_mirror(self.service.mirror().clone(), all_keys));
        tokio::spawn(save_limits(self.service.clone(), stop.clone()));
        let (sender, mut replies) = mpsc::channel(EVENT_QUEUE);
        let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
        let mut next_check = Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(event) = shared.recv() => self.apply_shared_keys(event).await,
                Some(event) = retirements.recv() => self.apply_retirements(event),
                Some((name, complete)) = replies.recv() => {
                    self.record_reply(name, complete);
                    continue;
                }
                () = tokio::time::sleep_until(next_check.into()) => {
                    next_check = Instant::now() + CHECK_INTERVAL;
                    self.probe_others(&sender);
                }
            }
            self.run_step().await;
            self.report_retirement().await;
            if Instant::now() >= next_expiry {
                next_expiry = Instant::now() + EXPIRY_INTERVAL;
                self.service.expire().await;
            }
        }
    }

    /// Follows all keys, for this keeper and for the entries that follow the keeper.
    fn follow_store(&self, stop: &CancellationToken) -> EventRouter {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let outdated = Arc::new(Notify::new());
        let timing = FollowTiming::new(self.settings.times.batch_delay(), None);
        tokio::spawn(follow_prefix(
            self.store.with_own_connection(),
            ALL_KEYS,
            timing,
            sender,
            outdated.clone(),
            stop.clone(),
        ));
        let rule = self.settings.organisations.freshness_rule();
        let prover = ConfigurationProver {
            store: self.store.with_own_connection(),
            key: self.dialect.configuration_key(),
            interval: rule.read_interval(),
            timing: rule.proof_timing(),
            cache: self.service.proofs().clone(),
            mirror: self.service.mirror().clone(),
            outdated,
        };
        tokio::spawn(prover.run(stop.clone()));
        EventRouter::new(events)
    }

    async fn apply_shared_keys(&mut self, event: FollowEvent) {
        let (FollowEvent::All(page) | FollowEvent::Changes(page)) = event else {
            return;
        };
        for item in &page.items {
            if let Some(name) = item.key.strip_prefix(REGISTRATION_PREFIX) {
                self.apply_registration(name, item);
            } else if item.key == PLACEMENT_KEY {
                self.apply_placement(item).await;
            }
        }
        self.initialized = true;
        self.set_read_phase();
    }

    /// Spreads the reads of the failure domains' keepers evenly over the interval.
    fn set_read_phase(&self) {
        let placement = self.service.placement();
        let domains: BTreeSet<DomainId> = placement
            .slots
            .into_iter()
            .map(|slot| slot.domain)
            .collect();
        let phase = read_phase(&domains, &self.own.domain);
        self.service.proofs().set_phase(phase);
    }

    fn apply_registration(&mut self, name: &str, item: &StoreItem) {
        self.registrations_changed = Instant::now();
        let value = item.value.bytes();
        let slot = value.and_then(|value| serde_json::from_slice::<KeeperSlot>(value).ok());
        self.registration_revisions
            .insert(name.into(), item.revision);
        match slot {
            Some(slot) => self.registered.insert(name.into(), slot),
            None => self.registered.remove(name),
        };
    }

    async fn apply_placement(&mut self, item: &StoreItem) {
        let Some(value) = item.value.bytes() else {
            return;
        };
        self.placement_revision = self.placement_revision.max(item.revision);
        match serde_json::from_slice::<KeeperPlacement>(value) {
            Ok(placement) => self.service.adopt_placement(placement).await,
            Err(error) => log::error!(
                "the placement can't be read: {error}; run the same version on all instances"
            ),
        }
    }

    fn apply_retirements(&mut self, event: FollowEvent) {
        let (page, all) = match event {
            FollowEvent::All(page) => (page, true),
            FollowEvent::Changes(page) => (page, false),
            _ => return,
        };
        if all {
            self.retiring.clear();
        }
        for item in page.items {
            let Some(name) = self.dialect.retiring_instance(&item.key) else {
                continue;
            };
            self.retiring.retain(|other| *other != name);
            if item.value != StoreValue::Removed {
                self.retiring.push(name);
            }
        }
    }

    fn record_reply(&mut self, name: SmolStr, complete: bool) {
        self.complete.retain(|known| *known != name);
        if complete {
            self.complete.push(name.clone());
        }
        self.replies.record(name, Instant::now());
    }

    fn probe_others(&self, sender: &mpsc::Sender<(SmolStr, bool)>) {
        let placement = self.service.placement();
        // Only a keeper without a slot needs to know which keepers have failed.
        if placement.slot_of(&self.own.name).is_some() {
            return;
        }
        for slot in placement.slots {
            let links = self.links.clone();
            let sender = sender.clone();
            let envelope =
                KeeperEnvelope::between_keepers(placement.generation, KeeperRequest::Probe);
            tokio::spawn(async move {
                let probing =
                    links.request::<_, KeeperAnswer>(slot.address, &envelope, PROBE_TIMEOUT);
                if let Ok(answer) = probing.await {
                    let complete =
                        matches!(answer.reply, KeeperReply::Alive { complete: true, .. });
                    // The membership task may have stopped.
                    let _ = sender.send((slot.name, complete)).await;
                }
            });
        }
    }

    async fn run_step(&mut self) {
        if !self.initialized {
            return;
        }
        let placement = self.service.placement();
        let exists = placement.generation > 0;
        if exists {
            self.update_completeness(&placement).await;
        }
        let silence = self
            .replies
            .silence(&placement, &self.own.name, Instant::now());
        let mut registered: Vec<KeeperSlot> = self.registered.values().cloned().collect();
        registered.sort_by(|left, right| left.name.cmp(&right.name));
        let tolerance = self.settings.tolerance;
        let view = MembershipView {
            own: &self.own,
            placement: exists.then_some(&placement),
            registered: &registered,
            unchanged: self.registrations_changed.elapsed(),
            tolerated_losses: tolerance.instances.max(1),
            silence: &silence,
            retiring: &self.retiring,
            complete: &self.complete,
        };
        if let Some(next) = self.release_departed(&placement) {
            return self.propose(next).await;
        }
        match next_step(&view) {
            MembershipStep::Stay => {}
            MembershipStep::Register => self.register().await,
            MembershipStep::Propose(next) => {
                if exists && placement.slot_of(&self.own.name).is_none() {
                    // What was stored since this keeper left a slot is missing here.
                    self.set_incomplete().await;
                }
                self.propose(next).await;
            }
        }
    }

    /// Returns the next placement if this keeper has everything that the one before it in its slot had. What is stored from now on
    /// is missing there, so that it must not be a source again if this keeper loses its disk.
    fn release_departed(&self, placement: &KeeperPlacement) -> Option<KeeperPlacement> {
        let index = placement.slot_of(&self.own.name)?;
        placement.departed_from(index)?;
        let has_everything = self.service.awaits_release() || self.service.is_complete();
        has_everything.then(|| placement.without_departed(index))
    }

    async fn set_incomplete(&self) {
        if self.service.is_complete() {
            self.service.set_complete(false).await;
        }
    }

    /// Marks the keeper as incomplete while it has no slot, since it misses facts then, unless it is the source for its
    /// successor. Once it has a slot, the missing facts are rebuilt from the other keepers.
    async fn update_completeness(&mut self, placement: &KeeperPlacement) {
        let has_slot = placement.slot_of(&self.own.name).is_some();
        if !has_slot && placement.slot_left_by(&self.own.name).is_none() {
            self.set_incomplete().await;
        }
        let own = placement.slot_of(&self.own.name);
        let is_released = own.is_some_and(|index| placement.departed_from(index).is_none());
        if is_released && self.service.awaits_release() {
            self.service.set_complete(true).await;
        }
        let running = self
            .rebuild_task
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if has_slot && !self.service.is_complete() && !running {
            let service = self.service.clone();
            let links = self.links.clone();
            let name = self.own.name.clone();
            let task = async move { rebuild_from_others(&service, &links, &name).await };
            self.rebuild_task = Some(tokio::spawn(task));
        }
    }

    async fn register(&mut self) {
        let Ok(value) = serde_json::to_vec(&self.own) else {
            return;
        };
        let name = &self.own.name;
        let known = self.registration_revisions.get(name).copied().unwrap_or(0);
        let write = StoreWrite {
            key: format!("{REGISTRATION_PREFIX}{name}").into(),
            expected_revision: Some(known),
            value,
        };
        if let Err(error) = self.store.write(&write).await {
            log::info!("this keeper is not registered yet: {error}; retrying");
        }
    }

    async fn propose(&mut self, next: KeeperPlacement) {
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        let write = StoreWrite {
            key: PLACEMENT_KEY.into(),
            expected_revision: Some(self.placement_revision),
            value,
        };
        let result = self.store.write(&write).await;
        let line = ProposalLine {
            generation: next.generation,
            slots: next.slots.iter().map(|slot| &slot.name).collect(),
            outcome: result.map_or_else(|error| error.to_string(), |()| "accepted".to_owned()),
        };
        Logbook::global().record("placement-proposed", &line);
    }

    /// Reports the status of this keeper's own retirement to the operators. The retirement is complete once this keeper
    /// has no slot and its successor is complete or, without a successor that reads it, the keepers of all slots are.
    async fn report_retirement(&mut self) {
        if !self.retiring.contains(&self.own.name) {
            self.reported_status = None;
            return;
        }
        if self.reported_status == Some(true) {
            return;
        }
        let placement = self.service.placement();
        let has_left = placement.generation > 0 && placement.slot_of(&self.own.name).is_none();
        self.left_slot = placement.slot_left_by(&self.own.name).or(self.left_slot);
        let completed = has_left && self.all_complete(&placement).await;
        if self.reported_status == Some(completed) {
            return;
        }
        let write = self.dialect.retirement_status(&self.own.name, completed);
        match self.store.write(&write).await {
            Ok(()) => {
                self.reported_status = Some(completed);
                let line = RetirementLine {
                    instance: &self.own.name,
                    completed,
                };
                Logbook::global().record("retirement", &line);
            }
            Err(error) => log::info!("the retirement status was not reported: {error}; retrying"),
        }
    }

    /// Returns whether the keepers of the slots that may need this keeper's facts are complete.
    async fn all_complete(&self, placement: &KeeperPlacement) -> bool {
        let left = self.left_slot;
        for (index, slot) in placement.slots.iter().enumerate() {
            if left.is_some_and(|left| left != index) {
                continue;
            }
            let envelope =
                KeeperEnvelope::between_keepers(placement.generation, KeeperRequest::Probe);
            let reply = self.links.request(slot.address, &envelope, PROBE_TIMEOUT);
            let reply = reply.await.map(|answer: KeeperAnswer| answer.reply);
            if !matches!(reply, Ok(KeeperReply::Alive { complete: true, .. })) {
                return false;
            }
        }
        true
    }
}

/// Saves the uses of organisations' limits to disk until `stop` is cancelled.
async fn save_limits(service: KeeperService, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(SAVE_INTERVAL) => {}
        }
        service.save_limits();
    }
    service.save_limits();
}

/// Feeds the mirror, from which entries follow this keeper.
async fn fill_mirror(mirror: Arc<StoreMirror>, mut events: mpsc::Receiver<FollowEvent>) {
    while let Some(event) = events.recv().await {
        mirror.take(&event, Instant::now());
    }
}
