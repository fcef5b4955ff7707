//! Which organisation a key belongs to.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Serialize;

use crate::model::{
    CallerCredential, CallerKey, OrganisationName, OrganisationRecord, OrganisationTag,
    RequestLimit, name_tag,
};
use crate::observe::Logbook;

#[derive(Serialize)]
struct BadOrganisationLine<'line> {
    organisation: &'line str,
    reason: &'static str,
}

#[derive(Serialize)]
struct SharedKeyLine<'line> {
    first: &'line str,
    second: &'line str,
}

/// An organisation as requests need it.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Hash of its name.
    pub tag: OrganisationTag,
    /// Rank of its requests; `None` where the route's counts.
    pub priority: Option<u8>,
    /// Its limit.
    pub limit: Option<RequestLimit>,
}

/// Who calls, as far as a configuration knows.
#[derive(Clone, Debug)]
pub enum CallerIdentity {
    /// The configuration names no organisations.
    KeyNotRequired,
    /// The route is open to all, and no key of the configuration was sent.
    Anonymous,
    /// An organisation.
    Known(Arc<Organisation>),
}

impl CallerIdentity {
    /// Returns the organisation, where there is one.
    #[must_use]
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::KeyNotRequired | Self::Anonymous => None,
            Self::Known(organisation) => Some(organisation),
        }
    }

    /// Returns an id as it is known beyond this request: of the caller's organisation, so that no other one finds it.
    #[must_use]
    pub fn scoped_id(&self, id: &str) -> smol_str::SmolStr {
        match self {
            Self::KeyNotRequired => id.into(),
            Self::Anonymous => smol_str::format_smolstr!("0:{id}"),
            Self::Known(organisation) => {
                let name = &organisation.name;
                smol_str::format_smolstr!("{}:{name}{id}", name.len())
            }
        }
    }
}

/// The keys of one configuration.
#[derive(Debug, Default)]
pub struct KeyTable {
    /// `None` for a key that two organisations hold: it tells nobody's requests apart.
    holders: HashMap<CallerKey, Option<Arc<Organisation>>>,
    organisations: usize,
}

impl KeyTable {
    /// Makes the organisations of a configuration ready.
    #[must_use]
    pub fn new(records: Vec<OrganisationRecord>) -> Self {
        let mut table = Self::default();
        for record in records {
            table.add(record);
        }
        table
    }

    fn add(&mut self, record: OrganisationRecord) {
        if !is_header_text(&record.name) {
            let line = BadOrganisationLine {
                organisation: &record.name,
                reason: "its name can't stand in a header; its keys are unknown",
            };
            Logbook::global().record("organisation-bad", &line);
            return;
        }
        self.organisations += 1;
        let organisation = Arc::new(Organisation {
            tag: name_tag(&record.name),
            name: record.name,
            priority: record.priority,
            limit: record.limit,
        });
        for key in record.keys {
            let holder = self.holders.entry(key);
            let holder = holder.or_insert_with(|| Some(organisation.clone()));
            let Some(first) = holder.as_ref().filter(|first| **first != organisation) else {
                continue;
            };
            let line = SharedKeyLine {
                first: &first.name,
                second: &organisation.name,
            };
            Logbook::global().record("key-of-two-organisations", &line);
            *holder = None;
        }
    }

    /// Returns how many organisations there are.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.organisations
    }

    /// Returns how many keys there are.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the identity that a credential stands for; `None` where the configuration knows no such key.
    #[must_use]
    pub fn identify(&self, credential: &CallerCredential) -> Option<CallerIdentity> {
        let CallerCredential::Key(key) = credential else {
            return None;
        };
        let organisation = self.holders.get(key)?.clone()?;
        Some(CallerIdentity::Known(organisation))
    }
}

/// Returns whether a name can be told to upstreams as it is.
fn is_header_text(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic())
}
