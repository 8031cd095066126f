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

/// Time for which a server that had no room is taken to be full, in milliseconds. It refuses at once
/// and results are freed all the time, so asking again soon costs little.
const FOREIGN_MS: u64 = 100;

/// Part of a server's room that is planned with, in percent. Sizes of results are approximate.
const ROOM_PERCENT: u64 = 96;

/// Time by which a piece goes behind for each step of priority, in milliseconds: about a call. Urgent
/// work passes others, and none waits for long.
const PRIORITY_MS: u64 = 300;

/// Calls that pass, as a rule, until results that fill a server's room are freed.
const ROOM_CALLS: f64 = 2.0;

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
    /// About the size of the results that it works on, in bytes.
    pub input_bytes: u64,
    /// When the request's whole answer is wanted.
    pub objective: Instant,
    /// When the request is given up.
    pub deadline: Instant,
    /// Priority of the request, 0 is the most urgent.
    pub priority: u8,
    /// Time that stages after this one and the request itself take, in milliseconds.
    pub remaining_ms: u64,
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

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<'a> {
    /// Its server ran it.
    Ran {
        /// Results in the order of the pieces, `None` for one that has none.
        results: &'a [Option<Name>],
        /// Whether the server had no room for one.
        is_full: bool,
    },
    /// It failed as a whole.
    Failed,
}

/// What a server does and holds for this host.
#[derive(Debug, Default)]
struct Server {
    calls: u32,
    busy_until: Instant,
    avoid_until: Instant,
    reserved_bytes: u64,
    // Results that others left there, as far as the server showed, and until when to believe it.
    foreign: (u64, Instant),
    results: HashMap<Name, (u64, Instant)>,
}

