//! Table of entry hosts and their liveness, from heartbeats in the platform's store and answers to probes.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

mod liveness;
mod peer_clock;

pub use liveness::Evidence;
use liveness::{
    Liveness,
    Reading, //
};

use super::{
    balance,
    limits,
    mac::Key,
    quarantine,
    quota,
    rollout::Phase, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Interval of the heartbeats of a host, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_300;

/// Time without a heartbeat after which a host counts as dead, in milliseconds: three heartbeats
/// and a read of the store.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 4_200;

/// Time without a heartbeat for which a host still counts in quotas, in milliseconds. Its process
/// may be paused and send its pending requests when it resumes.
const QUOTA_TIMEOUT_MS: u64 = 12_000;

/// Time between two reads of the heartbeats beyond which there is a gap, in milliseconds. Usually a read ends with the
/// next heartbeat, at the latest this host's own, and the next one follows after the interval of heartbeats. Heartbeats
/// that are read behind a gap may be as old, and the lack of one tells nothing.
const READ_GAP_MS: u64 = 3_000;

/// Age of the last heartbeat or answer of a host at which it is probed while there is a gap in the reading, in milliseconds: two
/// heartbeats.
const PROBE_AGE_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS;

/// Number of former incarnations of a host that are remembered, whose heartbeats may arrive late.
const MAX_FORMER: usize = 4;

/// Minimum capacity of a host that works for others, in percent of the largest host among them. Small
/// hosts have little processor time beside their own callers.
const MIN_COORDINATOR_PERCENT: u64 = 50;

/// Minimum number of hosts in a data centre for one of them to read the store for the others. With
/// fewer, the saved reads aren't worth the additional delay.
const MIN_SHARED_READ_HOSTS: usize = 4;

/// Heartbeat of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for calls of other hosts.
    pub peer_address: SocketAddr,
    /// Address for datagrams of other hosts.
    pub datagram_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Region of its data centre.
    pub region: Name,
    /// Incarnation of the host, unique to each start.
    pub incarnation: u64,
    /// Sequence number, ascending within an incarnation.
    pub sequence: u64,
    /// Time from the start of its process to this heartbeat, by its own clock, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it accepts callers.
    pub serving: bool,
    /// Version of its configuration.
    pub config_version: Option<u64>,
    /// Key for the MAC of messages to it. `None` if another host passed the heartbeat on.
    pub key: Option<Key>,
    /// Capacity of its processor, in thousandths of a core.
    pub capacity: u32,
    /// What the host reports about crashes of servers.
    pub report: quarantine::Report,
    /// What servers said about the rates of requests that they take.
    pub limits: Vec<limits::Limit>,
    /// Orders that are open at the host, for hosts that its datagrams don't reach.
    pub rollouts: Vec<Rollout>,
}

/// An order to roll a version out, as a host states it to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: Name,
    /// Id of the order.
    pub order: u64,
    /// Time since the order, in milliseconds.
    pub age_ms: u64,
    /// Phase at the host.
    pub phase: Phase,
    /// Whether the store has the phase as the state of the order.
    pub is_written: bool,
    /// Number of the host's requests that need a server of another version, from [`Phase::Promoting`] on.
    pub in_flight_old: Option<u64>,
}

/// A host and its last heartbeat.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When this host received that, or its last answer. `None` if it was in the store before this host started.
    pub received_at: Option<Instant>,
    liveness: Liveness,
    // Incarnations that have ended.
    former: Vec<u64>,
    // Heartbeat of another incarnation, while the known one counts as live. An answer tells which of them runs.
    claim: Option<Heartbeat>,
}

impl Host {
    /// Takes another incarnation than the known one for the one that runs.
    fn replace(&mut self, now: Instant, heartbeat: Heartbeat, liveness: Liveness) {
        self.end(self.heartbeat.incarnation);
        self.received_at = Some(now);
        self.liveness = liveness;
        self.heartbeat = heartbeat;
        self.claim = None;
    }

