//! Tests of the request limits of organisations.

use teaselchute::{
    core::routing::rate::{
        Buckets,
        Limit, //
    },
    names::Name,
    time::Instant,
};

const LIMIT: Limit = Limit {
    per_second: 90,
    hosts: 9,
};

/// Tries to take this many tokens in each millisecond, and returns how many there were.
fn take_tokens(buckets: &mut Buckets, ms: std::ops::Range<u64>, each_ms: u64) -> u64 {
    let name = Name::from("o1");
    let attempts = (ms.start..ms.end).flat_map(|ms| (0..each_ms).map(move |_| ms));
    attempts
        .filter(|ms| buckets.take(Instant::from_ms(*ms), &name, LIMIT))
        .count() as u64
}

#[test]
fn take_limited_to_host_part() {
    // Each host earns 10 per second and starts with the burst of one second.
    assert_eq!(take_tokens(&mut Buckets::default(), 0..10_000, 1), 109);
}

#[test]
fn take_low_rate_keeps_fractions() {
    let mut buckets = Buckets::default();
    let limit = Limit {
        per_second: 1,
        hosts: 9,
    };
    let name = Name::from("o1");
    let taken = (0..90_000)
        .filter(|ms| buckets.take(Instant::from_ms(*ms), &name, limit))
        .count();
    assert!((10..=11).contains(&taken), "{taken}");
}

#[test]
fn lend_preserves_total() {
    let (mut lender, mut borrower) = (Buckets::default(), Buckets::default());
    let name = Name::from("o1");
    let now = Instant::ZERO;
    let millitokens = lender.lend(now, &name, LIMIT);
    borrower.deposit(now, &name, LIMIT, millitokens);
    assert_eq!(millitokens, 5_000);
    let total = take_tokens(&mut lender, 0..1, 100) + take_tokens(&mut borrower, 0..1, 100);
    assert_eq!(total, 20);
}

#[test]
fn lend_nothing_after_borrowing() {
    let mut buckets = Buckets::default();
    let name = Name::from("o1");
    take_tokens(&mut buckets, 0..1, 8);
    assert!(buckets.should_borrow(Instant::ZERO, &name, LIMIT));
    assert!(!buckets.should_borrow(Instant::from_ms(50), &name, LIMIT));
    assert_eq!(buckets.lend(Instant::from_ms(60), &name, LIMIT), 0);
}
