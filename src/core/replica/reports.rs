//! Reports of other hosts, which show how old this host's state is and when a new host may serve.
//!
//! The age of a report is counted from its query, on this host's own clock, so that clocks don't
//! have to be synchronised. See `docs/configuration-design.md`.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::Replica;
use crate::{
    core::{
        host::Id,
        state::Position,
        view::{
            Health,
            Member, //
        },
    },
    names::Name,
    time::Instant,
};

/// Age of the state from which on members of each data centre are queried, in milliseconds.
pub(super) const CUT_OFF_AFTER_MS: u64 = 1_500;

/// Time in which a record reaches all connected hosts of a data centre, in milliseconds.
const PROPAGATION_MS: u64 = 1_000;

/// Time for which a starting host waits for the log before it relies on other hosts, in
/// milliseconds.
const LOG_GRACE_MS: u64 = 1_000;

/// Time for which a starting host waits for other hosts to confirm the log, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 1_000;

/// Number of other hosts without newer records that confirm the log to a starting host.
const CONFIRM_HOSTS: usize = 3;

/// Position and age of another host's state. It applies once this host has reached the position.
#[derive(Clone, Copy)]
struct Report {
    position: Position,
    /// All records accepted before this instant are below the position.
    fresh_at: Instant,
    queried_at: Instant,
}

/// Reports of other hosts.
#[derive(Default)]
pub(super) struct Reports {
    /// The freshest report, until this host reaches its position.
    pending: Option<Report>,
    /// The newest report from each data centre.
    by_data_centre: BTreeMap<Name, Report>,
    /// Positions of current hosts, reported while this host isn't current.
    since_start: BTreeMap<Id, Position>,
    /// Hosts that last reported that they aren't current.
    starting: BTreeSet<Id>,
}

impl Reports {
    /// Returns the members that haven't reported a current state since the start.
    pub(super) fn unanswered(&self, members: &[Member]) -> Vec<Id> {
        members
            .iter()
            .map(|member| &member.host.id)
            .filter(|id| !self.since_start.contains_key(*id))
            .cloned()
            .collect()
    }

    /// Clears all reports, because the replica is reset.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

impl Replica {
    /// Handles the answer to a query that was sent at `queried_at`.
    pub(super) fn on_report(
        &mut self,
        from: &Id,
        position: Position,
        age_ms: u64,
        current: bool,
        queried_at: Instant,
    ) {
        if !current {
            self.reports.starting.insert(from.clone());
            return;
        }
        self.reports.starting.remove(from);
        let report = Report {
            position,
            fresh_at: queried_at.before_ms(age_ms),
            queried_at,
        };
        if !self.current {
            self.reports.since_start.insert(from.clone(), position);
        }
        let sender = self.members.iter().find(|member| member.host.id == *from);
        if let Some(member) = sender {
            let data_centre = member.host.data_centre.clone();
            self.reports.by_data_centre.insert(data_centre, report);
        }
        let is_fresher = |pending: &Report| report.fresh_at > pending.fresh_at;
        if self.reports.pending.as_ref().is_none_or(is_fresher) {
            self.reports.pending = Some(report);
        }
    }

    /// Updates the age of this host's state, or whether it is current, from the reports.
    pub(super) fn evaluate_reports(&mut self, now: Instant) {
        if !self.is_gossip_enabled() {
            return;
        }
        if !self.current {
            if self.is_confirmed_by_peers(now) {
                self.mark_caught_up(now, "peers");
            }
            return;
        }
        if let Some(report) = self.reports.pending
            && self.position >= report.position
        {
            self.reports.pending = None;
            self.fresh_at = self.fresh_at.max(report.fresh_at);
        }
        if let Some(fresh_at) = self.fresh_at_by_data_centres() {
            self.fresh_at = self.fresh_at.max(fresh_at);
        }
        assert!(
            self.fresh_at <= now,
            "invariant: the state isn't fresher than now"
        );
    }

    /// Returns the instant up to which this host has all records that any host had applied,
    /// according to one report from each data centre.
    fn fresh_at_by_data_centres(&self) -> Option<Instant> {
        let mut oldest: Option<Instant> = None;
        for member in &self.members {
            let report = self.reports.by_data_centre.get(&member.host.data_centre)?;
            if report.position > self.position {
                return None;
            }
            let fresh_at = report.queried_at.before_ms(PROPAGATION_MS);
            oldest = Some(oldest.map_or(fresh_at, |oldest| oldest.min(fresh_at)));
        }
        oldest
    }

    /// Returns whether other hosts have no records beyond the log, which this host has read to its
    /// end, as far as known after a limited wait.
    ///
    /// A host that just started can't tell by itself that the log lost its newest records.
    pub(super) fn is_log_confirmed_by_peers(&self, now: Instant) -> bool {
        if !self.is_gossip_enabled() {
            return true;
        }
        if self.gossip.is_any_ahead(self.position) {
            return false;
        }
        let answered = self.reports.since_start.len() + self.reports.starting.len();
        let waited_ms = self.started_at.map_or(0, |at| now.since_ms(at));
        answered >= CONFIRM_HOSTS.min(self.members.len()) && !self.members.is_empty()
            || waited_ms >= CONFIRM_TIMEOUT_MS
    }

    /// Returns whether enough other hosts reported that this host has all their records, while the
    /// log can't be read.
    ///
    /// All members that are neither suspect nor starting must have reported, and they must be at
    /// least half of all members.
    fn is_confirmed_by_peers(&self, now: Instant) -> bool {
        let Some(started_at) = self.started_at else {
            return false;
        };
        let log_failed = self.reader.failed_since.is_some() || !self.reader.is_following();
        if !log_failed || now.since_ms(started_at) < LOG_GRACE_MS {
            return false;
        }
        let reports = &self.reports.since_start;
        let mut answered = 0;
        for member in &self.members {
            match reports.get(&member.host.id) {
                Some(position) if *position > self.position => return false,
                Some(_) => answered += 1,
                None if self.reports.starting.contains(&member.host.id) => (),
                None if member.health == Health::Suspect => (),
                None => return false,
            }
        }
        answered > 0 && 2 * answered >= self.members.len()
    }
}
