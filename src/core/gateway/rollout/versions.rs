//! Which versions of a service's servers may get requests.

use std::collections::BTreeMap;

use super::order::{
    Order,
    Phase, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Time after the first server of a version was seen after which the version is an ordinary release if no
/// order names it, in milliseconds. Operators start the servers of a rollout before they order it.
pub const RELEASE_MS: u64 = 3_000;

/// What a version may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Any request.
    Any,
    /// Requests that the ledger allows, at the trial servers.
    Trial,
    /// Requests for which no version with [`Permission::Any`] has a usable server.
    Fallback,
    /// No request.
    Barred,
}

/// The versions of one service that one host knows.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    known: BTreeMap<Name, Version>,
    order: Option<Current>,
}

#[derive(Clone, Debug)]
struct Version {
    first_seen_at: Instant,
    is_barred: bool,
}

#[derive(Clone, Debug)]
struct Current {
    id: u64,
    target: Name,
    phase: Phase,
    is_written: bool,
    is_stopped: bool,
    is_committed: bool,
}

impl Versions {
    /// Records that a server of a version is in the table of servers, and runs for `age_ms` milliseconds
    /// as far as that is known (0 otherwise).
    pub fn see(&mut self, now: Instant, version: &Name, age_ms: u64) {
        let seen_at = now.before_ms(age_ms);
        let known = self.known.entry(version.clone()).or_insert(Version {
            first_seen_at: seen_at,
            is_barred: false,
        });
        known.first_seen_at = known.first_seen_at.min(seen_at);
    }

    /// Forgets a version whose last server left.
    pub fn forget(&mut self, version: &Name) {
        self.known.remove(version);
    }

    /// Sets the order in force, `None` if it was deleted. The target of the previous order gets nothing
    /// unless that order was completed or the new one names it.
    pub fn set_order(&mut self, order: Option<&Order>) {
        _ = order;
    }

    /// Adopts a phase of the order with an id. `is_written` states that the store has it as the state of
    /// the order; otherwise the decider announced it.
    pub fn adopt(&mut self, order: u64, phase: Phase, is_written: bool) {
        _ = (order, phase, is_written);
    }

    /// Stops all requests to the target because of evidence that this host has, until a final phase is
    /// known.
    pub fn stop(&mut self, order: u64) {
        _ = order;
    }

    /// Confirms that this host sends new requests to the target only and none of its requests needs a
    /// server of another version. Returns whether the confirmation may be sent: the phase must be
    /// [`Phase::Promoting`], and from then on other versions are barred.
    pub fn commit(&mut self, order: u64, in_flight_old: u64) -> bool {
        _ = (order, in_flight_old);
        false
    }

    /// Returns the phase of the order in force.
    pub fn phase(&self) -> Option<Phase> {
        self.order.as_ref().map(|order| order.phase)
    }

    /// Returns what a version may get.
    pub fn permission(&self, now: Instant, version: &Name) -> Permission {
        _ = (now, version);
        Permission::Any
    }
}
