//! Tests of real instance processes behind the fault proxy, with stand-ins for the other components.

mod bad_input;
mod callers;
mod commands;
mod disk;
mod failures;
mod guide;
mod key_value;
mod orders;
mod process;
mod programs;
mod records;
mod settings;
mod stopping;
mod streams;
mod support;
mod upstreams;
