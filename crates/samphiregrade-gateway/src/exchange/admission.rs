//! Admission of a request: identifies the caller, checks that the known keys are recent enough, and enforces the
//! request limit of the organisation.

use std::sync::Arc;
use std::time::Duration;

use super::context::EntryContext;
use super::limit_desk::{LimitToken, TokenDemand, TokenSource, WaitingRequest};
use super::outcome::RequestRecord;
use super::refusal::{Refusal, RefusalReason};
use super::request::RoutedRequest;
use crate::access::{BootTime, CallerIdentity, Organisation};
use crate::limits::{AllowanceGrant, WindowLimit, WindowUse};
use crate::model::{CallerCredential, ConfigVersion, RequestMetadata, RouteRecord};
use crate::routing::RouteTable;

/// Longest Retry-After time of a request over the limit: the sliding window frees capacity continuously.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Shortest Retry-After time of a request over the limit.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of times that tokens are requested again because other requests took the granted ones.
const GRANT_RETRIES: usize = 3;

/// Pause before each attempt to report requests that were admitted standalone.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Identifies the caller of a request against the current configuration.
///
/// The freshness is read before the configuration, so the configuration is at least as recent as the freshness says.
pub(super) fn identify(
    context: &EntryContext,
    route: &RouteRecord,
    credential: &CallerCredential,
) -> Result<CallerIdentity, RefusalReason> {
    let now = BootTime::now();
    let permits_known_keys = context.freshness.permits_known_keys(now);
    let permits_denial = context.freshness.permits_denial(now);
    let routes = context.routes.load();
    let table: &RouteTable = routes.as_ref().ok_or(RefusalReason::NoConfiguration)?;
    match table.identify(route, credential) {
        Some(CallerIdentity::Known(_)) if !permits_known_keys => Err(RefusalReason::KeysUnproved),
        Some(caller) => Ok(caller),
        None if permits_denial => Err(RefusalReason::UnknownKey),
        None => Err(RefusalReason::KeysUnproved),
    }
}

/// Refuses a request of an organisation that is known to have reached its limit.
pub(super) fn check_limit(
    context: &EntryContext,
    organisation: &Organisation,
    version: ConfigVersion,
    metadata: &RequestMetadata,
) -> Result<(), Refusal> {
    let Some(limit) = &organisation.limit else {
        return Ok(());
    };
    let limiter = &context.limits;
    let demand = TokenDemand {
        organisation: organisation.tag,
        limit: WindowLimit::of(limit, limiter.source.rule.window, version),
        starts_program: metadata.program.is_some() && metadata.previous_turn.is_none(),
        prefetch: false,
    };
    match limiter.refused_for(&demand) {
        Some((wait, window_use)) => Err(over_limit_refusal(wait, window_use)),
        None => Ok(()),
    }
}

/// Takes a token of the organisation's limit for a request, or refuses the request with a Retry-After time.
///
/// Returns `None` if the organisation has no limit.
async fn admit(
    context: &Arc<EntryContext>,
    organisation: &Organisation,
    version: ConfigVersion,
    starts_program: bool,
) -> Result<Option<(LimitToken, TokenSource)>, Refusal> {
    let Some(limit) = &organisation.limit else {
        return Ok(None);
    };
    let limiter = &context.limits;
    let demand = TokenDemand {
        organisation: organisation.tag,
        limit: WindowLimit::of(limit, limiter.source.rule.window, version),
        starts_program,
        prefetch: true,
    };
    let source = if limiter.take_token(&demand) {
        TokenSource::Prefetched
    } else {
        request_token(context, &demand).await?
    };
    prefetch_tokens(context, demand);
    let token = LimitToken {
        context: context.clone(),
        organisation: demand.organisation,
        spent: false,
    };
    Ok(Some((token, source)))
}

