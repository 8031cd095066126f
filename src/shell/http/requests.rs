//! Requests of callers: asking, fetching by id, and why.

use std::sync::Arc;

use ntex::web::{
    HttpRequest, HttpResponse,
    types::{
        Path,
        Payload, //
    },
};
use serde::Serialize;
use tokio::time::timeout;

use super::{
    Shared,
    answer,
    filter::Draft,
    stream, //
};
use crate::{
    core::{
        call::Request,
        decision::Decision,
        node::Event,
        outcome::{
            self,
            Subject, //
        },
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
    },
    names::Name,
    shell::{
        Shell,
        exchange::{
            Exchange,
            Reply, //
        },
        metrics::label,
    },
};

pub(super) async fn pipeline(
    request: HttpRequest,
    name: Path<String>,
    payload: Payload,
    shell: Shared,
) -> HttpResponse {
    let subject = Subject::Pipeline(name.as_str().into());
    ask(&shell, &request, subject, payload).await
}

pub(super) async fn service(
    request: HttpRequest,
    name: Path<String>,
    payload: Payload,
    shell: Shared,
) -> HttpResponse {
    let subject = Subject::Service(name.as_str().into());
    ask(&shell, &request, subject, payload).await
}

async fn ask(
    shell: &Arc<Shell>,
    request: &HttpRequest,
    subject: Subject,
    mut payload: Payload,
) -> HttpResponse {
    let draft = match Draft::filter(shell, request.headers(), Some(&subject), None) {
        Ok(draft) => draft,
        Err(refusal) => return refuse(shell, None, &refusal),
    };
    let body = match draft.read_body(shell, &mut payload).await {
        Ok(body) => body,
        Err(refusal) => return refuse(shell, Some(&draft.request), &refusal),
    };
    let asked = draft.ask(subject.clone(), body);
    let exchange = Exchange::open(shell, draft.wants_pieces);
    let event = outcome::Event::Submit {
        caller: exchange.caller(),
        submission: Box::new(asked),
    };
    shell.step(Event::Caller(event));
    respond(shell, exchange, &draft).await
}

pub(super) async fn fetch(request: HttpRequest, id: Path<String>, shell: Shared) -> HttpResponse {
    let draft = match Draft::filter(&shell, request.headers(), None, Some(id.as_str())) {
        Ok(draft) => draft,
        Err(refusal) => return refuse(&shell, None, &refusal),
    };
    let exchange = Exchange::open(&shell, draft.wants_pieces);
    let event = outcome::Event::Fetch {
        caller: exchange.caller(),
        request: draft.request.clone(),
        ticket: draft.ticket.clone(),
        resume_from: draft.resume_from,
    };
    shell.step(Event::Caller(event));
    respond(&shell, exchange, &draft).await
}

async fn respond(shell: &Arc<Shell>, mut exchange: Exchange, draft: &Draft<'_>) -> HttpResponse {
    let start = shell.now();
    // The first reply decides on the status, also of a stream that doesn't wait long for it.
    let first = if draft.wants_pieces {
        let waited = timeout(stream::HEARTBEAT, exchange.next()).await;
        let Ok(first) = waited else {
            count(shell, "streamed");
            return stream::respond(exchange, None, draft.request.clone(), draft.resume_from);
        };
        first
    } else {
        exchange.next().await
    };
    let response = match first {
        Some(Reply::Refuse { request, refusal }) => {
            return refuse(shell, Some(&request), &refusal);
        }
        Some(first) if draft.wants_pieces => {
            count(shell, "streamed");
            let (request, from) = (draft.request.clone(), draft.resume_from);
            return stream::respond(exchange, Some(first), request, from);
        }
        Some(Reply::Answer { request, body }) if request == draft.request => {
            count(shell, "answered");
            answer::whole(&request, &body)
        }
        // An answer to another request goes to nobody.
        Some(_) => lost(shell, &draft.request),
        None => lost(shell, &draft.request),
    };
    let answer_ms = shell.now().since_ms(start);
    let subject = match draft.subject {
        Some(Subject::Pipeline(name) | Subject::Service(name)) => name.as_str(),
        None => "fetch",
    };
    shell
        .metrics
        .answer_ms
        .record(answer_ms, &[label("subject", subject)]);
    response
}

fn lost(shell: &Shell, request: &Request) -> HttpResponse {
    let detail = "the host stopped before the answer came";
    let refusal = Refusal::may_have_run(Code::AnswerLost, Remedy::AnotherHost, detail);
    refuse(shell, Some(request), &refusal)
}

fn refuse(shell: &Shell, request: Option<&Request>, refusal: &Refusal) -> HttpResponse {
    count(shell, "refused");
    answer::refuse(request, refusal)
}

fn count(shell: &Shell, outcome: &str) {
    shell.metrics.requests.add(1, &[label("outcome", outcome)]);
}

/// The decisions about a request that this host made.
#[derive(Serialize)]
pub(super) struct Why {
    host: Name,
    request: Name,
    decisions: Vec<Decision>,
}

/// Returns what this host decided about a request, also where only its id is known.
pub(super) fn find_why(shell: &Shell, request: Name, subject: &str) -> Why {
    Why {
        host: shell.node.own().id.name.clone(),
        decisions: shell.why.find(subject),
        request,
    }
}

pub(super) async fn why(request: HttpRequest, id: Path<String>, shell: Shared) -> HttpResponse {
    let draft = match Draft::filter(&shell, request.headers(), None, Some(id.as_str())) {
        Ok(draft) => draft,
        Err(refusal) => return refuse(&shell, None, &refusal),
    };
    let subject = draft.request.subject();
    let why = find_why(&shell, draft.request.id.clone(), &subject);
    if why.decisions.is_empty() {
        let detail = "this host keeps no decision about the request";
        let refusal = Refusal::may_have_run(Code::Unknown, Remedy::AnotherHost, detail);
        return refuse(&shell, Some(&draft.request), &refusal);
    }
    HttpResponse::Ok().json(&why)
}
