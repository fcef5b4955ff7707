//! A keeper instance: keeps facts on its disk and carries no traffic.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use samphiregrade_http::wire::listen;
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::authority::{AUTHORITY_KEY, LinkAuthority};
use super::member::KeeperMember;
use super::probe_server::{ProbeAnswer, serve_probes};
use super::signals::follow_signals;
use crate::dialect::{Dialect, StoreWrite};
use crate::fact::{FactDisk, KeeperEnvelope, KeeperService};
use crate::link::LinkEndpoint;
use crate::observe::{GatewayMetrics, Logbook};
use crate::settings::GatewaySettings;
use crate::store::{StoreClient, StoreFailure};

/// Pause before the key-value service is asked again for what a start needs.
const START_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for the disk at the end: a hanging one must not keep the process until it is killed.
const SETTLE_LIMIT: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct StopLine {
    /// Whether everything that was confirmed stands on disk.
    settled: bool,
    seconds: f64,
}

#[derive(Serialize)]
struct StartLine<'line> {
    role: &'static str,
    instance: &'line str,
    domain: &'line str,
    version: &'static str,
    facts: usize,
    damaged_segments: usize,
    complete: bool,
}

/// Runs a keeper instance until it is told to stop.
///
/// # Errors
///
/// What kept it from starting.
pub async fn run_keeper(
    settings: GatewaySettings,
    settings_path: PathBuf,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    let stop = follow_signals(settings_path).context("waiting for signals")?;
    let metrics = Arc::new(GatewayMetrics::new().context("making the metrics")?);
    let folder = settings
        .instance
        .data_folder
        .clone()
        .context("setting `instance.data-folder` is missing; a keeper needs a disk")?;
    let (disk, recovered) = FactDisk::open(&folder)?;
    let (facts, damaged_segments) = (recovered.facts, recovered.damaged);
    let service = KeeperService::new(
        disk,
        recovered,
        settings.instance.first_start,
        settings.organisations.limit_rule(),
    );
    let line = StartLine {
        role: "keeper",
        instance: &settings.instance.name,
        domain: &settings.instance.failure_domain,
        version: env!("CARGO_PKG_VERSION"),
        facts,
        damaged_segments,
        complete: service.is_complete(),
    };
    Logbook::global().record("start", &line);
    serve_metrics(&settings, &metrics, &stop)?;
    let store = StoreClient::new(settings.store.address, dialect.clone(), metrics);
    let answering = TaskTracker::new();
    let running = async {
        let authority = find_authority(&store, &service).await?;
        let identity = authority.identity(&settings.instance.name)?;
        let links = LinkEndpoint::new(&identity)?;
        let serving = serve_entries(links.clone(), settings.listen.links(), &service, &stop);
        answering.spawn(serving);
        let member = KeeperMember::new(settings, store, dialect, service.clone(), links);
        member.run(&stop).await;
        anyhow::Ok(())
    };
    let result = tokio::select! {
        result = running => result,
        () = stop.cancelled() => Ok(()),
    };
    // A keeper that has to end for another reason owes its answers as well.
    stop.cancel();
    leave(&service, &answering).await;
    result
}

/// Answers entries and other keepers until told to stop.
fn serve_entries(
    links: LinkEndpoint,
    address: SocketAddr,
    service: &KeeperService,
    stop: &CancellationToken,
) -> impl Future<Output = ()> + use<> {
    let (service, stop) = (service.clone(), stop.clone());
    let handler = move |envelope: KeeperEnvelope| {
        let service = service.clone();
        async move { service.answer(envelope).await }
    };
    async move {
        if let Err(error) = links.serve_until(address, handler, &stop).await {
            log::error!("links can't be accepted on {address}: {error}; free the port");
        }
    }
}

/// Stops in order: the questions that have come are answered, then what was confirmed before it was written is written.
///
/// Entries count on a majority. A keeper that ends in the middle of its answers takes some from turns that have run
/// already, and where another keeper is not quite back these are broken off.
async fn leave(service: &KeeperService, answering: &TaskTracker) {
    let since = Instant::now();
    service.mirror().release_waiters();
    answering.close();
    answering.wait().await;
    let settling = tokio::time::timeout(SETTLE_LIMIT, service.flush());
    let line = StopLine {
        settled: settling.await.unwrap_or(false),
        seconds: since.elapsed().as_secs_f64(),
    };
    Logbook::global().record("stop", &line);
}

fn serve_metrics(
    settings: &GatewaySettings,
    metrics: &Arc<GatewayMetrics>,
    stop: &CancellationToken,
) -> Result<()> {
    let listener = listen(settings.listen.metrics()).context("listening for metrics")?;
    let metrics = metrics.clone();
    let handler = move |_: &str| ProbeAnswer {
        status: 200,
        content_type: "text/plain; version=0.0.4",
        body: metrics
            .render()
            .unwrap_or_else(|error| error.to_string().into_bytes()),
    };
    tokio::spawn(serve_probes(listener, handler, stop.clone()));
    Ok(())
}

/// Returns the deployment's authority: from disk, from the key-value service, or newly made there.
async fn find_authority(store: &StoreClient, service: &KeeperService) -> Result<LinkAuthority> {
    let known = service.disk_state();
    if !known.authority.is_empty() {
        return Ok(LinkAuthority {
            certificate: known.authority.to_string(),
            key: known.authority_key.to_string(),
        });
    }
    let fresh = LinkAuthority::make()?;
    loop {
        match read_authority(store).await {
            Ok(Some(authority)) => {
                service
                    .set_authority(&authority.certificate, &authority.key)
                    .await;
                return Ok(authority);
            }
            Ok(None) => {
                let change = StoreWrite {
                    key: AUTHORITY_KEY.into(),
                    expected_revision: Some(0),
                    value: serde_json::to_vec(&fresh)?,
                };
                if let Err(error) = store.write(&change).await {
                    log::info!("authority not written: {error}");
                }
            }
            Err(error) => log::info!("authority not read: {error}"),
        }
        tokio::time::sleep(START_PAUSE).await;
    }
}

async fn read_authority(store: &StoreClient) -> Result<Option<LinkAuthority>, StoreFailure> {
    let page = store.read_all(AUTHORITY_KEY).await?;
    let item = page
        .items
        .into_iter()
        .find(|item| item.key == AUTHORITY_KEY);
    let value = item.as_ref().and_then(|item| item.value.bytes());
    Ok(value.and_then(|value| serde_json::from_slice(value).ok()))
}
