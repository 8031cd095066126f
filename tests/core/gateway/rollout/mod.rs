//! Tests of rollouts.

mod decider;
mod evidence;
mod judgement;
mod ledger;
mod versions;
mod whole;

use teaselchute::{
    core::gateway::rollout::{
        Order,
        Window, //
    },
    time::Instant, //
};

/// When the store accepts the order in the tests, in milliseconds.
pub const ACCEPTED_MS: u64 = 100_000;

pub fn order(target: &str, duration_ms: u64, id: u64) -> Order {
    Order {
        service: "svc".into(),
        target: target.into(),
        duration_ms,
        id,
    }
}

pub fn window(order: &Order) -> Window {
    Window::open(Instant::from_ms(ACCEPTED_MS), order, 0)
}

/// Returns the instant some milliseconds after the order.
pub fn after(ms: u64) -> Instant {
    Instant::from_ms(ACCEPTED_MS + ms)
}
