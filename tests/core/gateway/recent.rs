use teaselchute::{
    core::gateway::{
        position::Position,
        recent::Buffer, //
    },
    edges::gateway::{
        Record,
        Tail, //
    },
};

use super::at;

const STALE_MS: u64 = 1_500;

fn position(offset: u64) -> Position {
    Position {
        timeline: 4,
        offset,
    }
}

fn restored(offset: u64) -> Position {
    Position {
        timeline: 5,
        offset,
    }
}

fn tail(offsets: std::ops::Range<u64>) -> Tail {
    let record = |offset: u64| Record {
        key: format!("key-{offset}").into(),
        value: None,
    };
    Tail {
        next: offsets.end,
        records: offsets.map(|offset| (offset, record(offset))).collect(),
    }
}

fn offsets(tail: Option<Tail>) -> Option<(Vec<u64>, u64)> {
    let tail = tail?;
    let offsets = tail.records.iter().map(|(offset, _)| *offset).collect();
    Some((offsets, tail.next))
}

#[test]
fn since_retained_offsets() {
    let mut buffer = Buffer::default();
    buffer.record(at(0), position(10), &tail(10..13));
    buffer.record(at(800), position(13), &tail(13..15));
    assert_eq!(
        offsets(buffer.since(at(900), position(10), STALE_MS)),
        Some((vec![10, 11, 12, 13, 14], 15))
    );
    assert_eq!(
        offsets(buffer.since(at(900), position(12), STALE_MS)),
        Some((vec![12, 13, 14], 15))
    );
    assert_eq!(
        offsets(buffer.since(at(900), position(15), STALE_MS)),
        Some((vec![], 15))
    );
    assert_eq!(
        offsets(buffer.since(at(900), position(20), STALE_MS)),
        Some((vec![], 20)),
        "the caller is ahead"
    );
    assert_eq!(
        offsets(buffer.since(at(900), position(9), STALE_MS)),
        None,
        "before the first record"
    );
}

/// The buffer of a host that was paused or that the store refuses is stale.
#[test]
fn since_stale_buffer() {
    let mut buffer = Buffer::default();
    buffer.record(at(0), position(0), &tail(0..3));
    assert!(buffer.since(at(1_500), position(0), STALE_MS).is_some());
    assert_eq!(buffer.since(at(1_501), position(0), STALE_MS), None);
    assert_eq!(Buffer::default().since(at(0), position(0), STALE_MS), None);
}

#[test]
fn since_evicted_records() {
    let mut buffer = Buffer::default();
    buffer.record(at(0), position(0), &tail(0..3));
    buffer.record(at(5_000), position(3), &tail(3..5));
    assert_eq!(
        offsets(buffer.since(at(5_000), position(2), STALE_MS)),
        None
    );
    assert_eq!(
        offsets(buffer.since(at(5_000), position(3), STALE_MS)),
        Some((vec![3, 4], 5))
    );
}

#[test]
fn record_gap_resets() {
    let mut buffer = Buffer::default();
    buffer.record(at(0), position(0), &tail(0..3));
    buffer.record(at(100), position(7), &tail(7..9));
    assert_eq!(offsets(buffer.since(at(100), position(2), STALE_MS)), None);
    assert_eq!(
        offsets(buffer.since(at(100), position(7), STALE_MS)),
        Some((vec![7, 8], 9))
    );
}

/// Offsets of another timeline name other records, also where the buffer has them.
#[test]
fn since_other_timeline() {
    let mut buffer = Buffer::default();
    buffer.record(at(0), position(0), &tail(0..3));
    assert_eq!(buffer.since(at(0), restored(1), STALE_MS), None);
    assert_eq!(buffer.since(at(0), restored(3), STALE_MS), None);
    buffer.record(at(100), restored(3), &tail(3..5));
    assert_eq!(buffer.since(at(100), position(3), STALE_MS), None);
    assert_eq!(buffer.since(at(100), restored(2), STALE_MS), None);
    assert_eq!(
        offsets(buffer.since(at(100), restored(3), STALE_MS)),
        Some((vec![3, 4], 5))
    );
}
