//! Table of backend servers: registrations, restarts, servers that leave and drained data centres.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// Time for which a server is kept after its entry vanished during an outage of the registry, in
/// milliseconds. Live servers register again about two seconds after the registry recovers.
const EXPIRY_DELAY_MS: u64 = 2_000;

/// Time for which it is remembered that a server has left, in milliseconds: longer than the registry is
/// away, and than the age of a copy from which it returns.
const LEFT_RETENTION_MS: u64 = 60_000;

/// Time for which a drain that a copy of the registry lacks stays in force, in milliseconds. Operators
/// repeat what was lost, and an unused data centre does less harm than one that is used despite its drain.
const LOST_DRAIN_MS: u64 = 30_000;

/// Registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the server. Most servers take a new one at each start.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Remaining time of its warm-up, in milliseconds.
    pub cold_ms: u64,
    /// Start time as it reports it, for the detection of restarts.
    pub started_at: Option<u64>,
    /// Number of the registration, ascending from the server's start.
    pub sequence: Option<u64>,
    /// Version of the service that it runs, `None` if it names none.
    pub version: Option<Name>,
}

impl Entry {
    /// Returns whether the server wrote this entry after another one of the same id. Entries that don't
    /// say when they were written count as newer.
    fn is_newer_than(&self, known: Revision) -> bool {
        let (Some(started_at), Some(known_start)) = (self.started_at, known.started_at) else {
            return true;
        };
        let (Some(sequence), Some(known_sequence)) = (self.sequence, known.sequence) else {
            return started_at >= known_start;
        };
        (started_at, sequence) > (known_start, known_sequence)
    }

    fn revision(&self) -> Revision {
        Revision {
            started_at: self.started_at,
            sequence: self.sequence,
        }
    }
}

/// When a server wrote an entry, by its own counts.
#[derive(Clone, Copy, Debug)]
struct Revision {
    started_at: Option<u64>,
    sequence: Option<u64>,
}

/// A backend server as this host knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its latest registration.
    pub entry: Entry,
    /// When this host received that.
    pub received_at: Instant,
    /// When its warm-up ends.
    pub cold_until: Instant,
    vanished_at: Option<Instant>,
}

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server registered.
    Joined(Entry),
    /// A server is shutting down or has left.
    Left(Name),
    /// A server restarted under the same id.
    Restarted(Entry),
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Table {
    servers: BTreeMap<Name, Server>,
    drained: BTreeSet<Name>,
    // Servers that have left, with their last entries, and when.
    left: BTreeMap<Name, (Revision, Instant)>,
    // Drains that a copy of the registry lacks, and since when.
    lost_drains: BTreeMap<Name, Instant>,
    // Servers that announced in an answer that they leave.
    departures: BTreeMap<Name, Departure>,
}

/// An announcement of a server in an answer that it leaves, which holds for one start of it.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_at: Option<u64>,
    // When its entry was last known.
    known_at: Instant,
}

impl Table {
    /// Applies the newest entry of a server, `None` for one that was deleted or is invalid.
    ///
    /// A call to the registry without an answer may be executed at any later time. So an entry that the server didn't
    /// write after the known one, by its own counts, tells nothing, also of a server that has left.
    ///
    /// `registry_unstable` states that the registry failed a moment ago. Then a missing entry may
    /// have expired there while its server lives.
    pub fn update(
        &mut self,
        now: Instant,
        id: &Name,
        entry: Option<Entry>,
        registry_unstable: bool,
    ) -> Option<Change> {
        let Some(entry) = entry else {
            if registry_unstable && let Some(server) = self.servers.get_mut(id) {
                server.vanished_at.get_or_insert(now);
                return None;
            }
            return self.remove(now, id).then(|| Change::Left(id.clone()));
        };
        if self
            .known_revision(id)
            .is_some_and(|known| !entry.is_newer_than(known))
        {
            return None;
        }
        self.left.remove(id);
        let cold_until = now.after_ms(entry.cold_ms);
        let old = self.servers.insert(
            id.clone(),
            Server {
                entry: entry.clone(),
                received_at: now,
                cold_until,
                vanished_at: None,
            },
        );
        match old {
            None => Some(Change::Joined(entry)),
            Some(old) if old.entry.started_at != entry.started_at => Some(Change::Restarted(entry)),
            Some(old) if !old.entry.leaving && entry.leaving => Some(Change::Left(id.clone())),
            Some(_) => None,
        }
    }

    /// Applies the newest entry of a server in a copy from which the registry has returned, `None` if there
    /// is none.
    ///
    /// The copy is older than what is known. A server that joined since registers again; one that was
    /// leaving or had left must not come back.
    pub fn restore(&mut self, now: Instant, id: &Name, entry: Option<Entry>) -> Option<Change> {
        self.update(now, id, entry, true)
    }

