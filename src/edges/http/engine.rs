//! Client of model engines: the completions API with server-sent events.

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
    servers::parse_raw,
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

/// Data of the last event, which marks the end of a complete answer.
const DONE: &str = "[DONE]";

/// Body of a call to an engine.
#[derive(Serialize)]
struct CompletionRequest<'a> {
    model: Option<&'a Name>,
    prompt: &'a str,
    stream: bool,
    priority: u8,
    resume_from: u64,
    previous: Option<&'a RawValue>,
}

/// Data of an event that holds a piece of the answer.
#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

/// Part of a request that is sent to engines.
#[derive(Deserialize)]
struct Prompt {
    prompt: String,
}

/// Returns the body of a call, or `None` if the request or the previous stage's answer isn't JSON.
pub(super) fn body(call: &Call) -> Option<Vec<u8>> {
    let previous = match &call.previous {
        Some(previous) => Some(parse_raw(previous)?),
        None => None,
    };
    // A request without a `prompt` field is itself the prompt.
    let prompt = match serde_json::from_slice::<Prompt>(&call.body) {
        Ok(request) => request.prompt,
        Err(_) => parse_raw(&call.body)?.get().to_string(),
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

/// Interpretation of an event.
enum Meaning {
    Piece(Piece),
    Done,
    Failed,
    Malformed,
}

/// Passes the pieces of an answer to `on_piece`, until its end or until the progress timeout.
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
    // The first piece may be delayed by the engine's queue, so only the call's timeout bounds it.
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
                    // Reads the end of the body, without which the connection isn't reused.
                    let _ = timeout(limit, next(&mut payload)).await;
                    return Completion::Answered([].into());
                }
                Meaning::Failed => return Completion::Failed,
                Meaning::Malformed => return Completion::Lost,
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
    // If the engine numbers its pieces, a gap or a duplicate is an error.
    let numbered = event.id.parse::<u64>();
    if numbered.is_ok_and(|index| index != expected) {
        return Meaning::Malformed;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
        return Meaning::Malformed;
    };
    let texts = chunk.choices.into_iter().map(|choice| choice.text);
    Meaning::Piece(Piece {
        incarnation,
        index: expected,
        text: texts.collect::<String>().into_bytes(),
    })
}
