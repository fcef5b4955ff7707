//! Counters and latency histograms, served as text in Prometheus's format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the latency histograms in milliseconds: from a relay's own time to the longest deadline.
const LATENCY_BOUNDS: [f64; 12] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 3000.0,
];

/// What is counted of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSample {
    /// Kind of route, or `none`.
    pub kind: &'static str,
    /// How it ended.
    pub outcome: &'static str,
    /// Time from its head to its end.
    pub total: Duration,
    /// Part of it before the first send to an upstream.
    pub before_send: Option<Duration>,
}

/// The instance's instruments.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Kept so that the instruments stay connected.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    before_send: Histogram<f64>,
    sends: Counter<u64>,
    store_calls: Counter<u64>,
    keeper_calls: Counter<u64>,
}

impl GatewayMetrics {
    /// Makes the instruments.
    ///
    /// # Errors
    ///
    /// The exporter's error where it can't register.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("samphiregrade-gateway");
        let milliseconds = |name: &'static str, about: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("ms")
                .with_description(about)
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
            store_calls: meter
                .u64_counter("samphiregrade_store_calls")
                .with_description("Calls of the key-value service, by result")
                .build(),
            keeper_calls: meter
                .u64_counter("samphiregrade_keeper_calls")
                .with_description("Calls of keeper instances, by result")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that has ended.
    pub fn record_request(&self, count: &RequestSample) {
        let labels = [
            KeyValue::new("kind", count.kind),
            KeyValue::new("outcome", count.outcome),
        ];
        self.requests.add(1, &labels);
        let kind = &labels[..1];
        self.latency
            .record(count.total.as_secs_f64() * 1000.0, kind);
        if let Some(before) = count.before_send {
            self.before_send.record(before.as_secs_f64() * 1000.0, kind);
        }
    }

    /// Counts a send to an upstream.
    pub fn count_send(&self, result: &'static str) {
        self.sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a call of the key-value service.
    pub fn count_store_call(&self, result: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a call of a keeper instance.
    pub fn count_keeper_call(&self, result: &'static str) {
        self.keeper_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Renders all instruments as text.
    ///
    /// # Errors
    ///
    /// The encoder's error.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
