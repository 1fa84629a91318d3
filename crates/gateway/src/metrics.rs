//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics as api;
use pool::queue;
use process::scrape;

/// Upper bounds of the duration histograms' buckets, seconds; they cover the users' objectives and
/// limits.
const TIME_BOUNDS: [f64; 14] = [
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 4.0, 6.0, 10.0, 15.0,
];

/// Longest predicted wait that is shown, ms.
const MAX_WAIT_MS: f64 = 600_000.0;

/// All metrics of a daemon.
pub(crate) struct GatewayMetrics {
    registry: scrape::ScrapeRegistry,
    requests: api::Counter<u64>,
    placements: api::Counter<u64>,
    attempts: api::Counter<u64>,
    sendings: api::Counter<u64>,
    hedges: api::Counter<u64>,
    hedge_refusals: api::Counter<u64>,
    hedge_extra_share: api::Gauge<f64>,
    store_calls: api::Counter<u64>,
    peer_messages: api::Counter<u64>,
    first_event: api::Histogram<f64>,
    prediction_error: api::Histogram<f64>,
    placement_wait: api::Histogram<f64>,
    request_duration: api::Histogram<f64>,
    data_age: api::Gauge<f64>,
    config_version: api::Gauge<u64>,
    store_era: api::Gauge<u64>,
    quarantines: api::Gauge<u64>,
    cut_off: api::Gauge<u64>,
    waiting: api::Gauge<u64>,
    queue_length: api::Gauge<u64>,
    queue_wait: api::Gauge<f64>,
    queue_drain: api::Gauge<f64>,
    log_lines_dropped: api::Gauge<u64>,
    held_bytes: api::Gauge<u64>,
}

impl GatewayMetrics {
    /// Creates all metrics.
    pub fn new() -> scrape::Result<Self> {
        let registry = scrape::ScrapeRegistry::new()?;
        let meter = registry.meter();
        let counter = |name, help| meter.u64_counter(name).with_description(help).build();
        let gauge = |name, help| meter.u64_gauge(name).with_description(help).build();
        let histogram = |name, help| {
            meter
                .f64_histogram(name)
                .with_description(help)
                .with_boundaries(TIME_BOUNDS.to_vec())
                .build()
        };
        Ok(Self {
            requests: counter("requests", "Requests by outcome and reason"),
            placements: counter("placements", "Verdicts on where requests run, by outcome"),
            attempts: counter("attempts", "Attempts on endpoints by how they ended"),
            sendings: counter(
                "sendings",
                "Requests sent to endpoints by service: first, or again with the reason",
            ),
            hedges: counter("hedges", "Second attempts beside slow ones, by outcome"),
            hedge_refusals: counter(
                "hedge_refusals",
                "Second attempts that this daemon declined as the placer, by reason",
            ),
            hedge_extra_share: meter
                .f64_gauge("hedge_extra_share")
                .with_description(
                    "Work of second attempts as a share of the work of all requests placed here",
                )
                .build(),
            store_calls: counter("store_calls", "Calls to the store by kind and outcome"),
            peer_messages: counter("peer_messages", "Messages to other daemons"),
            first_event: histogram(
                "first_event_seconds",
                "Time from a request's arrival to the first event of its answer",
            ),
            prediction_error: histogram(
                "prediction_error_seconds",
                "Distance between the predicted and the seen time of first events",
            ),
            placement_wait: histogram("placing_seconds", "Time that requests waited for a place"),
            request_duration: histogram(
                "request_seconds",
                "Time from arrival to the end of the answer",
            ),
            data_age: meter
                .f64_gauge("store_data_age_seconds")
                .with_description("Age of what is known of the store")
                .build(),
            config_version: gauge("config_version", "Version of the configuration in force"),
            store_era: gauge(
                "store_era",
                "Times that the store came back from an older copy",
            ),
            cut_off: gauge(
                "endpoints_unreachable",
                "1 while no endpoint can be reached from this host",
            ),
            quarantines: gauge(
                "quarantined_prompt_parts",
                "Combinations of prompt parts that are declined as endpoints crash on them",
            ),
            queue_length: gauge(
                "queue_length",
                "Requests that wait here for a place, by service",
            ),
            queue_wait: meter
                .f64_gauge("queue_predicted_wait_seconds")
                .with_description("Predicted time until all that wait will have been placed")
                .build(),
            queue_drain: meter
                .f64_gauge("queue_drain_rate")
                .with_description("Endpoint time placed per time, by service")
                .build(),
            waiting: gauge("waiting_requests", "Requests that wait for a place here"),
            held_bytes: gauge("held_bytes", "Length of the bodies in memory, bytes"),
            log_lines_dropped: gauge("log_lines_dropped", "Log lines dropped so far"),
            registry,
        })
    }

