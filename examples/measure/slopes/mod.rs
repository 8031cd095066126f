//! Slopes: how state, messages, processor time and memory grow, each with its fit.
//!
//! `docs/CAPACITY.md` quotes these lines and works out the two-year target from them.

mod control;
mod fit;
mod memory;
mod state;

use fit::Fit;
use serde_json::json;
use state::Size;

use crate::options::Options;

/// Counts of hosts that are measured.
const HOSTS: &[usize] = &[9, 30, 90, 195, 390];

/// Most processor time of control, in parts of a hundred of one core.
const CPU_CORE_PERCENT_LIMIT: f64 = 1.4;

/// Most memory of control, in megabytes.
const MEMORY_MB_LIMIT: f64 = 32.0;

/// Most bytes of control a second.
const BYTES_PER_SECOND_LIMIT: f64 = 11_000.0;

/// The two-year target.
const TARGET_HOSTS: f64 = 390.0;
const TARGET: Size = Size {
    organisations: 11_000,
    servers: 2_300,
    models: 22,
    pipelines: 8,
};

/// Changes of configuration in a second at the target.
const TARGET_CHANGES_PER_SECOND: f64 = 11_000.0 / 86_400.0;

/// Time between two changes in the runs that measure their cost, in milliseconds.
const CHANGE_EVERY_MS: &[u64] = &[8_000, 4_000, 2_000, 1_000];

/// Prints the slopes and what they come to at the target. Returns whether all limits hold.
pub fn run(options: &Options) -> bool {
    let memory_bytes = state_slopes();
    let host_points: Vec<(f64, control::Point)> = HOSTS
        .iter()
        .map(|hosts| (*hosts as f64, control::measure(options.seed, *hosts, 0)))
        .collect();
    let bytes = report(&host_points, "host", "bytes_per_second", "B/s", |it| {
        it.bytes
    });
    report(&host_points, "host", "messages_per_second", "1/s", |it| {
        it.messages
    });
    let cpu = report(&host_points, "host", "cpu", "us/s", |it| it.cpu_us);
    let memory = report(&host_points, "host", "memory", "B", |it| it.memory);
    let change_points: Vec<(f64, control::Point)> = CHANGE_EVERY_MS
        .iter()
        .map(|every_ms| {
            let per_second = 1_000.0 / *every_ms as f64;
            (per_second, control::measure(options.seed, 30, *every_ms))
        })
        .collect();
    let change_bytes = report(&change_points, "change", "bytes_per_second", "B/s", |it| {
        it.bytes
    });
    let change_cpu = report(&change_points, "change", "cpu", "us/s", |it| it.cpu_us);
    // Where the line lies below what was measured at the target itself, the measured value counts.
    let (_, at_target) = host_points[host_points.len() - 1];
    let cpu_us = cpu.at(TARGET_HOSTS).max(at_target.cpu_us)
        + change_cpu.slope.max(0.0) * TARGET_CHANGES_PER_SECOND;
    let bytes_per_second = bytes.at(TARGET_HOSTS).max(at_target.bytes)
        + change_bytes.slope.max(0.0) * TARGET_CHANGES_PER_SECOND;
    let memory_mb = (memory_bytes + memory.at(TARGET_HOSTS).max(at_target.memory)) / 1e6;
    let cpu_core_percent = cpu_us / 1e6 * 100.0;
    let held = cpu_core_percent <= CPU_CORE_PERCENT_LIMIT
        && memory_mb <= MEMORY_MB_LIMIT
        && bytes_per_second <= BYTES_PER_SECOND_LIMIT;
    let line = json!({
        "case": "slopes",
        "variant": "teaselchute",
        "quantity": "control of one daemon at the target",
        "hosts": TARGET_HOSTS,
        "cpu_core_percent": round(cpu_core_percent),
        "cpu_core_percent_limit": CPU_CORE_PERCENT_LIMIT,
        "memory_mb": round(memory_mb),
        "memory_mb_limit": MEMORY_MB_LIMIT,
        "bytes_per_second": round(bytes_per_second),
        "bytes_per_second_limit": BYTES_PER_SECOND_LIMIT,
        "held": held,
    });
    println!("{line}");
    held
}

/// Prints the slopes of the state and returns its memory at the target, in bytes.
fn state_slopes() -> f64 {
    let sizes: [(&str, f64, Vec<Size>); 4] = [
        (
            "organisation",
            TARGET.organisations as f64,
            [500, 2_000, 5_000, 11_000]
                .map(|organisations| Size {
                    organisations,
                    ..Size::default()
                })
                .to_vec(),
        ),
        (
            "server",
            TARGET.servers as f64,
            [300, 900, 1_500, 2_300]
                .map(|servers| Size {
                    organisations: 1,
                    servers,
                    ..Size::default()
                })
                .to_vec(),
        ),
        (
            "model",
            TARGET.models as f64,
            [100, 400, 1_000, 2_000]
                .map(|models| Size {
                    organisations: 1,
                    models,
                    ..Size::default()
                })
                .to_vec(),
        ),
        (
            "pipeline",
            TARGET.pipelines as f64,
            [100, 400, 1_000, 2_000]
                .map(|pipelines| Size {
                    organisations: 1,
                    pipelines,
                    ..Size::default()
                })
                .to_vec(),
        ),
    ];
    let mut total = 0.0;
    for (per, target, sizes) in sizes {
        let points: Vec<(f64, state::Point)> = sizes
            .into_iter()
            .map(|size| (count(size), state::measure(size)))
            .collect();
        report(&points, per, "state_bytes", "B", |it| it.bytes);
        report(&points, per, "apply_change", "us", |it| it.apply_us);
        let memory = report(&points, per, "state_memory", "B", |it| it.memory);
        total += memory.slope.max(0.0) * target;
    }
    total
}

fn count(size: Size) -> f64 {
    let all = [
        size.organisations,
        size.servers,
        size.models,
        size.pipelines,
    ];
    all.into_iter().max().unwrap_or(0) as f64
}

fn report<P>(
    points: &[(f64, P)],
    per: &str,
    quantity: &str,
    unit: &str,
    read: impl Fn(&P) -> f64,
) -> Fit {
    let points: Vec<(f64, f64)> = points.iter().map(|(x, point)| (*x, read(point))).collect();
    let fit = fit::line(&points);
    let shown: Vec<[f64; 2]> = points.iter().map(|(x, y)| [round(*x), round(*y)]).collect();
    let line = json!({
        "case": "slopes",
        "variant": "teaselchute",
        "quantity": quantity,
        "per": per,
        "unit": unit,
        "points": shown,
        "slope": round(fit.slope),
        "intercept": round(fit.intercept),
        "residual": round(fit.residual),
    });
    println!("{line}");
    fit
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
