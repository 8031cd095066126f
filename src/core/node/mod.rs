//! All parts of one host. Daemons, randomised simulations and benches drive a [`Node`].
//!
//! The control part, each pool and each shard of requests have a lock of their own. A step holds
//! one lock at a time, so that no lock order is needed.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use parking_lot::{
    Mutex,
    RwLock, //
};

use crate::{
    core::{
        call::{
            self,
            Body,
            Call,
            Completion,
            Incarnation, //
        },
        decision::Decision,
        host,
        log,
        membership,
        mutation::Mutation,
        orders,
        outcome,
        replica,
        routing,
        state::Record,
        view::View, //
    },
    names::Name,
    time::Instant,
    wire::{
        Frame,
        Message, //
    },
};

mod control;
pub mod demand;

pub use control::Control;

/// Number of shards of requests.
const COORDINATOR_SHARDS: u64 = 8;

/// Input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. Sent every [`TICK_MS`].
    Tick,
    /// An authenticated frame of another host arrived.
    Frame(Box<Frame>),
    /// The log answered.
    Log(log::Event),
    /// The platform's host list was read.
    HostList(Vec<membership::Registration>),
    /// A caller submits a request, fetches an answer or disconnects.
    Caller(outcome::Event),
    /// A piece of a streamed answer arrived from a server.
    Piece {
        /// The call.
        call: call::Id,
        /// The call's pool.
        pool: Name,
        /// Incarnation of the server, if it reported one.
        incarnation: Option<Incarnation>,
        /// Index of the piece within the whole answer, counted from 0.
        index: u64,
        /// The piece.
        piece: Body,
    },
    /// A call to a server ended.
    Ended {
        /// The call.
        call: call::Id,
        /// The call's pool.
        pool: Name,
        /// The server.
        server: Name,
        /// Incarnation of the server, if it reported one.
        incarnation: Option<Incarnation>,
        /// How it ended.
        end: Completion,
    },
    /// A server reported its load or its cache.
    Server {
        /// The server's pool.
        pool: Name,
        /// The report.
        event: routing::Event,
    },
    /// An engine was read, or answered an order.
    Engine(orders::Event),
    /// A record is proposed for the log.
    Propose {
        /// Receiver of the answer.
        requester: replica::Requester,
        /// The record.
        record: Box<Record>,
    },
    /// The host starts to leave.
    Leave,
}

/// Time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 50;

/// Output of a node, for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a frame to another host.
    Frame {
        /// The receiving host, with its addresses.
        to: Box<host::Host>,
        /// The message.
        message: Box<Message>,
    },
    /// Append to the log or read from it.
    Log(log::Action),
    /// Send a call to a server.
    Send {
        /// The call.
        call: Box<Call>,
        /// The server.
        server: Name,
    },
    /// Cancel a call on a server.
    Abort {
        /// The call.
        call: call::Id,
        /// Its pool.
        pool: Name,
        /// The server.
        server: Name,
    },
    /// Send a caller a piece, an answer or a refusal.
    Caller(outcome::Action),
    /// Answer a proposal.
    AnswerProposal {
        /// Receiver of the answer.
        requester: replica::Requester,
        /// The answer.
        answer: replica::Answer,
    },
    /// Send an order to an engine.
    Order(orders::Order),
    /// Read an engine's report.
    ReadEngine {
        /// Its pool.
        pool: Name,
        /// The engine.
        server: Name,
    },
    /// Log a decision and keep it for `why`.
    Decide(Decision),
}

/// Policies of a node. All but the defaults are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// How servers are chosen.
    pub routing: routing::policy::Policy,
    /// How the agreed state is updated.
    pub replica: replica::Policy,
    /// How other hosts are detected.
    pub membership: membership::Policy,
    /// Injected fault, for tests only.
    pub mutation: Mutation,
    /// How a non-idempotent request is prevented from running twice.
    pub outcome: outcome::Policy,
}

