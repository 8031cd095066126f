//! When a host proposes the next roster, so that few hosts do and changes come in batches.

use super::Proposal;
use crate::time::Instant;

/// Time for which changes of hosts are gathered before a roster is proposed, in milliseconds.
const BATCH_MS: u64 = 5_000;

/// Time that each further host in rank waits longer, in milliseconds.
const RANK_MS: u64 = 1_000;

/// Rank from which on hosts wait no longer.
const LAST_RANK: u64 = 20;

/// Time after which a proposal whose fate isn't known is repeated, in milliseconds.
const REPEAT_MS: u64 = 30_000;

/// One host's wish for a new roster.
#[derive(Default)]
pub struct Proposer {
    wanted: Option<(u64, Instant)>,
    proposed: Option<(u64, Instant)>,
}

impl Proposer {
    /// Returns whether this host should propose now the roster that follows the one of this epoch.
    ///
    /// The rank is the count of serving hosts before this one. Two hosts that propose at once do
    /// no harm: the log keeps the first.
    pub fn is_due(
        &mut self,
        now: Instant,
        epoch: u64,
        rank: usize,
        proposal: Option<&Proposal>,
    ) -> bool {
        if proposal.is_none() {
            self.wanted = None;
            return false;
        }
        let since = match self.wanted {
            Some((wanted, since)) if wanted == epoch => since,
            _ => now,
        };
        self.wanted = Some((epoch, since));
        let wait_ms = BATCH_MS + RANK_MS * (rank as u64).min(LAST_RANK);
        if now.since_ms(since) < wait_ms {
            return false;
        }
        if let Some((proposed, at)) = self.proposed
            && proposed == epoch
            && now.since_ms(at) < REPEAT_MS
        {
            return false;
        }
        self.proposed = Some((epoch, now));
        true
    }
}
