//! What requests need of the table of hosts, recomputed a few times a second.
//!
//! The work for one request must not grow with the number of hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc, //
};

use super::Gateway;
use crate::{
    core::gateway::{
        dispatch,
        quota, //
    },
    names::Name,
    time::Instant,
};

/// Time for which an overview is used, in milliseconds. Short against the time in which hosts come and
/// go.
const MAX_AGE_MS: u64 = 200;

/// Name of the dispatchers' task in the selection of their hosts.
pub(super) const DISPATCH_TASK: &str = "dispatch";

/// A host that assigns requests to the engines of its region.
#[derive(Clone, Debug)]
pub(super) struct Dispatcher {
    pub(super) host: Name,
    /// Its address for datagrams.
    pub(super) address: SocketAddr,
}

/// Overview of the hosts.
pub(super) struct Overview {
    at: Instant,
    /// The hosts that share the limits of servers.
    pub(super) group: quota::Group,
    /// Number of live hosts in this data centre, this host included.
    pub(super) local_hosts: usize,
    /// Whether there are so many hosts that dispatchers assign requests.
    pub(super) has_dispatchers: bool,
    /// Dispatchers by region, in the order in which they are asked.
    pub(super) dispatchers: BTreeMap<Name, Vec<Dispatcher>>,
}

impl Gateway {
    /// Returns the overview of the hosts.
    pub(super) fn overview(&self) -> Rc<Overview> {
        let now = self.now();
        let mut current = self.overview.borrow_mut();
        if let Some(overview) = &*current
            && now.since_ms(overview.at) < MAX_AGE_MS
        {
            return overview.clone();
        }
        let overview = Rc::new(self.compute_overview(now));
        *current = Some(overview.clone());
        overview
    }

    fn compute_overview(&self, now: Instant) -> Overview {
        let hosts = self.hosts.borrow();
        let group = hosts.quota_group(now, &self.identity.host);
        let local = hosts
            .live(now)
            .filter(|host| host.heartbeat.data_centre == self.identity.data_centre);
        let has_dispatchers = group.size() >= dispatch::MIN_HOSTS;
        let live = hosts.live(now).count();
        self.dispatcher
            .borrow_mut()
            .observe_hosts(now, live, group.size());
        let mut dispatchers = BTreeMap::new();
        if has_dispatchers {
            for region in self.options.borrow().regions.values() {
                dispatchers.entry(region.clone()).or_insert_with(|| {
                    let hosts =
                        hosts.coordinators(now, DISPATCH_TASK, |host| host.region == *region);
                    let dispatcher = |host: &&_| dispatcher_at(host);
                    hosts
                        .iter()
                        .take(dispatch::DISPATCHERS)
                        .map(dispatcher)
                        .collect()
                });
            }
        }
        Overview {
            at: now,
            local_hosts: local.count().max(1),
            group,
            has_dispatchers,
            dispatchers,
        }
    }
}

fn dispatcher_at(heartbeat: &crate::core::gateway::hosts::Heartbeat) -> Dispatcher {
    Dispatcher {
        host: heartbeat.host.clone(),
        address: heartbeat.datagram_address,
    }
}
