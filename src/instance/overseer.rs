//! Maintains the shard map of the own failure domain: creates its first version and restarts lost shards.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use smol_str::format_smolstr;

use super::InstanceState;
use crate::ids::{InstanceRef, ShardId};
use crate::keyvalue::SwapOutcome;
use crate::link::{LinkError, PeerReply, PeerRequest};
use crate::shard::{LogPosition, MapChange, ShardPlacement, VersionedMap, initial_map, map_key};

/// Time between two checks of the map.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout for reading from a peer which copy of a shard its disk holds.
const DISK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start for discovering the other instances of the failure domain.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// Creates the first map, and restarts shards that have no copy left, until the instance stops.
pub async fn oversee_maps(state: Arc<InstanceState>) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = state.stop.cancelled() => return,
        }
        if state.is_draining() || !state.has_first_name() {
            continue;
        }
        let domain = &state.settings.instance.failure_domain;
        if state.maps.map(domain).is_none() {
            if state.started.elapsed() >= DISCOVERY_TIME {
                create_first_map(&state).await;
            }
            continue;
        }
        restart_lost_shards(&state).await;
    }
}

impl InstanceState {
    /// Returns whether this instance's name sorts before those of the other live instances of its failure domain.
    fn has_first_name(&self) -> bool {
        let view = self.peers.view();
        let live = view.live_in(&view.domain, Instant::now());
        live.iter().all(|peer| peer.instance.name > view.me.name)
    }
}

async fn create_first_map(state: &InstanceState) {
    let view = state.peers.view();
    let now = Instant::now();
    let mut local: Vec<InstanceRef> = vec![view.me.clone()];
    local.extend(
        view.live_in(&view.domain, now)
            .iter()
            .map(|peer| peer.instance.clone()),
    );
    let mut remote: Vec<InstanceRef> = view
        .peers()
        .filter(|peer| peer.domain != view.domain && peer.last_response.is_some() && !peer.leaving)
        .filter(|peer| !view.suspects(&peer.instance, now))
        .map(|peer| peer.instance.clone())
        .collect();
    remote.sort();
    if state.settings.shards.remote_backups == 0 {
        remote.clear();
    }
    let mut map = initial_map(&view.domain, state.settings.shards.count, &local, &remote);
    map.attempt = format_smolstr!("{}/first", view.me);
    let text = serde_json::to_string(&map).unwrap_or_default();
    let key = map_key(&view.domain);
    match state.key_value.swap(&key, 0, Some(text)).await {
        Ok(SwapOutcome::Swapped(revision)) => {
            log::info!(
                "shard map created domain={} shards={}",
                view.domain,
                map.shards.len()
            );
            state.maps.adopt(VersionedMap { revision, map });
        }
        Ok(SwapOutcome::Conflict(Some(entry))) => {
            if let Ok(map) = serde_json::from_str(&entry.value) {
                let revision = entry.revision;
                state.maps.adopt(VersionedMap { revision, map });
            }
        }
        Ok(SwapOutcome::Conflict(None)) => {}
        Err(error) => log::debug!("shard map not created error={error}"),
    }
}

/// Restarts the shards all of whose members have certainly ended: from a copy on disk, or empty if there is none.
async fn restart_lost_shards(state: &InstanceState) {
    let view = state.peers.view();
    let Some(map) = state.maps.map(&view.domain) else {
        return;
    };
    for (index, placement) in map.map.shards.iter().enumerate() {
        if !placement.members().all(|member| view.has_ended(member)) {
            continue;
        }
        let shard = ShardId {
            domain: view.domain.clone(),
            index: u16::try_from(index).unwrap_or(u16::MAX),
        };
        let change = match find_on_disk(state, &shard, placement).await {
            Ok(Some(holder)) => MapChange::Restore(holder),
            Ok(None) => {
                log::error!("shard lost all copies and restarts empty shard={shard}");
                state
                    .shards
                    .counters()
                    .resets
                    .fetch_add(1, Ordering::Relaxed);
                MapChange::Reset(view.me.clone())
            }
            // A member that may have a copy on disk has not replied yet.
            Err(error) => {
                log::info!("shard not restarted shard={shard} error={error}");
                continue;
            }
        };
        if let Err(error) = state.maps.propose(&shard, placement.epoch, change).await {
            log::info!("shard not restarted shard={shard} error={error}");
        }
    }
}

/// Finds the instance whose disk has the shard's copy; prefers the instance's own failure domain to others.
///
/// The disk of another domain may lack entries that were stored while the own domain was partitioned.
async fn find_on_disk(
    state: &InstanceState,
    shard: &ShardId,
    placement: &ShardPlacement,
) -> Result<Option<InstanceRef>, LinkError> {
    let view = state.peers.view();
    let mut best: Option<(bool, LogPosition, InstanceRef)> = None;
    for member in placement.members() {
        let found = if member.name == view.me.name {
            let position = state.shards.recovered(shard);
            position.map(|position| (true, position, view.me.clone()))
        } else {
            let Some(record) = view.peers().find(|one| one.instance.name == member.name) else {
                continue;
            };
            let request = PeerRequest::RecoveredRead(shard.clone());
            let reply = state
                .network
                .call(record.address, &request, DISK_TIMEOUT)
                .await?;
            let PeerReply::Recovered(Some(position)) = reply else {
                continue;
            };
            Some((
                record.domain == view.domain,
                position,
                record.instance.clone(),
            ))
        };
        let better = |(local, position, _): &(bool, LogPosition, InstanceRef)| {
            best.as_ref()
                .is_none_or(|best| (*local, *position) > (best.0, best.1))
        };
        if let Some(found) = found.filter(better) {
            best = Some(found);
        }
    }
    Ok(best.map(|(_, _, holder)| holder))
}
