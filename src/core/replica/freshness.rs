//! The rule for which new work a host may start, by the age of its state.
//!
//! Routing and the outcome module call [`allowed_scope`] before any new work. For the reasons
//! behind the limits, see `docs/configuration-design.md`.

use crate::{
    core::{
        document::StaleRule,
        mutation::Mutation,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Time after which a drained data centre receives no new work, in milliseconds.
pub const DRAIN_DEADLINE_MS: u64 = 5_000;

/// Age from which on the state is stale, in milliseconds.
///
/// Below [`DRAIN_DEADLINE_MS`] by the time a call may spend between the decision and the socket.
pub const STALE_AFTER_MS: u64 = 4_500;

/// The backend servers on which a host may start new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All servers.
    All,
    /// Servers of the host's own region, where operators chose that for stale hosts.
    OwnRegion,
    /// No server.
    Nothing,
}

/// Returns where a host with this view may start new work.
///
/// A host that isn't serving starts nothing. A host whose state is at most [`STALE_AFTER_MS`] old
/// may use all servers. Beyond that age, `policies.stale_rule` decides.
pub fn allowed_scope(view: &View, now: Instant) -> Scope {
    if !view.serving {
        return Scope::Nothing;
    }
    let is_fresh = now.since_ms(view.fresh_at) <= STALE_AFTER_MS;
    if is_fresh || view.mutation.is_active(Mutation::IgnoreStaleness) {
        return Scope::All;
    }
    match view.document.policies.stale_rule {
        StaleRule::Refuse => Scope::Nothing,
        StaleRule::OwnRegion => Scope::OwnRegion,
    }
}

/// Returns whether new work may start on backend servers of this region.
pub fn may_start_in(view: &View, now: Instant, region: &Name) -> bool {
    match allowed_scope(view, now) {
        Scope::All => true,
        Scope::OwnRegion => view.own.region == *region,
        Scope::Nothing => false,
    }
}
