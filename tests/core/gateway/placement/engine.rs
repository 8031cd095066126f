//! A small model of engines, and replays of requests over them.
//!
//! An engine prefills one prompt after the other, runs a fixed number of requests, and evicts the least
//! recently used parts.

use std::{
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    mem::take,
};

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
        config::{
            Access,
            Config,
            Engine as Capacity,
            Kind,
            Limits,
            Role,
            Route,
            Service,
            Target, //
        },
        placement::Sample,
        quota::Group,
        servers::Table, //
    },
    names::Name,
    options::gateway::Placement,
};

use crate::gateway::{
    at,
    entry, //
};

/// A deployment's engines.
#[derive(Clone, Copy)]
pub struct Setup {
    pub engines: usize,
    pub slots: u32,
    pub memory: u64,
    pub step_ms: f64,
    pub step_request_ms: f64,
    pub tokens_per_ms: f64,
    pub base_ms: f64,
    pub event_tokens: f64,
    pub speeds: [f64; 3],
    pub spell_percent: u64,
}

/// Engines of equal speed.
pub const EQUAL: Setup = Setup {
    engines: 30,
    slots: 12,
    memory: 426_894,
    step_ms: 6.08,
    step_request_ms: 0.0413,
    tokens_per_ms: 110.0,
    base_ms: 10.0,
    event_tokens: 5.0,
    speeds: [1.0, 1.0, 1.0],
    spell_percent: 0,
};

/// Engines of unequal speed, some of which are slow for a while.
pub const UNEQUAL: Setup = Setup {
    engines: 48,
    slots: 24,
    memory: 235_638,
    step_ms: 6.12,
    step_request_ms: 0.0234,
    tokens_per_ms: 32.4,
    base_ms: 64.0,
    event_tokens: 4.0,
    speeds: [0.7, 0.7, 1.7],
    spell_percent: 15,
};

const SPELL_MS: u64 = 600;
const SPELL_FACTOR: f64 = 2.5;

#[derive(Clone, Default)]
struct Engine {
    free_ms: f64,
    ends: Vec<f64>,
    // Least recently used first, with tokens.
    parts: Vec<(Name, u64)>,
}

/// Engines of a deployment.
pub struct Engines {
    pub setup: Setup,
    seed: u64,
    all: Vec<Engine>,
}

/// What became of a request.
#[derive(Clone, Copy)]
pub struct Run {
    pub first_ms: f64,
    pub end_ms: f64,
    pub again: u64,
}

impl Engines {
    pub fn new(setup: Setup, seed: u64) -> Self {
        let all = vec![Engine::default(); setup.engines];
        Self { setup, seed, all }
    }

    pub fn restart(&mut self, index: usize) {
        self.all[index].parts.clear();
    }

    /// Returns how many times as long as usual work takes.
    pub fn factor(&self, index: usize, ms: f64) -> f64 {
        let spell = (ms as u64 / SPELL_MS) << 20 | index as u64;
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ spell.wrapping_mul(0x9e37_79b9));
        let is_slow = rng.random_range(0..100_u64) < self.setup.spell_percent;
        self.setup.speeds[index % 3] * if is_slow { SPELL_FACTOR } else { 1.0 }
    }

    /// Runs a request. `again` counts the tokens of shared parts that another request had sent there or
    /// elsewhere before.
    pub fn run(
        &mut self,
        index: usize,
        ms: f64,
        call: &Call,
        seen: &mut BTreeMap<Name, ()>,
    ) -> Run {
        let setup = self.setup;
        let factor = self.factor(index, ms.max(self.all[index].free_ms));
        let engine = &mut self.all[index];
        engine.ends.retain(|&end| end > ms);
        engine.ends.sort_by(f64::total_cmp);
        let is_held = |segment: &&Segment| engine.parts.iter().any(|(id, _)| *id == segment.id);
        let held = call.prompt.iter().take_while(is_held).count();
        let missing: u64 = call.prompt[held..].iter().map(|it| it.tokens).sum();
        let shared = call.prompt.len() - 1;
        let mut again = 0;
        for segment in &call.prompt[held.min(shared)..shared] {
            if seen.insert(segment.id.clone(), ()).is_some() {
                again += segment.tokens;
            }
        }
        for segment in &call.prompt {
            engine.parts.retain(|(id, _)| *id != segment.id);
            engine.parts.push((segment.id.clone(), segment.tokens));
        }
        let mut sum: u64 = engine.parts.iter().map(|(_, tokens)| tokens).sum();
        while sum > setup.memory {
            sum -= engine.parts.remove(0).1;
        }
        let slot_ms = engine.ends.len().checked_sub(setup.slots as usize);
        let slot_ms = slot_ms.map_or(ms, |position| engine.ends[position]);
        let begin = ms.max(engine.free_ms).max(slot_ms);
        let step = setup.step_ms + setup.step_request_ms * engine.ends.len() as f64;
        let chunks = (missing as f64 / 2_048.0).ceil();
        let prefill = missing as f64 / setup.tokens_per_ms + chunks * step;
        engine.free_ms = begin + prefill * factor;
        let first = engine.free_ms + setup.base_ms * factor;
        let decode = f64::from(call.events) * setup.event_tokens * step * factor;
        engine.ends.push(first + decode);
        Run {
            first_ms: first - ms,
            end_ms: first + decode - ms,
            again,
        }
    }
}

