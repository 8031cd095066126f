//! The queue of one pool: priority first, then weighted fair among organisations, then deadline.
//!
//! Organisations without waiting calls take no memory.

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

/// Every this many calls the least urgent class goes first, so that none starves.
const STARVE_EVERY: u32 = 16;

/// Virtual time that a call takes at weight 1.
const TAG_STEP: u64 = 1 << 20;

/// Class of calls whose deadline has passed and whose answer is wanted all the same.
const LATE_CLASS: u16 = 256;

/// A call that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The call.
    pub call: Call,
    /// When it was offered.
    pub offered_at: Instant,
    /// When it has to be sent at the latest in order to be answered in time.
    pub latest: Instant,
    /// Share of its organisation relative to others.
    pub weight: u32,
}

#[derive(Default)]
struct Flow {
    calls: BTreeMap<(Instant, call::Id), Waiting>,
    tag: u64,
    weight: u64,
}

impl Flow {
    fn excess(&self) -> u64 {
        self.calls.len() as u64 * TAG_STEP / self.weight
    }
}

#[derive(Default)]
struct Class {
    flows: BTreeMap<Name, Flow>,
    order: BTreeSet<(u64, Name)>,
    longest: BTreeSet<(u64, Name)>,
    virtual_time: u64,
    len: usize,
}

impl Class {
    fn push(&mut self, waiting: Waiting) {
        let name = waiting.call.request.organisation.clone();
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(name.clone()).or_default();
        if flow.calls.is_empty() {
            flow.tag = virtual_time;
            flow.weight = u64::from(waiting.weight.max(1));
            self.order.insert((flow.tag, name.clone()));
        } else {
            self.longest.remove(&(flow.excess(), name.clone()));
        }
        flow.calls
            .insert((waiting.call.deadline, waiting.call.id), waiting);
        self.longest.insert((flow.excess(), name));
        self.len += 1;
    }

    fn take(&mut self, name: &Name, key: (Instant, call::Id), served: bool) -> Option<Waiting> {
        let flow = self.flows.get_mut(name)?;
        let excess = flow.excess();
        let waiting = flow.calls.remove(&key)?;
        self.len -= 1;
        self.longest.remove(&(excess, name.clone()));
        self.order.remove(&(flow.tag, name.clone()));
        if served {
            self.virtual_time = self.virtual_time.max(flow.tag);
            flow.tag += TAG_STEP / flow.weight;
        }
        if flow.calls.is_empty() {
            self.flows.remove(name);
        } else {
            self.order.insert((flow.tag, name.clone()));
            self.longest.insert((flow.excess(), name.clone()));
        }
        Some(waiting)
    }

    fn pop(&mut self) -> Option<Waiting> {
        let name = self.order.first()?.1.clone();
        let key = *self.flows.get(&name)?.calls.first_key_value()?.0;
        self.take(&name, key, true)
    }

    /// Gives a call back that was popped and couldn't be sent, with its turn.
    fn put_back(&mut self, waiting: Waiting) {
        let name = waiting.call.request.organisation.clone();
        if let Some(flow) = self.flows.get_mut(&name) {
            self.order.remove(&(flow.tag, name.clone()));
            flow.tag = flow.tag.saturating_sub(TAG_STEP / flow.weight);
            self.order.insert((flow.tag, name));
        }
        self.push(waiting);
    }

    fn last_of_longest(&self) -> Option<(Name, (Instant, call::Id))> {
        for (_, name) in self.longest.iter().rev() {
            let calls = &self.flows.get(name)?.calls;
            let last = calls
                .iter()
                .rev()
                .find(|(_, waiting)| !waiting.call.late_answer_wanted);
            if let Some((key, _)) = last {
                return Some((name.clone(), *key));
            }
        }
        None
    }
}

/// Where a waiting call stands.
struct Spot {
    class: u16,
    organisation: Name,
    key: (Instant, call::Id),
    latest: Instant,
}

