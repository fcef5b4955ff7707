//! The command line of samphiregrade: parses the command and runs its module.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::run(pico_args::Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}
