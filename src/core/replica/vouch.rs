//! What other hosts' answers say about the age of this host's news, and when a new host may serve.
//!
//! An answer is as old as the question, which this host's own clock tells, so no clocks need to
//! agree. The reasoning stands in `docs/configuration-design.md`.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::Replica;
use crate::{
    core::{
        host::Id,
        state::Position,
        view::{
            Health,
            Member, //
        },
    },
    names::Name,
    time::Instant,
};

/// Age of news from which on each data centre is asked for its word, in milliseconds.
pub(super) const PATIENCE_MS: u64 = 1_500;

/// Time in which news reaches all hosts of a data centre that reach each other, in milliseconds.
const SPREAD_MS: u64 = 1_000;

/// Time for which a starting host prefers the log's word to that of others, in milliseconds.
const LOG_PATIENCE_MS: u64 = 1_000;

/// Time for which a starting host asks others whether the log tells them the same, in
/// milliseconds.
const AGREE_MS: u64 = 1_000;

/// Others whose word, that they have no more than the log, is enough for a starting host.
const AGREE_HOSTS: usize = 3;

/// An answer to a question, which counts once this host has reached its position.
#[derive(Clone, Copy)]
struct Word {
    position: Position,
    /// All that was accepted before this is in the position.
    fresh_at: Instant,
    asked_at: Instant,
}

/// What others have answered.
#[derive(Default)]
pub(super) struct Vouch {
    /// The freshest answer, while its position isn't reached yet.
    waiting: Option<Word>,
    /// The newest answer from each data centre.
    by_place: BTreeMap<Name, Word>,
    /// Answers of current hosts since this one started.
    since_start: BTreeMap<Id, Position>,
    /// Hosts that answered that they aren't current themselves.
    starting: BTreeSet<Id>,
}

impl Vouch {
    /// Returns members that haven't answered since the start.
    pub(super) fn unanswered(&self, members: &[Member]) -> Vec<Id> {
        members
            .iter()
            .map(|member| &member.host.id)
            .filter(|id| !self.since_start.contains_key(*id))
            .cloned()
            .collect()
    }

    /// Forgets all answers, since this host starts over.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

impl Replica {
    /// Takes the answer to a question that was sent at `asked_at`.
    pub(super) fn on_word(
        &mut self,
        from: &Id,
        position: Position,
        age_ms: u64,
        current: bool,
        asked_at: Instant,
    ) {
        if !current {
            self.vouch.starting.insert(from.clone());
            return;
        }
        self.vouch.starting.remove(from);
        let word = Word {
            position,
            fresh_at: asked_at.before_ms(age_ms),
            asked_at,
        };
        if !self.current {
            self.vouch.since_start.insert(from.clone(), position);
        }
        let place = self.members.iter().find(|member| member.host.id == *from);
        if let Some(member) = place {
            let place = member.host.data_centre.clone();
            self.vouch.by_place.insert(place, word);
        }
        let fresher = |waiting: &Word| word.fresh_at > waiting.fresh_at;
        if self.vouch.waiting.as_ref().is_none_or(fresher) {
            self.vouch.waiting = Some(word);
        }
    }

    /// Draws from the answers what they say about this host's own news.
    pub(super) fn weigh_words(&mut self, now: Instant) {
        if !self.is_spreading() {
            return;
        }
        if !self.current {
            if self.is_vouched_for(now) {
                self.catch_up(now, "peers");
            }
            return;
        }
        if let Some(word) = self.vouch.waiting
            && self.position >= word.position
        {
            self.vouch.waiting = None;
            self.fresh_at = self.fresh_at.max(word.fresh_at);
        }
        if let Some(fresh_at) = self.vouched_by_places() {
            self.fresh_at = self.fresh_at.max(fresh_at);
        }
        assert!(
            self.fresh_at <= now,
            "invariant: news isn't from the future"
        );
    }

    /// Returns since when no host can have applied what this one lacks, by the word of one host in
    /// each data centre.
    fn vouched_by_places(&self) -> Option<Instant> {
        let mut oldest: Option<Instant> = None;
        for member in &self.members {
            let word = self.vouch.by_place.get(&member.host.data_centre)?;
            if word.position > self.position {
                return None;
            }
            let asked_at = word.asked_at.before_ms(SPREAD_MS);
            oldest = Some(oldest.map_or(asked_at, |oldest| oldest.min(asked_at)));
        }
        oldest
    }

    /// Returns whether others have no more than this host, which read the whole log.
    ///
    /// A log that came back shorter looks whole to a host that just started.
    pub(super) fn do_others_agree(&self, now: Instant) -> bool {
        if !self.is_spreading() {
            return true;
        }
        if self.spread.is_ahead(self.position) {
            return false;
        }
        let answered = self.vouch.since_start.len() + self.vouch.starting.len();
        let waited_ms = self.started_at.map_or(0, |at| now.since_ms(at));
        answered >= AGREE_HOSTS.min(self.members.len()) && !self.members.is_empty()
            || waited_ms >= AGREE_MS
    }

    /// Returns whether enough others answered that this host has all they have.
    ///
    /// All that seem to live and serve must have answered, among them at least half of all members.
    fn is_vouched_for(&self, now: Instant) -> bool {
        let Some(started_at) = self.started_at else {
            return false;
        };
        let log_failed = self.reading.failed_since.is_some() || !self.reading.is_following();
        if !log_failed || now.since_ms(started_at) < LOG_PATIENCE_MS {
            return false;
        }
        let words = &self.vouch.since_start;
        let mut answered = 0;
        for member in &self.members {
            match words.get(&member.host.id) {
                Some(position) if *position > self.position => return false,
                Some(_) => answered += 1,
                None if self.vouch.starting.contains(&member.host.id) => (),
                None if member.health == Health::Suspect => (),
                None => return false,
            }
        }
        answered > 0 && 2 * answered >= self.members.len()
    }
}