    /// Returns the counts of the newest entry of a server that is known or has left.
    fn known_revision(&self, id: &Name) -> Option<Revision> {
        let known = self.servers.get(id).map(|server| server.entry.revision());
        known.or_else(|| self.left.get(id).map(|(revision, _)| *revision))
    }

    /// Records that a server announced in an answer that it leaves. Returns whether that is new.
    ///
    /// Only another start of the server ends this, whatever the registry says of this one: its records, copies
    /// and snapshots may be older than the answer.
    pub fn record_departure(&mut self, now: Instant, id: &Name, started_at: Option<u64>) -> bool {
        let departure = Departure {
            started_at,
            known_at: now,
        };
        let known = self.departures.insert(id.clone(), departure);
        known.is_none_or(|known| known.started_at != started_at)
    }

    /// Returns whether a server announced in an answer that it leaves.
    fn has_departed(&self, entry: &Entry) -> bool {
        let departure = self.departures.get(&entry.id);
        departure.is_some_and(|departure| departure.started_at == entry.started_at)
    }

    /// Drops departures of servers that have been gone for so long that no older record of them follows.
    fn expire_departures(&mut self, now: Instant) {
        let servers = &self.servers;
        self.departures.retain(|id, departure| {
            let server = servers.get(id);
            if server.is_some_and(|server| server.entry.started_at == departure.started_at) {
                departure.known_at = now;
            }
            now.since_ms(departure.known_at) < LEFT_RETENTION_MS
        });
    }

    fn remove(&mut self, now: Instant, id: &Name) -> bool {
        let Some(server) = self.servers.remove(id) else {
            return false;
        };
        self.left.insert(id.clone(), (server.entry.revision(), now));
        true
    }

    /// Removes and returns the servers whose entries vanished and did not return in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let expired: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                let vanished_at = server.vanished_at;
                vanished_at.is_some_and(|at| now.since_ms(at) >= EXPIRY_DELAY_MS)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(now, id);
        }
        self.left
            .retain(|_, (_, left_at)| now.since_ms(*left_at) < LEFT_RETENTION_MS);
        self.expire_departures(now);
        expired
    }

    /// Returns the ids of all servers.
    pub fn ids(&self) -> Vec<Name> {
        self.servers.keys().cloned().collect()
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns all entries, with the remaining time of the servers' warm-up.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        let servers = self.servers.values();
        let entry = |server: &Server| Entry {
            cold_ms: server.cold_until.since_ms(now),
            ..server.entry.clone()
        };
        servers.map(entry).collect()
    }

    /// Starts or ends the drain of a data centre. Returns whether that changes anything.
    pub fn set_drained(&mut self, data_centre: &Name, is_drained: bool) -> bool {
        self.lost_drains.remove(data_centre);
        if is_drained {
            self.drained.insert(data_centre.clone())
        } else {
            self.drained.remove(data_centre)
        }
    }

    /// Records that a copy from which the registry has returned lacks the drain of a data centre.
    pub fn lose_drain(&mut self, now: Instant, data_centre: &Name) {
        self.lost_drains.insert(data_centre.clone(), now);
    }

    /// Ends and returns the lost drains that were not repeated in time.
    pub fn expire_drains(&mut self, now: Instant) -> Vec<Name> {
        let lost = self.lost_drains.iter();
        let expired: Vec<Name> = lost
            .filter(|&(_, at)| now.since_ms(*at) >= LOST_DRAIN_MS)
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        for data_centre in &expired {
            self.set_drained(data_centre, false);
        }
        expired
    }

    /// Returns the drained data centres.
    pub fn drained(&self) -> &BTreeSet<Name> {
        &self.drained
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the id of the server at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Name> {
        let mut servers = self.servers.values();
        let server = servers.find(|server| server.entry.address == address)?;
        Some(server.entry.id.clone())
    }

    /// Returns the servers at an address. There are several where the entry of one that has ended is still
    /// there.
    pub fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &Server> {
        let servers = self.servers.values();
        servers.filter(move |server| server.entry.address == address)
    }

    /// Returns whether a server can get new requests.
    pub fn is_usable(&self, server: &Server) -> bool {
        !server.entry.leaving
            && !self.drained.contains(&server.entry.data_centre)
            && !self.has_departed(&server.entry)
    }

    /// Returns a server if it can get new requests. A server that was selected earlier or by another host
    /// has to pass this before anything is sent to it.
    pub fn usable_by_id(&self, id: &str) -> Option<&Server> {
        self.get(id).filter(|server| self.is_usable(server))
    }

    /// Returns the servers of a service that get no new requests, but whose entries exist.
    pub fn unusable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.servers
            .values()
            .filter(move |server| &*server.entry.service == service && !self.is_usable(server))
    }

    /// Returns the servers of a service that can get new requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.servers
            .values()
            .filter(move |server| &*server.entry.service == service && self.is_usable(server))
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
