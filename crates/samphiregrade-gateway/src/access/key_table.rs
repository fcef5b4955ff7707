//! Table of the organisations that keys belong to.

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

/// An organisation, as needed by requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Hash of the name.
    pub tag: OrganisationTag,
    /// Priority of the organisation's requests; `None` if the route's priority applies.
    pub priority: Option<u8>,
    /// Request limit; `None` if the organisation has none.
    pub limit: Option<RequestLimit>,
}

/// The identity of a caller, according to a configuration.
#[derive(Clone, Debug)]
pub enum CallerIdentity {
    /// The configuration has no organisations, so no key is needed.
    KeyNotRequired,
    /// The route is open to all, and the request has no known key.
    Anonymous,
    /// An organisation.
    Known(Arc<Organisation>),
}

impl CallerIdentity {
    /// Returns the organisation, if there is one.
    #[must_use]
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::KeyNotRequired | Self::Anonymous => None,
            Self::Known(organisation) => Some(organisation),
        }
    }

    /// Returns an id that is qualified by the caller's organisation, so that callers of other organisations can't refer
    /// to it.
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
    /// Organisations by key; `None` for a key that several organisations have, since it does not identify any of them.
    holders: HashMap<CallerKey, Option<Arc<Organisation>>>,
    organisations: usize,
}

impl KeyTable {
    /// Returns the table for a configuration's organisations.
    #[must_use]
    pub fn new(records: Vec<OrganisationRecord>) -> Self {
        let mut table = Self::default();
        for record in records {
            table.add(record);
        }
        table
    }

    fn add(&mut self, record: OrganisationRecord) {
        if !is_valid_in_header(&record.name) {
            let line = BadOrganisationLine {
                organisation: &record.name,
                reason: "the name is not valid in a header; the keys are ignored",
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

    /// Returns the number of organisations.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.organisations
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the identity for a credential; `None` if the configuration has no such key.
    #[must_use]
    pub fn identify(&self, credential: &CallerCredential) -> Option<CallerIdentity> {
        let CallerCredential::Key(key) = credential else {
            return None;
        };
        let organisation = self.holders.get(key)?.clone()?;
        Some(CallerIdentity::Known(organisation))
    }
}

/// Returns whether a name can be sent to upstreams in a header without encoding.
fn is_valid_in_header(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic())
}
