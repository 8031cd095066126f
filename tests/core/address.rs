//! Tests of address lookup.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use teaselchute::{
    core::{
        address::{
            self,
            Location, //
        },
        document::Document,
        host::{
            Host,
            Id, //
        },
        view::{
            Health,
            Member,
            View, //
        },
    },
    names::Name,
    time::Instant,
};

const NOW: Instant = Instant::from_ms(1_000_000);

/// Nine hosts: three regions with three hosts each, two data centres in each region.
fn host(index: usize) -> Host {
    let region = index / 3;
    Host {
        id: Id {
            name: Name::from(format!("entry-{index}")),
            incarnation: 1,
        },
        data_centre: Name::from(format!("zone-{region}-{}", index % 2)),
        region: Name::from(format!("region-{region}")),
        http: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        peer: ([127, 0, 0, 1], 2_000 + index as u16).into(),
        weight: 1,
    }
}

fn member(index: usize) -> Member {
    Member {
        host: host(index),
        health: Health::Alive,
        roster_epoch: 0,
        ticket_generation: 0,
        serving_since: Some(Instant::ZERO),
    }
}

fn view() -> View {
    View {
        own: host(0),
        serving: true,
        serving_since: Some(Instant::ZERO),
        mutation: teaselchute::core::mutation::Mutation::None,
        leaving: false,
        document: Arc::new(Document::default()),
        position: Default::default(),
        fresh_at: NOW,
        drained: Default::default(),
        roster: Default::default(),
        previous_roster: Default::default(),
        members: (1..9).map(member).collect(),
    }
}

fn region(index: usize) -> Location {
    Location {
        region: Some(Name::from(format!("region-{index}"))),
        data_centre: None,
    }
}

/// Counts how often each host is at a position of the answer.
fn counts(view: &View, location: &Location, position: usize) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for seed in 0..30_000 {
        let answer = address::resolve(view, NOW, location, seed);
        let name = answer.hosts[position].id.name.to_string();
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn assert_near(count: u64, expected: u64) {
    let deviation = count.abs_diff(expected);
    assert!(deviation * 20 < expected, "{count} is not near {expected}");
}

#[test]
fn resolve_local_region_first() {
    let counts = counts(&view(), &region(1), 0);
    let names: Vec<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(names, ["entry-3", "entry-4", "entry-5"]);
    counts
        .values()
        .for_each(|count| assert_near(*count, 10_000));
}

#[test]
fn resolve_by_weight() {
    let mut view = view();
    view.members[2].host.weight = 4;
    let counts = counts(&view, &region(1), 0);
    assert_near(counts["entry-3"], 20_000);
    assert_near(counts["entry-4"], 5_000);
    assert_near(counts["entry-5"], 5_000);
}

#[test]
fn resolve_leaving_host_excluded() {
    let mut view = view();
    view.members[3].health = Health::Leaving;
    for seed in 0..1_000 {
        let answer = address::resolve(&view, NOW, &region(1), seed);
        assert!(
            answer
                .hosts
                .iter()
                .all(|host| host.id.name.as_str() != "entry-4")
        );
    }
    view.leaving = true;
    for seed in 0..1_000 {
        let answer = address::resolve(&view, NOW, &region(0), seed);
        assert!(answer.hosts.iter().all(|host| host.id != view.own.id));
    }
}

#[test]
fn resolve_second_host_in_another_data_centre() {
    let view = view();
    for seed in 0..1_000 {
        let answer = address::resolve(&view, NOW, &region(2), seed);
        assert_ne!(answer.hosts[0].data_centre, answer.hosts[1].data_centre);
    }
}

#[test]
fn resolve_failed_host_load_spread() {
    // Callers whose first host failed use the second one, which must not be the same host for all.
    let view = view();
    let mut seconds: BTreeMap<String, u64> = BTreeMap::new();
    for seed in 0..30_000 {
        let answer = address::resolve(&view, NOW, &region(1), seed);
        if answer.hosts[0].id.name.as_str() == "entry-4" {
            let name = answer.hosts[1].id.name.to_string();
            *seconds.entry(name).or_default() += 1;
        }
    }
    let all: u64 = seconds.values().sum();
    assert_eq!(seconds.len(), 2);
    seconds.values().for_each(|count| assert!(*count * 5 > all));
}

#[test]
fn resolve_region_failure() {
    let mut view = view();
    for index in 2..5 {
        view.members[index].health = Health::Suspect;
    }
    let counts = counts(&view, &region(1), 0);
    assert_eq!(counts.len(), 6);
    counts.values().for_each(|count| assert_near(*count, 5_000));
}

#[test]
fn resolve_slow_start() {
    let mut view = view();
    view.members[2].serving_since = Some(NOW);
    let first = counts(&view, &region(1), 0);
    assert!(
        first["entry-3"] < 2_000,
        "a host that just started gets too many callers"
    );
    view.members[2].serving_since = Some(NOW.before_ms(15_000));
    let half = counts(&view, &region(1), 0);
    assert!(half["entry-3"] > first["entry-3"] && half["entry-3"] < 9_000);
    view.members[2].serving_since = Some(NOW.before_ms(60_000));
    assert_near(counts(&view, &region(1), 0)["entry-3"], 10_000);
}

#[test]
fn resolve_starting_host_last() {
    let mut view = view();
    view.members[2].serving_since = None;
    let counts = counts(&view, &region(1), 0);
    assert!(!counts.contains_key("entry-3"));
}

#[test]
fn resolve_all_hosts_suspect() {
    let mut view = view();
    view.serving = false;
    for member in &mut view.members {
        member.health = Health::Suspect;
    }
    let answer = address::resolve(&view, NOW, &region(1), 1);
    assert!(!answer.hosts.is_empty());
}

#[test]
fn resolve_decision_values() {
    let answer = address::resolve(&view(), NOW, &region(1), 5);
    assert_eq!(answer.decision.choice, answer.hosts[0].id.name);
    assert_eq!(answer.decision.candidates.len(), 9);
    let remote = answer
        .decision
        .candidates
        .iter()
        .find(|candidate| candidate.name.as_str() == "entry-0");
    let passed_over = remote.and_then(|candidate| candidate.passed_over.clone());
    assert_eq!(passed_over, Some(Name::from("another_region")));
}

#[test]
fn drain_ms_outlasts_answer() {
    let answer = address::resolve(&view(), NOW, &region(1), 5);
    let expired_ms = answer.ttl_ms + address::LEAVE_MARGIN_MS;
    assert!(address::drain_ms() >= expired_ms, "callers may be refused");
}
