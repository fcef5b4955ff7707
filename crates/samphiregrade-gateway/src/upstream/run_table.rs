//! What runs at each upstream and what it has cached, as the keepers account for it: pure.
//!
//! Answers the pattern of a fleet in which each entry sends so little to each of many engines that it hears of an engine's
//! load once in seconds, while loads change within tenths of a second: entries place blindly, so that some engines turn
//! requests away while others idle. Two keepers account for each upstream. Entries tell them what begins and ends there,
//! and ask the keepers of the upstreams that matter to a turn before they place it. What an instance does in a second
//! depends on its own turns, not on the number of instances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::PrefixCache;
use crate::model::{PromptPart, ServiceName, UpstreamTag};

/// Share of an engine's memory that cached parts are thought to fill at most: requests that run need the rest.
const CACHE_SHARE: f64 = 0.8;

/// Other upstreams that an answer tells of, the least loaded ones: a turn finds room where its homes have none.
const OTHERS_TOLD: usize = 3;

/// Time without a request after which an upstream isn't told of by itself: it may have left.
const OTHERS_FRESH: Duration = Duration::from_secs(5);

/// Time without a request after which an upstream is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Upstreams that are accounted for before forgotten ones are looked for.
const UPSTREAM_LIMIT: usize = 256;

/// Longest time for which a run counts whose end is never told: its entry may have died.
const LONGEST_RUN: Duration = Duration::from_secs(30);

/// Number of one run, drawn by the entry that sends it.
pub type RunNumber = u64;

/// A request that is about to be sent to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunStart {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// Number of the run.
    pub run: RunNumber,
    /// Service of the upstream.
    pub service: ServiceName,
    /// The prompt that the upstream reads.
    pub prompt: Vec<PromptPart>,
    /// Tokens that the upstream's memory holds.
    pub capacity: u64,
    /// Time after which the run is over at the latest.
    pub lasts: Duration,
}

/// A request that is over at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEnd {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// Number of the run.
    pub run: RunNumber,
}

/// What an entry asks before it places a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountQuery {
    /// The service.
    pub service: ServiceName,
    /// Upstreams that matter most.
    pub upstreams: Vec<UpstreamTag>,
    /// The prompt.
    pub prompt: Vec<PromptPart>,
}

/// How an upstream stands, by all entries' account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamAccount {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// Requests that run or wait there.
    pub running: u32,
    /// Tokens of the prompt that it would have to read.
    pub uncached: u32,
    /// Those of them that belong to the prompt's first part.
    pub uncached_first: u32,
    /// How long the keeper has been told of what begins: what began before is not in the account.
    pub informed: Duration,
}

#[derive(Debug)]
struct UpstreamRuns {
    service: ServiceName,
    /// When each run is over at the latest.
    runs: HashMap<RunNumber, Instant>,
    cache: PrefixCache,
    used: Instant,
}

impl UpstreamRuns {
    fn new(service: ServiceName, now: Instant) -> Self {
        Self {
            service,
            runs: HashMap::new(),
            cache: PrefixCache::with_share(CACHE_SHARE),
            used: now,
        }
    }

    /// Returns how many requests run or wait.
    fn running(&mut self, now: Instant) -> u32 {
        self.runs.retain(|_, due| now < *due);
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }
}

/// Accounts of the upstreams that a keeper is asked for.
#[derive(Debug)]
pub struct RunTable {
    upstreams: HashMap<UpstreamTag, UpstreamRuns>,
    since: Instant,
}

impl RunTable {
    /// Starts without any.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            upstreams: HashMap::new(),
            since: now,
        }
    }

    /// Notes a request that is about to be sent.
    pub fn begin(&mut self, start: RunStart, now: Instant) {
        if self.upstreams.len() >= UPSTREAM_LIMIT {
            self.forget_unused(now);
        }
        let runs = self
            .upstreams
            .entry(start.upstream)
            .or_insert_with(|| UpstreamRuns::new(start.service, now));
        runs.used = now;
        runs.runs
            .insert(start.run, now + start.lasts.min(LONGEST_RUN));
        runs.cache.note(&start.prompt, start.capacity, now);
    }

    /// Notes a request that is over.
    pub fn end(&mut self, end: RunEnd) {
        if let Some(runs) = self.upstreams.get_mut(&end.upstream) {
            runs.runs.remove(&end.run);
        }
    }

    /// Tells how the upstreams stand that are asked for, and some others of the service that have room.
    pub fn answer(&mut self, question: &AccountQuery, now: Instant) -> Vec<UpstreamAccount> {
        let mut accounts = Vec::with_capacity(question.upstreams.len() + OTHERS_TOLD);
        for &tag in &question.upstreams {
            accounts.push(self.account(tag, &question.prompt, now));
        }
        for tag in self.others_with_room(question, now) {
            accounts.push(self.account(tag, &question.prompt, now));
        }
        accounts
    }

    fn account(
        &mut self,
        upstream: UpstreamTag,
        prompt: &[PromptPart],
        now: Instant,
    ) -> UpstreamAccount {
        let informed = now.saturating_duration_since(self.since);
        let Some(runs) = self.upstreams.get_mut(&upstream) else {
            return UpstreamAccount {
                upstream,
                running: 0,
                uncached: prompt.iter().map(|part| part.tokens).sum(),
                uncached_first: prompt.first().map_or(0, |part| part.tokens),
                informed,
            };
        };
        let first = prompt.get(..1).unwrap_or_default();
        UpstreamAccount {
            upstream,
            running: runs.running(now),
            uncached: runs.cache.uncached(prompt, false, now),
            uncached_first: runs.cache.uncached(first, false, now),
            informed,
        }
    }

    fn others_with_room(&mut self, question: &AccountQuery, now: Instant) -> Vec<UpstreamTag> {
        let mut others = Vec::new();
        for (&tag, runs) in &mut self.upstreams {
            let fresh = now.saturating_duration_since(runs.used) < OTHERS_FRESH;
            if !fresh || runs.service != question.service || question.upstreams.contains(&tag) {
                continue;
            }
            others.push((runs.running(now), tag));
        }
        others.sort_unstable();
        others.truncate(OTHERS_TOLD);
        others.into_iter().map(|(_, tag)| tag).collect()
    }

    fn forget_unused(&mut self, now: Instant) {
        self.upstreams
            .retain(|_, runs| now.saturating_duration_since(runs.used) < FORGET_AFTER);
    }
}
