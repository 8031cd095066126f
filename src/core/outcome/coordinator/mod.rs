//! State machine that coordinates the requests of one shard, from submission to answer or refusal.

use std::collections::BTreeMap;

use super::{
    Action, Caller, Event, Message, Outcome, Policy, Status, Submission, Ticket,
    answers::{
        self,
        Answer,
        Content,
        Digest,
        Store, //
    },
    home::{
        self,
        Home, //
    },
    plan, ticket,
    witness::{
        self,
        Witness, //
    },
};
use crate::{
    core::{
        address,
        call::{
            self,
            Request, //
        },
        decision::{
            Decision,
            Kind,
            Value, //
        },
        host,
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

mod backup;
mod finish;
mod non_idempotent;
mod remote;
mod retry;
mod running;
mod stream;

use backup::Backups;
use remote::Remote;
use running::Running;

/// Interval at which expired answers are dropped, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Interval at which the home evicts expired generations, in milliseconds.
const EVICTION_INTERVAL_MS: u64 = 30_000;

/// Counts of discarded input, faults and retries since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Input that arrived after its call or request had ended here.
    pub late: u64,
    /// Pieces that arrived more than once.
    pub duplicates: u64,
    /// Gaps in streams, where a piece was missing.
    pub gaps: u64,
    /// Messages that don't fit the state of their request, or whose sender isn't entitled to them.
    pub unexpected: u64,
    /// Calls that were repeated after a failed attempt.
    pub retries: u64,
    /// Calls that timed out without progress.
    pub timeouts: u64,
    /// Stored answers and stage results that were dropped to free memory.
    pub dropped: u64,
    /// Backups that were not sent, or that no host acknowledged.
    pub failed_backups: u64,
    /// Requests that resumed from the stored stage result of an earlier attempt, here or elsewhere.
    pub resumed: u64,
}

/// Unfinished work, which delays the shutdown of a leaving host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Requests that this host runs.
    pub running: usize,
    /// Requests of other hosts for which callers wait here.
    pub remote: usize,
    /// Stored answers whose backup isn't acknowledged yet.
    pub backups: usize,
}

/// Recipient of an answer or refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Recipient {
    /// A caller of this host.
    Caller(Caller),
    /// Another host, on behalf of its callers.
    Host(host::Id),
}

/// A recipient that waits for a request.
#[derive(Clone, Debug)]
struct Waiter {
    recipient: Recipient,
    /// Index of the first piece that the recipient lacks.
    next_piece: u64,
}

/// Time, view and collected actions of one step.
struct Context<'a> {
    now: Instant,
    view: &'a View,
    actions: Vec<Action>,
}

impl Context<'_> {
    fn send(&mut self, to: &host::Id, message: Message) {
        self.actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    fn log_decision(
        &mut self,
        kind: Kind,
        request: &Request,
        rule: &'static str,
        choice: impl Into<Name>,
        values: Vec<Value>,
    ) {
        self.actions.push(Action::Decide(Decision {
            at: self.now,
            kind,
            subject: request.subject(),
            stage: None,
            rule: rule.into(),
            choice: choice.into(),
            values,
            candidates: Vec::new(),
        }));
    }

    /// Delivers an outcome to a waiter. Pieces of the answer are numbered from `first_piece`.
    fn deliver(&mut self, request: &Request, waiter: &Waiter, first_piece: u64, outcome: &Outcome) {
        let caller = match &waiter.recipient {
            Recipient::Caller(caller) => *caller,
            Recipient::Host(host) => {
                let status = Status::Ended(Box::new(outcome.clone()));
                let request = request.clone();
                self.send(host, Message::Status { request, status });
                return;
            }
        };
        let request = request.clone();
        match outcome {
            Outcome::Answered(answer) => {
                self.deliver_pieces(caller, waiter.next_piece, first_piece, answer);
                let body = answer.joined();
                self.actions.push(Action::Answer {
                    caller,
                    request,
                    body,
                });
            }
            Outcome::AnswerDropped => self.actions.push(Action::Refuse {
                caller,
                request,
                refusal: answer_dropped(),
            }),
            Outcome::Refused(refusal) => self.actions.push(Action::Refuse {
                caller,
                request,
                refusal: refusal.clone(),
            }),
        }
    }

    fn deliver_pieces(
        &mut self,
        caller: Caller,
        next_piece: u64,
        first_piece: u64,
        answer: &Answer,
    ) {
        for (index, piece) in (first_piece..).zip(&answer.pieces) {
            if index >= next_piece {
                self.actions.push(Action::Piece {
                    caller,
                    index,
                    piece: piece.clone(),
                });
            }
        }
    }
}

fn answer_dropped() -> Refusal {
    Refusal::may_have_run(
        Code::AnswerDropped,
        Remedy::None,
        "the request ran, and its answer was dropped for age or memory",
    )
}

fn id_reused() -> Refusal {
    Refusal::may_have_run(
        Code::IdReused,
        Remedy::NewId,
        "the id was used before with another subject or body",
    )
}

