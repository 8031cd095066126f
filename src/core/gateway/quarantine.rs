//! Quarantine of prompt parts that crash servers: see `docs/quarantine-design.md`.
//!
//! Load pattern: requests with one part in their prompts crash each server that begins to answer them,
//! and arrive at any host. One host sees few of the crashes, so hosts share what they see. They share
//! evidence and no verdicts: each host derives the quarantines from all evidence that it has, so a
//! verdict from too little evidence doesn't outlive it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    balance::{
        Segment,
        shared_segments, //
    },
    cache::{
        self,
        Key, //
    },
};
use crate::names::Name;

/// Number of crashes, each at another time, for which a part is quarantined.
pub const MIN_CRASHES: usize = 3;

/// Time within which crashes count once, in milliseconds. Servers that crash together have a common
/// cause outside of the prompts.
const BURST_MS: u64 = 250;

/// Retention time of crashes, in milliseconds. A quarantine ends when too few are left. Then one more
/// crash is enough for the next.
pub const RETENTION_MS: u64 = 600_000;

/// Time for which a host reports an observation to others, in milliseconds: several heartbeats.
const REPORT_MS: u64 = 20_000;

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// Maximum number of prompts that are kept for a crash.
const MAX_PROMPTS: usize = 6;

/// Maximum number of parts that are kept of a prompt.
const MAX_PARTS: usize = 8;

/// Maximum number of clearances in a report.
const MAX_CLEARANCES: usize = 64;

/// A start of a server. One that restarts under the same id counts as another server.
pub type Incarnation = (Name, Option<u64>);

/// A crash of a server, as hosts report it to each other.
///
/// Times are in milliseconds of Unix time, on which hosts agree to within seconds. An age would grow by
/// the delay of each report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The server.
    pub server: Incarnation,
    /// When it crashed.
    pub at_unix_ms: u64,
    /// Shared parts of the prompts whose answers had not begun to arrive.
    pub prompts: Vec<Vec<Key>>,
}

/// A part of a request that a server answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// The part.
    pub part: Key,
    /// When the request was sent.
    pub at_unix_ms: u64,
}

/// What a host reports to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Parts that are suspected and were answered completely.
    pub clearances: Vec<Clearance>,
}

/// Which observations a report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Recent ones of this host.
    Own,
    /// All that are known, for hosts that start after those that made them have ended.
    All,
}

/// A change of the quarantines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A part is quarantined for this number of crashes.
    Added {
        /// The part.
        part: Key,
        /// Number of crashes.
        crashes: usize,
    },
    /// A quarantine ended.
    Lifted {
        /// The part.
        part: Key,
    },
}

#[derive(Debug)]
struct Observation {
    at_unix_ms: u64,
    prompts: Vec<Vec<Key>>,
    is_own: bool,
}

#[derive(Clone, Copy, Debug)]
struct Cleared {
    at_unix_ms: u64,
    is_own: bool,
}

/// Crashes of servers, and the parts that are quarantined for them.
///
/// A part is quarantined if it explains several crashes that happened one after the other, and no
/// request with it that was sent in between was answered completely. The prompts of a crash may also
/// hold harmless parts. So the part that explains most crashes is quarantined first, and others only
/// for the crashes that it doesn't explain.
#[derive(Debug, Default)]
pub struct Table {
    crashes: BTreeMap<Incarnation, Observation>,
    cleared: BTreeMap<Key, Cleared>,
    quarantined: BTreeMap<Key, Suspect>,
}

impl Table {
    /// Records that a server crashed while this host waited for the beginning of its answer to a
    /// prompt.
    pub fn record_crash(
        &mut self,
        unix_ms: u64,
        server: Incarnation,
        prompt: &[Segment],
    ) -> Vec<Change> {
        let parts = keys(prompt);
        if parts.is_empty() {
            return Vec::new();
        }
        let crash = Crash {
            server,
            at_unix_ms: unix_ms,
            prompts: vec![parts],
        };
        self.add_crash(crash, true);
        self.evaluate(unix_ms)
    }

    /// Records a complete answer to a request. Returns whether a part is cleared for the first time
    /// since it is suspected.
    pub fn record_answer(
        &mut self,
        unix_ms: u64,
        sent_unix_ms: u64,
        prompt: &[Segment],
    ) -> (bool, Vec<Change>) {
        if self.crashes.is_empty() {
            return (false, Vec::new());
        }
        let mut is_new = false;
        for part in keys(prompt) {
            let clearance = Clearance {
                part,
                at_unix_ms: sent_unix_ms,
            };
            is_new |= self.add_clearance(clearance, true);
        }
        let changes = if is_new {
            self.evaluate(unix_ms)
        } else {
            Vec::new()
        };
        (is_new, changes)
    }

