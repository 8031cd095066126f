//! Requests that run here: their stages, retries and streams.

use super::{
    Context,
    Ledger,
    Waiter,
    Who,
    home, //
};
use crate::{
    core::{
        call::{
            self,
            Body,
            Call,
            End,
            Request, //
        },
        decision::{
            Kind,
            value, //
        },
        host,
        outcome::{
            Action,
            Ask,
            Caller,
            Copy,
            Message,
            Standing,
            Verdict,
            answers::{
                Answer,
                Class,
                Content,
                Digest, //
            },
            plan::Plan, //
        },
        refusal::{
            Code,
            Refusal,
            Remedy,
            Run, //
        },
        view::View,
    },
    names::Name,
    time::Instant,
};

/// Attempts at one stage of a request.
const MAX_ATTEMPTS: u32 = 5;

/// Time before a second retry, doubled with each further one, in milliseconds.
const RETRY_BASE_MS: u64 = 20;

/// Time for which keepers are asked for the results of an earlier try, in milliseconds.
const LOOK_MS: u64 = 150;

/// Time in which a call may run whose pool isn't known any more, in milliseconds.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 30_000;

/// Time in which a cancelled call has to end, in milliseconds.
const CANCEL_MS: u64 = 1_000;

/// What a request that runs does now.
#[derive(Debug)]
pub(super) enum State {
    /// The home asks the witness.
    Preparing(super::order::Preparing),
    /// Keepers are asked for results of an earlier try.
    Looking {
        /// Keepers that have not answered.
        asked: Vec<host::Id>,
        /// When the request goes on without them.
        until: Instant,
    },
    /// The request waits for its next attempt.
    Resting(Instant),
    /// A pool has the call.
    Called {
        /// The call.
        call: call::Id,
        /// When the call counts as silent.
        silent_at: Instant,
    },
    /// A silent call was cancelled.
    Cancelling {
        /// The call.
        call: call::Id,
        /// When it counts as lost.
        until: Instant,
    },
}

/// A request that runs.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) ask: Box<Ask>,
    pub(super) digest: Digest,
    pub(super) plan: Plan,
    pub(super) deadline: Instant,
    pub(super) state: State,
    pub(super) waiters: Vec<Waiter>,
    stage: usize,
    previous: Option<Body>,
    /// Index of the first of the pieces.
    base: u64,
    pieces: Vec<Body>,
    /// Whether a piece of a stream that can't be asked for again is missing.
    torn: bool,
    attempt: u32,
    avoid: Vec<Name>,
    /// Whether a server may have worked for the request.
    began: bool,
}

impl Running {
    fn is_final(&self) -> bool {
        self.stage + 1 == self.plan.stages.len()
    }

    /// Returns whether the request goes on when nobody waits for it.
    fn outlives_callers(&self) -> bool {
        !self.plan.idempotent || self.plan.late_answer_wanted
    }

    fn next_piece(&self) -> u64 {
        self.base + self.pieces.len() as u64
    }

    fn pool(&self) -> &Name {
        &self.plan.stages[self.stage].pool
    }

    fn called(&self) -> Option<call::Id> {
        match self.state {
            State::Called { call, .. } | State::Cancelling { call, .. } => Some(call),
            _ => None,
        }
    }

    /// Returns a refusal whose word on running is true for the whole request.
    fn refusal(&self, code: Code, remedy: Remedy, detail: impl Into<Name>) -> Refusal {
        if self.began {
            Refusal::may_have_run(code, remedy, detail)
        } else {
            Refusal::not_run(code, remedy, detail)
        }
    }
}

