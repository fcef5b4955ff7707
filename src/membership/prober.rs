//! The task that reads the instance list and probes other instances.
//!
//! The work of one instance does not grow with the number of instances: it probes the instances that
//! share shards with it, and a few others chosen at random.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use rand::seq::SliceRandom;
use tokio_util::sync::CancellationToken;

use super::table::{PeerRecord, PeerTable};
use crate::ids::InstanceRef;
use crate::keyvalue::InstanceList;
use crate::link::{LinkNetwork, PeerReply, PeerRequest, ProbeMessage};

/// Time after the start in which the list is read more often, to discover the other instances soon.
const STARTUP_TIME: Duration = Duration::from_secs(5);

/// Settings of the probes between instances.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two probes of the same instance.
    pub probe_interval: Duration,
    /// Time without a reply after which an instance is suspected.
    pub suspect_after: Duration,
    /// Time between two readings of the instance list.
    pub list_interval: Duration,
    /// Instances probed in one interval in addition to those that share shards.
    pub extra_probes: usize,
    /// Maximum number of instances probed in one interval.
    pub max_probes: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(250),
            suspect_after: Duration::from_millis(1200),
            list_interval: Duration::from_secs(2),
            extra_probes: 1,
            max_probes: 8,
        }
    }
}

/// Composes the probes to send and applies the replies.
pub trait ProbeSource: Send + Sync + 'static {
    /// Composes a probe; with `gossip`, the probe includes the payload that goes to few instances.
    fn compose(&self, gossip: bool) -> ProbeMessage;

    /// Returns the instances that share shards with this one.
    fn partners(&self) -> Vec<InstanceRef>;

    /// Applies the probe of another instance.
    fn apply(&self, probe: ProbeMessage) -> BoxFuture<'_, ()>;
}

/// Reads the list and probes until the token is cancelled.
pub async fn run_membership(
    table: Arc<PeerTable>,
    list: InstanceList,
    network: LinkNetwork,
    source: Arc<dyn ProbeSource>,
    settings: MembershipSettings,
    stop: CancellationToken,
) {
    let mut ticks = tokio::time::interval(settings.probe_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let started = Instant::now();
    let mut list_due = started;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = stop.cancelled() => return,
        }
        if Instant::now() >= list_due {
            let starting = started.elapsed() < STARTUP_TIME;
            let interval = if starting {
                settings.probe_interval
            } else {
                settings.list_interval
            };
            list_due = Instant::now() + interval;
            let list = list.clone();
            let table = table.clone();
            tokio::spawn(async move { read_list(&list, &table).await });
        }
        let chosen = choose_peers(&table, &source.partners(), &settings);
        let gossip = choose_gossip(&table, &chosen);
        for (position, peer) in chosen.into_iter().enumerate() {
            let probe = source.compose(gossip.contains(&position));
            let source = source.clone();
            let table = table.clone();
            let network = network.clone();
            let timeout = settings.suspect_after / 2;
            tokio::spawn(async move {
                let request = PeerRequest::Probe(probe);
                let reply = network.call(peer.address, &request, timeout).await;
                if let Ok(PeerReply::Probe(probe)) = reply {
                    table.merge_probe(&probe, Instant::now());
                    source.apply(probe).await;
                }
            });
        }
    }
}

async fn read_list(list: &InstanceList, table: &PeerTable) {
    match list.read().await {
        Ok(listed) => table.merge_list(&listed, Instant::now()),
        Err(error) => log::debug!("instance list not read error={error}"),
    }
}

/// Chooses the instances to probe: those that share shards, and a few others.
fn choose_peers(
    table: &PeerTable,
    partners: &[InstanceRef],
    settings: &MembershipSettings,
) -> Vec<PeerRecord> {
    let view = table.view();
    let shares = |record: &PeerRecord| partners.iter().any(|one| one.name == record.instance.name);
    let (mut partners, mut others): (Vec<_>, Vec<_>) = view.peers().cloned().partition(shares);
    let mut rng = rand::rng();
    partners.shuffle(&mut rng);
    others.shuffle(&mut rng);
    let mut chosen: Vec<PeerRecord> = others.into_iter().take(settings.extra_probes).collect();
    chosen.extend(partners);
    chosen.truncate(settings.max_probes);
    chosen
}

/// Chooses the instances that get the gossip payload: one of the own failure domain, and one of any domain.
fn choose_gossip(table: &PeerTable, chosen: &[PeerRecord]) -> Vec<usize> {
    let view = table.view();
    let mut places: Vec<usize> = (0..chosen.len()).collect();
    places.shuffle(&mut rand::rng());
    let local = places
        .iter()
        .find(|place| chosen[**place].domain == view.domain);
    let mut gossip: Vec<usize> = local.copied().into_iter().collect();
    gossip.extend(places.into_iter().find(|place| !gossip.contains(place)));
    gossip
}
