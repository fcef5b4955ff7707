//! Composes this instance's probes and applies the probes of other instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use super::InstanceState;
use crate::ids::InstanceRef;
use crate::link::{GossipPayload, PeerReply, PeerRequest, ProbeMessage};
use crate::membership::ProbeSource;

/// Timeout for reading records or a map from a peer.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Composes probes from the instance's state and applies received probes to it.
#[derive(Debug)]
pub struct LocalProbeSource {
    state: Arc<InstanceState>,
}

impl LocalProbeSource {
    /// Creates the source of an instance.
    pub fn new(state: Arc<InstanceState>) -> Self {
        Self { state }
    }
}

impl InstanceState {
    /// Composes a probe; with `gossip`, the probe includes the large payload that goes to few instances.
    pub(super) fn probe(&self, gossip: bool) -> ProbeMessage {
        let view = self.peers.view();
        ProbeMessage {
            from: view.me.clone(),
            domain: view.domain.clone(),
            leaving: self.is_draining(),
            config_revision: self.records.revision(),
            copies: u32::try_from(self.own_copies()).unwrap_or(u32::MAX),
            primaries: u32::try_from(self.own_primaries()).unwrap_or(u32::MAX),
            has_disk: self.shards.has_disk(),
            shares: self.queue.shares(),
            gossip: gossip.then(|| self.compose_gossip()),
        }
    }

    fn compose_gossip(&self) -> GossipPayload {
        GossipPayload {
            map_revisions: self.maps.revisions(),
            reports: self.queue.recent_reports(&self.config.load()),
        }
    }

    /// Returns the instances that share shards with this one.
    pub(super) fn partners(&self) -> Vec<InstanceRef> {
        let me = self.peers.view().me.clone();
        let mut partners = BTreeSet::new();
        for map in self.maps.all() {
            for placement in map
                .map
                .shards
                .iter()
                .filter(|placement| placement.has_member(&me))
            {
                partners.extend(placement.members().filter(|member| **member != me).cloned());
            }
        }
        partners.into_iter().collect()
    }

    /// Applies a probe: accepts its load figures directly, and reads newer records and maps from its sender.
    pub(super) async fn apply_probe(&self, probe: ProbeMessage) {
        let gossip = probe.gossip.unwrap_or_default();
        let now = Instant::now();
        self.queue
            .record_peer_shares(&probe.from.name, &probe.shares, now);
        self.queue.record_peer_reports(&gossip.reports, now);
        let Some(address) = self.peers.view().address(&probe.from) else {
            return;
        };
        if probe.config_revision > self.records.revision() {
            let request = PeerRequest::RecordsRead(self.records.revision());
            let reply = self.network.call(address, &request, READ_TIMEOUT).await;
            if let Ok(PeerReply::Records(delta)) = reply {
                self.records.merge(&delta);
            }
        }
        for (domain, revision) in gossip.map_revisions {
            let known = self.maps.map(&domain).map_or(0, |map| map.revision);
            if revision <= known {
                continue;
            }
            let request = PeerRequest::MapRead(domain, known);
            match self.network.call(address, &request, READ_TIMEOUT).await {
                Ok(PeerReply::Map(Some(map))) => drop(self.maps.adopt(map)),
                Ok(PeerReply::MapDelta(delta)) => drop(self.maps.adopt_delta(&delta)),
                _ => {}
            }
        }
    }
}

impl ProbeSource for LocalProbeSource {
    fn compose(&self, gossip: bool) -> ProbeMessage {
        self.state.probe(gossip)
    }

    fn partners(&self) -> Vec<InstanceRef> {
        self.state.partners()
    }

    fn apply(&self, probe: ProbeMessage) -> BoxFuture<'_, ()> {
        self.state.apply_probe(probe).boxed()
    }
}
