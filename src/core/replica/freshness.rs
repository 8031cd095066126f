//! The one rule of what a host may still start, by the age of its news.
//!
//! Routing and the outcome part ask [`allowance`] before any new work. Why these limits: see
//! `docs/configuration-design.md`.

use crate::{
    core::{
        document::StaleRule,
        mutation::Mutation,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Time after which nothing new is started in a data centre that was taken out, in milliseconds.
pub const DRAIN_PROMISE_MS: u64 = 5_000;

/// Oldest news with which a host serves as usual, in milliseconds.
///
/// It is below [`DRAIN_PROMISE_MS`] by the time that a call may spend between decision and socket.
pub const FRESH_LIMIT_MS: u64 = 4_500;

/// What a host may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Anything, anywhere.
    All,
    /// Work on backend servers of its own region only, as operators chose for hosts cut off.
    OwnRegion,
    /// Nothing.
    Nothing,
}

/// Returns what a host with this view may start now.
///
/// A host that isn't serving starts nothing. One with news no older than [`FRESH_LIMIT_MS`] starts
/// anything. Beyond that `policies.stale_rule` decides.
pub fn allowance(view: &View, now: Instant) -> Allowance {
    if !view.serving {
        return Allowance::Nothing;
    }
    let is_fresh = now.since_ms(view.fresh_at) <= FRESH_LIMIT_MS;
    if is_fresh || view.mutation.is(Mutation::IgnoreAge) {
        return Allowance::All;
    }
    match view.document.policies.stale_rule {
        StaleRule::Refuse => Allowance::Nothing,
        StaleRule::OwnRegion => Allowance::OwnRegion,
    }
}

/// Returns whether a backend server in this region may be given new work now.
pub fn may_start_in(view: &View, now: Instant, region: &Name) -> bool {
    match allowance(view, now) {
        Allowance::All => true,
        Allowance::OwnRegion => view.own.region == *region,
        Allowance::Nothing => false,
    }
}
