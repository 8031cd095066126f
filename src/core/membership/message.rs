//! Membership messages between hosts, and entries of the host list.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    host::{
        Host,
        Id, //
    },
    roster::Progress,
};

/// Entry of the platform's host list. The list is eventually consistent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The host, as it registered itself.
    pub host: Host,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Message between the membership parts of two hosts, over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for a [`Message::Pong`].
    Ping {
        /// Sequence number, by which the answer is matched.
        sequence: u64,
        /// Status of the sender.
        status: Status,
        /// Updates about other hosts, and about the receiver where it is suspected.
        updates: Vec<Update>,
    },
    /// Answers a ping.
    Pong {
        /// Sequence number of the ping.
        sequence: u64,
        /// Status of the sender.
        status: Status,
        /// Updates about other hosts, and about the receiver where it is suspected.
        updates: Vec<Update>,
    },
    /// Asks the receiver to ping another host on the sender's behalf.
    IndirectPing {
        /// Sequence number, by which the answer is matched.
        sequence: u64,
        /// The host to ping.
        target: Id,
    },
    /// Reports that the target of a [`Message::IndirectPing`] answered.
    IndirectPong {
        /// Sequence number of the request.
        sequence: u64,
        /// Update made from the status of the target.
        update: Box<Update>,
    },
    /// Updates that are gossiped outside of pings and pongs.
    Gossip(Vec<Update>),
    /// Asks for the receiver's table where its digest differs.
    Digest {
        /// Digest of the sender's table.
        digest: u64,
    },
    /// The sender's whole table, for anti-entropy.
    Table {
        /// One update for each host of the table.
        updates: Vec<Update>,
        /// Digest of the table. The receiver replies with its own table where its digest differs.
        digest: u64,
        /// Whether this is the reply to a table, which ends the exchange.
        is_reply: bool,
    },
}

/// Status that a host sends about itself with each ping and pong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Refutation counter: raised when the host refutes a suspicion.
    pub refutation: u64,
    /// Alive or leaving.
    pub state: State,
    /// Epoch of the newest roster whose share its calls fit.
    pub roster_epoch: u64,
    /// Ticket generation on its own clock.
    pub ticket_generation: u64,
    /// Time for which it has served, in milliseconds. `None` before it serves.
    pub serving_ms: Option<u64>,
    /// Members known to have left the previous roster.
    pub progress: Progress,
}

/// State of a member, as gossip carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub host: Host,
    /// Refutation counter of the member.
    pub refutation: u64,
    /// Reported state.
    pub state: State,
    /// Epoch of the newest roster whose share its calls fit.
    pub roster_epoch: u64,
    /// Ticket generation on the member's own clock when it sent its status.
    pub ticket_generation: u64,
    /// Time for which it has served, in milliseconds. `None` where it is not known to serve.
    pub serving_ms: Option<u64>,
}

/// State of a member in an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Answers pings.
    Alive,
    /// Answers no pings.
    Suspect,
    /// Is leaving.
    Leaving,
    /// Has ended for good: a newer incarnation is known, or the host list no longer has the host.
    Gone,
}

impl Update {
    /// Makes an update that carries nothing but a host's state.
    pub(super) fn from_state(host: Host, state: State) -> Self {
        Self {
            host,
            refutation: 0,
            state,
            roster_epoch: 0,
            ticket_generation: 0,
            serving_ms: None,
        }
    }

    /// Makes an update from a host's own status.
    pub(super) fn from_status(host: Host, status: &Status) -> Self {
        Self {
            host,
            refutation: status.refutation,
            state: status.state,
            roster_epoch: status.roster_epoch,
            ticket_generation: status.ticket_generation,
            serving_ms: status.serving_ms,
        }
    }
}