/// Coordinates the requests of one shard, in the roles of home, witness and backup host.
pub struct Coordinator {
    shard: u64,
    shard_count: u64,
    policy: Policy,
    /// Source of call ids and nonces.
    next_number: u64,
    running: BTreeMap<Request, Running>,
    request_by_call: BTreeMap<call::Id, Request>,
    /// Requests of other hosts for which callers wait here.
    remote: BTreeMap<Request, Remote>,
    home: Home,
    witness: Witness,
    answers: Store,
    backups: Backups,
    leaving_since: Option<Instant>,
    last_expiry: Instant,
    last_eviction: Instant,
    counters: Counters,
}

impl Coordinator {
    /// Creates a coordinator without requests for shard number `shard`.
    pub fn new(shard: u64, shard_count: u64, policy: Policy) -> Self {
        let budget = answers::BUDGET_BYTES / shard_count as usize;
        Self {
            shard,
            shard_count,
            policy,
            next_number: 0,
            running: BTreeMap::new(),
            request_by_call: BTreeMap::new(),
            remote: BTreeMap::new(),
            home: Home::new(home::MAX_RECORDS),
            witness: Witness::new(witness::MAX_RECORDS),
            answers: Store::new(budget),
            backups: Backups::default(),
            leaving_since: None,
            last_expiry: Instant::ZERO,
            last_eviction: Instant::ZERO,
            counters: Counters::default(),
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, now: Instant, view: &View, event: Event) -> Vec<Action> {
        let actions = Vec::new();
        let mut cx = Context { now, view, actions };
        if view.leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
        match event {
            Event::Submit { caller, submission } => {
                let next_piece = submission.resume_from;
                let recipient = Recipient::Caller(caller);
                self.submit(
                    &mut cx,
                    Waiter {
                        recipient,
                        next_piece,
                    },
                    submission,
                );
            }
            Event::Fetch {
                caller,
                request,
                ticket,
                resume_from,
            } => {
                let recipient = Recipient::Caller(caller);
                let next_piece = resume_from;
                self.fetch(
                    &mut cx,
                    Waiter {
                        recipient,
                        next_piece,
                    },
                    request,
                    ticket,
                );
            }
            Event::CallerDisconnected(caller) => self.handle_disconnect(&mut cx, caller),
            Event::Refused { call, refusal } => self.handle_pool_refusal(&mut cx, call, refusal),
            Event::Piece { call, index, piece } => self.handle_piece(&mut cx, call, index, piece),
            Event::Ended { call, server, end } => self.handle_call_end(&mut cx, call, server, end),
            Event::Message { from, message } => self.handle_message(&mut cx, from, message),
            Event::Tick => self.tick(&mut cx),
        }
        cx.actions
    }

    /// Returns whether the [backlog](Self::backlog) is empty.
    pub fn is_idle(&self) -> bool {
        self.backlog() == Backlog::default()
    }

    /// Returns the number of unfinished requests and backups.
    pub fn backlog(&self) -> Backlog {
        Backlog {
            running: self.running.len(),
            remote: self.remote.len(),
            backups: self.backups.len(),
        }
    }

    /// Returns the counts of discarded input, faults and retries.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the stored answers.
    pub fn answers(&self) -> &Store {
        &self.answers
    }

    /// Returns the records of the home role.
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// Returns the records of the witness role.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        self.tick_running(cx);
        self.tick_remote(cx);
        self.tick_backups(cx);
        if cx.now.since_ms(self.last_expiry) >= EXPIRY_INTERVAL_MS {
            self.last_expiry = cx.now;
            self.answers.expire(cx.now);
        }
        if cx.now.since_ms(self.last_eviction) >= EVICTION_INTERVAL_MS {
            self.last_eviction = cx.now;
            self.home.evict_expired(cx.now);
        }
    }

    fn submit(&mut self, cx: &mut Context<'_>, waiter: Waiter, submission: Box<Submission>) {
        let digest = answers::digest(&submission);
        if let Some(running) = self.running.get(&submission.request) {
            if running.digest == digest {
                self.join(cx, &submission.request, waiter);
            } else {
                self.refuse(cx, &submission.request, &waiter, "id_reused", id_reused());
            }
            return;
        }
        let plan = plan::plan(&cx.view.document, &submission);
        match (plan, &submission.ticket) {
            (Some(plan), _) if plan.idempotent => {
                self.submit_idempotent(cx, waiter, submission, digest, plan)
            }
            (Some(plan), _) => {
                self.submit_non_idempotent(cx, waiter, submission, digest, Some(plan))
            }
            // The home may have a newer configuration, in which the subject exists.
            (None, Some(_)) => self.submit_non_idempotent(cx, waiter, submission, digest, None),
            (None, None) => self.refuse(
                cx,
                &submission.request,
                &waiter,
                "unknown",
                unknown_subject(),
            ),
        }
    }

