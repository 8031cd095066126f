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
        pause::Wait,
        quota::Group,
        servers::{
            Server,
            Table, //
        },
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

static SINGLE_HOST: LazyLock<Group> = LazyLock::new(Group::default);

fn request<'a>(prompt: &'a [Segment], tried: &'a [Name]) -> Request<'a> {
    Request {
        service: "llm",
        prompt,
        tried,
        cold_requests_per_s: 0.0,
        group: &SINGLE_HOST,
        max_running: 1_000,
        local_hosts: 1,
        named_share: &|_| None,
        pause: &|_| None,
    }
}

fn place(
    balancer: &mut Balancer,
    now: Instant,
    table: &Table,
    request: &Request<'_>,
) -> Result<Assignment, Error> {
    balancer.place(now, table, request, &|_| true, &|_| true)
}

#[test]
fn place_session_affinity() {
    let table = table(&["s1", "s2", "s3", "s4"]);
    let mut balancer = Balancer::default();
    let first = prompt("session", "r1");
    let one = place(&mut balancer, at(0), &table, &request(&first, &[])).expect("servers are free");
    let server = one.server.clone();
    balancer.complete(at(500), one, false);
    let second = prompt("session", "r2");
    let two = place(&mut balancer, at(1_000), &table, &request(&second, &[])).expect("free");
    assert_eq!((two.server, two.tokens), (server, 2_900));
}

#[test]
fn place_same_server_on_all_hosts() {
    let table = table(&["s1", "s2", "s3", "s4", "s5", "s6"]);
    for session in ["a", "b", "c", "d"] {
        let prompt = prompt(session, "own");
        let mut hosts = [Balancer::default(), Balancer::default()];
        let placed = hosts.each_mut().map(|balancer| {
            let placed = place(balancer, at(0), &table, &request(&prompt, &[]));
            placed.expect("servers are free").server
        });
        assert_eq!(placed[0], placed[1]);
    }
}

/// The requests of a session arrive faster than the prefill of one server.
#[test]
fn place_hot_session_spread() {
    let table = table(&["s1", "s2", "s3"]);
    let mut balancer = Balancer::default();
    let mut servers = std::collections::BTreeSet::new();
    let mut prefilled = 0;
    for number in 0..30 {
        let prompt = prompt("hot", &format!("r{number}"));
        let placed = place(
            &mut balancer,
            at(number * 20),
            &table,
            &request(&prompt, &[]),
        );
        let placed = placed.expect("servers are free");
        prefilled += placed.tokens;
        servers.insert(placed.server.clone());
    }
    assert_eq!(servers.len(), 3, "one server doesn't prefill all requests");
    // Without the cache the prefill of each request is 9,200 tokens.
    assert!(prefilled < 30 * 4_500, "{prefilled} tokens were prefilled");
}

#[test]
fn place_tried_servers_excluded() {
    let table = table(&["s1", "s2"]);
    let mut balancer = Balancer::default();
    let tried = ["s1".into(), "s2".into()];
    let result = place(&mut balancer, at(0), &table, &request(&[], &tried));
    assert_eq!(result, Err(Error::NoServer));
}

#[test]
fn place_failed_server_avoided() {
    let table = table(&["s1", "s2"]);
    let mut balancer = Balancer::default();
    let first = place(&mut balancer, at(0), &table, &request(&[], &[])).expect("free");
    let failed = first.server.clone();
    balancer.complete(at(10), first, true);
    for _ in 0..10 {
        let placed = place(&mut balancer, at(20), &table, &request(&[], &[])).expect("free");
        assert_ne!(placed.server, failed);
        balancer.complete(at(30), placed, false);
    }
}

/// Sends a burst of requests to a cold server from all hosts, as when a data centre recovers.
/// Returns the number that is placed within a second.
fn place_burst(hosts: usize) -> usize {
    let table = table(&["s1"]);
    let names: Vec<Name> = (0..hosts).map(|i| format!("host-{i}").into()).collect();
    let mut sent = 0;
    for own in &names {
        let mut balancer = Balancer::default();
        let group = Group::new(own, names.iter());
        for _ in 0..100 {
            let request = Request {
                cold_requests_per_s: 25.5,
                group: &group,
                ..request(&[], &[])
            };
            match place(&mut balancer, at(100), &table, &request) {
                Ok(_) => sent += 1,
                Err(error) => assert_eq!(error, Error::Full),
            }
        }
    }
    sent
}

#[test]
fn place_cold_server_rate_limit() {
    assert_eq!(place_burst(9), 25);
}

#[test]
fn place_cold_server_rate_limit_many_hosts() {
    assert_eq!(place_burst(73), 25);
}

#[test]
fn place_allowed_servers_only() {
    let mut table = table(&["s1"]);
    table.update(at(0), &"far".into(), Some(entry("far", "llm", "b")), false);
    let mut balancer = Balancer::default();
    let is_allowed = |server: &Server| &*server.entry.data_centre == "b";
    let placed = balancer.place(at(0), &table, &request(&[], &[]), &is_allowed, &|_| true);
    assert_eq!(placed.map(|placed| placed.server), Ok("far".into()));
}

#[test]
fn place_connection_limit() {
    let table = table(&["s1"]);
    let mut balancer = Balancer::default();
    let request = Request {
        max_running: 2,
        ..request(&[], &[])
    };
    let first = place(&mut balancer, at(0), &table, &request).expect("free");
    assert!(place(&mut balancer, at(0), &table, &request).is_ok());
    assert_eq!(
        place(&mut balancer, at(0), &table, &request),
        Err(Error::Full)
    );
    balancer.complete(at(10), first, false);
    assert!(place(&mut balancer, at(10), &table, &request).is_ok());
}

/// Pauses that servers asked for exclude them. A request waits where one is on trial, and is told the first end
/// where all are paused.
#[test]
fn place_beside_pauses() {
    let table = table(&["a", "b"]);
    let mut balancer = Balancer::default();
    let placed = |balancer: &mut Balancer, waits: [Option<Wait>; 2]| {
        let pause = |server: &Server| waits[usize::from(&*server.entry.id != "a")];
        let request = Request {
            pause: &pause,
            ..request(&[], &[])
        };
        let placed = place(balancer, at(0), &table, &request);
        placed.map(|assignment| assignment.server)
    };
    let paused = |ms| Some(Wait::Paused(ms));
    for _ in 0..10 {
        let server = placed(&mut balancer, [paused(500), None]);
        assert_eq!(server, Ok("b".into()));
    }
    let all = placed(&mut balancer, [paused(500), paused(200)]);
    assert_eq!(all, Err(Error::Paused(200)));
    let on_trial = placed(&mut balancer, [paused(500), Some(Wait::Trial)]);
    assert_eq!(on_trial, Err(Error::Full));
}
