use std::net::SocketAddr;

use teaselchute::core::gateway::{
    hosts::{
        HEARTBEAT_TIMEOUT_MS,
        Heartbeat,
        Table, //
    },
    lookup,
};

use super::at;

fn beat(host: &str, region: &str, sequence: u64) -> Heartbeat {
    let port = 1_000 + host.bytes().map(u16::from).sum::<u16>();
    let address: SocketAddr = ([127, 0, 0, 1], port).into();
    Heartbeat {
        host: host.into(),
        caller_address: address,
        peer_address: address,
        datagram_address: address,
        data_centre: region.into(),
        region: region.into(),
        incarnation: 1,
        sequence,
        serving: true,
        key: None,
    }
}

fn live(table: &Table, now_ms: u64) -> Vec<String> {
    let live = table.live(at(now_ms));
    live.map(|host| host.heartbeat.host.to_string()).collect()
}

#[test]
fn live_until_silent() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "r", 1), false);
    assert_eq!(live(&table, HEARTBEAT_TIMEOUT_MS - 1), ["a"]);
    assert!(live(&table, HEARTBEAT_TIMEOUT_MS).is_empty());
}

#[test]
fn live_not_by_an_old_record() {
    // A host that was killed long ago has left its last heartbeat in the store.
    let mut table = Table::default();
    table.record(at(0), beat("dead", "r", 9), true);
    assert!(live(&table, 1).is_empty());
    // Read again, it's still the same.
    table.record(at(1_000), beat("dead", "r", 9), false);
    assert!(live(&table, 1_001).is_empty());
    table.record(at(2_000), beat("dead", "r", 10), false);
    assert_eq!(live(&table, 2_001), ["dead"]);
}

#[test]
fn live_while_the_store_is_away() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "r", 1), false);
    table.store_failed(at(1_000));
    assert_eq!(live(&table, 30_000), ["a"], "nobody can be heard");
    table.store_recovered(at(30_000));
    assert_eq!(live(&table, 30_000 + HEARTBEAT_TIMEOUT_MS - 1), ["a"]);
    assert!(live(&table, 30_000 + HEARTBEAT_TIMEOUT_MS).is_empty());
}

#[test]
fn sharers_count_those_that_may_wake() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "r", 1), false);
    table.record(at(0), beat("paused", "r", 1), false);
    table.record(at(8_000), beat("a", "r", 2), false);
    assert_eq!(live(&table, 8_000), ["a"]);
    assert_eq!(table.quota_group(at(8_000), &"a".into()).size(), 2);
}

#[test]
fn sharers_count_old_records_at_the_start() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "r", 1), true);
    table.record(at(0), beat("b", "r", 1), true);
    assert_eq!(table.quota_group(at(10), &"a".into()).size(), 2);
    let size = table.quota_group(at(60_000), &"a".into()).size();
    assert_eq!(size, 1, "at least this host");
}

#[test]
fn reachable_without_suspects() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "r", 1), false);
    assert!(table.suspect(at(1), &"a".into(), true));
    assert!(!table.suspect(at(2), &"a".into(), true), "no news");
    assert_eq!(table.reachable(at(3)).count(), 0);
    assert_eq!(table.suspects(at(3)).len(), 1);
    assert!(table.suspect(at(4), &"a".into(), false));
    assert_eq!(table.reachable(at(5)).count(), 1);
}

#[test]
fn addresses_of_the_callers_region() {
    let mut table = Table::default();
    for (host, region) in [("a", "east"), ("b", "east"), ("c", "west")] {
        table.record(at(0), beat(host, region, 1), false);
    }
    assert_eq!(lookup::addresses(at(1), &table, "east").len(), 2);
    assert_eq!(lookup::addresses(at(1), &table, "nowhere").len(), 3);
}

#[test]
fn addresses_of_all_where_a_region_is_thin() {
    let mut table = Table::default();
    for host in ["a", "b", "c", "d", "e"] {
        table.record(at(0), beat(host, "east", 1), false);
    }
    table.record(at(0), beat("f", "west", 1), false);
    assert_eq!(lookup::addresses(at(1), &table, "west").len(), 6);
}

#[test]
fn addresses_without_hosts_that_leave() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "east", 1), false);
    let leaving = Heartbeat {
        serving: false,
        ..beat("b", "east", 1)
    };
    table.record(at(0), leaving, false);
    assert_eq!(lookup::addresses(at(1), &table, "east").len(), 1);
}

#[test]
fn suspects_that_are_gone_are_forgotten() {
    let mut table = Table::default();
    table.record(at(0), beat("a", "r", 1), false);
    table.suspect(at(1), &"a".into(), true);
    assert!(table.suspects(at(HEARTBEAT_TIMEOUT_MS)).is_empty());
    table.record(at(60_000), beat("a", "r", 2), false);
    assert_eq!(table.reachable(at(60_001)).count(), 1);
}

#[test]
fn reader_in_a_data_centre_with_many_hosts() {
    let mut table = Table::default();
    let reader = |table: &Table, topic: &str| {
        let reader = table.reader(at(1), &"r".into(), topic);
        reader.map(|(name, _)| name.to_string())
    };
    for host in ["a", "b", "c"] {
        table.record(at(0), beat(host, "r", 1), false);
    }
    table.record(at(0), beat("elsewhere", "s", 1), false);
    assert_eq!(
        reader(&table, "servers"),
        None,
        "each of three reads by itself"
    );
    table.record(at(0), beat("d", "r", 1), false);
    let first = reader(&table, "servers").expect("four share");
    table.suspect(at(1), &first.as_str().into(), true);
    assert_eq!(reader(&table, "servers"), None, "three are left");
    table.record(at(0), beat("e", "r", 1), false);
    assert_ne!(reader(&table, "servers"), Some(first));
}
