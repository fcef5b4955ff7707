//! Counters, gauges and latency histograms, exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use samphiregrade_http::BudgetUse;

use crate::exchange::OriginSource;
use crate::upstream::{BreakCause, LifeSign};

/// Bucket bounds of the latency histograms in milliseconds: from the overhead of relaying to the longest deadline.
const LATENCY_BOUNDS: [f64; 12] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 3000.0,
];

/// Measurements of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSample {
    /// Kind of route, or `none`.
    pub kind: &'static str,
    /// Outcome of the request.
    pub outcome: &'static str,
    /// Time from the request head to the end of the request.
    pub total: Duration,
    /// Part of that time before the first send to an upstream; `None` if nothing was sent.
    pub before_send: Option<Duration>,
}

/// The metric instruments of the instance.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Kept alive so that the instruments stay connected to the exporter.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    before_send: Histogram<f64>,
    sends: Counter<u64>,
    placements: Counter<u64>,
    responses: Counter<u64>,
    breaks: Counter<u64>,
    tries: Counter<u64>,
    survivals: Counter<u64>,
    origins: Counter<u64>,
    store_calls: Counter<u64>,
    keeper_calls: Counter<u64>,
    slow_upstreams: Gauge<u64>,
    yielding_turns: Counter<u64>,
    affinity: Counter<u64>,
    key_proofs: Counter<u64>,
    client_limits: Counter<u64>,
    client_memory: Gauge<u64>,
    client_connections: Gauge<u64>,
}

impl GatewayMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns the exporter's error if it can't be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("samphiregrade-gateway");
        let milliseconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("ms")
                .with_description(description)
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter
                .u64_counter("samphiregrade_requests")
                .with_description("Requests by kind and outcome")
                .build(),
            latency: milliseconds("samphiregrade_request_time", "From head to end"),
            before_send: milliseconds("samphiregrade_before_send_time", "From head to first send"),
            sends: meter
                .u64_counter("samphiregrade_upstream_sends")
                .with_description("Requests sent to upstreams, by result")
                .build(),
            placements: meter
                .u64_counter("samphiregrade_upstream_placements")
                .with_description("Choices of an upstream, by its expected speed")
                .build(),
            responses: meter
                .u64_counter("samphiregrade_upstream_responses")
                .with_description("Responses of upstreams, by framing of the body and by end")
                .build(),
            breaks: meter
                .u64_counter("samphiregrade_upstream_breaks")
                .with_description("Requests that upstreams broke off, by cause")
                .build(),
            tries: meter
                .u64_counter("samphiregrade_request_tries")
                .with_description("Decisions on requests under which upstreams have ended")
                .build(),
            survivals: meter
                .u64_counter("samphiregrade_upstream_survivals")
                .with_description("Examinations of upstreams that broke off a request, by result")
                .build(),
            origins: meter
                .u64_counter("samphiregrade_stream_origins")
                .with_description("Streams that can be taken up again, by source of their version")
                .build(),
            store_calls: meter
                .u64_counter("samphiregrade_store_calls")
                .with_description("Calls of the key-value service, by result")
                .build(),
            keeper_calls: meter
                .u64_counter("samphiregrade_keeper_calls")
                .with_description("Calls of keeper instances, by result")
                .build(),
            slow_upstreams: meter
                .u64_gauge("samphiregrade_slow_upstreams")
                .with_description("Upstreams slower than their service's median by a fifth")
                .build(),
            yielding_turns: meter
                .u64_counter("samphiregrade_turns_over_share")
                .with_description("First turns ranked last because of their organisation's share")
                .build(),
            affinity: meter
                .u64_counter("samphiregrade_affinity_requests")
                .with_description("Completed requests for objects, by role of the upstream")
                .build(),
            key_proofs: meter
                .u64_counter("samphiregrade_key_proofs")
                .with_description("Rounds of requests for proofs of the keys, and losses of proofs")
                .build(),
            client_limits: meter
                .u64_counter("samphiregrade_client_limits")
                .with_description(
                    "Connections and requests that gave way for lack of memory or descriptors",
                )
                .build(),
            client_memory: meter
                .u64_gauge("samphiregrade_client_memory")
                .with_unit("By")
                .with_description("Memory counted for connections and requests of clients")
                .build(),
            client_connections: meter
                .u64_gauge("samphiregrade_client_connections")
                .with_description("Open connections of clients")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Records a request that has ended.
    pub fn record_request(&self, sample: &RequestSample) {
        let labels = [
            KeyValue::new("kind", sample.kind),
            KeyValue::new("outcome", sample.outcome),
        ];
        self.requests.add(1, &labels);
        let kind = &labels[..1];
        self.latency
            .record(sample.total.as_secs_f64() * 1000.0, kind);
        if let Some(before) = sample.before_send {
            self.before_send.record(before.as_secs_f64() * 1000.0, kind);
        }
    }

    /// Counts a send to an upstream.
    pub fn count_send(&self, result: &'static str) {
        self.sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts the choice of an upstream.
    pub fn count_placement(&self, speed: &'static str) {
        self.placements.add(1, &[KeyValue::new("speed", speed)]);
    }

    /// Counts a response of an upstream, by how the end of its body was marked and by how it ended.
    pub fn count_response(&self, framing: &'static str, end: &'static str) {
        let labels = [KeyValue::new("framing", framing), KeyValue::new("end", end)];
        self.responses.add(1, &labels);
    }

    /// Counts a request that its upstream broke off.
    pub fn count_break(&self, cause: BreakCause) {
        self.breaks.add(1, &[KeyValue::new("cause", cause.name())]);
    }

    /// Counts a decision on a request under which upstreams have ended.
    pub fn count_try(&self, decision: &'static str) {
        self.tries.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Counts an examination of an upstream that broke off a request.
    pub fn count_survival(&self, sign: LifeSign) {
        let label = KeyValue::new("sign", sign.name());
        self.survivals.add(1, &[label]);
    }

    /// Counts a stream that can be taken up again, by how the version of its upstream is known.
    pub fn count_origin(&self, source: Option<OriginSource>) {
        if let Some(source) = source {
            self.origins
                .add(1, &[KeyValue::new("source", source.name())]);
        }
    }

    /// Counts a call to the key-value service.
    pub fn count_store_call(&self, result: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a call to a keeper instance.
    pub fn count_keeper_call(&self, result: &'static str) {
        self.keeper_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the number of upstreams that are slower than their service's median.
    pub fn record_slow_upstreams(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.slow_upstreams.record(count, &[]);
    }

    /// Counts a first turn that is ranked last because its organisation is above its fair share.
    pub fn count_yielding_turn(&self) {
        self.yielding_turns.add(1, &[]);
    }

    /// Counts a completed request for an object.
    pub fn count_affinity(&self, role: &'static str) {
        self.affinity.add(1, &[KeyValue::new("role", role)]);
    }

    /// Counts a round of requests for proofs of the keys, or the expiry of the last proof.
    pub fn count_key_proof(&self, result: &'static str) {
        self.key_proofs.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a connection or a request that gave way for lack of memory or descriptors.
    pub fn count_client_limit(&self, decision: &'static str) {
        self.client_limits
            .add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Records what is counted for clients.
    pub fn record_clients(&self, occupied: BudgetUse) {
        let bytes = u64::try_from(occupied.bytes).unwrap_or(u64::MAX);
        let connections = u64::try_from(occupied.connections).unwrap_or(u64::MAX);
        self.client_memory.record(bytes, &[]);
        self.client_connections.record(connections, &[]);
    }

    /// Renders all instruments in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
