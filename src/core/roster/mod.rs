//! Rosters: the hosts that have a fixed share of each cold server, and how one follows another.
//!
//! A host under two rosters uses the smaller of its shares until every member of the older one is
//! known to have left it. Why that needs no clock: see `docs/membership-design.md`.

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

/// Which members have left the roster before the one of this epoch.
///
/// Having left is a fact that never becomes false, so the words of all hosts are joined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Epoch of the newer roster.
    pub epoch: u64,
    /// Bits in the order of the older roster's members, eight to a byte.
    pub left: Vec<u8>,
}

impl Progress {
    /// Makes the progress of a roster that nobody is known to have left for the one of this epoch.
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

    /// Notes that the member at this index has left.
    pub fn set_left(&mut self, index: usize) {
        if let Some(byte) = self.left.get_mut(index / 8) {
            *byte |= 1 << (index % 8);
        }
    }

    /// Joins the word of another host. Returns whether it added something.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.epoch != self.epoch || other.left.len() != self.left.len() {
            return false;
        }
        let before = self.left.clone();
        for (own, theirs) in self.left.iter_mut().zip(&other.left) {
            *own |= theirs;
        }
        self.left != before
    }

    /// Returns whether all of this many members have left.
    pub fn is_complete(&self, members: usize) -> bool {
        (0..members).all(|index| self.has_left(index))
    }
}

/// Why a new roster is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// Members of the new roster, sorted.
    pub members: Vec<Id>,
    /// Hosts that it adds.
    pub added: usize,
    /// Hosts that it drops.
    pub dropped: usize,
}

/// Returns the roster that should follow, or `None` while the current one fits or the one before
/// is still in use somewhere.
///
/// A restarted host keeps the place of its name, so restarts alone want no new roster. `is_gone`
/// answers for one life of a host and its successors.
pub fn next(
    roster: &Roster,
    is_closed: bool,
    serving: &[Member],
    is_gone: impl Fn(&Id) -> bool,
) -> Option<Proposal> {
    if !is_closed {
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
        let known = members.iter().any(|known| known.name == id.name);
        let serves = member.health == Health::Alive && member.serving_since.is_some();
        if serves && !known {
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
