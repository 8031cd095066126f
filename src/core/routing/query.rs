//! How hosts without a slot of a cold server learn that it has warmed up.
//!
//! They ask, and only an answer counts that rests on a call sent after the question. So a late
//! word of an earlier life never raises a limit: see `docs/capacity-shares.md`.

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

/// Most questions of one pool in one tick.
pub const MAX_QUERIES_PER_TICK: usize = 2;

/// Time after which a question is asked again, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 500;

/// Time for which a question of another host is kept, in milliseconds.
const QUERY_RETENTION_MS: u64 = 2_000;

/// Most questions that are kept for one server.
const MAX_INBOX_QUERIES: usize = 64;

/// Every this many questions go to any member, as the holders may have no calls.
const ANY_MEMBER_INTERVAL: u64 = 4;

/// What the pools of one name say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks what a server carries.
    CapacityQuery {
        /// The server.
        server: Name,
        /// Number of the question.
        query_id: u64,
    },
    /// Vouches for what a server carries, by a call sent after the question.
    CapacityReport {
        /// The server.
        server: Name,
        /// Its life.
        incarnation: Incarnation,
        /// Concurrent calls that it carries.
        limit: u32,
        /// Number of the question.
        query_id: u64,
    },
    /// Asks for tokens of an organisation whose requests a second are limited.
    TokenRequest {
        /// The organisation.
        organisation: Name,
    },
    /// Lends tokens of an organisation, which the sender has given up.
    TokenGrant {
        /// The organisation.
        organisation: Name,
        /// Thousandths of a request.
        millitokens: u64,
    },
}

/// This host's question about one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query {
    id: Option<u64>,
    asked_at: Option<Instant>,
}

impl Query {
    /// Returns whether it is time to ask.
    pub fn is_due(&self, now: Instant) -> bool {
        self.asked_at
            .is_none_or(|at| now.since_ms(at) >= QUERY_INTERVAL_MS)
    }

    /// Notes that the question is asked, and returns its number: a new one after news.
    pub fn send(&mut self, now: Instant, next_id: u64) -> u64 {
        self.asked_at = Some(now);
        *self.id.get_or_insert(next_id)
    }

    /// Returns whether this question still counts.
    pub fn is_open(&self, id: u64) -> bool {
        self.id == Some(id)
    }

    /// Returns when it was last asked: after all news, as long as it's open.
    pub fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Drops the question, so that no answer to it counts: it was answered, or news came since.
    pub fn close(&mut self) {
        self.id = None;
    }
}

/// A question of another host.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Who asks.
    pub from: Id,
    /// Number of the question.
    pub id: u64,
    at: Instant,
    repeated_at: Instant,
}

/// Questions of other hosts about one server.
#[derive(Clone, Debug, Default)]
pub struct Inbox {
    queries: Vec<Incoming>,
}

impl Inbox {
    /// Keeps a question, in place of an earlier one of the same host.
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

    /// Takes the questions that came before a call was sent, and drops those that are too old.
    pub fn take(&mut self, now: Instant, sent_at: Instant) -> Vec<Incoming> {
        if self.queries.is_empty() {
            return Vec::new();
        }
        self.queries
            .retain(|incoming| now.since_ms(incoming.repeated_at) < QUERY_RETENTION_MS);
        // A question of the same millisecond may have come after the call was sent.
        let (ready, kept) = std::mem::take(&mut self.queries)
            .into_iter()
            .partition(|incoming| incoming.at < sent_at);
        self.queries = kept;
        ready
    }
}

/// Returns whom to ask: mostly a host that holds slots while the server is cold.
pub fn target(own: &Id, members: &[Id], holders: &[&Id], draw: u64) -> Option<Id> {
    let pick = |count: usize| (draw / ANY_MEMBER_INTERVAL) as usize % count;
    let to = if draw.is_multiple_of(ANY_MEMBER_INTERVAL) || holders.is_empty() {
        members.get(pick(members.len().max(1)))?
    } else {
        holders[pick(holders.len())]
    };
    (to != own).then(|| to.clone())
}
