//! The known instances, and which of them respond.

mod detector;
mod prober;
mod table;

pub use detector::{
    DetectorKind, FailureDetector, HybridDetector, PhiDetector, RoundObservation, TimeoutDetector,
};
pub use prober::{MembershipSettings, ProbeSource, run_membership};
pub use table::{PeerRecord, PeerTable, PeerView};
