//! Gossip between hosts: queries for positions, and pushes of new records.
//!
//! A host queries one other host in each round and pushes new records to a few, so its load doesn't
//! grow with the number of hosts. [`super::reports`] derives the age of the state from the answers.

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

/// Time between two rounds of queries, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 250;

/// Maximum number of members that a starting host queries in one round.
const STARTUP_QUERIES: usize = 16;

/// Number of members to which new records are pushed.
const PUSH_FANOUT: usize = 3;

/// Maximum number of records in one message.
const MAX_ENTRIES: usize = 64;

/// Time after which a query expires, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 5_000;

/// Minimum time between two requests for records, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 100;

/// Minimum time between two snapshots sent to other hosts, in milliseconds.
const SNAPSHOT_SEND_INTERVAL_MS: u64 = 200;

/// An unanswered query.
struct Query {
    to: Id,
    sent_at: Instant,
}

/// State of the gossip.
#[derive(Default)]
pub(super) struct Gossip {
    next_round_at: Instant,
    round: u64,
    last_query: u64,
    queries: BTreeMap<u64, Query>,
    /// Last known positions of other hosts.
    positions: BTreeMap<Id, Position>,
    fetched_at: Option<Instant>,
    snapshot_sent_at: Option<Instant>,
    /// Position up to which records were pushed.
    pushed: Position,
}

impl Gossip {
    /// Returns whether another host is known to be past a position.
    pub(super) fn is_any_ahead(&self, position: Position) -> bool {
        self.positions.values().any(|held| *held > position)
    }

    /// Registers a query to a host and returns its number.
    pub(super) fn new_query(&mut self, now: Instant, to: &Id) -> u64 {
        self.last_query += 1;
        let query = Query {
            to: to.clone(),
            sent_at: now,
        };
        self.queries.insert(self.last_query, query);
        self.last_query
    }

    /// Removes an answered query and returns when it was sent, if it was sent to that host.
    pub(super) fn complete_query(&mut self, number: u64, from: &Id) -> Option<Instant> {
        if self.queries.get(&number)?.to != *from {
            return None;
        }
        let query = self.queries.remove(&number)?;
        Some(query.sent_at)
    }

    /// Marks records up to a position as pushed, because other hosts had them first.
    pub(super) fn mark_pushed(&mut self, position: Position) {
        self.pushed = position;
    }

    fn drop_expired(&mut self, now: Instant) {
        self.queries
            .retain(|_, query| now.since_ms(query.sent_at) < QUERY_TIMEOUT_MS);
    }
}

impl Replica {
    /// Returns how many other hosts are known to hold the records up to a position.
    ///
    /// Only hosts of the current generation count. Hosts of another generation may lack the records
    /// at any position.
    pub(super) fn count_holders(&self, position: Position) -> usize {
        let generation = self.position.generation;
        let min_next = match position.generation == generation {
            true => position.next,
            false => 0,
        };
        let positions = self.gossip.positions.values();
        positions
            .filter(|held| held.generation == generation && held.next >= min_next)
            .count()
    }

    /// Returns whether records are exchanged with other hosts.
    pub(super) fn is_gossip_enabled(&self) -> bool {
        self.policy == Policy::Teaselchute
    }

    /// Queries other hosts if the next round is due.
    pub(super) fn run_gossip_round(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.is_gossip_enabled() || now < self.gossip.next_round_at {
            return;
        }
        self.gossip.next_round_at =
            now.after_ms(ROUND_INTERVAL_MS + self.random_below(ROUND_INTERVAL_MS / 4));
        self.gossip.round += 1;
        self.gossip.drop_expired(now);
        let members = &self.members;
        self.gossip
            .positions
            .retain(|id, _| members.iter().any(|member| member.host.id == *id));
        for to in self.select_peers(now) {
            let query = self.gossip.new_query(now, &to);
            let message = self.digest_message(now, 0, query);
            out.push(Action::Send { to, message });
        }
    }

    /// Returns the members to query in this round.
    ///
    /// A host that may be cut off queries one member of each data centre in every second round.
    fn select_peers(&mut self, now: Instant) -> Vec<Id> {
        if !self.current {
            let ids = self.reports.unanswered(&self.members);
            return self.pick_random(ids, STARTUP_QUERIES);
        }
        let is_cut_off = self.reader.failed_since.is_some()
            || !self.reader.is_following()
            || now.since_ms(self.fresh_at) > super::reports::CUT_OFF_AFTER_MS;
        if is_cut_off && self.gossip.round.is_multiple_of(2) {
            return self.pick_one_per_data_centre();
        }
        self.sample_members(1)
    }

