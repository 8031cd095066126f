//! Forwards event streams, and resumes a lost one at another server.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;

use crate::{
    core::gateway::{
        balance,
        config::Kind,
        retry::Outcome,
        stream::Framer, //
    },
    shell::gateway::{
        log::{
            End,
            Event,
            Progress, //
        },
        memory::{
            self,
            Growing, //
        },
        quarantines,
        rollouts::Observation,
        upstream::{
            self,
            Lease, //
        },
    },
    time::Instant,
};

use super::{
    ANSWER_GRACE_MS, Exchange,
    assign::Slot,
    reply::{
        Body,
        Sender,
        channel_body,
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
    pub(super) body: upstream::Body,
    pub(super) lease: Option<Lease>,
    pub(super) slot: Slot,
    pub(super) sent_unix_ms: u64,
    /// When its first events arrived.
    pub(super) begun_at: Instant,
    /// What its version is judged by.
    pub(super) observation: Option<Observation>,
    pub(super) framer: Framer,
    /// Counts what the framer holds.
    pub(super) held: Growing,
}

/// Time after the first event for which a stream may be what crashes its server, in milliseconds. A server
/// that runs it for longer survives it.
const BEGINNING_MS: u64 = 500;

/// The next item of a source.
pub(super) enum Chunk {
    Events(Bytes),
    /// The end, with the bytes before it that are no events.
    End(Bytes),
    Lost(String),
}

impl Source {
    /// Records the end of the answer, or its failure, as evidence on the server's version.
    pub(super) fn finish_observation(&mut self, failed: bool) {
        Observation::finish(self.observation.take(), failed);
    }

    pub(super) async fn next(&mut self) -> Chunk {
        loop {
            // Found behind the events that were passed on last.
            if let Some(error) = self.framer.error() {
                return Chunk::Lost(error.to_string());
            }
            let frame = tokio::select! {
                biased;
                () = self.held.given_up() => return Chunk::Lost(memory::Error::Crowded.to_string()),
                frame = self.body.frame() => frame,
            };
            let frame = match frame {
                None => {
                    let Some(rest) = self.framer.finish() else {
                        return Chunk::Lost("ended within an event".to_string());
                    };
                    if let Some(lease) = self.lease.take() {
                        lease.finish();
                    }
                    return Chunk::End(rest.into());
                }
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Chunk::Lost(error.to_string()),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let before = self.framer.held_bytes();
            let grown = self.framer.capacity_for(bytes.len());
            if let Err(error) = self.held.add(grown - before).await {
                return Chunk::Lost(error.to_string());
            }
            let pushed = self.framer.push(&bytes);
            self.held.release(grown - self.framer.held_bytes());
            match pushed {
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
        let (sender, body) = channel_body(first, exchange.gateway.held.open());
        let first_ms = exchange.elapsed_ms();
        let status = head.status;
        let exchange = exchange.clone();
        tokio::task::spawn_local(async move {
            let end = relay(&exchange, source, sender).await;
            exchange.log_answered(status, end, first_ms);
        });
        remove_hop_headers(&mut head.headers);
        Response::from_parts(head, body)
    }
}

/// Relays events until the stream ends, and returns how it did.
///
/// The deadline and a caller that leaves end every wait of the stream: for events, for another server that
/// resumes it, and for a caller that reads slowly. What the request holds at a server is released with the
/// future that waited.
async fn relay(exchange: &Rc<Exchange>, source: Source, sender: Sender) -> End {
    let remaining_ms = exchange.deadline.since_ms(exchange.gateway.now()) + ANSWER_GRACE_MS;
    let end = tokio::select! {
        end = relay_events(exchange, source, &sender) => end,
        () = sender.closed() => End::CallerLeft,
        () = tokio::time::sleep(Duration::from_millis(remaining_ms)) => End::Deadline,
    };
    if end == End::Complete {
        sender.finish();
    }
    end
}

async fn relay_events(exchange: &Rc<Exchange>, mut source: Source, sender: &Sender) -> End {
    loop {
        let events = match source.next().await {
            Chunk::Events(events) => events,
            Chunk::End(rest) => {
                source.finish_observation(false);
                let sent_unix_ms = source.sent_unix_ms;
                quarantines::observe_answer(&exchange.gateway, sent_unix_ms, &exchange.content);
                if !rest.is_empty() && sender.send(rest).await.is_err() {
                    return End::CallerLeft;
                }
                return End::Complete;
            }
            Chunk::Lost(reason) => match resume(exchange, source, &reason).await {
                Some((next, events)) => {
                    source = next;
                    events
                }
                None => return End::Lost,
            },
        };
        if sender.send(events).await.is_err() {
            return End::CallerLeft;
        }
    }
}

/// Resumes the stream at another server after the last event that was passed on, if the route allows it.
async fn resume(
    exchange: &Rc<Exchange>,
    mut lost: Source,
    reason: &str,
) -> Option<(Source, Bytes)> {
    lost.finish_observation(true);
    let last = lost.framer.resume_id();
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
