//! Refusals: what a caller is told when its request is not answered, and what helps.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Whether any of the request's work was done or may still be done under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Nothing ran, and nothing ever will under this id.
    NotRun,
    /// The work may have run, or may be running still.
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
    /// Nothing helps.
    None,
}

/// Stable codes of refusals, listed for callers in `docs/refusals.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request can't be parsed.
    BadRequest,
    /// The request is larger than the limit.
    TooLarge,
    /// The named pipeline, service, call or request isn't known.
    Unknown,
    /// The organisation's credential is missing or wrong, or it may not use this.
    Forbidden,
    /// The organisation has used its limit.
    OrganisationLimit,
    /// The deadline can't be met.
    Deadline,
    /// No backend server has room.
    Overloaded,
    /// No backend server can be used now.
    NoServer,
    /// The host's news is too old for new work.
    StaleNews,
    /// The host doesn't serve yet.
    Starting,
    /// The host is leaving.
    Leaving,
    /// A non-idempotent request came without a valid ticket.
    TicketRequired,
    /// The witness can't be reached, so nothing was started.
    WitnessUnreachable,
    /// The id was sealed by a retry elsewhere.
    Sealed,
    /// The id was used before with another body.
    IdReused,
    /// The backend server failed.
    ServerFailed,
    /// The backend server's answer was lost.
    AnswerLost,
    /// The answer was kept once and has been dropped.
    AnswerDropped,
    /// The caller cancelled the request.
    Cancelled,
}

/// Why a request is not answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether work was done.
    pub run: Execution,
    /// Stable code.
    pub code: Code,
    /// What helps.
    pub remedy: Remedy,
    /// A sentence with the values that decided.
    pub detail: Name,
    /// How long to wait where waiting helps, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Makes a refusal of a request of which nothing ran and nothing will.
    pub fn not_run(code: Code, remedy: Remedy, detail: impl Into<Name>) -> Self {
        Self {
            run: Execution::NotRun,
            code,
            remedy,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn may_have_run(code: Code, remedy: Remedy, detail: impl Into<Name>) -> Self {
        Self {
            run: Execution::MayHaveRun,
            code,
            remedy,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Adds the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