    /// Records that an incarnation has ended.
    fn end(&mut self, incarnation: u64) {
        self.former.insert(0, incarnation);
        self.former.truncate(MAX_FORMER);
    }

    /// Records that an incarnation answers that isn't known or was taken for ended, so that the known one isn't running.
    fn record_unknown(&mut self, now: Instant, incarnation: u64) {
        self.liveness.end(now);
        self.former.retain(|&it| it != incarnation);
        self.claim = None;
    }
}

/// A probe of a host: it answers if it is alive.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Last heartbeat of the host.
    pub heartbeat: Heartbeat,
    /// Number that its answer repeats.
    pub number: u64,
    /// A live host that is asked to pass the probe on too, since the last one wasn't answered. There may be no link between
    /// the probed host and this one.
    pub helper: Option<Heartbeat>,
}

/// The answer of a host to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Number of the probe.
    pub number: u64,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Whether it accepts callers.
    pub serving: bool,
    /// Time from the start of its process to this answer, by its own clock, in milliseconds.
    pub uptime_ms: u64,
}

/// A host that began or ceased to count as live, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Its name.
    pub name: Name,
    /// Whether it counts as live now.
    pub live: bool,
    /// What showed last that it is alive.
    pub evidence: Evidence,
    /// Age of the evidence, in milliseconds. `None` if there is none.
    pub age_ms: Option<u64>,
    /// Time since the first probe that it has not answered, in milliseconds. `None` if it wasn't probed since.
    pub unanswered_ms: Option<u64>,
}

/// All known hosts.
#[derive(Debug, Default)]
pub struct Table {
    hosts: BTreeMap<Name, Host>,
    // When the store last recovered. Quotas count ages from then.
    store_recovered_at: Instant,
    // Start of an outage of the store.
    outage_since: Option<Instant>,
    // When the heartbeats were last read.
    read_at: Option<Instant>,
    last_probe: u64,
    // Hosts that counted as live when the last transitions were returned.
    live_before: BTreeSet<Name>,
    // Hosts that don't answer this one, and since when.
    suspects: BTreeMap<Name, Instant>,
    // The host that last had an address for datagrams.
    by_datagram_address: HashMap<SocketAddr, Name>,
}

impl Table {
    /// Returns whether a heartbeat is newer than what is known of its host, by the host's own numbers.
    pub fn is_news(&self, heartbeat: &Heartbeat) -> bool {
        let Some(host) = self.hosts.get(&heartbeat.host) else {
            return true;
        };
        if host.heartbeat.incarnation == heartbeat.incarnation {
            host.heartbeat.sequence < heartbeat.sequence
        } else {
            !host.former.contains(&heartbeat.incarnation)
        }
    }

    /// Records a heartbeat. `is_old` states that it was read from the newest values in the store, so that its age is
    /// unknown. Returns whether the host is new or starts or stops serving.
    ///
    /// A call to the store without an answer may be executed at any later time. So a heartbeat counts only if it is
    /// newer than the last one by the host's own numbers, is as old as the host's clock tells if it took long, and
    /// doesn't bring back a host that no longer counted as live: that has to answer a probe first. While the known
    /// incarnation counts as live, a heartbeat of another one is kept until an answer tells which of them runs.
    pub fn record(&mut self, now: Instant, mut heartbeat: Heartbeat, is_old: bool) -> bool {
        let reading = self.reading(now);
        let is_news = self.is_news(&heartbeat);
        let Some(host) = self.hosts.get_mut(&heartbeat.host) else {
            let liveness = if is_old {
                Liveness::default()
            } else {
                Liveness::first(now, &heartbeat)
            };
            self.insert(heartbeat, (!is_old).then_some(now), liveness);
            return true;
        };
        let known = &host.heartbeat;
        if !is_news {
            // A relayed heartbeat comes without the key.
            if known.incarnation == heartbeat.incarnation && known.sequence == heartbeat.sequence {
                host.heartbeat.key = host.heartbeat.key.take().or(heartbeat.key);
            }
            return false;
        }
        let (name, address) = (heartbeat.host.clone(), heartbeat.datagram_address);
        if known.incarnation == heartbeat.incarnation {
            // It may have said since that it stops, by other means.
            heartbeat.serving &= known.serving;
        }
        let is_change = known.serving != heartbeat.serving;
        if known.incarnation == heartbeat.incarnation {
            if !is_old {
                host.liveness.record_heartbeat(reading, &heartbeat);
            }
            host.received_at = Some(now);
            host.heartbeat = heartbeat;
        } else if is_old {
            host.replace(now, heartbeat, Liveness::restarted(now));
        } else if heartbeat.key.is_some() && host.liveness.is_live(reading) {
            let claimed = host.claim.as_ref().map(|claim| claim.incarnation);
            if claimed != Some(heartbeat.incarnation) {
                host.liveness.doubt_incarnation(now);
            }
            host.claim = Some(heartbeat);
            self.by_datagram_address.insert(address, name);
            return false;
        } else {
            let liveness = Liveness::first(now, &heartbeat);
            host.replace(now, heartbeat, liveness);
        }
        self.by_datagram_address.insert(address, name);
        is_change
    }

