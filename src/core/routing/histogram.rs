//! Histograms of call durations with exponential decay, in integer arithmetic only.
//!
//! Without new calls the quantiles decay within seconds. Otherwise the long durations of an outage
//! would have all calls refused, and no call would run that could measure shorter ones.

use crate::time::Instant;

/// Number of buckets in each doubling of the duration.
const BUCKETS_PER_OCTAVE: u32 = 8;

/// Binary logarithm of [`BUCKETS_PER_OCTAVE`].
const OCTAVE_BITS: u32 = 3;

/// Number of buckets, which reach up to about 70 minutes.
const BUCKETS: usize = 160;

/// Total count at which all buckets are halved, so that old durations lose weight.
const HALVING_COUNT: u32 = 512;

/// Number of additions after which the quantiles are recomputed.
const REFRESH_INTERVAL: u32 = 8;

/// Time without calls after which the quantiles are halved, repeatedly, in milliseconds.
const HALF_LIFE_MS: u64 = 2_000;

/// Histogram of durations in milliseconds.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Box<[u32; BUCKETS]>,
    total: u32,
    added_since_refresh: u32,
    median_ms: u64,
    p90_ms: u64,
    p10_ms: u64,
    added_at: Instant,
}

impl Histogram {
    /// Creates an empty histogram.
    pub fn new() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            total: 0,
            added_since_refresh: 0,
            median_ms: 0,
            p90_ms: 0,
            p10_ms: 0,
            added_at: Instant::ZERO,
        }
    }

    /// Adds a duration.
    pub fn add(&mut self, now: Instant, ms: u64) {
        self.added_at = now;
        self.counts[bucket_index(ms)] += 1;
        self.total += 1;
        self.added_since_refresh += 1;
        if self.total >= HALVING_COUNT {
            self.halve_counts();
        }
        if self.added_since_refresh >= REFRESH_INTERVAL || self.total <= REFRESH_INTERVAL {
            self.refresh_quantiles();
        }
    }

    /// Returns the duration within which a tenth of calls end, 0 if there is no data.
    pub fn p10_ms(&self, now: Instant) -> u64 {
        self.decayed(now, self.p10_ms)
    }

    /// Returns the duration within which half of calls end, 0 if there is no data.
    pub fn median_ms(&self, now: Instant) -> u64 {
        self.decayed(now, self.median_ms)
    }

    /// Returns the duration within which nine tenths of calls end, 0 if there is no data.
    pub fn p90_ms(&self, now: Instant) -> u64 {
        self.decayed(now, self.p90_ms)
    }

    fn decayed(&self, now: Instant, ms: u64) -> u64 {
        let halvings = now.since_ms(self.added_at) / HALF_LIFE_MS;
        ms >> halvings.min(63)
    }

    fn halve_counts(&mut self) {
        self.total = 0;
        for count in self.counts.iter_mut() {
            *count /= 2;
            self.total += *count;
        }
    }

    fn refresh_quantiles(&mut self) {
        self.added_since_refresh = 0;
        self.p10_ms = bucket_start_ms(self.quantile(10));
        self.median_ms = bucket_start_ms(self.quantile(50));
        self.p90_ms = bucket_start_ms(self.quantile(90) + 1);
    }

    /// Returns the index of the bucket that contains a quantile.
    fn quantile(&self, percent: u32) -> usize {
        let target = (self.total * percent).div_ceil(100).max(1);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= target {
                return index;
            }
        }
        0
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self::new()
    }
}

fn bucket_index(ms: u64) -> usize {
    if ms < u64::from(BUCKETS_PER_OCTAVE) {
        return ms as usize;
    }
    let octave = ms.ilog2();
    let step = (ms >> (octave - OCTAVE_BITS)) & u64::from(BUCKETS_PER_OCTAVE - 1);
    let index = (octave - OCTAVE_BITS + 1) * BUCKETS_PER_OCTAVE + step as u32;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the shortest duration of a bucket.
fn bucket_start_ms(index: usize) -> u64 {
    if index < BUCKETS_PER_OCTAVE as usize {
        return index as u64;
    }
    let octave = index as u32 / BUCKETS_PER_OCTAVE + OCTAVE_BITS - 1;
    let step = u64::from(index as u32 % BUCKETS_PER_OCTAVE);
    (u64::from(BUCKETS_PER_OCTAVE) + step) << (octave - OCTAVE_BITS)
}
