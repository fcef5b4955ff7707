//! Survey of a request for an engine: the keepers' accounts of the engines that are relevant for its placement.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::context::EntryContext;
use super::dispatch::learned_slowdown;
use super::request::RoutedRequest;
use crate::fact::{AccountReplies, KeeperClient};
use crate::model::UpstreamTag;
use crate::upstream::{
    AccountQuery, InFlightGuard, OrganisationShare, RunEnd, RunStart, SharedPrefix, Upstream,
    UpstreamAccount, WorkClaim, rank_homes, run_work,
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
    /// Mean share of the caller's organisation over the keepers that replied; `None` if no keeper knows it.
    pub share: Option<OrganisationShare>,
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
        organisation: request.caller.organisation().map(|caller| caller.tag),
    };
    let replies = match context.keepers.load_full() {
        Some(keepers) => keepers.query_accounts(&query, SURVEY_TIMEOUT).await,
        None => AccountReplies::default(),
    };
    PlacementView {
        homes,
        accounts: replies.accounts,
        share: OrganisationShare::average(&replies.shares),
    }
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
        .filter(|upstream| upstream.takes_requests() && request.software.allows(upstream))
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
    reported: Option<ReportedRun>,
}

impl RunGuard {
    /// Counts a request as running at an upstream until the guard is dropped; `uncached` is the estimated number of
    /// prompt tokens that the upstream has to process.
    #[must_use]
    pub fn begin(
        context: &EntryContext,
        request: &RoutedRequest,
        upstream: &Arc<Upstream>,
        uncached: u32,
    ) -> Self {
        Self {
            in_flight: upstream.begin(),
            reported: ReportedRun::begin(context, request, upstream, uncached),
        }
    }

    /// Sets the work that the upstream has done, in slot time, to be reported at the end.
    pub fn settle(&mut self, work: Duration) {
        if let Some(reported) = &mut self.reported {
            reported.end.work = work;
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
    fn begin(
        context: &EntryContext,
        request: &RoutedRequest,
        upstream: &Upstream,
        uncached: u32,
    ) -> Option<Self> {
        let engine = request.service.engine.as_ref()?;
        let keepers = context.keepers.load_full()?;
        let end = RunEnd {
            upstream: upstream.start_tag,
            run: rand::random(),
            work: Duration::ZERO,
        };
        let most_output = request.metadata.usage.map_or(0, |usage| usage.most_output);
        let claim = request.caller.organisation().map(|caller| WorkClaim {
            organisation: caller.tag,
            work: run_work(&request.times, uncached, most_output),
            slots: upstream.record.slots,
        });
        keepers.report_run_start(RunStart {
            upstream: end.upstream,
            run: end.run,
            service: request.service.name.clone(),
            prompt: request.metadata.prompt.clone(),
            capacity: engine.cache_tokens,
            lasts: request.time_left(Instant::now()),
            claim,
        });
        Some(Self { keepers, end })
    }
}

impl Drop for ReportedRun {
    fn drop(&mut self) {
        self.keepers.report_run_end(self.end);
    }
}
