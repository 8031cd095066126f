//! News that is still being passed on, each piece a bounded number of times.

use std::collections::BTreeMap;

use super::News;
use crate::names::Name;

/// Bytes of a datagram that news may take.
const NEWS_BYTES: usize = 800;

/// Bytes that one piece of news takes at most beside its names.
const FIXED_BYTES: usize = 64;

/// How often each piece is passed on, for each doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 3;

struct Rumour {
    news: News,
    sends: u32,
}

/// News to pass on: at most one piece about each host, the newest.
#[derive(Default)]
pub(super) struct Queue {
    rumours: BTreeMap<Name, Rumour>,
}

impl Queue {
    /// Takes a piece of news, in place of an older one about the same host.
    pub(super) fn put(&mut self, news: News) {
        let name = news.host.id.name.clone();
        self.rumours.insert(name, Rumour { news, sends: 0 });
    }

    /// Returns whether nothing is left to pass on.
    pub(super) fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }

    /// Returns the news for one message, the least passed on first, and counts them as passed on.
    pub(super) fn take(&mut self, hosts: usize) -> Vec<News> {
        let limit = sends(hosts);
        let mut order: Vec<(u32, Name)> = self
            .rumours
            .iter()
            .map(|(name, rumour)| (rumour.sends, name.clone()))
            .collect();
        order.sort();
        let mut out = Vec::new();
        let mut bytes = 0;
        for (_, name) in order {
            let Some(rumour) = self.rumours.get_mut(&name) else {
                continue;
            };
            bytes += size(&rumour.news);
            if bytes > NEWS_BYTES {
                break;
            }
            rumour.sends += 1;
            out.push(rumour.news.clone());
            if rumour.sends >= limit {
                self.rumours.remove(&name);
            }
        }
        out
    }
}

fn sends(hosts: usize) -> u32 {
    SENDS_PER_DOUBLING * (hosts + 1).next_power_of_two().ilog2().max(1)
}

fn size(news: &News) -> usize {
    let host = &news.host;
    FIXED_BYTES + host.id.name.len() + host.data_centre.len() + host.region.len()
}
