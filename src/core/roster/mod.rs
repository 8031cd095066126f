//! Rosters: the hosts that have a fixed share of each cold server, and the change between rosters.
//!
//! During a change, a host uses the smaller of its two shares until every member of the older
//! roster is known to have left it. That needs no clock: see `docs/membership-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    host::Id,
    state::Roster,
    view::{
        Health,
        Member, //
    },
};

mod proposer;

pub use proposer::Proposer;

/// The members that have left the previous roster, in favour of the one of this epoch.
///
/// Leaving is permanent, so the progress known to different hosts can be merged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Epoch of the newer roster.
    pub epoch: u64,
    /// Bit set of the members that have left, in the order of the previous roster's members.
    pub left: Vec<u8>,
}

impl Progress {
    /// Creates the progress to the roster of this epoch, for a previous roster that no member is
    /// known to have left.
    pub fn new(epoch: u64, members: usize) -> Self {
        Self {
            epoch,
            left: vec![0; members.div_ceil(8)],
        }
    }

    /// Returns whether the member at this index has left.
    pub fn has_left(&self, index: usize) -> bool {
        let byte = self.left.get(index / 8).copied().unwrap_or_default();
        byte & (1 << (index % 8)) != 0
    }

    /// Marks the member at this index as having left.
    pub fn set_left(&mut self, index: usize) {
        if let Some(byte) = self.left.get_mut(index / 8) {
            *byte |= 1 << (index % 8);
        }
    }

    /// Merges the progress known to another host, and returns whether anything was added.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.epoch != self.epoch || other.left.len() != self.left.len() {
            return false;
        }
        let old = self.left.clone();
        for (own, theirs) in self.left.iter_mut().zip(&other.left) {
            *own |= theirs;
        }
        self.left != old
    }

    /// Returns whether all `members` members have left.
    pub fn is_complete(&self, members: usize) -> bool {
        (0..members).all(|index| self.has_left(index))
    }
}

/// A new roster and how it differs from the current one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Members of the new roster, sorted.
    pub members: Vec<Id>,
    /// Number of hosts that it adds.
    pub added: usize,
    /// Number of hosts that it drops.
    pub dropped: usize,
}

/// Returns the next roster, or `None` if the current one matches the serving hosts or the previous
/// one may still be in use.
///
/// A restarted host keeps the entry of its name, so restarts alone require no new roster. `is_gone`
/// returns whether an incarnation of a host and all later ones are gone. `is_previous_retired` is
/// whether all members have left the previous roster.
pub fn next(
    roster: &Roster,
    is_previous_retired: bool,
    serving: &[Member],
    is_gone: impl Fn(&Id) -> bool,
) -> Option<Proposal> {
    if !is_previous_retired {
        return None;
    }
    let mut members: Vec<Id> = roster
        .members
        .iter()
        .filter(|id| !is_gone(id))
        .cloned()
        .collect();
    let dropped = roster.members.len() - members.len();
    let mut added = 0;
    for member in serving {
        let id = &member.host.id;
        let is_listed = members.iter().any(|listed| listed.name == id.name);
        let is_serving = member.health == Health::Alive && member.serving_since.is_some();
        if is_serving && !is_listed {
            members.push(id.clone());
            added += 1;
        }
    }
    members.sort();
    (added + dropped > 0).then_some(Proposal {
        members,
        added,
        dropped,
    })
}
