//! Scores of the sampled servers: queueing, distance, metered bytes, cached prefix and failures.

use super::{
    limit::Bounds,
    server::{
        Distance,
        FAILURE_SCALE,
        Server, //
    },
};
use crate::time::Instant;

/// Maximum number of servers that are compared for one call.
pub const MAX_CANDIDATES: usize = 5;

/// Maximum number of servers that are examined to find these candidates.
pub const MAX_PROBES: usize = 24;

/// Round-trip time to another data centre of the same region, in microseconds.
const SAME_REGION_RTT_US: u64 = 3_000;

/// Round-trip time to another region, in microseconds.
const OTHER_REGION_RTT_US: u64 = 45_000;

/// Assumed duration of a call before the pool has measured one, in milliseconds.
const DEFAULT_TYPICAL_MS: u64 = 100;

/// Cost of a failed call, in typical call durations.
const FAILURE_COST_FACTOR: u64 = 6;

/// A cached prefix saves the typical call duration divided by this.
const CACHE_SAVING_DIVISOR: u64 = 3;

/// Bytes in a gigabyte, the unit of egress prices.
const BYTES_PER_GIGABYTE: u64 = 1_000_000_000;

/// Inputs of a score that are the same for all servers.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// Current time.
    pub now: Instant,
    /// Limits that the document sets for the pool's servers.
    pub bounds: Bounds,
    /// Typical duration of a call in the pool, in milliseconds.
    pub typical_ms: u64,
    /// Price of one second of a call, in thousandths of the operators' price unit.
    pub price_milli: u64,
    /// Bytes that the call sends to the server.
    pub sent_bytes: u64,
}

/// Returns the expected cost of sending a call to a server, in microseconds of added latency.
pub fn score(context: &Context, server: &Server, cached: bool) -> u64 {
    let typical_us = context.typical_ms.clamp(1, 60_000) * 1_000;
    let queueing_us = queueing_us(context, server, typical_us);
    let distance_us = match server.distance {
        Distance::SameDataCentre => 0,
        Distance::SameRegion => SAME_REGION_RTT_US,
        Distance::OtherRegion => OTHER_REGION_RTT_US + metered_us(context, server),
    };
    let failure_us = typical_us * FAILURE_COST_FACTOR * u64::from(server.failure_rate)
        / u64::from(FAILURE_SCALE);
    let recompute_us = if cached {
        0
    } else {
        typical_us / CACHE_SAVING_DIVISOR
    };
    // A server slower than its pool is charged only half of the difference, up to a limit, so that
    // random variation doesn't keep calls away from it.
    let excess_us = server.typical_ms.saturating_sub(context.typical_ms) * 1_000;
    queueing_us + distance_us + failure_us + recompute_us + (excess_us / 2).min(2 * typical_us)
}

/// Returns the measured typical duration, or the default if none was measured yet.
pub fn typical_or_default_ms(ms: u64) -> u64 {
    if ms == 0 { DEFAULT_TYPICAL_MS } else { ms }
}

fn queueing_us(context: &Context, server: &Server, typical_us: u64) -> u64 {
    let limit = u64::from(server.limit.slots(&context.bounds).max(1));
    let calls = u64::from(server.estimated_calls(context.now)) + 1;
    // An idle server costs nothing, even a cold one, since it warms up only by serving calls.
    let crowding = typical_us * (calls - 1) / limit / 4;
    let waiting = calls.saturating_sub(limit);
    crowding + typical_us * waiting / limit
}

/// Returns the price of the bytes sent between regions, as the call duration of the same price.
fn metered_us(context: &Context, server: &Server) -> u64 {
    let price_micro = server.egress_price_milli * 1_000 * context.sent_bytes / BYTES_PER_GIGABYTE;
    price_micro * 1_000 / context.price_milli.max(1)
}
