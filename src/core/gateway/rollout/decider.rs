//! Decisions on one order, at the host that decides.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    evidence::{
        Digest,
        Evidence, //
    },
    judgement::Verdict,
    order::{
        Order,
        Phase,
        Window, //
    },
};
use crate::{
    names::Name,
    time::Instant, //
};

/// State of an order in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It is being executed.
    InProgress,
    /// The service's traffic is at the target. Final.
    Completed,
    /// The target gets nothing. Final.
    Reverted,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The state was written.
    Written {
        /// Offset at which the partition ends now.
        end_offset: u64,
    },
    /// The partition didn't end at the expected offset, and nothing was written.
    Conflict,
    /// Nothing was written for another reason.
    NotDone,
    /// There is no answer. The write may have been done, or may be done later if its condition holds.
    Unknown,
}

/// An event that may change the decision on an order.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. The caller sends one every 250 ms or more often.
    Tick,
    /// A host reported its answers. The deciding host reports its own in the same way.
    Evidence {
        /// The host.
        host: Name,
        /// Its start.
        incarnation: u64,
        /// Its answers.
        digest: Digest,
    },
    /// A host in [`Phase::Promoting`] sends new requests to the target only.
    HostConfirmed {
        /// The host.
        host: Name,
        /// Its start.
        incarnation: u64,
        /// Number of its requests that still need a server of another version. A host that reports 0 uses
        /// no such server again unless the order is reverted.
        in_flight_old: u64,
    },
    /// The hosts of the deployment, each with its start.
    HostsChanged {
        /// Those that are alive, the deciding host included.
        live: BTreeSet<(Name, u64)>,
        /// Those without a sign of life for less than 12 s.
        silent: BTreeSet<(Name, u64)>,
    },
    /// The numbers of the service's servers.
    ServersChanged {
        /// Servers of the target.
        target: usize,
        /// Servers of other versions.
        others: usize,
    },
    /// The status of the service was read from the store.
    StatusRead {
        /// State and target, `None` if there is no record or it is older than the order.
        status: Option<(State, Name)>,
        /// Offset at which the partition ends.
        end_offset: u64,
    },
    /// A read failed.
    ReadFailed,
    /// A write ended.
    WriteEnded(Ending),
    /// The order was deleted.
    OrderGone,
    /// Another order for the service took its place.
    OrderReplaced,
}

/// What the deciding host does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the status of the service. [`Event::StatusRead`] or [`Event::ReadFailed`] follows.
    Read,
    /// Write a state if the partition still ends at an offset. [`Event::WriteEnded`] follows.
    Write {
        /// The state.
        state: State,
        /// The offset.
        at: u64,
    },
    /// Tell all hosts the phase, and repeat it until the next one.
    Announce {
        /// The phase.
        phase: Phase,
        /// Whether the store has it as the state of the order.
        is_written: bool,
    },
}

/// Decider of one order.
#[derive(Clone, Debug)]
pub struct Decider {
    order: Order,
    window: Window,
    evidence: Evidence,
    phase: Phase,
    is_written: bool,
}

impl Decider {
    /// Opens the decider of an order. It takes the evidence of all hosts anew.
    pub fn open(now: Instant, order: Order, window: Window) -> Self {
        _ = now;
        Self {
            evidence: Evidence::open(window),
            order,
            window,
            phase: Phase::Canary,
            is_written: false,
        }
    }

    /// Handles an event.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        _ = (now, event, &self.order, self.window, &self.evidence);
        Vec::new()
    }

    /// Returns the phase, and whether the store has it as the state of the order.
    pub fn phase(&self) -> (Phase, bool) {
        (self.phase, self.is_written)
    }

    /// Returns the last verdict, for logs.
    pub fn verdict(&self) -> Option<&Verdict> {
        None
    }
}
