//! Which server a request goes to.

use std::collections::HashMap;

use super::{
    cache, quota, rate,
    servers::{
        self,
        Server, //
    },
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Time for which a server is avoided after a failure, in milliseconds. It doubles with each further
/// failure in a row.
const AVOID_MS: u64 = 500;

/// Longest time for which a server is avoided, in milliseconds.
const MAX_AVOID_MS: u64 = 4_000;

/// Part of its prefill time that a token takes when it is fetched from another server's cache, as a
/// divisor.
const FETCH_DIVISOR: u64 = 8;

/// Fewest tokens that are fetched from another server. Fewer are read as fast as fetched.
const FETCH_TOKENS: u64 = 200;

/// Tokens that a running request counts as: its decoding slows down prompts beside it.
const RUNNING_TOKENS: u64 = 400;

/// Tokens that a server in another region has to be better by: two long ways there and back.
const FAR_TOKENS: u64 = 12_000;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its id.
    pub id: Name,
    /// Its size, in tokens.
    pub tokens: u64,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// Parts of the prompt in their order, none for plain requests.
    pub prompt: &'a [Segment],
    /// Servers that were tried before.
    pub tried: &'a [Name],
    /// Requests a second that a cold server takes from all hosts, 0 for no limit.
    pub cold_requests_per_s: f64,
    /// Hosts that share the server.
    pub group: &'a quota::Group,
    /// Requests of this host that a server takes at once, by the connections that it takes from all.
    pub max_running: u32,
    /// Hosts in this data centre, which mostly use the same servers.
    pub local_hosts: usize,
}

/// Why no server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service has no server that may be used.
    #[error("no server may be used")]
    NoServer,
    /// All servers have what they can take now.
    #[error("all servers are full")]
    Full,
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    running: u32,
    prompt_tokens: u64,
    failures: u32,
    avoid_until: Instant,
}

/// A request at a server, to be given back when it ends.
#[derive(Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The server.
    pub server: Name,
    /// Tokens of the prompt that it has to read.
    pub tokens: u64,
    /// Server from whose cache it can take parts of the prompt.
    pub source: Option<Name>,
    is_reading: bool,
}

/// What this host has running where, and how it went.
#[derive(Debug, Default)]
pub struct Balancer {
    loads: HashMap<Name, Load>,
    cache: cache::Directory,
    meter: rate::Limiter,
}

/// Whether a server may be used for a request, by the regions in which that is allowed.
pub type Filter<'a> = &'a dyn Fn(&Server) -> bool;

impl Balancer {
    /// Chooses a server and counts the request there.
    ///
    /// The load pattern: bursts of long prompts that share parts. A prompt goes where its parts are
    /// cached, unless the prompts that wait there would take longer than getting it elsewhere.
    /// Parts that nobody has go to a server found by hashing, the same on all hosts.
    ///
    /// # Errors
    ///
    /// [`Error`] where none may take it.
    pub fn place(
        &mut self,
        now: Instant,
        table: &servers::Table,
        ask: &Request<'_>,
        is_allowed: Filter<'_>,
        is_near: Filter<'_>,
    ) -> Result<Assignment, Error> {
        let mut best: Option<(u64, u64, &Server, u64, Option<Name>)> = None;
        let mut any = false;
        let first = self.first_choice(table, ask, is_allowed, is_near);
        for server in table.usable(ask.service) {
            if !is_allowed(server) || ask.tried.contains(&server.entry.id) {
                continue;
            }
            any = true;
            let id = &server.entry.id;
            if !self
                .meter
                .allows(now, id, ask.cold_requests_per_s, ask.group)
            {
                continue;
            }
            let load = self.loads.get(id).copied().unwrap_or_default();
            if load.running >= ask.max_running {
                continue;
            }
            let slots = u64::from(server.entry.slots.max(1));
            let near_hosts = ask.local_hosts.max(1) as u64;
            let (tokens, source) = self.tokens_to_read(now, table, id, ask.prompt);
            let running = u64::from(load.running) * near_hosts;
            let mut cost = load.prompt_tokens * near_hosts + tokens;
            if first.as_ref() != Some(id) {
                // Breaks ties where nobody has the prompt.
                cost += FETCH_TOKENS;
            }
            if ask.prompt.is_empty() {
                // Plain requests: queues differ by the part of the slots that is taken.
                cost += running * FAR_TOKENS / slots;
            } else {
                cost += running * RUNNING_TOKENS;
            }
            if running >= slots {
                cost += FAR_TOKENS * 2 * (running - slots + 1);
            }
            if !is_near(server) {
                cost += FAR_TOKENS;
            }
            if now < server.cold_until && !ask.prompt.is_empty() {
                cost += FAR_TOKENS / 2;
            }
            if now < load.avoid_until {
                cost += FAR_TOKENS * 8;
            }
            let tie = hash(&[id, ask.prompt.first().map_or("", |part| &part.id)]);
            if best
                .as_ref()
                .is_none_or(|&(lowest, its_tie, ..)| (cost, tie) < (lowest, its_tie))
            {
                best = Some((cost, tie, server, tokens, source));
            }
        }
        let Some((_, _, server, tokens, source)) = best else {
            return Err(if any { Error::Full } else { Error::NoServer });
        };
        let id = server.entry.id.clone();
        self.count(now, &id, tokens, ask.prompt);
        Ok(Assignment {
            server: id,
            tokens,
            source,
            is_reading: true,
        })
    }

