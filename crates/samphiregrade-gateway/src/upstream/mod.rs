//! Upstreams as this instance sees them: which ones are registered, their load, and what they have cached.

mod balance;
mod breaker;
mod cache;
mod directory;
mod homes;
mod outcome_board;
mod outcomes;
mod peer;
mod rank;
mod run_table;
mod service_times;
mod silence;
mod speed;
mod speed_board;
mod speed_estimate;

pub use balance::{
    Candidate, ContentionEstimate, ContentionView, LoadView, SLOW_UPSTREAM, WorkEstimate,
    choose_upstream, estimate_loads, mean_excess,
};
pub use breaker::{BreakerState, UpstreamBreaker};
pub use cache::PrefixCache;
pub use directory::{DepartureRule, REREGISTRATION_TIME, UpstreamDirectory, UpstreamRegistry};
pub use homes::{HomeRanking, PrefixShares, SharedPrefix, rank_homes};
pub use outcome_board::OutcomeTracker;
pub use outcomes::{Outcome, OutcomeCounts, OutcomeDelta, OutcomeTable, UpstreamSuspect};
pub use peer::{DomainMonitor, HeadWait, InFlightGuard, PathProbe, Upstream};
pub use rank::{ProgramProgress, TurnPace, UrgencyClass, turn_rank};
pub use run_table::{AccountQuery, RunEnd, RunNumber, RunStart, RunTable, UpstreamAccount};
pub use service_times::{AnsweredRequest, RunningMedian, ServiceTimes};
pub use silence::{ResponseMonitor, WaitNumber};
pub use speed::{KnownSpeed, SampleSource, SpeedReport, SpeedSample, SpeedTable, UpstreamSpeed};
pub use speed_board::SpeedBoard;
