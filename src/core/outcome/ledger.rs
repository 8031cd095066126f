//! The ledger of one shard of requests: from the caller's ask to its whole answer or a true refusal.

use std::collections::BTreeMap;

use super::{
    Action,
    Ask,
    Caller,
    Event,
    Subject, //
};
use crate::{
    core::{
        call::{
            self,
            Body,
            Call,
            End, //
        },
        document::Document,
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// A request that runs.
struct Running {
    caller: Caller,
    ask: Box<Ask>,
    stage: usize,
    deadline: Instant,
    pieces: Vec<u8>,
}

/// The requests of one shard.
pub struct Ledger {
    shard: u64,
    shards: u64,
    calls: u64,
    running: BTreeMap<call::Id, Running>,
}

/// What one step of a request needs: pool, model, count of steps, idempotent, time, late wanted.
struct Step {
    pool: Name,
    model: Option<Name>,
    steps: usize,
    idempotent: bool,
    deadline_ms: u64,
    late_answer_wanted: bool,
    priority: u8,
}

impl Ledger {
    /// Makes an empty ledger for one of several shards.
    pub fn new(shard: u64, shards: u64) -> Self {
        Self {
            shard,
            shards,
            calls: 0,
            running: BTreeMap::new(),
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, view: &View, event: Event) -> Vec<Action> {
        match event {
            Event::Ask { caller, ask } => self.ask(now, view, caller, ask),
            Event::Piece {
                call,
                index,
                piece, //
            } => self.piece(call, index, &piece),
            Event::Ended { call, end, .. } => self.ended(view, call, end),
            Event::Refused { call, refusal } => self.refused(call, refusal),
            _ => Vec::new(),
        }
    }

    /// Returns whether no request runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    fn ask(&mut self, now: Instant, view: &View, caller: Caller, ask: Box<Ask>) -> Vec<Action> {
        let Some(step) = step(&view.document, &ask, 0) else {
            return vec![Action::Refuse {
                caller,
                request: ask.request,
                refusal: Refusal::not_run(
                    Code::Unknown,
                    Remedy::ChangeRequest,
                    "no such pipeline or service",
                ),
            }];
        };
        let deadline = now.after_ms(ask.deadline_ms.unwrap_or(step.deadline_ms));
        let running = Running {
            caller,
            ask,
            stage: 0,
            deadline,
            pieces: Vec::new(),
        };
        self.offer(view, running, None)
    }

    fn offer(&mut self, view: &View, running: Running, previous: Option<Body>) -> Vec<Action> {
        let Some(step) = step(&view.document, &running.ask, running.stage) else {
            return Vec::new();
        };
        let id = call::Id(self.calls * self.shards + self.shard);
        self.calls += 1;
        let call = Call {
            id,
            request: running.ask.request.clone(),
            stage: running.stage,
            pipeline: subject_name(&running.ask.subject).clone(),
            pool: step.pool,
            model: step.model,
            attempt: 0,
            idempotent: step.idempotent,
            priority: step.priority,
            deadline: running.deadline,
            late_answer_wanted: step.late_answer_wanted,
            prefix: running.ask.prefix,
            avoid: Vec::new(),
            resume_from: 0,
            body: running.ask.body.clone(),
            previous,
        };
        self.running.insert(id, running);
        vec![Action::Offer(call)]
    }

    fn piece(&mut self, call: call::Id, index: u64, piece: &Body) -> Vec<Action> {
        let Some(running) = self.running.get_mut(&call) else {
            return Vec::new();
        };
        running.pieces.extend_from_slice(piece);
        vec![Action::Piece {
            caller: running.caller,
            index,
            piece: piece.clone(),
        }]
    }

    fn ended(&mut self, view: &View, call: call::Id, end: End) -> Vec<Action> {
        let Some(mut running) = self.running.remove(&call) else {
            return Vec::new();
        };
        let End::Answered(body) = end else {
            return vec![Action::Refuse {
                caller: running.caller,
                request: running.ask.request,
                refusal: Refusal::may_have_run(
                    Code::ServerFailed,
                    Remedy::NewId,
                    "the backend server failed",
                ),
            }];
        };
        let steps = step(&view.document, &running.ask, running.stage).map_or(0, |step| step.steps);
        if running.stage + 1 < steps {
            running.stage += 1;
            return self.offer(view, running, Some(body));
        }
        let body = if running.pieces.is_empty() {
            body
        } else {
            running.pieces.into()
        };
        vec![Action::Answer {
            caller: running.caller,
            request: running.ask.request,
            body,
        }]
    }

    fn refused(&mut self, call: call::Id, refusal: Refusal) -> Vec<Action> {
        let Some(running) = self.running.remove(&call) else {
            return Vec::new();
        };
        vec![Action::Refuse {
            caller: running.caller,
            request: running.ask.request,
            refusal,
        }]
    }
}

fn subject_name(subject: &Subject) -> &Name {
    match subject {
        Subject::Pipeline(name) | Subject::Service(name) => name,
    }
}

fn step(document: &Document, ask: &Ask, stage: usize) -> Option<Step> {
    match &ask.subject {
        Subject::Pipeline(name) => {
            let pipeline = document.pipelines.get(name)?;
            let stage = pipeline.stages.get(stage)?;
            Some(Step {
                pool: stage.pool.clone(),
                model: stage.model.clone(),
                steps: pipeline.stages.len(),
                idempotent: true,
                deadline_ms: pipeline.deadline_ms,
                late_answer_wanted: pipeline.late_answer_wanted,
                priority: ask.priority.unwrap_or(pipeline.priority),
            })
        }
        Subject::Service(name) => {
            let service = document.services.get(name)?;
            Some(Step {
                pool: service.pool.clone(),
                model: None,
                steps: 1,
                idempotent: service.idempotent,
                deadline_ms: service.deadline_ms,
                late_answer_wanted: false,
                priority: ask.priority.unwrap_or(0),
            })
        }
    }
}