    /// Merges the report of another host, or of an earlier incarnation of this one.
    pub fn merge(&mut self, unix_ms: u64, report: Report) -> Vec<Change> {
        let mut is_new = false;
        for crash in report.crashes {
            if unix_ms.saturating_sub(crash.at_unix_ms) < RETENTION_MS {
                is_new |= self.add_crash(crash, false);
            }
        }
        for clearance in report.clearances {
            is_new |= self.add_clearance(clearance, false);
        }
        // Most reports repeat what is known.
        if is_new {
            self.evaluate(unix_ms)
        } else {
            Vec::new()
        }
    }

    /// Returns what this host reports to others.
    pub fn report(&self, unix_ms: u64, scope: Scope) -> Report {
        let is_included = |is_own: bool, at_unix_ms: u64| {
            scope == Scope::All || is_own && unix_ms.saturating_sub(at_unix_ms) < REPORT_MS
        };
        let crashes = self
            .crashes
            .iter()
            .filter(|(_, crash)| is_included(crash.is_own, crash.at_unix_ms));
        let cleared = self
            .cleared
            .iter()
            .filter(|(_, cleared)| is_included(cleared.is_own, cleared.at_unix_ms));
        let crash = |(server, crash): (&Incarnation, &Observation)| Crash {
            server: server.clone(),
            at_unix_ms: crash.at_unix_ms,
            prompts: crash.prompts.clone(),
        };
        let clearance = |(&part, cleared): (&Key, &Cleared)| Clearance {
            part,
            at_unix_ms: cleared.at_unix_ms,
        };
        Report {
            crashes: crashes.map(crash).collect(),
            clearances: cleared.map(clearance).take(MAX_CLEARANCES).collect(),
        }
    }

    /// Returns the report of one crash.
    pub fn crash_report(&self, server: &Incarnation) -> Report {
        let crash = self.crashes.get(server).map(|crash| Crash {
            server: server.clone(),
            at_unix_ms: crash.at_unix_ms,
            prompts: crash.prompts.clone(),
        });
        Report {
            crashes: crash.into_iter().collect(),
            clearances: Vec::new(),
        }
    }

    /// Returns the report of the parts of a prompt that are cleared.
    pub fn clearance_report(&self, prompt: &[Segment]) -> Report {
        let clearances = keys(prompt).into_iter().filter_map(|part| {
            let at_unix_ms = self.cleared.get(&part)?.at_unix_ms;
            Some(Clearance { part, at_unix_ms })
        });
        Report {
            crashes: Vec::new(),
            clearances: clearances.collect(),
        }
    }

    /// Returns the quarantined part of a prompt and the remaining time of its quarantine, in
    /// milliseconds.
    pub fn find<'a>(&self, unix_ms: u64, prompt: &'a [Segment]) -> Option<(&'a Segment, u64)> {
        if self.quarantined.is_empty() {
            return None;
        }
        let shared = shared_segments(prompt);
        let parts: BTreeSet<Key> = shared.iter().map(cache::key).collect();
        shared.iter().find_map(|segment| {
            let suspect = self.quarantined.get(&cache::key(segment))?;
            let left_ms = suspect.until_unix_ms().saturating_sub(unix_ms);
            (left_ms > 0 && suspect.parts.is_subset(&parts)).then_some((segment, left_ms))
        })
    }

    /// Drops the crashes whose time is over.
    pub fn expire(&mut self, unix_ms: u64) -> Vec<Change> {
        let mut crashes = self.crashes.values();
        if crashes.any(|crash| crash.at_unix_ms + RETENTION_MS <= unix_ms) {
            self.evaluate(unix_ms)
        } else {
            Vec::new()
        }
    }

    /// Returns the number of quarantined parts.
    pub fn len(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns whether anything of the crash is new.
    fn add_crash(&mut self, crash: Crash, is_own: bool) -> bool {
        let Crash {
            server,
            at_unix_ms,
            prompts,
        } = crash;
        let mut is_new = !self.crashes.contains_key(&server);
        if is_new && self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, it)| it.at_unix_ms);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.crashes.remove(&oldest);
            }
        }
        let crash = self.crashes.entry(server).or_insert(Observation {
            at_unix_ms,
            prompts: Vec::new(),
            is_own,
        });
        crash.at_unix_ms = crash.at_unix_ms.min(at_unix_ms);
        crash.is_own |= is_own;
        for mut prompt in prompts {
            prompt.truncate(MAX_PARTS);
            if crash.prompts.len() < MAX_PROMPTS && !crash.prompts.contains(&prompt) {
                crash.prompts.push(prompt);
                is_new = true;
            }
        }
        is_new
    }

    /// Returns whether the clearance may change the quarantines: that of a part which wasn't cleared
    /// yet since it is suspected, or which is quarantined.
    fn add_clearance(&mut self, clearance: Clearance, is_own: bool) -> bool {
        let Clearance { part, at_unix_ms } = clearance;
        let mut before = self
            .crashes
            .values()
            .filter(|crash| crash.at_unix_ms <= at_unix_ms);
        if !before.any(|crash| crash.has(part)) {
            return false;
        }
        let is_new = !self.cleared.contains_key(&part);
        let cleared = self
            .cleared
            .entry(part)
            .or_insert(Cleared { at_unix_ms, is_own });
        if at_unix_ms > cleared.at_unix_ms {
            *cleared = Cleared { at_unix_ms, is_own };
        }
        let mut quarantined = self.quarantined.values();
        is_new || quarantined.any(|suspect| suspect.parts.contains(&part))
    }

    /// Derives the quarantines from all evidence.
    fn evaluate(&mut self, unix_ms: u64) -> Vec<Change> {
        self.crashes
            .retain(|_, crash| unix_ms < crash.at_unix_ms + RETENTION_MS);
        let parts: BTreeSet<Key> = self.crashes.values().flat_map(Observation::parts).collect();
        self.cleared.retain(|part, _| parts.contains(part));
        let mut unexplained: Vec<&Observation> = self.crashes.values().collect();
        unexplained.sort_by_key(|crash| crash.at_unix_ms);
        let mut quarantined = BTreeMap::new();
        while let Some(suspect) = self.prime_suspect(&parts, &unexplained) {
            unexplained.retain(|crash| !crash.is_explained_by(&suspect));
            quarantined.insert(suspect.part, suspect);
        }
        let before = std::mem::replace(&mut self.quarantined, quarantined);
        let lifted = before
            .keys()
            .filter(|part| !self.quarantined.contains_key(part))
            .map(|&part| Change::Lifted { part });
        let added = self
            .quarantined
            .values()
            .filter(|suspect| !before.contains_key(&suspect.part))
            .map(|suspect| Change::Added {
                part: suspect.part,
                crashes: suspect.crashes,
            });
        lifted.chain(added).collect()
    }

    /// Returns the part that explains most of the crashes, if it explains enough of them.
    fn prime_suspect(&self, parts: &BTreeSet<Key>, crashes: &[&Observation]) -> Option<Suspect> {
        let suspects = parts
            .iter()
            .filter_map(|&part| Suspect::new(part, crashes, &self.cleared));
        suspects.max_by_key(|suspect| {
            let is_cleared = self.cleared.contains_key(&suspect.part);
            // Of parts that always come together, the most specific one is in the fewest prompts.
            (
                !is_cleared,
                suspect.crashes,
                suspect.parts.len(),
                suspect.part,
            )
        })
    }
}

