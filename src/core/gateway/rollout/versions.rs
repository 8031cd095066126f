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

/// Time for which a version that was barred is remembered after its last server left, in milliseconds. A
/// registry that loses entries for some seconds must not turn a reverted version into a new release.
const BARRED_RETENTION_MS: u64 = 60_000;

/// The versions of one service that one host knows.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    known: BTreeMap<Name, Version>,
    order: Option<Current>,
}

#[derive(Clone, Debug)]
struct Version {
    first_seen_at: Instant,
    left_at: Option<Instant>,
    is_barred: bool,
}

impl Version {
    fn is_released(&self, now: Instant) -> bool {
        now.since_ms(self.first_seen_at) >= RELEASE_MS
    }
}

#[derive(Clone, Debug)]
struct Current {
    id: u64,
    target: Name,
    phase: Phase,
    is_written: bool,
    // This host's own evidence is enough to stop.
    is_stopped: bool,
    // This host confirmed that it needs no server of another version.
    is_committed: bool,
    // The target served and no other version did when the order came.
    was_alone: bool,
}

impl Versions {
    /// Records that a server of a version is in the table of servers, and runs for `age_ms` milliseconds
    /// as far as that is known (0 otherwise).
    ///
    /// A host that starts tells versions that serve from those that wait for an order by the age alone.
    pub fn see(&mut self, now: Instant, version: &Name, age_ms: u64) {
        let seen_at = now.before_ms(age_ms);
        self.known.retain(|_, version| !version.is_over(now));
        // A host that starts may read that an order was completed before it reads the servers.
        let is_replaced = age_ms > 0
            && self.order.as_ref().is_some_and(|current| {
                (current.phase, current.is_written) == (Phase::Completed, true)
                    && *version != current.target
            });
        let known = self.known.entry(version.clone()).or_insert(Version {
            first_seen_at: seen_at,
            left_at: None,
            is_barred: is_replaced,
        });
        known.first_seen_at = known.first_seen_at.min(seen_at);
        known.left_at = None;
    }

    /// Records that the last server of a version left.
    pub fn forget(&mut self, now: Instant, version: &Name) {
        if let Some(known) = self.known.get_mut(version) {
            if known.is_barred {
                known.left_at.get_or_insert(now);
            } else {
                self.known.remove(version);
            }
        }
    }

    /// Sets the order in force, `None` if it was deleted. The target of the previous order gets nothing
    /// unless that order was completed or the new one names it.
    pub fn set_order(&mut self, now: Instant, order: Option<&Order>) {
        let id = order.map(|order| order.id);
        if id == self.order.as_ref().map(|current| current.id) {
            return;
        }
        if let Some(old) = self.order.take()
            && (old.phase, old.is_written) != (Phase::Completed, true)
        {
            self.bar(now, &old.target);
        }
        let Some(order) = order else {
            return;
        };
        let was_alone = self.known.iter().all(|(name, version)| {
            if *name == order.target {
                version.is_released(now) && !version.is_barred
            } else {
                version.left_at.is_some()
            }
        });
        let was_alone = was_alone && self.known.contains_key(&order.target);
        if let Some(target) = self.known.get_mut(&order.target) {
            target.is_barred = false;
        }
        self.order = Some(Current {
            id: order.id,
            target: order.target.clone(),
            phase: Phase::Canary,
            is_written: false,
            is_stopped: false,
            is_committed: false,
            was_alone,
        });
    }

