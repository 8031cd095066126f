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
            Completion,
            Request, //
        },
        decision::Decision,
        host,
        refusal::Refusal, //
    },
    names::Name,
};

use answers::{
    Answer,
    Class,
    Content,
    Digest, //
};

pub mod answers;
pub mod coordinator;
pub mod home;
pub mod plan;
pub mod policy;
pub mod ticket;
pub mod witness;

pub use policy::Policy;
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
pub struct Submission {
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
    pub prefix_hash: u64,
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
    Submit {
        /// Who waits.
        caller: Caller,
        /// What for.
        submission: Box<Submission>,
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
    CallerDisconnected(Caller),
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
        end: Completion,
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

/// How a request ended for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is its whole answer.
    Answered(Answer),
    /// It ran, and its answer has been dropped since.
    AnswerDropped,
    /// It was refused, with a true word on whether it ran.
    Refused(Refusal),
}

/// What a host knows of a request that another host asks after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Nothing, and nothing follows from that.
    Unknown,
    /// The witness will never acknowledge it: it never runs.
    Sealed,
    /// The witness acknowledged it: it may have run.
    Prepared,
    /// Its home runs it, or is about to.
    Running,
    /// It ended.
    Ended(Box<Outcome>),
    /// A stage of it is finished.
    Stage {
        /// Index of the stage.
        index: usize,
        /// Digest of what was asked.
        digest: Digest,
        /// The stage's result.
        body: Body,
    },
    /// What was known of it is forgotten: it may have run.
    Evicted,
}

/// Why a witness doesn't acknowledge a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A retry elsewhere sealed it.
    Sealed,
    /// Its ticket is too old, and it is sealed now.
    Expired,
    /// Its ticket's generation is forgotten.
    Evicted,
    /// Another attempt or another body was acknowledged under this id.
    Conflict,
    /// The witness has no memory left.
    Full,
}

/// What the outcome parts of hosts say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Home to witness: the request is about to run.
    Prepare {
        /// The request.
        request: Request,
        /// Its ticket.
        ticket: Ticket,
        /// Number of the home's attempt, by which a duplicate is known.
        nonce: u64,
        /// Digest of what is asked.
        digest: Digest,
    },
    /// Witness to home: the request may run.
    Prepared {
        /// The request.
        request: Request,
        /// Number of the home's attempt.
        nonce: u64,
    },
    /// Witness to home: the request may not run.
    Rejected {
        /// The request.
        request: Request,
        /// Number of the home's attempt.
        nonce: u64,
        /// Why.
        reason: Rejection,
    },
    /// To the witness: never acknowledge the request, where that isn't done yet.
    Seal {
        /// The request.
        request: Request,
        /// Its ticket.
        ticket: Ticket,
        /// Digest of what is asked.
        digest: Digest,
    },
    /// To home, witness or keeper: what became of the request?
    Query {
        /// The request.
        request: Request,
        /// Its ticket, where it has one.
        ticket: Option<Ticket>,
        /// Digest of what is asked, where the body is known.
        digest: Option<Digest>,
    },
    /// To the home: a caller asks this elsewhere.
    Forward(Box<Submission>),
    /// What the sender knows of a request.
    Status {
        /// The request.
        request: Request,
        /// What is known.
        status: Status,
    },
    /// To witness or keeper: keep a copy.
    StoreBackup {
        /// The request.
        request: Request,
        /// Its ticket, where it has one.
        ticket: Option<Ticket>,
        /// What is kept.
        backup: Backup,
    },
    /// A copy arrived.
    BackupStored {
        /// The request.
        request: Request,
        /// Which part of it was copied.
        part: Part,
    },
}

/// What is copied to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backup {
    /// What it is worth.
    pub class: Class,
    /// Digest of what was asked.
    pub digest: Digest,
    /// The answer, result or refusal.
    pub content: Content,
}

impl Backup {
    /// Returns which part of the request this is.
    pub fn part(&self) -> Part {
        match &self.content {
            Content::Stage { index, .. } => Part::Stage(*index),
            Content::Whole(_) | Content::Refused(_) => Part::End,
        }
    }
}

/// Part of a request of which a copy is made. A later part replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Part {
    /// The result of a stage.
    Stage(usize),
    /// The end.
    End,
}

impl Message {
    /// Returns the request that the message is about, by which its shard is found.
    pub fn request(&self) -> &Request {
        match self {
            Self::Prepare { request, .. }
            | Self::Prepared { request, .. }
            | Self::Rejected { request, .. }
            | Self::Seal { request, .. }
            | Self::Query { request, .. }
            | Self::Status { request, .. }
            | Self::StoreBackup { request, .. }
            | Self::BackupStored { request, .. } => request,
            Self::Forward(submission) => &submission.request,
        }
    }
}
