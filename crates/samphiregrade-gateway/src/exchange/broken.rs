//! Examines upstreams that broke off a request, and reports and records the cause.

use std::sync::Arc;
use std::time::Instant;

use serde::Serialize;
use smol_str::SmolStr;

use super::context::EntryContext;
use super::outcome::{RequestRecord, format_tag};
use super::request::RoutedRequest;
use crate::observe::Logbook;
use crate::upstream::{BreakCause, Upstream};

/// How far a request had come when its upstream broke it off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BreakStage {
    /// No head of a response had arrived.
    BeforeHead,
    /// A part of the response had arrived.
    InResponse,
}

impl BreakStage {
    fn name(self) -> &'static str {
        match self {
            Self::BeforeHead => "before-head",
            Self::InResponse => "in-response",
        }
    }
}

#[derive(Serialize)]
struct BreakLine<'line> {
    request: &'line str,
    request_tag: Option<SmolStr>,
    upstream: &'line str,
    upstream_tag: SmolStr,
    stage: &'static str,
    cause: &'static str,
    examined_ms: f64,
}

/// Finds out why an upstream broke off a request, and records it for the next tries of the request.
pub(super) async fn record_break(
    context: &EntryContext,
    request: &RoutedRequest,
    record: &RequestRecord,
    upstream: &Arc<Upstream>,
    stage: BreakStage,
) -> BreakCause {
    let broke_at = Instant::now();
    let cause = upstream.examine_break(broke_at).await;
    context.metrics.count_break(cause);
    let line = BreakLine {
        request: &record.request,
        request_tag: record.tag.map(format_tag),
        upstream: &upstream.record.id,
        upstream_tag: format_tag(upstream.start_tag),
        stage: stage.name(),
        cause: cause.name(),
        examined_ms: broke_at.elapsed().as_secs_f64() * 1000.0,
    };
    Logbook::global().record("upstream-break", &line);
    request.tries.end(cause, broke_at).await;
    cause
}