    /// Adopts a phase of the order with an id. `is_written` states that the store has it as the state of
    /// the order; otherwise the decider announced it.
    ///
    /// Two deciders may announce different phases. An announced reversal ends the target's requests at
    /// once, and only what the store has ends the order.
    pub fn adopt(&mut self, now: Instant, order: u64, phase: Phase, is_written: bool) {
        let Some(current) = self.order.as_mut().filter(|current| current.id == order) else {
            return;
        };
        if current.is_written {
            return;
        }
        match phase {
            Phase::Completed | Phase::Reverted if is_written => {
                (current.phase, current.is_written) = (phase, true);
                let target = current.target.clone();
                if phase == Phase::Reverted {
                    self.bar(now, &target);
                } else {
                    let others = self.known.iter_mut().filter(|(name, _)| **name != target);
                    others.for_each(|(_, version)| version.is_barred = true);
                }
            }
            // Servers of other versions stop as soon as the store has the state, not before.
            Phase::Completed => {}
            _ => current.phase = current.phase.max(phase),
        }
    }

    /// Stops all requests to the target because of evidence that this host has, until a final phase is
    /// known.
    pub fn stop(&mut self, order: u64) {
        if let Some(current) = self.order.as_mut().filter(|current| current.id == order) {
            current.is_stopped = true;
        }
    }

    /// Takes the number of this host's requests that still need a server of another version. Returns
    /// whether the host may confirm it to the decider: it sends new requests to the target only.
    ///
    /// With 0 the host commits itself. Other versions get nothing from then on unless the order is
    /// reverted, since their servers stop when all hosts have confirmed 0.
    pub fn commit(&mut self, order: u64, in_flight_old: u64) -> bool {
        let Some(current) = self.order.as_mut().filter(|current| current.id == order) else {
            return false;
        };
        let is_promoting = current.phase == Phase::Promoting && !current.is_stopped;
        current.is_committed |= is_promoting && in_flight_old == 0;
        is_promoting
    }

    /// Returns the phase of the order in force.
    pub fn phase(&self) -> Option<Phase> {
        self.order.as_ref().map(|order| order.phase)
    }

    /// Returns what a version may get.
    pub fn permission(&self, now: Instant, version: &Name) -> Permission {
        let Some(known) = self.known.get(version) else {
            return Permission::Barred;
        };
        let Some(current) = &self.order else {
            return self.ordinary(now, version, known);
        };
        // A final phase overrides the verdict of one host.
        let is_reverted = match (current.phase, current.is_written) {
            (Phase::Completed, true) => false,
            (phase, _) => phase == Phase::Reverted || current.is_stopped,
        };
        if *version == current.target {
            return match current.phase {
                _ if is_reverted => Permission::Barred,
                Phase::Canary if !current.was_alone => Permission::Trial,
                _ => Permission::Any,
            };
        }
        match (self.ordinary(now, version, known), current.phase) {
            (Permission::Any, Phase::Promoting) if !is_reverted => {
                if current.is_committed {
                    Permission::Barred
                } else {
                    Permission::Fallback
                }
            }
            (permission, _) => permission,
        }
    }

    /// Returns what a version may get that the order in force doesn't name.
    fn ordinary(&self, now: Instant, version: &Name, known: &Version) -> Permission {
        if known.is_barred {
            return Permission::Barred;
        }
        if known.is_released(now) {
            return Permission::Any;
        }
        // A service without a version that serves is better served by what came first than by none.
        let target = self.order.as_ref().map(|order| &order.target);
        let mut others = self
            .known
            .iter()
            .filter(|(name, other)| *name != version && Some(*name) != target && !other.is_barred);
        let is_first = others.all(|(_, other)| other.first_seen_at >= known.first_seen_at);
        if is_first {
            Permission::Any
        } else {
            Permission::Barred
        }
    }

    fn bar(&mut self, now: Instant, version: &Name) {
        // The version may be unknown here, and its servers may join later.
        let known = self.known.entry(version.clone()).or_insert(Version {
            first_seen_at: now,
            left_at: Some(now),
            is_barred: true,
        });
        known.is_barred = true;
    }
}

impl Version {
    fn is_over(&self, now: Instant) -> bool {
        self.left_at
            .is_some_and(|left_at| now.since_ms(left_at) >= BARRED_RETENTION_MS)
    }
}
