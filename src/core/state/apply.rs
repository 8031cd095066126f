//! The one rule by which records become state.

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
    /// Applies the record that ends at `position`, and returns what became of it.
    ///
    /// The verdict depends on nothing but the records before, so all hosts reach the same one.
    /// Snapshots and anchors change nothing here: whoever reads the log adopts them or not.
    pub fn apply(&mut self, position: Position, record: &Record) -> Verdict {
        if let Some(verdict) = self.verdict(record) {
            return verdict;
        }
        let verdict = match record {
            Record::Change(change) => self.change(position, change),
            Record::Drain {
                target,
                drained: out,
                ..
            } => self.drain(position, target, *out),
            Record::Roster { based_on, members } => self.propose(position, *based_on, members),
            Record::Claim(claim) => self.claim(position, claim),
            Record::Snapshot(_) | Record::Anchor(_) => Verdict::Accepted(position),
        };
        if let (Some(id), true) = (record.id(), verdict != Verdict::Forgotten) {
            self.verdicts.keep(id, record, verdict.clone());
        }
        verdict
    }

    /// Returns the verdict that was given on a record with its id, where it's kept.
    pub fn verdict(&self, record: &Record) -> Option<Verdict> {
        self.verdicts.stands(record.id()?, record)
    }

    /// Returns the verdict that a change will get wherever it lands, if that is settled already.
    ///
    /// Revisions only rise, so a change whose base has passed can't be accepted any more.
    pub fn settled_verdict(&self, record: &Record) -> Option<Verdict> {
        if let Some(verdict) = self.verdict(record) {
            return Some(verdict);
        }
        let Record::Change(change) = record else {
            return None;
        };
        let revision = self.revision(&change.environment);
        (revision > change.based_on).then(|| self.stale(change, revision))
    }

    /// Returns the revision of an environment, 0 where there is none yet.
    pub fn revision(&self, environment: &Name) -> u64 {
        self.environments
            .get(environment)
            .map_or(0, |environment| environment.revision)
    }

    fn stale(&self, change: &Change, revision: u64) -> Verdict {
        if self
            .verdicts
            .may_have_forgotten(&change.environment, change.based_on)
        {
            return Verdict::Forgotten;
        }
        let reason = format!(
            "based on revision {} of {}, which is at {revision}: another change came first",
            change.based_on, change.environment,
        );
        Verdict::Void(reason.into())
    }

    fn change(&mut self, position: Position, change: &Change) -> Verdict {
        let revision = self.revision(&change.environment);
        if change.based_on != revision {
            return self.stale(change, revision);
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

    fn drain(&mut self, position: Position, target: &Target, out: bool) -> Verdict {
        if out {
            self.drained.insert(target.clone(), position);
        } else {
            self.drained.remove(target);
        }
        Verdict::Accepted(position)
    }

    fn propose(&mut self, position: Position, based_on: u64, members: &[host::Id]) -> Verdict {
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

    fn claim(&mut self, position: Position, claim: &Claim) -> Verdict {
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
            "invariant: fencing numbers rise"
        );
        self.claims.holders.insert(claim.group.clone(), holder);
        Verdict::Accepted(position)
    }
}