    fn insert(&mut self, heartbeat: Heartbeat, received_at: Option<Instant>, liveness: Liveness) {
        let name = heartbeat.host.clone();
        self.by_datagram_address
            .insert(heartbeat.datagram_address, name.clone());
        let host = Host {
            heartbeat,
            received_at,
            liveness,
            former: Vec::new(),
            claim: None,
        };
        self.hosts.insert(name, host);
    }

    /// Records the heartbeat of this host itself, whatever the state of the store.
    pub fn record_own(&mut self, now: Instant, heartbeat: Heartbeat) {
        self.insert(
            heartbeat,
            Some(now),
            Liveness::own(now), //
        );
    }

    /// Records a heartbeat that another host passed on since it takes the host for alive. It tells nothing of a host
    /// that is known.
    pub fn record_relayed(&mut self, now: Instant, heartbeat: Heartbeat) {
        if !self.hosts.contains_key(&heartbeat.host) {
            self.insert(heartbeat, Some(now), Liveness::relayed(now));
        }
    }

    /// Records that the heartbeats were read. To be called after what was read is recorded.
    ///
    /// Where there was a gap before, what was read is as old as it may be, and hosts that were live have to show that they
    /// still are.
    pub fn read(&mut self, now: Instant) {
        let reading = self.reading(now);
        if !reading.is_current() {
            for host in self.hosts.values_mut() {
                host.liveness.doubt_if_older(reading, PROBE_AGE_MS);
            }
        }
        self.read_at = Some(now);
    }

    fn reading(&self, now: Instant) -> Reading {
        let known_until = match self.read_at {
            Some(at) => now.min(at.after_ms(READ_GAP_MS)),
            None => now,
        };
        Reading {
            now,
            known_until: self.outage_since.unwrap_or(now).min(known_until),
            recovered_at: self.store_recovered_at,
        }
    }

    /// Returns the probes to send now, to all hosts but `own`, and records them.
    ///
    /// In a gap of the reading these are all hosts whose last heartbeat or answer isn't young: no heartbeat shows that a host has
    /// ended. Otherwise only those that are in doubt.
    pub fn probes(&mut self, now: Instant, own: &Name) -> Vec<Probe> {
        let reading = self.reading(now);
        let mut probes = Vec::new();
        if let Some(host) = self.hosts.get_mut(own) {
            host.liveness = Liveness::own(now);
        }
        let others = self.hosts.iter_mut().filter(|(name, _)| *name != own);
        for host in others.map(|(_, host)| host) {
            let liveness = &mut host.liveness;
            if reading.is_current() {
                liveness.doubt_if_overdue(reading);
            } else {
                liveness.doubt_if_older(reading, PROBE_AGE_MS);
            }
            if host.heartbeat.key.is_some() && liveness.is_probe_due(now) {
                self.last_probe += 1;
                let is_repeated = liveness.is_probed();
                liveness.record_probe(now, self.last_probe);
                let probe = Probe {
                    heartbeat: host.claim.as_ref().unwrap_or(&host.heartbeat).clone(),
                    number: self.last_probe,
                    helper: None,
                };
                probes.push((probe, is_repeated));
            }
            liveness.expire(reading, QUOTA_TIMEOUT_MS);
        }
        self.add_helpers(reading, own, probes)
    }

