//! The dump: the complete state of the process as JSON.

use std::sync::atomic::Ordering;
use std::time::Instant;

use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};

use super::InstanceState;
use crate::ids::{DomainId, RevisionNumber};
use crate::keyvalue::KeyValueStats;
use crate::record::{PolicySpec, RecordProblem};
use crate::scheduler::QueueDump;
use crate::shard::{CopyDump, VersionedMap};

/// State of another instance as seen by this one.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct PeerDump {
    instance: SmolStr,
    failure_domain: DomainId,
    address: SmolStr,
    suspected: bool,
    leaving: bool,
    silent_ms: Option<u128>,
}

/// Counters of the links.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct LinkDump {
    sent_bytes: u64,
    received_bytes: u64,
    requests: u64,
}

/// Counters of callers' requests.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct RequestDump {
    open: usize,
    served: usize,
    forwarded: usize,
}

/// The complete state of the process.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct InstanceDump {
    instance: SmolStr,
    failure_domain: DomainId,
    ready: bool,
    draining: bool,
    uptime_seconds: u64,
    configuration_revision: RevisionNumber,
    policy: PolicySpec,
    record_problems: Vec<RecordProblem>,
    platform: KeyValueStats,
    links: LinkDump,
    requests: RequestDump,
    peers: Vec<PeerDump>,
    shards: Vec<CopyDump>,
    maps: Vec<VersionedMap>,
    scheduler: QueueDump,
}

impl InstanceState {
    /// Composes the dump.
    pub(super) async fn dump(&self) -> InstanceDump {
        let view = self.peers.view();
        let config = self.config.load_full();
        let (sent_bytes, received_bytes, requests) = self.network.counters().read();
        InstanceDump {
            instance: view.me.to_smolstr(),
            failure_domain: view.domain.clone(),
            ready: self.is_ready(),
            draining: self.is_draining(),
            uptime_seconds: self.started.elapsed().as_secs(),
            configuration_revision: config.revision(),
            policy: config.policy().clone(),
            record_problems: config.problems().to_vec(),
            platform: self.key_value.stats(),
            links: LinkDump {
                sent_bytes,
                received_bytes,
                requests,
            },
            requests: RequestDump {
                open: self.gate.under_way(),
                served: self.served_requests.load(Ordering::Relaxed),
                forwarded: self.forwarded_requests.load(Ordering::Relaxed),
            },
            peers: self.peer_dumps(),
            shards: self.shards.dump().await,
            maps: self.maps.all().iter().map(|map| (**map).clone()).collect(),
            scheduler: self.queue.dump(),
        }
    }

    fn peer_dumps(&self) -> Vec<PeerDump> {
        let view = self.peers.view();
        let now = Instant::now();
        let mut peers: Vec<PeerDump> = view
            .peers()
            .map(|peer| PeerDump {
                instance: peer.instance.to_smolstr(),
                failure_domain: peer.domain.clone(),
                address: peer.address.to_smolstr(),
                suspected: view.suspects(&peer.instance, now),
                leaving: peer.leaving,
                silent_ms: peer
                    .last_response
                    .map(|last_response| now.duration_since(last_response).as_millis()),
            })
            .collect();
        peers.sort_by(|one, other| one.instance.cmp(&other.instance));
        peers
    }
}
