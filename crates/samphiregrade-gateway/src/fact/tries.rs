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

/// Time for which the tries of a request are kept after the last change: clients send a failed request again within
/// seconds.
pub const TRY_RETENTION: Duration = Duration::from_mins(1);

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

/// Tries of a request with the time of their record, as stored on disk and exported to a rebuilding keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TryFact {
    /// The request.
    pub key: TryKey,
    /// The tries.
    pub tries: KnownTries,
    /// Time of the record, which tells a restarted keeper whether the record still holds.
    recorded: EpochSeconds,
}

impl TryFact {
    /// Returns the record of tries that were last changed a time ago.
    #[must_use]
    pub fn new(key: TryKey, tries: KnownTries, age: Duration) -> Self {
        Self {
            key,
            tries,
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
        epoch_seconds().abs_diff(self.recorded) > TRY_RETENTION.as_secs()
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
}

impl TryEntry {
    /// Returns an entry without tries.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tries: KnownTries::default(),
            changed: now,
        }
    }

    /// Adds tries to those that have not been forgotten; returns whether anything changed.
    pub fn add(&mut self, tries: &KnownTries, now: Instant) -> bool {
        if self.is_forgotten(now) {
            self.tries = KnownTries::default();
        }
        let changed = self.tries.merge(tries);
        if changed {
            self.changed = now;
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

    /// Returns the time since the last change.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.changed)
    }

    /// Returns the time after which the tries are forgotten if nothing changes.
    #[must_use]
    pub fn kept_for(&self, now: Instant) -> Duration {
        TRY_RETENTION.saturating_sub(self.age(now))
    }

    /// Returns whether the tries are forgotten.
    #[must_use]
    pub fn is_forgotten(&self, now: Instant) -> bool {
        self.kept_for(now).is_zero()
    }
}
