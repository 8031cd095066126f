//! Refusals: the error answers to callers, with a stable code and a remedy.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Whether a refused request ran, or may still run under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It didn't run, and never will under this id.
    NotRun,
    /// It may have run, or may still be running.
    MayHaveRun,
}

/// What the caller can do about a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Remedy {
    /// The same request may succeed after a wait.
    Wait,
    /// The same request may succeed at another entry host.
    AnotherHost,
    /// The request may succeed under a new id, with a new ticket.
    NewId,
    /// The request has to be changed first.
    ChangeRequest,
    /// There is no remedy.
    None,
}

/// Stable codes of refusals, listed for callers in `docs/refusals.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The request is larger than the limit.
    TooLarge,
    /// The pipeline, service, call or request is unknown.
    Unknown,
    /// The credential is missing or wrong, or the organisation has no access to this.
    Forbidden,
    /// The organisation has exceeded its rate limit.
    OrganisationLimit,
    /// The deadline can't be met.
    Deadline,
    /// All backend servers are at their limits.
    Overloaded,
    /// No backend server is available.
    NoServer,
    /// The state of the host is too stale to accept new requests.
    StaleNews,
    /// The host is starting and doesn't serve yet.
    Starting,
    /// The host is shutting down.
    Leaving,
    /// A non-idempotent request came without a valid ticket.
    TicketRequired,
    /// The witness is unreachable, so the request was not started.
    WitnessUnreachable,
    /// The id was sealed by a retry elsewhere.
    Sealed,
    /// The id was already used with another body.
    IdReused,
    /// The backend server failed.
    ServerFailed,
    /// The backend server's answer was lost.
    AnswerLost,
    /// The answer was stored and has been evicted.
    AnswerDropped,
    /// The caller cancelled the request.
    Cancelled,
}

/// An error answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request ran.
    pub run: Execution,
    /// Stable code.
    pub code: Code,
    /// What the caller can do.
    pub remedy: Remedy,
    /// A sentence with the values behind the decision.
    pub detail: Name,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that didn't run and never will.
    pub fn not_run(code: Code, remedy: Remedy, detail: impl Into<Name>) -> Self {
        Self {
            run: Execution::NotRun,
            code,
            remedy,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(code: Code, remedy: Remedy, detail: impl Into<Name>) -> Self {
        Self {
            run: Execution::MayHaveRun,
            code,
            remedy,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
