//! Whole responses that are held for callers that read slowly: see [`crate::core::gateway::holding`].

use std::{
    pin::Pin,
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

use super::reply::{
    Body,
    Truncated,
    full_body, //
};

/// Part of a response that the HTTP library gets at a time, in bytes. It asks for the next one when it has written
/// most of it.
const PART_BYTES: usize = 64 * 1024;

/// A whole response of a server.
///
/// What it takes is released with its last part, since parts share the memory of the whole.
pub(super) struct Whole {
    bytes: Bytes,
}

impl Whole {
    pub(super) fn new(bytes: Bytes) -> Self {
        Self { bytes }
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
