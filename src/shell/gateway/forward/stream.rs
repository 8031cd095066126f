//! Forwards event streams, and resumes a lost one at another server.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::Response;
use http_body_util::{
    BodyExt,
    combinators::UnsyncBoxBody, //
};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::{
    core::gateway::{
        balance,
        config::Kind,
        retry::Outcome,
        stream::Framer, //
    },
    shell::gateway::{
        log::{
            Event,
            Progress, //
        },
        quarantines,
        upstream::Lease, //
    },
    time::Instant,
};

use super::{
    ANSWER_GRACE_MS, Exchange,
    assign::Slot,
    reply::{
        Body,
        Channel,
        MAX_BUFFERED_CHUNKS,
        Truncated,
        remove_hop_headers, //
    },
    send::Answer,
};

/// A stream whose first events have arrived.
pub(super) struct Stream {
    pub(super) head: http::response::Parts,
    pub(super) first: Bytes,
    pub(super) source: Source,
}

/// The server's side of a stream.
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) lease: Option<Lease>,
    pub(super) slot: Slot,
    pub(super) sent_unix_ms: u64,
    /// When its first events arrived.
    pub(super) begun_at: Instant,
    pub(super) framer: Framer,
}

/// Time after the first event for which a stream may be what crashes its server, in milliseconds. A server
/// that runs it for longer survives it.
const BEGINNING_MS: u64 = 500;

/// The next item of a source.
pub(super) enum Chunk {
    Events(Bytes),
    End,
    Lost(String),
}

impl Source {
    pub(super) async fn next(&mut self) -> Chunk {
        loop {
            let frame = match self.body.frame().await {
                None if self.framer.is_at_boundary() => {
                    if let Some(lease) = self.lease.take() {
                        lease.finish();
                    }
                    return Chunk::End;
                }
                None => return Chunk::Lost("ended within an event".to_string()),
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Chunk::Lost(error.to_string()),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match self.framer.push(&bytes) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Chunk::Events(events.into()),
                Err(error) => return Chunk::Lost(error.to_string()),
            }
        }
    }
}

impl Stream {
    /// Responds with the first events, and spawns a task that relays the rest.
    pub(super) fn respond(self: Box<Self>, exchange: &Rc<Exchange>) -> Response<Body> {
        let Self {
            mut head,
            first,
            source,
        } = *self;
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        // The channel is empty and can't be full.
        let _ = sender.try_send(Ok(first));
        let first_ms = exchange.elapsed_ms();
        let status = head.status;
        let exchange = exchange.clone();
        tokio::task::spawn_local(async move {
            let is_whole = relay(&exchange, source, &sender).await;
            exchange.log_answered(status, is_whole, first_ms);
        });
        remove_hop_headers(&mut head.headers);
        Response::from_parts(head, UnsyncBoxBody::new(Channel(receiver)))
    }
}

/// Relays events until the stream ends, and returns whether it is complete.
pub(super) async fn relay(
    exchange: &Rc<Exchange>,
    mut source: Source,
    sender: &mpsc::Sender<Result<Bytes, Truncated>>,
) -> bool {
    let remaining_ms = exchange.deadline.since_ms(exchange.gateway.now()) + ANSWER_GRACE_MS;
    let deadline = tokio::time::sleep(Duration::from_millis(remaining_ms));
    tokio::pin!(deadline);
    loop {
        let chunk = tokio::select! {
            chunk = source.next() => chunk,
            // The caller disconnected. Dropping the source closes the server's connection.
            () = sender.closed() => return false,
            () = &mut deadline => {
                let _ = sender.send(Err(Truncated)).await;
                return false;
            }
        };
        match chunk {
            Chunk::Events(events) => {
                if sender.send(Ok(events)).await.is_err() {
                    return false;
                }
            }
            Chunk::End => {
                let sent_unix_ms = source.sent_unix_ms;
                quarantines::observe_answer(&exchange.gateway, sent_unix_ms, &exchange.content);
                return true;
            }
            Chunk::Lost(reason) => match resume(exchange, source, &reason).await {
                Some(next) => {
                    let (next, events) = next;
                    source = next;
                    if sender.send(Ok(events)).await.is_err() {
                        return false;
                    }
                }
                None => {
                    // The caller's connection is closed whether or not this is sent.
                    let _ = sender.send(Err(Truncated)).await;
                    return false;
                }
            },
        }
    }
}

/// Resumes the stream at another server after the last complete event, if the route allows it.
pub(super) async fn resume(
    exchange: &Rc<Exchange>,
    lost: Source,
    reason: &str,
) -> Option<(Source, Bytes)> {
    let last = lost.framer.last_id();
    let server = lost.slot.server();
    let is_beginning = exchange.gateway.now().since_ms(lost.begun_at) < BEGINNING_MS;
    if is_beginning && let Some(entry) = exchange.gateway.server_entry(&server) {
        let sent_unix_ms = lost.sent_unix_ms;
        quarantines::observe_loss(&exchange.gateway, entry, sent_unix_ms, &exchange.content);
    }
    // Closes the connection, so that this server stops before another one continues.
    drop(lost.lease);
    lost.slot.release(true);
    exchange.gateway.log.write(&Event::Failed {
        request: &exchange.id,
        content: exchange.content.whole(),
        server: &server,
        end: reason,
        next: "resume",
        progress: Progress::Events,
        parts: balance::shared_segments(&exchange.prompt),
        ms: exchange.elapsed_ms(),
    });
    let resumes = matches!(exchange.route.kind, Kind::Stream { resumes: true });
    while resumes && last.is_some() && exchange.may_retry(Outcome::Lost) {
        if let Ok(Answer::Stream(stream)) = exchange.attempt(last).await {
            return Some((stream.source, stream.first));
        }
    }
    None
}
