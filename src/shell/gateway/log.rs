//! What the gateway logs: one line for each decision, rendered in one place.

use std::{
    cell::Cell,
    net::SocketAddr, //
};

use slog::Logger;

use super::clock::Clock;
use crate::{
    names::Name,
    time::Instant, //
};

/// Lines a second. A burst of requests must not turn into a burst of writing. Twice what a host
/// logs at the peak that it can serve.
const MAX_LINES_PER_S: u32 = 600;

/// A decision or a change of what the process believes.
#[derive(Debug)]
pub enum Event<'a> {
    /// The process started.
    Start {
        /// The host.
        host: &'a Name,
        /// Where it stands.
        data_centre: &'a Name,
    },
    /// The process leaves, or ends.
    Stop {
        /// What it waits for, or why it ends.
        step: &'static str,
        /// Requests that run.
        running: usize,
    },
    /// The settings were read again.
    Reload {
        /// What is wrong with them.
        error: Option<String>,
    },
    /// Something that the process needs was lost, or is back.
    Dependency {
        /// What.
        name: &'a str,
        /// Whether it is there.
        up: bool,
        /// What was seen.
        why: &'a str,
    },
    /// A host said what it knows, while the store is away at the start.
    Learned {
        /// The host.
        from: SocketAddr,
        /// Time since it read the store.
        read_ms: u64,
        /// Why it said nothing.
        error: Option<String>,
    },
    /// A message wasn't taken, since it doesn't come from a host.
    Unsealed {
        /// Where it came from.
        from: SocketAddr,
        /// What it asked for.
        what: &'static str,
    },
    /// A connection was closed, since the head of a request took too long.
    SlowHead {
        /// The caller.
        from: SocketAddr,
    },
    /// The process stood still.
    Paused {
        /// For how long.
        ms: u64,
    },
    /// A configuration is in force here.
    Configuration {
        /// Its version.
        version: u64,
        /// The version before.
        before: Option<u64>,
    },
    /// A record isn't used.
    BadRecord {
        /// Its key.
        key: &'a Name,
        /// What is wrong.
        error: String,
    },
    /// A data centre gets no new work, or gets work again.
    DataCentre {
        /// The data centre.
        name: &'a Name,
        /// Whether it is out.
        out: bool,
    },
    /// A server joined, left or restarted.
    Server {
        /// Its id.
        id: &'a Name,
        /// What changed.
        change: &'static str,
    },
    /// A host began or ceased to serve.
    Host {
        /// Its name.
        name: &'a Name,
        /// Whether it serves.
        serving: bool,
    },
    /// A request was answered by this host itself.
    Refused {
        /// Its id.
        request: &'a str,
        /// Status of the answer.
        status: u16,
        /// Why.
        reason: &'a str,
        /// Version of the configuration that decided.
        version: u64,
        /// Time since the request came.
        ms: u64,
    },
    /// A server was chosen.
    Placed {
        /// The request.
        request: &'a str,
        /// The server.
        server: &'a Name,
        /// Attempts before.
        attempt: u32,
        /// Requests of this host that run there, with this one.
        running: u32,
        /// Tokens of the prompt that it has to read.
        tokens: u64,
        /// Age of the server's entry.
        age_ms: u64,
    },
    /// An attempt at a server failed.
    Failed {
        /// The request.
        request: &'a str,
        /// The server.
        server: &'a Name,
        /// How it ended.
        end: &'a str,
        /// What follows.
        next: &'static str,
        /// Time since the request came.
        ms: u64,
    },
    /// A request got a server's answer.
    Answered {
        /// Its id.
        request: &'a str,
        /// Its route.
        route: &'a Name,
        /// Status of the answer.
        status: u16,
        /// Whether it was whole.
        whole: bool,
        /// Servers that it was sent to.
        attempts: u32,
        /// Time in stages.
        stages_ms: u64,
        /// Time to the first byte.
        first_ms: u64,
        /// Time to the end.
        ms: u64,
    },
    /// A stage of a request ended.
    Stage {
        /// The request.
        request: &'a str,
        /// The service.
        service: &'a Name,
        /// The host that gathers its calls.
        owner: &'a Name,
        /// Number of pieces.
        pieces: usize,
        /// How it ended.
        outcome: &'a str,
        /// How long it took.
        ms: u64,
    },
    /// A call with pieces ended.
    Batch {
        /// The service.
        service: &'a Name,
        /// The server.
        server: &'a Name,
        /// Pieces in the call.
        pieces: usize,
        /// Pieces that wait.
        waiting: usize,
        /// Pieces whose results found no room.
        no_room: usize,
        /// Bytes of results that this host believes the server to hold.
        held_bytes: u64,
        /// How it ended.
        outcome: &'a str,
        /// How long it took.
        ms: u64,
    },
}

