//! What an entry believes of the deployment, from what it follows in the key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::authority::{AUTHORITY_KEY, LinkAuthority, PLACEMENT_KEY, SHARED_PREFIX};
use super::proofs::seek_proofs;
use super::stream::follow_keepers;
use crate::access::KeyTable;
use crate::dialect::{StoreItem, StorePage, StoreRevision, StoreValue};
use crate::exchange::EntryContext;
use crate::fact::{HelperAddress, HelperRequest, HelperService, KeeperClient, KeeperPlacement};
use crate::link::LinkEndpoint;
use crate::model::{UpstreamId, UpstreamRecord};
use crate::observe::Logbook;
use crate::routing::RouteTable;
use crate::settings::GatewaySettings;
use crate::store::{EVENT_QUEUE, EventRouter, FollowEvent, StoreClient};
use crate::upstream::UpstreamRegistry;

#[derive(Serialize)]
struct ConfigLine {
    version: u64,
    revision: StoreRevision,
    routes: usize,
    services: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    organisations: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    keys: Option<usize>,
}

#[derive(Serialize)]
struct BadEntryLine<'line> {
    upstream: &'line str,
    revision: StoreRevision,
    reason: &'line str,
}

/// Follows the configuration, the upstreams and the keepers until ended.
///
/// Returns what is still at work then: the questions of other entries that are being carried. It resolves within a
/// second; an instance that has waited for its own clients has hardly any left.
pub(super) fn follow_store(
    settings: &GatewaySettings,
    context: &Arc<EntryContext>,
    store: &StoreClient,
    registry: UpstreamRegistry,
    ended: &CancellationToken,
) -> TaskTracker {
    let helping = TaskTracker::new();
    // It may be waited for at any time; tasks are added all the same.
    helping.close();
    let (sender, events) = mpsc::channel(EVENT_QUEUE);
    tokio::spawn(seek_proofs(context.clone(), ended.clone()));
    tokio::spawn(follow_keepers(
        context.clone(),
        store.with_own_connection(),
        settings.follow_timing(),
        sender,
        ended.clone(),
    ));
    let mut router = EventRouter::new(events);
    let dialect = &context.dialect;
    let configuration = router.add(dialect.configuration_key());
    let upstreams = router.add(dialect.upstream_prefix());
    let shared = router.add(SHARED_PREFIX);
    tokio::spawn(router.run());
    tokio::spawn(take_configurations(context.clone(), configuration));
    tokio::spawn(take_upstreams(context.clone(), registry, upstreams));
    tokio::spawn(take_shared(
        context.clone(),
        settings.clone(),
        shared,
        ended.clone(),
        helping.clone(),
    ));
    helping
}

async fn take_configurations(context: Arc<EntryContext>, mut events: mpsc::Receiver<FollowEvent>) {
    while let Some(event) = events.recv().await {
        let page = match event {
            FollowEvent::All(page) | FollowEvent::Changes(page) => page,
            FollowEvent::Confirmed(moment) => {
                context.freshness.prove(moment);
                continue;
            }
            FollowEvent::Disconnected | FollowEvent::Reconnected(_) => continue,
        };
        for item in page.items {
            if item.key != context.dialect.configuration_key() {
                continue;
            }
            let readable = take_configuration(&context, &item);
            // What can't be read may withdraw a key.
            context.freshness.set_readable(readable);
            context.freshness.take_revision(item.revision);
        }
    }
}

/// Takes a configuration that is newer; returns whether it could be read.
fn take_configuration(context: &EntryContext, item: &StoreItem) -> bool {
    let value = match &item.value {
        StoreValue::Present(value) => value,
        StoreValue::Removed => {
            log::warn!("the configuration's key was removed; the last one stays in force");
            return false;
        }
        StoreValue::Unreadable(reason) => {
            log::error!(
                "revision {}: the configuration can't be read: {reason}; the last one stays in force",
                item.revision
            );
            return false;
        }
    };
    let config = match context.dialect.configuration(value) {
        Ok(config) => config,
        Err(error) => {
            log::error!("revision {}: {error}", item.revision);
            return false;
        }
    };
    let known = context.routes.load().as_ref().map(|table| table.version);
    if known.is_some_and(|known| config.version <= known) {
        return true;
    }
    let (routes, services) = (config.routes.len(), config.services.len());
    let table = RouteTable::new(config);
    let line = ConfigLine {
        version: table.version,
        revision: item.revision,
        routes,
        services,
        organisations: table.keys().map(KeyTable::organisation_count),
        keys: table.keys().map(KeyTable::key_count),
    };
    context.routes.store(Some(Arc::new(table)));
    Logbook::global().record("configuration", &line);
    true
}

