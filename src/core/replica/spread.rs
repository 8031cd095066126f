//! Spread between hosts: questions and answers about positions, and pushes of what is new.
//!
//! A host asks one other in each round and pushes news to a few, however many hosts there are.
//! What answers say about the age of news is judged in [`super::vouch`].

use std::collections::BTreeMap;

use super::{
    Action, Policy, Replica,
    message::{
        Item,
        Message, //
    },
};
use crate::{
    core::{
        host::Id,
        state::{
            Position,
            Snapshot, //
        },
        view::Health,
    },
    time::Instant,
};

/// Time between two rounds of questions, in milliseconds.
const ROUND_MS: u64 = 250;

/// Most members that a starting host asks in one round.
const START_QUESTIONS: usize = 16;

/// Members to which news is pushed.
const PUSH_FANOUT: usize = 3;

/// Most records in one message.
const ENTRIES_LIMIT: usize = 64;

/// Time after which a question has lapsed, in milliseconds.
const QUESTION_LIMIT_MS: u64 = 5_000;

/// Shortest time between two requests for records, in milliseconds.
const WANT_PAUSE_MS: u64 = 100;

/// Shortest time between two snapshots sent to others, in milliseconds.
const SNAPSHOT_PAUSE_MS: u64 = 200;

/// A question that isn't answered yet.
struct Question {
    to: Id,
    sent_at: Instant,
}

/// Where the spread stands.
#[derive(Default)]
pub(super) struct Spread {
    next_at: Instant,
    round: u64,
    number: u64,
    questions: BTreeMap<u64, Question>,
    positions: BTreeMap<Id, Position>,
    wanted_at: Option<Instant>,
    snapshot_at: Option<Instant>,
    /// Position up to which news was pushed.
    pushed: Position,
}

impl Spread {
    /// Returns whether another host is known to be further than a position.
    pub(super) fn is_ahead(&self, position: Position) -> bool {
        self.positions.values().any(|held| *held > position)
    }

    /// Returns a number for a question that is about to be sent.
    pub(super) fn ask(&mut self, now: Instant, to: &Id) -> u64 {
        self.number += 1;
        let question = Question {
            to: to.clone(),
            sent_at: now,
        };
        self.questions.insert(self.number, question);
        self.number
    }

    /// Returns when the question was sent that this answers, where it was asked of that host.
    pub(super) fn take(&mut self, number: u64, from: &Id) -> Option<Instant> {
        if self.questions.get(&number)?.to != *from {
            return None;
        }
        let question = self.questions.remove(&number)?;
        Some(question.sent_at)
    }

    /// Takes a position as pushed, because others had it first.
    pub(super) fn skip_to(&mut self, position: Position) {
        self.pushed = position;
    }

    fn drop_lapsed(&mut self, now: Instant) {
        self.questions
            .retain(|_, question| now.since_ms(question.sent_at) < QUESTION_LIMIT_MS);
    }
}

impl Replica {
    /// Returns how many other hosts are known to hold what this host holds at a position.
    ///
    /// A host of another generation may lack it, however far it is.
    pub(super) fn holders(&self, position: Position) -> usize {
        let generation = self.position.generation;
        let least = match position.generation == generation {
            true => position.next,
            false => 0,
        };
        let positions = self.spread.positions.values();
        positions
            .filter(|held| held.generation == generation && held.next >= least)
            .count()
    }

    /// Returns whether news comes from other hosts too.
    pub(super) fn is_spreading(&self) -> bool {
        self.policy == Policy::Teaselchute
    }

    /// Asks others where it's time to.
    pub(super) fn gossip(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.is_spreading() || now < self.spread.next_at {
            return;
        }
        self.spread.next_at = now.after_ms(ROUND_MS + self.draw(ROUND_MS / 4));
        self.spread.round += 1;
        self.spread.drop_lapsed(now);
        let members = &self.members;
        self.spread
            .positions
            .retain(|id, _| members.iter().any(|member| member.host.id == *id));
        for to in self.questioned(now) {
            let query = self.spread.ask(now, &to);
            let message = self.digest(now, 0, query);
            out.push(Action::Send { to, message });
        }
    }

    /// Returns whom to ask in this round.
    fn questioned(&mut self, now: Instant) -> Vec<Id> {
        if !self.current {
            let ids = self.vouch.unanswered(&self.members);
            return self.draw_from(ids, START_QUESTIONS);
        }
        let is_cut_off = self.reading.failed_since.is_some()
            || !self.reading.is_following()
            || now.since_ms(self.fresh_at) > super::vouch::PATIENCE_MS;
        if is_cut_off && self.spread.round.is_multiple_of(2) {
            return self.one_in_each_data_centre();
        }
        self.sample(1)
    }

    fn one_in_each_data_centre(&mut self) -> Vec<Id> {
        let mut by_place: BTreeMap<_, Vec<Id>> = BTreeMap::new();
        for member in &self.members {
            let ids = by_place.entry(member.host.data_centre.clone()).or_default();
            ids.push(member.host.id.clone());
        }
        let mut ids = Vec::new();
        for mut group in by_place.into_values() {
            let index = self.draw(group.len() as u64) as usize;
            ids.push(group.swap_remove(index));
        }
        ids
    }

