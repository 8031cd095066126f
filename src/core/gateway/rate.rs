//! This host's share of the rate that a cold server takes from all hosts together.

use std::collections::{
    HashMap,
    VecDeque, //
};

use super::quota;
use crate::{
    names::Name,
    time::Instant, //
};

/// Span in which requests are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;

/// Requests that were sent to each server within the last second.
///
/// Any server may be cold without anyone knowing yet, so the bound holds for all of them at all
/// times. The pattern that it answers: a data centre comes back and every host sends there at once.
#[derive(Debug, Default)]
pub struct Limiter {
    sent: HashMap<Name, VecDeque<Instant>>,
}

impl Limiter {
    /// Returns whether one more request to a server keeps to `per_s` over all of a group.
    pub fn allows(
        &mut self,
        now: Instant,
        server: &Name,
        per_s: f64,
        group: &quota::Group, //
    ) -> bool {
        if per_s <= 0.0 {
            return true;
        }
        let sent = self.sent.get_mut(server).map_or(0, |sent| {
            forget_old(now, sent);
            sent.len()
        });
        (sent as u64) < group.share(per_s as u64, server)
    }

    /// Counts a request.
    pub fn record(&mut self, now: Instant, server: &Name) {
        let sent = self.sent.entry(server.clone()).or_default();
        forget_old(now, sent);
        sent.push_back(now);
    }

    /// Returns the number of requests that are remembered for a server.
    pub fn recent_count(&self, server: &str) -> usize {
        self.sent.get(server).map_or(0, VecDeque::len)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &str) {
        self.sent.remove(server);
    }
}

fn forget_old(now: Instant, sent: &mut VecDeque<Instant>) {
    while sent.front().is_some_and(|&at| now.since_ms(at) >= SPAN_MS) {
        sent.pop_front();
    }
}
