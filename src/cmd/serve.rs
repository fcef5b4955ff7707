//! `samphiregrade serve`: runs an entry instance.

use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result};
use pico_args::Arguments;
use samphiregrade::keyvalue::{EtcdGateway, InstanceList};
use samphiregrade::link::LinkIdentity;
use samphiregrade::{Instance, InstanceParts, Settings};
use samphiregrade_http::{HttpPool, run_system};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

pub const USAGE: &str = "\
Runs an entry instance until it receives SIGTERM or SIGINT, then shuts down gracefully.

Usage: samphiregrade serve --settings FILE.toml
";

/// Arguments of the command.
pub struct ServeArguments {
    settings: PathBuf,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<ServeArguments> {
    let settings = arguments.value_from_str("--settings")?;
    super::finish(arguments)?;
    Ok(ServeArguments { settings })
}

/// Runs the command.
pub fn execute(arguments: &ServeArguments) -> Result<ExitCode> {
    super::install_crypto();
    let settings = Settings::read(&arguments.settings)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.listen.runtime_threads)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    run_system(serve(settings, runtime))
}

async fn serve(settings: Settings, runtime: Runtime) -> Result<ExitCode> {
    // Installed before the first listener: once a connection can be accepted, a signal must find its handler.
    let signals = StopSignals::install()?;
    let listen = &settings.listen;
    let listening = |what: &str| format!("listening for {what}");
    let callers = TcpListener::bind(listen.callers).with_context(|| listening("callers"))?;
    let operators = TcpListener::bind(listen.operators).with_context(|| listening("operators"))?;
    let peer_socket =
        UdpSocket::bind(listen.peers).with_context(|| listening("other instances"))?;
    let pool = HttpPool::start(settings.upstreams.client_threads);
    let links = &settings.links;
    let identity = LinkIdentity::read(&links.authority, &links.certificate, &links.key)?;
    let list = match &settings.platform.instance_list {
        Some(url) => InstanceList::Url(url.clone(), pool.clone()),
        None => InstanceList::Fixed(settings.platform.instances.clone()),
    };
    let parts = InstanceParts {
        store: Arc::new(EtcdGateway::new(&settings.platform.key_value, pool.clone())),
        settings,
        identity,
        list,
        pool,
        peer_socket,
    };
    let instance = {
        let _runtime = runtime.enter();
        Instance::start(parts)?
    };
    let listeners = instance
        .listen(callers, operators)
        .context("starting the listeners")?;
    signals.wait().await;
    let clean = instance.shut_down(listeners).await;
    instance.stop();
    runtime.shutdown_background();
    log::info!("instance stopped clean={clean}");
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Signals that must not end the process before it has shut down.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    fn install() -> Result<Self> {
        let install = |kind, name: &str| {
            let message = || format!("installing the handler of {name}");
            signal(kind).with_context(message)
        };
        Ok(Self {
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
            hangup: install(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn wait(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    // SIGHUP without a handler would end the process and break all requests under way.
                    log::info!("settings are read only at start-up; ignoring SIGHUP");
                }
            }
        }
    }
}
