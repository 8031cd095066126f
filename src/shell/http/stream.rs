//! Streamed answers as server-sent events.

use std::{
    collections::BTreeMap,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use ntex::{
    util::{
        Bytes,
        Stream, //
    },
    web::HttpResponse, //
};
use serde_json::json;
use tokio::time::{
    Instant,
    Interval,
    interval_at, //
};

use super::answer::{
    ORGANISATION,
    REQUEST_ID,
    refused, //
};
use crate::{
    core::call::{
        Body,
        Request, //
    },
    shell::exchange::{
        Exchange,
        Reply, //
    },
};

/// Time without a piece after which a caller gets a comment, so that it can tell a wait from a
/// connection that fell silent, and so that the host notices a caller who has gone.
pub(super) const HEARTBEAT: Duration = Duration::from_secs(1);

/// The comment, which clients of server-sent events skip.
const WAITING: &[u8] = b": waiting\n\n";

/// Why a stream ends without its end: the connection is closed, so the caller resumes.
#[derive(Debug, thiserror::Error)]
#[error("the exchange was closed before the answer's end")]
struct Unfinished;

/// A stream of events to one caller.
struct Events {
    exchange: Option<Exchange>,
    first: Option<Reply>,
    heartbeat: Interval,
    request: Request,
    next: u64,
    /// Pieces that came before their turn.
    early: BTreeMap<u64, Body>,
    /// Whether any piece was written.
    has_pieces: bool,
}

/// Makes the response of a stream, whose first reply may be known.
pub(super) fn respond(
    exchange: Exchange,
    first: Option<Reply>,
    request: Request,
    resume_from: u64,
) -> HttpResponse {
    let mut response = HttpResponse::Ok();
    response
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header(REQUEST_ID, request.id.as_str())
        .header(ORGANISATION, request.organisation.as_str());
    // Who has waited for the first reply gets the first comment at once.
    let heartbeat_at = match first {
        Some(_) => Instant::now() + HEARTBEAT,
        None => Instant::now(),
    };
    response.streaming(Events {
        exchange: Some(exchange),
        first,
        heartbeat: interval_at(heartbeat_at, HEARTBEAT),
        request,
        next: resume_from,
        early: BTreeMap::new(),
        has_pieces: false,
    })
}

impl Events {
    /// Returns the text that a reply adds to the stream.
    fn text(&mut self, reply: Reply) -> Result<String, Unfinished> {
        let mut text = String::new();
        match reply {
            Reply::Piece { index, piece } => {
                if index >= self.next {
                    self.early.insert(index, piece);
                }
                self.write_pieces(&mut text);
            }
            Reply::Answer { request, body } => {
                // A gap before the end, or another's answer, must not look like a whole answer.
                if !self.early.is_empty() || request != self.request {
                    return Err(Unfinished);
                }
                if !self.has_pieces && self.next == 0 && !body.is_empty() {
                    self.early.insert(0, body);
                    self.write_pieces(&mut text);
                }
                let end = json!({ "request": self.request.id, "pieces": self.next });
                text.push_str(&format!("event: end\ndata: {end}\n\n"));
                self.exchange = None;
            }
            Reply::Refuse { request, refusal } => {
                let refused = serde_json::to_string(&refused(Some(&request), &refusal));
                let refused = refused.unwrap_or_default();
                text.push_str(&format!("event: refusal\ndata: {refused}\n\n"));
                self.exchange = None;
            }
        }
        Ok(text)
    }

    fn write_pieces(&mut self, text: &mut String) {
        while let Some(piece) = self.early.remove(&self.next) {
            let data = json!({ "index": self.next, "text": String::from_utf8_lossy(&piece) });
            text.push_str(&format!("id: {}\ndata: {data}\n\n", self.next));
            self.next += 1;
            self.has_pieces = true;
        }
    }
}

impl Stream for Events {
    type Item = Result<Bytes, Unfinished>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        let mut text = String::new();
        // All that waits goes out at once.
        while let Some(exchange) = &mut this.exchange {
            let reply = match this.first.take() {
                Some(first) => Poll::Ready(Some(first)),
                None => exchange.poll_next(context),
            };
            match reply {
                Poll::Ready(Some(reply)) => match this.text(reply) {
                    Ok(added) => text.push_str(&added),
                    Err(error) => {
                        this.exchange = None;
                        return Poll::Ready(Some(Err(error)));
                    }
                },
                Poll::Ready(None) if text.is_empty() => {
                    this.exchange = None;
                    return Poll::Ready(Some(Err(Unfinished)));
                }
                Poll::Ready(None) => break,
                Poll::Pending if text.is_empty() => {
                    let waited = this.heartbeat.poll_tick(context);
                    return waited.map(|_| Some(Ok(Bytes::from_static(WAITING))));
                }
                Poll::Pending => break,
            }
        }
        if text.is_empty() {
            return Poll::Ready(None);
        }
        this.heartbeat.reset();
        Poll::Ready(Some(Ok(Bytes::from(text))))
    }
}
