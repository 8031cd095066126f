//! Bounded table of the verdicts on recent changes and drains, for deduplication by id.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Record,
    Verdict, //
};
use crate::names::Name;

/// Maximum number of verdicts kept.
const MAX_VERDICTS: usize = 2_048;

/// A verdict with the digest and base of its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: u64,
    /// Environment and base revision of a change.
    base: Option<(Name, u64)>,
    verdict: Verdict,
}

/// Verdicts on recent changes and drains by id. The oldest are evicted first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    by_id: BTreeMap<Name, Entry>,
    /// Ids from the oldest to the newest.
    order: VecDeque<Name>,
    /// For each environment, the lowest base revision without evicted verdicts at or above it.
    first_kept_bases: BTreeMap<Name, u64>,
}

impl Verdicts {
    /// Returns the verdict on an id, for any record.
    pub fn get(&self, id: &str) -> Option<&Verdict> {
        self.by_id.get(id).map(|entry| &entry.verdict)
    }

    /// Returns the verdict on a record with this id.
    ///
    /// The record is void if another record used the id before.
    pub(super) fn get_for(&self, id: &Name, record: &Record) -> Option<Verdict> {
        let entry = self.by_id.get(id)?;
        if entry.digest == digest(record) {
            return Some(entry.verdict.clone());
        }
        let reason = format!("the id {id} was used before for something else: take a new id");
        Some(Verdict::Void(reason.into()))
    }

    /// Inserts a verdict, and evicts the oldest beyond [`MAX_VERDICTS`].
    pub(super) fn insert(&mut self, id: &Name, record: &Record, verdict: Verdict) {
        let base = match record {
            Record::Change(change) => Some((change.environment.clone(), change.based_on)),
            _ => None,
        };
        let entry = Entry {
            digest: digest(record),
            base,
            verdict,
        };
        let old = self.by_id.insert(id.clone(), entry);
        assert!(old.is_none(), "invariant: one verdict for each id");
        self.order.push_back(id.clone());
        if self.order.len() > MAX_VERDICTS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        let entry = self.by_id.remove(&oldest);
        if let Some((environment, base)) = entry.and_then(|entry| entry.base) {
            let first_kept = self.first_kept_bases.entry(environment).or_default();
            *first_kept = (*first_kept).max(base + 1);
        }
    }

    /// Returns whether a verdict on a change with this base revision may have been evicted.
    pub(super) fn may_have_evicted(&self, environment: &Name, base: u64) -> bool {
        self.first_kept_bases
            .get(environment)
            .is_some_and(|first_kept| base < *first_kept)
    }
}

/// Returns a digest of the effect of a record. It excludes the base revision, which may be updated
/// when the record is sent again.
fn digest(record: &Record) -> u64 {
    let bytes = match record {
        Record::Change(change) => postcard::to_stdvec(&(&change.environment, &change.edits)),
        record => postcard::to_stdvec(record),
    };
    xxhash_rust::xxh3::xxh3_64(&bytes.expect("records encode"))
}
