//! How an entry learns the freshness of its configuration: from the keepers, which read it from the key-value service.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::access::{BootTime, ProofTiming};
use crate::exchange::EntryContext;
use crate::fact::{KeeperSlot, PROOF_TIMEOUT, ProofRoute};
use crate::model::ConfigVersion;
use crate::observe::Logbook;

/// Largest number of keepers queried in one round without a bound for withdrawn keys.
const QUERY_LIMIT: usize = 6;

/// Largest age of a proof, in query intervals, that shows that its keeper still reads the configuration.
const FRESH_INTERVALS: u32 = 4;

/// Delay before the next round if no keeper gave a proof, and before the next check whether callers need keys.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Shortest time between the starts of two rounds under a bound for withdrawn keys if the first one gave no proof: longer
/// than a few round trips, and short compared with the time within which a proof reaches every entry after an outage.
const MIN_ROUND_TIME: Duration = Duration::from_millis(80);

/// Part of the read interval by which a reply has to advance the proof.
const ADVANCE_DIVISOR: u32 = 20;

/// Allowance for the transfer of a request that a keeper holds.
const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// Interval at which an entry without a valid proof checks whether it has one.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct ProofsLostLine {
    /// Version of the configuration in force.
    config: ConfigVersion,
    /// Age of the newest proof in milliseconds.
    age_ms: u128,
}

#[derive(Serialize)]
struct ProofsRegainedLine {
    /// Version of the configuration in force.
    config: ConfigVersion,
    /// Age of the new proof in milliseconds.
    age_ms: u128,
    /// Time in milliseconds between the last proof before the outage and the new one.
    outage_ms: u128,
    /// Time in milliseconds for which keys were refused.
    refused_ms: u128,
}

