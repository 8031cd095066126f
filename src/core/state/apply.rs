//! Application of records to the state.

use std::sync::Arc;

use super::{
    Change,
    Position,
    Record,
    Roster,
    State,
    Target,
    Verdict, //
};
use crate::{
    core::{
        host,
        orders::{
            Claim,
            Holder, //
        },
    },
    names::Name,
};

impl State {
    /// Applies a record and returns its verdict. `position` is the one after the record.
    ///
    /// The verdict depends only on the earlier records, so all hosts reach the same one. Snapshots
    /// and anchors have no effect here: the reader of the log decides whether to adopt their state.
    pub fn apply(&mut self, position: Position, record: &Record) -> Verdict {
        if let Some(verdict) = self.verdict(record) {
            return verdict;
        }
        let verdict = match record {
            Record::Change(change) => self.apply_change(position, change),
            Record::Drain {
                target, drained, ..
            } => self.apply_drain(position, target, *drained),
            Record::Roster { based_on, members } => self.apply_roster(position, *based_on, members),
            Record::Claim(claim) => self.apply_claim(position, claim),
            Record::Snapshot(_) | Record::Anchor(_) => Verdict::Accepted(position),
        };
        if let (Some(id), true) = (record.id(), verdict != Verdict::Forgotten) {
            self.verdicts.insert(id, record, verdict.clone());
        }
        verdict
    }

    /// Returns the verdict on a record by its id, if it is known and not evicted.
    pub fn verdict(&self, record: &Record) -> Option<Verdict> {
        self.verdicts.get_for(record.id()?, record)
    }

    /// Returns the verdict that a record has, or will have at any later position.
    ///
    /// Revisions only increase, so a change that is based on an older one can't be accepted any
    /// more.
    pub fn settled_verdict(&self, record: &Record) -> Option<Verdict> {
        if let Some(verdict) = self.verdict(record) {
            return Some(verdict);
        }
        let Record::Change(change) = record else {
            return None;
        };
        let revision = self.revision(&change.environment);
        (revision > change.based_on).then(|| self.stale_verdict(change, revision))
    }

    /// Returns the revision of an environment, 0 if it doesn't exist yet.
    pub fn revision(&self, environment: &Name) -> u64 {
        self.environments
            .get(environment)
            .map_or(0, |environment| environment.revision)
    }

    fn stale_verdict(&self, change: &Change, revision: u64) -> Verdict {
        if self
            .verdicts
            .may_have_evicted(&change.environment, change.based_on)
        {
            return Verdict::Forgotten;
        }
        let reason = format!(
            "based on revision {} of {}, which is at {revision}: another change came first",
            change.based_on, change.environment,
        );
        Verdict::Void(reason.into())
    }

    fn apply_change(&mut self, position: Position, change: &Change) -> Verdict {
        let revision = self.revision(&change.environment);
        if change.based_on != revision {
            return self.stale_verdict(change, revision);
        }
        let environment = self
            .environments
            .entry(change.environment.clone())
            .or_default();
        let document = Arc::make_mut(&mut environment.document);
        for edit in &change.edits {
            document.apply(edit);
        }
        environment.revision += 1;
        Verdict::Accepted(position)
    }

    fn apply_drain(&mut self, position: Position, target: &Target, drained: bool) -> Verdict {
        if drained {
            self.drained.insert(target.clone(), position);
        } else {
            self.drained.remove(target);
        }
        Verdict::Accepted(position)
    }

    fn apply_roster(&mut self, position: Position, based_on: u64, members: &[host::Id]) -> Verdict {
        let epoch = self.roster.epoch;
        if based_on != epoch {
            let reason = format!("based on roster {based_on}, the roster is at {epoch}");
            return Verdict::Void(reason.into());
        }
        let mut members = members.to_vec();
        members.sort();
        members.dedup();
        let next = Roster {
            epoch: epoch + 1,
            members,
        };
        self.previous_roster = std::mem::replace(&mut self.roster, next);
        Verdict::Accepted(position)
    }

    fn apply_claim(&mut self, position: Position, claim: &Claim) -> Verdict {
        let held = self.claims.holders.get(&claim.group);
        let fence = held.map(|holder| holder.fence);
        if claim.replaces != fence {
            let reason = format!(
                "replaces claim {:?} on {}, which is held under {fence:?}",
                claim.replaces, claim.group,
            );
            return Verdict::Void(reason.into());
        }
        let holder = Holder {
            controller: claim.controller.clone(),
            fence: position.fencing_token(),
        };
        assert!(
            fence.is_none_or(|fence| holder.fence > fence),
            "invariant: fencing tokens increase"
        );
        self.claims.holders.insert(claim.group.clone(), holder);
        Verdict::Accepted(position)
    }
}
