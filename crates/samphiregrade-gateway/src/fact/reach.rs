//! Monitors which keepers are reachable.

use std::time::{Duration, Instant};

use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::client::{KeeperClient, REQUEST_TIMEOUT};
use super::message::KeeperRequest;
use super::placement::{KeeperPlacement, PlacementGeneration};
use crate::model::DomainId;
use crate::observe::Logbook;

/// Interval between two checks for unresponsive keepers.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct ReachLine {
    cut_off: bool,
    generation: PlacementGeneration,
    within_reach: usize,
    keepers: usize,
}

impl KeeperClient {
    /// Returns how long this instance has been cut off, that is, has reached too few keepers to serve half of the
    /// programs; zero if it isn't cut off.
    #[must_use]
    pub fn cut_off_for(&self) -> Duration {
        self.health.cut_off_for(Instant::now())
    }

    /// Returns whether this instance may be cut off.
    #[must_use]
    pub fn is_cut_off_suspected(&self) -> bool {
        self.health
            .is_cut_off_suspected(&self.placement.load(), Instant::now())
    }

    /// Returns the failure domains none of whose keepers has replied for a while.
    #[must_use]
    pub fn silent_domains(&self) -> Vec<DomainId> {
        self.health
            .silent_domains(&self.placement.load(), Instant::now())
    }

    /// Probes keepers that have not replied for a while and keeps the helpers up to date, until cancelled.
    pub async fn watch_health(self, cancel: CancellationToken) {
        loop {
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(HEALTH_CHECK_INTERVAL) => {}
            }
            let placement = self.placement.load_full();
            if self.health.update_cut_off(&placement, Instant::now()) {
                self.log_reach(&placement);
            }
            self.refresh_helpers(&placement).await;
            for slot in self.health.unresponsive(&placement, Instant::now()) {
                let client = self.clone();
                let placement = placement.clone();
                tokio::spawn(async move {
                    client
                        .call_directly(&slot, &placement, KeeperRequest::Probe, REQUEST_TIMEOUT)
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
            within_reach: self.health.reachable_count(&placement.slots, now),
            keepers: placement.slots.len(),
        };
        Logbook::global().record("keepers-reach", &line);
    }
}
