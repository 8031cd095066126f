use teaselchute::{
    core::gateway::recent::Buffer,
    edges::gateway::{
        Record,
        Tail, //
    },
};

use super::at;

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
fn since_any_offset_that_is_kept() {
    let mut recent = Buffer::default();
    recent.record(at(0), 10, &tail(10..13));
    recent.record(at(800), 13, &tail(13..15));
    assert_eq!(
        offsets(recent.since(at(900), 10)),
        Some((vec![10, 11, 12, 13, 14], 15))
    );
    assert_eq!(
        offsets(recent.since(at(900), 12)),
        Some((vec![12, 13, 14], 15))
    );
    assert_eq!(offsets(recent.since(at(900), 15)), Some((vec![], 15)));
    assert_eq!(
        offsets(recent.since(at(900), 20)),
        Some((vec![], 20)),
        "read further"
    );
    assert_eq!(offsets(recent.since(at(900), 9)), None, "never read here");
}

/// A host that was frozen, or that the store refuses, has nothing to tell.
#[test]
fn since_a_read_that_is_old() {
    let mut recent = Buffer::default();
    recent.record(at(0), 0, &tail(0..3));
    assert!(recent.since(at(1_500), 0).is_some());
    assert_eq!(recent.since(at(1_501), 0), None);
    assert_eq!(Buffer::default().since(at(0), 0), None);
}

#[test]
fn since_records_that_were_dropped() {
    let mut recent = Buffer::default();
    recent.record(at(0), 0, &tail(0..3));
    recent.record(at(5_000), 3, &tail(3..5));
    assert_eq!(offsets(recent.since(at(5_000), 2)), None);
    assert_eq!(offsets(recent.since(at(5_000), 3)), Some((vec![3, 4], 5)));
}

#[test]
fn read_after_a_gap_starts_anew() {
    let mut recent = Buffer::default();
    recent.record(at(0), 0, &tail(0..3));
    recent.record(at(100), 7, &tail(7..9));
    assert_eq!(offsets(recent.since(at(100), 2)), None);
    assert_eq!(offsets(recent.since(at(100), 7)), Some((vec![7, 8], 9)));
}
