use std::net::SocketAddr;

use teaselchute::core::gateway::spillover::{
    Remote,
    Request,
    Table, //
};

use super::at;

const REQUEST: Request = Request {
    pieces: 3,
    result_bytes: 6_000,
    input_bytes: 0,
    piece_ms: 10,
    local_done_ms: Some(900),
};

fn owner(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn table(done_ms: u64) -> Table {
    let mut table = Table::default();
    let remote = Remote {
        owner: owner(1),
        done_ms,
        free_bytes: 1_000_000,
        received_at: at(0),
    };
    table.record("s".into(), "west".into(), remote);
    table
}

#[test]
fn choose_faster_data_centre() {
    assert_eq!(table(300).choose(at(0), "s", REQUEST), Some(owner(1)));
    assert_eq!(
        table(880).choose(at(0), "s", REQUEST),
        None,
        "the gain is too small"
    );
    assert_eq!(table(300).choose(at(0), "other", REQUEST), None);
}

#[test]
fn choose_stale_progress() {
    assert_eq!(table(300).choose(at(5_000), "s", REQUEST), None);
}

#[test]
fn choose_counts_transfer() {
    let large_input = Request {
        input_bytes: 2_500_000,
        ..REQUEST
    };
    assert_eq!(table(300).choose(at(0), "s", large_input), None);
}

#[test]
fn choose_no_local_server() {
    let none = Request {
        local_done_ms: None,
        ..REQUEST
    };
    assert_eq!(table(5_000).choose(at(0), "s", none), Some(owner(1)));
}

/// A burst between two progress updates must not go to a single data centre.
#[test]
fn choose_counts_sent_pieces() {
    let mut table = table(300);
    let sent = (0..1_000).take_while(|_| table.choose(at(0), "s", REQUEST).is_some());
    let sent = sent.count();
    assert!((5..30).contains(&sent), "{sent} sent");
}
