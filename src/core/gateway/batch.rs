//! Pieces of stages, gathered into full calls.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    config::Stages,
    plan::Input, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Time for which a server is left alone after a call that failed, in milliseconds.
const AVOID_MS: u64 = 1_000;

/// Part of a server's room that is planned with, in percent. Sizes of results are approximate.
const ROOM_PERCENT: u64 = 92;

/// A piece of a stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the request.
    pub request: Name,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece in its stage.
    pub index: usize,
    /// What it works on.
    pub input: Input,
    /// About the size of its result, in bytes.
    pub result_bytes: u64,
    /// When the request's whole answer is wanted.
    pub wanted: Instant,
    /// When the request is given up.
    pub deadline: Instant,
    /// Time that stages after this one and the request itself take, in milliseconds.
    pub after_ms: u64,
}

/// Number of a waiting piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call to be made.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    /// The server.
    pub server: Name,
    /// The pieces, in their order.
    pub pieces: Vec<(Ticket, Piece)>,
}

/// What a server does and holds for this host.
#[derive(Debug, Default)]
struct Server {
    calls: u32,
    avoid_until: Instant,
    reserved_bytes: u64,
    results: HashMap<Name, (u64, Instant)>,
}

impl Server {
    fn held_bytes(&self) -> u64 {
        let results = self.results.values().map(|&(bytes, _)| bytes);
        self.reserved_bytes + results.sum::<u64>()
    }
}

/// Pieces that wait for the servers of one service.
///
/// The load pattern: many requests with a few pieces each, and calls whose time hardly depends on
/// how many pieces they hold. What waits while servers are busy goes out together with the next
/// call, the most pressing first. Results take room at their servers until they are freed, so a
/// piece whose result doesn't fit waits, and smaller ones pass it.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Ticket, Piece>,
    servers: HashMap<Name, Server>,
    next: u64,
}

impl Queue {
    /// Takes a piece.
    pub fn offer(&mut self, piece: Piece) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert(ticket, piece);
        ticket
    }

    /// Drops a piece that nobody wants any more.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the number of pieces that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no piece waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes and returns the pieces whose request can't be served any more, and forgets results
    /// that servers have dropped by now.
    pub fn expire(&mut self, now: Instant, stages: &Stages) -> Vec<Ticket> {
        for server in self.servers.values_mut() {
            server.results.retain(|_, &mut (_, until)| now < until);
        }
        let least_ms = (stages.call_ms + stages.piece_ms) as u64;
        let is_lost = |piece: &Piece| now.after_ms(least_ms + piece.after_ms) > piece.deadline;
        let lost: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, piece)| is_lost(piece))
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in &lost {
            self.waiting.remove(ticket);
        }
        lost
    }

    /// Returns the next call, where a server is free and a piece waits whose result fits.
    pub fn next(&mut self, now: Instant, stages: &Stages, servers: &[Name]) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut order: Vec<(bool, u64, Ticket)> = self
            .waiting
            .iter()
            .map(|(&ticket, piece)| rank(now, stages, ticket, piece))
            .collect();
        order.sort_unstable();
        let mut free: Vec<(u64, &Name)> = servers
            .iter()
            .filter_map(|name| Some((self.room(now, stages, name)?, name)))
            .collect();
        free.sort_by_key(|&(room, _)| std::cmp::Reverse(room));
        free.into_iter()
            .find_map(|(room, server)| self.fill(stages, server, room, &order))
    }

    /// Returns the bytes that a server has room for, `None` where it takes no call now.
    fn room(&self, now: Instant, stages: &Stages, name: &str) -> Option<u64> {
        let room_bytes = stages.room_bytes * ROOM_PERCENT / 100;
        let Some(server) = self.servers.get(name) else {
            return Some(room_bytes);
        };
        if server.calls >= stages.slots.max(1) || now < server.avoid_until {
            return None;
        }
        Some(room_bytes.saturating_sub(server.held_bytes()))
    }

    fn fill(
        &mut self,
        stages: &Stages,
        name: &Name,
        room: u64,
        order: &[(bool, u64, Ticket)],
    ) -> Option<Call> {
        let mut left = room;
        let mut chosen = Vec::new();
        for (_, _, ticket) in order {
            let Some(piece) = self.waiting.get(ticket) else {
                continue;
            };
            if piece.result_bytes <= left {
                left -= piece.result_bytes;
                chosen.push(*ticket);
            }
            if chosen.len() >= stages.batch.max(1) {
                break;
            }
        }
        if chosen.is_empty() {
            return None;
        }
        let pieces: Vec<(Ticket, Piece)> = chosen
            .into_iter()
            .filter_map(|ticket| Some((ticket, self.waiting.remove(&ticket)?)))
            .collect();
        let server = self.servers.entry(name.clone()).or_default();
        server.calls += 1;
        server.reserved_bytes += room - left;
        Some(Call {
            server: name.clone(),
            pieces,
        })
    }

    /// Notes that a call ended, with the results of its pieces. A server that failed it is left
    /// alone for a while.
    pub fn finished(
        &mut self,
        now: Instant,
        stages: &Stages,
        call: &Call,
        results: Option<&[Option<Name>]>,
    ) {
        let server = self.servers.entry(call.server.clone()).or_default();
        server.calls = server.calls.saturating_sub(1);
        let reserved = call.pieces.iter().map(|(_, piece)| piece.result_bytes);
        let reserved: u64 = reserved.sum();
        server.reserved_bytes = server.reserved_bytes.saturating_sub(reserved);
        let Some(results) = results else {
            server.avoid_until = now.after_ms(AVOID_MS);
            return;
        };
        server.avoid_until = Instant::ZERO;
        let until = now.after_ms(stages.keep_ms);
        for ((_, piece), result) in call.pieces.iter().zip(results) {
            if let Some(result) = result {
                let held = (piece.result_bytes, until);
                server.results.insert(result.clone(), held);
            }
        }
    }

    /// Notes that a result was freed.
    pub fn freed(&mut self, result: &str) {
        for server in self.servers.values_mut() {
            server.results.remove(result);
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Puts a piece back that its server did not run.
    pub fn put_back(&mut self, ticket: Ticket, piece: Piece) {
        self.waiting.insert(ticket, piece);
    }
}

/// Pieces that can still be in time go first, by how soon they have to start.
fn rank(now: Instant, stages: &Stages, ticket: Ticket, piece: &Piece) -> (bool, u64, Ticket) {
    let own_ms = (stages.call_ms + stages.piece_ms) as u64;
    let start = piece.wanted.before_ms(piece.after_ms + own_ms);
    let is_late = now > start;
    (is_late, start.as_ms(), ticket)
}
