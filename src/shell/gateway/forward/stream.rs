//! Streams of events, passed on as they come.

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

use crate::core::gateway::{
    config::Kind,
    retry::Outcome,
    stream::Framer, //
};
use crate::shell::gateway::{
    log::Event,
    upstream::Lease, //
};

use super::{
    Flight, LATE_MS,
    place::Place,
    reply::{
        Body,
        Broken,
        Pipe,
        WAITING_CHUNKS,
        clean, //
    },
    send::Answer,
};

/// A stream whose first events came.
pub(super) struct Stream {
    pub(super) head: http::response::Parts,
    pub(super) first: Bytes,
    pub(super) source: Source,
}

/// Where events come from.
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) lease: Option<Lease>,
    pub(super) place: Place,
    pub(super) cutter: Framer,
}

/// What came next from a source.
pub(super) enum Chunk {
    Events(Bytes),
    End,
    Lost(String),
}

impl Source {
    pub(super) async fn next(&mut self) -> Chunk {
        loop {
            let frame = match self.body.frame().await {
                None if self.cutter.is_at_boundary() => {
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
            match self.cutter.push(&bytes) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Chunk::Events(events.into()),
                Err(error) => return Chunk::Lost(error.to_string()),
            }
        }
    }
}

impl Stream {
    /// Answers with the events that came, and passes on what follows from a task.
    pub(super) fn respond(self: Box<Self>, flight: &Rc<Flight>) -> Response<Body> {
        let Self {
            mut head,
            first,
            source,
        } = *self;
        let (sender, receiver) = mpsc::channel(WAITING_CHUNKS);
        // The channel is empty, so there is room.
        let _ = sender.try_send(Ok(first));
        let first_ms = flight.ms();
        let status = head.status;
        let flight = flight.clone();
        tokio::task::spawn_local(async move {
            let is_whole = pump(&flight, source, &sender).await;
            flight.log_answered(status, is_whole, first_ms);
        });
        clean(&mut head.headers);
        Response::from_parts(head, UnsyncBoxBody::new(Pipe(receiver)))
    }
}

/// Passes events on until the end, and returns whether the stream is whole.
pub(super) async fn pump(
    flight: &Rc<Flight>,
    mut source: Source,
    sender: &mpsc::Sender<Result<Bytes, Broken>>,
) -> bool {
    let left_ms = flight.deadline.since_ms(flight.gateway.now()) + LATE_MS;
    let deadline = tokio::time::sleep(Duration::from_millis(left_ms));
    tokio::pin!(deadline);
    loop {
        let chunk = tokio::select! {
            chunk = source.next() => chunk,
            // The caller left. Dropping the source closes the server's connection.
            () = sender.closed() => return false,
            () = &mut deadline => {
                let _ = sender.send(Err(Broken)).await;
                return false;
            }
        };
        match chunk {
            Chunk::Events(events) => {
                if sender.send(Ok(events)).await.is_err() {
                    return false;
                }
            }
            Chunk::End => return true,
            Chunk::Lost(reason) => match resume(flight, source, &reason).await {
                Some(next) => {
                    let (next, events) = next;
                    source = next;
                    if sender.send(Ok(events)).await.is_err() {
                        return false;
                    }
                }
                None => {
                    // The caller's connection is closed either way.
                    let _ = sender.send(Err(Broken)).await;
                    return false;
                }
            },
        }
    }
}

/// Goes on at another server after the last whole event, where that is allowed.
pub(super) async fn resume(
    flight: &Rc<Flight>,
    lost: Source,
    reason: &str,
) -> Option<(Source, Bytes)> {
    let last = lost.cutter.last_id();
    let server = lost.place.server();
    // Closes the connection, so that the server stops before another one goes on.
    drop(lost.lease);
    lost.place.end(true);
    flight.gateway.log.write(&Event::Failed {
        request: &flight.id,
        server: &server,
        end: reason,
        next: "resume",
        ms: flight.ms(),
    });
    let resumes = matches!(flight.route.kind, Kind::Stream { resumes: true });
    while resumes && last.is_some() && flight.may_retry(Outcome::Lost) {
        if let Ok(Answer::Stream(stream)) = flight.attempt(last).await {
            return Some((stream.source, stream.first));
        }
    }
    None
}
