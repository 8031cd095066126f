use std::net::SocketAddr;

use teaselchute::core::gateway::{
    hosts::{
        HEARTBEAT_TIMEOUT_MS,
        Heartbeat,
        Table, //
    },
    lookup,
    quarantine::Report, //
};

use super::at;

fn heartbeat(host: &str, region: &str, sequence: u64) -> Heartbeat {
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
        config_version: None,
        key: None,
        capacity: 250,
        report: Report::default(),
        limits: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn live(table: &Table, now_ms: u64) -> Vec<String> {
    let live = table.live(at(now_ms));
    live.map(|host| host.heartbeat.host.to_string()).collect()
}

#[test]
fn live_until_timeout() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "r", 1), false);
    assert_eq!(live(&table, HEARTBEAT_TIMEOUT_MS - 1), ["a"]);
    assert!(live(&table, HEARTBEAT_TIMEOUT_MS).is_empty());
}

#[test]
fn live_old_record_ignored() {
    // The last heartbeat of a dead host is still in the store.
    let mut table = Table::default();
    table.record(at(0), heartbeat("dead", "r", 9), true);
    assert!(live(&table, 1).is_empty());
    // A second read returns the same heartbeat.
    table.record(at(1_000), heartbeat("dead", "r", 9), false);
    assert!(live(&table, 1_001).is_empty());
    table.record(at(2_000), heartbeat("dead", "r", 10), false);
    assert_eq!(live(&table, 2_001), ["dead"]);
}

#[test]
fn live_during_store_outage() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "r", 1), false);
    table.store_failed(at(1_000));
    assert_eq!(live(&table, 30_000), ["a"], "heartbeats can't arrive");
    table.store_recovered(at(30_000));
    assert_eq!(live(&table, 30_000 + HEARTBEAT_TIMEOUT_MS - 1), ["a"]);
    assert!(live(&table, 30_000 + HEARTBEAT_TIMEOUT_MS).is_empty());
}

/// Guards against lookups that name a dead host for as long as single reads of the store fail now and then.
#[test]
fn live_during_short_failures() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("dead", "r", 1), false);
    for failed_ms in (1_000..20_000).step_by(2_000) {
        table.store_failed(at(failed_ms));
        table.store_recovered(at(failed_ms + 900));
    }
    assert_eq!(live(&table, HEARTBEAT_TIMEOUT_MS - 1), ["dead"]);
    assert!(live(&table, HEARTBEAT_TIMEOUT_MS).is_empty());
}

#[test]
fn quota_group_paused_host() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "r", 1), false);
    table.record(at(0), heartbeat("paused", "r", 1), false);
    table.record(at(8_000), heartbeat("a", "r", 2), false);
    assert_eq!(live(&table, 8_000), ["a"]);
    assert_eq!(table.quota_group(at(8_000), &"a".into()).size(), 2);
}

#[test]
fn quota_group_old_records_at_start() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "r", 1), true);
    table.record(at(0), heartbeat("b", "r", 1), true);
    assert_eq!(table.quota_group(at(10), &"a".into()).size(), 2);
    let size = table.quota_group(at(60_000), &"a".into()).size();
    assert_eq!(size, 1, "at least this host");
}

#[test]
fn reachable_suspect_excluded() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "r", 1), false);
    assert!(table.suspect(at(1), &"a".into(), true));
    assert!(!table.suspect(at(2), &"a".into(), true), "no change");
    assert_eq!(table.reachable(at(3)).count(), 0);
    assert_eq!(table.suspects(at(3)).len(), 1);
    assert!(table.suspect(at(4), &"a".into(), false));
    assert_eq!(table.reachable(at(5)).count(), 1);
}

#[test]
fn addresses_of_own_region() {
    let mut table = Table::default();
    for (host, region) in [("a", "east"), ("b", "east"), ("c", "west")] {
        table.record(at(0), heartbeat(host, region, 1), false);
    }
    assert_eq!(lookup::addresses(at(1), &table, "east", "").len(), 2);
    assert_eq!(lookup::addresses(at(1), &table, "nowhere", "").len(), 3);
}

#[test]
fn addresses_of_all_for_small_region() {
    let mut table = Table::default();
    for host in ["a", "b", "c", "d", "e"] {
        table.record(at(0), heartbeat(host, "east", 1), false);
    }
    table.record(at(0), heartbeat("f", "west", 1), false);
    assert_eq!(lookup::addresses(at(1), &table, "west", "").len(), 6);
}

#[test]
fn addresses_leaving_host_excluded() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "east", 1), false);
    let leaving = Heartbeat {
        serving: false,
        ..heartbeat("b", "east", 1)
    };
    table.record(at(0), leaving, false);
    assert_eq!(lookup::addresses(at(1), &table, "east", "").len(), 1);
}

#[test]
fn suspects_dead_host_removed() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("a", "r", 1), false);
    table.suspect(at(1), &"a".into(), true);
    assert!(table.suspects(at(HEARTBEAT_TIMEOUT_MS)).is_empty());
    table.record(at(60_000), heartbeat("a", "r", 2), false);
    assert_eq!(table.reachable(at(60_001)).count(), 1);
}

