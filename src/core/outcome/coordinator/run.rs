//! Requests that run here: their stages, retries and streams.

use super::{
    Context,
    Coordinator,
    Waiter, //
};
use crate::{
    core::{
        call::{
            self,
            Body,
            Call,
            Request, //
        },
        decision::{
            Kind,
            value, //
        },
        host,
        outcome::{
            Action,
            Message,
            Outcome,
            Status,
            Submission,
            answers::{
                Content,
                Digest, //
            },
            plan::Plan, //
        },
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
        view::View, //
    },
    names::Name,
    time::Instant, //
};

/// Time for which keepers are asked for the results of an earlier try, in milliseconds.
const LOOK_MS: u64 = 150;

/// Time in which a call may run whose pool isn't known any more, in milliseconds.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 30_000;

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
    pub(super) ask: Box<Submission>,
    pub(super) digest: Digest,
    pub(super) plan: Plan,
    pub(super) deadline: Instant,
    pub(super) state: State,
    pub(super) waiters: Vec<Waiter>,
    pub(super) stage: usize,
    pub(super) previous: Option<Body>,
    /// Index of the first of the pieces.
    pub(super) base: u64,
    pub(super) pieces: Vec<Body>,
    /// Whether a piece of a stream that can't be asked for again is missing.
    pub(super) torn: bool,
    pub(super) attempt: u32,
    pub(super) avoid: Vec<Name>,
    /// Whether a server may have worked for the request.
    pub(super) began: bool,
}

impl Running {
    pub(super) fn is_final(&self) -> bool {
        self.stage + 1 == self.plan.stages.len()
    }

    /// Returns whether the request goes on when nobody waits for it.
    pub(super) fn outlives_callers(&self) -> bool {
        !self.plan.idempotent || self.plan.late_answer_wanted
    }

    pub(super) fn next_piece(&self) -> u64 {
        self.base + self.pieces.len() as u64
    }

    pub(super) fn pool(&self) -> &Name {
        &self.plan.stages[self.stage].pool
    }

    pub(super) fn called(&self) -> Option<call::Id> {
        match self.state {
            State::Called { call, .. } | State::Cancelling { call, .. } => Some(call),
            _ => None,
        }
    }

    /// Returns a refusal whose word on running is true for the whole request.
    pub(super) fn refusal(&self, code: Code, remedy: Remedy, detail: impl Into<Name>) -> Refusal {
        if self.began {
            Refusal::may_have_run(code, remedy, detail)
        } else {
            Refusal::not_run(code, remedy, detail)
        }
    }
}

impl Coordinator {
    /// Starts a request that this host hasn't seen.
    pub(super) fn start(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        ask: Box<Submission>,
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
        let message = Message::Query {
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
        standing: Status,
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
            Status::Ended(verdict) => self.end_with_kept(cx, request, *verdict),
            Status::Stage {
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
    fn end_with_kept(&mut self, cx: &mut Context<'_>, request: &Request, verdict: Outcome) -> bool {
        let Outcome::Answered(answer) = verdict else {
            return false;
        };
        let Some(running) = self.running.get_mut(request) else {
            return false;
        };
        running.base = 0;
        running.began = true;
        self.finish(cx, request, Outcome::Answered(answer));
        true
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
            prefix: running.ask.prefix_hash,
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
    pub(super) fn abandon(&mut self, cx: &mut Context<'_>, request: &Request) {
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
    pub(super) fn expected(&mut self, call: call::Id) -> Option<Request> {
        let request = self.by_call.get(&call).cloned();
        if request.is_none() {
            self.counters.late += 1;
        }
        request
    }
}

pub(super) fn call_timeout_ms(view: &View, pool: &Name) -> u64 {
    let pool = view.document.pools.get(pool);
    pool.map_or(DEFAULT_CALL_TIMEOUT_MS, |pool| pool.call_timeout_ms)
}
