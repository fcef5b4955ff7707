//! Calls to tool services and plain services over HTTP.

use samphiregrade_http::{HttpError, HttpPool, IncomingResponse, OutgoingRequest};
use smol_str::{SmolStr, format_smolstr};

use crate::contract::ServiceCall;
use crate::record::UpstreamSpec;
use crate::shard::DispatchJob;

/// Outcome of a request to a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceOutcome {
    /// The service replied with this status and body.
    Reply(u16, String),
    /// The call certainly did not run, so it may be sent again.
    NotRun(SmolStr),
    /// The call may have run.
    Unknown(SmolStr),
    /// The connection ended, or nothing came for too long, while the service may have been running the call.
    Interrupted(SmolStr),
    /// The service rejected this primary's fencing number, because another primary has taken over.
    Fenced,
}

/// Sends a call to a service without retries.
pub async fn invoke(
    pool: &HttpPool,
    spec: &UpstreamSpec,
    call: &ServiceCall,
    job: &DispatchJob,
) -> ServiceOutcome {
    let url = format_smolstr!("{}/invoke/{}", spec.address, call.tool);
    let request = OutgoingRequest::new(ntex::http::Method::POST, &url)
        .with_header("content-type", "application/json")
        .with_header("idempotency-key", &job.intent.idempotency_key())
        .with_header("fencing-scope", &job.shard.to_string())
        .with_header("fencing", &job.epoch.to_string())
        .with_fresh_connection(!call.idempotent)
        .with_body(call.arguments.clone())
        .with_timeout(spec.timeout());
    match pool.send(request).await {
        Ok(response) => read_reply(response).await,
        Err(error) => failed_outcome(&error),
    }
}

async fn read_reply(mut response: IncomingResponse) -> ServiceOutcome {
    let status = response.status;
    let body = match response.read_all().await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => return failed_outcome(&error),
    };
    match status {
        412 => ServiceOutcome::Fenced,
        429 => ServiceOutcome::NotRun(format_smolstr!("status {status}")),
        500.. => ServiceOutcome::Unknown(format_smolstr!("status {status}")),
        _ => ServiceOutcome::Reply(status, body),
    }
}

fn failed_outcome(error: &HttpError) -> ServiceOutcome {
    let detail = format_smolstr!("{error}");
    match error {
        HttpError::NotSent(_) => ServiceOutcome::NotRun(detail),
        // A service that falls silent may have ended.
        HttpError::Interrupted(_) | HttpError::TimedOut => ServiceOutcome::Interrupted(detail),
        HttpError::Unreadable(_) => ServiceOutcome::Unknown(detail),
    }
}

/// Queries a service for the outcome of an earlier call; returns `None` if the service knows none or does not respond.
pub async fn query_outcome(
    pool: &HttpPool,
    spec: &UpstreamSpec,
    job: &DispatchJob,
) -> Option<ServiceOutcome> {
    let url = format_smolstr!("{}/outcome", spec.address);
    let request = OutgoingRequest::get(&url)
        .with_header("idempotency-key", &job.intent.idempotency_key())
        .with_timeout(spec.timeout());
    let mut response = pool.send(request).await.ok()?;
    if response.status != 200 {
        return None;
    }
    let body = response.read_all().await.ok()?;
    Some(ServiceOutcome::Reply(
        200,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}
