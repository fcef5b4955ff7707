//! An instance: the components of one process, started and stopped together.

mod callers;
mod dump;
mod forward;
mod listeners;
mod metrics;
mod news;
mod operators;
mod overseer;
mod peers;
mod records;
mod shards;

use std::collections::HashMap;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use samphiregrade_http::{HttpPool, RequestGate};
use thiserror::Error;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use crate::ids::{InstanceRef, ShardId};
use crate::keyvalue::{InstanceList, KeyValueClient, KeyValueLimits, KeyValueStore};
use crate::link::{IdentityError, LinkIdentity, LinkNetwork};
use crate::membership::{PeerTable, run_membership};
use crate::record::ConfigView;
use crate::scheduler::CallQueue;
use crate::settings::Settings;
use crate::shard::{MapCache, ShardContext, ShardCounters};
use crate::storage::{BulkStore, RecoveredCopy, StorageError};
use crate::upstream::{OrderContext, UpstreamRunner, run_orders, run_poller};

pub use listeners::InstanceListeners;
use metrics::MetricsExporter;
use news::LocalProbeSource;
use peers::RequestDispatcher;
use records::RecordCache;
use shards::ShardHost;

/// Maximum number of shard snapshots that an instance sends concurrently.
const INSTALL_PERMITS: usize = 2;

/// Everything needed to start an instance.
pub struct InstanceParts {
    /// Validated settings.
    pub settings: Settings,
    /// Certificates of its links.
    pub identity: LinkIdentity,
    /// The key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// The instance list.
    pub list: InstanceList,
    /// Client for upstreams.
    pub pool: HttpPool,
    /// Bound socket for other instances.
    pub peer_socket: UdpSocket,
}

impl std::fmt::Debug for InstanceParts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("InstanceParts")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

/// Reason why an instance can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The certificates or the peers' socket can't be used.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// State shared by the components of an instance.
#[derive(Debug)]
pub(crate) struct InstanceState {
    settings: Settings,
    peers: Arc<PeerTable>,
    network: LinkNetwork,
    key_value: KeyValueClient,
    maps: Arc<MapCache>,
    config: Arc<ArcSwap<ConfigView>>,
    records: RecordCache,
    shards: ShardHost,
    queue: Arc<CallQueue>,
    runner: UpstreamRunner,
    pool: HttpPool,
    metrics: MetricsExporter,
    gate: RequestGate,
    served_requests: AtomicUsize,
    forwarded_requests: AtomicUsize,
    draining: AtomicBool,
    started: Instant,
    /// Cancelled at the deadline of a graceful shutdown: the requests that still run are refused.
    abort: CancellationToken,
    stop: CancellationToken,
}

/// Handle to a running instance; clones refer to the same instance.
#[derive(Clone, Debug)]
pub struct Instance {
    state: Arc<InstanceState>,
    runtime: Handle,
}

impl Instance {
    /// Starts an instance; has to be called inside a multi-threaded tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if the certificates, the peers' socket or the data folder can't be used.
    pub fn start(parts: InstanceParts) -> Result<Self, StartError> {
        let stop = CancellationToken::new();
        let runtime = Handle::current();
        let settings = parts.settings;
        let me = InstanceRef {
            name: settings.instance.name.clone(),
            incarnation: new_incarnation(),
        };
        let domain = settings.instance.failure_domain.clone();
        let membership = settings.membership.task_settings();
        let peers = Arc::new(PeerTable::new(
            me.clone(),
            domain.clone(),
            membership.suspect_after,
        ));
        let network = LinkNetwork::open(parts.peer_socket, &parts.identity)?;
        let limits = KeyValueLimits {
            calls_per_second: settings.platform.calls_per_second,
            burst: settings.platform.call_burst,
        };
        let key_value = KeyValueClient::new(parts.store, limits);
        let maps = MapCache::start(key_value.clone(), &me.to_string(), stop.clone());
        let config = Arc::new(ArcSwap::from_pointee(ConfigView::default()));
        let queue = Arc::new(CallQueue::new(domain, me.incarnation));
        let runner = UpstreamRunner::new(queue.clone(), parts.pool.clone(), config.clone());
        let (store, recovered) = open_store(&settings)?;
        let context = Arc::new(ShardContext {
            store,
            recovered: Mutex::new(recovered),
            settings: settings.shards.copy_settings(),
            peers: peers.clone(),
            network: network.clone(),
            key_value: key_value.clone(),
            maps: maps.clone(),
            config: config.clone(),
            dispatch: Arc::new(runner.clone()),
            install_permits: Semaphore::new(INSTALL_PERMITS),
            counters: ShardCounters::default(),
            stop: stop.clone(),
        });
        let state = Arc::new(InstanceState {
            records: RecordCache::new(config.clone()),
            shards: ShardHost::new(context),
            metrics: MetricsExporter::new(),
            gate: RequestGate::default(),
            served_requests: AtomicUsize::new(0),
            forwarded_requests: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            started: Instant::now(),
            pool: parts.pool,
            settings,
            peers,
            network,
            key_value,
            maps,
            config,
            queue,
            runner,
            abort: CancellationToken::new(),
            stop,
        });
        let instance = Self { state, runtime };
        instance.spawn_tasks(parts.list, membership);
        log::info!("instance started instance={me}");
        Ok(instance)
    }