impl Server {
    fn held_bytes(&self) -> u64 {
        let results = self.results.values().map(|&(bytes, _)| bytes);
        self.reserved_bytes + self.foreign.0 + results.sum::<u64>()
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
    pub fn enqueue(&mut self, piece: Piece) -> Ticket {
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
    ///
    /// A piece is given up as soon as the calls ahead of it leave no time for it, so that its caller
    /// learns that at once and not at the deadline.
    pub fn expire(&mut self, now: Instant, stages: &Stages, servers: &[Name]) -> Vec<Ticket> {
        for server in self.servers.values_mut() {
            server.results.retain(|_, &mut (_, until)| now < until);
            if now >= server.foreign.1 {
                server.foreign.0 = 0;
            }
        }
        let mut lost = Vec::new();
        let mut ends = Ends::new(self.free_in_ms(now, servers), stages);
        for (_, _, ticket) in self.order(now, stages) {
            let Some(piece) = self.waiting.get(&ticket) else {
                continue;
            };
            let done_ms = ends.peek().unwrap_or(ends.least_ms());
            if now.after_ms(done_ms + piece.remaining_ms) > piece.deadline {
                lost.push(ticket);
            } else {
                ends.push();
            }
        }
        for ticket in &lost {
            self.waiting.remove(ticket);
        }
        lost
    }

    /// Returns in how many milliseconds pieces that come now would be done, `None` where there is no
    /// server. Pieces that can be in time pass those that can't.
    pub fn estimate_ms(
        &self,
        now: Instant,
        stages: &Stages,
        servers: &[Name],
        pieces: usize,
        result_bytes: u64,
    ) -> Option<u64> {
        let in_time = self.order(now, stages);
        let ahead = in_time.iter().filter(|(is_late, _, _)| !is_late).count();
        let mut ends = Ends::new(self.free_in_ms(now, servers), stages);
        let mut done_ms = ends.peek()?;
        for _ in 0..ahead + pieces {
            done_ms = ends.push()?;
        }
        let needed = result_bytes.saturating_mul((ahead + pieces) as u64);
        if needed > self.free_bytes(stages, servers) {
            // Room comes back as requests begin to run, a call's time from now.
            done_ms += (stages.call_ms * ROOM_CALLS) as u64;
        }
        Some(done_ms)
    }

    /// Returns in how many milliseconds each server takes its next call.
    fn free_in_ms(&self, now: Instant, servers: &[Name]) -> Vec<u64> {
        let free_in = |name: &Name| {
            let Some(server) = self.servers.get(name) else {
                return 0;
            };
            let busy_ms = server.busy_until.since_ms(now);
            let busy_ms = if server.calls > 0 { busy_ms } else { 0 };
            busy_ms.max(server.avoid_until.since_ms(now))
        };
        servers.iter().map(free_in).collect()
    }

    fn order(&self, now: Instant, stages: &Stages) -> Vec<(bool, u64, Ticket)> {
        let ranks = self.waiting.iter();
        let mut order: Vec<(bool, u64, Ticket)> = ranks
            .map(|(&ticket, piece)| rank(now, stages, ticket, piece))
            .collect();
        order.sort_unstable();
        order
    }

    /// Returns the next call, where a server is free and a piece waits whose result fits.
    pub fn next_call(&mut self, now: Instant, stages: &Stages, servers: &[Name]) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        let order = self.order(now, stages);
        let mut free: Vec<(u64, &Name)> = servers
            .iter()
            .filter_map(|name| Some((self.room(now, stages, name)?, name)))
            .collect();
        free.sort_by_key(|&(room, _)| std::cmp::Reverse(room));
        free.into_iter()
            .find_map(|(room, server)| self.fill(now, stages, server, room, &order))
    }

    /// Returns the bytes that a server has room for, `None` where it takes no call now.
    fn room(&self, now: Instant, stages: &Stages, name: &str) -> Option<u64> {
        if let Some(server) = self.servers.get(name)
            && (server.calls >= stages.slots.max(1) || now < server.avoid_until)
        {
            return None;
        }
        Some(self.room_left(stages, name))
    }

    /// Returns the bytes of results that a server is believed to hold.
    pub fn held_bytes(&self, server: &str) -> u64 {
        self.servers.get(server).map_or(0, Server::held_bytes)
    }

    /// Returns the bytes that servers have room for together.
    pub fn free_bytes(&self, stages: &Stages, servers: &[Name]) -> u64 {
        let room = servers.iter().map(|name| self.room_left(stages, name));
        room.sum()
    }

    fn room_left(&self, stages: &Stages, name: &str) -> u64 {
        let room_bytes = stages.memory_bytes * ROOM_PERCENT / 100;
        let server = self.servers.get(name);
        room_bytes.saturating_sub(server.map_or(0, Server::held_bytes))
    }

    fn fill(
        &mut self,
        now: Instant,
        stages: &Stages,
        name: &Name,
        room: u64,
        order: &[(bool, u64, Ticket)],
    ) -> Option<Call> {
        let mut left = room;
        let mut chosen: Vec<Ticket> = Vec::new();
        for group in order.chunk_by(|one, other| self.is_same_stage(one.2, other.2)) {
            let pieces = group
                .iter()
                .filter_map(|&(_, _, ticket)| Some((ticket, self.waiting.get(&ticket)?)));
            let (tickets, bytes): (Vec<Ticket>, Vec<u64>) = pieces
                .map(|(ticket, piece)| (ticket, piece.result_bytes))
                .unzip();
            let bytes: u64 = bytes.iter().sum();
            // The first pieces of a request are of no use before its last, and take room meanwhile.
            if bytes <= left && chosen.len() + tickets.len() <= stages.max_pieces.max(1) {
                left -= bytes;
                chosen.extend(tickets);
            }
        }
        if chosen.is_empty() {
            // A request that is larger than a call or than what room is left goes in parts.
            (chosen, left) = self.fill_in_parts(stages, room, order);
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
        let call_ms = stages.call_ms + stages.piece_ms * pieces.len() as f64;
        server.busy_until = now.after_ms(call_ms as u64);
        server.reserved_bytes += room - left;
        Some(Call {
            server: name.clone(),
            pieces,
        })
    }

    fn fill_in_parts(
        &self,
        stages: &Stages,
        room: u64,
        order: &[(bool, u64, Ticket)],
    ) -> (Vec<Ticket>, u64) {
        let mut left = room;
        let mut chosen = Vec::new();
        for &(_, _, ticket) in order {
            let bytes = self.waiting.get(&ticket).map(|piece| piece.result_bytes);
            let Some(bytes) = bytes.filter(|&bytes| bytes <= left) else {
                continue;
            };
            left -= bytes;
            chosen.push(ticket);
            if chosen.len() >= stages.max_pieces.max(1) {
                break;
            }
        }
        (chosen, left)
    }

    fn is_same_stage(&self, one: Ticket, other: Ticket) -> bool {
        let stage = |ticket| {
            let piece = self.waiting.get(&ticket)?;
            Some((&piece.request, piece.stage))
        };
        stage(one) == stage(other)
    }

    /// Notes that a call ended. A server that failed it is left alone for a while.
    ///
    /// One that had no room where this host thought that it had is taken to be full until results
    /// are freed. Hosts that were killed leave results behind, which go by themselves.
    pub fn complete_call(
        &mut self,
        now: Instant,
        stages: &Stages,
        call: &Call,
        outcome: Outcome<'_>,
    ) {
        let server = self.servers.entry(call.server.clone()).or_default();
        server.calls = server.calls.saturating_sub(1);
        let reserved = call.pieces.iter().map(|(_, piece)| piece.result_bytes);
        let reserved: u64 = reserved.sum();
        server.reserved_bytes = server.reserved_bytes.saturating_sub(reserved);
        let Outcome::Ran {
            results,
            is_full: lacks_room,
        } = outcome
        else {
            server.avoid_until = now.after_ms(AVOID_MS);
            return;
        };
        server.avoid_until = Instant::ZERO;
        let until = now.after_ms(stages.retention_ms);
        for ((_, piece), result) in call.pieces.iter().zip(results) {
            if let Some(result) = result {
                let held = (piece.result_bytes, until);
                server.results.insert(result.clone(), held);
            }
        }
        if lacks_room {
            let foreign = server.foreign.0;
            let left = self.room_left(stages, &call.server);
            if let Some(server) = self.servers.get_mut(&call.server) {
                server.foreign = (foreign + left, now.after_ms(FOREIGN_MS));
            }
        }
    }

    /// Notes that a result was freed.
    pub fn release(&mut self, result: &str) {
        for server in self.servers.values_mut() {
            server.results.remove(result);
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Puts a piece back that its server did not run.
    pub fn requeue(&mut self, ticket: Ticket, piece: Piece) {
        self.waiting.insert(ticket, piece);
    }
}

/// When calls end if pieces are sent one after the other in full calls.
struct Ends {
    free_in_ms: Vec<u64>,
    call_ms: u64,
    piece_ms: f64,
    batch: usize,
    filled: usize,
}

impl Ends {
    fn new(mut free_in_ms: Vec<u64>, stages: &Stages) -> Self {
        free_in_ms.sort_unstable();
        Self {
            free_in_ms,
            call_ms: stages.call_ms as u64,
            piece_ms: stages.piece_ms,
            batch: stages.max_pieces.max(1),
            filled: 0,
        }
    }

    /// Returns the time of a call with one piece.
    fn least_ms(&self) -> u64 {
        self.call_ms + self.piece_ms as u64
    }

    /// Returns when one more piece would be done.
    fn peek(&self) -> Option<u64> {
        let pieces = (self.filled + 1) as f64;
        let first = self.free_in_ms.first()?;
        Some(first + self.call_ms + (self.piece_ms * pieces) as u64)
    }

    /// Adds a piece to the call that goes out next, and returns when it is done.
    fn push(&mut self) -> Option<u64> {
        let done_ms = self.peek()?;
        self.filled += 1;
        if self.filled == self.batch {
            self.filled = 0;
            self.free_in_ms[0] = done_ms;
            self.free_in_ms.sort_unstable();
        }
        Some(done_ms)
    }
}

/// Pieces that can still be in time go first, by how soon they have to start.
fn rank(now: Instant, stages: &Stages, ticket: Ticket, piece: &Piece) -> (bool, u64, Ticket) {
    let own_ms = (stages.call_ms + stages.piece_ms) as u64;
    let start = piece.objective.before_ms(piece.remaining_ms + own_ms);
    let is_late = now > start;
    let place = start.after_ms(u64::from(piece.priority) * PRIORITY_MS);
    (is_late, place.as_ms(), ticket)
}
