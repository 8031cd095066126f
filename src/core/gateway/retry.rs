//! Retry decisions after an attempt of a request at a server.

use super::config::Kind;

/// Outcome of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was not sent.
    NotSent,
    /// The server states that it did not run the request.
    NotRun,
    /// The server sent a complete answer with this status.
    Answered(u16),
    /// The request was sent, and no complete answer of the server arrived. It may have run.
    Lost,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pass the server's answer on to the caller.
    Deliver,
    /// Try another server, if attempts, time and retry budget are left.
    Retry,
    /// Answer that the request did not run.
    Refuse,
    /// Answer that the request failed and may have run.
    Fail,
}

/// Statuses that guarantee to callers that a request has not run. An answer of a server with such a
/// status, but without its own statement that the request did not run, isn't passed on.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns the action after an attempt.
///
/// `may_have_run` states whether an earlier attempt may have run. Then the request is never refused
/// as not run, and it is not sent again unless it is repeatable.
pub fn decide(kind: Kind, outcome: Outcome, may_have_run: bool) -> Action {
    match outcome {
        Outcome::Answered(status) if NOT_RUN_STATUSES.contains(&status) => after_loss(kind),
        Outcome::Answered(status) if status >= 500 && kind == Kind::Safe => Action::Retry,
        Outcome::Answered(_) => Action::Deliver,
        Outcome::NotSent | Outcome::NotRun if may_have_run && !kind.is_repeatable() => Action::Fail,
        Outcome::NotSent | Outcome::NotRun => Action::Retry,
        Outcome::Lost => after_loss(kind),
    }
}

/// Returns whether a request that a server turned away may be sent to it again, such as after a pause.
///
/// The answer names the request, not the attempt. A late copy of the first refusal can't be told from the answer to a
/// second attempt, which runs then, so a request that must run only once is turned away by a server only once.
pub fn may_return(kind: Kind) -> bool {
    kind.is_repeatable()
}

fn after_loss(kind: Kind) -> Action {
    if kind.is_repeatable() {
        Action::Retry
    } else {
        Action::Fail
    }
}

/// Returns the action for a request that can't be retried.
pub fn exhausted(may_have_run: bool) -> Action {
    if may_have_run {
        Action::Fail
    } else {
        Action::Refuse
    }
}
