//! Route lookup by host and longest prefix, and service selection by weight.

use std::collections::HashMap;
use std::time::Duration;

use samphiregrade_gateway::model::{
    RequestKind, RouteAccess, RouteRecord, RoutingConfig, ServiceName, ServiceShare,
};
use samphiregrade_gateway::routing::{RouteTable, service_for};

pub fn route(name: &str, host: &str, prefix: &str) -> RouteRecord {
    RouteRecord {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        shares: vec![share("a", 90), share("b", 10)],
        max_attempts: 1,
        retained: false,
        retention: Duration::ZERO,
        affinity: false,
        resumable: false,
        access: RouteAccess::Keyed,
    }
}

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: service.into(),
        weight,
    }
}

fn name_of(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.route(host, path).map(|route| route.name.to_string())
}

#[test]
fn longest_matching_prefix_of_the_host_is_chosen() {
    let table = RouteTable::new(RoutingConfig {
        routes: vec![
            route("short", "one.example", "/a/"),
            route("long", "one.example", "/a/b/"),
            route("other", "two.example", "/a/b/c/"),
        ],
        ..RoutingConfig::default()
    });
    assert_eq!(
        name_of(&table, "one.example", "/a/b/c/d").as_deref(),
        Some("long")
    );
    assert_eq!(
        name_of(&table, "ONE.example:8080", "/a/x").as_deref(),
        Some("short")
    );
    assert_eq!(name_of(&table, "one.example", "/a"), None);
    assert_eq!(name_of(&table, "three.example", "/a/"), None);
}

#[test]
fn services_are_chosen_by_weight_and_stay_the_same_for_a_key() {
    let route = route("r", "h", "/");
    let mut counts: HashMap<ServiceName, u32> = HashMap::new();
    for number in 0..2000 {
        let key = format!("key-{number}");
        let service = service_for(&route, &key).expect("a service");
        assert_eq!(service_for(&route, &key), Some(service));
        *counts.entry(service.clone()).or_default() += 1;
    }
    assert!((150..250).contains(&counts["b"]), "{counts:?}");
}

#[test]
fn streams_may_be_repeated_only_if_resumable() {
    let mut stream = route("s", "h", "/");
    stream.kind = RequestKind::Streaming;
    assert!(!stream.may_repeat());
    stream.resumable = true;
    assert!(stream.may_repeat());
}
