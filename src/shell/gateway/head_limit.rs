//! Limit on the bytes that a server sends before the head of its response is complete.
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

/// Number of bytes that a connection may still receive.
#[derive(Clone)]
pub(super) struct Budget(Rc<Cell<usize>>);

impl Budget {
    /// Sets the limit, before a request is sent.
    pub(super) fn start(&self) {
        self.0.set(MAX_BYTES);
    }

    /// Removes the limit, once the head of the response is received.
    pub(super) fn lift(&self) {
        self.0.set(usize::MAX);
    }
}

/// A connection to a server, with a limit on the bytes that it receives.
pub(super) struct Stream {
    socket: Rc<Socket>,
    budget: Budget,
}

impl Stream {
    /// Wraps a connection. Returns it with its budget.
    pub(super) fn new(socket: Rc<Socket>) -> (Self, Budget) {
        let budget = Budget(Rc::new(Cell::new(MAX_BYTES)));
        let limited = Self {
            socket,
            budget: budget.clone(),
        };
        (limited, budget)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let budget = self.budget.0.get();
        if budget == 0 {
            return Poll::Ready(Err(io::Error::other("too many bytes before a response")));
        }
        let before = buffer.filled().len();
        let result = self.socket.poll_read(cx, buffer);
        if budget != usize::MAX {
            let received = buffer.filled().len() - before;
            self.budget.0.set(budget.saturating_sub(received));
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
        self.socket.poll_flush(cx)
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
