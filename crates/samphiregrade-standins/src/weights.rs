//! The weight store: serves model weights at a limited rate.

use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ntex::server::Server;
use samphiregrade_http::{HttpServer, IncomingRequest, OutgoingResponse, ServerSettings};
use serde_json::json;

use crate::lock;

/// The weight store; cloning it gives another handle to the same store.
#[derive(Clone, Debug)]
pub struct WeightStandin {
    interval: Duration,
    next: Arc<Mutex<Option<Instant>>>,
}

impl WeightStandin {
    /// Creates a store that serves one set of weights per `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            next: Arc::default(),
        }
    }

    /// Starts serving; to be called inside a running system.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub fn start(&self, listener: TcpListener) -> io::Result<Server> {
        let store = self.clone();
        HttpServer::start(listener, ServerSettings::default(), move |request| {
            let store = store.clone();
            async move { store.handle(&request) }
        })
    }

    fn handle(&self, request: &IncomingRequest) -> OutgoingResponse {
        let ["weights", model] = request.segments()[..] else {
            return OutgoingResponse::json(404, &json!({"error": "no such call"}));
        };
        let now = Instant::now();
        let mut next = lock(&self.next);
        let free = next.unwrap_or(now);
        if free > now {
            let wait = (free - now).as_secs().max(1).to_string();
            return OutgoingResponse::json(429, &json!({"error": "rate limited"}))
                .with_header("retry-after", &wait);
        }
        *next = Some(now + self.interval);
        OutgoingResponse::json(200, &json!({"model": model, "bytes": 1_000_000}))
    }
}
