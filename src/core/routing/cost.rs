//! Accounting of the cost of calls by organisation, pipeline and stage.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Key of an account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The organisation.
    pub organisation: Name,
    /// The pipeline, or the service.
    pub pipeline: Name,
    /// Index of the stage in the pipeline.
    pub stage: usize,
}

/// Totals of one organisation's calls of one stage on this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Calls that were sent.
    pub calls: u64,
    /// Calls that were retries.
    pub retries: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Time that servers spent on the calls, in milliseconds.
    pub run_ms: u64,
    /// Bytes sent to servers in other regions, which is metered.
    pub metered_bytes: u64,
    /// Price of the time and the bytes, in millionths of the operators' price unit.
    pub price_micro: u64,
}

/// Accounts of one pool on one host.
#[derive(Default)]
pub struct Ledger {
    accounts: BTreeMap<Key, Account>,
}

impl Ledger {
    /// Returns the account of a key, and creates it if it doesn't exist.
    pub fn account(&mut self, key: Key) -> &mut Account {
        self.accounts.entry(key).or_default()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> &BTreeMap<Key, Account> {
        &self.accounts
    }
}
