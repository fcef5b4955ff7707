//! A keeper as a member of the deployment: registers, takes slots, rebuilds, tells of its retirement.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use super::authority::{KEEPER_PREFIX, PLACEMENT_KEY, REGISTRATION_PREFIX};
use super::membership::{MembershipStep, MembershipView, next_step};
use crate::dialect::{Dialect, StoreItem, StoreRevision, StoreValue, StoreWrite};
use crate::fact::{
    KeeperAnswer, KeeperEnvelope, KeeperPlacement, KeeperReply, KeeperRequest, KeeperService,
    KeeperSlot, rebuild_from_others,
};
use crate::link::LinkEndpoint;
use crate::observe::Logbook;
use crate::settings::GatewaySettings;
use crate::store::{
    ALL_KEYS, ConfigurationProver, EVENT_QUEUE, EventRouter, FollowEvent, FollowTiming,
    StoreClient, StoreMirror, follow_prefix,
};

/// Time between two looks at the membership; probes of other keepers go out as often.
const TICK: Duration = Duration::from_millis(500);

/// Longest wait for a probe's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two times at which uses of limits are written down.
const SAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two sweeps over facts that are over.
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

/// A keeper as a member of the deployment.
pub(super) struct KeeperMember {
    settings: GatewaySettings,
    store: StoreClient,
    dialect: Arc<dyn Dialect>,
    service: KeeperService,
    links: LinkEndpoint,
    own: KeeperSlot,
    registered: HashMap<SmolStr, KeeperSlot>,
    registration_revisions: HashMap<SmolStr, StoreRevision>,
    registered_since: Instant,
    placement_revision: StoreRevision,
    /// Whether the shared keys have been read once.
    read: bool,
    heard: HashMap<SmolStr, Instant>,
    retiring: Vec<SmolStr>,
    reported: Option<bool>,
    rebuilding: Option<tokio::task::JoinHandle<()>>,
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
            registered_since: Instant::now(),
            placement_revision: 0,
            read: false,
            heard: HashMap::new(),
            retiring: Vec::new(),
            reported: None,
            rebuilding: None,
        }
    }

    pub(super) async fn run(mut self, stop: &CancellationToken) {
        let mut router = self.follow_service(stop);
        let mut shared = router.add(KEEPER_PREFIX);
        let mut operators = router.add(self.dialect.retirement_prefix());
        let everything = router.add(ALL_KEYS);
        tokio::spawn(router.run());
        tokio::spawn(fill_mirror(self.service.mirror().clone(), everything));
        tokio::spawn(save_limits(self.service.clone(), stop.clone()));
        let (probed, mut answers) = mpsc::channel(EVENT_QUEUE);
        let mut next_expiry = Instant::now() + EXPIRY_INTERVAL;
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(event) = shared.recv() => self.take_shared(event).await,
                Some(event) = operators.recv() => self.take_retirements(event),
                Some(name) = answers.recv() => {
                    self.heard.insert(name, Instant::now());
                    continue;
                }
                () = tokio::time::sleep_until(next_tick.into()) => {
                    next_tick = Instant::now() + TICK;
                    self.probe_others(&probed);
                }
            }
            self.step().await;
            self.report_retirement().await;
            if Instant::now() >= next_expiry {
                next_expiry = Instant::now() + EXPIRY_INTERVAL;
                self.service.expire().await;
            }
        }
    }

    /// Follows all keys, for itself and for the entries that follow this keeper.
    fn follow_service(&self, stop: &CancellationToken) -> EventRouter {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let outdated = Arc::new(Notify::new());
        let pace = FollowTiming::new(self.settings.times.batch_delay(), None);
        tokio::spawn(follow_prefix(
            self.store.with_own_connection(),
            ALL_KEYS,
            pace,
            sender,
            outdated.clone(),
            stop.clone(),
        ));
        let prover = ConfigurationProver {
            store: self.store.with_own_connection(),
            key: self.dialect.configuration_key(),
            interval: self.settings.organisations.freshness_rule().read_interval(),
            cache: self.service.proofs().clone(),
            mirror: self.service.mirror().clone(),
            outdated,
        };
        tokio::spawn(prover.run(stop.clone()));
        EventRouter::new(events)
    }

    async fn take_shared(&mut self, event: FollowEvent) {
        let (FollowEvent::All(page) | FollowEvent::Changes(page)) = event else {
            return;
        };
        for item in &page.items {
            if let Some(name) = item.key.strip_prefix(REGISTRATION_PREFIX) {
                self.take_registration(name, item);
            } else if item.key == PLACEMENT_KEY {
                self.take_placement(item).await;
            }
        }
        self.read = true;
    }

    fn take_registration(&mut self, name: &str, item: &StoreItem) {
        self.registered_since = Instant::now();
        let value = item.value.bytes();
        let slot = value.and_then(|value| serde_json::from_slice::<KeeperSlot>(value).ok());
        self.registration_revisions
            .insert(name.into(), item.revision);
        match slot {
            Some(slot) => self.registered.insert(name.into(), slot),
            None => self.registered.remove(name),
        };
    }

    async fn take_placement(&mut self, item: &StoreItem) {
        let Some(value) = item.value.bytes() else {
            return;
        };
        self.placement_revision = self.placement_revision.max(item.revision);
        match serde_json::from_slice::<KeeperPlacement>(value) {
            Ok(placement) => self.service.adopt_placement(placement).await,
            Err(error) => log::error!("the placement can't be read: {error}; run one version"),
        }
    }

    fn take_retirements(&mut self, event: FollowEvent) {
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

    fn probe_others(&self, answers: &mpsc::Sender<SmolStr>) {
        let placement = self.service.placement();
        // Only a keeper without a slot has to know who is dead.
        if placement.slot_of(&self.own.name).is_some() {
            return;
        }
        for slot in placement.slots {
            let links = self.links.clone();
            let answers = answers.clone();
            let envelope =
                KeeperEnvelope::between_keepers(placement.generation, KeeperRequest::Probe);
            tokio::spawn(async move {
                let reply =
                    links.request::<_, KeeperAnswer>(slot.address, &envelope, PROBE_TIMEOUT);
                if reply.await.is_ok() {
                    // The member may have stopped.
                    let _ = answers.send(slot.name).await;
                }
            });
        }
    }

    async fn step(&mut self) {
        if !self.read {
            return;
        }
        let placement = self.service.placement();
        let exists = placement.generation > 0;
        if exists {
            self.keep_complete_state(&placement).await;
        }
        let now = Instant::now();
        let silence: Vec<Duration> = placement
            .slots
            .iter()
            .map(|slot| {
                let heard = self.heard.entry(slot.name.clone()).or_insert(now);
                now.saturating_duration_since(*heard)
            })
            .collect();
        let mut registered: Vec<KeeperSlot> = self.registered.values().cloned().collect();
        registered.sort_by(|left, right| left.name.cmp(&right.name));
        let tolerance = self.settings.tolerance;
        let view = MembershipView {
            own: &self.own,
            placement: exists.then_some(&placement),
            registered: &registered,
            unchanged: self.registered_since.elapsed(),
            tolerated_losses: tolerance.instances.max(1),
            silence: &silence,
            retiring: &self.retiring,
        };
        match next_step(&view) {
            MembershipStep::Stay => {}
            MembershipStep::Register => self.register().await,
            MembershipStep::Propose(next) => self.propose(next).await,
        }
    }

    /// A keeper that had no slot for a while has missed facts: it says so until it has read them.
    async fn keep_complete_state(&mut self, placement: &KeeperPlacement) {
        let has_slot = placement.slot_of(&self.own.name).is_some();
        if !has_slot && self.service.is_complete() {
            self.service.set_complete(false).await;
        }
        let running = self
            .rebuilding
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if has_slot && !self.service.is_complete() && !running {
            let service = self.service.clone();
            let links = self.links.clone();
            let name = self.own.name.clone();
            let task = async move { rebuild_from_others(&service, &links, &name).await };
            self.rebuilding = Some(tokio::spawn(task));
        }
    }

    async fn register(&mut self) {
        let Ok(value) = serde_json::to_vec(&self.own) else {
            return;
        };
        let name = &self.own.name;
        let known = self.registration_revisions.get(name).copied().unwrap_or(0);
        let change = StoreWrite {
            key: format!("{REGISTRATION_PREFIX}{name}").into(),
            expected_revision: Some(known),
            value,
        };
        if let Err(error) = self.store.write(&change).await {
            log::info!("not registered yet: {error}");
        }
    }

    async fn propose(&mut self, next: KeeperPlacement) {
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        let change = StoreWrite {
            key: PLACEMENT_KEY.into(),
            expected_revision: Some(self.placement_revision),
            value,
        };
        let result = self.store.write(&change).await;
        let line = ProposalLine {
            generation: next.generation,
            slots: next.slots.iter().map(|slot| &slot.name).collect(),
            outcome: result.map_or_else(|error| error.to_string(), |()| "accepted".to_owned()),
        };
        Logbook::global().record("placement-proposed", &line);
    }

    /// Tells the operators how far the own retirement is: complete once all slots are, without this keeper.
    async fn report_retirement(&mut self) {
        if !self.retiring.contains(&self.own.name) {
            self.reported = None;
            return;
        }
        if self.reported == Some(true) {
            return;
        }
        let placement = self.service.placement();
        let gone = placement.generation > 0 && placement.slot_of(&self.own.name).is_none();
        let completed = gone && self.all_complete(&placement).await;
        if self.reported == Some(completed) {
            return;
        }
        let change = self.dialect.retirement_status(&self.own.name, completed);
        match self.store.write(&change).await {
            Ok(()) => {
                self.reported = Some(completed);
                let line = RetirementLine {
                    instance: &self.own.name,
                    completed,
                };
                Logbook::global().record("retirement", &line);
            }
            Err(error) => log::info!("retirement not reported: {error}"),
        }
    }

    async fn all_complete(&self, placement: &KeeperPlacement) -> bool {
        for slot in &placement.slots {
            let envelope =
                KeeperEnvelope::between_keepers(placement.generation, KeeperRequest::Probe);
            let asking = self.links.request(slot.address, &envelope, PROBE_TIMEOUT);
            let reply = asking.await.map(|answer: KeeperAnswer| answer.reply);
            if !matches!(reply, Ok(KeeperReply::Alive { complete: true, .. })) {
                return false;
            }
        }
        true
    }
}

/// Keeps what the keeper learns for those who follow it.
/// Writes down what is used of organisations' limits, until told to stop.
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

async fn fill_mirror(mirror: Arc<StoreMirror>, mut events: mpsc::Receiver<FollowEvent>) {
    while let Some(event) = events.recv().await {
        mirror.take(&event, Instant::now());
    }
}
