//! `samphiregrade-standins engine` and the other stand-ins that serve HTTP.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use ntex::server::Server;
use pico_args::Arguments;
use samphiregrade_http::run_system;
use samphiregrade_standins::engine::{EngineSettings, EngineStandin};
use samphiregrade_standins::instances::InstanceListStandin;
use samphiregrade_standins::keyvalue::{KeyValueSettings, KeyValueStandin};
use samphiregrade_standins::service::{ServiceSettings, ServiceStandin};
use samphiregrade_standins::weights::WeightStandin;
use smol_str::SmolStr;

/// The stand-in to run, with its settings.
enum StandinKind {
    /// A model engine.
    Engine(EngineSettings),
    /// A plain or tool service.
    Service(ServiceSettings),
    /// The weight store.
    Weights(Duration),
    /// The key-value service.
    KeyValue(KeyValueSettings),
    /// The instance list.
    Instances(Duration),
}

/// Arguments of the command.
pub struct ServeArguments {
    listen: SocketAddr,
    kind: StandinKind,
}

fn milliseconds(arguments: &mut Arguments, name: &'static str) -> Result<Option<Duration>> {
    let value: Option<u64> = arguments.opt_value_from_str(name)?;
    Ok(value.map(Duration::from_millis))
}

/// Parses the arguments of a kind of stand-in.
pub fn arguments(kind: &str, mut arguments: Arguments) -> Result<ServeArguments> {
    let listen = arguments.value_from_str("--listen")?;
    let kind = match kind {
        "engine" => StandinKind::Engine(engine(&mut arguments)?),
        "service" => StandinKind::Service(service(&mut arguments)?),
        "weights" => {
            let interval = milliseconds(&mut arguments, "--interval-ms")?;
            StandinKind::Weights(interval.unwrap_or(Duration::from_secs(1)))
        }
        "key-value" => StandinKind::KeyValue(key_value(&mut arguments)?),
        _ => {
            let lag = milliseconds(&mut arguments, "--lag-ms")?;
            StandinKind::Instances(lag.unwrap_or_default())
        }
    };
    super::reject_unused(arguments)?;
    Ok(ServeArguments { listen, kind })
}

fn engine(arguments: &mut Arguments) -> Result<EngineSettings> {
    let settings = EngineSettings::default();
    let models: Vec<String> = arguments.values_from_str("--model")?;
    let models: Vec<SmolStr> = models.into_iter().map(SmolStr::from).collect();
    Ok(EngineSettings {
        slots: arguments
            .opt_value_from_str("--slots")?
            .unwrap_or(settings.slots),
        cache_tokens: arguments
            .opt_value_from_str("--cache-tokens")?
            .unwrap_or(settings.cache_tokens),
        checks_fencing: !arguments.contains("--ignore-fencing"),
        models: if models.is_empty() {
            settings.models
        } else {
            models
        },
        ..EngineSettings::default()
    })
}

fn service(arguments: &mut Arguments) -> Result<ServiceSettings> {
    let delay = milliseconds(arguments, "--delay-ms")?;
    Ok(ServiceSettings {
        delay: delay.unwrap_or(ServiceSettings::default().delay),
        checks_fencing: arguments.contains("--check-fencing"),
        tells_outcome: arguments.contains("--tell-outcome"),
    })
}

fn key_value(arguments: &mut Arguments) -> Result<KeyValueSettings> {
    let settings = KeyValueSettings::default();
    Ok(KeyValueSettings {
        reads_per_second: arguments
            .opt_value_from_str("--reads-per-second")?
            .unwrap_or(settings.reads_per_second),
        writes_per_second: arguments
            .opt_value_from_str("--writes-per-second")?
            .unwrap_or(settings.writes_per_second),
    })
}

/// Runs the command until the process is terminated.
pub fn execute(arguments: ServeArguments) -> Result<ExitCode> {
    run_system(async move {
        let listener = TcpListener::bind(arguments.listen).context("listening")?;
        log::info!("listening address={}", listener.local_addr()?);
        start(arguments.kind, listener)?.await?;
        Ok(ExitCode::SUCCESS)
    })
}

fn start(kind: StandinKind, listener: TcpListener) -> std::io::Result<Server> {
    match kind {
        StandinKind::Engine(settings) => EngineStandin::new(settings).start(listener),
        StandinKind::Service(settings) => ServiceStandin::new(settings).start(listener),
        StandinKind::Weights(interval) => WeightStandin::new(interval).start(listener),
        StandinKind::KeyValue(settings) => KeyValueStandin::new(settings).start(listener),
        StandinKind::Instances(lag) => InstanceListStandin::new(lag).start(listener),
    }
}
