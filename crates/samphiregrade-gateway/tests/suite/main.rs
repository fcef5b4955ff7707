//! Tests of the gateway's decisions and durable state, without a platform.

mod access;
mod balance;
mod disk;
mod events;
mod facts;
mod health;
mod helpers;
mod hot_organisation;
mod keepers;
mod keepers_model;
mod limits;
mod link;
mod membership;
mod mirror;
mod news;
mod outcomes;
mod panics;
mod rank;
mod routing;
mod run_table;
mod service_times;
mod settings;
mod silence;
mod turn_cache;
mod upstreams;
mod waiting;
