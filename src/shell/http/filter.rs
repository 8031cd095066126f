//! The filter chain through which each request of a caller comes, before the core sees it.
//!
//! Each filter looks at one matter and either adds to the draft or refuses, so that a refused
//! request costs no more than the filters before it.

use ntex::{
    http::HeaderMap,
    time::{
        Millis,
        timeout, //
    },
    util::stream_recv,
    web::types::Payload,
};

use super::answer::{
    ORGANISATION,
    REQUEST_ID, //
};
use crate::{
    core::{
        call::{
            Body,
            Request, //
        },
        document::Organisation,
        outcome::{
            Subject,
            Submission,
            Ticket,
            ticket::is_tagged, //
        },
        refusal::{
            Code,
            Execution,
            Refusal,
            Remedy, //
        },
        view::View,
    },
    names::Name,
    shell::Shell,
    wire::ticket,
};

/// Longest request id and organisation name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Part of a prompt by which prefixes are told apart, in bytes.
const PREFIX_BYTES: usize = 256;

/// Media type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";

/// A request on its way through the chain.
pub(super) struct Draft<'a> {
    pub(super) headers: &'a HeaderMap,
    pub(super) subject: Option<&'a Subject>,
    pub(super) request: Request,
    pub(super) priority: Option<u8>,
    pub(super) deadline_ms: Option<u64>,
    pub(super) ticket: Option<Ticket>,
    pub(super) resume_from: u64,
    pub(super) retried: bool,
    pub(super) wants_pieces: bool,
}

type Filter = fn(&Shell, &View, &mut Draft<'_>) -> Result<(), Refusal>;

/// The filters before the body is read, in their order.
const CHAIN: [Filter; 7] = [
    identify, authorise, limit, deadline, priority, ticket, shape,
];

fn bad(detail: impl Into<Name>) -> Refusal {
    Refusal::not_run(Code::BadRequest, Remedy::ChangeRequest, detail)
}

fn forbidden(detail: impl Into<Name>) -> Refusal {
    Refusal::not_run(Code::Forbidden, Remedy::ChangeRequest, detail)
}

impl<'a> Draft<'a> {
    /// Leads a request through the chain. Without a subject it only asks after an earlier one.
    ///
    /// # Errors
    ///
    /// A refusal whose word is true of all tries under the request's id.
    pub(super) fn filter(
        shell: &Shell,
        headers: &'a HeaderMap,
        subject: Option<&'a Subject>,
        id: Option<&str>,
    ) -> Result<Self, Refusal> {
        // Nothing can have run under an id that no host takes.
        let id = match id {
            Some(id) => checked(REQUEST_ID, id)?,
            None => name(headers, REQUEST_ID)?,
        };
        let drafted = Self::chain(shell, headers, subject, id.clone());
        drafted.map_err(|refusal| match subject {
            Some(_) => of_all_tries(&id, refusal),
            None => of_earlier_try(refusal),
        })
    }

    fn chain(
        shell: &Shell,
        headers: &'a HeaderMap,
        subject: Option<&'a Subject>,
        id: Name,
    ) -> Result<Self, Refusal> {
        let view = shell.node.view();
        let mut draft = Draft {
            headers,
            subject,
            request: Request {
                organisation: name(headers, ORGANISATION)?,
                id,
            },
            priority: None,
            deadline_ms: None,
            ticket: None,
            resume_from: 0,
            retried: false,
            wants_pieces: false,
        };
        for filter in CHAIN {
            filter(shell, &view, &mut draft)?;
        }
        Ok(draft)
    }

    /// Reads the body of a request that came through the chain.
    ///
    /// # Errors
    ///
    /// A refusal whose word is true of all tries under the request's id.
    pub(super) async fn read_body(
        &self,
        shell: &Shell,
        payload: &mut Payload,
    ) -> Result<Body, Refusal> {
        let limit = shell.options.config.limits.body_bytes;
        let read = read_body(shell, payload, limit).await;
        read.map_err(|refusal| of_all_tries(&self.request.id, refusal))
    }

    /// Makes the ask of a draft and its body.
    pub(super) fn ask(&self, subject: Subject, body: Body) -> Submission {
        Submission {
            request: self.request.clone(),
            subject,
            priority: self.priority,
            deadline_ms: self.deadline_ms,
            ticket: self.ticket.clone(),
            prefix_hash: prefix(&body),
            resume_from: self.resume_from,
            retried: self.retried,
            body,
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad(format!("header {name} is not text"))),
    }
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    match header(headers, name)? {
        Some(text) => match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(bad(format!("header {name} is not a whole number"))),
        },
        None => Ok(None),
    }
}

