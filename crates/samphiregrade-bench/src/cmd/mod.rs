//! The commands. Each file has a function that reads the arguments and functions that execute a command.

mod account;
mod compare;
mod measure;
mod run;

use std::process::ExitCode;

use anyhow::{Result, bail};
use pico_args::Arguments;

const USAGE: &str = "\
samphiregrade-bench, load and experiments on real instance processes

Usage: samphiregrade-bench COMMAND [OPTIONS]

Commands:
  run SCENARIO.toml [--policy NAME] [--seed N] [--json FILE] [--progress]
  compare SCENARIO.toml --policy A --policy B ... [--seeds N] [--without MECHANISM ...]
          [--json FILE] [--html FILE]
  account LOG ... [--window SECONDS] [--plot FILE.svg]   where programs lost time, by cause and moment
  capacity [--peers-only] [--json FILE]    slopes of the cost of control, for docs/CAPACITY.md
  detectors [--json FILE]   failure detectors on the same recorded delays
  overhead [--json FILE]    what an instance adds to a call, and how many it carries

Exit status: 0 when no promise was broken, 1 when one was, 2 on bad input.
";

/// Parses the command and runs it.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    }
    match arguments.subcommand()?.as_deref() {
        Some("account") => account::execute(&account::arguments(arguments)?),
        Some("run") => run::execute(&run::arguments(arguments)?),
        Some("compare") => compare::execute(&compare::arguments(arguments)?),
        Some("capacity") => measure::execute_capacity(&measure::arguments(arguments)?),
        Some("detectors") => measure::execute_detectors(&measure::arguments(arguments)?),
        Some("overhead") => measure::execute_overhead(&measure::arguments(arguments)?),
        Some(other) => bail!("there is no command `{other}`; see samphiregrade-bench --help"),
        None => {
            print!("{USAGE}");
            Ok(ExitCode::from(2))
        }
    }
}
