//! Organisations that an entry has found above their fair share, for the log.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::fair_share::OrganisationShare;
use crate::hold::lock_ignoring_poison;
use crate::model::OrganisationName;
use crate::observe::Logbook;

/// Time without a share above the bound after which an organisation counts as below it: replies of different keepers
/// vary around the bound, and each change writes a line.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Maximum number of organisations; further ones are not logged.
const ORGANISATION_LIMIT: usize = 1024;

#[derive(Serialize)]
struct ShareLine<'line> {
    organisation: &'line str,
    over: bool,
    used: f64,
    fair: f64,
}

/// Organisations above their fair share; each entry has one instance.
#[derive(Debug, Default)]
pub struct ShareBoard {
    /// When each organisation was last found above its share.
    over: Mutex<HashMap<OrganisationName, Instant>>,
}

impl ShareBoard {
    /// Records an organisation's share, and logs if the organisation has crossed the bound; returns whether it has.
    pub fn note(
        &self,
        organisation: &OrganisationName,
        share: &OrganisationShare,
        now: Instant,
    ) -> bool {
        let mut over = lock_ignoring_poison(&self.over);
        let crossed = if share.is_over() {
            if over.len() >= ORGANISATION_LIMIT && !over.contains_key(organisation) {
                over.retain(|_, last| now.saturating_duration_since(*last) < QUIET_TIME);
            }
            if over.len() >= ORGANISATION_LIMIT && !over.contains_key(organisation) {
                return false;
            }
            over.insert(organisation.clone(), now).is_none()
        } else {
            let is_quiet = |&last: &Instant| now.saturating_duration_since(last) >= QUIET_TIME;
            over.get(organisation).is_some_and(is_quiet) && over.remove(organisation).is_some()
        };
        drop(over);
        if crossed {
            let line = ShareLine {
                organisation,
                over: share.is_over(),
                used: share.used,
                fair: share.fair,
            };
            Logbook::global().record("organisation-share", &line);
        }
        crossed
    }
}
