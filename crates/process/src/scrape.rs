//! OpenTelemetry metrics, scraped in the Prometheus text format.

use opentelemetry::metrics as api;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics;
use prometheus::Encoder;

/// Error while setting up or rendering metrics.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct ScrapeError(String);

/// Result of this module.
pub type Result<T> = std::result::Result<T, ScrapeError>;

/// Registry of the instruments of one daemon.
#[derive(Debug)]
pub struct ScrapeRegistry {
    registry: prometheus::Registry,
    provider: metrics::SdkMeterProvider,
}

impl ScrapeRegistry {
    /// Creates a registry without instruments.
    ///
    /// ```
    /// use sardinepaddle_process::scrape::ScrapeRegistry;
    ///
    /// let registry = ScrapeRegistry::new().unwrap();
    /// let counter = registry.meter().u64_counter("requests").build();
    /// counter.add(2, &[]);
    /// assert!(registry.render().unwrap().contains("requests_total"));
    /// ```
    pub fn new() -> Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| ScrapeError(error.to_string()))?;
        let provider = metrics::SdkMeterProvider::builder()
            .with_reader(exporter)
            .build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments in this registry.
    pub fn meter(&self) -> api::Meter {
        self.provider.meter("sardinepaddle")
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String> {
        let mut buffer = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        encoder
            .encode(&self.registry.gather(), &mut buffer)
            .map_err(|error| ScrapeError(error.to_string()))?;
        String::from_utf8(buffer).map_err(|error| ScrapeError(error.to_string()))
    }
}
