//! Entry instance: serves clients' requests and stores no durable state.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use samphiregrade_http::wire::listen_with_queue;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::beliefs::follow_store;
use super::departure::EntryShutdown;
use super::domain_watch::watch_domains;
use super::probe_server::{ProbeResponse, listen_for_probes, serve_probes};
use super::signals::handle_signals;
use crate::access::BootTime;
use crate::dialect::Dialect;
use crate::exchange::{EntryContext, RECEIVE_QUEUE, ShutdownTokens, TurnCache, serve_clients};
use crate::fact::KeeperPlacement;
use crate::model::UpstreamTag;
use crate::observe::{GatewayMetrics, Logbook};
use crate::settings::GatewaySettings;
use crate::store::StoreClient;
use crate::upstream::{DepartureRule, UpstreamRegistry};

/// Divisor of the machine's memory that gives the size of the turn cache.
const TURN_CACHE_DIVISOR: u64 = 10;

/// Time to finish forwarding other entries' requests at shutdown: a keeper replies within some milliseconds, and the
/// process has to exit before it is killed.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between two sweeps over idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct StartLine<'line> {
    role: &'static str,
    instance: &'line str,
    domain: &'line str,
    version: &'static str,
}

#[derive(Serialize)]
struct ReadinessLine {
    ready: bool,
    stopping: bool,
    configured: bool,
    /// Age of the newest freshness proof of the keys, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    proof_age_ms: Option<u128>,
    /// How long the instance has been unable to reach the keepers, in milliseconds.
    cut_off_ms: u128,
    /// Whether enough keepers reply.
    keepers: &'static str,
}

#[derive(Serialize)]
struct EntryDump<'dump> {
    instance: &'dump str,
    ready: bool,
    config: u64,
    open_connections: u32,
    upstreams: Vec<UpstreamDump>,
    placement: Option<KeeperPlacement>,
}

#[derive(Serialize)]
struct UpstreamDump {
    id: String,
    /// The upstream's start tag in hexadecimal, as in `upstream-doubt` log lines.
    upstream_tag: String,
    service: String,
    load: f64,
    takes_requests: bool,
    trusted: bool,
}

/// Runs an entry instance until it has shut down after a stop signal.
///
/// # Errors
///
/// Returns the error that prevented the start.
pub async fn run_entry(
    settings: GatewaySettings,
    settings_path: PathBuf,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    let ended = CancellationToken::new();
    let stop = handle_signals(settings_path).context("installing the signal handlers")?;
    let metrics = Arc::new(GatewayMetrics::new().context("creating the metrics")?);
    let registry = UpstreamRegistry::new(DepartureRule::for_drain(settings.times.drain()));
    let cache_bytes = settings.instance.memory_megabytes * 1024 * 1024 / TURN_CACHE_DIVISOR;
    let context = EntryContext::new(
        dialect.clone(),
        registry.directory(),
        metrics.clone(),
        settings.instance.failure_domain.clone(),
        TurnCache::new(usize::try_from(cache_bytes).unwrap_or(usize::MAX)),
        &settings.instance.name,
        &settings.organisations,
    );
    let context = context
        .on_machine(settings.instance.machine_limits())
        .with_learned_speeds(settings.upstreams.learn_speeds);
    let context = Arc::new(context);
    let clients = settings
        .listen
        .clients
        .context("setting `listen.clients` is missing; an entry instance requires it")?;
    let clients = listen_with_queue(clients, Some(RECEIVE_QUEUE));
    let clients = clients.context("listening for clients")?;
    serve_status(&settings, &context, &dialect, &ended)?;
    let store = StoreClient::new(settings.store.address, dialect.clone(), metrics);
    let relays = follow_store(&settings, &context, &store, registry, &ended);
    let line = StartLine {
        role: "entry",
        instance: &settings.instance.name,
        domain: &settings.instance.failure_domain,
        version: env!("CARGO_PKG_VERSION"),
    };
    Logbook::global().record("start", &line);
    let tokens = ShutdownTokens::default();
    let accepting = tokio::spawn(serve_clients(context.clone(), clients, tokens.clone()));
    tokio::spawn(sweep_connections(context.clone(), ended.clone()));
    tokio::spawn(watch_domains(context.clone(), ended.clone()));
    stop.cancelled().await;
    let shutdown = EntryShutdown::begin(context, tokens, settings.times.grace(), accepting);
    shutdown.leave_rotation().await.drain().await.abort().await;
    ended.cancel();
    if tokio::time::timeout(FORWARD_TIMEOUT, relays.wait())
        .await
        .is_err()
    {
        log::info!(
            "some forwarded requests of other entries have no reply; those entries retry elsewhere"
        );
    }
    Ok(())
}