    fn spawn_tasks(&self, list: InstanceList, membership: crate::membership::MembershipSettings) {
        let state = &self.state;
        let stop = state.stop.clone();
        state.metrics.observe(state);
        let dispatcher = Arc::new(RequestDispatcher::new(state.clone()));
        let network = state.network.clone();
        let serving = stop.clone();
        tokio::spawn(async move { network.serve(dispatcher, serving).await });
        let probe_source = Arc::new(LocalProbeSource::new(state.clone()));
        tokio::spawn(run_membership(
            state.peers.clone(),
            list,
            state.network.clone(),
            probe_source,
            membership,
            stop.clone(),
        ));
        tokio::spawn(state.runner.clone().run(stop.clone()));
        let (holds, found) = mpsc::channel(1024);
        tokio::spawn(run_poller(
            state.queue.clone(),
            state.pool.clone(),
            state.peers.clone(),
            state.config.clone(),
            state.settings.upstreams.poller_settings(),
            holds,
            stop,
        ));
        let orders = OrderContext {
            me: state.peers.view().me.clone(),
            domain: state.settings.instance.failure_domain.clone(),
            key_value: state.key_value.clone(),
            config: state.config.clone(),
            queue: state.queue.clone(),
            pool: state.pool.clone(),
            weight_store: state.settings.platform.weight_store.clone(),
        };
        tokio::spawn(run_orders(orders, state.stop.clone()));
        tokio::spawn(shards::audit_holds(state.clone(), found));
        tokio::spawn(records::follow_key_value(state.clone()));
        tokio::spawn(overseer::oversee_maps(state.clone()));
        tokio::spawn(shards::follow_maps(state.clone()));
    }

    /// Returns whether the instance can serve programs of its own failure domain and is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Stops every task.
    pub fn stop(&self) {
        self.state.stop.cancel();
        self.state.network.close();
    }
}

impl InstanceState {
    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn is_ready(&self) -> bool {
        let domain = &self.settings.instance.failure_domain;
        !self.is_draining() && self.maps.map(domain).is_some() && self.records.revision() > 0
    }

    /// Returns the number of shards, of any failure domain, that this instance is primary of.
    fn own_primaries(&self) -> usize {
        let me = self.peers.view().me.clone();
        let maps = self.maps.all();
        let shards = maps.iter().flat_map(|map| &map.map.shards);
        shards.filter(|placement| placement.primary == me).count()
    }

    fn own_copies(&self) -> usize {
        let me = self.peers.view().me.clone();
        let maps = self.maps.all();
        let shards = maps.iter().flat_map(|map| &map.map.shards);
        shards.filter(|placement| placement.has_member(&me)).count()
    }

    /// Returns whether no other instance of the failure domain responds.
    fn is_only_live_instance(&self) -> bool {
        let view = self.peers.view();
        view.live_in(&view.domain, Instant::now()).is_empty()
    }
}

type RecoveredCopies = HashMap<ShardId, RecoveredCopy>;

fn open_store(settings: &Settings) -> Result<(Option<BulkStore>, RecoveredCopies), StorageError> {
    let Some(folder) = &settings.instance.data_folder else {
        return Ok((None, RecoveredCopies::new()));
    };
    let (store, copies) = BulkStore::open(folder)?;
    log::info!(
        "disk opened folder={} copies={}",
        folder.display(),
        copies.len()
    );
    let copies = copies.into_iter().map(|copy| (copy.shard.clone(), copy));
    Ok((Some(store), copies.collect()))
}

/// Returns the incarnation number of this process; later processes of the same instance get higher numbers.
fn new_incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}
