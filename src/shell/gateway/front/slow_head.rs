//! Timeout for slowly sent request heads.
//!
//! A caller that sends a head byte by byte occupies a connection. A connection that is idle between
//! requests has a longer timeout of its own, which `hyper` applies.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{
    Body as HttpBody,
    Frame,
    SizeHint, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    sync::Notify,
};

use super::delivery::Connection;
use crate::shell::gateway::forward::{
    Body,
    Truncated, //
};

/// Time allowed for reading bytes that arrived while the process was paused, in milliseconds.
const UNREAD_GRACE_MS: u64 = 100;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of the next request has arrived.
    Idle,
    /// The head of the request with this number is arriving.
    Head(u64),
    /// A request is being answered.
    Busy,
}

/// Tracks the state of one connection.
pub(super) struct Monitor {
    phase: Cell<Phase>,
    head_count: Cell<u64>,
    head_started: Notify,
}

impl Monitor {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            head_count: Cell::default(),
            head_started: Notify::new(),
        })
    }

    fn is_busy(&self) -> bool {
        self.phase.get() == Phase::Busy
    }

    fn record_bytes(&self) {
        if self.phase.get() == Phase::Idle {
            self.head_count.set(self.head_count.get() + 1);
            self.phase.set(Phase::Head(self.head_count.get()));
            self.head_started.notify_one();
        }
    }

    /// Records that a complete head has arrived. The next one can start once the result is dropped.
    pub(super) fn record_head(self: &Rc<Self>) -> Guard {
        self.phase.set(Phase::Busy);
        Guard(self.clone())
    }

    /// Returns once a head has taken longer than `limit_ms`.
    pub(super) async fn wait_for_slow_head(&self, limit_ms: u64) {
        loop {
            self.head_started.notified().await;
            let start = self.phase.get();
            let is_same = || matches!(start, Phase::Head(_)) && self.phase.get() == start;
            tokio::time::sleep(Duration::from_millis(limit_ms)).await;
            if is_same() {
                tokio::time::sleep(Duration::from_millis(UNREAD_GRACE_MS)).await;
                if is_same() {
                    return;
                }
            }
        }
    }
}

/// Marks a connection as busy until this is dropped.
pub(super) struct Guard(Rc<Monitor>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.phase.set(Phase::Idle);
    }
}

/// Body of a response. The connection counts as busy until the body ends.
pub(super) struct Answer {
    pub(super) body: Body,
    pub(super) _guard: Guard,
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose reads are reported to a monitor, and which records when all is written.
pub(super) struct MonitoredStream {
    pub(super) connection: Rc<Connection>,
    pub(super) monitor: Rc<Monitor>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = self.connection.socket.poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.monitor.record_bytes();
        }
        poll
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.socket.poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.socket.poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = self.connection.socket.poll_flush(cx);
        // The library flushes a connection once its own buffer is empty.
        if matches!(poll, Poll::Ready(Ok(()))) && !self.monitor.is_busy() {
            self.connection.record_flush();
        }
        poll
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.socket.poll_shutdown(cx)
    }
}