/// All parts of one host.
pub struct Node {
    own: host::Host,
    policies: Policies,
    seed: u64,
    control: Mutex<Control>,
    view: RwLock<Arc<View>>,
    routing_shared: Arc<routing::Shared>,
    pools: RwLock<BTreeMap<Name, Arc<Mutex<routing::Pool>>>>,
    coordinators: Vec<Mutex<outcome::coordinator::Coordinator>>,
    demand: demand::Meter,
}

impl Node {
    /// Makes a node without any state. The seed determines all its random choices.
    pub fn new(own: host::Host, environment: Name, policies: Policies, seed: u64) -> Self {
        let control = Control::new(own.clone(), environment, policies, seed);
        let view = RwLock::new(control.view());
        let coordinators = (0..COORDINATOR_SHARDS)
            .map(|shard| {
                outcome::coordinator::Coordinator::new(shard, COORDINATOR_SHARDS, policies.outcome)
            })
            .map(Mutex::new)
            .collect();
        Self {
            own,
            policies,
            seed,
            control: Mutex::new(control),
            view,
            routing_shared: Arc::new(routing::Shared::default()),
            pools: RwLock::new(BTreeMap::new()),
            coordinators,
            demand: demand::Meter::default(),
        }
    }

    /// Returns this host.
    pub fn own(&self) -> &host::Host {
        &self.own
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Runs a closure on the control part, for status pages.
    pub fn with_control<T>(&self, read: impl FnOnce(&Control) -> T) -> T {
        read(&self.control.lock())
    }

    /// Returns whether nothing is in progress, so that a leaving host may stop.
    pub fn is_idle(&self) -> bool {
        self.coordinators
            .iter()
            .all(|coordinator| coordinator.lock().is_idle())
    }

    /// Returns the unfinished work of all shards, which keeps a leaving host from stopping.
    pub fn backlog(&self) -> outcome::coordinator::Backlog {
        let mut sum = outcome::coordinator::Backlog::default();
        for coordinator in &self.coordinators {
            let backlog = coordinator.lock().backlog();
            sum.running += backlog.running;
            sum.remote += backlog.remote;
            sum.backups += backlog.backups;
        }
        sum
    }

    /// Returns the shard of requests that handles an event, if it is a single one.
    ///
    /// A driver with several threads uses it to keep the actions for each caller in order.
    pub fn shard(event: &Event) -> Option<usize> {
        match event {
            Event::Piece { call, .. } | Event::Ended { call, .. } => Some(shard_of_call(*call)),
            Event::Caller(outcome::Event::Submit { submission, .. }) => {
                Some(shard_of_request(&submission.request))
            }
            Event::Caller(outcome::Event::Fetch { request, .. }) => Some(shard_of_request(request)),
            Event::Frame(frame) => match &frame.message {
                Message::Outcome(message) => Some(shard_of_request(message.request())),
                _ => None,
            },
            _ => None,
        }
    }

    /// Takes one event and returns the actions that follow from it.
    pub fn step(&self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Frame(frame) => self.handle_frame(now, *frame, &mut out),
            Event::Log(event) => self.step_control(now, control::Event::Log(event), &mut out),
            Event::HostList(list) => {
                self.step_control(now, control::Event::HostList(list), &mut out)
            }
            Event::Engine(event) => self.step_control(now, control::Event::Engine(event), &mut out),
            Event::Leave => self.step_control(now, control::Event::Leave, &mut out),
            Event::Propose { requester, record } => {
                let event = control::Event::Propose { requester, record };
                self.step_control(now, event, &mut out);
            }
            Event::Caller(event) => self.handle_caller(now, event, &mut out),
            Event::Server { pool, event } => self.step_pool(now, &pool, event, &mut out),
            Event::Piece {
                call,
                pool,
                incarnation,
                index,
                piece,
            } => {
                self.step_pool(
                    now,
                    &pool,
                    routing::Event::Progress { call, incarnation },
                    &mut out,
                );
                let event = outcome::Event::Piece { call, index, piece };
                self.step_coordinator(now, shard_of_call(call), event, &mut out);
            }
            Event::Ended {
                call,
                pool,
                server,
                incarnation,
                end,
            } => {
                self.demand.record_ended(now, call);
                let ended = routing::Event::Ended {
                    call,
                    server: server.clone(),
                    incarnation,
                    end: end.clone(),
                };
                self.step_pool(now, &pool, ended, &mut out);
                let event = outcome::Event::Ended { call, server, end };
                self.step_coordinator(now, shard_of_call(call), event, &mut out);
            }
        }
        out
    }

