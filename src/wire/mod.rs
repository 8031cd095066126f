//! Frames between entry hosts: `postcard` behind a keyed BLAKE3 tag.
//!
//! Small frames go over UDP, large ones over TCP: see `docs/wire.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        call::Incarnation,
        host,
        membership,
        outcome,
        replica,
        routing, //
    },
    names::Name,
};

pub mod codec;
pub mod ticket;

/// Version of the frames. A host drops frames of another version and counts them.
pub const VERSION: u8 = 1;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Largest frame that goes over UDP, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// What one host says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From membership.
    Membership(membership::Message),
    /// From the replica of the agreed state.
    Replica(replica::Message),
    /// From the outcome part.
    Outcome(outcome::Message),
    /// A backend server turned cold: pool, server, its new life.
    Cold(Name, Name, Incarnation),
    /// From the routing of a pool.
    Routing(Name, routing::Message),
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sent it.
    pub from: host::Host,
    /// For whom it is: a restarted receiver drops frames for the life before.
    pub to: host::Id,
    /// The message.
    pub message: Message,
}
