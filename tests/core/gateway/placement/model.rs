//! Tests of single terms of the placement by latency.

use proptest::prelude::*;
use teaselchute::{
    core::gateway::{
        balance::{
            Assignment,
            Balancer,
            Segment, //
        },
        cache,
        config::{
            Config,
            Role, //
        },
        dispatch::{
            Ask,
            Constraint,
            Dispatcher,
            Grant,
            Reply,
            Report, //
        },
        placement::{
            Belief, Sample,
            load::Load,
            memory::Memory,
            speed::{
                Line,
                Speed, //
            },
        },
        quota::Group,
        servers::Table, //
    },
    names::Name,
    options::gateway::Placement,
};

use super::engine::{
    UNEQUAL,
    config,
    request,
    table, //
};
use crate::gateway::at;

fn prompt(subject: &str, own: &str) -> Vec<Segment> {
    let part = |id: &str, tokens| Segment {
        id: id.into(),
        tokens,
    };
    vec![
        part("common", 2_520),
        part(subject, 3_780),
        part(own, 2_890),
    ]
}

fn balancer(config: &Config) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.configure(config, Placement::Latency);
    balancer
}

fn place(balancer: &mut Balancer, ms: u64, table: &Table, prompt: &[Segment]) -> Assignment {
    let group = Group::default();
    let request = request(prompt, &group);
    let placed = balancer.place(at(ms), table, &request, &|_| true, &|_| true);
    placed.expect("servers are usable")
}

/// Time to the first event of a usual engine, in milliseconds.
fn usual_ms(tokens: u64) -> u64 {
    64 + (tokens as f64 / 32.4) as u64
}

/// Places four requests at once every two seconds, and reports times that are `factor` times as long as usual.
/// Returns how many each server got.
fn learn(
    balancer: &mut Balancer,
    table: &Table,
    range: std::ops::Range<u64>,
    factor: &dyn Fn(&str) -> f64,
) -> Vec<usize> {
    let mut counts = vec![0; table.len()];
    for round in range {
        let ms = round * 2_000;
        let mut assignments: Vec<Assignment> = (0..4)
            .map(|number| {
                // Nothing is shared, so that only speeds matter.
                let mut prompt = prompt("-", &format!("own-{round}-{number}")).split_off(2);
                prompt[0].tokens += number % 3 * 2_000;
                place(balancer, ms, table, &prompt)
            })
            .collect();
        for assignment in &mut assignments {
            let index: usize = assignment.server[1..].parse().expect("ids are numbers");
            counts[index] += 1;
            let ahead = assignment.estimate().map_or(0, |it| u64::from(it.ahead));
            let first_ms = usual_ms(ahead + assignment.tokens) as f64 * factor(&assignment.server);
            let sample = Sample::new(first_ms as u64, None);
            balancer.observe(at(ms + first_ms as u64), assignment, sample);
        }
        for assignment in assignments {
            balancer.complete(at(ms + 1_900), assignment, false);
        }
    }
    counts
}

/// Requests go to servers that are measured to be fast, and again to one that has restarted.
#[test]
fn place_avoids_slow_until_restart() {
    let config = config(&UNEQUAL);
    let table = table(4);
    let mut balancer = balancer(&config);
    let slow = |id: &str| if id == "s000" { 3.0 } else { 1.0 };
    learn(&mut balancer, &table, 0..50, &slow);
    let counts = learn(&mut balancer, &table, 50..75, &slow);
    assert!(counts[0] <= 10, "{counts:?}");
    balancer.forget(&"s000".into());
    let counts = learn(&mut balancer, &table, 75..100, &|_| 1.0);
    assert!(counts[0] >= 20, "{counts:?}");
}

/// A shared beginning is followed to a free server, and left when the wait there outweighs it.
#[test]
fn place_reuse_against_wait() {
    let config = config(&UNEQUAL);
    let table = table(4);
    let mut balancer = balancer(&config);
    learn(&mut balancer, &table, 0..20, &|_| 1.0);
    let first = place(&mut balancer, 200_000, &table, &prompt("hot", "a"));
    let home = first.server.clone();
    balancer.complete(at(201_000), first, false);
    let second = place(&mut balancer, 202_000, &table, &prompt("hot", "b"));
    assert_eq!((&second.server, second.tokens), (&home, 2_890));
    // At once, so that each waits for those before.
    let others: Vec<Name> = (0..8)
        .map(|number| {
            let own = format!("c{number}");
            place(&mut balancer, 202_000, &table, &prompt("hot", &own)).server
        })
        .collect();
    assert!(others.iter().any(|server| *server != home), "{others:?}");
}

