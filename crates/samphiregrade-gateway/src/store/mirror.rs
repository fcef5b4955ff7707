//! A keeper's copy of the key-value service's data, for the instances that follow the keeper instead of the service.
//!
//! Avoids that each instance of a fleet holds its own watch, with which every change would cost one call per instance.
//! Keepers follow the service, and entries follow keepers as a change stream with a position.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::follow::FollowEvent;
use crate::dialect::{StoreItem, StorePage, StoreRevision, StoreValue};
use crate::hold::lock_ignoring_poison;

/// Maximum number of changes kept for followers; a follower that has missed more receives all keys again.
const HISTORY_LIMIT: usize = 1024;

/// Request of a follower for changes after its position.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRequest {
    /// Revision up to which the follower knows all changes; `None` if it knows nothing.
    pub position: Option<StoreRevision>,
    /// Time for which the keeper may hold the request until a change occurs.
    pub hold: Duration,
}

/// Changes after a position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamPart {
    /// The keeper has not read the service yet.
    Unread,
    /// All keys in their current state.
    All(StorePage),
    /// The changes after the position, in order.
    Changes(StorePage),
    /// No changes; carries the keeper's revision, which may be older than the position.
    Nothing(StoreRevision),
}

/// A keeper's reply to a follower.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamReply {
    /// Whether the keeper can't reach the service at present.
    pub lost: bool,
    /// Number of times that the keeper has reached the service again after an outage.
    pub returns: u64,
    /// Time since the end of the last outage; `None` if there was none.
    pub returned: Option<Duration>,
    /// The changes.
    pub part: StreamPart,
}

impl StreamReply {
    /// Returns the revision up to which the keeper knows all changes; `None` if it has not read the service yet.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        match &self.part {
            StreamPart::Unread => None,
            StreamPart::All(page) | StreamPart::Changes(page) => Some(page.revision),
            StreamPart::Nothing(revision) => Some(*revision),
        }
    }

    /// Returns whether the keeper is at least as recent as a position; followers ignore other replies, so that they
    /// never go back to an older state.
    #[must_use]
    pub fn reaches(&self, position: Option<StoreRevision>) -> bool {
        self.revision()
            .is_some_and(|revision| revision >= position.unwrap_or(0))
    }
}

#[derive(Debug, Default)]
struct MirrorState {
    items: BTreeMap<SmolStr, StoreItem>,
    /// Changes after `history_start`, in order.
    history: VecDeque<StoreItem>,
    history_start: StoreRevision,
    revision: Option<StoreRevision>,
    lost: bool,
    returns: u64,
    returned: Option<Instant>,
}

impl MirrorState {
    fn apply(&mut self, event: &FollowEvent, now: Instant) {
        match event {
            FollowEvent::Disconnected => self.lost = true,
            FollowEvent::Reconnected(_) => {
                self.lost = false;
                self.returns += 1;
                self.returned = Some(now);
            }
            FollowEvent::All(page) => self.replace(page),
            FollowEvent::Changes(page) => self.apply_changes(page),
            FollowEvent::Confirmed(_) => {}
        }
    }

    fn replace(&mut self, page: &StorePage) {
        self.items.clear();
        for item in &page.items {
            self.items.insert(item.key.clone(), item.clone());
        }
        self.history.clear();
        self.history_start = page.revision;
        self.revision = Some(page.revision);
    }

    fn apply_changes(&mut self, page: &StorePage) {
        for item in &page.items {
            if item.value == StoreValue::Removed {
                self.items.remove(&item.key);
            } else {
                self.items.insert(item.key.clone(), item.clone());
            }
            self.history.push_back(item.clone());
        }
        while self.history.len() > HISTORY_LIMIT {
            if let Some(dropped) = self.history.pop_front() {
                self.history_start = self.history_start.max(dropped.revision);
            }
        }
        self.revision = Some(page.revision);
    }

    fn part_after(&self, position: Option<StoreRevision>) -> StreamPart {
        let Some(revision) = self.revision else {
            return StreamPart::Unread;
        };
        let Some(position) = position.filter(|&position| position >= self.history_start) else {
            return StreamPart::All(StorePage {
                items: self.items.values().cloned().collect(),
                revision,
                ..StorePage::default()
            });
        };
        if position >= revision {
            return StreamPart::Nothing(revision);
        }
        let newer = self.history.iter();
        // An item whose revision can't be decoded has revision 0; it is sent each time.
        let newer = newer.filter(|item| item.revision > position || item.revision == 0);
        StreamPart::Changes(StorePage {
            items: newer.cloned().collect(),
            revision,
            ..StorePage::default()
        })
    }

    fn reply(&self, position: Option<StoreRevision>, now: Instant) -> StreamReply {
        let since = |returned: Instant| now.saturating_duration_since(returned);
        StreamReply {
            lost: self.lost,
            returns: self.returns,
            returned: self.returned.map(since),
            part: self.part_after(position),
        }
    }
}

/// A keeper's copy of all keys, with the requests that wait for changes.
#[derive(Debug)]
pub struct StoreMirror {
    state: Mutex<MirrorState>,
    changed: watch::Sender<()>,
    /// Whether the keeper is about to stop.
    stopping: CancellationToken,
}

impl Default for StoreMirror {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            stopping: CancellationToken::new(),
        }
    }
}

impl StoreMirror {
    /// Applies an event of the followed service.
    pub fn take(&self, event: &FollowEvent, now: Instant) {
        lock_ignoring_poison(&self.state).apply(event, now);
        self.changed.send_replace(());
    }

    /// Returns the revision up to which all changes are known; 0 before the first read.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        lock_ignoring_poison(&self.state).revision.unwrap_or(0)
    }

    /// Returns the revision of a key; `None` if the key is unknown.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        lock_ignoring_poison(&self.state)
            .items
            .get(key)
            .map(|item| item.revision)
    }

    /// Replies to all held requests at once and holds none from now on, which shortens the downtime of a restarting
    /// keeper.
    pub fn release_waiters(&self) {
        self.stopping.cancel();
    }

    /// Handles a follower's request; holds it while there are no changes.
    pub async fn answer(&self, request: StreamRequest) -> StreamReply {
        let mut changed = self.changed.subscribe();
        let deadline = Instant::now() + request.hold;
        loop {
            let now = Instant::now();
            let reply = lock_ignoring_poison(&self.state).reply(request.position, now);
            let must_wait = matches!(reply.part, StreamPart::Nothing(_)) && !reply.lost;
            if !must_wait || now >= deadline || self.stopping.is_cancelled() {
                return reply;
            }
            tokio::select! {
                // An error can't occur: the sender lives as long as the mirror.
                _ = changed.changed() => {}
                () = self.stopping.cancelled() => {}
                () = tokio::time::sleep_until(deadline.into()) => {}
            }
        }
    }
}
