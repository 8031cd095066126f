//! Non-idempotent requests: the home's part and the witness's part of the protocol.

use super::{
    Context,
    Coordinator,
    Policy,
    Recipient,
    Waiter,
    answer_dropped,
    home,
    id_reused,
    running::State,
    ticket,
    unknown_subject, //
};
use crate::{
    core::{
        address,
        call::Request,
        decision::{
            Kind,
            value, //
        },
        host,
        mutation::Mutation,
        outcome::{
            Message, Outcome, Rejection, Status, Submission, Ticket,
            answers::{
                Content,
                Digest, //
            },
            plan::Plan,
        },
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
        view::View,
    },
    time::Instant,
};

/// Time after which a home gives up waiting for its witness, in milliseconds.
const PREPARE_MS: u64 = 1_500;

/// Time after which a home repeats its message to the witness, in milliseconds, doubled each time.
const PREPARE_RETRY_MS: u64 = 100;

/// State of a home that waits for its witness.
#[derive(Debug)]
pub(super) struct Preparing {
    nonce: u64,
    retry_at: Instant,
    backoff_ms: u64,
    give_up_at: Instant,
}

impl Coordinator {
    /// Handles the submission of a request that must not run more than once.
    pub(super) fn submit_non_idempotent(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        submission: Box<Submission>,
        digest: Digest,
        plan: Option<Plan>,
    ) {
        let request = submission.request.clone();
        let Some(ticket) = valid_ticket(&submission) else {
            let refusal = ticket_required(&submission);
            return self.refuse(cx, &request, &waiter, "ticket_required", refusal);
        };
        if ticket.home != cx.view.own.id {
            return self.submit_remote(cx, waiter, submission, digest);
        }
        if let Some(outcome) = self.recorded_outcome(&request, digest) {
            cx.log_decision(Kind::Outcome, &request, "ended", "answered", Vec::new());
            return cx.deliver(&request, &waiter, 0, &outcome);
        }
        if self.home.is_evicted(&ticket) {
            let refusal = ticket_evicted();
            return self.refuse(cx, &request, &waiter, "forgotten", refusal);
        }
        let refusal = self.non_idempotent_start_refusal(cx, &ticket);
        let end = refusal.map(|refusal| (cx.now, home::End::Refused(refusal)));
        let (end, plan) = match (end, plan) {
            (None, None) => {
                let end = home::End::Refused(unknown_subject());
                (Some((cx.now, end)), None)
            }
            (end, plan) => (end, plan),
        };
        let record = home::Record {
            ticket,
            digest,
            end: end.clone(),
        };
        if !self.home.insert(&request, record) {
            // Without a record the home can't rule out that a late duplicate runs.
            let detail = "the home's memory of requests is full";
            let refusal = Refusal::may_have_run(Code::Overloaded, Remedy::Wait, detail);
            return self.refuse(cx, &request, &waiter, "memory", refusal);
        }
        match (end, plan) {
            (Some((_, home::End::Refused(refusal))), _) => {
                self.refuse(cx, &request, &waiter, "not_serving", refusal);
            }
            (_, Some(plan)) => self.start(cx, waiter, submission, digest, plan),
            (_, None) => unreachable!("a request without a plan is refused"),
        }
    }

    /// Returns the refusal if this host doesn't start a non-idempotent request under the ticket.
    fn non_idempotent_start_refusal(&self, cx: &Context<'_>, ticket: &Ticket) -> Option<Refusal> {
        if ticket.witness == cx.view.own.id {
            let detail = "a host can't be its own witness";
            return Some(Refusal::not_run(
                Code::TicketRequired,
                Remedy::NewId,
                detail,
            ));
        }
        let mut refusal = self.start_refusal(cx)?;
        // The refusal is recorded: a retry under this id gets the same one at any host.
        refusal.remedy = Remedy::NewId;
        Some(refusal)
    }

