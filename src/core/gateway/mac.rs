//! Seals by which hosts know each other's messages: see `docs/security.md`.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Bytes of a seal.
pub const MAC_BYTES: usize = blake3::OUT_LEN;

/// The key under which messages to one host are sealed. Hosts learn each other's keys from their
/// heartbeats in the store, which only hosts read.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key([u8; blake3::KEY_LEN]);

// A key must not reach the log with what holds it.
impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key")
    }
}

impl Key {
    /// Makes a key of random bytes.
    pub fn new(bytes: [u8; blake3::KEY_LEN]) -> Self {
        Self(bytes)
    }

    /// Seals the parts of a message. Other parts have another seal, also where they join to the same
    /// bytes. Seals are compared in a time that doesn't depend on where they differ.
    pub fn mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Appends the seal of a datagram to it.
    pub fn sign_datagram(&self, datagram: &mut Vec<u8>) {
        let seal = self.mac(&[datagram]);
        datagram.extend_from_slice(seal.as_bytes());
    }

    /// Returns what a datagram holds, `None` where its seal isn't of this key.
    pub fn verify_datagram<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let at = datagram.len().checked_sub(MAC_BYTES)?;
        let (content, seal) = datagram.split_at(at);
        let seal = blake3::Hash::from_slice(seal).ok()?;
        (self.mac(&[content]) == seal).then_some(content)
    }
}
