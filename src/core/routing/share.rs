//! Fixed shares of a backend server's capacity, one for each host on an agreed roster.
//!
//! Why shares follow from the roster, and need neither clock nor lease: `docs/capacity-shares.md`.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::host::Id;

/// A host's place among the members of one roster, for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Number of members that come before this host, nothing where it is no member.
    pub rank: Option<u32>,
    /// Number of members.
    pub members: u32,
}

impl Position {
    /// The place of a host that is on no roster.
    pub const NONE: Self = Self {
        rank: None,
        members: 0,
    };

    /// Returns the place of a host for one server, by rendezvous hashing.
    ///
    /// The place belongs to the name: a restarted host takes over that of its life before.
    pub fn of(own: &Id, pool: &str, server: &str, members: &[Id]) -> Self {
        let key = server_key(pool, server);
        let own_order = (weight(own, key), &own.name);
        let mut rank = 0;
        let mut found = false;
        for member in members {
            if member.name == own.name {
                found = true;
            } else if (weight(member, key), &member.name) < own_order {
                rank += 1;
            }
        }
        Self {
            rank: found.then_some(rank),
            members: members.len() as u32,
        }
    }

    /// Returns how many of a server's slots belong to this place.
    ///
    /// Slots are dealt to the ranks in turn. So the sum over a roster is `limit`, and a lower
    /// limit never gives any host more.
    pub fn slots(self, limit: u32) -> u32 {
        let Some(rank) = self.rank else {
            return 0;
        };
        limit / self.members + u32::from(rank < limit % self.members)
    }
}

/// Returns the members that hold at least one of a server's slots.
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

/// The incarnation stays out, so that a restarted host gets the slots that it had.
fn weight(host: &Id, key: u64) -> u64 {
    xxh3_64_with_seed(host.name.as_bytes(), key)
}
