//! The engines of one pool in one data centre, as their controller knows them.

use std::collections::BTreeMap;

use super::{
    Command, //
    Order,
    Outcome,
    Report,
};
use crate::{
    core::log::Offset,
    names::Name,
    time::Instant, //
};

/// Time between two readings of an engine, in milliseconds.
const READ_MS: u64 = 5_000;

/// Time after which a reading or an order counts as lost, in milliseconds.
pub(super) const ANSWER_MS: u64 = 10_000;

/// Time for which an engine that refused an order is left alone, in milliseconds.
const REFUSED_MS: u64 = 30_000;

/// Time for which an engine must be silent before others replace it, in milliseconds.
const DOWN_MS: u64 = 30_000;

/// One engine.
#[derive(Default)]
pub(super) struct Engine {
    /// The last report that is newer than the last order.
    pub(super) report: Option<Report>,
    /// When the reading that gave the report was asked for.
    pub(super) read_at: Instant,
    reading_since: Option<Instant>,
    next_read: Instant,
    silent_since: Option<Instant>,
    order: Option<(u64, Command, Instant)>,
    left_alone_until: Instant,
    /// Number of a claim that the engine says is newer than ours.
    pub(super) fenced_by: Option<Offset>,
    /// What was withheld last, so that it is told once.
    pub(super) withheld: Option<&'static str>,
}

impl Engine {
    /// Returns whether it should be read now, and notes that it is.
    pub(super) fn wants_read(&mut self, now: Instant) -> bool {
        if self.order.is_some() || now < self.next_read {
            return false;
        }
        let is_open = self
            .reading_since
            .is_some_and(|at| now.since_ms(at) < ANSWER_MS);
        if is_open {
            return false;
        }
        self.reading_since = Some(now);
        self.next_read = now.after_ms(READ_MS);
        true
    }

    pub(super) fn told(&mut self, now: Instant, report: Option<Report>) {
        let Some(asked_at) = self.reading_since.take() else {
            return;
        };
        match report {
            Some(report) => {
                self.silent_since = None;
                self.read_at = asked_at;
                self.report = Some(report);
            }
            None => {
                self.silent_since.get_or_insert(asked_at);
                self.next_read = now.after_ms(READ_MS);
            }
        }
    }

    /// Notes an order, after which older reports say nothing.
    pub(super) fn ordered(&mut self, now: Instant, order: &Order) {
        self.order = Some((order.id, order.command.clone(), now));
        self.report = None;
        self.reading_since = None;
    }

    /// Takes the answer to an order. The engine is read again before anything is repeated.
    pub(super) fn answered(&mut self, now: Instant, id: u64, outcome: &Outcome) -> bool {
        if self.order.as_ref().is_none_or(|(open, ..)| *open != id) {
            return false;
        }
        self.order = None;
        self.next_read = now;
        match outcome {
            Outcome::Obeyed | Outcome::Unknown => {}
            Outcome::Refused(_) => self.left_alone_until = now.after_ms(REFUSED_MS),
            Outcome::Fenced { newer } => self.fenced_by = Some(*newer),
        }
        true
    }

    /// Gives up on an answer: the order may have taken effect.
    pub(super) fn give_up(&mut self, now: Instant) {
        let is_late = |(_, _, at): &(u64, Command, Instant)| now.since_ms(*at) >= ANSWER_MS;
        if self.order.as_ref().is_some_and(is_late) {
            self.order = None;
            self.next_read = now;
        }
        if let Some(at) = self.reading_since
            && now.since_ms(at) >= ANSWER_MS
        {
            self.told(now, None);
        }
    }

    /// Returns whether it may be given an order now.
    pub(super) fn is_free(&self, now: Instant) -> bool {
        self.order.is_none() && now >= self.left_alone_until && self.report.is_some()
    }

    /// Returns whether an order is open.
    pub(super) fn is_ordered(&self) -> bool {
        self.order.is_some()
    }

    /// Returns whether it has been silent for so long that others should take its place.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|at| now.since_ms(at) >= DOWN_MS)
    }
}

/// The engines of one pool in one data centre.
pub(super) struct Group {
    pub(super) pool: Name,
    pub(super) data_centre: Name,
    /// Our fencing number, and since when we know that we hold the claim.
    pub(super) held: Option<(Offset, Instant)>,
    pub(super) engines: BTreeMap<Name, Engine>,
    /// When the weight store may serve the group's next load.
    pub(super) next_load: Instant,
}

impl Group {
    pub(super) fn new(pool: Name, data_centre: Name) -> Self {
        Self {
            pool,
            data_centre,
            held: None,
            engines: BTreeMap::new(),
            next_load: Instant::ZERO,
        }
    }

    /// Takes the holder of the claim, as the agreed state has it.
    ///
    /// `settle_ms` is how long the weight store may be busy with loads of the holder before.
    pub(super) fn hold(&mut self, now: Instant, fence: Option<Offset>, settle_ms: u64) {
        let known = self.held.map(|(fence, _)| fence);
        if known == fence {
            return;
        }
        self.held = fence.map(|fence| (fence, now));
        // What others ordered meanwhile is only seen by reading again.
        self.engines.clear();
        self.next_load = now.after_ms(settle_ms);
    }
}
