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

/// Pieces that wait for the servers of one service.
///
/// The load pattern: many requests with a few pieces each, and calls whose time hardly depends on
/// how many pieces they hold. What waits while servers are busy goes out together with the next
/// call, the most pressing first.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Ticket, Piece>,
    busy: HashMap<Name, u32>,
    avoid: HashMap<Name, Instant>,
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

    /// Removes and returns the pieces whose request can't be served any more.
    pub fn expire(&mut self, now: Instant, stages: &Stages) -> Vec<Ticket> {
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

    /// Returns the next call, where a server is free and a piece waits.
    pub fn next(&mut self, now: Instant, stages: &Stages, servers: &[Name]) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        let is_free = |server: &&Name| {
            let busy = self.busy.get(*server).copied().unwrap_or(0);
            let avoided = self.avoid.get(*server).is_some_and(|&until| now < until);
            busy < stages.slots.max(1) && !avoided
        };
        let server = servers.iter().find(is_free)?.clone();
        let mut order: Vec<(bool, u64, Ticket)> = self
            .waiting
            .iter()
            .map(|(&ticket, piece)| rank(now, stages, ticket, piece))
            .collect();
        order.sort_unstable();
        let pieces: Vec<(Ticket, Piece)> = order
            .into_iter()
            .take(stages.batch.max(1))
            .filter_map(|(_, _, ticket)| Some((ticket, self.waiting.remove(&ticket)?)))
            .collect();
        *self.busy.entry(server.clone()).or_default() += 1;
        Some(Call { server, pieces })
    }

    /// Notes that a call ended. A server that failed it is left alone for a while.
    pub fn finished(&mut self, now: Instant, server: &Name, failed: bool) {
        if let Some(busy) = self.busy.get_mut(server) {
            *busy = busy.saturating_sub(1);
        }
        if failed {
            self.avoid.insert(server.clone(), now.after_ms(AVOID_MS));
        } else {
            self.avoid.remove(server);
        }
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