    fn count(&mut self, now: Instant, id: &Name, tokens: u64, prompt: &[Segment]) {
        let load = self.loads.entry(id.clone()).or_default();
        load.running += 1;
        load.prompt_tokens += tokens;
        self.meter.record(now, id);
        for part in shared(prompt) {
            self.cache.record(now, cache::key(part), id);
        }
    }

    /// Notes that another host placed parts at a server.
    pub fn record_remote(&mut self, now: Instant, server: &Name, parts: &[cache::Key]) {
        for &part in parts {
            self.cache.record(now, part, server);
        }
    }

    fn first_choice(
        &self,
        table: &servers::Table,
        ask: &Request<'_>,
        is_allowed: Filter<'_>,
        is_near: Filter<'_>,
    ) -> Option<Name> {
        let shared = shared(ask.prompt).last()?;
        table
            .usable(ask.service)
            .filter(|server| is_allowed(server) && is_near(server))
            .max_by_key(|server| hash(&[&server.entry.id, &shared.id]))
            .map(|server| server.entry.id.clone())
    }

    /// Returns the tokens that a server has to read, as far as time goes, and the server from which
    /// it can fetch others.
    fn tokens_to_read(
        &self,
        now: Instant,
        table: &servers::Table,
        id: &Name,
        prompt: &[Segment],
    ) -> (u64, Option<Name>) {
        let tokens = |parts: &[Segment]| parts.iter().map(|part| part.tokens).sum::<u64>();
        let cached = self.cache.cached(now, prompt, id);
        let is_usable = |name: &Name| {
            let server = table.get(name);
            name != id && server.is_some_and(|server| table.is_usable(server))
        };
        let missing = tokens(&prompt[cached..]);
        let Some((source, count)) = self.cache.source(now, prompt, cached, is_usable) else {
            return (missing, None);
        };
        let fetched = tokens(&prompt[cached..count]);
        if fetched < FETCH_TOKENS {
            return (missing, None);
        }
        (missing - fetched + fetched / FETCH_DIVISOR, Some(source))
    }

    /// Notes that the prompt was read: the first event came.
    pub fn finish_prefill(&mut self, placed: &mut Assignment) {
        if !std::mem::take(&mut placed.is_reading) {
            return;
        }
        if let Some(load) = self.loads.get_mut(&placed.server) {
            load.prompt_tokens = load.prompt_tokens.saturating_sub(placed.tokens);
        }
    }

    /// Notes the end of a request. `failed` says that the server was at fault.
    pub fn complete(&mut self, now: Instant, mut placed: Assignment, failed: bool) {
        self.finish_prefill(&mut placed);
        let Some(load) = self.loads.get_mut(&placed.server) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        if failed {
            load.failures = (load.failures + 1).min(8);
            let avoid_ms = (AVOID_MS << (load.failures - 1).min(4)).min(MAX_AVOID_MS);
            load.avoid_until = now.after_ms(avoid_ms);
        } else {
            load.failures = load.failures.saturating_sub(1);
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, id: &Name) {
        if self.loads.get(id).is_some_and(|load| load.running == 0) {
            self.loads.remove(id);
        }
        self.meter.forget(id);
        self.cache.forget(id);
    }

    /// Returns the requests of this host that run at a server.
    pub fn running(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.running)
    }
}

/// Returns the parts that other requests may share: all but the last.
pub fn shared(prompt: &[Segment]) -> &[Segment] {
    prompt.split_last().map_or(&[], |(_, shared)| shared)
}

/// Hashes texts, the same on all hosts.
pub fn hash(texts: &[&str]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for text in texts {
        hasher.update(text.as_bytes());
        hasher.update(&[0xff]);
    }
    hasher.digest()
}
