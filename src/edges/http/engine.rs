//! Model engines: the completions API with server-sent events.

use std::future::poll_fn;

use ntex::{
    client::ClientResponse,
    http::Payload,
    time::{
        Millis,
        timeout, //
    },
    util::Stream,
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

use super::{
    super::Piece,
    servers::raw,
    sse::{
        Event,
        Parser, //
    }, //
};
use crate::{
    core::call::{
        Call,
        Completion,
        Incarnation, //
    },
    names::Name,
    options::config::Limits,
};

/// Data of the last event, with which the whole answer's end is seen.
const DONE: &str = "[DONE]";

/// The body of a call to an engine.
#[derive(Serialize)]
struct CompletionRequest<'a> {
    model: Option<&'a Name>,
    prompt: &'a str,
    stream: bool,
    priority: u8,
    resume_from: u64,
    previous: Option<&'a RawValue>,
}

/// One piece of an answer.
#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

/// The part of a request that engines read.
#[derive(Deserialize)]
struct Prompt {
    prompt: String,
}

/// Returns the body of a call, or nothing where the request or the stage before isn't JSON.
pub(super) fn body(call: &Call) -> Option<Vec<u8>> {
    let previous = match &call.previous {
        Some(previous) => Some(raw(previous)?),
        None => None,
    };
    // A request without a prompt is its own prompt.
    let prompt = match serde_json::from_slice::<Prompt>(&call.body) {
        Ok(request) => request.prompt,
        Err(_) => raw(&call.body)?.get().to_string(),
    };
    let completion = CompletionRequest {
        model: call.model.as_ref(),
        prompt: &prompt,
        stream: true,
        priority: call.priority,
        resume_from: call.resume_from,
        previous,
    };
    serde_json::to_vec(&completion).ok()
}

/// What an event means.
enum Meaning {
    Piece(Piece),
    Done,
    Failed,
    Unclear,
}

/// Hands on the pieces of an answer until its end is seen, or until it fell silent.
pub(super) async fn pieces(
    response: ClientResponse,
    call: &Call,
    incarnation: Option<Incarnation>,
    limits: &Limits,
    on_piece: &mut dyn FnMut(Piece),
) -> Completion {
    let limit = Millis(u32::try_from(limits.progress_timeout_ms).unwrap_or(u32::MAX));
    let mut payload = response.take_payload();
    let mut parser = Parser::default();
    let mut index = call.resume_from;
    let mut bytes = 0;
    // A call may wait in the engine's queue for its first piece. The call's own timeout bounds that.
    let mut item = next(&mut payload).await;
    loop {
        let Some(Ok(chunk)) = item else {
            return Completion::Lost;
        };
        bytes += chunk.len();
        let Ok(events) = parser.push(&chunk) else {
            return Completion::Lost;
        };
        if bytes > limits.answer_bytes {
            return Completion::Lost;
        }
        for event in events {
            match meaning(&event, incarnation, index) {
                Meaning::Piece(piece) => {
                    index = piece.index + 1;
                    on_piece(piece);
                }
                Meaning::Done => {
                    // The connection is reused only after the end of the body, too.
                    let _ = timeout(limit, next(&mut payload)).await;
                    return Completion::Answered([].into());
                }
                Meaning::Failed => return Completion::Failed,
                Meaning::Unclear => return Completion::Lost,
            }
        }
        item = timeout(limit, next(&mut payload)).await.unwrap_or(None);
    }
}

async fn next(payload: &mut Payload) -> Option<Result<ntex::util::Bytes, ()>> {
    let item = poll_fn(|context| std::pin::Pin::new(&mut *payload).poll_next(context)).await;
    item.map(|item| item.map_err(|_| ()))
}

fn meaning(event: &Event, incarnation: Option<Incarnation>, expected: u64) -> Meaning {
    if event.data == DONE {
        return Meaning::Done;
    }
    if event.kind == "error" {
        return Meaning::Failed;
    }
    // An engine that numbers its pieces must not skip or repeat one.
    let numbered = event.id.parse::<u64>();
    if numbered.is_ok_and(|index| index != expected) {
        return Meaning::Unclear;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
        return Meaning::Unclear;
    };
    let texts = chunk.choices.into_iter().map(|choice| choice.text);
    Meaning::Piece(Piece {
        incarnation,
        index: expected,
        text: texts.collect::<String>().into_bytes(),
    })
}
