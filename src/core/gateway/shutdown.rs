//! Schedule of a planned stop: until when a host starts requests, answers them, and runs.
//!
//! A host that stops knows when its process ends. A request that can't be finished by then is refused while there is
//! time to write the refusal, so that its caller can go to another host instead of losing its connection.

use crate::time::Instant;

/// Time before SIGKILL at which the process exits by itself, in milliseconds.
const EXIT_MARGIN_MS: u64 = 350;

/// Time in which the last answers are written, in milliseconds. A burst of them takes a small share of a core a while.
const WRITE_MS: u64 = 500;

/// Largest part of the grace period that the last answers take, as a divisor. Keeps short grace periods usable.
const MIN_WRITE_DIVISOR: u64 = 16;

/// Duration of a long answer, as a multiple of the mean one.
const LONG_ANSWER_FACTOR: u64 = 2;

/// What a request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Its stages, or a server that takes it.
    Server {
        /// Expected time until its stages have finished, in milliseconds.
        stages_ms: u64,
        /// Mean time of an answer after that, in milliseconds.
        answer_ms: u64,
    },
    /// The answer of a server that may be working on it.
    Answer,
}

/// When a host that got SIGTERM does what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    since: Instant,
    answer_at: Instant,
    exit_at: Instant,
}

impl Schedule {
    /// Plans a stop that began at `since` and ends with SIGKILL after `grace_ms`.
    pub fn new(since: Instant, grace_ms: u64) -> Self {
        let exit_at = since.after_ms(grace_ms.saturating_sub(EXIT_MARGIN_MS));
        let write_ms = WRITE_MS.min(grace_ms / MIN_WRITE_DIVISOR);
        let answer_at = exit_at.before_ms(write_ms).max(since);
        Self {
            since,
            answer_at,
            exit_at,
        }
    }

    /// Returns the time for which the host has been stopping, in milliseconds.
    pub fn elapsed_ms(&self, now: Instant) -> u64 {
        now.since_ms(self.since)
    }

    /// Returns when the process exits, whatever is still running.
    pub fn exit_at(&self) -> Instant {
        self.exit_at
    }

    /// Returns when a request without a response is given up. One that still waits is given up once a long answer
    /// would not be complete in time: it is of more use to its caller to go to another host then.
    pub fn give_up_at(&self, wait: Wait) -> Instant {
        match wait {
            Wait::Answer => self.answer_at,
            Wait::Server {
                stages_ms,
                answer_ms,
            } => {
                let needed_ms =
                    stages_ms.saturating_add(answer_ms.saturating_mul(LONG_ANSWER_FACTOR));
                self.answer_at.before_ms(needed_ms)
            }
        }
    }
}
