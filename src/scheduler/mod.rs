//! Scheduling decisions: which waiting call runs next, on which upstream, and which prefixes stay cached.
//!
//! The decisions depend only on a view of the state and a time: [`SchedulingPolicy`] orders and places calls,
//! [`Retention`](retain) decides which prefixes engines hold, and [`Admission`](admit) whether a new program starts.
//! [`CallQueue`] keeps the state that the views are made from; the upstream module drives it.

pub mod admit;
mod baseline;
mod learn;
mod place;
mod policy;
mod queue;
pub mod retain;
mod view;

pub use baseline::{LeastLoadedPolicy, RoundRobinPolicy, StickyPolicy};
pub use learn::{ClassHistory, ClassLearner};
pub use policy::{ProgramPolicy, SchedulingPolicy, make_policy};
pub use queue::{CallEnd, CallQueue, ChosenJob, QueueDump, UpstreamDump, wanted_model};
pub use view::{EngineView, JobView, OrderKey, PlacementChoice};
