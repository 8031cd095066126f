//! What this host believes that one backend server can carry.
//!
//! The belief rises only with this host's own replies and never above what the time since the
//! first of them allows. It falls at the first evidence: see `docs/capacity-shares.md`.

use crate::{
    core::call::Incarnation,
    time::Instant, //
};

/// Number of earlier lives that are remembered, so that their late words are known as such.
const MAX_PAST_INCARNATIONS: usize = 8;

/// Factor by which one step raises the limit at most.
const MAX_RAISE_FACTOR: u32 = 2;

/// What the configuration says of a pool's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Concurrent calls after a cold start.
    pub cold: u32,
    /// Concurrent calls of a warm server.
    pub full: u32,
    /// Time from the cold to the full limit, in milliseconds.
    pub warm_up_ms: u64,
}

/// Whether a word of a server showed that it turned cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing new.
    None,
    /// The word is of a life that is over.
    Stale,
    /// The server has a new life.
    NewIncarnation(Incarnation),
}

/// This host's belief about one server.
#[derive(Clone, Debug)]
pub struct Limit {
    incarnation: Option<Incarnation>,
    past_incarnations: Vec<Incarnation>,
    /// When this host took the life to be the newest one.
    adopted_at: Instant,
    slots: u32,
    first_reply: Option<Instant>,
    raised_at: Instant,
    suspect: bool,
}

impl Limit {
    /// Makes the belief about a server of which nothing is known: it is cold.
    pub fn new() -> Self {
        Self {
            incarnation: None,
            past_incarnations: Vec::new(),
            adopted_at: Instant::ZERO,
            slots: 0,
            first_reply: None,
            raised_at: Instant::ZERO,
            suspect: false,
        }
    }

    /// Returns the concurrent calls that the server carries surely.
    pub fn slots(&self, bounds: &Bounds) -> u32 {
        if self.suspect {
            return bounds.cold.min(bounds.full);
        }
        self.slots.max(bounds.cold).min(bounds.full)
    }

    /// Returns whether the server carries its full limit.
    pub fn is_full(&self, bounds: &Bounds) -> bool {
        self.slots(bounds) == bounds.full
    }

    /// Returns whether the server may have restarted since its last word.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns the life of the server as far as known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Takes the life that a reply, report, notice or vouching told.
    ///
    /// `asked_at` is when the call or question was sent that the word answers, nothing where it
    /// answers none. The words of two lives may overtake each other, so that the older one counts
    /// as the newest: only an answer to what was sent after that shows which life goes on.
    pub fn observe_incarnation(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        asked_at: Option<Instant>,
    ) -> Evidence {
        if self.incarnation == Some(incarnation) {
            return Evidence::None;
        }
        if self.past_incarnations.contains(&incarnation) {
            if asked_at.is_none_or(|at| at <= self.adopted_at) {
                return Evidence::Stale;
            }
            self.past_incarnations.retain(|past| *past != incarnation);
        }
        self.adopted_at = now;
        let known = self.incarnation.replace(incarnation);
        if let Some(known) = known {
            if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
                self.past_incarnations.remove(0);
            }
            self.past_incarnations.push(known);
        }
        self.reset_to_cold();
        self.suspect = false;
        match known {
            Some(_) => Evidence::NewIncarnation(incarnation),
            None => Evidence::None,
        }
    }

    /// Takes a reply of the server to a call of this host.
    ///
    /// Returns whether the limit rose.
    pub fn reply(
        &mut self,
        now: Instant,
        incarnation: Option<Incarnation>,
        sent_at: Instant,
        good: bool,
        bounds: &Bounds,
    ) -> bool {
        if incarnation != self.incarnation {
            return false;
        }
        self.suspect = false;
        let first_reply = *self.first_reply.get_or_insert(now);
        let slots = self.slots(bounds);
        if !good || sent_at < self.raised_at || slots >= bounds.full {
            return false;
        }
        let envelope = envelope(now.since_ms(first_reply), bounds);
        let raised = (slots * MAX_RAISE_FACTOR).max(1).min(envelope);
        if raised <= slots {
            return false;
        }
        self.slots = raised;
        self.raised_at = now;
        true
    }

    /// Takes another host's word, which it gave after this host's last evidence.
    pub fn confirm(&mut self, incarnation: Incarnation, slots: u32) {
        if self.incarnation == Some(incarnation) {
            self.suspect = false;
            self.slots = self.slots.max(slots);
        }
    }

    /// Takes the loss of a connection: the server may have restarted.
    pub fn connection_lost(&mut self) {
        match self.incarnation {
            Some(_) => self.suspect = true,
            // A server that tells no life can't show that it kept it.
            None => self.reset_to_cold(),
        }
    }

    /// Takes it that the server is cold now, by whatever evidence.
    pub fn reset_to_cold(&mut self) {
        self.slots = 0;
        self.first_reply = None;
        self.raised_at = Instant::ZERO;
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the most that a server carries surely this long after a reply.
fn envelope(age_ms: u64, bounds: &Bounds) -> u32 {
    if age_ms >= bounds.warm_up_ms {
        return bounds.full;
    }
    let span = u64::from(bounds.full.saturating_sub(bounds.cold));
    bounds.cold + (span * age_ms / bounds.warm_up_ms) as u32
}
