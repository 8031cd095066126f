//! Fixed shares of a backend server's slots, one for each host on the agreed roster.
//!
//! Shares follow from the roster alone and need neither a clock nor a lease: see
//! `docs/capacity-shares.md`.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::host::Id;

/// A host's position among the members of one roster, for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Number of members that rank before this host, `None` if it isn't a member.
    pub rank: Option<u32>,
    /// Number of members.
    pub members: u32,
}

impl Position {
    /// Position of a host that is on no roster.
    pub const NONE: Self = Self {
        rank: None,
        members: 0,
    };

    /// Returns the position of a host for one server, by rendezvous hashing.
    ///
    /// The position depends on the host's name and not on its incarnation, so that a restarted host
    /// keeps it.
    pub fn of(own: &Id, pool: &str, server: &str, members: &[Id]) -> Self {
        let key = server_key(pool, server);
        let own_order = (weight(own, key), &own.name);
        let mut rank = 0;
        let mut is_member = false;
        for member in members {
            if member.name == own.name {
                is_member = true;
            } else if (weight(member, key), &member.name) < own_order {
                rank += 1;
            }
        }
        Self {
            rank: is_member.then_some(rank),
            members: members.len() as u32,
        }
    }

    /// Returns how many of a server's slots belong to this position.
    ///
    /// Slots are assigned to the ranks in turn. So the sum over a roster is `limit`, and a lower
    /// limit never gives any host more.
    pub fn slots(self, limit: u32) -> u32 {
        let Some(rank) = self.rank else {
            return 0;
        };
        limit / self.members + u32::from(rank < limit % self.members)
    }
}

/// Returns the members that hold at least one slot of a server with this limit.
pub fn holders<'a>(pool: &str, server: &str, members: &'a [Id], limit: u32) -> Vec<&'a Id> {
    let key = server_key(pool, server);
    let mut ranked: Vec<_> = members
        .iter()
        .map(|member| (weight(member, key), member))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(limit as usize)
        .map(|(_, member)| member)
        .collect()
}

fn server_key(pool: &str, server: &str) -> u64 {
    xxh3_64_with_seed(server.as_bytes(), xxh3_64_with_seed(pool.as_bytes(), 0))
}

/// Returns the weight of a host for a server in rendezvous hashing.
///
/// The incarnation isn't hashed, so that a restarted host gets the same slots.
fn weight(host: &Id, key: u64) -> u64 {
    xxh3_64_with_seed(host.name.as_bytes(), key)
}
