//! Which entry hosts live, by their heartbeats in the platform's store.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    balance,
    mac::Key,
    quota, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Time between two heartbeats of a host, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_300;

/// Silence after which a host counts as gone, in milliseconds: three heartbeats and a read.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 4_200;

/// Time for which a host that vanished still counts in shares of limits, in milliseconds. It may be
/// paused, with requests that it sends as it wakes.
const SHARE_SILENCE_MS: u64 = 12_000;

/// Hosts of a data centre from which on one of them reads the store for the others. With fewer, what
/// it saves isn't worth the detour.
const SHARED_READS_FROM: usize = 4;

/// What a host says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: Name,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Where other hosts send datagrams.
    pub datagram_address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// Region of its data centre.
    pub region: Name,
    /// A number that no other life of the host has.
    pub incarnation: u64,
    /// Rises with each heartbeat of one life.
    pub sequence: u64,
    /// Whether it takes callers.
    pub serving: bool,
    /// Key under which messages to it are sealed, where it was told by the store.
    pub key: Option<Key>,
}

/// A host as it was last heard.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When it came, `None` where it was already there when this host started.
    pub received_at: Option<Instant>,
}

/// All hosts.
#[derive(Debug, Default)]
pub struct Table {
    hosts: BTreeMap<Name, Host>,
    // Silence while the store was away says nothing, so ages are counted from here at the earliest.
    store_back: Instant,
    // Since when the store is away, and ages stand still.
    store_lost: Option<Instant>,
    // Hosts that gave no sign of life when they were asked, and since when.
    suspects: BTreeMap<Name, Instant>,
}

impl Table {
    /// Takes a heartbeat. `is_old` says that it was in the store before this host looked, so that
    /// its age is unknown.
    pub fn record(&mut self, now: Instant, heartbeat: Heartbeat, is_old: bool) -> bool {
        let known = self.hosts.get(&heartbeat.host);
        let same = |host: &Host| {
            host.heartbeat.incarnation == heartbeat.incarnation
                && host.heartbeat.sequence == heartbeat.sequence
                && host.heartbeat.key == heartbeat.key
        };
        if known.is_some_and(same) {
            return false;
        }
        let is_new = known.is_none_or(|host| host.heartbeat.serving != heartbeat.serving);
        let received_at = if is_old && known.is_none() {
            None
        } else {
            Some(now)
        };
        self.hosts.insert(
            heartbeat.host.clone(),
            Host {
                heartbeat,
                received_at,
            },
        );
        is_new
    }

    /// Notes that the store can't be read.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_lost.get_or_insert(now);
    }

    /// Notes that the store answered again after a time without answers.
    pub fn store_recovered(&mut self, now: Instant) {
        self.store_lost = None;
        self.store_back = now;
    }

    /// Notes that a host gave no sign of life, or did again. Returns whether that is news.
    ///
    /// A host that is cut off from others may still reach the store, so that its heartbeats go on.
    pub fn suspect(&mut self, now: Instant, host: &Name, is_silent: bool) -> bool {
        if is_silent {
            self.suspects.insert(host.clone(), now).is_none()
        } else {
            self.suspects.remove(host).is_some()
        }
    }

    /// Returns the hosts that gave no sign of life, with their addresses for other hosts. Those whose
    /// heartbeats ended are forgotten: they are gone, and are new when they come back.
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

    /// Returns the hosts that live and answer this one.
    pub fn reachable(&self, now: Instant) -> impl Iterator<Item = &Host> {
        self.live(now)
            .filter(|host| !self.suspects.contains_key(&host.heartbeat.host))
    }

    fn silence_ms(&self, now: Instant, host: &Host) -> Option<u64> {
        let heard = host.received_at?;
        let now = self.store_lost.unwrap_or(now);
        Some(now.since_ms(heard.max(self.store_back)))
    }

    /// Returns the hosts that live.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Host> {
        self.hosts.values().filter(move |host| {
            self.silence_ms(now, host)
                .is_some_and(|silence| silence < HEARTBEAT_TIMEOUT_MS)
        })
    }

    /// Returns the host that reads a topic for all of a data centre, `None` where it has so few hosts
    /// that each reads it by itself.
    pub fn reader(
        &self,
        now: Instant,
        data_centre: &Name,
        topic: &str,
    ) -> Option<(Name, SocketAddr)> {
        let near: Vec<&Heartbeat> = self
            .reachable(now)
            .map(|host| &host.heartbeat)
            .filter(|beat| beat.serving && beat.data_centre == *data_centre)
            .collect();
        if near.len() < SHARED_READS_FROM {
            return None;
        }
        let near = near.into_iter();
        let reader = near.max_by_key(|beat| balance::hash(&[&beat.host, topic]))?;
        Some((reader.host.clone(), reader.peer_address))
    }

    /// Returns the key of the host at an address, of the one heard last where it was used again.
    pub fn key_at(&self, peers: SocketAddr) -> Option<&Key> {
        let there = self
            .hosts
            .values()
            .filter(|host| host.heartbeat.peer_address == peers && host.heartbeat.key.is_some());
        let newest = there.max_by_key(|host| host.received_at)?;
        newest.heartbeat.key.as_ref()
    }

    /// Returns whether a host has ever had an address.
    pub fn has_ip(&self, ip: IpAddr) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| host.heartbeat.peer_address.ip() == ip)
    }

    /// Returns the hosts among which limits of servers are shared, as `own` sees it.
    pub fn quota_group(&self, now: Instant, own: &Name) -> quota::Group {
        let hosts = self.hosts.values();
        let sharers = hosts.filter(|host| match self.silence_ms(now, host) {
            Some(silence) => silence < SHARE_SILENCE_MS,
            // It was there before this host started, and may be there still.
            None => now.as_ms() < SHARE_SILENCE_MS,
        });
        quota::Group::new(own, sharers.map(|host| &host.heartbeat.host))
    }
}
