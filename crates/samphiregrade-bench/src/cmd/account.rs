//! `samphiregrade-bench account`: reports late programs and late configurations from instances' logs.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use pico_args::Arguments;
use samphiregrade_bench::account::LossAccount;
use samphiregrade_bench::lag::LagAccount;

/// Default length of a window in seconds; short enough that most programs of a window are affected by the same fault.
const DEFAULT_WINDOW: f64 = 2.0;

/// Arguments of the command.
pub struct AccountArguments {
    logs: Vec<PathBuf>,
    window: f64,
    plot: Option<PathBuf>,
}

/// Reads the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<AccountArguments> {
    let window = arguments
        .opt_value_from_str("--window")?
        .unwrap_or(DEFAULT_WINDOW);
    let plot = arguments.opt_value_from_str("--plot")?;
    let logs: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    ensure!(!logs.is_empty(), "name at least one log file");
    ensure!(
        (0.1..=3600.0).contains(&window),
        "--window is out of range; use 0.1 to 3600 seconds"
    );
    Ok(AccountArguments { logs, window, plot })
}

/// Runs the command.
pub fn execute(arguments: &AccountArguments) -> Result<ExitCode> {
    let mut texts = Vec::with_capacity(arguments.logs.len());
    for path in &arguments.logs {
        let bytes = fs::read(path).with_context(|| format!("reading {}", path.display()))?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let lines = texts.iter().flat_map(|text| text.lines());
    let account = LossAccount::read(lines.clone(), arguments.window);
    print!("{}", account.table());
    print!("{}", LagAccount::read(lines).table());
    if let Some(path) = &arguments.plot {
        let svg = account.plot()?;
        fs::write(path, svg).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
