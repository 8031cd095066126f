//! Limits of organisations' requests per second over the whole cluster, by token buckets.
//!
//! Each host on the roster earns an equal part of an organisation's tokens and may lend them to
//! other hosts. Lending moves tokens and creates none, so the hosts together never allow more than
//! the limit: see `docs/routing-design.md`.

use std::collections::BTreeMap;

use crate::{
    names::Name,
    time::Instant, //
};

/// Cost of one request: one token, in thousandths.
const MILLITOKENS_PER_REQUEST: u64 = 1_000;

/// Time in which an empty bucket fills up, in milliseconds: the burst that it allows.
const BURST_MS: u64 = 1_000;

/// Minimum time between two token requests for one organisation, in milliseconds.
const BORROW_INTERVAL_MS: u64 = 100;

/// Number of buckets above which the full ones are removed.
const MAX_BUCKETS: usize = 4_096;

/// Request limit of an organisation, as currently known to this host.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests per second over all hosts.
    pub per_second: u32,
    /// Number of hosts on the roster.
    pub hosts: u32,
}

impl Limit {
    /// Returns the capacity of a host's bucket, in thousandths of a token.
    fn capacity(self) -> u64 {
        self.earned(BURST_MS).max(MILLITOKENS_PER_REQUEST)
    }

    /// Returns the tokens that a host earns in a period, in thousandths.
    fn earned(self, ms: u64) -> u64 {
        ms * u64::from(self.per_second) / u64::from(self.hosts.max(1))
    }
}

/// Token bucket of one organisation.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    millitokens: u64,
    earned_at: Instant,
    borrowed_at: Option<Instant>,
}

/// Token buckets of one host by organisation. Organisations without requests have none.
#[derive(Default)]
pub struct Buckets {
    buckets: BTreeMap<Name, Bucket>,
}

impl Buckets {
    /// Takes the token of one request, and returns whether there was one.
    pub fn take(&mut self, now: Instant, organisation: &Name, limit: Limit) -> bool {
        let bucket = self.bucket(now, organisation, limit);
        if bucket.millitokens < MILLITOKENS_PER_REQUEST {
            return false;
        }
        bucket.millitokens -= MILLITOKENS_PER_REQUEST;
        true
    }

    /// Returns whether to borrow from another host now, and if so records the time.
    pub fn should_borrow(&mut self, now: Instant, organisation: &Name, limit: Limit) -> bool {
        let bucket = self.bucket(now, organisation, limit);
        let is_recent = bucket
            .borrowed_at
            .is_some_and(|at| now.since_ms(at) < BORROW_INTERVAL_MS);
        let is_low = 2 * bucket.millitokens < limit.capacity();
        if is_low && !is_recent {
            bucket.borrowed_at = Some(now);
        }
        is_low && !is_recent
    }

    /// Removes half of the tokens in order to lend them to another host, and returns their number
    /// in thousandths.
    pub fn lend(&mut self, now: Instant, organisation: &Name, limit: Limit) -> u64 {
        let bucket = self.bucket(now, organisation, limit);
        // A host that has borrowed within the burst time is short of tokens itself.
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

    /// Adds the tokens that another host lent.
    pub fn deposit(&mut self, now: Instant, organisation: &Name, limit: Limit, millitokens: u64) {
        self.bucket(now, organisation, limit).millitokens += millitokens;
    }

    /// Returns the bucket of an organisation, with the tokens that it has earned until now added.
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
        // The time advances only if something was earned, so that fractions of a thousandth aren't
        // lost.
        if earned > 0 {
            bucket.earned_at = now;
            // Borrowed tokens may exceed the capacity, in which case nothing is earned.
            let room = capacity.saturating_sub(bucket.millitokens);
            bucket.millitokens += earned.min(room);
        }
        bucket
    }
}
