//! The queue of one pool: weighted fair queueing among organisations, and within an organisation by
//! priority, then by deadline.
//!
//! Fairness comes before priority, since otherwise many urgent calls of one organisation would
//! delay the calls of all others. Organisations without waiting calls use no memory.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    core::call::{
        self,
        Call, //
    },
    names::Name,
    time::Instant,
};

/// Every this many turns of an organisation, its least urgent calls go first, which prevents
/// starvation.
const LEAST_URGENT_INTERVAL: u32 = 8;

/// Every this many turns of an organisation, a call of [`LATE_CLASS`] goes first.
const LATE_INTERVAL: u32 = 64;

/// Virtual time that a call takes at a weight of 1.
const TAG_UNIT: u64 = 1 << 20;

/// Class of calls that can't be answered in time any more and whose late answer is wanted. It is
/// above all priorities.
const LATE_CLASS: u16 = 256;

/// A call that waits in the queue.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The call.
    pub call: Call,
    /// When it was offered.
    pub offered_at: Instant,
    /// Latest time at which it can be sent and still be answered in time.
    pub send_by: Instant,
    /// Weight of its organisation relative to others.
    pub weight: u32,
}

/// Order of calls within an organisation: class, deadline, ID.
type Key = (u16, Instant, call::Id);

/// The waiting calls of one organisation.
#[derive(Default)]
struct Flow {
    calls: BTreeMap<Key, Entry>,
    /// Number of calls in each class.
    classes: BTreeMap<u16, usize>,
    /// Virtual time at which the organisation's next turn starts.
    tag: u64,
    weight: u64,
    turn: u32,
}

impl Flow {
    /// Returns the virtual time that all of its calls take.
    fn backlog(&self) -> u64 {
        self.calls.len() as u64 * TAG_UNIT / self.weight
    }

    /// Returns the virtual time that one of its calls takes.
    fn tag_step(&self) -> u64 {
        TAG_UNIT / self.weight
    }

    /// Starts the organisation's next turn, and returns the key of the call that goes first.
    fn next_key(&mut self) -> Option<Key> {
        self.turn = (self.turn + 1) % LATE_INTERVAL;
        let end = match self.turn {
            0 => LATE_CLASS + 1,
            turn if turn % LEAST_URGENT_INTERVAL == 0 => LATE_CLASS,
            _ => return self.calls.keys().next().copied(),
        };
        let class = match self.classes.range(..end).next_back() {
            Some((class, _)) => *class,
            None => LATE_CLASS,
        };
        let first = (class, Instant::ZERO, call::Id(0));
        self.calls.range(first..).next().map(|(key, _)| *key)
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        *self.classes.entry(key.0).or_default() += 1;
        self.calls.insert(key, entry);
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        let entry = self.calls.remove(&key)?;
        if let Some(count) = self.classes.get_mut(&key.0) {
            *count -= 1;
            if *count == 0 {
                self.classes.remove(&key.0);
            }
        }
        Some(entry)
    }
}

/// Position of a waiting call in the queue's indexes.
struct Location {
    organisation: Name,
    key: Key,
    send_by: Instant,
}

/// Waiting calls of one pool on this host.
#[derive(Default)]
pub struct Queue {
    flows: BTreeMap<Name, Flow>,
    /// Organisations in the order of their next turns.
    by_tag: BTreeSet<(u64, Name)>,
    /// Organisations in the order of their backlogs.
    by_backlog: BTreeSet<(u64, Name)>,
    locations: BTreeMap<call::Id, Location>,
    /// Calls in the order of the latest times at which they can be sent.
    send_deadlines: BTreeSet<(Instant, call::Id)>,
    virtual_time: u64,
    total_weight: u64,
}

impl Queue {
    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Estimates how many calls go before a new call of an organisation.
    pub fn calls_ahead(&self, priority: u8, organisation: &Name, weight: u32) -> usize {
        let weight = u64::from(weight.max(1));
        let (own, others) = match self.flows.get(organisation) {
            Some(flow) => {
                let before = flow.classes.range(..=u16::from(priority));
                let own: usize = before.map(|(_, count)| count).sum();
                (own as u64, self.total_weight - flow.weight)
            }
            None => (0, self.total_weight),
        };
        let turns = own + (own + 1) * others / weight;
        (turns as usize).min(self.len())
    }