    /// Returns the recorded outcome of a request that ended here.
    fn recorded_outcome(&self, request: &Request, digest: Digest) -> Option<Outcome> {
        let record = self.home.get(request)?;
        if record.digest != digest {
            return Some(Outcome::Refused(id_reused()));
        }
        let (_, end) = record.end.as_ref()?;
        match end {
            home::End::Refused(refusal) => Some(Outcome::Refused(refusal.clone())),
            home::End::Ran => match self.answers.get(request).map(|entry| &entry.content) {
                Some(Content::Answer(answer)) => Some(Outcome::Answered(answer.clone())),
                _ => Some(Outcome::Refused(answer_dropped())),
            },
        }
    }

    /// Sends the request to the witness, whose acknowledgement is needed before the first call.
    pub(super) fn start_non_idempotent(&mut self, cx: &mut Context<'_>, request: &Request) {
        if self.policy == Policy::HomeOnly {
            return self.offer(cx, request);
        }
        let nonce = self.next_number * self.shard_count + self.shard;
        self.next_number += 1;
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let limit = cx.now.after_ms(PREPARE_MS);
        running.state = State::Preparing(Preparing {
            nonce,
            retry_at: cx.now.after_ms(PREPARE_RETRY_MS),
            backoff_ms: PREPARE_RETRY_MS,
            give_up_at: limit.min(running.deadline),
        });
        self.send_prepare(cx, request);
        if cx.view.mutation.is_active(Mutation::SkipWitness) {
            self.offer(cx, request);
        }
    }

    fn send_prepare(&self, cx: &mut Context<'_>, request: &Request) {
        let Some(running) = self.running.get(request) else {
            return;
        };
        let (State::Preparing(preparing), Some(ticket)) =
            (&running.state, &running.submission.ticket)
        else {
            return;
        };
        let message = Message::Prepare {
            request: request.clone(),
            ticket: ticket.clone(),
            nonce: preparing.nonce,
            digest: running.digest,
        };
        cx.send(&ticket.witness, message);
    }

    pub(super) fn tick_preparing(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let State::Preparing(preparing) = &mut running.state else {
            return;
        };
        if cx.now >= preparing.give_up_at {
            let detail = format!("no acknowledgement of the witness within {PREPARE_MS} ms");
            let refusal = Refusal::not_run(Code::WitnessUnreachable, Remedy::NewId, detail);
            return self.finish(cx, request, Outcome::Refused(refusal));
        }
        if cx.now >= preparing.retry_at {
            preparing.backoff_ms *= 2;
            preparing.retry_at = cx.now.after_ms(preparing.backoff_ms);
            self.send_prepare(cx, request);
        }
    }

    /// Returns whether this home waits for a reply with this nonce from this witness.
    fn awaits_witness(&self, from: &host::Id, request: &Request, nonce: u64) -> bool {
        let Some(running) = self.running.get(request) else {
            return false;
        };
        let witness = running
            .submission
            .ticket
            .as_ref()
            .map(|ticket| &ticket.witness);
        matches!(&running.state, State::Preparing(preparing) if preparing.nonce == nonce)
            && witness == Some(from)
    }

    /// Handles the witness's acknowledgement, after which the call may be sent.
    pub(super) fn handle_prepared(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: &Request,
        nonce: u64,
    ) {
        if !self.awaits_witness(from, request, nonce) {
            self.counters.late += 1;
            return;
        }
        let values = vec![value("nonce", nonce)];
        cx.log_decision(Kind::Outcome, request, "acknowledged", "run", values);
        self.offer(cx, request);
    }

    /// Handles the witness's rejection: no call is sent.
    pub(super) fn handle_rejected(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: &Request,
        nonce: u64,
        reason: Rejection,
    ) {
        if !self.awaits_witness(from, request, nonce) {
            self.counters.late += 1;
            return;
        }
        let (code, detail) = match reason {
            Rejection::Sealed => (Code::Sealed, "a retry elsewhere sealed the id"),
            Rejection::Expired => (Code::TicketRequired, "the ticket is too old to start with"),
            Rejection::Evicted => (Code::TicketRequired, "the ticket's generation is over"),
            Rejection::Conflict => (Code::IdReused, "the witness knows another use of the id"),
            Rejection::Full => (Code::Overloaded, "the witness's memory is full"),
        };
        let refusal = match reason {
            // The witness acknowledged another attempt, of which this home has no record.
            Rejection::Conflict => Refusal::may_have_run(code, Remedy::NewId, detail),
            // Only this home may run the id, and it hasn't, so nothing ran.
            _ => Refusal::not_run(code, Remedy::NewId, detail),
        };
        self.finish(cx, request, Outcome::Refused(refusal));
    }

