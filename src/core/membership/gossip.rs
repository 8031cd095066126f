//! Queue of membership updates to gossip, each sent a bounded number of times.

use std::collections::BTreeMap;

use super::Update;
use crate::names::Name;

/// Bytes of a datagram that piggybacked updates may take.
const MAX_UPDATE_BYTES: usize = 800;

/// Largest encoded size of an update without its names, in bytes.
const UPDATE_OVERHEAD_BYTES: usize = 64;

/// Transmissions of each update per doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 3;

struct Pending {
    update: Update,
    sends: u32,
}

/// Updates to gossip: at most one per host, the newest.
#[derive(Default)]
pub(super) struct Queue {
    pending: BTreeMap<Name, Pending>,
}

impl Queue {
    /// Queues an update. It replaces an older one about the same host.
    pub(super) fn push(&mut self, update: Update) {
        let name = update.host.id.name.clone();
        self.pending.insert(name, Pending { update, sends: 0 });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the updates for one message, least-sent first, and counts their transmission.
    pub(super) fn take(&mut self, hosts: usize) -> Vec<Update> {
        let limit = send_limit(hosts);
        let mut order: Vec<(u32, Name)> = self
            .pending
            .iter()
            .map(|(name, pending)| (pending.sends, name.clone()))
            .collect();
        order.sort();
        let mut out = Vec::new();
        let mut bytes = 0;
        for (_, name) in order {
            let Some(pending) = self.pending.get_mut(&name) else {
                continue;
            };
            bytes += encoded_size(&pending.update);
            if bytes > MAX_UPDATE_BYTES {
                break;
            }
            pending.sends += 1;
            out.push(pending.update.clone());
            if pending.sends >= limit {
                self.pending.remove(&name);
            }
        }
        out
    }
}

fn send_limit(hosts: usize) -> u32 {
    SENDS_PER_DOUBLING * (hosts + 1).next_power_of_two().ilog2().max(1)
}

fn encoded_size(update: &Update) -> usize {
    let host = &update.host;
    UPDATE_OVERHEAD_BYTES + host.id.name.len() + host.data_centre.len() + host.region.len()
}
