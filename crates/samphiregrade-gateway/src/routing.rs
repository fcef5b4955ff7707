//! Routing of requests to services, based on one snapshot of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::access::{CallerIdentity, KeyTable};
use crate::model::{
    CallerCredential, ClientLimits, ConfigVersion, OrganisationRecord, RouteAccess, RouteRecord,
    RoutingConfig, ServiceName, ServiceRecord,
};

use crate::upstream::UrgencyClass;

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
    hosts: HashMap<SmolStr, Vec<Arc<RouteRecord>>>,
    services: HashMap<ServiceName, Arc<ServiceRecord>>,
    /// Keys of callers; `None` if callers need none.
    keys: Option<KeyTable>,
    /// Priorities that requests to a service may have, most urgent first.
    priorities: HashMap<ServiceName, Vec<u8>>,
}

impl RouteTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: RoutingConfig) -> Self {
        let organisations = config.organisations.as_deref().unwrap_or_default();
        let priorities = priorities_by_service(&config.routes, organisations);
        let mut hosts: HashMap<SmolStr, Vec<Arc<RouteRecord>>> = HashMap::new();
        for route in config.routes {
            let host = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = config
            .services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version: config.version,
            limits: config.limits,
            keys: config.organisations.map(KeyTable::new),
            hosts,
            services,
            priorities,
        }
    }

    /// Returns the route of a host and path: the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the keys of callers; `None` if callers need none.
    #[must_use]
    pub fn keys(&self) -> Option<&KeyTable> {
        self.keys.as_ref()
    }

    /// Returns the identity of the sender of a request; `None` if the route requires a key and the key is unknown.
    #[must_use]
    pub fn identify(
        &self,
        route: &RouteRecord,
        credential: &CallerCredential,
    ) -> Option<CallerIdentity> {
        let Some(keys) = &self.keys else {
            return Some(CallerIdentity::KeyNotRequired);
        };
        let known = keys.identify(credential);
        let is_open = route.access == RouteAccess::Open;
        known.or_else(|| is_open.then_some(CallerIdentity::Anonymous))
    }

    /// Returns the position of a priority among all priorities that requests to a service may have.
    #[must_use]
    pub fn urgency(&self, service: &str, priority: u8) -> UrgencyClass {
        let Some(known) = self.priorities.get(service) else {
            return UrgencyClass::default();
        };
        let index = known.partition_point(|&other| other < priority);
        let saturated = |number| u8::try_from(number).unwrap_or(u8::MAX);
        UrgencyClass {
            index: saturated(index),
            count: saturated(known.len()),
        }
    }

    /// Returns the longest timeout of all routes.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.hosts.values().flatten();
        let timeouts = routes.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRecord>> {
        self.services.get(name)
    }
}

/// Returns, for each service, the priorities of its routes and those of organisations, which override a route's
/// priority.
fn priorities_by_service(
    routes: &[RouteRecord],
    organisations: &[OrganisationRecord],
) -> HashMap<ServiceName, Vec<u8>> {
    let organisation_priorities: Vec<u8> = organisations
        .iter()
        .filter_map(|organisation| organisation.priority)
        .collect();
    let mut priorities: HashMap<ServiceName, Vec<u8>> = HashMap::new();
    for route in routes {
        for share in &route.shares {
            let known = priorities.entry(share.service.clone()).or_default();
            known.push(route.priority);
            known.extend(&organisation_priorities);
        }
    }
    for known in priorities.values_mut() {
        known.sort_unstable();
        known.dedup();
    }
    priorities
}

/// Returns the service for a request of the route, chosen by weight; requests with the same key go to the same service.
#[must_use]
pub fn service_for<'route>(route: &'route RouteRecord, key: &str) -> Option<&'route ServiceName> {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    if total == 0 {
        return route.shares.first().map(|share| &share.service);
    }
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..4]);
    let mut point = u32::from_le_bytes(bytes) % total;
    for share in &route.shares {
        if point < share.weight {
            return Some(&share.service);
        }
        point -= share.weight;
    }
    None
}
