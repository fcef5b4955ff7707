//! An entry instance: carries clients' requests and keeps nothing that must last.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use samphiregrade_http::wire::listen;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::authority::{AUTHORITY_KEY, LinkAuthority, PLACEMENT_KEY, SHARED_PREFIX};
use super::probe_server::{ProbeAnswer, serve_probes};
use super::signals::{check_on_hangup, stop_on_signal};
use crate::dialect::{Dialect, StoreItem};
use crate::exchange::{EntryContext, TurnCache, serve_clients};
use crate::fact::{KeeperClient, KeeperPlacement};
use crate::link::LinkEndpoint;
use crate::observe::{GatewayMetrics, Logbook};
use crate::routing::RouteTable;
use crate::settings::GatewaySettings;
use crate::store::{FollowEvent, StoreClient, follow_prefix};
use crate::upstream::{DepartureRule, UpstreamRegistry};

/// Part of the machine's memory for chains of turns.
const TURN_CACHE_SHARE: u64 = 10;

/// Time for which changes of upstreams are gathered: upstreams start and leave in groups, and one that
/// leaves must get nothing two seconds later.
const UPSTREAM_GATHER: Duration = Duration::from_millis(300);

/// Time for which changes of the configuration are gathered: one is to be in force within two seconds.
const CONFIG_GATHER: Duration = Duration::from_millis(150);

/// Events of the key-value service that may wait.
const EVENT_QUEUE: usize = 64;

/// Time after the signal to stop within which the platform has stopped sending new connections: it asks
/// once a second and stops after two misses.
const LEAVE_ROTATION: Duration = Duration::from_secs(3);

/// Time before the kill at which what is left is given up.
const LAST_MOMENT: Duration = Duration::from_millis(700);

/// Pause between two looks at the connections that are left.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// Time between two sweeps over idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct StartLine<'line> {
    role: &'static str,
    instance: &'line str,
    domain: &'line str,
    version: &'static str,
}

#[derive(Serialize)]
struct ConfigLine {
    version: u64,
    routes: usize,
    services: usize,
}

#[derive(Serialize)]
struct StopLine {
    open_connections: u32,
    seconds: f64,
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
    service: String,
    load: f64,
    takes_requests: bool,
    trusted: bool,
}

/// Runs an entry instance until it is told to stop.
///
/// # Errors
///
/// What kept it from starting.
pub async fn run_entry(
    settings: GatewaySettings,
    settings_path: PathBuf,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    let stop = CancellationToken::new();
    let ended = CancellationToken::new();
    stop_on_signal(stop.clone()).context("waiting for signals")?;
    check_on_hangup(settings_path).context("waiting for signals")?;
    let metrics = Arc::new(GatewayMetrics::new().context("making the metrics")?);
    let registry = UpstreamRegistry::new(DepartureRule::for_drain(settings.times.drain()));
    let cache_bytes = settings.instance.memory_megabytes * 1024 * 1024 / TURN_CACHE_SHARE;
    let context = Arc::new(EntryContext::new(
        dialect.clone(),
        registry.directory(),
        metrics.clone(),
        settings.instance.failure_domain.clone(),
        TurnCache::new(usize::try_from(cache_bytes).unwrap_or(usize::MAX)),
    ));
    let clients = settings
        .listen
        .clients
        .context("setting `listen.clients` is missing; an entry needs it")?;
    let clients = listen(clients).context("listening for clients")?;
    serve_questions(&settings, &context, &dialect, &ended)?;
    let store = StoreClient::new(settings.store.address, dialect.clone(), metrics);
    follow_store(&settings, &context, &store, registry, &ended);
    let line = StartLine {
        role: "entry",
        instance: &settings.instance.name,
        domain: &settings.instance.failure_domain,
        version: env!("CARGO_PKG_VERSION"),
    };
    Logbook::of_process().record("start", &line);
    let close_idle = CancellationToken::new();
    let serving = serve_clients(context.clone(), clients, ended.clone(), close_idle.clone());
    tokio::spawn(serving);
    tokio::spawn(sweep_connections(context.clone(), ended.clone()));
    stop.cancelled().await;
    leave(&context, settings.times.grace(), &close_idle).await;
    ended.cancel();
    Ok(())
}

