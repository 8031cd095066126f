//! What hosts tell and ask each other.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::gateway::{
        batch::Piece,
        hosts::Heartbeat,
        plan::Input,
        servers, //
    },
    edges::gateway::{
        Failure,
        Record,
        Topic, //
    },
    names::Name,
    time::Instant,
};

/// Pieces to run, all of one stage of one request. Times are ages, since clocks of two hosts can't
/// be compared.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Ask {
    pub(in crate::shell::gateway) service: Name,
    request: Name,
    stage: u32,
    pieces: u32,
    input: WireInput,
    result_bytes: u64,
    /// Size of the results that one piece works on, in bytes.
    input_bytes: u64,
    wanted_in_ms: i64,
    deadline_in_ms: i64,
    after_ms: u64,
    priority: u8,
    /// Whether they come from the owner of another data centre, so that they go no further.
    pub(in crate::shell::gateway) is_forwarded: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireInput {
    Key(Name),
    Results(Vec<Name>),
}

/// How the pieces went.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Reply {
    /// Their results.
    Results {
        /// The results, in order of their pieces.
        results: Vec<Name>,
        /// The host that gathered the calls, where it isn't the one that was asked.
        owner: Option<SocketAddr>,
    },
    /// One failed.
    Failed(WireFailure),
}

/// Why a piece failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum WireFailure {
    Late,
    InputGone,
    NoRoom,
    Failed,
}

impl From<Failure> for WireFailure {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Late => Self::Late,
            Failure::InputGone => Self::InputGone,
            Failure::NoRoom => Self::NoRoom,
            Failure::Failed => Self::Failed,
        }
    }
}

impl From<WireFailure> for Failure {
    fn from(failure: WireFailure) -> Self {
        match failure {
            WireFailure::Late => Self::Late,
            WireFailure::InputGone => Self::InputGone,
            WireFailure::NoRoom => Self::NoRoom,
            WireFailure::Failed => Self::Failed,
        }
    }
}

fn in_ms(now: Instant, then: Instant) -> i64 {
    let ahead = i64::try_from(then.since_ms(now)).unwrap_or(i64::MAX);
    let behind = i64::try_from(now.since_ms(then)).unwrap_or(i64::MAX);
    ahead - behind
}

fn at_ms(now: Instant, in_ms: i64) -> Instant {
    let ms = in_ms.unsigned_abs();
    if in_ms >= 0 {
        now.after_ms(ms)
    } else {
        now.before_ms(ms)
    }
}

impl Ask {
    /// Makes the message from pieces that differ by their index alone.
    pub(in crate::shell::gateway) fn new(
        now: Instant,
        service: &Name,
        pieces: &[Piece],
    ) -> Option<Self> {
        let first = pieces.first()?;
        Some(Self {
            service: service.clone(),
            request: first.request.clone(),
            stage: u32::try_from(first.stage).ok()?,
            pieces: u32::try_from(pieces.len()).ok()?,
            input: match &first.input {
                Input::Key(key) => WireInput::Key(key.clone()),
                Input::Results(results) => WireInput::Results(results.clone()),
            },
            result_bytes: first.result_bytes,
            input_bytes: first.input_bytes,
            wanted_in_ms: in_ms(now, first.objective),
            deadline_in_ms: in_ms(now, first.deadline),
            after_ms: first.remaining_ms,
            priority: first.priority,
            is_forwarded: false,
        })
    }

    /// Returns the pieces.
    pub(in crate::shell::gateway) fn pieces(self, now: Instant) -> Vec<Piece> {
        let input = match self.input {
            WireInput::Key(key) => Input::Key(key),
            WireInput::Results(results) => Input::Results(results),
        };
        let pieces = 0..self.pieces as usize;
        let piece = |index| Piece {
            request: self.request.clone(),
            stage: self.stage as usize,
            index,
            input: input.clone(),
            result_bytes: self.result_bytes,
            input_bytes: self.input_bytes,
            objective: at_ms(now, self.wanted_in_ms),
            deadline: at_ms(now, self.deadline_in_ms),
            remaining_ms: self.after_ms,
            priority: self.priority,
        };
        pieces.map(piece).collect()
    }
}

/// Results that aren't needed any more.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Free {
    pub(in crate::shell::gateway) service: Name,
    pub(in crate::shell::gateway) results: Vec<Name>,
}

/// How far the servers of a service in a data centre are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Progress {
    pub(in crate::shell::gateway) service: Name,
    pub(in crate::shell::gateway) data_centre: Name,
    /// The host that says so, where other hosts reach it.
    pub(in crate::shell::gateway) owner: SocketAddr,
    /// In how many milliseconds a piece that comes now would be done.
    pub(in crate::shell::gateway) done_ms: u64,
    /// Room for results, in bytes.
    pub(in crate::shell::gateway) room_bytes: u64,
}

/// A read of the store, or a heartbeat, that a host makes for one which the store refuses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Relay {
    /// Read the newest values of a topic.
    Newest { topic: Topic, after: Option<Name> },
    /// Read records from an offset on.
    Tail {
        topic: Topic,
        from: u64,
        wait_ms: u64,
    },
    /// Write a heartbeat.
    Beat(Heartbeat),
}

/// What came of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Relayed {
    /// The store's answer.
    Answer(Bytes),
    /// The records aren't kept any more.
    Gone,
    /// The store gave no answer here either.
    Failed,
}

/// Asks for what a host read of a topic a moment ago.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Recent {
    pub(in crate::shell::gateway) topic: Topic,
    /// Offset of the first record that is wanted.
    pub(in crate::shell::gateway) from: u64,
}

/// What a host knows, told to one that starts while the store is away.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Known {
    /// Time since the store was last read, in milliseconds.
    pub(in crate::shell::gateway) read_ms: u64,
    /// The operators' record with the configuration, as the store holds it.
    pub(in crate::shell::gateway) config: Record,
    /// Data centres that get no new work.
    pub(in crate::shell::gateway) out: Vec<Name>,
    /// Backend servers.
    pub(in crate::shell::gateway) servers: Vec<servers::Entry>,
    /// Hosts that live. Their keys are left out.
    pub(in crate::shell::gateway) hosts: Vec<Heartbeat>,
}
