//! Benchmark of the selection of an engine for a prompt, with and without the expected latency.

use std::hint::black_box;

use criterion::{
    BatchSize,
    BenchmarkId,
    Criterion, //
};
use teaselchute::{
    core::gateway::{
        balance::{
            Balancer,
            Request,
            Segment, //
        },
        config::{
            Access,
            Config,
            Engine,
            Kind,
            Limits,
            Role,
            Route,
            Service,
            Target, //
        },
        placement::{
            Candidate,
            Model,
            Profile,
            Sample, //
        },
        quota::Group,
        servers::{
            Entry,
            Table, //
        },
    },
    options::gateway::Placement,
    time::Instant,
};

/// Engines of one deployment, and all servers of the largest.
const SERVERS: [usize; 2] = [140, 2_300];

/// Requests before the measurement, from which speeds and held parts are known.
const LEARNT: u64 = 5_000;

fn config() -> Config {
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: Kind::Stream { resumes: true },
        timeout_ms: 6_000,
        objective_ms: 1_600,
        priority: 0,
        targets: vec![Target {
            service: "llm".into(),
            weight: 1,
        }],
        max_attempts: 3,
        stages: Vec::new(),
        public: true,
        shares_prompts: true,
        regions: Vec::new(),
    };
    let service = Service {
        name: "llm".into(),
        max_connections: 1_000,
        cold_requests_per_s: 0.0,
        role: Role::Engine(Some(Engine {
            slots: 24,
            memory_tokens: 235_638,
            token_bytes: 131_072.0,
            link_mbps: 100_000.0,
        })),
    };
    let limits = Limits {
        head_bytes: 1,
        body_bytes: 1,
        head_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    Config::new(1, vec![route], vec![service], Access::Open, limits)
}

fn table(servers: usize) -> Table {
    let mut table = Table::default();
    for index in 0..servers {
        let entry = Entry {
            id: format!("i-{index:010x}").as_str().into(),
            service: "llm".into(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            version: None,
            slots: 24,
            leaving: false,
            cold_ms: 0,
            started_at: Some(1),
            sequence: None,
        };
        table.update(Instant::ZERO, &entry.id.clone(), Some(entry), false);
    }
    table
}

fn prompt(number: u64) -> Vec<Segment> {
    let part = |id: String, tokens| Segment {
        id: id.as_str().into(),
        tokens,
    };
    vec![
        part(format!("common-{}", number % 4), 2_520),
        part(format!("subject-{}", number * 7 % 1_800), 3_780),
        part(format!("own-{number}"), 2_890),
    ]
}

fn request<'a>(prompt: &'a [Segment], group: &'a Group) -> Request<'a> {
    Request {
        service: "llm",
        prompt,
        tried: &[],
        cold_requests_per_s: 0.0,
        group,
        max_running: u32::MAX,
        local_hosts: 1,
        named_share: &|_| None,
        pause: &|_| None,
    }
}

/// Measures whole decisions, with the checks of limits that are the same for both, and the end of a request.
fn bench_place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    let quota = Group::default();
    for (name, placement) in [
        ("tokens", Placement::Tokens),
        ("latency", Placement::Latency),
    ] {
        for servers in SERVERS {
            let table = table(servers);
            let mut balancer = Balancer::default();
            balancer.configure(&config(), placement);
            let mut number = 0;
            let mut decide = |balancer: &mut Balancer| {
                number += 1;
                let now = Instant::from_ms(number * 5);
                let prompt = prompt(number);
                let request = request(&prompt, &quota);
                let placed = balancer.place(now, &table, &request, &|_| true, &|_| true);
                let mut assignment = placed.expect("servers are usable");
                let sample = Sample::new(100 + assignment.tokens / 30, None);
                balancer.observe(now, &mut assignment, sample);
                balancer.complete(now.after_ms(1), assignment, false);
            };
            for _ in 0..LEARNT {
                decide(&mut balancer);
            }
            group.bench_function(BenchmarkId::new(name, servers), |bench| {
                bench.iter(|| decide(black_box(&mut balancer)));
            });
        }
    }
    group.finish();
}

/// Measures the comparison of the expected latencies alone.
fn bench_choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose by latency");
    for servers in SERVERS {
        let table = table(servers);
        let profile = Profile::of(&config(), "llm").expect("the capacity is stated");
        let mut model = Model::new(profile);
        let candidates: Vec<Candidate<'_>> = table
            .usable("llm")
            .map(|server| Candidate {
                server,
                running: 3,
                prefill_tokens: 2_000,
                is_backed_off: false,
                is_local: true,
            })
            .collect();
        for number in 0..LEARNT {
            let now = Instant::from_ms(number * 5);
            let prompt = prompt(number);
            let choice = model.choose(now, &prompt, 1, &candidates, &|_| true);
            let choice = choice.expect("there are candidates");
            let server = &candidates[choice.index].server.entry.id;
            let mut placed = model.add(now, "llm", server, &prompt, &choice);
            model.observe(now, server, &mut placed, Sample::new(100, None));
            model.complete(now, server, placed, false);
        }
        let mut number = LEARNT;
        group.bench_function(BenchmarkId::from_parameter(servers), |bench| {
            bench.iter_batched(
                || {
                    number += 1;
                    prompt(number)
                },
                |prompt| {
                    let now = Instant::from_ms(LEARNT * 5);
                    model.choose(now, black_box(&prompt), 1, &candidates, &|_| true)
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_choose(&mut criterion);
    bench_place(&mut criterion);
    criterion.final_summary();
}