    /// Draws some members, suspects only now and then.
    fn sample(&mut self, count: usize) -> Vec<Id> {
        let with_suspects = self.draw(8) == 0;
        let ids = self
            .members
            .iter()
            .filter(|member| with_suspects || member.health != Health::Suspect)
            .map(|member| member.host.id.clone())
            .collect();
        self.draw_from(ids, count)
    }

    fn draw_from(&mut self, mut ids: Vec<Id>, count: usize) -> Vec<Id> {
        let mut drawn = Vec::new();
        while drawn.len() < count && !ids.is_empty() {
            let index = self.draw(ids.len() as u64) as usize;
            drawn.push(ids.swap_remove(index));
        }
        drawn
    }

    fn digest(&self, now: Instant, reply_to: u64, query: u64) -> Message {
        Message::Digest {
            position: self.position,
            age_ms: now.since_ms(self.fresh_at),
            current: self.current,
            reply_to,
            query,
        }
    }

    /// Pushes records that were applied since the last push.
    pub(super) fn push_news(&mut self, out: &mut Vec<Action>) {
        if !self.is_spreading() || !self.current || self.spread.pushed == self.position {
            return;
        }
        let pushed = std::mem::replace(&mut self.spread.pushed, self.position);
        let from = if pushed.generation == self.position.generation {
            pushed.next
        } else {
            self.position.next
        };
        let items = self.tail.from(from.saturating_sub(1), ENTRIES_LIMIT);
        if items.is_empty() {
            return;
        }
        for to in self.sample(PUSH_FANOUT) {
            let message = Message::Entries {
                generation: self.position.generation,
                items: items.clone(),
            };
            out.push(Action::Send { to, message });
        }
    }

    pub(super) fn on_digest(
        &mut self,
        now: Instant,
        from: Id,
        position: Position,
        out: &mut Vec<Action>,
    ) {
        self.spread.positions.insert(from.clone(), position);
        if position > self.position {
            self.want(now, from, out);
        }
    }

    /// Answers a question about this host's position.
    pub(super) fn answer_digest(&self, now: Instant, to: Id, query: u64, out: &mut Vec<Action>) {
        let message = self.digest(now, query, 0);
        out.push(Action::Send { to, message });
    }

    /// Asks a host that is further for what this one lacks.
    pub(super) fn want(&mut self, now: Instant, to: Id, out: &mut Vec<Action>) {
        let wanted_at = self.spread.wanted_at;
        if wanted_at.is_some_and(|at| now.since_ms(at) < WANT_PAUSE_MS) {
            return;
        }
        self.spread.wanted_at = Some(now);
        let message = Message::Fetch {
            from: self.position,
        };
        out.push(Action::Send { to, message });
    }

    /// Gives a host what it lacks: records where they are kept, else the whole state.
    pub(super) fn on_want(&mut self, now: Instant, to: Id, from: Position, out: &mut Vec<Action>) {
        // Where the log went on with other records, this host's own lead nowhere.
        if from >= self.position || self.is_split_confirmed() {
            return;
        }
        let generation = self.position.generation;
        if from.generation == generation {
            let items = self.tail.from(from.next.saturating_sub(1), ENTRIES_LIMIT);
            if !items.is_empty() {
                let message = Message::Entries { generation, items };
                out.push(Action::Send { to, message });
                return;
            }
        }
        let snapshot_at = self.spread.snapshot_at;
        if snapshot_at.is_some_and(|at| now.since_ms(at) < SNAPSHOT_PAUSE_MS) {
            return;
        }
        self.spread.snapshot_at = Some(now);
        let message = Message::Snapshot(Box::new(self.snapshot()));
        out.push(Action::Send { to, message });
    }

    pub(super) fn on_entries(
        &mut self,
        now: Instant,
        from: Id,
        generation: u64,
        items: Vec<Item>,
        out: &mut Vec<Action>,
    ) {
        let Some(last) = items.last() else {
            return;
        };
        let theirs = Position {
            generation,
            next: last.offset + 1,
        };
        self.spread.positions.insert(from.clone(), theirs);
        if generation == self.position.generation {
            self.take_items(now, items);
        }
        if self.position < theirs {
            self.want(now, from, out);
        } else {
            // The sender learns that the news arrived.
            self.answer_digest(now, from, 0, out);
        }
    }

    fn take_items(&mut self, now: Instant, items: Vec<Item>) {
        // Without the newest record that is applied here, it isn't known to be the same history.
        let next = self.position.next;
        if next > 0 && items.first().is_some_and(|item| item.offset >= next) {
            return;
        }
        for item in items {
            let next = self.position.next;
            if item.offset + 1 == next && item.digest != self.last {
                if self.reading.is_following() {
                    self.begin_search(now, "peer_differs", item.offset);
                }
                return;
            }
            if item.offset == next {
                self.apply(now, item);
            }
        }
    }

    pub(super) fn on_snapshot(&mut self, now: Instant, snapshot: &Snapshot) {
        if snapshot.position > self.position {
            self.meet_snapshot(now, snapshot, "peer");
        }
    }
}
