//! Running requests and cached prompt parts of each upstream, as tracked by the keepers: pure.
//!
//! Handles large fleets in which each entry sends so few requests to each engine that it receives an engine's load only
//! once in seconds, while loads change within tenths of a second. With such outdated loads, some engines reject turns
//! while others are idle. Two keepers therefore keep an account of each upstream. Entries report to them when a request
//! starts or ends, and query the keepers of the upstreams that are relevant for a turn before selecting one. The work
//! of an instance depends on its own turns, not on the number of instances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::PrefixCache;
use super::fair_share::{
    OrganisationShare, SHARE_OBSERVATION_TIME, ShareLevel, SlotUse, WorkClaim, WorkTable,
};
use crate::model::{OrganisationTag, PromptPart, ServiceName, UpstreamTag};

/// Largest share of an engine's memory that cached parts are assumed to fill: running requests need the rest.
const CACHE_SHARE: f64 = 0.8;

/// Number of additional upstreams in a reply, the least loaded ones: a turn uses them if its home engines are full.
const EXTRA_UPSTREAMS: usize = 3;

/// Number of concurrent requests that engines are assumed to run: keepers don't know it. An idle slow upstream precedes
/// a fast one only if the latter has more requests than it runs concurrently.
const ASSUMED_SLOTS: u32 = 8;

/// Time without a request after which an upstream isn't added to replies: it may have left.
const EXTRA_ACTIVITY_TIME: Duration = Duration::from_secs(5);

/// Time without a request after which an upstream's account is dropped.
const DROP_AFTER: Duration = Duration::from_mins(1);

/// Number of upstreams above which unused accounts are dropped.
const UPSTREAM_LIMIT: usize = 256;

/// Longest time for which a run counts if its end is never reported: its entry may have crashed.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);

/// Time for which a service's fair share is used before it is computed again: the computation sorts the work of up to
/// 1,024 organisations, and a keeper answers hundreds of queries a second.
const LEVEL_LIFETIME: Duration = Duration::from_millis(50);

/// Random number of one run, assigned by the entry that sends the request.
pub type RunNumber = u64;

/// Report that a request is about to be sent to an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunStart {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Number of the run.
    pub run: RunNumber,
    /// Service of the upstream.
    pub service: ServiceName,
    /// The prompt that the upstream processes.
    pub prompt: Vec<PromptPart>,
    /// Tokens that the upstream's memory holds.
    pub capacity: u64,
    /// Longest time that the run takes.
    pub lasts: Duration,
    /// The work that the run is expected to cause; `None` if the caller has no organisation.
    pub claim: Option<WorkClaim>,
}

/// Report that a request has ended at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEnd {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Number of the run.
    pub run: RunNumber,
    /// Work that was done, in slot time; zero if the run had no result.
    pub work: Duration,
}

/// Query that an entry sends before it selects an upstream for a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountQuery {
    /// The service.
    pub service: ServiceName,
    /// Upstreams whose accounts are requested.
    pub upstreams: Vec<UpstreamTag>,
    /// The prompt.
    pub prompt: Vec<PromptPart>,
    /// The caller's organisation, whose share is requested.
    pub organisation: Option<OrganisationTag>,
}

/// Load and cache of an upstream, over all entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamAccount {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Requests that run or wait at the upstream.
    pub running: u32,
    /// Prompt tokens that the upstream would have to process.
    pub uncached: u32,
    /// The part of `uncached` that belongs to the prompt's shared prefix.
    pub uncached_first: u32,
    /// Time for which the keeper has received run starts; earlier runs are not in the account.
    pub informed: Duration,
}

#[derive(Debug)]
struct TrackedRun {
    begun: Instant,
    latest_end: Instant,
    claim: Option<WorkClaim>,
}

/// Work of a service by organisation, and the fair share computed from it.
#[derive(Debug, Default)]
struct ServiceWork {
    table: WorkTable,
    level: Option<(Instant, ShareLevel)>,
}

#[derive(Debug)]
struct UpstreamRuns {
    service: ServiceName,
    runs: HashMap<RunNumber, TrackedRun>,
    /// Requests that the upstream runs concurrently; 0 if no run had a claim.
    slots: u32,
    cache: PrefixCache,
    last_start: Instant,
}

impl UpstreamRuns {
    fn new(service: ServiceName, now: Instant) -> Self {
        Self {
            service,
            runs: HashMap::new(),
            slots: 0,
            cache: PrefixCache::with_share(CACHE_SHARE),
            last_start: now,
        }
    }

    /// Returns the number of requests that run or wait.
    fn running(&mut self, now: Instant) -> u32 {
        self.runs.retain(|_, run| now < run.latest_end);
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }
}

/// Accounts of the upstreams for which a keeper is responsible.
#[derive(Debug)]
pub struct RunTable {
    upstreams: HashMap<UpstreamTag, UpstreamRuns>,
    work: HashMap<ServiceName, ServiceWork>,
    observing_since: Instant,
}

