//! The memory and the connections that all clients of a process share.
//!
//! What a client makes the process hold is counted in a [`MemoryLease`] before it is held. Where room is lacking, those
//! give way that have occupied most for longest without completing a request; a request that was read completely is never
//! interrupted, but refused if it finds no room.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use nix::sys::resource::{Resource, getrlimit};
use thiserror::Error;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Part of the budget that only small leases may occupy, as a divisor: however many large bodies are held, small
/// requests find room.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Largest size of a small lease, as a divisor of the budget.
const SMALL_LEASE_DIVISOR: usize = 64;

type LeaseNumber = u64;

/// Limits of a budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Bytes that all leases together may hold.
    pub bytes: usize,
    /// Bytes that an open connection holds at least: its task, its buffer and the system's receive queue.
    pub connection_bytes: usize,
    /// Largest number of open connections.
    pub connections: usize,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            bytes: 64 << 20,
            connection_bytes: 32 << 10,
            connections: 1024,
        }
    }
}

/// Returns the number of descriptors that the system lets the process open; `None` if it doesn't tell.
#[must_use]
pub fn descriptor_limit() -> Option<u64> {
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).ok()?;
    Some(limit)
}

/// There is no room, and nobody who has to give way.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the memory for clients is occupied; send the request again a little later")]
pub struct NoRoom;

/// What the holder of a lease is doing. Holders give way in the reverse order; one that runs a request never does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LeaseState {
    /// A request that was read completely is being served.
    Running,
    /// The connection waits for its next request.
    Idle,
    /// A request has begun and is incomplete, or the connection has not sent any yet.
    Reading,
    /// The last response is written, and the connection is being closed.
    Closing,
}

/// What a budget holds at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUse {
    /// Bytes of all leases.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Holders that had to give way since the start.
    pub evictions: u64,
}

struct Holder {
    bytes: usize,
    state: LeaseState,
    since: Instant,
    is_connection: bool,
    /// Cancelled once the holder has to give way.
    ended: CancellationToken,
}

impl Holder {
    /// Returns how much the holder has occupied for how long.
    fn burden(&self, now: Instant) -> u128 {
        let age = now.saturating_duration_since(self.since).as_micros();
        self.bytes as u128 * age
    }
}

#[derive(Default)]
struct BudgetState {
    holders: HashMap<LeaseNumber, Holder>,
    next_number: LeaseNumber,
    /// What all holders occupy.
    all: Demand,
    /// What the holders occupy that are giving way.
    leaving: Demand,
    evictions: u64,
}

/// What a lease needs, or what holders occupy.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    bytes: usize,
    large_bytes: usize,
    connections: usize,
}

enum GrowStep {
    Done,
    /// Others are giving way.
    Wait,
    Refused,
}

struct BudgetInner {
    settings: BudgetSettings,
    state: Mutex<BudgetState>,
    released: Notify,
}

/// A budget of memory and connections; cheap to clone.
#[derive(Clone)]
pub struct MemoryBudget {
    inner: Arc<BudgetInner>,
}

impl std::fmt::Debug for MemoryBudget {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let occupied = self.occupied();
        formatter
            .debug_tuple("MemoryBudget")
            .field(&occupied)
            .finish()
    }
}

impl MemoryBudget {
    /// Creates a budget that nobody uses yet.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            inner: Arc::new(BudgetInner {
                settings,
                state: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// Returns what is held.
    #[must_use]
    pub fn occupied(&self) -> BudgetUse {
        let state = self.lock();
        BudgetUse {
            bytes: state.all.bytes,
            connections: state.all.connections,
            evictions: state.evictions,
        }
    }

    /// Returns the largest size of a single lease, in bytes.
    #[must_use]
    pub fn largest_lease(&self) -> usize {
        self.inner.settings.large_limit()
    }

    /// Counts a new connection, which has sent nothing yet.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if all connections are serving requests.
    pub async fn open_connection(&self) -> Result<MemoryLease, NoRoom> {
        let mut lease = self.lease(LeaseState::Reading, true);
        lease.grow_to(self.inner.settings.connection_bytes).await?;
        Ok(lease)
    }

    /// Begins a lease for a request whose body is about to be read.
    #[must_use]
    pub fn begin_request(&self) -> MemoryLease {
        self.lease(LeaseState::Reading, false)
    }

