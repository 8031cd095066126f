//! Counters and latencies of the gateway, as Prometheus text: see `docs/metrics.md`.

use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Histogram,
        MeterProvider, //
    }, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Encoder,
    Registry,
    TextEncoder, //
};

use crate::shell::metrics::Error;

/// The instruments of one gateway.
pub struct Metrics {
    registry: Registry,
    // Instruments stop when their provider is dropped.
    _provider: SdkMeterProvider,
    /// Requests by status and reason.
    pub requests: Counter<u64>,
    /// Time to the first byte of an answer, in milliseconds, by route.
    pub first_byte_ms: Histogram<u64>,
    /// Time of a stage, in milliseconds, by service.
    pub stage_ms: Histogram<u64>,
    /// Pieces in a call, by service.
    pub batch_pieces: Histogram<u64>,
    /// Attempts at servers by service and end.
    pub attempts: Counter<u64>,
    /// Calls to the store by topic and outcome.
    pub store_calls: Counter<u64>,
}

impl Metrics {
    /// Opens the metrics.
    ///
    /// # Errors
    ///
    /// [`Error`] where the exporter can't be registered.
    pub fn open() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("teaselchute-gateway");
        let counter = |name| meter.u64_counter(name).build();
        let histogram = |name| meter.u64_histogram(name).build();
        Ok(Self {
            requests: counter("gateway_requests"),
            first_byte_ms: histogram("gateway_first_byte_ms"),
            stage_ms: histogram("gateway_stage_ms"),
            batch_pieces: histogram("gateway_batch_pieces"),
            attempts: counter("gateway_attempts"),
            store_calls: counter("gateway_store_calls"),
            registry,
            _provider: provider,
        })
    }

    /// Returns the metrics as Prometheus text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory doesn't fail, and a broken family must not hide the others.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    /// Counts a request.
    pub fn count_request(&self, status: u16, reason: &str) {
        let labels = [
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("reason", reason.to_string()),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts an attempt at a server.
    pub fn count_attempt(&self, service: &str, end: &str) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("end", end.to_string()),
        ];
        self.attempts.add(1, &labels);
    }
}
