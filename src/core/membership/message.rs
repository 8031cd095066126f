//! What hosts say of each other, over UDP and in the host list.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    host::{
        Host,
        Id, //
    },
    roster::Progress,
};

/// Entry of the platform's host list. The list is eventually consistent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The host, as it registered itself.
    pub host: Host,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What the membership parts of hosts say to each other, over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver lives.
    Ping {
        /// Matches the answer.
        number: u64,
        /// What the sender says of itself.
        standing: Standing,
        /// News about others, and about the receiver where it is suspected.
        news: Vec<News>,
    },
    /// Answers a ping.
    Pong {
        /// The ping's number.
        number: u64,
        /// What the sender says of itself.
        standing: Standing,
        /// News about others.
        news: Vec<News>,
    },
    /// Asks the receiver to ping another host on the sender's behalf.
    PingFor {
        /// Matches the answer.
        number: u64,
        /// Whom to ping.
        target: Id,
    },
    /// Tells that the target of a [`Message::PingFor`] answered.
    PongFor {
        /// The number of the request.
        number: u64,
        /// What the target said of itself.
        news: Box<News>,
    },
    /// News without a question.
    News(Vec<News>),
    /// Asks for the receiver's table where its digest is another one.
    Compare {
        /// Digest of the sender's table.
        digest: u64,
    },
    /// The sender's whole table.
    Table {
        /// The table.
        news: Vec<News>,
        /// Digest of the table. The receiver answers with its own where it knows more.
        digest: u64,
        /// Whether this is the answer to a table, which ends the exchange.
        is_answer: bool,
    },
}

/// What a host says of itself with each ping and pong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Rises when the host refutes a suspicion.
    pub refutation: u64,
    /// Whether it is alive or leaving.
    pub state: Said,
    /// Epoch of the newest roster to which it has shrunk its calls.
    pub roster_seen: u64,
    /// Generation of tickets on its own clock.
    pub generation: u64,
    /// Milliseconds for which it has served, `None` where it doesn't yet.
    pub serving_ms: Option<u64>,
    /// Who has left the roster before the current one, as far as the host knows.
    pub progress: Progress,
}

/// One piece of news about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The member.
    pub host: Host,
    /// Rises when the member refutes a suspicion.
    pub refutation: u64,
    /// What is said of it.
    pub state: Said,
    /// Epoch of the newest roster to which it has shrunk its calls.
    pub roster_seen: u64,
    /// Generation of tickets on the member's own clock when it told this.
    pub generation: u64,
    /// Milliseconds for which it has served, `None` where it doesn't yet or isn't known to.
    pub serving_ms: Option<u64>,
}

/// What news say of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Said {
    /// It lives.
    Alive,
    /// It does not answer.
    Suspect,
    /// It is leaving.
    Leaving,
    /// It has gone for good: a newer incarnation, or the host list's word.
    Gone,
}

impl News {
    /// Makes news that tell no more than a host's state.
    pub(super) fn bare(host: Host, state: Said) -> Self {
        Self {
            host,
            refutation: 0,
            state,
            roster_seen: 0,
            generation: 0,
            serving_ms: None,
        }
    }

    /// Makes news of what a host says of itself.
    pub(super) fn told(host: Host, standing: &Standing) -> Self {
        Self {
            host,
            refutation: standing.refutation,
            state: standing.state,
            roster_seen: standing.roster_seen,
            generation: standing.generation,
            serving_ms: standing.serving_ms,
        }
    }
}
