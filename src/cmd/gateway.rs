//! What the commands for a platform's machines share: their arguments and the start of a role.

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

/// Arguments of both commands.
pub struct GatewayArguments {
    settings: PathBuf,
}

impl GatewayArguments {
    /// Reads the arguments.
    pub fn read(mut arguments: Arguments) -> Result<Self> {
        let settings = arguments.value_from_str("--settings")?;
        super::finish(arguments)?;
        Ok(Self { settings })
    }
}

/// Runs a role with its settings and the platform's dialect.
pub fn run_role<Role, Running>(arguments: GatewayArguments, role: Role) -> Result<ExitCode>
where
    Role: FnOnce(GatewaySettings, PathBuf, Arc<dyn Dialect>) -> Running,
    Running: Future<Output = Result<()>> + 'static,
{
    block_reload_signal().context("holding reloads back")?;
    super::install_crypto();
    let path = arguments.settings;
    let settings = GatewaySettings::read(&path)?;
    let ended = run_system(role(settings, path, Arc::new(PlatformDialect)));
    // Only now: tasks that end with the system tell of requests that were still under way.
    Logbook::global().flush();
    ended?;
    Ok(ExitCode::SUCCESS)
}
