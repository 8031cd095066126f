//! What is done about a log that lost records: anchoring it anew, or starting over.
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

/// Time between two rounds of questions about a loss, in milliseconds.
const ASK_MS: u64 = 1_000;

/// Time for which the loss must have been seen before the log is anchored anew, in milliseconds.
const CONFIRM_MS: u64 = 1_000;

/// Time between the turns of two hosts of neighbouring rank, in milliseconds.
const TURN_MS: u64 = 200;

/// Time between two anchors of one host, in milliseconds.
const ANCHOR_PAUSE_MS: u64 = 3_000;

/// Time for which a look at the whole log counts, in milliseconds.
const LOOK_LIMIT_MS: u64 = 2_000;

/// Time between two attempts to bring back a record, in milliseconds.
const BRING_PAUSE_MS: u64 = 500;

/// A loss that was confirmed by a search of the whole log.
struct Confirmed {
    since: Instant,
    /// When the log was last searched in vain.
    seen_at: Instant,
    end: Offset,
    split: bool,
    asked_at: Option<Instant>,
    anchored_at: Option<Instant>,
    answers: BTreeMap<Id, Position>,
}

/// Where the answer to a loss stands.
#[derive(Default)]
pub(super) struct Loss {
    confirmed: Option<Confirmed>,
    /// Accepted records that the log lost, which this host has to bring back.
    lost: Vec<Record>,
    brought_at: Option<Instant>,
}

impl Loss {
    fn is_over(&mut self) {
        self.confirmed = None;
    }
}

impl Replica {
    /// Takes note that the log, searched to its end, lacks what this host has applied.
    ///
    /// A split means that it holds other records in their place.
    pub(super) fn loss_confirmed(&mut self, now: Instant, end: Offset, split: bool) {
        match &mut self.loss.confirmed {
            Some(confirmed) => {
                // After a while without a look at the log, such as in an outage, all begins anew.
                if now.since_ms(confirmed.seen_at) > LOOK_LIMIT_MS {
                    confirmed.since = now;
                    confirmed.answers.clear();
                }
                confirmed.seen_at = now;
                confirmed.end = end;
                confirmed.split = split;
            }
            None => {
                self.decide(now, "log_lost", "ask_members", &[("end", end)]);
                self.loss.confirmed = Some(Confirmed {
                    since: now,
                    seen_at: now,
                    end,
                    split,
                    asked_at: None,
                    anchored_at: None,
                    answers: BTreeMap::new(),
                });
            }
        }
    }

    /// Goes on with the answer to a loss: asks all members, then anchors the log anew.
    pub(super) fn answer_loss(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.reading.is_following() {
            self.loss.is_over();
            return;
        }
        let turn_ms = self.turn(TURN_MS);
        let spreading = self.is_spreading();
        let Some(confirmed) = &mut self.loss.confirmed else {
            return;
        };
        let answers = &confirmed.answers;
        let unanswered: Vec<Id> = self
            .members
            .iter()
            .map(|member| member.host.id.clone())
            .filter(|id| !answers.contains_key(id))
            .collect();
        if spreading && !unanswered.is_empty() {
            let asked_at = confirmed.asked_at;
            if asked_at.is_none_or(|at| now.since_ms(at) >= ASK_MS) {
                confirmed.asked_at = Some(now);
                self.ask_loss(now, unanswered, out);
            }
            return;
        }
        let ahead = answers.values().any(|position| *position > self.position);
        let pausing = confirmed
            .anchored_at
            .is_some_and(|at| now.since_ms(at) < ANCHOR_PAUSE_MS);
        let is_old = now.since_ms(confirmed.seen_at) > LOOK_LIMIT_MS;
        if ahead || pausing || is_old || now.since_ms(confirmed.since) < CONFIRM_MS + turn_ms {
            return;
        }
        confirmed.anchored_at = Some(now);
        let at = confirmed.end;
        self.anchor(now, at, out);
    }

    /// Returns whether the log is known to hold other records than this host applied.
    pub(super) fn is_split_confirmed(&self) -> bool {
        let confirmed = &self.loss.confirmed;
        confirmed.as_ref().is_some_and(|confirmed| confirmed.split)
    }

    fn ask_loss(&mut self, now: Instant, members: Vec<Id>, out: &mut Vec<Action>) {
        for to in members {
            let query = self.spread.ask(now, &to);
            let message = Message::LossQuery { query };
            out.push(Action::Send { to, message });
        }
    }

