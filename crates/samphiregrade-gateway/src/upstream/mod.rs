//! Upstreams as this instance sees them: which ones are registered, their load, and what they have cached.

mod affinity;
mod affinity_board;
mod balance;
mod break_cause;
mod breaker;
mod cache;
mod contention;
mod directory;
mod fair_share;
mod homes;
mod outcome_board;
mod outcomes;
mod peer;
mod rank;
mod run_table;
mod service_times;
mod share_board;
mod silence;
mod speed;
mod speed_board;
mod speed_estimate;
mod survival;

pub use affinity::{
    AffinityGain, AffinityPlan, AffinityRole, AffinitySample, MAX_GAIN, ObjectTag, UnixSeconds,
    rank_for_object, surcharges,
};
pub use affinity_board::{AffinityTracker, PlannedAffinity};
pub use balance::{
    Candidate, ContentionEstimate, ContentionView, LoadView, SLOW_UPSTREAM, WorkEstimate,
    choose_upstream, estimate_loads, mean_excess,
};
pub use break_cause::BreakCause;
pub use breaker::{BreakerState, UpstreamBreaker};
pub use cache::PrefixCache;
pub use contention::UsualContention;
pub use directory::{DepartureRule, REREGISTRATION_TIME, UpstreamDirectory, UpstreamRegistry};
pub use fair_share::{
    OrganisationShare, ShareLevel, SlotUse, WorkClaim, WorkTable, max_min_share, run_work,
};
pub use homes::{HomeRanking, PrefixShares, SharedPrefix, rank_homes};
pub use outcome_board::OutcomeTracker;
pub use outcomes::{Outcome, OutcomeCounts, OutcomeDelta, OutcomeTable, UpstreamSuspect};
pub use peer::{DomainMonitor, HeadWait, InFlightGuard, PathProbe, Upstream};
pub use rank::{ProgramProgress, TurnPace, UrgencyClass, turn_rank};
pub use run_table::{AccountQuery, RunEnd, RunNumber, RunStart, RunTable, UpstreamAccount};
pub use service_times::{AnsweredRequest, RunningMedian, ServiceTimes};
pub use share_board::ShareBoard;
pub use silence::{ResponseMonitor, WaitNumber};
pub use speed::{KnownSpeed, SampleSource, SpeedReport, SpeedSample, SpeedTable, UpstreamSpeed};
pub use speed_board::SpeedBoard;
pub use survival::{LifeEvidence, LifeQuery, LifeSign};
