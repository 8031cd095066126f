//! Proposals: appending records for operators, and answering with their verdicts.
//!
//! A record has a verdict once its id appears in the log, at any offset and any number of times.
//! Until then its outcome is unknown, unless its verdict is settled wherever it is appended.

use super::{
    Action,
    Answer,
    Replica,
    Requester, //
};
use crate::{
    core::{
        log::{
            self,
            Offset, //
        },
        state::{
            Record,
            Verdict, //
        },
    },
    time::Instant,
};

/// Time after which a record that hasn't appeared in the log is appended again, in milliseconds.
const APPEND_RETRY_MS: u64 = 1_000;

/// Time after which a proposal without a verdict is answered, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// Maximum time to wait for other hosts to hold an accepted record before the answer, in
/// milliseconds.
const REPLICATION_TIMEOUT_MS: u64 = 1_000;

/// Number of other hosts that must hold an accepted record before the answer, within
/// [`REPLICATION_TIMEOUT_MS`].
const REPLICATION_HOSTS: usize = 2;

/// Maximum number of pending proposals.
const MAX_PENDING: usize = 1_024;

/// A proposal without an answer yet.
struct Pending {
    requester: Option<Requester>,
    record: Record,
    proposed_at: Instant,
    next_append_at: Instant,
    /// Whether an append was sent, so that the record may be in the log.
    appended: bool,
    /// When the record was known to be accepted and in the log.
    accepted_at: Option<Instant>,
}

/// Proposals without an answer yet.
#[derive(Default)]
pub(super) struct Proposals {
    pending: Vec<Pending>,
}

impl Replica {
    /// Handles a new proposal.
    pub(super) fn propose(
        &mut self,
        now: Instant,
        requester: Option<Requester>,
        record: Record,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.append_refusal(now) {
            // The answer says nothing about earlier attempts with this id, which may still take
            // effect.
            if let Some(requester) = requester {
                let answer = Answer::Unavailable(reason.into());
                out.push(Action::Answer { requester, answer });
            }
            return;
        }
        if record.id().is_none() {
            self.append(record, out);
            return;
        }
        self.announce(now, &record, out);
        self.proposals.pending.push(Pending {
            requester,
            record,
            proposed_at: now,
            next_append_at: now,
            appended: false,
            accepted_at: None,
        });
        self.resolve_proposals(now, out);
    }

    /// Returns the reason for which this host can't append records now, if there is one.
    fn append_refusal(&self, now: Instant) -> Option<&'static str> {
        if !self.current {
            return Some("this host does not know the state yet: ask another host");
        }
        if !self.reader.is_following() {
            return Some("the log has lost records and is being anchored anew: ask again");
        }
        if !self.reader.is_verified(now) {
            return Some("this host does not reach the log: ask another host, or again later");
        }
        if self.proposals.pending.len() >= MAX_PENDING {
            return Some("too many proposals wait on this host: ask again");
        }
        None
    }

    pub(super) fn append(&mut self, record: Record, out: &mut Vec<Action>) {
        let token = self.reader.next_token();
        let record = Box::new(record);
        out.push(Action::Log(log::Action::Append { token, record }));
    }

    /// Handles a successful append by reading the record at once.
    pub(super) fn on_appended(&mut self, now: Instant, offset: Offset) {
        if offset >= self.position.next {
            self.reader.poll_now(now);
        }
    }

    /// Answers proposals whose outcome is known or that timed out, and appends again those that may
    /// have been lost.
    pub(super) fn resolve_proposals(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut pending = std::mem::take(&mut self.proposals.pending);
        pending.retain_mut(|proposal| !self.resolve_proposal(now, proposal, out));
        self.proposals.pending = pending;
    }

    /// Processes one proposal and returns whether it was answered.
    fn resolve_proposal(
        &mut self,
        now: Instant,
        proposal: &mut Pending,
        out: &mut Vec<Action>,
    ) -> bool {
        if let Some(verdict) = self.known_verdict(now, proposal) {
            self.answer(now, proposal, Answer::Verdict(verdict), out);
            return true;
        }
        if now.since_ms(proposal.proposed_at) >= ANSWER_TIMEOUT_MS {
            let answer = match proposal.appended {
                true => Answer::Unknown,
                false => Answer::Unavailable("this host could not append it".into()),
            };
            self.answer(now, proposal, answer, out);
            return true;
        }
        let may_append = self.current && self.reader.is_verified(now);
        if may_append && proposal.accepted_at.is_none() && now >= proposal.next_append_at {
            proposal.appended = true;
            proposal.next_append_at = now.after_ms(APPEND_RETRY_MS);
            if now > proposal.proposed_at {
                self.announce(now, &proposal.record, out);
            }
            self.append(proposal.record.clone(), out);
        }
        false
    }

    /// Returns the verdict if it may be sent: it is final and, if accepted, replicated or the
    /// replication timed out.
    fn known_verdict(&mut self, now: Instant, proposal: &mut Pending) -> Option<Verdict> {
        if !self.current {
            return None;
        }
        let verdict = self.state.settled_verdict(&proposal.record)?;
        let Verdict::Accepted(position) = verdict else {
            return Some(verdict);
        };
        // Until this host has read the record from the log itself, the log may lose it and be
        // anchored without it.
        if !self.reader.is_verified(now) || !self.is_verified_up_to(position) {
            return None;
        }
        let accepted_at = *proposal.accepted_at.get_or_insert(now);
        let required = REPLICATION_HOSTS.min(self.members.len());
        let is_replicated = self.count_holders(position) >= required;
        let is_timed_out = now.since_ms(accepted_at) >= REPLICATION_TIMEOUT_MS;
        (is_replicated || is_timed_out || !self.is_gossip_enabled()).then_some(verdict)
    }

    fn answer(&mut self, now: Instant, proposal: &Pending, answer: Answer, out: &mut Vec<Action>) {
        let choice = match &answer {
            Answer::Verdict(Verdict::Accepted(_)) => "accepted",
            Answer::Verdict(Verdict::Void(_)) => "void",
            Answer::Verdict(Verdict::Forgotten) => "forgotten",
            Answer::Unknown => "unknown",
            Answer::Unavailable(_) => "unavailable",
        };
        let waited_ms = now.since_ms(proposal.proposed_at);
        if let Some(id) = proposal.record.id() {
            self.record_decision_on(
                now,
                id.clone(),
                "verdict",
                choice,
                &[("waited_ms", waited_ms)],
            );
        }
        if let Some(requester) = proposal.requester {
            out.push(Action::Answer { requester, answer });
        }
    }
}
