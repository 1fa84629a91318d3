//! Metrics of the daemon.

use std::sync;
use std::time::Duration;

use model::request;
use opentelemetry::KeyValue;
use process::scrape;

use crate::shared;
use crate::traffic;

/// Upper bounds of the histogram of times to the first token, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 12] = [
    0.05, 0.1, 0.2, 0.4, 0.77, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0, 300.0,
];

/// Instruments recorded by the HTTP service for clients.
#[derive(Clone, Debug)]
pub(crate) struct TimingMetrics {
    first_token: opentelemetry::metrics::Histogram<f64>,
    refusals: opentelemetry::metrics::Counter<u64>,
}

impl TimingMetrics {
    fn new(meter: &opentelemetry::metrics::Meter) -> Self {
        let first_token = meter
            .f64_histogram("time_to_first_token_seconds")
            .with_description("Time from a request's arrival to the first piece of its answer")
            .with_boundaries(FIRST_TOKEN_BOUNDS.to_vec())
            .build();
        let refusals = meter
            .u64_counter("front_refusals")
            .with_description("Requests refused before they were taken in, by reason")
            .build();
        Self {
            first_token,
            refusals,
        }
    }

    /// Counts a request refused before it reached the state machine.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, class: request::SizeClass, elapsed: Duration) {
        let labels = [KeyValue::new("class", class.to_string())];
        self.first_token.record(elapsed.as_secs_f64(), &labels);
    }
}

/// All metrics of one daemon.
pub(crate) struct NodeMetrics {
    registry: scrape::ScrapeRegistry,
    pub timings: TimingMetrics,
}

impl NodeMetrics {
    /// Registers the instruments that read the state shared by the driver.
    pub fn new(
        shared: &sync::Arc<shared::SharedState>,
        control: &sync::Arc<traffic::ControlTraffic>,
    ) -> scrape::Result<Self> {
        let registry = scrape::ScrapeRegistry::new()?;
        let meter = registry.meter();
        observe_stats(&meter, shared);
        observe_endpoints(&meter, shared);
        observe_control(&meter, control);
        observe_refused(&meter, control);
        let timings = TimingMetrics::new(&meter);
        Ok(Self { registry, timings })
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> scrape::Result<String> {
        self.registry.render()
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
            for (reason, count) in shared::counts_by_reason(&stats.refused) {
                observer.observe(count, &outcome_labels("not_run", &reason));
            }
            for (reason, count) in shared::counts_by_reason(&stats.failed) {
                observer.observe(count, &outcome_labels("failed", &reason));
            }
            for (reason, count) in shared::counts_by_reason(&stats.unknown) {
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
        .f64_observable_gauge("config_age_seconds")
        .with_description("Time since the configuration in force came into force here")
        .with_callback(move |observer| {
            let age = Duration::from_millis(source.status().config_age_ms);
            observer.observe(age.as_secs_f64(), &[]);
        })
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

fn observe_endpoints(
    meter: &opentelemetry::metrics::Meter,
    shared: &sync::Arc<shared::SharedState>,
) {
    let source = shared.clone();
    meter
        .u64_observable_gauge("endpoint_requests_in_flight")
        .with_description("Requests on each endpoint that this daemon keeps")
        .with_callback(move |observer| {
            for coordinated in source.status().kept {
                let labels = [KeyValue::new("endpoint", coordinated.endpoint.to_string())];
                observer.observe(u64::from(coordinated.used_slots), &labels);
            }
        })
        .build();
    let source = shared.clone();
    meter
        .u64_observable_gauge("endpoint_carry")
        .with_description("Requests that each kept endpoint has earned the right to carry")
        .with_callback(move |observer| {
            for coordinated in source.status().kept {
                let labels = [KeyValue::new("endpoint", coordinated.endpoint.to_string())];
                observer.observe(u64::from(coordinated.concurrency_limit), &labels);
            }
        })
        .build();
}

fn observe_control(
    meter: &opentelemetry::metrics::Meter,
    control: &sync::Arc<traffic::ControlTraffic>,
) {
    let source = control.clone();
    meter
        .u64_observable_counter("control_bytes")
        .with_description("Bytes of control traffic as TCP payload, by path and direction")
        .with_callback(move |observer| {
            let status = source.status();
            let sum = |field: fn(&traffic::PlatformStatus) -> u64| {
                status.platform.iter().map(field).sum::<u64>()
            };
            let counts = [
                ("peers", "sent", status.peer_sent_bytes),
                ("peers", "received", status.peer_received_bytes),
                ("platform", "sent", sum(|kind| kind.sent_bytes)),
                ("platform", "received", sum(|kind| kind.received_bytes)),
                ("loads", "both", status.load_bytes),
            ];
            for (path, direction, bytes) in counts {
                let path = KeyValue::new("path", path);
                observer.observe(bytes, &[path, KeyValue::new("direction", direction)]);
            }
        })
        .build();
    let source = control.clone();
    meter
        .u64_observable_counter("store_calls")
        .with_description("Calls to the platform by kind; a waiting watch counts as one")
        .with_callback(move |observer| {
            for kind in source.status().platform {
                observer.observe(kind.calls, &[KeyValue::new("kind", kind.kind)]);
            }
        })
        .build();
    let source = control.clone();
    meter
        .u64_observable_counter("peer_calls")
        .with_description("Calls between daemons, connections opened, and messages dropped")
        .with_callback(move |observer| {
            let status = source.status();
            let counts = [
                ("sent", status.peer_sent_calls),
                ("received", status.peer_received_calls),
                ("dials", status.peer_dials),
                ("dropped", status.peer_dropped),
            ];
            for (kind, count) in counts {
                observer.observe(count, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
}

fn observe_refused(
    meter: &opentelemetry::metrics::Meter,
    control: &sync::Arc<traffic::ControlTraffic>,
) {
    let source = control.clone();
    meter
        .u64_observable_counter("connections_refused")
        .with_description("Connections refused, by reason")
        .with_callback(move |observer| {
            let refused = &source.refused;
            let counts = [
                ("too_many_connections", &refused.total_limit),
                ("too_many_connections_from_host", &refused.address_limit),
                ("headers_too_slow", &refused.slow_headers),
                ("admin_network_not_allowed", &refused.admin_sources),
                ("peer_network_not_allowed", &source.peers.refused_sources),
            ];
            for (reason, count) in counts {
                observer.observe(
                    traffic::read_counter(count),
                    &[KeyValue::new("reason", reason)],
                );
            }
        })
        .build();
}
