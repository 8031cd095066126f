//! What the control part knows, as one immutable value that request shards read.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use crate::{
    core::{
        document::Document,
        host::{
            Host,
            Id, //
        },
        mutation::Mutation,
        state::{
            Position,
            Roster,
            Target, //
        },
    },
    names::Name,
    time::Instant,
};

/// State of a member as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers.
    Alive,
    /// It does not answer, and may be dead, paused or cut off.
    Suspect,
    /// It takes no new work.
    Leaving,
}

/// A member as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub host: Host,
    /// Its state.
    pub health: Health,
    /// Epoch of the newest roster to which it has shrunk its calls.
    pub roster_epoch: u64,
    /// Newest generation of tickets that it told: [`outcome::ticket::generation`] on its own
    /// clock, carried with each piece of its own news.
    ///
    /// [`outcome::ticket::generation`]: crate::core::outcome::ticket::generation
    pub ticket_generation: u64,
    /// Since when it serves, on this host's clock. `None` where it doesn't yet, as far as known.
    pub serving_since: Option<Instant>,
}

/// What the control part knows at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// This host.
    pub own: Host,
    /// Whether the host may serve: its state is at least as new as what was accepted before it
    /// started.
    pub serving: bool,
    /// Since when the host serves, on its own clock.
    pub serving_since: Option<Instant>,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// The document in force.
    pub document: Arc<Document>,
    /// Position of the state.
    pub position: Position,
    /// All that was accepted before this instant is applied.
    pub fresh_at: Instant,
    /// What is taken out, by log or by word of peers.
    pub drained: BTreeSet<Target>,
    /// The current roster.
    pub roster: Roster,
    /// The roster before. Empty once all its members left it.
    pub previous_roster: Roster,
    /// All known members but this host, sorted by id.
    pub members: Vec<Member>,
    /// A fault in the core, for tests alone.
    pub mutation: Mutation,
}

impl View {
    /// Returns whether a backend server takes no new work, by itself or by its data centre.
    pub fn is_drained(&self, pool: &Name, server: &Name, data_centre: &Name) -> bool {
        if self.mutation.is(Mutation::IgnoreDrains) {
            return false;
        }
        self.drained
            .contains(&Target::DataCentre(data_centre.clone()))
            || self
                .drained
                .contains(&Target::BackendServer(pool.clone(), server.clone()))
    }

    /// Returns the member with this identity.
    pub fn member(&self, id: &Id) -> Option<&Member> {
        self.members.iter().find(|member| member.host.id == *id)
    }
}
