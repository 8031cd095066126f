//! Tests of the limits of organisations' requests.

use teaselchute::{
    core::routing::rate::{
        Buckets, //
        Limit,
    },
    names::Name,
    time::Instant,
};

const LIMIT: Limit = Limit {
    per_second: 90,
    hosts: 9,
};

fn taken(buckets: &mut Buckets, ms: std::ops::Range<u64>, each_ms: u64) -> u64 {
    let name = Name::from("o1");
    let asks = (ms.start..ms.end).flat_map(|ms| (0..each_ms).map(move |_| ms));
    asks.filter(|ms| buckets.take(Instant::from_ms(*ms), &name, LIMIT))
        .count() as u64
}

#[test]
fn take_no_more_than_part() {
    // A part of 10 a second, and one second's burst.
    assert_eq!(taken(&mut Buckets::default(), 0..10_000, 1), 109);
}

#[test]
fn take_slow_earner_keeps_fractions() {
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
fn lend_keeps_the_sum() {
    let (mut lender, mut borrower) = (Buckets::default(), Buckets::default());
    let name = Name::from("o1");
    let now = Instant::ZERO;
    let millitokens = lender.lend(now, &name, LIMIT);
    borrower.deposit(now, &name, LIMIT, millitokens);
    assert_eq!(millitokens, 5_000);
    let sum = taken(&mut lender, 0..1, 100) + taken(&mut borrower, 0..1, 100);
    assert_eq!(sum, 20);
}

#[test]
fn lend_borrower_has_nothing_to_spare() {
    let mut buckets = Buckets::default();
    let name = Name::from("o1");
    taken(&mut buckets, 0..1, 8);
    assert!(buckets.should_borrow(Instant::ZERO, &name, LIMIT));
    assert!(!buckets.should_borrow(Instant::from_ms(50), &name, LIMIT));
    assert_eq!(buckets.lend(Instant::from_ms(60), &name, LIMIT), 0);
}