    fn tick(&self, now: Instant, out: &mut Vec<Action>) {
        self.step_control(now, control::Event::Tick, out);
        for event in self.demand.take_report(now) {
            self.step_control(now, control::Event::Engine(event), out);
        }
        self.routing_shared.observe(now, &self.view());
        let pools: Vec<Name> = self.pools.read().keys().cloned().collect();
        for pool in &pools {
            self.step_pool(now, pool, routing::Event::Tick, out);
        }
        for shard in 0..self.coordinators.len() {
            self.step_coordinator(now, shard, outcome::Event::Tick, out);
        }
        self.report_roster_applied(now, out);
    }

    /// Reports to membership once the calls of all pools fit their shares under the newest roster.
    fn report_roster_applied(&self, now: Instant, out: &mut Vec<Action>) {
        let view = self.view();
        let pools: Vec<_> = self.pools.read().values().cloned().collect();
        let fits_shares = pools.iter().all(|pool| pool.lock().fits_share(&view));
        let timeouts = view
            .document
            .pools
            .values()
            .map(|pool| pool.call_timeout_ms);
        let longest_ms = timeouts.max().unwrap_or(0);
        // Calls of the previous incarnation of this host may still run, and no pool counts them.
        let has_unknown_calls = self
            .routing_shared
            .with_rosters(|rosters| rosters.has_unknown_roster(now, longest_ms));
        if fits_shares && !has_unknown_calls {
            self.step_control(now, control::Event::RosterApplied(view.roster.epoch), out);
        }
    }

    fn handle_frame(&self, now: Instant, frame: Frame, out: &mut Vec<Action>) {
        if frame.to != self.own.id {
            return;
        }
        match frame.message {
            Message::Membership(message) => {
                let from = frame.from;
                self.step_control(now, control::Event::Membership { from, message }, out);
            }
            Message::Replica(message) => {
                let from = frame.from.id;
                self.step_control(now, control::Event::Replica { from, message }, out);
            }
            Message::Outcome(message) => {
                let shard = shard_of_request(message.request());
                let from = frame.from.id;
                self.step_coordinator(now, shard, outcome::Event::Message { from, message }, out);
            }
            Message::Routing(pool, message) => {
                let from = frame.from.id;
                self.step_pool(now, &pool, routing::Event::Message { from, message }, out);
            }
            Message::Cold(pool, server, incarnation) => {
                self.step_pool(
                    now,
                    &pool,
                    routing::Event::ColdNotice {
                        server,
                        incarnation,
                    },
                    out,
                );
            }
        }
    }

    fn handle_caller(&self, now: Instant, event: outcome::Event, out: &mut Vec<Action>) {
        match &event {
            outcome::Event::Submit { submission, .. } => {
                let shard = shard_of_request(&submission.request);
                self.step_coordinator(now, shard, event, out);
            }
            outcome::Event::Fetch { request, .. } => {
                let shard = shard_of_request(request);
                self.step_coordinator(now, shard, event, out);
            }
            // The shard of a disconnected caller is not known. The other shards ignore the event.
            _ => {
                for shard in 0..self.coordinators.len() {
                    self.step_coordinator(now, shard, event.clone(), out);
                }
            }
        }
    }

    fn step_control(&self, now: Instant, event: control::Event, out: &mut Vec<Action>) {
        let view = {
            let mut control = self.control.lock();
            out.extend(control.step(now, event));
            control.view()
        };
        if !Arc::ptr_eq(&view, &self.view.read()) {
            *self.view.write() = view;
        }
    }

