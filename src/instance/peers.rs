//! Handles the requests of other instances.

use std::sync::Arc;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::sync::oneshot;

use super::InstanceState;
use crate::link::{HandlerReply, PeerHandler, PeerReply, PeerRequest, ProbeMessage};
use crate::shard::{AppendReply, AppendRequest, InstallRequest, ShardCommand};

/// Dispatches the requests of other instances to the components that handle them.
#[derive(Debug)]
pub struct RequestDispatcher {
    state: Arc<InstanceState>,
}

impl RequestDispatcher {
    /// Creates the dispatcher of an instance.
    pub fn new(state: Arc<InstanceState>) -> Self {
        Self { state }
    }

    async fn dispatch(&self, request: PeerRequest) -> HandlerReply {
        let state = &self.state;
        let reply = match request {
            PeerRequest::Probe(probe) => self.probe(probe),
            PeerRequest::Append(request) => PeerReply::Append(self.append(request).await),
            PeerRequest::Install(request) => PeerReply::Install(self.install(request).await),
            PeerRequest::MapUpdate(map) => {
                state.maps.adopt(map);
                PeerReply::Done
            }
            PeerRequest::MapRead(domain, revision) => {
                match state.maps.changes_since(&domain, revision) {
                    Some(delta) => PeerReply::MapDelta(delta),
                    None => PeerReply::Map(state.maps.map(&domain).map(|map| (*map).clone())),
                }
            }
            PeerRequest::RecoveredRead(shard) => {
                PeerReply::Recovered(state.shards.recovered(&shard))
            }
            PeerRequest::RecordsRead(revision) => {
                PeerReply::Records(state.records.changes_since(revision))
            }
            PeerRequest::RecordsUpdate(delta) => {
                state.apply_pushed_records(&delta);
                PeerReply::Done
            }
            PeerRequest::AuditHold(program, upstream) => {
                state.audit_hold(program, upstream);
                PeerReply::Done
            }
            PeerRequest::Forward(request) => return state.serve_forwarded(request).await,
        };
        HandlerReply::One(reply)
    }

    fn probe(&self, probe: ProbeMessage) -> PeerReply {
        self.state.peers.merge_probe(&probe, Instant::now());
        // Probes are exchanged both ways: a probe with a gossip payload gets a reply with one.
        let reply = self.state.probe(probe.gossip.is_some());
        let state = self.state.clone();
        tokio::spawn(async move { state.apply_probe(probe).await });
        PeerReply::Probe(reply)
    }

    async fn append(&self, request: AppendRequest) -> AppendReply {
        let (reply, verdict) = oneshot::channel();
        let copy = self.state.shards.copy(&request.shard);
        if copy
            .send(ShardCommand::Append(request, reply))
            .await
            .is_err()
        {
            return AppendReply::Stale;
        }
        verdict.await.unwrap_or(AppendReply::Stale)
    }

    async fn install(&self, request: InstallRequest) -> AppendReply {
        let (reply, verdict) = oneshot::channel();
        let copy = self.state.shards.copy(&request.shard);
        if copy
            .send(ShardCommand::Install(Box::new(request), reply))
            .await
            .is_err()
        {
            return AppendReply::Stale;
        }
        verdict.await.unwrap_or(AppendReply::Stale)
    }
}

impl InstanceState {
    /// Applies records that a peer has just received and pushes to this instance.
    fn apply_pushed_records(&self, delta: &crate::record::RecordDelta) {
        // A push may arrive before an earlier one, and its revision is complete only with all changes
        // before it. So the changes are applied, the revision stays, and the next probe fills the gap.
        let partial = crate::record::RecordDelta {
            changes: delta.changes.clone(),
            revision: self.records.revision(),
        };
        self.records.merge(&partial);
    }
}

impl PeerHandler for RequestDispatcher {
    fn handle(&self, request: PeerRequest) -> BoxFuture<'_, HandlerReply> {
        self.dispatch(request).boxed()
    }
}