impl RunTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            upstreams: HashMap::new(),
            work: HashMap::new(),
            observing_since: now,
        }
    }

    /// Records the start of a request.
    pub fn begin(&mut self, mut start: RunStart, now: Instant) {
        let longest = start.lasts.min(MAX_RUN_TIME);
        if let Some(claim) = &mut start.claim {
            // The estimate follows from numbers that the caller states.
            claim.work = claim.work.min(longest);
        }
        if self.upstreams.len() >= UPSTREAM_LIMIT {
            self.drop_unused(now);
        }
        let runs = self
            .upstreams
            .entry(start.upstream)
            .or_insert_with(|| UpstreamRuns::new(start.service.clone(), now));
        runs.last_start = now;
        let run = TrackedRun {
            begun: now,
            latest_end: now + longest,
            claim: start.claim,
        };
        let is_new = runs.runs.insert(start.run, run).is_none();
        runs.cache.record(&start.prompt, start.capacity, now);
        if let Some(claim) = start.claim.filter(|_| is_new) {
            runs.slots = claim.slots;
            let work = self.work.entry(start.service).or_default();
            work.table.begin(&claim, now);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, end: RunEnd, now: Instant) {
        let Some(runs) = self.upstreams.get_mut(&end.upstream) else {
            return;
        };
        let Some(run) = runs.runs.remove(&end.run) else {
            return;
        };
        if let Some((claim, work)) = run.claim.zip(self.work.get_mut(&runs.service)) {
            let elapsed = now.saturating_duration_since(run.begun);
            work.table
                .end(&claim, run.begun, end.work.min(elapsed), now);
        }
    }

    /// Returns the share of the querying organisation; `None` if the keeper doesn't know enough.
    pub fn share(&mut self, query: &AccountQuery, now: Instant) -> Option<OrganisationShare> {
        let organisation = query.organisation?;
        if now.saturating_duration_since(self.observing_since) < SHARE_OBSERVATION_TIME {
            return None;
        }
        let known = self.work.get(&query.service)?.level;
        let current =
            known.filter(|(computed, _)| now.saturating_duration_since(*computed) < LEVEL_LIFETIME);
        let slots = match current {
            Some(_) => SlotUse::default(),
            None => self.slot_use(&query.service, now),
        };
        let work = self.work.get_mut(&query.service)?;
        let (_, level) = current.unwrap_or_else(|| (now, work.table.level(&slots, now)));
        if current.is_none() {
            work.level = Some((now, level));
        }
        work.table.share(organisation, &level, now)
    }

    /// Returns the use of the slots of a service's upstreams, as far as they have received requests recently.
    fn slot_use(&mut self, service: &ServiceName, now: Instant) -> SlotUse {
        let mut slots = SlotUse::default();
        for runs in self.upstreams.values_mut() {
            let active = now.saturating_duration_since(runs.last_start) < EXTRA_ACTIVITY_TIME;
            // The slots of an upstream are unknown until a run with a claim begins there.
            if active && runs.service == *service && runs.slots > 0 {
                slots.add(runs.running(now), runs.slots);
            }
        }
        slots
    }

    /// Returns the accounts of the queried upstreams, and of the others of the service at which a request is expected to
    /// complete first. `slowdown` returns an upstream's slowdown.
    pub fn answer<Slowdown>(
        &mut self,
        query: &AccountQuery,
        now: Instant,
        slowdown: Slowdown,
    ) -> Vec<UpstreamAccount>
    where
        Slowdown: Fn(UpstreamTag) -> f64,
    {
        let mut accounts = Vec::with_capacity(query.upstreams.len() + EXTRA_UPSTREAMS);
        for &tag in &query.upstreams {
            accounts.push(self.account(tag, &query.prompt, now));
        }
        for tag in self.fastest_others(query, now, slowdown) {
            accounts.push(self.account(tag, &query.prompt, now));
        }
        accounts
    }

    fn account(
        &mut self,
        upstream: UpstreamTag,
        prompt: &[PromptPart],
        now: Instant,
    ) -> UpstreamAccount {
        let informed = now.saturating_duration_since(self.observing_since);
        let Some(runs) = self.upstreams.get_mut(&upstream) else {
            return UpstreamAccount {
                upstream,
                running: 0,
                uncached: prompt
                    .iter()
                    .map(|part| part.tokens)
                    .fold(0, u32::saturating_add),
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

    fn fastest_others<Slowdown>(
        &mut self,
        query: &AccountQuery,
        now: Instant,
        slowdown: Slowdown,
    ) -> Vec<UpstreamTag>
    where
        Slowdown: Fn(UpstreamTag) -> f64,
    {
        let mut others = Vec::new();
        for (&tag, runs) in &mut self.upstreams {
            let active = now.saturating_duration_since(runs.last_start) < EXTRA_ACTIVITY_TIME;
            if !active || runs.service != query.service || query.upstreams.contains(&tag) {
                continue;
            }
            let running = runs.running(now);
            let completion = expected_completion(running, slowdown(tag));
            others.push((completion, running, tag));
        }
        others.sort_unstable_by(|one, other| {
            let by_load = (one.1, one.2).cmp(&(other.1, other.2));
            one.0.total_cmp(&other.0).then(by_load)
        });
        others.truncate(EXTRA_UPSTREAMS);
        others.into_iter().map(|(_, _, tag)| tag).collect()
    }

    fn drop_unused(&mut self, now: Instant) {
        self.upstreams
            .retain(|_, runs| now.saturating_duration_since(runs.last_start) < DROP_AFTER);
        let upstreams = &self.upstreams;
        self.work
            .retain(|service, _| upstreams.values().any(|runs| runs.service == *service));
    }
}

/// Returns the expected completion of another request at an upstream, in units of the time for which a request occupies
/// a slot, divided by the assumed slots.
fn expected_completion(running: u32, slowdown: f64) -> f64 {
    slowdown * f64::from(running.saturating_add(1).max(ASSUMED_SLOTS))
}
