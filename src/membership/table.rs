//! The table of instances: updated from the instance list and by probes, read on the request path.

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
    /// The process that responded last; incarnation 0 before the first response.
    pub instance: InstanceRef,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address of the instance's peer listener.
    pub address: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Time of the last probe or reply from the instance.
    pub last_response: Option<Instant>,
    /// Number of shard copies that the instance holds.
    pub copies: u32,
    /// Number of shards whose primary the instance is.
    pub primaries: u32,
    /// Whether the instance stores its copies on a disk.
    pub has_disk: bool,
}

/// An immutable view of the known instances.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// This process.
    pub me: InstanceRef,
    /// Failure domain of this process.
    pub domain: DomainId,
    /// Time without a response after which an instance is suspected.
    pub suspect_after: Duration,
    /// Time at which this process started to observe others.
    pub since: Instant,
    peers: HashMap<InstanceName, PeerRecord>,
}

impl PeerView {
    /// Returns the other instances in arbitrary order.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Returns the record of a process if it is the instance's process that responded last.
    #[must_use]
    pub fn record(&self, instance: &InstanceRef) -> Option<&PeerRecord> {
        let record = self.peers.get(&instance.name)?;
        (record.instance.incarnation == instance.incarnation).then_some(record)
    }

    /// Returns the address of a process's instance.
    #[must_use]
    pub fn address(&self, instance: &InstanceRef) -> Option<SocketAddr> {
        self.peers.get(&instance.name).map(|record| record.address)
    }

    /// Returns whether the process has not responded for too long, or is known to have ended.
    #[must_use]
    pub fn suspects(&self, instance: &InstanceRef, now: Instant) -> bool {
        if *instance == self.me {
            return false;
        }
        if self.has_ended(instance) {
            return true;
        }
        let last_response = self
            .record(instance)
            .and_then(|record| record.last_response);
        now.duration_since(last_response.unwrap_or(self.since)) > self.suspect_after
    }

    /// Returns whether a later process of the same instance has responded.
    ///
    /// The later process listens at the same address, so the earlier one has certainly ended.
    #[must_use]
    pub fn has_ended(&self, instance: &InstanceRef) -> bool {
        if instance.name == self.me.name {
            return instance.incarnation < self.me.incarnation;
        }
        self.peers
            .get(&instance.name)
            .is_some_and(|record| record.instance.incarnation > instance.incarnation)
    }

    /// Returns whether the process has reported that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceRef) -> bool {
        self.record(instance).is_some_and(|record| record.leaving)
    }

    /// Returns the other instances of a failure domain that respond and are not leaving, sorted by name.
    #[must_use]
    pub fn live_in(&self, domain: &str, now: Instant) -> Vec<&PeerRecord> {
        let mut live: Vec<&PeerRecord> = self
            .peers
            .values()
            .filter(|record| record.domain == domain && !record.leaving)
            .filter(|record| {
                record.last_response.is_some() && !self.suspects(&record.instance, now)
            })
            .collect();
        live.sort_by(|one, other| one.instance.name.cmp(&other.instance.name));
        live
    }

    /// Returns whether any instance of another failure domain responds.
    #[must_use]
    pub fn reaches_other_domain(&self, now: Instant) -> bool {
        self.peers
            .values()
            .any(|record| record.domain != self.domain && !self.suspects(&record.instance, now))
    }
}

/// The table of instances; readers get a view without taking a lock.
#[derive(Debug)]
pub struct PeerTable {
    view: ArcSwap<PeerView>,
    writer: Mutex<()>,
}

impl PeerTable {
    /// Creates a table without other instances.
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

    /// Merges the instance list: adds new instances, and removes missing ones that have stopped responding.
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
                            last_response: None,
                            copies: 0,
                            primaries: 0,
                            has_disk: false,
                        });
                record.address = instance.peer_address;
                record.leaving |= instance.leaving;
            }
            let suspect_after = view.suspect_after;
            view.peers.retain(|name, record| {
                let responding = record
                    .last_response
                    .is_some_and(|at| now.duration_since(at) < suspect_after);
                responding || listed.iter().any(|instance| instance.name == *name)
            });
        });
    }

    /// Merges the probe or probe reply of another instance.
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
        self.last_response = Some(now);
        self.copies = probe.copies;
        self.primaries = probe.primaries;
        self.has_disk = probe.has_disk;
    }
}
