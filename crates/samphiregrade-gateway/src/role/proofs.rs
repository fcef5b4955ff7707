//! How an entry learns how fresh its configuration is: from the keepers, which read it.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::access::BootTime;
use crate::exchange::EntryContext;

/// Keepers that are asked at most until one proves something.
const MOST_ASKED: usize = 6;

/// Intervals up to which the age of a proof shows that its keeper goes on reading.
const FRESH_INTERVALS: u32 = 4;

/// Pause before keepers are asked again after none proved anything, and before it is looked again whether keys are asked
/// for.
const UNPROVED_PAUSE: Duration = Duration::from_millis(150);

/// Asks keepers for proofs until cancelled, where callers need keys.
pub(super) async fn seek_proofs(context: Arc<EntryContext>, cancel: CancellationToken) {
    let interval = context.freshness.rule().ask_interval();
    loop {
        let pause = if context.asks_for_keys() && seek_proof(&context).await {
            interval
        } else {
            UNPROVED_PAUSE
        };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Asks keepers in their order; returns whether one has proved that the configuration is fresh.
async fn seek_proof(context: &EntryContext) -> bool {
    let Some(keepers) = context.keepers.load_full() else {
        return false;
    };
    let longest = context.freshness.rule().ask_interval() * FRESH_INTERVALS;
    for slot in keepers.proof_sources().iter().take(MOST_ASKED) {
        let sent = BootTime::now();
        let Some(proof) = keepers.request_proof(slot).await else {
            continue;
        };
        // The question came no earlier than it was sent, however long it took.
        let moment = sent.before(proof.age);
        let known = context.freshness.prove_revision(proof.revision, moment);
        if !known {
            // The change is on its way.
            return false;
        }
        if proof.age <= longest {
            return true;
        }
    }
    false
}
