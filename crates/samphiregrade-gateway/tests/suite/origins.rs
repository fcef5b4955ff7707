//! The software version at which a stream goes on, as decided from the records of its program.

use samphiregrade_gateway::exchange::{KnownVersions, OriginSource, RefusalReason, find_origin};
use samphiregrade_gateway::fact::{ProgramLedger, StreamOrigin};
use samphiregrade_gateway::model::SoftwareTag;

const OLD: SoftwareTag = 1;
const NEW: SoftwareTag = 2;

fn ledger(origins: &[(&str, SoftwareTag)]) -> ProgramLedger {
    let mut ledger = ProgramLedger::default();
    for &(attempt, software) in origins {
        ledger.add_origin(StreamOrigin {
            attempt: attempt.into(),
            software,
        });
    }
    ledger
}

fn only(software: SoftwareTag) -> KnownVersions {
    KnownVersions {
        serving: Some(software),
        known: Some(software),
    }
}

#[test]
fn recorded_version_is_kept_whatever_serves_now() {
    let ledger = ledger(&[("a", OLD), ("b", NEW)]);
    for versions in [only(NEW), only(OLD), KnownVersions::default()] {
        let found = find_origin(Some(&"a".into()), &ledger, versions);
        assert_eq!(found, Ok((OLD, OriginSource::Found)));
    }
}

// Guards against the only version of today that is taken for the one of a stream without a record.
#[test]
fn named_attempt_without_a_record_is_refused() {
    let found = find_origin(Some(&"a".into()), &ledger(&[("b", NEW)]), only(NEW));
    assert_eq!(found, Err(RefusalReason::UnknownOrigin));
}

// Guards against a guess between two records of one id, which a client has used twice.
#[test]
fn attempt_with_two_versions_is_refused() {
    let mut merged = ledger(&[("a", OLD)]);
    merged.merge(ledger(&[("a", NEW)]));
    let found = find_origin(Some(&"a".into()), &merged, only(NEW));
    assert_eq!(found, Err(RefusalReason::UnknownOrigin));
}

#[test]
fn unnamed_stream_goes_on_only_while_one_version_is_known() {
    let found = find_origin(None, &ledger(&[("a", OLD)]), only(NEW));
    assert_eq!(found, Ok((NEW, OriginSource::OnlyVersion)));
    let leaving = KnownVersions {
        serving: Some(NEW),
        known: None,
    };
    let found = find_origin(None, &ledger(&[("a", OLD)]), leaving);
    assert_eq!(found, Err(RefusalReason::UnknownOrigin));
}
