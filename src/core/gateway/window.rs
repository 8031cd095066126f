//! Tells peers that read slowly from peers that are lost, by what is in a connection's send buffer.

/// Time for which sent bytes may stay unacknowledged, in milliseconds. A peer that lost power or is partitioned
/// acknowledges nothing.
const UNACKNOWLEDGED_MS: u64 = 1_500;

/// Time for which a peer may read nothing, in milliseconds. The longest deadline of callers.
const UNREAD_MS: u64 = 20_000;

/// Whether a peer takes bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// What is sent has to be acknowledged soon.
    Open,
    /// The peer has acknowledged all that was sent and has no room for more.
    Closed,
}

impl Window {
    /// Returns the time after which a connection is given up if its backlog doesn't shrink, in milliseconds.
    pub fn timeout_ms(self) -> u64 {
        match self {
            Self::Open => UNACKNOWLEDGED_MS,
            Self::Closed => UNREAD_MS,
        }
    }
}

/// What is in the send buffer of a connection, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Bytes that the peer hasn't acknowledged, sent or not.
    pub queued: u64,
    /// Bytes of these that haven't been sent.
    pub unsent: u64,
}

impl Backlog {
    /// Returns whether the peer has acknowledged everything.
    pub fn is_empty(self) -> bool {
        self.queued == 0
    }

    /// Returns what the backlog says of the peer. Bytes are held back while none are on their way only if the peer
    /// has announced that it has no room.
    pub fn window(self) -> Window {
        if !self.is_empty() && self.unsent >= self.queued {
            Window::Closed
        } else {
            Window::Open
        }
    }
}
