//! Model test of the mirrors that keepers serve: interleavings of watches, outages, restarts and dropped history.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use samphiregrade_gateway::dialect::{StoreItem, StorePage, StoreRevision, StoreValue};
use samphiregrade_gateway::store::{
    FollowEvent, StoreMirror, StreamPart, StreamReply, StreamRequest,
};
use smol_str::{SmolStr, format_smolstr};

/// Keepers that watch the service.
const WATCHERS: usize = 3;

/// Instances that follow keepers.
const FOLLOWERS: usize = 2;

type Keys = BTreeMap<SmolStr, StoreRevision>;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A key is written.
    Write(u8),
    /// A key is removed.
    Remove(u8),
    /// A watching keeper receives all changes up to now.
    Watch(u8),
    /// A watching keeper has lost the service, and reads all keys again.
    ReadAgain(u8),
    /// A keeper restarts without data.
    Restart(u8),
    /// A follower sends a request to a keeper.
    Follow(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = u8::arbitrary(source);
        match u8::arbitrary(source) % 12 {
            0..=3 => Self::Write(number % 6),
            4 => Self::Remove(number % 6),
            5..=6 => Self::Watch(number % 3),
            7 => Self::ReadAgain(number % 3),
            8 => Self::Restart(number % 3),
            _ => Self::Follow(number % 2, u8::arbitrary(source) % 3),
        }
    }
}

/// Model of the service with all its past states.
struct ModelService {
    revision: StoreRevision,
    history: Vec<StoreItem>,
    states: Vec<Keys>,
}

impl ModelService {
    fn new() -> Self {
        Self {
            revision: 0,
            history: Vec::new(),
            states: vec![Keys::new()],
        }
    }

    fn change(&mut self, key: u8, value: StoreValue) {
        self.revision += 1;
        let key = format_smolstr!("key-{key}");
        let mut keys = self.states.last().cloned().unwrap_or_default();
        if value == StoreValue::Removed {
            keys.remove(&key);
        } else {
            keys.insert(key.clone(), self.revision);
        }
        self.states.push(keys);
        self.history.push(StoreItem {
            key,
            value,
            revision: self.revision,
        });
    }

    fn at(&self, revision: StoreRevision) -> &Keys {
        &self.states[usize::try_from(revision).expect("a small revision")]
    }

    fn all(&self) -> StorePage {
        let items = self.at(self.revision).iter();
        StorePage {
            items: items
                .map(|(key, &revision)| StoreItem {
                    key: key.clone(),
                    value: StoreValue::Present(vec![]),
                    revision,
                })
                .collect(),
            revision: self.revision,
            ..StorePage::default()
        }
    }

    fn changes(&self, after: StoreRevision) -> StorePage {
        let items = self.history.iter();
        StorePage {
            items: items
                .filter(|item| item.revision > after)
                .cloned()
                .collect(),
            revision: self.revision,
            ..StorePage::default()
        }
    }
}

#[derive(Default)]
struct ModelFollower {
    keys: Keys,
    position: Option<StoreRevision>,
}

impl ModelFollower {
    fn take(&mut self, reply: &StreamReply) {
        if !reply.reaches(self.position) {
            return;
        }
        match &reply.part {
            StreamPart::All(page) => {
                self.keys.clear();
                self.apply(page);
            }
            StreamPart::Changes(page) => self.apply(page),
            StreamPart::Nothing(_) | StreamPart::Unread => {}
        }
    }

    fn apply(&mut self, page: &StorePage) {
        for item in &page.items {
            if item.value == StoreValue::Removed {
                self.keys.remove(&item.key);
            } else {
                self.keys.insert(item.key.clone(), item.revision);
            }
        }
        self.position = Some(page.revision);
    }
}

