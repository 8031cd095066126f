//! Batches the pieces of stages into calls to backend servers.

use std::collections::{
    BTreeMap,
    HashMap,
    VecDeque, //
};

use super::{
    config::Stages,
    plan::Input, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Backoff after a failed call to a server, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

/// Time for which a server that reported a lack of memory counts as full, in milliseconds. It
/// refuses immediately and results are released continuously, so that an early retry is cheap.
const FULL_BACKOFF_MS: u64 = 100;

/// Part of a server's result memory that is used, in percent. Result sizes are estimates.
const USABLE_MEMORY_PERCENT: u64 = 96;

/// Delay for each step of priority in the order of the queue, in milliseconds: about one call.
/// Urgent pieces overtake others, and a low priority doesn't starve.
const PRIORITY_STEP_MS: u64 = 300;

/// Typical number of call durations until results that fill a server's memory are released.
const MEMORY_WAIT_CALLS: f64 = 2.0;

/// Number of calls to a server whose results are remembered, to recognise a second copy of an answer.
const REMEMBERED_CALLS: usize = 4;

/// A piece of a stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the request.
    pub request: Name,
    /// Index of the stage.
    pub stage: usize,
    /// Index of the piece in its stage.
    pub index: usize,
    /// Input of the piece.
    pub input: Input,
    /// Estimated size of its result, in bytes.
    pub result_bytes: u64,
    /// Estimated size of its input results, in bytes.
    pub input_bytes: u64,
    /// Time by which the request should be answered.
    pub objective: Instant,
    /// Time at which the request is aborted.
    pub deadline: Instant,
    /// Priority of the request. 0 is the most urgent.
    pub priority: u8,
    /// Expected time of the later stages and the request itself, in milliseconds.
    pub remaining_ms: u64,
}

/// Identifies a piece in a queue. Tickets ascend in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A call to send.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    /// The server.
    pub server: Name,
    /// The pieces, in the order of the call.
    pub pieces: Vec<(Ticket, Piece)>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<'a> {
    /// The server ran it.
    Ran {
        /// Results in the order of the pieces. `None` for a piece without a result.
        results: &'a [Option<Name>],
        /// Whether the server lacked memory for a result.
        is_full: bool,
    },
    /// It failed as a whole.
    Failed,
}

/// Calls in progress and results of this host at a server.
#[derive(Debug, Default)]
struct Server {
    calls: u32,
    busy_until: Instant,
    backoff_until: Instant,
    // End of the pause that the server asked this host for.
    paused_until: Instant,
    reserved_bytes: u64,
    // Estimated bytes of results that this host didn't create, and when the estimate expires.
    untracked: (u64, Instant),
    results: HashMap<Name, (u64, Instant)>,
    // Results of the newest calls, also of those that were released.
    answered: VecDeque<Vec<Name>>,
}

impl Server {
    fn held_bytes(&self) -> u64 {
        let results = self.results.values().map(|&(bytes, _)| bytes);
        self.reserved_bytes + self.untracked.0 + results.sum::<u64>()
    }
}

/// Pieces that wait for the servers of one service.
///
/// Requests have a few pieces each, and the time of a call hardly depends on its number of pieces.
/// So pieces that arrive while the servers are busy share the next call, ordered by urgency.
/// Results occupy memory at their servers until they are released: a piece whose result doesn't fit
/// waits, and smaller ones overtake it.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Ticket, Piece>,
    servers: HashMap<Name, Server>,
    next_ticket: u64,
    // Whether all servers of the service asked this host for a pause.
    is_paused: bool,
}