/// A request.
#[derive(Clone)]
pub struct Call {
    pub at_ms: u64,
    pub prompt: Vec<Segment>,
    pub events: u32,
}

fn part(id: String, tokens: u64) -> Segment {
    Segment {
        id: id.as_str().into(),
        tokens,
    }
}

/// Requests of the three usual sizes, `per_s` in a second, with this many subjects.
pub fn calls(seed: u64, per_s: u64, duration_ms: u64, subjects: u64) -> Vec<Call> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut calls: Vec<Call> = (0..per_s * duration_ms / 1_000)
        .map(|number| {
            let at_ms = rng.random_range(0..duration_ms);
            let subject = rng.random_range(0..subjects);
            let kind = rng.random_range(0..209_u64);
            let (prompt, events) = if kind < 90 {
                let prompt = vec![
                    part(format!("common-{}", subject % 4), 2_520),
                    part(format!("subject-{subject}"), 3_780),
                    part(format!("own-{number}"), 2_890),
                ];
                (prompt, 13)
            } else if kind < 157 {
                let prompt = vec![
                    part("middle".to_string(), 568),
                    part(format!("own-{number}"), 1_800),
                ];
                (prompt, 6)
            } else {
                let prompt = vec![
                    part("chat".to_string(), 172),
                    part(format!("own-{number}"), 543),
                ];
                (prompt, 70)
            };
            Call {
                at_ms,
                prompt,
                events,
            }
        })
        .collect();
    calls.sort_by_key(|call| call.at_ms);
    calls
}

/// How a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Latency,
    // The other placement.
    Tokens,
    // Always the server that got the subject first.
    Follow,
    // The fewest outstanding requests, whatever servers hold.
    LeastOutstanding,
    Random,
    RoundRobin,
    TwoChoices,
}

/// What goes wrong in a replay.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    // Reports of one request in this many are lost.
    pub lost_every: usize,
    // Engine 0 restarts then.
    pub restart_ms: Option<u64>,
}

/// Result of a replay, without its first third, in which nothing is known yet.
#[derive(Debug)]
pub struct Outcome {
    pub mean_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
    pub again: u64,
    /// Fraction of requests within the objective.
    pub on_time: f64,
}

/// Latency objective of the replays, in milliseconds.
pub const OBJECTIVE_MS: u64 = 1_600;

