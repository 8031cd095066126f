//! Verdicts on recent changes by id, of which a bounded number is kept.

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

/// Most verdicts that are kept.
const LIMIT: usize = 2_048;

/// A verdict with what it was given on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Judged {
    digest: u64,
    /// Environment and base, for a change.
    base: Option<(Name, u64)>,
    verdict: Verdict,
}

/// Verdicts on recent changes and drains by id. The oldest are forgotten first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    by_id: BTreeMap<Name, Judged>,
    order: VecDeque<Name>,
    /// For each environment the lowest base of which every verdict is still kept.
    floors: BTreeMap<Name, u64>,
}

impl Verdicts {
    /// Returns the verdict on an id, whatever it was given on.
    pub fn get(&self, id: &str) -> Option<&Verdict> {
        self.by_id.get(id).map(|judged| &judged.verdict)
    }

    /// Returns the verdict that stands for a record with this id.
    ///
    /// An id that was used for something else voids the record.
    pub(super) fn stands(&self, id: &Name, record: &Record) -> Option<Verdict> {
        let judged = self.by_id.get(id)?;
        if judged.digest == digest(record) {
            return Some(judged.verdict.clone());
        }
        let reason = format!("the id {id} was used before for something else: take a new id");
        Some(Verdict::Void(reason.into()))
    }

    /// Keeps a verdict.
    pub(super) fn keep(&mut self, id: &Name, record: &Record, verdict: Verdict) {
        let base = match record {
            Record::Change(change) => Some((change.environment.clone(), change.based_on)),
            _ => None,
        };
        let judged = Judged {
            digest: digest(record),
            base,
            verdict,
        };
        let before = self.by_id.insert(id.clone(), judged);
        assert!(before.is_none(), "invariant: one verdict for each id");
        self.order.push_back(id.clone());
        if self.order.len() > LIMIT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        let judged = self.by_id.remove(&oldest);
        if let Some((environment, base)) = judged.and_then(|judged| judged.base) {
            let floor = self.floors.entry(environment).or_default();
            *floor = (*floor).max(base + 1);
        }
    }

    /// Returns whether a verdict on a change with this base may have been forgotten.
    pub(super) fn may_have_forgotten(&self, environment: &Name, base: u64) -> bool {
        self.floors
            .get(environment)
            .is_some_and(|floor| base < *floor)
    }
}

/// Returns a digest of what a record wants, leaving out the base, which its operator may renew.
fn digest(record: &Record) -> u64 {
    let bytes = match record {
        Record::Change(change) => postcard::to_stdvec(&(&change.environment, &change.edits)),
        record => postcard::to_stdvec(record),
    };
    xxhash_rust::xxh3::xxh3_64(&bytes.expect("records encode"))
}