    /// Has other hosts help with repeated probes, each time another one.
    fn add_helpers(&self, reading: Reading, own: &Name, probes: Vec<(Probe, bool)>) -> Vec<Probe> {
        let mut helpers: Option<Vec<&Heartbeat>> = None;
        let with_helper = |(probe, is_repeated): (Probe, bool)| {
            if !is_repeated {
                return probe;
            }
            let helpers = helpers.get_or_insert_with(|| {
                let others = self.hosts.iter().filter(|(name, _)| *name != own);
                let live = others.filter(|(_, host)| host.liveness.is_undoubted(reading));
                live.map(|(_, host)| &host.heartbeat).collect()
            });
            // Numbers ascend, also from one probe of a host to the next.
            let turn = probe.number % (helpers.len().max(1) as u64);
            let helper = helpers.get(turn as usize).map(|&it| it.clone());
            Probe { helper, ..probe }
        };
        probes.into_iter().map(with_helper).collect()
    }

    /// Returns the hosts that began or ceased to count as live since the last call.
    pub fn transitions(&mut self, now: Instant) -> Vec<Transition> {
        let reading = self.reading(now);
        let mut transitions = Vec::new();
        for (name, host) in &self.hosts {
            let live = host.liveness.is_live(reading);
            if live != self.live_before.contains(name) {
                transitions.push(host.liveness.transition(now, name, live));
            }
        }
        for transition in &transitions {
            if transition.live {
                self.live_before.insert(transition.name.clone());
            } else {
                self.live_before.remove(&transition.name);
            }
        }
        transitions
    }

    /// Records the answer of a host to a probe. Returns whether that changes whether the host counts as live or serving.
    pub fn record_ack(&mut self, now: Instant, name: &Name, ack: &Ack) -> bool {
        let reading = self.reading(now);
        let Some(host) = self.hosts.get_mut(name) else {
            return false;
        };
        let was_live = host.liveness.is_live(reading);
        let was_serving = host.heartbeat.serving;
        let Some(probed_at) = host.liveness.fresh_probe(now, ack) else {
            return false;
        };
        match host.claim.take() {
            Some(claim) if claim.incarnation == ack.incarnation => {
                let liveness = Liveness::first(now, &claim);
                host.replace(now, claim, liveness);
            }
            Some(claim) if host.heartbeat.incarnation == ack.incarnation => {
                host.end(claim.incarnation);
            }
            _ => {}
        }
        if host.heartbeat.incarnation != ack.incarnation {
            // What runs writes its own heartbeat.
            host.record_unknown(now, ack.incarnation);
            return was_live;
        }
        host.liveness.record_ack(now, ack, probed_at);
        host.received_at = Some(now);
        host.heartbeat.serving &= ack.serving;
        host.heartbeat.serving != was_serving || !was_live
    }

    /// Records that a host said that one of its incarnations stops. Returns whether that is news.
    pub fn record_stop(&mut self, name: &Name, incarnation: u64) -> bool {
        let Some(host) = self.hosts.get_mut(name) else {
            return false;
        };
        let claim = host.claim.as_mut();
        let mut heartbeats = std::iter::once(&mut host.heartbeat).chain(claim);
        let stopping = heartbeats.find(|it| it.incarnation == incarnation && it.serving);
        stopping.is_some_and(|heartbeat| {
            heartbeat.serving = false;
            true
        })
    }

