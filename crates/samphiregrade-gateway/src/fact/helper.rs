//! The indirect path to keepers: an entry that doesn't reach them passes its questions on through another entry.
//!
//! Answers the pattern of machines that are cut off from the keepers and from nothing else: the entry still reaches its
//! clients, other entries and all upstreams, and would refuse every turn for as long as the cut lasts. A helper passes a
//! question on to a keeper that it reaches itself, so that there is one hop and no loop. Majorities and deadlines stay as
//! they are: a keeper answers the same whoever carries the question.

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

/// Helpers that are remembered.
const KNOWN_HELPERS: usize = 16;

/// Helpers that are used at a time.
const USED_HELPERS: usize = 2;

/// Questions that a helper carries at a time; its own come first, so more are turned down.
const CARRIED_AT_ONCE: usize = 64;

/// Time after which an entry that follows a keeper no longer counts as there: it asks every 0.4 s.
const FOLLOWER_FRESH: Duration = Duration::from_secs(2);

/// An entry that may carry questions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelperAddress {
    /// Name of the instance.
    pub name: SmolStr,
    /// Its address for links.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What an entry asks another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HelperRequest {
    /// Asks which keepers the other one reaches.
    Reach,
    /// Asks it to pass a question on.
    Pass {
        /// Name of the keeper.
        keeper: SmolStr,
        /// The question.
        envelope: Box<KeeperEnvelope>,
        /// How long the asker waits.
        wait: Duration,
    },
}

/// A keeper that a helper reaches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachedKeeper {
    /// Name of the keeper.
    pub name: SmolStr,
    /// How long the helper has heard nothing of it.
    pub silence: Duration,
}

/// A helper's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum HelperReply {
    /// The keepers that it reaches.
    Reach(Vec<ReachedKeeper>),
    /// The keeper's answer.
    Passed(KeeperAnswer),
    /// It doesn't reach the keeper, or carries too many questions.
    NotPassed,
}

/// The entries that follow a keeper, as the keeper knows them.
#[derive(Debug, Default)]
pub struct FollowerTable {
    followers: HashMap<SmolStr, (HelperAddress, Instant)>,
    turn: usize,
}

impl FollowerTable {
    /// Notes an entry that follows.
    pub fn note(&mut self, follower: HelperAddress, now: Instant) {
        self.followers
            .insert(follower.name.clone(), (follower, now));
    }

    /// Returns one of the entries that still follow, another one each time; none is the one that asks.
    pub fn next(&mut self, asker: Option<&SmolStr>, now: Instant) -> Option<HelperAddress> {
        self.followers
            .retain(|_, (_, noted)| now.saturating_duration_since(*noted) < FOLLOWER_FRESH);
        let others: Vec<&HelperAddress> = self
            .followers
            .values()
            .map(|(follower, _)| follower)
            .filter(|follower| Some(&follower.name) != asker)
            .collect();
        self.turn = self.turn.wrapping_add(1);
        let chosen = others.get(self.turn % others.len().max(1))?;
        Some((*chosen).clone())
    }
}

#[derive(Debug, Default)]
struct BookState {
    /// Entries that keepers have told of, the newest last.
    known: Vec<HelperAddress>,
    used: Vec<HelperAddress>,
    turn: usize,
}

/// The helpers that an entry knows, and those that it uses.
#[derive(Debug, Default)]
pub struct HelperTable {
    state: Mutex<BookState>,
}

impl HelperTable {
    /// Notes an entry of which a keeper has told.
    pub fn note(&self, helper: HelperAddress) {
        let mut state = lock_ignoring_poison(&self.state);
        state.known.retain(|known| known.name != helper.name);
        state.known.push(helper);
        if state.known.len() > KNOWN_HELPERS {
            state.known.remove(0);
        }
    }

    /// Returns the helpers in use.
    #[must_use]
    pub fn used(&self) -> Vec<HelperAddress> {
        lock_ignoring_poison(&self.state).used.clone()
    }

    /// Returns the helpers to ask next for whom they reach: those in use, and others until there are enough.
    #[must_use]
    pub fn next_to_ask(&self) -> Vec<HelperAddress> {
        let mut state = lock_ignoring_poison(&self.state);
        let mut asked = state.used.clone();
        let count = state.known.len();
        for _ in 0..count {
            if asked.len() >= USED_HELPERS {
                break;
            }
            state.turn = state.turn.wrapping_add(1);
            let candidate = state.known[state.turn % count].clone();
            if !asked.contains(&candidate) {
                asked.push(candidate);
            }
        }
        asked
    }

    /// Notes whether a helper is of use; returns whether that has changed.
    pub fn set_used(&self, helper: &HelperAddress, useful: bool) -> bool {
        let mut state = lock_ignoring_poison(&self.state);
        let was = state.used.contains(helper);
        if was == useful {
            return false;
        }
        if useful {
            state.used.push(helper.clone());
        } else {
            state.used.retain(|used| used != helper);
        }
        true
    }

    /// Stops using helpers; returns whether any was used.
    pub fn clear_used(&self) -> bool {
        !std::mem::take(&mut lock_ignoring_poison(&self.state).used).is_empty()
    }
}

/// What an entry answers to others that are cut off from keepers; cloning it is cheap.
#[derive(Clone)]
pub struct HelperService {
    keepers: KeeperClient,
    carried: Arc<Semaphore>,
    withdrawn: Arc<AtomicBool>,
}

impl HelperService {
    /// Makes the service of an entry.
    #[must_use]
    pub fn new(keepers: KeeperClient) -> Self {
        Self {
            keepers,
            carried: Arc::new(Semaphore::new(CARRIED_AT_ONCE)),
            withdrawn: Arc::default(),
        }
    }

    /// Offers no help from now on, since the instance is about to stop. Questions that still come are carried: those
    /// who are cut off learn within a look or two that they have to turn to another helper.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Relaxed);
    }

    /// Answers a request.
    pub async fn answer(&self, request: HelperRequest) -> HelperReply {
        match request {
            HelperRequest::Reach if self.withdrawn.load(Ordering::Relaxed) => {
                HelperReply::Reach(Vec::new())
            }
            HelperRequest::Reach => HelperReply::Reach(self.keepers.reached_straight()),
            HelperRequest::Pass {
                keeper,
                envelope,
                wait,
            } => {
                let Ok(_permit) = self.carried.try_acquire() else {
                    return HelperReply::NotPassed;
                };
                match self.keepers.pass_on(&keeper, &envelope, wait).await {
                    Some(answer) => HelperReply::Passed(answer),
                    None => HelperReply::NotPassed,
                }
            }
        }
    }
}