impl Ledger {
    /// Starts a request that this host hasn't seen.
    pub(super) fn start(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        ask: Box<Ask>,
        digest: Digest,
        plan: Plan,
    ) {
        let request = ask.request.clone();
        let running = Running {
            deadline: cx.now.after_ms(plan.deadline_ms),
            state: State::Resting(cx.now),
            // An order's answer is kept whole for all who ask.
            base: if plan.idempotent { ask.resume_from } else { 0 },
            ask,
            digest,
            plan,
            waiters: vec![waiter],
            stage: 0,
            previous: None,
            pieces: Vec::new(),
            torn: false,
            attempt: 0,
            avoid: Vec::new(),
            began: false,
        };
        let idempotent = running.plan.idempotent;
        let retried = running.ask.retried;
        cx.decide(
            Kind::Admission,
            &request,
            if retried { "retried" } else { "new" },
            "admitted",
            vec![
                value("deadline_ms", running.plan.deadline_ms),
                value("priority", running.plan.priority),
                value("stages", running.plan.stages.len()),
                value("resume_from", running.base),
            ],
        );
        self.running.insert(request.clone(), running);
        if !idempotent {
            self.start_once(cx, &request);
        } else if !self.resume_kept(cx, &request) {
            self.start_idempotent(cx, &request, retried);
        }
    }

    fn start_idempotent(&mut self, cx: &mut Context<'_>, request: &Request, retried: bool) {
        let keepers = if retried {
            super::keep::keepers(cx.view, request)
        } else {
            Vec::new()
        };
        if keepers.is_empty() {
            return self.offer(cx, request);
        }
        for keeper in &keepers {
            self.look(cx, keeper, request);
        }
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        running.state = State::Looking {
            asked: keepers,
            until: cx.now.after_ms(LOOK_MS),
        };
    }

    fn look(&self, cx: &mut Context<'_>, keeper: &host::Id, request: &Request) {
        let digest = self.running.get(request).map(|running| running.digest);
        let message = Message::Look {
            request: request.clone(),
            ticket: None,
            digest,
        };
        cx.send(keeper, message);
    }

    /// Goes on from a stage result that is kept here, and returns whether there was one.
    fn resume_kept(&mut self, cx: &mut Context<'_>, request: &Request) -> bool {
        let Some(entry) = self.answers.get(request) else {
            return false;
        };
        let Content::Stage { index, body } = &entry.content else {
            return false;
        };
        let (index, digest, body) = (*index, entry.digest, body.clone());
        self.resume(cx, request, index, digest, body)
    }

    /// Goes on from the result of an earlier try's stage, and returns whether it fits.
    fn resume(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        index: usize,
        digest: Digest,
        body: Body,
    ) -> bool {
        let Some(running) = self.running.get_mut(request) else {
            return false;
        };
        if running.digest != digest || index + 1 >= running.plan.stages.len() {
            return false;
        }
        running.stage = index + 1;
        running.previous = Some(body);
        running.began = true;
        self.counters.resumed += 1;
        let values = vec![value("stage", index + 1)];
        cx.decide(Kind::Retry, request, "kept_stage", "resume", values);
        self.offer(cx, request);
        true
    }

