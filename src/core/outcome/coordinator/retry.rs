//! End of calls: the next stage, a retry, or a refusal.

use super::{
    Context,
    Coordinator,
    running::State, //
};
use crate::{
    core::{
        call::{
            self,
            Body,
            Completion,
            Request, //
        },
        decision::{
            Kind,
            value, //
        },
        mutation::Mutation,
        outcome::{
            Action, Outcome,
            answers::{
                Answer,
                Class,
                Content, //
            },
        },
        refusal::{
            Code,
            Execution,
            Refusal,
            Remedy, //
        },
    },
    names::Name, //
};

/// Limit of attempts at one stage of a request.
const MAX_ATTEMPTS: u32 = 5;

/// Backoff before the second retry, in milliseconds, doubled for each further one. The first retry
/// is immediate.
const RETRY_BASE_MS: u64 = 20;

/// Time to wait for the end of a cancelled call, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

impl Coordinator {
    pub(super) fn handle_call_end(
        &mut self,
        cx: &mut Context<'_>,
        call: call::Id,
        server: Name,
        end: Completion,
    ) {
        let Some(request) = self.request_of_call(call) else {
            return;
        };
        self.request_by_call.remove(&call);
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        match end {
            Completion::Answered(body) => self.handle_answer(cx, &request, body),
            Completion::Refused | Completion::NotSent => {
                self.retry(cx, &request, Some(server), Code::NoServer);
            }
            Completion::Failed => {
                running.may_have_run = true;
                self.retry(cx, &request, Some(server), Code::ServerFailed);
            }
            Completion::Lost | Completion::Cancelled => {
                running.may_have_run = true;
                self.retry(cx, &request, Some(server), Code::AnswerLost);
            }
        }
    }

    fn handle_answer(&mut self, cx: &mut Context<'_>, request: &Request, body: Body) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        running.may_have_run = true;
        if running.has_gap {
            let detail = "a piece of the answer was lost";
            let refusal = Refusal::may_have_run(Code::AnswerLost, Remedy::None, detail);
            return self.finish(cx, request, Outcome::Refused(refusal));
        }
        let pieces = std::mem::take(&mut running.pieces);
        let answer = Answer { pieces, body };
        if running.is_final_stage() {
            return self.finish(cx, request, Outcome::Answered(answer));
        }
        let result = answer.joined();
        let index = running.stage;
        let digest = running.digest;
        running.stage += 1;
        running.previous_result = Some(result.clone());
        running.attempt = 0;
        running.failed_servers.clear();
        let content = Content::Stage {
            index,
            body: result,
        };
        self.store_own(cx, request, None, Class::Stage, digest, content);
        self.offer(cx, request);
    }

