use teaselchute::core::gateway::servers::{
    Change,
    Entry,
    Table, //
};

use super::{
    at,
    entry, //
};

fn usable(table: &Table) -> Vec<String> {
    let servers = table.usable("llm");
    servers.map(|server| server.entry.id.to_string()).collect()
}

#[test]
fn update_leaving_server() {
    let mut table = Table::default();
    let joined = table.update(at(0), &"s".into(), Some(entry("s", "llm", "a")), false);
    assert!(matches!(joined, Some(Change::Joined(_))));
    let leaving = Entry {
        leaving: true,
        ..entry("s", "llm", "a")
    };
    let left = table.update(at(1), &"s".into(), Some(leaving), false);
    assert_eq!(left, Some(Change::Left("s".into())));
    assert!(usable(&table).is_empty());
    assert!(table.get("s").is_some(), "its running requests continue");
}

#[test]
fn update_restart_with_same_id() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), Some(entry("s", "llm", "a")), false);
    let restarted = Entry {
        started_at: Some(2),
        ..entry("s", "llm", "a")
    };
    let change = table.update(at(1), &"s".into(), Some(restarted), false);
    assert!(matches!(change, Some(Change::Restarted(_))));
}

#[test]
fn update_entry_lost_in_registry_outage() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), Some(entry("s", "llm", "a")), false);
    assert_eq!(table.update(at(100), &"s".into(), None, true), None);
    assert_eq!(usable(&table), ["s"], "it may register again");
    assert!(table.expire(at(2_099)).is_empty());
    table.update(at(2_000), &"s".into(), Some(entry("s", "llm", "a")), true);
    assert!(table.expire(at(9_000)).is_empty());
    table.update(at(9_000), &"s".into(), None, true);
    assert_eq!(table.expire(at(11_000)), ["s".into()]);
}

#[test]
fn update_deleted_entry() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), Some(entry("s", "llm", "a")), false);
    let change = table.update(at(1), &"s".into(), None, false);
    assert_eq!(change, Some(Change::Left("s".into())));
    assert!(table.is_empty());
}

#[test]
fn set_drained_data_centre() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), Some(entry("s", "llm", "a")), false);
    table.update(at(0), &"t".into(), Some(entry("t", "llm", "b")), false);
    assert!(table.set_drained(&"a".into(), true));
    assert!(!table.set_drained(&"a".into(), true));
    assert_eq!(usable(&table), ["t"]);
    table.set_drained(&"a".into(), false);
    assert_eq!(usable(&table), ["s", "t"]);
}

fn numbered(sequence: u64, leaving: bool) -> Option<Entry> {
    Some(Entry {
        leaving,
        sequence: Some(sequence),
        ..entry("s", "llm", "a")
    })
}

/// An entry of before a server's leave, in a copy from which the registry returned.
#[test]
fn restore_leaving_server() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), numbered(7, true), false);
    assert_eq!(table.restore(at(1), &"s".into(), numbered(6, false)), None);
    assert_eq!(table.restore(at(2), &"s".into(), numbered(7, false)), None);
    assert!(usable(&table).is_empty());
    let restarted = numbered(1, false).map(|entry| Entry {
        started_at: Some(2),
        ..entry
    });
    let change = table.restore(at(3), &"s".into(), restarted);
    assert!(matches!(change, Some(Change::Restarted(_))));
    assert_eq!(usable(&table), ["s"]);
}

#[test]
fn restore_server_that_left() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), numbered(7, false), false);
    table.update(at(1), &"s".into(), None, false);
    assert_eq!(
        table.restore(at(9_000), &"s".into(), numbered(6, false)),
        None
    );
    assert!(table.is_empty());
    // A live server writes a newer entry.
    table.update(at(9_100), &"s".into(), numbered(8, false), false);
    assert_eq!(usable(&table), ["s"]);
}

/// The copy lacks a server that joined since, which registers again.
#[test]
fn restore_server_that_joined() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), numbered(1, false), false);
    assert_eq!(table.restore(at(100), &"s".into(), None), None);
    assert_eq!(usable(&table), ["s"]);
    assert!(table.expire(at(2_099)).is_empty());
    table.update(at(2_099), &"s".into(), numbered(2, false), false);
    assert!(table.expire(at(9_000)).is_empty());
    // One that doesn't is gone.
    table.restore(at(9_000), &"s".into(), None);
    assert_eq!(table.expire(at(11_000)), ["s".into()]);
}

#[test]
fn restore_unknown_server() {
    let mut table = Table::default();
    let change = table.restore(at(0), &"s".into(), numbered(6, false));
    assert!(matches!(change, Some(Change::Joined(_))));
}

/// Operators repeat a drain that a copy lacks. One that isn't repeated had ended.
#[test]
fn lose_drain_until_repeated() {
    let mut table = Table::default();
    table.update(at(0), &"s".into(), Some(entry("s", "llm", "a")), false);
    table.update(at(0), &"t".into(), Some(entry("t", "llm", "b")), false);
    for data_centre in ["a", "b"] {
        table.set_drained(&data_centre.into(), true);
        table.lose_drain(at(1_000), &data_centre.into());
    }
    assert!(table.expire_drains(at(9_000)).is_empty());
    assert!(usable(&table).is_empty());
    table.set_drained(&"a".into(), true);
    assert_eq!(table.expire_drains(at(31_000)), ["b".into()]);
    assert_eq!(usable(&table), ["t"]);
    table.lose_drain(at(32_000), &"a".into());
    assert!(table.set_drained(&"a".into(), false), "it ended");
}