fn request_changes(mirror: &StoreMirror, position: Option<StoreRevision>) -> StreamReply {
    let request = StreamRequest {
        position,
        hold: Duration::ZERO,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(mirror.answer(request))
}

/// Runs the steps; returns whether each follower's data always equalled the service's state at the follower's position,
/// and no position ever decreased.
fn invariants_hold(steps: &[Step]) -> bool {
    let now = Instant::now();
    let mut service = ModelService::new();
    let mut mirrors: Vec<StoreMirror> = (0..WATCHERS).map(|_| StoreMirror::default()).collect();
    let mut followers: Vec<ModelFollower> =
        (0..FOLLOWERS).map(|_| ModelFollower::default()).collect();
    for step in steps {
        match *step {
            Step::Write(key) => service.change(key, StoreValue::Present(vec![])),
            Step::Remove(key) => service.change(key, StoreValue::Removed),
            Step::Watch(watcher) => {
                let mirror = &mirrors[usize::from(watcher)];
                // A watch starts only after a read.
                let event = if matches!(request_changes(mirror, None).part, StreamPart::Unread) {
                    FollowEvent::All(service.all())
                } else {
                    FollowEvent::Changes(service.changes(mirror.revision()))
                };
                mirror.take(&event, now);
            }
            Step::ReadAgain(watcher) => {
                let mirror = &mirrors[usize::from(watcher)];
                mirror.take(&FollowEvent::Disconnected, now);
                mirror.take(&FollowEvent::Reconnected(Duration::ZERO), now);
                mirror.take(&FollowEvent::All(service.all()), now);
            }
            Step::Restart(watcher) => mirrors[usize::from(watcher)] = StoreMirror::default(),
            Step::Follow(follower, watcher) => {
                let follower = &mut followers[usize::from(follower)];
                let previous_position = follower.position;
                follower.take(&request_changes(
                    &mirrors[usize::from(watcher)],
                    previous_position,
                ));
                let expected_keys = service.at(follower.position.unwrap_or(0));
                if follower.position < previous_position || follower.keys != *expected_keys {
                    return false;
                }
            }
        }
    }
    true
}

quickcheck! {
    fn followers_have_consistent_data_and_never_go_back(steps: Vec<Step>) -> bool {
        invariants_hold(&steps)
    }
}

#[test]
fn followers_are_consistent_over_a_long_run() {
    let mut source = Gen::new(3000);
    assert!(invariants_hold(&Vec::<Step>::arbitrary(&mut source)));
}

fn page(at: StoreRevision, items: &[(u64, StoreRevision)]) -> StorePage {
    let items = items.iter();
    StorePage {
        items: items
            .map(|&(key, revision)| StoreItem {
                key: format_smolstr!("key-{key}"),
                value: StoreValue::Present(vec![]),
                revision,
            })
            .collect(),
        revision: at,
        ..StorePage::default()
    }
}

#[test]
fn follower_that_missed_too_many_changes_receives_all_keys() {
    let now = Instant::now();
    let mirror = StoreMirror::default();
    mirror.take(&FollowEvent::All(page(1, &[(0, 1)])), now);
    for revision in 2..3000 {
        let change = FollowEvent::Changes(page(revision, &[(revision % 7, revision)]));
        mirror.take(&change, now);
    }
    assert!(matches!(
        request_changes(&mirror, Some(1)).part,
        StreamPart::All(_)
    ));
    let StreamPart::Changes(newer) = request_changes(&mirror, Some(2990)).part else {
        panic!("changes are kept");
    };
    assert_eq!(newer.items.len(), 9);
}

#[test]
fn keeper_that_lost_the_service_reports_it_at_once() {
    let now = Instant::now();
    let mirror = StoreMirror::default();
    assert_eq!(request_changes(&mirror, None).part, StreamPart::Unread);
    mirror.take(&FollowEvent::All(page(5, &[(0, 5)])), now);
    mirror.take(&FollowEvent::Disconnected, now);
    let reply = request_changes(&mirror, Some(5));
    assert_eq!((reply.lost, reply.part), (true, StreamPart::Nothing(5)));
    mirror.take(&FollowEvent::Reconnected(Duration::ZERO), now);
    let reply = request_changes(&mirror, Some(5));
    assert_eq!((reply.lost, reply.returns), (false, 1));
}

#[tokio::test]
async fn held_request_returns_a_change() {
    let mirror = StoreMirror::default();
    mirror.take(&FollowEvent::All(page(5, &[(0, 5)])), Instant::now());
    let request = StreamRequest {
        position: Some(5),
        hold: Duration::from_mins(10),
    };
    let change = async {
        tokio::task::yield_now().await;
        let changed = FollowEvent::Changes(page(6, &[(1, 6)]));
        mirror.take(&changed, Instant::now());
    };
    let (reply, ()) = tokio::join!(mirror.answer(request), change);
    assert_eq!(reply.part, StreamPart::Changes(page(6, &[(1, 6)])));
}
