//! Benchmark of one routing decision: a new call that is sent at once, or the end of a call that
//! frees a slot for a queued one.

use std::{
    hint::black_box,
    sync::Arc,
    time::Duration, //
};

use criterion::{
    BenchmarkId,
    Criterion, //
};
use teaselchute::{
    core::{
        call::{
            self,
            Call,
            Completion, //
        },
        document::{
            BackendServer,
            DataCentre,
            Document,
            Kind,
            Organisation,
            Pool, //
        },
        host::{
            Host,
            Id, //
        },
        routing::{
            self,
            Action,
            Event,
            Shared,
            policy::Policy, //
        },
        state::Roster,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Number of organisations in the document.
const ORGANISATIONS: usize = 11_000;

/// Number of calls in flight during a measurement without a queue.
const IN_FLIGHT: u64 = 16;

/// Number of queued calls during a measurement with a queue.
const QUEUED: u64 = 2_000;

/// Returns a view with one pool of this many servers.
fn view(servers: usize) -> View {
    let mut document = Document::default();
    let data_centre = DataCentre {
        region: Name::from("almaty"),
        egress_price_milli: 90_000,
    };
    document
        .data_centres
        .insert(Name::from("almaty-a"), Arc::new(data_centre));
    let backends = (0..servers).map(|number| {
        let server = BackendServer {
            address: "127.0.0.1:1".parse().expect("a valid address"),
            data_centre: Name::from("almaty-a"),
            checks_fencing: false,
            memory_mb: 0,
        };
        (Name::from(format!("s{number:04}")), Arc::new(server))
    });
    let pool = Pool {
        kind: Kind::Engine,
        cold_limit: 16,
        full_limit: 16,
        warm_up_ms: 0,
        call_timeout_ms: 60_000,
        price_milli: 100,
        servers: backends.collect(),
    };
    document.pools.insert(Name::from("lm"), Arc::new(pool));
    for number in 0..ORGANISATIONS {
        let organisation = Organisation {
            credential_digest: Name::from(""),
            weight: 1,
            requests_per_second: None,
            pipelines: Default::default(),
            services: Vec::new(),
        };
        document
            .organisations
            .insert(organisation_name(number as u64), Arc::new(organisation));
    }
    let id = |number: usize| Id {
        name: Name::from(format!("h{number}")),
        incarnation: 1,
    };
    View {
        own: Host {
            id: id(0),
            data_centre: Name::from("almaty-a"),
            region: Name::from("almaty"),
            http: "127.0.0.1:1".parse().expect("a valid address"),
            peer: "127.0.0.1:2".parse().expect("a valid address"),
            weight: 1,
        },
        serving: true,
        serving_since: Some(Instant::ZERO),
        mutation: teaselchute::core::mutation::Mutation::None,
        leaving: false,
        document: Arc::new(document),
        position: Default::default(),
        fresh_at: Instant::ZERO,
        drained: Default::default(),
        roster: Roster {
            epoch: 1,
            members: (0..9).map(id).collect(),
        },
        previous_roster: Roster::default(),
        members: Vec::new(),
    }
}

fn organisation_name(number: u64) -> Name {
    Name::from(format!("o{}", number % ORGANISATIONS as u64))
}

/// Returns a source of calls, which shares their contents so that creating one costs little.
fn call_source(organisations: &[Name]) -> impl FnMut() -> Call {
    let mut number = 0;
    let body = Arc::from(&b"body"[..]);
    let (pipeline, pool) = (Name::from("notes"), Name::from("lm"));
    let id = Name::from("r1");
    let organisations = organisations.to_vec();
    move || {
        number += 1;
        Call {
            id: call::Id(number),
            request: call::Request {
                organisation: organisations[number as usize % organisations.len()].clone(),
                id: id.clone(),
            },
            stage: 0,
            pipeline: pipeline.clone(),
            pool: pool.clone(),
            model: None,
            attempt: 0,
            idempotent: true,
            priority: 1,
            deadline: Instant::from_ms(1_000_000),
            late_answer_wanted: false,
            prefix_hash: 0,
            failed_servers: Vec::new(),
            resume_from: 0,
            body: Arc::clone(&body),
            previous: None,
        }
    }
}

fn ended_event(call: &Call, server: &Name) -> Event {
    Event::Ended {
        call: call.id,
        server: server.clone(),
        incarnation: Some(1),
        end: Completion::Answered(call.body.clone()),
    }
}

fn collect_sent(actions: Vec<Action>, running: &mut Vec<(Call, Name)>) {
    for action in actions {
        if let Action::Send { call, server } = action {
            running.push((call, server));
        }
    }
}

/// Measures decisions in a pool with this number of servers and queued calls.
fn measure(criterion: &mut Criterion, name: &str, servers: usize, queued: u64) {
    let view = view(servers);
    let shared = Arc::new(Shared::default());
    let mut pool = routing::Pool::new(Name::from("lm"), Policy::Teaselchute, shared, 1);
    let organisations: Vec<Name> = (0..ORGANISATIONS as u64).map(organisation_name).collect();
    let mut next_call = call_source(&organisations);
    let mut running = Vec::new();
    let now = Instant::from_ms(10);
    pool.step(now, &view, Event::Tick);
    let mut offered = 0;
    while (queued == 0 && (running.len() as u64) < IN_FLIGHT) || (pool.queued() as u64) < queued {
        collect_sent(
            pool.step(now, &view, Event::Offer(next_call())),
            &mut running,
        );
        offered += 1;
        assert!(offered < 100_000, "calls are either sent or queued");
    }
    let mut group = criterion.benchmark_group("route");
    group.bench_function(BenchmarkId::new(name, servers), |bencher| {
        let mut position = 0;
        bencher.iter_custom(|iterations| {
            let mut total = Duration::ZERO;
            for _ in 0..iterations {
                position = (position + 1) % running.len();
                let (call, server) = running.swap_remove(position);
                let (ended, offered) = (ended_event(&call, &server), Event::Offer(next_call()));
                let started_at = std::time::Instant::now();
                // With a queue the end of a call leads to a decision, otherwise the offer of a
                // call.
                let (first, second) = if queued > 0 {
                    let first = pool.step(now, &view, ended);
                    total += started_at.elapsed();
                    (first, pool.step(now, &view, offered))
                } else {
                    let first = pool.step(now, &view, ended);
                    let started_at = std::time::Instant::now();
                    let second = pool.step(now, &view, offered);
                    total += started_at.elapsed();
                    (first, second)
                };
                collect_sent(black_box(first), &mut running);
                collect_sent(black_box(second), &mut running);
            }
            total
        });
    });
    group.finish();
}

fn route(criterion: &mut Criterion) {
    for servers in [20, 200, 2_300] {
        measure(criterion, "offer", servers, 0);
    }
    measure(criterion, "end_queued", 20, QUEUED);
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    route(&mut criterion);
    criterion.final_summary();
}
