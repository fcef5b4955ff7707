//! Command line of the load and experiment tool.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("warn,ntex=off,ntex_rt=off");
    env_logger::Builder::from_env(filter)
        .format_target(false)
        .init();
    // The error is ignored: it means that a provider is already installed.
    let _ = rustls::crypto::ring::default_provider().install_default();
    match cmd::run(pico_args::Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(2)
        }
    }
}
