//! Responses that are held for callers that read slowly: see [`crate::core::gateway::holding`].

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{
    Frame,
    SizeHint, //
};
use tokio::sync::Notify;

use super::reply::{
    Body,
    Truncated,
    full_body, //
};
use crate::core::gateway::holding::{
    self,
    Held, //
};

/// Part of a response that the HTTP library gets at a time, in bytes. It asks for the next one when it has written
/// most of it.
const PART_BYTES: usize = 64 * 1024;

/// Bytes that the host holds for its callers.
pub(in crate::shell::gateway) struct Memory {
    limit: usize,
    all: AtomicUsize,
    waiting: AtomicUsize,
    freed: Notify,
}

impl Memory {
    /// Creates the memory for responses of a process that has `memory_mb` megabytes.
    pub(in crate::shell::gateway) fn new(memory_mb: u64) -> Arc<Self> {
        Arc::new(Self {
            limit: holding::limit(memory_mb),
            all: AtomicUsize::default(),
            waiting: AtomicUsize::default(),
            freed: Notify::new(),
        })
    }

    /// Opens the share of a response, which holds nothing yet.
    pub(super) fn open(self: &Arc<Self>) -> Share {
        Share {
            memory: self.clone(),
            own: AtomicUsize::default(),
        }
    }
}

/// Bytes that are held of one response, released on drop.
pub(super) struct Share {
    memory: Arc<Memory>,
    own: AtomicUsize,
}

impl Share {
    /// Adds bytes that are held already.
    pub(super) fn add(&self, bytes: usize) {
        self.own.fetch_add(bytes, Ordering::AcqRel);
        self.memory.all.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Waits until a part of a stream may be held, and adds it.
    pub(super) async fn add_part(&self, bytes: usize) {
        self.add_when(bytes, Held::admits_part).await;
    }

    /// Waits until a whole response of a known length may be read, and adds it.
    pub(super) async fn add_whole(&self, bytes: usize) {
        self.add_when(bytes, Held::admits_whole).await;
    }

    async fn add_when(&self, bytes: usize, admits: fn(Held, usize, usize) -> bool) {
        let memory = &self.memory;
        loop {
            let freed = memory.freed.notified();
            tokio::pin!(freed);
            // What is freed from here on ends the wait.
            freed.as_mut().enable();
            let held = Held {
                own: self.own.load(Ordering::Acquire),
                all: memory.all.load(Ordering::Acquire),
            };
            if admits(held, bytes, memory.limit) {
                return self.add(bytes);
            }
            let _waiting = Waiting::new(memory);
            freed.await;
        }
    }

    /// Releases bytes that the caller's connection took.
    pub(super) fn release(&self, bytes: usize) {
        self.own.fetch_sub(bytes, Ordering::AcqRel);
        self.memory.all.fetch_sub(bytes, Ordering::AcqRel);
        if self.memory.waiting.load(Ordering::Acquire) > 0 {
            self.memory.freed.notify_waiters();
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release(self.own.load(Ordering::Acquire));
    }
}

/// Counts a response as waiting until this is dropped.
struct Waiting<'a>(&'a Memory);

impl<'a> Waiting<'a> {
    fn new(memory: &'a Memory) -> Self {
        memory.waiting.fetch_add(1, Ordering::AcqRel);
        Self(memory)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A whole response of a server.
pub(super) struct Whole {
    bytes: Bytes,
    // Released with the last part, since parts share the memory of the whole.
    _share: Share,
}

impl Whole {
    pub(super) fn new(bytes: Bytes, share: Share) -> Self {
        Self {
            bytes,
            _share: share,
        }
    }

    /// Converts it to a body, which is held until the HTTP library has taken its last part.
    pub(super) fn into_body(self) -> Body {
        if self.bytes.len() <= PART_BYTES {
            return full_body(self.bytes);
        }
        UnsyncBoxBody::new(Parts(self))
    }
}

/// Body that hands out a whole response in parts.
struct Parts(Whole);

impl hyper::body::Body for Parts {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let bytes = &mut self.0.bytes;
        if bytes.is_empty() {
            return Poll::Ready(None);
        }
        let part = bytes.split_to(PART_BYTES.min(bytes.len()));
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.bytes.len() as u64)
    }
}
