//! Frames to bytes and back: version, keyed tag, `postcard`.
//!
//! Why frames are authenticated and not encrypted, and what a replay can do: `docs/wire.md`.

use super::{
    Frame,
    MAX_FRAME_BYTES,
    VERSION, //
};

/// Length of the tag, in bytes.
const TAG_BYTES: usize = 16;

/// Bytes before the encoded frame: version and tag.
pub const HEADER_BYTES: usize = 1 + TAG_BYTES;

/// Why bytes are no frame, or a frame can't become bytes.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes end before the header does.
    #[error("{bytes} bytes are shorter than the header of {HEADER_BYTES}")]
    Truncated {
        /// Their length.
        bytes: usize,
    },
    /// The frame is larger than the limit.
    #[error("{bytes} bytes are more than the limit of {MAX_FRAME_BYTES}")]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
    /// The frame has another version.
    #[error("version {version} in place of {VERSION}")]
    Version {
        /// The version that it names.
        version: u8,
    },
    /// The tag doesn't fit: another key, or bytes that were changed.
    #[error("the tag does not fit")]
    Tag,
    /// The tag fits and the rest isn't a frame, so the sender runs another build.
    #[error("not a frame: {0}")]
    Postcard(#[from] postcard::Error),
}

/// The key of the cluster, from which the keys for frames and tickets are derived.
#[derive(Clone)]
pub struct Key {
    frame: [u8; 32],
    ticket: [u8; 32],
}

impl Key {
    /// Derives the keys from the secret that all hosts share.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            frame: blake3::derive_key("teaselchute 1 frame", secret),
            ticket: blake3::derive_key("teaselchute 1 ticket", secret),
        }
    }

    pub(super) fn ticket(&self) -> &[u8; 32] {
        &self.ticket
    }
}

/// Returns the bytes of a frame.
///
/// # Errors
///
/// [`Error::TooLarge`] where they are more than [`MAX_FRAME_BYTES`].
pub fn encode(key: &Key, frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[0] = VERSION;
    let mut bytes = postcard::to_extend(frame, bytes)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge { bytes: bytes.len() });
    }
    let tag = tag(&key.frame, VERSION, &bytes[HEADER_BYTES..]);
    bytes[1..HEADER_BYTES].copy_from_slice(&tag);
    Ok(bytes)
}

/// Returns the frame of some bytes, whose sender knew the key.
///
/// # Errors
///
/// Each variant of [`Error`]: no bytes make it panic or use more memory than they are long.
pub fn decode(key: &Key, bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() < HEADER_BYTES {
        return Err(Error::Truncated { bytes: bytes.len() });
    }
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge { bytes: bytes.len() });
    }
    let version = bytes[0];
    if version != VERSION {
        return Err(Error::Version { version });
    }
    let body = &bytes[HEADER_BYTES..];
    if !same(&tag(&key.frame, version, body), &bytes[1..HEADER_BYTES]) {
        return Err(Error::Tag);
    }
    Ok(postcard::from_bytes(body)?)
}

/// Returns the tag of a body under a key.
pub(super) fn tag(key: &[u8; 32], version: u8, body: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[version]);
    hasher.update(body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares tags in a time that doesn't depend on where they differ.
pub(super) fn same(one: &[u8; TAG_BYTES], other: &[u8]) -> bool {
    let differences = one
        .iter()
        .zip(other)
        .fold(0, |all, (one, other)| all | (one ^ other));
    other.len() == TAG_BYTES && differences == 0
}
