//! Monotonic clock that also advances while the host is suspended.

use rustix::time::{
    ClockId,
    Timespec,
    clock_gettime, //
};

use crate::time::Instant;

/// Clock of milliseconds since the process started, including suspended time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start_ms: boot_ms(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        Instant::from_ms(boot_ms().saturating_sub(self.start_ms))
    }
}

/// Returns the time of day, in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    ms(clock_gettime(ClockId::Realtime))
}

fn boot_ms() -> u64 {
    ms(clock_gettime(ClockId::Boottime))
}

fn ms(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}
