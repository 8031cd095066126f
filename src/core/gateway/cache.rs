//! Which servers have which parts of prompts in their caches, as far as hosts placed them there.

use std::collections::HashMap;

use super::balance::Segment;
use crate::{
    names::Name,
    time::Instant, //
};

/// Time for which a part is taken to be cached at the server that read it last, in milliseconds.
/// Least recently used parts yield first, and a server's memory holds about this much of reading.
const CACHED_MS: u64 = 25_000;

/// Time that a server takes to read a part, in milliseconds. Before that, others can't fetch it.
const READING_MS: u64 = 300;

/// Parts that are remembered.
const MAX_PARTS: usize = 20_000;

/// Servers that are remembered for a part.
const MAX_HOLDERS: usize = 8;

/// Hash of a part's id.
pub type Key = u64;

/// Returns the key of a part.
pub fn key(part: &Segment) -> Key {
    super::balance::hash(&[&part.id])
}

/// What was placed where. Hosts tell each other, so that any of them knows what others placed.
#[derive(Debug, Default)]
pub struct Directory {
    holders: HashMap<Key, Vec<(Name, Instant)>>,
}

impl Directory {
    /// Notes that a server reads a part.
    pub fn record(&mut self, now: Instant, part: Key, server: &Name) {
        if self.holders.len() >= MAX_PARTS {
            self.forget_old(now);
        }
        let holders = self.holders.entry(part).or_default();
        if let Some((_, at)) = holders.iter_mut().find(|(name, _)| name == server) {
            *at = now;
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push((server.clone(), now));
    }

    fn forget_old(&mut self, now: Instant) {
        let keep_ms = CACHED_MS / 2;
        self.holders.retain(|_, holders| {
            holders.retain(|&(_, at)| now.since_ms(at) < keep_ms);
            !holders.is_empty()
        });
    }

    /// Forgets a server that is gone or has started again.
    pub fn forget(&mut self, server: &str) {
        self.holders.retain(|_, holders| {
            holders.retain(|(name, _)| &**name != server);
            !holders.is_empty()
        });
    }

    fn age_ms(&self, now: Instant, part: Key, server: &str) -> Option<u64> {
        let holders = self.holders.get(&part)?;
        let (_, at) = holders.iter().find(|(name, _)| &**name == server)?;
        Some(now.since_ms(*at)).filter(|&age| age < CACHED_MS)
    }

    /// Returns how many parts at the start of a prompt a server has.
    pub fn cached(&self, now: Instant, prompt: &[Segment], server: &str) -> usize {
        let has = |part: &&Segment| self.age_ms(now, key(part), server).is_some();
        prompt.iter().take_while(has).count()
    }

    /// Returns a server that has more parts at the start of a prompt than `cached`, the one with the
    /// most, and how many.
    pub fn source(
        &self,
        now: Instant,
        prompt: &[Segment],
        cached: usize,
        is_usable: impl Fn(&Name) -> bool,
    ) -> Option<(Name, usize)> {
        let part = prompt.get(cached)?;
        let holders = self.holders.get(&key(part))?;
        let usable = holders.iter().filter(|&(name, at)| {
            let age_ms = now.since_ms(*at);
            (READING_MS..CACHED_MS).contains(&age_ms) && is_usable(name)
        });
        let counted = usable.map(|(name, at)| (self.cached(now, prompt, name), *at, name));
        let (count, _, name) = counted.max()?;
        (count > cached).then(|| (name.clone(), count))
    }
}
