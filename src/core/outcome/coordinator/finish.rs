//! Ends of requests: the verdict is delivered, recorded and copied.

use super::{
    Context,
    Coordinator,
    Waiter,
    Who,
    home,
    run::Running, //
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
        Refusal,
        Remedy,
        Run, //
    },
};

impl Coordinator {
    /// Ends a request for good.
    pub(super) fn finish(&mut self, cx: &mut Context<'_>, request: &Request, verdict: Outcome) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        if let Some(call) = running.called() {
            self.by_call.remove(&call);
        }
        let choice = match &verdict {
            Outcome::Answered(_) => "ran",
            Outcome::AnswerDropped => "answer_dropped",
            Outcome::Refused(refusal) if refusal.run == Run::NotRun => "not_run",
            Outcome::Refused(_) => "may_have_run",
        };
        let values = vec![
            value("attempts", running.attempt + 1),
            value("stage", running.stage),
            value("left_ms", running.deadline.since_ms(cx.now)),
        ];
        cx.decide(Kind::Outcome, request, "end", choice, values);
        for waiter in &running.waiters {
            cx.deliver(request, waiter, running.base, &verdict);
        }
        if running.plan.idempotent {
            self.finish_idempotent(cx, request, &running, verdict);
        } else {
            self.finish_once(cx, request, &running, verdict);
        }
    }

    fn finish_idempotent(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        running: &Running,
        verdict: Outcome,
    ) {
        // An answer without its first pieces is of no use to anybody else.
        if let Outcome::Answered(answer) = verdict
            && running.base == 0
        {
            let content = Content::Whole(answer);
            self.keep_own(
                cx,
                request,
                None,
                Class::Idempotent,
                running.digest,
                content,
            );
        }
    }

    fn finish_once(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        running: &Running,
        verdict: Outcome,
    ) {
        let ticket = running.ask.ticket.clone();
        match verdict {
            Outcome::Answered(answer) => {
                self.home.complete(cx.now, request, home::End::Ran);
                let content = Content::Whole(answer);
                self.keep_own(
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
                let copy = Backup {
                    class: Class::NonIdempotent,
                    digest: running.digest,
                    content: Content::Refused(refusal),
                };
                self.copy(cx, request, ticket, copy);
            }
            Outcome::AnswerDropped => unreachable!("a request that runs has its answer"),
        }
    }

    pub(super) fn caller_gone(&mut self, cx: &mut Context<'_>, caller: Caller) {
        let who = Who::Caller(caller);
        let waits = |waiters: &[Waiter]| waiters.iter().any(|waiter| waiter.who == who);
        let mut unwanted = Vec::new();
        for (request, running) in &mut self.running {
            if !waits(&running.waiters) {
                continue;
            }
            running.waiters.retain(|waiter| waiter.who != who);
            if running.waiters.is_empty() && !running.outlives_callers() {
                unwanted.push(request.clone());
            }
        }
        for request in unwanted {
            self.abandon(cx, &request);
            let detail = "all callers hung up";
            let refusal = Refusal::may_have_run(Code::Cancelled, Remedy::Wait, detail);
            self.finish(cx, &request, Outcome::Refused(refusal));
        }
        self.elsewhere_gone(&who);
    }
}
