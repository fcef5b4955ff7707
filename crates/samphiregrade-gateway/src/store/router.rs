//! Handing what one watch brings to those who follow parts of it.

use tokio::sync::mpsc;

use super::follow::FollowEvent;
use crate::dialect::StorePage;

/// Events of the key-value service that may wait for one who follows.
pub const EVENT_QUEUE: usize = 64;

/// One who follows the keys under a prefix.
struct PartFollower {
    prefix: &'static str,
    sender: mpsc::Sender<FollowEvent>,
}

/// Divides events among those who follow parts of all keys.
pub struct EventRouter {
    events: mpsc::Receiver<FollowEvent>,
    followers: Vec<PartFollower>,
}

impl EventRouter {
    /// Makes a router of events that concern all keys.
    #[must_use]
    pub fn new(events: mpsc::Receiver<FollowEvent>) -> Self {
        Self {
            events,
            followers: Vec::new(),
        }
    }

    /// Adds a follower of the keys under a prefix; returns its events.
    #[must_use]
    pub fn add(&mut self, prefix: &'static str) -> mpsc::Receiver<FollowEvent> {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        self.followers.push(PartFollower { prefix, sender });
        events
    }

    /// Hands events on until their source has ended.
    pub async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            for follower in &self.followers {
                let Some(part) = part_of(&event, follower.prefix) else {
                    continue;
                };
                if follower.sender.send(part).await.is_err() {
                    log::debug!("nobody follows {} any more", follower.prefix);
                }
            }
        }
    }
}

/// Returns the part of an event that concerns a prefix; `None` where it says nothing about it.
fn part_of(event: &FollowEvent, prefix: &str) -> Option<FollowEvent> {
    match event {
        FollowEvent::All(page) => Some(FollowEvent::All(part_of_page(page, prefix))),
        FollowEvent::Changes(page) => {
            let part = part_of_page(page, prefix);
            let concerns = prefix.is_empty() || !part.items.is_empty();
            concerns.then_some(FollowEvent::Changes(part))
        }
        FollowEvent::Disconnected => Some(FollowEvent::Disconnected),
        FollowEvent::Reconnected(lost) => Some(FollowEvent::Reconnected(*lost)),
        FollowEvent::Confirmed(moment) => Some(FollowEvent::Confirmed(*moment)),
    }
}

fn part_of_page(page: &StorePage, prefix: &str) -> StorePage {
    let items = page.items.iter();
    StorePage {
        items: items
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect(),
        ..*page
    }
}
