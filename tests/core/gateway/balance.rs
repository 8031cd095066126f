use std::sync::LazyLock;

use teaselchute::{
    core::gateway::{
        balance::{
            Assignment,
            Balancer,
            Error,
            Request,
            Segment, //
        },
        quota::Group,
        servers::Table, //
    },
    names::Name,
    time::Instant,
};

use super::{
    at,
    entry, //
};

fn table(ids: &[&str]) -> Table {
    let mut table = Table::default();
    for &id in ids {
        table.update(at(0), &id.into(), Some(entry(id, "llm", "a")), false);
    }
    table
}

fn prompt(session: &str, own: &str) -> Vec<Segment> {
    let part = |id: &str, tokens| Segment {
        id: id.into(),
        tokens,
    };
    vec![part("group", 2_500), part(session, 3_800), part(own, 2_900)]
}

static ALONE: LazyLock<Group> = LazyLock::new(Group::default);

fn ask<'a>(prompt: &'a [Segment], tried: &'a [Name]) -> Request<'a> {
    Request {
        service: "llm",
        prompt,
        tried,
        cold_requests_per_s: 0.0,
        group: &ALONE,
        max_running: 1_000,
        local_hosts: 1,
    }
}

fn place(
    balancer: &mut Balancer,
    now: Instant,
    table: &Table,
    ask: &Request<'_>,
) -> Result<Assignment, Error> {
    balancer.place(now, table, ask, &|_| true, &|_| true)
}

#[test]
fn place_same_session_same_server() {
    let table = table(&["s1", "s2", "s3", "s4"]);
    let mut balancer = Balancer::default();
    let first = prompt("session", "r1");
    let one = place(&mut balancer, at(0), &table, &ask(&first, &[])).expect("servers are free");
    let server = one.server.clone();
    balancer.complete(at(500), one, false);
    let second = prompt("session", "r2");
    let two = place(&mut balancer, at(1_000), &table, &ask(&second, &[])).expect("free");
    assert_eq!((two.server, two.tokens), (server, 2_900));
}

#[test]
fn place_hosts_agree_without_asking() {
    let table = table(&["s1", "s2", "s3", "s4", "s5", "s6"]);
    for session in ["a", "b", "c", "d"] {
        let prompt = prompt(session, "own");
        let mut hosts = [Balancer::default(), Balancer::default()];
        let placed = hosts.each_mut().map(|balancer| {
            let placed = place(balancer, at(0), &table, &ask(&prompt, &[]));
            placed.expect("servers are free").server
        });
        assert_eq!(placed[0], placed[1]);
    }
}

/// The load pattern: a session whose requests come faster than one server reads their prompts.
#[test]
fn place_hot_session_spreads_and_fetches() {
    let table = table(&["s1", "s2", "s3"]);
    let mut balancer = Balancer::default();
    let mut servers = std::collections::BTreeSet::new();
    let mut read = 0;
    for request in 0..30 {
        let prompt = prompt("hot", &format!("r{request}"));
        let placed = place(&mut balancer, at(request * 20), &table, &ask(&prompt, &[]));
        let placed = placed.expect("servers are free");
        read += placed.tokens;
        servers.insert(placed.server.clone());
    }
    assert_eq!(servers.len(), 3, "no server reads all");
    // Without shared parts each request reads 9,200 tokens.
    assert!(read < 30 * 4_500, "{read} tokens read");
}

#[test]
fn place_never_at_tried_servers() {
    let table = table(&["s1", "s2"]);
    let mut balancer = Balancer::default();
    let tried = ["s1".into(), "s2".into()];
    let result = place(&mut balancer, at(0), &table, &ask(&[], &tried));
    assert_eq!(result, Err(Error::NoServer));
}

#[test]
fn place_avoids_a_server_that_failed() {
    let table = table(&["s1", "s2"]);
    let mut balancer = Balancer::default();
    let first = place(&mut balancer, at(0), &table, &ask(&[], &[])).expect("free");
    let failed = first.server.clone();
    balancer.complete(at(10), first, true);
    for _ in 0..10 {
        let placed = place(&mut balancer, at(20), &table, &ask(&[], &[])).expect("free");
        assert_ne!(placed.server, failed);
        balancer.complete(at(30), placed, false);
    }
}

/// The load pattern: a data centre returns cold, and all that waits goes there at once. Returns the
/// requests that go to its server within a second.
fn rush_from(hosts: usize) -> usize {
    let table = table(&["s1"]);
    let names: Vec<Name> = (0..hosts).map(|i| format!("host-{i}").into()).collect();
    let mut sent = 0;
    for own in &names {
        let mut balancer = Balancer::default();
        let group = Group::new(own, names.iter());
        for _ in 0..100 {
            let ask = Request {
                cold_requests_per_s: 25.5,
                group: &group,
                ..ask(&[], &[])
            };
            match place(&mut balancer, at(100), &table, &ask) {
                Ok(_) => sent += 1,
                Err(error) => assert_eq!(error, Error::Full),
            }
        }
    }
    sent
}

#[test]
fn place_keeps_to_the_rate_of_cold_servers() {
    assert_eq!(rush_from(9), 25);
}

#[test]
fn place_keeps_to_the_rate_of_cold_servers_from_more_hosts_than_requests() {
    assert_eq!(rush_from(73), 25);
}

#[test]
fn place_only_where_allowed() {
    let mut table = table(&["s1"]);
    table.update(at(0), &"far".into(), Some(entry("far", "llm", "b")), false);
    let mut balancer = Balancer::default();
    let is_home =
        |server: &teaselchute::core::gateway::servers::Server| &*server.entry.data_centre == "b";
    let placed = balancer.place(at(0), &table, &ask(&[], &[]), &is_home, &|_| true);
    assert_eq!(placed.map(|placed| placed.server), Ok("far".into()));
}

#[test]
fn place_keeps_to_the_connections_of_a_server() {
    let table = table(&["s1"]);
    let mut balancer = Balancer::default();
    let ask = Request {
        max_running: 2,
        ..ask(&[], &[])
    };
    let first = place(&mut balancer, at(0), &table, &ask).expect("free");
    assert!(place(&mut balancer, at(0), &table, &ask).is_ok());
    assert_eq!(place(&mut balancer, at(0), &table, &ask), Err(Error::Full));
    balancer.complete(at(10), first, false);
    assert!(place(&mut balancer, at(10), &table, &ask).is_ok());
}
