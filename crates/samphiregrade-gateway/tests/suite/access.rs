//! Identification of callers, and the required freshness of the known keys.
//!
//! Guards against serving a withdrawn key on an instance that is cut off, suspended, or connected to an unresponsive
//! watch.

use std::time::Duration;

use quickcheck::quickcheck;
use samphiregrade_gateway::access::{
    BootTime, CallerIdentity, FreshnessRule, KeyFreshness, KeyTable, proof_of_watch,
};
use samphiregrade_gateway::model::{
    CallerCredential, CallerKey, OrganisationRecord, RouteAccess, RouteRecord, RoutingConfig,
};
use samphiregrade_gateway::routing::RouteTable;

const BOUND: Duration = Duration::from_secs(5);
const HOLD: Duration = Duration::from_secs(1);

fn at(milliseconds: u64) -> BootTime {
    BootTime::since_start(Duration::from_millis(milliseconds))
}

fn strict() -> KeyFreshness {
    KeyFreshness::new(FreshnessRule {
        strict: Some(BOUND),
    })
}

fn organisation(name: &str, keys: &[&str]) -> OrganisationRecord {
    OrganisationRecord {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| CallerKey::digest(key.as_bytes()))
            .collect(),
        priority: None,
        limit: None,
    }
}

fn credential(key: &str) -> CallerCredential {
    CallerCredential::Key(CallerKey::digest(key.as_bytes()))
}

fn name_of(table: &KeyTable, key: &str) -> Option<String> {
    let identity = table.identify(&credential(key))?;
    identity
        .organisation()
        .map(|organisation| organisation.name.to_string())
}

#[test]
fn keys_identify_their_organisation() {
    let table = KeyTable::new(vec![
        organisation("cantabrica", &["k1", "k2"]),
        organisation("pisuerga", &["k3"]),
        organisation("without-keys", &[]),
    ]);
    assert_eq!(name_of(&table, "k2").as_deref(), Some("cantabrica"));
    assert_eq!(name_of(&table, "k3").as_deref(), Some("pisuerga"));
    assert_eq!(name_of(&table, "k4"), None);
    assert!(table.identify(&CallerCredential::Absent).is_none());
    assert!(table.identify(&CallerCredential::Unusable).is_none());
    assert_eq!((table.organisation_count(), table.key_count()), (3, 3));
}

#[test]
fn key_of_two_organisations_is_rejected_and_others_still_work() {
    let table = KeyTable::new(vec![
        organisation("cantabrica", &["shared", "own"]),
        organisation("pisuerga", &["shared"]),
        organisation("ebro", &["shared", "third"]),
    ]);
    assert_eq!(name_of(&table, "shared"), None);
    assert_eq!(name_of(&table, "own").as_deref(), Some("cantabrica"));
    assert_eq!(name_of(&table, "third").as_deref(), Some("ebro"));
}

#[test]
fn key_listed_twice_in_one_organisation_is_accepted() {
    let table = KeyTable::new(vec![organisation("cantabrica", &["k1", "k1"])]);
    assert_eq!(name_of(&table, "k1").as_deref(), Some("cantabrica"));
}

#[test]
fn organisations_with_names_invalid_in_headers_are_skipped() {
    let table = KeyTable::new(vec![
        organisation("two\r\nlines", &["k1"]),
        organisation("", &["k2"]),
        organisation("cantabrica", &["k3"]),
    ]);
    assert_eq!(name_of(&table, "k1"), None);
    assert_eq!(name_of(&table, "k2"), None);
    assert_eq!(name_of(&table, "k3").as_deref(), Some("cantabrica"));
}

#[test]
fn ten_thousand_keys_and_long_ones_are_found() {
    let long = "k".repeat(4096);
    let keys: Vec<String> = (0..10_000).map(|number| format!("key-{number}")).collect();
    let mut keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    keys.push(&long);
    let table = KeyTable::new(vec![organisation("cantabrica", &keys)]);
    assert_eq!(name_of(&table, "key-9999").as_deref(), Some("cantabrica"));
    assert_eq!(name_of(&table, &long).as_deref(), Some("cantabrica"));
    assert_eq!(name_of(&table, &long[1..]), None);
}

