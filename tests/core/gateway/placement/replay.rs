//! Replays of the placement against simpler choices.
//!
//! Bounds follow from the objective of the replays and from the other choices: the placement by latency is
//! to be no worse than the best of them, and to prefill less again.

use super::engine::{
    Call,
    EQUAL,
    Outcome,
    Policy,
    Setup,
    Trouble,
    UNEQUAL,
    calls,
    replay, //
};

const SEED: u64 = 5;

/// Length of a replay, in milliseconds.
const DURATION_MS: u64 = 9_000;

/// Choices that ignore the speed of servers.
const BLIND: [Policy; 5] = [
    Policy::Tokens,
    Policy::LeastOutstanding,
    Policy::Random,
    Policy::RoundRobin,
    Policy::TwoChoices,
];

fn run(setup: Setup, calls: &[Call], policy: Policy) -> Outcome {
    replay(setup, SEED, calls, policy, Trouble::default())
}

fn hundredths(fraction: f64, of: f64) -> u64 {
    (fraction * of) as u64
}

/// Requests per second at which the engines of [`UNEQUAL`] are busy all the time if they read all prompts
/// whole: 4,900 tokens for each request, at 32.4 in a millisecond and a mean factor of 1.27 in spells.
fn full_rate(setup: Setup) -> f64 {
    let work_ms = 4_900.0 / setup.tokens_per_ms * 1.27;
    setup.engines as f64 * 1_000.0 / work_ms
}

/// Uneven servers with spells: requests wait at slow servers while fast ones are free.
#[test]
fn place_uneven_speeds_at_all_loads() {
    for load in [0.3, 0.6, 0.9, 1.2] {
        let per_s = hundredths(load, full_rate(UNEQUAL));
        let calls = calls(SEED, per_s, DURATION_MS, 600);
        let latency = run(UNEQUAL, &calls, Policy::Latency);
        for policy in BLIND {
            let other = run(UNEQUAL, &calls, policy);
            let case = format!("load {load}, {policy:?}: {latency:?} {other:?}");
            assert!(latency.mean_ms <= other.mean_ms, "{case}");
            assert!(latency.p95_ms <= other.p95_ms, "{case}");
            assert!(latency.on_time >= other.on_time, "{case}");
            assert!(latency.again < other.again, "{case}");
        }
    }
}

/// Shared beginnings against a queue: always following them overloads some servers, and never following
/// them prefills everything again.
#[test]
fn place_shared_beginnings() {
    for (setup, per_s) in [(EQUAL, 300), (UNEQUAL, 72)] {
        let calls = calls(SEED, per_s, DURATION_MS, 600);
        let latency = run(setup, &calls, Policy::Latency);
        let follow = run(setup, &calls, Policy::Follow);
        let never = run(setup, &calls, Policy::LeastOutstanding);
        let today = run(setup, &calls, Policy::Tokens);
        let case = format!("{latency:?} follow {follow:?} never {never:?} today {today:?}");
        assert!(latency.mean_ms <= follow.mean_ms, "{case}");
        assert!(latency.mean_ms <= never.mean_ms, "{case}");
        assert!(latency.mean_ms <= today.mean_ms, "{case}");
        assert!(latency.p99_ms <= today.p99_ms.max(follow.p99_ms), "{case}");
        assert!(
            latency.again < today.again && latency.again < never.again,
            "{case}"
        );
        assert!(latency.on_time > 0.99, "{case}");
    }
}

/// Memory that holds a fraction of the parts in use: what counts as held for a fixed time is long evicted.
#[test]
fn place_memory_full() {
    let setup = Setup {
        memory: 50_000,
        ..UNEQUAL
    };
    let calls = calls(SEED, 72, DURATION_MS, 600);
    let latency = run(setup, &calls, Policy::Latency);
    for policy in [Policy::Tokens, Policy::Follow, Policy::LeastOutstanding] {
        let other = run(setup, &calls, policy);
        let case = format!("{policy:?}: {latency:?} {other:?}");
        assert!(latency.mean_ms <= other.mean_ms, "{case}");
        assert!(latency.on_time >= other.on_time, "{case}");
    }
    let today = run(setup, &calls, Policy::Tokens);
    assert!(latency.again < today.again, "{latency:?} {today:?}");
}

/// A beginning that most requests share must spread over several servers, also if the first to hold it is a
/// slow one.
#[test]
fn place_hot_beginning() {
    let mut calls = calls(SEED, 72, DURATION_MS, 600);
    let is_large = |call: &&mut Call| call.prompt.len() == 3;
    for call in calls.iter_mut().filter(is_large).step_by(2) {
        call.prompt[1].id = "hot".into();
    }
    let latency = run(UNEQUAL, &calls, Policy::Latency);
    for policy in [Policy::Tokens, Policy::Follow, Policy::LeastOutstanding] {
        let other = run(UNEQUAL, &calls, policy);
        let case = format!("{policy:?}: {latency:?} {other:?}");
        assert!(latency.mean_ms <= other.mean_ms, "{case}");
        assert!(latency.p99_ms <= other.p99_ms, "{case}");
    }
    assert!(latency.on_time > 0.99, "{latency:?}");
}

/// An engine that restarts has lost its parts, and reports that are lost leave work on the books that is
/// done. Neither may make the placement worse than one that knows nothing.
#[test]
fn place_restart_and_lost_reports() {
    let calls = calls(SEED, 72, DURATION_MS, 600);
    let trouble = Trouble {
        lost_every: 5,
        restart_ms: Some(5_000),
    };
    let latency = replay(UNEQUAL, SEED, &calls, Policy::Latency, trouble);
    for policy in [Policy::Tokens, Policy::Follow, Policy::LeastOutstanding] {
        let other = replay(UNEQUAL, SEED, &calls, policy, trouble);
        let case = format!("{policy:?}: {latency:?} {other:?}");
        assert!(latency.mean_ms <= other.mean_ms, "{case}");
        assert!(latency.on_time >= other.on_time, "{case}");
    }
}
