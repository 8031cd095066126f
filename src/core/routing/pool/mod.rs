//! The state machine of one pool on one host: its state, and the handling of its events.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    Action,
    Event,
    affinity,
    cost,
    histogram::Histogram,
    labels::Labels,
    limit::Bounds,
    policy::Policy,
    queue::Queue,
    refuse,
    server::Server,
    share::Position,
    shared::Shared, //
};
use crate::{
    core::{
        call::{
            self,
            Incarnation, //
        },
        document,
        view::View, //
    },
    names::Name,
    time::Instant,
};

mod admit;
mod choose;
mod complete;
mod configure;
mod dispatch;
mod messages;
mod observe;

/// Time between two ticks from which the process counts as paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 250;

/// Time after a pause in which messages waiting in the sockets are read before calls are sent, in
/// milliseconds.
const HOLD_AFTER_PAUSE_MS: u64 = 100;

/// A call that was sent and hasn't ended.
struct SentCall {
    server: usize,
    request: call::Request,
    pipeline: Name,
    stage: usize,
    prefix: u64,
    offered_at: Instant,
    sent_at: Instant,
    /// Incarnation of the server that is known to run the call.
    incarnation: Option<Incarnation>,
    /// Whether a piece of a stream has arrived.
    progressed: bool,
    aborted: bool,
}

/// The routing state of one pool on one host.
pub struct Pool {
    name: Name,
    policy: Policy,
    shared: Arc<Shared>,
    rng: Pcg64Mcg,
    labels: Labels,
    /// The pool in the document that was last applied, `None` if the document lacks it.
    definition: Option<Arc<document::Pool>>,
    bounds: Bounds,
    servers: Vec<Server>,
    index_by_name: BTreeMap<Name, usize>,
    /// Servers with room, in no particular order.
    open_servers: Vec<usize>,
    servers_by_model: BTreeMap<Name, Vec<usize>>,
    affinity: affinity::Index,
    queue: Queue,
    sent_calls: BTreeMap<call::Id, SentCall>,
    stage_durations: BTreeMap<Name, Vec<Histogram>>,
    call_durations: Histogram,
    ledger: cost::Ledger,
    /// Calls that this host may run on all servers together, as of the last tick.
    total_slots: u64,
    round_robin_turn: usize,
    /// Index of the server that was last considered for a capacity query.
    query_cursor: usize,
    last_query_id: u64,
    last_tick: Option<Instant>,
    /// Time before which no calls are sent, after a pause of the process.
    hold_until: Instant,
}

impl Pool {
    /// Creates a pool without calls. The seed is for random samples and jitter.
    pub fn new(name: Name, policy: Policy, shared: Arc<Shared>, seed: u64) -> Self {
        let salt = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        Self {
            name,
            policy,
            shared,
            rng: Pcg64Mcg::seed_from_u64(seed ^ salt),
            labels: Labels::new(),
            definition: None,
            bounds: Bounds {
                cold: 0,
                full: 0,
                warm_up_ms: 0,
            },
            servers: Vec::new(),
            index_by_name: BTreeMap::new(),
            open_servers: Vec::new(),
            servers_by_model: BTreeMap::new(),
            affinity: affinity::Index::default(),
            queue: Queue::default(),
            sent_calls: BTreeMap::new(),
            stage_durations: BTreeMap::new(),
            call_durations: Histogram::new(),
            ledger: cost::Ledger::default(),
            total_slots: 0,
            round_robin_turn: 0,
            query_cursor: 0,
            last_query_id: 0,
            last_tick: None,
            hold_until: Instant::ZERO,
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn step(&mut self, now: Instant, view: &View, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.shared.observe(now, view);
        self.apply_document(now, view);
        self.detect_pause(now, matches!(event, Event::Tick));
        match event {
            Event::Offer(call) => self.offer(now, view, call, &mut out),
            Event::Cancel(call) => self.cancel(call, &mut out),
            Event::Ended {
                call,
                server,
                incarnation,
                end,
            } => self.handle_ended(now, view, call, &server, incarnation, &end, &mut out),
            Event::Progress { call, incarnation } => {
                self.handle_progress(now, call, incarnation, &mut out)
            }
            Event::Load { server, load } => self.handle_load(now, view, &server, load, &mut out),
            Event::CacheUpdate {
                server,
                prefix,
                cached,
            } => {
                if let Some(&index) = self.index_by_name.get(&server) {
                    self.affinity.update(prefix, index, cached);
                }
            }
            Event::ColdNotice {
                server,
                incarnation,
            } => self.handle_cold_notice(now, &server, incarnation, &mut out),
            Event::Message { from, message } => {
                self.handle_message(now, view, from, message, &mut out)
            }
            Event::Models { server, models } => self.handle_models(&server, models),
            Event::Tick => self.tick(now, view, &mut out),
        }
        self.dispatch(now, view, &mut out);
        out
    }

    /// Holds calls back for a short time after a pause of this process.
    ///
    /// Messages showing that servers turned cold may wait in the sockets behind earlier requests.
    fn detect_pause(&mut self, now: Instant, is_tick: bool) {
        let paused = self
            .last_tick
            .is_some_and(|last| now.since_ms(last) > PAUSE_THRESHOLD_MS);
        if paused && self.policy == Policy::Teaselchute {
            self.hold_until = now.after_ms(HOLD_AFTER_PAUSE_MS);
        }
        if is_tick || paused {
            self.last_tick = Some(now);
        }
    }

    /// Returns whether this host's calls on cold servers fit its share under the current roster.
    ///
    /// Other hosts use the slots beyond that share as soon as this is announced.
    pub fn fits_share(&self, view: &View) -> bool {
        self.servers.iter().all(|server| {
            let limit = server.limit.slots(&self.bounds);
            let members = &view.roster.members;
            let position = Position::of(&view.own.id, &self.name, &server.name, members);
            let is_warm = position.rank.is_some() && limit >= self.bounds.full;
            is_warm || server.used() <= position.slots(limit)
        })
    }

    /// Returns the cost of calls by organisation, pipeline and stage.
    pub fn costs(&self) -> &BTreeMap<cost::Key, cost::Account> {
        self.ledger.accounts()
    }

    /// Returns the number of waiting calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the servers that the document lists, with this host's state of them.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.listed)
    }

    /// Returns the limits that the document sets for the servers.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    fn tick(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let mut slots = 0;
        for index in 0..self.servers.len() {
            self.servers[index].tick(now);
            self.refresh(now, view, index);
            let server = &self.servers[index];
            if server.listed && now >= server.backoff_until {
                slots += u64::from(server.allowed(&self.bounds));
            }
        }
        self.total_slots = slots;
        self.time_out_calls(now, view, out);
        self.query_peers(now, view, out);
        while let Some(entry) = self.queue.expire(now) {
            let refusal = refuse::expired(now, &entry, self.queue.len(), slots);
            out.push(Action::Refuse {
                call: entry.call.id,
                refusal,
            });
        }
    }
}
