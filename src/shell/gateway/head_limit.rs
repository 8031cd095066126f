//! Progress of an exchange on a connection to a server: whether the request is written, and a limit on the bytes that
//! the server sends before the head of its response is complete.
//!
//! A faulty server may send informational responses without end. Each is complete, so that the limit on
//! the size of a head doesn't apply, and reading them takes the processor time of all requests.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

use super::net::Socket;

/// Maximum number of bytes before a response, in bytes. Larger than the read buffer of a connection,
/// which may hold the beginning of the body together with the head.
const MAX_BYTES: usize = 256 * 1024;

/// Progress of the exchange on a connection.
#[derive(Clone)]
pub(super) struct Progress(Rc<State>);

struct State {
    /// Number of bytes that the connection may still receive.
    budget: Cell<usize>,
    is_written: Cell<bool>,
}

impl Progress {
    /// Sets the limit, before a request is sent.
    pub(super) fn start(&self) {
        self.0.budget.set(MAX_BYTES);
        self.0.is_written.set(false);
    }

    /// Removes the limit, once the head of the response is received.
    pub(super) fn lift_limit(&self) {
        self.0.budget.set(usize::MAX);
    }

    /// Returns whether the whole request was handed to the system.
    pub(super) fn is_written(&self) -> bool {
        self.0.is_written.get()
    }
}

/// A connection to a server, with a limit on the bytes that it receives.
pub(super) struct Stream {
    socket: Rc<Socket>,
    progress: Progress,
}

impl Stream {
    /// Wraps a connection. Returns it with its progress.
    pub(super) fn new(socket: Rc<Socket>) -> (Self, Progress) {
        let progress = Progress(Rc::new(State {
            budget: Cell::new(MAX_BYTES),
            is_written: Cell::default(),
        }));
        let stream = Self {
            socket,
            progress: progress.clone(),
        };
        (stream, progress)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let budget = self.progress.0.budget.get();
        if budget == 0 {
            return Poll::Ready(Err(io::Error::other("too many bytes before a response")));
        }
        let before = buffer.filled().len();
        let result = self.socket.poll_read(cx, buffer);
        if budget != usize::MAX {
            let received = buffer.filled().len() - before;
            self.progress.0.budget.set(budget.saturating_sub(received));
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket.poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes once its own buffer is empty.
        let poll = self.socket.poll_flush(cx);
        if matches!(poll, Poll::Ready(Ok(()))) {
            self.progress.0.is_written.set(true);
        }
        poll
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket.poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
