//! Tests of the store of answers.

use proptest::prelude::*;
use teaselchute::{
    core::{
        call::Request,
        outcome::answers::{
            Answer,
            Class,
            Content,
            RETENTION_MS,
            Store, //
        },
    },
    names::Name,
    time::Instant,
};

const CLASSES: [Class; 4] = [
    Class::Stage,
    Class::Backup,
    Class::Idempotent,
    Class::NonIdempotent,
];

#[test]
fn put_drops_lowest_class() {
    let mut store = Store::new(4_000);
    for (number, class) in CLASSES.iter().rev().enumerate() {
        store.put(now(0), &request(number), *class, [0; 32], answer(400));
    }
    // Each entry takes about 1000 bytes, so there is no room for the fifth.
    store.put(
        now(1),
        &request(9),
        Class::NonIdempotent,
        [0; 32],
        answer(400),
    );
    assert!(store.get(&request(3)).is_none());
    assert!(store.was_dropped(&request(3)));
    assert!(store.get(&request(0)).is_some());
    assert_eq!(store.dropped_count(), 1);
}

#[test]
fn put_too_large() {
    let mut store = Store::new(4_000);
    let dropped = store.put(
        now(0),
        &request(1),
        Class::NonIdempotent,
        [0; 32],
        answer(5_000),
    );
    assert_eq!(dropped, 1);
    assert!(store.was_dropped(&request(1)));
}

#[test]
fn put_stage_after_answer() {
    let mut store = Store::new(4_000);
    store.put(now(0), &request(1), Class::Backup, [0; 32], answer(100));
    let stage = Content::Stage {
        index: 0,
        body: vec![0].into(),
    };
    store.put(now(1), &request(1), Class::Stage, [0; 32], stage);
    let entry = store.get(&request(1)).expect("the answer isn't stored");
    assert!(matches!(entry.content, Content::Answer(_)));
}

#[test]
fn expire_after_retention() {
    let mut store = Store::new(4_000);
    store.put(
        now(0),
        &request(1),
        Class::NonIdempotent,
        [0; 32],
        answer(100),
    );
    store.put(now(9), &request(2), Class::Backup, [0; 32], answer(100));
    store.expire(now(RETENTION_MS + 1));
    assert!(store.was_dropped(&request(1)));
    assert!(store.get(&request(2)).is_some());
}

proptest! {
    #[test]
    fn put_stays_within_budget(puts in prop::collection::vec((0..40_usize, 0..4_usize, 0..3_000_usize), 1..200)) {
        let mut store = Store::new(10_000);
        for (at, (number, class, bytes)) in puts.into_iter().enumerate() {
            let at = now(at as u64);
            store.put(at, &request(number), CLASSES[class], [0; 32], answer(bytes));
            prop_assert!(store.bytes() <= store.budget());
            let kept = store.get(&request(number)).is_some();
            prop_assert!(kept || store.was_dropped(&request(number)));
        }
    }
}

fn now(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn request(number: usize) -> Request {
    Request {
        organisation: Name::from("stalls"),
        id: Name::from(format!("request-{number}")),
    }
}

fn answer(bytes: usize) -> Content {
    Content::Answer(Answer {
        pieces: Vec::new(),
        body: vec![0; bytes].into(),
    })
}
