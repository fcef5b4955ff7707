//! An entry's view of the deployment, kept up to date from the key-value service.

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
use super::proofs::request_proofs;
use super::stream::follow_keepers;
use crate::access::KeyTable;
use crate::dialect::{StoreItem, StorePage, StoreRevision, StoreValue};
use crate::exchange::EntryContext;
use crate::fact::{HelperAddress, HelperRequest, HelperService, KeeperClient, KeeperPlacement};
use crate::link::{LinkEndpoint, LinkLimits};
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
struct InvalidRecordLine<'line> {
    upstream: &'line str,
    revision: StoreRevision,
    reason: &'line str,
}

/// Follows the configuration, the upstreams and the keepers until `ended` is cancelled.
///
/// Returns the tracker of the tasks that forward requests of other entries to keepers. After the cancellation these
/// tasks end within a second; an instance that has already waited for its own clients has hardly any of these tasks
/// left.
pub(super) fn follow_store(
    settings: &GatewaySettings,
    context: &Arc<EntryContext>,
    store: &StoreClient,
    registry: UpstreamRegistry,
    ended: &CancellationToken,
) -> TaskTracker {
    let relays = TaskTracker::new();
    // A closed tracker can be waited for at any time and still accepts new tasks.
    relays.close();
    let (sender, events) = mpsc::channel(EVENT_QUEUE);
    tokio::spawn(request_proofs(context.clone(), ended.clone()));
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
    tokio::spawn(apply_configurations(context.clone(), configuration));
    tokio::spawn(apply_upstreams(context.clone(), registry, upstreams));
    tokio::spawn(apply_shared_keys(
        context.clone(),
        settings.clone(),
        shared,
        ended.clone(),
        relays.clone(),
    ));
    relays
}

async fn apply_configurations(context: Arc<EntryContext>, mut events: mpsc::Receiver<FollowEvent>) {
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
            let readable = apply_configuration(&context, &item);
            // An unreadable configuration may contain the withdrawal of a key.
            context.freshness.set_readable(readable);
            context.freshness.take_revision(item.revision);
        }
    }
}

/// Applies a configuration if its version is newer; returns whether the configuration could be read.
fn apply_configuration(context: &EntryContext, item: &StoreItem) -> bool {
    let value = match &item.value {
        StoreValue::Present(value) => value,
        StoreValue::Removed => {
            log::warn!(
                "the configuration's key was removed; the previous configuration stays in force"
            );
            return false;
        }
        StoreValue::Unreadable(reason) => {
            log::error!(
                "revision {}: the configuration can't be read: {reason}; the previous one stays in force",
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

async fn apply_upstreams(
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
                let mut records = Vec::with_capacity(page.items.len());
                for change in decode_changes(&context, &page) {
                    match change {
                        UpstreamChange::Record(record) => records.push(record),
                        other => apply_change(&mut registry, other, now),
                    }
                }
                registry.replace(records, now);
            }
            FollowEvent::Changes(page) => {
                let mut changed = false;
                for change in decode_changes(&context, &page) {
                    match change {
                        UpstreamChange::Record(record) => changed |= registry.apply(record, now),
                        other => apply_change(&mut registry, other, now),
                    }
                }
                if changed {
                    registry.publish();
                }
            }
        }
    }
}

/// Change of one upstream, decoded from an item under the upstreams' prefix.
enum UpstreamChange {
    Record(UpstreamRecord),
    Removed(UpstreamId),
    /// The upstream's record can't be decoded.
    Invalid(UpstreamId),
}

fn apply_change(registry: &mut UpstreamRegistry, change: UpstreamChange, now: Instant) {
    match change {
        UpstreamChange::Record(record) => registry.put(record, now),
        UpstreamChange::Removed(id) => registry.remove(&id, now),
        UpstreamChange::Invalid(id) => registry.reject(&id, now),
    }
}

fn decode_changes(context: &EntryContext, page: &StorePage) -> Vec<UpstreamChange> {
    let items = page.items.iter();
    items
        .filter_map(|item| decode_change(context, item))
        .collect()
}

fn decode_change(context: &EntryContext, item: &StoreItem) -> Option<UpstreamChange> {
    let id = context.dialect.upstream_id(&item.key)?;
    let reason = match &item.value {
        StoreValue::Removed => return Some(UpstreamChange::Removed(id)),
        StoreValue::Unreadable(reason) => reason.clone(),
        StoreValue::Present(value) => match context.dialect.upstream(&id, value) {
            Ok(record) => return Some(UpstreamChange::Record(record)),
            Err(error) => error.reason.into(),
        },
    };
    let line = InvalidRecordLine {
        upstream: &id,
        revision: item.revision,
        reason: &reason,
    };
    Logbook::global().record("upstream-entry-bad", &line);
    Some(UpstreamChange::Invalid(id))
}

async fn apply_shared_keys(
    context: Arc<EntryContext>,
    settings: GatewaySettings,
    mut events: mpsc::Receiver<FollowEvent>,
    ended: CancellationToken,
    relays: TaskTracker,
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
                    let result =
                        set_up_links(&context, &settings, &placement, value, &ended, &relays);
                    if let Err(error) = result {
                        log::error!("the link endpoint can't be set up: {error:#}");
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
                        log::error!(
                            "the placement can't be read: {error}; run the same version on all instances"
                        );
                    }
                },
                _ => {}
            }
        }
    }
}

fn set_up_links(
    context: &Arc<EntryContext>,
    settings: &GatewaySettings,
    placement: &Arc<ArcSwap<KeeperPlacement>>,
    value: &[u8],
    ended: &CancellationToken,
    relays: &TaskTracker,
) -> Result<()> {
    let authority: LinkAuthority =
        serde_json::from_slice(value).context("reading the authority")?;
    let identity = authority.issue_identity(&settings.instance.name)?;
    let limits = LinkLimits::of(settings.instance.machine_limits());
    let links = LinkEndpoint::new(&identity)?.with_limits(limits);
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
        context.speeds.clone(),
    );
    tokio::spawn(keepers.clone().watch_health(ended.clone()));
    relays.spawn(forward_requests(
        context.clone(),
        links,
        settings.listen.links(),
        HelperService::new(keepers.clone()),
        ended.clone(),
    ));
    context.keepers.store(Some(Arc::new(keepers)));
    Ok(())
}

/// Forwards requests of entries that can't reach the keepers. Reports no reachable keepers once the instance is
/// stopping.
async fn forward_requests(
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
        log::error!("can't listen for links on {address}: {error}; free the port");
    }
}
