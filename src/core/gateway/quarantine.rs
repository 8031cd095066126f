//! Quarantine of what crashes servers, a request or a part of prompts: see `docs/quarantine-design.md`.
//!
//! Load pattern: requests with one part in their prompts, or one request that is repeated, crash each
//! server that begins to answer them, and arrive at any host. One host sees few of the crashes, so hosts
//! share what they see. They share evidence and no verdicts: each host derives the quarantines from all
//! evidence that it has, so a verdict from too little evidence doesn't outlive it.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    cache::Key,
    content::{
        Content,
        MAX_KEYS, //
    },
};
use crate::names::Name;

/// Number of crashes, each at another time, for which a part is quarantined.
pub const MIN_CRASHES: usize = 3;

/// Number of keys of which a host remembers when they were answered.
const MAX_ANSWERED: usize = 4_096;

/// Time within which crashes count once, in milliseconds. Servers that crash together have a common
/// cause outside of the requests, unless the request was sent after the first of them.
const BURST_MS: u64 = 250;

/// Retention time of crashes, in milliseconds. A quarantine ends when too few are left. Then one more
/// crash is enough for the next.
pub const RETENTION_MS: u64 = 600_000;

/// Time for which a host reports an observation to others, in milliseconds: several heartbeats.
const REPORT_MS: u64 = 20_000;

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// Time after the last crash for which a request is refused if something else may explain the crashes, in
/// milliseconds. After that one more crash, or an answer, tells. It doubles each time the request is let
/// through and crashes a server again.
pub const AMBIGUOUS_MS: u64 = 10_000;

/// Maximum number of keys that are kept for a crash, so that a report fits into a datagram.
const MAX_CRASH_KEYS: usize = 48;

/// Maximum numbers of keys and of clearances in a report of a host's own observations.
///
/// All hosts read the reports of all hosts when they start together. In hundreds of hosts, the store's share
/// for each of them is small.
const MAX_OWN: (usize, usize) = (12, 8);

/// The same for a report of all that is known, which few hosts make.
const MAX_ALL: (usize, usize) = (512, 64);

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
    /// Requests whose answers had not begun to arrive.
    pub requests: Vec<Lost>,
}

/// A request that was lost in a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// Keys of its content, that of the request as a whole first.
    pub keys: Vec<Key>,
    /// When it was sent.
    pub sent_unix_ms: u64,
    /// Whether a host had a complete answer to the same request before.
    pub was_answered: bool,
}

/// A key of a request that a server answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// The key.
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
    /// A request or a part is quarantined for this number of crashes.
    Added {
        /// Its key.
        part: Key,
        /// Number of crashes.
        crashes: usize,
        /// Whether something else may explain the crashes.
        is_ambiguous: bool,
    },
    /// A quarantine ended.
    Lifted {
        /// Key of the request or part.
        part: Key,
    },
}

#[derive(Debug)]
struct Observation {
    at_unix_ms: u64,
    losses: Vec<Loss>,
    is_own: bool,
}

/// A request that was lost in a crash, and whether this host lost it.
#[derive(Debug)]
struct Loss {
    request: Lost,
    is_own: bool,
}

#[derive(Clone, Copy, Debug)]
struct Cleared {
    at_unix_ms: u64,
    is_own: bool,
}

/// Crashes of servers, and what is quarantined for them.
///
/// A request or a part of prompts is quarantined if it explains several crashes that happened one after
/// the other, and no request with it that was sent in between was answered completely. The requests of a
/// crash may also be or hold harmless ones. So what explains most crashes is quarantined first, and others
/// only for the crashes that it doesn't explain.
#[derive(Debug, Default)]
pub struct Table {
    crashes: BTreeMap<Incarnation, Observation>,
    cleared: BTreeMap<Key, Cleared>,
    quarantined: BTreeMap<Key, Suspect>,
    answered: Answered,
}

/// Keys of requests that were answered completely, the most recent ones.
///
/// A crash may become known after the answer that clears a key of it.
#[derive(Debug, Default)]
struct Answered {
    newest: BTreeMap<Key, Cleared>,
    order: VecDeque<Key>,
}

impl Answered {
    fn insert(&mut self, key: Key, answer: Cleared) {
        if let Some(known) = self.newest.get_mut(&key) {
            if answer.at_unix_ms > known.at_unix_ms {
                *known = answer;
            }
            return;
        }
        self.newest.insert(key, answer);
        self.order.push_back(key);
        if self.order.len() > MAX_ANSWERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.newest.remove(&oldest);
        }
    }
}

