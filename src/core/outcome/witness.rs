//! The witness's memory: which requests of other homes may have run, and which never will.
//!
//! First writer wins for each request. Whole generations are forgotten, never a single request,
//! and tickets of a forgotten generation are refused for ever: see `docs/outcome-design.md`.

use std::collections::BTreeMap;

use super::{
    Outcome, Rejection, Status, Ticket,
    answers::Digest,
    ticket::{
        self,
        MAX_START_AGE_GENERATIONS, //
        RETENTION_GENERATIONS,
    },
};
use crate::{
    core::{
        call::Request,
        refusal::Refusal, //
    },
    time::Instant,
};

/// Requests that one shard of a witness remembers.
pub const MAX_RECORDS: usize = 4_096;

/// What a witness knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Record {
    /// Never acknowledged, and never will be.
    Sealed,
    /// Acknowledged to its home.
    Prepared { nonce: u64, digest: Digest },
    /// Ended with an answer, which the store of answers may still have.
    Ran,
    /// Ended with a refusal.
    Refused(Refusal),
}

/// The witness's memory of one shard.
pub struct Witness {
    limit: usize,
    min_generation: u64,
    count: usize,
    generations: BTreeMap<u64, BTreeMap<Request, Record>>,
}

impl Witness {
    /// Makes a memory without records, which holds no more than `limit` of them.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            min_generation: 0,
            count: 0,
            generations: BTreeMap::new(),
        }
    }

    /// Acknowledges a request to its home, or says why not.
    ///
    /// # Errors
    ///
    /// Says why the request must not run, or not now.
    pub fn prepare(
        &mut self,
        now: Instant,
        request: &Request,
        ticket: &Ticket,
        nonce: u64,
        digest: Digest,
    ) -> Result<(), Rejection> {
        self.evict_expired(now);
        if ticket.generation < self.min_generation {
            return Err(Rejection::Evicted);
        }
        match self.record(request, ticket) {
            Some(Record::Prepared {
                nonce: first,
                digest: known,
            }) => {
                let same = *first == nonce && *known == digest;
                return same.then_some(()).ok_or(Rejection::Conflict);
            }
            Some(Record::Sealed) => return Err(Rejection::Sealed),
            Some(Record::Ran | Record::Refused(_)) => return Err(Rejection::Conflict),
            None => {}
        }
        if !self.make_room(ticket) {
            return Err(Rejection::Full);
        }
        let oldest_start = ticket::generation(now).saturating_sub(MAX_START_AGE_GENERATIONS);
        if ticket.generation < oldest_start {
            self.insert(request, ticket, Record::Sealed);
            return Err(Rejection::Expired);
        }
        self.insert(request, ticket, Record::Prepared { nonce, digest });
        Ok(())
    }

    /// Seals a request that was not acknowledged, and returns what is known of it then.
    pub fn seal(&mut self, now: Instant, request: &Request, ticket: &Ticket) -> Status {
        let status = self.status(now, request, ticket);
        if status != Status::Unknown {
            return status;
        }
        if !self.make_room(ticket) {
            return Status::Unknown;
        }
        self.insert(request, ticket, Record::Sealed);
        Status::Sealed
    }

    /// Returns what is known of a request. For one that ran the answer is found elsewhere.
    pub fn status(&mut self, now: Instant, request: &Request, ticket: &Ticket) -> Status {
        self.evict_expired(now);
        if ticket.generation < self.min_generation {
            return Status::Evicted;
        }
        match self.record(request, ticket) {
            None => Status::Unknown,
            Some(Record::Sealed) => Status::Sealed,
            Some(Record::Prepared { .. }) => Status::Prepared,
            Some(Record::Ran) => Status::Ended(Box::new(Outcome::AnswerDropped)),
            Some(Record::Refused(refusal)) => {
                Status::Ended(Box::new(Outcome::Refused(refusal.clone())))
            }
        }
    }

    /// Records the home's word that a request ran, or why it was refused.
    pub fn complete(&mut self, request: &Request, ticket: &Ticket, refusal: Option<Refusal>) {
        let Some(records) = self.generations.get_mut(&ticket.generation) else {
            return;
        };
        let Some(record) = records.get_mut(request) else {
            return;
        };
        match (&*record, refusal) {
            (Record::Prepared { .. }, None) => *record = Record::Ran,
            (Record::Prepared { .. }, Some(refusal)) => *record = Record::Refused(refusal),
            // The first word stands: a seal stays a seal, and an end stays an end.
            _ => {}
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn record(&self, request: &Request, ticket: &Ticket) -> Option<&Record> {
        self.generations.get(&ticket.generation)?.get(request)
    }

    fn insert(&mut self, request: &Request, ticket: &Ticket, record: Record) {
        let records = self.generations.entry(ticket.generation).or_default();
        let before = records.insert(request.clone(), record);
        assert!(
            before.is_none(),
            "the witness's first word on a request stands"
        );
        self.count += 1;
        assert!(
            self.count <= self.limit,
            "the witness's memory stays within its limit"
        );
    }

    /// Forgets generations that are too old.
    fn evict_expired(&mut self, now: Instant) {
        let min_generation = ticket::generation(now).saturating_sub(RETENTION_GENERATIONS);
        self.evict_below(min_generation);
    }

    /// Forgets the oldest generations until a record fits, and returns whether one fits.
    fn make_room(&mut self, ticket: &Ticket) -> bool {
        while self.count >= self.limit {
            match self.generations.keys().next() {
                Some(oldest) if *oldest < ticket.generation => self.evict_below(*oldest + 1),
                _ => return false,
            }
        }
        true
    }

    fn evict_below(&mut self, min_generation: u64) {
        if min_generation <= self.min_generation {
            return;
        }
        self.min_generation = min_generation;
        let kept = self.generations.split_off(&min_generation);
        let forgotten = std::mem::replace(&mut self.generations, kept);
        self.count -= forgotten.values().map(BTreeMap::len).sum::<usize>();
    }
}
