//! Recovery from a log that lost records: anchoring it in a new generation, or resetting the
//! replica.
//!
//! See `docs/configuration-design.md`.

use std::collections::BTreeMap;

use super::{
    Action,
    Message,
    Replica, //
};
use crate::{
    core::{
        host::Id,
        log::{
            self,
            Offset, //
        },
        state::{
            Anchor,
            Change,
            Position,
            Record,
            State,
            Verdict, //
        },
    },
    time::Instant,
};

/// Time between two rounds of queries about a loss, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 1_000;

/// Time for which a loss must last before the log is anchored, in milliseconds.
const ANCHOR_DELAY_MS: u64 = 1_000;

/// Additional delay of an anchor per rank of the host, in milliseconds.
const RANK_DELAY_MS: u64 = 200;

/// Minimum time between two anchors of one host, in milliseconds.
const ANCHOR_INTERVAL_MS: u64 = 3_000;

/// Time for which the result of a search of the whole log is valid, in milliseconds.
const SEARCH_VALID_MS: u64 = 2_000;

/// Minimum time between two attempts to restore a record, in milliseconds.
const RESTORE_INTERVAL_MS: u64 = 500;

/// A loss confirmed by a search of the whole log.
struct ConfirmedLoss {
    /// Since when repeated searches have shown the loss.
    since: Instant,
    /// When the log was last searched.
    searched_at: Instant,
    log_end: Offset,
    /// Whether the log holds other records in place of the lost ones.
    diverged: bool,
    queried_at: Option<Instant>,
    anchored_at: Option<Instant>,
    /// Positions of the members that answered a query.
    answers: BTreeMap<Id, Position>,
}

/// State of the recovery.
#[derive(Default)]
pub(super) struct Recovery {
    confirmed: Option<ConfirmedLoss>,
    /// Accepted records that the log lost and this host has to append again.
    lost_records: Vec<Record>,
    /// When a lost record was last appended.
    restored_at: Option<Instant>,
}

impl Recovery {
    fn clear(&mut self) {
        self.confirmed = None;
    }
}

impl Replica {
    /// Handles a search of the whole log which showed that it lacks records applied by this host.
    ///
    /// `diverged` means that the log holds other records in their place.
    pub(super) fn on_loss_confirmed(&mut self, now: Instant, log_end: Offset, diverged: bool) {
        match &mut self.recovery.confirmed {
            Some(confirmed) => {
                // The last search is too old, for example after an outage of the log: the members
                // are queried again.
                if now.since_ms(confirmed.searched_at) > SEARCH_VALID_MS {
                    confirmed.since = now;
                    confirmed.answers.clear();
                }
                confirmed.searched_at = now;
                confirmed.log_end = log_end;
                confirmed.diverged = diverged;
            }
            None => {
                self.record_decision(now, "log_lost", "ask_members", &[("end", log_end)]);
                self.recovery.confirmed = Some(ConfirmedLoss {
                    since: now,
                    searched_at: now,
                    log_end,
                    diverged,
                    queried_at: None,
                    anchored_at: None,
                    answers: BTreeMap::new(),
                });
            }
        }
    }

    /// Proceeds with the recovery: queries all members, then anchors the log.
    pub(super) fn recover(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.reader.is_following() {
            self.recovery.clear();
            return;
        }
        let rank_delay_ms = self.rank_delay_ms(RANK_DELAY_MS);
        let is_gossip_enabled = self.is_gossip_enabled();
        let Some(confirmed) = &mut self.recovery.confirmed else {
            return;
        };
        let answers = &confirmed.answers;
        let unanswered: Vec<Id> = self
            .members
            .iter()
            .map(|member| member.host.id.clone())
            .filter(|id| !answers.contains_key(id))
            .collect();
        if is_gossip_enabled && !unanswered.is_empty() {
            let queried_at = confirmed.queried_at;
            if queried_at.is_none_or(|at| now.since_ms(at) >= QUERY_INTERVAL_MS) {
                confirmed.queried_at = Some(now);
                self.send_loss_queries(now, unanswered, out);
            }
            return;
        }
        let is_member_ahead = answers.values().any(|position| *position > self.position);
        let is_anchored_recently = confirmed
            .anchored_at
            .is_some_and(|at| now.since_ms(at) < ANCHOR_INTERVAL_MS);
        let is_search_expired = now.since_ms(confirmed.searched_at) > SEARCH_VALID_MS;
        if is_member_ahead
            || is_anchored_recently
            || is_search_expired
            || now.since_ms(confirmed.since) < ANCHOR_DELAY_MS + rank_delay_ms
        {
            return;
        }
        confirmed.anchored_at = Some(now);
        let log_end = confirmed.log_end;
        self.append_anchor(now, log_end, out);
    }

    /// Returns whether the log is known to hold other records than this host applied.
    pub(super) fn is_divergence_confirmed(&self) -> bool {
        let confirmed = &self.recovery.confirmed;
        confirmed
            .as_ref()
            .is_some_and(|confirmed| confirmed.diverged)
    }

