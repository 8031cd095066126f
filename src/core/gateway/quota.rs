//! Split of a server's limits among the hosts that use it.

use super::balance;
use crate::names::Name;

/// The hosts that share a limit, as seen by one of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    own: u64,
    others: Vec<u64>,
}

impl Group {
    /// Creates the group of a host and others. `hosts` may contain the host itself.
    pub fn new<'a>(own: &Name, hosts: impl Iterator<Item = &'a Name>) -> Self {
        let others = hosts.filter(|&host| host != own);
        Self {
            own: balance::hash(&[own]),
            others: others.map(|host| balance::hash(&[host])).collect(),
        }
    }

    /// Returns the number of hosts.
    pub fn size(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns this host's share of a total of units at a server.
    ///
    /// All hosts get the same number, and the remainder goes to hosts that differ from server to
    /// server. So the shares of all hosts add up to the total, also if there are more hosts than
    /// units.
    pub fn share(&self, total: u64, server: &str) -> u64 {
        let size = self.size() as u64;
        let (quotient, remainder) = (total / size, total % size);
        quotient + u64::from(remainder > 0 && self.rank(server) < remainder)
    }

    /// Returns the number of hosts that precede this one at a server.
    fn rank(&self, server: &str) -> u64 {
        let server = balance::hash(&[server]);
        let order = |host: u64| mix(host ^ server);
        let own = order(self.own);
        let before = self.others.iter().filter(|&&host| order(host) < own);
        before.count() as u64
    }
}

/// Mixes the bits of a number, as the finalizer of SplitMix64 does.
fn mix(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
