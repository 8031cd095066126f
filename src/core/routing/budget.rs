//! The budget of retries, which a failing pool can't multiply.
//!
//! A retry is paid from three accounts: of the whole host, of the stage and of the organisation.

use std::collections::BTreeMap;

use crate::names::Name;

/// Cost of one retry, so that a call earns its percentage in whole numbers.
const CREDIT_PER_RETRY: u32 = 100;

/// Most retries that are saved up in one account.
const MAX_SAVED_RETRIES: u32 = 20;

/// How many times its part of the host's retries a single stage or organisation may use.
const CONCENTRATION_FACTOR: u32 = 10;

/// Retries of one organisation that it may take before it has earned them.
const INITIAL_RETRIES: u32 = 2;

/// Number of organisations that are told apart, before all accounts start anew.
const MAX_ORGANISATIONS: usize = 16_384;

/// Tokens for retries of one host.
#[derive(Default)]
pub struct Budget {
    host: u32,
    stages: BTreeMap<Name, Vec<u32>>,
    organisations: BTreeMap<Name, u32>,
}

impl Budget {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn earn(&mut self, pipeline: &Name, stage: usize, organisation: &Name, percent: u32) {
        earn(&mut self.host, percent);
        let percent = percent * CONCENTRATION_FACTOR;
        earn(self.stage(pipeline, stage), percent);
        // Organisations without failures stay out of the table.
        if let Some(credit) = self.organisations.get_mut(organisation) {
            earn(credit, percent);
        }
    }

    /// Takes one retry, where the host, the stage and the organisation have one left.
    pub fn take(&mut self, pipeline: &Name, stage: usize, organisation: &Name) -> bool {
        if self.host < CREDIT_PER_RETRY || *self.stage(pipeline, stage) < CREDIT_PER_RETRY {
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
        *self.stage(pipeline, stage) -= CREDIT_PER_RETRY;
        self.host -= CREDIT_PER_RETRY;
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

fn earn(credit: &mut u32, percent: u32) {
    *credit = (*credit + percent).min(MAX_SAVED_RETRIES * CREDIT_PER_RETRY);
}