    /// Counts a finished request and records its duration.
    pub fn request(
        &self,
        route: &str,
        outcome: &'static str,
        reason: &'static str,
        elapsed_ms: f64,
    ) {
        let route_label = KeyValue::new("route", route.to_owned());
        let labels = [
            route_label.clone(),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
        self.request_duration
            .record(elapsed_ms / 1_000.0, &[route_label]);
    }

    /// Counts a placement decision and records the wait for it.
    pub fn placement(&self, outcome: &'static str, elapsed_ms: f64) {
        self.placements.add(1, &[KeyValue::new("outcome", outcome)]);
        self.placement_wait.record(elapsed_ms / 1_000.0, &[]);
    }

    /// Counts a finished attempt.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request sent to an endpoint of a service.
    pub fn sending(&self, service: &str, kind: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("kind", kind),
        ];
        self.sendings.add(1, &labels);
    }

    /// Counts what became of a second attempt.
    pub fn hedge(&self, outcome: &'static str, reason: &'static str) {
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.hedges.add(1, &labels);
    }

    /// Counts a second attempt that the placer declined.
    pub fn hedge_refusal(&self, reason: &'static str) {
        self.hedge_refusals
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the extra work of a service's second attempts.
    pub fn hedge_extra_share(&self, service: &str, share: f64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.hedge_extra_share.record(share, &labels);
    }

    /// Records the time from arrival to the first event, and the error of the predicted time from
    /// placement to the first event.
    pub fn first_event(
        &self,
        route: &str,
        elapsed_ms: f64,
        since_placement_ms: f64,
        predicted_ms: f64,
    ) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.first_event.record(elapsed_ms / 1_000.0, &labels);
        let error = (since_placement_ms - predicted_ms).abs() / 1_000.0;
        self.prediction_error.record(error, &labels);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts a message to another daemon.
    pub fn peer_message(&self) {
        self.peer_messages.add(1, &[]);
    }

    /// Records the gauges.
    pub fn record_gauges(&self, data_age_ms: f64, version: u64, waiting: usize, dropped: usize) {
        self.data_age.record(data_age_ms / 1_000.0, &[]);
        self.config_version.record(version, &[]);
        self.waiting.record(waiting as u64, &[]);
        self.log_lines_dropped.record(dropped as u64, &[]);
    }

    /// Records the queue of a service.
    pub fn service_queue(&self, queue: &queue::ServiceQueue) {
        let labels = [KeyValue::new("service", queue.service.to_string())];
        self.queue_length.record(queue.waiting as u64, &labels);
        let wait_s = queue.predicted_wait_ms.min(MAX_WAIT_MS) / 1_000.0;
        self.queue_wait.record(wait_s, &labels);
        self.queue_drain.record(queue.drain_rate, &labels);
    }

    /// Records the latest known era of the store.
    pub fn store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Records the length of the bodies in memory, bytes.
    pub fn held_bytes(&self, bytes: usize) {
        self.held_bytes.record(bytes as u64, &[]);
    }

    /// Records whether no endpoint can be reached from this host.
    pub fn cut_off(&self, cut_off: bool) {
        self.cut_off.record(u64::from(cut_off), &[]);
    }

    /// Records the number of quarantined causes of crashes.
    pub fn quarantines(&self, count: usize) {
        self.quarantines.record(count as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> scrape::Result<String> {
        self.registry.render()
    }
}
