//! End of requests: delivers, records and backs up the outcome.

use super::{
    Context,
    Coordinator,
    Recipient,
    Waiter,
    home,
    running::Running, //
};
use crate::core::{
    call::Request,
    decision::{
        Kind,
        value, //
    },
    outcome::{
        Backup,
        Caller,
        Outcome,
        answers::{
            Class,
            Content, //
        }, //
    },
    refusal::{
        Code,
        Execution,
        Refusal,
        Remedy, //
    },
};

impl Coordinator {
    /// Ends a request with its final outcome.
    pub(super) fn finish(&mut self, cx: &mut Context<'_>, request: &Request, outcome: Outcome) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        if let Some(call) = running.current_call() {
            self.request_by_call.remove(&call);
        }
        let choice = match &outcome {
            Outcome::Answered(_) => "ran",
            Outcome::AnswerDropped => "answer_dropped",
            Outcome::Refused(refusal) if refusal.run == Execution::NotRun => "not_run",
            Outcome::Refused(_) => "may_have_run",
        };
        let values = vec![
            value("attempts", running.attempt + 1),
            value("stage", running.stage),
            value("left_ms", running.deadline.since_ms(cx.now)),
        ];
        cx.log_decision(Kind::Outcome, request, "end", choice, values);
        for waiter in &running.waiters {
            cx.deliver(request, waiter, running.first_piece, &outcome);
        }
        if running.plan.idempotent {
            self.finish_idempotent(cx, request, &running, outcome);
        } else {
            self.finish_non_idempotent(cx, request, &running, outcome);
        }
    }

    fn finish_idempotent(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        running: &Running,
        outcome: Outcome,
    ) {
        // An answer that lacks its first pieces can't serve other callers.
        if let Outcome::Answered(answer) = outcome
            && running.first_piece == 0
        {
            let content = Content::Answer(answer);
            self.store_own(
                cx,
                request,
                None,
                Class::Idempotent,
                running.digest,
                content,
            );
        }
    }

    fn finish_non_idempotent(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        running: &Running,
        outcome: Outcome,
    ) {
        let ticket = running.submission.ticket.clone();
        match outcome {
            Outcome::Answered(answer) => {
                self.home.complete(cx.now, request, home::End::Ran);
                let content = Content::Answer(answer);
                self.store_own(
                    cx,
                    request,
                    ticket,
                    Class::NonIdempotent,
                    running.digest,
                    content,
                );
            }
            Outcome::Refused(refusal) => {
                let end = home::End::Refused(refusal.clone());
                self.home.complete(cx.now, request, end);
                let backup = Backup {
                    class: Class::NonIdempotent,
                    digest: running.digest,
                    content: Content::Refused(refusal),
                };
                self.back_up(cx, request, ticket, backup);
            }
            Outcome::AnswerDropped => {
                unreachable!("a running request ends with its answer or a refusal")
            }
        }
    }

    pub(super) fn handle_disconnect(&mut self, cx: &mut Context<'_>, caller: Caller) {
        let recipient = Recipient::Caller(caller);
        let waits = |waiters: &[Waiter]| waiters.iter().any(|waiter| waiter.recipient == recipient);
        let mut abandoned = Vec::new();
        for (request, running) in &mut self.running {
            if !waits(&running.waiters) {
                continue;
            }
            running
                .waiters
                .retain(|waiter| waiter.recipient != recipient);
            if running.waiters.is_empty() && !running.outlives_callers() {
                abandoned.push(request.clone());
            }
        }
        for request in abandoned {
            self.abandon_call(cx, &request);
            let detail = "all callers hung up";
            let refusal = Refusal::may_have_run(Code::Cancelled, Remedy::Wait, detail);
            self.finish(cx, &request, Outcome::Refused(refusal));
        }
        self.remove_remote_waiter(&recipient);
    }
}
