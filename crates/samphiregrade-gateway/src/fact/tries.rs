//! Tries to run a request under which upstreams have ended, and the decision on a further one: pure.
//!
//! A request that ends its upstream is sent again by its client, mostly at another entry and always under a new id. Entries
//! therefore record with the keepers what became of the upstreams that ran it. Nothing is recorded of a request under
//! which no upstream has ended.

use std::cmp::{Ordering, Reverse};
use std::collections::HashSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::model::{RequestTag, UpstreamTag};

/// Number of upstreams that may end under one request. An upstream may also end because of another request that it ran.
pub const MAX_ENDED_UPSTREAMS: usize = 3;

/// Time for which the tries of a request are kept after the last change: clients send a failed request again within seconds. As
/// long as a try is not settled, they are also kept for this time after the last moment at which an upstream may work on one.
pub const TRY_RETENTION: Duration = Duration::from_mins(1);

/// Time within which a process ends after the last moment at which it could work on the request that ends it. It includes the
/// time that the request took to arrive, for the deadline counts from then.
pub const LATE_END: Duration = Duration::from_millis(800);

/// Upstream of a send that is registered before its upstream is chosen.
const UNKNOWN_UPSTREAM: UpstreamTag = 0;

/// Number of tries of one request above which those that no decision needs are dropped.
const KEPT_TRIES: usize = 32;

/// Number of a try, drawn by the entry that makes it.
pub type TryNumber = u64;

/// Seconds since the Unix epoch.
type EpochSeconds = u64;

/// Key under which keepers hold the tries of a request.
pub type TryKey = SmolStr;

/// Returns the key under which keepers hold the tries of a request.
#[must_use]
pub fn try_key(request: RequestTag) -> TryKey {
    // No id in a header contains the first character.
    format_smolstr!("\u{1}{request:016x}")
}

/// Returns the time from which on a response to a new request shows that its process has outlived a try, on which it could work
/// until `work_ends`.
#[must_use]
pub fn provable_from(work_ends: Instant) -> Instant {
    work_ends + LATE_END
}

/// What became of the upstream of a try.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TryState {
    /// The request may be running.
    Open,
    /// The upstream's host has stopped replying: the upstream may have ended, or the path to it is interrupted.
    Unresolved,
    /// The upstream has ended while it ran the request.
    Ended,
    /// The upstream has not ended, or a later try has shown that the request does not end upstreams.
    Harmless,
    /// The upstream has broken off the request, or its result was not seen: whether the process lives is not known yet.
    Doubted,
}

/// Of two reports on one try the later state holds.
impl Ord for TryState {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl PartialOrd for TryState {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl TryState {
    fn rank(self) -> u8 {
        match self {
            Self::Open => 0,
            Self::Unresolved => 1,
            Self::Doubted => 2,
            Self::Ended => 3,
            Self::Harmless => 4,
        }
    }
}

/// A try to run a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestTry {
    /// Number of the try.
    pub number: TryNumber,
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// What became of the upstream.
    pub state: TryState,
}

impl RequestTry {
    /// Returns the try of a registered send.
    #[must_use]
    pub fn registered(number: TryNumber) -> Self {
        Self {
            number,
            upstream: UNKNOWN_UPSTREAM,
            state: TryState::Open,
        }
    }

    /// Returns what tells the try's upstream from those of other tries.
    fn upstream_key(&self) -> (UpstreamTag, TryNumber) {
        if self.upstream == UNKNOWN_UPSTREAM {
            return (UNKNOWN_UPSTREAM, self.number);
        }
        (self.upstream, 0)
    }
}

/// Whether a request may be sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryDecision {
    /// Nothing is known of the request that counts, so that nothing has to be recorded.
    Unsuspected,
    /// The request may be sent once more if that is recorded before.
    Permitted,
    /// Tries in flight, or unresolved ones, may use up the upstreams that may still end.
    Occupied,
    /// As many upstreams have ended as may.
    Exhausted,
}

/// The known tries of one request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownTries(Vec<RequestTry>);

