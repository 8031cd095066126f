//! Execution of requests: stages in order, at-most-once semantics for non-idempotent requests, and
//! stored answers.
//!
//! Only its home, which a [`Ticket`] names, runs a non-idempotent request, and only after the
//! ticket's witness acknowledged it. A backup host stores copies of finished answers and stage
//! results. How this works without a lease: see `docs/outcome-design.md`.

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

/// A caller that waits on this host, identified by the shell's number of its open exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Pipeline or service that a request runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// The pipeline of this name.
    Pipeline(Name),
    /// The service of this name.
    Service(Name),
}

/// A parsed and authorised request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Identity of the request.
    pub request: Request,
    /// Pipeline or service to run.
    pub subject: Subject,
    /// Requested priority, which can't be more urgent than that of the organisation's binding.
    pub priority: Option<u8>,
    /// Requested deadline, in milliseconds from now.
    pub deadline_ms: Option<u64>,
    /// Ticket, required if the subject isn't idempotent.
    pub ticket: Option<Ticket>,
    /// Hash of the prompt's prefix, 0 if there is none.
    pub prefix_hash: u64,
    /// Number of pieces of the answer that the caller already has.
    pub resume_from: u64,
    /// Whether the caller sent this request before, to this or another host. If so, other hosts are
    /// queried for a stored answer or stage result of the earlier attempt.
    pub retried: bool,
    /// Body of the request.
    pub body: Body,
}

/// Input of the [coordinator](coordinator::Coordinator).
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submitted a request.
    Submit {
        /// The caller that waits for the answer.
        caller: Caller,
        /// The request.
        submission: Box<Submission>,
    },
    /// A caller asks for the answer to a request by its id.
    Fetch {
        /// The caller that waits for the answer.
        caller: Caller,
        /// The request.
        request: Request,
        /// Ticket under which the request was sent, if the caller has it.
        ticket: Option<Ticket>,
        /// Number of pieces of the answer that the caller already has.
        resume_from: u64,
    },
    /// A caller closed its connection.
    CallerDisconnected(Caller),
    /// The pool refused a call.
    Refused {
        /// The call.
        call: call::Id,
        /// Why the pool refused the call.
        refusal: Refusal,
    },
    /// A piece of a streamed answer arrived from the server.
    Piece {
        /// The call.
        call: call::Id,
        /// Index of the piece in the whole answer, from 0.
        index: u64,
        /// Content of the piece.
        piece: Body,
    },
    /// A call ended.
    Ended {
        /// The call.
        call: call::Id,
        /// The server to which the call was assigned.
        server: Name,
        /// How the call ended.
        end: Completion,
    },
    /// A message arrived from the coordinator of another host.
    Message {
        /// The sender.
        from: host::Id,
        /// The message.
        message: Message,
    },
    /// Time passed or the view changed.
    Tick,
}

/// Output of the [coordinator](coordinator::Coordinator).
#[derive(Clone, Debug)]
pub enum Action {
    /// Hand a call to its pool for dispatch.
    Offer(Call),
    /// Cancel a call.
    Cancel {
        /// The call.
        call: call::Id,
        /// Pool of the call.
        pool: Name,
    },
    /// Send a piece of the answer to a caller.
    Piece {
        /// The recipient.
        caller: Caller,
        /// Index of the piece in the whole answer, from 0.
        index: u64,
        /// Content of the piece.
        piece: Body,
    },
    /// Send the whole answer to a caller, or end its stream.
    Answer {
        /// The recipient.
        caller: Caller,
        /// The request, by which the caller can verify that the answer is its own.
        request: Request,
        /// The answer. For a streamed answer these are the joined pieces.
        body: Body,
    },
    /// Tell a caller that its request is refused.
    Refuse {
        /// The recipient.
        caller: Caller,
        /// The request.
        request: Request,
        /// Reason and remedy.
        refusal: Refusal,
    },
    /// Send a message to the coordinator of another host.
    Send {
        /// The recipient.
        to: host::Id,
        /// The message.
        message: Message,
    },
    /// Log a decision.
    Decide(Decision),
}

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran, with this whole answer.
    Answered(Answer),
    /// The request ran, but its answer is no longer stored.
    AnswerDropped,
    /// The request was refused. The refusal says whether it may have run.
    Refused(Refusal),
}

/// What a host knows about a request, as the reply to another host's query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// No record exists, which doesn't rule out that the request ran.
    Unknown,
    /// The witness will never acknowledge the request, so it never runs.
    Sealed,
    /// The witness acknowledged the request, so it may have run.
    Prepared,
    /// The home runs the request or is about to.
    Running,
    /// The request ended.
    Ended(Box<Outcome>),
    /// A stage of the request is finished and its result is stored.
    Stage {
        /// Index of the stage.
        index: usize,
        /// Digest of the request's subject and body.
        digest: Digest,
        /// Result of the stage.
        body: Body,
    },
    /// Records of the ticket's generation were evicted, so the request may have run.
    Evicted,
}

/// Why a witness rejects a request instead of acknowledging it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// A retry at another host sealed the request.
    Sealed,
    /// The ticket is too old to start a request, which is now sealed.
    Expired,
    /// Records of the ticket's generation were evicted.
    Evicted,
    /// Another attempt or another body was already acknowledged under this id.
    Conflict,
    /// The witness has no room for another record.
    Full,
}

/// Message between the coordinators of two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Home to witness: the request is about to run.
    Prepare {
        /// The request.
        request: Request,
        /// Ticket of the request.
        ticket: Ticket,
        /// Number of the home's attempt, by which the witness recognises duplicates.
        nonce: u64,
        /// Digest of the request's subject and body.
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
        /// Why the witness rejects it.
        reason: Rejection,
    },
    /// To the witness: never acknowledge the request, unless it already is.
    Seal {
        /// The request.
        request: Request,
        /// Ticket of the request.
        ticket: Ticket,
        /// Digest of the request's subject and body.
        digest: Digest,
    },
    /// To home, witness or backup host: asks for the status of the request.
    Query {
        /// The request.
        request: Request,
        /// Ticket of the request, if it has one.
        ticket: Option<Ticket>,
        /// Digest of the request's subject and body, if the sender knows the body.
        digest: Option<Digest>,
    },
    /// To the home: a request that a caller submitted to the sender.
    Forward(Box<Submission>),
    /// Reply to a query, seal or forwarded request.
    Status {
        /// The request.
        request: Request,
        /// What the sender knows about it.
        status: Status,
    },
    /// To witness or backup host: store a backup.
    StoreBackup {
        /// The request.
        request: Request,
        /// Ticket of the request, if it has one.
        ticket: Option<Ticket>,
        /// The backup.
        backup: Backup,
    },
    /// Acknowledgement of a stored backup.
    BackupStored {
        /// The request.
        request: Request,
        /// Part of the request that was stored.
        part: Part,
    },
}

/// Copy of a finished answer, stage result or refusal, stored on another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backup {
    /// Class of the content, which decides how early it is dropped.
    pub class: Class,
    /// Digest of the request's subject and body.
    pub digest: Digest,
    /// The answer, stage result or refusal.
    pub content: Content,
}

impl Backup {
    /// Returns which part of the request the backup holds.
    pub fn part(&self) -> Part {
        match &self.content {
            Content::Stage { index, .. } => Part::Stage(*index),
            Content::Answer(_) | Content::Refused(_) => Part::End,
        }
    }
}

/// Part of a request that a backup holds. A later part replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Part {
    /// Result of the stage with this index.
    Stage(usize),
    /// Final answer or refusal.
    End,
}

impl Message {
    /// Returns the request that the message is about, which determines the shard.
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
