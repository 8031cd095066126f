//! Outcomes of requests: stages in their order, at most once, kept answers.
//!
//! How a non-idempotent request runs at most once without a lease: see `docs/outcome-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        call::{
            self,
            Body,
            Call,
            End,
            Request, //
        },
        decision::Decision,
        host,
        refusal::Refusal, //
    },
    names::Name,
};

pub mod ledger;
pub mod ticket;

pub use ticket::Ticket;

/// Who waits for an answer on this host: the shell's number for the open exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// A pipeline by name.
    Pipeline(Name),
    /// A service by name.
    Service(Name),
}

/// A request as it came from a caller, parsed and authorised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Its identity.
    pub request: Request,
    /// What is asked for.
    pub subject: Subject,
    /// Priority that the caller wishes, never more urgent than its binding.
    pub priority: Option<u8>,
    /// Deadline that the caller wishes, in milliseconds from now.
    pub deadline_ms: Option<u64>,
    /// Ticket, needed where the subject isn't idempotent.
    pub ticket: Option<Ticket>,
    /// Hash of the prompt's prefix, 0 where there is none.
    pub prefix: u64,
    /// Number of pieces of the answer that the caller has already.
    pub resume_from: u64,
    /// Whether the caller has sent this request before, here or to another host. A kept answer or
    /// stage result of the first try is then looked for.
    pub retried: bool,
    /// The body.
    pub body: Body,
}

/// What the outcome part is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks.
    Ask {
        /// Who waits.
        caller: Caller,
        /// What for.
        ask: Box<Ask>,
    },
    /// A caller asks after a request by id.
    Fetch {
        /// Who waits.
        caller: Caller,
        /// Which request.
        request: Request,
        /// The ticket under which it was sent, where the caller has it.
        ticket: Option<Ticket>,
        /// Number of pieces of the answer that the caller has already.
        resume_from: u64,
    },
    /// A caller hung up.
    CallerGone(Caller),
    /// The pool refused a call.
    Refused {
        /// The call.
        call: call::Id,
        /// Why.
        refusal: Refusal,
    },
    /// A piece of a stream came from the server, counted from 0 for the whole answer.
    Piece {
        /// The call.
        call: call::Id,
        /// Index of the piece.
        index: u64,
        /// The piece.
        piece: Body,
    },
    /// A call ended.
    Ended {
        /// The call.
        call: call::Id,
        /// The server that had it.
        server: Name,
        /// How.
        end: End,
    },
    /// A message of another host's outcome part.
    Message {
        /// Who sent it.
        from: host::Id,
        /// What it says.
        message: Message,
    },
    /// Time passed, or the view changed.
    Tick,
}

/// What the outcome part wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Offer a call to its pool.
    Offer(Call),
    /// Cancel a call.
    Cancel {
        /// The call.
        call: call::Id,
        /// Its pool.
        pool: Name,
    },
    /// Give the caller a piece of the answer.
    Piece {
        /// Who waits.
        caller: Caller,
        /// Index of the piece.
        index: u64,
        /// The piece.
        piece: Body,
    },
    /// Give the caller the whole answer, or the end of the pieces.
    Answer {
        /// Who waits.
        caller: Caller,
        /// The request, for the caller to check.
        request: Request,
        /// The answer: the pieces joined, where it was streamed.
        body: Body,
    },
    /// Refuse the caller.
    Refuse {
        /// Who waits.
        caller: Caller,
        /// The request.
        request: Request,
        /// Why.
        refusal: Refusal,
    },
    /// Send a message to another host's outcome part.
    Send {
        /// To whom.
        to: host::Id,
        /// What.
        message: Message,
    },
    /// Log a decision.
    Decide(Decision),
}

/// What the outcome parts of hosts say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Placeholder for the first frame test.
    Hello,
}

impl Message {
    /// Returns the request that the message is about, by which its shard is found.
    pub fn request(&self) -> Option<&Request> {
        match self {
            Self::Hello => None,
        }
    }
}
