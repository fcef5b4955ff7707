//! Tests of real instance processes behind the fault proxy, with stand-ins around them.

mod bad_input;
mod callers;
mod commands;
mod disk;
mod failures;
mod guide;
mod orders;
mod process;
mod records;
mod stopping;
mod support;
mod upstreams;
