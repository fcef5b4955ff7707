//! Letting a request in: who calls, whether that is known freshly enough, and whether the organisation may make it.

use std::sync::Arc;
use std::time::Duration;

use super::context::EntryContext;
use super::limit_desk::{LimitToken, TokenDemand, TokenSource, WaitingRequest};
use super::outcome::RequestRecord;
use super::refusal::{Refusal, RefusalReason};
use super::request::RoutedRequest;
use crate::access::{BootTime, CallerIdentity, Organisation};
use crate::limits::{AllowanceGrant, WindowLimit, WindowUse};
use crate::model::{CallerCredential, ConfigVersion, RouteRecord};
use crate::routing::RouteTable;

/// Longest time after which a request over the limit is asked to come back: the window moves on all the while.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Shortest such time.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);

/// Times that a request asks anew because others have taken what was granted for it.
const GRANTS_TAKEN: usize = 3;

/// Pause between two tries to tell a home of what it doesn't know.
const REPORT_PAUSE: Duration = Duration::from_millis(150);

/// Identifies the caller of a request, with the configuration as it is now.
///
/// What is proved is read before the configuration, which is then at least as new.
pub(super) fn identify(
    context: &EntryContext,
    route: &RouteRecord,
    credential: &CallerCredential,
) -> Result<CallerIdentity, RefusalReason> {
    let now = BootTime::now();
    let vouches = context.freshness.permits_known_keys(now);
    let may_deny = context.freshness.permits_denial(now);
    let routes = context.routes.load();
    let table: &RouteTable = routes.as_ref().ok_or(RefusalReason::NoConfiguration)?;
    match table.identify(route, credential) {
        Some(CallerIdentity::Known(_)) if !vouches => Err(RefusalReason::KeysUnproved),
        Some(caller) => Ok(caller),
        None if may_deny => Err(RefusalReason::UnknownKey),
        None => Err(RefusalReason::KeysUnproved),
    }
}

/// Lets a request of an organisation in, or refuses it with a time to come back.
async fn admit(
    context: &Arc<EntryContext>,
    organisation: &Organisation,
    version: ConfigVersion,
    begins: bool,
) -> Result<Option<(LimitToken, TokenSource)>, Refusal> {
    let Some(limit) = &organisation.limit else {
        return Ok(None);
    };
    let desk = &context.limits;
    let demand = TokenDemand {
        organisation: organisation.tag,
        limit: WindowLimit::of(limit, desk.source.rule.window, version),
        begins,
        ahead: true,
    };
    let source = if desk.take_token(&demand) {
        TokenSource::Prefetched
    } else {
        ask_for_one(context, &demand).await?
    };
    ask_ahead(context, demand);
    let token = LimitToken {
        context: context.clone(),
        organisation: demand.organisation,
        spent: false,
    };
    Ok(Some((token, source)))
}

/// Lets a request in while something else is prepared for it; one that may well be refused comes first.
pub(super) async fn admit_beside<Prepared>(
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
        request.begins_program(),
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

/// Asks for a token for a request that waits.
async fn ask_for_one(
    context: &Arc<EntryContext>,
    demand: &TokenDemand,
) -> Result<TokenSource, Refusal> {
    let desk = &context.limits;
    if let Some((wait, use_then)) = desk.refused_for(demand) {
        return Err(over_limit(wait, use_then));
    }
    let waiting = WaitingRequest::begin(desk, demand.organisation);
    let mut asked = ask_home(context, demand).await;
    // Others that came later may have taken what was granted for this one.
    for _ in 0..GRANTS_TAKEN {
        let Some(AskedHome { covers: true, .. }) = asked else {
            break;
        };
        if desk.take_token(demand) {
            return Ok(TokenSource::Home);
        }
        asked = ask_home(context, demand).await;
    }
    drop(waiting);
    let Some(AskedHome { grant, .. }) = asked else {
        if !desk.take_standalone(demand.organisation) {
            return Err(RefusalReason::LimitUnproved.into());
        }
        report_alone(context, *demand);
        return Ok(TokenSource::Standalone);
    };
    if desk.take_token(demand) {
        return Ok(TokenSource::Home);
    }
    desk.record_refusal(demand, &grant);
    let wait = grant.retry_after;
    Err(over_limit(wait, grant.use_now))
}

/// Asks for tokens in advance where none is left, so that the next request needs not wait for one.
fn ask_ahead(context: &Arc<EntryContext>, demand: TokenDemand) {
    if !context.limits.begins_prefetch(demand.organisation) {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        // Without an answer the next request asks.
        let asked = ask_home(&context, &demand).await;
        context.limits.end_prefetch(demand.organisation);
        let Some(AskedHome { grant, .. }) = asked else {
            return;
        };
        tokio::time::sleep(grant.lasts).await;
        if context.limits.has_lapsed_tokens(demand.organisation) {
            // What was not used counts until the home is told.
            let _ = ask_home(&context, &demand.report()).await;
        }
    });
}

/// What a home answered.
struct AskedHome {
    grant: AllowanceGrant,
    /// Whether all requests that waited then were granted a token.
    covers: bool,
}

/// Tells a home of requests that were let through without one, as soon as one answers.
fn report_alone(context: &Arc<EntryContext>, demand: TokenDemand) {
    if !context.limits.begins_report(demand.organisation) {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        while context.limits.has_unreported_uses(demand.organisation) {
            tokio::time::sleep(REPORT_PAUSE).await;
            // Without an answer it is asked again.
            let _ = ask_home(&context, &demand.report()).await;
        }
        context.limits.end_prefetch(demand.organisation);
    });
}

/// Asks the organisation's home, and takes what it grants.
async fn ask_home(context: &EntryContext, demand: &TokenDemand) -> Option<AskedHome> {
    let keepers = context.keepers.load_full()?;
    let desk = &context.limits;
    let sent = BootTime::now();
    let (ask, near) = desk.compose_request(demand, sent);
    let grant = keepers.request_allowance(&ask, near).await?;
    desk.accept(demand.organisation, &grant, sent);
    let covers = grant.granted >= ask.used + u64::from(ask.waiting);
    Some(AskedHome { grant, covers })
}

fn over_limit(wait: Duration, window: WindowUse) -> Refusal {
    Refusal {
        window: Some(window),
        retry_after: Some(wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)),
        ..RefusalReason::OverLimit.into()
    }
}
