//! Requests of other homes, and answers of other hosts, that callers ask for here.
//!
//! This host never runs them. It asks the home, and where that is silent the witness, whose seal
//! makes "not run" true for ever.

use super::{
    Context,
    Coordinator,
    Policy,
    Waiter,
    Who,
    answer_dropped,
    id_reused,
    keep,
    order::forgotten, //
};
use crate::{
    core::{
        call::Request,
        decision::{
            Kind,
            value, //
        },
        host,
        outcome::{
            Message,
            Outcome,
            Status,
            Submission,
            Ticket,
            answers::Digest,
            plan, //
        },
        refusal::{
            Code,
            Refusal,
            Remedy,
            Run, //
        },
    },
    time::Instant,
};

/// Time for which a home may be silent before the witness is asked, in milliseconds.
const HOME_SILENT_MS: u64 = 300;

/// Time after which home, witness and keepers are asked again, doubled each time, in milliseconds.
const ASK_AGAIN_MS: u64 = 100;

/// Longest time between two such questions, in milliseconds.
const ASK_AGAIN_MAX_MS: u64 = 1_000;

/// Time for which an answer is looked for past its deadline, in milliseconds.
const EXTRA_MS: u64 = 500;

/// Time for which a caller's fetch looks for an answer, in milliseconds.
const FETCH_MS: u64 = 1_000;

/// Time by which the home's word that a request runs prolongs the wait, in milliseconds.
const RUNNING_MS: u64 = 3_000;

/// A request that runs elsewhere, or did.
pub(super) struct Elsewhere {
    waiters: Vec<Waiter>,
    /// What was asked, nothing where callers only fetch.
    ask: Option<Box<Submission>>,
    digest: Option<Digest>,
    ticket: Option<Ticket>,
    /// Keepers that have not said that they know nothing.
    keepers: Vec<host::Id>,
    heard_home_at: Instant,
    again_at: Instant,
    wait_ms: u64,
    until: Instant,
    /// Whether the witness said that the request may have run.
    prepared: bool,
    /// Whether the witness has forgotten the ticket's generation.
    forgotten: bool,
}

impl Coordinator {
    /// Takes an ask for a request that another host alone may run.
    pub(super) fn ask_elsewhere(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        ask: Box<Submission>,
        digest: Digest,
    ) {
        if matches!(waiter.who, Who::Host(_)) {
            self.counters.unexpected += 1;
            return;
        }
        let request = ask.request.clone();
        let plan = plan::plan(&cx.view.document, &ask);
        let deadline_ms = plan.map_or(0, |plan| plan.deadline_ms);
        let until = cx.now.after_ms(deadline_ms + EXTRA_MS);
        if let Some(known) = self.elsewhere.get_mut(&request) {
            if known.digest.is_some_and(|known| known != digest) {
                return self.refuse(cx, &request, &waiter, "id_reused", id_reused());
            }
            known.waiters.push(waiter);
            known.ask = Some(ask);
            known.digest = Some(digest);
            known.until = known.until.max(until);
            return;
        }
        let ticket = ask.ticket.clone();
        let elsewhere = Elsewhere {
            ask: Some(ask),
            digest: Some(digest),
            ..elsewhere(cx, &request, waiter, ticket, until)
        };
        let values = vec![value("wait_ms", deadline_ms + EXTRA_MS)];
        cx.decide(Kind::Admission, &request, "other_home", "ask_home", values);
        self.elsewhere.insert(request.clone(), elsewhere);
        self.ask_around(cx, &request);
    }

