//! What calls cost, by organisation, pipeline and stage.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Whose calls an account adds up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The organisation.
    pub organisation: Name,
    /// The pipeline or service.
    pub pipeline: Name,
    /// Index of the stage.
    pub stage: usize,
}

/// What one organisation's calls of one stage have cost on this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Calls that were sent.
    pub calls: u64,
    /// Calls that were repeats of others.
    pub retries: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Time that servers spent on them, in milliseconds.
    pub run_ms: u64,
    /// Bytes that left a metered region.
    pub metered_bytes: u64,
    /// Price of both, in millionths of the operators' unit.
    pub price_micro: u64,
}

/// All accounts of one pool on one host.
#[derive(Default)]
pub struct Ledger {
    accounts: BTreeMap<Key, Account>,
}

impl Ledger {
    /// Returns the account of a key, opened where it is the first call.
    pub fn account(&mut self, key: Key) -> &mut Account {
        self.accounts.entry(key).or_default()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> &BTreeMap<Key, Account> {
        &self.accounts
    }
}
