//! Metrics by `opentelemetry`, shown as Prometheus text. Their names: `docs/metrics.md`.

use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram,
        Meter,
        MeterProvider, //
    }, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Encoder,
    Registry,
    TextEncoder, //
};

/// Why the metrics can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct Error(#[from] opentelemetry_sdk::error::OTelSdkError);

/// What reads instruments and shows them as text.
pub struct Exporter {
    registry: Registry,
    // Instruments stop when their provider is dropped.
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Opens an exporter.
    ///
    /// # Errors
    ///
    /// [`Error`] where it can't be registered.
    pub fn open() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns what makes instruments.
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// Returns the metrics as Prometheus text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory doesn't fail, and a broken family must not hide the others.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// The instruments of one daemon.
pub struct Metrics {
    exporter: Exporter,
    /// Requests by outcome.
    pub requests: Counter<u64>,
    /// Time to the whole answer, in milliseconds, by pipeline or service.
    pub answer_ms: Histogram<u64>,
    /// Calls to backend servers by pool and end.
    pub calls: Counter<u64>,
    /// Decisions by kind and rule.
    pub decisions: Counter<u64>,
    /// Frames dropped, by cause.
    pub frames_dropped: Counter<u64>,
    /// Frames sent, by carrier.
    pub frames_sent: Counter<u64>,
    /// Bytes of frames sent.
    pub frame_bytes: Counter<u64>,
    /// Failures of the platform, by service.
    pub platform_failures: Counter<u64>,
    /// Open exchanges with callers.
    pub open_exchanges: Gauge<u64>,
    /// Age of the news, in milliseconds.
    pub news_age_ms: Gauge<u64>,
}

impl Metrics {
    /// Opens the metrics.
    ///
    /// # Errors
    ///
    /// [`Error`] where the exporter can't be registered.
    pub fn open() -> Result<Self, Error> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter("teaselchute");
        let counter = |name| meter.u64_counter(name).build();
        let gauge = |name| meter.u64_gauge(name).build();
        Ok(Self {
            requests: counter("requests"),
            answer_ms: meter.u64_histogram("answer_ms").build(),
            calls: counter("calls"),
            decisions: counter("decisions"),
            frames_dropped: counter("frames_dropped"),
            frames_sent: counter("frames_sent"),
            frame_bytes: counter("frame_bytes"),
            platform_failures: counter("platform_failures"),
            open_exchanges: gauge("open_exchanges"),
            news_age_ms: gauge("news_age_ms"),
            exporter,
        })
    }

    /// Returns the metrics as Prometheus text.
    pub fn text(&self) -> Vec<u8> {
        self.exporter.text()
    }
}

/// Makes a label.
pub fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_string())
}