impl Queue {
    /// Adds a piece.
    pub fn enqueue(&mut self, piece: Piece) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, piece);
        ticket
    }

    /// Removes a piece whose request was cancelled.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns the number of waiting pieces.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no piece is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records until when a server is paused, `now` or earlier if it isn't.
    pub fn record_pause(&mut self, server: &Name, until: Instant) {
        if let Some(server) = self.servers.get_mut(server) {
            server.paused_until = until;
        }
    }

    /// Records whether all servers of the service are paused, also those that this host doesn't use now.
    pub fn set_paused(&mut self, is_paused: bool) {
        self.is_paused = is_paused;
    }

    /// Removes and returns the pieces that can't meet their deadline, and removes expired results
    /// from the accounting of servers. While all servers are paused, these are the pieces that can't meet their
    /// objective: their callers are refused with the time at which a pause ends.
    ///
    /// A piece expires as soon as the calls ahead of it leave no time for it, so that its caller is
    /// refused immediately and not at the deadline.
    pub fn expire(&mut self, now: Instant, stages: &Stages, servers: &[Name]) -> Vec<Ticket> {
        for server in self.servers.values_mut() {
            server.results.retain(|_, &mut (_, until)| now < until);
            if now >= server.untracked.1 {
                server.untracked.0 = 0;
            }
        }
        let mut expired = Vec::new();
        let mut schedule = Schedule::new(self.available_in_ms(now, servers), stages);
        for (_, _, ticket) in self.sorted_keys(now, stages) {
            let Some(piece) = self.waiting.get(&ticket) else {
                continue;
            };
            let done_ms = schedule.next_end_ms().unwrap_or(schedule.single_piece_ms());
            let limit = if self.is_paused {
                piece.objective.min(piece.deadline)
            } else {
                piece.deadline
            };
            if now.after_ms(done_ms + piece.remaining_ms) > limit {
                expired.push(ticket);
            } else {
                schedule.push();
            }
        }
        for ticket in &expired {
            self.waiting.remove(ticket);
        }
        expired
    }

    /// Estimates the time until pieces that arrive now are done, in milliseconds. Returns `None` if
    /// there is no server. Late pieces don't count, because others overtake them.
    pub fn estimate_ms(
        &self,
        now: Instant,
        stages: &Stages,
        servers: &[Name],
        pieces: usize,
        result_bytes: u64,
    ) -> Option<u64> {
        let in_time = self.sorted_keys(now, stages);
        let ahead = in_time.iter().filter(|(is_late, _, _)| !is_late).count();
        let mut schedule = Schedule::new(self.available_in_ms(now, servers), stages);
        let mut done_ms = schedule.next_end_ms()?;
        for _ in 0..ahead + pieces {
            done_ms = schedule.push()?;
        }
        let needed_bytes = result_bytes.saturating_mul((ahead + pieces) as u64);
        if needed_bytes > self.free_bytes(stages, servers) {
            // Memory is released when requests begin to run, after the time of a call.
            done_ms += (stages.call_ms * MEMORY_WAIT_CALLS) as u64;
        }
        Some(done_ms)
    }

    /// Returns the time until each server can take its next call, in milliseconds.
    fn available_in_ms(&self, now: Instant, servers: &[Name]) -> Vec<u64> {
        let available_in = |name: &Name| {
            let Some(server) = self.servers.get(name) else {
                return 0;
            };
            let busy_ms = server.busy_until.since_ms(now);
            let busy_ms = if server.calls > 0 { busy_ms } else { 0 };
            let unusable_until = server.backoff_until.max(server.paused_until);
            busy_ms.max(unusable_until.since_ms(now))
        };
        servers.iter().map(available_in).collect()
    }

    /// Returns the sort keys of the waiting pieces, the most urgent first.
    fn sorted_keys(&self, now: Instant, stages: &Stages) -> Vec<(bool, u64, Ticket)> {
        let pieces = self.waiting.iter();
        let mut sorted: Vec<(bool, u64, Ticket)> = pieces
            .map(|(&ticket, piece)| sort_key(now, stages, ticket, piece))
            .collect();
        sorted.sort_unstable();
        sorted
    }

    /// Returns the next call if a server is free and has memory for the result of a waiting piece.
    pub fn next_call(&mut self, now: Instant, stages: &Stages, servers: &[Name]) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        let sorted = self.sorted_keys(now, stages);
        let mut free: Vec<(u64, &Name)> = servers
            .iter()
            .filter_map(|name| Some((self.available_bytes(now, stages, name)?, name)))
            .collect();
        free.sort_by_key(|&(available_bytes, _)| std::cmp::Reverse(available_bytes));
        free.into_iter().find_map(|(available_bytes, server)| {
            self.build_call(now, stages, server, available_bytes, &sorted)
        })
    }

    /// Returns the free result memory of a server in bytes, or `None` if it can't take a call now.
    fn available_bytes(&self, now: Instant, stages: &Stages, name: &str) -> Option<u64> {
        if let Some(server) = self.servers.get(name)
            && (server.calls >= stages.slots.max(1)
                || now < server.backoff_until.max(server.paused_until))
        {
            return None;
        }
        Some(self.unused_bytes(stages, name))
    }

    /// Returns the number of calls in progress and of results of this host at a server.
    pub fn uses(&self, server: &str) -> usize {
        let server = self.servers.get(server);
        server.map_or(0, |server| server.calls as usize + server.results.len())
    }

    /// Returns the estimated bytes of results that a server holds.
    pub fn held_bytes(&self, server: &str) -> u64 {
        self.servers.get(server).map_or(0, Server::held_bytes)
    }

    /// Returns the total free result memory of servers, in bytes.
    pub fn free_bytes(&self, stages: &Stages, servers: &[Name]) -> u64 {
        let available_bytes = servers.iter().map(|name| self.unused_bytes(stages, name));
        available_bytes.sum()
    }

    fn unused_bytes(&self, stages: &Stages, name: &str) -> u64 {
        let usable_bytes = stages.memory_bytes * USABLE_MEMORY_PERCENT / 100;
        let server = self.servers.get(name);
        usable_bytes.saturating_sub(server.map_or(0, Server::held_bytes))
    }

    fn build_call(
        &mut self,
        now: Instant,
        stages: &Stages,
        name: &Name,
        available_bytes: u64,
        sorted: &[(bool, u64, Ticket)],
    ) -> Option<Call> {
        let mut left_bytes = available_bytes;
        let mut selected: Vec<Ticket> = Vec::new();
        for group in sorted.chunk_by(|one, other| self.is_same_stage(one.2, other.2)) {
            let pieces = group
                .iter()
                .filter_map(|&(_, _, ticket)| Some((ticket, self.waiting.get(&ticket)?)));
            let (tickets, bytes): (Vec<Ticket>, Vec<u64>) = pieces
                .map(|(ticket, piece)| (ticket, piece.result_bytes))
                .unzip();
            let bytes: u64 = bytes.iter().sum();
            // A stage is done with its last piece, and earlier results occupy memory until then. So
            // the pieces of a stage share a call.
            if bytes <= left_bytes && selected.len() + tickets.len() <= stages.max_pieces.max(1) {
                left_bytes -= bytes;
                selected.extend(tickets);
            }
        }
        if selected.is_empty() {
            // A stage that is larger than a call or than the free memory is split.
            (selected, left_bytes) = self.select_pieces(stages, available_bytes, sorted);
        }
        if selected.is_empty() {
            return None;
        }
        let pieces: Vec<(Ticket, Piece)> = selected
            .into_iter()
            .filter_map(|ticket| Some((ticket, self.waiting.remove(&ticket)?)))
            .collect();
        let server = self.servers.entry(name.clone()).or_default();
        server.calls += 1;
        let call_ms = stages.call_ms + stages.piece_ms * pieces.len() as f64;
        server.busy_until = now.after_ms(call_ms as u64);
        server.reserved_bytes += available_bytes - left_bytes;
        Some(Call {
            server: name.clone(),
            pieces,
        })
    }

    fn select_pieces(
        &self,
        stages: &Stages,
        available_bytes: u64,
        sorted: &[(bool, u64, Ticket)],
    ) -> (Vec<Ticket>, u64) {
        let mut left_bytes = available_bytes;
        let mut selected = Vec::new();
        for &(_, _, ticket) in sorted {
            let bytes = self.waiting.get(&ticket).map(|piece| piece.result_bytes);
            let Some(bytes) = bytes.filter(|&bytes| bytes <= left_bytes) else {
                continue;
            };
            left_bytes -= bytes;
            selected.push(ticket);
            if selected.len() >= stages.max_pieces.max(1) {
                break;
            }
        }
        (selected, left_bytes)
    }

    fn is_same_stage(&self, one: Ticket, other: Ticket) -> bool {
        let stage = |ticket| {
            let piece = self.waiting.get(&ticket)?;
            Some((&piece.request, piece.stage))
        };
        stage(one) == stage(other)
    }

    /// Records the end of a call. A server that failed it gets no calls for a while.
    ///
    /// A server that lacks memory although this host computed that it has some counts as full for a
    /// short time. Its memory holds results of hosts that were killed, which the server drops when
    /// their retention time is over.
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
        let Outcome::Ran { results, is_full } = outcome else {
            server.backoff_until = now.after_ms(FAILURE_BACKOFF_MS);
            return;
        };
        server.backoff_until = Instant::ZERO;
        let until = now.after_ms(stages.retention_ms);
        for ((_, piece), result) in call.pieces.iter().zip(results) {
            if let Some(result) = result {
                let held = (piece.result_bytes, until);
                server.results.insert(result.clone(), held);
            }
        }
        if is_full {
            let untracked = server.untracked.0;
            let left_bytes = self.unused_bytes(stages, &call.server);
            if let Some(server) = self.servers.get_mut(&call.server) {
                server.untracked = (untracked + left_bytes, now.after_ms(FULL_BACKOFF_MS));
            }
        }
    }

    /// Returns whether the results of a call are those of an earlier call to the same server, and
    /// remembers them if not.
    ///
    /// Answers to calls don't name the call. A faulty server may send one a second time, late, where
    /// the answer to the next call is expected.
    pub fn is_repeated(&mut self, server: &Name, results: &[Name]) -> bool {
        if results.is_empty() {
            return false;
        }
        let answered = &mut self.servers.entry(server.clone()).or_default().answered;
        if answered.iter().any(|call| call == results) {
            return true;
        }
        answered.push_back(results.to_vec());
        if answered.len() > REMEMBERED_CALLS {
            answered.pop_front();
        }
        false
    }

    /// Records that a result was released.
    pub fn release(&mut self, result: &str) {
        for server in self.servers.values_mut() {
            server.results.remove(result);
        }
    }

    /// Removes a server that has left.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Adds a piece again that its server did not run, under the same ticket.
    pub fn requeue(&mut self, ticket: Ticket, piece: Piece) {
        self.waiting.insert(ticket, piece);
    }
}

