//! Distributions of the time that calls take, as integers only, with slow forgetting.
//!
//! Without new calls a distribution fades within seconds. Else times of a bad hour would refuse all
//! calls for ever, as no call would run that shows better ones.

use crate::time::Instant;

/// Number of buckets in each doubling of time.
const BUCKETS_PER_OCTAVE: u32 = 8;

/// Logarithm of that number.
const OCTAVE_BITS: u32 = 3;

/// Number of buckets: up to about 70 minutes.
const BUCKETS: usize = 160;

/// Count at which all buckets are halved, so that old times fade.
const HALVING_COUNT: u32 = 512;

/// Count of times between two readings of the quantiles.
const REFRESH_INTERVAL: u32 = 8;

/// Time without calls after which all quantiles are halved, and again after each further one.
const HALF_LIFE_MS: u64 = 2_000;

/// A distribution of times in milliseconds.
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
    /// Makes an empty distribution.
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

    /// Adds one time.
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

    /// Returns the time that a tenth of calls needs, 0 where nothing is known.
    pub fn p10_ms(&self, now: Instant) -> u64 {
        self.decayed(now, self.p10_ms)
    }

    /// Returns the time that half of calls need, 0 where nothing is known.
    pub fn median_ms(&self, now: Instant) -> u64 {
        self.decayed(now, self.median_ms)
    }

    /// Returns the time within which nine in ten calls end, 0 where nothing is known.
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

    /// Returns the bucket in which a quantile falls.
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

/// Returns the shortest time of a bucket.
fn bucket_start_ms(index: usize) -> u64 {
    if index < BUCKETS_PER_OCTAVE as usize {
        return index as u64;
    }
    let octave = index as u32 / BUCKETS_PER_OCTAVE + OCTAVE_BITS - 1;
    let step = u64::from(index as u32 % BUCKETS_PER_OCTAVE);
    (u64::from(BUCKETS_PER_OCTAVE) + step) << (octave - OCTAVE_BITS)
}
