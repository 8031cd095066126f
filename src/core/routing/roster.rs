//! The rosters that determine a host's share: the current ones, and closed ones under which calls
//! may still run.
//!
//! A host's share is the smallest one under all of them: see `docs/capacity-shares.md`.

use crate::{
    core::{
        host::Id,
        view::View, //
    },
    time::Instant,
};

/// Maximum time for which a closed roster is remembered, in milliseconds.
const CLOSED_RETENTION_MS: u64 = 600_000;

/// A closed roster, of which some member may still have calls running.
#[derive(Clone, Debug)]
struct Closed {
    closed_at: Instant,
    /// Its members, `None` if they aren't known.
    members: Option<Vec<Id>>,
}

/// The rosters that this host has to take into account.
#[derive(Default)]
pub struct History {
    version: u64,
    epoch: Option<u64>,
    current: Vec<Id>,
    previous: Vec<Id>,
    closed_rosters: Vec<Closed>,
}

impl History {
    /// Updates the rosters from a view. This is cheap if they haven't changed.
    pub fn observe(&mut self, now: Instant, view: &View) {
        let is_unchanged = self.epoch == Some(view.roster.epoch)
            && self.previous.len() == view.previous_roster.members.len()
            && self.current.len() == view.roster.members.len();
        if is_unchanged {
            return;
        }
        self.version += 1;
        self.closed_rosters
            .retain(|closed| now.since_ms(closed.closed_at) < CLOSED_RETENTION_MS);
        for members in self.newly_closed(view) {
            self.closed_rosters.push(Closed {
                closed_at: now,
                members,
            });
        }
        self.epoch = Some(view.roster.epoch);
        self.current.clone_from(&view.roster.members);
        self.previous.clone_from(&view.previous_roster.members);
    }

    /// Returns a version that changes whenever the rosters do.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rosters in effect, and when the first of the closed ones ceases to be.
    ///
    /// `None` stands for a roster whose members aren't known, under which no share is safe.
    pub fn in_effect(
        &self,
        now: Instant,
        call_timeout_ms: u64,
    ) -> (Vec<Option<&[Id]>>, Option<Instant>) {
        let mut rosters = vec![Some(self.current.as_slice())];
        if !self.previous.is_empty() {
            rosters.push(Some(&self.previous));
        }
        let mut until = None;
        for closed in &self.closed_rosters {
            let end = closed.closed_at.after_ms(call_timeout_ms);
            if end > now {
                rosters.push(closed.members.as_deref());
                until = Some(until.map_or(end, |until: Instant| until.min(end)));
            }
        }
        (rosters, until)
    }

    /// Returns whether the members of some roster in effect aren't known.
    ///
    /// Calls that no host accounts for may be running then, so this host can't claim that its calls
    /// fit its share.
    pub fn has_unknown_roster(&self, now: Instant, call_timeout_ms: u64) -> bool {
        self.closed_rosters.iter().any(|closed| {
            closed.members.is_none() && closed.closed_at.after_ms(call_timeout_ms) > now
        })
    }

    /// Returns the rosters that a view closes while calls of their members may still be running.
    fn newly_closed(&self, view: &View) -> Vec<Option<Vec<Id>>> {
        let Some(epoch) = self.epoch.filter(|epoch| *epoch > 0) else {
            // The very first roster has no predecessor whose calls could still be running.
            let is_first = view.roster.epoch <= 1 || !view.previous_roster.members.is_empty();
            let is_safe = is_first && !has_earlier_incarnation(view);
            return if is_safe { Vec::new() } else { vec![None] };
        };
        if view.roster.epoch > epoch + 1 {
            return vec![None];
        }
        let mut closed = Vec::new();
        for members in [&self.previous, &self.current] {
            let is_in_effect = *members == view.roster.members
                || *members == view.previous_roster.members
                || members.is_empty();
            if !is_in_effect && may_have_left_calls(members, view) {
                closed.push(Some(members.clone()));
            }
        }
        closed
    }
}

/// Returns whether an earlier incarnation of this host is on a roster, so that its calls may still
/// be running.
fn has_earlier_incarnation(view: &View) -> bool {
    let rosters = [&view.roster.members, &view.previous_roster.members];
    let own = &view.own.id;
    rosters
        .into_iter()
        .flatten()
        .any(|id| id.name == own.name && id != own)
}

/// Returns whether a member of a closed roster may have calls running that exceed its later share.
///
/// That a member is still on the roster proves nothing: it may have crashed with calls of its old
/// share running.
fn may_have_left_calls(members: &[Id], view: &View) -> bool {
    let epoch = view.roster.epoch;
    members.iter().any(|id| {
        let fits_share = view
            .member(id)
            .is_some_and(|member| member.roster_epoch >= epoch);
        *id != view.own.id && !fits_share
    })
}
