//! The indirect path to keepers: an entry that doesn't reach them sends its requests through another entry, its helper.
//!
//! Handles network partitions that separate a machine from the keepers only: the entry still reaches its clients, other
//! entries and all upstreams, but would refuse every turn for as long as the partition lasts. A helper forwards a
//! request only to a keeper that it reaches directly, so there is one hop and no loop. Majorities and deadlines are
//! unaffected: a keeper's reply doesn't depend on who forwards the request.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use super::client::KeeperClient;
use super::message::{KeeperAnswer, KeeperEnvelope};
use crate::hold::lock_ignoring_poison;
use crate::model::DomainId;

/// Maximum number of known helpers.
const MAX_KNOWN_HELPERS: usize = 16;

/// Number of helpers used at a time.
const MAX_USED_HELPERS: usize = 2;

/// Maximum number of requests that a helper forwards concurrently; further ones are rejected, because the helper's own
/// requests take precedence.
const MAX_CONCURRENT_FORWARDS: usize = 64;

/// Time without a request after which an entry no longer counts as a follower of a keeper: followers send a request
/// every 0.4 s.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry that may forward requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelperAddress {
    /// Instance name.
    pub name: SmolStr,
    /// Address for links.
    pub address: std::net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: DomainId,
}

/// Request of an entry to a helper.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HelperRequest {
    /// Queries which keepers the helper reaches directly.
    Reach,
    /// Requests that the helper forwards a request to a keeper.
    Pass {
        /// Name of the keeper.
        keeper: SmolStr,
        /// The request to forward.
        envelope: Box<KeeperEnvelope>,
        /// Time for which the sender waits for the reply.
        wait: Duration,
    },
}

/// A keeper that a helper reaches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachedKeeper {
    /// Name of the keeper.
    pub name: SmolStr,
    /// Time since the keeper's last reply to the helper.
    pub silence: Duration,
}

/// Reply of a helper.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HelperReply {
    /// The keepers that the helper reaches directly.
    Reach(Vec<ReachedKeeper>),
    /// The keeper's reply.
    Passed(KeeperAnswer),
    /// The helper doesn't reach the keeper, or forwards too many requests already.
    NotPassed,
}

/// A keeper's table of the entries that follow it.
#[derive(Debug, Default)]
pub struct FollowerTable {
    followers: HashMap<SmolStr, (HelperAddress, Instant)>,
    cursor: usize,
}

impl FollowerTable {
    /// Records a request of a following entry.
    pub fn record(&mut self, follower: HelperAddress, now: Instant) {
        self.followers
            .insert(follower.name.clone(), (follower, now));
    }

    /// Returns one of the current followers other than the requester, in rotation.
    pub fn next(&mut self, requester: Option<&SmolStr>, now: Instant) -> Option<HelperAddress> {
        self.followers.retain(|_, (_, last_request)| {
            now.saturating_duration_since(*last_request) < FOLLOWER_TIMEOUT
        });
        let others: Vec<&HelperAddress> = self
            .followers
            .values()
            .map(|(follower, _)| follower)
            .filter(|follower| Some(&follower.name) != requester)
            .collect();
        self.cursor = self.cursor.wrapping_add(1);
        let chosen = others.get(self.cursor % others.len().max(1))?;
        Some((*chosen).clone())
    }
}

#[derive(Debug, Default)]
struct TableState {
    /// Entries that keepers have reported, the latest last.
    known: Vec<HelperAddress>,
    used: Vec<HelperAddress>,
    cursor: usize,
}

/// The helpers that an entry knows, and those that it currently uses.
#[derive(Debug, Default)]
pub struct HelperTable {
    state: Mutex<TableState>,
}

impl HelperTable {
    /// Records an entry that a keeper has reported.
    pub fn record(&self, helper: HelperAddress) {
        let mut state = lock_ignoring_poison(&self.state);
        state.known.retain(|known| known.name != helper.name);
        state.known.push(helper);
        if state.known.len() > MAX_KNOWN_HELPERS {
            state.known.remove(0);
        }
    }

    /// Returns the helpers in use.
    #[must_use]
    pub fn used(&self) -> Vec<HelperAddress> {
        lock_ignoring_poison(&self.state).used.clone()
    }

    /// Returns the helpers to query next: those in use, and further known ones in rotation until there are enough.
    #[must_use]
    pub fn next_to_query(&self) -> Vec<HelperAddress> {
        let mut state = lock_ignoring_poison(&self.state);
        let mut candidates = state.used.clone();
        let count = state.known.len();
        for _ in 0..count {
            if candidates.len() >= MAX_USED_HELPERS {
                break;
            }
            state.cursor = state.cursor.wrapping_add(1);
            let candidate = state.known[state.cursor % count].clone();
            if !candidates.contains(&candidate) {
                candidates.push(candidate);
            }
        }
        candidates
    }

    /// Sets whether a helper is used; returns whether that has changed.
    pub fn set_used(&self, helper: &HelperAddress, useful: bool) -> bool {
        let mut state = lock_ignoring_poison(&self.state);
        let was_used = state.used.contains(helper);
        if was_used == useful {
            return false;
        }
        if useful {
            state.used.push(helper.clone());
        } else {
            state.used.retain(|used| used != helper);
        }
        true
    }

    /// Stops using all helpers; returns whether any was used.
    pub fn clear_used(&self) -> bool {
        !std::mem::take(&mut lock_ignoring_poison(&self.state).used).is_empty()
    }
}

/// Server side of a helper: handles requests of entries that don't reach the keepers; cheap to clone.
#[derive(Clone)]
pub struct HelperService {
    keepers: KeeperClient,
    forwards: Arc<Semaphore>,
    withdrawn: Arc<AtomicBool>,
}

impl HelperService {
    /// Creates the service of an entry.
    #[must_use]
    pub fn new(keepers: KeeperClient) -> Self {
        Self {
            keepers,
            forwards: Arc::new(Semaphore::new(MAX_CONCURRENT_FORWARDS)),
            withdrawn: Arc::default(),
        }
    }

    /// Reports no reachable keepers from now on, because the instance is about to stop. Requests that still arrive are
    /// forwarded: within one or two queries their senders notice that they have to use another helper.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Relaxed);
    }

    /// Handles a request.
    pub async fn answer(&self, request: HelperRequest) -> HelperReply {
        match request {
            HelperRequest::Reach if self.withdrawn.load(Ordering::Relaxed) => {
                HelperReply::Reach(Vec::new())
            }
            HelperRequest::Reach => HelperReply::Reach(self.keepers.directly_reachable()),
            HelperRequest::Pass {
                keeper,
                envelope,
                wait,
            } => {
                let Ok(_permit) = self.forwards.try_acquire() else {
                    return HelperReply::NotPassed;
                };
                match self.keepers.forward(&keeper, &envelope, wait).await {
                    Some(answer) => HelperReply::Passed(answer),
                    None => HelperReply::NotPassed,
                }
            }
        }
    }
}
