//! What a request holds that other requests may hold too, as keys that are the same on all hosts.

use super::{
    balance::{
        Segment,
        shared_segments, //
    },
    cache::{
        self,
        Key, //
    },
};

/// Maximum number of keys of one request.
pub const MAX_KEYS: usize = 8;

/// A request as its server gets it, without what differs between repetitions.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Name of the host that the caller addressed.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Organisation of the caller, empty if the route is public.
    pub caller: &'a str,
    /// Parts of the prompt, as the caller listed them.
    pub prompt: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Keys of a request: one for the request as a whole, one for it without its prompt, and those of the
/// shared parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content(Vec<Key>);

impl Content {
    /// Computes the keys of a request with a prompt.
    pub fn new(request: &Request<'_>, prompt: &[Segment]) -> Self {
        let key = |prompt: &str| {
            super::balance::hash_bytes(&[
                request.method.as_bytes(),
                request.host.as_bytes(),
                request.path.as_bytes(),
                request.caller.as_bytes(),
                prompt.as_bytes(),
                request.body,
            ])
        };
        // A repetition in a later turn of a conversation lists more parts.
        let promptless = (!request.prompt.is_empty()).then(|| key(""));
        let parts = shared_segments(prompt).iter().map(cache::key);
        let keys = std::iter::once(key(request.prompt));
        Self(keys.chain(promptless).chain(parts).take(MAX_KEYS).collect())
    }

    /// Returns the key of the request as a whole.
    pub fn whole(&self) -> Key {
        self.0[0]
    }

    /// Returns all keys, that of the request as a whole first.
    pub fn keys(&self) -> &[Key] {
        &self.0
    }
}
