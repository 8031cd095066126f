//! A host's estimate of the concurrent calls that one backend server can serve.
//!
//! The limit rises only with replies to this host's own calls, and never above a bound that grows
//! with the time since the first reply. It falls at the first sign of a cold server: see
//! `docs/capacity-shares.md`.

use crate::{
    core::call::Incarnation,
    time::Instant, //
};

/// Number of past incarnations that are remembered, in order to recognise their late messages.
const MAX_PAST_INCARNATIONS: usize = 8;

/// Largest factor by which one reply raises the limit.
const MAX_RAISE_FACTOR: u32 = 2;

/// Configured limits of a pool's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Concurrent calls that a server can serve after a cold start.
    pub cold: u32,
    /// Concurrent calls that a warm server can serve.
    pub full: u32,
    /// Time in which the limit rises from cold to full, in milliseconds.
    pub warm_up_ms: u64,
}

/// What a message shows about the incarnation of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The incarnation is the known one, or the first one seen.
    None,
    /// The message is of a past incarnation.
    Stale,
    /// The server has a new incarnation, so it is cold.
    NewIncarnation(Incarnation),
}

/// Estimated limit of one server.
#[derive(Clone, Debug)]
pub struct Limit {
    incarnation: Option<Incarnation>,
    past_incarnations: Vec<Incarnation>,
    /// When this host adopted the incarnation as the current one.
    adopted_at: Instant,
    slots: u32,
    first_reply_at: Option<Instant>,
    raised_at: Instant,
    suspect: bool,
}

impl Limit {
    /// Creates the limit of a server of which nothing is known, which counts as cold.
    pub fn new() -> Self {
        Self {
            incarnation: None,
            past_incarnations: Vec::new(),
            adopted_at: Instant::ZERO,
            slots: 0,
            first_reply_at: None,
            raised_at: Instant::ZERO,
            suspect: false,
        }
    }

    /// Returns the number of concurrent calls that the server can safely serve.
    pub fn slots(&self, bounds: &Bounds) -> u32 {
        if self.suspect {
            return bounds.cold.min(bounds.full);
        }
        self.slots.max(bounds.cold).min(bounds.full)
    }

    /// Returns whether the server has reached its full limit.
    pub fn is_full(&self, bounds: &Bounds) -> bool {
        self.slots(bounds) == bounds.full
    }

    /// Returns whether the server may have restarted since its last reply.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns the current incarnation of the server, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Processes the incarnation stated in a reply, load report, cold notice or capacity report.
    ///
    /// `request_sent_at` is when the call or query was sent that the message answers, `None` if it
    /// answers none. Messages of two incarnations may overtake each other, so that the older
    /// incarnation is adopted as the current one. Only the answer to a call or query sent after
    /// that adoption shows which incarnation is running.
    pub fn observe_incarnation(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        request_sent_at: Option<Instant>,
    ) -> Evidence {
        if self.incarnation == Some(incarnation) {
            return Evidence::None;
        }
        if self.past_incarnations.contains(&incarnation) {
            if request_sent_at.is_none_or(|at| at <= self.adopted_at) {
                return Evidence::Stale;
            }
            self.past_incarnations.retain(|past| *past != incarnation);
        }
        self.adopted_at = now;
        let previous = self.incarnation.replace(incarnation);
        if let Some(previous) = previous {
            if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
                self.past_incarnations.remove(0);
            }
            self.past_incarnations.push(previous);
        }
        self.reset_to_cold();
        self.suspect = false;
        match previous {
            Some(_) => Evidence::NewIncarnation(incarnation),
            None => Evidence::None,
        }
    }

    /// Processes a reply of the server to a call of this host, and returns whether the limit rose.
    ///
    /// A reply raises the limit only if it is good, i.e. successful and not unusually slow, and if
    /// its call was sent after the last rise.
    pub fn reply(
        &mut self,
        now: Instant,
        incarnation: Option<Incarnation>,
        sent_at: Instant,
        is_good: bool,
        bounds: &Bounds,
    ) -> bool {
        if incarnation != self.incarnation {
            return false;
        }
        self.suspect = false;
        let first_reply_at = *self.first_reply_at.get_or_insert(now);
        let slots = self.slots(bounds);
        if !is_good || sent_at < self.raised_at || slots >= bounds.full {
            return false;
        }
        let envelope = envelope(now.since_ms(first_reply_at), bounds);
        let raised = (slots * MAX_RAISE_FACTOR).max(1).min(envelope);
        if raised <= slots {
            return false;
        }
        self.slots = raised;
        self.raised_at = now;
        true
    }

    /// Raises the limit to the one that another host reported in answer to a query.
    ///
    /// The query was sent after this host's last evidence, so the report is newer.
    pub fn confirm(&mut self, incarnation: Incarnation, slots: u32) {
        if self.incarnation == Some(incarnation) {
            self.suspect = false;
            self.slots = self.slots.max(slots);
        }
    }

    /// Processes the loss of a connection, after which the server may have restarted.
    pub fn connection_lost(&mut self) {
        match self.incarnation {
            Some(_) => self.suspect = true,
            // A server that states no incarnation can't prove that it hasn't restarted.
            None => self.reset_to_cold(),
        }
    }

    /// Resets the limit to that of a cold server, whatever the evidence.
    pub fn reset_to_cold(&mut self) {
        self.slots = 0;
        self.first_reply_at = None;
        self.raised_at = Instant::ZERO;
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the upper bound of the limit at this time since the first reply.
fn envelope(age_ms: u64, bounds: &Bounds) -> u32 {
    if age_ms >= bounds.warm_up_ms {
        return bounds.full;
    }
    let span = u64::from(bounds.full.saturating_sub(bounds.cold));
    bounds.cold + (span * age_ms / bounds.warm_up_ms) as u32
}
