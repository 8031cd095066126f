//! Expected cost of a request at a server, in milliseconds by named terms.

use serde::{
    Deserialize,
    Serialize, //
};

/// Terms of the cost of a request at one server, in milliseconds, with what they rest on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Prefill of earlier requests.
    pub queue_ms: f32,
    /// Its own prefill, with the base time.
    pub prefill_ms: f32,
    /// Transfer of parts from another server.
    pub fetch_ms: f32,
    /// Slow-down by requests that run beside it.
    pub beside_ms: f32,
    /// Slow-down of other requests by this one, weighted.
    pub others_ms: f32,
    /// Wait for a free slot.
    pub slot_ms: f32,
    /// Wait for memory.
    pub memory_ms: f32,
    /// Round trip to another region, and the price of its bytes.
    pub region_ms: f32,
    /// Warm-up of the server.
    pub warm_up_ms: f32,
    /// Recent failures of the server.
    pub failure_ms: f32,
    /// Spread of the server's speed, weighted by how close the objective is.
    pub uncertainty_ms: f32,
    /// Time from the first event to the end, weighted.
    pub decode_ms: f32,
    /// Tokens that the server is believed to hold.
    pub cached: u32,
    /// Tokens that it has to prefill.
    pub missing: u32,
    /// Tokens of earlier requests that it still has to prefill.
    pub ahead: u32,
    /// How many times as long as usual work takes there.
    pub factor: f32,
    /// Number of samples behind the factor. With 0, it is the median of the service.
    pub samples: u32,
    /// Age of the newest sample, in milliseconds.
    pub speed_age_ms: u32,
}

impl Estimate {
    /// Returns the expected time to the first event.
    pub fn first_ms(&self) -> f32 {
        self.queue_ms
            + self.prefill_ms
            + self.fetch_ms
            + self.beside_ms
            + self.slot_ms
            + self.memory_ms
    }

    /// Returns the sum of all terms.
    pub fn total_ms(&self) -> f32 {
        self.first_ms()
            + self.others_ms
            + self.region_ms
            + self.warm_up_ms
            + self.failure_ms
            + self.uncertainty_ms
            + self.decode_ms
    }
}
