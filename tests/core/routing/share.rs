//! Tests of the fixed shares of servers' slots.

use teaselchute::core::routing::share::{
    Position,
    holders, //
};

use super::id;

#[test]
fn slots_sum_to_limit() {
    for hosts in [1, 2, 9, 390] {
        let members: Vec<_> = (0..hosts).map(id).collect();
        for limit in [0, 1, 4, 31, 32, 1_000] {
            let sum: u32 = members
                .iter()
                .map(|own| Position::of(own, "lm", "s1", &members).slots(limit))
                .sum();
            assert_eq!(sum, limit, "{hosts} hosts");
        }
    }
}

#[test]
fn slots_rise_with_limit() {
    let members: Vec<_> = (0..9).map(id).collect();
    for own in &members {
        let position = Position::of(own, "lm", "s1", &members);
        assert!((0..100).all(|limit| position.slots(limit) <= position.slots(limit + 1)));
    }
}

#[test]
fn slots_not_on_roster() {
    let members: Vec<_> = (0..9).map(id).collect();
    assert_eq!(Position::of(&id(9), "lm", "s1", &members).slots(1_000), 0);
}

#[test]
fn holders_match_slots() {
    let members: Vec<_> = (0..9).map(id).collect();
    let holding = holders("lm", "s1", &members, 4);
    for own in &members {
        let slots = Position::of(own, "lm", "s1", &members).slots(4);
        assert_eq!(slots > 0, holding.contains(&own));
    }
}
