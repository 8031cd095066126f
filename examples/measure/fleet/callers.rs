//! Requests of callers, and what became of them.

use teaselchute::{
    core::{
        call,
        document::Document, //
    },
    names::Name,
    time::Instant,
};

use crate::driver::Process;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It runs or waits.
    Open,
    /// It was answered.
    Answered(Instant),
    /// It was refused.
    Refused,
    /// It failed, or its caller hung up at the deadline.
    Failed,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Who asks.
    pub organisation: Name,
    /// Pipeline or service.
    pub subject: Name,
    /// Pools of its stages.
    pub pools: Vec<usize>,
    /// Priority.
    pub priority: u8,
    /// The host that it came to.
    pub host: Process,
    /// When it came.
    pub at: Instant,
    /// When it is due.
    pub deadline: Instant,
    /// Whether a late answer is wanted.
    pub late: bool,
    /// Its current stage.
    pub stage: usize,
    /// Attempts of the stage before the current one.
    pub attempt: u32,
    /// Servers that failed the stage.
    pub avoid: Vec<Name>,
    /// The call that runs or waits.
    pub call: Option<call::Id>,
    /// What became of it.
    pub outcome: Outcome,
}

impl Request {
    /// Returns whether it was answered in time.
    pub fn in_time(&self) -> bool {
        matches!(self.outcome, Outcome::Answered(at) if at <= self.deadline)
    }

    /// Returns whether it goes through the language models.
    pub fn is_pipeline(&self, document: &Document) -> bool {
        document.pipelines.contains_key(&self.subject)
    }
}

/// Counts of requests: all, and those answered in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ratio {
    /// Requests.
    pub all: u64,
    /// Requests that were answered in time.
    pub good: u64,
}

impl Ratio {
    /// Adds one request.
    pub fn add(&mut self, good: bool) {
        self.all += 1;
        self.good += u64::from(good);
    }

    /// Returns the part that is good.
    pub fn part(&self) -> f64 {
        self.good as f64 / self.all.max(1) as f64
    }
}
