//! What an instance has heard of the key-value service's revisions, beside what its source tells: pure.
//!
//! Answers the pattern of a source that no longer hears of changes and doesn't know it yet: its answers look like those
//! of a service without changes. All keepers tell with their answers how far they know the service, so that an instance
//! can date what its source has left out.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::dialect::StoreRevision;

/// Revisions that are kept with their times; those beyond count as heard of together with the last one.
const HEARD_LIMIT: usize = 256;

#[derive(Clone, Copy, Debug)]
struct HeardRevision {
    revision: StoreRevision,
    heard: Instant,
}

/// The revisions that others have told and this instance doesn't know yet.
#[derive(Debug, Default)]
pub struct LagTracker {
    /// Revision up to which the instance knows everything.
    position: StoreRevision,
    /// Newer revisions in order, with when each was heard of first.
    untaken: VecDeque<HeardRevision>,
    newest: StoreRevision,
    /// Who told the newest one first.
    teller: SmolStr,
}

impl LagTracker {
    /// Notes a revision up to which somebody knows everything; returns whether the instance has just fallen behind.
    pub fn hear(&mut self, teller: &SmolStr, revision: StoreRevision, now: Instant) -> bool {
        if revision <= self.newest {
            return false;
        }
        self.newest = revision;
        self.teller = teller.clone();
        if revision <= self.position {
            return false;
        }
        if self.untaken.len() >= HEARD_LIMIT
            && let Some(last) = self.untaken.back_mut()
        {
            last.revision = revision;
            return false;
        }
        self.untaken.push_back(HeardRevision {
            revision,
            heard: now,
        });
        self.untaken.len() == 1
    }

    /// Notes that the instance knows everything up to a revision.
    pub fn take(&mut self, position: StoreRevision) {
        self.position = self.position.max(position);
        while self
            .untaken
            .front()
            .is_some_and(|news| news.revision <= self.position)
        {
            self.untaken.pop_front();
        }
    }

    /// Returns since when somebody has been known to know more than this instance.
    #[must_use]
    pub fn behind_since(&self) -> Option<Instant> {
        self.untaken.front().map(|news| news.heard)
    }

    /// Returns when a source that was turned to at a moment is to be left: it has had its time to tell what others had
    /// told before. `None` while nobody knows more.
    #[must_use]
    pub fn leave_at(&self, turned: Instant, patience: Duration) -> Option<Instant> {
        let since = self.behind_since()?;
        Some(since.max(turned) + patience)
    }

    /// Returns the newest revision that was told.
    #[must_use]
    pub fn newest(&self) -> StoreRevision {
        self.newest
    }

    /// Returns who told the newest revision first; empty where nobody did.
    #[must_use]
    pub fn teller(&self) -> &SmolStr {
        &self.teller
    }
}
