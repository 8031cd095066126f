//! When another host sent a message, by the time that the message states.

use crate::time::Instant;

/// Time in which the least delay of a message is looked for, in milliseconds. Some message passes without much
/// delay in it, and clocks of two hosts drift apart by a few milliseconds.
const WINDOW_MS: u64 = 60_000;

/// Estimate of another host's clock.
///
/// A message arrives after it was sent. So the least difference between its arrival and the time that it states is the best
/// estimate of the difference between both clocks, and one that arrives with a larger difference was held up.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerClock {
    // The window and the one before it, with their least differences, in milliseconds.
    began_at: Instant,
    least: Option<i64>,
    least_before: Option<i64>,
}

impl PeerClock {
    /// Records a message that states the time since the start of its sender. Returns when it was sent, at the latest.
    pub(super) fn observe(&mut self, now: Instant, uptime_ms: u64) -> Instant {
        let age_ms = now.since_ms(self.began_at);
        if age_ms >= WINDOW_MS {
            self.least_before = self.least.take().filter(|_| age_ms < 2 * WINDOW_MS);
            self.began_at = now;
        }
        // Beyond 2^63 ms only if a host states nonsense, and then it hurts only itself.
        let difference = now.as_ms().wrapping_sub(uptime_ms).cast_signed();
        let least = self.least.map_or(difference, |it| it.min(difference));
        self.least = Some(least);
        let least = self.least_before.map_or(least, |it| it.min(least));
        now.before_ms(difference.abs_diff(least))
    }
}
