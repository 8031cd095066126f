//! Answers of the versions of a service, from all hosts.

use std::{
    collections::BTreeMap,
    ops::AddAssign, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::order::Window;
use crate::{
    names::Name,
    time::Instant, //
};

/// Maximum size of an encoded digest in bytes, so that it fits into a datagram with other fields.
pub const MAX_DIGEST_BYTES: usize = 1_000;

/// An answer of a server.
///
/// Refusals of requests that were not run and failures of a server's start are no answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it is a failure.
    pub failed: bool,
    /// Time from the request to the answer's end, in milliseconds. `None` if it says nothing about the
    /// version: for failures, servers that warm up, and answers that began at another server.
    pub ms: Option<u64>,
}

/// Buckets of latency for each factor of two. Neighbours differ by 19%.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of slices of time that are kept apart. Answers of the same slice are compared, so that trouble
/// that strikes all versions is no difference between them.
const SLICES: u16 = 12;

/// Limits of the length of a slice, in milliseconds. A longer one would hide the difference between a
/// single burst of failures and lasting ones for longer than a rollback may take.
const SLICE_MS: (u64, u64) = (250, 1_500);

/// Maximum number of routes that are told apart.
const MAX_ROUTES: usize = 8;

/// Name under which the answers of further routes are counted.
const OTHER_ROUTES: &str = "";

/// Maximum number of incarnations of hosts whose digests are kept.
const MAX_DIGESTS: usize = 1_024;

/// Answers of some versions, of a route and a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Number of answers.
    pub answers: u64,
    /// Number of those that are failures.
    pub failed: u64,
    /// Numbers of answers by bucket of their latency, sparse and ascending.
    pub buckets: Vec<(u8, u64)>,
}

impl Cell {
    fn record(&mut self, answer: Answer) {
        self.answers += 1;
        self.failed += u64::from(answer.failed);
        if let Some(ms) = answer.ms {
            self.add(bucket(ms), 1);
        }
    }

    fn add(&mut self, bucket: u8, count: u64) {
        match self.buckets.binary_search_by_key(&bucket, |entry| entry.0) {
            Ok(index) => self.buckets[index].1 = self.buckets[index].1.saturating_add(count),
            Err(index) => self.buckets.insert(index, (bucket, count)),
        }
    }

    /// Returns the number of answers whose latency is known.
    pub fn timed(&self) -> u64 {
        self.buckets.iter().map(|&(_, count)| count).sum()
    }

    /// Returns the number of answers in buckets above one.
    pub fn above(&self, bucket: u8) -> u64 {
        let buckets = self.buckets.iter().filter(|entry| entry.0 > bucket);
        buckets.map(|&(_, count)| count).sum()
    }

    /// Returns the lowest bucket above which there is at most a fraction of the answers.
    pub fn quantile(&self, fraction_above: f64) -> Option<u8> {
        let max_above = (self.timed() as f64 * fraction_above) as u64;
        let buckets = self.buckets.iter().map(|entry| entry.0);
        buckets.into_iter().find(|&it| self.above(it) <= max_above)
    }
}

impl AddAssign<&Self> for Cell {
    fn add_assign(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        for &(bucket, count) in &other.buckets {
            self.add(bucket, count);
        }
    }
}

fn bucket(ms: u64) -> u8 {
    ((ms as f64 + 1.0).log2() * BUCKETS_PER_OCTAVE) as u8
}

/// Answers of both versions of a route and a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Answers of the target.
    pub target: Cell,
    /// Answers of the other versions.
    pub others: Cell,
}

impl AddAssign<&Self> for Pair {
    fn add_assign(&mut self, other: &Self) {
        self.target += &other.target;
        self.others += &other.others;
    }
}

/// Time at which requests were sent whose answers are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Time {
    /// All slices up to one, which aren't kept apart any more.
    UpTo(u16),
    /// A slice, counted from the order.
    Slice(u16),
}

/// Answers by route and time.
pub type Cells = BTreeMap<(Name, Time), Pair>;

/// What a host reports of the answers that it got.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the digest, ascending within the incarnation of the host.
    pub sequence: u64,
    // By route, so that each name is encoded once.
    cells: Vec<(Name, Vec<(Time, Pair)>)>,
}

impl Digest {
    fn new(sequence: u64, cells: &Cells) -> Self {
        let mut routes: Vec<(Name, Vec<(Time, Pair)>)> = Vec::new();
        for ((route, time), pair) in cells {
            match routes.last_mut() {
                Some((last, times)) if last == route => times.push((*time, pair.clone())),
                _ => routes.push((route.clone(), vec![(*time, pair.clone())])),
            }
        }
        Self {
            sequence,
            cells: routes,
        }
    }

