//! Decisions kept for `why`, by the request or other subject that they are about.

use std::collections::{
    HashMap,
    VecDeque, //
};

use parking_lot::Mutex;

use crate::{
    core::decision::Decision,
    names::Name, //
};

/// Most decisions kept for one subject. The first and the newest are the ones that tell.
const DECISIONS_PER_SUBJECT: usize = 64;

#[derive(Default)]
struct Kept {
    by_subject: HashMap<Name, Vec<Decision>>,
    order: VecDeque<Name>,
}

/// A bounded store: the oldest subjects are forgotten first.
pub struct Store {
    limit: usize,
    kept: Mutex<Kept>,
}

impl Store {
    /// Makes a store for a count of subjects.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            kept: Mutex::default(),
        }
    }

    /// Keeps a decision.
    pub fn keep(&self, decision: Decision) {
        let mut kept = self.kept.lock();
        let subject = decision.subject.clone();
        if let Some(decisions) = kept.by_subject.get_mut(&subject) {
            if decisions.len() >= DECISIONS_PER_SUBJECT {
                decisions.remove(DECISIONS_PER_SUBJECT / 2);
            }
            decisions.push(decision);
            return;
        }
        if kept.order.len() >= self.limit
            && let Some(oldest) = kept.order.pop_front()
        {
            kept.by_subject.remove(&oldest);
        }
        kept.order.push_back(subject.clone());
        kept.by_subject.insert(subject, vec![decision]);
    }

    /// Returns the decisions about a subject, oldest first.
    pub fn find(&self, subject: &str) -> Vec<Decision> {
        let kept = self.kept.lock();
        kept.by_subject.get(subject).cloned().unwrap_or_default()
    }
}