    /// Takes a caller's question for an answer.
    pub(super) fn fetch(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        request: Request,
        ticket: Option<Ticket>,
    ) {
        if self.running.contains_key(&request) {
            return self.join(cx, &request, waiter);
        }
        let known = self.status(cx.now, cx.view, &request, ticket.as_ref(), None);
        if let Some(verdict) = final_word(&known) {
            cx.decide(Kind::Outcome, &request, "fetch", "answered", Vec::new());
            return cx.deliver(&request, &waiter, 0, &verdict);
        }
        if let Some(known) = self.elsewhere.get_mut(&request) {
            known.waiters.push(waiter);
            return;
        }
        let until = cx.now.after_ms(FETCH_MS);
        let elsewhere = elsewhere(cx, &request, waiter, ticket, until);
        cx.decide(Kind::Admission, &request, "fetch", "ask_around", Vec::new());
        self.elsewhere.insert(request.clone(), elsewhere);
        self.ask_around(cx, &request);
    }

    /// Asks home, witness and keepers once.
    fn ask_around(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(elsewhere) = self.elsewhere.get_mut(request) else {
            return;
        };
        elsewhere.again_at = cx.now.after_ms(elsewhere.wait_ms);
        elsewhere.wait_ms = (elsewhere.wait_ms * 2).min(ASK_AGAIN_MAX_MS);
        let look = Message::Query {
            request: request.clone(),
            ticket: elsewhere.ticket.clone(),
            digest: elsewhere.digest,
        };
        for keeper in &elsewhere.keepers {
            cx.send(keeper, look.clone());
        }
        let Some(ticket) = elsewhere.ticket.clone() else {
            return;
        };
        let home_known = cx.view.member(&ticket.home).is_some();
        if home_known {
            let message = match &elsewhere.ask {
                Some(ask) => Message::Forward(ask.clone()),
                None => look.clone(),
            };
            cx.send(&ticket.home, message);
        }
        let silent_ms = cx.now.since_ms(elsewhere.heard_home_at);
        if (!home_known || silent_ms >= HOME_SILENT_MS) && self.policy != Policy::HomeAlone {
            self.ask_witness(cx, request, &ticket, look);
        }
    }

    fn ask_witness(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        ticket: &Ticket,
        look: Message,
    ) {
        let Some(elsewhere) = self.elsewhere.get(request) else {
            return;
        };
        let sealed = elsewhere.ask.as_ref().and(elsewhere.digest);
        if ticket.witness == cx.view.own.id {
            let standing = match sealed {
                Some(digest) => self.seal(cx.now, cx.view, request, ticket, digest),
                None => self.status(cx.now, cx.view, request, Some(ticket), elsewhere.digest),
            };
            let own = cx.view.own.id.clone();
            return self.handle_status(cx, &own, request, standing);
        }
        let message = match sealed {
            Some(digest) => Message::Seal {
                request: request.clone(),
                ticket: ticket.clone(),
                digest,
            },
            None => look,
        };
        cx.send(&ticket.witness, message);
    }

    /// Takes another host's word on a request.
    pub(super) fn handle_status(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: &Request,
        standing: Status,
    ) {
        if self.running.contains_key(request) {
            return self.keeper_said(cx, from, request, standing);
        }
        let Some(elsewhere) = self.elsewhere.get_mut(request) else {
            self.counters.late += 1;
            return;
        };
        let ticket = elsewhere.ticket.as_ref();
        let is_home = ticket.is_some_and(|ticket| ticket.home == *from);
        let is_witness = ticket.is_some_and(|ticket| ticket.witness == *from);
        let is_keeper = elsewhere.keepers.contains(from);
        if !is_home && !is_witness && !is_keeper {
            self.counters.unexpected += 1;
            return;
        }
        if is_home {
            elsewhere.heard_home_at = cx.now;
        }
        match &standing {
            Status::Running => {
                elsewhere.until = elsewhere.until.max(cx.now.after_ms(RUNNING_MS));
            }
            Status::Prepared => elsewhere.prepared = true,
            Status::Evicted => elsewhere.forgotten = true,
            // A home that knows nothing answers a forwarded ask with what becomes of it.
            Status::Unknown | Status::Stage { .. } => {
                elsewhere.keepers.retain(|keeper| keeper != from);
            }
            Status::Sealed | Status::Ended(_) => {}
        }
        let ended = matches!(&standing, Status::Ended(_));
        if !is_home && !is_witness && !ended {
            return;
        }
        if let Some(verdict) = final_word(&standing) {
            self.conclude(cx, request, verdict);
        }
    }

