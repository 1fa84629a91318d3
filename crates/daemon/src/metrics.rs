//! Metrics by opentelemetry, scraped as Prometheus text.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use model::request;
use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics;
use peer::traffic;
use prometheus::Encoder;

use crate::shared;

/// Why metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("cannot set metrics up: {0}")]
pub(crate) struct MetricsError(String);

/// Result of this module.
pub(crate) type Result<T> = std::result::Result<T, MetricsError>;

/// Times measured at the port for callers.
#[derive(Clone, Debug)]
pub(crate) struct TimingMetrics {
    first_token: opentelemetry::metrics::Histogram<f64>,
}

impl TimingMetrics {
    /// Records the time to the first token.
    pub fn first_token(&self, class: request::SizeClass, span: Duration) {
        let labels = [KeyValue::new("class", class.to_string())];
        self.first_token.record(span.as_secs_f64(), &labels);
    }
}

/// All metrics of one daemon.
pub(crate) struct NodeMetrics {
    registry: prometheus::Registry,
    pub timings: TimingMetrics,
    _provider: metrics::SdkMeterProvider,
}

impl NodeMetrics {
    /// Sets metrics up over the state that the driver shares.
    pub fn new(
        shared: &sync::Arc<shared::SharedState>,
        traffic: &sync::Arc<traffic::PeerTraffic>,
    ) -> Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|error| MetricsError(error.to_string()))?;
        let provider = metrics::SdkMeterProvider::builder()
            .with_reader(exporter)
            .build();
        let meter = provider.meter("sardinepaddle");
        observe_stats(&meter, shared);
        observe_traffic(&meter, traffic);
        let first_token = meter
            .f64_histogram("time_to_first_token_seconds")
            .with_description("Time from a request's arrival to the first piece of its answer")
            .build();
        let timings = TimingMetrics { first_token };
        Ok(Self {
            registry,
            timings,
            _provider: provider,
        })
    }

    /// The metrics as Prometheus text.
    pub fn render(&self) -> Result<String> {
        let mut buffer = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode(&self.registry.gather(), &mut buffer)
            .map_err(|error| MetricsError(error.to_string()))?;
        String::from_utf8(buffer).map_err(|error| MetricsError(error.to_string()))
    }
}

fn observe_stats(meter: &opentelemetry::metrics::Meter, shared: &sync::Arc<shared::SharedState>) {
    let source = shared.clone();
    meter
        .u64_observable_counter("requests")
        .with_description("Requests by outcome and reason")
        .with_callback(move |observer| {
            let stats = source.status().stats;
            observer.observe(stats.answered, &outcome_labels("answered", ""));
            observer.observe(stats.replayed, &outcome_labels("replayed", ""));
            for (reason, count) in shared::by_reason(&stats.refused) {
                observer.observe(count, &outcome_labels("not_run", &reason));
            }
            for (reason, count) in shared::by_reason(&stats.failed) {
                observer.observe(count, &outcome_labels("failed", &reason));
            }
            for (reason, count) in shared::by_reason(&stats.unknown) {
                observer.observe(count, &outcome_labels("unknown", &reason));
            }
        })
        .build();
    let source = shared.clone();
    meter
        .u64_observable_counter("decisions")
        .with_description("Attempts, retries, grants, claims, cancels and calls of the daemon")
        .with_callback(move |observer| {
            let stats = source.status().stats;
            let counts = [
                ("attempts", stats.attempts),
                ("retries", stats.retries),
                ("chunks_dropped", stats.chunks_dropped),
                ("grants_given", stats.grants_given),
                ("grants_denied", stats.grants_denied),
                ("claims_recorded", stats.claims_recorded),
                ("cancels", stats.cancels),
                ("streams_reclaimed", stats.reclaimed),
                ("peer_messages", stats.peer_messages),
                ("store_calls", stats.store_calls),
            ];
            for (kind, count) in counts {
                observer.observe(count, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
    let source = shared.clone();
    meter
        .u64_observable_gauge("config_version")
        .with_description("Version of the configuration in force")
        .with_callback(move |observer| observer.observe(source.status().version.0, &[]))
        .build();
    let source = shared.clone();
    meter
        .u64_observable_gauge("requests_in_flight")
        .with_description("Requests in flight")
        .with_callback(move |observer| observer.observe(source.status().in_flight as u64, &[]))
        .build();
}

fn outcome_labels(outcome: &'static str, reason: &str) -> [KeyValue; 2] {
    [
        KeyValue::new("outcome", outcome),
        KeyValue::new("reason", reason.to_owned()),
    ]
}

fn observe_traffic(
    meter: &opentelemetry::metrics::Meter,
    traffic: &sync::Arc<traffic::PeerTraffic>,
) {
    let source = traffic.clone();
    meter
        .u64_observable_counter("peer_bytes")
        .with_description("Bytes of calls between daemons")
        .with_unit("By")
        .with_callback(move |observer| {
            let sent = source.sent_bytes.load(atomic::Ordering::Relaxed);
            let received = source.received_bytes.load(atomic::Ordering::Relaxed);
            observer.observe(sent, &[KeyValue::new("direction", "sent")]);
            observer.observe(received, &[KeyValue::new("direction", "received")]);
        })
        .build();
}
