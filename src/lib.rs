//! A scheduler for agent programs: every accepted program finishes or is truthfully refused, no
//! side effect happens twice, whole programs complete quickly, and engines' caches are not wasted.
//!
//! A tour, from the outside to the inside:
//!
//! * [`contract`] is what callers and the system promise each other.
//! * [`instance`] is one process: it listens for callers, operators and other instances.
//! * [`record`] and [`keyvalue`] bring the operators' configuration from the key-value service.
//! * [`shard`] keeps programs in several copies and decides which of them may answer.
//! * [`storage`] keeps copies on the disks of the instances that have one.
//! * [`program`] is the pure part of that: log entries, budgets and decisions.
//! * [`scheduler`] orders and places calls; [`upstream`] carries them out.
//! * [`membership`] and [`link`] connect the instances.
//! * [`client`], [`workload`] and [`demo`] are the callers' side.
//!
//! The decisions are pure functions of a view and a time, so they can be tried without sockets:
//!
//! ```
//! use samphiregrade::program::BudgetAccount;
//!
//! let mut account = BudgetAccount::new(100);
//! account.reserve(80)?;
//! assert!(account.reserve(40).is_err());
//! account.settle(80, 30);
//! assert_eq!(account.left(), 70);
//! # Ok::<(), samphiregrade::program::BudgetExceeded>(())
//! ```

pub mod client;
pub mod contract;
pub mod demo;
pub mod ids;
pub mod instance;
pub mod keyvalue;
pub mod link;
pub mod membership;
pub mod program;
pub mod record;
pub mod scheduler;
pub mod settings;
pub mod shard;
pub mod storage;
pub mod upstream;
pub mod workload;

pub use instance::{Instance, InstanceListeners, InstanceParts};
pub use settings::Settings;
