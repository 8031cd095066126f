//! Immutable view of the cluster and its configuration, which request shards read.

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

/// Health of a member, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers probes.
    Alive,
    /// It doesn't answer, and may have failed, be paused or be cut off.
    Suspect,
    /// It is shutting down and takes no new work.
    Leaving,
}

/// A member, as seen by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// Its health.
    pub health: Health,
    /// Epoch of the newest roster to whose share it has reduced its calls.
    pub roster_epoch: u64,
    /// Newest ticket generation that it announced: [`outcome::ticket::generation`] on its own
    /// clock, carried in its own membership updates.
    ///
    /// [`outcome::ticket::generation`]: crate::core::outcome::ticket::generation
    pub ticket_generation: u64,
    /// Since when it has been serving, on this host's clock. `None` if it isn't known to serve.
    pub serving_since: Option<Instant>,
}

/// The cluster and its configuration at one moment, as this host sees them.
#[derive(Clone, Debug)]
pub struct View {
    /// This host.
    pub own: Host,
    /// Whether this host may serve: its state includes all records accepted before it started.
    pub serving: bool,
    /// Since when this host has been serving, on its own clock.
    pub serving_since: Option<Instant>,
    /// Whether this host is shutting down.
    pub leaving: bool,
    /// The document in force.
    pub document: Arc<Document>,
    /// Position of the state.
    pub position: Position,
    /// All records accepted before this instant are applied.
    pub fresh_at: Instant,
    /// Drained targets, known from the log or from other hosts.
    pub drained: BTreeSet<Target>,
    /// The current roster.
    pub roster: Roster,
    /// The previous roster. Empty once all its members have left it.
    pub previous_roster: Roster,
    /// All known members except this host, sorted by id.
    pub members: Vec<Member>,
    /// A deliberate fault in the core, for tests only.
    pub mutation: Mutation,
}

impl View {
    /// Returns whether a backend server or its data centre is drained.
    pub fn is_drained(&self, pool: &Name, server: &Name, data_centre: &Name) -> bool {
        if self.mutation.is_active(Mutation::IgnoreDrains) {
            return false;
        }
        self.drained
            .contains(&Target::DataCentre(data_centre.clone()))
            || self
                .drained
                .contains(&Target::BackendServer(pool.clone(), server.clone()))
    }

    /// Returns the member with this id.
    pub fn member(&self, id: &Id) -> Option<&Member> {
        self.members.iter().find(|member| member.host.id == *id)
    }
}
