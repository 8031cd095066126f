//! The budget of retries, which a failing pool can't multiply.

use std::collections::BTreeMap;

use crate::names::Name;

/// Cost of one retry, so that a call earns its percentage in whole numbers.
const RETRY_COST: u32 = 100;

/// Most retries that are saved up for one stage.
const SAVED_RETRIES: u32 = 10;

/// Retries of one organisation that it may take before it has earned them.
const FIRST_RETRIES: u32 = 2;

/// Number of organisations that are told apart, before all buckets start anew.
const ORGANISATIONS: usize = 16_384;

/// Tokens for retries by stage of a pipeline, and by organisation.
#[derive(Default)]
pub struct Budget {
    stages: BTreeMap<Name, Vec<u32>>,
    organisations: BTreeMap<Name, u32>,
}

impl Budget {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn earn(&mut self, pipeline: &Name, stage: usize, organisation: &Name, percent: u32) {
        let saved = self.stage(pipeline, stage);
        *saved = (*saved + percent).min(SAVED_RETRIES * RETRY_COST);
        // Organisations without failures stay out of the table.
        if let Some(saved) = self.organisations.get_mut(organisation) {
            *saved = (*saved + percent).min(SAVED_RETRIES * RETRY_COST);
        }
    }

    /// Takes one retry, where both the stage and the organisation have one left.
    pub fn take(&mut self, pipeline: &Name, stage: usize, organisation: &Name) -> bool {
        if *self.stage(pipeline, stage) < RETRY_COST {
            return false;
        }
        if self.organisations.len() >= ORGANISATIONS {
            self.organisations.clear();
        }
        let saved = self
            .organisations
            .entry(organisation.clone())
            .or_insert(FIRST_RETRIES * RETRY_COST);
        if *saved < RETRY_COST {
            return false;
        }
        *saved -= RETRY_COST;
        *self.stage(pipeline, stage) -= RETRY_COST;
        true
    }

    fn stage(&mut self, pipeline: &Name, stage: usize) -> &mut u32 {
        if !self.stages.contains_key(pipeline) {
            self.stages.insert(pipeline.clone(), Vec::new());
        }
        let stages = self.stages.get_mut(pipeline).expect("just inserted");
        if stages.len() <= stage {
            stages.resize(stage + 1, 0);
        }
        &mut stages[stage]
    }
}
