use teaselchute::core::gateway::budget::{
    Allowance,
    Budget, //
};

use super::at;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 54.0,
    window_ms: 10_000,
};

/// A server fails all requests, and all hosts retry all of them.
#[test]
fn try_take_all_hosts() {
    let (hosts, requests) = (9, 50);
    let mut taken = 0;
    for _ in 0..hosts {
        let mut budget = Budget::new(ALLOWANCE);
        for request in 0..requests {
            budget.record_request(at(request), &"orders".into());
        }
        while budget.try_take(at(100), &"orders".into(), hosts) {
            taken += 1;
        }
    }
    assert!(f64::from(taken) <= 0.2 * 450.0 + 54.0, "{taken} retries");
    assert!(taken > 0);
}

#[test]
fn try_take_unknown_host() {
    // Nine hosts don't know yet that a tenth has started.
    let mut taken = 0;
    for hosts in [9, 9, 9, 9, 9, 9, 9, 9, 9, 10] {
        let mut budget = Budget::new(ALLOWANCE);
        while budget.try_take(at(0), &"orders".into(), hosts) {
            taken += 1;
        }
    }
    assert!(f64::from(taken) <= ALLOWANCE.slack, "{taken} retries");
}

#[test]
fn try_take_after_window() {
    let mut budget = Budget::new(ALLOWANCE);
    while budget.try_take(at(0), &"orders".into(), 1) {}
    assert!(!budget.try_take(at(9_000), &"orders".into(), 1));
    assert!(budget.try_take(at(10_001), &"orders".into(), 1));
}

#[test]
fn try_take_separate_services() {
    let mut budget = Budget::new(ALLOWANCE);
    while budget.try_take(at(0), &"orders".into(), 1) {}
    assert!(budget.try_take(at(0), &"llm".into(), 1));
}
