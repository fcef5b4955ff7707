//! Survey of a request for an engine: the keepers' accounts of the engines that are relevant for its placement.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::context::EntryContext;
use super::dispatch::learned_slowdown;
use super::request::RoutedRequest;
use crate::fact::KeeperClient;
use crate::model::UpstreamTag;
use crate::upstream::{
    AccountQuery, InFlightGuard, RunEnd, RunStart, SharedPrefix, Upstream, UpstreamAccount,
    rank_homes,
};

/// Timeout of the queries for accounts: several round trips within a region. A keeper that has just become unreachable
/// delays a turn by no more than this; processing a shared prefix again costs an engine more.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(20);

/// Maximum number of the shared prefix's homes whose accounts are queried.
const MAX_HOMES: usize = 5;

/// Number of engines after the homes whose accounts are also queried: if the homes are full, all entries fall back to
/// the same engines, which then have the prefix cached.
const SPARE_ENGINES: usize = 2;

/// What is known about a service's upstreams when a request is placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// Homes of the shared prefix of the prompt.
    pub homes: Vec<UpstreamTag>,
    /// Accounts of the relevant upstreams.
    pub accounts: Vec<UpstreamAccount>,
}

impl PlacementView {
    /// Returns the account of an upstream, if there is one.
    #[must_use]
    pub fn account(&self, upstream: UpstreamTag) -> Option<&UpstreamAccount> {
        self.accounts
            .iter()
            .find(|account| account.upstream == upstream)
    }
}

/// Queries the keepers for the accounts of the engines that are relevant for a request: the one that ran the previous
/// turn, and the homes of the shared prefix.
pub async fn survey(context: &EntryContext, request: &RoutedRequest) -> PlacementView {
    let prompt = &request.metadata.prompt;
    let (Some(part), Some(engine)) = (prompt.first(), &request.service.engine) else {
        return PlacementView::default();
    };
    let first = SharedPrefix {
        tag: part.tag,
        tokens: part.tokens,
        share: context.prefix_shares.count(part.tag, Instant::now()),
        capacity: engine.cache_tokens,
    };
    let SurveyPlan { homes, upstreams } = plan_survey(context, request, &first);
    let query = AccountQuery {
        service: request.service.name.clone(),
        upstreams,
        prompt: prompt.clone(),
    };
    let accounts = match context.keepers.load_full() {
        Some(keepers) => keepers.query_accounts(&query, SURVEY_TIMEOUT).await,
        None => Vec::new(),
    };
    PlacementView { homes, accounts }
}

/// The engines of a survey.
struct SurveyPlan {
    homes: Vec<UpstreamTag>,
    upstreams: Vec<UpstreamTag>,
}

fn plan_survey(
    context: &EntryContext,
    request: &RoutedRequest,
    first: &SharedPrefix,
) -> SurveyPlan {
    let directory = context.directory.load();
    let eligible: Vec<_> = directory
        .of(&request.service.name)
        .iter()
        .filter(|upstream| upstream.takes_requests())
        .collect();
    let engines: Vec<u64> = eligible.iter().map(|upstream| upstream.tag).collect();
    let now = Instant::now();
    let slowdown = |index: usize| learned_slowdown(context, eligible[index].start_tag, now);
    let ranking = rank_homes(first, &engines).with_slow_last(slowdown);
    let homes = ranking
        .homes()
        .iter()
        .map(|&index| eligible[index].start_tag);
    let homes = homes.collect();
    let mut upstreams = Vec::with_capacity(1 + MAX_HOMES + SPARE_ENGINES);
    for upstream in &eligible {
        if request.uncached_since_last_turn(&upstream.record).is_some() {
            upstreams.push(upstream.start_tag);
        }
    }
    for index in ranking.sample(MAX_HOMES, SPARE_ENGINES, &mut rand::rng()) {
        let tag = eligible[index].start_tag;
        if !upstreams.contains(&tag) {
            upstreams.push(tag);
        }
    }
    SurveyPlan { homes, upstreams }
}

/// Guard of a request that counts as running at an upstream, both here and in the accounts of the keepers.
pub struct RunGuard {
    in_flight: InFlightGuard,
    _reported: Option<ReportedRun>,
}

impl RunGuard {
    /// Counts a request as running at an upstream until the guard is dropped.
    #[must_use]
    pub fn begin(
        context: &EntryContext,
        request: &RoutedRequest,
        upstream: &Arc<Upstream>,
    ) -> Self {
        Self {
            in_flight: upstream.begin(),
            _reported: ReportedRun::begin(context, request, upstream),
        }
    }

    /// Returns the upstream.
    #[must_use]
    pub fn upstream(&self) -> &Arc<Upstream> {
        self.in_flight.upstream()
    }
}

/// A run that was reported to the keepers of its engine; its end is reported on drop.
struct ReportedRun {
    keepers: Arc<KeeperClient>,
    end: RunEnd,
}

impl ReportedRun {
    /// Reports to the keepers of an engine that a request is about to be sent there. Plain services have no accounts.
    fn begin(context: &EntryContext, request: &RoutedRequest, upstream: &Upstream) -> Option<Self> {
        let engine = request.service.engine.as_ref()?;
        let keepers = context.keepers.load_full()?;
        let end = RunEnd {
            upstream: upstream.start_tag,
            run: rand::random(),
        };
        keepers.report_run_start(RunStart {
            upstream: end.upstream,
            run: end.run,
            service: request.service.name.clone(),
            prompt: request.metadata.prompt.clone(),
            capacity: engine.cache_tokens,
            lasts: request.time_left(Instant::now()),
        });
        Some(Self { keepers, end })
    }
}

impl Drop for ReportedRun {
    fn drop(&mut self) {
        self.keepers.report_run_end(self.end);
    }
}