    fn step_pool(&self, now: Instant, name: &Name, event: routing::Event, out: &mut Vec<Action>) {
        let view = self.view();
        let pool = self.pool_or_new(name);
        let actions = pool.lock().step(now, &view, event);
        for action in actions {
            match action {
                routing::Action::Send { call, server } => {
                    self.demand.record_sent(now, &call);
                    out.push(Action::Send {
                        call: Box::new(call),
                        server,
                    });
                }
                routing::Action::Abort { call, server } => {
                    // An unresponsive server never reports the end.
                    self.demand.record_ended(now, call);
                    out.push(Action::Abort {
                        call,
                        pool: name.clone(),
                        server,
                    });
                }
                routing::Action::Refuse { call, refusal } => {
                    let event = outcome::Event::Refused { call, refusal };
                    self.step_coordinator(now, shard_of_call(call), event, out);
                }
                routing::Action::BroadcastCold {
                    server,
                    incarnation,
                } => {
                    broadcast_cold(&view, name, &server, incarnation, out);
                }
                routing::Action::SendMessage { to, message } => {
                    if let Some(member) = view.member(&to) {
                        out.push(Action::Frame {
                            to: Box::new(member.host.clone()),
                            message: Box::new(Message::Routing(name.clone(), message)),
                        });
                    }
                }
                routing::Action::Decide(decision) => out.push(Action::Decide(decision)),
            }
        }
    }

    fn pool_or_new(&self, name: &Name) -> Arc<Mutex<routing::Pool>> {
        if let Some(pool) = self.pools.read().get(name) {
            return pool.clone();
        }
        let mut pools = self.pools.write();
        let pool = pools.entry(name.clone()).or_insert_with(|| {
            let shared = self.routing_shared.clone();
            let pool = routing::Pool::new(name.clone(), self.policies.routing, shared, self.seed);
            Arc::new(Mutex::new(pool))
        });
        pool.clone()
    }

    fn step_coordinator(
        &self,
        now: Instant,
        shard: usize,
        event: outcome::Event,
        out: &mut Vec<Action>,
    ) {
        let view = self.view();
        let actions = self.coordinators[shard].lock().step(now, &view, event);
        for action in actions {
            match action {
                outcome::Action::Offer(call) => {
                    let pool = call.pool.clone();
                    self.step_pool(now, &pool, routing::Event::Offer(call), out);
                }
                outcome::Action::Cancel { call, pool } => {
                    self.step_pool(now, &pool, routing::Event::Cancel(call), out);
                }
                outcome::Action::Send { to, message } => {
                    if let Some(member) = view.member(&to) {
                        out.push(Action::Frame {
                            to: Box::new(member.host.clone()),
                            message: Box::new(Message::Outcome(message)),
                        });
                    }
                }
                outcome::Action::Decide(decision) => out.push(Action::Decide(decision)),
                action => out.push(Action::Caller(apply_mutation(view.mutation, action))),
            }
        }
    }
}

/// Corrupts an answer if a mutation is active.
fn apply_mutation(mutation: Mutation, action: outcome::Action) -> outcome::Action {
    match action {
        outcome::Action::Answer {
            caller,
            request,
            body,
        } if mutation.is_active(Mutation::CrossAnswers) => outcome::Action::Answer {
            caller: outcome::Caller(caller.0.saturating_sub(1)),
            request,
            body,
        },
        outcome::Action::Answer {
            caller,
            request,
            body,
        } if mutation.is_active(Mutation::TruncateAnswers) => outcome::Action::Answer {
            caller,
            request,
            body: body[..body.len().saturating_sub(1)].into(),
        },
        action => action,
    }
}

fn broadcast_cold(
    view: &View,
    pool: &Name,
    server: &Name,
    incarnation: Incarnation,
    out: &mut Vec<Action>,
) {
    for member in &view.members {
        out.push(Action::Frame {
            to: Box::new(member.host.clone()),
            message: Box::new(Message::Cold(pool.clone(), server.clone(), incarnation)),
        });
    }
}

fn shard_of_call(call: call::Id) -> usize {
    (call.0 % COORDINATOR_SHARDS) as usize
}

fn shard_of_request(request: &call::Request) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(request.id.as_bytes());
    (hash % COORDINATOR_SHARDS) as usize
}
