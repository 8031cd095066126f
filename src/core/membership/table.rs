//! What is known of each host, living or gone.

use std::collections::BTreeMap;

use super::{
    News, Registration, Said, Standing,
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

/// Reads of the host list in a row from which a host must be missing before it counts as gone.
const MISSING_READS: u32 = 3;

/// Time for which a host must be missing from the host list and silent before it counts as gone.
const MISSING_MS: u64 = 10_000;

/// The same for a host that was never met: the list may lag behind its start.
const UNMET_MISSING_MS: u64 = 120_000;

/// Time for which gone hosts are remembered where no roster names them.
const REMEMBER_GONE_MS: u64 = 3_600_000;

/// A life of a host that is over.
#[derive(Clone, Debug)]
struct Grave {
    incarnation: u64,
    host: Option<Host>,
    at: Instant,
}

/// All hosts but this one.
pub(super) struct Table {
    own: Host,
    entries: BTreeMap<Name, Entry>,
    graves: BTreeMap<Name, Grave>,
    /// Since when members of a roster that were never met are missing from the list.
    unmet: BTreeMap<Id, Instant>,
    members: Vec<Member>,
}

impl Table {
    pub(super) fn new(own: Host) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            graves: BTreeMap::new(),
            unmet: BTreeMap::new(),
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

    /// Returns the epoch of the newest roster to which the known life of a host has shrunk.
    pub(super) fn roster_seen(&self, name: &Name) -> Option<u64> {
        Some(self.entries.get(name)?.roster_seen)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether this life of a host is over: buried, or replaced by a newer one.
    pub(super) fn is_gone(&self, id: &Id) -> bool {
        let newer = self.entries.get(&id.name);
        let grave = self.graves.get(&id.name);
        newer.is_some_and(|entry| entry.host.id.incarnation > id.incarnation)
            || grave.is_some_and(|grave| grave.incarnation >= id.incarnation)
    }

    /// Returns whether nobody holds the place of this life of a host any more: it is over and no
    /// successor of its name is known.
    pub(super) fn is_vacant(&self, id: &Id) -> bool {
        self.is_gone(id) && !self.entries.contains_key(&id.name)
    }

    /// Returns what is known of this life of a host, to tell it to others or to itself.
    pub(super) fn news(&self, now: Instant, id: &Id) -> Option<News> {
        if let Some(entry) = self.entry(id) {
            return Some(entry.news(now));
        }
        let grave = self.graves.get(&id.name)?;
        let host = grave.host.clone()?;
        (grave.incarnation >= id.incarnation).then(|| News::bare(host, Said::Gone))
    }

    /// Returns all that is known, for a host that knows less.
    pub(super) fn all_news(&self, now: Instant) -> Vec<News> {
        let gone = self
            .graves
            .values()
            .filter_map(|grave| Some(News::bare(grave.host.clone()?, Said::Gone)));
        let entries = self.entries.values().map(|entry| entry.news(now));
        entries.chain(gone).collect()
    }

    /// Returns a hash of what all hosts should agree on. Suspicions differ between hosts rightly.
    pub(super) fn digest(&self, now: Instant, own: &News) -> u64 {
        let entries = self.entries.values().map(|entry| entry.news(now));
        entries
            .chain([own.clone()])
            .filter(|news| news.state != Said::Gone)
            .map(|news| entry::hash(&news))
            .fold(0, |sum, hash| sum ^ hash)
    }

    /// Takes one piece of news about another host.
    ///
    /// `is_rumour` tells fresh news from a copy of another host's whole table, whose suspicions
    /// may be old and say nothing against a host that is thought alive here.
    pub(super) fn merge(&mut self, now: Instant, news: &News, is_rumour: bool) -> Change {
        let id = &news.host.id;
        if id.name == self.own.id.name || self.is_gone(id) {
            return Change::Nothing;
        }
        if news.state == Said::Gone {
            self.bury(now, id.incarnation, &news.host);
            self.rebuild();
            return Change::Gone;
        }
        match self.entries.get_mut(&id.name) {
            Some(entry) if entry.host.id == *id => {
                let change = entry.merge(news, is_rumour);
                let served = entry.serving_since.is_some();
                let has_risen = entry.raise(now, news);
                if has_risen || change != Change::Nothing {
                    self.rebuild();
                }
                match change {
                    Change::Nothing if !served && news.serving_ms.is_some() => Change::Serving,
                    change => change,
                }
            }
            _ => {
                self.insert(now, news);
                Change::Joined
            }
        }
    }

    fn insert(&mut self, now: Instant, news: &News) {
        let host = &news.host;
        // A process that bound the host's addresses proves that the one before it is dead, so the
        // entry of an older life is replaced.
        let entry = Entry {
            host: host.clone(),
            refutation: news.refutation,
            said: news.state,
            roster_seen: news.roster_seen,
            generation: news.generation,
            serving_since: news.serving_ms.map(|ms| now.before_ms(ms)),
            heard_at: now,
            listed: false,
            missing_reads: 0,
            missing_since: now,
        };
        self.entries.insert(host.id.name.clone(), entry);
        self.rebuild();
    }

    fn bury(&mut self, now: Instant, incarnation: u64, host: &Host) {
        let name = &host.id.name;
        let entry = self.entries.get(name);
        if entry.is_some_and(|entry| entry.host.id.incarnation <= incarnation) {
            self.entries.remove(name);
        }
        let grave = Grave {
            incarnation,
            host: Some(host.clone()),
            at: now,
        };
        self.graves.insert(name.clone(), grave);
    }

    /// Notes that this life of a host surely lives now: it answered a fresh ping.
    pub(super) fn heard(&mut self, now: Instant, id: &Id) {
        if let Some(entry) = self.entries.get_mut(&id.name)
            && entry.host.id == *id
        {
            entry.heard_at = now;
            entry.missing_reads = 0;
            entry.missing_since = now;
        }
    }

    /// Takes what a host says of itself.
    pub(super) fn merge_standing(
        &mut self,
        now: Instant,
        host: &Host,
        standing: &Standing,
    ) -> Change {
        self.merge(now, &News::told(host.clone(), standing), true)
    }

    /// Takes a read of the host list. Returns the hosts that it changed.
    pub(super) fn read_list(&mut self, now: Instant, list: &[Registration]) -> Vec<(News, Change)> {
        let mut out = Vec::new();
        for listed in list {
            let state = match listed.leaving {
                true => Said::Leaving,
                false => Said::Alive,
            };
            let news = News::bare(listed.host.clone(), state);
            let change = self.merge(now, &news, true);
            if change != Change::Nothing {
                out.push((news, change));
            }
        }
        let names: BTreeMap<&Name, u64> = list
            .iter()
            .map(|listed| (&listed.host.id.name, listed.host.id.incarnation))
            .collect();
        let mut gone = Vec::new();
        for (name, entry) in &mut self.entries {
            match names.get(name) {
                Some(incarnation) if *incarnation == entry.host.id.incarnation => {
                    entry.listed = true;
                    entry.missing_reads = 0;
                    entry.missing_since = now;
                }
                _ if entry.listed => entry.missing_reads += 1,
                _ => entry.missing_since = now,
            }
            if entry.missing_reads >= MISSING_READS
                && now.since_ms(entry.missing_since) >= MISSING_MS
            {
                gone.push(entry.news_of(now, Said::Gone));
            }
        }
        for news in gone {
            self.merge(now, &news, true);
            out.push((news, Change::Gone));
        }
        self.read_unmet(now, &names);
        out
    }

    fn read_unmet(&mut self, now: Instant, names: &BTreeMap<&Name, u64>) {
        let mut gone = Vec::new();
        for (id, since) in &mut self.unmet {
            if self.entries.contains_key(&id.name) || names.contains_key(&id.name) {
                *since = now;
            }
            if now.since_ms(*since) >= UNMET_MISSING_MS {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.unmet.remove(&id);
            let grave = Grave {
                incarnation: id.incarnation,
                host: None,
                at: now,
            };
            self.graves.insert(id.name, grave);
        }
    }

    /// Tells which lives the rosters in force name, whose graves must not be forgotten.
    pub(super) fn expect(&mut self, now: Instant, ids: &[Id]) {
        self.unmet.retain(|id, _| ids.contains(id));
        for id in ids {
            let is_known = self.entries.contains_key(&id.name) || self.is_gone(id);
            if is_known || id.name == self.own.id.name {
                self.unmet.remove(id);
            } else {
                self.unmet.entry(id.clone()).or_insert(now);
            }
        }
        self.graves.retain(|name, grave| {
            now.since_ms(grave.at) < REMEMBER_GONE_MS || ids.iter().any(|id| id.name == *name)
        });
    }

    /// Suspects a host that answered neither this host nor others.
    pub(super) fn suspect(&mut self, now: Instant, id: &Id) -> Option<News> {
        let entry = self.entries.get_mut(&id.name)?;
        if entry.host.id != *id || entry.said != Said::Alive {
            return None;
        }
        entry.said = Said::Suspect;
        let news = entry.news(now);
        self.rebuild();
        Some(news)
    }

    /// Believes that all listed hosts serve and shrank, which a host list alone can't tell.
    pub(super) fn trust_all(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.serving_since.get_or_insert(now);
            entry.roster_seen = u64::MAX;
        }
        self.rebuild();
    }

    fn rebuild(&mut self) {
        self.members = self.entries.values().map(Entry::member).collect();
    }
}