    fn send_loss_queries(&mut self, now: Instant, members: Vec<Id>, out: &mut Vec<Action>) {
        for to in members {
            let query = self.gossip.new_query(now, &to);
            let message = Message::LossQuery { query };
            out.push(Action::Send { to, message });
        }
    }

    fn append_anchor(&mut self, now: Instant, log_end: Offset, out: &mut Vec<Action>) {
        let generation = self.position.generation + 1;
        let values = [("generation", generation), ("at", log_end)];
        self.record_decision(now, "log_lost", "anchor", &values);
        let anchor = Anchor {
            generation,
            log_end,
            snapshot: self.snapshot(),
        };
        let token = self.reader.next_token();
        let record = Box::new(Record::Anchor(Box::new(anchor)));
        out.push(Action::Log(log::Action::Append { token, record }));
    }

    /// Answers the query of a host that detected a loss.
    ///
    /// Replies to outstanding reads may contain records that the log lost since, so the reads are
    /// dropped. After the answer, only records held by other hosts can raise this host's position.
    pub(super) fn on_loss_query(
        &mut self,
        now: Instant,
        from: Id,
        query: u64,
        out: &mut Vec<Action>,
    ) {
        let is_following_log = self.reader.is_verified(now);
        self.reader.drop_outstanding(now);
        let message = Message::LossReply {
            reply_to: query,
            position: self.position,
            is_following_log,
        };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn on_loss_reply(
        &mut self,
        now: Instant,
        from: Id,
        position: Position,
        is_following_log: bool,
        out: &mut Vec<Action>,
    ) {
        if is_following_log && self.is_divergence_confirmed() {
            // The sender has applied the other records of the log, so this host must reset.
            self.reset_replica(now, "log_split", position.next);
            return;
        }
        if position > self.position {
            self.fetch(now, from, out);
            return;
        }
        if let Some(confirmed) = &mut self.recovery.confirmed {
            confirmed.answers.insert(from, position);
        }
    }

    /// Resets the replica to an empty state, because the log continued without records that this
    /// host applied. The host doesn't serve until it has restored them.
    pub(super) fn reset_replica(&mut self, now: Instant, rule: &'static str, seen: Offset) {
        let next = self.position.next;
        self.record_decision(
            now,
            rule,
            "start_over",
            &[("applied", next), ("seen", seen)],
        );
        self.collect_lost_records();
        self.state = State::default();
        self.position = Position::default();
        self.last_digest = 0;
        self.current = false;
        self.caught_up = false;
        self.started_at = Some(now);
        self.tail.clear();
        self.reports.reset();
        self.snapshots.reset();
        self.recovery.clear();
        self.start_search(now, rule, seen);
    }

    /// Collects the accepted records of the tail, for [`Replica::restore_lost_records`].
    ///
    /// Records that the log still holds are skipped there, because their ids have a verdict.
    fn collect_lost_records(&mut self) {
        let state = &self.state;
        let is_accepted = |record: &&Record| {
            let verdict = state.verdict(record);
            matches!(verdict, Some(Verdict::Accepted(_)))
        };
        let records = self.tail.iter().filter_map(|item| item.record());
        let accepted = records.filter(is_accepted).cloned();
        self.recovery.lost_records.extend(accepted);
    }

    /// Returns whether there are lost records that must be restored before this host serves.
    pub(super) fn has_lost_records(&self) -> bool {
        !self.recovery.lost_records.is_empty()
    }

    /// Appends the next lost record again, based on the current revision.
    pub(super) fn restore_lost_records(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.reader.is_verified(now) || !self.caught_up {
            return;
        }
        while let Some(record) = self.recovery.lost_records.first_mut() {
            match self.state.verdict(record) {
                None => break,
                Some(Verdict::Void(_)) => assign_new_id(record),
                Some(_) => {
                    self.recovery.lost_records.remove(0);
                }
            }
        }
        let Some(record) = self.recovery.lost_records.first() else {
            return;
        };
        let restored_at = self.recovery.restored_at;
        if restored_at.is_some_and(|at| now.since_ms(at) < RESTORE_INTERVAL_MS) {
            return;
        }
        let record = rebase(record, &self.state);
        self.recovery.restored_at = Some(now);
        if let Some(id) = record.id().cloned() {
            self.record_decision_on(now, id, "log_lost", "bring_back", &[]);
        }
        self.append(record, out);
    }
}

/// Assigns a new id to a record whose old id was voided, because another change came first.
fn assign_new_id(record: &mut Record) {
    if let Record::Change(Change { id, .. }) | Record::Drain { id, .. } = record {
        *id = format!("{id}+").into();
    }
}

/// Returns a record that is based on the current revision of its environment.
fn rebase(record: &Record, state: &State) -> Record {
    match record {
        Record::Change(change) => Record::Change(Change {
            based_on: state.revision(&change.environment),
            ..change.clone()
        }),
        record => record.clone(),
    }
}
