//! Routing of calls to backend servers: one state machine for each pool.
//!
//! The shares of cold servers, the limits, the fair queues, the retries and the choice of a server
//! are described in `docs/routing-design.md`.

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

/// An input of a pool's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new call that needs a server.
    Offer(Call),
    /// The caller no longer wants the answer of a call.
    Cancel(call::Id),
    /// A call that was sent has ended.
    Ended {
        /// The call.
        call: call::Id,
        /// The server.
        server: Name,
        /// Incarnation of the server, if its reply stated one.
        incarnation: Option<Incarnation>,
        /// How the call ended.
        end: Completion,
    },
    /// A piece of a stream arrived, which shows that the server is alive.
    Progress {
        /// The call.
        call: call::Id,
        /// Incarnation of the server, if its reply stated one.
        incarnation: Option<Incarnation>,
    },
    /// A server reported its load.
    Load {
        /// The server.
        server: Name,
        /// The reported load.
        load: Load,
    },
    /// A server added a prompt prefix to its cache, or evicted it.
    CacheUpdate {
        /// The server.
        server: Name,
        /// Hash of the prefix.
        prefix: u64,
        /// Whether it is cached now.
        cached: bool,
    },
    /// Another host has detected that a server is cold.
    ColdNotice {
        /// The server.
        server: Name,
        /// New incarnation of the server.
        incarnation: Incarnation,
    },
    /// A message from the pool of the same name on another host.
    Message {
        /// The sender.
        from: host::Id,
        /// The message.
        message: Message,
    },
    /// A server reported the models that it has loaded and can serve.
    Models {
        /// The server.
        server: Name,
        /// Names of the models.
        models: Vec<Name>,
    },
    /// Time has passed, or the view has changed.
    Tick,
}

/// An output of a pool's state machine, for the caller to carry out.
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
    /// Refuse the call, which has not been sent and won't be.
    Refuse {
        /// The call.
        call: call::Id,
        /// The refusal with its reason.
        refusal: Refusal,
    },
    /// Notify all other hosts that a server is cold.
    BroadcastCold {
        /// The server.
        server: Name,
        /// New incarnation of the server.
        incarnation: Incarnation,
    },
    /// Send a message to the pool of the same name on another host.
    SendMessage {
        /// The recipient.
        to: host::Id,
        /// The message.
        message: Message,
    },
    /// Record a decision: it is logged and kept for queries about the request.
    Decide(Decision),
}
