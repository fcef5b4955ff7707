//! The command line of the experiment tool.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("warn,ntex=off,ntex_rt=off");
    env_logger::Builder::from_env(filter)
        .format_target(false)
        .init();
    // A second installation in the same process changes nothing.
    let _ = rustls::crypto::ring::default_provider().install_default();
    match cmd::run(pico_args::Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}
