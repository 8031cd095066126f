//! Growth of control traffic with the count of hosts: bytes and processor time of one host.

use teaselchute::core::node::Policies;

use super::memory;
use crate::driver::{
    Network,
    world::{
        Plan,
        World,
        document::Shape,
        faults::Faults, //
    },
};

/// Virtual time before the measurement, in which hosts find each other, in milliseconds.
const WARM_UP_MS: u64 = 30_000;

/// Virtual time of the measurement, in milliseconds.
const MEASURE_MS: u64 = 30_000;

/// What was measured of one count of hosts, for one host and second.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Bytes sent to other hosts.
    pub bytes: f64,
    /// Messages sent to other hosts.
    pub messages: f64,
    /// Processor time of all control, in microseconds.
    pub cpu_us: f64,
    /// Memory of the host without its share of the driver's, in bytes. Not for each second.
    pub memory: f64,
}

/// Measures hosts without requests, with a change of configuration every so many milliseconds.
pub fn measure(seed: u64, hosts: usize, change_every_ms: u64) -> Point {
    let before = memory::resident_bytes();
    let mut world = World::new(plan(seed, hosts, change_every_ms));
    world.run_until(teaselchute::time::Instant::from_ms(WARM_UP_MS));
    world.cost = Some(Default::default());
    world.run_until(teaselchute::time::Instant::from_ms(WARM_UP_MS + MEASURE_MS));
    let cost = world.cost.take().unwrap_or_default();
    let host_seconds = hosts as f64 * MEASURE_MS as f64 / 1_000.0;
    let grown = memory::resident_bytes().saturating_sub(before);
    // What is freed would be used again by the next size, whose growth would not be seen.
    std::mem::forget(world);
    Point {
        memory: grown as f64 / hosts as f64,
        bytes: cost.bytes as f64 / host_seconds,
        messages: cost.messages as f64 / host_seconds,
        cpu_us: cost.cpu.as_secs_f64() * 1e6 / host_seconds,
    }
}

fn plan(seed: u64, hosts: usize, change_every_ms: u64) -> Plan {
    Plan {
        seed,
        hosts,
        duration_ms: WARM_UP_MS + MEASURE_MS,
        settle_ms: 0,
        request_every_us: u64::MAX / 64,
        orders_permille: 0,
        policies: Policies::default(),
        network: Network::default(),
        faults: Faults {
            change_every_ms,
            ..Faults::default()
        },
        document: Shape::co_operative(),
        encode_frames: true,
        trace: false,
    }
}
