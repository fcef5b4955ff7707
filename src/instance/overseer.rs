//! Looking after the shard map of the own failure domain: its first version, and lost shards.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use smol_str::format_smolstr;

use super::InstanceState;
use crate::ids::{InstanceRef, ShardId};
use crate::keyvalue::SwapOutcome;
use crate::link::{LinkError, PeerReply, PeerRequest};
use crate::shard::{LogPosition, MapChange, ShardPlacement, VersionedMap, initial_map, map_key};

/// Time between two looks.
const OVERSEE_INTERVAL: Duration = Duration::from_millis(400);

/// Longest wait for a peer to tell what is on its disk.
const DISK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start for the other instances of the failure domain to be found.
const GATHER_TIME: Duration = Duration::from_millis(1500);

/// Makes the first map, and restarts shards without a copy, until the instance stops.
pub async fn oversee_maps(state: Arc<InstanceState>) {
    let mut ticks = tokio::time::interval(OVERSEE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = state.stop.cancelled() => return,
        }
        if state.is_draining() || !state.is_first() {
            continue;
        }
        let domain = &state.settings.instance.failure_domain;
        if state.maps.map(domain).is_none() {
            if state.started.elapsed() >= GATHER_TIME {
                make_first_map(&state).await;
            }
            continue;
        }
        restart_lost_shards(&state).await;
    }
}

impl InstanceState {
    /// Returns whether this instance's name is the first among those of its failure domain.
    fn is_first(&self) -> bool {
        let view = self.peers.view();
        let live = view.live_in(&view.domain, Instant::now());
        live.iter().all(|peer| peer.instance.name > view.me.name)
    }
}

async fn make_first_map(state: &InstanceState) {
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
        .filter(|peer| peer.domain != view.domain && peer.heard.is_some() && !peer.leaving)
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
                "shard map made domain={} shards={}",
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
        Err(error) => log::debug!("shard map not made error={error}"),
    }
}

/// Goes on with those shards all of whose processes have certainly ended: from a disk, or empty.
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
                log::error!("shard lost all copies and begins empty shard={shard}");
                state
                    .shards
                    .counters()
                    .resets
                    .fetch_add(1, Ordering::Relaxed);
                MapChange::Reset(view.me.clone())
            }
            // A member that may have a disk has not answered yet.
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

/// Finds the instance whose disk has the shard's copy: one of the own failure domain before others.
///
/// Another domain's disk may lack what was stored while the own domain was cut off.
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
