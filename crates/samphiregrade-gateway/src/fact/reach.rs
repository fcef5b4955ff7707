//! Watching which keepers are within reach.

use std::time::{Duration, Instant};

use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::client::{ASK_TIMEOUT, KeeperClient};
use super::message::KeeperRequest;
use super::placement::{KeeperPlacement, PlacementGeneration};
use crate::model::DomainId;
use crate::observe::Logbook;

/// Time between two looks at silent keepers.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct ReachLine {
    cut_off: bool,
    generation: PlacementGeneration,
    within_reach: usize,
    keepers: usize,
}

impl KeeperClient {
    /// Returns how long too few keepers have answered for every program to be served; zero while enough do.
    #[must_use]
    pub fn cut_off_for(&self) -> Duration {
        self.health.cut_off_for(Instant::now())
    }

    /// Returns the failure domains whose keepers have all been silent for a while.
    #[must_use]
    pub fn silent_domains(&self) -> Vec<DomainId> {
        self.health
            .silent_domains(&self.placement.load(), Instant::now())
    }

    /// Asks each keeper that has been silent for a while whether it is there, until cancelled.
    pub async fn watch_health(self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(HEALTH_INTERVAL) => {}
            }
            let placement = self.placement.load_full();
            if self.health.judge(&placement, Instant::now()) {
                self.log_reach(&placement);
            }
            self.seek_helpers(&placement).await;
            for slot in self.health.silent(&placement, Instant::now()) {
                let client = self.clone();
                let placement = placement.clone();
                tokio::spawn(async move {
                    client
                        .ask_straight(&slot, &placement, KeeperRequest::Probe, ASK_TIMEOUT)
                        .await
                });
            }
        }
    }

    fn log_reach(&self, placement: &KeeperPlacement) {
        let now = Instant::now();
        let line = ReachLine {
            cut_off: !self.health.cut_off_for(now).is_zero(),
            generation: placement.generation,
            within_reach: self.health.reachable(&placement.slots, now),
            keepers: placement.slots.len(),
        };
        Logbook::global().record("keepers-reach", &line);
    }
}
