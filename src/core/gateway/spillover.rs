//! Spillover of pieces to another data centre when the servers of the local one are overloaded.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// Age from which the progress of another data centre is stale, in milliseconds. It covers the loss
/// of several messages.
const STALE_MS: u64 = 800;

/// Time by which another data centre has to be faster, in milliseconds: a round trip between
/// regions and the age of its progress.
const MIN_GAIN_MS: u64 = 60;

/// Cost of results that cross data centres, as time, in milliseconds for each megabyte. The price
/// of a megabyte is about a tenth of the value of an answer in time.
const TRANSFER_MS_PER_MB: u64 = 100;

/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// Progress of a service in another data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remote {
    /// Host that batches its calls.
    pub owner: SocketAddr,
    /// Time until a piece that arrives now would be done, in milliseconds.
    pub done_ms: u64,
    /// Free result memory, in bytes.
    pub free_bytes: u64,
    /// When this host received that.
    pub received_at: Instant,
}

/// Progress of other data centres, by service and data centre.
#[derive(Debug, Default)]
pub struct Table(HashMap<(Name, Name), Remote>);

/// Pieces of one stage that need a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of pieces.
    pub pieces: usize,
    /// Size of one result, in bytes.
    pub result_bytes: u64,
    /// Size of the input of one piece that is in the local data centre, in bytes.
    pub input_bytes: u64,
    /// Time of one piece in a call, in milliseconds.
    pub piece_ms: u64,
    /// Time until they would be done in the local data centre, in milliseconds. `None` if it has no
    /// server.
    pub local_done_ms: Option<u64>,
}

impl Table {
    /// Records the progress of another data centre.
    pub fn record(&mut self, service: Name, data_centre: Name, remote: Remote) {
        self.0.insert((service, data_centre), remote);
    }

    /// Returns the owner of the data centre that should run the pieces, `None` for the local one.
    ///
    /// This serves bursts in one data centre, or one with few servers of a service, while others
    /// have spare capacity. The pieces are added to the recorded progress until the next update, so
    /// that a burst is spread and doesn't overload one data centre.
    pub fn choose(&mut self, now: Instant, service: &str, request: Request) -> Option<SocketAddr> {
        let pieces = request.pieces as u64;
        let bytes = request.result_bytes * pieces;
        let transfer_ms = (bytes + request.input_bytes * pieces) * TRANSFER_MS_PER_MB / MEGABYTE;
        let cost_ms = |remote: &Remote| {
            let age_ms = now.since_ms(remote.received_at);
            remote.done_ms.saturating_sub(age_ms) + MIN_GAIN_MS + transfer_ms
        };
        let usable = self.0.iter_mut().filter(|((name, _), remote)| {
            &**name == service
                && now.since_ms(remote.received_at) < STALE_MS
                && remote.free_bytes >= bytes
        });
        let (_, remote) = usable.min_by_key(|(_, remote)| cost_ms(remote))?;
        if request
            .local_done_ms
            .is_some_and(|local_ms| local_ms <= cost_ms(remote))
        {
            return None;
        }
        remote.done_ms += request.piece_ms * pieces;
        remote.free_bytes -= bytes;
        Some(remote.owner)
    }
}