#[test]
fn reader_minimum_of_hosts() {
    let mut table = Table::default();
    let reader = |table: &Table, topic: &str| {
        let reader = table.reader(at(1), &"r".into(), topic);
        reader.map(|(name, _)| name.to_string())
    };
    for host in ["a", "b", "c"] {
        table.record(at(0), heartbeat(host, "r", 1), false);
    }
    table.record(at(0), heartbeat("elsewhere", "s", 1), false);
    assert_eq!(
        reader(&table, "servers"),
        None,
        "three hosts read by themselves"
    );
    table.record(at(0), heartbeat("d", "r", 1), false);
    let first = reader(&table, "servers").expect("four hosts share reads");
    table.suspect(at(1), &first.as_str().into(), true);
    assert_eq!(reader(&table, "servers"), None, "three hosts are left");
    table.record(at(0), heartbeat("e", "r", 1), false);
    assert_ne!(reader(&table, "servers"), Some(first));
}

/// A data centre has a few large hosts and many small ones, which have no time left in a burst.
#[test]
fn coordinators_large_hosts_only() {
    let mut table = Table::default();
    for index in 0..40 {
        let small = Heartbeat {
            capacity: 120,
            ..heartbeat(&format!("small-{index}"), "r", 1)
        };
        table.record(at(0), small, false);
    }
    for index in 0..3 {
        let large = Heartbeat {
            capacity: 500,
            ..heartbeat(&format!("large-{index}"), "r", 1)
        };
        table.record(at(0), large, false);
    }
    for task in ["ledger", "catalogue", "freight"] {
        let coordinators = table.coordinators(at(1), task, |_| true);
        assert_eq!(coordinators.len(), 3, "{task}");
        assert!(coordinators.iter().all(|host| host.capacity == 500));
    }
    // The small ones take over if no large one is left.
    for index in 0..3 {
        table.suspect(at(2), &format!("large-{index}").into(), true);
    }
    assert_eq!(table.coordinators(at(3), "ledger", |_| true).len(), 40);
}

#[test]
fn coordinators_order_kept_when_one_fails() {
    let mut table = Table::default();
    for host in ["a", "b", "c", "d", "e"] {
        table.record(at(0), heartbeat(host, "r", 1), false);
    }
    let order = |table: &Table| -> Vec<String> {
        let coordinators = table.coordinators(at(1), "task", |_| true);
        coordinators.iter().map(|it| it.host.to_string()).collect()
    };
    let before = order(&table);
    table.suspect(at(1), &before[0].as_str().into(), true);
    assert_eq!(order(&table), before[1..]);
}

/// A region has more hosts than an answer holds.
#[test]
fn addresses_large_region_names_all_hosts() {
    let mut table = Table::default();
    let centres = [("east-a", 60_u16), ("east-b", 50)];
    for (data_centre, count) in centres {
        for index in 0..count {
            let name = format!("{data_centre}-{index}");
            let port = index
                + if data_centre == "east-a" {
                    1_000
                } else {
                    2_000
                };
            let host = Heartbeat {
                caller_address: ([127, 0, 0, 1], port).into(),
                data_centre: data_centre.into(),
                ..heartbeat(&name, "east", 1)
            };
            table.record(at(0), host, false);
        }
    }
    let named = |data_centre| lookup::addresses(at(1), &table, "east", data_centre);
    let mut all: Vec<SocketAddr> = Vec::new();
    for (data_centre, own_port) in [("east-a", 1_000), ("east-b", 2_000)] {
        let addresses = named(data_centre);
        assert_eq!(addresses.len(), 64);
        assert_eq!(addresses, named(data_centre), "the order is stable");
        let own = addresses
            .iter()
            .filter(|address| (own_port..own_port + 1_000).contains(&address.port()));
        assert_eq!(own.count(), 48, "hosts of the own data centre");
        all.extend(addresses);
    }
    all.sort_unstable();
    all.dedup();
    assert!(all.len() >= 100, "{} of 110 hosts are named", all.len());
}

/// A heartbeat of a host that has died, in a copy from which the store returned.
#[test]
fn restore_heartbeat_of_dead_host() {
    let mut table = Table::default();
    table.record(at(0), heartbeat("dead", "r", 9), false);
    let silent = HEARTBEAT_TIMEOUT_MS;
    assert!(live(&table, silent).is_empty());
    assert!(!table.restore(at(silent), heartbeat("dead", "r", 8)));
    assert!(live(&table, silent + 1).is_empty());
    // One that wasn't known may be alive or dead: only its next heartbeat tells.
    table.restore(at(silent), heartbeat("other", "r", 3));
    assert!(live(&table, silent + 1).is_empty());
    table.record(at(silent + 100), heartbeat("other", "r", 4), false);
    assert_eq!(live(&table, silent + 101), ["other"]);
}

#[test]
fn newest_config_of_reachable_hosts() {
    let mut table = Table::default();
    let with_version = |host: &str, version| Heartbeat {
        config_version: version,
        ..heartbeat(host, "r", 1)
    };
    table.record(at(0), with_version("a", Some(5)), false);
    table.record(at(0), with_version("b", Some(7)), false);
    table.record(at(0), with_version("c", None), false);
    table.record(at(0), with_version("d", Some(9)), true);
    let b = with_version("b", None).peer_address;
    assert_eq!(table.newest_config(at(1)), Some((7, b)));
    table.suspect(at(1), &"b".into(), true);
    let a = with_version("a", None).peer_address;
    assert_eq!(table.newest_config(at(1)), Some((5, a)));
    assert_eq!(table.newest_config(at(HEARTBEAT_TIMEOUT_MS)), None);
}
