//! How an entry learns the freshness of its configuration: from the keepers, which read it from the key-value service.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::access::BootTime;
use crate::exchange::EntryContext;

/// Largest number of keepers queried in one round.
const QUERY_LIMIT: usize = 6;

/// Largest age of a proof, in query intervals, that shows that its keeper still reads the configuration.
const FRESH_INTERVALS: u32 = 4;

/// Delay before the next round if no keeper gave a proof, and before the next check whether callers need keys.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Requests freshness proofs from keepers until cancelled, while callers need keys.
pub(super) async fn request_proofs(context: Arc<EntryContext>, cancel: CancellationToken) {
    let interval = context.freshness.rule().ask_interval();
    loop {
        let pause = if context.asks_for_keys() && request_proof(&context).await {
            interval
        } else {
            RETRY_DELAY
        };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Queries keepers in order; returns whether a keeper has proved that the configuration is fresh.
async fn request_proof(context: &EntryContext) -> bool {
    let Some(keepers) = context.keepers.load_full() else {
        return false;
    };
    let age_limit = context.freshness.rule().ask_interval() * FRESH_INTERVALS;
    for slot in keepers.proof_sources().iter().take(QUERY_LIMIT) {
        let sent = BootTime::now();
        let Some(proof) = keepers.request_proof(slot).await else {
            continue;
        };
        // The request arrived no earlier than it was sent, however long it was in transit.
        let moment = sent.before(proof.age);
        let known = context.freshness.prove_revision(proof.revision, moment);
        if !known {
            // The newer configuration has not arrived yet.
            return false;
        }
        if proof.age <= age_limit {
            return true;
        }
    }
    false
}
