//! The one rule of what a host may still start, by the age of its news.
//!
//! Routing and the outcome part ask [`allowed_scope`] before any new work. Why these limits: see
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
pub const DRAIN_DEADLINE_MS: u64 = 5_000;

/// Oldest news with which a host serves as usual, in milliseconds.
///
/// It is below [`DRAIN_DEADLINE_MS`] by the time that a call may spend between decision and socket.
pub const STALE_AFTER_MS: u64 = 4_500;

/// What a host may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Anything, anywhere.
    All,
    /// Work on backend servers of its own region only, as operators chose for hosts cut off.
    OwnRegion,
    /// Nothing.
    Nothing,
}

/// Returns what a host with this view may start now.
///
/// A host that isn't serving starts nothing. One with news no older than [`STALE_AFTER_MS`] starts
/// anything. Beyond that `policies.stale_rule` decides.
pub fn allowed_scope(view: &View, now: Instant) -> Scope {
    if !view.serving {
        return Scope::Nothing;
    }
    let is_fresh = now.since_ms(view.fresh_at) <= STALE_AFTER_MS;
    if is_fresh || view.mutation.is(Mutation::IgnoreAge) {
        return Scope::All;
    }
    match view.document.policies.stale_rule {
        StaleRule::Refuse => Scope::Nothing,
        StaleRule::OwnRegion => Scope::OwnRegion,
    }
}

/// Returns whether a backend server in this region may be given new work now.
pub fn may_start_in(view: &View, now: Instant, region: &Name) -> bool {
    match allowed_scope(view, now) {
        Scope::All => true,
        Scope::OwnRegion => view.own.region == *region,
        Scope::Nothing => false,
    }
}
