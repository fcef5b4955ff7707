//! What a request that goes to an engine needs to know before it is placed: how the engines stand that matter to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::context::EntryContext;
use super::request::RoutedRequest;
use crate::fact::KeeperClient;
use crate::model::UpstreamTag;
use crate::upstream::{
    AccountQuery, InFlightGuard, RunEnd, RunStart, SharedPrefix, Upstream, UpstreamAccount,
    rank_homes,
};

/// Longest wait for the keepers' accounts: several round trips within a region. A keeper that is just being cut off
/// costs a turn no more than that; reading one first part again costs an engine more.
const SURVEY_WAIT: Duration = Duration::from_millis(20);

/// Homes of the first part that are asked for at most.
const HOMES_ASKED: usize = 5;

/// Engines after the homes that are asked for: where homes are full, all entries turn to the same ones, which have
/// the part then.
const SPARES_ASKED: usize = 2;

/// What is known of a service's upstreams when a request is about to be placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// Homes of the first part of its prompt.
    pub homes: Vec<UpstreamTag>,
    /// Accounts of the upstreams that matter.
    pub accounts: Vec<UpstreamAccount>,
}

impl PlacementView {
    /// Returns the account of an upstream, where there is one.
    #[must_use]
    pub fn account(&self, upstream: UpstreamTag) -> Option<&UpstreamAccount> {
        self.accounts
            .iter()
            .find(|account| account.upstream == upstream)
    }
}

/// Asks the keepers how the engines stand that matter to a request: its last place, and the homes of its first part.
pub async fn survey(context: &EntryContext, request: &RoutedRequest) -> PlacementView {
    let prompt = &request.metadata.prompt;
    let (Some(part), Some(engine)) = (prompt.first(), &request.service.engine) else {
        return PlacementView::default();
    };
    let first = SharedPrefix {
        tag: part.tag,
        tokens: part.tokens,
        share: context.first_parts.count(part.tag, Instant::now()),
        capacity: engine.cache_tokens,
    };
    let SurveyPlan { homes, upstreams } = plan_survey(context, request, &first);
    let question = AccountQuery {
        service: request.service.name.clone(),
        upstreams,
        prompt: prompt.clone(),
    };
    let accounts = match context.keepers.load_full() {
        Some(keepers) => keepers.query_accounts(&question, SURVEY_WAIT).await,
        None => Vec::new(),
    };
    PlacementView { homes, accounts }
}

/// Which engines are asked about.
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
    let fit: Vec<_> = directory
        .of(&request.service.name)
        .iter()
        .filter(|upstream| upstream.takes_requests())
        .collect();
    let engines: Vec<u64> = fit.iter().map(|upstream| upstream.tag).collect();
    let ranking = rank_homes(first, &engines);
    let homes = ranking.homes().iter().map(|&index| fit[index].start_tag);
    let homes = homes.collect();
    let mut upstreams = Vec::with_capacity(1 + HOMES_ASKED + SPARES_ASKED);
    for upstream in &fit {
        if request.uncached_at_last_place(&upstream.record).is_some() {
            upstreams.push(upstream.start_tag);
        }
    }
    for index in ranking.sample(HOMES_ASKED, SPARES_ASKED, &mut rand::rng()) {
        let tag = fit[index].start_tag;
        if !upstreams.contains(&tag) {
            upstreams.push(tag);
        }
    }
    SurveyPlan { homes, upstreams }
}

/// A request that counts as being at an upstream, here and at the keepers that account for the upstream.
pub struct RunGuard {
    in_flight: InFlightGuard,
    _told: Option<ToldRun>,
}

impl RunGuard {
    /// Counts a request that is about to be sent, until the guard is dropped.
    #[must_use]
    pub fn begin(
        context: &EntryContext,
        request: &RoutedRequest,
        upstream: &Arc<Upstream>,
    ) -> Self {
        Self {
            in_flight: upstream.begin(),
            _told: ToldRun::begin(context, request, upstream),
        }
    }

    /// Returns the upstream.
    #[must_use]
    pub fn upstream(&self) -> &Arc<Upstream> {
        self.in_flight.upstream()
    }
}

/// A run of which an engine's keepers were told; dropped, they are told that it is over.
struct ToldRun {
    keepers: Arc<KeeperClient>,
    end: RunEnd,
}

impl ToldRun {
    /// Tells the keepers of an engine that a request is about to be sent there; nobody accounts for plain services.
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

impl Drop for ToldRun {
    fn drop(&mut self) {
        self.keepers.report_run_end(self.end);
    }
}
