//! The home's records of the non-idempotent requests that only this host may run.
//!
//! Records are evicted by whole generations of a witness. A request of an evicted generation never
//! starts, since it may have run before.

use std::collections::BTreeMap;

use super::{
    Ticket,
    answers::Digest, //
};
use crate::{
    core::{
        call::Request,
        host,
        refusal::Refusal, //
    },
    time::Instant,
};

/// Time for which the record of an ended request is retained, in milliseconds.
pub const RETENTION_MS: u64 = 1_200_000;

/// Limit of the records in one shard of a home.
pub const MAX_RECORDS: usize = 4_096;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran. Its answer may still be in the [store](super::answers::Store).
    Ran,
    /// It was refused, and later attempts get the same refusal.
    Refused(Refusal),
}

/// A home's record of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Digest of the request's subject and body.
    pub digest: Digest,
    /// When and how the request ended, `None` while it runs.
    pub end: Option<(Instant, End)>,
}

/// Witness and generation, whose records are evicted together.
type Group = (host::Id, u64);

/// The home's records of one shard.
pub struct Home {
    max_records: usize,
    records: BTreeMap<Request, Record>,
    min_generations: BTreeMap<host::Id, u64>,
}

impl Home {
    /// Creates an empty set of at most `max_records` records.
    pub fn new(max_records: usize) -> Self {
        Self {
            max_records,
            records: BTreeMap::new(),
            min_generations: BTreeMap::new(),
        }
    }

    /// Returns the record of a request.
    pub fn get(&self, request: &Request) -> Option<&Record> {
        self.records.get(request)
    }

    /// Returns whether records of the ticket's generation were evicted, so that no request under it
    /// may start.
    pub fn is_evicted(&self, ticket: &Ticket) -> bool {
        let min_generation = self.min_generations.get(&ticket.witness);
        min_generation.is_some_and(|min_generation| ticket.generation < *min_generation)
    }

    /// Inserts the record of a new request. Returns whether there was room for it.
    pub fn insert(&mut self, request: &Request, record: Record) -> bool {
        assert!(
            !self.records.contains_key(request) && !self.is_evicted(&record.ticket),
            "the request has a record, or its generation was evicted"
        );
        if !self.make_room(&record.ticket) {
            return false;
        }
        self.records.insert(request.clone(), record);
        true
    }

    /// Records how a request ended.
    pub fn complete(&mut self, now: Instant, request: &Request, end: End) {
        let record = self.records.get_mut(request);
        let record = record.expect("the request has no record");
        assert!(record.end.is_none(), "the request has already ended");
        record.end = Some((now, end));
    }

    /// Evicts the generations of which all requests ended more than [`RETENTION_MS`] ago.
    pub fn evict_expired(&mut self, now: Instant) {
        let is_expired = |last_end: &Option<Instant>| {
            last_end.is_some_and(|last_end| now.since_ms(last_end) > RETENTION_MS) //
        };
        let groups = self.groups();
        let mut blocked: Option<&host::Id> = None;
        for ((witness, generation), last_end) in &groups {
            if blocked == Some(witness) {
                continue;
            }
            if !is_expired(last_end) {
                // Generations of a witness are evicted in order.
                blocked = Some(witness);
                continue;
            }
            self.evict_below(witness, generation + 1);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns for each group when its last request ended, or `None` while one still runs.
    fn groups(&self) -> BTreeMap<Group, Option<Instant>> {
        let mut groups: BTreeMap<Group, Option<Instant>> = BTreeMap::new();
        for record in self.records.values() {
            let group = (record.ticket.witness.clone(), record.ticket.generation);
            let ended = record.end.as_ref().map(|(at, _)| *at);
            groups
                .entry(group)
                .and_modify(|last_end| *last_end = (*last_end).zip(ended).map(|(a, b)| a.max(b)))
                .or_insert(ended);
        }
        groups
    }

    /// Returns whether there is room for a record, after evicting at most one older generation of
    /// which all requests have ended.
    fn make_room(&mut self, ticket: &Ticket) -> bool {
        if self.records.len() < self.max_records {
            return true;
        }
        let group = (ticket.witness.clone(), ticket.generation);
        let groups = self.groups();
        let oldest = groups
            .iter()
            .filter(|((witness, generation), last_end)| {
                let is_older = (witness, *generation) < (&group.0, group.1) || *witness != group.0;
                last_end.is_some()
                    && is_older
                    && self.is_oldest_of_witness(&groups, witness, *generation)
            })
            .min_by_key(|(_, last_end)| **last_end)
            .map(|(group, _)| group.clone());
        if let Some((witness, generation)) = oldest {
            self.evict_below(&witness, generation + 1);
        }
        self.records.len() < self.max_records
    }

    fn is_oldest_of_witness(
        &self,
        groups: &BTreeMap<Group, Option<Instant>>,
        witness: &host::Id,
        generation: u64,
    ) -> bool {
        let first = groups.range((witness.clone(), 0)..).next();
        first.is_some_and(|(group, _)| group.1 == generation)
    }

    fn evict_below(&mut self, witness: &host::Id, min_generation: u64) {
        self.min_generations.insert(witness.clone(), min_generation);
        self.records.retain(|_, record| {
            record.ticket.witness != *witness || record.ticket.generation >= min_generation
        });
    }
}
