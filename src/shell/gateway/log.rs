//! Structured log of the gateway, with one line for each decision.

use std::{
    cell::Cell,
    net::SocketAddr, //
};

use slog::Logger;

use super::clock::Clock;
use crate::{
    core::gateway::{
        balance::Segment,
        cache,
        hosts,
        placement::cost::Estimate,
        position::Position,
        quarantine, //
    },
    names::Name,
    time::Instant, //
};

/// Maximum log lines per second, so that a burst of requests causes no burst of writes. Twice what
/// a host logs at the highest load that it can serve.
const MAX_LINES_PER_S: u32 = 600;

/// How far a server's answer to an attempt had come when the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of the answer had arrived.
    None,
    /// The head had arrived, and no event or complete body.
    Head,
    /// Events had arrived.
    Events,
}

impl Progress {
    fn text(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Head => "head",
            Self::Events => "events",
        }
    }
}

/// How the answer to a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is complete.
    Complete,
    /// The server broke off, and no other one could resume it.
    Lost,
    /// The deadline passed in the midst of it.
    Deadline,
    /// The caller left in the midst of it.
    CallerLeft,
}

impl End {
    fn text(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Lost => "lost",
            Self::Deadline => "deadline",
            Self::CallerLeft => "caller left",
        }
    }
}

/// Formats the hash of a part's id, which is all that a host knows of parts that others reported.
fn part_key(key: cache::Key) -> String {
    format!("{key:016x}")
}

fn part_ids(parts: &[Segment]) -> String {
    let texts = parts
        .iter()
        .map(|part| format!("{} ({})", part.id, part_key(cache::key(part))));
    texts.collect::<Vec<_>>().join(", ")
}

