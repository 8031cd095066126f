//! The home's memory: what became of the non-idempotent requests that this host alone may run.
//!
//! It forgets whole generations of a witness, and never runs a request of a forgotten one.

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

/// Time for which an ended request is remembered, in milliseconds.
pub const RETENTION_MS: u64 = 1_200_000;

/// Requests that one shard of a home remembers.
pub const MAX_RECORDS: usize = 4_096;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran. The store of answers may still have the answer.
    Ran,
    /// It was refused, with this word.
    Refused(Refusal),
}

/// What a home knows of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The ticket under which it came.
    pub ticket: Ticket,
    /// Digest of what was asked.
    pub digest: Digest,
    /// When and how it ended, nothing while it runs.
    pub end: Option<(Instant, End)>,
}

/// Requests of one witness and generation, which are forgotten together.
type Group = (host::Id, u64);

/// The home's memory of one shard.
pub struct Home {
    limit: usize,
    records: BTreeMap<Request, Record>,
    min_generations: BTreeMap<host::Id, u64>,
}

impl Home {
    /// Makes a memory without records, which holds no more than `limit` of them.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            records: BTreeMap::new(),
            min_generations: BTreeMap::new(),
        }
    }

    /// Returns what is known of a request.
    pub fn get(&self, request: &Request) -> Option<&Record> {
        self.records.get(request)
    }

    /// Returns whether requests under this ticket may have been forgotten, so that none may start.
    pub fn is_evicted(&self, ticket: &Ticket) -> bool {
        let min_generation = self.min_generations.get(&ticket.witness);
        min_generation.is_some_and(|min_generation| ticket.generation < *min_generation)
    }

    /// Records a new request, ended or about to run. Returns whether there was room for it.
    pub fn insert(&mut self, request: &Request, record: Record) -> bool {
        assert!(
            !self.records.contains_key(request) && !self.is_evicted(&record.ticket),
            "a home admits a request once"
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
        let record = record.expect("a request that ends was admitted");
        assert!(record.end.is_none(), "a request ends once");
        record.end = Some((now, end));
    }

    /// Forgets the generations of which all requests ended long ago.
    pub fn evict_expired(&mut self, now: Instant) {
        let old = |newest: &Option<Instant>| {
            newest.is_some_and(|newest| now.since_ms(newest) > RETENTION_MS) //
        };
        let groups = self.groups();
        let mut blocked: Option<&host::Id> = None;
        for ((witness, generation), newest) in &groups {
            if blocked == Some(witness) {
                continue;
            }
            if !old(newest) {
                // Generations are forgotten in their order.
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

    /// Returns, for each group, when its last request ended, nothing where one runs still.
    fn groups(&self) -> BTreeMap<Group, Option<Instant>> {
        let mut groups: BTreeMap<Group, Option<Instant>> = BTreeMap::new();
        for record in self.records.values() {
            let group = (record.ticket.witness.clone(), record.ticket.generation);
            let ended = record.end.as_ref().map(|(at, _)| *at);
            groups
                .entry(group)
                .and_modify(|newest| *newest = (*newest).zip(ended).map(|(a, b)| a.max(b)))
                .or_insert(ended);
        }
        groups
    }

    fn make_room(&mut self, ticket: &Ticket) -> bool {
        if self.records.len() < self.limit {
            return true;
        }
        let own = (ticket.witness.clone(), ticket.generation);
        let groups = self.groups();
        let oldest = groups
            .iter()
            .filter(|((witness, generation), newest)| {
                let before = (witness, *generation) < (&own.0, own.1) || *witness != own.0;
                newest.is_some() && before && self.is_oldest(&groups, witness, *generation)
            })
            .min_by_key(|(_, newest)| **newest)
            .map(|(group, _)| group.clone());
        if let Some((witness, generation)) = oldest {
            self.evict_below(&witness, generation + 1);
        }
        self.records.len() < self.limit
    }

    fn is_oldest(
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
