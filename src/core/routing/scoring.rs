//! The choice among a few sampled servers: queueing, distance, metered bytes, cache, failures.

use super::{
    limit::Bounds,
    server::{
        Distance,
        FAILURE_SCALE,
        Server, //
    },
};
use crate::time::Instant;

/// Number of servers that are compared for one call, besides those that cache its prefix.
pub const MAX_CANDIDATES: usize = 5;

/// Number of servers that are looked at in order to find these.
pub const MAX_PROBES: usize = 24;

/// Round trip to another data centre of the region, in microseconds.
const SAME_REGION_RTT_US: u64 = 3_000;

/// Round trip to another region, in microseconds.
const OTHER_REGION_RTT_US: u64 = 45_000;

/// Time of a call where nothing is known of the pool, in milliseconds.
const DEFAULT_TYPICAL_MS: u64 = 100;

/// What a failed call costs, in typical times.
const FAILURE_COST_FACTOR: u64 = 6;

/// Part of a typical time that a cached prefix saves, as a divisor.
const CACHE_SAVING_DIVISOR: u64 = 3;

/// Bytes in a gigabyte, for prices.
const BYTES_PER_GIGABYTE: u64 = 1_000_000_000;

/// What a score needs to know besides the server.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// The time.
    pub now: Instant,
    /// Limits of the pool.
    pub bounds: Bounds,
    /// Typical time of a call in the pool, in milliseconds.
    pub typical_ms: u64,
    /// Price of a second of a call, in thousandths of the operators' unit.
    pub price_milli: u64,
    /// Bytes that the call sends.
    pub bytes: u64,
}

/// Returns the expected cost of sending a call to a server, in microseconds of the caller's time.
pub fn score(context: &Context, server: &Server, cached: bool) -> u64 {
    let typical_us = context.typical_ms.clamp(1, 60_000) * 1_000;
    let queueing = queueing_us(context, server, typical_us);
    let distance = match server.distance {
        Distance::SameDataCentre => 0,
        Distance::SameRegion => SAME_REGION_RTT_US,
        Distance::OtherRegion => OTHER_REGION_RTT_US + metered_us(context, server),
    };
    let failure = typical_us * FAILURE_COST_FACTOR * u64::from(server.failure_rate)
        / u64::from(FAILURE_SCALE);
    let recompute = if cached {
        0
    } else {
        typical_us / CACHE_SAVING_DIVISOR
    };
    // A server that has been slower than its pool costs a part of the difference, so that chance
    // alone doesn't keep calls away from it.
    let excess_us = server.typical_ms.saturating_sub(context.typical_ms) * 1_000;
    queueing + distance + failure + recompute + (excess_us / 2).min(2 * typical_us)
}

/// Returns the typical time of a call, or a guess where there was none yet.
pub fn typical_or_default_ms(ms: u64) -> u64 {
    if ms == 0 { DEFAULT_TYPICAL_MS } else { ms }
}

fn queueing_us(context: &Context, server: &Server, typical_us: u64) -> u64 {
    let limit = u64::from(server.limit.slots(&context.bounds).max(1));
    let calls = u64::from(server.estimated_calls(context.now)) + 1;
    // An idle server costs nothing, also a cold one: it warms up only by calls.
    let crowding = typical_us * (calls - 1) / limit / 4;
    let waiting = calls.saturating_sub(limit);
    crowding + typical_us * waiting / limit
}

/// Returns the price of the bytes between regions, as time of a call that costs as much.
fn metered_us(context: &Context, server: &Server) -> u64 {
    let price_micro = server.egress_price_milli * 1_000 * context.bytes / BYTES_PER_GIGABYTE;
    price_micro * 1_000 / context.price_milli.max(1)
}
