//! Membership: which hosts live, by heartbeats, the platform's host list and the log.
//!
//! See `docs/membership-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        decision::Decision,
        host::{
            Host,
            Id, //
        },
        view::Member,
    },
    time::Instant,
};

/// An entry of the platform's host list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
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
        /// News about members.
        news: Vec<News>,
    },
    /// Answers a ping.
    Pong {
        /// The ping's number.
        number: u64,
        /// News about members.
        news: Vec<News>,
    },
    /// Asks the receiver to ping another host on the sender's behalf.
    PingFor {
        /// Matches the answer.
        number: u64,
        /// Whom to ping.
        target: Id,
    },
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

/// What membership is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The platform's host list, read again.
    HostList(Vec<Listed>),
    /// A message of another host's membership.
    Message {
        /// Who sent it.
        from: Host,
        /// What it says.
        message: Message,
    },
    /// This host leaves.
    Leave,
    /// This host has shrunk its calls to the roster of this epoch.
    RosterSeen(u64),
}

/// What membership wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another host's membership.
    Send {
        /// To whom.
        to: Host,
        /// What.
        message: Message,
    },
    /// Log a decision.
    Decide(Decision),
}

/// How membership learns of other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By heartbeats, news and the host list.
    #[default]
    Teaselchute,
    /// By the host list alone.
    HostListAlone,
}

/// What this host knows of all others.
pub struct Membership {
    own: Host,
    policy: Policy,
    members: Vec<Member>,
}

impl Membership {
    /// Makes a membership that knows only this host.
    pub fn new(own: Host, policy: Policy, seed: u64) -> Self {
        let _ = seed;
        Self {
            own,
            policy,
            members: Vec::new(),
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let _ = (now, &self.own, self.policy, event);
        Vec::new()
    }

    /// Returns all known members but this host, sorted by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns whether this life of a host is known to be over for good, not merely silent.
    pub fn is_gone(&self, id: &Id) -> bool {
        let _ = id;
        false
    }
}
