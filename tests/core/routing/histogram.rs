//! Tests of distributions of time.

use teaselchute::{
    core::routing::histogram::Histogram,
    time::Instant, //
};

fn filled() -> Histogram {
    let mut times = Histogram::new();
    for ms in 1..=96 {
        times.add(Instant::ZERO, ms * 10);
    }
    times
}

#[test]
fn median_ms_within_bucket() {
    let median_ms = filled().median_ms(Instant::ZERO);
    assert!((420..=480).contains(&median_ms), "{median_ms}");
}

#[test]
fn p90_ms_covers_nine_in_ten() {
    let p90_ms = filled().p90_ms(Instant::ZERO);
    assert!((870..=960).contains(&p90_ms), "{p90_ms}");
}

#[test]
fn median_ms_nothing_known() {
    assert_eq!(Histogram::new().median_ms(Instant::ZERO), 0);
}

#[test]
fn median_ms_decays_without_calls() {
    // Else times of a bad hour would refuse all calls for ever.
    let times = filled();
    assert!(times.median_ms(Instant::from_ms(4_000)) <= 125);
    assert_eq!(times.median_ms(Instant::from_ms(60_000)), 0);
}

#[test]
fn add_follows_change() {
    let mut times = filled();
    for _ in 0..2_000 {
        times.add(Instant::ZERO, 10);
    }
    assert!(times.median_ms(Instant::ZERO) <= 10);
}
