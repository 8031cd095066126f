//! Failure detection: order of pings, timeouts, and indirect pings on behalf of other hosts.

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

/// Time without an answer after which a host is pinged indirectly, in milliseconds.
const INDIRECT_PING_MS: u64 = 250;

/// Time without any answer, direct or indirect, after which a host is suspected, in milliseconds.
const SUSPECT_MS: u64 = 1_000;

/// Rounds of indirect pings per probe.
const INDIRECT_ROUNDS: u64 = 2;

/// Hosts that are asked to relay a ping, per round.
const RELAY_HOSTS: usize = 4;

/// Number of [`RELAY_HOSTS`] that are taken from a third region, where there is one.
const THIRD_REGION_RELAY_HOSTS: usize = 2;

/// Largest factor by which a host extends its timeouts when its own probes fail.
const MAX_TIMEOUT_FACTOR: u64 = 3;

/// Time for which a relayed ping is kept, in milliseconds.
const RELAY_TTL_MS: u64 = 2_000;

/// A ping of this host that is not answered yet.
struct Probe {
    target: Id,
    sent_at: Instant,
    indirect_rounds: u64,
    /// Whether a timeout makes the target suspect. False if it is suspected or missing already.
    may_suspect: bool,
}

/// A ping on behalf of another host.
struct Relay {
    requester: Host,
    /// Sequence number of the request.
    sequence: u64,
    at: Instant,
}

/// Probes that reached a timeout.
#[derive(Default)]
pub(super) struct Due {
    /// Targets to ping indirectly, with the sequence number of the probe.
    pub(super) late: Vec<(u64, Id)>,
    /// Targets that answered no ping, with the time waited in milliseconds.
    pub(super) unresponsive: Vec<(Id, u64)>,
}

/// Prober of one host.
pub(super) struct Prober {
    rng: Pcg64Mcg,
    sequence: u64,
    probes: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    /// Hosts left to ping in the current round.
    round: Vec<Id>,
    /// Local health as in Lifeguard: raised when a probe fails, which may be due to this host
    /// itself, and lowered when one succeeds. It extends the timeouts.
    health_score: u64,
}

impl Prober {
    pub(super) fn new(own: &Id, seed: u64) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(own.name.as_bytes());
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ hash ^ own.incarnation),
            sequence: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            round: Vec::new(),
            health_score: 0,
        }
    }

    /// Returns the next host to ping. Each is pinged once per round, in a random order.
    pub(super) fn next_target(&mut self, members: &[Member]) -> Option<Host> {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                let index = members.binary_search_by(|member| member.host.id.cmp(&id));
                if let Ok(index) = index
                    && members[index].health != Health::Suspect
                {
                    return Some(members[index].host.clone());
                }
            }
            self.round = members
                .iter()
                .map(|member| member.host.id.clone())
                .collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    /// Inserts a host into the current round at a random position.
    pub(super) fn insert(&mut self, id: &Id) {
        let index = self.rng.random_range(0..=self.round.len() as u64) as usize;
        self.round.insert(index, id.clone());
    }

    /// Returns one of the hosts at random.
    pub(super) fn choose(&mut self, hosts: &[Host]) -> Option<Host> {
        if hosts.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..hosts.len() as u64) as usize;
        Some(hosts[index].clone())
    }

    /// Returns a random sample of the hosts that are thought alive, or of all hosts if none is.
    pub(super) fn sample(&mut self, members: &[Member], count: usize) -> Vec<Host> {
        let mut alive: Vec<&Member> = members
            .iter()
            .filter(|member| member.health == Health::Alive)
            .collect();
        if alive.is_empty() {
            alive = members.iter().collect();
        }
        let (sampled, _) = alive.partial_shuffle(&mut self.rng, count);
        sampled.iter().map(|member| member.host.clone()).collect()
    }

    /// Returns random hosts to relay pings to a target.
    ///
    /// Hosts of a third region come first, since the link between two regions may be down.
    pub(super) fn relay_hosts(
        &mut self,
        members: &[Member],
        own: &Host,
        target: &Host,
    ) -> Vec<Host> {
        let mut sampled = self.sample(members, members.len());
        sampled.retain(|host| host.id != target.id);
        let (mut relay_hosts, others): (Vec<Host>, Vec<Host>) = sampled
            .into_iter()
            .partition(|host| host.region != own.region && host.region != target.region);
        relay_hosts.truncate(THIRD_REGION_RELAY_HOSTS);
        relay_hosts.extend(others);
        relay_hosts.truncate(RELAY_HOSTS);
        relay_hosts
    }

    /// Starts a probe and returns its sequence number.
    pub(super) fn probe(&mut self, now: Instant, target: &Id) -> u64 {
        self.start(now, target, true)
    }

    /// Starts a probe of a host that is suspected or missing from the host list already.
    pub(super) fn recheck(&mut self, now: Instant, target: &Id) -> u64 {
        self.start(now, target, false)
    }

    fn start(&mut self, now: Instant, target: &Id, may_suspect: bool) -> u64 {
        self.sequence += 1;
        let probe = Probe {
            target: target.clone(),
            sent_at: now,
            indirect_rounds: 0,
            may_suspect,
        };
        self.probes.insert(self.sequence, probe);
        self.sequence
    }

    /// Records a ping on behalf of another host and returns its sequence number.
    pub(super) fn relay(&mut self, now: Instant, requester: &Host, sequence: u64) -> u64 {
        self.sequence += 1;
        let relay = Relay {
            requester: requester.clone(),
            sequence,
            at: now,
        };
        self.relays.insert(self.sequence, relay);
        self.sequence
    }

    /// Returns the host that requested this relayed ping, and the sequence number of its request.
    pub(super) fn take_relay(&mut self, sequence: u64) -> Option<(Host, u64)> {
        let relay = self.relays.remove(&sequence)?;
        Some((relay.requester, relay.sequence))
    }

    /// Ends the probe that this answer matches. Returns whether there is one.
    pub(super) fn acknowledge(&mut self, sequence: u64, from: &Id) -> bool {
        if self
            .probes
            .get(&sequence)
            .is_none_or(|probe| probe.target != *from)
        {
            return false;
        }
        self.probes.remove(&sequence);
        self.health_score = self.health_score.saturating_sub(1);
        true
    }

    /// Drops all open probes without suspecting their targets.
    pub(super) fn clear(&mut self) {
        self.probes.clear();
    }

    /// Returns the probes that reached a timeout, each once per timeout.
    pub(super) fn due(&mut self, now: Instant) -> Due {
        let factor = 1 + self.health_score;
        let mut due = Due::default();
        let mut timed_out = Vec::new();
        for (sequence, probe) in &mut self.probes {
            let waited_ms = now.since_ms(probe.sent_at);
            if waited_ms >= SUSPECT_MS * factor {
                timed_out.push(*sequence);
            } else if probe.may_suspect
                && probe.indirect_rounds < INDIRECT_ROUNDS
                && waited_ms >= INDIRECT_PING_MS * factor * (probe.indirect_rounds + 1)
            {
                probe.indirect_rounds += 1;
                due.late.push((*sequence, probe.target.clone()));
            }
        }
        for sequence in timed_out {
            if let Some(probe) = self.probes.remove(&sequence)
                && probe.may_suspect
            {
                self.health_score = (self.health_score + 1).min(MAX_TIMEOUT_FACTOR - 1);
                due.unresponsive
                    .push((probe.target, now.since_ms(probe.sent_at)));
            }
        }
        self.relays
            .retain(|_, relay| now.since_ms(relay.at) < RELAY_TTL_MS);
        due
    }
}
