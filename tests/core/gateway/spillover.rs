use std::net::SocketAddr;

use teaselchute::core::gateway::spillover::{
    Remote,
    Request,
    Table, //
};

use super::at;

const ASK: Request = Request {
    pieces: 3,
    result_bytes: 6_000,
    input_bytes: 0,
    piece_ms: 10,
    local_done_ms: Some(900),
};

fn owner(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn map(done_ms: u64) -> Table {
    let mut map = Table::default();
    let far = Remote {
        owner: owner(1),
        done_ms,
        free_bytes: 1_000_000,
        received_at: at(0),
    };
    map.record("s".into(), "west".into(), far);
    map
}

#[test]
fn choose_faster_region() {
    assert_eq!(map(300).choose(at(0), "s", ASK), Some(owner(1)));
    assert_eq!(map(880).choose(at(0), "s", ASK), None, "not worth the way");
    assert_eq!(map(300).choose(at(0), "other", ASK), None);
}

#[test]
fn choose_not_by_old_news() {
    assert_eq!(map(300).choose(at(5_000), "s", ASK), None);
}

#[test]
fn choose_counts_bytes_that_move() {
    let heavy = Request {
        input_bytes: 2_500_000,
        ..ASK
    };
    assert_eq!(map(300).choose(at(0), "s", heavy), None);
}

#[test]
fn choose_any_region_without_own_servers() {
    let none = Request {
        local_done_ms: None,
        ..ASK
    };
    assert_eq!(map(5_000).choose(at(0), "s", none), Some(owner(1)));
}

/// The load pattern: a burst within the age of the news. Not all of it may go to one place.
#[test]
fn choose_counts_what_was_sent() {
    let mut map = map(300);
    let sent = (0..1_000).take_while(|_| map.choose(at(0), "s", ASK).is_some());
    let sent = sent.count();
    assert!((5..30).contains(&sent), "{sent} sent");
}
