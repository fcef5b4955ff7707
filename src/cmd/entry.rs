//! `samphiregrade entry`: forwards clients' requests on a platform's machine.

use std::process::ExitCode;

use anyhow::Result;
use pico_args::Arguments;
use samphiregrade_gateway::role::run_entry;

use super::gateway::{GatewayArguments, run_role};

pub const USAGE: &str = "\
Runs an entry instance on a platform's machine until it receives SIGTERM or SIGINT.

Usage: samphiregrade entry --settings FILE.toml
";

/// Parses the arguments.
pub fn arguments(arguments: Arguments) -> Result<GatewayArguments> {
    GatewayArguments::read(arguments)
}

/// Runs the command.
pub fn execute(arguments: GatewayArguments) -> Result<ExitCode> {
    run_role(arguments, run_entry)
}
