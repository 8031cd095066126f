//! Tests of the limit of a server's concurrent calls.

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

/// Returns a limit that has risen to the full one under incarnation 1, and the time of its last
/// reply.
fn warm_limit() -> (Limit, Instant) {
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
fn reply_bounded_by_envelope() {
    let mut limit = Limit::new();
    limit.observe_incarnation(Instant::ZERO, 1, None);
    for ms in 0..10_000 {
        let now = Instant::from_ms(ms);
        limit.reply(now, Some(1), now, true, &BOUNDS);
        assert!(u64::from(limit.slots(&BOUNDS)) <= 4 + 28 * ms / 10_000);
    }
}

#[test]
fn reply_slow_or_failed() {
    let mut limit = Limit::new();
    limit.observe_incarnation(Instant::ZERO, 1, None);
    limit.reply(Instant::ZERO, Some(1), Instant::ZERO, true, &BOUNDS);
    let late = Instant::from_ms(60_000);
    assert!(!limit.reply(late, Some(1), late, false, &BOUNDS));
    assert_eq!(limit.slots(&BOUNDS), 4);
}

#[test]
fn reply_sent_before_last_rise() {
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
fn observe_incarnation_new() {
    let (mut limit, _) = warm_limit();
    assert_eq!(
        limit.observe_incarnation(Instant::ZERO, 2, None),
        Evidence::NewIncarnation(2)
    );
    assert_eq!(limit.slots(&BOUNDS), 4);
}

#[test]
fn observe_incarnation_past() {
    let (mut limit, now) = warm_limit();
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
fn connection_lost_until_reply_of_same_incarnation() {
    let (mut limit, now) = warm_limit();
    limit.connection_lost();
    assert_eq!(limit.slots(&BOUNDS), 4);
    limit.reply(now, Some(1), now, true, &BOUNDS);
    assert!(limit.is_full(&BOUNDS));
}

#[test]
fn connection_lost_no_incarnation() {
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
fn observe_incarnation_overtaken() {
    let (mut limit, now) = warm_limit();
    assert_eq!(
        limit.observe_incarnation(now, 3, None),
        Evidence::NewIncarnation(3)
    );
    let late = now.after_ms(500);
    assert_eq!(
        limit.observe_incarnation(late, 2, None),
        Evidence::NewIncarnation(2)
    );
    // Reports, and answers to calls sent before, may be messages of the older incarnation.
    let later = late.after_ms(1_000);
    assert_eq!(limit.observe_incarnation(later, 3, None), Evidence::Stale);
    assert_eq!(
        limit.observe_incarnation(later, 3, Some(late)),
        Evidence::Stale
    );
    let request_sent_at = late.after_ms(1);
    assert_eq!(
        limit.observe_incarnation(later, 3, Some(request_sent_at)),
        Evidence::NewIncarnation(3)
    );
    assert_eq!(limit.slots(&BOUNDS), BOUNDS.cold);
    assert_eq!(limit.observe_incarnation(later, 2, None), Evidence::Stale);
}