impl Observation {
    fn parts(&self) -> impl Iterator<Item = Key> + '_ {
        self.prompts.iter().flatten().copied()
    }

    fn has(&self, part: Key) -> bool {
        self.prompts.iter().any(|prompt| prompt.contains(&part))
    }

    fn is_explained_by(&self, suspect: &Suspect) -> bool {
        let has_all = |prompt: &Vec<Key>| suspect.parts.iter().all(|part| prompt.contains(part));
        self.prompts.iter().any(has_all)
    }
}

/// A part that explains crashes.
#[derive(Debug)]
struct Suspect {
    part: Key,
    /// Parts of all prompts with the part at the crashes, except harmless ones.
    parts: BTreeSet<Key>,
    /// Number of crashes.
    crashes: usize,
    /// Times of the crashes in Unix milliseconds, one of those that happened together.
    bursts: Vec<u64>,
}

impl Suspect {
    /// Collects the crashes with a part since it was cleared, which are in order of time. Returns
    /// `None` if they are too few.
    fn new(part: Key, crashes: &[&Observation], cleared: &BTreeMap<Key, Cleared>) -> Option<Self> {
        let cleared_at = cleared.get(&part).map(|cleared| cleared.at_unix_ms);
        let mut count = 0;
        let mut bursts: Vec<u64> = Vec::new();
        let mut parts: Option<BTreeSet<Key>> = None;
        for crash in crashes.iter().filter(|crash| crash.has(part)) {
            let at = crash.at_unix_ms;
            if cleared_at.is_some_and(|cleared_at| at <= cleared_at) {
                continue;
            }
            count += 1;
            if bursts.last().is_none_or(|&last| at >= last + BURST_MS) {
                bursts.push(at);
            }
            for prompt in crash.prompts.iter().filter(|prompt| prompt.contains(&part)) {
                let parts = parts.get_or_insert_with(|| prompt.iter().copied().collect());
                parts.retain(|part| prompt.contains(part));
            }
        }
        if bursts.len() < MIN_CRASHES {
            return None;
        }
        let first = bursts[0];
        let is_harmless = |other: &Key| {
            let cleared = cleared.get(other);
            cleared.is_some_and(|cleared| cleared.at_unix_ms >= first)
        };
        let mut parts = parts.unwrap_or_default();
        parts.retain(|other| *other == part || !is_harmless(other));
        Some(Self {
            part,
            parts,
            crashes: count,
            bursts,
        })
    }

    /// Returns when too few crashes are left.
    fn until_unix_ms(&self) -> u64 {
        let last = self.bursts[self.bursts.len() - MIN_CRASHES];
        last + RETENTION_MS
    }
}

fn keys(prompt: &[Segment]) -> Vec<Key> {
    let shared = shared_segments(prompt).iter();
    shared.map(cache::key).take(MAX_PARTS).collect()
}
