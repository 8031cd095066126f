//! What is known of one host, and the rule by which news replace it.

use super::{
    News,
    Said, //
};
use crate::{
    core::{
        host::Host,
        view::{
            Health,
            Member, //
        },
    },
    time::Instant,
};

/// One host.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) host: Host,
    pub(super) refutation: u64,
    pub(super) said: Said,
    pub(super) roster_seen: u64,
    pub(super) generation: u64,
    pub(super) serving_since: Option<Instant>,
    pub(super) heard_at: Instant,
    pub(super) listed: bool,
    pub(super) missing_reads: u32,
    pub(super) missing_since: Instant,
}

/// What a piece of news changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing that others should hear of.
    Nothing,
    /// A host, or a new life of one, is known for the first time.
    Joined,
    /// A host is suspected.
    Suspected,
    /// A host refuted a suspicion.
    Refuted,
    /// A host began to serve.
    Serving,
    /// A host is leaving.
    Leaving,
    /// A host has gone for good.
    Gone,
}

impl Entry {
    /// Returns whether the host list misses the host that it had before.
    pub(super) fn is_missing(&self) -> bool {
        self.missing_reads > 0
    }

    pub(super) fn news(&self, now: Instant) -> News {
        self.news_of(now, self.said)
    }

    pub(super) fn news_of(&self, now: Instant, state: Said) -> News {
        News {
            host: self.host.clone(),
            refutation: self.refutation,
            state,
            roster_seen: self.roster_seen,
            generation: self.generation,
            serving_ms: self.serving_since.map(|since| now.since_ms(since)),
        }
    }

    pub(super) fn member(&self) -> Member {
        let health = match self.said {
            Said::Alive => Health::Alive,
            Said::Suspect => Health::Suspect,
            Said::Leaving | Said::Gone => Health::Leaving,
        };
        Member {
            host: self.host.clone(),
            health,
            roster_epoch: self.roster_seen,
            ticket_generation: self.generation,
            serving_since: self.serving_since,
        }
    }

    /// Raises the numbers that only ever rise within one life. Returns whether one did.
    pub(super) fn raise(&mut self, now: Instant, news: &News) -> bool {
        let before = (self.roster_seen, self.generation, self.serving_since);
        self.roster_seen = self.roster_seen.max(news.roster_seen);
        self.generation = self.generation.max(news.generation);
        let serving_since = news.serving_ms.map(|ms| now.before_ms(ms));
        self.serving_since = self.serving_since.or(serving_since);
        before != (self.roster_seen, self.generation, self.serving_since)
    }

    pub(super) fn merge(&mut self, news: &News, is_rumour: bool) -> Change {
        let before = self.said;
        if before == Said::Leaving {
            return Change::Nothing;
        }
        if news.state == Said::Leaving {
            self.said = Said::Leaving;
            return Change::Leaving;
        }
        if news.refutation > self.refutation {
            self.refutation = news.refutation;
            self.said = news.state;
            return match (before, news.state) {
                (Said::Suspect, Said::Alive) => Change::Refuted,
                (Said::Alive, Said::Suspect) => Change::Suspected,
                // Others may still hold the suspicion that this refutes.
                (Said::Alive, Said::Alive) => Change::Refuted,
                _ => Change::Nothing,
            };
        }
        let is_news = news.refutation == self.refutation && is_rumour;
        if is_news && before == Said::Alive && news.state == Said::Suspect {
            self.said = Said::Suspect;
            return Change::Suspected;
        }
        Change::Nothing
    }
}

pub(super) fn hash(news: &News) -> u64 {
    let id = &news.host.id;
    let mut bytes = id.name.as_bytes().to_vec();
    bytes.extend(id.incarnation.to_le_bytes());
    bytes.extend(news.refutation.to_le_bytes());
    bytes.push(u8::from(news.state == Said::Leaving));
    bytes.push(u8::from(news.serving_ms.is_some()));
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