    /// Retries the stage on another server, or refuses the request if no retry is allowed.
    pub(super) fn retry(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        server: Option<Name>,
        code: Code,
    ) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        running.attempt += 1;
        if let Some(server) = server
            && !running.failed_servers.contains(&server)
        {
            running.failed_servers.push(server);
        }
        let may_repeat = running.plan.idempotent
            || !running.may_have_run
            || cx.view.mutation.is_active(Mutation::RepeatOrders);
        let in_time = running.plan.late_answer_wanted || cx.now < running.deadline;
        let attempts_left = running.attempt < MAX_ATTEMPTS;
        let values = vec![
            value("attempt", running.attempt),
            value("attempts_limit", MAX_ATTEMPTS),
            value("left_ms", running.deadline.since_ms(cx.now)),
            value("may_repeat", i64::from(may_repeat)),
        ];
        if may_repeat && in_time && attempts_left {
            self.counters.retries += 1;
            cx.log_decision(Kind::Retry, request, retry_reason(code), "repeat", values);
            let doublings = running.attempt.saturating_sub(2);
            let backoff_ms = RETRY_BASE_MS << doublings;
            if running.attempt > 1 {
                running.state = State::BackingOff(cx.now.after_ms(backoff_ms));
            } else {
                self.offer(cx, request);
            }
            return;
        }
        cx.log_decision(Kind::Retry, request, retry_reason(code), "give_up", values);
        let detail = format!(
            "attempt {} of {MAX_ATTEMPTS} ended without an answer",
            running.attempt
        );
        let remedy = match (running.plan.idempotent, running.may_have_run) {
            (true, _) => Remedy::Wait,
            (false, false) => Remedy::NewId,
            (false, true) => Remedy::None,
        };
        let refusal = running.refusal(code, remedy, detail);
        self.finish(cx, request, Outcome::Refused(refusal));
    }

    pub(super) fn handle_pool_refusal(
        &mut self,
        cx: &mut Context<'_>,
        call: call::Id,
        mut refusal: Refusal,
    ) {
        let Some(request) = self.request_of_call(call) else {
            return;
        };
        self.request_by_call.remove(&call);
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        if running.may_have_run {
            // The pool knows only this call. An earlier stage or attempt may have run.
            refusal.run = Execution::MayHaveRun;
        }
        if !running.plan.idempotent && refusal.remedy != Remedy::ChangeRequest {
            // The outcome of this id is final, so the same id can't be retried.
            refusal.remedy = match refusal.run {
                Execution::NotRun => Remedy::NewId,
                Execution::MayHaveRun => Remedy::None,
            };
        }
        self.finish(cx, &request, Outcome::Refused(refusal));
    }

    pub(super) fn tick_running(&mut self, cx: &mut Context<'_>) {
        let requests: Vec<Request> = self.running.keys().cloned().collect();
        for request in &requests {
            self.tick_request(cx, request);
        }
    }

    fn tick_request(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(running) = self.running.get(request) else {
            return;
        };
        let plan = &running.plan;
        if plan.idempotent && !plan.late_answer_wanted && cx.now >= running.deadline {
            return self.deadline_exceeded(cx, request);
        }
        match &running.state {
            State::Preparing(_) => self.tick_preparing(cx, request),
            State::QueryingBackups { until, .. } | State::BackingOff(until) if cx.now >= *until => {
                self.offer(cx, request);
            }
            State::Calling { timeout_at, .. } if cx.now >= *timeout_at => {
                self.call_timed_out(cx, request)
            }
            State::Cancelling { call, until } if cx.now >= *until => {
                let call = *call;
                self.request_by_call.remove(&call);
                if let Some(running) = self.running.get_mut(request) {
                    running.may_have_run = true;
                }
                self.retry(cx, request, None, Code::AnswerLost);
            }
            _ => {}
        }
    }

    fn deadline_exceeded(&mut self, cx: &mut Context<'_>, request: &Request) {
        self.abandon_call(cx, request);
        let Some(running) = self.running.get(request) else {
            return;
        };
        let detail = format!("no answer within {} ms", running.plan.deadline_ms);
        let refusal = running.refusal(Code::Deadline, Remedy::Wait, detail);
        self.finish(cx, request, Outcome::Refused(refusal));
    }

    /// Cancels a call that made no progress until its timeout.
    fn call_timed_out(&mut self, cx: &mut Context<'_>, request: &Request) {
        self.counters.timeouts += 1;
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let Some(call) = running.current_call() else {
            return;
        };
        let pool = running.pool().clone();
        cx.log_decision(Kind::Retry, request, "silent", "cancel", Vec::new());
        if running.plan.idempotent {
            self.abandon_call(cx, request);
            return self.retry(cx, request, None, Code::AnswerLost);
        }
        // The pool may still report that the call was never sent.
        running.state = State::Cancelling {
            call,
            until: cx.now.after_ms(CANCEL_TIMEOUT_MS),
        };
        cx.actions.push(Action::Cancel { call, pool });
    }
}

fn retry_reason(code: Code) -> &'static str {
    match code {
        Code::NoServer => "refused_by_server",
        Code::ServerFailed => "server_failed",
        _ => "answer_lost",
    }
}
