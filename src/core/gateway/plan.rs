//! Plan of the stages of one request: which stages are ready, and which results are still needed.

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

/// Maximum number of pieces of one request, over all stages.
const MAX_PIECES: usize = 512;

/// Input of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The input of the request, by its key.
    Key(Name),
    /// Results of other pieces, by their handles at the servers.
    Results(Vec<Name>),
}

/// Why a request's stages can't be planned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The number of counts differs from the number of stages.
    #[error("{counts} counts of pieces for {stages} stages")]
    Counts {
        /// Counts in the request.
        counts: usize,
        /// Stages of the route.
        stages: usize,
    },
    /// The request has too many pieces.
    #[error("{pieces} pieces, limit {MAX_PIECES}")]
    TooMany {
        /// Pieces in the request.
        pieces: usize,
    },
    /// The dependencies of the stages have a cycle.
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
    /// Creates the plan of a request. `counts` has the number of pieces of each stage, and 0 skips
    /// a stage.
    ///
    /// # Errors
    ///
    /// [`Error`] if the counts or the stages are invalid.
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
            // A stage is listed after its dependencies.
            if stage
                .dependencies
                .iter()
                .any(|&dependency| dependency >= index)
            {
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

    /// Returns the stages that should start now, with their number of pieces and their input.
    ///
    /// A stage starts as late as the longest chain of stages allows, because its results occupy
    /// memory at their server until the request runs. Otherwise a large result that is ready early
    /// occupies it while a chain of other stages runs.
    pub fn take_ready(&mut self) -> Vec<(usize, usize, Input)> {
        let mut ready = Vec::new();
        let unfinished = (0..self.stages.len()).filter(|&index| self.results[index].is_none());
        let longest = unfinished
            .map(|index| self.chain_length(index))
            .max()
            .unwrap_or(0);
        for (index, stage) in self.stages.iter().enumerate() {
            if self.started[index] || self.chain_length(index) < longest {
                continue;
            }
            let results: Option<Vec<&Vec<Name>>> = stage
                .dependencies
                .iter()
                .map(|&dependency| self.results[dependency].as_ref())
                .collect();
            let Some(results) = results else { continue };
            self.started[index] = true;
            let inputs: Vec<Name> = results.into_iter().flatten().cloned().collect();
            let input = if inputs.is_empty() {
                Input::Key(self.key.clone())
            } else {
                Input::Results(inputs)
            };
            ready.push((index, self.counts[index], input));
        }
        ready
    }

    /// Returns the length of the longest chain of stages that depends on a stage.
    fn chain_length(&self, stage: usize) -> usize {
        let dependents = (0..self.stages.len()).filter(|&index| {
            self.counts[index] > 0 && self.stages[index].dependencies.contains(&stage)
        });
        let lengths = dependents.map(|index| 1 + self.chain_length(index));
        lengths.max().unwrap_or(0)
    }

    /// Records the results of all pieces of a stage.
    pub fn finish(&mut self, stage: usize, results: Vec<Name>) {
        self.results[stage] = Some(results);
    }

    /// Returns whether all stages have finished.
    pub fn is_done(&self) -> bool {
        self.results.iter().all(Option::is_some)
    }

    /// Returns the results that the request itself needs: those of stages without dependents.
    pub fn request_inputs(&self) -> Vec<Name> {
        let has_dependents = |index: usize| {
            self.stages
                .iter()
                .any(|stage| stage.dependencies.contains(&index))
        };
        let final_stages = (0..self.stages.len()).filter(|&index| !has_dependents(index));
        final_stages
            .filter_map(|index| self.results[index].as_ref())
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns whether a stage's results can be released: it has dependents, and all of them have
    /// finished.
    pub fn is_consumed(&self, stage: usize) -> bool {
        let mut dependents = (0..self.stages.len())
            .filter(|&index| self.stages[index].dependencies.contains(&stage))
            .peekable();
        dependents.peek().is_some() && dependents.all(|index| self.results[index].is_some())
    }
}

/// Returns the deadline of a request's pieces whose inputs were computed just now and are retained
/// for `retention_ms`. Pieces fail once their inputs expire, so that a longer wait is useless.
pub fn piece_deadline(
    now: Instant,
    deadline: Instant,
    retention_ms: u64,
    remaining_ms: u64,
) -> Instant {
    deadline.min(now.after_ms(retention_ms + remaining_ms))
}

/// Weight of a new measurement in the moving average, in percent.
const NEWEST_PERCENT: u64 = 10;

/// Moving averages of the durations of stages and requests, by service.
#[derive(Debug, Default)]
pub struct Durations(HashMap<Name, u64>);

impl Durations {
    /// Records a measurement, in milliseconds.
    pub fn record(&mut self, service: &Name, ms: u64) {
        let mean = self.0.entry(service.clone()).or_insert(ms);
        *mean = (*mean * (100 - NEWEST_PERCENT) + ms * NEWEST_PERCENT) / 100;
    }

    /// Returns the moving average, or `default_ms` without a measurement.
    pub fn mean_ms(&self, service: &str, default_ms: u64) -> u64 {
        self.0.get(service).copied().unwrap_or(default_ms)
    }

    /// Returns the expected duration of all stages of a request, in milliseconds.
    pub fn all_stages_ms(&self, stages: &[Stage], config: &Config) -> u64 {
        let roots = (0..stages.len()).filter(|&index| stages[index].dependencies.is_empty());
        let chains = roots.map(|index| {
            self.stage_ms(&stages[index], config) + self.remaining_ms(stages, index, config)
        });
        chains.max().unwrap_or(0)
    }

    /// Returns the expected duration of a stage, in milliseconds.
    fn stage_ms(&self, stage: &Stage, config: &Config) -> u64 {
        let service = config.services.get(&stage.service);
        let default_ms = match service.map(|service| service.role) {
            Some(Role::Stages(stages)) => stages.call_ms * 1.5,
            _ => 0.0,
        };
        self.mean_ms(&stage.service, default_ms as u64)
    }

    /// Returns the expected duration of the stages that follow one, in milliseconds.
    ///
    /// In a burst each stage takes longer than usual. With measured durations, a request that can't
    /// meet its deadline is detected at its first stage and not at its last.
    pub fn remaining_ms(&self, stages: &[Stage], stage: usize, config: &Config) -> u64 {
        let dependents = stages.iter().enumerate();
        let dependents = dependents.filter(|(_, other)| other.dependencies.contains(&stage));
        let time = |(index, other): (usize, &Stage)| {
            self.stage_ms(other, config) + self.remaining_ms(stages, index, config)
        };
        dependents.map(time).max().unwrap_or(0)
    }
}
