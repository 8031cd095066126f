//! The witness's records of requests of other homes: which may have run, and which never will.
//!
//! The first of `prepare` and `seal` decides for each request. Records are evicted by whole
//! generations, never one by one, and tickets of an evicted generation are refused from then on:
//! see `docs/outcome-design.md`.

use std::collections::BTreeMap;

use super::{
    Outcome, Rejection, Status, Ticket,
    answers::Digest,
    ticket::{
        self,
        MAX_START_AGE_GENERATIONS,
        RETENTION_GENERATIONS, //
    },
};
use crate::{
    core::{
        call::Request,
        refusal::Refusal, //
    },
    time::Instant,
};

/// Limit of the records in one shard of a witness.
pub const MAX_RECORDS: usize = 4_096;

/// A witness's record of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Record {
    /// The request will never be acknowledged.
    Sealed,
    /// The request was acknowledged to its home.
    Prepared { nonce: u64, digest: Digest },
    /// The request ended with an answer, which may still be in the [store](super::answers::Store).
    Ran,
    /// The request ended with a refusal.
    Refused(Refusal),
}

/// The witness's records of one shard.
pub struct Witness {
    max_records: usize,
    min_generation: u64,
    count: usize,
    generations: BTreeMap<u64, BTreeMap<Request, Record>>,
}

impl Witness {
    /// Creates an empty set of at most `max_records` records.
    pub fn new(max_records: usize) -> Self {
        Self {
            max_records,
            min_generation: 0,
            count: 0,
            generations: BTreeMap::new(),
        }
    }

    /// Acknowledges a request to its home. A repeated call with the same nonce and digest succeeds
    /// again.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run.
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
        let min_start_generation =
            ticket::generation(now).saturating_sub(MAX_START_AGE_GENERATIONS);
        if ticket.generation < min_start_generation {
            self.insert(request, ticket, Record::Sealed);
            return Err(Rejection::Expired);
        }
        self.insert(request, ticket, Record::Prepared { nonce, digest });
        Ok(())
    }

    /// Seals a request unless a record of it exists, and returns its status.
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

    /// Returns the status of a request. The answer of a request that ran isn't included.
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

    /// Records that an acknowledged request ran, or that its home refused it.
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
            // A seal and a recorded end are final.
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
        assert!(before.is_none(), "the request already has a record");
        self.count += 1;
        assert!(
            self.count <= self.max_records,
            "the records exceed their limit"
        );
    }

    /// Evicts the generations that are older than [`RETENTION_GENERATIONS`].
    fn evict_expired(&mut self, now: Instant) {
        let min_generation = ticket::generation(now).saturating_sub(RETENTION_GENERATIONS);
        self.evict_below(min_generation);
    }

    /// Evicts generations older than the ticket's until there is room for a record. Returns whether
    /// there is.
    fn make_room(&mut self, ticket: &Ticket) -> bool {
        while self.count >= self.max_records {
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
        let retained = self.generations.split_off(&min_generation);
        let evicted = std::mem::replace(&mut self.generations, retained);
        self.count -= evicted.values().map(BTreeMap::len).sum::<usize>();
    }
}
