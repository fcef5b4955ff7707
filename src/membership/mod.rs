//! Which instances there are, and which of them answer.

mod detector;
mod prober;
mod table;

pub use detector::{
    DetectorKind, FailureDetector, HybridDetector, PhiDetector, RoundObservation, TimeoutDetector,
};
pub use prober::{MembershipSettings, ProbeSource, run_membership};
pub use table::{PeerRecord, PeerTable, PeerView};
