//! Rate limit of requests to cold servers, split among hosts.

use std::collections::{
    HashMap,
    VecDeque, //
};

use super::quota;
use crate::{
    names::Name,
    time::Instant, //
};

/// Window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Limits the requests of this host to each server within any second.
///
/// A server may be cold before any host knows, so the limit applies to all servers at all times. It
/// guards against a thundering herd: all hosts send to a data centre as soon as it recovers.
#[derive(Debug)]
pub struct Limiter {
    window_ms: u64,
    sent: HashMap<Name, VecDeque<Instant>>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new(WINDOW_MS)
    }
}

impl Limiter {
    /// Creates a limiter with another window.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            sent: HashMap::new(),
        }
    }

    /// Returns the time in milliseconds until this host may send a request to a server, if it may send
    /// `most` in any window. Returns `None` if it may send none at all.
    pub fn wait_ms(&self, now: Instant, server: &str, most: u64) -> Option<u64> {
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        let Some(sent) = self.sent.get(server) else {
            return (most > 0).then_some(0);
        };
        let in_window = sent
            .iter()
            .filter(|&&at| now.since_ms(at) < self.window_ms)
            .count();
        if in_window < most {
            return Some(0);
        }
        // The request that has to leave the window first.
        let last = sent.len().checked_sub(most)?;
        let at = sent.get(last)?;
        Some(at.after_ms(self.window_ms).since_ms(now))
    }

    /// Returns whether one more request to a server stays within `limit_per_s` of the group.
    pub fn allows(
        &mut self,
        now: Instant,
        server: &Name,
        limit_per_s: f64,
        group: &quota::Group, //
    ) -> bool {
        if limit_per_s <= 0.0 {
            return true;
        }
        let sent = self.sent.get_mut(server).map_or(0, |sent| {
            evict_old(now, sent, self.window_ms);
            sent.len()
        });
        (sent as u64) < group.share(limit_per_s as u64, server)
    }

    /// Counts a request.
    pub fn record(&mut self, now: Instant, server: &Name) {
        let sent = self.sent.entry(server.clone()).or_default();
        evict_old(now, sent, self.window_ms);
        sent.push_back(now);
    }

    /// Returns the number of requests in the window of a server.
    pub fn recent_count(&self, server: &str) -> usize {
        self.sent.get(server).map_or(0, VecDeque::len)
    }

    /// Removes a server that has left.
    pub fn forget(&mut self, server: &str) {
        self.sent.remove(server);
    }
}

fn evict_old(now: Instant, sent: &mut VecDeque<Instant>, window_ms: u64) {
    while sent
        .front()
        .is_some_and(|&at| now.since_ms(at) >= window_ms)
    {
        sent.pop_front();
    }
}