    fn submit_idempotent(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        submission: Box<Submission>,
        digest: Digest,
        plan: plan::Plan,
    ) {
        if let Some(entry) = self.answers.get(&submission.request) {
            if entry.digest != digest {
                return self.refuse(cx, &submission.request, &waiter, "id_reused", id_reused());
            }
            if let Content::Answer(answer) = &entry.content {
                let outcome = Outcome::Answered(answer.clone());
                cx.log_decision(
                    Kind::Outcome,
                    &submission.request,
                    "kept",
                    "answer",
                    Vec::new(),
                );
                return cx.deliver(&submission.request, &waiter, 0, &outcome);
            }
        }
        if let Some(refusal) = self.start_refusal(cx) {
            return self.refuse(cx, &submission.request, &waiter, "not_serving", refusal);
        }
        self.start(cx, waiter, submission, digest, plan);
    }

    /// Returns the refusal if this host doesn't start new requests.
    fn start_refusal(&self, cx: &Context<'_>) -> Option<Refusal> {
        if !cx.view.serving {
            let detail = "this host has not caught up with the accepted configuration";
            let refusal = Refusal::not_run(Code::Starting, Remedy::AnotherHost, detail);
            return Some(refusal);
        }
        let leaving_ms = cx.now.since_ms(self.leaving_since?);
        // Callers may still use addresses that were given out before the host began to leave.
        if leaving_ms < address::drain_ms() {
            return None;
        }
        let detail = format!("this host has been leaving for {leaving_ms} ms");
        Some(Refusal::not_run(Code::Leaving, Remedy::AnotherHost, detail))
    }

    fn refuse(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        waiter: &Waiter,
        rule: &'static str,
        refusal: Refusal,
    ) {
        cx.log_decision(Kind::Admission, request, rule, "refused", Vec::new());
        cx.deliver(request, waiter, 0, &Outcome::Refused(refusal));
    }

    fn handle_message(&mut self, cx: &mut Context<'_>, from: host::Id, message: Message) {
        match message {
            Message::Prepare {
                request,
                ticket,
                nonce,
                digest,
            } => self.handle_prepare(cx, &from, request, &ticket, nonce, digest),
            Message::Prepared { request, nonce } => {
                self.handle_prepared(cx, &from, &request, nonce)
            }
            Message::Rejected {
                request,
                nonce,
                reason,
            } => self.handle_rejected(cx, &from, &request, nonce, reason),
            Message::Seal {
                request,
                ticket,
                digest,
            } => {
                let status = self.seal(cx.now, cx.view, &request, &ticket, digest);
                cx.send(&from, Message::Status { request, status });
            }
            Message::Query {
                request,
                ticket,
                digest,
            } => {
                let status = self.status(cx.now, cx.view, &request, ticket.as_ref(), digest);
                cx.send(&from, Message::Status { request, status });
            }
            Message::Forward(submission) => self.handle_forward(cx, from, submission),
            Message::Status { request, status } => {
                self.handle_status(cx, &from, &request, status);
            }
            Message::StoreBackup {
                request,
                ticket,
                backup,
            } => self.handle_store_backup(cx, &from, request, ticket, backup),
            Message::BackupStored { request, part } => {
                self.handle_backup_stored(&from, &request, part)
            }
        }
    }

    /// Returns what this host knows about a request, without sealing or starting it.
    fn status(
        &mut self,
        now: Instant,
        view: &View,
        request: &Request,
        ticket: Option<&Ticket>,
        digest: Option<Digest>,
    ) -> Status {
        if let Some(entry) = self.answers.get(request) {
            if digest.is_some_and(|digest| digest != entry.digest) {
                return Status::Ended(Box::new(Outcome::Refused(id_reused())));
            }
            let outcome = match &entry.content {
                Content::Answer(answer) => Some(Outcome::Answered(answer.clone())),
                Content::Refused(refusal) => Some(Outcome::Refused(refusal.clone())),
                Content::Stage { .. } => None,
            };
            if let Some(outcome) = outcome {
                return Status::Ended(Box::new(outcome));
            }
        }
        if self.running.contains_key(request) {
            return Status::Running;
        }
        if let Some(entry) = self.answers.get(request)
            && let Content::Stage { index, body } = &entry.content
        {
            return Status::Stage {
                index: *index,
                digest: entry.digest,
                body: body.clone(),
            };
        }
        if let Some(record) = self.home.get(request) {
            return match &record.end {
                None => Status::Running,
                Some((_, home::End::Ran)) => Status::Ended(Box::new(Outcome::AnswerDropped)),
                Some((_, home::End::Refused(refusal))) => {
                    Status::Ended(Box::new(Outcome::Refused(refusal.clone())))
                }
            };
        }
        match ticket {
            Some(ticket) if ticket.witness == view.own.id => {
                self.witness.status(now, request, ticket)
            }
            Some(ticket) if ticket.home == view.own.id && self.home.is_evicted(ticket) => {
                Status::Evicted
            }
            _ if self.answers.was_dropped(request) => {
                Status::Ended(Box::new(Outcome::AnswerDropped))
            }
            _ => Status::Unknown,
        }
    }
}

fn unknown_subject() -> Refusal {
    Refusal::not_run(
        Code::Unknown,
        Remedy::ChangeRequest,
        "no such pipeline or service",
    )
}