    /// Acknowledges or rejects another home's request, as its witness.
    pub(super) fn handle_prepare(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: Request,
        ticket: &Ticket,
        nonce: u64,
        digest: Digest,
    ) {
        if ticket.home != *from || ticket.witness != cx.view.own.id || !ticket.covers(&request.id) {
            self.counters.unexpected += 1;
            return;
        }
        let answer = self
            .witness
            .prepare(cx.now, &request, ticket, nonce, digest);
        let message = match answer {
            Ok(()) => Message::Prepared { request, nonce },
            Err(reason) => {
                let values = vec![value("nonce", nonce)];
                cx.log_decision(Kind::Outcome, &request, "witness", "refused", values);
                Message::Rejected {
                    request,
                    nonce,
                    reason,
                }
            }
        };
        cx.send(from, message);
    }

    /// Seals another home's request, as its witness, and returns its status.
    pub(super) fn seal(
        &mut self,
        now: Instant,
        view: &View,
        request: &Request,
        ticket: &Ticket,
        digest: Digest,
    ) -> Status {
        if ticket.witness != view.own.id || !ticket.covers(&request.id) {
            self.counters.unexpected += 1;
            return Status::Unknown;
        }
        if view.mutation.is_active(Mutation::DropSeal) {
            return match self.witness.status(now, request, ticket) {
                Status::Unknown => Status::Sealed,
                status => status,
            };
        }
        match self.witness.seal(now, request, ticket) {
            // The answer may be stored here.
            Status::Ended(_) => self.status(now, view, request, Some(ticket), Some(digest)),
            status => status,
        }
    }

    /// Handles a request that a caller submitted to another host, and of which this is the home.
    pub(super) fn handle_forward(
        &mut self,
        cx: &mut Context<'_>,
        from: host::Id,
        submission: Box<Submission>,
    ) {
        let home = submission.ticket.as_ref().map(|ticket| &ticket.home);
        if home != Some(&cx.view.own.id) {
            self.counters.unexpected += 1;
            return;
        }
        let request = submission.request.clone();
        let waiter = Waiter {
            recipient: Recipient::Host(from.clone()),
            next_piece: 0,
        };
        self.submit(cx, waiter, submission);
        if self.running.contains_key(&request) {
            let status = Status::Running;
            cx.send(&from, Message::Status { request, status });
        }
    }
}

/// Returns the ticket of a submission if it covers the request id.
fn valid_ticket(submission: &Submission) -> Option<Ticket> {
    let ticket = submission.ticket.as_ref()?;
    ticket
        .covers(&submission.request.id)
        .then(|| ticket.clone())
}

fn ticket_required(submission: &Submission) -> Refusal {
    let detail = "a non-idempotent request needs a ticket, and an id that starts with its tag";
    if ticket::is_tagged(&submission.request.id) {
        // The id may have run under the ticket with its tag.
        return Refusal::may_have_run(Code::TicketRequired, Remedy::ChangeRequest, detail);
    }
    Refusal::not_run(Code::TicketRequired, Remedy::ChangeRequest, detail)
}

pub(super) fn ticket_evicted() -> Refusal {
    let detail = "what became of requests under this ticket is forgotten";
    Refusal::may_have_run(Code::AnswerDropped, Remedy::None, detail)
}

// A ticket must stay valid at least as long as the address that was issued with it.
const _: () =
    assert!(address::drain_ms() < ticket::GENERATION_MS * (ticket::MAX_START_AGE_GENERATIONS - 1));
