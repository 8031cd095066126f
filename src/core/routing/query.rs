//! Capacity queries, by which a host without a slot of a cold server learns that the server has
//! warmed up.
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
    last_sent_at: Option<Instant>,
}

impl Query {
    /// Returns whether it is time to send the query.
    pub fn is_due(&self, now: Instant) -> bool {
        self.last_sent_at
            .is_none_or(|at| now.since_ms(at) >= QUERY_INTERVAL_MS)
    }

    /// Records that the query is sent, and returns its ID.
    ///
    /// A repeated query keeps its ID. After [`Self::close`] it gets the new one.
    pub fn send(&mut self, now: Instant, next_id: u64) -> u64 {
        self.last_sent_at = Some(now);
        *self.id.get_or_insert(next_id)
    }

    /// Returns whether an answer to this query is still accepted.
    pub fn is_open(&self, id: u64) -> bool {
        self.id == Some(id)
    }

    /// Returns when the query was last sent. While it is open, no newer evidence has arrived since.
    pub fn last_sent_at(&self) -> Option<Instant> {
        self.last_sent_at
    }

    /// Closes the query, so that answers to it are ignored, because it was answered or newer
    /// evidence has arrived.
    pub fn close(&mut self) {
        self.id = None;
    }
}

/// A query received from another host.
#[derive(Clone, Debug)]
pub struct Request {
    /// The sender.
    pub from: Id,
    /// ID of the query.
    pub id: u64,
    received_at: Instant,
    repeated_at: Instant,
}

/// Queries of other hosts about one server.
#[derive(Clone, Debug, Default)]
pub struct Inbox {
    requests: Vec<Request>,
}

impl Inbox {
    /// Adds a query, which replaces an earlier one of the same host.
    pub fn put(&mut self, now: Instant, from: Id, id: u64) {
        let is_repeated = |request: &&mut Request| request.from == from && request.id == id;
        if let Some(request) = self.requests.iter_mut().find(is_repeated) {
            request.repeated_at = now;
            return;
        }
        self.requests.retain(|request| request.from != from);
        if self.requests.len() < MAX_INBOX_QUERIES {
            self.requests.push(Request {
                from,
                id,
                received_at: now,
                repeated_at: now,
            });
        }
    }

    /// Removes and returns the queries received before a call was sent, and drops expired ones.
    pub fn take(&mut self, now: Instant, sent_at: Instant) -> Vec<Request> {
        if self.requests.is_empty() {
            return Vec::new();
        }
        self.requests
            .retain(|request| now.since_ms(request.repeated_at) < QUERY_RETENTION_MS);
        // A query received in the same millisecond may have arrived after the call was sent.
        let (ready, kept) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| request.received_at < sent_at);
        self.requests = kept;
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
