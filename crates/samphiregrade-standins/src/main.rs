//! Runs one stand-in as a separate process.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info,ntex=off,ntex_rt=off");
    env_logger::Builder::from_env(filter)
        .format_target(false)
        .init();
    match cmd::run(pico_args::Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}
