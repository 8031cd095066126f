//! The ledger of one shard of requests: from the caller's ask to its whole answer or a true refusal.

use std::collections::BTreeMap;

use super::{
    Action, Caller, Event, Message, Outcome, Policy, Status, Submission, Ticket,
    answers::{
        self,
        Answer,
        Content,
        Digest, //
        Store,
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

mod elsewhere;
mod finish;
mod keep;
mod order;
mod retry;
mod run;
mod stream;

use elsewhere::Elsewhere;
use keep::Copies;
use run::Running;

/// Time between two looks for answers that are too old to keep, in milliseconds.
const EXPIRE_EVERY_MS: u64 = 1_000;

/// Time between two looks for generations that the home may forget, in milliseconds.
const FORGET_EVERY_MS: u64 = 30_000;

/// What was dropped because it didn't match, and how often requests were repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Pieces and ends of calls that are no longer expected.
    pub late: u64,
    /// Pieces that came twice.
    pub duplicates: u64,
    /// Streams in which a piece was missing.
    pub gaps: u64,
    /// Messages that fit no state of their request, or came from a host that may not send them.
    pub unexpected: u64,
    /// Calls repeated after an attempt failed.
    pub retries: u64,
    /// Calls that made no progress in their time.
    pub timeouts: u64,
    /// Kept answers and stage results that were dropped for memory.
    pub dropped: u64,
    /// Copies that no keeper acknowledged.
    pub failed_backups: u64,
    /// Requests that went on from a stage result that another life or host had finished.
    pub resumed: u64,
}

/// What keeps a leaving host from ending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Requests that run here.
    pub running: usize,
    /// Requests of other homes that callers here wait for.
    pub remote: usize,
    /// Kept answers of which no keeper acknowledged a copy yet.
    pub backups: usize,
}

/// Who waits for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Who {
    /// A caller of this host.
    Caller(Caller),
    /// Another host, on behalf of its callers.
    Host(host::Id),
}

/// Somebody who waits, and the first piece that it hasn't got.
#[derive(Clone, Debug)]
struct Waiter {
    who: Who,
    next: u64,
}

/// One step of a ledger: the time, what is known, and what follows.
struct Context<'a> {
    now: Instant,
    view: &'a View,
    out: Vec<Action>,
}

