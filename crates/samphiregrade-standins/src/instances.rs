//! The instance list: live and leaving instances, reported with a delay.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ntex::server::Server;
use samphiregrade_http::{HttpServer, IncomingRequest, OutgoingResponse, ServerSettings};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use crate::lock;

/// One instance of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedInstance {
    /// Name of the instance, unique in the deployment.
    pub name: SmolStr,
    /// Failure domain of the instance.
    pub failure_domain: SmolStr,
    /// Address of its peer listener.
    pub peer_address: SmolStr,
    /// Whether the instance is leaving.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug)]
struct ListEntry {
    instance: ListedInstance,
    since: Instant,
}

/// The instance list; cloning it gives another handle to the same list.
#[derive(Clone, Debug)]
pub struct InstanceListStandin {
    lag: Duration,
    entries: Arc<Mutex<BTreeMap<SmolStr, ListEntry>>>,
}

impl InstanceListStandin {
    /// Creates an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            entries: Arc::default(),
        }
    }

    /// Adds or replaces an instance.
    pub fn put(&self, instance: ListedInstance) {
        let entry = ListEntry {
            instance,
            since: Instant::now(),
        };
        lock(&self.entries).insert(entry.instance.name.clone(), entry);
    }

    /// Starts serving; to be called inside a running system.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub fn start(&self, listener: TcpListener) -> io::Result<Server> {
        let list = self.clone();
        HttpServer::start(listener, ServerSettings::default(), move |request| {
            let list = list.clone();
            async move { list.handle(&request) }
        })
    }

    fn handle(&self, request: &IncomingRequest) -> OutgoingResponse {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/instances") => OutgoingResponse::json(200, &self.visible()),
            ("POST", "/instances") => match request.json::<ListedInstance>() {
                Ok(instance) => {
                    self.put(instance);
                    OutgoingResponse::json(200, &json!({}))
                }
                Err(error) => OutgoingResponse::json(400, &json!({"error": error.to_string()})),
            },
            _ => OutgoingResponse::json(404, &json!({"error": "no such call"})),
        }
    }

    fn visible(&self) -> Vec<ListedInstance> {
        lock(&self.entries)
            .values()
            .filter(|entry| entry.since.elapsed() >= self.lag)
            .map(|entry| entry.instance.clone())
            .collect()
    }
}
