//! Kept answers and stage results, within a time and a byte budget.
//!
//! What is dropped first is the order of [`Class`], within a class the oldest. A dropped answer is
//! remembered by its digest for a while, so that its caller is told the truth: see
//! `docs/outcome-design.md`.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Subject, //
    Submission,
};
use crate::{
    core::{
        call::{
            Body,
            Request, //
        },
        host,
        refusal::Refusal, //
    },
    names::Name,
    time::Instant,
};

/// Time for which an answer is kept, in milliseconds.
pub const RETENTION_MS: u64 = 300_000;

/// Bytes of answers that one host keeps, its own and copies for others.
pub const BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Bytes that an entry takes besides its names and bodies.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// Dropped answers that are remembered, in each store.
const MAX_DROPPED_KEYS: usize = 8_192;

/// Digest of what was asked: subject and body.
pub type Digest = [u8; 32];

/// Returns the digest of a request's subject and body.
pub fn digest(submission: &Submission) -> Digest {
    let (kind, name) = match &submission.subject {
        Subject::Pipeline(name) => (b'p', name),
        Subject::Service(name) => (b's', name),
    };
    let mut hash = blake3::Hasher::new();
    hash.update(&[kind]);
    hash.update(&(name.len() as u64).to_le_bytes());
    hash.update(name.as_bytes());
    hash.update(&submission.body);
    *hash.finalize().as_bytes()
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Pieces, where it was streamed.
    pub pieces: Vec<Body>,
    /// The body, where it was not.
    pub body: Body,
}

impl Answer {
    /// Returns the answer in one piece.
    pub fn joined(&self) -> Body {
        if self.pieces.is_empty() {
            return self.body.clone();
        }
        self.pieces.concat().into()
    }

    fn bytes(&self) -> usize {
        let per_piece = size_of::<Body>() + 2 * size_of::<usize>();
        let pieces: usize = self.pieces.iter().map(|piece| piece.len()).sum();
        pieces + self.pieces.len() * per_piece + self.body.len()
    }
}

/// What is kept of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The result of the newest finished stage.
    Stage {
        /// Index of the stage.
        index: usize,
        /// Its result.
        body: Body,
    },
    /// The whole answer.
    Whole(Answer),
    /// The word with which a non-idempotent request was refused.
    Refused(Refusal),
}

impl Content {
    /// Returns the bytes that it takes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Stage { body, .. } => body.len(),
            Self::Whole(answer) => answer.bytes(),
            Self::Refused(refusal) => refusal.detail.len(),
        }
    }

    /// Returns a rank by which a later part replaces an earlier one.
    fn rank(&self) -> usize {
        match self {
            Self::Stage { index, .. } => *index,
            Self::Whole(_) | Self::Refused(_) => usize::MAX,
        }
    }
}

/// What an entry is worth when memory is short: the least is dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// A stage result: the stage can run again.
    Stage,
    /// A copy of another host's idempotent answer.
    Backup,
    /// An idempotent answer of this host.
    Idempotent,
    /// An answer to a non-idempotent request, which can't be had again.
    NonIdempotent,
}

/// One kept answer or stage result.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it is worth.
    pub class: Class,
    /// Digest of what was asked.
    pub digest: Digest,
    /// What is kept.
    pub content: Content,
    /// The host that acknowledged a copy.
    pub backup_host: Option<host::Id>,
    at: Instant,
    bytes: usize,
}

/// The kept answers of one shard.
pub struct Store {
    budget: usize,
    bytes: usize,
    entries: BTreeMap<Request, Entry>,
    order: BTreeSet<(Class, Instant, Request)>,
    dropped: VecDeque<u64>,
    dropped_set: BTreeSet<u64>,
    dropped_total: u64,
}

