//! Who calls, and how fresh what is known of keys has to be.
//!
//! Pattern: a key that is withdrawn while an instance is cut off, frozen, or behind a watch that stays silent.

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
const HELD: Duration = Duration::from_secs(1);

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
fn keys_tell_their_organisation() {
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
fn a_key_of_two_organisations_is_nobodys_and_harms_no_other() {
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
fn a_key_that_stands_twice_in_its_organisation_is_its_own() {
    let table = KeyTable::new(vec![organisation("cantabrica", &["k1", "k1"])]);
    assert_eq!(name_of(&table, "k1").as_deref(), Some("cantabrica"));
}

#[test]
fn names_that_no_header_holds_are_left_out() {
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
fn a_key_is_not_told_by_its_debug_text() {
    let key = CallerKey::digest(b"secret");
    let told = format!("{key:?} {:?}", credential("secret"));
    assert!(!told.contains("secret"), "{told}");
    let same = format!("{:?}", CallerKey::digest(b"other"));
    assert!(told.starts_with(&same), "{told}");
}

#[test]
fn ids_of_organisations_never_meet() {
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
    // One who needs no key can't name an organisation's turn.
    assert_ne!(
        CallerIdentity::Anonymous.scoped_id("1:ax"),
        scoped("k1", "x")
    );
    assert_eq!(CallerIdentity::KeyNotRequired.scoped_id("x"), "x");
}

#[test]
fn nothing_is_served_before_it_is_proved() {
    let freshness = strict();
    assert!(!freshness.permits_known_keys(at(1)));
    assert!(!freshness.permits_denial(at(1)));
    freshness.prove(at(1000));
    assert!(freshness.permits_known_keys(at(1000)));
    assert!(freshness.permits_known_keys(at(5500)));
    assert!(!freshness.permits_known_keys(at(6000)));
    // An older proof takes nothing back.
    freshness.prove(at(500));
    assert!(freshness.permits_known_keys(at(5500)));
}

#[test]
fn a_frozen_machine_finds_its_proofs_old() {
    let freshness = strict();
    freshness.prove(at(10_000));
    // The clock has gone on while the machine stood still.
    assert!(!freshness.permits_known_keys(at(10_000 + 60_000)));
}

#[test]
fn a_configuration_that_cannot_be_read_proves_nothing() {
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
fn known_keys_are_served_for_ever_where_the_bound_is_not_strict() {
    let freshness = KeyFreshness::new(FreshnessRule { strict: None });
    assert!(freshness.permits_known_keys(at(1)));
    // One that isn't known may have come since.
    assert!(!freshness.permits_denial(at(1)));
    freshness.prove(at(1000));
    assert!(freshness.permits_denial(at(2000)));
    assert!(!freshness.permits_denial(at(100_000)));
}

#[test]
fn a_watch_proves_what_it_was_held_for() {
    // It ended without changes after its time.
    assert_eq!(proof_of_watch(at(100), at(1104), HELD, 0), Some(at(1100)));
    // The time that its answer took proves nothing.
    assert_eq!(proof_of_watch(at(100), at(9000), HELD, 0), Some(at(1100)));
    // It was cut short.
    assert_eq!(proof_of_watch(at(100), at(400), HELD, 0), Some(at(100)));
    // It brought all changes that there were when it was sent.
    assert_eq!(proof_of_watch(at(100), at(400), HELD, 3), Some(at(100)));
    // It may have brought a part of them.
    assert_eq!(proof_of_watch(at(100), at(400), HELD, 500), None);
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
fn routes_ask_for_keys_only_where_there_are_organisations() {
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
    let unasked = table_with(None);
    assert!(matches!(
        unasked.identify(&closed, &CallerCredential::Unusable),
        Some(CallerIdentity::KeyNotRequired)
    ));
    let nobody = table_with(Some(Vec::new()));
    assert!(nobody.identify(&closed, &credential("k1")).is_none());
}

#[test]
fn an_organisations_priority_has_a_place_among_those_of_routes() {
    let mut hasty = organisation("cantabrica", &["k1"]);
    hasty.priority = Some(0);
    let route = RouteRecord {
        priority: 3,
        ..route(RouteAccess::Keyed)
    };
    let service = route.shares[0].service.clone();
    let table = RouteTable::new(RoutingConfig {
        routes: vec![route],
        organisations: Some(vec![hasty]),
        ..RoutingConfig::default()
    });
    assert_eq!(table.urgency(&service, 0).index, 0);
    assert_eq!(table.urgency(&service, 3).index, 1);
}

/// Steps of a play: a withdrawal is learnt by the one who follows, or proofs come.
fn serves_no_withdrawn_key(steps: &[(u8, u16)]) -> bool {
    let freshness = strict();
    let mut now = 1000_u64;
    // Since when the key is withdrawn, and whether this instance knows.
    let mut withdrawn: Option<u64> = None;
    let mut knows = false;
    for &(kind, pause) in steps {
        now += u64::from(pause);
        match kind % 4 {
            0 if withdrawn.is_none() => withdrawn = Some(now),
            // A watch that was sent now ends after its time: changes until its sending are known.
            1 => {
                knows |= withdrawn.is_some();
                freshness.prove(at(now));
            }
            2 => {
                let ended = now + 1000 + u64::from(pause) % 300;
                let changed = withdrawn.is_some_and(|since| !knows && since <= now + 1000);
                let proof = proof_of_watch(at(now), at(ended), HELD, usize::from(changed));
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
        serves_no_withdrawn_key(&steps)
    }
}