fn name(headers: &HeaderMap, field: &str) -> Result<Name, Refusal> {
    match header(headers, field)? {
        Some(text) => checked(field, text),
        None => Err(bad(format!("header {field} is missing"))),
    }
}

fn checked(field: &str, text: &str) -> Result<Name, Refusal> {
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES {
        return Ok(Name::from(text));
    }
    Err(bad(format!(
        "{field} has {} bytes, 1 to {MAX_NAME_BYTES} are allowed",
        text.len()
    )))
}

/// Makes a refusal of one try true of all tries under its id: see `docs/outcomes.md`.
///
/// The filters know nothing of earlier tries, here or elsewhere, and seal nothing. So an id that
/// may belong to a ticket may have run, or may run yet. Of other ids no order runs.
fn of_all_tries(id: &Name, refusal: Refusal) -> Refusal {
    if is_tagged(id) {
        return of_earlier_try(refusal);
    }
    refusal
}

/// Makes a refusal true of all tries under the id that the headers name, if any.
pub(super) fn of_named_tries(headers: &HeaderMap, refusal: Refusal) -> Refusal {
    match name(headers, REQUEST_ID) {
        Ok(id) => of_all_tries(&id, refusal),
        Err(_) => refusal,
    }
}

/// Makes a refusal of whoever asks after an earlier try true of that try.
fn of_earlier_try(refusal: Refusal) -> Refusal {
    Refusal {
        run: Execution::MayHaveRun,
        ..refusal
    }
}

/// Returns the organisation of a request whose credential fits.
fn identify(_: &Shell, view: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    if !view.serving {
        let refusal = Refusal::not_run(
            Code::Starting,
            Remedy::AnotherHost,
            "the host has not read the configuration yet",
        );
        return Err(refusal.retry_after_ms(1_000));
    }
    let organisation = organisation(view, draft)?;
    if credential_fits(draft.headers, &organisation.credential_digest) {
        return Ok(());
    }
    Err(forbidden("the organisation or its credential is wrong"))
}

fn organisation<'a>(view: &'a View, draft: &Draft<'_>) -> Result<&'a Organisation, Refusal> {
    let organisations = &view.document.organisations;
    match organisations.get(&draft.request.organisation) {
        Some(organisation) => Ok(organisation),
        // The same words as for a wrong credential, so that names can't be tried out.
        None => Err(forbidden("the organisation or its credential is wrong")),
    }
}

/// Returns whether a request carries the credential of a digest.
pub(super) fn credential_fits(headers: &HeaderMap, digest: &str) -> bool {
    let Some(value) = headers.get("authorization") else {
        return false;
    };
    let Some(token) = value.as_bytes().strip_prefix(b"Bearer ") else {
        return false;
    };
    // The comparison of hashes takes the same time wherever they differ.
    match blake3::Hash::from_hex(digest) {
        Ok(digest) => blake3::hash(token) == digest,
        Err(_) => false,
    }
}

fn authorise(_: &Shell, view: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    let organisation = organisation(view, draft)?;
    let is_allowed = match draft.subject {
        None => true,
        Some(Subject::Pipeline(name)) => organisation.pipelines.contains_key(name),
        Some(Subject::Service(name)) => organisation.services.contains(name),
    };
    if is_allowed {
        return Ok(());
    }
    Err(forbidden(
        "the organisation is not bound to this pipeline or service",
    ))
}

