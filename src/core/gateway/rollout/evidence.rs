//! Answers of the versions of a service, from all hosts.

use serde::{
    Deserialize,
    Serialize, //
};

use super::order::Window;
use crate::{
    names::Name,
    time::Instant, //
};

/// Maximum size of an encoded digest in bytes, so that it fits into a datagram with other fields.
pub const MAX_DIGEST_BYTES: usize = 1_000;

/// An answer of a server.
///
/// Refusals (`Not-Executed`) and failures of a server's start are no answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it is a failure.
    pub failed: bool,
    /// Time from the request to the answer's end, in milliseconds. `None` if it says nothing about the
    /// version: for failures, servers that warm up, and answers that began at another server.
    pub ms: Option<u64>,
}

/// What a host reports of the answers that it got.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the digest, ascending within the incarnation of the host.
    pub sequence: u64,
}

/// The answers of all hosts to requests that were sent since an order.
#[derive(Clone, Debug)]
pub struct Evidence {
    window: Window,
}

impl Evidence {
    /// Opens the evidence of an order.
    pub fn open(window: Window) -> Self {
        Self { window }
    }

    /// Records an answer that this host got to a request that it sent at `sent_at`.
    pub fn record(&mut self, sent_at: Instant, route: &Name, is_target: bool, answer: Answer) {
        _ = (self.window, sent_at, route, is_target, answer);
    }

    /// Merges the digest of another host. Returns whether it is newer than what was known of this
    /// incarnation of the host.
    pub fn merge(&mut self, host: &Name, incarnation: u64, digest: Digest) -> bool {
        _ = (host, incarnation, digest);
        false
    }

    /// Returns the digest of the answers that this host got itself, at most [`MAX_DIGEST_BYTES`] long.
    pub fn digest(&self) -> Digest {
        Digest::default()
    }
}
