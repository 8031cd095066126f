//! Retry budget, which bounds the extra load from retries while a pool fails.
//!
//! A retry takes credit from three accounts: that of the host, of the stage and of the
//! organisation.

use std::collections::BTreeMap;

use crate::names::Name;

/// Credit that one retry takes: 100, so that each call earns a percentage of a retry as an integer.
const CREDIT_PER_RETRY: u32 = 100;

/// Maximum number of retries that an account can save up.
const MAX_SAVED_RETRIES: u32 = 20;

/// Factor by which a stage or an organisation earns faster than the host, so that it may use more
/// than its proportional part of the host's retries.
const CONCENTRATION_FACTOR: u32 = 10;

/// Retries that an organisation may take before it has earned any.
const INITIAL_RETRIES: u32 = 2;

/// Number of organisations with an account at which all accounts of organisations are reset.
const MAX_ORGANISATIONS: usize = 16_384;

/// Retry credit of one host.
#[derive(Default)]
pub struct Budget {
    host: u32,
    stages: BTreeMap<Name, Vec<u32>>,
    organisations: BTreeMap<Name, u32>,
}

impl Budget {
    /// Adds the credit that a first attempt earns: a fraction of a retry.
    pub fn earn(&mut self, pipeline: &Name, stage: usize, organisation: &Name, percent: u32) {
        earn(&mut self.host, percent);
        let percent = percent * CONCENTRATION_FACTOR;
        earn(self.stage_credit(pipeline, stage), percent);
        // Organisations that never retried have no entry, which keeps the table small.
        if let Some(credit) = self.organisations.get_mut(organisation) {
            earn(credit, percent);
        }
    }

    /// Takes one retry if the host, the stage and the organisation each have credit for it.
    pub fn take(&mut self, pipeline: &Name, stage: usize, organisation: &Name) -> bool {
        if self.host < CREDIT_PER_RETRY || *self.stage_credit(pipeline, stage) < CREDIT_PER_RETRY {
            return false;
        }
        if self.organisations.len() >= MAX_ORGANISATIONS {
            self.organisations.clear();
        }
        let credit = self
            .organisations
            .entry(organisation.clone())
            .or_insert(INITIAL_RETRIES * CREDIT_PER_RETRY);
        if *credit < CREDIT_PER_RETRY {
            return false;
        }
        *credit -= CREDIT_PER_RETRY;
        *self.stage_credit(pipeline, stage) -= CREDIT_PER_RETRY;
        self.host -= CREDIT_PER_RETRY;
        true
    }

    fn stage_credit(&mut self, pipeline: &Name, stage: usize) -> &mut u32 {
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

fn earn(credit: &mut u32, percent: u32) {
    *credit = (*credit + percent).min(MAX_SAVED_RETRIES * CREDIT_PER_RETRY);
}