    /// Returns the length of the encoded digest in bytes.
    pub fn len(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len())
    }

    /// Returns whether the digest holds no answers.
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the number of answers of the target.
    pub fn target_answers(&self) -> u64 {
        let pairs = self.cells.iter().flat_map(|(_, times)| times);
        pairs.map(|(_, pair)| pair.target.answers).sum()
    }
}

/// The answers of all hosts to requests that were sent since an order.
#[derive(Clone, Debug)]
pub struct Evidence {
    window: Window,
    slice_ms: u64,
    sequence: u64,
    newest: u16,
    own: Cells,
    // By host and incarnation. The answers that a host got before its restart stay true.
    digests: BTreeMap<(Name, u64), Digest>,
}

impl Evidence {
    /// Opens the evidence of an order.
    pub fn open(window: Window) -> Self {
        let slice_ms = window.duration_ms / u64::from(SLICES);
        Self {
            window,
            slice_ms: slice_ms.clamp(SLICE_MS.0, SLICE_MS.1),
            sequence: 0,
            newest: 0,
            own: Cells::new(),
            digests: BTreeMap::new(),
        }
    }

    /// Records an answer that this host got to a request that it sent at `sent_at`.
    pub fn record(&mut self, sent_at: Instant, route: &Name, is_target: bool, answer: Answer) {
        let slice = self.window.elapsed_ms(sent_at) / self.slice_ms;
        let slice = u16::try_from(slice).unwrap_or(u16::MAX);
        if slice > self.newest {
            self.newest = slice;
            if let Some(last) = slice.checked_sub(SLICES) {
                self.own = fold(&self.own, last);
            }
        }
        let time = match self.newest.checked_sub(SLICES) {
            Some(last) if slice <= last => Time::UpTo(last),
            _ => Time::Slice(slice),
        };
        let mut key = (route.clone(), time);
        if !self.own.contains_key(&key) {
            let mut routes: Vec<&Name> = self.own.keys().map(|(route, _)| route).collect();
            routes.dedup();
            if routes.len() >= MAX_ROUTES && !routes.contains(&route) {
                key.0 = OTHER_ROUTES.into();
            }
        }
        let pair = self.own.entry(key).or_default();
        let cell = if is_target {
            &mut pair.target
        } else {
            &mut pair.others
        };
        cell.record(answer);
    }

    /// Merges the digest of another host. Returns whether it is newer than what was known of this
    /// incarnation of the host.
    pub fn merge(&mut self, host: &Name, incarnation: u64, digest: Digest) -> bool {
        let key = (host.clone(), incarnation);
        match self.digests.get(&key) {
            Some(known) if known.sequence >= digest.sequence => return false,
            None if self.digests.len() >= MAX_DIGESTS => return false,
            _ => {}
        }
        self.digests.insert(key, digest);
        true
    }

    /// Returns the digest of the answers that this host got itself, at most [`MAX_DIGEST_BYTES`] long.
    /// Where they are too many, older slices aren't kept apart, then routes aren't.
    pub fn digest(&mut self) -> Digest {
        self.sequence += 1;
        let mut digest = Digest::new(self.sequence, &self.own);
        let oldest = self.newest.saturating_sub(SLICES);
        for last in oldest..=self.newest {
            if digest.len() <= MAX_DIGEST_BYTES {
                return digest;
            }
            digest = Digest::new(self.sequence, &fold(&self.own, last));
        }
        if digest.len() <= MAX_DIGEST_BYTES {
            return digest;
        }
        let mut all = Cells::new();
        for pair in self.own.values() {
            let key = (OTHER_ROUTES.into(), Time::UpTo(self.newest));
            *all.entry(key).or_default() += pair;
        }
        Digest::new(self.sequence, &all)
    }

    /// Returns the answers of all hosts.
    pub fn cells(&self) -> Cells {
        let mut cells = self.own.clone();
        for digest in self.digests.values() {
            for (route, times) in &digest.cells {
                for (time, pair) in times {
                    *cells.entry((route.clone(), *time)).or_default() += pair;
                }
            }
        }
        cells
    }
}

/// Joins all slices up to one.
fn fold(cells: &Cells, last: u16) -> Cells {
    let mut folded = Cells::new();
    for ((route, time), pair) in cells {
        let time = match *time {
            Time::UpTo(_) => Time::UpTo(last),
            Time::Slice(slice) if slice <= last => Time::UpTo(last),
            time => time,
        };
        *folded.entry((route.clone(), time)).or_default() += pair;
    }
    folded
}