/// A decision, or a change in the state that the process knows.
#[derive(Debug)]
pub enum Event<'a> {
    /// The process started.
    Start {
        /// The host.
        host: &'a Name,
        /// Its data centre.
        data_centre: &'a Name,
    },
    /// The process drains or ends.
    Stop {
        /// Step of the shutdown.
        step: &'static str,
        /// Running requests.
        running: usize,
        /// Connections with responses that their callers don't have completely.
        undelivered: usize,
    },
    /// The settings were reloaded.
    Reload {
        /// Why it failed.
        error: Option<String>,
    },
    /// A dependency became unavailable or available.
    Dependency {
        /// The dependency.
        name: &'a str,
        /// Whether it is available.
        up: bool,
        /// Reason.
        why: &'a str,
    },
    /// Another host sent its state, while the store is unavailable at the start, or its configuration, which
    /// is newer than that in the store.
    Learned {
        /// The host.
        from: SocketAddr,
        /// Time since that host read the store.
        read_ms: u64,
        /// Why it sent none.
        error: Option<String>,
    },
    /// A message was rejected, since no host sealed it.
    Unsealed {
        /// Address of the sender.
        from: SocketAddr,
        /// Kind of the message.
        what: &'static str,
    },
    /// A connection was closed, since the head of a request took too long.
    SlowHead {
        /// The caller.
        from: SocketAddr,
    },
    /// A topic of the store was read from the start.
    Position {
        /// The topic.
        topic: &'a str,
        /// Position of the next read.
        position: Position,
        /// Timeline of what was known of the topic before.
        before: Option<u64>,
    },
    /// The process was paused.
    Paused {
        /// Duration of the pause.
        ms: u64,
    },
    /// A configuration took effect.
    Configuration {
        /// Its version.
        version: u64,
        /// The previous version.
        before: Option<u64>,
    },
    /// A record was rejected.
    BadRecord {
        /// Its key.
        key: &'a Name,
        /// Why it was rejected.
        error: String,
    },
    /// A data centre was taken out of service or put back.
    DataCentre {
        /// The data centre.
        name: &'a Name,
        /// Whether it is out of service.
        out: bool,
    },
    /// A server joined, left or restarted.
    Server {
        /// Its id.
        id: &'a Name,
        /// What changed.
        change: &'static str,
    },
    /// A host started or stopped serving.
    Host {
        /// Its name.
        name: &'a Name,
        /// Whether it serves.
        serving: bool,
    },
    /// A host began or ceased to count as live, and so to be named to callers while it serves.
    Liveness(hosts::Transition),
    /// The gateway refused a request itself.
    Refused {
        /// Its id.
        request: &'a str,
        /// Status of the response.
        status: u16,
        /// Reason of the refusal.
        reason: &'a str,
        /// Version of the configuration in effect.
        version: u64,
        /// Time since the request arrived.
        ms: u64,
    },
    /// A request was assigned to a server.
    Placed {
        /// The request.
        request: &'a str,
        /// The server.
        server: &'a Name,
        /// Number of earlier attempts.
        attempt: u32,
        /// Running requests of this host at the server, with this one.
        running: u32,
        /// Tokens of the prompt that the server has to prefill.
        tokens: u64,
        /// Time since the server's entry was received.
        age_ms: u64,
        /// The dispatcher that assigned the server. `None` if this host did.
        dispatcher: Option<&'a Name>,
        /// Server from which parts of the prompt are fetched.
        source: Option<&'a Name>,
        /// Terms of the expected latency, where it decided.
        estimate: Option<&'a Estimate>,
    },
    /// A grant of a dispatcher was declined, since its server gets no requests any more.
    Declined {
        /// The request.
        request: &'a str,
        /// The server.
        server: &'a Name,
        /// The dispatcher.
        dispatcher: &'a Name,
        /// Whether this host knows the server, which then is leaving or drained.
        is_known: bool,
    },
    /// A server asked this host for a pause.
    Pause {
        /// The server.
        server: &'a Name,
        /// Its service.
        service: &'a Name,
        /// Duration that it asked for, in milliseconds.
        asked_ms: u64,
        /// Time until the pause ends, with the jitter of this host, in milliseconds.
        left_ms: u64,
        /// Time since its request was sent, in milliseconds.
        answer_ms: u64,
    },
    /// A server asked for a pause with a value that isn't a number of seconds. Logged once for each start.
    MalformedPause {
        /// The server.
        server: &'a Name,
    },
    /// A request waits until the first pause of the servers of its service ends.
    AwaitsPause {
        /// The request.
        request: &'a str,
        /// Its service.
        service: &'a Name,
        /// Time until the pause ends, in milliseconds.
        left_ms: u64,
    },
    /// An attempt at a server failed.
    Failed {
        /// The request.
        request: &'a str,
        /// Key of its content, the same at each repetition.
        content: cache::Key,
        /// The server.
        server: &'a Name,
        /// Outcome.
        end: &'a str,
        /// How the request may continue: `repeatable`, `once` or `resume`.
        next: &'static str,
        /// How far the server's answer had come.
        progress: Progress,
        /// Ids of the parts of the prompt that other requests may share.
        parts: &'a [Segment],
        /// Time since the request arrived.
        ms: u64,
    },
    /// A server named another rate of requests that it takes, or none any more.
    Limit {
        /// The server.
        server: &'a Name,
        /// Requests in 1,000 seconds, `None` if it no longer names a rate.
        per_ks: Option<u64>,
        /// Whether it said so to this host.
        is_own: bool,
    },
    /// A server crashed before its answer to a request began.
    Crash {
        /// The server.
        server: &'a Name,
        /// Keys of the request and of the shared parts of its prompt.
        content: &'a [cache::Key],
    },
    /// A request or a part of prompts was quarantined, or its quarantine ended.
    Quarantine {
        /// What changed.
        change: &'a quarantine::Change,
    },
    /// A request is quarantined, or has a quarantined part.
    Quarantined {
        /// The request.
        request: &'a str,
        /// Key of its content or of the part.
        part: cache::Key,
        /// Remaining time of the quarantine.
        left_ms: u64,
    },
    /// A server's response was forwarded.
    Answered {
        /// Its id.
        request: &'a str,
        /// Key of its content, the same at each repetition.
        content: cache::Key,
        /// Its route.
        route: &'a Name,
        /// Status of the response.
        status: u16,
        /// How it ended.
        end: End,
        /// Number of attempts.
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
        /// The host that batches its pieces.
        owner: &'a Name,
        /// Number of pieces.
        pieces: usize,
        /// Outcome.
        outcome: &'a str,
        /// Duration.
        ms: u64,
    },
    /// A step of a rollout.
    Rollout {
        /// The service.
        service: &'a Name,
        /// The version of the order.
        target: &'a Name,
        /// Id of the order.
        order: u64,
        /// The step.
        step: &'a str,
        /// What it is based on.
        detail: &'a str,
        /// Requests that this host sent to the service since it learned of the order.
        sent: u64,
        /// Those of them that went to the target.
        sent_to_target: u64,
        /// Time since the order, as far as this host knows.
        age_ms: u64,
    },
    /// A batched call ended.
    Batch {
        /// The service.
        service: &'a Name,
        /// The server.
        server: &'a Name,
        /// Pieces in the call.
        pieces: usize,
        /// Pieces still queued.
        waiting: usize,
        /// Pieces for whose results the server had no memory.
        no_room: usize,
        /// Bytes of results at the server, as this host accounts for them.
        held_bytes: u64,
        /// Outcome.
        outcome: &'a str,
        /// Duration.
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
    /// Creates a log over a non-blocking logger.
    pub fn new(logger: Logger, clock: Clock) -> Self {
        Self {
            logger,
            clock,
            window_start: Cell::default(),
            window_lines: Cell::default(),
            dropped: Cell::default(),
        }
    }

    fn try_take_line(&self) -> bool {
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
        if !self.try_take_line() {
            return;
        }
        let log = &self.logger;
        match event {
            Event::Start { host, data_centre } => {
                slog::info!(log, "start"; "host" => %host, "data_centre" => %data_centre);
            }
            Event::Stop {
                step,
                running,
                undelivered,
            } => {
                slog::info!(log, "stop"; "step" => step, "running" => running,
                    "undelivered" => undelivered);
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
            Event::Position {
                topic,
                position,
                before,
            } => {
                slog::info!(log, "position"; "topic" => topic, "timeline" => position.timeline,
                    "offset" => position.offset, "before" => before);
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
            Event::Liveness(transition) => {
                slog::info!(log, "liveness"; "name" => %transition.name, "live" => transition.live,
                    "evidence" => transition.evidence.name(), "age_ms" => transition.age_ms,
                    "unanswered_ms" => transition.unanswered_ms);
            }
            Event::Pause {
                server,
                service,
                asked_ms,
                left_ms,
                answer_ms,
            } => slog::info!(log, "pause"; "server" => %server, "service" => %service,
                "asked_ms" => asked_ms, "left_ms" => left_ms, "answer_ms" => answer_ms),
            Event::MalformedPause { server } => {
                slog::warn!(log, "malformed pause"; "server" => %server);
            }
            Event::Rollout {
                service,
                target,
                order,
                step,
                detail,
                sent,
                sent_to_target,
                age_ms,
            } => {
                slog::info!(log, "rollout"; "service" => %service, "target" => %target,
                    "order" => format!("{order:016x}"), "step" => step, "detail" => detail,
                    "sent" => sent, "sent_to_target" => sent_to_target, "age_ms" => age_ms);
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
                dispatcher,
                source,
                estimate: Some(it),
            } => slog::info!(log, "placed"; "request" => request, "server" => %server,
                "attempt" => attempt, "running" => running, "tokens" => tokens, "age_ms" => age_ms,
                "dispatcher" => dispatcher.map(Name::as_str), "source" => source.map(Name::as_str),
                "first_ms" => it.first_ms() as u64, "total_ms" => it.total_ms() as u64,
                "queue_ms" => it.queue_ms as u64, "prefill_ms" => it.prefill_ms as u64,
                "fetch_ms" => it.fetch_ms as u64, "beside_ms" => it.beside_ms as u64,
                "others_ms" => it.others_ms as u64, "slot_ms" => it.slot_ms as u64,
                "memory_ms" => it.memory_ms as u64, "region_ms" => it.region_ms as u64,
                "warm_up_ms" => it.warm_up_ms as u64, "failure_ms" => it.failure_ms as u64,
                "uncertainty_ms" => it.uncertainty_ms as u64, "decode_ms" => it.decode_ms as u64,
                "cached" => it.cached, "ahead" => it.ahead,
                "factor_percent" => (it.factor * 100.0) as u64, "samples" => it.samples,
                "speed_age_ms" => it.speed_age_ms,
                "speed_from" => if it.samples > 0 { "server" } else { "median" }),
            Event::Placed {
                request,
                server,
                attempt,
                running,
                tokens,
                age_ms,
                dispatcher,
                source: _,
                estimate: None,
            } => slog::info!(log, "placed"; "request" => request, "server" => %server,
                "attempt" => attempt, "running" => running, "tokens" => tokens, "age_ms" => age_ms,
                "dispatcher" => dispatcher.map(Name::as_str)),
            Event::Declined {
                request,
                server,
                dispatcher,
                is_known,
            } => slog::info!(log, "grant declined"; "request" => request, "server" => %server,
                "dispatcher" => %dispatcher, "known" => is_known),
            Event::AwaitsPause {
                request,
                service,
                left_ms,
            } => slog::info!(log, "awaits pause"; "request" => request, "service" => %service,
                "left_ms" => left_ms),
            Event::Failed {
                request,
                content,
                server,
                end,
                next,
                progress,
                parts,
                ms,
            } => slog::info!(log, "attempt failed"; "request" => request,
                "content" => part_key(*content), "server" => %server,
                "end" => end, "next" => next, "progress" => progress.text(),
                "parts" => part_ids(parts), "ms" => ms),
            Event::Limit {
                server,
                per_ks,
                is_own,
            } => {
                slog::info!(log, "limit"; "server" => %server, "per_ks" => per_ks, "own" => is_own)
            }
            Event::Crash { server, content } => {
                let keys: Vec<String> = content.iter().copied().map(part_key).collect();
                slog::warn!(log, "crash"; "server" => %server, "content" => keys.join(", "));
            }
            Event::Quarantine { change } => match change {
                quarantine::Change::Added {
                    part,
                    crashes,
                    is_ambiguous,
                } => {
                    slog::warn!(log, "quarantine"; "part" => part_key(*part), "crashes" => crashes,
                        "ambiguous" => is_ambiguous);
                }
                quarantine::Change::Lifted { part } => {
                    slog::warn!(log, "quarantine lifted"; "part" => part_key(*part));
                }
            },
            Event::Quarantined {
                request,
                part,
                left_ms,
            } => slog::info!(log, "quarantined"; "request" => request, "part" => part_key(*part),
                "left_ms" => left_ms),
            Event::Answered {
                request,
                content,
                route,
                status,
                end,
                attempts,
                stages_ms,
                first_ms,
                ms,
            } => slog::info!(log, "answered"; "request" => request,
                "content" => part_key(*content), "route" => %route,
                "status" => status, "whole" => *end == End::Complete, "end" => end.text(),
                "attempts" => attempts,
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
            // `write` handles all other events.
            _ => {}
        }
    }
}
