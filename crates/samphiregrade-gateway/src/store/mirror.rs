//! What a keeper knows of the key-value service, kept for the instances that follow the keeper in place of the service.
//!
//! Answers the pattern of a fleet in which each instance holds a watch of its own: every change costs calls of all of
//! them. Keepers follow the service, and entries follow keepers, as a stream with a position.

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

/// Changes that are kept for those who follow; who has missed more takes everything anew.
const HISTORY_LIMIT: usize = 1024;

/// What an instance asks a keeper for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamRequest {
    /// Revision up to which the instance knows everything; `None` where it knows nothing.
    pub position: Option<StoreRevision>,
    /// How long the keeper may wait for something to tell.
    pub hold: Duration,
}

/// What is new after a position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamPart {
    /// The keeper has not read the service yet.
    Unread,
    /// All keys as they are.
    All(StorePage),
    /// The changes since then, in order.
    Changes(StorePage),
    /// Nothing; the keeper's own revision, which may be an older one.
    Nothing(StoreRevision),
}

/// A keeper's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamReply {
    /// Whether the service is out of the keeper's reach.
    pub lost: bool,
    /// Times that it has come back.
    pub returns: u64,
    /// How long ago it came back; `None` where it was never away.
    pub returned: Option<Duration>,
    /// What is new.
    pub part: StreamPart,
}

impl StreamReply {
    /// Returns the revision up to which the keeper knows everything; `None` where it has read nothing.
    #[must_use]
    pub fn revision(&self) -> Option<StoreRevision> {
        match &self.part {
            StreamPart::Unread => None,
            StreamPart::All(page) | StreamPart::Changes(page) => Some(page.revision),
            StreamPart::Nothing(at) => Some(*at),
        }
    }

    /// Returns whether the keeper knows at least as much as one who knows everything up to a position: nobody goes
    /// back.
    #[must_use]
    pub fn reaches(&self, position: Option<StoreRevision>) -> bool {
        self.revision()
            .is_some_and(|revision| revision >= position.unwrap_or(0))
    }
}

#[derive(Debug, Default)]
struct MirrorState {
    items: BTreeMap<SmolStr, StoreItem>,
    /// Changes after `floor`, in order.
    history: VecDeque<StoreItem>,
    floor: StoreRevision,
    at: Option<StoreRevision>,
    lost: bool,
    returns: u64,
    returned: Option<Instant>,
}

impl MirrorState {
    fn take(&mut self, event: &FollowEvent, now: Instant) {
        match event {
            FollowEvent::Disconnected => self.lost = true,
            FollowEvent::Reconnected(_) => {
                self.lost = false;
                self.returns += 1;
                self.returned = Some(now);
            }
            FollowEvent::All(page) => self.replace(page),
            FollowEvent::Changes(page) => self.change(page),
            FollowEvent::Confirmed(_) => {}
        }
    }

    fn replace(&mut self, page: &StorePage) {
        self.items.clear();
        for item in &page.items {
            self.items.insert(item.key.clone(), item.clone());
        }
        self.history.clear();
        self.floor = page.revision;
        self.at = Some(page.revision);
    }

    fn change(&mut self, page: &StorePage) {
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
                self.floor = self.floor.max(dropped.revision);
            }
        }
        self.at = Some(page.revision);
    }

    fn part_after(&self, position: Option<StoreRevision>) -> StreamPart {
        let Some(at) = self.at else {
            return StreamPart::Unread;
        };
        let Some(position) = position.filter(|&position| position >= self.floor) else {
            return StreamPart::All(StorePage {
                items: self.items.values().cloned().collect(),
                revision: at,
                ..StorePage::default()
            });
        };
        if position >= at {
            return StreamPart::Nothing(at);
        }
        let newer = self.history.iter();
        // An item whose revision can't be read has none; it is told again.
        let newer = newer.filter(|item| item.revision > position || item.revision == 0);
        StreamPart::Changes(StorePage {
            items: newer.cloned().collect(),
            revision: at,
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

/// The keys as a keeper knows them.
#[derive(Debug)]
pub struct StoreMirror {
    state: Mutex<MirrorState>,
    changed: watch::Sender<()>,
    /// Whether the keeper is about to stop.
    leaving: CancellationToken,
}

impl Default for StoreMirror {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            leaving: CancellationToken::new(),
        }
    }
}

impl StoreMirror {
    /// Takes what the keeper learns.
    pub fn take(&self, event: &FollowEvent, now: Instant) {
        lock_ignoring_poison(&self.state).take(event, now);
        self.changed.send_replace(());
    }

    /// Returns the revision up to which everything is known; 0 before anything is.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        lock_ignoring_poison(&self.state).at.unwrap_or(0)
    }

    /// Returns the revision of a key; `None` where it is not known.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        lock_ignoring_poison(&self.state)
            .items
            .get(key)
            .map(|item| item.revision)
    }

    /// Holds no question back from now on: a keeper that stops is away for a shorter time.
    pub fn release_waiters(&self) {
        self.leaving.cancel();
    }

    /// Answers one who follows; waits where there is nothing to tell.
    pub async fn answer(&self, request: StreamRequest) -> StreamReply {
        let mut changed = self.changed.subscribe();
        let due = Instant::now() + request.hold;
        loop {
            let now = Instant::now();
            let reply = lock_ignoring_poison(&self.state).reply(request.position, now);
            let waits = matches!(reply.part, StreamPart::Nothing(_)) && !reply.lost;
            if !waits || now >= due || self.leaving.is_cancelled() {
                return reply;
            }
            tokio::select! {
                // The sender lives as long as the mirror.
                _ = changed.changed() => {}
                () = self.leaving.cancelled() => {}
                () = tokio::time::sleep_until(due.into()) => {}
            }
        }
    }
}
