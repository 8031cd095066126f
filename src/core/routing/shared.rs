//! State shared by the pools of one host: rosters, retry budget, token buckets and stage durations.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use super::{
    budget::Budget,
    histogram::Histogram,
    rate::Buckets,
    roster::History, //
};
use crate::{
    core::{
        document::Document,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// State shared by the pools of one host.
#[derive(Default)]
pub struct Shared {
    budget: Mutex<Budget>,
    buckets: Mutex<Buckets>,
    rosters: Mutex<History>,
    stage_durations: Mutex<BTreeMap<Name, Vec<Histogram>>>,
}

impl Shared {
    /// Updates the rosters from a view. It has to be called even if no pool has calls, so that no
    /// roster is missed.
    pub fn observe(&self, now: Instant, view: &View) {
        self.rosters.lock().observe(now, view);
    }

    /// Calls a function with the rosters.
    pub fn with_rosters<T>(&self, read: impl FnOnce(&History) -> T) -> T {
        read(&self.rosters.lock())
    }

    /// Calls a function with the retry budget.
    pub fn with_budget<T>(&self, change: impl FnOnce(&mut Budget) -> T) -> T {
        change(&mut self.budget.lock())
    }

    /// Calls a function with the token buckets of organisations.
    pub fn with_buckets<T>(&self, change: impl FnOnce(&mut Buckets) -> T) -> T {
        change(&mut self.buckets.lock())
    }

    /// Records the duration of a stage from its offer to its answer, in milliseconds.
    pub fn record_stage_duration(&self, now: Instant, pipeline: &Name, stage: usize, ms: u64) {
        let mut histograms = self.stage_durations.lock();
        if !histograms.contains_key(pipeline) {
            histograms.insert(pipeline.clone(), Vec::new());
        }
        let stages = histograms.get_mut(pipeline).expect("just inserted");
        if stages.len() <= stage {
            stages.resize_with(stage + 1, Histogram::new);
        }
        stages[stage].add(now, ms);
    }

    /// Estimates the duration of the stages after this one, in milliseconds. Stages without data
    /// count as 0.
    pub fn later_stages_ms(
        &self,
        now: Instant,
        document: &Document,
        pipeline: &Name,
        stage: usize,
    ) -> u64 {
        let Some(definition) = document.pipelines.get(pipeline) else {
            return 0;
        };
        if stage + 1 >= definition.stages.len() {
            return 0;
        }
        let histograms = self.stage_durations.lock();
        let Some(stages) = histograms.get(pipeline) else {
            return 0;
        };
        let later = stages.iter().skip(stage + 1);
        later.map(|histogram| histogram.median_ms(now)).sum()
    }
}
