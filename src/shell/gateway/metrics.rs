//! Counters and latencies of the gateway, as Prometheus text: see `docs/metrics.md`.

use opentelemetry::{
    KeyValue,
    metrics::{
        Counter,
        Gauge,
        Histogram, //
    }, //
};

use crate::{
    core::gateway::placement::Belief,
    shell::metrics::{
        Error,
        Exporter,
        label, //
    },
};

/// The instruments of one gateway.
pub struct Metrics {
    exporter: Exporter,
    /// Requests by status and reason.
    pub requests: Counter<u64>,
    /// Time to the first byte of a response, in milliseconds, by route.
    pub first_byte_ms: Histogram<u64>,
    /// Time of a stage, in milliseconds, by service.
    pub stage_ms: Histogram<u64>,
    /// Pieces in a batched call, by service.
    pub batch_pieces: Histogram<u64>,
    /// Failed attempts at servers by service and reason.
    pub attempts: Counter<u64>,
    /// Attempts whose server crashed before its answer began, by service.
    pub crashes: Counter<u64>,
    /// Grants of dispatchers whose servers get no requests any more, by what this host knows.
    pub declined_grants: Counter<u64>,
    /// First events by what was believed of the server's cache, and whether their time fits that.
    pub cache_beliefs: Counter<u64>,
    /// Servers that announced in an answer that they leave.
    pub departures: Counter<u64>,
    /// Pauses that servers asked for, and requests held back or refused for them, by service and event.
    pub pauses: Counter<u64>,
    /// Requests and calls with pieces to services with open orders, by service and whether the target got
    /// them.
    pub rollout_sent: Counter<u64>,
    /// Answers that are evidence on a version, by service, whether they are the target's, and failure.
    pub rollout_answers: Counter<u64>,
    /// Phases of rollouts that this host adopted, by service and phase.
    pub rollout_phases: Counter<u64>,
    /// Calls to the store by topic and outcome.
    pub store_calls: Counter<u64>,
    /// Bytes held of responses and other bodies, as of the last tick.
    pub held_bytes: Gauge<u64>,
    /// Unfinished bodies that were given up since they took too much memory.
    pub given_up: Counter<u64>,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// [`Error`] where the exporter can't be registered.
    pub fn open() -> Result<Self, Error> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter("teaselchute-gateway");
        let counter = |name| meter.u64_counter(name).build();
        let histogram = |name| meter.u64_histogram(name).build();
        Ok(Self {
            requests: counter("gateway_requests"),
            first_byte_ms: histogram("gateway_first_byte_ms"),
            stage_ms: histogram("gateway_stage_ms"),
            batch_pieces: histogram("gateway_batch_pieces"),
            attempts: counter("gateway_attempts"),
            crashes: counter("gateway_crashes"),
            declined_grants: counter("gateway_declined_grants"),
            cache_beliefs: counter("gateway_cache_beliefs"),
            departures: counter("gateway_departures"),
            pauses: counter("gateway_pauses"),
            rollout_sent: counter("gateway_rollout_sent"),
            rollout_answers: counter("gateway_rollout_answers"),
            rollout_phases: counter("gateway_rollout_phases"),
            store_calls: counter("gateway_store_calls"),
            held_bytes: meter.u64_gauge("gateway_held_bytes").build(),
            given_up: counter("gateway_bodies_given_up"),
            exporter,
        })
    }

    /// Returns the metrics as Prometheus text.
    pub fn text(&self) -> Vec<u8> {
        self.exporter.text()
    }

    /// Counts a request.
    pub fn count_request(&self, status: u16, reason: &str) {
        let labels = [
            KeyValue::new("status", i64::from(status)),
            label("reason", reason),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts an attempt whose server crashed.
    pub fn count_crash(&self, service: &str) {
        self.crashes.add(1, &[label("service", service)]);
    }

    /// Counts a first event whose time tells whether the server held what it was believed to hold.
    pub fn count_belief(&self, belief: Belief) {
        let labels = [
            label(
                "believed",
                if belief.is_cached {
                    "cached"
                } else {
                    "missing"
                },
            ),
            KeyValue::new("right", belief.is_right),
        ];
        self.cache_beliefs.add(1, &labels);
    }

    /// Counts a failed attempt at a server.
    pub fn count_attempt(&self, service: &str, end: &str) {
        let labels = [label("service", service), label("end", end)];
        self.attempts.add(1, &labels);
    }
}
