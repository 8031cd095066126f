//! Pings: whom to ping next, which ones are late, and pings on behalf of others.

use std::collections::BTreeMap;

use rand::{
    Rng,
    SeedableRng,
    seq::SliceRandom, //
};
use rand_pcg::Pcg64Mcg;

use crate::{
    core::{
        host::{
            Host,
            Id, //
        },
        view::{
            Health,
            Member, //
        },
    },
    time::Instant,
};

/// Time after which a silent host is asked for through others, in milliseconds.
const LATE_MS: u64 = 250;

/// Time after which a host that is silent to all is suspected, in milliseconds.
const SILENT_MS: u64 = 1_000;

/// Times that others are asked about one silent host.
const ASKS: u64 = 2;

/// Hosts that are asked to ping a silent one, each time.
const HELPERS: usize = 4;

/// How many of them stand in a third region, where there is one.
const THIRD_REGION_HELPERS: usize = 2;

/// Largest factor by which a host that hears little stretches its own limits.
const SLOWNESS_LIMIT: u64 = 3;

/// Time for which a ping on behalf of another host is remembered, in milliseconds.
const RELAY_MS: u64 = 2_000;

struct Probe {
    target: Id,
    at: Instant,
    asks: u64,
    /// Silence suspects the target. Otherwise the target is in doubt already.
    is_first: bool,
}

struct Relay {
    asker: Host,
    number: u64,
    at: Instant,
}

/// Probes whose time has come.
#[derive(Default)]
pub(super) struct Due {
    /// Pings, by number, that others should repeat.
    pub(super) late: Vec<(u64, Id)>,
    /// Hosts that answered nobody, with the milliseconds waited.
    pub(super) silent: Vec<(Id, u64)>,
}

/// The pings of one host.
pub(super) struct Prober {
    rng: Pcg64Mcg,
    number: u64,
    probes: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    order: Vec<Id>,
    /// Rises when probes fail, which may be this host's own fault, and falls when they succeed.
    slowness: u64,
}

impl Prober {
    pub(super) fn new(own: &Id, seed: u64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(own.name.as_bytes());
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ hash ^ own.incarnation),
            number: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            order: Vec::new(),
            slowness: 0,
        }
    }

    /// Returns the next host to ping. Each comes once a round, in an order that is drawn anew.
    pub(super) fn target(&mut self, members: &[Member]) -> Option<Host> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                let index = members.binary_search_by(|member| member.host.id.cmp(&id));
                if let Ok(index) = index
                    && members[index].health != Health::Suspect
                {
                    return Some(members[index].host.clone());
                }
            }
            self.order = members
                .iter()
                .map(|member| member.host.id.clone())
                .collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    /// Takes a host that just came into the current round, at a place that is drawn.
    pub(super) fn join(&mut self, id: &Id) {
        let place = self.rng.random_range(0..=self.order.len() as u64) as usize;
        self.order.insert(place, id.clone());
    }

    /// Draws one of some hosts.
    pub(super) fn pick(&mut self, hosts: &[Host]) -> Option<Host> {
        if hosts.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..hosts.len() as u64) as usize;
        Some(hosts[index].clone())
    }

    /// Draws different hosts, those that are thought alive first.
    pub(super) fn draw(&mut self, members: &[Member], count: usize) -> Vec<Host> {
        let mut alive: Vec<&Member> = members
            .iter()
            .filter(|member| member.health == Health::Alive)
            .collect();
        if alive.is_empty() {
            alive = members.iter().collect();
        }
        let (drawn, _) = alive.partial_shuffle(&mut self.rng, count);
        drawn.iter().map(|member| member.host.clone()).collect()
    }

    /// Draws hosts that ping a silent one on this host's behalf.
    ///
    /// Those of a third region come first, since two regions may have lost each other.
    pub(super) fn helpers(&mut self, members: &[Member], own: &Host, target: &Host) -> Vec<Host> {
        let mut drawn = self.draw(members, members.len());
        drawn.retain(|host| host.id != target.id);
        let (mut helpers, others): (Vec<Host>, Vec<Host>) = drawn
            .into_iter()
            .partition(|host| host.region != own.region && host.region != target.region);
        helpers.truncate(THIRD_REGION_HELPERS);
        helpers.extend(others);
        helpers.truncate(HELPERS);
        helpers
    }

    /// Starts a probe and returns its number.
    pub(super) fn probe(&mut self, now: Instant, target: &Id) -> u64 {
        self.start(now, target, true)
    }

    /// Starts a probe of a host that is in doubt already.
    pub(super) fn recheck(&mut self, now: Instant, target: &Id) -> u64 {
        self.start(now, target, false)
    }

    fn start(&mut self, now: Instant, target: &Id, is_first: bool) -> u64 {
        self.number += 1;
        let probe = Probe {
            target: target.clone(),
            at: now,
            asks: 0,
            is_first,
        };
        self.probes.insert(self.number, probe);
        self.number
    }

    /// Remembers a ping on behalf of another host and returns its number.
    pub(super) fn relay(&mut self, now: Instant, asker: &Host, number: u64) -> u64 {
        self.number += 1;
        let relay = Relay {
            asker: asker.clone(),
            number,
            at: now,
        };
        self.relays.insert(self.number, relay);
        self.number
    }

    /// Returns who asked for the ping of this number, and with which number of its own.
    pub(super) fn relayed(&mut self, number: u64) -> Option<(Host, u64)> {
        let relay = self.relays.remove(&number)?;
        Some((relay.asker, relay.number))
    }

    /// Notes an answer. Returns whether it is that of an open probe of this host.
    pub(super) fn answered(&mut self, number: u64, from: &Id) -> bool {
        if self
            .probes
            .get(&number)
            .is_none_or(|probe| probe.target != *from)
        {
            return false;
        }
        self.probes.remove(&number);
        self.slowness = self.slowness.saturating_sub(1);
        true
    }

    /// Drops all open probes without blaming anybody.
    pub(super) fn forget(&mut self) {
        self.probes.clear();
    }

    /// Returns the probes whose time has come, each once for each limit.
    pub(super) fn due(&mut self, now: Instant) -> Due {
        let factor = 1 + self.slowness;
        let mut due = Due::default();
        let mut silent = Vec::new();
        for (number, probe) in &mut self.probes {
            let waited_ms = now.since_ms(probe.at);
            if waited_ms >= SILENT_MS * factor {
                silent.push(*number);
            } else if probe.is_first
                && probe.asks < ASKS
                && waited_ms >= LATE_MS * factor * (probe.asks + 1)
            {
                probe.asks += 1;
                due.late.push((*number, probe.target.clone()));
            }
        }
        for number in silent {
            if let Some(probe) = self.probes.remove(&number)
                && probe.is_first
            {
                self.slowness = (self.slowness + 1).min(SLOWNESS_LIMIT - 1);
                due.silent.push((probe.target, now.since_ms(probe.at)));
            }
        }
        self.relays
            .retain(|_, relay| now.since_ms(relay.at) < RELAY_MS);
        due
    }
}
