//! Directory of the prompt segments in the caches of servers, derived from the requests that hosts
//! placed there.

use std::collections::HashMap;

use super::balance::Segment;
use crate::{
    names::Name,
    time::Instant, //
};

/// Time for which a segment counts as cached at a server after its last use there, in milliseconds.
/// Servers evict the least recently used segments, and their memory holds about this much prefill.
const CACHE_MS: u64 = 25_000;

/// Time of the prefill of a segment, in milliseconds. Other servers can fetch it after that.
const PREFILL_MS: u64 = 300;

/// Maximum number of segments in the directory.
const MAX_SEGMENTS: usize = 20_000;

/// Maximum number of servers for each segment.
const MAX_HOLDERS: usize = 8;

/// Hash of a segment's id.
pub type Key = u64;

/// Returns the key of a segment.
pub fn key(segment: &Segment) -> Key {
    super::balance::hash(&[&segment.id])
}

/// Servers that cache each segment. Hosts exchange their placements, so that each directory covers
/// the requests of all hosts.
#[derive(Debug, Default)]
pub struct Directory {
    holders: HashMap<Key, Vec<(Name, Instant)>>,
}

impl Directory {
    /// Records that a server got a request with a segment.
    pub fn record(&mut self, now: Instant, segment: Key, server: &Name) {
        if self.holders.len() >= MAX_SEGMENTS {
            self.evict_old(now);
        }
        let holders = self.holders.entry(segment).or_default();
        if let Some((_, at)) = holders.iter_mut().find(|(name, _)| name == server) {
            *at = now;
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push((server.clone(), now));
    }

    fn evict_old(&mut self, now: Instant) {
        let max_age_ms = CACHE_MS / 2;
        self.holders.retain(|_, holders| {
            holders.retain(|&(_, at)| now.since_ms(at) < max_age_ms);
            !holders.is_empty()
        });
    }

    /// Removes a server that has left or restarted.
    pub fn forget(&mut self, server: &str) {
        self.holders.retain(|_, holders| {
            holders.retain(|(name, _)| &**name != server);
            !holders.is_empty()
        });
    }

    fn age_ms(&self, now: Instant, segment: Key, server: &str) -> Option<u64> {
        let holders = self.holders.get(&segment)?;
        let (_, at) = holders.iter().find(|(name, _)| &**name == server)?;
        Some(now.since_ms(*at)).filter(|&age| age < CACHE_MS)
    }

    /// Returns the number of segments at the start of a prompt that a server has cached.
    pub fn cached_segments(&self, now: Instant, prompt: &[Segment], server: &str) -> usize {
        let has = |segment: &&Segment| self.age_ms(now, key(segment), server).is_some();
        prompt.iter().take_while(has).count()
    }

    /// Returns the server with the longest cached prefix of a prompt and the number of its
    /// segments, if those are more than `cached`.
    pub fn source(
        &self,
        now: Instant,
        prompt: &[Segment],
        cached: usize,
        is_usable: impl Fn(&Name) -> bool,
    ) -> Option<(Name, usize)> {
        let segment = prompt.get(cached)?;
        let holders = self.holders.get(&key(segment))?;
        let usable = holders.iter().filter(|&(name, at)| {
            let age_ms = now.since_ms(*at);
            (PREFILL_MS..CACHE_MS).contains(&age_ms) && is_usable(name)
        });
        let counted = usable.map(|(name, at)| (self.cached_segments(now, prompt, name), *at, name));
        let (count, _, name) = counted.max()?;
        (count > cached).then(|| (name.clone(), count))
    }
}
