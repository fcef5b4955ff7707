//! Arguments and role start-up shared by `entry` and `keeper`, the commands for a platform's machines.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use pico_args::Arguments;
use samphiregrade_gateway::dialect::Dialect;
use samphiregrade_gateway::observe::Logbook;
use samphiregrade_gateway::role::block_reload_signal;
use samphiregrade_gateway::settings::GatewaySettings;
use samphiregrade_http::run_system;
use samphiregrade_platform::PlatformDialect;

/// Arguments of `entry` and `keeper`.
pub struct GatewayArguments {
    settings: PathBuf,
}

impl GatewayArguments {
    /// Parses the arguments.
    pub fn read(mut arguments: Arguments) -> Result<Self> {
        let settings = arguments.value_from_str("--settings")?;
        super::finish(arguments)?;
        Ok(Self { settings })
    }
}

/// Runs a role with its settings file and the platform's dialect.
pub fn run_role<Role, Running>(arguments: GatewayArguments, role: Role) -> Result<ExitCode>
where
    Role: FnOnce(GatewaySettings, PathBuf, Arc<dyn Dialect>) -> Running,
    Running: Future<Output = Result<()>> + 'static,
{
    block_reload_signal().context("blocking the reload signal")?;
    super::install_crypto();
    let path = arguments.settings;
    let settings = GatewaySettings::read(&path)?;
    let result = run_system(role(settings, path, Arc::new(PlatformDialect)));
    // Flushes only here: tasks dropped with the system still log the requests that they had under way.
    Logbook::global().flush();
    result?;
    Ok(ExitCode::SUCCESS)
}
