//! Gateway core: relays HTTP requests to upstreams, and stores the turns and budgets of agent programs durably.
//!
//! Modules, in the order in which a request uses them:
//!
//! * [`exchange`] reads a client's request, admits and dispatches it, and relays the response;
//! * [`routing`] looks up the route and the service in one snapshot of the configuration;
//! * [`access`] identifies the calling organisation, and checks whether the known keys are recent enough;
//! * [`limits`] enforces the request limits of organisations across all instances;
//! * [`upstream`] tracks the services, loads and caches of the upstreams, and chooses one;
//! * [`fact`] replicates turns and budgets to a majority of the instances with disks, and reaches those through other
//!   entries if necessary;
//! * [`store`] follows the platform's key-value service, and keeps the copy of it that keepers serve to other
//!   instances;
//! * [`dialect`] is the interface of a platform adapter: names and formats, without any decisions;
//! * [`role`] assembles these modules into entry and keeper instances;
//! * [`link`] and [`identity`] connect instances; [`observe`] provides logs and metrics.
//!
//! Decisions are pure functions, which can be tested without sockets:
//!
//! ```
//! use samphiregrade_gateway::upstream::{Candidate, WorkEstimate, choose_upstream};
//!
//! let cached = Candidate { slots: 8.0, load: 3.0, ..Candidate::default() };
//! let idle = Candidate { slots: 8.0, uncached_tokens: 14_000, ..Candidate::default() };
//! let work = WorkEstimate { slot_milliseconds: 200.0, prefill_rate: 200.0, on_engine: true };
//! assert_eq!(choose_upstream(&[idle, cached], &work, 0.5), Some(1));
//! ```

mod accept;
pub mod access;
mod byte_gate;
pub mod dialect;
pub mod exchange;
pub mod fact;
mod hold;
pub mod identity;
pub mod limits;
pub mod link;
mod mix;
pub mod model;
pub mod observe;
pub mod role;
pub mod routing;
pub mod settings;
pub mod store;
pub mod upstream;