fn serve_status(
    settings: &GatewaySettings,
    context: &Arc<EntryContext>,
    dialect: &Arc<dyn Dialect>,
    ended: &CancellationToken,
) -> Result<()> {
    if let Some(address) = settings.listen.readiness {
        let listener = listen_for_probes(address).context("listening for readiness probes")?;
        let context = context.clone();
        let ready_path = dialect.readiness_path();
        let was_ready = Arc::new(AtomicBool::new(false));
        let handler = move |path: &str| ProbeResponse {
            status: if path == ready_path && check_readiness(&context, &was_ready) {
                200
            } else {
                503
            },
            content_type: "text/plain",
            body: Vec::new(),
        };
        tokio::spawn(serve_probes(listener, handler, ended.clone()));
    }
    let listener =
        listen_for_probes(settings.listen.metrics()).context("listening for metrics requests")?;
    let context = context.clone();
    let name = settings.instance.name.clone();
    let handler = move |path: &str| answer_status_request(&context, &name, path);
    tokio::spawn(serve_probes(listener, handler, ended.clone()));
    Ok(())
}

/// Returns whether the instance is ready, and logs each change of the readiness since the previous probe.
fn check_readiness(context: &EntryContext, was_ready: &AtomicBool) -> bool {
    let ready = context.is_ready();
    if was_ready.swap(ready, Ordering::Relaxed) != ready {
        let proof_age = context.freshness.age(BootTime::now());
        let line = ReadinessLine {
            ready,
            stopping: context.is_stopping(),
            configured: context.routes.load().is_some(),
            proof_age_ms: proof_age.map(|age| age.as_millis()),
            cut_off_ms: context.cut_off_for().as_millis(),
            keepers: keeper_reach(context),
        };
        Logbook::global().record("readiness", &line);
    }
    ready
}

/// Returns the name of the instance's connection state to the keepers, for the log.
fn keeper_reach(context: &EntryContext) -> &'static str {
    match () {
        () if !context.cut_off_for().is_zero() => "cut-off",
        () if context.is_cut_off_suspected() => "suspected",
        () => "reached",
    }
}

fn answer_status_request(context: &EntryContext, name: &str, path: &str) -> ProbeResponse {
    if path == "/dump" {
        let body = serde_json::to_vec(&dump(context, name)).unwrap_or_default();
        return ProbeResponse {
            status: 200,
            content_type: "application/json",
            body,
        };
    }
    match context.metrics.render() {
        Ok(body) => ProbeResponse {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body,
        },
        Err(error) => ProbeResponse {
            status: 503,
            content_type: "text/plain",
            body: error.to_string().into_bytes(),
        },
    }
}

fn dump<'dump>(context: &EntryContext, name: &'dump str) -> EntryDump<'dump> {
    let now = Instant::now();
    let directory = context.directory.load();
    let upstreams = directory.all().map(|upstream| UpstreamDump {
        id: upstream.record.id.to_string(),
        upstream_tag: format!("{:016x}", upstream.start_tag),
        service: upstream.record.service.to_string(),
        load: upstream.load(now),
        takes_requests: upstream.takes_requests(),
        trusted: upstream.is_breaker_closed(now),
    });
    EntryDump {
        instance: name,
        ready: context.is_ready(),
        config: context
            .routes
            .load()
            .as_ref()
            .map_or(0, |table| table.version),
        open_connections: context.open_connections(),
        upstreams: upstreams.collect(),
        placement: context
            .keepers
            .load()
            .as_ref()
            .map(|keepers| keepers.placement()),
    }
}

async fn sweep_connections(context: Arc<EntryContext>, ended: CancellationToken) {
    loop {
        tokio::select! {
            () = ended.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        context.metrics.record_clients(context.clients.occupied());
        let now = Instant::now();
        let directory = context.directory.load_full();
        for upstream in directory.all() {
            upstream.sweep_idle(now);
        }
        let known: HashSet<UpstreamTag> =
            directory.all().map(|upstream| upstream.start_tag).collect();
        context.outcomes.keep_only(|tag| known.contains(&tag));
        context.speeds.keep_only(|tag| known.contains(&tag), now);
        context
            .metrics
            .record_slow_upstreams(context.speeds.slow_count(now));
    }
}