/// Stops in order: out of rotation, then the connections, then the process.
async fn leave(context: &EntryContext, grace: Duration, close_idle: &CancellationToken) {
    let since = Instant::now();
    context.set_stopping();
    log_stop("stopping", context, since);
    let last = grace.saturating_sub(LAST_MOMENT);
    let rotation = LEAVE_ROTATION.min(last / 2);
    while since.elapsed() < last {
        if since.elapsed() >= rotation {
            close_idle.cancel();
            if context.open_connections() == 0 {
                break;
            }
        }
        tokio::time::sleep(STOP_PAUSE).await;
    }
    log_stop("stop", context, since);
    Logbook::of_process().flush();
}

fn log_stop(event: &'static str, context: &EntryContext, since: Instant) {
    let line = StopLine {
        open_connections: context.open_connections(),
        seconds: since.elapsed().as_secs_f64(),
    };
    Logbook::of_process().record(event, &line);
}

fn serve_questions(
    settings: &GatewaySettings,
    context: &Arc<EntryContext>,
    dialect: &Arc<dyn Dialect>,
    ended: &CancellationToken,
) -> Result<()> {
    if let Some(address) = settings.listen.readiness {
        let listener = listen(address).context("listening for readiness")?;
        let context = context.clone();
        let ready_path = dialect.readiness_path();
        let handler = move |path: &str| ProbeAnswer {
            status: if path == ready_path && context.is_ready() {
                200
            } else {
                503
            },
            content_type: "text/plain",
            body: Vec::new(),
        };
        tokio::spawn(serve_probes(listener, handler, ended.clone()));
    }
    let listener = listen(settings.listen.metrics()).context("listening for metrics")?;
    let context = context.clone();
    let name = settings.instance.name.clone();
    let handler = move |path: &str| answer_operator(&context, &name, path);
    tokio::spawn(serve_probes(listener, handler, ended.clone()));
    Ok(())
}

fn answer_operator(context: &EntryContext, name: &str, path: &str) -> ProbeAnswer {
    if path == "/dump" {
        let body = serde_json::to_vec(&dump(context, name)).unwrap_or_default();
        return ProbeAnswer {
            status: 200,
            content_type: "application/json",
            body,
        };
    }
    match context.metrics.render() {
        Ok(body) => ProbeAnswer {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body,
        },
        Err(error) => ProbeAnswer {
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
        id: upstream.entry.id.to_string(),
        service: upstream.entry.service.to_string(),
        load: upstream.load(now),
        takes_requests: upstream.takes_requests(),
        trusted: upstream.is_trusted(now),
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

fn follow_store(
    settings: &GatewaySettings,
    context: &Arc<EntryContext>,
    store: &StoreClient,
    registry: UpstreamRegistry,
    ended: &CancellationToken,
) {
    let follow = |prefix: &'static str, gather: Duration| {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        tokio::spawn(follow_prefix(
            store.separate(),
            prefix,
            gather,
            sender,
            ended.clone(),
        ));
        events
    };
    let dialect = &context.dialect;
    let configuration = follow(dialect.configuration_key(), CONFIG_GATHER);
    let upstreams = follow(dialect.upstream_prefix(), UPSTREAM_GATHER);
    let shared = follow(SHARED_PREFIX, CONFIG_GATHER);
    tokio::spawn(take_configurations(context.clone(), configuration));
    tokio::spawn(take_upstreams(context.clone(), registry, upstreams));
    tokio::spawn(take_shared(
        context.clone(),
        settings.clone(),
        shared,
        ended.clone(),
    ));
}

async fn take_configurations(context: Arc<EntryContext>, mut events: mpsc::Receiver<FollowEvent>) {
    while let Some(event) = events.recv().await {
        let (FollowEvent::All(page) | FollowEvent::Changes(page)) = event else {
            continue;
        };
        for item in page.items {
            if item.key != context.dialect.configuration_key() {
                continue;
            }
            take_configuration(&context, &item);
        }
    }
}

fn take_configuration(context: &EntryContext, item: &StoreItem) {
    let Some(value) = &item.value else {
        log::warn!("the configuration's key was removed; the last one stays in force");
        return;
    };
    let config = match context.dialect.configuration(value) {
        Ok(config) => config,
        Err(error) => {
            log::error!("revision {}: {error}", item.revision);
            return;
        }
    };
    let known = context.routes.load().as_ref().map(|table| table.version);
    if known.is_some_and(|known| config.version <= known) {
        return;
    }
    let line = ConfigLine {
        version: config.version,
        routes: config.routes.len(),
        services: config.services.len(),
    };
    context
        .routes
        .store(Some(Arc::new(RouteTable::new(config))));
    Logbook::of_process().record("configuration", &line);
}