/// Whether a server may get a request is asked again when the request is sent, by whatever is known then.
#[test]
fn usable_by_id_leaving_drained_or_gone() {
    let mut table = Table::default();
    for id in ["s1", "s2", "s3"] {
        table.update(at(0), &id.into(), Some(entry(id, "llm", "a")), false);
    }
    assert!(table.usable_by_id("s1").is_some());
    assert!(table.usable_by_id("unknown").is_none());
    let mut leaving = entry("s1", "llm", "a");
    leaving.leaving = true;
    table.update(at(1), &"s1".into(), Some(leaving), false);
    assert!(table.usable_by_id("s1").is_none());
    let unusable = |table: &Table| {
        let servers = table.unusable("llm");
        servers
            .map(|server| server.entry.id.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(unusable(&table), ["s1"]);
    table.update(at(2), &"s2".into(), None, false);
    assert!(table.usable_by_id("s2").is_none());
    table.set_drained(&"a".into(), true);
    assert!(table.usable_by_id("s3").is_none());
    assert_eq!(unusable(&table), ["s1", "s3"], "s2 has no entry");
    table.set_drained(&"a".into(), false);
    assert!(table.usable_by_id("s3").is_some());
}

/// A server said that it leaves. Records of the registry that are older or copied don't undo that.
#[test]
fn record_departure_survives_records_of_same_start() {
    let mut table = Table::default();
    let joined = entry("s", "llm", "a");
    table.update(at(0), &"s".into(), Some(joined.clone()), false);
    assert!(table.record_departure(at(1), &"s".into(), joined.started_at));
    assert!(!table.record_departure(at(2), &"s".into(), joined.started_at));
    assert!(table.usable_by_id("s").is_none());
    table.update(at(3), &"s".into(), Some(joined.clone()), false);
    table.restore(at(4), &"s".into(), Some(joined.clone()));
    assert!(usable(&table).is_empty());
    // It was taken for gone, and its entry follows late.
    table.update(at(5), &"s".into(), None, false);
    table.expire(at(50_000));
    table.update(at(50_001), &"s".into(), Some(joined.clone()), false);
    assert!(usable(&table).is_empty());
    let restarted = Entry {
        started_at: Some(2),
        ..joined
    };
    table.update(at(50_002), &"s".into(), Some(restarted), false);
    assert_eq!(usable(&table), ["s"]);
}

/// Departures are kept while their servers are known, and forgotten some time after these are gone.
#[test]
fn record_departure_forgotten_after_server() {
    let mut table = Table::default();
    let joined = entry("s", "llm", "a");
    table.update(at(0), &"s".into(), Some(joined.clone()), false);
    table.record_departure(at(0), &"s".into(), joined.started_at);
    table.expire(at(300_000));
    assert!(usable(&table).is_empty(), "its entry still exists");
    table.update(at(300_001), &"s".into(), None, false);
    table.expire(at(359_999));
    table.update(at(360_000), &"s".into(), Some(joined.clone()), false);
    assert!(usable(&table).is_empty());
    table.update(at(360_001), &"s".into(), None, false);
    table.expire(at(360_001 + 60_000));
    table.update(at(420_002), &"s".into(), Some(joined), false);
    assert_eq!(usable(&table), ["s"]);
}

/// A server's write that was held up is executed after the server has said that it leaves, or has left.
#[test]
fn update_late_entry() {
    let mut table = Table::default();
    let id = "s".into();
    table.update(at(0), &id, numbered(5, false), false);
    table.update(at(1), &id, numbered(7, true), false);
    assert_eq!(table.update(at(2), &id, numbered(6, false), false), None);
    assert!(usable(&table).is_empty(), "it leaves");
    table.update(at(3), &id, None, false);
    assert_eq!(table.update(at(4), &id, numbered(6, false), false), None);
    assert!(table.is_empty(), "it has left");
    let joined = table.update(at(5), &id, numbered(8, false), false);
    assert!(
        matches!(joined, Some(Change::Joined(_))),
        "its own next entry"
    );
    let restarted = numbered(1, false).map(|entry| Entry {
        started_at: Some(2),
        ..entry
    });
    let change = table.update(at(6), &id, restarted, false);
    assert!(matches!(change, Some(Change::Restarted(_))));
    assert_eq!(table.update(at(7), &id, numbered(9, true), false), None);
    assert_eq!(usable(&table), ["s"], "its former start left");
}

/// Servers that don't number their entries are taken at their last word, as before.
#[test]
fn update_unnumbered_entry() {
    let mut table = Table::default();
    let id = "s".into();
    let unnumbered = |leaving| {
        let entry = entry("s", "llm", "a");
        Some(Entry {
            sequence: None,
            leaving,
            ..entry
        })
    };
    table.update(at(0), &id, unnumbered(true), false);
    table.update(at(1), &id, unnumbered(false), false);
    assert_eq!(usable(&table), ["s"]);
}
