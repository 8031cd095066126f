//! Address lookup: the hosts that a caller can connect to.

use std::net::SocketAddr;

use super::hosts;
use crate::time::Instant;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Number of hosts in a region, in percent of the mean over all regions, below which its callers
/// get the addresses of all hosts. Otherwise the few hosts that are left would be overloaded.
const MIN_HOSTS_PERCENT: usize = 50;

/// Returns the addresses for a caller in `region`, which may be unknown.
///
/// Callers choose one at random. So they get only the hosts of their region, because traffic
/// between regions is slow and expensive.
pub fn addresses(now: Instant, hosts: &hosts::Table, region: &str) -> Vec<SocketAddr> {
    let serving = || hosts.live(now).filter(|host| host.heartbeat.serving);
    let local = || serving().filter(|host| &*host.heartbeat.region == region);
    let mut regions: Vec<_> = serving().map(|host| &host.heartbeat.region).collect();
    let host_count = regions.len();
    regions.sort_unstable();
    regions.dedup();
    let lacks_hosts = local().count() * regions.len() * 100 < host_count * MIN_HOSTS_PERCENT;
    let mut addresses: Vec<SocketAddr> = if lacks_hosts {
        serving()
            .map(|host| host.heartbeat.caller_address)
            .collect()
    } else {
        local().map(|host| host.heartbeat.caller_address).collect()
    };
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