    /// Adds a call.
    pub fn push(&mut self, entry: Entry) {
        let class = u16::from(entry.call.priority);
        self.insert(class, entry);
    }

    /// Removes and returns the next call in order.
    pub fn pop(&mut self) -> Option<Entry> {
        let name = self.by_tag.first()?.1.clone();
        let key = self.flows.get_mut(&name)?.next_key()?;
        self.take(&name, key, true)
    }

    /// Puts back a popped call that couldn't be sent, so that its organisation doesn't lose its
    /// turn.
    pub fn put_back(&mut self, entry: Entry, now: Instant) {
        let name = entry.call.request.organisation.clone();
        if let Some(flow) = self.flows.get_mut(&name) {
            self.by_tag.remove(&(flow.tag, name.clone()));
            flow.tag = flow.tag.saturating_sub(flow.tag_step());
            self.by_tag.insert((flow.tag, name));
        }
        let is_late = entry.call.late_answer_wanted && entry.send_by <= now;
        let class = if is_late {
            LATE_CLASS
        } else {
            u16::from(entry.call.priority)
        };
        self.insert(class, entry);
    }

    /// Removes a call.
    pub fn remove(&mut self, id: call::Id) -> Option<Entry> {
        let location = self.locations.get(&id)?;
        let (name, key) = (location.organisation.clone(), location.key);
        self.take(&name, key, false)
    }

    /// Removes the least urgent call with the latest deadline, from the organisation with the most
    /// waiting calls relative to its weight.
    ///
    /// Calls whose late answer is wanted are never evicted.
    pub fn evict(&mut self) -> Option<Entry> {
        let id = self.by_backlog.iter().rev().find_map(|(_, name)| {
            let calls = self.flows.get(name)?.calls.values().rev();
            let mut evictable = calls.filter(|entry| !entry.call.late_answer_wanted);
            evictable.next().map(|entry| entry.call.id)
        });
        self.remove(id?)
    }

    /// Removes one call that can't be answered in time any more.
    ///
    /// A call whose late answer is wanted stays in the queue, behind those that can be in time.
    pub fn expire(&mut self, now: Instant) -> Option<Entry> {
        while let Some(&(send_by, id)) = self.send_deadlines.first() {
            if send_by > now {
                return None;
            }
            let entry = self.remove(id)?;
            if !entry.call.late_answer_wanted {
                return Some(entry);
            }
            self.insert(LATE_CLASS, entry);
        }
        None
    }

    fn insert(&mut self, class: u16, entry: Entry) {
        let id = entry.call.id;
        let key = (class, entry.call.deadline, id);
        let name = entry.call.request.organisation.clone();
        let location = Location {
            organisation: name.clone(),
            key,
            send_by: entry.send_by,
        };
        if class != LATE_CLASS {
            self.send_deadlines.insert((entry.send_by, id));
        }
        let replaced = self.locations.insert(id, location);
        assert!(replaced.is_none(), "a call is in the queue only once");
        let flow = self.flows.entry(name.clone()).or_default();
        if flow.calls.is_empty() {
            flow.tag = self.virtual_time;
            flow.weight = u64::from(entry.weight.max(1));
            self.total_weight += flow.weight;
            self.by_tag.insert((flow.tag, name.clone()));
        } else {
            self.by_backlog.remove(&(flow.backlog(), name.clone()));
        }
        flow.insert(key, entry);
        self.by_backlog.insert((flow.backlog(), name));
    }

    /// Removes a call. If it is served, the virtual time and the tag of its organisation advance.
    fn take(&mut self, name: &Name, key: Key, served: bool) -> Option<Entry> {
        let flow = self.flows.get_mut(name)?;
        let backlog = flow.backlog();
        let entry = flow.remove(key)?;
        self.by_backlog.remove(&(backlog, name.clone()));
        self.by_tag.remove(&(flow.tag, name.clone()));
        if served {
            self.virtual_time = self.virtual_time.max(flow.tag);
            flow.tag += flow.tag_step();
        }
        if flow.calls.is_empty() {
            self.total_weight -= flow.weight;
            self.flows.remove(name);
        } else {
            self.by_tag.insert((flow.tag, name.clone()));
            self.by_backlog.insert((flow.backlog(), name.clone()));
        }
        if let Some(location) = self.locations.remove(&entry.call.id) {
            self.send_deadlines
                .remove(&(location.send_by, entry.call.id));
        }
        Some(entry)
    }
}
