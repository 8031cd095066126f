//! Address lookup: the hosts that a caller can connect to.

use std::{
    cmp::Reverse,
    net::SocketAddr, //
};

use super::{
    balance,
    hosts::{
        self,
        Heartbeat, //
    },
};
use crate::time::Instant;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Maximum number of hosts of the caller's data centre in an answer that can't name all hosts of its
/// region. The others are left to callers when that data centre fails.
const MAX_LOCAL_ADDRESSES: usize = 48;

/// Number of hosts in a region, in percent of the mean over all regions, below which its callers
/// get the addresses of all hosts. Otherwise the few hosts that are left would be overloaded.
const MIN_HOSTS_PERCENT: usize = 50;

/// Returns the addresses for a caller, whose region and data centre may be unknown.
///
/// Callers choose one at random. So they get only the hosts of their region, because traffic
/// between regions is slow and expensive.
///
/// A region can have more hosts than an answer holds. If all answers named the same ones, they would
/// serve all callers while the rest is idle. So an answer names hosts of the caller's data centre first,
/// and those of each data centre in an order of its own. The order is stable, since callers close their
/// connections to hosts that are missing from the next answer.
pub fn addresses(
    now: Instant,
    hosts: &hosts::Table,
    region: &str,
    data_centre: &str,
) -> Vec<SocketAddr> {
    let serving: Vec<&Heartbeat> = hosts
        .live(now)
        .map(|host| &host.heartbeat)
        .filter(|heartbeat| heartbeat.serving)
        .collect();
    let mut regions: Vec<_> = serving.iter().map(|heartbeat| &heartbeat.region).collect();
    regions.sort_unstable();
    regions.dedup();
    let in_region = |heartbeat: &&&Heartbeat| &*heartbeat.region == region;
    let local_count = serving.iter().filter(in_region).count();
    let lacks_hosts = local_count * regions.len() * 100 < serving.len() * MIN_HOSTS_PERCENT;
    let mut named: Vec<&Heartbeat> = if lacks_hosts {
        serving
    } else {
        serving.iter().filter(in_region).copied().collect()
    };
    if named.len() > MAX_ADDRESSES {
        named = select(named, data_centre);
    }
    named
        .into_iter()
        .map(|heartbeat| heartbeat.caller_address)
        .collect()
}

/// Selects as many hosts as an answer holds for a caller in a data centre.
fn select<'a>(mut hosts: Vec<&'a Heartbeat>, data_centre: &str) -> Vec<&'a Heartbeat> {
    hosts.sort_by_cached_key(|host| Reverse(balance::hash(&[&host.host, data_centre])));
    let (local, others): (Vec<&Heartbeat>, Vec<&Heartbeat>) = hosts
        .into_iter()
        .partition(|host| &*host.data_centre == data_centre);
    let local_count = local.len().min(MAX_LOCAL_ADDRESSES);
    let (first, rest) = local.split_at(local_count);
    let selected = first.iter().chain(&others).chain(rest);
    selected.take(MAX_ADDRESSES).copied().collect()
}
