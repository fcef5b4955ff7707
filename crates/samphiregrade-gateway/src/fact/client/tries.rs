//! Queries and records of the tries of suspected requests.

use std::time::{Duration, Instant};

use super::{FactFailure, KeeperClient};
use crate::fact::message::{FactRecord, KeeperReply, KeeperRequest};
use crate::fact::placement::KeeperPlacement;
use crate::fact::tries::{KnownTries, TryFact, TryKey};
use tokio::sync::mpsc;

/// Time after which a query goes to the next keeper: several round trips within a region.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// Longest time of the queries for one request. Keepers that have just become unreachable delay a request by no more than this;
/// without a reply, a request may end an upstream more than allowed.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of a record: dozens of round trips. Keepers reply without waiting for their disks.
const RECORD_TIMEOUT: Duration = Duration::from_millis(60);

/// The tries of a request, as reported by keepers.
#[derive(Clone, Debug, Default)]
pub struct ReportedTries {
    /// The tries.
    pub tries: KnownTries,
    /// Time after which they are forgotten.
    pub kept_for: Duration,
    /// Number of keepers that have replied.
    pub heard: usize,
}

impl ReportedTries {
    /// Adds what another source knows.
    pub fn merge(&mut self, other: &Self) {
        self.tries.merge(&other.tries);
        self.kept_for = self.kept_for.max(other.kept_for);
        self.heard += other.heard;
    }
}

impl KeeperClient {
    /// Queries the tries of a request on the nearest of its keepers, and on the others one after another while none has
    /// replied that has every fact; `None` if no keeper has replied in time.
    pub async fn query_tries(&self, key: &TryKey) -> Option<ReportedTries> {
        let placement = self.placement.load_full();
        let now = Instant::now();
        let mut group = super::group_slots(&placement, key).ok()?;
        group.retain(|slot| self.health.is_reachable(&slot.name, now));
        group.sort_by_key(|slot| slot.domain != self.own.domain);
        let mut reported: Option<ReportedTries> = None;
        let querying = async {
            for slot in group {
                let request = KeeperRequest::Tries(key.clone());
                let reply = self.call(slot, &placement, request, QUERY_TIMEOUT).await;
                let Some((known, complete)) = reply.and_then(reported_tries) else {
                    continue;
                };
                reported.get_or_insert_default().merge(&known);
                if complete {
                    return;
                }
            }
        };
        // A keeper that does not reply in time leaves what others have replied.
        let _ = tokio::time::timeout(LOOK_UP_TIMEOUT, querying).await;
        reported
    }

    /// Records tries on a majority of the request's keepers; resolves to all tries that these know.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if too few keepers reply in time; the record reaches them in the background where possible.
    pub async fn record_tries(
        &self,
        key: &TryKey,
        tries: KnownTries,
    ) -> Result<ReportedTries, FactFailure> {
        let fact = TryFact::new(key.clone(), tries, Duration::ZERO);
        let request = &KeeperRequest::RecordTries(fact.clone());
        let recording = self.with_newest_placement(move |placement| async move {
            let group = self.reachable_group(&placement, key)?;
            let replies = self.call_group(&placement, &group, request);
            collect_tries(&placement, replies).await
        });
        let recorded = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
        let recorded = recorded.unwrap_or(Err(FactFailure::NoMajority));
        if recorded.is_err() {
            self.store_in_background(key, &FactRecord::Tries(fact));
        }
        recorded
    }

    /// Records tries on the request's keepers in the background.
    pub fn note_tries(&self, key: &TryKey, tries: &KnownTries) {
        let fact = TryFact::new(key.clone(), tries.clone(), Duration::ZERO);
        self.store_in_background(key, &FactRecord::Tries(fact));
    }
}

/// Returns the tries that a reply reports, and whether its keeper has every fact.
fn reported_tries(reply: KeeperReply) -> Option<(ReportedTries, bool)> {
    match reply {
        KeeperReply::Tries {
            tries,
            kept_for,
            complete,
        } => {
            let reported = ReportedTries {
                tries,
                kept_for,
                heard: 1,
            };
            Some((reported, complete))
        }
        _ => None,
    }
}

/// Merges the tries that keepers report, until a majority has replied and the complete keepers among them include a member of
/// every majority.
async fn collect_tries(
    placement: &KeeperPlacement,
    mut replies: mpsc::Receiver<Option<KeeperReply>>,
) -> Result<ReportedTries, FactFailure> {
    let mut reported = ReportedTries::default();
    let (mut known_by, mut complete_replies) = (0, 0);
    while let Some(reply) = replies.recv().await {
        let Some((known, complete)) = reply.and_then(reported_tries) else {
            continue;
        };
        reported.merge(&known);
        known_by += 1;
        complete_replies += usize::from(complete);
        if known_by >= placement.majority() && complete_replies >= placement.read_quorum() {
            return Ok(reported);
        }
    }
    Err(FactFailure::NoMajority)
}
