//! The monotonic clock, which only the shell reads.

use crate::time::Instant;

/// Milliseconds since the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    /// Starts a clock at the origin.
    pub fn start() -> Self {
        Self(std::time::Instant::now())
    }

    /// Returns the time.
    pub fn now(&self) -> Instant {
        let ms = self.0.elapsed().as_millis();
        Instant::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}

/// Draws a number that no other life of this or another host has, but for a freak.
pub fn draw_incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    // Later lives have higher numbers, as long as the host's clock doesn't go back by a second.
    let ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    ms << 20 | draw_seed() & 0xf_ffff
}

/// Draws a seed from the randomness with which the standard library keys its maps.
pub fn draw_seed() -> u64 {
    use std::hash::{
        BuildHasher,
        Hasher, //
    };
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}