fn limit(shell: &Shell, _: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    let limit = shell.options.config.limits.body_bytes;
    let length = number(draft.headers, "content-length")?.unwrap_or(0);
    if length > limit as u64 {
        return Err(too_large(length, limit));
    }
    Ok(())
}

fn too_large(length: u64, limit: usize) -> Refusal {
    let detail = format!("the body has {length} bytes or more, limit {limit}");
    Refusal::not_run(Code::TooLarge, Remedy::ChangeRequest, detail)
}

fn deadline(_: &Shell, _: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    draft.deadline_ms = number(draft.headers, "x-deadline-ms")?;
    if draft.deadline_ms == Some(0) {
        return Err(bad("header x-deadline-ms is 0"));
    }
    Ok(())
}

fn priority(_: &Shell, _: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    let Some(number) = number(draft.headers, "x-priority")? else {
        return Ok(());
    };
    match u8::try_from(number) {
        Ok(priority) => draft.priority = Some(priority),
        Err(_) => return Err(bad("header x-priority is more than 255")),
    }
    Ok(())
}

fn ticket(shell: &Shell, _: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    let Some(text) = header(draft.headers, "x-ticket")? else {
        return Ok(());
    };
    match ticket::decode(&shell.key, text) {
        Ok(ticket) => draft.ticket = Some(ticket),
        Err(error) => {
            let detail = error.to_string();
            let refusal = Refusal::not_run(Code::TicketRequired, Remedy::NewId, detail);
            return Err(refusal);
        }
    }
    Ok(())
}

/// Reads how the answer is wanted: whole or in pieces, and from which piece on.
fn shape(_: &Shell, _: &View, draft: &mut Draft<'_>) -> Result<(), Refusal> {
    let accept = header(draft.headers, "accept")?.unwrap_or_default();
    draft.wants_pieces = accept
        .split(',')
        .any(|kind| kind.trim().starts_with(EVENT_STREAM));
    draft.retried = header(draft.headers, "x-retried")?.is_some();
    draft.resume_from = number(draft.headers, "x-resume-from")?.unwrap_or(0);
    if draft.resume_from > 0 && !draft.wants_pieces {
        let detail = format!("header x-resume-from needs accept: {EVENT_STREAM}");
        return Err(bad(detail));
    }
    Ok(())
}

/// Reads a body within the limits of size and time, and checks that it is JSON.
pub(super) async fn read_body(
    shell: &Shell,
    payload: &mut Payload,
    limit: usize,
) -> Result<Body, Refusal> {
    let wait_ms = shell.options.config.limits.body_timeout_ms;
    let wait = Millis(u32::try_from(wait_ms).unwrap_or(u32::MAX));
    let reading = async {
        let mut body = Vec::new();
        while let Some(chunk) = stream_recv(payload).await {
            let chunk = chunk.map_err(|error| bad(format!("the body broke off: {error}")))?;
            if body.len() + chunk.len() > limit {
                return Err(too_large((body.len() + chunk.len()) as u64, limit));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    };
    let Ok(body) = timeout(wait, reading).await else {
        return Err(bad(format!("the body took longer than {} ms", wait.0)));
    };
    let body = body?;
    match serde_json::from_slice::<&serde_json::value::RawValue>(&body) {
        Ok(_) => Ok(body.into()),
        Err(error) => Err(bad(format!("the body is not JSON: {error}"))),
    }
}

#[derive(serde::Deserialize)]
struct Prompt<'a> {
    #[serde(borrow)]
    prompt: std::borrow::Cow<'a, str>,
}

/// Returns the hash of the first part of the prompt, 0 where there is none.
fn prefix(body: &[u8]) -> u64 {
    let Ok(request) = serde_json::from_slice::<Prompt<'_>>(body) else {
        return 0;
    };
    let prompt = request.prompt.as_bytes();
    let end = prompt.len().min(PREFIX_BYTES);
    xxhash_rust::xxh3::xxh3_64(&prompt[..end])
}
