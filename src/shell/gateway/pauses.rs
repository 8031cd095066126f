//! Pauses that servers ask this host for: see `docs/design/pauses.md`.
//!
//! The header is read from every answer of a server. Both senders ask [`claim`] just before a request is handed to
//! the pool, and the pool asks [`is_paused`] when the connection is open, which may take a while.

use http::{
    HeaderMap,
    HeaderValue,
    StatusCode, //
};
use opentelemetry::KeyValue;

use super::{
    Gateway,
    log::Event, //
};
use crate::{
    core::gateway::{
        pause::{
            self,
            Request,
            Wait, //
        },
        servers::{
            Entry,
            Server, //
        },
    },
    time::Instant,
};

/// Why a call was not sent to a server that asked for a pause meanwhile.
pub(super) const HELD_BACK: &str = "held back, the server asked for a pause";

/// Reads whether the answer to a request for the server `expected`, sent at `sent_at`, asks for a pause.
pub(super) fn observe(
    gateway: &Gateway,
    expected: &Entry,
    sent_at: Instant,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // Another server than the expected one has its address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let now = gateway.now();
    let mut pauses = gateway.pauses.borrow_mut();
    let request = if status == StatusCode::SERVICE_UNAVAILABLE {
        let values = headers.get_all(&gateway.adapter.headers().retry_after);
        pause::parse(values.iter().map(HeaderValue::as_bytes))
    } else {
        Request::None
    };
    match request {
        Request::None => pauses.record_answer(sent_at, expected),
        Request::Pause(ms) => {
            let host = &gateway.identity.host;
            let left_ms = pauses.record_pause(now, host, expected, ms);
            drop(pauses);
            if let Some(left_ms) = left_ms {
                count(gateway, &expected.service, "asked");
                gateway.log.write(&Event::Pause {
                    server: &expected.id,
                    service: &expected.service,
                    asked_ms: ms,
                    left_ms,
                    answer_ms: now.since_ms(sent_at),
                });
            }
        }
        Request::Malformed => {
            pauses.record_answer(sent_at, expected);
            let is_first = pauses.record_malformed(expected);
            drop(pauses);
            count(gateway, &expected.service, "malformed");
            if is_first {
                let server = &expected.id;
                gateway.log.write(&Event::MalformedPause { server });
            }
        }
    }
}

/// Counts an event of a pause.
pub(super) fn count(gateway: &Gateway, service: &str, event: &'static str) {
    let labels = [
        KeyValue::new("service", service.to_string()),
        KeyValue::new("event", event),
    ];
    gateway.metrics.pauses.add(1, &labels);
}

/// Returns why a server gets no request now, `None` if it may get one.
pub(super) fn wait(gateway: &Gateway, server: &Entry) -> Option<Wait> {
    gateway.pauses.borrow().wait(gateway.now(), server)
}

/// Returns whether a server is paused at this moment.
pub(super) fn is_paused(gateway: &Gateway, server: &Entry) -> bool {
    matches!(wait(gateway, server), Some(Wait::Paused(_)))
}

/// Returns why none of some servers gets a request now, `None` if one may get one or if there is none.
pub(super) fn wait_of_all<'a>(
    gateway: &Gateway,
    servers: impl Iterator<Item = &'a Server>,
) -> Option<Wait> {
    let entries = servers.map(|server| &server.entry);
    gateway.pauses.borrow().wait_of_all(gateway.now(), entries)
}

/// Records that a request is about to be sent to a server, and returns the time. Returns `None` and counts the request
/// as held back if the server must not get it.
pub(super) fn claim(gateway: &Gateway, server: &Entry) -> Option<Instant> {
    let now = gateway.now();
    let sent = gateway.pauses.borrow_mut().record_send(now, server);
    if sent.is_err() {
        count(gateway, &server.service, "held_back");
    }
    sent.ok().map(|()| now)
}
