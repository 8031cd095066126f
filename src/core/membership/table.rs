//! Table of all known hosts, with tombstones of those that are gone.

use std::collections::BTreeMap;

use super::{
    Registration, State, Status, Update,
    entry::{
        self,
        Change,
        Entry, //
    },
};
use crate::{
    core::{
        host::{
            Host,
            Id, //
        },
        view::Member,
    },
    names::Name,
    time::Instant,
};

/// Consecutive reads of the host list that a host must be missing from before it counts as gone.
///
/// A single read may return an older list.
const MAX_MISSED_POLLS: u32 = 3;

/// Time for which a host must be missing from the host list and answer no pings before it counts as
/// gone, in milliseconds.
const MISSING_TIMEOUT_MS: u64 = 10_000;

/// As [`MISSING_TIMEOUT_MS`], for a roster member that was never seen, in milliseconds.
///
/// Longer, since the host list may lag behind the start of a host.
const UNSEEN_TIMEOUT_MS: u64 = 120_000;

/// Time for which the tombstone of a host that is in no roster is kept, in milliseconds.
const TOMBSTONE_RETENTION_MS: u64 = 3_600_000;

/// Marks all incarnations of a host up to this one as gone.
#[derive(Clone, Debug)]
struct Tombstone {
    incarnation: u64,
    host: Option<Host>,
    at: Instant,
}

/// All known hosts except this one.
pub(super) struct Table {
    own: Host,
    entries: BTreeMap<Name, Entry>,
    tombstones: BTreeMap<Name, Tombstone>,
    /// Roster members that were never seen, and since when they are missing from the host list.
    unseen: BTreeMap<Id, Instant>,
    members: Vec<Member>,
}

