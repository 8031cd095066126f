//! Drains that are respected before their records are read.
//!
//! An append can take effect just before the log fails. Then no host reads the record until the log is
//! back, and reports of other hosts show nothing of it. A drain may be respected early, so the host
//! that appends it announces it to all members first.

use std::collections::BTreeMap;

use super::{
    Action,
    Replica,
    message::Message, //
};
use crate::{
    core::state::{
        Record,
        Target, //
    },
    names::Name,
    time::Instant,
};

/// Time after the announcement from which a complete read without the record shows that the append
/// won't take effect, in milliseconds. An append may be delayed by ten seconds.
const APPEND_EXPIRY_MS: u64 = 12_000;

/// Maximum number of announced drains. The oldest are dropped beyond that.
const MAX_ANNOUNCED: usize = 256;

struct Drain {
    record: Record,
    target: Target,
    announced_at: Instant,
}

/// Announced drains without a verdict, by the id of their record.
#[derive(Default)]
pub(super) struct Announced {
    drains: BTreeMap<Name, Drain>,
    revision: u64,
}

impl Announced {
    fn retain(&mut self, is_kept: impl Fn(&Drain) -> bool) {
        let before = self.drains.len();
        self.drains.retain(|_, drain| is_kept(drain));
        if self.drains.len() != before {
            self.revision += 1;
        }
    }

    /// Drops the drains whose append can no longer take effect, according to a complete read that was
    /// sent at `sent_at` and that did not contain them.
    pub(super) fn expire(&mut self, sent_at: Instant) {
        self.retain(|drain| sent_at.since_ms(drain.announced_at) < APPEND_EXPIRY_MS);
    }
}

impl Replica {
    /// Returns the targets of announced drains without a verdict.
    pub fn announced_drains(&self) -> impl Iterator<Item = &Target> {
        self.announced.drains.values().map(|drain| &drain.target)
    }

    /// Returns a counter that is raised when the announced drains change.
    pub fn announced_revision(&self) -> u64 {
        self.announced.revision
    }

    /// Announces a drain to all members before its record is appended.
    pub(super) fn announce(&mut self, now: Instant, record: &Record, out: &mut Vec<Action>) {
        if !self.is_gossip_enabled() || !self.on_announced(now, record) {
            return;
        }
        for member in &self.members {
            out.push(Action::Send {
                to: member.host.id.clone(),
                message: Message::Announce(Box::new(record.clone())),
            });
        }
    }

    /// Records an announced drain. Returns whether the record is a drain without a verdict.
    pub(super) fn on_announced(&mut self, now: Instant, record: &Record) -> bool {
        let Record::Drain {
            id,
            target,
            drained: true,
        } = record
        else {
            return false;
        };
        if self.state.settled_verdict(record).is_some() {
            return false;
        }
        let drain = Drain {
            record: record.clone(),
            target: target.clone(),
            announced_at: now,
        };
        if self.announced.drains.insert(id.clone(), drain).is_none() {
            self.announced.revision += 1;
            self.record_decision_on(now, id.clone(), "announced", "drain", &[]);
        }
        while self.announced.drains.len() > MAX_ANNOUNCED {
            let drains = self.announced.drains.iter();
            let oldest = drains.min_by_key(|(_, drain)| drain.announced_at);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.announced.drains.remove(&oldest);
        }
        true
    }

    /// Drops announced drains whose records have a verdict.
    pub(super) fn settle_announced(&mut self) {
        let state = &self.state;
        let is_open = |drain: &Drain| state.settled_verdict(&drain.record).is_none();
        self.announced.retain(is_open);
    }
}
