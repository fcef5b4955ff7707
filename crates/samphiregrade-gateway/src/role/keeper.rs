//! Keeper instance: stores facts on its disk and serves no client traffic.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::authority::{AUTHORITY_KEY, LinkAuthority};
use super::member::KeeperMember;
use super::probe_server::{ProbeResponse, listen_for_probes, serve_probes};
use super::signals::handle_signals;
use crate::dialect::{Dialect, StoreWrite};
use crate::fact::{FactDisk, KeeperEnvelope, KeeperService};
use crate::link::{LinkEndpoint, LinkLimits};
use crate::observe::{GatewayMetrics, Logbook};
use crate::settings::GatewaySettings;
use crate::store::{StoreClient, StoreFailure};

/// Delay before the key-value service is queried again for the authority that a start needs.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest wait for the disk at shutdown: a hanging disk must not delay the exit until the process is killed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct StopLine {
    /// Whether all acknowledged facts are on disk.
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

/// Runs a keeper instance until it has shut down after a stop signal.
///
/// # Errors
///
/// Returns the error that prevented the start.
pub async fn run_keeper(
    settings: GatewaySettings,
    settings_path: PathBuf,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    let stop = handle_signals(settings_path).context("installing the signal handlers")?;
    let metrics = Arc::new(GatewayMetrics::new().context("creating the metrics")?);
    let folder =
        settings.instance.data_folder.clone().context(
            "setting `instance.data-folder` is missing; a keeper instance requires a disk",
        )?;
    let (disk, recovered) = FactDisk::open(&folder)?;
    let (facts, damaged_segments) = (recovered.facts, recovered.damaged);
    let service = KeeperService::new(
        disk,
        recovered,
        settings.instance.first_start,
        settings.organisations.limit_rule(),
    );
    let service = service.on_machine(settings.instance.machine_limits());
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
    let tasks = TaskTracker::new();
    let running = async {
        let authority = obtain_authority(&store, &service).await?;
        let identity = authority.issue_identity(&settings.instance.name)?;
        let limits = LinkLimits::of(settings.instance.machine_limits());
        let links = LinkEndpoint::new(&identity)?.with_limits(limits);
        let serving = serve_entries(links.clone(), settings.listen.links(), &service, &stop);
        tasks.spawn(serving);
        let member = KeeperMember::new(settings, store, dialect, service.clone(), links);
        member.run(&stop).await;
        anyhow::Ok(())
    };
    let result = tokio::select! {
        result = running => result,
        () = stop.cancelled() => Ok(()),
    };
    // A keeper that ends because of an error also finishes its replies.
    stop.cancel();
    shut_down(&service, &tasks).await;
    result
}

/// Serves requests of entries and other keepers until `stop` is cancelled.
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
            log::error!("can't listen for links on {address}: {error}; free the port");
        }
    }
}

/// Shuts down in order: replies to all received requests, then writes the facts that were acknowledged before they were
/// on disk.
///
/// Entries rely on replies of a majority. A keeper that exits while requests are pending withholds replies from turns
/// that have already run, and if another keeper is not fully back yet, these turns are aborted.
async fn shut_down(service: &KeeperService, tasks: &TaskTracker) {
    let since = Instant::now();
    service.mirror().release_waiters();
    service.proofs().release_waiters();
    tasks.close();
    tasks.wait().await;
    let flushing = tokio::time::timeout(FLUSH_TIMEOUT, service.flush());
    let line = StopLine {
        settled: flushing.await.unwrap_or(false),
        seconds: since.elapsed().as_secs_f64(),
    };
    Logbook::global().record("stop", &line);
}

fn serve_metrics(
    settings: &GatewaySettings,
    metrics: &Arc<GatewayMetrics>,
    stop: &CancellationToken,
) -> Result<()> {
    let listener =
        listen_for_probes(settings.listen.metrics()).context("listening for metrics requests")?;
    let metrics = metrics.clone();
    let handler = move |_: &str| ProbeResponse {
        status: 200,
        content_type: "text/plain; version=0.0.4",
        body: metrics
            .render()
            .unwrap_or_else(|error| error.to_string().into_bytes()),
    };
    tokio::spawn(serve_probes(listener, handler, stop.clone()));
    Ok(())
}

/// Returns the deployment's authority: from disk, from the key-value service, or newly generated and stored there.
async fn obtain_authority(store: &StoreClient, service: &KeeperService) -> Result<LinkAuthority> {
    let known = service.disk_state();
    if !known.authority.is_empty() {
        return Ok(LinkAuthority {
            certificate: known.authority.to_string(),
            key: known.authority_key.to_string(),
        });
    }
    let fresh = LinkAuthority::generate()?;
    loop {
        match read_authority(store).await {
            Ok(Some(authority)) => {
                service
                    .set_authority(&authority.certificate, &authority.key)
                    .await;
                return Ok(authority);
            }
            Ok(None) => {
                let write = StoreWrite {
                    key: AUTHORITY_KEY.into(),
                    expected_revision: Some(0),
                    value: serde_json::to_vec(&fresh)?,
                };
                if let Err(error) = store.write(&write).await {
                    log::info!("the link authority was not written: {error}; retrying");
                }
            }
            Err(error) => log::info!("the link authority was not read: {error}; retrying"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
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
