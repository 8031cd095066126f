//! Periodic snapshots of the whole state in the log, before the log deletes the records behind it.
//!
//! Any host may publish one, and duplicates are harmless. A delay by rank among the members spreads
//! the hosts out, so that usually all others have read the first snapshot before they publish.

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

/// Time between two snapshots in the log, in milliseconds.
pub const INTERVAL_MS: u64 = 600_000;

/// Number of records after which a snapshot is due earlier than [`INTERVAL_MS`].
const INTERVAL_RECORDS: u64 = 2_048;

/// Additional delay of a snapshot per rank of the host, in milliseconds.
const RANK_DELAY_MS: u64 = 1_000;

/// Number of different ranks, which bounds the delay. Hosts beyond it share ranks.
const RANK_COUNT: u64 = 16;

/// Minimum time between two snapshots of one host, in milliseconds.
const MIN_INTERVAL_MS: u64 = 20_000;

/// Times and offsets of the snapshots in the log.
#[derive(Default)]
pub(super) struct Snapshots {
    /// First offset after the newest snapshot's state, and when this host read the snapshot.
    newest: Option<(Offset, Instant)>,
    /// Oldest offset that the log keeps.
    log_start: Offset,
    due_since: Option<Instant>,
    published_at: Option<Instant>,
}

impl Snapshots {
    /// Notes a snapshot in the log that covers the records before `next`.
    pub(super) fn note_snapshot(&mut self, now: Instant, next: Offset) {
        if self.newest.is_none_or(|(newest, _)| newest < next) {
            self.newest = Some((next, now));
            self.due_since = None;
        }
    }

    /// Sets the oldest offset that the log keeps.
    pub(super) fn set_log_start(&mut self, log_start: Offset) {
        self.log_start = log_start;
    }

    /// Clears what is known of the log, because a new generation started.
    pub(super) fn reset(&mut self) {
        self.newest = None;
        self.log_start = 0;
        self.due_since = None;
    }

    fn is_due(&self, now: Instant, next: Offset) -> bool {
        let Some((covered, read_at)) = self.newest else {
            return next > 0;
        };
        now.since_ms(read_at) >= INTERVAL_MS
            || next > covered + INTERVAL_RECORDS
            || self.log_start > covered
    }
}

impl Replica {
    /// Publishes a snapshot if one is due and the delay of this host's rank has passed.
    pub(super) fn publish_snapshot(&mut self, now: Instant, out: &mut Vec<Action>) {
        let may_append = self.current && self.reader.is_verified(now);
        if !may_append || !self.snapshots.is_due(now, self.position.next) {
            self.snapshots.due_since = None;
            return;
        }
        let due_since = *self.snapshots.due_since.get_or_insert(now);
        if now.since_ms(due_since) < self.rank_delay_ms(RANK_DELAY_MS) {
            return;
        }
        let published_at = self.snapshots.published_at;
        if published_at.is_some_and(|at| now.since_ms(at) < MIN_INTERVAL_MS) {
            return;
        }
        self.snapshots.published_at = Some(now);
        let next = self.position.next;
        self.record_decision(now, "snapshot_due", "publish", &[("position", next)]);
        let token = self.reader.next_token();
        let record = Box::new(Record::Snapshot(Box::new(self.snapshot())));
        out.push(Action::Log(log::Action::Append { token, record }));
    }

    /// Returns the whole state with its position.
    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            position: self.position,
            last_digest: self.last_digest,
            state: self.state.clone(),
        }
    }

    /// Returns the delay of this host by its rank among the members, in milliseconds.
    pub(super) fn rank_delay_ms(&self, delay_per_rank_ms: u64) -> u64 {
        let rank = self
            .members
            .iter()
            .filter(|member| member.host.id < self.own_id)
            .count();
        (rank as u64 % RANK_COUNT) * delay_per_rank_ms
    }
}
