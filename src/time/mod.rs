//! Points in time as the core sees them: milliseconds on the monotonic clock of one process.
//!
//! Instants of two processes can't be compared. Ages can, so messages carry ages.

use serde::{
    Deserialize,
    Serialize, //
};

/// Milliseconds since an arbitrary origin, which is the same within one process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Makes an instant from milliseconds since the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the instant `ms` milliseconds later.
    #[must_use]
    pub const fn after_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the instant `ms` milliseconds earlier, or the origin where there is none.
    #[must_use]
    pub const fn before_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds from `earlier` to here, 0 where `earlier` is later.
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