/// Counts of what runs elsewhere, waiting for slots and failures keep a server from getting requests.
#[test]
fn place_full_or_failing_server() {
    let mut config = config(&UNEQUAL);
    for service in config.services.values_mut() {
        if let Role::Engine(Some(engine)) = &mut service.role {
            engine.slots = 2;
        }
    }
    let table = table(2);
    let mut balancer = balancer(&config);
    learn(&mut balancer, &table, 0..20, &|_| 1.0);
    let mut counts = [0, 0];
    for number in 0..4 {
        let placed = place(
            &mut balancer,
            200_000,
            &table,
            &prompt("hot", &format!("{number}")),
        );
        counts[usize::from(&*placed.server == "s001")] += 1;
    }
    assert_eq!(counts, [2, 2]);
    let failing = place(&mut balancer, 300_000, &table, &prompt("x", "x"));
    let server = failing.server.clone();
    balancer.complete(at(300_001), failing, true);
    let next = place(&mut balancer, 300_002, &table, &prompt("x", "y"));
    assert_ne!(next.server, server);
}

/// Parts are fetched where that is faster than reading them again, and never over a slow link.
#[test]
fn place_fetch_by_link() {
    for (link_mbps, is_fetched) in [(400_000.0, true), (100.0, false)] {
        let mut config = config(&UNEQUAL);
        for service in config.services.values_mut() {
            if let Role::Engine(Some(engine)) = &mut service.role {
                engine.link_mbps = link_mbps;
            }
        }
        let table = table(2);
        let mut balancer = balancer(&config);
        learn(&mut balancer, &table, 0..20, &|_| 1.0);
        let first = place(&mut balancer, 200_000, &table, &prompt("hot", "a"));
        let home = first.server.clone();
        let elsewhere = [home.clone()];
        balancer.complete(at(201_000), first, false);
        let group = Group::default();
        let prompt = prompt("hot", "b");
        let mut request = request(&prompt, &group);
        request.tried = &elsewhere;
        let placed = balancer.place(at(202_000), &table, &request, &|_| true, &|_| true);
        let placed = placed.expect("another server is usable");
        assert_eq!(placed.source, is_fetched.then_some(home), "{link_mbps}");
    }
}

/// Bytes between regions are dear, so a request stays in its region unless that fails or is far behind.
#[test]
fn place_region() {
    let config = config(&UNEQUAL);
    let table = table(4);
    let mut balancer = balancer(&config);
    learn(&mut balancer, &table, 0..20, &|_| 1.0);
    let group = Group::default();
    let mut away = 0;
    for number in 0..40 {
        let prompt = prompt(&format!("s{number}"), &format!("r{number}"));
        let request = request(&prompt, &group);
        let is_local =
            |server: &teaselchute::core::gateway::servers::Server| &*server.entry.id <= "s001";
        let placed = balancer.place(at(200_000), &table, &request, &|_| true, &is_local);
        let placed = placed.expect("servers are usable");
        if &*placed.server > "s001" {
            away += 1;
            assert!(number >= 2, "the first ones stay");
        }
    }
    assert!(away > 0, "two servers can't take all");
}

/// Hosts that decide alone see the same costs at the same time: without the comparison of few, all would
/// send to the same server.
#[test]
fn place_hosts_alone_spread() {
    let config = config(&UNEQUAL);
    let table = table(40);
    let mut targets = std::collections::BTreeMap::new();
    for host in 0..30 {
        let mut balancer = balancer(&config);
        // All hosts know that the same server is the fastest.
        learn(&mut balancer, &table, 0..50, &|id| {
            if id == "s007" { 0.5 } else { 1.0 }
        });
        let prompt = prompt(&format!("subject-of-{host}"), &format!("own-of-{host}"));
        let group = Group::default();
        let mut request = request(&prompt, &group);
        request.local_hosts = 30;
        let placed = balancer.place(at(900_000), &table, &request, &|_| true, &|_| true);
        *targets
            .entry(placed.expect("it is usable").server)
            .or_insert(0) += 1;
    }
    let most = targets.values().max().copied().unwrap_or_default();
    assert!(most <= 6, "{targets:?}");
}

