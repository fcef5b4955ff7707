//! Load and experiment tool of samphiregrade.
//!
//! A [`Cluster`](cluster::Cluster) is a set of real instance processes with stand-ins around them,
//! connected through fault proxies. A [`Scenario`](scenario::Scenario) defines the load of a cluster and the
//! faults to inject; [`run_scenario`](run::run_scenario) runs it and [audits](audit) the stand-ins' own
//! logs against the responses that callers received. [`account`] finds the causes of late and failed programs in
//! instances' logs, and [`lag`] the delays of configuration changes.

pub mod account;
pub mod audit;
pub mod capacity;
pub mod cluster;
pub mod compare;
pub mod detectors;
pub mod faults;
pub mod lag;
pub mod load;
pub mod oracle;
pub mod overhead;
pub mod report;
pub mod run;
pub mod scenario;
