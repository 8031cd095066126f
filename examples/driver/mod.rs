//! The seeded driver of the pure core: virtual time, a network with faults, pauses and crashes.
//!
//! It knows nothing of what its events mean. The same seed gives the same run on every machine:
//! only integers are drawn, and events of one instant come in the order in which they were put.
#![allow(dead_code, reason = "each example uses its own part of the driver")]

pub mod log;
pub mod replicas;
pub mod server;
pub mod world;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::time::Instant;

/// Index of a process in the run.
pub type Process = usize;

/// Chances and delays of the network, in parts of a thousand and milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Chance that a message is lost.
    pub loss_permille: u64,
    /// Chance that a message comes twice.
    pub double_permille: u64,
    /// Chance that a message is held back, so that later ones overtake it.
    pub hold_permille: u64,
    /// Longest time for which a message is held back.
    pub hold_ms: u64,
    /// Delay within one data centre.
    pub near_ms: u64,
    /// Delay between data centres of one region.
    pub region_ms: u64,
    /// Delay between regions.
    pub far_ms: u64,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss_permille: 0,
            double_permille: 0,
            hold_permille: 0,
            hold_ms: 500,
            near_ms: 1,
            region_ms: 1,
            far_ms: 20,
        }
    }
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Index of its region.
    pub region: usize,
    /// Index of its data centre, over all regions.
    pub data_centre: usize,
}

struct Slot {
    place: Place,
    /// Rises with each crash, so that events for the life before are dropped.
    life: u64,
    up: bool,
    paused_until: Instant,
}

struct Entry<E> {
    at: Instant,
    number: u64,
    process: Process,
    life: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Virtual time, a queue of events, and the faults that befall them.
pub struct Driver<E> {
    now: Instant,
    queue: BinaryHeap<Reverse<Entry<E>>>,
    number: u64,
    slots: Vec<Slot>,
    cuts: Vec<(Place, Place, Instant)>,
    /// The run's only source of randomness.
    pub rng: Pcg64Mcg,
    /// The network's chances and delays.
    pub network: Network,
    /// How often each kind of fault occurred.
    pub faults: BTreeMap<&'static str, u64>,
    /// Count of events handed out.
    pub events: u64,
}

impl<E: Clone> Driver<E> {
    /// Makes a driver at time 0 without processes.
    pub fn new(seed: u64, network: Network) -> Self {
        Self {
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            number: 0,
            slots: Vec::new(),
            cuts: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            network,
            faults: BTreeMap::new(),
            events: 0,
        }
    }

    /// Adds a process that is up and returns its index.
    pub fn add(&mut self, place: Place) -> Process {
        self.slots.push(Slot {
            place,
            life: 0,
            up: true,
            paused_until: Instant::ZERO,
        });
        self.slots.len() - 1
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns where a process stands.
    pub fn place(&self, process: Process) -> Place {
        self.slots[process].place
    }

    /// Returns whether a process is up, perhaps paused.
    pub fn is_up(&self, process: Process) -> bool {
        self.slots[process].up
    }

    /// Returns whether a process is paused now.
    pub fn is_paused(&self, process: Process) -> bool {
        self.slots[process].paused_until > self.now
    }

    /// Draws a number from 0 to one less than `end`.
    pub fn draw(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    /// Draws whether something with this chance in a thousand happens.
    pub fn chance(&mut self, permille: u64) -> bool {
        permille > 0 && self.draw(1_000) < permille
    }

    /// Counts a fault.
    pub fn count(&mut self, fault: &'static str) {
        *self.faults.entry(fault).or_default() += 1;
    }

    /// Puts an event for a process, without faults. It is dropped where the process crashes before.
    pub fn put(&mut self, delay_ms: u64, process: Process, event: E) {
        let at = self.now.after_ms(delay_ms);
        let life = self.slots[process].life;
        self.put_at(at, process, life, event);
    }

    fn put_at(&mut self, at: Instant, process: Process, life: u64, event: E) {
        self.number += 1;
        self.queue.push(Reverse(Entry {
            at,
            number: self.number,
            process,
            life,
            event,
        }));
    }

    /// Sends an event from one process to another through the network and its faults.
    pub fn send(&mut self, from: Process, to: Process, event: E) {
        if self.is_cut(from, to) {
            self.count("cut");
            return;
        }
        if self.chance(self.network.loss_permille) {
            self.count("loss");
            return;
        }
        if self.chance(self.network.double_permille) {
            self.count("double");
            let delay_ms = self.delay_ms(from, to);
            self.put(delay_ms, to, event.clone());
        }
        let delay_ms = self.delay_ms(from, to);
        self.put(delay_ms, to, event);
    }

    /// Draws the time of one message from one process to another.
    pub fn delay_ms(&mut self, from: Process, to: Process) -> u64 {
        let (from, to) = (self.slots[from].place, self.slots[to].place);
        let base_ms = if from.data_centre == to.data_centre {
            self.network.near_ms
        } else if from.region == to.region {
            self.network.region_ms
        } else {
            self.network.far_ms
        };
        let jitter_ms = self.draw(base_ms / 4 + 1);
        if self.chance(self.network.hold_permille) {
            self.count("reorder");
            return base_ms + jitter_ms + self.draw(self.network.hold_ms);
        }
        base_ms + jitter_ms
    }

    /// Cuts messages one way between the regions of two places.
    pub fn cut(&mut self, from: Place, to: Place, for_ms: u64) {
        self.count("region_cut");
        let until = self.now.after_ms(for_ms);
        self.cuts.push((from, to, until));
    }

    /// Returns whether messages from one process to another are cut now.
    pub fn is_cut(&self, from: Process, to: Process) -> bool {
        let (from, to) = (self.slots[from].place, self.slots[to].place);
        from.region != to.region
            && self.cuts.iter().any(|(a, b, until)| {
                *until > self.now && a.region == from.region && b.region == to.region
            })
    }

    /// Pauses a process: its events wait until it wakes.
    pub fn pause(&mut self, process: Process, for_ms: u64) {
        self.count("pause");
        let until = self.now.after_ms(for_ms);
        let slot = &mut self.slots[process];
        // A second pause doesn't end the first one, whose events wait for its end.
        slot.paused_until = slot.paused_until.max(until);
    }

    /// Crashes a process: all events for this life are dropped.
    pub fn crash(&mut self, process: Process) {
        self.count("crash");
        self.slots[process].life += 1;
        self.slots[process].up = false;
    }

    /// Starts a process that had crashed.
    pub fn start(&mut self, process: Process) {
        self.slots[process].up = true;
        self.slots[process].paused_until = Instant::ZERO;
    }

    /// Returns the life of a process, which a crash ends.
    pub fn life(&self, process: Process) -> u64 {
        self.slots[process].life
    }

    /// Returns the next event and its process, or nothing at the end of the run.
    pub fn next(&mut self, end: Instant) -> Option<(Process, E)> {
        loop {
            // An event after the end stays for a run that goes on.
            if self.queue.peek()?.0.at > end {
                return None;
            }
            let Reverse(entry) = self.queue.pop()?;
            self.now = self.now.max(entry.at);
            let slot = &self.slots[entry.process];
            if entry.life != slot.life {
                continue;
            }
            if slot.paused_until > self.now {
                // The number stays, so that a pause doesn't change the order on a connection.
                let at = slot.paused_until;
                self.queue.push(Reverse(Entry { at, ..entry }));
                continue;
            }
            self.events += 1;
            return Some((entry.process, entry.event));
        }
    }
}