#[test]
fn debug_output_does_not_reveal_keys() {
    let key = CallerKey::digest(b"secret");
    let told = format!("{key:?} {:?}", credential("secret"));
    assert!(!told.contains("secret"), "{told}");
    let same = format!("{:?}", CallerKey::digest(b"other"));
    assert!(told.starts_with(&same), "{told}");
}

#[test]
fn scoped_ids_of_organisations_are_distinct() {
    let table = KeyTable::new(vec![
        organisation("a", &["k1"]),
        organisation("aa", &["k2"]),
    ]);
    let scoped = |key: &str, id: &str| {
        let identity = table.identify(&credential(key)).expect("a known key");
        identity.scoped_id(id)
    };
    assert_ne!(scoped("k1", "ab"), scoped("k2", "b"));
    assert_ne!(scoped("k1", "x"), scoped("k2", "x"));
    // An anonymous caller can't refer to an organisation's turn.
    assert_ne!(
        CallerIdentity::Anonymous.scoped_id("1:ax"),
        scoped("k1", "x")
    );
    assert_eq!(CallerIdentity::KeyNotRequired.scoped_id("x"), "x");
}

#[test]
fn keys_are_served_only_after_a_proof() {
    let freshness = strict();
    assert!(!freshness.permits_known_keys(at(1)));
    assert!(!freshness.permits_denial(at(1)));
    freshness.prove(at(1000));
    assert!(freshness.permits_known_keys(at(1000)));
    assert!(freshness.permits_known_keys(at(5500)));
    assert!(!freshness.permits_known_keys(at(6000)));
    // An older proof does not reduce the freshness.
    freshness.prove(at(500));
    assert!(freshness.permits_known_keys(at(5500)));
}

#[test]
fn proofs_expire_while_the_machine_is_suspended() {
    let freshness = strict();
    freshness.prove(at(10_000));
    // The clock continues while the machine is suspended.
    assert!(!freshness.permits_known_keys(at(10_000 + 60_000)));
}

#[test]
fn undecodable_configuration_proves_nothing() {
    let freshness = strict();
    freshness.prove(at(1000));
    freshness.set_readable(false);
    freshness.prove(at(9000));
    assert!(!freshness.permits_known_keys(at(9001)));
    freshness.set_readable(true);
    freshness.prove(at(9500));
    assert!(freshness.permits_known_keys(at(9501)));
}

#[test]
fn known_keys_are_always_served_without_a_strict_bound() {
    let freshness = KeyFreshness::new(FreshnessRule { strict: None });
    assert!(freshness.permits_known_keys(at(1)));
    // An unknown key may have been added meanwhile.
    assert!(!freshness.permits_denial(at(1)));
    freshness.prove(at(1000));
    assert!(freshness.permits_denial(at(2000)));
    assert!(!freshness.permits_denial(at(100_000)));
}

#[test]
fn watch_without_changes_proves_its_hold_time() {
    // The watch ended without changes after its hold time.
    assert_eq!(proof_of_watch(at(100), at(1104), HOLD, 0), Some(at(1100)));
    // The transfer time of the response proves nothing.
    assert_eq!(proof_of_watch(at(100), at(9000), HOLD, 0), Some(at(1100)));
    // The watch was interrupted.
    assert_eq!(proof_of_watch(at(100), at(400), HOLD, 0), Some(at(100)));
    // The watch returned all changes up to the time at which it was sent.
    assert_eq!(proof_of_watch(at(100), at(400), HOLD, 3), Some(at(100)));
    // The watch may have returned only some of the changes.
    assert_eq!(proof_of_watch(at(100), at(400), HOLD, 500), None);
}

fn route(access: RouteAccess) -> RouteRecord {
    RouteRecord {
        access,
        ..super::routing::route("r", "h", "/")
    }
}

