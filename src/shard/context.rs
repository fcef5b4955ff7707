//! Settings, shared state and interfaces that the task of a copy uses.

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

/// Settings of the shards' copies.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Target number of backups in the shard's own failure domain.
    pub local_backups: usize,
    /// Target number of backups in other failure domains.
    pub remote_backups: usize,
    /// Maximum number of commands that one append covers.
    pub max_batch: usize,
    /// Timeout of an append to a backup.
    pub append_timeout: Duration,
    /// Interval of the periodic checks of a copy.
    pub tick: Duration,
    /// Retention time of an ended program.
    pub retention: Duration,
    /// Maximum time for which an engine holds the prefix of a paused program.
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

/// A call whose intent is stored, so that it can be dispatched.
#[derive(Clone, Debug)]
pub struct DispatchJob {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the shard, which upstreams use as the fencing number.
    pub epoch: ShardEpoch,
    /// The intent of the call.
    pub intent: CallIntent,
    /// The conversation before the call.
    pub history: Vec<ChatMessage>,
    /// Class of the program.
    pub class: ClassName,
    /// Organisation of the program.
    pub organisation: OrganisationId,
    /// Time at which the program began.
    pub began: SystemTime,
    /// Deadline of the program.
    pub deadline: SystemTime,
    /// Tokens that the program has spent so far.
    pub attained: u64,
    /// Time between the program's last response and this call.
    pub pause: Duration,
    /// Engine that held the program's prefix during the pause.
    pub holding_upstream: Option<UpstreamName>,
    /// Number of failed attempts in this process.
    pub failures: u32,
    /// Upstream at which the call has just failed.
    pub avoid: Option<UpstreamName>,
    /// Whether the call may have been dispatched before.
    pub redispatch: bool,
    /// Whether the upstream is only queried for the outcome because the call must not be dispatched twice.
    pub resolve_only: bool,
    /// Receives the generated text as it arrives.
    pub stream: Arc<StreamBuffer>,
    /// Receives the result of the dispatch.
    pub done: mpsc::Sender<ShardCommand>,
    /// Cancelled when no caller waits for the response any more or the copy is no longer the primary's.
    pub cancel: CancellationToken,
}

/// Accepts dispatches and commands for the engines' prefix caches.
pub trait DispatchSink: Send + Sync + 'static {
    /// Returns a refusal if a new program could not be served before its deadline.
    fn admit(&self, class: &ClassName, deadline: SystemTime, now: SystemTime) -> Option<Refusal>;

    /// Queues a call for dispatch.
    fn dispatch(&self, job: DispatchJob);

    /// Decides whether an engine should hold the prefix of a program that pauses.
    fn should_hold(&self, class: &ClassName, upstream: &UpstreamName, tokens: u64) -> bool;

    /// Requests that an engine hold a program's prefix.
    fn hold(&self, program: ProgramId, upstream: UpstreamName);

    /// Requests that an engine release a program's prefix; resolves to whether the engine confirmed.
    fn release(&self, program: ProgramId, upstream: UpstreamName) -> BoxFuture<'_, bool>;

    /// Discards the prefix locations of a shard's programs because this instance is no longer its primary.
    fn forget_shard(&self, shard: &ShardId);

    /// Adds an ended program to the statistics of its class.
    fn program_ended(&self, program: &ProgramId, class: &ClassName, calls: u32, tokens: u64);
}

/// Counters of an instance's copies.
#[derive(Debug, Default)]
pub struct ShardCounters {
    /// Entries stored as primary.
    pub entries: AtomicU64,
    /// Appends sent, each with a batch of entries.
    pub batches: AtomicU64,
    /// Takeovers made.
    pub takeovers: AtomicU64,
    /// Snapshots sent.
    pub installs: AtomicU64,
    /// Shards reset to empty because no copy was left.
    pub resets: AtomicU64,
}

/// State that the tasks of all copies share.
pub struct ShardContext {
    /// Settings of the copies.
    pub settings: ShardSettings,
    /// Known instances.
    pub peers: Arc<PeerTable>,
    /// Links to other instances.
    pub network: LinkNetwork,
    /// Client of the key-value service.
    pub key_value: KeyValueClient,
    /// The shard maps.
    pub maps: Arc<MapCache>,
    /// The configuration in force.
    pub config: Arc<ArcSwap<ConfigView>>,
    /// Accepts the dispatches.
    pub dispatch: Arc<dyn DispatchSink>,
    /// Disk storage, if the instance has a disk.
    pub store: Option<BulkStore>,
    /// Copies found on disk at startup, until they are used or out of date.
    pub recovered: Mutex<HashMap<ShardId, RecoveredCopy>>,
    /// Limits the number of snapshots sent at the same time.
    pub install_permits: Semaphore,
    /// Counters of the copies.
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
    /// Returns the epoch and log position of a shard's copy that was found on disk.
    pub fn recovered_position(&self, shard: &ShardId) -> Option<(ShardEpoch, LogPosition)> {
        let recovered = self
            .recovered
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        recovered.get(shard).map(|copy| (copy.epoch, copy.position))
    }

    /// Removes and returns the copy of a shard that was found on disk.
    pub fn take_recovered(&self, shard: &ShardId) -> Option<RecoveredCopy> {
        self.recovered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(shard)
    }
}
