//! Requests that this host runs: their state, and the calls of their stages.

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

/// Timeout of queries to backup hosts for results of an earlier attempt, in milliseconds.
const BACKUP_QUERY_TIMEOUT_MS: u64 = 150;

/// Call timeout of a pool that was removed from the document, in milliseconds.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 30_000;

/// State of a running request.
#[derive(Debug)]
pub(super) enum State {
    /// The home waits for the witness's acknowledgement.
    Preparing(super::non_idempotent::Preparing),
    /// Backup hosts are queried for results of an earlier attempt.
    QueryingBackups {
        /// Hosts that haven't replied.
        asked: Vec<host::Id>,
        /// When the request starts without their replies.
        until: Instant,
    },
    /// The request waits until this time for its next attempt.
    BackingOff(Instant),
    /// A call was handed to its pool.
    Calling {
        /// The call.
        call: call::Id,
        /// When the call times out, unless it makes progress.
        timeout_at: Instant,
    },
    /// A call that timed out was cancelled.
    Cancelling {
        /// The call.
        call: call::Id,
        /// When the call counts as lost.
        until: Instant,
    },
}

/// A request that this host runs.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) submission: Box<Submission>,
    pub(super) digest: Digest,
    pub(super) plan: Plan,
    pub(super) deadline: Instant,
    pub(super) state: State,
    pub(super) waiters: Vec<Waiter>,
    pub(super) stage: usize,
    /// Result of the previous stage.
    pub(super) previous_result: Option<Body>,
    /// Index of the first entry of `pieces` in the answer.
    pub(super) first_piece: u64,
    pub(super) pieces: Vec<Body>,
    /// Whether the stream of a non-idempotent request, which can't be repeated, lacks a piece.
    pub(super) has_gap: bool,
    /// Number of earlier attempts at the current stage.
    pub(super) attempt: u32,
    /// Servers that failed an attempt at the current stage, which are avoided.
    pub(super) failed_servers: Vec<Name>,
    /// Whether a server may have run any stage of the request.
    pub(super) may_have_run: bool,
}

impl Running {
    pub(super) fn is_final_stage(&self) -> bool {
        self.stage + 1 == self.plan.stages.len()
    }

    /// Returns whether the request continues after all its callers disconnected.
    pub(super) fn outlives_callers(&self) -> bool {
        !self.plan.idempotent || self.plan.late_answer_wanted
    }

    pub(super) fn next_piece(&self) -> u64 {
        self.first_piece + self.pieces.len() as u64
    }

    pub(super) fn pool(&self) -> &Name {
        &self.plan.stages[self.stage].pool
    }

    pub(super) fn current_call(&self) -> Option<call::Id> {
        match self.state {
            State::Calling { call, .. } | State::Cancelling { call, .. } => Some(call),
            _ => None,
        }
    }

    /// Returns a refusal that says whether any stage of the request may have run.
    pub(super) fn refusal(&self, code: Code, remedy: Remedy, detail: impl Into<Name>) -> Refusal {
        if self.may_have_run {
            Refusal::may_have_run(code, remedy, detail)
        } else {
            Refusal::not_run(code, remedy, detail)
        }
    }
}

impl Coordinator {
    /// Starts a request that isn't running here.
    pub(super) fn start(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        submission: Box<Submission>,
        digest: Digest,
        plan: Plan,
    ) {
        let request = submission.request.clone();
        let running = Running {
            deadline: cx.now.after_ms(plan.deadline_ms),
            state: State::BackingOff(cx.now),
            // The answer to a non-idempotent request is stored whole, for all its callers.
            first_piece: if plan.idempotent {
                submission.resume_from
            } else {
                0
            },
            submission,
            digest,
            plan,
            waiters: vec![waiter],
            stage: 0,
            previous_result: None,
            pieces: Vec::new(),
            has_gap: false,
            attempt: 0,
            failed_servers: Vec::new(),
            may_have_run: false,
        };
        let idempotent = running.plan.idempotent;
        let retried = running.submission.retried;
        cx.log_decision(
            Kind::Admission,
            &request,
            if retried { "retried" } else { "new" },
            "admitted",
            vec![
                value("deadline_ms", running.plan.deadline_ms),
                value("priority", running.plan.priority),
                value("stages", running.plan.stages.len()),
                value("resume_from", running.first_piece),
            ],
        );
        self.running.insert(request.clone(), running);
        if !idempotent {
            self.start_non_idempotent(cx, &request);
        } else if !self.resume_from_stored(cx, &request) {
            self.start_idempotent(cx, &request, retried);
        }
    }