async fn take_upstreams(
    context: Arc<EntryContext>,
    mut registry: UpstreamRegistry,
    mut events: mpsc::Receiver<FollowEvent>,
) {
    loop {
        let due = registry.drop_departed(Instant::now());
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
            FollowEvent::Disconnected | FollowEvent::Confirmed(_) => {}
            FollowEvent::Reconnected(_) => registry.record_store_outage(now),
            FollowEvent::All(page) => {
                let mut entries = Vec::with_capacity(page.items.len());
                for change in changes(&context, &page) {
                    match change {
                        UpstreamChange::Entry(entry) => entries.push(entry),
                        other => apply_change(&mut registry, other, now),
                    }
                }
                registry.replace(entries, now);
            }
            FollowEvent::Changes(page) => {
                for change in changes(&context, &page) {
                    apply_change(&mut registry, change, now);
                }
            }
        }
    }
}

/// What an item under the upstreams' prefix says.
enum UpstreamChange {
    Entry(UpstreamRecord),
    Gone(UpstreamId),
    /// The entry can't be read.
    Bad(UpstreamId),
}

fn apply_change(registry: &mut UpstreamRegistry, change: UpstreamChange, now: Instant) {
    match change {
        UpstreamChange::Entry(entry) => registry.put(entry, now),
        UpstreamChange::Gone(id) => registry.remove(&id, now),
        UpstreamChange::Bad(id) => registry.reject(&id, now),
    }
}

fn changes(context: &EntryContext, page: &StorePage) -> Vec<UpstreamChange> {
    let items = page.items.iter();
    items.filter_map(|item| decode(context, item)).collect()
}

fn decode(context: &EntryContext, item: &StoreItem) -> Option<UpstreamChange> {
    let id = context.dialect.upstream_id(&item.key)?;
    let reason = match &item.value {
        StoreValue::Removed => return Some(UpstreamChange::Gone(id)),
        StoreValue::Unreadable(reason) => reason.clone(),
        StoreValue::Present(value) => match context.dialect.upstream(&id, value) {
            Ok(entry) => return Some(UpstreamChange::Entry(entry)),
            Err(error) => error.reason.into(),
        },
    };
    let line = BadEntryLine {
        upstream: &id,
        revision: item.revision,
        reason: &reason,
    };
    Logbook::global().record("upstream-entry-bad", &line);
    Some(UpstreamChange::Bad(id))
}

async fn take_shared(
    context: Arc<EntryContext>,
    settings: GatewaySettings,
    mut events: mpsc::Receiver<FollowEvent>,
    ended: CancellationToken,
    helping: TaskTracker,
) {
    let placement = Arc::new(ArcSwap::from_pointee(KeeperPlacement::default()));
    while let Some(event) = events.recv().await {
        let (FollowEvent::All(page) | FollowEvent::Changes(page)) = event else {
            continue;
        };
        for item in &page.items {
            let Some(value) = item.value.bytes() else {
                continue;
            };
            match item.key.as_str() {
                AUTHORITY_KEY if context.keepers.load().is_none() => {
                    let opening =
                        open_links(&context, &settings, &placement, value, &ended, &helping);
                    if let Err(error) = opening {
                        log::error!("links to keepers can't be opened: {error:#}");
                    }
                }
                PLACEMENT_KEY => match serde_json::from_slice::<KeeperPlacement>(value) {
                    Ok(newer) => {
                        if newer.generation > placement.load().generation {
                            Logbook::global().record("placement", &newer);
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
    context: &Arc<EntryContext>,
    settings: &GatewaySettings,
    placement: &Arc<ArcSwap<KeeperPlacement>>,
    value: &[u8],
    ended: &CancellationToken,
    helping: &TaskTracker,
) -> Result<()> {
    let authority: LinkAuthority =
        serde_json::from_slice(value).context("reading the authority")?;
    let identity = authority.identity(&settings.instance.name)?;
    let links = LinkEndpoint::new(&identity)?;
    let keepers = KeeperClient::new(
        links.clone(),
        placement.clone(),
        context.metrics.clone(),
        HelperAddress {
            name: settings.instance.name.clone(),
            address: settings.listen.advertised_links(),
            domain: settings.instance.failure_domain.clone(),
        },
        context.outcomes.clone(),
    );
    tokio::spawn(keepers.clone().watch_health(ended.clone()));
    helping.spawn(help_others(
        context.clone(),
        links,
        settings.listen.links(),
        HelperService::new(keepers.clone()),
        ended.clone(),
    ));
    context.keepers.store(Some(Arc::new(keepers)));
    Ok(())
}

/// Carries questions of entries that don't reach the keepers; offers it until the instance is told to stop.
async fn help_others(
    context: Arc<EntryContext>,
    links: LinkEndpoint,
    address: SocketAddr,
    service: HelperService,
    ended: CancellationToken,
) {
    let handler = move |request: HelperRequest| {
        let service = service.clone();
        if context.is_stopping() {
            service.withdraw();
        }
        async move { service.answer(request).await }
    };
    if let Err(error) = links.serve_until(address, handler, &ended).await {
        log::error!("links can't be accepted on {address}: {error}; free the port");
    }
}
