//! Publishing the whole state again in time, before the log forgets the records that made it.
//!
//! Anyone may, and a second snapshot is harmless. The rank among members only spreads hosts out,
//! so that most times the first one's snapshot is seen by all others before their own is due.

use super::{
    Action,
    Replica, //
};
use crate::{
    core::{
        log,
        log::Offset,
        state::{
            Record,
            Snapshot, //
        },
    },
    time::Instant,
};

/// Time between two snapshots, in milliseconds.
pub const EVERY_MS: u64 = 600_000;

/// Records after which a snapshot is due before its time.
const EVERY_RECORDS: u64 = 2_048;

/// Time between the turns of two hosts of neighbouring rank, in milliseconds.
const TURN_MS: u64 = 1_000;

/// Count of different turns.
const TURNS: u64 = 16;

/// Shortest time between two snapshots of one host, in milliseconds.
const PAUSE_MS: u64 = 20_000;

/// When snapshots were seen and published.
#[derive(Default)]
pub(super) struct Retention {
    /// Where the newest snapshot in the log stands, and when this host saw it.
    newest: Option<(Offset, Instant)>,
    /// Oldest offset that the log keeps.
    first: Offset,
    due_since: Option<Instant>,
    published_at: Option<Instant>,
}

impl Retention {
    /// Takes note of a snapshot in the log that stands for the records before `next`.
    pub(super) fn seen(&mut self, now: Instant, next: Offset) {
        if self.newest.is_none_or(|(newest, _)| newest < next) {
            self.newest = Some((next, now));
            self.due_since = None;
        }
    }

    /// Takes note of the oldest offset that the log keeps.
    pub(super) fn note_first_kept(&mut self, first: Offset) {
        self.first = first;
    }

    /// Forgets what was seen of a log that was anchored anew.
    pub(super) fn reset(&mut self) {
        self.newest = None;
        self.first = 0;
        self.due_since = None;
    }

    fn is_due(&self, now: Instant, next: Offset) -> bool {
        let Some((stands, seen_at)) = self.newest else {
            return next > 0;
        };
        now.since_ms(seen_at) >= EVERY_MS || next > stands + EVERY_RECORDS || self.first > stands
    }
}

impl Replica {
    /// Publishes a snapshot where one is due and this host's turn has come.
    pub(super) fn republish(&mut self, now: Instant, out: &mut Vec<Action>) {
        let may = self.current && self.reading.is_verified(now);
        if !may || !self.retention.is_due(now, self.position.next) {
            self.retention.due_since = None;
            return;
        }
        let due_since = *self.retention.due_since.get_or_insert(now);
        if now.since_ms(due_since) < self.turn(TURN_MS) {
            return;
        }
        let published_at = self.retention.published_at;
        if published_at.is_some_and(|at| now.since_ms(at) < PAUSE_MS) {
            return;
        }
        self.retention.published_at = Some(now);
        let next = self.position.next;
        self.decide(now, "snapshot_due", "publish", &[("position", next)]);
        let token = self.reading.token();
        let record = Box::new(Record::Snapshot(Box::new(self.snapshot())));
        out.push(Action::Log(log::Action::Append { token, record }));
    }

    /// Returns the whole state with its position.
    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            position: self.position,
            last_digest: self.last,
            state: self.state.clone(),
        }
    }

    /// Returns how long this host leaves others their turn, in milliseconds.
    pub(super) fn turn(&self, turn_ms: u64) -> u64 {
        let rank = self
            .members
            .iter()
            .filter(|member| member.host.id < self.own)
            .count();
        (rank as u64 % TURNS) * turn_ms
    }
}
