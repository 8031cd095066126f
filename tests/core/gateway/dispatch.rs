use std::collections::BTreeMap;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::gateway::{
        balance::{
            Assignment,
            Balancer,
            Request,
            Segment, //
        },
        dispatch::{
            Ask,
            Constraint,
            DISPATCHERS,
            DIVIDED_PERCENT,
            Dispatcher,
            Grant,
            Reply,
            Report, //
        },
        quota::Group,
        servers::{
            Server,
            Table, //
        },
    },
    names::Name,
};

use super::{
    at,
    entry, //
};

/// Rate limit of a cold server, in requests per second.
const COLD_PER_S: f64 = 22.5;

/// Time at which dispatchers are ready, in milliseconds.
const READY_MS: u64 = 3_000;

fn table(servers: usize) -> Table {
    let mut table = Table::default();
    for index in 0..servers {
        let id = format!("s{index}");
        let entry = entry(&id, "llm", "a");
        table.update(at(0), &id.as_str().into(), Some(entry), false);
    }
    table
}

fn ask(session: &str, own: &str) -> Ask {
    let part = |id: &str, tokens| Segment {
        id: id.into(),
        tokens,
    };
    Ask {
        service: "llm".into(),
        prompt: vec![part(session, 3_800), part(own, 2_900)],
        excluded: Vec::new(),
        remaining_ms: 6_000,
        constraint: Constraint::Any,
    }
}

fn is_any(_: &Server) -> bool {
    true
}

fn granted(reply: Reply) -> Option<Grant> {
    match reply {
        Reply::Granted(grant) => Some(grant),
        Reply::Full | Reply::Limited(_) | Reply::NoServer | Reply::NotReady => None,
    }
}

/// Times of requests, in milliseconds, each with its host and its session.
fn burst(seed: u64, requests: usize, hosts: usize) -> Vec<(u64, usize, String)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut all: Vec<(u64, usize, String)> = (0..requests)
        .map(|_| {
            let at_ms = READY_MS + rng.random_range(0..1_000_u64);
            let session = format!("session-{}", rng.random_range(0..200_u64));
            (at_ms, rng.random_range(0..hosts as u64) as usize, session)
        })
        .collect();
    all.sort();
    all
}

/// In a burst, 98 hosts of a region send 400 requests within a second to 51 engines. The engines can
/// take them, but the parts of the limits that hosts have if they divide them can't.
#[test]
fn ask_burst_of_many_hosts() {
    let table = table(51);
    let requests = burst(7, 400, 98);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    let mut central = 0;
    let mut last: BTreeMap<String, Name> = BTreeMap::new();
    let (mut repeated, mut cached) = (0, 0);
    for (index, (at_ms, _, session)) in requests.iter().enumerate() {
        let ask = ask(session, &format!("own-{index}"));
        let reply = dispatcher.ask(at(*at_ms), &table, &ask, COLD_PER_S, &|_| None, &is_any);
        let Some(grant) = granted(reply) else {
            continue;
        };
        central += 1;
        if let Some(before) = last.insert(session.clone(), grant.server.clone()) {
            repeated += 1;
            cached += usize::from(before == grant.server);
        }
        let id = grant.id;
        dispatcher.report(at(*at_ms), Report::Prefilled { id });
    }
    let names: Vec<Name> = (0..295).map(|host| format!("h{host}").into()).collect();
    let groups: Vec<Group> = names
        .iter()
        .map(|own| Group::new(own, names.iter()))
        .collect();
    let mut hosts: Vec<Balancer> = (0..98).map(|_| Balancer::default()).collect();
    let mut divided = 0;
    let mut last: BTreeMap<String, Name> = BTreeMap::new();
    let mut cached_divided = 0;
    for (index, (at_ms, host, session)) in requests.iter().enumerate() {
        let prompt = ask(session, &format!("own-{index}")).prompt;
        let request = Request {
            service: "llm",
            prompt: &prompt,
            tried: &[],
            cold_requests_per_s: COLD_PER_S,
            group: &groups[*host],
            max_running: 5,
            local_hosts: 49,
            named_share: &|_| None,
            pause: &|_| None,
        };
        let placed: Result<Assignment, _> =
            hosts[*host].place(at(*at_ms), &table, &request, &is_any, &is_any);
        if let Ok(assignment) = placed {
            divided += 1;
            let before = last.insert(session.clone(), assignment.server.clone());
            cached_divided += usize::from(before == Some(assignment.server));
        }
    }
    assert_eq!(central, requests.len(), "divided among hosts: {divided}");
    assert!(divided < requests.len() * 9 / 10, "{divided}");
    assert!(
        cached >= 4 * cached_divided,
        "{cached} and {cached_divided} of {repeated}"
    );
}

