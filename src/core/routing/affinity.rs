//! Index of the servers that cache a prompt prefix.
//!
//! It is built from the servers' cache events, which may be late or lost, and from the answers to
//! this host's own calls. So it is approximate.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 32_768;

/// Maximum number of servers kept for one prefix.
const MAX_SERVERS_PER_PREFIX: usize = 4;

/// Servers by the hash of a cached prefix. A server is given as its index in the pool.
#[derive(Default)]
pub struct Index {
    servers: BTreeMap<u64, Vec<u32>>,
    insertion_order: VecDeque<u64>,
}

impl Index {
    /// Records that a server has cached or evicted a prefix.
    pub fn update(&mut self, prefix: u64, server: usize, cached: bool) {
        let server = server as u32;
        if !cached {
            if let Some(servers) = self.servers.get_mut(&prefix) {
                servers.retain(|other| *other != server);
            }
            return;
        }
        if !self.servers.contains_key(&prefix) {
            self.evict_if_full();
            self.insertion_order.push_back(prefix);
        }
        let servers = self.servers.entry(prefix).or_default();
        servers.retain(|other| *other != server);
        if servers.len() == MAX_SERVERS_PER_PREFIX {
            servers.remove(0);
        }
        servers.push(server);
    }

    /// Removes a server from all prefixes, since its cache is lost.
    pub fn remove_server(&mut self, server: usize) {
        let server = server as u32;
        for servers in self.servers.values_mut() {
            servers.retain(|other| *other != server);
        }
    }

    /// Returns the servers that may cache a prefix.
    pub fn servers(&self, prefix: u64) -> &[u32] {
        self.servers.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn evict_if_full(&mut self) {
        if self.servers.len() < MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.servers.remove(&oldest);
        }
    }
}
