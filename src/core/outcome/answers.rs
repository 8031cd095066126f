//! Storage of answers and stage results, limited in time and bytes.
//!
//! Entries are dropped in the order of [`Class`], and within a class from the oldest. The store
//! keeps hashes of the last requests whose answers were dropped, so that their callers learn that
//! the request ran: see `docs/outcome-design.md`.

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
    Subject,
    Submission, //
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

/// Time for which an answer is stored, in milliseconds.
pub const RETENTION_MS: u64 = 300_000;

/// Memory for the answers that one host stores, its own and backups for others, in bytes.
pub const BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Memory that an entry takes besides its names and bodies, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// Limit of the hashes of dropped answers in one store.
const MAX_DROPPED_HASHES: usize = 8_192;

/// Digest of a request's subject and body, by which reuse of an id is detected.
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
    /// Pieces of a streamed answer.
    pub pieces: Vec<Body>,
    /// Body of an answer that was not streamed.
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

/// What is stored of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The result of the last finished stage.
    Stage {
        /// Index of the stage.
        index: usize,
        /// Result of the stage.
        body: Body,
    },
    /// The whole answer.
    Answer(Answer),
    /// The refusal of a non-idempotent request.
    Refused(Refusal),
}

impl Content {
    /// Returns the size of the content in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Stage { body, .. } => body.len(),
            Self::Answer(answer) => answer.bytes(),
            Self::Refused(refusal) => refusal.detail.len(),
        }
    }

    /// Returns the position in the request's progress. Content replaces content of a lower rank.
    fn rank(&self) -> usize {
        match self {
            Self::Stage { index, .. } => *index,
            Self::Answer(_) | Self::Refused(_) => usize::MAX,
        }
    }
}

/// Order in which entries are dropped when memory is short: the lowest class first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Class {
    /// A stage result, since the stage can run again.
    Stage,
    /// A backup of another host's answer to an idempotent request.
    Backup,
    /// This host's answer to an idempotent request.
    Idempotent,
    /// An answer to a non-idempotent request, which can't run again.
    NonIdempotent,
}

/// One stored answer or stage result.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Class of the entry, which decides how early it is dropped.
    pub class: Class,
    /// Digest of the request's subject and body.
    pub digest: Digest,
    /// The answer, stage result or refusal.
    pub content: Content,
    /// Host that acknowledged a backup of the entry.
    pub backup_host: Option<host::Id>,
    stored_at: Instant,
    bytes: usize,
}

/// The stored answers of one shard.
pub struct Store {
    budget: usize,
    bytes: usize,
    entries: BTreeMap<Request, Entry>,
    drop_order: BTreeSet<(Class, Instant, Request)>,
    /// Hashes of `dropped_hashes`, from the oldest.
    dropped_order: VecDeque<u64>,
    /// Hashes of requests whose answers were dropped.
    dropped_hashes: BTreeSet<u64>,
    dropped_count: u64,
}

impl Store {
    /// Creates an empty store with a budget in bytes.
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            bytes: 0,
            entries: BTreeMap::new(),
            drop_order: BTreeSet::new(),
            dropped_order: VecDeque::new(),
            dropped_hashes: BTreeSet::new(),
            dropped_count: 0,
        }
    }

    /// Stores a part of a request. Returns how many entries were dropped for it, including itself.
    ///
    /// Does nothing if a later part of the request is stored.
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
        let before = self.dropped_count;
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
            stored_at: now,
            bytes,
        };
        self.drop_order.insert((class, now, request.clone()));
        self.entries.insert(request.clone(), entry);
        while self.bytes > self.budget {
            self.drop_first();
        }
        assert!(
            self.bytes <= self.budget,
            "stored answers exceed their budget of bytes"
        );
        self.dropped_count - before
    }

    /// Returns the entry of a request.
    pub fn get(&self, request: &Request) -> Option<&Entry> {
        self.entries.get(request)
    }

    /// Returns whether an answer to the request was dropped and its hash is still known.
    pub fn was_dropped(&self, request: &Request) -> bool {
        self.dropped_hashes.contains(&request_hash(request))
    }

    /// Drops the entries that were stored for longer than [`RETENTION_MS`].
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

    /// Returns the oldest request of a class if it was stored for longer than [`RETENTION_MS`].
    fn next_expired(&self, now: Instant, class: Class) -> Option<Request> {
        let first_key = Request {
            organisation: Name::from(""),
            id: Name::from(""),
        };
        let mut candidates = self.drop_order.range((class, Instant::ZERO, first_key)..);
        let (found, stored_at, request) = candidates.next()?;
        let is_expired = *found == class && now.since_ms(*stored_at) > RETENTION_MS;
        is_expired.then(|| request.clone())
    }

    /// Records which host acknowledged a backup of the request's entry.
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

    /// Returns how many entries were dropped since the start, because of age or memory.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }

    fn drop_first(&mut self) {
        let Some((_, _, request)) = self.drop_order.first().cloned() else {
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
        self.drop_order
            .remove(&(entry.class, entry.stored_at, request.clone()));
        Some(entry)
    }

    fn record_dropped(&mut self, request: &Request, content: &Content) {
        self.dropped_count += 1;
        // A dropped stage result or refusal doesn't mean that the request had an answer.
        if !matches!(content, Content::Answer(_)) {
            return;
        }
        let hash = request_hash(request);
        if !self.dropped_hashes.insert(hash) {
            return;
        }
        self.dropped_order.push_back(hash);
        if self.dropped_order.len() > MAX_DROPPED_HASHES {
            let oldest = self.dropped_order.pop_front();
            oldest.map(|oldest| self.dropped_hashes.remove(&oldest));
        }
    }
}

fn request_hash(request: &Request) -> u64 {
    let text = [request.organisation.as_bytes(), b"/", request.id.as_bytes()];
    xxh3_64(&text.concat())
}
