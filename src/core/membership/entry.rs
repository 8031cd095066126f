//! Entry of one host, and the rule by which an update replaces its state.

use super::{
    State,
    Update, //
};
use crate::{
    core::{
        host::Host,
        view::{
            Health,
            Member, //
        },
    },
    time::Instant,
};

/// State of one host.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) host: Host,
    pub(super) refutation: u64,
    pub(super) state: State,
    pub(super) roster_epoch: u64,
    pub(super) ticket_generation: u64,
    pub(super) serving_since: Option<Instant>,
    pub(super) confirmed_at: Instant,
    /// Whether the host list has had this host.
    pub(super) is_listed: bool,
    /// Consecutive reads of the host list without this host.
    pub(super) missed_polls: u32,
    /// When the host list last had this host, or this host last answered a ping.
    pub(super) missing_since: Instant,
}

/// Effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// No change that has to be gossiped.
    Unchanged,
    /// A host, or a new incarnation of one, became known.
    Joined,
    /// A host became suspect.
    Suspected,
    /// A host refuted a suspicion.
    Refuted,
    /// A host started to serve.
    Serving,
    /// A host started to leave.
    Leaving,
    /// A host is gone for good.
    Gone,
}

impl Entry {
    /// Returns whether the host list no longer has this host.
    pub(super) fn is_missing(&self) -> bool {
        self.missed_polls > 0
    }

    pub(super) fn to_update(&self, now: Instant) -> Update {
        self.update_with_state(now, self.state)
    }

    pub(super) fn update_with_state(&self, now: Instant, state: State) -> Update {
        Update {
            host: self.host.clone(),
            refutation: self.refutation,
            state,
            roster_epoch: self.roster_epoch,
            ticket_generation: self.ticket_generation,
            serving_ms: self.serving_since.map(|since| now.since_ms(since)),
        }
    }

    pub(super) fn member(&self) -> Member {
        let health = match self.state {
            State::Alive => Health::Alive,
            State::Suspect => Health::Suspect,
            State::Leaving | State::Gone => Health::Leaving,
        };
        Member {
            host: self.host.clone(),
            health,
            roster_epoch: self.roster_epoch,
            ticket_generation: self.ticket_generation,
            serving_since: self.serving_since,
        }
    }

    /// Merges the fields that only ever increase within one incarnation. Returns whether one did.
    pub(super) fn advance(&mut self, now: Instant, update: &Update) -> bool {
        let before = (
            self.roster_epoch,
            self.ticket_generation,
            self.serving_since,
        );
        self.roster_epoch = self.roster_epoch.max(update.roster_epoch);
        self.ticket_generation = self.ticket_generation.max(update.ticket_generation);
        let serving_since = update.serving_ms.map(|ms| now.before_ms(ms));
        self.serving_since = self.serving_since.or(serving_since);
        before
            != (
                self.roster_epoch,
                self.ticket_generation,
                self.serving_since,
            )
    }

    /// Merges an update about this incarnation. An update with a higher refutation counter replaces
    /// the state, one with the same counter can only raise a suspicion, and leaving is final.
    pub(super) fn merge(&mut self, update: &Update, is_fresh: bool) -> Change {
        let before = self.state;
        if before == State::Leaving {
            return Change::Unchanged;
        }
        if update.state == State::Leaving {
            self.state = State::Leaving;
            return Change::Leaving;
        }
        if update.refutation > self.refutation {
            self.refutation = update.refutation;
            self.state = update.state;
            return match (before, update.state) {
                (State::Suspect, State::Alive) => Change::Refuted,
                (State::Alive, State::Suspect) => Change::Suspected,
                // Other hosts may still have the suspicion that this update refutes.
                (State::Alive, State::Alive) => Change::Refuted,
                _ => Change::Unchanged,
            };
        }
        let is_current = update.refutation == self.refutation && is_fresh;
        if is_current && before == State::Alive && update.state == State::Suspect {
            self.state = State::Suspect;
            return Change::Suspected;
        }
        Change::Unchanged
    }
}

pub(super) fn hash(update: &Update) -> u64 {
    let id = &update.host.id;
    let mut bytes = id.name.as_bytes().to_vec();
    bytes.extend(id.incarnation.to_le_bytes());
    bytes.extend(update.refutation.to_le_bytes());
    bytes.push(u8::from(update.state == State::Leaving));
    bytes.push(u8::from(update.serving_ms.is_some()));
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
