//! Responses to callers: bodies, refusals and headers.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::{
    core::gateway::holding::part_bytes,
    shell::gateway::{
        Gateway,
        log::Event,
        memory::Share, //
    },
    time::Instant,
};

/// Default retry delay of a refusal, in seconds.
pub(super) const DEFAULT_RETRY_AFTER_S: f64 = 0.5;

/// Hop-by-hop headers, which aren't forwarded.
pub(super) const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Body of a response to a caller.
pub(in crate::shell::gateway) type Body = UnsyncBoxBody<Bytes, Truncated>;

/// A stream ended early. The error closes the caller's connection, so that the response can't be
/// taken for a complete one.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream broke off")]
pub(in crate::shell::gateway) struct Truncated;

/// Opens a body with a first chunk, so that it is written together with the head. A task sends the others. What the
/// caller hasn't taken is held in `share`.
pub(super) fn channel_body(first: Bytes, share: Share) -> (Sender, Body) {
    let (chunks, receiver) = mpsc::unbounded_channel();
    let share = Arc::new(share);
    share.add(part_bytes(first.len()));
    // The receiver exists, so this can't fail.
    let _ = chunks.send(first);
    let is_complete = Arc::new(AtomicBool::new(false));
    let body = Channel {
        chunks: receiver,
        share: share.clone(),
        is_complete: is_complete.clone(),
        end: End::Open,
    };
    let sender = Sender {
        chunks,
        share,
        is_complete,
    };
    (sender, UnsyncBoxBody::new(body))
}

/// Sends the chunks of a body. The body is truncated unless its end is declared by
/// [`Sender::finish`], so that a task that is cancelled or waits for a slow caller need not send anything
/// for that.
pub(super) struct Sender {
    chunks: mpsc::UnboundedSender<Bytes>,
    share: Arc<Share>,
    is_complete: Arc<AtomicBool>,
}

impl Sender {
    /// Sends a chunk. Waits while the caller reads slowly and the chunk can't be held for it.
    ///
    /// # Errors
    ///
    /// [`Truncated`] if the caller left.
    pub(super) async fn send(&self, chunk: Bytes) -> Result<(), Truncated> {
        self.share.add_part(part_bytes(chunk.len())).await;
        self.chunks.send(chunk).map_err(|_| Truncated)
    }

    /// Waits until the caller left.
    pub(super) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body after the chunks that were sent.
    pub(super) fn finish(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

struct Channel {
    chunks: mpsc::UnboundedReceiver<Bytes>,
    share: Arc<Share>,
    is_complete: Arc<AtomicBool>,
    end: End,
}

/// How far the end of a channel's body has been passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Open,
    /// Truncated, and the HTTP library is to write the chunks that it has before it learns that.
    Flushing,
    Ended,
}

impl hyper::body::Body for Channel {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.end {
            End::Open => {}
            End::Flushing => {
                self.end = End::Ended;
                return Poll::Ready(Some(Err(Truncated)));
            }
            End::Ended => return Poll::Ready(None),
        }
        if let Some(chunk) = ready!(self.chunks.poll_recv(cx)) {
            self.share.release(part_bytes(chunk.len()));
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.is_complete.load(Ordering::Acquire) {
            self.end = End::Ended;
            return Poll::Ready(None);
        }
        // The library closes the connection at an error without writing what it has buffered. It writes that while
        // the body is pending.
        self.end = End::Flushing;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

/// Wraps complete content as a body.
pub(in crate::shell::gateway) fn full_body(bytes: impl Into<Bytes>) -> Body {
    let never = |error: std::convert::Infallible| match error {};
    UnsyncBoxBody::new(Full::new(bytes.into()).map_err(never))
}

/// A response that the gateway gives itself instead of a server's.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) reason: String,
    pub(super) retry_after_s: Option<f64>,
}

impl Refusal {
    pub(super) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after_s: None,
        }
    }

    /// Refuses a request that has not run and never will.
    pub(super) fn not_run(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.into(),
            retry_after_s: Some(DEFAULT_RETRY_AFTER_S),
        }
    }

    /// Refuses a request that failed after it may have run.
    pub(super) fn may_have_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::new(status, reason)
    }
}

pub(super) fn refuse(
    gateway: &Gateway,
    id: &str,
    arrived: Instant,
    refusal: &Refusal,
) -> Response<Body> {
    let status = refusal.status;
    gateway
        .metrics
        .count_request(status.as_u16(), &refusal.reason);
    gateway.log.write(&Event::Refused {
        request: id,
        status: status.as_u16(),
        reason: &refusal.reason,
        version: gateway.config().map_or(0, |config| config.version),
        ms: gateway.now().since_ms(arrived),
    });
    let mut response = Response::new(full_body(refusal.reason.clone()));
    *response.status_mut() = status;
    let headers = gateway.adapter.headers();
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(&headers.request, id);
    }
    if let Some(seconds) = refusal.retry_after_s
        && let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}"))
    {
        response.headers_mut().insert(&headers.retry_after, value);
    }
    response
}

pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

pub(super) fn remove_hop_headers(headers: &mut HeaderMap) {
    let nominated = header_text(headers, &header::CONNECTION).to_ascii_lowercase();
    for name in nominated.split(',') {
        if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
            headers.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    // `hyper` sets the length from the body.
    headers.remove(header::CONTENT_LENGTH);
}
