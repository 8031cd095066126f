//! Tests of points in time.

use teaselchute::time::Instant;

#[test]
fn since_ms_earlier() {
    assert_eq!(Instant::from_ms(30).since_ms(Instant::from_ms(10)), 20);
}

#[test]
fn since_ms_later() {
    assert_eq!(Instant::from_ms(10).since_ms(Instant::from_ms(30)), 0);
}