    fn pick_one_per_data_centre(&mut self) -> Vec<Id> {
        let mut by_data_centre: BTreeMap<_, Vec<Id>> = BTreeMap::new();
        for member in &self.members {
            let ids = by_data_centre
                .entry(member.host.data_centre.clone())
                .or_default();
            ids.push(member.host.id.clone());
        }
        let mut ids = Vec::new();
        for mut group in by_data_centre.into_values() {
            let index = self.random_below(group.len() as u64) as usize;
            ids.push(group.swap_remove(index));
        }
        ids
    }

    /// Picks random members. Suspects are included in one draw of eight.
    fn sample_members(&mut self, count: usize) -> Vec<Id> {
        let include_suspects = self.random_below(8) == 0;
        let ids = self
            .members
            .iter()
            .filter(|member| include_suspects || member.health != Health::Suspect)
            .map(|member| member.host.id.clone())
            .collect();
        self.pick_random(ids, count)
    }

    fn pick_random(&mut self, mut ids: Vec<Id>, count: usize) -> Vec<Id> {
        let mut picked = Vec::new();
        while picked.len() < count && !ids.is_empty() {
            let index = self.random_below(ids.len() as u64) as usize;
            picked.push(ids.swap_remove(index));
        }
        picked
    }

    fn digest_message(&self, now: Instant, reply_to: u64, query: u64) -> Message {
        Message::Digest {
            position: self.position,
            age_ms: now.since_ms(self.fresh_at),
            current: self.current,
            reply_to,
            query,
        }
    }

    /// Pushes the records applied since the last push.
    pub(super) fn push_records(&mut self, out: &mut Vec<Action>) {
        if !self.is_gossip_enabled() || !self.current || self.gossip.pushed == self.position {
            return;
        }
        let pushed = std::mem::replace(&mut self.gossip.pushed, self.position);
        let from = if pushed.generation == self.position.generation {
            pushed.next
        } else {
            self.position.next
        };
        let items = self.tail.items_from(from.saturating_sub(1), MAX_ENTRIES);
        if items.is_empty() {
            return;
        }
        for to in self.sample_members(PUSH_FANOUT) {
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
        self.gossip.positions.insert(from.clone(), position);
        if position > self.position {
            self.fetch(now, from, out);
        }
    }

    /// Sends this host's position to another host, as the answer to a query.
    pub(super) fn send_digest(&self, now: Instant, to: Id, query: u64, out: &mut Vec<Action>) {
        let message = self.digest_message(now, query, 0);
        out.push(Action::Send { to, message });
    }

    /// Requests the records that this host lacks from a host that is ahead.
    pub(super) fn fetch(&mut self, now: Instant, to: Id, out: &mut Vec<Action>) {
        let fetched_at = self.gossip.fetched_at;
        if fetched_at.is_some_and(|at| now.since_ms(at) < FETCH_INTERVAL_MS) {
            return;
        }
        self.gossip.fetched_at = Some(now);
        let message = Message::Fetch {
            from: self.position,
        };
        out.push(Action::Send { to, message });
    }

    /// Sends a host the records that it lacks, or the whole state if they aren't kept any more.
    pub(super) fn on_fetch(&mut self, now: Instant, to: Id, from: Position, out: &mut Vec<Action>) {
        // Once the log has diverged, this host's records are of no use to others.
        if from >= self.position || self.is_divergence_confirmed() {
            return;
        }
        let generation = self.position.generation;
        if from.generation == generation {
            let items = self
                .tail
                .items_from(from.next.saturating_sub(1), MAX_ENTRIES);
            if !items.is_empty() {
                let message = Message::Entries { generation, items };
                out.push(Action::Send { to, message });
                return;
            }
        }
        let snapshot_sent_at = self.gossip.snapshot_sent_at;
        if snapshot_sent_at.is_some_and(|at| now.since_ms(at) < SNAPSHOT_SEND_INTERVAL_MS) {
            return;
        }
        self.gossip.snapshot_sent_at = Some(now);
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
        self.gossip.positions.insert(from.clone(), theirs);
        if generation == self.position.generation {
            self.apply_items(now, items);
        }
        if self.position < theirs {
            self.fetch(now, from, out);
        } else {
            // Acknowledges the records.
            self.send_digest(now, from, 0, out);
        }
    }

    fn apply_items(&mut self, now: Instant, items: Vec<Item>) {
        // The items must include the newest applied record, whose digest shows that they continue
        // the same history.
        let next = self.position.next;
        if next > 0 && items.first().is_some_and(|item| item.offset >= next) {
            return;
        }
        for item in items {
            let next = self.position.next;
            if item.offset + 1 == next && item.digest != self.last_digest {
                if self.reader.is_following() {
                    self.start_search(now, "peer_differs", item.offset);
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
            self.adopt_snapshot(now, snapshot, "peer");
        }
    }
}