async fn take_upstreams(
    context: Arc<EntryContext>,
    mut registry: UpstreamRegistry,
    mut events: mpsc::Receiver<FollowEvent>,
) {
    loop {
        let due = registry.settle(Instant::now());
        let event = match due {
            None => events.recv().await,
            Some(due) => match tokio::time::timeout_at(due.into(), events.recv()).await {
                Ok(event) => event,
                Err(_) => continue,
            },
        };
        let Some(event) = event else {
            return;
        };
        let now = Instant::now();
        match event {
            FollowEvent::Lost => {}
            FollowEvent::Regained(_) => registry.unsettle(now),
            FollowEvent::All(page) => {
                let entries = page.items.iter().filter_map(|item| decode(&context, item));
                registry.replace(entries.collect(), now);
            }
            FollowEvent::Changes(page) => {
                for item in &page.items {
                    apply_change(&context, &mut registry, item, now);
                }
            }
        }
    }
}

fn apply_change(
    context: &EntryContext,
    registry: &mut UpstreamRegistry,
    item: &StoreItem,
    now: Instant,
) {
    if item.value.is_some() {
        if let Some(entry) = decode(context, item) {
            registry.put(entry, now);
        }
        return;
    }
    if let Some(id) = context.dialect.upstream_of(&item.key) {
        registry.remove(&id, now);
    }
}

fn decode(context: &EntryContext, item: &StoreItem) -> Option<crate::model::UpstreamEntry> {
    let id = context.dialect.upstream_of(&item.key)?;
    match context.dialect.upstream(&id, item.value.as_ref()?) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::error!("key {}: {error}", item.key);
            None
        }
    }
}

async fn take_shared(
    context: Arc<EntryContext>,
    settings: GatewaySettings,
    mut events: mpsc::Receiver<FollowEvent>,
    ended: CancellationToken,
) {
    let placement = Arc::new(ArcSwap::from_pointee(KeeperPlacement::default()));
    while let Some(event) = events.recv().await {
        let (FollowEvent::All(page) | FollowEvent::Changes(page)) = event else {
            continue;
        };
        for item in &page.items {
            let Some(value) = &item.value else {
                continue;
            };
            match item.key.as_str() {
                AUTHORITY_KEY if context.keepers.load().is_none() => {
                    if let Err(error) = open_links(&context, &settings, &placement, value, &ended) {
                        log::error!("links to keepers can't be opened: {error:#}");
                    }
                }
                PLACEMENT_KEY => match serde_json::from_slice::<KeeperPlacement>(value) {
                    Ok(newer) => {
                        if newer.generation > placement.load().generation {
                            Logbook::of_process().record("placement", &newer);
                            placement.store(Arc::new(newer));
                        }
                    }
                    Err(error) => {
                        log::error!("the placement can't be read: {error}; run one version");
                    }
                },
                _ => {}
            }
        }
    }
}

fn open_links(
    context: &EntryContext,
    settings: &GatewaySettings,
    placement: &Arc<ArcSwap<KeeperPlacement>>,
    value: &[u8],
    ended: &CancellationToken,
) -> Result<()> {
    let authority: LinkAuthority =
        serde_json::from_slice(value).context("reading the authority")?;
    let identity = authority.identity(&settings.instance.name)?;
    let links = LinkEndpoint::new(&identity)?;
    let keepers = KeeperClient::new(
        links,
        placement.clone(),
        context.metrics.clone(),
        settings.instance.failure_domain.clone(),
    );
    tokio::spawn(keepers.clone().watch_health(ended.clone()));
    context.keepers.store(Some(Arc::new(keepers)));
    Ok(())
}

async fn sweep_connections(context: Arc<EntryContext>, ended: CancellationToken) {
    loop {
        tokio::select! {
            () = ended.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        let now = Instant::now();
        let directory = context.directory.load_full();
        for upstream in directory.all() {
            upstream.sweep_idle(now);
        }
    }
}
