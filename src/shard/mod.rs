//! Shards: the copies of each shard, the replication protocol, and the placement of the copies.
//!
//! The rules do no I/O: [`ShardCopy`] stores log entries and snapshots and returns a verdict on them,
//! [`ShardPlacement`] applies placement changes, and [`decide_role`] derives the role of a copy from a
//! placement. The task that owns a copy does the I/O.

mod actor;
mod command;
mod context;
mod copy;
mod keeper;
mod map;
mod primary;
mod role;
mod stream;

pub use command::{CallCommand, CallReply, CopyDump, DispatchResult, ProgramQuery, ShardCommand};
pub use context::{DispatchJob, DispatchSink, ShardContext, ShardCounters, ShardSettings};
pub use copy::{
    AppendReply, AppendRequest, BackupRole, InstallRequest, LogPosition, PrimaryRole, ShardCopy,
};
pub use keeper::{MapCache, ProposeError};
pub use map::{
    DomainMap, MAP_PREFIX, MapChange, MapConflict, MapDelta, ShardPlacement, VersionedMap,
    initial_map, map_key,
};
pub use role::{CurrentRole, RoleChange, decide_role};
pub use stream::{StreamBuffer, StreamRead, StreamReader};

pub use actor::spawn_copy;
