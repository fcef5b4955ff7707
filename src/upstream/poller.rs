//! Polls upstreams for load reports, cache events and lists of held prefixes.
//!
//! Only a few instances of its failure domain poll an upstream; they pass its load reports on to the other instances.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use futures_util::future::join_all;
use samphiregrade_http::{HttpPool, OutgoingRequest};
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::ids::{ProgramId, UpstreamName};
use crate::link::LoadReport;
use crate::membership::PeerTable;
use crate::record::{ConfigView, UpstreamKind, UpstreamSpec};
use crate::scheduler::CallQueue;

/// Settings for polling upstreams.
#[derive(Clone, Debug)]
pub struct PollerSettings {
    /// Interval at which an upstream's load is read.
    pub interval: Duration,
    /// Interval at which an engine's list of holds is read.
    pub holds_interval: Duration,
    /// Number of instances of a failure domain that poll the same upstream.
    pub readers: usize,
}

impl Default for PollerSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            holds_interval: Duration::from_secs(5),
            readers: 2,
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct UpstreamLoad {
    running: u32,
    queued: u32,
    slots: u32,
    cache_tokens: u64,
    used_tokens: u64,
    held_tokens: u64,
    leaving: bool,
    models: Vec<SmolStr>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct CacheEvent {
    sequence: u64,
    session: ProgramId,
    cached_tokens: u64,
}

struct UpstreamPoller {
    queue: Arc<CallQueue>,
    pool: HttpPool,
    peers: Arc<PeerTable>,
    settings: PollerSettings,
    last_events: HashMap<UpstreamName, u64>,
    holds_due: Instant,
}

/// Polls upstreams until the token is cancelled; sends the holds that engines list to `holds`.
pub async fn run_poller(
    queue: Arc<CallQueue>,
    pool: HttpPool,
    peers: Arc<PeerTable>,
    config: Arc<ArcSwap<ConfigView>>,
    settings: PollerSettings,
    holds: mpsc::Sender<(ProgramId, UpstreamName)>,
    stop: CancellationToken,
) {
    let mut ticks = tokio::time::interval(settings.interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut poller = UpstreamPoller {
        queue,
        pool,
        peers,
        last_events: HashMap::new(),
        holds_due: Instant::now() + settings.holds_interval,
        settings,
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => return,
        }
        poller.poll_all(&config.load_full(), &holds).await;
    }
}

impl UpstreamPoller {
    async fn poll_all(
        &mut self,
        config: &ConfigView,
        holds: &mpsc::Sender<(ProgramId, UpstreamName)>,
    ) {
        let assigned: Vec<(UpstreamName, Arc<UpstreamSpec>)> = config
            .upstreams()
            .filter(|(name, spec)| self.is_reader(name, spec))
            .map(|(name, spec)| (name.clone(), spec.clone()))
            .collect();
        let loads = join_all(assigned.iter().map(|(_, spec)| self.read_load(spec))).await;
        let read_at = Instant::now();
        for ((name, _), load) in assigned.iter().zip(loads) {
            if let Some(load) = load {
                self.queue.record_report(name, load, read_at);
            }
        }
        let engines: Vec<_> = assigned
            .into_iter()
            .filter(|(_, spec)| spec.kind == UpstreamKind::Engine)
            .collect();
        let events = join_all(
            engines
                .iter()
                .map(|(name, spec)| self.read_events(name, spec)),
        )
        .await;
        for ((name, _), events) in engines.iter().zip(events) {
            for event in events {
                self.queue
                    .record_cache_event(name, &event.session, event.cached_tokens);
                self.last_events.insert(name.clone(), event.sequence);
            }
        }
        if Instant::now() < self.holds_due {
            return;
        }
        self.holds_due = Instant::now() + self.settings.holds_interval;
        for (name, spec) in &engines {
            for session in self.read_holds(spec).await {
                // If the channel is full, the hold is sent again after the next read.
                let _ = holds.try_send((session, name.clone()));
            }
        }
    }

    /// Returns whether this instance polls the upstream, by rendezvous hashing over the live instances of the
    /// upstream's failure domain.
    fn is_reader(&self, name: &str, spec: &UpstreamSpec) -> bool {
        let view = self.peers.view();
        let live = view.live_in(&spec.failure_domain, Instant::now());
        if view.domain != spec.failure_domain {
            // Upstreams of a failure domain without live instances are polled from other domains.
            return live.is_empty();
        }
        let weight = |instance: &str| {
            let text = format!("{instance}/{name}");
            *blake3::hash(text.as_bytes()).as_bytes()
        };
        let own = weight(&view.me.name);
        let heavier_peers = live.iter().filter(|peer| weight(&peer.instance.name) > own);
        heavier_peers.count() < self.settings.readers
    }

    async fn get<Value>(&self, url: &str) -> Option<Value>
    where
        Value: serde::de::DeserializeOwned,
    {
        let request = OutgoingRequest::get(url).with_timeout(self.settings.interval * 2);
        let mut response = self.pool.send(request).await.ok()?;
        if response.status != 200 {
            return None;
        }
        response.read_json().await.ok()
    }

    async fn read_load(&self, spec: &UpstreamSpec) -> Option<LoadReport> {
        let load: UpstreamLoad = self.get(&format_smolstr!("{}/load", spec.address)).await?;
        Some(LoadReport {
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            cache_tokens: load.cache_tokens,
            used_tokens: load.used_tokens,
            held_tokens: load.held_tokens,
            leaving: load.leaving,
            models: load.models,
        })
    }

    async fn read_events(&self, name: &str, spec: &UpstreamSpec) -> Vec<CacheEvent> {
        let since = self.last_events.get(name).copied().unwrap_or(0);
        let url = format_smolstr!("{}/events?since={since}", spec.address);
        self.get(&url).await.unwrap_or_default()
    }

    async fn read_holds(&self, spec: &UpstreamSpec) -> Vec<ProgramId> {
        let url = format_smolstr!("{}/cache/holds", spec.address);
        self.get(&url).await.unwrap_or_default()
    }
}
