//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics as api;
use process::scrape;

/// Upper bounds of the duration histograms' buckets, seconds; they cover the users' objectives and
/// limits.
const TIME_BOUNDS: [f64; 14] = [
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 4.0, 6.0, 10.0, 15.0,
];

/// All metrics of a daemon.
pub(crate) struct GatewayMetrics {
    registry: scrape::ScrapeRegistry,
    requests: api::Counter<u64>,
    placements: api::Counter<u64>,
    attempts: api::Counter<u64>,
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
    reduced_endpoints: api::Gauge<u64>,
    cut_off: api::Gauge<u64>,
    waiting: api::Gauge<u64>,
    log_lines_dropped: api::Gauge<u64>,
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
            reduced_endpoints: gauge(
                "reduced_endpoints",
                "Endpoints that do less than configured, as seen by this daemon's placer",
            ),
            waiting: gauge("waiting_requests", "Requests that wait for a place here"),
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

    /// Records the latest known era of the store.
    pub fn store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Records whether no endpoint can be reached from this host.
    pub fn cut_off(&self, cut_off: bool) {
        self.cut_off.record(u64::from(cut_off), &[]);
    }

    /// Records the number of quarantined causes of crashes.
    pub fn quarantines(&self, count: usize) {
        self.quarantines.record(count as u64, &[]);
    }

    /// Records the number of endpoints that do less than configured.
    pub fn reduced_endpoints(&self, count: usize) {
        self.reduced_endpoints.record(count as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> scrape::Result<String> {
        self.registry.render()
    }
}
