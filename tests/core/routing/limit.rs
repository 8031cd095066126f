//! Tests of the belief about what a server carries.

use teaselchute::{
    core::routing::limit::{
        Bounds,
        Evidence,
        Limit, //
    },
    time::Instant,
};

const BOUNDS: Bounds = Bounds {
    cold: 4,
    full: 32,
    warm_up_ms: 10_000,
};

/// Returns a limit that rose to the full one in life 1, and the time.
fn warm() -> (Limit, Instant) {
    let mut limit = Limit::new();
    limit.observe_incarnation(Instant::ZERO, 1, None);
    let mut now = Instant::ZERO;
    for _ in 0..200 {
        now = now.after_ms(100);
        limit.reply(now, Some(1), now.before_ms(50), true, &BOUNDS);
    }
    assert!(limit.is_full(&BOUNDS));
    (limit, now)
}

#[test]
fn slots_unknown_server() {
    assert_eq!(Limit::new().slots(&BOUNDS), 4);
}

#[test]
fn reply_below_envelope() {
    let mut limit = Limit::new();
    limit.observe_incarnation(Instant::ZERO, 1, None);
    for ms in 0..10_000 {
        let now = Instant::from_ms(ms);
        limit.reply(now, Some(1), now, true, &BOUNDS);
        assert!(u64::from(limit.slots(&BOUNDS)) <= 4 + 28 * ms / 10_000);
    }
}

#[test]
fn reply_not_good() {
    let mut limit = Limit::new();
    limit.observe_incarnation(Instant::ZERO, 1, None);
    limit.reply(Instant::ZERO, Some(1), Instant::ZERO, true, &BOUNDS);
    let late = Instant::from_ms(60_000);
    assert!(!limit.reply(late, Some(1), late, false, &BOUNDS));
    assert_eq!(limit.slots(&BOUNDS), 4);
}

#[test]
fn reply_sent_before_rise() {
    let mut limit = Limit::new();
    limit.observe_incarnation(Instant::ZERO, 1, None);
    limit.reply(Instant::ZERO, Some(1), Instant::ZERO, true, &BOUNDS);
    let late = Instant::from_ms(60_000);
    assert!(limit.reply(late, Some(1), late, true, &BOUNDS));
    let slots = limit.slots(&BOUNDS);
    limit.reply(late, Some(1), Instant::ZERO, true, &BOUNDS);
    assert_eq!(limit.slots(&BOUNDS), slots);
}

#[test]
fn hear_new_start() {
    let (mut limit, _) = warm();
    assert_eq!(
        limit.observe_incarnation(Instant::ZERO, 2, None),
        Evidence::NewIncarnation(2)
    );
    assert_eq!(limit.slots(&BOUNDS), 4);
}

#[test]
fn hear_past_start() {
    let (mut limit, now) = warm();
    limit.observe_incarnation(Instant::ZERO, 2, None);
    assert_eq!(
        limit.observe_incarnation(Instant::ZERO, 1, None),
        Evidence::Stale
    );
    assert!(!limit.reply(now, Some(1), now, true, &BOUNDS));
    assert_eq!(limit.incarnation(), Some(2));
    assert_eq!(limit.slots(&BOUNDS), 4);
}

#[test]
fn lose_until_same_start_replies() {
    let (mut limit, now) = warm();
    limit.connection_lost();
    assert_eq!(limit.slots(&BOUNDS), 4);
    limit.reply(now, Some(1), now, true, &BOUNDS);
    assert!(limit.is_full(&BOUNDS));
}

#[test]
fn lose_no_start_told() {
    let mut limit = Limit::new();
    for ms in 0..60_000 {
        let now = Instant::from_ms(ms);
        limit.reply(now, None, now, true, &BOUNDS);
    }
    assert!(limit.is_full(&BOUNDS));
    limit.connection_lost();
    assert_eq!(limit.slots(&BOUNDS), 4);
}

#[test]
fn hear_overtaken_life() {
    let (mut limit, now) = warm();
    assert_eq!(
        limit.observe_incarnation(now, 3, None),
        Evidence::NewIncarnation(3)
    );
    let late = now.after_ms(500);
    assert_eq!(
        limit.observe_incarnation(late, 2, None),
        Evidence::NewIncarnation(2)
    );
    // Reports, and answers to what was sent before, may be the older ones.
    let then = late.after_ms(1_000);
    assert_eq!(limit.observe_incarnation(then, 3, None), Evidence::Stale);
    assert_eq!(
        limit.observe_incarnation(then, 3, Some(late)),
        Evidence::Stale
    );
    let asked_at = late.after_ms(1);
    assert_eq!(
        limit.observe_incarnation(then, 3, Some(asked_at)),
        Evidence::NewIncarnation(3)
    );
    assert_eq!(limit.slots(&BOUNDS), BOUNDS.cold);
    assert_eq!(limit.observe_incarnation(then, 2, None), Evidence::Stale);
}
