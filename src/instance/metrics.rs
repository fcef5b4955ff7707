//! Metrics of an instance: collected with OpenTelemetry, exported in the Prometheus format.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use opentelemetry::metrics::{AsyncInstrument, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use samphiregrade_http::OutgoingResponse;

use super::InstanceState;

/// Collects the metrics of one instance.
#[derive(Debug)]
pub struct MetricsExporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

type MetricReader = fn(&InstanceState) -> u64;

/// Counters: name, description, and the function that reads the value.
const COUNTERS: [(&str, &str, MetricReader); 16] = [
    (
        "samphiregrade_requests_served",
        "Requests of callers",
        |state| state.served_requests.load(Ordering::Relaxed) as u64,
    ),
    (
        "samphiregrade_requests_forwarded",
        "Requests passed on to a primary",
        |state| state.forwarded_requests.load(Ordering::Relaxed) as u64,
    ),
    (
        "samphiregrade_platform_calls",
        "Calls of the key-value service",
        |state| state.key_value.stats().calls,
    ),
    (
        "samphiregrade_platform_failures",
        "Calls of it without an answer",
        |state| state.key_value.stats().failures,
    ),
    (
        "samphiregrade_link_sent_bytes",
        "Bytes sent to other instances",
        |state| state.network.counters().read().0,
    ),
    (
        "samphiregrade_link_received_bytes",
        "Bytes from other instances",
        |state| state.network.counters().read().1,
    ),
    (
        "samphiregrade_log_entries",
        "Entries stored as primary",
        |state| state.shards.counters().entries.load(Ordering::Relaxed),
    ),
    (
        "samphiregrade_log_batches",
        "Appends sent to backups",
        |state| state.shards.counters().batches.load(Ordering::Relaxed),
    ),
    ("samphiregrade_takeovers", "Shards taken over", |state| {
        state.shards.counters().takeovers.load(Ordering::Relaxed)
    }),
    (
        "samphiregrade_shard_resets",
        "Shards begun empty after losing all copies",
        |state| state.shards.counters().resets.load(Ordering::Relaxed),
    ),
    (
        "samphiregrade_copies_sent",
        "Whole copies sent to backups",
        |state| state.shards.counters().installs.load(Ordering::Relaxed),
    ),
    (
        "samphiregrade_upstream_sent",
        "Calls sent to upstreams",
        |state| state.runner.counters().sent.load(Ordering::Relaxed),
    ),
    (
        "samphiregrade_upstream_retried",
        "Calls sent again",
        |state| state.runner.counters().retried.load(Ordering::Relaxed),
    ),
    (
        "samphiregrade_upstream_ended",
        "Calls that an upstream broke off, and may have ended under",
        |state| state.runner.counters().ended.load(Ordering::Relaxed),
    ),
    (
        "samphiregrade_prompt_tokens",
        "Prompt tokens of answers",
        |state| {
            state
                .runner
                .counters()
                .prompt_tokens
                .load(Ordering::Relaxed)
        },
    ),
    (
        "samphiregrade_cached_tokens",
        "Prompt tokens found in caches",
        |state| {
            state
                .runner
                .counters()
                .cached_tokens
                .load(Ordering::Relaxed)
        },
    ),
];

/// Gauges: name, description, and the function that reads the value.
const GAUGES: [(&str, &str, MetricReader); 7] = [
    (
        "samphiregrade_configuration_revision",
        "Revision in force",
        |state| state.records.revision(),
    ),
    (
        "samphiregrade_shards_primary",
        "Shards that this instance is primary of",
        |state| state.own_primaries() as u64,
    ),
    (
        "samphiregrade_shard_copies",
        "Copies that this instance holds",
        |state| state.own_copies() as u64,
    ),
    (
        "samphiregrade_shards_unprotected",
        "Own shards with a backup too few",
        |state| state.unprotected_shards() as u64,
    ),
    (
        "samphiregrade_platform_reachable",
        "Whether the last call was answered",
        |state| u64::from(state.key_value.is_reachable()),
    ),
    (
        "samphiregrade_calls_waiting",
        "Calls waiting for an upstream",
        |state| state.queue.dump().waiting as u64,
    ),
    (
        "samphiregrade_requests_open",
        "Requests of callers under way",
        |state| state.gate.under_way() as u64,
    ),
];

impl MetricsExporter {
    /// Creates an exporter without instruments.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(error) => {
                log::error!("metrics not exported error={error}");
                SdkMeterProvider::default()
            }
        };
        Self { registry, provider }
    }

    /// Registers the counters and gauges of an instance.
    pub fn observe(&self, state: &Arc<InstanceState>) {
        let meter = self.provider.meter("samphiregrade");
        for (name, description, reading) in COUNTERS {
            let counter = meter
                .u64_observable_counter(name)
                .with_description(description);
            counter.with_callback(observe(state, reading)).build();
        }
        for (name, description, reading) in GAUGES {
            let gauge = meter
                .u64_observable_gauge(name)
                .with_description(description);
            gauge.with_callback(observe(state, reading)).build();
        }
    }

    /// Composes the response to a Prometheus scrape.
    pub fn response(&self) -> OutgoingResponse {
        let encoder = TextEncoder::new();
        let mut body = Vec::new();
        if let Err(error) = encoder.encode(&self.registry.gather(), &mut body) {
            return OutgoingResponse::full(500, "text/plain", error.to_string());
        }
        OutgoingResponse::full(200, encoder.format_type(), body)
    }
}

/// Creates a callback that reads a value as long as the instance exists.
fn observe(
    state: &Arc<InstanceState>,
    reading: MetricReader,
) -> impl Fn(&dyn AsyncInstrument<u64>) + Send + Sync + 'static {
    let state: Weak<InstanceState> = Arc::downgrade(state);
    move |observer| {
        if let Some(state) = state.upgrade() {
            observer.observe(reading(&state), &[]);
        }
    }
}

impl InstanceState {
    /// Returns the number of shards with this primary that have fewer backups than configured.
    fn unprotected_shards(&self) -> usize {
        let me = self.peers.view().me.clone();
        let wanted = self.settings.shards.local_backups + self.settings.shards.remote_backups;
        let maps = self.maps.all();
        let shards = maps.iter().flat_map(|map| &map.map.shards);
        shards
            .filter(|placement| placement.primary == me && placement.backups.len() < wanted)
            .count()
    }
}