    /// Takes a keeper's word on a request that waits for it.
    pub(super) fn keeper_said(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: &Request,
        standing: Standing,
    ) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let State::Looking { asked, .. } = &mut running.state else {
            self.counters.late += 1;
            return;
        };
        let Some(place) = asked.iter().position(|host| host == from) else {
            self.counters.unexpected += 1;
            return;
        };
        asked.remove(place);
        let nobody_left = asked.is_empty();
        let resumed = match standing {
            Standing::Ended(verdict) => self.end_with_kept(cx, request, *verdict),
            Standing::Stage {
                index,
                digest,
                body,
            } => self.resume(cx, request, index, digest, body),
            _ => false,
        };
        if !resumed && nobody_left {
            self.offer(cx, request);
        }
    }

    /// Ends a request with the answer that an earlier try had, and returns whether there is one.
    fn end_with_kept(&mut self, cx: &mut Context<'_>, request: &Request, verdict: Verdict) -> bool {
        let Verdict::Ran(answer) = verdict else {
            return false;
        };
        let Some(running) = self.running.get_mut(request) else {
            return false;
        };
        running.base = 0;
        running.began = true;
        self.finish(cx, request, Verdict::Ran(answer));
        true
    }

    /// Adds one more who waits for a request that runs.
    pub(super) fn join(&mut self, cx: &mut Context<'_>, request: &Request, waiter: Waiter) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        cx.decide(Kind::Admission, request, "same_id", "joined", Vec::new());
        if waiter.next < running.base {
            // This run lacks the first pieces, so that it starts again for the one who wants them.
            running.base = waiter.next;
            running.pieces.clear();
            running.waiters.push(waiter);
            if running.is_final() && running.called().is_some() {
                self.abandon(cx, request);
                self.offer(cx, request);
            }
            return;
        }
        let known = running.waiters.iter_mut();
        let known = known
            .filter(|known| known.who == waiter.who)
            .find(|_| matches!(waiter.who, Who::Host(_)));
        if known.is_some() {
            return;
        }
        let answer = Answer {
            pieces: running.pieces.clone(),
            body: Vec::new().into(),
        };
        let mut waiter = waiter;
        if let Who::Caller(caller) = waiter.who
            && running.is_final()
        {
            cx.pieces(caller, waiter.next, running.base, &answer);
            waiter.next = waiter.next.max(running.next_piece());
        }
        running.waiters.push(waiter);
    }

    /// Offers the request's next call to its pool.
    pub(super) fn offer(&mut self, cx: &mut Context<'_>, request: &Request) {
        let id = call::Id(self.calls * self.shards + self.shard);
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        assert!(
            running.plan.idempotent || !running.began,
            "a non-idempotent request isn't called again once a server may have it"
        );
        self.calls += 1;
        let stage = &running.plan.stages[running.stage];
        let resume_from = if running.is_final() {
            running.next_piece()
        } else {
            running.pieces.len() as u64
        };
        let call = Call {
            id,
            request: request.clone(),
            stage: running.stage,
            pipeline: running.plan.name.clone(),
            pool: stage.pool.clone(),
            model: stage.model.clone(),
            attempt: running.attempt,
            idempotent: running.plan.idempotent,
            priority: running.plan.priority,
            deadline: running.deadline,
            late_answer_wanted: running.plan.late_answer_wanted,
            prefix: running.ask.prefix,
            avoid: running.avoid.clone(),
            resume_from,
            body: running.ask.body.clone(),
            previous: running.previous.clone(),
        };
        let timeout_ms = call_timeout_ms(cx.view, &stage.pool);
        // Until its deadline the call may wait in its pool's queue.
        let silent_at = running.deadline.max(cx.now).after_ms(timeout_ms);
        running.state = State::Called {
            call: id,
            silent_at,
        };
        self.by_call.insert(id, request.clone());
        cx.out.push(Action::Offer(call));
    }

    /// Gives up the request's call, whose end isn't waited for.
    fn abandon(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let Some(call) = running.called() else {
            return;
        };
        let pool = running.pool().clone();
        running.began = true;
        running.state = State::Resting(cx.now);
        self.by_call.remove(&call);
        cx.out.push(Action::Cancel { call, pool });
    }

    /// Returns the request of a call that is expected to say something.
    fn expected(&mut self, call: call::Id) -> Option<Request> {
        let request = self.by_call.get(&call).cloned();
        if request.is_none() {
            self.counters.late += 1;
        }
        request
    }

    pub(super) fn piece(&mut self, cx: &mut Context<'_>, call: call::Id, index: u64, piece: Body) {
        let Some(request) = self.expected(call) else {
            return;
        };
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.began = true;
        let is_final = running.is_final();
        let base = if is_final { running.base } else { 0 };
        let expected = base + running.pieces.len() as u64;
        if index < expected {
            self.counters.doubled += 1;
            return;
        }
        if index > expected {
            self.gap(cx, &request, expected, index);
            return;
        }
        let timeout_ms = call_timeout_ms(cx.view, running.pool());
        if let State::Called { silent_at, .. } = &mut running.state {
            *silent_at = cx.now.after_ms(timeout_ms);
        }
        running.pieces.push(piece.clone());
        if is_final {
            deliver_piece(cx, &mut running.waiters, index, &piece);
        }
    }

    /// Asks again from a missing piece on, where that is allowed.
    fn gap(&mut self, cx: &mut Context<'_>, request: &Request, expected: u64, index: u64) {
        self.counters.gaps += 1;
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        if !running.plan.idempotent {
            running.torn = true;
            return;
        }
        let values = vec![value("expected_piece", expected), value("piece", index)];
        cx.decide(Kind::Retry, request, "missing_piece", "resume", values);
        self.abandon(cx, request);
        self.retry(cx, request, None, Code::AnswerLost);
    }

    pub(super) fn ended(&mut self, cx: &mut Context<'_>, call: call::Id, server: Name, end: End) {
        let Some(request) = self.expected(call) else {
            return;
        };
        self.by_call.remove(&call);
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        match end {
            End::Answered(body) => self.answered(cx, &request, body),
            End::Refused | End::NotSent => {
                self.retry(cx, &request, Some(server), Code::NoServer);
            }
            End::Failed => {
                running.began = true;
                self.retry(cx, &request, Some(server), Code::ServerFailed);
            }
            End::Lost | End::Cancelled => {
                running.began = true;
                self.retry(cx, &request, Some(server), Code::AnswerLost);
            }
        }
    }

    fn answered(&mut self, cx: &mut Context<'_>, request: &Request, body: Body) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        running.began = true;
        if running.torn {
            let detail = "a piece of the answer was lost";
            let refusal = Refusal::may_have_run(Code::AnswerLost, Remedy::None, detail);
            return self.finish(cx, request, Verdict::Refused(refusal));
        }
        let pieces = std::mem::take(&mut running.pieces);
        let answer = Answer { pieces, body };
        if running.is_final() {
            return self.finish(cx, request, Verdict::Ran(answer));
        }
        let result = answer.joined();
        let index = running.stage;
        let digest = running.digest;
        running.stage += 1;
        running.previous = Some(result.clone());
        running.attempt = 0;
        running.avoid.clear();
        let content = Content::Stage {
            index,
            body: result,
        };
        self.keep_own(cx, request, None, Class::Stage, digest, content);
        self.offer(cx, request);
    }

    /// Repeats the stage on another server, or refuses the request where that isn't allowed.
    fn retry(&mut self, cx: &mut Context<'_>, request: &Request, server: Option<Name>, code: Code) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        running.attempt += 1;
        if let Some(server) = server
            && !running.avoid.contains(&server)
        {
            running.avoid.push(server);
        }
        let may_repeat = running.plan.idempotent || !running.began;
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
            cx.decide(Kind::Retry, request, code_word(code), "repeat", values);
            let doublings = running.attempt.saturating_sub(2);
            let rest_ms = RETRY_BASE_MS << doublings;
            if running.attempt > 1 {
                running.state = State::Resting(cx.now.after_ms(rest_ms));
            } else {
                self.offer(cx, request);
            }
            return;
        }
        cx.decide(Kind::Retry, request, code_word(code), "give_up", values);
        let detail = format!(
            "attempt {} of {MAX_ATTEMPTS} ended without an answer",
            running.attempt
        );
        let remedy = match (running.plan.idempotent, running.began) {
            (true, _) => Remedy::Wait,
            (false, false) => Remedy::NewId,
            (false, true) => Remedy::None,
        };
        let refusal = running.refusal(code, remedy, detail);
        self.finish(cx, request, Verdict::Refused(refusal));
    }

    pub(super) fn pool_refused(
        &mut self,
        cx: &mut Context<'_>,
        call: call::Id,
        mut refusal: Refusal,
    ) {
        let Some(request) = self.expected(call) else {
            return;
        };
        self.by_call.remove(&call);
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        if running.began {
            // The pool knows only of its own call; an earlier stage or attempt may have run.
            refusal.run = Run::MayHaveRun;
        }
        if !running.plan.idempotent && refusal.remedy != Remedy::ChangeRequest {
            // This id is spent: its word stands.
            refusal.remedy = match refusal.run {
                Run::NotRun => Remedy::NewId,
                Run::MayHaveRun => Remedy::None,
            };
        }
        self.finish(cx, &request, Verdict::Refused(refusal));
    }

    /// Ends a request for good.
    pub(super) fn finish(&mut self, cx: &mut Context<'_>, request: &Request, verdict: Verdict) {
        let Some(running) = self.running.remove(request) else {
            return;
        };
        if let Some(call) = running.called() {
            self.by_call.remove(&call);
        }
        let choice = match &verdict {
            Verdict::Ran(_) => "ran",
            Verdict::AnswerDropped => "answer_dropped",
            Verdict::Refused(refusal) if refusal.run == Run::NotRun => "not_run",
            Verdict::Refused(_) => "may_have_run",
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
        verdict: Verdict,
    ) {
        // An answer without its first pieces is of no use to anybody else.
        if let Verdict::Ran(answer) = verdict
            && running.base == 0
        {
            let content = Content::Whole(answer);
            self.keep_own(cx, request, None, Class::Answer, running.digest, content);
        }
    }

    fn finish_once(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        running: &Running,
        verdict: Verdict,
    ) {
        let ticket = running.ask.ticket.clone();
        match verdict {
            Verdict::Ran(answer) => {
                self.home.end(cx.now, request, home::End::Ran);
                let content = Content::Whole(answer);
                self.keep_own(cx, request, ticket, Class::Order, running.digest, content);
            }
            Verdict::Refused(refusal) => {
                let end = home::End::Refused(refusal.clone());
                self.home.end(cx.now, request, end);
                let copy = Copy {
                    class: Class::Order,
                    digest: running.digest,
                    content: Content::Refused(refusal),
                };
                self.copy(cx, request, ticket, copy);
            }
            Verdict::AnswerDropped => unreachable!("a request that runs has its answer"),
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
            self.finish(cx, &request, Verdict::Refused(refusal));
        }
        self.elsewhere_gone(&who);
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
            return self.too_late(cx, request);
        }
        match &running.state {
            State::Preparing(_) => self.tick_preparing(cx, request),
            State::Looking { until, .. } | State::Resting(until) if cx.now >= *until => {
                self.offer(cx, request);
            }
            State::Called { silent_at, .. } if cx.now >= *silent_at => self.silent(cx, request),
            State::Cancelling { call, until } if cx.now >= *until => {
                let call = *call;
                self.by_call.remove(&call);
                if let Some(running) = self.running.get_mut(request) {
                    running.began = true;
                }
                self.retry(cx, request, None, Code::AnswerLost);
            }
            _ => {}
        }
    }

    fn too_late(&mut self, cx: &mut Context<'_>, request: &Request) {
        self.abandon(cx, request);
        let Some(running) = self.running.get(request) else {
            return;
        };
        let detail = format!("no answer within {} ms", running.plan.deadline_ms);
        let refusal = running.refusal(Code::Deadline, Remedy::Wait, detail);
        self.finish(cx, request, Verdict::Refused(refusal));
    }

    /// Cancels a call that makes no progress.
    fn silent(&mut self, cx: &mut Context<'_>, request: &Request) {
        self.counters.silent += 1;
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let Some(call) = running.called() else {
            return;
        };
        let pool = running.pool().clone();
        cx.decide(Kind::Retry, request, "silent", "cancel", Vec::new());
        if running.plan.idempotent {
            self.abandon(cx, request);
            return self.retry(cx, request, None, Code::AnswerLost);
        }
        // The pool may still say that the call was never sent.
        running.state = State::Cancelling {
            call,
            until: cx.now.after_ms(CANCEL_MS),
        };
        cx.out.push(Action::Cancel { call, pool });
    }
}

fn deliver_piece(cx: &mut Context<'_>, waiters: &mut [Waiter], index: u64, piece: &Body) {
    for waiter in waiters {
        let Who::Caller(caller) = waiter.who else {
            continue;
        };
        if index >= waiter.next {
            waiter.next = index + 1;
            cx.out.push(Action::Piece {
                caller,
                index,
                piece: piece.clone(),
            });
        }
    }
}

fn call_timeout_ms(view: &View, pool: &Name) -> u64 {
    let pool = view.document.pools.get(pool);
    pool.map_or(DEFAULT_CALL_TIMEOUT_MS, |pool| pool.call_timeout_ms)
}

fn code_word(code: Code) -> &'static str {
    match code {
        Code::NoServer => "refused_by_server",
        Code::ServerFailed => "server_failed",
        _ => "answer_lost",
    }
}
