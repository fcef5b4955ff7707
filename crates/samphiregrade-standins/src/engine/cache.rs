//! The prefix cache: content-addressed blocks of tokens with least-recently-used eviction and holds.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::protocol::ChatMessage;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Bytes of text in one block.
const BLOCK_BYTES: usize = BLOCK_TOKENS * 4;

/// Cache events kept for readers.
const EVENT_LIMIT: usize = 4096;

/// Content address of a block: a hash over its text and all preceding text.
pub type BlockHash = u64;

/// One change of a session's cached tokens.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheEvent {
    sequence: u64,
    session: SmolStr,
    cached_tokens: usize,
    #[serde(skip)]
    at: Option<Instant>,
}

#[derive(Debug)]
struct SessionHold {
    blocks: Vec<BlockHash>,
    since: Instant,
}

/// The cache of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    event_loss: f64,
    clock: u64,
    blocks: HashMap<BlockHash, u64>,
    order: BTreeMap<u64, BlockHash>,
    sessions: HashMap<SmolStr, Vec<BlockHash>>,
    holds: HashMap<SmolStr, SessionHold>,
    pinned: HashMap<BlockHash, u32>,
    held_token_seconds: f64,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

/// Returns the hashes of a conversation's blocks; a remainder shorter than a block is ignored.
pub fn block_hashes(messages: &[ChatMessage], answer: &str) -> Vec<BlockHash> {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.content);
    }
    text.push_str(answer);
    let mut hasher = DefaultHasher::new();
    let mut blocks = Vec::new();
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        block.hash(&mut hasher);
        blocks.push(hasher.finish());
    }
    blocks
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    pub fn new(tokens: usize, event_loss: f64) -> Self {
        Self {
            limit: (tokens / BLOCK_TOKENS).max(1),
            event_loss,
            clock: 0,
            blocks: HashMap::new(),
            order: BTreeMap::new(),
            sessions: HashMap::new(),
            holds: HashMap::new(),
            pinned: HashMap::new(),
            held_token_seconds: 0.0,
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of leading tokens that are cached, and marks them as recently used.
    pub fn touch_prefix(&mut self, hashes: &[BlockHash]) -> usize {
        let mut found = 0;
        for hash in hashes {
            if !self.blocks.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            found += 1;
        }
        found * BLOCK_TOKENS
    }

    /// Stores a session's blocks and evicts the least recently used blocks without a hold.
    pub fn insert(&mut self, session: &SmolStr, hashes: &[BlockHash], now: Instant) {
        for hash in hashes {
            self.touch(*hash);
        }
        self.evict();
        self.sessions.insert(session.clone(), hashes.to_vec());
        let present = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        self.record_event(session, present * BLOCK_TOKENS, now);
    }

    fn touch(&mut self, hash: BlockHash) {
        self.clock += 1;
        if let Some(old) = self.blocks.insert(hash, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, hash);
    }

    fn evict(&mut self) {
        let excess = self.blocks.len().saturating_sub(self.limit);
        if excess == 0 {
            return;
        }
        let evicted: Vec<(u64, BlockHash)> = self
            .order
            .iter()
            .filter(|(_, hash)| !self.pinned.contains_key(hash))
            .take(excess)
            .map(|(clock, hash)| (*clock, *hash))
            .collect();
        for (clock, hash) in evicted {
            self.order.remove(&clock);
            self.blocks.remove(&hash);
        }
    }

    fn record_event(&mut self, session: &SmolStr, cached_tokens: usize, now: Instant) {
        self.sequence += 1;
        if rand::random::<f64>() < self.event_loss {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            session: session.clone(),
            cached_tokens,
            at: Some(now),
        };
        self.events.push_back(event);
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number whose age is at least the lag.
    pub fn events_since(&self, since: u64, now: Instant, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > since)
            .filter(|event| event.at.is_none_or(|at| now.duration_since(at) >= lag))
            .cloned()
            .collect()
    }

    /// Protects a session's blocks from eviction; returns the number of held tokens.
    pub fn hold(&mut self, session: &SmolStr, now: Instant) -> usize {
        self.release(session, now);
        let known = self.sessions.get(session).cloned().unwrap_or_default();
        let blocks: Vec<BlockHash> = known
            .into_iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .collect();
        for hash in &blocks {
            *self.pinned.entry(*hash).or_default() += 1;
        }
        let held = blocks.len() * BLOCK_TOKENS;
        let entry = SessionHold { blocks, since: now };
        self.holds.insert(session.clone(), entry);
        held
    }

    /// Releases the hold on a session's blocks.
    pub fn release(&mut self, session: &SmolStr, now: Instant) {
        let Some(hold) = self.holds.remove(session) else {
            return;
        };
        self.held_token_seconds += hold_cost(&hold, now);
        for hash in hold.blocks {
            let Some(count) = self.pinned.get_mut(&hash) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.pinned.remove(&hash);
            }
        }
        self.evict();
    }

    /// Returns a session's blocks for import by another engine.
    pub fn export(&self, session: &SmolStr) -> Vec<BlockHash> {
        self.sessions.get(session).cloned().unwrap_or_default()
    }

    /// Stores blocks that another engine exported.
    pub fn import(&mut self, session: &SmolStr, blocks: &[BlockHash], now: Instant) {
        self.insert(session, blocks, now);
    }

    /// Returns the held sessions, ordered by name.
    pub fn held_sessions(&self) -> Vec<SmolStr> {
        let names: std::collections::BTreeSet<_> = self.holds.keys().cloned().collect();
        names.into_iter().collect()
    }

    /// Returns the token-seconds of all holds so far: held tokens times the seconds of the hold.
    pub fn held_token_seconds(&self, now: Instant) -> f64 {
        let open: f64 = self.holds.values().map(|hold| hold_cost(hold, now)).sum();
        self.held_token_seconds + open
    }

    /// Returns the number of used tokens and of held tokens.
    pub fn usage(&self) -> (usize, usize) {
        let held: HashSet<&BlockHash> = self.pinned.keys().collect();
        (self.blocks.len() * BLOCK_TOKENS, held.len() * BLOCK_TOKENS)
    }
}

#[expect(clippy::cast_precision_loss, reason = "a cost far below 2^52")]
fn hold_cost(hold: &SessionHold, now: Instant) -> f64 {
    let tokens = (hold.blocks.len() * BLOCK_TOKENS) as f64;
    tokens * now.duration_since(hold.since).as_secs_f64()
}