/// All calls of one pool that wait on this host.
#[derive(Default)]
pub struct Queue {
    classes: BTreeMap<u16, Class>,
    spots: BTreeMap<call::Id, Spot>,
    latest: BTreeSet<(Instant, call::Id)>,
    turn: u32,
}

impl Queue {
    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.spots.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.spots.is_empty()
    }

    /// Returns how many calls go before the next one of an organisation.
    pub fn ahead(&self, priority: u8, organisation: &Name) -> usize {
        let mut ahead = 0;
        for (number, class) in &self.classes {
            if *number < u16::from(priority) {
                ahead += class.len;
            }
        }
        let Some(class) = self.classes.get(&u16::from(priority)) else {
            return ahead;
        };
        let own = class
            .flows
            .get(organisation)
            .map_or(0, |flow| flow.calls.len());
        ahead + class.len.min((own + 1) * class.flows.len())
    }

    /// Adds a call.
    pub fn push(&mut self, waiting: Waiting) {
        let class = u16::from(waiting.call.priority);
        self.note(class, &waiting);
        self.classes.entry(class).or_default().push(waiting);
    }

    /// Takes the call whose turn it is.
    pub fn pop(&mut self) -> Option<Waiting> {
        self.turn = (self.turn + 1) % STARVE_EVERY;
        let number = if self.turn == 0 {
            *self.classes.last_key_value()?.0
        } else {
            *self.classes.first_key_value()?.0
        };
        let class = self.classes.get_mut(&number)?;
        let waiting = class.pop()?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Gives back a call that was popped and couldn't be sent, with its turn.
    pub fn put_back(&mut self, waiting: Waiting, now: Instant) {
        let late = waiting.call.late_answer_wanted && waiting.latest <= now;
        let class = if late {
            LATE_CLASS
        } else {
            u16::from(waiting.call.priority)
        };
        self.note(class, &waiting);
        self.classes.entry(class).or_default().put_back(waiting);
    }

    /// Removes a call.
    pub fn remove(&mut self, id: call::Id) -> Option<Waiting> {
        let spot = self.spots.get(&id)?;
        let (number, name, key) = (spot.class, spot.organisation.clone(), spot.key);
        let waiting = self.classes.get_mut(&number)?.take(&name, key, false)?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Removes the call that is wanted least: of the least urgent class, of the organisation with
    /// the most calls for its weight, the one that is due last.
    pub fn evict(&mut self) -> Option<Waiting> {
        let victim = self
            .classes
            .values()
            .rev()
            .find_map(Class::last_of_longest)?;
        self.remove(victim.1.1)
    }

    /// Removes one call that can't be answered in time any more.
    ///
    /// A call whose late answer is wanted goes on waiting, behind those that can be in time.
    pub fn expire(&mut self, now: Instant) -> Option<Waiting> {
        while let Some(&(latest, id)) = self.latest.first() {
            if latest > now {
                return None;
            }
            let waiting = self.remove(id)?;
            if !waiting.call.late_answer_wanted {
                return Some(waiting);
            }
            self.note(LATE_CLASS, &waiting);
            self.classes.entry(LATE_CLASS).or_default().push(waiting);
        }
        None
    }

    fn note(&mut self, class: u16, waiting: &Waiting) {
        let spot = Spot {
            class,
            organisation: waiting.call.request.organisation.clone(),
            key: (waiting.call.deadline, waiting.call.id),
            latest: waiting.latest,
        };
        if class != LATE_CLASS {
            self.latest.insert((waiting.latest, waiting.call.id));
        }
        let before = self.spots.insert(waiting.call.id, spot);
        assert!(before.is_none(), "a call waits once");
    }

    fn forget(&mut self, waiting: &Waiting) {
        let id = waiting.call.id;
        if let Some(spot) = self.spots.remove(&id) {
            self.latest.remove(&(spot.latest, id));
            let empty = self
                .classes
                .get(&spot.class)
                .is_some_and(|class| class.len == 0);
            if empty {
                self.classes.remove(&spot.class);
            }
        }
    }
}
