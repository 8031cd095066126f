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

/// The load pattern: a server fails all it gets, and every host wants to send everything again.
#[test]
fn take_all_hosts_together() {
    let (hosts, firsts) = (9, 50);
    let mut taken = 0;
    for _ in 0..hosts {
        let mut budget = Budget::new(ALLOWANCE);
        for request in 0..firsts {
            budget.record_request(at(request), &"orders".into());
        }
        while budget.try_take(at(100), &"orders".into(), hosts) {
            taken += 1;
        }
    }
    assert!(f64::from(taken) <= 0.2 * 450.0 + 54.0, "{taken} repeats");
    assert!(taken > 0);
}

#[test]
fn take_hosts_that_do_not_know_of_one_more() {
    // Nine hosts share the slack, and a tenth that has just come believes in ten.
    let mut taken = 0;
    for hosts in [9, 9, 9, 9, 9, 9, 9, 9, 9, 10] {
        let mut budget = Budget::new(ALLOWANCE);
        while budget.try_take(at(0), &"orders".into(), hosts) {
            taken += 1;
        }
    }
    assert!(f64::from(taken) <= ALLOWANCE.slack, "{taken} repeats");
}

#[test]
fn take_again_after_the_window() {
    let mut budget = Budget::new(ALLOWANCE);
    while budget.try_take(at(0), &"orders".into(), 1) {}
    assert!(!budget.try_take(at(9_000), &"orders".into(), 1));
    assert!(budget.try_take(at(10_001), &"orders".into(), 1));
}

#[test]
fn take_services_apart() {
    let mut budget = Budget::new(ALLOWANCE);
    while budget.try_take(at(0), &"orders".into(), 1) {}
    assert!(budget.try_take(at(0), &"llm".into(), 1));
}
