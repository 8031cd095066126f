//! What a host holds for callers that read slowly.

use proptest::prelude::*;
use teaselchute::core::gateway::holding::{
    Growth,
    Held,
    Purpose,
    Unfinished,
    limit,
    next_capacity,
    part_bytes,
    victim, //
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

/// One endless body must not stop the others, nor they a sound one of the largest size.
#[test]
fn growth_bounded_over_all_bodies() {
    let bound = limit(MEMORY_MB);
    let alone = Unfinished {
        own: 4 * MB,
        all: 4 * MB,
        held: 4 * MB,
    };
    let grow = |body: Unfinished, bytes| body.growth(Purpose::Request, bytes, bound);
    assert_eq!(grow(alone, 2 * MB), Growth::Admitted);
    let among = Unfinished {
        own: MB,
        all: bound / 2,
        held: bound / 2,
    };
    assert_eq!(grow(among, MB), Growth::Crowded);
    let small = Unfinished { own: 100, ..among };
    assert_eq!(grow(small, 800), Growth::Admitted, "small ones go on");
}

/// Slow callers delay answers, but must not keep the host from reading the store.
#[test]
fn growth_waits_for_slow_callers() {
    let bound = limit(MEMORY_MB);
    let body = Unfinished {
        own: 5_000,
        all: 5_000,
        held: bound,
    };
    assert_eq!(body.growth(Purpose::Request, 5_000, bound), Growth::Later);
    assert_eq!(
        body.growth(Purpose::Control, 5_000, bound),
        Growth::Admitted
    );
}

/// A body that grows beyond all others is the one that is given up, and never the store's for a request's.
#[test]
fn victim_is_largest_request() {
    use Purpose::{Control, Request};
    let bodies = [
        (1, Request, MB),
        (2, Request, 3 * MB),
        (3, Control, 4 * MB),
        (4, Request, 2 * MB),
    ];
    let victim_of = |own, growth| victim(own, growth, bodies.into_iter());
    assert_eq!(victim_of(1, 1_000), 2);
    assert_eq!(victim_of(4, 2 * MB), 4, "it would be the largest");
    assert_eq!(victim_of(3, MB), 2);
    assert_eq!(victim(3, 1_000, [bodies[2]].into_iter()), 3);
}

#[test]
fn next_capacity_doubles_up_to_limit() {
    assert_eq!(next_capacity(0, 1, 10_000), 256);
    assert_eq!(next_capacity(4_000, 4_001, 10_000), 8_000);
    assert_eq!(next_capacity(8_000, 8_001, 10_000), 10_000);
    assert_eq!(next_capacity(256, 5_000, 10_000), 5_000);
}

/// A stream of tiny events would take many times what was counted.
#[test]
fn part_bytes_counts_more_than_content() {
    assert!(part_bytes(7) >= 64);
}