/// Returns a configuration with one service of engines.
pub fn config(setup: &Setup) -> Config {
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        prefix: "/".into(),
        kind: Kind::Stream { resumes: true },
        timeout_ms: 6_000,
        objective_ms: OBJECTIVE_MS,
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
        role: Role::Engine(Some(Capacity {
            slots: setup.slots,
            memory_tokens: setup.memory,
            token_bytes: 131_072.0,
            link_mbps: 1.0,
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

pub fn table(engines: usize) -> Table {
    let mut table = Table::default();
    for index in 0..engines {
        let id = format!("s{index:03}");
        let entry = entry(&id, "llm", "a");
        table.update(at(0), &id.as_str().into(), Some(entry), false);
    }
    table
}

fn index_of(server: &str) -> usize {
    server[1..].parse().expect("ids are numbers")
}

pub fn request<'a>(prompt: &'a [Segment], group: &'a Group) -> Request<'a> {
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

/// An event of a replay: the first event or the end of a running request.
type Pending = std::cmp::Reverse<(u64, bool, usize)>;

/// Replays requests over engines, with one place that decides.
pub fn replay(
    setup: Setup,
    seed: u64,
    calls: &[Call],
    policy: Policy,
    trouble: Trouble,
) -> Outcome {
    let mut engines = Engines::new(setup, seed);
    let table = table(setup.engines);
    let group = Group::default();
    let mut balancer = Balancer::default();
    let placement = match policy {
        Policy::Latency => Placement::Latency,
        _ => Placement::Tokens,
    };
    balancer.configure(&config(&setup), placement);
    let mut rng = Pcg64Mcg::seed_from_u64(seed + 1);
    let mut pending: BinaryHeap<Pending> = BinaryHeap::new();
    let mut running: Vec<Option<Assignment>> = Vec::new();
    let mut runs: Vec<Run> = Vec::new();
    let mut outstanding = vec![0_usize; setup.engines];
    let mut followed: BTreeMap<Name, usize> = BTreeMap::new();
    let mut seen = BTreeMap::new();
    let mut servers: Vec<usize> = Vec::new();
    let mut restart_ms = trouble.restart_ms;
    for (number, call) in calls.iter().enumerate() {
        while let Some(&std::cmp::Reverse((ms, is_end, request))) = pending.peek()
            && ms <= call.at_ms
        {
            pending.pop();
            let is_lost = trouble.lost_every > 0 && request % trouble.lost_every == 0;
            if is_end {
                outstanding[servers[request]] -= 1;
                if let Some(assignment) = running[request].take() {
                    balancer.complete(at(ms), assignment, false);
                }
            } else if let Some(assignment) = &mut running[request]
                && !is_lost
            {
                let sample = Sample::new(runs[request].first_ms as u64, None);
                balancer.observe(at(ms), assignment, sample);
            }
        }
        if restart_ms.is_some_and(|ms| ms <= call.at_ms) {
            restart_ms = None;
            engines.restart(0);
            balancer.forget(&"s000".into());
        }
        let mut assignment = None;
        let least = |two: &[usize]| {
            let least = two.iter().min_by_key(|&&index| outstanding[index]);
            *least.expect("there are servers")
        };
        let all: Vec<usize> = (0..setup.engines).collect();
        let mut draw = || rng.random_range(0..setup.engines as u64) as usize;
        let index = match policy {
            Policy::Latency | Policy::Tokens => {
                let request = request(&call.prompt, &group);
                let placed = balancer.place(at(call.at_ms), &table, &request, &|_| true, &|_| true);
                let placed = placed.expect("servers are usable");
                let index = index_of(&placed.server);
                assignment = Some(placed);
                index
            }
            // A part that many subjects share is on all servers soon, and no reason to follow.
            Policy::Follow if call.prompt.len() == 3 => {
                let subject = call.prompt[1].id.clone();
                *followed.entry(subject).or_insert_with(&mut draw)
            }
            Policy::Follow => draw(),
            Policy::LeastOutstanding => least(&all),
            Policy::Random => draw(),
            Policy::RoundRobin => number % setup.engines,
            Policy::TwoChoices => least(&[draw(), draw()]),
        };
        outstanding[index] += 1;
        servers.push(index);
        running.push(take(&mut assignment));
        let run = engines.run(index, call.at_ms as f64, call, &mut seen);
        let after = |ms: f64| call.at_ms + ms as u64 + 1;
        pending.push(std::cmp::Reverse((after(run.first_ms), false, number)));
        pending.push(std::cmp::Reverse((after(run.end_ms), true, number)));
        runs.push(run);
    }
    outcome(&runs[runs.len() / 3..])
}

fn outcome(runs: &[Run]) -> Outcome {
    let mut first: Vec<f64> = runs.iter().map(|run| run.first_ms).collect();
    first.sort_by(f64::total_cmp);
    let quantile = |percent: usize| first[(first.len() * percent / 100).min(first.len() - 1)];
    let on_time = first
        .iter()
        .filter(|&&ms| ms <= OBJECTIVE_MS as f64)
        .count();
    Outcome {
        mean_ms: first.iter().sum::<f64>() / first.len() as f64,
        p95_ms: quantile(95),
        p99_ms: quantile(99),
        again: runs.iter().map(|run| run.again).sum(),
        on_time: on_time as f64 / first.len() as f64,
    }
}
