//! Finds out where a request goes and who sends it: from its head alone, and with its body.

use std::sync::Arc;

use bytes::Bytes;
use samphiregrade_http::wire::RequestHead;

use super::ClientConnection;
use crate::access::CallerIdentity;
use crate::exchange::admission::{check_limit, identify};
use crate::exchange::origin::SoftwareRule;
use crate::exchange::outcome::RequestRecord;
use crate::exchange::refusal::{Refusal, RefusalReason};
use crate::exchange::repetition::request_tag;
use crate::exchange::request::RoutedRequest;
use crate::exchange::survey::PlacementView;
use crate::exchange::tries::RequestTries;
use crate::exchange::try_record::TryRecorder;
use crate::exchange::turn::{ProgramState, TurnPlan};
use crate::model::{RequestKind, RequestMetadata, RouteRecord};
use crate::routing::{RouteTable, service_for};

/// A routed request, with the plan of its turn if it has one.
pub(super) struct PreparedRequest {
    pub(super) request: RoutedRequest,
    pub(super) turn: Option<TurnPlan>,
}

impl ClientConnection {
    /// Finds the route of a request and identifies its caller.
    fn identify_request(
        &self,
        table: &RouteTable,
        head: &RequestHead,
        metadata: &RequestMetadata,
        record: &mut RequestRecord,
    ) -> Result<(Arc<RouteRecord>, CallerIdentity), RefusalReason> {
        record.config = table.version;
        if metadata.request.is_none() {
            return Err(RefusalReason::Malformed);
        }
        let host = head.fields.text("host").ok_or(RefusalReason::Malformed)?;
        let path = head.path().ok_or(RefusalReason::Malformed)?;
        let Some(route) = table.route(host, path).cloned() else {
            record.add_detail(&format!("no route for {host}{path}"));
            return Err(RefusalReason::NoRoute);
        };
        record.route = route.name.clone();
        record.kind = Some(route.kind);
        let caller = identify(&self.context, &route, &metadata.credential)?;
        let organisation = caller.organisation();
        record.organisation = organisation.map(|organisation| organisation.name.clone());
        Ok((route, caller))
    }

    /// Refuses a request whose head shows that it won't be served, before its body is read.
    pub(super) fn check_head(
        &self,
        head: &RequestHead,
        metadata: &RequestMetadata,
        record: &mut RequestRecord,
    ) -> Result<(), Refusal> {
        let routes = self.context.routes.load();
        let table: &RouteTable = routes.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        let (route, caller) = self.identify_request(table, head, metadata, record)?;
        let time = metadata.deadline.unwrap_or(route.timeout);
        let due = record.started + time.min(route.timeout);
        if self.tokens.drain.is_cancelled() && !self.context.can_complete_by(due) {
            return Err(RefusalReason::Stopping.into());
        }
        match caller.organisation() {
            Some(organisation) => check_limit(&self.context, organisation, table.version, metadata),
            None => Ok(()),
        }
    }

    /// Looks up the route and the service of a request in the current configuration.
    pub(super) fn prepare(
        &self,
        head: RequestHead,
        metadata: RequestMetadata,
        body: Bytes,
        record: &mut RequestRecord,
    ) -> Result<PreparedRequest, RefusalReason> {
        let routes = self.context.routes.load();
        let table: &RouteTable = routes.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        let (route, caller) = self.identify_request(table, &head, &metadata, record)?;
        let organisation = caller.organisation();
        let priority = organisation.and_then(|organisation| organisation.priority);
        let key = metadata.origin_program().unwrap_or(&record.request);
        let service = service_for(&route, key)
            .and_then(|name| table.service(name))
            .ok_or(RefusalReason::NoUpstream)?
            .clone();
        let allowed = metadata
            .deadline
            .map_or(route.timeout, |time| time.min(route.timeout));
        let is_turn = route.kind == RequestKind::Streaming;
        let tag = request_tag(&caller, &head, &metadata, &body);
        record.tag = Some(tag);
        let due = record.started + allowed;
        let recorder = TryRecorder::new(self.context.clone(), record.request.clone(), tag, due);
        let tries = RequestTries::new(recorder, service.clone(), metadata.program.is_some());
        let request = RoutedRequest {
            tries: Arc::new(tries),
            id: record.request.clone(),
            due,
            started: record.started,
            head,
            metadata,
            body,
            program_state: ProgramState::default(),
            software: SoftwareRule::default(),
            view: PlacementView::default(),
            times: self.context.service_times(&service),
            urgency: table.urgency(&service.name, priority.unwrap_or(route.priority)),
            caller,
            token: None,
            version: table.version,
            route,
            service,
        };
        let turn = if is_turn {
            TurnPlan::of(&request)
        } else {
            None
        };
        Ok(PreparedRequest { request, turn })
    }
}