    fn conclude(&mut self, cx: &mut Context<'_>, request: &Request, verdict: Outcome) {
        let Some(elsewhere) = self.elsewhere.remove(request) else {
            return;
        };
        let choice = match &verdict {
            Outcome::Answered(_) | Outcome::AnswerDropped => "ran",
            Outcome::Refused(refusal) if refusal.run == Run::NotRun => "not_run",
            Outcome::Refused(_) => "may_have_run",
        };
        let values = vec![
            value("home_silent_ms", cx.now.since_ms(elsewhere.heard_home_at)),
            value("witness_prepared", i64::from(elsewhere.prepared)),
            value("witness_forgot", i64::from(elsewhere.forgotten)),
        ];
        cx.decide(Kind::Outcome, request, "elsewhere", choice, values);
        for waiter in &elsewhere.waiters {
            cx.deliver(request, waiter, 0, &verdict);
        }
    }

    pub(super) fn elsewhere_gone(&mut self, who: &Who) {
        for elsewhere in self.elsewhere.values_mut() {
            elsewhere.waiters.retain(|waiter| waiter.who != *who);
        }
        self.elsewhere
            .retain(|_, elsewhere| !elsewhere.waiters.is_empty());
    }

    pub(super) fn tick_elsewhere(&mut self, cx: &mut Context<'_>) {
        let requests: Vec<Request> = self.elsewhere.keys().cloned().collect();
        for request in &requests {
            let Some(elsewhere) = self.elsewhere.get(request) else {
                continue;
            };
            if cx.now >= elsewhere.until {
                let refusal = unanswered(cx, elsewhere);
                self.conclude(cx, request, Outcome::Refused(refusal));
            } else if cx.now >= elsewhere.again_at {
                self.ask_around(cx, request);
            }
        }
    }
}

fn elsewhere(
    cx: &Context<'_>,
    request: &Request,
    waiter: Waiter,
    ticket: Option<Ticket>,
    until: Instant,
) -> Elsewhere {
    Elsewhere {
        waiters: vec![waiter],
        ask: None,
        digest: None,
        ticket,
        keepers: keep::keepers(cx.view, request),
        heard_home_at: cx.now,
        again_at: cx.now,
        wait_ms: ASK_AGAIN_MS,
        until,
        prepared: false,
        forgotten: false,
    }
}

/// Returns the verdict, where a host's word is the last one on its request.
fn final_word(standing: &Status) -> Option<Outcome> {
    match standing {
        Status::Ended(verdict) => match &**verdict {
            Outcome::AnswerDropped => Some(Outcome::Refused(answer_dropped())),
            verdict => Some(verdict.clone()),
        },
        Status::Sealed => {
            let detail = "the id is sealed: its home was silent, and may not run it any more";
            let refusal = Refusal::not_run(Code::Sealed, Remedy::NewId, detail);
            Some(Outcome::Refused(refusal))
        }
        _ => None,
    }
}

/// Returns the word on a request of which neither home nor witness told the end.
fn unanswered(cx: &Context<'_>, elsewhere: &Elsewhere) -> Refusal {
    if elsewhere.forgotten {
        return forgotten();
    }
    if elsewhere.ask.is_none() && !elsewhere.prepared {
        let detail = "no host that was asked knows the request";
        return Refusal::may_have_run(Code::Unknown, Remedy::Wait, detail);
    }
    let silent_ms = cx.now.since_ms(elsewhere.heard_home_at);
    let witness = if elsewhere.prepared {
        "acknowledged the request"
    } else {
        "did not answer"
    };
    let detail = format!("the home was silent for {silent_ms} ms, the witness {witness}");
    Refusal::may_have_run(Code::AnswerLost, Remedy::Wait, detail)
}
