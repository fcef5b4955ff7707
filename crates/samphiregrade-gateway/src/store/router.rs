//! Distributes the events of one watch among followers of key prefixes.

use tokio::sync::mpsc;

use super::follow::FollowEvent;
use crate::dialect::StorePage;

/// Maximum number of queued events per follower.
pub const EVENT_QUEUE: usize = 64;

/// A follower of the keys under a prefix.
struct PrefixFollower {
    prefix: &'static str,
    sender: mpsc::Sender<FollowEvent>,
}

/// Distributes events among followers of key prefixes.
pub struct EventRouter {
    events: mpsc::Receiver<FollowEvent>,
    followers: Vec<PrefixFollower>,
}

impl EventRouter {
    /// Creates a router of events that concern all keys.
    #[must_use]
    pub fn new(events: mpsc::Receiver<FollowEvent>) -> Self {
        Self {
            events,
            followers: Vec::new(),
        }
    }

    /// Adds a follower of the keys under a prefix; returns the receiver of its events.
    #[must_use]
    pub fn add(&mut self, prefix: &'static str) -> mpsc::Receiver<FollowEvent> {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        self.followers.push(PrefixFollower { prefix, sender });
        events
    }

    /// Distributes events until their source ends.
    pub async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            for follower in &self.followers {
                let Some(part) = select_prefix(&event, follower.prefix) else {
                    continue;
                };
                if follower.sender.send(part).await.is_err() {
                    log::debug!("the follower of prefix `{}` has ended", follower.prefix);
                }
            }
        }
    }
}

/// Returns the part of an event that concerns a prefix; `None` if the event has no relevance for the prefix.
fn select_prefix(event: &FollowEvent, prefix: &str) -> Option<FollowEvent> {
    match event {
        FollowEvent::All(page) => Some(FollowEvent::All(select_page_items(page, prefix))),
        FollowEvent::Changes(page) => {
            let part = select_page_items(page, prefix);
            let is_relevant = prefix.is_empty() || !part.items.is_empty();
            is_relevant.then_some(FollowEvent::Changes(part))
        }
        FollowEvent::Disconnected => Some(FollowEvent::Disconnected),
        FollowEvent::Reconnected(outage) => Some(FollowEvent::Reconnected(*outage)),
        FollowEvent::Confirmed(confirmed_until) => Some(FollowEvent::Confirmed(*confirmed_until)),
    }
}

fn select_page_items(page: &StorePage, prefix: &str) -> StorePage {
    let items = page.items.iter();
    StorePage {
        items: items
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect(),
        ..*page
    }
}
