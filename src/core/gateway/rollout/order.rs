//! Orders of operators, and what hosts do about them.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// An order to move the traffic of a service to one version of its servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version.
    pub target: Name,
    /// Time from the acceptance of the order by the store to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// Hash of the record, by which all hosts tell one order from another with the same content.
    pub id: u64,
}

/// What hosts do about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The target gets the few requests that each host's ledger allows.
    Canary,
    /// New requests go to the target, and to other versions only if the target has no usable server.
    Promoting,
    /// All requests go to the target. Final.
    Completed,
    /// No request goes to the target. Final.
    Reverted,
}

impl Phase {
    /// Returns whether no other phase of the same order follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// The time of an order on the clock of one process.
///
/// The order may be older than the process, so its acceptance may have no instant here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// When the order must be completed or reverted.
    pub deadline: Instant,
    /// Time from its acceptance to the deadline, in milliseconds.
    pub duration_ms: u64,
}

impl Window {
    /// Opens the window of an order that the store accepted `age_ms` milliseconds ago.
    pub fn open(now: Instant, order: &Order, age_ms: u64) -> Self {
        Self {
            deadline: now.after_ms(order.duration_ms).before_ms(age_ms),
            duration_ms: order.duration_ms,
        }
    }

    /// Returns the time since the acceptance of the order, in milliseconds.
    pub fn elapsed_ms(&self, now: Instant) -> u64 {
        let left_ms = self.deadline.since_ms(now);
        self.duration_ms.saturating_sub(left_ms) + now.since_ms(self.deadline)
    }
}
