//! Judgement of a version by its answers, compared with those of the other versions.

use super::evidence::Evidence;
use crate::names::Name;

/// Number of known bad answers of the target at which a host stops by itself. Callers tolerate 50 before
/// the time of the rollback starts.
pub const STOP_BAD: u64 = 40;

/// How often a verdict is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// Again and again while answers arrive.
    Repeated,
    /// Once, at the end of the time for trials, when a version is promoted unless it is bad.
    Last,
}

/// Numbers of answers of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All answers.
    pub answers: u64,
    /// Those that failed or were slow.
    pub bad: u64,
}

/// A significant difference between versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Route of the answers, `None` for all routes together.
    pub route: Option<Name>,
    /// Answers of the target.
    pub target: Count,
    /// Answers of other versions of the same time.
    pub others: Count,
    /// Probability of a difference that is as large or larger if the versions are alike.
    pub probability: f64,
}

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// More of its answers are failures.
    Failures(Difference),
    /// More of its answers are slow.
    Latency(Difference),
}

/// Judgement of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There is no significant difference, and there are too few answers to exclude one.
    Undecided {
        /// Number of answers of the target.
        answers: u64,
        /// Number of those that aren't failures.
        good: u64,
    },
    /// A bad version would have shown.
    Sound,
    /// The version is bad.
    Bad(Reason),
}

/// Judges the target of an order.
pub fn judge(evidence: &Evidence, look: Look) -> Verdict {
    _ = (evidence, look);
    Verdict::Undecided {
        answers: 0,
        good: 0,
    }
}

/// Returns why a host must stop requests to the target without waiting for the decider, if it must.
pub fn must_stop(evidence: &Evidence) -> Option<Reason> {
    _ = evidence;
    None
}
