//! Detects that a failure domain is unreachable before requests to it fail.
//!
//! Without this check, the first seconds of a partition are expensive: each entry detects the partition only when a
//! turn or call sent there is lost, and loses another one each time it retries to see whether the partition has healed.
//! Each of 79 entries paid this cost separately. The keepers of a partitioned domain stop responding at once, and
//! entries query them several times a second anyway. If none of them responds, connections to two upstreams of the
//! domain show whether the network path or only the keepers have failed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::exchange::EntryContext;
use crate::model::DomainId;
use crate::observe::Logbook;
use crate::upstream::{PathProbe, Upstream};

/// Interval between two checks for domains whose keepers do not respond.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two probes of one domain: the end of a partition is detected within it.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a response of any upstream of a domain shows that the domain is reachable.
const RECENT_RESPONSE: Duration = Duration::from_millis(100);

/// Upstreams that are probed at once: a single one may have failed on its own.
const PROBED_UPSTREAMS: usize = 2;

#[derive(Serialize)]
struct DomainLine<'line> {
    domain: &'line str,
    lost: bool,
    upstreams: usize,
}

/// Watches the reachability of all failure domains until cancelled.
pub(super) async fn watch_domains(context: Arc<EntryContext>, cancel: CancellationToken) {
    let mut probed: HashMap<DomainId, Instant> = HashMap::new();
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let now = Instant::now();
        for domain in suspect_domains(&context, now) {
            let last = probed.get(&domain);
            if last.is_some_and(|last| now.saturating_duration_since(*last) < PROBE_INTERVAL) {
                continue;
            }
            probed.insert(domain.clone(), now);
            tokio::spawn(probe_domain(context.clone(), domain));
        }
    }
}

/// Returns the domains of which no keeper responds and the domains marked as unreachable, except those of which an
/// upstream has responded recently.
fn suspect_domains(context: &EntryContext, now: Instant) -> Vec<DomainId> {
    let keepers = context.keepers.load();
    let mut domains = keepers
        .as_ref()
        .map(|keepers| keepers.silent_domains())
        .unwrap_or_default();
    for upstream in context.directory.load().all() {
        let domain = &upstream.record.domain;
        if upstream.domain_responded_within(RECENT_RESPONSE, now) {
            domains.retain(|other| other != domain);
        } else if upstream.is_domain_unreachable(now) && !domains.contains(domain) {
            domains.push(domain.clone());
        }
    }
    domains
}

/// Probes connections to some upstreams of a domain, and records whether the domain is reachable.
async fn probe_domain(context: Arc<EntryContext>, domain: DomainId) {
    let directory = context.directory.load_full();
    let candidates = directory
        .all()
        .filter(|upstream| upstream.record.domain == domain && upstream.takes_requests());
    let chosen: Vec<Arc<Upstream>> = candidates
        .cloned()
        .choose_multiple(&mut rand::rng(), PROBED_UPSTREAMS);
    let Some(first) = chosen.first() else {
        return;
    };
    let was_lost = first.is_domain_unreachable(Instant::now());
    let probes = chosen.iter().map(|upstream| upstream.probe_path());
    let results = futures_util::future::join_all(probes).await;
    let lost = results.iter().all(|result| *result == PathProbe::Silent);
    let now = Instant::now();
    if lost {
        first.mark_domain_unreachable(now);
    }
    if lost != was_lost {
        let line = DomainLine {
            domain: &domain,
            lost,
            upstreams: chosen.len(),
        };
        Logbook::global().record("domain-reach", &line);
    }
}
