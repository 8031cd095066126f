//! How fast a caller sends the head of a request.
//!
//! A caller that sends a head byte by byte holds a connection for nothing. One that is idle between
//! requests is another matter, and `hyper` closes it after a longer time.

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
    net::TcpStream,
    sync::Notify,
};

use crate::shell::gateway::forward::{
    Body,
    Truncated, //
};

/// Time for which bytes that came while the process stood still may stay unread, in milliseconds.
const GRACE_MS: u64 = 100;

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of the next request has come.
    Idle,
    /// The head of this many-th request has begun to come.
    Head(u64),
    /// A request is answered.
    Busy,
}

/// The pace of one connection.
pub(super) struct Pace {
    phase: Cell<Phase>,
    heads: Cell<u64>,
    head_began: Notify,
}

impl Pace {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(Phase::Idle),
            heads: Cell::default(),
            head_began: Notify::new(),
        })
    }

    fn bytes_came(&self) {
        if self.phase.get() == Phase::Idle {
            self.heads.set(self.heads.get() + 1);
            self.phase.set(Phase::Head(self.heads.get()));
            self.head_began.notify_one();
        }
    }

    /// Notes that a head came whole. The next one can begin once the result is dropped.
    pub(super) fn head_came(self: &Rc<Self>) -> Busy {
        self.phase.set(Phase::Busy);
        Busy(self.clone())
    }

    /// Returns once a head has taken longer than a limit.
    pub(super) async fn wait_for_slow_head(&self, limit_ms: u64) {
        loop {
            self.head_began.notified().await;
            let began = self.phase.get();
            let is_same = || matches!(began, Phase::Head(_)) && self.phase.get() == began;
            tokio::time::sleep(Duration::from_millis(limit_ms)).await;
            if is_same() {
                tokio::time::sleep(Duration::from_millis(GRACE_MS)).await;
                if is_same() {
                    return;
                }
            }
        }
    }
}

/// A request that is answered.
pub(super) struct Busy(Rc<Pace>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.phase.set(Phase::Idle);
    }
}

/// The body of an answer, until whose end the request counts as busy.
pub(super) struct Answer {
    pub(super) body: Body,
    pub(super) _busy: Busy,
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

/// A connection whose pace is watched.
pub(super) struct Watched {
    pub(super) stream: TcpStream,
    pub(super) pace: Rc<Pace>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.pace.bytes_came();
        }
        poll
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
