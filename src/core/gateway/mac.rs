//! Message authentication codes of messages between hosts: see `docs/security.md`.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Size of a message authentication code (MAC), in bytes.
pub const MAC_BYTES: usize = blake3::OUT_LEN;

/// Key for the MAC of messages to one host. Hosts get each other's keys from the heartbeats in the
/// store, which only hosts can read.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key([u8; blake3::KEY_LEN]);

// Hides the key, so that it can't leak into the log with a type that contains it.
impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key")
    }
}

impl Key {
    /// Creates a key from random bytes.
    pub fn new(bytes: [u8; blake3::KEY_LEN]) -> Self {
        Self(bytes)
    }

    /// Returns the MAC of the parts of a message. Different parts have different MACs, also if
    /// their concatenation is the same. [`blake3::Hash`] compares in constant time.
    pub fn mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Appends the MAC of a datagram to it.
    pub fn sign_datagram(&self, datagram: &mut Vec<u8>) {
        let mac = self.mac(&[datagram]);
        datagram.extend_from_slice(mac.as_bytes());
    }

    /// Returns the content of a datagram, or `None` if its MAC doesn't match.
    pub fn verify_datagram<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let at = datagram.len().checked_sub(MAC_BYTES)?;
        let (content, mac) = datagram.split_at(at);
        let mac = blake3::Hash::from_slice(mac).ok()?;
        (self.mac(&[content]) == mac).then_some(content)
    }
}
