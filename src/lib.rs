//! A scheduler for agent programs: every accepted program finishes or gets an accurate refusal, no side
//! effect happens twice, programs complete quickly as a whole, and engines' caches are not wasted.
//!
//! The modules, from the outside to the inside:
//!
//! * [`contract`] defines the requests and responses of the callers' interface.
//! * [`instance`] is one process: it listens for callers, operators and other instances.
//! * [`record`] and [`keyvalue`] read the operators' configuration from the key-value service.
//! * [`shard`] replicates programs and decides which copy may respond.
//! * [`storage`] stores copies on the disks of the instances that have one.
//! * [`program`] holds the logic of programs without I/O: log entries, budgets and decisions.
//! * [`scheduler`] orders and places calls; [`upstream`] sends them.
//! * [`membership`] and [`link`] connect the instances.
//! * [`client`], [`workload`] and [`demo`] are the callers' side.
//!
//! The decisions are pure functions of a view and a time, so they can be tested without sockets:
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
