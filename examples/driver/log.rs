//! A fake of the platform's log: outages, lost answers, late appends, retention, a shorter return.

use teaselchute::core::{
    log::{
        Entry,
        Offset, //
    },
    state::Record,
};

/// The records that the log keeps.
#[derive(Default)]
pub struct Log {
    first: Offset,
    entries: Vec<Entry>,
    /// Whether the log answers nobody now.
    pub down: bool,
}

/// The answer to a read: first kept offset, next offset, records.
pub struct Read {
    /// Oldest offset that is kept.
    pub first: Offset,
    /// Offset of the next append.
    pub end: Offset,
    /// The records.
    pub entries: Vec<Entry>,
}

/// Most records in one answer.
const READ_LIMIT: usize = 256;

impl Log {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, record: Record) -> Offset {
        let offset = self.end();
        self.entries.push(Entry { offset, record });
        offset
    }

    /// Returns the offset of the next append.
    pub fn end(&self) -> Offset {
        self.first + self.entries.len() as u64
    }

    /// Reads records from an offset on.
    pub fn read(&self, from: Offset) -> Read {
        let skip = from.saturating_sub(self.first) as usize;
        let entries = self.entries.iter().skip(skip).take(READ_LIMIT);
        Read {
            first: self.first,
            end: self.end(),
            entries: entries.cloned().collect(),
        }
    }

    /// Forgets all but the newest records.
    pub fn forget(&mut self, keep: usize) {
        let drop = self.entries.len().saturating_sub(keep);
        self.entries.drain(..drop);
        self.first += drop as u64;
    }

    /// Loses the newest records, as a log restored from an older copy has.
    pub fn lose(&mut self, count: usize) {
        let left = self.entries.len().saturating_sub(count);
        self.entries.truncate(left);
    }

    /// Returns all kept records.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
