//! Subcommands of the command line. Each has a module with the functions `arguments` and `execute`.

mod call;
mod check;
mod demo;
mod dump;
mod entry;
mod gateway;
mod keeper;
mod keys;
mod record;
mod serve;

use std::process::ExitCode;

use anyhow::{Result, bail};
use pico_args::Arguments;

const USAGE: &str = "\
samphiregrade, a scheduler for agent programs

Usage: samphiregrade COMMAND [OPTIONS]

Commands:
  serve    run an entry instance
  entry    run an entry instance on a platform's machine
  keeper   run a keeper instance on a platform's machine with a disk
  check    validate a settings file or a record
  record   list, read and change the operators' records
  dump     print the state of a running instance
  call     run a program with prompts from the command line
  demo     run a complete small deployment in this process
  keys     create the certificates of instances

Every command takes --help. The log level is set by RUST_LOG.
";

/// Parses the command and runs it.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    let command = arguments.subcommand()?;
    let help = arguments.contains(["-h", "--help"]);
    install_log(command.as_deref());
    let Some(command) = command else {
        print!("{USAGE}");
        return Ok(if help {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(2)
        });
    };
    match command.as_str() {
        "serve" => with_help(help, serve::USAGE, || {
            serve::execute(&serve::arguments(arguments)?)
        }),
        "entry" => with_help(help, entry::USAGE, || {
            entry::execute(entry::arguments(arguments)?)
        }),
        "keeper" => with_help(help, keeper::USAGE, || {
            keeper::execute(keeper::arguments(arguments)?)
        }),
        "check" => with_help(help, check::USAGE, || {
            check::execute(check::arguments(arguments)?)
        }),
        "record" => with_help(help, record::USAGE, || {
            record::execute(record::arguments(arguments)?)
        }),
        "dump" => with_help(help, dump::USAGE, || {
            dump::execute(dump::arguments(arguments)?)
        }),
        "call" => with_help(help, call::USAGE, || {
            call::execute(call::arguments(arguments)?)
        }),
        "demo" => with_help(help, demo::USAGE, || {
            demo::execute(demo::arguments(arguments)?)
        }),
        "keys" => with_help(help, keys::USAGE, || {
            keys::execute(&keys::arguments(arguments)?)
        }),
        other => bail!("there is no command `{other}`; see samphiregrade --help"),
    }
}

fn with_help<Command>(help: bool, usage: &str, command: Command) -> Result<ExitCode>
where
    Command: FnOnce() -> Result<ExitCode>,
{
    if help {
        print!("{usage}");
        return Ok(ExitCode::SUCCESS);
    }
    command()
}

/// Refuses arguments that no option has consumed.
fn finish(arguments: Arguments) -> Result<()> {
    let remaining = arguments.finish();
    if let Some(first) = remaining.first() {
        bail!(
            "unexpected argument `{}`; see --help",
            first.to_string_lossy()
        );
    }
    Ok(())
}

/// Installs the logger: structured lines on a platform's machines, plain text elsewhere.
fn install_log(command: Option<&str>) {
    if matches!(command, Some("entry" | "keeper")) {
        samphiregrade_gateway::observe::install_logger(log::LevelFilter::Info);
        return;
    }
    let filter = env_logger::Env::default()
        .default_filter_or("info,ntex=warn,ntex_rt=warn,ntex_server=warn,ntex_io=warn");
    env_logger::Builder::from_env(filter)
        .format_target(false)
        .init();
}

/// Installs the TLS cryptography provider of the links.
fn install_crypto() {
    // Fails only if a provider is already installed in this process, which then stays in use.
    let _ = rustls::crypto::ring::default_provider().install_default();
}