    fn anchor(&mut self, now: Instant, at: Offset, out: &mut Vec<Action>) {
        let generation = self.position.generation + 1;
        let values = [("generation", generation), ("at", at)];
        self.decide(now, "log_lost", "anchor", &values);
        let anchor = Anchor {
            generation,
            log_end: at,
            snapshot: self.snapshot(),
        };
        let token = self.reading.token();
        let record = Box::new(Record::Anchor(Box::new(anchor)));
        out.push(Action::Log(log::Action::Append { token, record }));
    }

    /// Answers a host that saw a loss. Reads on their way may hold what the log lost, so they are
    /// dropped: the position in the answer can rise by what other hosts hold only.
    pub(super) fn on_loss(&mut self, now: Instant, from: Id, query: u64, out: &mut Vec<Action>) {
        let follows = self.reading.is_verified(now);
        self.reading.drop_outstanding(now);
        let message = Message::LossReply {
            reply_to: query,
            position: self.position,
            follows,
        };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn on_loss_seen(
        &mut self,
        now: Instant,
        from: Id,
        position: Position,
        follows: bool,
        out: &mut Vec<Action>,
    ) {
        if follows && self.is_split_confirmed() {
            // The sender went on without what this host holds, so this host has to give way.
            self.start_over(now, "log_split", position.next);
            return;
        }
        if position > self.position {
            self.want(now, from, out);
            return;
        }
        if let Some(confirmed) = &mut self.loss.confirmed {
            confirmed.answers.insert(from, position);
        }
    }

    /// Starts over as a new host does, because the log went on without records that this host
    /// holds. It doesn't serve until it has brought them back.
    pub(super) fn start_over(&mut self, now: Instant, rule: &'static str, seen: Offset) {
        let next = self.position.next;
        self.decide(
            now,
            rule,
            "start_over",
            &[("applied", next), ("seen", seen)],
        );
        self.collect_lost();
        self.state = State::default();
        self.position = Position::default();
        self.last = 0;
        self.current = false;
        self.caught_up = false;
        self.started_at = Some(now);
        self.tail.clear();
        self.vouch.reset();
        self.retention.reset();
        self.loss.is_over();
        self.begin_search(now, rule, seen);
    }

    /// Collects the accepted records that are kept, for [`Replica::bring_back`].
    ///
    /// Those that the log still holds are known there by their ids, and are left out then.
    fn collect_lost(&mut self) {
        let state = &self.state;
        let is_accepted = |record: &&Record| {
            let verdict = state.verdict(record);
            matches!(verdict, Some(Verdict::Accepted(_)))
        };
        let records = self.tail.iter().filter_map(|item| item.record());
        let accepted = records.filter(is_accepted).cloned();
        self.loss.lost.extend(accepted);
    }

    /// Returns whether records are left that this host has to bring back before it serves.
    pub(super) fn has_lost(&self) -> bool {
        !self.loss.lost.is_empty()
    }

    /// Appends the next lost record anew, on the base that stands now.
    pub(super) fn bring_back(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.reading.is_verified(now) || !self.caught_up {
            return;
        }
        while let Some(record) = self.loss.lost.first_mut() {
            match self.state.verdict(record) {
                None => break,
                Some(Verdict::Void(_)) => rename(record),
                Some(_) => {
                    self.loss.lost.remove(0);
                }
            }
        }
        let Some(record) = self.loss.lost.first() else {
            return;
        };
        let brought_at = self.loss.brought_at;
        if brought_at.is_some_and(|at| now.since_ms(at) < BRING_PAUSE_MS) {
            return;
        }
        let record = rebased(record, &self.state);
        self.loss.brought_at = Some(now);
        if let Some(id) = record.id().cloned() {
            self.decide_on(now, id, "log_lost", "bring_back", &[]);
        }
        self.append(record, out);
    }
}

/// Gives a record another id, because the one it had was voided: another change came between.
fn rename(record: &mut Record) {
    if let Record::Change(Change { id, .. }) | Record::Drain { id, .. } = record {
        *id = format!("{id}+").into();
    }
}

fn rebased(record: &Record, state: &State) -> Record {
    match record {
        Record::Change(change) => Record::Change(Change {
            based_on: state.revision(&change.environment),
            ..change.clone()
        }),
        record => record.clone(),
    }
}