/// Estimated ends of calls if the waiting pieces are sent in full calls.
struct Schedule {
    available_in_ms: Vec<u64>,
    call_ms: u64,
    piece_ms: f64,
    batch: usize,
    piece_count: usize,
}

impl Schedule {
    fn new(mut available_in_ms: Vec<u64>, stages: &Stages) -> Self {
        available_in_ms.sort_unstable();
        Self {
            available_in_ms,
            call_ms: stages.call_ms as u64,
            piece_ms: stages.piece_ms,
            batch: stages.max_pieces.max(1),
            piece_count: 0,
        }
    }

    /// Returns the duration of a call with one piece, in milliseconds.
    fn single_piece_ms(&self) -> u64 {
        self.call_ms + self.piece_ms as u64
    }

    /// Returns the time until one more piece would be done, in milliseconds.
    fn next_end_ms(&self) -> Option<u64> {
        let pieces = (self.piece_count + 1) as f64;
        let first = self.available_in_ms.first()?;
        Some(first + self.call_ms + (self.piece_ms * pieces) as u64)
    }

    /// Adds a piece to the next call, and returns the time until it is done, in milliseconds.
    fn push(&mut self) -> Option<u64> {
        let done_ms = self.next_end_ms()?;
        self.piece_count += 1;
        if self.piece_count == self.batch {
            self.piece_count = 0;
            self.available_in_ms[0] = done_ms;
            self.available_in_ms.sort_unstable();
        }
        Some(done_ms)
    }
}

/// Returns the sort key of a piece: those that can meet their objective first, by latest start
/// time.
fn sort_key(now: Instant, stages: &Stages, ticket: Ticket, piece: &Piece) -> (bool, u64, Ticket) {
    let own_ms = (stages.call_ms + stages.piece_ms) as u64;
    let start = piece.objective.before_ms(piece.remaining_ms + own_ms);
    let is_late = now > start;
    let urgency = start.after_ms(u64::from(piece.priority) * PRIORITY_STEP_MS);
    (is_late, urgency.as_ms(), ticket)
}
