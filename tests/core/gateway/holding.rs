//! What a host holds for callers that read slowly.

use proptest::prelude::*;
use teaselchute::core::gateway::holding::{
    Held,
    limit, //
};

const MEMORY_MB: u64 = 120;

const MB: usize = 1_000_000;

#[test]
fn limit_leaves_most_of_memory() {
    assert!(limit(MEMORY_MB) >= 10 * MB);
    assert!(limit(MEMORY_MB) <= 30 * MB);
}

/// A caller that reads nothing must not keep its server from sending: it would cut off the response.
#[test]
fn admits_part_of_slow_caller() {
    let held = Held {
        own: 100_000,
        all: 5 * MB,
    };
    assert!(held.admits_part(300, limit(MEMORY_MB)));
}

#[test]
fn admits_part_within_stream_limit() {
    let held = Held {
        own: MB,
        all: 2 * MB,
    };
    assert!(!held.admits_part(100_000, limit(MEMORY_MB)));
}

/// At the bound of the host, streams go on by a little at a time.
#[test]
fn admits_part_at_bound() {
    let all = limit(MEMORY_MB);
    assert!(!Held { own: 50_000, all }.admits_part(300, all));
    assert!(Held { own: 500, all }.admits_part(300, all));
    assert!(Held { own: 0, all }.admits_part(60_000, all));
}

#[test]
fn admits_whole_at_bound() {
    let bound = limit(MEMORY_MB);
    let full = Held { own: 0, all: bound };
    assert!(!full.admits_whole(MB, bound));
    assert!(full.admits_whole(800, bound), "small ones go on");
    assert!(
        Held::default().admits_whole(bound + 1, bound),
        "one is read"
    );
}

proptest! {
    /// However many callers read slowly, the sum stays bounded: by the limit, and a little for each stream.
    #[test]
    fn admits_part_sum_bounded(parts in proptest::collection::vec((0_usize..40, 1_usize..60_000), 1..2_000)) {
        let bound = 2 * MB;
        let mut own = [0_usize; 40];
        for (stream, bytes) in parts {
            let held = Held { own: own[stream], all: own.iter().sum() };
            if held.admits_part(bytes, bound) {
                own[stream] += bytes;
            }
        }
        let largest_part = 60_000;
        prop_assert!(own.iter().sum::<usize>() <= bound + own.len() * largest_part);
    }
}
