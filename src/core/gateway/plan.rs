//! The stages of one request: which pieces can run, and whose results the request needs.

use std::collections::HashMap;

use super::config::{
    Config,
    Role,
    Stage, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Most pieces of one request, over all stages.
const MAX_PIECES: usize = 512;

/// What a piece works on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request's own input, by its key.
    Key(Name),
    /// Results of other pieces, by their handles.
    Results(Vec<Name>),
}

/// Why a request's stages can't be planned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The counts of pieces don't fit the stages.
    #[error("{counts} counts of pieces for {stages} stages")]
    Counts {
        /// Counts that came.
        counts: usize,
        /// Stages of the route.
        stages: usize,
    },
    /// There are more pieces than the limit.
    #[error("{pieces} pieces, limit {MAX_PIECES}")]
    TooMany {
        /// Pieces asked for.
        pieces: usize,
    },
    /// A stage has to wait for itself.
    #[error("stages wait for each other")]
    Cycle,
}

/// Progress of the stages of one request.
#[derive(Debug)]
pub struct Plan {
    stages: Vec<Stage>,
    counts: Vec<usize>,
    key: Name,
    results: Vec<Option<Vec<Name>>>,
    started: Vec<bool>,
}

impl Plan {
    /// Makes a plan for a request with so many pieces in each stage. 0 leaves a stage out.
    ///
    /// # Errors
    ///
    /// [`Error`] where the counts don't fit.
    pub fn new(stages: &[Stage], counts: &[usize], key: Name) -> Result<Self, Error> {
        if counts.len() != stages.len() {
            return Err(Error::Counts {
                counts: counts.len(),
                stages: stages.len(),
            });
        }
        let pieces = counts
            .iter()
            .fold(0, |sum: usize, &n| sum.saturating_add(n));
        if pieces > MAX_PIECES {
            return Err(Error::TooMany { pieces });
        }
        for (index, stage) in stages.iter().enumerate() {
            // Stages are listed after those that they need.
            if stage.dependencies.iter().any(|&before| before >= index) {
                return Err(Error::Cycle);
            }
        }
        Ok(Self {
            stages: stages.to_vec(),
            counts: counts.to_vec(),
            key,
            results: counts
                .iter()
                .map(|&n| if n == 0 { Some(Vec::new()) } else { None })
                .collect(),
            started: counts.iter().map(|&n| n == 0).collect(),
        })
    }

    /// Returns the stages that should start now, with what their pieces work on.
    ///
    /// A stage starts no earlier than it has to, since its results take room at their server until
    /// the request runs. The load pattern: a large result that is made at once, and lies there while
    /// a chain of other stages goes on.
    pub fn take_ready(&mut self) -> Vec<(usize, usize, Input)> {
        let mut ready = Vec::new();
        let left = (0..self.stages.len()).filter(|&index| self.results[index].is_none());
        let longest = left.map(|index| self.steps_after(index)).max().unwrap_or(0);
        for (index, stage) in self.stages.iter().enumerate() {
            if self.started[index] || self.steps_after(index) < longest {
                continue;
            }
            let before: Option<Vec<&Vec<Name>>> = stage
                .dependencies
                .iter()
                .map(|&before| self.results[before].as_ref())
                .collect();
            let Some(before) = before else { continue };
            self.started[index] = true;
            let inputs: Vec<Name> = before.into_iter().flatten().cloned().collect();
            let input = if inputs.is_empty() {
                Input::Key(self.key.clone())
            } else {
                Input::Results(inputs)
            };
            ready.push((index, self.counts[index], input));
        }
        ready
    }

    /// Returns the number of stages that follow one after the other.
    fn steps_after(&self, stage: usize) -> usize {
        let following = (0..self.stages.len()).filter(|&index| {
            self.counts[index] > 0 && self.stages[index].dependencies.contains(&stage)
        });
        let steps = following.map(|index| 1 + self.steps_after(index));
        steps.max().unwrap_or(0)
    }

    /// Takes the results of all pieces of a stage.
    pub fn finish(&mut self, stage: usize, results: Vec<Name>) {
        self.results[stage] = Some(results);
    }

    /// Returns whether all stages are done.
    pub fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Returns the results that the request itself needs: those that no other stage took.
    pub fn request_inputs(&self) -> Vec<Name> {
        let is_needed = |index: usize| {
            self.stages
                .iter()
                .any(|stage| stage.dependencies.contains(&index))
        };
        let last = (0..self.stages.len()).filter(|&index| !is_needed(index));
        last.filter_map(|index| self.results[index].as_ref())
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns whether nothing needs a stage's results any more: other stages took them, and those
    /// are done.
    pub fn is_consumed(&self, stage: usize) -> bool {
        let mut takers = (0..self.stages.len())
            .filter(|&index| self.stages[index].dependencies.contains(&stage))
            .peekable();
        takers.peek().is_some() && takers.all(|index| self.results[index].is_some())
    }
}

/// Returns until when pieces of use can be run whose inputs were made just now and are kept for
/// `keep_ms`. Once their inputs are gone they fail, so nobody should wait for them longer.
pub fn piece_deadline(now: Instant, deadline: Instant, keep_ms: u64, after_ms: u64) -> Instant {
    deadline.min(now.after_ms(keep_ms + after_ms))
}

/// Part of its time that a new measurement replaces in a mean, in percent.
const NEW_PERCENT: u64 = 10;

/// How long stages and requests lately took, by service.
#[derive(Debug, Default)]
pub struct Durations(HashMap<Name, u64>);

impl Durations {
    /// Takes a measurement, in milliseconds.
    pub fn record(&mut self, service: &Name, ms: u64) {
        let mean = self.0.entry(service.clone()).or_insert(ms);
        *mean = (*mean * (100 - NEW_PERCENT) + ms * NEW_PERCENT) / 100;
    }

    /// Returns the mean of late, or `usual_ms` where nothing was measured.
    pub fn mean_ms(&self, service: &str, usual_ms: u64) -> u64 {
        self.0.get(service).copied().unwrap_or(usual_ms)
    }

    /// Returns the time that stages after one take, in milliseconds.
    ///
    /// The load pattern: a burst under which each stage takes longer than usual. A request that won't
    /// be in time is known as such at its first stage, not at its last.
    pub fn remaining_ms(&self, stages: &[Stage], stage: usize, config: &Config) -> u64 {
        let following = stages.iter().enumerate();
        let following = following.filter(|(_, other)| other.dependencies.contains(&stage));
        let time = |(index, other): (usize, &Stage)| {
            let usual_ms = match config
                .services
                .get(&other.service)
                .map(|service| service.role)
            {
                Some(Role::Stages(stages)) => stages.call_ms * 1.5,
                _ => 0.0,
            };
            self.mean_ms(&other.service, usual_ms as u64) + self.remaining_ms(stages, index, config)
        };
        following.map(time).max().unwrap_or(0)
    }
}
