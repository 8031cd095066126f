//! Sockets, clocks and threads around the core.
//!
//! [`daemon`] starts them, [`perform`] carries out what the core wants, [`http`] serves callers and
//! operators, [`peers`] carries frames, [`control`] ticks and talks with the platform.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
};

use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::{
    core::{
        call,
        node::{
            self,
            Node, //
        },
        replica::{
            Answer,
            Requester, //
        }, //
    },
    edges::Status,
    names::Name,
    options::Options,
    time::Instant,
    wire::codec::Key,
};

pub mod clock;
pub mod control;
pub mod daemon;
pub mod exchange;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod perform;
mod signals;
pub mod why;

/// Number of lanes, in which what the core gives to one caller keeps its order.
const LANES: usize = 8;

/// Time without a tick after which the daemon counts as stuck, in milliseconds.
const STUCK_MS: u64 = 5_000;

/// Where other threads leave events for the control thread.
type Inbox = mpsc::UnboundedSender<node::Event>;

/// Where the control thread finds them.
type Told = mpsc::UnboundedReceiver<node::Event>;

/// What all threads of one daemon share.
pub struct Shell {
    /// The core.
    pub node: Node,
    /// Settings.
    pub options: Options,
    /// The log.
    pub logger: Logger,
    /// The metrics.
    pub metrics: metrics::Metrics,
    clock: clock::Clock,
    key: Key,
    exchanges: exchange::Exchanges,
    why: why::Store,
    peers: peers::Outbox,
    lanes: Vec<Mutex<()>>,
    aborts: Mutex<HashMap<call::Id, oneshot::Sender<()>>>,
    requesters: Mutex<HashMap<Requester, oneshot::Sender<Answer>>>,
    next_requester: AtomicU64,
    statuses: Mutex<HashMap<(Name, Name), Status>>,
    last_tick_ms: AtomicU64,
    inbox: Inbox,
    hurry: AtomicBool,
    stopping: AtomicBool,
}

impl Shell {
    /// Returns the time on the daemon's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns whether the daemon's threads are being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns whether a second signal asked to end at once.
    fn must_hurry(&self) -> bool {
        self.hurry.load(Ordering::Acquire)
    }

    /// Returns whether ticks come as they should.
    pub fn is_healthy(&self) -> bool {
        let last = Instant::from_ms(self.last_tick_ms.load(Ordering::Relaxed));
        self.now().since_ms(last) < STUCK_MS
    }

    fn mark_tick(&self) {
        let now_ms = self.now().as_ms();
        self.last_tick_ms.store(now_ms, Ordering::Relaxed);
    }

    fn new_lanes() -> Vec<Mutex<()>> {
        (0..LANES).map(|_| Mutex::new(())).collect()
    }

    fn keep_status(&self, pool: &Name, server: &Name, status: Status) {
        let key = (pool.clone(), server.clone());
        self.statuses.lock().insert(key, status);
    }

    /// Leaves an event for the control thread. Call it from any thread.
    fn tell(&self, event: node::Event) {
        // The receiver goes with the daemon, and then there is nobody left to tell.
        let _ = self.inbox.send(event);
    }

    /// Feeds the core with an event, and carries out what it wants. Call it from any thread that
    /// has opened its edges.
    pub fn step(self: &Arc<Self>, event: node::Event) {
        if self.is_stopping() {
            return;
        }
        // Two threads may step the same request: its lane keeps the pieces of its stream in order.
        let lane = lane(&event).map(|lane| self.lanes[lane].lock());
        let actions = self.node.step(self.now(), event);
        let rest = perform::give_callers(self, actions);
        drop(lane);
        perform::carry_out(self, rest);
    }
}

/// Returns the lane of an event: the shard of its request, which its calls' numbers carry, too.
fn lane(event: &node::Event) -> Option<usize> {
    Node::shard(event).map(|shard| shard % LANES)
}
