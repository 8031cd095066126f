//! Tests of the histogram of durations.

use teaselchute::{
    core::routing::histogram::Histogram,
    time::Instant, //
};

/// Returns a histogram of durations spread evenly from 10 ms to 960 ms.
fn uniform_histogram() -> Histogram {
    let mut histogram = Histogram::new();
    for ms in 1..=96 {
        histogram.add(Instant::ZERO, ms * 10);
    }
    histogram
}

#[test]
fn median_ms_within_bucket() {
    let median_ms = uniform_histogram().median_ms(Instant::ZERO);
    assert!((420..=480).contains(&median_ms), "{median_ms}");
}

#[test]
fn p90_ms_covers_nine_tenths() {
    let p90_ms = uniform_histogram().p90_ms(Instant::ZERO);
    assert!((870..=960).contains(&p90_ms), "{p90_ms}");
}

#[test]
fn median_ms_no_data() {
    assert_eq!(Histogram::new().median_ms(Instant::ZERO), 0);
}

#[test]
fn median_ms_decays_without_calls() {
    // Otherwise the long durations of an outage would keep all calls refused.
    let histogram = uniform_histogram();
    assert!(histogram.median_ms(Instant::from_ms(4_000)) <= 125);
    assert_eq!(histogram.median_ms(Instant::from_ms(60_000)), 0);
}

#[test]
fn add_adapts_to_change() {
    let mut histogram = uniform_histogram();
    for _ in 0..2_000 {
        histogram.add(Instant::ZERO, 10);
    }
    assert!(histogram.median_ms(Instant::ZERO) <= 10);
}
