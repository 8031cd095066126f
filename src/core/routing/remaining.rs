//! Distributions of the time that calls take, as integers only, with slow forgetting.

/// Number of buckets in each doubling of time.
const STEPS: u32 = 4;

/// Number of buckets: up to about 70 minutes.
const BUCKETS: usize = 88;

/// Count at which all buckets are halved, so that old times fade.
const FADE_AT: u32 = 512;

/// Count of times between two readings of the quantiles.
const READ_EVERY: u32 = 8;

/// A distribution of times in milliseconds.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Box<[u32; BUCKETS]>,
    total: u32,
    unread: u32,
    half_ms: u64,
    tail_ms: u64,
    low_ms: u64,
}

impl Histogram {
    /// Makes an empty distribution.
    pub fn new() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            total: 0,
            unread: 0,
            half_ms: 0,
            tail_ms: 0,
            low_ms: 0,
        }
    }

    /// Adds one time.
    pub fn add(&mut self, ms: u64) {
        self.counts[bucket(ms)] += 1;
        self.total += 1;
        self.unread += 1;
        if self.total >= FADE_AT {
            self.fade();
        }
        if self.unread >= READ_EVERY || self.total <= READ_EVERY {
            self.read();
        }
    }

    /// Returns the time that a tenth of calls needs, 0 where nothing is known.
    pub fn low_ms(&self) -> u64 {
        self.low_ms
    }

    /// Returns the time that half of calls need, 0 where nothing is known.
    pub fn half_ms(&self) -> u64 {
        self.half_ms
    }

    /// Returns the time within which nine in ten calls end, 0 where nothing is known.
    pub fn tail_ms(&self) -> u64 {
        self.tail_ms
    }

    fn fade(&mut self) {
        self.total = 0;
        for count in self.counts.iter_mut() {
            *count /= 2;
            self.total += *count;
        }
    }

    fn read(&mut self) {
        self.unread = 0;
        self.low_ms = self.quantile(10);
        self.half_ms = self.quantile(50);
        self.tail_ms = self.quantile(90);
    }

    fn quantile(&self, percent: u32) -> u64 {
        let wanted = (self.total * percent).div_ceil(100).max(1);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return lower_ms(index);
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

fn bucket(ms: u64) -> usize {
    if ms < u64::from(STEPS) {
        return ms as usize;
    }
    let octave = ms.ilog2();
    let step = (ms >> (octave - 2)) & u64::from(STEPS - 1);
    let index = (octave - 1) * STEPS + step as u32;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the shortest time of a bucket.
fn lower_ms(index: usize) -> u64 {
    if index < STEPS as usize {
        return index as u64;
    }
    let octave = index as u32 / STEPS + 1;
    let step = u64::from(index as u32 % STEPS);
    (u64::from(STEPS) + step) << (octave - 2)
}
