//! `samphiregrade dump`: prints the state of a running instance.

use std::process::ExitCode;

use anyhow::{Result, ensure};
use pico_args::Arguments;
use samphiregrade_http::{HttpPool, OutgoingRequest, run_system};
use serde_json::Value;

pub const USAGE: &str = "\
Prints the complete state of a running instance as JSON.

Usage: samphiregrade dump --operators URL [--token TOKEN]
";

/// Arguments of the command.
pub struct DumpArguments {
    operators: String,
    token: Option<String>,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<DumpArguments> {
    let operators = arguments.value_from_str("--operators")?;
    let token = arguments.opt_value_from_str("--token")?;
    super::finish(arguments)?;
    Ok(DumpArguments { operators, token })
}

/// Runs the command.
pub fn execute(arguments: DumpArguments) -> Result<ExitCode> {
    run_system(async move {
        let pool = HttpPool::start(1);
        let url = format!("{}/dump", arguments.operators.trim_end_matches('/'));
        let mut request = OutgoingRequest::get(&url);
        if let Some(token) = arguments.token {
            request = request.with_header("authorization", &format!("Bearer {token}"));
        }
        let (status, state): (u16, Value) = pool.fetch_json(request).await?;
        println!("{}", serde_json::to_string_pretty(&state)?);
        ensure!(status == 200, "the instance responded with status {status}");
        Ok(ExitCode::SUCCESS)
    })
}
