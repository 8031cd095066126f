//! When a host that stops gives up its requests.

use teaselchute::{
    core::gateway::shutdown::{
        Schedule,
        Wait, //
    },
    time::Instant,
};

const SIGTERM: Instant = Instant::from_ms(60_000);

const GRACE_MS: u64 = 8_000;

fn waiting(stages_ms: u64, answer_ms: u64) -> Wait {
    Wait::Server {
        stages_ms,
        answer_ms,
    }
}

/// Requests were held until the process ended, which closed their connections.
#[test]
fn give_up_before_exit() {
    let schedule = Schedule::new(SIGTERM, GRACE_MS);
    let kill_at = SIGTERM.after_ms(GRACE_MS);
    assert!(schedule.exit_at() < kill_at);
    let sent = schedule.give_up_at(Wait::Answer);
    assert!(sent < schedule.exit_at(), "answers have to be written");
    for wait in [waiting(0, 0), waiting(400, 0), waiting(0, 150)] {
        assert!(schedule.give_up_at(wait) <= sent);
    }
}

/// A server may be at work, so the answer is awaited for as long as it can be written.
#[test]
fn give_up_sent_late() {
    let schedule = Schedule::new(SIGTERM, GRACE_MS);
    let last_sixth = SIGTERM.after_ms(GRACE_MS * 5 / 6);
    assert!(schedule.give_up_at(Wait::Answer) >= last_sixth);
}

/// A request that can't be finished is given up at once, and not when the process ends.
#[test]
fn give_up_long_at_once() {
    let schedule = Schedule::new(SIGTERM, GRACE_MS);
    assert!(schedule.give_up_at(waiting(0, 5_000)) <= SIGTERM);
    assert!(schedule.give_up_at(waiting(8_000, 10)) <= SIGTERM);
    let short = schedule.give_up_at(waiting(300, 1_000));
    assert!(short > SIGTERM.after_ms(GRACE_MS / 2), "it may be served");
    let longer = schedule.give_up_at(waiting(900, 1_000));
    assert!(longer < short);
    assert!(schedule.give_up_at(waiting(0, u64::MAX / 4)) <= SIGTERM);
}

#[test]
fn give_up_short_grace() {
    for grace_ms in [0, 100, 300, 400, 1_000] {
        let schedule = Schedule::new(SIGTERM, grace_ms);
        let sent = schedule.give_up_at(Wait::Answer);
        assert!(sent >= SIGTERM && sent <= schedule.exit_at(), "{grace_ms}");
        assert!(schedule.exit_at() <= SIGTERM.after_ms(grace_ms));
    }
}

#[test]
fn elapsed_since_sigterm() {
    let schedule = Schedule::new(SIGTERM, GRACE_MS);
    assert_eq!(schedule.elapsed_ms(SIGTERM.after_ms(2_500)), 2_500);
}