impl KnownTries {
    /// Returns whether no try is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the tries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &RequestTry> {
        self.0.iter()
    }

    /// Adds a try, or what became of a known one; returns whether anything changed.
    pub fn add(&mut self, added: RequestTry) -> bool {
        let known = self.0.iter_mut().find(|known| known.number == added.number);
        if let Some(known) = known {
            let before = *known;
            known.state = before.state.max(added.state);
            known.upstream = before.upstream.max(added.upstream);
            return *known != before;
        }
        self.0.push(added);
        if self.0.len() > KEPT_TRIES {
            self.compact();
        }
        true
    }

    /// Drops the tries that no decision needs: harmless ones, and all but one of each upstream.
    fn compact(&mut self) {
        self.0.sort_by_key(|known| Reverse(known.state));
        let mut upstreams = HashSet::new();
        self.0.retain(|known| {
            known.state != TryState::Harmless && upstreams.insert(known.upstream_key())
        });
    }

    /// Adds tries; returns whether anything changed.
    pub fn merge(&mut self, others: &Self) -> bool {
        let changes = others.0.iter().map(|other| self.add(*other));
        changes.fold(false, |any, changed| any | changed)
    }

    /// Returns the tries whose upstreams have not shown yet that they live.
    pub fn unsettled(&self) -> impl Iterator<Item = &RequestTry> {
        let states = [TryState::Doubted, TryState::Unresolved];
        self.0
            .iter()
            .filter(move |known| states.contains(&known.state))
    }

    /// Returns whether it is known of all tries what became of their upstreams.
    fn is_settled(&self) -> bool {
        self.open() == 0 && self.unsettled().next().is_none()
    }

    /// Returns the number of upstreams that have ended under the request.
    #[must_use]
    pub fn ended(&self) -> usize {
        self.count_upstreams(|known| known.state == TryState::Ended)
    }

    /// Returns whether an upstream has ended under the request, or may have.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.0.iter().any(is_suspicious)
    }

    /// Returns the number of tries in flight.
    #[must_use]
    pub fn open(&self) -> usize {
        let open = self.0.iter().filter(|known| known.state == TryState::Open);
        open.count()
    }

    /// Returns whether other tries are in flight.
    #[must_use]
    pub fn is_contested(&self, own: TryNumber) -> bool {
        self.0.iter().any(|known| is_other(known, own))
    }

    /// Forgets the registered sends, which keepers report anew with each reply.
    pub fn forget_registered(&mut self) {
        self.0
            .retain(|known| known.state != TryState::Open || known.upstream != UNKNOWN_UPSTREAM);
    }

    /// Decides on a further try with the number `own`. Of a request that is sent once at a time, other tries in flight count
    /// also while no upstream is suspected to have ended.
    ///
    /// Of two tries that are recorded at the same time, at least one knows of the other; possibly both wait.
    #[must_use]
    pub fn decide(&self, own: TryNumber, sent_once_at_a_time: bool) -> TryDecision {
        let counts = self.is_suspected() || (sent_once_at_a_time && self.is_contested(own));
        if !counts {
            return TryDecision::Unsuspected;
        }
        if self.ended() >= MAX_ENDED_UPSTREAMS {
            return TryDecision::Exhausted;
        }
        let in_danger = self.count_upstreams(|known| is_suspicious(known) || is_other(known, own));
        if in_danger >= MAX_ENDED_UPSTREAMS {
            return TryDecision::Occupied;
        }
        TryDecision::Permitted
    }

    /// Returns whether the request may be sent once more without a confirmed record: nothing was broken off, and the host of one
    /// upstream at most does not reply.
    #[must_use]
    pub fn permits_unconfirmed(&self) -> bool {
        let is_unresolved = |known: &RequestTry| known.state == TryState::Unresolved;
        let mut suspicious = self.0.iter().filter(|known| is_suspicious(known));
        suspicious.all(is_unresolved) && self.count_upstreams(is_suspicious) <= 1
    }

    /// Returns the suspicious tries as harmless ones: the request has run without ending its upstream.
    #[must_use]
    pub fn acquitted(&self) -> Self {
        let suspicious = self.0.iter().filter(|known| is_suspicious(known));
        let acquitted = suspicious.map(|known| RequestTry {
            state: TryState::Harmless,
            ..*known
        });
        Self(acquitted.collect())
    }

    /// Counts the upstreams of the tries for which `counts` holds.
    fn count_upstreams<Choice>(&self, counts: Choice) -> usize
    where
        Choice: Fn(&RequestTry) -> bool,
    {
        let counted = self.0.iter().filter(|known| counts(known));
        let upstreams: HashSet<_> = counted.map(RequestTry::upstream_key).collect();
        upstreams.len()
    }
}