impl Context<'_> {
    fn send(&mut self, to: &host::Id, message: Message) {
        self.out.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    fn decide(
        &mut self,
        kind: Kind,
        request: &Request,
        rule: &'static str,
        choice: impl Into<Name>,
        values: Vec<Value>,
    ) {
        self.out.push(Action::Decide(Decision {
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

    /// Gives a verdict to one who waits.
    fn deliver(&mut self, request: &Request, waiter: &Waiter, base: u64, verdict: &Outcome) {
        let caller = match &waiter.who {
            Who::Caller(caller) => *caller,
            Who::Host(host) => {
                let standing = Status::Ended(Box::new(verdict.clone()));
                let request = request.clone();
                self.send(
                    host,
                    Message::Status {
                        request,
                        status: standing,
                    },
                );
                return;
            }
        };
        let request = request.clone();
        match verdict {
            Outcome::Answered(answer) => {
                self.pieces(caller, waiter.next, base, answer);
                let body = answer.joined();
                self.out.push(Action::Answer {
                    caller,
                    request,
                    body,
                });
            }
            Outcome::AnswerDropped => self.out.push(Action::Refuse {
                caller,
                request,
                refusal: answer_dropped(),
            }),
            Outcome::Refused(refusal) => self.out.push(Action::Refuse {
                caller,
                request,
                refusal: refusal.clone(),
            }),
        }
    }

    fn pieces(&mut self, caller: Caller, next: u64, base: u64, answer: &Answer) {
        for (index, piece) in (base..).zip(&answer.pieces) {
            if index >= next {
                self.out.push(Action::Piece {
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

/// The requests of one shard.
pub struct Coordinator {
    shard: u64,
    shards: u64,
    policy: Policy,
    calls: u64,
    running: BTreeMap<Request, Running>,
    by_call: BTreeMap<call::Id, Request>,
    elsewhere: BTreeMap<Request, Elsewhere>,
    home: Home,
    witness: Witness,
    answers: Store,
    copies: Copies,
    leaving_since: Option<Instant>,
    expired_at: Instant,
    forgot_at: Instant,
    counters: Counters,
}

impl Coordinator {
    /// Makes an empty ledger for one of several shards.
    pub fn new(shard: u64, shards: u64, policy: Policy) -> Self {
        let budget = answers::BUDGET_BYTES / shards as usize;
        Self {
            shard,
            shards,
            policy,
            calls: 0,
            running: BTreeMap::new(),
            by_call: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            home: Home::new(home::MAX_RECORDS),
            witness: Witness::new(witness::MAX_RECORDS),
            answers: Store::new(budget),
            copies: Copies::default(),
            leaving_since: None,
            expired_at: Instant::ZERO,
            forgot_at: Instant::ZERO,
            counters: Counters::default(),
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, view: &View, event: Event) -> Vec<Action> {
        let out = Vec::new();
        let mut cx = Context { now, view, out };
        if view.leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
        }
        match event {
            Event::Submit {
                caller,
                submission: ask,
            } => {
                let next = ask.resume_from;
                let who = Who::Caller(caller);
                self.ask(&mut cx, Waiter { who, next }, ask);
            }
            Event::Fetch {
                caller,
                request,
                ticket,
                resume_from,
            } => {
                let who = Who::Caller(caller);
                let next = resume_from;
                self.fetch(&mut cx, Waiter { who, next }, request, ticket);
            }
            Event::CallerDisconnected(caller) => self.caller_gone(&mut cx, caller),
            Event::Refused { call, refusal } => self.pool_refused(&mut cx, call, refusal),
            Event::Piece { call, index, piece } => self.piece(&mut cx, call, index, piece),
            Event::Ended { call, server, end } => self.ended(&mut cx, call, server, end),
            Event::Message { from, message } => self.message(&mut cx, from, message),
            Event::Tick => self.tick(&mut cx),
        }
        cx.out
    }

    /// Returns whether nothing runs, nobody waits, and every kept answer has its copy.
    pub fn is_idle(&self) -> bool {
        self.backlog() == Backlog::default()
    }

    /// Returns what is unfinished here.
    pub fn backlog(&self) -> Backlog {
        Backlog {
            running: self.running.len(),
            remote: self.elsewhere.len(),
            backups: self.copies.len(),
        }
    }

    /// Returns what was dropped and repeated since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the kept answers.
    pub fn answers(&self) -> &Store {
        &self.answers
    }

    /// Returns the home's memory.
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// Returns the witness's memory.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        self.tick_running(cx);
        self.tick_elsewhere(cx);
        self.tick_copies(cx);
        if cx.now.since_ms(self.expired_at) >= EXPIRE_EVERY_MS {
            self.expired_at = cx.now;
            self.answers.expire(cx.now);
        }
        if cx.now.since_ms(self.forgot_at) >= FORGET_EVERY_MS {
            self.forgot_at = cx.now;
            self.home.evict_expired(cx.now);
        }
    }

    fn ask(&mut self, cx: &mut Context<'_>, waiter: Waiter, ask: Box<Submission>) {
        let digest = answers::digest(&ask);
        if let Some(running) = self.running.get(&ask.request) {
            if running.digest == digest {
                self.join(cx, &ask.request, waiter);
            } else {
                self.refuse(cx, &ask.request, &waiter, "id_reused", id_reused());
            }
            return;
        }
        let plan = plan::plan(&cx.view.document, &ask);
        match (plan, &ask.ticket) {
            (Some(plan), _) if plan.idempotent => {
                self.ask_idempotent(cx, waiter, ask, digest, plan)
            }
            (Some(plan), _) => self.ask_once(cx, waiter, ask, digest, Some(plan)),
            // What is unknown here may be known at its home.
            (None, Some(_)) => self.ask_once(cx, waiter, ask, digest, None),
            (None, None) => self.refuse(cx, &ask.request, &waiter, "unknown", unknown_subject()),
        }
    }

    fn ask_idempotent(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        ask: Box<Submission>,
        digest: Digest,
        plan: plan::Plan,
    ) {
        if let Some(entry) = self.answers.get(&ask.request) {
            if entry.digest != digest {
                return self.refuse(cx, &ask.request, &waiter, "id_reused", id_reused());
            }
            if let Content::Whole(answer) = &entry.content {
                let verdict = Outcome::Answered(answer.clone());
                cx.decide(Kind::Outcome, &ask.request, "kept", "answer", Vec::new());
                return cx.deliver(&ask.request, &waiter, 0, &verdict);
            }
        }
        if let Some(refusal) = self.refuses_new(cx) {
            return self.refuse(cx, &ask.request, &waiter, "not_serving", refusal);
        }
        self.start(cx, waiter, ask, digest, plan);
    }

    /// Returns why this host starts nothing new, where it doesn't.
    fn refuses_new(&self, cx: &Context<'_>) -> Option<Refusal> {
        if !cx.view.serving {
            let detail = "this host has not caught up with the accepted configuration";
            let refusal = Refusal::not_run(Code::Starting, Remedy::AnotherHost, detail);
            return Some(refusal);
        }
        let leaving_ms = cx.now.since_ms(self.leaving_since?);
        // Callers hold addresses that were given out before.
        if leaving_ms < address::linger_ms() {
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
        cx.decide(Kind::Admission, request, rule, "refused", Vec::new());
        cx.deliver(request, waiter, 0, &Outcome::Refused(refusal));
    }

    fn message(&mut self, cx: &mut Context<'_>, from: host::Id, message: Message) {
        match message {
            Message::Prepare {
                request,
                ticket,
                nonce,
                digest,
            } => self.prepare(cx, &from, request, &ticket, nonce, digest),
            Message::Prepared { request, nonce } => self.prepared(cx, &from, &request, nonce),
            Message::Rejected {
                request,
                nonce,
                reason: why,
            } => self.unprepared(cx, &from, &request, nonce, why),
            Message::Seal {
                request,
                ticket,
                digest,
            } => {
                let standing = self.seal(cx.now, cx.view, &request, &ticket, digest);
                cx.send(
                    &from,
                    Message::Status {
                        request,
                        status: standing,
                    },
                );
            }
            Message::Query {
                request,
                ticket,
                digest,
            } => {
                let standing = self.status(cx.now, cx.view, &request, ticket.as_ref(), digest);
                cx.send(
                    &from,
                    Message::Status {
                        request,
                        status: standing,
                    },
                );
            }
            Message::Forward(ask) => self.forwarded(cx, from, ask),
            Message::Status {
                request,
                status: standing,
            } => {
                self.handle_status(cx, &from, &request, standing);
            }
            Message::StoreBackup {
                request,
                ticket,
                backup: copy,
            } => self.keep(cx, &from, request, ticket, copy),
            Message::BackupStored { request, part } => self.kept(&from, &request, part),
        }
    }

    /// Returns what this host knows of a request, changing nothing.
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
            let verdict = match &entry.content {
                Content::Whole(answer) => Some(Outcome::Answered(answer.clone())),
                Content::Refused(refusal) => Some(Outcome::Refused(refusal.clone())),
                Content::Stage { .. } => None,
            };
            if let Some(verdict) = verdict {
                return Status::Ended(Box::new(verdict));
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