fn table_with(organisations: Option<Vec<OrganisationRecord>>) -> RouteTable {
    RouteTable::new(RoutingConfig {
        organisations,
        ..RoutingConfig::default()
    })
}

#[test]
fn routes_require_keys_only_if_organisations_are_configured() {
    let keyed = table_with(Some(vec![organisation("cantabrica", &["k1"])]));
    let (closed, open) = (route(RouteAccess::Keyed), route(RouteAccess::Open));
    let identity = |route: &RouteRecord, credential| keyed.identify(route, &credential);
    assert!(identity(&closed, CallerCredential::Absent).is_none());
    assert!(identity(&closed, credential("k9")).is_none());
    assert!(matches!(
        identity(&closed, credential("k1")),
        Some(CallerIdentity::Known(_))
    ));
    assert!(matches!(
        identity(&open, CallerCredential::Absent),
        Some(CallerIdentity::Anonymous)
    ));
    assert!(matches!(
        identity(&open, credential("k1")),
        Some(CallerIdentity::Known(_))
    ));
    let without_organisations = table_with(None);
    assert!(matches!(
        without_organisations.identify(&closed, &CallerCredential::Unusable),
        Some(CallerIdentity::KeyNotRequired)
    ));
    let without_keys = table_with(Some(Vec::new()));
    assert!(without_keys.identify(&closed, &credential("k1")).is_none());
}

#[test]
fn organisation_priority_is_ranked_with_route_priorities() {
    let mut urgent = organisation("cantabrica", &["k1"]);
    urgent.priority = Some(0);
    let route = RouteRecord {
        priority: 3,
        ..route(RouteAccess::Keyed)
    };
    let service = route.shares[0].service.clone();
    let table = RouteTable::new(RoutingConfig {
        routes: vec![route],
        organisations: Some(vec![urgent]),
        ..RoutingConfig::default()
    });
    assert_eq!(table.urgency(&service, 0).index, 0);
    assert_eq!(table.urgency(&service, 3).index, 1);
}

/// Simulates a sequence of withdrawals and proofs; returns whether the withdrawn key is never served beyond the bound.
fn never_serves_late(steps: &[(u8, u16)]) -> bool {
    let freshness = strict();
    let mut now = 1000_u64;
    // Time of the key's withdrawal, and whether this instance knows of it.
    let mut withdrawn: Option<u64> = None;
    let mut knows = false;
    for &(kind, pause) in steps {
        now += u64::from(pause);
        match kind % 4 {
            0 if withdrawn.is_none() => withdrawn = Some(now),
            // A read at this time returns all changes until now.
            1 => {
                knows |= withdrawn.is_some();
                freshness.prove(at(now));
            }
            2 => {
                let ended = now + 1000 + u64::from(pause) % 300;
                let changed = withdrawn.is_some_and(|since| !knows && since <= now + 1000);
                let proof = proof_of_watch(at(now), at(ended), HOLD, usize::from(changed));
                knows |= changed;
                freshness.prove(proof.expect("few changes"));
                now = ended;
            }
            _ => {}
        }
        let served = !knows && freshness.permits_known_keys(at(now));
        let late = withdrawn.is_some_and(|since| now > since + 5000);
        if served && late {
            return false;
        }
    }
    true
}

quickcheck! {
    fn no_key_is_served_beyond_the_bound_after_its_withdrawal(steps: Vec<(u8, u16)>) -> bool {
        let steps: Vec<(u8, u16)> = steps.into_iter().map(|(kind, pause)| (kind, pause % 3000)).collect();
        never_serves_late(&steps)
    }
}

// Guards against a configuration that can't be read, which has revision 0, as a proof that the known keys are current.
#[test]
fn revision_zero_proves_nothing() {
    let freshness = KeyFreshness::new(FreshnessRule {
        strict: Some(Duration::from_secs(5)),
    });
    freshness.take_revision(7);
    let moment = BootTime::since_start(Duration::from_secs(100));
    assert!(!freshness.prove_revision(0, moment));
    assert_eq!(freshness.age(moment), None);
    assert!(freshness.prove_revision(7, moment));
}
