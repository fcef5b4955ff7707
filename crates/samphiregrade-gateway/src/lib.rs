//! The core that carries ordinary HTTP requests to upstreams, and keeps what agent programs need to last.
//!
//! A tour along a request's way:
//!
//! * [`exchange`] takes a client's request, decides, dispatches it and relays the answer;
//! * [`routing`] finds its route and service in one snapshot of the configuration;
//! * [`access`] tells which organisation calls, and whether what is known of keys is fresh enough;
//! * [`limits`] keeps organisations within their request limits, over all instances;
//! * [`upstream`] knows who serves what, how loaded, with what cached, and chooses;
//! * [`fact`] keeps turns and budgets on the instances with disks, by majorities, and reaches these, through other
//!   entries where need be;
//! * [`store`] follows the platform's key-value service, and keeps what keepers pass on of it;
//! * [`dialect`] is what an adapter gives: names and formats, nothing that decides;
//! * [`role`] puts these together as entry and keeper instances;
//! * [`link`] and [`identity`] connect instances; [`observe`] tells what they do.
//!
//! Decisions are pure and can be tried without sockets:
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