    /// Counts a new connection if there is room without any other giving way.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if there is none.
    pub fn try_open_connection(&self) -> Result<MemoryLease, NoRoom> {
        let lease = self.lease(LeaseState::Reading, true);
        let settings = &self.inner.settings;
        let wanted = settings.demand_of(settings.connection_bytes, true);
        let mut state = self.lock();
        let mut after = state.all;
        after.add(wanted);
        if !settings.admits(&after, false) {
            drop(state);
            return Err(NoRoom);
        }
        state.apply(lease.number, wanted, settings);
        drop(state);
        Ok(lease)
    }

    fn lease(&self, state: LeaseState, is_connection: bool) -> MemoryLease {
        let ended = CancellationToken::new();
        let mut budget = self.lock();
        let number = budget.next_number;
        budget.next_number += 1;
        let holder = Holder {
            bytes: 0,
            state,
            since: Instant::now(),
            is_connection: false,
            ended: ended.clone(),
        };
        budget.holders.insert(number, holder);
        MemoryLease {
            budget: self.clone(),
            number,
            is_connection,
            ended,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// Grows a lease, or makes those give way that it needs the room of.
    fn grow(&mut self, number: LeaseNumber, wanted: Demand, settings: &BudgetSettings) -> GrowStep {
        let Some(holder) = self.holders.get(&number) else {
            return GrowStep::Refused;
        };
        let own = settings.demand(holder);
        let mut after = self.all;
        after.subtract(own);
        after.add(wanted);
        if holder.ended.is_cancelled() {
            return GrowStep::Refused;
        }
        let shrinks = wanted.bytes <= own.bytes && wanted.connections <= own.connections;
        if shrinks || settings.admits(&after, wanted.large_bytes > 0) {
            self.apply(number, wanted, settings);
            return GrowStep::Done;
        }
        let burden = holder.burden(Instant::now());
        if self.make_room(number, burden, after, wanted.large_bytes > 0, settings) {
            GrowStep::Wait
        } else {
            GrowStep::Refused
        }
    }

    fn apply(&mut self, number: LeaseNumber, wanted: Demand, settings: &BudgetSettings) {
        let Some(holder) = self.holders.get_mut(&number) else {
            return;
        };
        let own = settings.demand(holder);
        holder.bytes = wanted.bytes;
        holder.is_connection = wanted.connections > 0;
        self.all.subtract(own);
        self.all.add(wanted);
        if holder.ended.is_cancelled() {
            self.leaving.subtract(own);
            self.leaving.add(wanted);
        }
    }

    /// Makes holders give way until the rest is admitted; returns whether that is possible.
    ///
    /// A holder gives way only to a lease that has occupied less, or for less long.
    fn make_room(
        &mut self,
        number: LeaseNumber,
        burden: u128,
        mut after: Demand,
        is_large: bool,
        settings: &BudgetSettings,
    ) -> bool {
        after.subtract(self.leaving);
        if settings.admits(&after, is_large) {
            return true;
        }
        let now = Instant::now();
        let mut candidates: Vec<_> = self
            .holders
            .iter()
            .filter(|(other, holder)| {
                **other != number
                    && holder.state != LeaseState::Running
                    && !holder.ended.is_cancelled()
            })
            .map(|(other, holder)| (holder.state, holder.burden(now), *other))
            .filter(|(_, other, _)| *other >= burden)
            .collect();
        candidates.sort_unstable();
        let mut chosen = Vec::new();
        while !settings.admits(&after, is_large) {
            let Some((_, _, other)) = candidates.pop() else {
                return false;
            };
            let room = self
                .holders
                .get(&other)
                .map(|holder| settings.demand(holder));
            let room = room.unwrap_or_default();
            if !settings.lacks(&after, is_large, &room) {
                continue;
            }
            after.subtract(room);
            chosen.push((other, room));
        }
        for (other, room) in chosen {
            self.leaving.add(room);
            self.evictions += 1;
            if let Some(holder) = self.holders.get(&other) {
                holder.ended.cancel();
            }
        }
        true
    }

    fn remove(&mut self, number: LeaseNumber, settings: &BudgetSettings) {
        let Some(holder) = self.holders.remove(&number) else {
            return;
        };
        let own = settings.demand(&holder);
        self.all.subtract(own);
        if holder.ended.is_cancelled() {
            self.leaving.subtract(own);
        }
    }
}

impl Demand {
    fn add(&mut self, other: Self) {
        self.bytes += other.bytes;
        self.large_bytes += other.large_bytes;
        self.connections += other.connections;
    }

    fn subtract(&mut self, other: Self) {
        self.bytes = self.bytes.saturating_sub(other.bytes);
        self.large_bytes = self.large_bytes.saturating_sub(other.large_bytes);
        self.connections = self.connections.saturating_sub(other.connections);
    }
}

impl BudgetSettings {
    fn large_limit(&self) -> usize {
        self.bytes - self.bytes / SMALL_SHARE_DIVISOR
    }

    fn demand(&self, holder: &Holder) -> Demand {
        self.demand_of(holder.bytes, holder.is_connection)
    }

    fn demand_of(&self, bytes: usize, is_connection: bool) -> Demand {
        let is_large = bytes > self.bytes / SMALL_LEASE_DIVISOR;
        Demand {
            bytes,
            large_bytes: if is_large { bytes } else { 0 },
            connections: usize::from(is_connection),
        }
    }

    /// Returns whether all leases together stay within the limits.
    fn admits(&self, all: &Demand, is_large: bool) -> bool {
        let has_large_room = !is_large || all.large_bytes <= self.large_limit();
        all.bytes <= self.bytes && all.connections <= self.connections && has_large_room
    }

    /// Returns whether a holder occupies some of what is lacking.
    fn lacks(&self, all: &Demand, is_large: bool, room: &Demand) -> bool {
        let lacks_bytes = all.bytes > self.bytes && room.bytes > 0;
        let lacks_large = is_large && all.large_bytes > self.large_limit() && room.large_bytes > 0;
        let lacks_connections = all.connections > self.connections && room.connections > 0;
        lacks_bytes || lacks_large || lacks_connections
    }
}

/// Memory that a connection or a request holds; released when it is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    budget: MemoryBudget,
    number: LeaseNumber,
    is_connection: bool,
    ended: CancellationToken,
}

impl MemoryLease {
    /// Grows or shrinks the lease; waits for those that have to give way to it.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if nobody has to give way, or if this lease has to.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let inner = self.budget.inner.clone();
        let wanted = inner.settings.demand_of(bytes, self.is_connection);
        loop {
            let released = inner.released.notified();
            tokio::pin!(released);
            // A release between the check and the wait is noticed as well.
            released.as_mut().enable();
            let step = self
                .budget
                .lock()
                .grow(self.number, wanted, &inner.settings);
            match step {
                GrowStep::Done => return Ok(()),
                GrowStep::Refused => return Err(NoRoom),
                GrowStep::Wait => {}
            }
            tokio::select! {
                () = released => {}
                () = self.ended.cancelled() => return Err(NoRoom),
            }
        }
    }

