//! Rates that servers in need name, kept to by all hosts together.
//!
//! A server names in its answers how many requests a second it takes from all hosts, for as long as it
//! is in need. Hosts share what they are told, and divide the rate as they divide other limits. A host
//! without a share sends nothing, so it learns only from the others that the need is over.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    quota::Group,
    servers::Entry, //
};
use crate::names::Name;

/// Window in which requests are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;

/// Unit of time of the rates, in milliseconds.
const KILOSECOND_MS: u64 = 1_000_000;

/// Time without an answer of a server after which the shares that are smaller than one request go to
/// other hosts, in milliseconds. Those that had them may have no requests for it.
const ROTATION_MS: u64 = 10_000;

/// Retention time of a rate that was lifted, in milliseconds. Older reports of it may arrive meanwhile.
const LIFTED_MS: u64 = 30_000;

/// Retention time of a rate, in milliseconds. The server has left, or gets no requests from anyone.
const RETENTION_MS: u64 = 300_000;

/// Maximum number of rates in a report.
const MAX_REPORTED: usize = 40;

/// What the newest answer of a server says, as hosts report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The server.
    pub server: Name,
    /// Its start, since one that restarts is no longer in need.
    pub started_at: Option<u64>,
    /// Requests that it takes in 1,000 seconds. `None` if it is no longer in need.
    pub per_ks: Option<u64>,
    /// When that was known, in milliseconds of Unix time.
    pub at_unix_ms: u64,
}

/// All rates that are known.
#[derive(Debug, Default)]
pub struct Table {
    limits: BTreeMap<Name, Limit>,
}

impl Table {
    /// Records an answer of a server to a request that was sent at `sent_unix_ms`, with the rate that
    /// it names. Returns whether that is a change.
    ///
    /// An answer without a rate counts from the time at which its request was sent: it may be older
    /// than one that names a rate.
    pub fn record_answer(
        &mut self,
        unix_ms: u64,
        sent_unix_ms: u64,
        server: &Entry,
        per_ks: Option<u64>,
    ) -> bool {
        if per_ks.is_none() && !self.limits.contains_key(&server.id) {
            return false;
        }
        self.merge(Limit {
            server: server.id.clone(),
            started_at: server.started_at,
            per_ks,
            at_unix_ms: if per_ks.is_some() {
                unix_ms
            } else {
                sent_unix_ms
            },
        })
    }

    /// Merges what another host reports. Returns whether that is a change.
    pub fn merge(&mut self, limit: Limit) -> bool {
        let known = self.limits.get(&limit.server);
        if known.is_some_and(|known| known.at_unix_ms >= limit.at_unix_ms) {
            return false;
        }
        let is_change = known.is_none_or(|known| {
            known.per_ks != limit.per_ks || known.started_at != limit.started_at
        });
        self.limits.insert(limit.server.clone(), limit);
        is_change
    }

    /// Returns what this host reports to others, the newest first.
    pub fn report(&self) -> Vec<Limit> {
        let mut limits: Vec<Limit> = self.limits.values().cloned().collect();
        limits.sort_by_key(|limit| std::cmp::Reverse(limit.at_unix_ms));
        limits.truncate(MAX_REPORTED);
        limits
    }

    /// Returns how many requests one of a group of senders may send to a server in any window, if
    /// the server names a rate. `percent` is the part of the rate that the group divides.
    pub fn share(&self, unix_ms: u64, server: &Entry, group: &Group, percent: u64) -> Option<u64> {
        let limit = self.limits.get(&server.id)?;
        let per_ks = limit.per_ks?;
        if limit.started_at != server.started_at {
            return None;
        }
        let in_window = per_ks.saturating_mul(WINDOW_MS) / KILOSECOND_MS;
        // Without any request nobody would learn that the need is over.
        let total = (in_window.saturating_mul(percent) / 100).max(1);
        let turn = unix_ms.saturating_sub(limit.at_unix_ms) / ROTATION_MS;
        Some(if turn == 0 {
            group.share(total, &server.id)
        } else {
            group.share(total, &format!("{} {turn}", server.id))
        })
    }

    /// Returns what the newest answer of a server says.
    pub fn get(&self, server: &str) -> Option<&Limit> {
        self.limits.get(server)
    }

    /// Returns whether a server names a rate.
    pub fn is_limited(&self, server: &str) -> bool {
        self.get(server).is_some_and(|limit| limit.per_ks.is_some())
    }

    /// Drops what is over.
    pub fn expire(&mut self, unix_ms: u64) {
        self.limits.retain(|_, limit| {
            let age_ms = unix_ms.saturating_sub(limit.at_unix_ms);
            let retention_ms = match limit.per_ks {
                Some(_) => RETENTION_MS,
                None => LIFTED_MS,
            };
            age_ms < retention_ms
        });
    }
}
