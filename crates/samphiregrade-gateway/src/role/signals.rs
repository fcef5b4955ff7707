//! Signal handling: stop on SIGTERM and SIGINT, settings check on SIGHUP.

use std::path::{Path, PathBuf};

use nix::sys::signal::{SigSet, Signal};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::observe::Logbook;
use crate::settings::GatewaySettings;

#[derive(Serialize)]
struct ReloadLine {
    valid: bool,
    detail: String,
}

/// Blocks SIGHUP until its handler is installed: the system ends a process that receives SIGHUP without a handler, and
/// a platform that changes settings reloads all instances, including those that are just starting.
///
/// Must be called first on the main thread. Threads that are started in the meantime inherit the blocked signal for
/// good, so SIGHUP is delivered to the main thread.
///
/// # Errors
///
/// Returns the system's error if the signal can't be blocked.
pub fn block_reload_signal() -> std::io::Result<()> {
    Ok(reload_signals().thread_block()?)
}

fn reload_signals() -> SigSet {
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGHUP);
    signals
}

/// Installs the signal handlers; returns the token that the first SIGTERM or SIGINT cancels.
///
/// # Errors
///
/// Returns the system's error if a handler can't be installed.
pub fn handle_signals(settings_path: PathBuf) -> std::io::Result<CancellationToken> {
    let stop = CancellationToken::new();
    stop_on_signal(stop.clone())?;
    check_on_hangup(settings_path)?;
    Ok(stop)
}

/// Cancels the token on the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error if a handler can't be installed.
fn stop_on_signal(stop: CancellationToken) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(())
}

/// Checks the settings file on each SIGHUP and logs the result.
///
/// Addresses, names and folders are read only at the start, so a reload changes nothing in the running instance.
///
/// # Errors
///
/// Returns the system's error if the handler can't be installed.
fn check_on_hangup(path: PathBuf) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    reload_signals().thread_unblock()?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            check_settings(&path);
        }
    });
    Ok(())
}

fn check_settings(path: &Path) {
    let line = match GatewaySettings::read(path) {
        Ok(_) => ReloadLine {
            valid: true,
            detail: "takes effect at the next start".to_owned(),
        },
        Err(error) => ReloadLine {
            valid: false,
            detail: error.to_string(),
        },
    };
    Logbook::global().record("settings-reload", &line);
}