impl Store {
    /// Makes an empty store with a byte budget.
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            bytes: 0,
            entries: BTreeMap::new(),
            order: BTreeSet::new(),
            dropped: VecDeque::new(),
            dropped_set: BTreeSet::new(),
            dropped_total: 0,
        }
    }

    /// Keeps a part of a request and returns how many entries were dropped for it, itself included.
    pub fn put(
        &mut self,
        now: Instant,
        request: &Request,
        class: Class,
        digest: Digest,
        content: Content,
    ) -> u64 {
        let old = self.entries.get(request);
        if old.is_some_and(|old| old.content.rank() > content.rank()) {
            return 0;
        }
        self.remove(request);
        let names = 2 * (request.id.len() + request.organisation.len());
        let bytes = ENTRY_OVERHEAD_BYTES + names + content.bytes();
        let before = self.dropped_total;
        if bytes > self.budget {
            self.record_dropped(request, &content);
            return 1;
        }
        self.bytes += bytes;
        let entry = Entry {
            class,
            digest,
            content,
            backup_host: None,
            at: now,
            bytes,
        };
        self.order.insert((class, now, request.clone()));
        self.entries.insert(request.clone(), entry);
        while self.bytes > self.budget {
            self.drop_least_valuable();
        }
        assert!(
            self.bytes <= self.budget,
            "kept answers stay within their byte budget"
        );
        self.dropped_total - before
    }

    /// Returns what is kept of a request.
    pub fn get(&self, request: &Request) -> Option<&Entry> {
        self.entries.get(request)
    }

    /// Returns whether an answer to a request was kept here once and dropped, as far as that is
    /// remembered.
    pub fn was_dropped(&self, request: &Request) -> bool {
        self.dropped_set.contains(&key(request))
    }

    /// Drops what was kept for its whole time.
    pub fn expire(&mut self, now: Instant) {
        for class in [
            Class::Stage,
            Class::Backup,
            Class::Idempotent,
            Class::NonIdempotent,
        ] {
            while let Some(request) = self.next_expired(now, class) {
                self.drop_entry(&request);
            }
        }
    }

    /// Returns the oldest request of a class, where it was kept for its whole time.
    fn next_expired(&self, now: Instant, class: Class) -> Option<Request> {
        let first_key = Request {
            organisation: Name::from(""),
            id: Name::from(""),
        };
        let mut order = self.order.range((class, Instant::ZERO, first_key)..);
        let (found, at, request) = order.next()?;
        let is_old = *found == class && now.since_ms(*at) > RETENTION_MS;
        is_old.then(|| request.clone())
    }

    /// Notes which host acknowledged a copy of what is kept.
    pub fn set_backup_host(&mut self, request: &Request, backup_host: &host::Id) {
        if let Some(entry) = self.entries.get_mut(request) {
            entry.backup_host = Some(backup_host.clone());
        }
    }

    /// Returns all entries, sorted by request.
    pub fn iter(&self) -> impl Iterator<Item = (&Request, &Entry)> {
        self.entries.iter()
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the byte budget.
    pub fn budget(&self) -> usize {
        self.budget
    }

    /// Returns how many entries were dropped since the start, for age or for memory.
    pub fn dropped(&self) -> u64 {
        self.dropped_total
    }

    fn drop_least_valuable(&mut self) {
        let Some((_, _, request)) = self.order.first().cloned() else {
            return;
        };
        self.drop_entry(&request);
    }

    fn drop_entry(&mut self, request: &Request) {
        if let Some(entry) = self.remove(request) {
            self.record_dropped(request, &entry.content);
        }
    }

    fn remove(&mut self, request: &Request) -> Option<Entry> {
        let entry = self.entries.remove(request)?;
        self.bytes -= entry.bytes;
        self.order.remove(&(entry.class, entry.at, request.clone()));
        Some(entry)
    }

    fn record_dropped(&mut self, request: &Request, content: &Content) {
        self.dropped_total += 1;
        // Only a dropped answer means that the request had one.
        if !matches!(content, Content::Whole(_)) {
            return;
        }
        let key = key(request);
        if !self.dropped_set.insert(key) {
            return;
        }
        self.dropped.push_back(key);
        if self.dropped.len() > MAX_DROPPED_KEYS {
            let oldest = self.dropped.pop_front();
            oldest.map(|oldest| self.dropped_set.remove(&oldest));
        }
    }
}

fn key(request: &Request) -> u64 {
    let text = [request.organisation.as_bytes(), b"/", request.id.as_bytes()];
    xxh3_64(&text.concat())
}