    fn start_idempotent(&mut self, cx: &mut Context<'_>, request: &Request, retried: bool) {
        let backup_hosts = if retried {
            super::backup::backup_hosts(cx.view, request)
        } else {
            Vec::new()
        };
        if backup_hosts.is_empty() {
            return self.offer(cx, request);
        }
        for backup_host in &backup_hosts {
            self.query_backup(cx, backup_host, request);
        }
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        running.state = State::QueryingBackups {
            asked: backup_hosts,
            until: cx.now.after_ms(BACKUP_QUERY_TIMEOUT_MS),
        };
    }

    fn query_backup(&self, cx: &mut Context<'_>, backup_host: &host::Id, request: &Request) {
        let digest = self.running.get(request).map(|running| running.digest);
        let message = Message::Query {
            request: request.clone(),
            ticket: None,
            digest,
        };
        cx.send(backup_host, message);
    }

    /// Resumes from a stage result that is stored here. Returns whether there was one.
    fn resume_from_stored(&mut self, cx: &mut Context<'_>, request: &Request) -> bool {
        let Some(entry) = self.answers.get(request) else {
            return false;
        };
        let Content::Stage { index, body } = &entry.content else {
            return false;
        };
        let (index, digest, body) = (*index, entry.digest, body.clone());
        self.resume_from_stage(cx, request, index, digest, body)
    }

    /// Resumes from a stage result of an earlier attempt. Returns whether it matches the request.
    fn resume_from_stage(
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
        running.previous_result = Some(body);
        running.may_have_run = true;
        self.counters.resumed += 1;
        let values = vec![value("stage", index + 1)];
        cx.log_decision(Kind::Retry, request, "kept_stage", "resume", values);
        self.offer(cx, request);
        true
    }

    /// Handles a backup host's reply for a request that waits for it.
    pub(super) fn handle_backup_status(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: &Request,
        status: Status,
    ) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let State::QueryingBackups { asked, .. } = &mut running.state else {
            self.counters.late += 1;
            return;
        };
        let Some(index) = asked.iter().position(|host| host == from) else {
            self.counters.unexpected += 1;
            return;
        };
        asked.remove(index);
        let all_replied = asked.is_empty();
        let resumed = match status {
            Status::Ended(outcome) => self.finish_with_stored(cx, request, *outcome),
            Status::Stage {
                index,
                digest,
                body,
            } => self.resume_from_stage(cx, request, index, digest, body),
            _ => false,
        };
        if !resumed && all_replied {
            self.offer(cx, request);
        }
    }

    /// Ends a request with the stored answer of an earlier attempt. Returns whether there is one.
    fn finish_with_stored(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        outcome: Outcome,
    ) -> bool {
        let Outcome::Answered(answer) = outcome else {
            return false;
        };
        let Some(running) = self.running.get_mut(request) else {
            return false;
        };
        running.first_piece = 0;
        running.may_have_run = true;
        self.finish(cx, request, Outcome::Answered(answer));
        true
    }

    /// Hands the request's next call to its pool.
    pub(super) fn offer(&mut self, cx: &mut Context<'_>, request: &Request) {
        let id = call::Id(self.next_number * self.shard_count + self.shard);
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        assert!(
            running.plan.idempotent || !running.may_have_run,
            "a non-idempotent request isn't called again once a server may have it"
        );
        self.next_number += 1;
        let stage = &running.plan.stages[running.stage];
        let resume_from = if running.is_final_stage() {
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
            prefix_hash: running.submission.prefix_hash,
            failed_servers: running.failed_servers.clone(),
            resume_from,
            body: running.submission.body.clone(),
            previous: running.previous_result.clone(),
        };
        let timeout_ms = call_timeout_ms(cx.view, &stage.pool);
        // The call may wait in its pool's queue until the deadline.
        let timeout_at = running.deadline.max(cx.now).after_ms(timeout_ms);
        running.state = State::Calling {
            call: id,
            timeout_at,
        };
        self.request_by_call.insert(id, request.clone());
        cx.actions.push(Action::Offer(call));
    }

    /// Cancels the request's call without waiting for its end.
    pub(super) fn abandon_call(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let Some(call) = running.current_call() else {
            return;
        };
        let pool = running.pool().clone();
        running.may_have_run = true;
        running.state = State::BackingOff(cx.now);
        self.request_by_call.remove(&call);
        cx.actions.push(Action::Cancel { call, pool });
    }

    /// Returns the request of a current call, or counts the input as late.
    pub(super) fn request_of_call(&mut self, call: call::Id) -> Option<Request> {
        let request = self.request_by_call.get(&call).cloned();
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
