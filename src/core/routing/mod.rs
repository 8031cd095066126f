//! Routing of calls to backend servers: one state machine for each pool.
//!
//! Shares of cold servers, limits, fair queues, retries and choice: see `docs/routing-design.md`.

use crate::{
    core::{
        call::{
            self,
            Call,
            Completion,
            Incarnation,
            Load, //
        },
        decision::Decision,
        host,
        refusal::Refusal, //
    },
    names::Name,
};

pub mod affinity;
pub mod budget;
pub mod cost;
pub mod histogram;
pub mod labels;
pub mod limit;
pub mod policy;
pub mod pool;
pub mod query;
pub mod queue;
pub mod rate;
pub mod refuse;
pub mod roster;
pub mod scoring;
pub mod server;
pub mod share;
pub mod shared;

pub use pool::Pool;
pub use query::Message;
pub use shared::Shared;

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
        incarnation: Option<Incarnation>,
        /// How it ended.
        end: Completion,
    },
    /// A first or further piece of a stream came, which shows that the server lives.
    Progress {
        /// The call.
        call: call::Id,
        /// The life of the server, where its reply told it.
        incarnation: Option<Incarnation>,
    },
    /// A server reported its load.
    Load {
        /// The server.
        server: Name,
        /// What it said.
        load: Load,
    },
    /// A server published that it caches a prompt prefix, or dropped it.
    CacheUpdate {
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
        incarnation: Incarnation,
    },
    /// A message of another host's pool of the same name.
    Message {
        /// Who sent it.
        from: host::Id,
        /// What it says.
        message: Message,
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
    BroadcastCold {
        /// The server.
        server: Name,
        /// The server's new life.
        incarnation: Incarnation,
    },
    /// Send a message to another host's pool of the same name.
    SendMessage {
        /// To whom.
        to: host::Id,
        /// What.
        message: Message,
    },
    /// Log a decision.
    Decide(Decision),
}
