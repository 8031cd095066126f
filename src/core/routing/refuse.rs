//! Refusals of a pool, with the values that led to them.
//!
//! A pool refuses only calls that it has never sent, so `NotRun` holds for each of them.

use super::queue::Entry;
use crate::{
    core::refusal::{
        Code,
        Refusal,
        Remedy, //
    },
    names::Name,
    time::Instant,
};

/// Suggested retry delay if no better estimate is known, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// The result of an operation that may refuse a call.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Refuses a call of a pool that isn't in the document.
pub fn unknown_pool(pool: &Name) -> Refusal {
    Refusal::not_run(
        Code::NoServer,
        Remedy::Wait,
        format!("the document in force has no pool {pool}"),
    )
}

/// Refuses a call of a pool whose servers are all drained.
pub fn no_server(pool: &Name) -> Refusal {
    Refusal::not_run(
        Code::NoServer,
        Remedy::Wait,
        format!("all servers of pool {pool} are taken out"),
    )
    .retry_after_ms(RETRY_AFTER_MS)
}

/// Refuses a retry that exceeds the retry budget.
pub fn no_retry_left(attempt: u32) -> Refusal {
    Refusal::not_run(
        Code::Overloaded,
        Remedy::Wait,
        format!("attempt {attempt} would exceed the budget of retries"),
    )
    .retry_after_ms(RETRY_AFTER_MS)
}

/// Refuses a call of an organisation that has reached its limit of requests per second.
pub fn organisation_limit(per_second: u32) -> Refusal {
    Refusal::not_run(
        Code::OrganisationLimit,
        Remedy::Wait,
        format!("the organisation may send {per_second} requests a second"),
    )
    .retry_after_ms(1_000 / u64::from(per_second.max(1)) + 1)
}

/// Refuses a call because the queue is full.
pub fn queue_full(limit: usize) -> Refusal {
    Refusal::not_run(
        Code::Overloaded,
        Remedy::AnotherHost,
        format!("{limit} calls wait already"),
    )
    .retry_after_ms(RETRY_AFTER_MS)
}

/// Refuses a call on admission because it can't meet its deadline.
pub fn deadline_too_close(left_ms: u64, wait_ms: u64, run_ms: u64, later_ms: u64) -> Refusal {
    Refusal::not_run(
        Code::Deadline,
        Remedy::AnotherHost,
        format!(
            "{left_ms} ms are left, but the queue takes {wait_ms} ms, this stage {run_ms} ms \
             and later stages {later_ms} ms"
        ),
    )
    .retry_after_ms(wait_ms.max(1))
}

/// Refuses a call that can't meet its deadline any more after waiting in the queue.
pub fn expired(now: Instant, entry: &Entry, queued: usize, slots: u64) -> Refusal {
    let waited_ms = now.since_ms(entry.offered_at);
    let left_ms = entry.call.deadline.since_ms(now);
    let need_ms = entry.call.deadline.since_ms(entry.send_by);
    Refusal::not_run(
        Code::Deadline,
        Remedy::AnotherHost,
        format!(
            "{left_ms} ms are left after {waited_ms} ms in the queue, but {need_ms} ms are \
             needed; {queued} calls wait for {slots} slots"
        ),
    )
    .retry_after_ms(RETRY_AFTER_MS)
}