/// Admits a request while `preparing` runs concurrently.
///
/// Near the organisation's limit, where a refusal is likely, the preparation starts only after the admission.
pub(super) async fn admit_while_preparing<Prepared>(
    context: &Arc<EntryContext>,
    request: &mut RoutedRequest,
    record: &mut RequestRecord,
    preparing: impl Future<Output = Prepared>,
) -> Result<Prepared, Refusal> {
    let Some(organisation) = request.caller.organisation().cloned() else {
        return Ok(preparing.await);
    };
    let admitting = admit(
        context,
        &organisation,
        request.version,
        request.starts_program(),
    );
    let (admitted, prepared) = if context.limits.is_near_limit(organisation.tag) {
        (admitting.await?, preparing.await)
    } else {
        let (admitted, prepared) = tokio::join!(admitting, preparing);
        (admitted?, prepared)
    };
    if let Some((token, source)) = admitted {
        request.token = Some(token);
        record.token = Some(source);
    }
    Ok(prepared)
}

/// Requests a token from the organisation's home for a waiting request.
async fn request_token(
    context: &Arc<EntryContext>,
    demand: &TokenDemand,
) -> Result<TokenSource, Refusal> {
    let limiter = &context.limits;
    if let Some((wait, window_use)) = limiter.refused_for(demand) {
        return Err(over_limit_refusal(wait, window_use));
    }
    let waiting = WaitingRequest::begin(limiter, demand.organisation);
    let mut reply = request_grant(context, demand).await;
    // Requests that arrived later may have taken the tokens granted for this one.
    for _ in 0..GRANT_RETRIES {
        let Some(HomeReply {
            covers_waiting: true,
            ..
        }) = reply
        else {
            break;
        };
        if limiter.take_token(demand) {
            return Ok(TokenSource::Home);
        }
        reply = request_grant(context, demand).await;
    }
    drop(waiting);
    let Some(HomeReply { grant, .. }) = reply else {
        if !limiter.take_standalone(demand.organisation) {
            return Err(RefusalReason::LimitUnproved.into());
        }
        report_standalone_uses(context, *demand);
        return Ok(TokenSource::Standalone);
    };
    if limiter.take_token(demand) {
        return Ok(TokenSource::Home);
    }
    limiter.record_refusal(demand, &grant);
    let wait = grant.retry_after;
    Err(over_limit_refusal(wait, grant.use_now))
}

/// Prefetches tokens if none is left, so that the next request does not have to wait for one.
fn prefetch_tokens(context: &Arc<EntryContext>, demand: TokenDemand) {
    if !context.limits.begins_prefetch(demand.organisation) {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        // If no home replies, the next request requests tokens again.
        let reply = request_grant(&context, &demand).await;
        context.limits.end_prefetch(demand.organisation);
        let Some(HomeReply { grant, .. }) = reply else {
            return;
        };
        tokio::time::sleep(grant.lasts).await;
        if context.limits.has_lapsed_tokens(demand.organisation) {
            // Unused tokens count against the limit until they are reported to the home.
            let _ = request_grant(&context, &demand.report()).await;
        }
    });
}

/// Reply of an organisation's home.
struct HomeReply {
    grant: AllowanceGrant,
    /// Whether the grant covers every request that was waiting when the request to the home was composed.
    covers_waiting: bool,
}

/// Reports requests that were admitted standalone, and repeats the report until a home replies.
fn report_standalone_uses(context: &Arc<EntryContext>, demand: TokenDemand) {
    if !context.limits.begins_report(demand.organisation) {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        while context.limits.has_unreported_uses(demand.organisation) {
            tokio::time::sleep(REPORT_INTERVAL).await;
            // If no home replies, the loop sends the report again.
            let _ = request_grant(&context, &demand.report()).await;
        }
        context.limits.end_prefetch(demand.organisation);
    });
}

/// Requests tokens from the organisation's home, and stores the grant.
async fn request_grant(context: &EntryContext, demand: &TokenDemand) -> Option<HomeReply> {
    let keepers = context.keepers.load_full()?;
    let limiter = &context.limits;
    let sent = BootTime::now();
    let (request, near) = limiter.compose_request(demand, sent);
    let grant = keepers.request_allowance(&request, near).await?;
    limiter.accept(demand.organisation, &grant, sent);
    let covers_waiting = grant.granted >= request.used + u64::from(request.waiting);
    Some(HomeReply {
        grant,
        covers_waiting,
    })
}

fn over_limit_refusal(wait: Duration, window: WindowUse) -> Refusal {
    Refusal {
        window: Some(window),
        retry_after: Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
        ..RefusalReason::OverLimit.into()
    }
}