/// While hosts disagree on the dispatcher, two assign requests, and hosts that reach neither use their
/// own shares.
#[test]
fn ask_all_limits_within_total() {
    let table = table(1);
    let mut total = 0;
    for first_id in 0..DISPATCHERS as u64 {
        let mut dispatcher = Dispatcher::new(at(0), first_id);
        for index in 0..100_u64 {
            let ask = ask("session", &format!("own-{index}"));
            let now = at(READY_MS + index);
            let reply = dispatcher.ask(now, &table, &ask, COLD_PER_S, &|_| None, &is_any);
            total += usize::from(granted(reply).is_some());
        }
    }
    let names: Vec<Name> = (0..100).map(|host| format!("h{host}").into()).collect();
    let divided = (COLD_PER_S * DIVIDED_PERCENT as f64 / 100.0) as u64;
    let shares = names
        .iter()
        .map(|own| Group::new(own, names.iter()).share(divided, "s0"));
    total += shares.sum::<u64>() as usize;
    assert!(total as f64 <= COLD_PER_S, "{total}");
    assert!(total as f64 >= COLD_PER_S * 0.9, "{total}");
}

#[test]
fn ask_within_any_second() {
    let table = table(1);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    let mut times = Vec::new();
    for now_ms in (READY_MS..READY_MS + 5_000).step_by(10) {
        let ask = ask("session", &format!("own-{now_ms}"));
        let reply = dispatcher.ask(at(now_ms), &table, &ask, COLD_PER_S, &|_| None, &is_any);
        if let Some(grant) = granted(reply) {
            times.push(now_ms);
            let (id, failed) = (grant.id, false);
            dispatcher.report(at(now_ms), Report::Completed { id, failed });
        }
    }
    for start in &times {
        let within = times
            .iter()
            .filter(|at| (*start..start + 1_000).contains(at));
        assert!(within.count() <= 9);
    }
    assert!(times.len() >= 44, "{} in five seconds", times.len());
}

#[test]
fn ask_not_ready_after_start_and_pause() {
    let table = table(2);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    let mut reply = |now_ms| {
        let ask = ask("session", &format!("own-{now_ms}"));
        dispatcher.ask(at(now_ms), &table, &ask, COLD_PER_S, &|_| None, &is_any)
    };
    assert_eq!(reply(READY_MS - 1), Reply::NotReady);
    assert!(granted(reply(READY_MS)).is_some());
    dispatcher.resume(at(10_000));
    let mut reply = |now_ms| {
        let ask = ask("session", &format!("own-{now_ms}"));
        dispatcher.ask(at(now_ms), &table, &ask, COLD_PER_S, &|_| None, &is_any)
    };
    assert_eq!(reply(10_999), Reply::NotReady);
    assert!(granted(reply(11_000)).is_some());
}

/// The reports of a host that died are missing. Its requests count until their deadline.
#[test]
fn report_missing_expires() {
    let table = table(2);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    let server = |dispatcher: &mut Dispatcher, now_ms| {
        let ask = ask("session", &format!("own-{now_ms}"));
        let reply = dispatcher.ask(at(now_ms), &table, &ask, 0.0, &|_| None, &is_any);
        granted(reply).expect("servers have no limit").server
    };
    let first = server(&mut dispatcher, READY_MS);
    // Many prompts wait there, so that the other server is better even without the prompt's parts.
    for _ in 0..9 {
        server(&mut dispatcher, READY_MS);
    }
    assert_eq!(server(&mut dispatcher, READY_MS + 6_000), first);
}

#[test]
fn ask_excluded_and_foreign_servers() {
    let table = table(3);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    let mut question = ask("session", "own");
    question.excluded = vec!["s0".into()];
    let is_own = |server: &Server| &*server.entry.id != "s1";
    let reply = dispatcher.ask(
        at(READY_MS),
        &table,
        &question,
        COLD_PER_S,
        &|_| None,
        &is_own,
    );
    assert_eq!(granted(reply).map(|grant| grant.server), Some("s2".into()));
    question.excluded.push("s2".into());
    let reply = dispatcher.ask(
        at(READY_MS),
        &table,
        &question,
        COLD_PER_S,
        &|_| None,
        &is_own,
    );
    assert_eq!(reply, Reply::NoServer);
}

/// All hosts were lost and start again. They don't wait longer than until they know each other.
#[test]
fn observe_hosts_most_live() {
    let table = table(2);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    let mut reply = |now_ms, live| {
        dispatcher.observe_hosts(at(now_ms), live, 100);
        let ask = ask("session", &format!("own-{now_ms}"));
        dispatcher.ask(at(now_ms), &table, &ask, COLD_PER_S, &|_| None, &is_any)
    };
    assert_eq!(reply(500, 1), Reply::NotReady, "only this host is known");
    assert_eq!(reply(800, 49), Reply::NotReady);
    assert!(granted(reply(1_100, 50)).is_some());
    assert!(granted(reply(1_200, 10)).is_some(), "hosts leave later");
}

/// Guards against questions that no longer fit a datagram because of the version that they ask for.
#[test]
fn ask_constraint_small() {
    let size = |constraint| {
        let ask = Ask {
            constraint,
            ..ask("a", "b")
        };
        let bytes = postcard::to_allocvec(&ask).expect("questions can be encoded");
        bytes.len()
    };
    let plain = size(Constraint::Any);
    assert!(size(Constraint::Only(u64::MAX)) <= plain + 10);
    assert!(size(Constraint::Not(u64::MAX)) <= plain + 10);
}

#[test]
fn constraint_admits_versions() {
    assert!(Constraint::Any.admits(1));
    assert!(Constraint::Only(1).admits(1));
    assert!(!Constraint::Only(1).admits(2));
    assert!(!Constraint::Not(1).admits(1));
    assert!(Constraint::Not(1).admits(2));
}
