//! Answers and refusals as HTTP responses.

use ntex::{
    http::StatusCode,
    web::{
        HttpResponse,
        HttpResponseBuilder, //
    }, //
};
use serde::Serialize;

use crate::core::{
    call::{
        Body,
        Request, //
    },
    refusal::{
        Code,
        Refusal, //
    },
};

/// Header with the organisation that an answer is for.
pub(super) const ORGANISATION: &str = "x-organisation";

/// Header with the request that an answer is for, which the caller checks.
pub(super) const REQUEST_ID: &str = "x-request-id";

#[derive(Serialize)]
struct Refused<'a> {
    request: Option<&'a str>,
    refusal: &'a Refusal,
}

/// Returns the status that fits a refusal. Callers decide by its code: see `docs/refusals.md`.
pub(super) fn status(code: Code) -> StatusCode {
    match code {
        Code::BadRequest => StatusCode::BAD_REQUEST,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::Unknown => StatusCode::NOT_FOUND,
        Code::Forbidden => StatusCode::FORBIDDEN,
        Code::OrganisationLimit => StatusCode::TOO_MANY_REQUESTS,
        Code::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Code::TicketRequired => StatusCode::PRECONDITION_REQUIRED,
        Code::Sealed | Code::IdReused | Code::Cancelled => StatusCode::CONFLICT,
        Code::ServerFailed | Code::AnswerLost => StatusCode::BAD_GATEWAY,
        Code::AnswerDropped => StatusCode::GONE,
        Code::Overloaded
        | Code::NoServer
        | Code::StaleNews
        | Code::Starting
        | Code::Leaving
        | Code::WitnessUnreachable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn name_request(response: &mut HttpResponseBuilder, request: &Request) {
    response
        .header(REQUEST_ID, request.id.as_str())
        .header(ORGANISATION, request.organisation.as_str());
}

/// Makes the response of a refusal.
pub(super) fn refuse(request: Option<&Request>, refusal: &Refusal) -> HttpResponse {
    let mut response = HttpResponse::build(status(refusal.code));
    if let Some(request) = request {
        name_request(&mut response, request);
    }
    if let Some(ms) = refusal.retry_after_ms {
        // The header knows whole seconds only, the body has the milliseconds.
        response.header("retry-after", ms.div_ceil(1_000).to_string());
    }
    response.json(&refused(request, refusal))
}

/// Returns the JSON of a refusal.
pub(super) fn refused<'a>(
    request: Option<&'a Request>,
    refusal: &'a Refusal,
) -> impl Serialize + use<'a> {
    Refused {
        request: request.map(|request| request.id.as_str()),
        refusal,
    }
}

/// Makes the response of a whole answer.
pub(super) fn whole(request: &Request, body: &Body) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    name_request(&mut response, request);
    let is_json = matches!(body.first(), Some(b'{' | b'['));
    let content_type = if is_json {
        "application/json"
    } else {
        "text/plain; charset=utf-8"
    };
    response.content_type(content_type).body(body.to_vec())
}