impl Table {
    pub(super) fn new(own: Host) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            unseen: BTreeMap::new(),
            members: Vec::new(),
        }
    }

    pub(super) fn members(&self) -> &[Member] {
        &self.members
    }

    pub(super) fn entry(&self, id: &Id) -> Option<&Entry> {
        let entry = self.entries.get(&id.name)?;
        (entry.host.id == *id).then_some(entry)
    }

    /// Returns the epoch of the newest roster whose share the calls of a host fit.
    pub(super) fn roster_epoch(&self, name: &Name) -> Option<u64> {
        Some(self.entries.get(name)?.roster_epoch)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether this incarnation is gone: it has a tombstone, or a newer one is known.
    pub(super) fn is_gone(&self, id: &Id) -> bool {
        let newer = self.entries.get(&id.name);
        let tombstone = self.tombstones.get(&id.name);
        newer.is_some_and(|entry| entry.host.id.incarnation > id.incarnation)
            || tombstone.is_some_and(|tombstone| tombstone.incarnation >= id.incarnation)
    }

    /// Returns whether this incarnation is gone and no newer one of the same name is known.
    pub(super) fn is_gone_without_successor(&self, id: &Id) -> bool {
        self.is_gone(id) && !self.entries.contains_key(&id.name)
    }

    /// Returns an update about this incarnation, or that it is gone.
    pub(super) fn update_about(&self, now: Instant, id: &Id) -> Option<Update> {
        if let Some(entry) = self.entry(id) {
            return Some(entry.to_update(now));
        }
        let tombstone = self.tombstones.get(&id.name)?;
        let host = tombstone.host.clone()?;
        (tombstone.incarnation >= id.incarnation).then(|| Update::from_state(host, State::Gone))
    }

    /// Returns the whole table as updates, tombstones included.
    pub(super) fn all_updates(&self, now: Instant) -> Vec<Update> {
        let gone = self
            .tombstones
            .values()
            .filter_map(|tombstone| Some(Update::from_state(tombstone.host.clone()?, State::Gone)));
        let entries = self.entries.values().map(|entry| entry.to_update(now));
        entries.chain(gone).collect()
    }

    /// Returns a hash of the state on which all hosts converge. It leaves out suspicions, which may
    /// differ between hosts.
    pub(super) fn digest(&self, now: Instant, own: &Update) -> u64 {
        let entries = self.entries.values().map(|entry| entry.to_update(now));
        entries
            .chain([own.clone()])
            .filter(|update| update.state != State::Gone)
            .map(|update| entry::hash(&update))
            .fold(0, |sum, hash| sum ^ hash)
    }

    /// Merges an update about another host.
    ///
    /// `is_fresh` is false for updates from another host's whole table: their suspicions may be
    /// outdated, so they do not make a host suspect that is thought alive here.
    pub(super) fn merge(&mut self, now: Instant, update: &Update, is_fresh: bool) -> Change {
        let id = &update.host.id;
        if id.name == self.own.id.name || self.is_gone(id) {
            return Change::Unchanged;
        }
        if update.state == State::Gone {
            self.mark_gone(now, id.incarnation, &update.host);
            self.rebuild();
            return Change::Gone;
        }
        match self.entries.get_mut(&id.name) {
            Some(entry) if entry.host.id == *id => {
                let change = entry.merge(update, is_fresh);
                let served = entry.serving_since.is_some();
                let has_advanced = entry.advance(now, update);
                if has_advanced || change != Change::Unchanged {
                    self.rebuild();
                }
                match change {
                    Change::Unchanged if !served && update.serving_ms.is_some() => Change::Serving,
                    change => change,
                }
            }
            _ => {
                self.insert(now, update);
                Change::Joined
            }
        }
    }

    fn insert(&mut self, now: Instant, update: &Update) {
        let host = &update.host;
        // Only one process can bind the addresses of a host, so a new incarnation proves that the
        // previous one has ended, and replaces its entry.
        let entry = Entry {
            host: host.clone(),
            refutation: update.refutation,
            state: update.state,
            roster_epoch: update.roster_epoch,
            ticket_generation: update.ticket_generation,
            serving_since: update.serving_ms.map(|ms| now.before_ms(ms)),
            confirmed_at: now,
            is_listed: false,
            missed_polls: 0,
            missing_since: now,
        };
        self.entries.insert(host.id.name.clone(), entry);
        self.rebuild();
    }

    fn mark_gone(&mut self, now: Instant, incarnation: u64, host: &Host) {
        let name = &host.id.name;
        let entry = self.entries.get(name);
        if entry.is_some_and(|entry| entry.host.id.incarnation <= incarnation) {
            self.entries.remove(name);
        }
        let tombstone = Tombstone {
            incarnation,
            host: Some(host.clone()),
            at: now,
        };
        self.tombstones.insert(name.clone(), tombstone);
    }

    /// Records that this incarnation answered a recent ping.
    pub(super) fn confirm_alive(&mut self, now: Instant, id: &Id) {
        if let Some(entry) = self.entries.get_mut(&id.name)
            && entry.host.id == *id
        {
            entry.confirmed_at = now;
            entry.missed_polls = 0;
            entry.missing_since = now;
        }
    }

    /// Merges the status that a host sent about itself.
    pub(super) fn merge_status(&mut self, now: Instant, host: &Host, status: &Status) -> Change {
        self.merge(now, &Update::from_status(host.clone(), status), true)
    }

    /// Merges the host list. Returns updates about the hosts that changed.
    pub(super) fn merge_host_list(
        &mut self,
        now: Instant,
        list: &[Registration],
    ) -> Vec<(Update, Change)> {
        let mut out = Vec::new();
        for registration in list {
            let state = match registration.leaving {
                true => State::Leaving,
                false => State::Alive,
            };
            let update = Update::from_state(registration.host.clone(), state);
            let change = self.merge(now, &update, true);
            if change != Change::Unchanged {
                out.push((update, change));
            }
        }
        let incarnations: BTreeMap<&Name, u64> = list
            .iter()
            .map(|registration| (&registration.host.id.name, registration.host.id.incarnation))
            .collect();
        let mut gone = Vec::new();
        for (name, entry) in &mut self.entries {
            match incarnations.get(name) {
                Some(incarnation) if *incarnation == entry.host.id.incarnation => {
                    entry.is_listed = true;
                    entry.missed_polls = 0;
                    entry.missing_since = now;
                }
                _ if entry.is_listed => entry.missed_polls += 1,
                _ => entry.missing_since = now,
            }
            if entry.missed_polls >= MAX_MISSED_POLLS
                && now.since_ms(entry.missing_since) >= MISSING_TIMEOUT_MS
            {
                gone.push(entry.update_with_state(now, State::Gone));
            }
        }
        for update in gone {
            self.merge(now, &update, true);
            out.push((update, Change::Gone));
        }
        self.expire_unseen(now, &incarnations);
        out
    }

    fn expire_unseen(&mut self, now: Instant, incarnations: &BTreeMap<&Name, u64>) {
        let mut gone = Vec::new();
        for (id, since) in &mut self.unseen {
            if self.entries.contains_key(&id.name) || incarnations.contains_key(&id.name) {
                *since = now;
            }
            if now.since_ms(*since) >= UNSEEN_TIMEOUT_MS {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.unseen.remove(&id);
            let tombstone = Tombstone {
                incarnation: id.incarnation,
                host: None,
                at: now,
            };
            self.tombstones.insert(id.name, tombstone);
        }
    }

    /// Sets the members of the rosters in force, whose tombstones are kept without a time limit.
    pub(super) fn set_roster_members(&mut self, now: Instant, ids: &[Id]) {
        self.unseen.retain(|id, _| ids.contains(id));
        for id in ids {
            let is_known = self.entries.contains_key(&id.name) || self.is_gone(id);
            if is_known || id.name == self.own.id.name {
                self.unseen.remove(id);
            } else {
                self.unseen.entry(id.clone()).or_insert(now);
            }
        }
        self.tombstones.retain(|name, tombstone| {
            now.since_ms(tombstone.at) < TOMBSTONE_RETENTION_MS
                || ids.iter().any(|id| id.name == *name)
        });
    }

    /// Suspects a host that answered neither direct nor indirect pings.
    pub(super) fn suspect(&mut self, now: Instant, id: &Id) -> Option<Update> {
        let entry = self.entries.get_mut(&id.name)?;
        if entry.host.id != *id || entry.state != State::Alive {
            return None;
        }
        entry.state = State::Suspect;
        let update = entry.to_update(now);
        self.rebuild();
        Some(update)
    }

    /// Assumes that all listed hosts serve and have applied every roster, since a host list does
    /// not say so. For [`Policy::HostListOnly`](super::Policy::HostListOnly).
    pub(super) fn assume_all_serving(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.serving_since.get_or_insert(now);
            entry.roster_epoch = u64::MAX;
        }
        self.rebuild();
    }

    fn rebuild(&mut self) {
        self.members = self.entries.values().map(Entry::member).collect();
    }
}