    /// Sets what the holder is doing from now on, and how much it holds, which must not be more than before.
    ///
    /// A holder that has given way can be asked anew from then on.
    pub fn enter(&mut self, state: LeaseState, bytes: usize) {
        let settings = self.budget.inner.settings;
        let mut budget = self.budget.lock();
        let BudgetState {
            holders, leaving, ..
        } = &mut *budget;
        if let Some(holder) = holders.get_mut(&self.number) {
            if holder.ended.is_cancelled() {
                leaving.subtract(settings.demand(holder));
                self.ended = CancellationToken::new();
                holder.ended = self.ended.clone();
            }
            holder.state = state;
            holder.since = Instant::now();
            let wanted = settings.demand_of(bytes.min(holder.bytes), self.is_connection);
            budget.apply(self.number, wanted, &settings);
        }
        drop(budget);
        self.budget.inner.released.notify_waiters();
    }

    /// Returns the bytes of the lease.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let state = self.budget.lock();
        state
            .holders
            .get(&self.number)
            .map_or(0, |holder| holder.bytes)
    }

    /// Moves a part of the lease into one of its own, for memory that outlives the request.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let part = self.budget.lease(LeaseState::Running, false);
        let settings = self.budget.inner.settings;
        let mut budget = self.budget.lock();
        let own = budget.holders.get(&self.number);
        let own = own.map_or(0, |holder| holder.bytes);
        let bytes = bytes.min(own);
        let rest = settings.demand_of(own - bytes, self.is_connection);
        budget.apply(self.number, rest, &settings);
        let moved = settings.demand_of(bytes, false);
        budget.apply(part.number, moved, &settings);
        drop(budget);
        part
    }

    /// Resolves once the holder has to give way.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Returns the token that is cancelled once the holder has to give way.
    #[must_use]
    pub fn token(&self) -> CancellationToken {
        self.ended.clone()
    }

    /// Returns whether the holder has to give way.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let settings = self.budget.inner.settings;
        self.budget.lock().remove(self.number, &settings);
        self.budget.inner.released.notify_waiters();
    }
}
