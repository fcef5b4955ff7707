//! Shards: their copies, how the copies agree, and where they are placed.
//!
//! The rules are pure: [`ShardCopy`] takes entries and whole copies and says what became of them,
//! [`DomainMap`] takes changes of placement, [`decide_role`] says what a copy becomes under a map. The
//! task around a copy does the I/O.

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
