//! Finding out whether the way to a failure domain is cut, before requests have to.
//!
//! Answers the first seconds of a cut. Each entry learned of it by a turn or a call that was lost there, and again
//! whenever it tried whether the cut had healed; of 79 entries each paid by itself. The keepers of a cut domain fall
//! silent at once, and entries ask them several times a second anyway: where all of them are silent, connections to
//! two upstreams there tell whether it is the way or the keepers.

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

/// Time between two looks at what the keepers of a domain say.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two tries of one domain: a cut that has healed is noticed within it.
const TRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time within which something heard from any upstream of a domain shows that the way there is open.
const HEARD_LATELY: Duration = Duration::from_millis(100);

/// Upstreams that are tried at once: one may be down by itself.
const TRIED_UPSTREAMS: usize = 2;

#[derive(Serialize)]
struct DomainLine<'line> {
    domain: &'line str,
    lost: bool,
    upstreams: usize,
}

/// Watches the ways to all failure domains until cancelled.
pub(super) async fn watch_domains(context: Arc<EntryContext>, cancel: CancellationToken) {
    let mut tried: HashMap<DomainId, Instant> = HashMap::new();
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
        let now = Instant::now();
        for domain in doubtful_domains(&context, now) {
            let last = tried.get(&domain);
            if last.is_some_and(|last| now.saturating_duration_since(*last) < TRY_INTERVAL) {
                continue;
            }
            tried.insert(domain.clone(), now);
            tokio::spawn(try_domain(context.clone(), domain));
        }
    }
}

/// Returns the domains whose keepers are all silent, and those to which the way was found to be cut, as far as nothing
/// has been heard from there lately.
fn doubtful_domains(context: &EntryContext, now: Instant) -> Vec<DomainId> {
    let keepers = context.keepers.load();
    let mut domains = keepers
        .as_ref()
        .map(|keepers| keepers.silent_domains())
        .unwrap_or_default();
    for upstream in context.directory.load().all() {
        let domain = &upstream.record.domain;
        if upstream.domain_responded_within(HEARD_LATELY, now) {
            domains.retain(|other| other != domain);
        } else if upstream.is_domain_unreachable(now) && !domains.contains(domain) {
            domains.push(domain.clone());
        }
    }
    domains
}

/// Opens connections to some upstreams of a domain, and notes what that tells of the way there.
async fn try_domain(context: Arc<EntryContext>, domain: DomainId) {
    let directory = context.directory.load_full();
    let there = directory
        .all()
        .filter(|upstream| upstream.record.domain == domain && upstream.takes_requests());
    let tried: Vec<Arc<Upstream>> = there
        .cloned()
        .choose_multiple(&mut rand::rng(), TRIED_UPSTREAMS);
    let Some(first) = tried.first() else {
        return;
    };
    let was_lost = first.is_domain_unreachable(Instant::now());
    let probes = tried.iter().map(|upstream| upstream.probe_path());
    let answers = futures_util::future::join_all(probes).await;
    let lost = answers.iter().all(|answer| *answer == PathProbe::Silent);
    let now = Instant::now();
    if lost {
        first.mark_domain_unreachable(now);
    }
    if lost != was_lost {
        let line = DomainLine {
            domain: &domain,
            lost,
            upstreams: tried.len(),
        };
        Logbook::global().record("domain-reach", &line);
    }
}
