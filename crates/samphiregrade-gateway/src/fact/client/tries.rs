//! Queries and records of the tries of suspected requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use super::sends::SendRegistration;
use super::{FactFailure, KeeperClient};
use crate::fact::message::{FactRecord, KeeperReply, KeeperRequest};
use crate::fact::placement::{KeeperPlacement, KeeperSlot};
use crate::fact::tries::{KnownTries, TimedTries, TryEntry, TryFact, TryKey, TryNumber};
use crate::hold::lock_ignoring_poison;
use crate::mix::hash_pair;
use crate::model::name_tag;

/// Time after which a query goes to one more keeper: several round trips within a region.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// Longest time of the queries for one request. Keepers that have just become unreachable delay a request by no more than this;
/// without their replies, a request may end an upstream more than allowed.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of a record: dozens of round trips, and time to reach a keeper that has just restarted. Keepers reply without waiting
/// for their disks.
const RECORD_TIMEOUT: Duration = Duration::from_millis(200);

/// The tries of a request, as reported by keepers.
#[derive(Clone, Debug, Default)]
pub struct ReportedTries {
    /// The tries.
    pub tries: KnownTries,
    /// Time after which they are forgotten.
    pub kept_for: Duration,
    /// Last moment at which an upstream may work on one of them; `None` if none is known.
    pub work_ends: Option<Instant>,
    /// Number of keepers that have replied.
    pub heard: usize,
    /// Whether all tries are among them that a majority of the keepers has.
    pub certain: bool,
}

impl ReportedTries {
    /// Returns what an instance knows itself.
    #[must_use]
    pub fn of_entry(entry: &TryEntry, now: Instant) -> Self {
        Self {
            tries: entry.tries(now),
            kept_for: entry.kept_for(now),
            work_ends: Some(now + entry.work_left(now)),
            heard: 0,
            certain: false,
        }
    }

    /// Adds what another source knows.
    pub fn merge(&mut self, other: &Self) {
        self.tries.merge(&other.tries);
        self.kept_for = self.kept_for.max(other.kept_for);
        self.work_ends = self.work_ends.max(other.work_ends);
        self.heard += other.heard;
        self.certain |= other.certain;
    }
}

impl KeeperClient {
    /// Returns a send with a deadline that no keeper knows of yet.
    #[must_use]
    pub fn begin_send(&self, number: TryNumber, due: Instant) -> SendRegistration {
        SendRegistration::new(self.clone(), number, due)
    }

    /// Registers a send and queries the tries of its request on a majority of the request's keepers, the nearest ones first: a
    /// single keeper may have been away when they were recorded. `None` if no keeper has replied in time.
    pub async fn query_tries(
        &self,
        key: &TryKey,
        send: &SendRegistration,
    ) -> Option<ReportedTries> {
        let known = Mutex::new(ReportCollector::default());
        let querying = self.with_newest_placement(|placement| {
            let known = &known;
            async move { self.query_majority(&placement, key, send, known).await }
        });
        // Keepers that do not reply in time leave what others have replied.
        let _ = tokio::time::timeout(LOOK_UP_TIMEOUT, querying).await;
        let known = known.into_inner().unwrap_or_else(PoisonError::into_inner);
        (known.reported.heard > 0).then_some(known.reported)
    }

    /// Queries keepers until a majority has replied, one more whenever one has failed or is late.
    async fn query_majority(
        &self,
        placement: &Arc<KeeperPlacement>,
        key: &TryKey,
        send: &SendRegistration,
        known: &Mutex<ReportCollector>,
    ) -> Result<(), FactFailure> {
        *lock_ignoring_poison(known) = ReportCollector::default();
        let mut group = super::group_slots(placement, key)?;
        let now = Instant::now();
        group.retain(|slot| self.health.is_reachable(&slot.name, now));
        let rank = |slot: &KeeperSlot| hash_pair(self.seed, name_tag(&slot.name));
        group.sort_by_key(|slot| (slot.domain != self.own.domain, rank(slot)));
        let mut left = group.into_iter();
        let query = |slot: KeeperSlot| {
            send.note_keeper(&slot.name);
            let request = KeeperRequest::Tries {
                key: key.clone(),
                number: send.number(),
                work_left: send.work_left(),
            };
            self.call(slot, placement, request, LOOK_UP_TIMEOUT)
        };
        let mut replies: FuturesUnordered<_> = left
            .by_ref()
            .take(placement.majority())
            .map(query)
            .collect();
        loop {
            let reply = match tokio::time::timeout(QUERY_TIMEOUT, replies.next()).await {
                Ok(None) => return Err(FactFailure::NoMajority),
                Ok(Some(reply)) => reply.and_then(reported_tries),
                Err(_) => None,
            };
            if let Some((reported, complete)) = reply {
                let mut known = lock_ignoring_poison(known);
                if known.add(&reported, complete, placement) {
                    return Ok(());
                }
                if complete {
                    continue;
                }
            }
            replies.extend(left.next().map(query));
        }
    }

    /// Records tries on a majority of the request's keepers; resolves to all tries that these know.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if too few keepers reply in time; the record reaches them in the background where possible.
    pub async fn record_tries(
        &self,
        key: &TryKey,
        timed: TimedTries,
    ) -> Result<ReportedTries, FactFailure> {
        let fact = TryFact::new(key.clone(), timed, Duration::ZERO);
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
    pub fn note_tries(&self, key: &TryKey, timed: TimedTries) {
        let fact = TryFact::new(key.clone(), timed, Duration::ZERO);
        self.store_in_background(key, &FactRecord::Tries(fact));
    }
}

/// Returns the tries that a reply reports, and whether its keeper has every fact.
fn reported_tries(reply: KeeperReply) -> Option<(ReportedTries, bool)> {
    match reply {
        KeeperReply::Tries {
            timed,
            kept_for,
            complete,
        } => {
            let reported = ReportedTries {
                work_ends: Some(Instant::now() + timed.work_left),
                tries: timed.tries,
                kept_for,
                heard: 1,
                certain: false,
            };
            Some((reported, complete))
        }
        _ => None,
    }
}

/// The tries that keepers have reported, until those of a majority are known.
#[derive(Default)]
struct ReportCollector {
    reported: ReportedTries,
    complete: usize,
}

impl ReportCollector {
    /// Adds a report; returns whether a majority has reported and the complete keepers among them include a member of every
    /// majority.
    fn add(
        &mut self,
        reported: &ReportedTries,
        complete: bool,
        placement: &KeeperPlacement,
    ) -> bool {
        self.reported.merge(reported);
        self.complete += usize::from(complete);
        let heard = self.reported.heard;
        let certain = heard >= placement.majority() && self.complete >= placement.read_quorum();
        self.reported.certain = certain;
        certain
    }
}

/// Merges the tries that keepers report, until those of a majority are known.
async fn collect_tries(
    placement: &KeeperPlacement,
    mut replies: mpsc::Receiver<Option<KeeperReply>>,
) -> Result<ReportedTries, FactFailure> {
    let mut known = ReportCollector::default();
    while let Some(reply) = replies.recv().await {
        let Some((reported, complete)) = reply.and_then(reported_tries) else {
            continue;
        };
        if known.add(&reported, complete, placement) {
            return Ok(known.reported);
        }
    }
    Err(FactFailure::NoMajority)
}
