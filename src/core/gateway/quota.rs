//! How a limit that holds for all hosts together is split among them.

use super::balance;
use crate::names::Name;

/// The hosts that share limits, as one of them sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    own: u64,
    others: Vec<u64>,
}

impl Group {
    /// Makes a group of a host and others. Whether the host is among the others doesn't matter.
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

    /// Returns this host's part of a whole number of places at a server.
    ///
    /// All get the same, and what is left goes to hosts that differ from server to server, so that
    /// the parts of all hosts add up to the whole also where there are more hosts than places.
    pub fn share(&self, total: u64, server: &str) -> u64 {
        let size = self.size() as u64;
        let (each, rest) = (total / size, total % size);
        each + u64::from(rest > 0 && self.rank(server) < rest)
    }

    /// Returns the number of hosts that come before this one at a server.
    fn rank(&self, server: &str) -> u64 {
        let server = balance::hash(&[server]);
        let place = |host: u64| mix(host ^ server);
        let own = place(self.own);
        let before = self.others.iter().filter(|&&host| place(host) < own);
        before.count() as u64
    }
}

/// Spreads the bits of a number, as the finalizer of SplitMix64 does.
fn mix(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