    /// Records a heartbeat of a copy from which the store has returned. It must not make a host younger or
    /// bring back a former incarnation, and live hosts write their next one within seconds.
    pub fn restore(&mut self, now: Instant, heartbeat: Heartbeat) -> bool {
        if self.hosts.contains_key(&heartbeat.host) {
            return false;
        }
        self.record(now, heartbeat, true)
    }

    /// Records that the store can't be read.
    pub fn store_failed(&mut self, now: Instant) {
        self.outage_since.get_or_insert(now);
    }

    /// Records that the store answers again after an outage.
    ///
    /// Hosts that were live before have to show that they still are. A read that fails once delays heartbeats by less
    /// than their interval, which the timeout covers.
    pub fn store_recovered(&mut self, now: Instant) {
        let reading = self.reading(now);
        let since = self.outage_since.take();
        if since.is_some_and(|since| now.since_ms(since) >= HEARTBEAT_INTERVAL_MS) {
            for host in self.hosts.values_mut() {
                host.liveness.doubt_if_older(reading, PROBE_AGE_MS);
            }
            self.store_recovered_at = now;
        }
    }

    /// Records whether a host answers this one. Returns whether that is a change.
    ///
    /// A host that is partitioned from others may still write its heartbeats to the store.
    pub fn suspect(&mut self, now: Instant, host: &Name, is_silent: bool) -> bool {
        if is_silent {
            self.suspects.insert(host.clone(), now).is_none()
        } else {
            self.suspects.remove(host).is_some()
        }
    }

    /// Returns the suspected hosts, with their addresses for other hosts. Suspicions of dead hosts
    /// are dropped, so that a host is not suspected when it returns.
    pub fn suspects(&mut self, now: Instant) -> Vec<(Name, SocketAddr)> {
        let live: BTreeMap<Name, SocketAddr> = self
            .live(now)
            .map(|host| (host.heartbeat.host.clone(), host.heartbeat.peer_address))
            .collect();
        self.suspects.retain(|name, _| live.contains_key(name));
        let suspects = live.into_iter();
        suspects
            .filter(|(name, _)| self.suspects.contains_key(name))
            .collect()
    }

