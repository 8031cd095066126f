//! The engines of one pool in one data centre, as their controller knows them.

use std::collections::BTreeMap;

use super::{
    Command,
    Order,
    Outcome,
    Report, //
};
use crate::{
    core::log::Offset,
    names::Name,
    time::Instant, //
};

/// Time between two reads of an engine, in milliseconds.
const READ_INTERVAL_MS: u64 = 5_000;

/// Timeout of a read or an order, in milliseconds.
pub(super) const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// Backoff after an engine refused an order, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 30_000;

/// Time without an answer after which the models of an engine are placed on others, in
/// milliseconds.
const DOWN_TIMEOUT_MS: u64 = 30_000;

/// State of one engine.
#[derive(Default)]
pub(super) struct Engine {
    /// Last report, `None` after an order until the engine is read again.
    pub(super) report: Option<Report>,
    /// When the read that returned the report was started.
    pub(super) read_at: Instant,
    open_read_since: Option<Instant>,
    next_read: Instant,
    unresponsive_since: Option<Instant>,
    /// The open order: its id, its command and when it was issued.
    order: Option<(u64, Command, Instant)>,
    backoff_until: Instant,
    /// Newer fencing number that the engine reported when it refused an order.
    pub(super) fenced_by: Option<Offset>,
    /// Rule by which the last order was withheld, so that each is logged once.
    pub(super) withheld: Option<&'static str>,
}

impl Engine {
    /// Returns whether the engine has to be read now, and records that a read starts.
    pub(super) fn start_read(&mut self, now: Instant) -> bool {
        if self.order.is_some() || now < self.next_read {
            return false;
        }
        let is_open = self
            .open_read_since
            .is_some_and(|at| now.since_ms(at) < ANSWER_TIMEOUT_MS);
        if is_open {
            return false;
        }
        self.open_read_since = Some(now);
        self.next_read = now.after_ms(READ_INTERVAL_MS);
        true
    }

    pub(super) fn record_report(&mut self, now: Instant, report: Option<Report>) {
        let Some(started_at) = self.open_read_since.take() else {
            return;
        };
        match report {
            Some(report) => {
                self.unresponsive_since = None;
                self.read_at = started_at;
                self.report = Some(report);
            }
            None => {
                self.unresponsive_since.get_or_insert(started_at);
                self.next_read = now.after_ms(READ_INTERVAL_MS);
            }
        }
    }

    /// Records an issued order. Earlier reports are outdated from now on.
    pub(super) fn record_order(&mut self, now: Instant, order: &Order) {
        self.order = Some((order.id, order.command.clone(), now));
        self.report = None;
        self.open_read_since = None;
    }

    /// Handles the answer to an order. The engine is read again before the next order.
    pub(super) fn take_answer(&mut self, now: Instant, id: u64, outcome: &Outcome) -> bool {
        if self.order.as_ref().is_none_or(|(open, ..)| *open != id) {
            return false;
        }
        self.order = None;
        self.next_read = now;
        match outcome {
            Outcome::Obeyed | Outcome::Unknown => {}
            Outcome::Refused(_) => self.backoff_until = now.after_ms(REFUSAL_BACKOFF_MS),
            Outcome::Fenced { newer } => self.fenced_by = Some(*newer),
        }
        true
    }

    /// Expires an open order or read. An expired order may have taken effect, so the engine is
    /// read.
    pub(super) fn expire_requests(&mut self, now: Instant) {
        let is_late = |(_, _, at): &(u64, Command, Instant)| now.since_ms(*at) >= ANSWER_TIMEOUT_MS;
        if self.order.as_ref().is_some_and(is_late) {
            self.order = None;
            self.next_read = now;
        }
        if let Some(at) = self.open_read_since
            && now.since_ms(at) >= ANSWER_TIMEOUT_MS
        {
            self.record_report(now, None);
        }
    }

    /// Returns whether an order may be issued to this engine now.
    pub(super) fn accepts_orders(&self, now: Instant) -> bool {
        self.order.is_none() && now >= self.backoff_until && self.report.is_some()
    }

    /// Returns whether an order is open.
    pub(super) fn has_open_order(&self) -> bool {
        self.order.is_some()
    }

    /// Returns whether the engine has not answered for so long that others have to replace it.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.unresponsive_since
            .is_some_and(|at| now.since_ms(at) >= DOWN_TIMEOUT_MS)
    }
}

/// The engines of one pool in one data centre.
pub(super) struct Group {
    pub(super) pool: Name,
    pub(super) data_centre: Name,
    /// Fencing number of the claim that this host holds, and when it learned of it.
    pub(super) claim: Option<(Offset, Instant)>,
    pub(super) engines: BTreeMap<Name, Engine>,
    /// Earliest time of the next load, by the group's share of the weight store.
    pub(super) next_load: Instant,
}

impl Group {
    pub(super) fn new(pool: Name, data_centre: Name) -> Self {
        Self {
            pool,
            data_centre,
            claim: None,
            engines: BTreeMap::new(),
            next_load: Instant::ZERO,
        }
    }

    /// Sets the fencing number of the claim from the agreed state, `None` if another host holds it.
    ///
    /// `settle_ms` is how long loads of the previous holder may still use the weight store.
    pub(super) fn set_claim(&mut self, now: Instant, fence: Option<Offset>, settle_ms: u64) {
        let known = self.claim.map(|(fence, _)| fence);
        if known == fence {
            return;
        }
        self.claim = fence.map(|fence| (fence, now));
        // Orders of other holders show only when the engines are read again.
        self.engines.clear();
        self.next_load = now.after_ms(settle_ms);
    }
}
