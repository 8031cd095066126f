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
pub const ASKS_PER_TICK: usize = 2;

/// Time after which a question is asked again, in milliseconds.
const ASK_EVERY_MS: u64 = 500;

/// Time for which a question of another host is kept, in milliseconds.
const KEEP_MS: u64 = 2_000;

/// Most questions that are kept for one server.
const INBOX_LIMIT: usize = 64;

/// Every this many questions go to any member, as the holders may have no calls.
const ANY_EVERY: u64 = 4;

/// What the pools of one name say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks what a server carries.
    Ask {
        /// The server.
        server: Name,
        /// Number of the question.
        number: u64,
    },
    /// Vouches for what a server carries, by a call sent after the question.
    Vouch {
        /// The server.
        server: Name,
        /// Its life.
        incarnation: Incarnation,
        /// Concurrent calls that it carries.
        limit: u32,
        /// Number of the question.
        number: u64,
    },
    /// Asks for tokens of an organisation whose requests a second are limited.
    Borrow {
        /// The organisation.
        organisation: Name,
    },
    /// Lends tokens of an organisation, which the sender has given up.
    Lend {
        /// The organisation.
        organisation: Name,
        /// Thousandths of a request.
        tokens: u64,
    },
}

/// This host's question about one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Question {
    number: Option<u64>,
    asked_at: Option<Instant>,
}

impl Question {
    /// Returns whether it is time to ask.
    pub fn is_due(&self, now: Instant) -> bool {
        self.asked_at
            .is_none_or(|at| now.since_ms(at) >= ASK_EVERY_MS)
    }

    /// Notes that the question is asked, and returns its number: a new one after news.
    pub fn ask(&mut self, now: Instant, new: u64) -> u64 {
        self.asked_at = Some(now);
        *self.number.get_or_insert(new)
    }

    /// Returns whether this question still counts.
    pub fn is_open(&self, number: u64) -> bool {
        self.number == Some(number)
    }

    /// Returns when it was last asked: after all news, as long as it's open.
    pub fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }

    /// Drops the question, so that no answer to it counts: it was answered, or news came since.
    pub fn close(&mut self) {
        self.number = None;
    }
}

/// A question of another host.
#[derive(Clone, Debug)]
pub struct Asker {
    /// Who asks.
    pub from: Id,
    /// Number of the question.
    pub number: u64,
    at: Instant,
    heard_at: Instant,
}

/// Questions of other hosts about one server.
#[derive(Clone, Debug, Default)]
pub struct Inbox {
    askers: Vec<Asker>,
}

impl Inbox {
    /// Keeps a question, in place of an earlier one of the same host.
    pub fn put(&mut self, now: Instant, from: Id, number: u64) {
        let known = |asker: &&mut Asker| asker.from == from && asker.number == number;
        if let Some(asker) = self.askers.iter_mut().find(known) {
            asker.heard_at = now;
            return;
        }
        self.askers.retain(|asker| asker.from != from);
        if self.askers.len() < INBOX_LIMIT {
            self.askers.push(Asker {
                from,
                number,
                at: now,
                heard_at: now,
            });
        }
    }

    /// Takes the questions that came before a call was sent, and drops those that are too old.
    pub fn take(&mut self, now: Instant, sent_at: Instant) -> Vec<Asker> {
        if self.askers.is_empty() {
            return Vec::new();
        }
        self.askers
            .retain(|asker| now.since_ms(asker.heard_at) < KEEP_MS);
        // A question of the same millisecond may have come after the call was sent.
        let (ready, kept) = std::mem::take(&mut self.askers)
            .into_iter()
            .partition(|asker| asker.at < sent_at);
        self.askers = kept;
        ready
    }
}

/// Returns whom to ask: mostly a host that holds slots while the server is cold.
pub fn whom(own: &Id, members: &[Id], holders: &[&Id], draw: u64) -> Option<Id> {
    let pick = |count: usize| (draw / ANY_EVERY) as usize % count;
    let to = if draw.is_multiple_of(ANY_EVERY) || holders.is_empty() {
        members.get(pick(members.len().max(1)))?
    } else {
        holders[pick(holders.len())]
    };
    (to != own).then(|| to.clone())
}
