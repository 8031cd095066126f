//! Requests a second of organisations, over the whole system.
//!
//! Each host on the roster earns its part of an organisation's tokens and may lend them to others.
//! Tokens only move, so all hosts together never allow more: see `docs/routing-design.md`.

use std::collections::BTreeMap;

use crate::{
    names::Name,
    time::Instant, //
};

/// Thousandths of a token that one request takes.
const MILLITOKENS_PER_REQUEST: u64 = 1_000;

/// Time for which a host saves up its part, in milliseconds.
const BURST_MS: u64 = 1_000;

/// Shortest time between two requests for tokens of one organisation, in milliseconds.
const BORROW_INTERVAL_MS: u64 = 100;

/// Number of organisations above which those with full buckets are dropped.
const MAX_BUCKETS: usize = 4_096;

/// An organisation's limit, as this host sees it now.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests a second over all hosts.
    pub per_second: u32,
    /// Number of hosts on the roster.
    pub hosts: u32,
}

impl Limit {
    /// Returns the most that a host saves up, in thousandths of a token.
    fn capacity(self) -> u64 {
        self.earned(BURST_MS).max(MILLITOKENS_PER_REQUEST)
    }

    /// Returns what a host earns in some time, in thousandths of a token.
    fn earned(self, ms: u64) -> u64 {
        ms * u64::from(self.per_second) / u64::from(self.hosts.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    millitokens: u64,
    earned_at: Instant,
    borrowed_at: Option<Instant>,
}

/// The buckets of one host. Organisations without requests have none.
#[derive(Default)]
pub struct Buckets {
    buckets: BTreeMap<Name, Bucket>,
}

impl Buckets {
    /// Takes the token of one request. Returns whether there was one.
    pub fn take(&mut self, now: Instant, organisation: &Name, limit: Limit) -> bool {
        let bucket = self.bucket(now, organisation, limit);
        if bucket.millitokens < MILLITOKENS_PER_REQUEST {
            return false;
        }
        bucket.millitokens -= MILLITOKENS_PER_REQUEST;
        true
    }

    /// Returns whether to borrow from another host now, and notes that it is asked.
    pub fn should_borrow(&mut self, now: Instant, organisation: &Name, limit: Limit) -> bool {
        let bucket = self.bucket(now, organisation, limit);
        let recent = bucket
            .borrowed_at
            .is_some_and(|at| now.since_ms(at) < BORROW_INTERVAL_MS);
        let low = 2 * bucket.millitokens < limit.capacity();
        if low && !recent {
            bucket.borrowed_at = Some(now);
        }
        low && !recent
    }

    /// Gives half of what is saved to another host, in thousandths of a token.
    pub fn lend(&mut self, now: Instant, organisation: &Name, limit: Limit) -> u64 {
        let bucket = self.bucket(now, organisation, limit);
        // A host that borrows itself has nothing to spare.
        if bucket
            .borrowed_at
            .is_some_and(|at| now.since_ms(at) < BURST_MS)
        {
            return 0;
        }
        let lent = bucket.millitokens / 2;
        bucket.millitokens -= lent;
        lent
    }

    /// Takes what another host lent.
    pub fn deposit(&mut self, now: Instant, organisation: &Name, limit: Limit, millitokens: u64) {
        self.bucket(now, organisation, limit).millitokens += millitokens;
    }

    fn bucket(&mut self, now: Instant, organisation: &Name, limit: Limit) -> &mut Bucket {
        if self.buckets.len() > MAX_BUCKETS && !self.buckets.contains_key(organisation) {
            self.buckets
                .retain(|_, bucket| now.since_ms(bucket.earned_at) < BURST_MS);
        }
        let capacity = limit.capacity();
        let bucket = self.buckets.entry(organisation.clone()).or_insert(Bucket {
            millitokens: capacity,
            earned_at: now,
            borrowed_at: None,
        });
        let ms = now.since_ms(bucket.earned_at);
        let earned = limit.earned(ms);
        // Parts of a thousandth aren't lost: the time goes on only with what was earned.
        if earned > 0 {
            bucket.earned_at = now;
            // What was borrowed may stand above the full mark, and nothing is earned then.
            let room = capacity.saturating_sub(bucket.millitokens);
            bucket.millitokens += earned.min(room);
        }
        bucket
    }
}