impl From<RequestTry> for KnownTries {
    fn from(known: RequestTry) -> Self {
        Self(vec![known])
    }
}

fn is_suspicious(known: &RequestTry) -> bool {
    matches!(
        known.state,
        TryState::Doubted | TryState::Ended | TryState::Unresolved
    )
}

fn is_other(known: &RequestTry, own: TryNumber) -> bool {
    known.state == TryState::Open && known.number != own
}

/// Tries of a request, and how long an upstream may still work on one of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimedTries {
    /// The tries.
    pub tries: KnownTries,
    /// Time until the last moment at which an upstream may work on one of them.
    pub work_left: Duration,
}

impl From<RequestTry> for TimedTries {
    /// Returns a try on which no upstream works any more.
    fn from(known: RequestTry) -> Self {
        KnownTries::from(known).into()
    }
}

impl From<KnownTries> for TimedTries {
    /// Returns tries on which no upstream works any more.
    fn from(tries: KnownTries) -> Self {
        Self {
            tries,
            work_left: Duration::ZERO,
        }
    }
}

/// Tries of a request with the time of their record, as stored on disk and exported to a rebuilding keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TryFact {
    /// The request.
    pub key: TryKey,
    /// The tries, with the work that was left at the time of the record.
    pub timed: TimedTries,
    /// Time of the record, which tells a restarted keeper whether the record still holds.
    recorded: EpochSeconds,
}

impl TryFact {
    /// Returns the record of tries that were last changed a time ago.
    #[must_use]
    pub fn new(key: TryKey, timed: TimedTries, age: Duration) -> Self {
        Self {
            key,
            timed,
            recorded: epoch_seconds().saturating_sub(age.as_secs()),
        }
    }

    /// Returns the record with the time at which it arrived, by the clock of the keeper that stores it.
    #[must_use]
    pub fn received_now(self) -> Self {
        Self {
            recorded: epoch_seconds(),
            ..self
        }
    }

    /// Returns whether the record is too old to hold, as far as the clock tells.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        let retention = TRY_RETENTION + self.timed.work_left;
        epoch_seconds().abs_diff(self.recorded) > retention.as_secs()
    }
}

fn epoch_seconds() -> EpochSeconds {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.unwrap_or_default().as_secs()
}

/// The tries of a request at a keeper or an entry.
#[derive(Clone, Debug)]
pub struct TryEntry {
    tries: KnownTries,
    changed: Instant,
    /// Last moment at which an upstream may work on one of the tries.
    work_ends: Instant,
}

impl TryEntry {
    /// Returns an entry without tries.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tries: KnownTries::default(),
            changed: now,
            work_ends: now,
        }
    }

    /// Adds tries to those that have not been forgotten; returns whether anything changed.
    pub fn add(&mut self, timed: &TimedTries, now: Instant) -> bool {
        if self.is_forgotten(now) {
            self.tries = KnownTries::default();
        }
        let changed = self.tries.merge(&timed.tries);
        if changed {
            self.changed = now;
            self.work_ends = self.work_ends.max(now + timed.work_left);
        }
        changed
    }

    /// Returns the tries, or none if they are forgotten.
    #[must_use]
    pub fn tries(&self, now: Instant) -> KnownTries {
        if self.is_forgotten(now) {
            return KnownTries::default();
        }
        self.tries.clone()
    }

    /// Returns the tries with the work that was left when they were last changed.
    #[must_use]
    pub fn timed_at_change(&self) -> TimedTries {
        TimedTries {
            tries: self.tries.clone(),
            work_left: self.work_left(self.changed),
        }
    }

    /// Returns the time until the last moment at which an upstream may work on one of the tries.
    #[must_use]
    pub fn work_left(&self, now: Instant) -> Duration {
        self.work_ends.saturating_duration_since(now)
    }

    /// Returns the time since the last change.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.changed)
    }

    /// Returns the time after which the tries are forgotten if nothing changes.
    #[must_use]
    pub fn kept_for(&self, now: Instant) -> Duration {
        let last_use = if self.tries.is_settled() {
            self.changed
        } else {
            self.changed.max(self.work_ends)
        };
        (last_use + TRY_RETENTION).saturating_duration_since(now)
    }

    /// Returns whether the tries are forgotten.
    #[must_use]
    pub fn is_forgotten(&self, now: Instant) -> bool {
        self.kept_for(now).is_zero()
    }
}