/// The log of one gateway.
pub struct Log {
    logger: Logger,
    clock: Clock,
    window_start: Cell<Instant>,
    window_lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl Log {
    /// Makes a log over a logger that doesn't block.
    pub fn new(logger: Logger, clock: Clock) -> Self {
        Self {
            logger,
            clock,
            window_start: Cell::default(),
            window_lines: Cell::default(),
            dropped: Cell::default(),
        }
    }

    fn has_room(&self) -> bool {
        let now = self.clock.now();
        if now.since_ms(self.window_start.get()) >= 1_000 {
            self.window_start.set(now);
            self.window_lines.set(0);
            let dropped = self.dropped.take();
            if dropped > 0 {
                slog::warn!(self.logger, "lines dropped"; "count" => dropped);
            }
        }
        let lines = self.window_lines.get();
        if lines >= MAX_LINES_PER_S {
            self.dropped.set(self.dropped.get() + 1);
            return false;
        }
        self.window_lines.set(lines + 1);
        true
    }

    /// Writes an event.
    pub fn write(&self, event: &Event<'_>) {
        if !self.has_room() {
            return;
        }
        let log = &self.logger;
        match event {
            Event::Start { host, data_centre } => {
                slog::info!(log, "start"; "host" => %host, "data_centre" => %data_centre);
            }
            Event::Stop { step, running } => {
                slog::info!(log, "stop"; "step" => step, "running" => running);
            }
            Event::Reload { error } => match error {
                None => slog::info!(log, "reload"),
                Some(error) => slog::error!(log, "reload"; "error" => error),
            },
            Event::Dependency { name, up, why } => {
                slog::warn!(log, "dependency"; "name" => name, "up" => up, "why" => why);
            }
            Event::Learned {
                from,
                read_ms,
                error,
            } => {
                slog::info!(log, "learned"; "from" => %from, "read_ms" => read_ms, "error" => error);
            }
            Event::SlowHead { from } => slog::info!(log, "slow head"; "from" => %from),
            Event::Unsealed { from, what } => {
                slog::warn!(log, "not sealed"; "from" => %from, "what" => what);
            }
            Event::Paused { ms } => slog::warn!(log, "paused"; "ms" => ms),
            Event::Configuration { version, before } => {
                slog::info!(log, "configuration"; "version" => version, "before" => before);
            }
            Event::BadRecord { key, error } => {
                slog::warn!(log, "record not used"; "key" => %key, "error" => error);
            }
            Event::DataCentre { name, out } => {
                slog::info!(log, "data centre"; "name" => %name, "out" => out);
            }
            Event::Server { id, change } => {
                slog::info!(log, "server"; "server" => %id, "change" => change);
            }
            Event::Host { name, serving } => {
                slog::info!(log, "host"; "name" => %name, "serving" => serving);
            }
            request => self.write_request(request),
        }
    }

    fn write_request(&self, event: &Event<'_>) {
        let log = &self.logger;
        match event {
            Event::Refused {
                request,
                status,
                reason,
                version,
                ms,
            } => slog::info!(log, "refused"; "request" => request, "status" => status,
                "reason" => reason, "version" => version, "ms" => ms),
            Event::Placed {
                request,
                server,
                attempt,
                running,
                tokens,
                age_ms,
            } => slog::info!(log, "placed"; "request" => request, "server" => %server,
                "attempt" => attempt, "running" => running, "tokens" => tokens, "age_ms" => age_ms),
            Event::Failed {
                request,
                server,
                end,
                next,
                ms,
            } => slog::info!(log, "attempt failed"; "request" => request, "server" => %server,
                "end" => end, "next" => next, "ms" => ms),
            Event::Answered {
                request,
                route,
                status,
                whole,
                attempts,
                stages_ms,
                first_ms,
                ms,
            } => slog::info!(log, "answered"; "request" => request, "route" => %route,
                "status" => status, "whole" => whole, "attempts" => attempts,
                "stages_ms" => stages_ms, "first_ms" => first_ms, "ms" => ms),
            Event::Stage {
                request,
                service,
                owner,
                pieces,
                outcome,
                ms,
            } => slog::info!(log, "stage"; "request" => request, "service" => %service,
                "owner" => %owner, "pieces" => pieces, "outcome" => outcome, "ms" => ms),
            Event::Batch {
                service,
                server,
                pieces,
                waiting,
                no_room,
                held_bytes,
                outcome,
                ms,
            } => slog::info!(log, "batch"; "service" => %service, "server" => %server,
                "pieces" => pieces, "waiting" => waiting, "no_room" => no_room,
                "held_bytes" => held_bytes, "outcome" => outcome, "ms" => ms),
            // All others are written by the caller.
            _ => {}
        }
    }
}
