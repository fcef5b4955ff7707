//! A keeper instance: keeps facts on its disk and carries no traffic.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use samphiregrade_http::wire::listen;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::authority::{AUTHORITY_KEY, LinkAuthority};
use super::member::KeeperMember;
use super::probe_server::{ProbeAnswer, serve_probes};
use super::signals::follow_signals;
use crate::dialect::{Dialect, StoreChange};
use crate::fact::{FactDisk, KeeperEnvelope, KeeperService};
use crate::link::LinkEndpoint;
use crate::observe::{GatewayMetrics, Logbook};
use crate::settings::GatewaySettings;
use crate::store::{StoreClient, StoreFailure};

/// Pause before the key-value service is asked again for what a start needs.
const START_PAUSE: Duration = Duration::from_millis(150);

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
    let service = KeeperService::new(disk, recovered, settings.instance.first_start);
    let line = StartLine {
        role: "keeper",
        instance: &settings.instance.name,
        domain: &settings.instance.failure_domain,
        version: env!("CARGO_PKG_VERSION"),
        facts,
        damaged_segments,
        complete: service.is_complete(),
    };
    Logbook::of_process().record("start", &line);
    serve_metrics(&settings, &metrics, &stop)?;
    let store = StoreClient::new(settings.store.address, dialect.clone(), metrics);
    let running = async {
        let authority = find_authority(&store, &service).await?;
        let identity = authority.identity(&settings.instance.name)?;
        let links = LinkEndpoint::new(&identity)?;
        let answering = service.clone();
        let serving = links.clone();
        let address = settings.listen.links();
        tokio::spawn(async move {
            let handler = move |envelope: KeeperEnvelope| {
                let service = answering.clone();
                async move { service.answer(envelope).await }
            };
            if let Err(error) = serving.serve(address, handler).await {
                log::error!("links can't be accepted on {address}: {error}; free the port");
            }
        });
        let member = KeeperMember::new(settings, store, dialect, service, links);
        member.run(&stop).await;
        anyhow::Ok(())
    };
    tokio::select! {
        result = running => result?,
        () = stop.cancelled() => {}
    }
    Logbook::of_process().record("stop", &());
    Ok(())
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
                let change = StoreChange {
                    key: AUTHORITY_KEY.into(),
                    expected: Some(0),
                    value: serde_json::to_vec(&fresh)?,
                };
                if let Err(error) = store.change(&change).await {
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
