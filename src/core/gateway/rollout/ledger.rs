//! Bound on the requests that a host sends to the target of an order.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

use super::order::{
    Order,
    Window, //
};
use crate::{
    core::gateway::{
        balance,
        quota, //
    },
    names::Name,
    options::gateway::Rollout,
    time::Instant, //
};

/// Fraction of the exposure ratio that hosts use. The rest is for requests that hosts count and that don't
/// reach a server, which increase what is allowed but not what the bound refers to.
const RATIO_USED: f64 = 0.7;

/// Fraction of the exposure tolerance that hosts share. The rest is for hosts that see fewer hosts than
/// there are, and for requests that servers count and hosts don't.
const TOLERANCE_USED: f64 = 0.5;

/// Smallest number of hosts among which a host shares the tolerance. A host that sees no others has lost
/// its connections, since the smallest deployments have three hosts.
const MIN_HOSTS: u64 = 3;

/// Number of requests to other versions for each one to the target while the share of the tolerance is
/// used, so that answers of both versions of the same time can be compared also at a low request rate.
const MIN_OTHERS: u64 = 1;

/// How a host came to know of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Its process ran when the store accepted the order.
    Running,
    /// Its process started later, or a ledger of the order was lost otherwise. An earlier process of the
    /// host may have used its share of the tolerance.
    Started,
}

/// What one host may send to the target of an order while the target may be faulty.
///
/// The bound is local, so the sum over all hosts holds without any message between them.
#[derive(Clone, Debug)]
pub struct Ledger {
    deadline: Instant,
    ratio: f64,
    share: u64,
    // Fraction of a request by which the host is ahead. Hundreds of hosts that each wait until a whole
    // request is earned would send nearly none. The fractions are spread evenly over the hosts, so that the
    // sum is as if all hosts counted together.
    advance: f64,
    sent: u64,
    sent_to_target: u64,
}

impl Ledger {
    /// Opens the ledger of a host for an order. `group` is the host and all others that may be alive.
    pub fn open(
        order: &Order,
        window: Window,
        bounds: &Rollout,
        group: &quota::Group,
        origin: Origin,
    ) -> Self {
        let shared = (bounds.exposure_tolerance as f64 * TOLERANCE_USED) as u64;
        let (share, advance) = match origin {
            Origin::Running => {
                let share = group.share(shared, &order.service);
                let advance = (rank(group, &order.service) as f64 + 0.5) / group.size() as f64;
                (share.min(shared / MIN_HOSTS + 1), advance)
            }
            Origin::Started => (0, 0.0),
        };
        Self {
            deadline: window.deadline,
            ratio: bounds.exposure_ratio * RATIO_USED,
            share,
            advance,
            sent: 0,
            sent_to_target: 0,
        }
    }

    /// Records that a request was handed to a connection of a server of the service: first attempts,
    /// retries, resumed streams and calls with pieces.
    pub fn record_sent(&mut self, now: Instant, is_target: bool) {
        // The bound refers to requests until the deadline.
        if is_target || now < self.deadline {
            self.sent += 1;
        }
        self.sent_to_target += u64::from(is_target);
    }

    /// Takes back the record of a request that was not sent after all. `sent_at` is the time of the record.
    pub fn undo_sent(&mut self, sent_at: Instant, is_target: bool) {
        if is_target || sent_at < self.deadline {
            self.sent = self.sent.saturating_sub(1);
        }
        let undone = u64::from(is_target);
        self.sent_to_target = self.sent_to_target.saturating_sub(undone);
    }

    /// Returns whether one more request to the target stays within the bound.
    pub fn may_send(&self, now: Instant) -> bool {
        let next = self.sent_to_target + 1;
        // The request itself counts only if it arrives before the deadline.
        let sent = self.sent + u64::from(now < self.deadline);
        let earned = (sent as f64 * self.ratio + self.advance) as u64;
        let others = self.sent - self.sent_to_target;
        next <= earned + self.share && (next <= earned || others >= next * MIN_OTHERS)
    }

    /// Returns the number of requests to the service and that to the target.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent, self.sent_to_target)
    }
}

/// Returns the number of hosts of the group that precede this one: as many units as all of them need.
fn rank(group: &quota::Group, service: &Name) -> u64 {
    let (mut low, mut high) = (0, group.size() as u64);
    while high - low > 1 {
        let middle = low.midpoint(high);
        if group.share(middle, service) > 0 {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}

/// A usable server of a service that has an order.
#[derive(Clone, Copy, Debug)]
pub struct Server<'a> {
    /// Its id.
    pub id: &'a Name,
    /// Region of its data centre.
    pub region: &'a Name,
    /// Whether it runs the target version.
    pub is_target: bool,
}

/// Returns the servers that take the target's requests while it is tried, the same at all hosts.
///
/// They are so few that each gets about as many requests as a server of another version, so that faults
/// under load show. Each region with servers of the target has at least one.
pub fn trial_servers<'a>(
    order: &Order,
    bounds: &Rollout,
    servers: impl Iterator<Item = Server<'a>>,
) -> Vec<&'a Name> {
    let mut regions: BTreeMap<&Name, (Vec<&'a Name>, u64)> = BTreeMap::new();
    for server in servers {
        let (targets, others) = regions.entry(server.region).or_default();
        if server.is_target {
            targets.push(server.id);
        } else {
            *others += 1;
        }
    }
    let id = order.id.to_string();
    let mut chosen = Vec::new();
    for (mut targets, others) in regions.into_values() {
        let load = others as f64 * bounds.exposure_ratio * RATIO_USED;
        let count = (load.round() as usize).max(1);
        targets.sort_by_cached_key(|server| Reverse(balance::hash(&[server, &id])));
        chosen.extend(targets.into_iter().take(count));
    }
    chosen
}
