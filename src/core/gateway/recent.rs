//! Records of a topic that this host read a moment ago, for hosts near by that ask for them.
//!
//! Each call of the store is paid for, and in a data centre with many hosts all would read the same.

use std::collections::VecDeque;

use crate::{
    edges::gateway::{
        Record,
        Tail, //
    },
    time::Instant,
};

/// Time since the last read after which nothing is told, in milliseconds: two reads that follow each
/// other, and one that is late. Whoever asks then reads the store itself.
const FRESH_MS: u64 = 1_500;

/// Time for which records are kept, in milliseconds: a few reads of whoever asks.
const KEPT_MS: u64 = 4_000;

/// Records of one topic.
#[derive(Debug, Default)]
pub struct Buffer {
    records: VecDeque<(Instant, u64, Record)>,
    // Offset from which on all records are there.
    first: u64,
    // Offset after the last one.
    next: u64,
    read: Option<Instant>,
}

impl Buffer {
    /// Takes what was read from an offset on.
    pub fn record(&mut self, now: Instant, from: u64, tail: &Tail) {
        if from != self.next {
            self.records.clear();
            self.first = from;
        }
        let records = tail.records.iter();
        let records = records.map(|(offset, record)| (now, *offset, record.clone()));
        self.records.extend(records);
        self.next = tail.next;
        self.read = Some(now);
        while let Some((_, offset, _)) = self
            .records
            .front()
            .filter(|(read, _, _)| now.since_ms(*read) > KEPT_MS)
        {
            self.first = offset + 1;
            self.records.pop_front();
        }
    }

    /// Returns the records from an offset on, `None` where they aren't there, or what is there is old.
    pub fn since(&self, now: Instant, from: u64) -> Option<Tail> {
        let is_fresh = self.read.is_some_and(|read| now.since_ms(read) <= FRESH_MS);
        if !is_fresh || from < self.first {
            return None;
        }
        let records = self.records.iter().filter(|(_, offset, _)| *offset >= from);
        Some(Tail {
            records: records
                .map(|(_, offset, record)| (*offset, record.clone()))
                .collect(),
            // Whoever asks may have read further by itself.
            next: self.next.max(from),
        })
    }
}
