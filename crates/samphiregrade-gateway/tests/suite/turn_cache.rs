//! Tests of the cache of completed chains.

use bytes::Bytes;
use samphiregrade_gateway::exchange::TurnCache;

fn chain(length: usize) -> Bytes {
    Bytes::from(vec![b'x'; length])
}

#[test]
fn oldest_chains_are_evicted() {
    let cache = TurnCache::new(100);
    for id in ["a", "b", "c"] {
        cache.insert(&id.into(), chain(40));
    }
    assert!(cache.get(&"a".into()).is_none());
    assert!(cache.get(&"b".into()).is_some());
    assert!(cache.get(&"c".into()).is_some());
}

// Guards against a cache that shrinks with each turn that is stored again, until it keeps nothing.
#[test]
fn chain_that_is_stored_again_counts_once() {
    let cache = TurnCache::new(100);
    for _ in 0..50 {
        cache.insert(&"a".into(), chain(40));
    }
    cache.insert(&"b".into(), chain(40));
    assert!(cache.get(&"a".into()).is_some());
    assert!(cache.get(&"b".into()).is_some());
    cache.insert(&"c".into(), chain(40));
    assert!(cache.get(&"a".into()).is_none());
    assert!(cache.get(&"b".into()).is_some());
    assert!(cache.get(&"c".into()).is_some());
}
