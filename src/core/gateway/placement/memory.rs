//! Parts of prompts that servers hold, derived from the requests that were sent to them.
//!
//! Servers evict the least recently used parts when their memory is full. Running requests and held parts
//! share it.

use std::collections::HashMap;

use crate::{
    core::gateway::cache::Key,
    time::Instant, //
};

/// Maximum number of parts at one server. Memory for 235,638 tokens holds about 430 of the smallest usual
/// parts (543 tokens); the bound limits what many tiny parts cost this host.
const MAX_PARTS: usize = 1_024;

/// A part that a server holds.
#[derive(Clone, Copy, Debug)]
struct Part {
    key: Key,
    tokens: u64,
    // From when on other servers can fetch it.
    ready_at: Instant,
}

/// Index of a server.
pub type Slot = u32;

/// Parts that the servers of a service hold.
#[derive(Debug)]
pub struct Memory {
    capacity: u64,
    servers: Vec<Server>,
    // Servers by part, for the lookup of a prompt over all servers at once.
    holders: HashMap<Key, Vec<Slot>>,
}

#[derive(Debug, Default)]
struct Server {
    // Least recently used first.
    parts: Vec<Part>,
    held: u64,
    // Tokens of running requests beside held parts.
    running: u64,
}

impl Memory {
    /// Creates the memory of servers with room for this many tokens each.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            servers: Vec::new(),
            holders: HashMap::new(),
        }
    }

    fn server(&mut self, slot: Slot) -> &mut Server {
        let index = slot as usize;
        if index >= self.servers.len() {
            self.servers.resize_with(index + 1, Server::default);
        }
        &mut self.servers[index]
    }

    /// Records the use of a part, which other servers can fetch from `ready_at` on.
    pub fn touch(&mut self, slot: Slot, key: Key, tokens: u64, ready_at: Instant) {
        if tokens > self.capacity {
            return;
        }
        let server = self.server(slot);
        if let Some(index) = server.parts.iter().rposition(|part| part.key == key) {
            let part = server.parts.remove(index);
            server.parts.push(part);
        } else {
            server.held += tokens;
            server.parts.push(Part {
                key,
                tokens,
                ready_at,
            });
            self.holders.entry(key).or_default().push(slot);
        }
        self.evict(slot);
    }

    /// Records that a request starts, with this many tokens that it shares with no other.
    pub fn start(&mut self, slot: Slot, tokens: u64) {
        self.server(slot).running += tokens;
        self.evict(slot);
    }

    /// Records that such a request ended.
    pub fn end(&mut self, slot: Slot, tokens: u64) {
        let server = self.server(slot);
        server.running = server.running.saturating_sub(tokens);
    }

    fn evict(&mut self, slot: Slot) {
        let capacity = self.capacity;
        let server = self.server(slot);
        let room = capacity.saturating_sub(server.running);
        let mut count = server.parts.len().saturating_sub(MAX_PARTS);
        let mut held = server.held
            - server.parts[..count]
                .iter()
                .map(|it| it.tokens)
                .sum::<u64>();
        while held > room && count < server.parts.len() {
            held -= server.parts[count].tokens;
            count += 1;
        }
        server.held = held;
        let evicted: Vec<Part> = server.parts.drain(..count).collect();
        for part in evicted {
            self.remove_holder(slot, part.key);
        }
    }

    fn remove_holder(&mut self, slot: Slot, key: Key) {
        let Some(holders) = self.holders.get_mut(&key) else {
            return;
        };
        holders.retain(|&holder| holder != slot);
        if holders.is_empty() {
            self.holders.remove(&key);
        }
    }

    /// Forgets what a server holds and runs.
    pub fn forget(&mut self, slot: Slot) {
        let server = std::mem::take(self.server(slot));
        for part in server.parts {
            self.remove_holder(slot, part.key);
        }
    }

    /// Writes the number of leading parts of a prompt that each server holds.
    pub fn count_held(&self, prompt: &[Key], counts: &mut Vec<u16>, servers: usize) {
        counts.clear();
        counts.resize(servers, 0);
        for (index, key) in prompt.iter().enumerate() {
            let Some(holders) = self.holders.get(key) else {
                return;
            };
            for &holder in holders {
                if let Some(count) = counts.get_mut(holder as usize)
                    && usize::from(*count) == index
                {
                    *count += 1;
                }
            }
        }
    }

    /// Returns whether other servers can fetch a part from a server now.
    pub fn is_ready(&self, now: Instant, slot: Slot, key: Key) -> bool {
        let server = self.servers.get(slot as usize);
        let mut parts = server.into_iter().flat_map(|server| &server.parts);
        parts.any(|part| part.key == key && part.ready_at <= now)
    }

    /// Returns the servers that hold a part.
    pub fn holders(&self, key: Key) -> &[Slot] {
        self.holders.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the tokens of running requests of a server that are in no held part.
    pub fn running(&self, slot: Slot) -> u64 {
        let server = self.servers.get(slot as usize);
        server.map_or(0, |server| server.running)
    }

    /// Returns the tokens that a server holds.
    pub fn held(&self, slot: Slot) -> u64 {
        let server = self.servers.get(slot as usize);
        server.map_or(0, |server| server.held)
    }
}
