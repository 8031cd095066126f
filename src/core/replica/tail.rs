//! The newest applied records, which are sent to other hosts and compared with the log.

use std::collections::VecDeque;

use super::message::Item;
use crate::core::log::Offset;

/// Maximum number of records kept.
const MAX_ITEMS: usize = 1_024;

/// The newest applied records, contiguous, all of one generation.
#[derive(Default)]
pub(super) struct Tail {
    items: VecDeque<Item>,
}

impl Tail {
    /// Appends the next record. The oldest is dropped once more than [`MAX_ITEMS`] are kept.
    pub(super) fn push(&mut self, item: Item) {
        let contiguous = match self.items.back() {
            Some(last) => last.offset + 1 == item.offset,
            None => true,
        };
        assert!(contiguous, "invariant: records are applied in log order");
        self.items.push_back(item);
        if self.items.len() > MAX_ITEMS {
            self.items.pop_front();
        }
    }

    /// Drops all records, because the state was replaced as a whole.
    pub(super) fn clear(&mut self) {
        self.items.clear();
    }

    /// Returns at most `limit` records from an offset on, or none if that offset isn't kept.
    pub(super) fn items_from(&self, offset: Offset, limit: usize) -> Vec<Item> {
        let Some(first) = self.items.front().map(|item| item.offset) else {
            return Vec::new();
        };
        let Some(skip) = offset.checked_sub(first) else {
            return Vec::new();
        };
        let items = self.items.iter().skip(skip as usize).take(limit);
        items.cloned().collect()
    }

    /// Iterates over the records from the oldest to the newest.
    pub(super) fn iter(&self) -> impl DoubleEndedIterator<Item = &Item> {
        self.items.iter()
    }
}
