//! Operators' records: their kinds and schema versions, and the configuration built from them.

mod schema;
mod spec;
mod store;
mod view;

pub use schema::{CURRENT_SCHEMA, RecordEnvelope, RecordError, RecordKind, RecordSpec};
pub use spec::{
    DomainSpec, DomainState, ModelSpec, OrganisationSpec, PolicyName, PolicySpec, ProgramClassSpec,
    UpstreamKind, UpstreamSpec, token_hash,
};
pub use store::{RecordChange, RecordDelta, RecordStore, StoredRecord, record_diff, record_key};
pub use view::{ConfigView, RecordProblem};

/// Prefix of the keys in the key-value service that hold records.
pub const RECORD_PREFIX: &str = "samphiregrade/records/";