impl Table {
    /// Records that a server crashed while this host waited for the beginning of its answer to a
    /// request that was sent at a Unix time, in milliseconds.
    pub fn record_crash(
        &mut self,
        unix_ms: u64,
        sent_unix_ms: u64,
        server: Incarnation,
        content: &Content,
    ) -> Vec<Change> {
        let request = Lost {
            keys: content.keys().to_vec(),
            sent_unix_ms,
            was_answered: false,
        };
        let crash = Crash {
            server,
            at_unix_ms: unix_ms,
            requests: vec![request],
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
        content: &Content,
    ) -> (bool, Vec<Change>) {
        // Other hosts may have quarantined the request, so they are told after each crash. Shared parts are
        // answered all the time.
        let crashes = self.crashes.values();
        let mut lost = crashes.filter(|crash| crash.has(content.whole()));
        let mut is_new = lost.any(|crash| {
            crash.at_unix_ms <= sent_unix_ms && !self.is_cleared(content.whole(), crash.at_unix_ms)
        });
        for &part in content.keys() {
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

    /// Returns what this host reports to others. What occurs in most crashes comes first, since it is
    /// nearest to a verdict; the rest is left out where it is too much.
    pub fn report(&self, unix_ms: u64, scope: Scope) -> Report {
        let (mut keys_left, max_clearances) = match scope {
            Scope::Own => MAX_OWN,
            Scope::All => MAX_ALL,
        };
        let is_included = |is_own: bool, at_unix_ms: u64| {
            scope == Scope::All || is_own && unix_ms.saturating_sub(at_unix_ms) < REPORT_MS
        };
        let counts = key_counts(self.crashes.values());
        let count = |key: &Key| counts.get(key).copied().unwrap_or(0);
        let mut losses: Vec<(usize, u64, &Incarnation, &Lost)> = Vec::new();
        for (server, crash) in &self.crashes {
            let included = crash.losses.iter();
            let included = included.filter(|loss| {
                let mut keys = loss.request.keys.iter();
                is_included(loss.is_own, crash.at_unix_ms)
                    && !keys.all(|&key| self.is_cleared(key, crash.at_unix_ms))
            });
            for Loss { request, .. } in included {
                let count = request.keys.iter().map(count).max().unwrap_or(0);
                losses.push((count, crash.at_unix_ms, server, request));
            }
        }
        losses.sort_by_key(|&(count, at_unix_ms, ..)| Reverse((count, at_unix_ms)));
        let mut crashes: BTreeMap<&Incarnation, Crash> = BTreeMap::new();
        for (_, at_unix_ms, server, request) in losses {
            let Some(left) = keys_left.checked_sub(request.keys.len()) else {
                break;
            };
            keys_left = left;
            let crash = crashes.entry(server).or_insert_with(|| Crash {
                server: server.clone(),
                at_unix_ms,
                requests: Vec::new(),
            });
            crash.requests.push(request.clone());
        }
        // One more crash may be enough for a verdict on these.
        let cleared = self.cleared.iter().filter(|(key, cleared)| {
            is_included(cleared.is_own, cleared.at_unix_ms) && count(key) + 1 >= MIN_CRASHES
        });
        let clearance = |(&part, cleared): (&Key, &Cleared)| Clearance {
            part,
            at_unix_ms: cleared.at_unix_ms,
        };
        Report {
            crashes: crashes.into_values().collect(),
            clearances: cleared.map(clearance).take(max_clearances).collect(),
        }
    }

    /// Returns the report of one crash: the requests that this host lost in it.
    pub fn crash_report(&self, server: &Incarnation) -> Report {
        let crash = self.crashes.get(server).map(|crash| Crash {
            server: server.clone(),
            at_unix_ms: crash.at_unix_ms,
            requests: {
                let own = crash.losses.iter().filter(|loss| loss.is_own);
                own.map(|loss| loss.request.clone()).collect()
            },
        });
        Report {
            crashes: crash.into_iter().collect(),
            clearances: Vec::new(),
        }
    }

    /// Returns the report of the keys of a request that are cleared.
    pub fn clearance_report(&self, content: &Content) -> Report {
        let clearances = content.keys().iter().filter_map(|&part| {
            let at_unix_ms = self.cleared.get(&part)?.at_unix_ms;
            Some(Clearance { part, at_unix_ms })
        });
        Report {
            crashes: Vec::new(),
            clearances: clearances.collect(),
        }
    }

    /// Returns the quarantined key of a request and the remaining time of its quarantine, in
    /// milliseconds.
    pub fn find(&self, unix_ms: u64, content: &Content) -> Option<(Key, u64)> {
        if self.quarantined.is_empty() {
            return None;
        }
        content.keys().iter().find_map(|&key| {
            let suspect = self.quarantined.get(&key)?;
            let left_ms = suspect.until_unix_ms().saturating_sub(unix_ms);
            let mut parts = suspect.parts.iter();
            let has_all = parts.all(|part| content.keys().contains(part));
            (left_ms > 0 && has_all).then_some((key, left_ms))
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

    /// Returns the number of quarantined requests and parts.
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
            requests,
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
            losses: Vec::new(),
            is_own,
        });
        crash.at_unix_ms = crash.at_unix_ms.min(at_unix_ms);
        crash.is_own |= is_own;
        let mut answers = Vec::new();
        let answered = &self.answered.newest;
        for mut request in requests {
            let whole = request.keys.first().and_then(|key| answered.get(key));
            request.was_answered |= whole.is_some_and(|it| it.at_unix_ms < crash.at_unix_ms);
            let keys = request.keys.clone();
            // Most reports repeat what is known.
            if crash.add(request, is_own) {
                is_new = true;
                let known = keys.into_iter().take(MAX_KEYS);
                let known = known.filter_map(|key| Some((key, *answered.get(&key)?)));
                answers.extend(known.filter(|(_, answer)| answer.at_unix_ms >= crash.at_unix_ms));
            }
        }
        for (part, Cleared { at_unix_ms, is_own }) in answers {
            is_new |= self.add_clearance(Clearance { part, at_unix_ms }, is_own);
        }
        is_new
    }

    /// Returns whether a key was cleared since a crash.
    fn is_cleared(&self, key: Key, crashed_unix_ms: u64) -> bool {
        let cleared = self.cleared.get(&key);
        cleared.is_some_and(|cleared| cleared.at_unix_ms >= crashed_unix_ms)
    }

    /// Returns whether the clearance may change the quarantines: that of a part which wasn't cleared
    /// yet since it is suspected, or which is quarantined.
    fn add_clearance(&mut self, clearance: Clearance, is_own: bool) -> bool {
        let Clearance { part, at_unix_ms } = clearance;
        self.answered.insert(part, Cleared { at_unix_ms, is_own });
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
        let parts: BTreeSet<Key> = self.crashes.values().flat_map(Observation::keys).collect();
        self.cleared.retain(|part, _| parts.contains(part));
        let mut unexplained: Vec<&Observation> = self.crashes.values().collect();
        unexplained.sort_by_key(|crash| crash.at_unix_ms);
        let mut quarantined = BTreeMap::new();
        loop {
            let suspects = self.prime_suspects(&unexplained);
            if suspects.is_empty() {
                break;
            }
            let is_explained = |crash: &Observation| {
                let mut suspects = suspects.iter();
                suspects.any(|suspect| crash.is_explained_by(suspect))
            };
            unexplained.retain(|crash| !is_explained(crash));
            quarantined.extend(suspects.into_iter().map(|suspect| (suspect.part, suspect)));
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
                is_ambiguous: suspect.is_ambiguous,
            });
        lifted.chain(added).collect()
    }

    /// Returns what explains most of the crashes, if it explains enough of them, and the requests that
    /// explain as many.
    ///
    /// A request that is repeated at once can be lost in several crashes that another one caused. Refusing
    /// both for a while affects only their repetitions.
    fn prime_suspects(&self, crashes: &[&Observation]) -> Vec<Suspect> {
        let counts = key_counts(crashes.iter().copied()).into_iter();
        let frequent = counts.filter(|&(_, count)| count >= MIN_CRASHES);
        let mut suspects: Vec<Suspect> = frequent
            .filter_map(|(part, _)| Suspect::new(part, crashes, &self.cleared))
            .collect();
        let weight = |suspect: &Suspect| {
            let is_cleared = self.cleared.contains_key(&suspect.part);
            (!is_cleared, suspect.crashes)
        };
        // Of parts that always come together, the most specific one is in the fewest requests.
        suspects.sort_by_key(|it| Reverse((weight(it), it.parts.len(), it.part)));
        let mut suspects = suspects.into_iter();
        let Some(first) = suspects.next() else {
            return Vec::new();
        };
        let is_tied = |it: &Suspect| weight(it) == weight(&first);
        let tied = suspects.filter(|it| it.is_whole && it.parts != first.parts && is_tied(it));
        let tied: Vec<Suspect> = tied.collect();
        let is_ambiguous = !tied.is_empty();
        let mut suspects = vec![first];
        suspects.extend(tied);
        for suspect in &mut suspects {
            suspect.is_ambiguous |= is_ambiguous;
        }
        suspects
    }
}

/// Returns the number of crashes in which each key occurs.
fn key_counts<'a>(crashes: impl Iterator<Item = &'a Observation>) -> BTreeMap<Key, usize> {
    let mut counts: BTreeMap<Key, usize> = BTreeMap::new();
    for crash in crashes {
        let keys: BTreeSet<Key> = crash.keys().collect();
        for key in keys {
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

impl Observation {
    fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.losses
            .iter()
            .flat_map(|loss| loss.request.keys.iter().copied())
    }

    fn has(&self, part: Key) -> bool {
        self.with(part).next().is_some()
    }

    /// Returns the lost requests with a key.
    fn with(&self, part: Key) -> impl Iterator<Item = &Lost> {
        self.losses
            .iter()
            .map(|loss| &loss.request)
            .filter(move |request| request.keys.contains(&part))
    }

    /// Adds a lost request. Returns whether it says anything new.
    fn add(&mut self, mut request: Lost, is_own: bool) -> bool {
        request.keys.truncate(MAX_KEYS);
        let mut losses = self.losses.iter_mut();
        if let Some(loss) = losses.find(|loss| loss.request.keys == request.keys) {
            loss.is_own |= is_own;
            let known = &mut loss.request;
            let sent_unix_ms = known.sent_unix_ms.max(request.sent_unix_ms);
            let was_answered = known.was_answered || request.was_answered;
            let is_new = (sent_unix_ms, was_answered) != (known.sent_unix_ms, known.was_answered);
            (known.sent_unix_ms, known.was_answered) = (sent_unix_ms, was_answered);
            return is_new;
        }
        let has_room = self.keys().count() + request.keys.len() <= MAX_CRASH_KEYS;
        if has_room {
            self.losses.push(Loss { request, is_own });
        }
        has_room
    }

    fn is_explained_by(&self, suspect: &Suspect) -> bool {
        let has_all = |request: &Lost| {
            let mut parts = suspect.parts.iter();
            parts.all(|part| request.keys.contains(part))
        };
        self.losses.iter().any(|loss| has_all(&loss.request))
    }
}

/// A request or a part that explains crashes.
#[derive(Debug)]
struct Suspect {
    part: Key,
    /// Whether it is the key of a request as a whole.
    is_whole: bool,
    /// Whether other requests explain the crashes as well, or the request was answered before them. What
    /// crashes servers seldom works at first.
    is_ambiguous: bool,
    /// Keys of all requests with the key at the crashes, except harmless ones.
    parts: BTreeSet<Key>,
    /// Number of crashes.
    crashes: usize,
    /// Times of the crashes in Unix milliseconds, one of those that may have a common cause.
    bursts: Vec<u64>,
}

impl Suspect {
    /// Collects the crashes with a key since it was cleared, which are in order of time. Returns
    /// `None` if they are too few.
    fn new(part: Key, crashes: &[&Observation], cleared: &BTreeMap<Key, Cleared>) -> Option<Self> {
        let cleared_at = cleared.get(&part).map(|cleared| cleared.at_unix_ms);
        let mut count = 0;
        let mut bursts: Vec<u64> = Vec::new();
        let mut burst_start: Option<u64> = None;
        let mut parts: Option<BTreeSet<Key>> = None;
        let mut is_whole = true;
        let mut was_answered = false;
        for crash in crashes.iter().filter(|crash| crash.has(part)) {
            let at = crash.at_unix_ms;
            if cleared_at.is_some_and(|cleared_at| at <= cleared_at) {
                continue;
            }
            count += 1;
            // What was sent after a crash is no victim of the same cause outside of the requests.
            let is_later = |since: u64| {
                let mut requests = crash.with(part);
                requests.any(|it| it.keys.first() == Some(&part) && it.sent_unix_ms >= since)
            };
            if burst_start.is_none_or(|start| at >= start + BURST_MS) {
                burst_start = Some(at);
                bursts.push(at);
            } else if burst_start.is_some_and(is_later) {
                bursts.push(at);
            }
            for request in crash.with(part) {
                is_whole &= request.keys.first() == Some(&part);
                was_answered |= request.was_answered;
                let parts = parts.get_or_insert_with(|| request.keys.iter().copied().collect());
                parts.retain(|part| request.keys.contains(part));
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
            is_whole,
            is_ambiguous: is_whole && was_answered,
            parts,
            crashes: count,
            bursts,
        })
    }

    /// Returns when too few crashes are left.
    fn until_unix_ms(&self) -> u64 {
        let kept = self.bursts[self.bursts.len() - MIN_CRASHES] + RETENTION_MS;
        match self.bursts.last() {
            Some(last) if self.is_ambiguous => {
                let returns = self.bursts.windows(2);
                let returns = returns.filter(|pair| pair[1] >= pair[0] + AMBIGUOUS_MS);
                let returns = u32::try_from(returns.count()).unwrap_or(u32::MAX);
                let pause_ms = AMBIGUOUS_MS.saturating_mul(2_u64.saturating_pow(returns));
                kept.min(last.saturating_add(pause_ms))
            }
            _ => kept,
        }
    }
}
