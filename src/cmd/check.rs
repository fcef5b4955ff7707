//! `samphiregrade check`: validates a settings file or a record.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use pico_args::Arguments;
use samphiregrade::Settings;
use samphiregrade::record::RecordEnvelope;

pub const USAGE: &str = "\
Validates a settings file or a record without changing anything.

Usage: samphiregrade check [--settings FILE.toml] [--record FILE.json]
";

/// Arguments of the command.
pub struct CheckArguments {
    settings: Option<PathBuf>,
    record: Option<PathBuf>,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<CheckArguments> {
    let settings = arguments.opt_value_from_str("--settings")?;
    let record = arguments.opt_value_from_str("--record")?;
    super::finish(arguments)?;
    Ok(CheckArguments { settings, record })
}

/// Runs the command.
pub fn execute(arguments: CheckArguments) -> Result<ExitCode> {
    if arguments.settings.is_none() && arguments.record.is_none() {
        bail!("nothing to check; pass a file with --settings or --record");
    }
    if let Some(path) = arguments.settings {
        Settings::read(&path)?;
        println!("{}: the settings are valid", path.display());
    }
    if let Some(path) = arguments.record {
        let text =
            fs::read_to_string(&path).with_context(|| format!("reading {}", path.display()))?;
        let record = RecordEnvelope::parse(&text)?;
        record
            .read()
            .with_context(|| format!("checking {}", path.display()))?;
        println!(
            "{}: the record {}/{} is valid",
            path.display(),
            record.kind,
            record.name
        );
    }
    Ok(ExitCode::SUCCESS)
}
