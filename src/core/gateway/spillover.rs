//! Which data centre's servers run pieces when those of the own one are behind.

use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// Age from which news of another data centre isn't used, in milliseconds. Several messages may be lost.
const STALE_MS: u64 = 800;

/// Time by which another data centre has to be faster, in milliseconds: two ways between regions and
/// the age of the news.
const MARGIN_MS: u64 = 60;

/// Time that results count as which have to be moved, in milliseconds for each megabyte. A
/// megabyte costs about a tenth of what an answer in time is worth.
const FAR_MS_PER_MB: u64 = 100;

/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// What is known of a service's servers in another data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The host that gathers its calls.
    pub owner: SocketAddr,
    /// In how many milliseconds a piece that comes now would be done.
    pub done_ms: u64,
    /// Room for results, in bytes.
    pub free_bytes: u64,
    /// When that was heard.
    pub received_at: Instant,
}

/// How far other data centres are with their pieces, by service and data centre.
#[derive(Debug, Default)]
pub struct Table(HashMap<(Name, Name), Remote>);

/// Pieces to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number of pieces.
    pub pieces: usize,
    /// Size of one result, in bytes.
    pub result_bytes: u64,
    /// Size of the results in this data centre that one piece works on, in bytes.
    pub input_bytes: u64,
    /// Time of one piece in a call, in milliseconds.
    pub piece_ms: u64,
    /// When they would be done in the own data centre, in milliseconds, `None` where it has no server.
    pub local_done_ms: Option<u64>,
}

impl Table {
    /// Takes news of another data centre.
    pub fn record(&mut self, service: Name, data_centre: Name, far: Remote) {
        self.0.insert((service, data_centre), far);
    }

    /// Returns the owner to which pieces should go, `None` for the own data centre.
    ///
    /// The load pattern: a burst in one data centre, or one with few servers of a service, while
    /// others have some to spare. What is sent away counts there until the next news, so that not
    /// all of a burst goes to the same place.
    pub fn choose(&mut self, now: Instant, service: &str, ask: Request) -> Option<SocketAddr> {
        let pieces = ask.pieces as u64;
        let bytes = ask.result_bytes * pieces;
        let moved_ms = (bytes + ask.input_bytes * pieces) * FAR_MS_PER_MB / MEGABYTE;
        let cost_ms = |far: &Remote| {
            let age_ms = now.since_ms(far.received_at);
            far.done_ms.saturating_sub(age_ms) + MARGIN_MS + moved_ms
        };
        let usable = self.0.iter_mut().filter(|((of, _), far)| {
            &**of == service && now.since_ms(far.received_at) < STALE_MS && far.free_bytes >= bytes
        });
        let (_, far) = usable.min_by_key(|(_, far)| cost_ms(far))?;
        if ask.local_done_ms.is_some_and(|own| own <= cost_ms(far)) {
            return None;
        }
        far.done_ms += ask.piece_ms * pieces;
        far.free_bytes -= bytes;
        Some(far.owner)
    }
}
