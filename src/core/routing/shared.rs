//! What the pools of one host share: rosters, the budget of retries, the times of stages.

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

/// Shared by the pools of one host.
#[derive(Default)]
pub struct Shared {
    budget: Mutex<Budget>,
    buckets: Mutex<Buckets>,
    rosters: Mutex<History>,
    times: Mutex<BTreeMap<Name, Vec<Histogram>>>,
}

impl Shared {
    /// Takes the rosters of a view, also where no pool has calls, so that none is missed.
    pub fn observe(&self, now: Instant, view: &View) {
        self.rosters.lock().observe(now, view);
    }

    /// Reads the rosters.
    pub fn with_rosters<T>(&self, read: impl FnOnce(&History) -> T) -> T {
        read(&self.rosters.lock())
    }

    /// Reads or changes the budget of retries.
    pub fn with_budget<T>(&self, change: impl FnOnce(&mut Budget) -> T) -> T {
        change(&mut self.budget.lock())
    }

    /// Reads or changes the tokens of organisations.
    pub fn with_buckets<T>(&self, change: impl FnOnce(&mut Buckets) -> T) -> T {
        change(&mut self.buckets.lock())
    }

    /// Notes how long a stage took from its offer to its answer, in milliseconds.
    pub fn record_stage_time(&self, now: Instant, pipeline: &Name, stage: usize, ms: u64) {
        let mut times = self.times.lock();
        if !times.contains_key(pipeline) {
            times.insert(pipeline.clone(), Vec::new());
        }
        let stages = times.get_mut(pipeline).expect("just inserted");
        if stages.len() <= stage {
            stages.resize_with(stage + 1, Histogram::new);
        }
        stages[stage].add(now, ms);
    }

    /// Returns the time that the stages after this one need, in milliseconds, as far as known.
    pub fn later_ms(
        &self,
        now: Instant,
        document: &Document,
        pipeline: &Name,
        stage: usize,
    ) -> u64 {
        let Some(described) = document.pipelines.get(pipeline) else {
            return 0;
        };
        if stage + 1 >= described.stages.len() {
            return 0;
        }
        let times = self.times.lock();
        let Some(stages) = times.get(pipeline) else {
            return 0;
        };
        let later = stages.iter().skip(stage + 1);
        later.map(|times| times.median_ms(now)).sum()
    }
}
