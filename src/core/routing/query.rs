//! Capacity queries, by which hosts learn that a server has warmed up of which they hold no slot.
//!
//! A report counts only if it is based on a call sent after the query. So a late message about an
//! earlier incarnation never raises a limit: see `docs/capacity-shares.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        call::Incarnation,
        host::Id, //
    },
    names::Name,
    time::Instant,
};

/// Maximum number of queries that a pool sends in one tick.
pub const MAX_QUERIES_PER_TICK: usize = 2;

/// Time after which a query is repeated, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 500;

/// Time for which another host's query is kept, in milliseconds.
const QUERY_RETENTION_MS: u64 = 2_000;

/// Maximum number of queries that are kept for one server.
const MAX_INBOX_QUERIES: usize = 64;

/// One in this many queries goes to a random member, since the slot holders may have no calls.
const ANY_MEMBER_INTERVAL: u64 = 4;

/// A message between the pools of the same name on different hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the limit of a server.
    CapacityQuery {
        /// The server.
        server: Name,
        /// ID of the query.
        query_id: u64,
    },
    /// Reports the limit of a server, confirmed by a call sent after the query arrived.
    CapacityReport {
        /// The server.
        server: Name,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Concurrent calls that it can serve.
        limit: u32,
        /// ID of the query.
        query_id: u64,
    },
    /// Asks for tokens of an organisation whose requests per second are limited.
    TokenRequest {
        /// The organisation.
        organisation: Name,
    },
    /// Grants tokens of an organisation, which the sender has removed from its own bucket.
    TokenGrant {
        /// The organisation.
        organisation: Name,
        /// Number of tokens, in thousandths.
        millitokens: u64,
    },
}

/// This host's query about one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query {
    id: Option<u64>,
    asked_at: Option<Instant>,
}

impl Query {
    /// Returns whether it is time to send the query.
    pub fn is_due(&self, now: Instant) -> bool {
        self.asked_at
            .is_none_or(|at| now.since_ms(at) >= QUERY_INTERVAL_MS)
    }

    /// Records that the query is sent, and returns its ID.
    ///
    /// A repeated query keeps its ID. After [`Self::close`] it gets the new one.
    pub fn send(&mut self, now: Instant, next_id: u64) -> u64 {
        self.asked_at = Some(now);
        *self.id.get_or_insert(next_id)
    }

    /// Returns whether an answer to this query is still accepted.
    pub fn is_open(&self, id: u64) -> bool {
        self.id == Some(id)
    }

    /// Returns when the query was last sent. While it is open, no newer evidence has arrived since.
    pub fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Closes the query, so that answers to it are ignored, because it was answered or newer
    /// evidence has arrived.
    pub fn close(&mut self) {
        self.id = None;
    }
}

/// A query received from another host.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// The sender.
    pub from: Id,
    /// ID of the query.
    pub id: u64,
    at: Instant,
    repeated_at: Instant,
}

/// Queries of other hosts about one server.
#[derive(Clone, Debug, Default)]
pub struct Inbox {
    queries: Vec<Incoming>,
}

impl Inbox {
    /// Adds a query, which replaces an earlier one of the same host.
    pub fn put(&mut self, now: Instant, from: Id, id: u64) {
        let known = |incoming: &&mut Incoming| incoming.from == from && incoming.id == id;
        if let Some(incoming) = self.queries.iter_mut().find(known) {
            incoming.repeated_at = now;
            return;
        }
        self.queries.retain(|incoming| incoming.from != from);
        if self.queries.len() < MAX_INBOX_QUERIES {
            self.queries.push(Incoming {
                from,
                id,
                at: now,
                repeated_at: now,
            });
        }
    }

    /// Removes and returns the queries received before a call was sent, and drops expired ones.
    pub fn take(&mut self, now: Instant, sent_at: Instant) -> Vec<Incoming> {
        if self.queries.is_empty() {
            return Vec::new();
        }
        self.queries
            .retain(|incoming| now.since_ms(incoming.repeated_at) < QUERY_RETENTION_MS);
        // A query received in the same millisecond may have arrived after the call was sent.
        let (ready, kept) = std::mem::take(&mut self.queries)
            .into_iter()
            .partition(|incoming| incoming.at < sent_at);
        self.queries = kept;
        ready
    }
}

/// Returns the host to query: mostly one that holds slots while the server is cold.
pub fn target(own: &Id, members: &[Id], holders: &[&Id], draw: u64) -> Option<Id> {
    let pick = |count: usize| (draw / ANY_MEMBER_INTERVAL) as usize % count;
    let to = if draw.is_multiple_of(ANY_MEMBER_INTERVAL) || holders.is_empty() {
        members.get(pick(members.len().max(1)))?
    } else {
        holders[pick(holders.len())]
    };
    (to != own).then(|| to.clone())
}
