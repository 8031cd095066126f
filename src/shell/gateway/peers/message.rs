//! Messages between hosts, encoded by postcard.

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
        position::Position,
        servers, //
    },
    edges::gateway::{
        Failure,
        Record,
        Tail,
        Topic, //
    },
    names::Name,
    time::Instant,
};

/// Pieces to run, all of one stage of one request. Times are relative to the time of sending, since
/// the clocks of two hosts can't be compared.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Batch {
    pub(in crate::shell::gateway) service: Name,
    request: Name,
    stage: u32,
    pieces: u32,
    input: WireInput,
    result_bytes: u64,
    /// Size of the results that are the input of one piece, in bytes.
    input_bytes: u64,
    objective_in_ms: i64,
    deadline_in_ms: i64,
    remaining_ms: u64,
    priority: u8,
    /// Whether the owner of another data centre forwarded the pieces. They are not forwarded again.
    pub(in crate::shell::gateway) is_forwarded: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireInput {
    Key(Name),
    Results(Vec<Name>),
}

/// Outcome of a batch.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Reply {
    /// All pieces succeeded.
    Results {
        /// The results, in the order of their pieces.
        results: Vec<Name>,
        /// The host that batched the calls, if it isn't the one that was called.
        owner: Option<SocketAddr>,
    },
    /// A piece failed.
    Failed(WireFailure),
}

/// Reason for which a piece failed, as it is encoded.
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

fn offset_ms(now: Instant, then: Instant) -> i64 {
    let ahead = i64::try_from(then.since_ms(now)).unwrap_or(i64::MAX);
    let behind = i64::try_from(now.since_ms(then)).unwrap_or(i64::MAX);
    ahead - behind
}

fn instant_at(now: Instant, in_ms: i64) -> Instant {
    let ms = in_ms.unsigned_abs();
    if in_ms >= 0 {
        now.after_ms(ms)
    } else {
        now.before_ms(ms)
    }
}

impl Batch {
    /// Builds the message from pieces that differ only by their index. Returns `None` if there are
    /// none, or if their number does not fit the format.
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
            objective_in_ms: offset_ms(now, first.objective),
            deadline_in_ms: offset_ms(now, first.deadline),
            remaining_ms: first.remaining_ms,
            priority: first.priority,
            is_forwarded: false,
        })
    }

    /// Converts the message to pieces with times of this host.
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
            objective: instant_at(now, self.objective_in_ms),
            deadline: instant_at(now, self.deadline_in_ms),
            remaining_ms: self.remaining_ms,
            priority: self.priority,
        };
        pieces.map(piece).collect()
    }
}

/// Results to free.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Free {
    pub(in crate::shell::gateway) service: Name,
    pub(in crate::shell::gateway) results: Vec<Name>,
}

/// Load of the servers of a service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Progress {
    pub(in crate::shell::gateway) service: Name,
    pub(in crate::shell::gateway) data_centre: Name,
    /// Address for other hosts of the host that reports this.
    pub(in crate::shell::gateway) owner: SocketAddr,
    /// Estimated time to complete a piece that is queued now, in milliseconds.
    pub(in crate::shell::gateway) done_ms: u64,
    /// Free space for results, in bytes.
    pub(in crate::shell::gateway) free_bytes: u64,
}

/// A call to the store that a host makes on behalf of one which the store doesn't answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Relay {
    /// Reads a page of the newest values of a topic.
    Newest { topic: Topic, after: Option<Name> },
    /// Reads records from an offset on.
    Tail {
        topic: Topic,
        from: u64,
        wait_ms: u64,
    },
    /// Writes a heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// Writes the state of a rollout if the topic of states ends at an offset.
    Status { record: Record, at: u64 },
}

/// A successful answer of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Answer {
    /// Timeline of the store that answered.
    pub(in crate::shell::gateway) timeline: u64,
    pub(in crate::shell::gateway) body: Bytes,
}

/// Outcome of a relayed call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Relayed {
    /// The store's answer.
    Answer(Answer),
    /// The store confirmed a heartbeat.
    Written,
    /// The store no longer keeps the records.
    Gone,
    /// The store did not answer this host either.
    Failed,
    /// The topic ends at another offset, so nothing was written.
    Conflict,
}

/// Requests the records that a host read recently from a topic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Recent {
    pub(in crate::shell::gateway) topic: Topic,
    /// Position of the first requested record.
    pub(in crate::shell::gateway) from: Position,
}

/// Answer to [`Recent`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) enum Shared {
    /// The records that were read recently.
    Records(Tail),
    /// The store doesn't answer the reader, directly or through other hosts.
    Unavailable,
    /// The host isn't a reader, no longer has these records, or has those of another timeline.
    Missing,
}

/// State of a host, for one that starts while the store is unavailable.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Snapshot {
    /// Time since the store was last read, in milliseconds.
    pub(in crate::shell::gateway) staleness_ms: u64,
    /// Timeline of the store at that time.
    pub(in crate::shell::gateway) timeline: u64,
    /// The operators' record with the configuration, as it is stored.
    pub(in crate::shell::gateway) config: Record,
    /// The operators' records with orders to roll versions out, as they are stored.
    pub(in crate::shell::gateway) orders: Vec<Record>,
    /// Data centres that are drained.
    pub(in crate::shell::gateway) drained: Vec<Name>,
    /// Backend servers.
    pub(in crate::shell::gateway) servers: Vec<servers::Entry>,
    /// Live hosts, without their keys.
    pub(in crate::shell::gateway) hosts: Vec<Heartbeat>,
}
