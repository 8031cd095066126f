//! Buffer of the newest records of a topic, for other hosts of the data centre.
//!
//! Each call to the store has a price, and in a large data centre all hosts would read the same
//! records.

use std::collections::VecDeque;

use super::position::Position;
use crate::{
    edges::gateway::{
        Record,
        Tail, //
    },
    time::Instant,
};

/// Retention time of records, in milliseconds: a few read intervals of the requesting hosts.
const RETENTION_MS: u64 = 4_000;

/// Newest records of one topic.
#[derive(Debug, Default)]
pub struct Buffer {
    records: VecDeque<(Instant, u64, Record)>,
    // Offset from which the buffer is complete.
    start: u64,
    // Position after the last record.
    next: Position,
    read_at: Option<Instant>,
}

impl Buffer {
    /// Records the result of a read from a position.
    pub fn record(&mut self, now: Instant, from: Position, tail: &Tail) {
        if from != self.next {
            self.records.clear();
            self.start = from.offset;
        }
        let records = tail.records.iter();
        let records = records.map(|(offset, record)| (now, *offset, record.clone()));
        self.records.extend(records);
        self.next = Position {
            offset: tail.next,
            ..from
        };
        self.read_at = Some(now);
        while let Some((_, offset, _)) = self
            .records
            .front()
            .filter(|(at, _, _)| now.since_ms(*at) > RETENTION_MS)
        {
            self.start = offset + 1;
            self.records.pop_front();
        }
    }

    /// Returns the records from a position. Returns `None` if some were evicted, the last read is older
    /// than `max_age_ms`, or the position is of another timeline than the records.
    pub fn since(&self, now: Instant, from: Position, max_age_ms: u64) -> Option<Tail> {
        let is_fresh = self
            .read_at
            .is_some_and(|at| now.since_ms(at) <= max_age_ms);
        if !is_fresh || from.timeline != self.next.timeline || from.offset < self.start {
            return None;
        }
        let records = self.records.iter();
        let records = records.filter(|(_, offset, _)| *offset >= from.offset);
        Some(Tail {
            records: records
                .map(|(_, offset, record)| (*offset, record.clone()))
                .collect(),
            // The requesting host may have read further by itself.
            next: self.next.offset.max(from.offset),
        })
    }
}
