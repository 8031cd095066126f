//! Proposals: appending records for operators, and telling them the truth of what became of them.
//!
//! A record counts once its id is seen in the log, wherever it landed and however often. Until
//! then its outcome is unknown, unless no landing could be accepted any more.

use super::{
    Action,
    Answer,
    Replica, //
    Requester,
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

/// Time after which a record that wasn't seen in the log is appended again, in milliseconds.
const APPEND_AGAIN_MS: u64 = 1_000;

/// Time after which an operator is told that the outcome is unknown, in milliseconds.
const ANSWER_LIMIT_MS: u64 = 10_000;

/// Time for which an acceptance waits until other hosts hold it too, in milliseconds.
const SPREAD_LIMIT_MS: u64 = 1_000;

/// Other hosts that hold an acceptance before it is told, unless they don't answer in time.
const SPREAD_HOSTS: usize = 2;

/// Most proposals that wait at once.
const LIMIT: usize = 1_024;

/// A proposal that waits for its verdict.
struct Pending {
    requester: Option<Requester>,
    record: Record,
    since: Instant,
    again_at: Instant,
    /// Whether it was appended at least once, so that it may land.
    appended: bool,
    /// When the verdict became known to this host.
    known_at: Option<Instant>,
}

/// Proposals that wait for their verdicts.
#[derive(Default)]
pub(super) struct Proposals {
    pending: Vec<Pending>,
}

impl Replica {
    /// Takes a proposal.
    pub(super) fn propose(
        &mut self,
        now: Instant,
        requester: Option<Requester>,
        record: Record,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.why_not_append(now) {
            // Without a word of earlier attempts under this id, which may still land.
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
        self.proposals.pending.push(Pending {
            requester,
            record,
            since: now,
            again_at: now,
            appended: false,
            known_at: None,
        });
        self.settle(now, out);
    }

    fn why_not_append(&self, now: Instant) -> Option<&'static str> {
        if !self.current {
            return Some("this host does not know the state yet: ask another host");
        }
        if !self.reading.is_following() {
            return Some("the log has lost records and is being anchored anew: ask again");
        }
        if !self.reading.is_verified(now) {
            return Some("this host does not reach the log: ask another host, or again later");
        }
        if self.proposals.pending.len() >= LIMIT {
            return Some("too many proposals wait on this host: ask again");
        }
        None
    }

    pub(super) fn append(&mut self, record: Record, out: &mut Vec<Action>) {
        let token = self.reading.token();
        let record = Box::new(record);
        out.push(Action::Log(log::Action::Append { token, record }));
    }

    /// Takes note that an append took effect: the record will be read at once.
    pub(super) fn on_appended(&mut self, now: Instant, offset: Offset) {
        if offset >= self.position.next {
            self.reading.hurry(now);
        }
    }

    /// Answers proposals whose outcome is known, and appends again those that may have been lost.
    pub(super) fn settle(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut pending = std::mem::take(&mut self.proposals.pending);
        pending.retain_mut(|proposal| !self.settle_one(now, proposal, out));
        self.proposals.pending = pending;
    }

    /// Returns whether the proposal is done with.
    fn settle_one(&mut self, now: Instant, proposal: &mut Pending, out: &mut Vec<Action>) -> bool {
        if let Some(verdict) = self.settled(now, proposal) {
            self.answer(now, proposal, Answer::Verdict(verdict), out);
            return true;
        }
        if now.since_ms(proposal.since) >= ANSWER_LIMIT_MS {
            let answer = match proposal.appended {
                true => Answer::Unknown,
                false => Answer::Unavailable("this host could not append it".into()),
            };
            self.answer(now, proposal, answer, out);
            return true;
        }
        let may_append = self.current && self.reading.is_verified(now);
        if may_append && proposal.known_at.is_none() && now >= proposal.again_at {
            proposal.appended = true;
            proposal.again_at = now.after_ms(APPEND_AGAIN_MS);
            self.append(proposal.record.clone(), out);
        }
        false
    }

    fn settled(&mut self, now: Instant, proposal: &mut Pending) -> Option<Verdict> {
        if !self.current {
            return None;
        }
        let verdict = self.state.settled_verdict(&proposal.record)?;
        let Verdict::Accepted(position) = verdict else {
            return Some(verdict);
        };
        // While the log isn't seen to hold it, it may be anchored anew without the record.
        if !self.reading.is_verified(now) || !self.is_seen(position) {
            return None;
        }
        let known_at = *proposal.known_at.get_or_insert(now);
        let wanted = SPREAD_HOSTS.min(self.members.len());
        let is_spread = self.holders(position) >= wanted;
        let waited = now.since_ms(known_at) >= SPREAD_LIMIT_MS;
        (is_spread || waited || !self.is_spreading()).then_some(verdict)
    }

    fn answer(&mut self, now: Instant, proposal: &Pending, answer: Answer, out: &mut Vec<Action>) {
        let choice = match &answer {
            Answer::Verdict(Verdict::Accepted(_)) => "accepted",
            Answer::Verdict(Verdict::Void(_)) => "void",
            Answer::Verdict(Verdict::Forgotten) => "forgotten",
            Answer::Unknown => "unknown",
            Answer::Unavailable(_) => "unavailable",
        };
        let waited_ms = now.since_ms(proposal.since);
        if let Some(id) = proposal.record.id() {
            self.decide_on(
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
