//! What is known of backend servers: who registered, who leaves, which data centres are out.

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

/// Time for which an entry that vanished while the register was away may come back, in
/// milliseconds. Servers that live are back about two seconds after the register is.
const RETURN_MS: u64 = 2_000;

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its id, new with most starts.
    pub id: Name,
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it is cold, in milliseconds.
    pub cold_ms: u64,
    /// When it started, where it tells.
    pub started_at: Option<u64>,
}

/// A server and what this host knows of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it registered.
    pub entry: Entry,
    /// When its entry last came.
    pub received_at: Instant,
    /// Until when it is cold.
    pub cold_until: Instant,
    vanished: Option<Instant>,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A server is there.
    Joined(Entry),
    /// A server leaves or is gone.
    Left(Name),
    /// A server started again under its id.
    Restarted(Entry),
}

/// All backend servers.
#[derive(Debug, Default)]
pub struct Table {
    servers: BTreeMap<Name, Server>,
    out: BTreeSet<Name>,
}

impl Table {
    /// Takes the newest entry of a server, `None` where it names no server to use.
    ///
    /// `register_shaky` says that the register was away a moment ago, so that a missing entry may
    /// mean that it lapsed there.
    pub fn update(
        &mut self,
        now: Instant,
        id: &Name,
        entry: Option<Entry>,
        register_shaky: bool,
    ) -> Option<Change> {
        let Some(entry) = entry else {
            if register_shaky && let Some(server) = self.servers.get_mut(id) {
                server.vanished.get_or_insert(now);
                return None;
            }
            return self.servers.remove(id).map(|_| Change::Left(id.clone()));
        };
        let cold_until = now.after_ms(entry.cold_ms);
        let old = self.servers.insert(
            id.clone(),
            Server {
                entry: entry.clone(),
                received_at: now,
                cold_until,
                vanished: None,
            },
        );
        match old {
            None => Some(Change::Joined(entry)),
            Some(old) if old.entry.started_at != entry.started_at => Some(Change::Restarted(entry)),
            Some(old) if !old.entry.leaving && entry.leaving => Some(Change::Left(id.clone())),
            Some(_) => None,
        }
    }

    /// Removes servers whose entries vanished and did not come back.
    pub fn expire(&mut self, now: Instant) -> Vec<Name> {
        let gone: Vec<Name> = self
            .servers
            .iter()
            .filter(|(_, server)| {
                let vanished = server.vanished;
                vanished.is_some_and(|at| now.since_ms(at) >= RETURN_MS)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.servers.remove(id);
        }
        gone
    }

    /// Returns the ids of all entries, for comparing with a new list.
    pub fn ids(&self) -> Vec<Name> {
        self.servers.keys().cloned().collect()
    }

    /// Returns all entries, with the time for which servers are still cold.
    pub fn entries(&self, now: Instant) -> Vec<Entry> {
        let servers = self.servers.values();
        let entry = |server: &Server| Entry {
            cold_ms: server.cold_until.since_ms(now),
            ..server.entry.clone()
        };
        servers.map(entry).collect()
    }

    /// Takes a data centre out, or back in.
    pub fn set_drained(&mut self, data_centre: &Name, out: bool) -> bool {
        if out {
            self.out.insert(data_centre.clone())
        } else {
            self.out.remove(data_centre)
        }
    }

    /// Returns the data centres that are out.
    pub fn drained(&self) -> &BTreeSet<Name> {
        &self.out
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the server at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Name> {
        let mut servers = self.servers.values();
        let server = servers.find(|server| server.entry.address == address)?;
        Some(server.entry.id.clone())
    }

    /// Returns whether new work may be sent to a server.
    pub fn is_usable(&self, server: &Server) -> bool {
        !server.entry.leaving && !self.out.contains(&server.entry.data_centre)
    }

    /// Returns the servers of a service to which new work may be sent.
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
