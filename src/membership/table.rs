//! The table of instances: fed by the platform's list and by probes, read on the request path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::ids::{DomainId, InstanceName, InstanceRef};
use crate::keyvalue::ListedInstance;
use crate::link::ProbeMessage;

/// One other instance.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// The process that answered last; incarnation 0 before the first answer.
    pub instance: InstanceRef,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it answered last.
    pub heard: Option<Instant>,
    /// Shard copies it holds.
    pub copies: u32,
    /// Shards it is primary of.
    pub primaries: u32,
    /// Whether it keeps its copies on a disk.
    pub has_disk: bool,
}

/// The instances at one moment.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// This process.
    pub me: InstanceRef,
    /// Its failure domain.
    pub domain: DomainId,
    /// How long a silent instance is trusted.
    pub suspect_after: Duration,
    /// When this process began to look.
    pub since: Instant,
    peers: HashMap<InstanceName, PeerRecord>,
}

impl PeerView {
    /// Returns the other instances, in no order.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Returns the record of a process, where it is the one that answered last.
    #[must_use]
    pub fn record(&self, instance: &InstanceRef) -> Option<&PeerRecord> {
        let record = self.peers.get(&instance.name)?;
        (record.instance.incarnation == instance.incarnation).then_some(record)
    }

    /// Returns the address of a process.
    #[must_use]
    pub fn address(&self, instance: &InstanceRef) -> Option<SocketAddr> {
        self.peers.get(&instance.name).map(|record| record.address)
    }

    /// Returns whether the process has not answered for too long, or is known to have ended.
    #[must_use]
    pub fn suspects(&self, instance: &InstanceRef, now: Instant) -> bool {
        if *instance == self.me {
            return false;
        }
        if self.has_ended(instance) {
            return true;
        }
        let heard = self.record(instance).and_then(|record| record.heard);
        now.duration_since(heard.unwrap_or(self.since)) > self.suspect_after
    }

    /// Returns whether a later process has answered in the instance's place.
    ///
    /// The later one listens at the same address, so the earlier one has certainly ended.
    #[must_use]
    pub fn has_ended(&self, instance: &InstanceRef) -> bool {
        if instance.name == self.me.name {
            return instance.incarnation < self.me.incarnation;
        }
        self.peers
            .get(&instance.name)
            .is_some_and(|record| record.instance.incarnation > instance.incarnation)
    }

    /// Returns whether the process has told that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceRef) -> bool {
        self.record(instance).is_some_and(|record| record.leaving)
    }

    /// Returns the instances of a failure domain that answer and stay, in order of their names.
    #[must_use]
    pub fn live_in(&self, domain: &str, now: Instant) -> Vec<&PeerRecord> {
        let mut live: Vec<&PeerRecord> = self
            .peers
            .values()
            .filter(|record| record.domain == domain && !record.leaving)
            .filter(|record| record.heard.is_some() && !self.suspects(&record.instance, now))
            .collect();
        live.sort_by(|one, other| one.instance.name.cmp(&other.instance.name));
        live
    }

    /// Returns whether any instance of another failure domain answers.
    #[must_use]
    pub fn reaches_other_domain(&self, now: Instant) -> bool {
        self.peers
            .values()
            .any(|record| record.domain != self.domain && !self.suspects(&record.instance, now))
    }
}

/// The table; readers get a view without a lock.
#[derive(Debug)]
pub struct PeerTable {
    view: ArcSwap<PeerView>,
    writer: Mutex<()>,
}

impl PeerTable {
    /// Starts a table that knows nobody.
    #[must_use]
    pub fn new(me: InstanceRef, domain: DomainId, suspect_after: Duration) -> Self {
        let view = PeerView {
            me,
            domain,
            suspect_after,
            since: Instant::now(),
            peers: HashMap::new(),
        };
        Self {
            view: ArcSwap::from_pointee(view),
            writer: Mutex::new(()),
        }
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<PeerView> {
        self.view.load_full()
    }

    fn update<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut PeerView),
    {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut view = PeerView::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }

    /// Takes the platform's list: new instances are added, gone ones stay while they answer.
    pub fn merge_list(&self, listed: &[ListedInstance], now: Instant) {
        self.update(|view| {
            for instance in listed {
                if instance.name == view.me.name {
                    continue;
                }
                let record =
                    view.peers
                        .entry(instance.name.clone())
                        .or_insert_with(|| PeerRecord {
                            instance: InstanceRef {
                                name: instance.name.clone(),
                                incarnation: 0,
                            },
                            domain: instance.failure_domain.clone(),
                            address: instance.peer_address,
                            leaving: false,
                            heard: None,
                            copies: 0,
                            primaries: 0,
                            has_disk: false,
                        });
                record.address = instance.peer_address;
                record.leaving |= instance.leaving;
            }
            let suspect_after = view.suspect_after;
            view.peers.retain(|name, record| {
                let fresh = record
                    .heard
                    .is_some_and(|at| now.duration_since(at) < suspect_after);
                fresh || listed.iter().any(|instance| instance.name == *name)
            });
        });
    }

    /// Takes the news of an instance that answered or asked.
    pub fn merge_probe(&self, probe: &ProbeMessage, now: Instant) {
        self.update(|view| {
            if let Some(record) = view.peers.get_mut(&probe.from.name) {
                record.merge(probe, now);
            }
        });
    }
}

impl PeerRecord {
    fn merge(&mut self, probe: &ProbeMessage, now: Instant) {
        if probe.from.incarnation < self.instance.incarnation {
            return;
        }
        self.instance = probe.from.clone();
        self.domain = probe.domain.clone();
        self.leaving = probe.leaving;
        self.heard = Some(now);
        self.copies = probe.copies;
        self.primaries = probe.primaries;
        self.has_disk = probe.has_disk;
    }
}