/// Wrong beliefs about memory show in the time to the first event.
#[test]
fn observe_belief() {
    let config = config(&UNEQUAL);
    let table = table(1);
    for (is_held, first_ms) in [(true, usual_ms(2_890)), (false, usual_ms(9_190))] {
        let mut balancer = balancer(&config);
        learn(&mut balancer, &table, 0..20, &|_| 1.0);
        let first = place(&mut balancer, 200_000, &table, &prompt("hot", "a"));
        balancer.complete(at(201_000), first, false);
        let mut second = place(&mut balancer, 202_000, &table, &prompt("hot", "b"));
        let sample = Sample::new(first_ms, None);
        let belief = balancer.observe(at(202_000 + first_ms), &mut second, sample);
        let expected = Belief {
            is_cached: true,
            is_right: is_held,
        };
        assert_eq!(belief, Some(expected));
        // The first event is one, whatever else arrives.
        assert_eq!(balancer.observe(at(203_000), &mut second, sample), None);
    }
}

/// What a request of an earlier start of a server sees says nothing about the present one.
#[test]
fn complete_request_of_earlier_start() {
    let config = config(&UNEQUAL);
    let table = table(1);
    let mut balancer = balancer(&config);
    let mut early = place(&mut balancer, 0, &table, &prompt("hot", "a"));
    balancer.observe(at(300), &mut early, Sample::new(300, None));
    let mut late = place(&mut balancer, 400, &table, &prompt("hot", "b"));
    balancer.forget(&"s000".into());
    let next = place(&mut balancer, 500, &table, &prompt("other", "c"));
    balancer.observe(at(700), &mut late, Sample::new(300, None));
    balancer.complete(at(1_000), early, false);
    balancer.complete(at(1_000), late, false);
    balancer.complete(at(1_000), next, false);
    let own = &prompt("hot", "a")[2..];
    let again = place(&mut balancer, 2_000, &table, own);
    let estimate = again.estimate().expect("latency decides");
    assert_eq!((estimate.cached, estimate.samples), (0, 0));
}

/// A host that follows a dispatcher knows where prompts of other hosts went, before its first decision.
#[test]
fn record_held_before_first_decision() {
    let config = config(&UNEQUAL);
    let table = table(4);
    let mut balancer = balancer(&config);
    let prompt = prompt("hot", "a");
    let keys: Vec<cache::Key> = prompt[..2].iter().map(cache::key).collect();
    balancer.record_held(at(0), "llm", &"s002".into(), &keys);
    let placed = place(&mut balancer, 1_000, &table, &prompt);
    assert_eq!((&*placed.server, placed.tokens), ("s002", 2_890));
}

/// What was learnt survives a configuration that leaves the engines as they are.
#[test]
fn configure_keeps_speeds() {
    let mut config = config(&UNEQUAL);
    let table = table(1);
    let mut balancer = balancer(&config);
    learn(&mut balancer, &table, 0..20, &|_| 1.0);
    config.version += 1;
    balancer.configure(&config, Placement::Latency);
    let kept = place(&mut balancer, 200_000, &table, &prompt("x", "a"));
    assert_eq!(kept.estimate().map(|it| it.samples), Some(80));
    config.version += 1;
    balancer.configure(&config, Placement::Tokens);
    let by_tokens = place(&mut balancer, 200_000, &table, &prompt("x", "b"));
    assert_eq!(by_tokens.estimate(), None);
    // A request that was placed before a switch ends as usual.
    balancer.complete(at(201_000), kept, false);
}

/// A dispatcher learns from the reports of hosts. Repeated, late and unknown ones change nothing.
#[test]
fn ask_learns_from_reports() {
    let config = config(&UNEQUAL);
    let table = table(1);
    let mut dispatcher = Dispatcher::new(at(0), 0);
    dispatcher.configure(&config, Placement::Latency);
    let ask = |dispatcher: &mut Dispatcher, ms: u64| -> Grant {
        let ask = Ask {
            service: "llm".into(),
            prompt: prompt("subject", &format!("own-{ms}")),
            excluded: Vec::new(),
            remaining_ms: 6_000,
            constraint: Constraint::Any,
        };
        match dispatcher.ask(at(ms), &table, &ask, 0.0, &|_| None, &|_| true) {
            Reply::Granted(grant) => grant,
            reply => panic!("{reply:?}"),
        }
    };
    let samples = |grant: &Grant| grant.estimate.map(|it| it.samples);
    let first = ask(&mut dispatcher, 4_000);
    assert_eq!(samples(&first), Some(0));
    let sample = Sample::new(400, None);
    let report = Report::FirstEvent {
        id: first.id,
        sample,
    };
    dispatcher.report(at(4_400), report);
    dispatcher.report(at(4_401), report);
    dispatcher.report(at(4_402), Report::FirstEvent { id: 99, sample });
    let second = ask(&mut dispatcher, 5_000);
    assert_eq!(samples(&second), Some(1));
    let id = first.id;
    dispatcher.report(at(5_001), Report::Completed { id, failed: false });
    let size = postcard::to_allocvec(&second)
        .expect("it can be encoded")
        .len();
    assert!(size < 200, "a grant of {size} bytes crowds a datagram");
}

