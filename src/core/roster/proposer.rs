//! Timing of roster proposals, so that few hosts propose and changes are batched.

use super::Proposal;
use crate::time::Instant;

/// Time for which changes of hosts are batched before a roster is proposed, in milliseconds.
const BATCH_MS: u64 = 5_000;

/// Additional delay of a proposal per rank of the host, in milliseconds.
const RANK_DELAY_MS: u64 = 1_000;

/// Highest rank that adds to the delay.
const MAX_RANK: u64 = 20;

/// Time after which a proposal without a known outcome is repeated, in milliseconds.
const RETRY_MS: u64 = 30_000;

/// Decides when a host proposes a roster.
#[derive(Default)]
pub struct Proposer {
    /// Current epoch, and since when it needs a new roster.
    needed: Option<(u64, Instant)>,
    /// Epoch for which a roster was last proposed, and when.
    proposed: Option<(u64, Instant)>,
}

impl Proposer {
    /// Returns whether this host should now propose the roster that replaces the one of this epoch.
    ///
    /// The rank is the number of serving hosts sorted before this one. Concurrent proposals are
    /// harmless: only the first in the log is accepted.
    pub fn is_due(
        &mut self,
        now: Instant,
        epoch: u64,
        rank: usize,
        proposal: Option<&Proposal>,
    ) -> bool {
        if proposal.is_none() {
            self.needed = None;
            return false;
        }
        let since = match self.needed {
            Some((needed, since)) if needed == epoch => since,
            _ => now,
        };
        self.needed = Some((epoch, since));
        let delay_ms = BATCH_MS + RANK_DELAY_MS * (rank as u64).min(MAX_RANK);
        if now.since_ms(since) < delay_ms {
            return false;
        }
        if let Some((proposed, at)) = self.proposed
            && proposed == epoch
            && now.since_ms(at) < RETRY_MS
        {
            return false;
        }
        self.proposed = Some((epoch, now));
        true
    }
}
