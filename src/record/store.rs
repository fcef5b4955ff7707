//! The records known to an instance; their revisions only increase.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use super::RECORD_PREFIX;
use super::schema::{RecordEnvelope, RecordError, RecordKind, RecordSpec};
use super::view::{ConfigView, RecordProblem};
use crate::ids::RevisionNumber;

/// One change of a record, or its removal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordChange {
    /// Key in the key-value service.
    pub key: SmolStr,
    /// The stored text; `None` if the record was removed.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: RevisionNumber,
}

/// The changes after a first revision, complete up to a second one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RecordDelta {
    /// The changes.
    pub changes: Vec<RecordChange>,
    /// Revision up to which the changes are complete.
    pub revision: RevisionNumber,
}

/// A record with the last version that this release could read.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    change: RecordChange,
    last_valid: Option<RecordSpec>,
    problem: Option<RecordError>,
}

/// All known records, with the revision up to which they are complete.
#[derive(Clone, Debug, Default)]
pub struct RecordStore {
    records: BTreeMap<SmolStr, StoredRecord>,
    revision: RevisionNumber,
}

/// Returns the key of a record in the key-value service.
#[must_use]
pub fn record_key(kind: RecordKind, name: &str) -> SmolStr {
    format_smolstr!("{RECORD_PREFIX}{kind}/{name}")
}

/// Returns the lines in which two records differ, each prefixed with `-` or `+`.
#[must_use]
pub fn record_diff(old: &str, new: &str) -> String {
    let old: Vec<String> = pretty_lines(old);
    let new: Vec<String> = pretty_lines(new);
    let mut diff = String::new();
    for line in old.iter().filter(|line| !new.contains(line)) {
        diff.push_str("- ");
        diff.push_str(line);
        diff.push('\n');
    }
    for line in new.iter().filter(|line| !old.contains(line)) {
        diff.push_str("+ ");
        diff.push_str(line);
        diff.push('\n');
    }
    diff
}

fn pretty_lines(text: &str) -> Vec<String> {
    let pretty = serde_json::from_str::<serde_json::Value>(text)
        .and_then(|value| serde_json::to_string_pretty(&value))
        .unwrap_or_else(|_| text.to_owned());
    pretty.lines().map(str::to_owned).collect()
}

impl RecordStore {
    /// Returns the revision up to which the store is complete.
    #[must_use]
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Merges changes; skips those that are not newer than the known state of their record.
    ///
    /// Returns whether anything is new.
    pub fn merge(&mut self, delta: &RecordDelta) -> bool {
        let mut changed = false;
        for change in &delta.changes {
            let known = self.records.get(&change.key);
            if known.is_some_and(|known| known.change.revision >= change.revision) {
                continue;
            }
            let last_valid = known.and_then(|known| known.last_valid.clone());
            self.records
                .insert(change.key.clone(), StoredRecord::read(change, last_valid));
            changed = true;
        }
        if delta.revision > self.revision {
            self.revision = delta.revision;
            changed = true;
        }
        changed
    }

    /// Merges a complete reading of the key-value service; keys that are missing in it count as removed.
    ///
    /// Returns whether anything is new.
    pub fn merge_reading(&mut self, mut reading: RecordDelta) -> bool {
        if reading.revision < self.revision {
            return false;
        }
        for (key, known) in &self.records {
            let is_present = reading.changes.iter().any(|change| change.key == *key);
            if is_present || known.change.value.is_none() {
                continue;
            }
            reading.changes.push(RecordChange {
                key: key.clone(),
                value: None,
                revision: reading.revision,
            });
        }
        self.merge(&reading)
    }

    /// Returns the changes after a revision.
    #[must_use]
    pub fn changes_since(&self, revision: RevisionNumber) -> RecordDelta {
        let changes = self
            .records
            .values()
            .filter(|record| record.change.revision > revision)
            .map(|record| record.change.clone())
            .collect();
        RecordDelta {
            changes,
            revision: self.revision,
        }
    }

    /// Builds the configuration from the records.
    #[must_use]
    pub fn view(&self) -> ConfigView {
        let mut view = ConfigView::new(self.revision);
        for (key, record) in &self.records {
            if let Some(problem) = &record.problem {
                view.add_problem(RecordProblem {
                    key: key.clone(),
                    problem: format_smolstr!("{problem}"),
                    kept_last_good: record.last_valid.is_some(),
                });
            }
            let name = key.rsplit('/').next().unwrap_or_default();
            if let Some(spec) = &record.last_valid {
                view.add(name, spec);
            }
        }
        view
    }
}

impl StoredRecord {
    fn read(change: &RecordChange, previous: Option<RecordSpec>) -> Self {
        let Some(text) = &change.value else {
            return Self {
                change: change.clone(),
                last_valid: None,
                problem: None,
            };
        };
        match RecordEnvelope::parse(text).and_then(|envelope| envelope.read()) {
            Ok(spec) => Self {
                change: change.clone(),
                last_valid: Some(spec),
                problem: None,
            },
            Err(problem) => Self {
                change: change.clone(),
                last_valid: previous,
                problem: Some(problem),
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    fn change(name: u8, revision: u8) -> RecordChange {
        let value = (!revision.is_multiple_of(3)).then(|| {
            format!(
                r#"{{"schema":2,"kind":"model","name":"m{name}","spec":{{"version":"{revision}"}}}}"#
            )
        });
        RecordChange {
            key: record_key(RecordKind::Model, &format!("m{name}")),
            value,
            revision: revision.into(),
        }
    }

    quickcheck! {
        fn order_of_merges_does_not_matter(steps: Vec<(u8, u8)>) -> bool {
            // Each revision changes only one key, as in the key-value service.
            let mut seen = std::collections::BTreeMap::new();
            for (name, revision) in steps {
                seen.entry(revision).or_insert(name % 4);
            }
            let changes: Vec<_> = seen.iter().map(|(revision, name)| change(*name, *revision)).collect();
            let mut forward = RecordStore::default();
            let mut backward = RecordStore::default();
            for one in &changes {
                let delta = RecordDelta { changes: vec![one.clone()], revision: one.revision };
                forward.merge(&delta);
            }
            for one in changes.iter().rev() {
                let delta = RecordDelta { changes: vec![one.clone()], revision: one.revision };
                backward.merge(&delta);
            }
            forward.changes_since(0) == backward.changes_since(0)
        }
    }

    #[test]
    fn unknown_schema_keeps_the_last_good_record() {
        let mut store = RecordStore::default();
        let key = record_key(RecordKind::Model, "m");
        let put = |schema: u32, version: &str, revision| RecordDelta {
            changes: vec![RecordChange {
                key: key.clone(),
                value: Some(format!(
                    r#"{{"schema":{schema},"kind":"model","name":"m","spec":{{"version":"{version}"}}}}"#
                )),
                revision,
            }],
            revision,
        };
        store.merge(&put(2, "7", 5));
        store.merge(&put(3, "8", 6));
        let view = store.view();
        assert_eq!(
            view.model("m").map(|model| model.version.as_str()),
            Some("7")
        );
        assert_eq!(view.problems().len(), 1);
        store.merge(&put(1, "6", 4));
        assert_eq!(
            store.view().model("m").map(|model| model.version.as_str()),
            Some("7")
        );
    }
}