/// Requests freshness proofs from keepers until cancelled, while callers need keys.
pub(super) async fn request_proofs(context: Arc<EntryContext>, cancel: CancellationToken) {
    let rule = context.freshness.rule();
    if let Some(timing) = rule.proof_timing() {
        tokio::spawn(
            cancel
                .clone()
                .run_until_cancelled_owned(report_losses(context.clone())),
        );
        tokio::select! {
            () = cancel.cancelled() => {}
            () = request_paced(&context, &timing) => {}
        }
        return;
    }
    let interval = rule.ask_interval();
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
        let Some(proof) = keepers.request_proof(slot, PROOF_TIMEOUT).await else {
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

/// Requests proofs under a bound for withdrawn keys: each request is sent just after the keeper's next read.
async fn request_paced(context: &Arc<EntryContext>, timing: &ProofTiming) {
    let mut route = ProofRoute::default();
    loop {
        if !context.asks_for_keys() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let started = BootTime::now();
        let proved = run_round(context, timing, &mut route).await;
        let result = if proved { "proved" } else { "missed" };
        context.metrics.count_key_proof(result);
        let now = BootTime::now();
        let age = context.freshness.age(now);
        let next = age.map_or(Duration::ZERO, |age| timing.next_request_in(age));
        // Accepted proofs leave the age high if the service is slow or the newest configuration can't be decoded.
        let shortest = if proved {
            timing.read_interval / 2
        } else {
            MIN_ROUND_TIME
        };
        let shortest = shortest.saturating_sub(now.since(started));
        tokio::time::sleep(next.max(shortest)).await;
    }
}

/// Queries the preferred keeper, or one of each failure domain if the proof is overdue; returns whether a reply has
/// advanced the proof.
async fn run_round(
    context: &Arc<EntryContext>,
    timing: &ProofTiming,
    route: &mut ProofRoute,
) -> bool {
    let Some(keepers) = context.keepers.load_full() else {
        return false;
    };
    let slots = keepers.proof_sources();
    let now = BootTime::now();
    let Some(preferred) = route.preferred(&slots, now) else {
        return false;
    };
    let age = context.freshness.age(now);
    let left = age.map_or(Duration::ZERO, |age| timing.overdue_age.saturating_sub(age));
    if !left.is_zero() && query(context, preferred, left).await {
        route.record(&preferred.name, Some(&preferred.name), now);
        return true;
    }
    if !left.is_zero() {
        // The proof is overdue now, or the preferred keeper has no newer one.
        return false;
    }
    let prover = query_all(context, &route.overdue(&slots), timing.hold + TRANSFER_TIME).await;
    // A round that ends early without a proof is no sign of failing reads: the newer configuration that a keeper has read
    // may not have arrived yet. Counting it would have further keepers read.
    if prover.is_some() || BootTime::now().since(now) >= timing.hold {
        route.record(&preferred.name, prover.as_ref(), now);
    }
    prover.is_some()
}

/// Queries several keepers at once; returns the first one whose reply advances the proof.
async fn query_all(
    context: &Arc<EntryContext>,
    slots: &[&KeeperSlot],
    timeout: Duration,
) -> Option<SmolStr> {
    // The other requests are dropped with the set.
    let mut queries = JoinSet::new();
    for &slot in slots {
        let (context, slot) = (context.clone(), slot.clone());
        queries.spawn(async move {
            let advanced = query(&context, &slot, timeout).await;
            advanced.then_some(slot.name)
        });
    }
    while let Some(result) = queries.join_next().await {
        if let Ok(Some(prover)) = result {
            return Some(prover);
        }
    }
    None
}

/// Queries a keeper; returns whether its reply has advanced the proof.
async fn query(context: &EntryContext, slot: &KeeperSlot, timeout: Duration) -> bool {
    let Some(keepers) = context.keepers.load_full() else {
        return false;
    };
    let before = context.freshness.proved_until();
    let sent = BootTime::now();
    let Some(proof) = keepers.request_proof(slot, timeout).await else {
        return false;
    };
    // The request arrived no earlier than it was sent, however long it was in transit.
    let moment = sent.before(proof.age);
    // A repeated reply with an older read differs by the time of its transfer.
    let advance = context.freshness.rule().read_interval() / ADVANCE_DIVISOR;
    context.freshness.prove_revision(proof.revision, moment)
        && before.is_none_or(|before| before.after(advance) <= moment)
}

/// Logs when the proof expires and when there is a new one.
async fn report_losses(context: Arc<EntryContext>) {
    let Some(max_age) = context.freshness.rule().max_age() else {
        return;
    };
    loop {
        let Some(last) = context.freshness.proved_until() else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let age = BootTime::now().since(last);
        if age <= max_age {
            let left = max_age.saturating_sub(age);
            tokio::time::sleep(left.max(LOSS_CHECK_INTERVAL)).await;
            continue;
        }
        if !context.asks_for_keys() {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        context.metrics.count_key_proof("lost");
        let line = ProofsLostLine {
            config: config_version(&context),
            age_ms: age.as_millis(),
        };
        Logbook::global().record("proofs-lost", &line);
        report_return(&context, last, max_age).await;
    }
}

/// Waits until known keys may be served again, and logs it.
async fn report_return(context: &EntryContext, last: BootTime, max_age: Duration) {
    while !context.freshness.permits_known_keys(BootTime::now()) {
        tokio::time::sleep(LOSS_CHECK_INTERVAL).await;
    }
    let now = BootTime::now();
    let Some(proved) = context.freshness.proved_until() else {
        return;
    };
    let line = ProofsRegainedLine {
        config: config_version(context),
        age_ms: now.since(proved).as_millis(),
        outage_ms: proved.since(last).as_millis(),
        refused_ms: now.since(last.after(max_age)).as_millis(),
    };
    Logbook::global().record("proofs-regained", &line);
}

fn config_version(context: &EntryContext) -> ConfigVersion {
    let routes = context.routes.load();
    routes.as_ref().map_or(0, |table| table.version)
}
