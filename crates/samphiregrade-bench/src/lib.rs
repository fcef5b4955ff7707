//! Load and experiment tool of samphiregrade.
//!
//! A [`Cluster`](cluster::Cluster) is a set of real instance processes with stand-ins around them,
//! every link through a fault proxy. A [`Scenario`](scenario::Scenario) says what load runs on it and
//! what fails when; [`run_scenario`](run::run_scenario) runs it and [audits](audit) the stand-ins' own
//! logs against what the callers were told. [`account`] reads where programs lost time from
//! instances' logs, and [`lag`] how late configurations were.

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
