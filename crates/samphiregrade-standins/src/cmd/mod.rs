//! The commands: one for each stand-in.

mod proxy;
mod serve;

use std::process::ExitCode;

use anyhow::{Result, bail};
use pico_args::Arguments;

const USAGE: &str = "\
samphiregrade-standins, small stand-ins for what samphiregrade talks to

Usage: samphiregrade-standins COMMAND --listen ADDRESS [OPTIONS]

Commands:
  engine        [--model NAME ...] [--slots N] [--cache-tokens N] [--ignore-fencing]
  service       [--delay-ms N] [--check-fencing] [--tell-outcome]
  weights       [--interval-ms N]
  key-value     [--reads-per-second N] [--writes-per-second N]
  instances     [--lag-ms N]
  proxy         --target ADDRESS --control ADDRESS [--udp]
";

/// Parses the command and runs it.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    }
    match arguments.subcommand()?.as_deref() {
        Some("proxy") => proxy::execute(&proxy::arguments(arguments)?),
        Some(kind @ ("engine" | "service" | "weights" | "key-value" | "instances")) => {
            serve::execute(serve::arguments(kind, arguments)?)
        }
        Some(other) => bail!("there is no stand-in `{other}`; see samphiregrade-standins --help"),
        None => {
            print!("{USAGE}");
            Ok(ExitCode::from(2))
        }
    }
}

/// Returns an error if arguments are left that no option consumed.
fn reject_unused(arguments: Arguments) -> Result<()> {
    let rest = arguments.finish();
    if let Some(first) = rest.first() {
        bail!(
            "unexpected argument `{}`; see --help",
            first.to_string_lossy()
        );
    }
    Ok(())
}
