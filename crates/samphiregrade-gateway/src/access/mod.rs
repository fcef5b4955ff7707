//! Identification of callers by keys and organisations, and the freshness of the known keys.
//!
//! Handles a key that is withdrawn while some instances are cut off, suspended, or connected to an unresponsive watch:
//! known keys are used only as long as they are verified to be no older than a bound.

mod clock;
mod freshness;
mod key_table;

pub use clock::BootTime;
pub use freshness::{
    FreshnessRule, KeyFreshness, MIN_READ_INTERVAL, ProofTiming, READS_IN_FLIGHT, proof_of_watch,
    read_phase,
};
pub use key_table::{CallerIdentity, KeyTable, Organisation};
