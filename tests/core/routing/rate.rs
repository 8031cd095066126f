//! Tests of the limits of organisations' requests.

use teaselchute::{
    core::routing::rate::{
        Limit,
        Rates, //
    },
    names::Name,
    time::Instant,
};

const LIMIT: Limit = Limit {
    per_second: 90,
    hosts: 9,
};

fn taken(rates: &mut Rates, ms: std::ops::Range<u64>, each_ms: u64) -> u64 {
    let name = Name::from("o1");
    let asks = (ms.start..ms.end).flat_map(|ms| (0..each_ms).map(move |_| ms));
    asks.filter(|ms| rates.take(Instant::from_ms(*ms), &name, LIMIT))
        .count() as u64
}

#[test]
fn take_no_more_than_part() {
    // A part of 10 a second, and one second's burst.
    assert_eq!(taken(&mut Rates::default(), 0..10_000, 1), 109);
}

#[test]
fn take_slow_earner_keeps_fractions() {
    let mut rates = Rates::default();
    let limit = Limit {
        per_second: 1,
        hosts: 9,
    };
    let name = Name::from("o1");
    let taken = (0..90_000)
        .filter(|ms| rates.take(Instant::from_ms(*ms), &name, limit))
        .count();
    assert!((10..=11).contains(&taken), "{taken}");
}

#[test]
fn lend_keeps_the_sum() {
    let (mut lender, mut borrower) = (Rates::default(), Rates::default());
    let name = Name::from("o1");
    let now = Instant::ZERO;
    let tokens = lender.lend(now, &name, LIMIT);
    borrower.receive(now, &name, LIMIT, tokens);
    assert_eq!(tokens, 5_000);
    let sum = taken(&mut lender, 0..1, 100) + taken(&mut borrower, 0..1, 100);
    assert_eq!(sum, 20);
}

#[test]
fn lend_borrower_has_nothing_to_spare() {
    let mut rates = Rates::default();
    let name = Name::from("o1");
    taken(&mut rates, 0..1, 8);
    assert!(rates.borrows(Instant::ZERO, &name, LIMIT));
    assert!(!rates.borrows(Instant::from_ms(50), &name, LIMIT));
    assert_eq!(rates.lend(Instant::from_ms(60), &name, LIMIT), 0);
}
