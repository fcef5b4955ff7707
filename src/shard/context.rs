//! What the task of a copy needs from the rest of the instance.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use futures_util::future::BoxFuture;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use super::command::ShardCommand;
use super::copy::LogPosition;
use super::keeper::MapCache;
use super::stream::StreamBuffer;
use crate::contract::{ChatMessage, Refusal};
use crate::ids::{ClassName, OrganisationId, ProgramId, ShardEpoch, ShardId, UpstreamName};
use crate::keyvalue::KeyValueClient;
use crate::link::LinkNetwork;
use crate::membership::PeerTable;
use crate::program::CallIntent;
use crate::record::ConfigView;
use crate::storage::{BulkStore, RecoveredCopy};

/// How copies are kept.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Backups wanted in the shard's own failure domain.
    pub local_backups: usize,
    /// Backups wanted in other failure domains.
    pub remote_backups: usize,
    /// Most commands answered by one append.
    pub max_batch: usize,
    /// Longest wait for a backup's answer.
    pub append_timeout: Duration,
    /// Time between two looks at what is due.
    pub tick: Duration,
    /// How long an ended program is remembered.
    pub retention: Duration,
    /// Longest time an engine keeps a prefix over a pause.
    pub max_hold: Duration,
}

impl Default for ShardSettings {
    fn default() -> Self {
        Self {
            local_backups: 1,
            remote_backups: 1,
            max_batch: 256,
            append_timeout: Duration::from_millis(500),
            tick: Duration::from_millis(200),
            retention: Duration::from_mins(10),
            max_hold: Duration::from_mins(1),
        }
    }
}

/// A call that may be dispatched: its intent is stored.
#[derive(Clone, Debug)]
pub struct DispatchJob {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the shard: the fencing number for upstreams.
    pub epoch: ShardEpoch,
    /// The call.
    pub intent: CallIntent,
    /// The conversation before it.
    pub history: Vec<ChatMessage>,
    /// Class of the program.
    pub class: ClassName,
    /// Organisation of the program.
    pub organisation: OrganisationId,
    /// When the program began.
    pub began: SystemTime,
    /// When the program has to have ended.
    pub deadline: SystemTime,
    /// Tokens that the program has used so far.
    pub attained: u64,
    /// Time since the program's last answer.
    pub pause: Duration,
    /// Engine that held the prefix over the pause.
    pub holding_upstream: Option<UpstreamName>,
    /// Times that an upstream has failed the call here.
    pub failures: u32,
    /// Whether an earlier process may have dispatched the call.
    pub redispatch: bool,
    /// Whether the call must not be dispatched again, but its outcome asked for.
    pub resolve_only: bool,
    /// Where the text goes as it comes.
    pub stream: Arc<StreamBuffer>,
    /// Where the outcome goes.
    pub done: mpsc::Sender<ShardCommand>,
    /// Cancelled when nobody waits for the answer any more or the copy is not the primary's.
    pub cancel: CancellationToken,
}

/// Takes dispatches and orders about engines' caches.
pub trait DispatchSink: Send + Sync + 'static {
    /// Refuses the begin of a program that could not be served in time.
    fn admit(&self, class: &ClassName, deadline: SystemTime, now: SystemTime) -> Option<Refusal>;

    /// Takes a dispatch.
    fn dispatch(&self, job: DispatchJob);

    /// Decides whether an engine should keep the prefix of a program that pauses.
    fn should_hold(&self, class: &ClassName, upstream: &UpstreamName, tokens: u64) -> bool;

    /// Asks an engine to keep a program's prefix.
    fn hold(&self, program: ProgramId, upstream: UpstreamName);

    /// Asks an engine to keep a program's prefix no longer; resolves to whether it confirmed.
    fn release(&self, program: ProgramId, upstream: UpstreamName) -> BoxFuture<'_, bool>;

    /// Forgets the programs of a shard that has another primary now.
    fn forget_shard(&self, shard: &ShardId);

    /// Learns from the end of a program.
    fn program_ended(&self, program: &ProgramId, class: &ClassName, calls: u32, tokens: u64);
}

/// Counters of an instance's copies.
#[derive(Debug, Default)]
pub struct ShardCounters {
    /// Entries stored as primary.
    pub entries: AtomicU64,
    /// Appends sent, each with a batch of entries.
    pub batches: AtomicU64,
    /// Shards taken over.
    pub takeovers: AtomicU64,
    /// Whole copies sent.
    pub installs: AtomicU64,
    /// Shards that began empty because no copy was left.
    pub resets: AtomicU64,
}

/// What the tasks of all copies share.
pub struct ShardContext {
    /// How copies are kept.
    pub settings: ShardSettings,
    /// The instances.
    pub peers: Arc<PeerTable>,
    /// The links.
    pub network: LinkNetwork,
    /// The platform.
    pub key_value: KeyValueClient,
    /// The shard maps.
    pub maps: Arc<MapCache>,
    /// The configuration in force.
    pub config: Arc<ArcSwap<ConfigView>>,
    /// Where dispatches go.
    pub dispatch: Arc<dyn DispatchSink>,
    /// The disk, where the instance has one.
    pub store: Option<BulkStore>,
    /// Copies found on it at the start, until they are used or out of date.
    pub recovered: Mutex<HashMap<ShardId, RecoveredCopy>>,
    /// Whole copies that may be sent at the same time.
    pub install_permits: Semaphore,
    /// Counters.
    pub counters: ShardCounters,
    /// Cancelled when the instance stops.
    pub stop: CancellationToken,
}

impl fmt::Debug for ShardContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ShardContext")
            .finish_non_exhaustive()
    }
}

impl ShardContext {
    /// Returns the epoch and place of a shard's copy that was found on the disk.
    pub fn recovered_position(&self, shard: &ShardId) -> Option<(ShardEpoch, LogPosition)> {
        let recovered = self
            .recovered
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        recovered.get(shard).map(|copy| (copy.epoch, copy.position))
    }

    /// Takes the copy of a shard that was found on the disk.
    pub fn take_recovered(&self, shard: &ShardId) -> Option<RecoveredCopy> {
        self.recovered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(shard)
    }
}