/// The least recently used parts go first, and only an unbroken beginning counts.
#[test]
fn memory_evicts_least_recently_used() {
    let mut memory = Memory::new(10);
    let count = |memory: &Memory, prompt: &[cache::Key]| {
        let mut counts = Vec::new();
        memory.count_held(prompt, &mut counts, 1);
        counts[0]
    };
    for key in [1, 2, 3] {
        memory.touch(0, key, 3, at(0));
    }
    assert_eq!(count(&memory, &[1, 2, 3]), 3);
    memory.touch(0, 1, 3, at(0));
    memory.touch(0, 4, 3, at(0));
    assert_eq!(count(&memory, &[1, 2, 3]), 1);
    assert_eq!(count(&memory, &[2, 3]), 0);
    // Running requests take the room of parts, and give it back.
    memory.start(0, 6);
    assert_eq!((memory.held(0), memory.running(0)), (3, 6));
    assert_eq!(count(&memory, &[4]), 1);
    memory.end(0, 6);
    // A part that is larger than the memory evicts nothing.
    memory.touch(0, 5, 11, at(0));
    assert_eq!(count(&memory, &[4]), 1);
    memory.forget(0);
    assert_eq!((memory.held(0), memory.holders(4).len()), (0, 0));
}

/// The line through samples gives base and time for a token, also if all are alike.
#[test]
fn line_of_samples() {
    let mut line = Line::default();
    for tokens in [700.0, 2_400.0, 9_190.0].into_iter().cycle().take(60) {
        line.observe(tokens, 64.0 + tokens / 32.4);
    }
    assert!((line.base_ms - 64.0).abs() < 5.0, "{line:?}");
    assert!((line.expected_ms(5_000.0) - 64.0 - 5_000.0 / 32.4).abs() < 5.0);
    let mut line = Line::default();
    for _ in 0..60 {
        line.observe(5_000.0, 218.0);
    }
    assert!((line.expected_ms(5_000.0) - 218.0).abs() < 5.0, "{line:?}");
}

/// A spell of 600 ms must not mark a server as slow for long, nor a lasting slowness pass as a spell.
#[test]
fn speed_spell_fades() {
    let mut speed = Speed::default();
    for second in 0..60 {
        speed.observe(at(second * 1_000), 1.0);
    }
    speed.observe(at(60_000), 2.5);
    assert!(speed.factor(at(60_010), 1.0) > 1.5, "{speed:?}");
    assert!(speed.factor(at(62_000), 1.0) < 1.15, "{speed:?}");
    for second in 62..122 {
        speed.observe(at(second * 1_000), 2.5);
    }
    assert!(speed.factor(at(123_000), 1.0) > 2.2, "{speed:?}");
}

#[test]
fn load_parse() {
    let load = |pace_percent| Load {
        running: 3,
        waiting: 0,
        slots: 24,
        pace_percent,
    };
    assert_eq!(Load::parse("3, 0,24"), Some(load(None)));
    assert_eq!(Load::parse("3,0,24,250"), Some(load(Some(250))));
    for odd in ["3,0,24,-1", "3,0,24,x", "3,0,24,99999999999", "3,0,24,0"] {
        assert_eq!(Load::parse(odd), Some(load(None)), "{odd}");
    }
    for wrong in [
        "",
        "3,0",
        "-3,0,24",
        "3,,24",
        "4294967296,0,1",
        "4294967295,0,1",
        "a",
    ] {
        assert_eq!(Load::parse(wrong), None, "{wrong}");
    }
}

proptest! {
    /// Whatever servers state and hosts measure, costs stay finite and servers get requests.
    #[test]
    fn place_after_any_samples(samples in proptest::collection::vec((any::<u32>(), any::<[u32; 4]>()), 1..40)) {
        let config = config(&UNEQUAL);
        let table = table(3);
        let mut balancer = balancer(&config);
        for (index, (first_ms, [running, waiting, slots, pace])) in samples.into_iter().enumerate() {
            let ms = index as u64 * 10;
            let mut assignment = place(&mut balancer, ms, &table, &prompt("s", &format!("{index}")));
            let estimate = assignment.estimate().expect("latency decides");
            prop_assert!(estimate.total_ms().is_finite() && estimate.total_ms() >= 0.0);
            let load = Load::parse(&format!("{running},{waiting},{slots},{pace}"));
            balancer.observe(at(ms), &mut assignment, Sample::new(u64::from(first_ms), load));
        }
    }
}
