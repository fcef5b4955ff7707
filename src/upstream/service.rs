//! Calls to tool services and plain services by HTTP.

use samphiregrade_http::{HttpError, HttpPool, IncomingResponse, OutgoingRequest};
use smol_str::{SmolStr, format_smolstr};

use crate::contract::ServiceCall;
use crate::record::UpstreamSpec;
use crate::shard::DispatchJob;

/// What a service answered.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceAnswer {
    /// Its reply.
    Reply(u16, String),
    /// It certainly did not run; another try is right.
    NotRun(SmolStr),
    /// It may have run.
    Unknown(SmolStr),
    /// It refuses this primary's fencing number: another has taken over.
    Fenced,
}

/// Sends a call to a service, once.
pub async fn invoke(
    pool: &HttpPool,
    spec: &UpstreamSpec,
    call: &ServiceCall,
    job: &DispatchJob,
) -> ServiceAnswer {
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
        Err(error) => failure(&error),
    }
}

async fn read_reply(mut response: IncomingResponse) -> ServiceAnswer {
    let status = response.status;
    let body = match response.read_all().await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => return failure(&error),
    };
    match status {
        412 => ServiceAnswer::Fenced,
        429 => ServiceAnswer::NotRun(format_smolstr!("status {status}")),
        500.. => ServiceAnswer::Unknown(format_smolstr!("status {status}")),
        _ => ServiceAnswer::Reply(status, body),
    }
}

fn failure(error: &HttpError) -> ServiceAnswer {
    let detail = format_smolstr!("{error}");
    if error.not_sent() {
        ServiceAnswer::NotRun(detail)
    } else {
        ServiceAnswer::Unknown(detail)
    }
}

/// Asks a service for the outcome of an earlier call; `None` where it knows of none.
pub async fn ask_outcome(
    pool: &HttpPool,
    spec: &UpstreamSpec,
    job: &DispatchJob,
) -> Option<ServiceAnswer> {
    let url = format_smolstr!("{}/outcome", spec.address);
    let request = OutgoingRequest::get(&url)
        .with_header("idempotency-key", &job.intent.idempotency_key())
        .with_timeout(spec.timeout());
    let mut response = pool.send(request).await.ok()?;
    if response.status != 200 {
        return None;
    }
    let body = response.read_all().await.ok()?;
    Some(ServiceAnswer::Reply(
        200,
        String::from_utf8_lossy(&body).into_owned(),
    ))
}
