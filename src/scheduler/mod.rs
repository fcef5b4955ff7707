//! Decisions under load: which waiting call is next, where it runs, what stays cached.
//!
//! The decisions are pure functions of a view and a time: [`SchedulingPolicy`] orders and places,
//! [`Retention`](retain) and [`Admission`](admit) decide about caches and new programs. The
//! [`CallQueue`] holds the state they look at and is driven by the upstream module.

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
pub use queue::{CallQueue, ChosenJob, QueueDump, UpstreamDump, wanted_model};
pub use view::{EngineView, JobView, OrderKey, PlacementChoice};