    /// Returns the live hosts that answer this one.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &Host> {
        self.live(now)
            .filter(|host| !self.suspects.contains_key(&host.heartbeat.host))
    }

    /// Returns the newest version of the configuration at a reachable host, and that host's address for
    /// calls.
    pub fn newest_config(&self, now: Instant) -> Option<(u64, SocketAddr)> {
        let heartbeats = self.reachable(now).map(|host| &host.heartbeat);
        heartbeats
            .filter_map(|heartbeat| Some((heartbeat.config_version?, heartbeat.peer_address)))
            .max()
    }

    /// Returns the age of the last sign of life of a host for quotas, which doesn't grow in an outage of the store: a
    /// host that may be alive keeps its part of what all share.
    fn age_ms(&self, now: Instant, host: &Host) -> Option<u64> {
        let received_at = host.received_at?;
        let now = self.outage_since.unwrap_or(now);
        Some(now.since_ms(received_at.max(self.store_recovered_at)))
    }

    /// Returns a known host, live or dead.
    pub fn get(&self, name: &Name) -> Option<&Host> {
        self.hosts.get(name)
    }

    /// Returns the number of known hosts, live or dead.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the live hosts.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Host> {
        let reading = self.reading(now);
        self.hosts
            .values()
            .filter(move |host| host.liveness.is_live(reading))
    }

    /// Returns the hosts that are no longer live and may still run, other than those that announced their
    /// end.
    pub fn silent(&self, now: Instant) -> impl Iterator<Item = &Host> {
        let reading = self.reading(now);
        self.hosts.values().filter(move |host| {
            let age_ms = self.age_ms(now, host);
            let may_run = age_ms.is_some_and(|ms| ms < QUOTA_TIMEOUT_MS);
            may_run && !host.liveness.is_live(reading) && host.heartbeat.serving
        })
    }

    /// Returns the host that reads a topic for all hosts of a data centre. Returns `None` if there
    /// are so few that each of them reads it.
    pub fn reader(
        &self,
        now: Instant,
        data_centre: &Name,
        topic: &str,
    ) -> Option<(Name, SocketAddr)> {
        self.readers(now, data_centre, topic).into_iter().next()
    }

    /// Returns the hosts that can call the store for all hosts of a data centre, the one that does so
    /// first. Returns none if there are so few hosts that each of them calls it.
    pub fn readers(
        &self,
        now: Instant,
        data_centre: &Name,
        topic: &str,
    ) -> Vec<(Name, SocketAddr)> {
        let is_local = |heartbeat: &Heartbeat| heartbeat.data_centre == *data_centre;
        let local = self
            .reachable(now)
            .filter(|host| host.heartbeat.serving && is_local(&host.heartbeat));
        if local.count() < MIN_SHARED_READ_HOSTS {
            return Vec::new();
        }
        let readers = self.coordinators(now, topic, is_local).into_iter();
        let address = |reader: &Heartbeat| (reader.host.clone(), reader.peer_address);
        readers.map(address).collect()
    }

    /// Returns the hosts that can do a task for a group of hosts, the one that does it first.
    ///
    /// Only the larger hosts of the group are candidates. Rendezvous hashing gives each task its own
    /// order of them, which changes only by the hosts that come and go.
    pub fn coordinators(
        &self,
        now: Instant,
        task: &str,
        is_member: impl Fn(&Heartbeat) -> bool,
    ) -> Vec<&Heartbeat> {
        let heartbeats = self.reachable(now).map(|host| &host.heartbeat);
        let mut hosts: Vec<&Heartbeat> = heartbeats
            .filter(|heartbeat| heartbeat.serving && is_member(heartbeat))
            .collect();
        let capacity = |heartbeat: &Heartbeat| u64::from(heartbeat.capacity);
        let largest = hosts.iter().map(|host| capacity(host)).max().unwrap_or(0);
        hosts.retain(|host| capacity(host) * 100 >= largest * MIN_COORDINATOR_PERCENT);
        hosts.sort_by_cached_key(|host| Reverse(balance::hash(&[&host.host, task])));
        hosts
    }

    /// Returns the host with an address for datagrams, the most recent one if the address was reused.
    pub fn at_datagram_address(&self, address: SocketAddr) -> Option<&Host> {
        let name = self.by_datagram_address.get(&address)?;
        self.hosts.get(name)
    }

    /// Returns whether a live host has an address for datagrams.
    pub fn is_live_at(&self, now: Instant, address: SocketAddr) -> bool {
        let reading = self.reading(now);
        let host = self.at_datagram_address(address);
        host.is_some_and(|host| host.liveness.is_live(reading))
    }

    /// Returns the key of the host at an address, of the most recent one if the address was reused.
    pub fn key_at(&self, address: SocketAddr) -> Option<&Key> {
        let at_address = self
            .hosts
            .values()
            .filter(|host| host.heartbeat.peer_address == address && host.heartbeat.key.is_some());
        let newest = at_address.max_by_key(|host| host.received_at)?;
        newest.heartbeat.key.as_ref()
    }

    /// Returns whether any known host, live or dead, has an address.
    pub fn has_ip(&self, ip: IpAddr) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.heartbeat.peer_address.ip() == ip)
    }

    /// Returns the hosts that share the limits of servers, as seen by `own`.
    pub fn quota_group(&self, now: Instant, own: &Name) -> quota::Group {
        let hosts = self.hosts.values();
        let members = hosts.filter(|host| match self.age_ms(now, host) {
            Some(age_ms) => age_ms < QUOTA_TIMEOUT_MS,
            // Its heartbeat is older than this host, and it may be alive.
            None => now.as_ms() < QUOTA_TIMEOUT_MS,
        });
        quota::Group::new(own, members.map(|host| &host.heartbeat.host))
    }
}
