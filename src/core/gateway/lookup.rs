//! Which hosts a caller is told to use.

use std::net::SocketAddr;

use super::hosts;
use crate::time::Instant;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Share of a region's hosts, in percent of the mean over all regions, below which callers are told
/// of all hosts, so that the few that are left aren't overrun.
const THIN_PERCENT: usize = 50;

/// Returns the addresses for a caller in `region`, which may be unknown.
///
/// Callers pick one at random, so a region's callers get only its hosts: bytes between regions are
/// slow and dear.
pub fn addresses(now: Instant, hosts: &hosts::Table, region: &str) -> Vec<SocketAddr> {
    let serving = || hosts.live(now).filter(|host| host.heartbeat.serving);
    let near = || serving().filter(|host| &*host.heartbeat.region == region);
    let mut regions: Vec<_> = serving().map(|host| &host.heartbeat.region).collect();
    let all = regions.len();
    regions.sort_unstable();
    regions.dedup();
    let is_thin = near().count() * regions.len() * 100 < all * THIN_PERCENT;
    let mut addresses: Vec<SocketAddr> = if is_thin {
        serving()
            .map(|host| host.heartbeat.caller_address)
            .collect()
    } else {
        near().map(|host| host.heartbeat.caller_address).collect()
    };
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
