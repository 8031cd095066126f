//! Pools of nine hosts before fake backend servers, with callers, in virtual time.
//!
//! The pools are those of the daemon. Stages, retries and callers are played by a few lines, so
//! that only routing is measured: see `docs/routing-design.md`.

pub mod backend;
pub mod callers;
pub mod hosts;
pub mod plan;
mod servers;

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::{
        call::{
            self,
            Body,
            Call,
            Completion,
            Incarnation,
            Load, //
        },
        document::Document,
        refusal::Execution,
        routing::{
            self,
            policy::Policy, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

use self::{
    backend::{
        Backend,
        Key, //
    },
    callers::{
        Outcome,
        Request, //
    },
    hosts::Host,
    plan::{
        HOSTS,
        SHAPES, //
    },
};
use crate::driver::{
    Driver,
    Network,
    Place,
    Process, //
};

/// Time between two ticks of a host, in milliseconds.
const TICK_MS: u64 = 50;

/// Time between two load reports of a server, in milliseconds.
const REPORT_MS: u64 = 500;

/// Most attempts of one stage.
const ATTEMPTS: u32 = 4;

/// Bytes of a request.
const REQUEST_BYTES: usize = 12_000;

/// Bytes of an answer.
const ANSWER_BYTES: u64 = 3_000;

/// What happens in the run.
#[derive(Clone, Debug)]
pub enum Event {
    /// The world: the next request is due.
    Arrive,
    /// The world: a step of the case.
    Step(u64),
    /// Host: time passed.
    Tick,
    /// Host: a request came.
    Request(usize),
    /// Host: a stage is offered again.
    Again(usize),
    /// Host: the caller hangs up.
    HangUp(usize),
    /// Host: the view changed.
    View(Box<View>),
    /// Host: something for a pool, and of which server and coldness it is evidence.
    Pool {
        /// The pool.
        pool: usize,
        /// What.
        event: routing::Event,
        /// Index of the server and its coldness.
        evidence: Option<(usize, u64)>,
    },
    /// Server: a call comes.
    Call(Key),
    /// Server: a call is done, in this life.
    Done(Key, Incarnation, Instant),
    /// Server: a call is cancelled.
    Abort(Key),
    /// Server: it reports its load.
    Report,
    /// Server: it starts again.
    Start,
}

/// What differs between cases.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The policy.
    pub policy: Policy,
    /// Load of the language models in parts of a hundred of their capacity.
    pub load_percent: u64,
    /// Load until requests count.
    pub first_load_percent: u64,
    /// Requests count from here.
    pub from_ms: u64,
    /// Requests end here.
    pub until_ms: u64,
    /// The run ends here.
    pub end_ms: u64,
    /// Longest delay of a load report.
    pub report_lag_ms: u64,
    /// Chance in a thousand that a load report is lost.
    pub report_loss_permille: u64,
    /// Chance in a thousand that an answer is lost with its connection.
    pub silence_permille: u64,
    /// Chance in a thousand that a host pauses between its decision and its send.
    pub pause_permille: u64,
}

/// Sums of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sums {
    /// Sends beyond what a cold server carries, by hosts with evidence.
    pub over_capacity: u64,
    /// Sends beyond what a cold server carries, before any evidence.
    pub before_evidence: u64,
    /// Most calls on a cold server beyond what it carries.
    pub peak_over_limit: u64,
    /// First attempts.
    pub calls: u64,
    /// Further attempts.
    pub retries: u64,
    /// Refusals as not run of calls that were sent.
    pub false_not_run: u64,
    /// Price of all calls, in millionths.
    pub price_micro: u64,
    /// Bytes between regions.
    pub far_bytes: u64,
    /// Servers that fell over.
    pub fell_over: u64,
    /// Refusals.
    pub refused: u64,
}

/// A run.
pub struct Fleet {
    /// Time, network and randomness.
    pub driver: Driver<Event>,
    /// What differs between cases.
    pub setting: Setting,
    /// The document.
    pub document: Arc<Document>,
    /// Hosts, of which number `n` is process `n + 1`.
    pub hosts: Vec<Host>,
    /// Servers of all pools.
    pub servers: Vec<Backend>,
    /// All requests.
    pub requests: Vec<Request>,
    /// Sums.
    pub sums: Sums,
    evidence: BTreeMap<(Process, usize), u64>,
    luck: BTreeMap<Key, usize>,
    first_server: BTreeMap<usize, usize>,
    body: Body,
    seed: u64,
    /// Randomness of callers, so that all policies see the same requests.
    callers: Pcg64Mcg,
}

impl Fleet {
    /// Makes hosts and cold servers.
    pub fn new(seed: u64, setting: Setting) -> Self {
        let mut driver = Driver::new(seed, Network::default());
        let document = Arc::new(plan::document());
        driver.add(place(0));
        for number in 0..HOSTS {
            driver.add(place(number % 3));
        }
        let mut servers = Vec::new();
        let mut first_server = BTreeMap::new();
        for (pool, shape) in SHAPES.iter().enumerate() {
            first_server.insert(pool, servers.len());
            for number in 0..shape.servers {
                let process = driver.add(place(plan::data_centre_of(number)));
                let warm_up_percent = 50 + driver.draw(51);
                servers.push(Backend::new(pool, number, process, warm_up_percent));
            }
        }
        let mut fleet = Self {
            driver,
            setting,
            document,
            hosts: Vec::new(),
            servers,
            requests: Vec::new(),
            sums: Sums::default(),
            evidence: BTreeMap::new(),
            luck: BTreeMap::new(),
            first_server,
            body: Arc::from(vec![0; REQUEST_BYTES]),
            seed,
            callers: Pcg64Mcg::seed_from_u64(seed),
        };
        for number in 0..HOSTS {
            let view = fleet.first_view(number);
            fleet.hosts.push(Host::new(view));
            let jitter_ms = fleet.driver.draw(TICK_MS);
            fleet.driver.put(jitter_ms, number + 1, Event::Tick);
        }
        for server in 0..fleet.servers.len() {
            let jitter_ms = fleet.driver.draw(REPORT_MS);
            let process = fleet.servers[server].process;
            fleet.driver.put(jitter_ms, process, Event::Report);
        }
        fleet.driver.put(0, 0, Event::Arrive);
        fleet.driver.put(0, 0, Event::Step(0));
        fleet
    }

    /// Makes all servers warm, as after a long run.
    pub fn warm_all(&mut self) {
        for server in &mut self.servers {
            server.warm_up_percent = 0;
            server.warming_since = Some(Instant::ZERO);
        }
    }

    /// Runs to the end. The case sees each of its steps, one every 100 ms.
    pub fn run(&mut self, mut step: impl FnMut(&mut Self, u64)) {
        let end = Instant::from_ms(self.setting.end_ms);
        while let Some((process, event)) = self.driver.next(end) {
            match event {
                Event::Arrive => self.arrive(),
                Event::Step(number) => {
                    step(self, number);
                    self.driver.put(100, 0, Event::Step(number + 1));
                }
                Event::Tick => self.tick(process),
                Event::Request(request) => self.offer(request),
                Event::Again(request) => self.offer(request),
                Event::HangUp(request) => self.hang_up(request),
                Event::View(view) => self.hosts[process - 1].view = *view,
                Event::Pool {
                    pool,
                    event,
                    evidence,
                } => self.pool_event(process, pool, event, evidence),
                event => self.server_event(process, event),
            }
        }
    }

    /// Returns the index of a server.
    pub fn server(&self, pool: usize, number: usize) -> usize {
        self.first_server[&pool] + number
    }

    /// Fails the requests of a host that crashed: their callers' connections are reset.
    pub fn fail_requests_of(&mut self, process: Process) {
        for request in &mut self.requests {
            if request.host == process && request.outcome == Outcome::Open {
                request.outcome = Outcome::Failed;
            }
        }
    }

    /// Forgets what evidence a host had before it started anew: all servers are cold to it.
    pub fn forget_evidence(&mut self, process: Process) {
        self.evidence.retain(|(host, _), _| *host != process);
        for (index, server) in self.servers.iter().enumerate() {
            self.evidence.insert((process, index), server.epoch);
        }
    }

    fn arrive(&mut self) {
        let now = self.driver.now();
        if now.as_ms() >= self.setting.until_ms {
            return;
        }
        let request = self.draw_request(now);
        let index = self.requests.len();
        let (process, deadline, late) = (request.host, request.deadline, request.late);
        self.requests.push(request);
        self.driver.put(1, process, Event::Request(index));
        if !late {
            let left_ms = deadline.since_ms(now);
            self.driver.put(left_ms, process, Event::HangUp(index));
        }
        let gap_us = 1_000_000 * 100 / self.rate_percent(now).max(1);
        // Gaps are drawn in microseconds and kept in whole milliseconds by chance.
        let gap_us = self.draw(2 * gap_us + 1);
        let rest = u64::from(self.draw(1_000) < gap_us % 1_000);
        self.driver.put(gap_us / 1_000 + rest, 0, Event::Arrive);
    }

    /// Returns hundredfold requests a second, pipelines and lookups together.
    fn rate_percent(&self, now: Instant) -> u64 {
        let load_percent = if now.as_ms() < self.setting.from_ms {
            self.setting.first_load_percent
        } else {
            self.setting.load_percent
        };
        // Two of ten seconds bring a burst, and the mean stays.
        let burst_percent = if now.as_ms() % 10_000 < 2_000 {
            160
        } else {
            85
        };
        plan::capacity_rps() * load_percent * burst_percent / 100 + LOOKUPS_RPS * 100
    }

    fn draw_request(&mut self, now: Instant) -> Request {
        let pipelines = self.rate_percent(now) - LOOKUPS_RPS * 100;
        let lookup = self.draw(pipelines + LOOKUPS_RPS * 100) >= pipelines;
        let small = plan::capacity_rps() * SMALL_PERCENT;
        let from_small = self.draw(pipelines.max(small * 4)) < small * 4;
        let organisation = if from_small { 2 + self.draw(4) } else { 1 };
        let draw = self.draw(100);
        let (subject, pools, priority) = match (lookup, draw) {
            (true, 0..40) => ("catalogue-lookup", vec![6], 1),
            (true, 40..80) => ("ledger-lookup", vec![5], 1),
            (true, _) => ("freight-lookup", vec![7], 1),
            (false, 0..60) => ("notes", vec![1, 2, 3, 0], u8::from(draw >= 12)),
            (false, 60..88) => ("prices", vec![2, 0], u8::from(draw >= 64)),
            (false, _) => ("plans", vec![0], 2),
        };
        // The failing service is one of the large organisation's.
        let organisation = if subject == "freight-lookup" {
            1
        } else {
            organisation
        };
        let subject = Name::from(subject);
        let pipeline = self.document.pipelines.get(&subject);
        let (deadline_ms, late) = match pipeline {
            Some(pipeline) => (pipeline.deadline_ms, pipeline.late_answer_wanted),
            None => (1_000, false),
        };
        let host = self.draw_host();
        Request {
            organisation: Name::from(format!("o{organisation}")),
            subject,
            pools,
            priority,
            host,
            at: now,
            deadline: now.after_ms(deadline_ms),
            late,
            stage: 0,
            attempt: 0,
            avoid: Vec::new(),
            call: None,
            outcome: Outcome::Open,
        }
    }

    fn draw_host(&mut self) -> Process {
        let up: Vec<Process> = (1..=HOSTS).filter(|&it| self.driver.is_up(it)).collect();
        up[self.draw(up.len() as u64) as usize]
    }

    fn draw(&mut self, end: u64) -> u64 {
        self.callers.random_range(0..end.max(1))
    }

    /// Draws for one attempt of one stage, so that all policies meet the same luck.
    pub(super) fn luck(&self, key: Key, what: u64, end: u64) -> u64 {
        let Some(index) = self.luck.get(&key) else {
            return end - 1;
        };
        let request = &self.requests[*index];
        let words = [
            self.seed,
            *index as u64,
            request.stage as u64,
            u64::from(request.attempt),
            what,
        ];
        let bytes: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        xxhash_rust::xxh3::xxh3_64(&bytes) % end
    }

    fn offer(&mut self, index: usize) {
        let request = &self.requests[index];
        if request.outcome != Outcome::Open {
            return;
        }
        let host = &mut self.hosts[request.host - 1];
        let id = host.next_call();
        host.calls.insert(id, index);
        let pool = request.pools[request.stage];
        let call = Call {
            id,
            request: call::Request {
                organisation: request.organisation.clone(),
                id: Name::from(format!("r{index}")),
            },
            stage: request.stage,
            pipeline: request.subject.clone(),
            pool: Name::from(SHAPES[pool].name),
            model: None,
            attempt: request.attempt,
            idempotent: true,
            priority: request.priority,
            deadline: request.deadline,
            late_answer_wanted: request.late,
            prefix_hash: 0,
            failed_servers: request.avoid.clone(),
            resume_from: 0,
            body: self.body.clone(),
            previous: None,
        };
        let (process, first) = (request.host, request.attempt == 0);
        self.luck
            .insert((process, self.hosts[process - 1].incarnation, id), index);
        self.requests[index].call = Some(id);
        self.sums.calls += u64::from(first);
        self.pool_event(process, pool, routing::Event::Offer(call), None);
    }

    fn hang_up(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.outcome != Outcome::Open {
            return;
        }
        request.outcome = Outcome::Failed;
        let Some(id) = request.call.take() else {
            return;
        };
        let (process, pool) = (request.host, request.pools[request.stage]);
        self.pool_event(process, pool, routing::Event::Cancel(id), None);
    }

    /// Takes the end of a call to its request.
    fn ended(&mut self, process: Process, id: call::Id, server: &Name, end: &Completion) {
        let now = self.driver.now();
        let Some(index) = self.hosts[process - 1].calls.remove(&id) else {
            return;
        };
        let request = &mut self.requests[index];
        if request.outcome != Outcome::Open || request.call != Some(id) {
            return;
        }
        request.call = None;
        if matches!(end, Completion::Answered(_)) {
            request.stage += 1;
            request.attempt = 0;
            request.avoid.clear();
            if request.stage == request.pools.len() {
                request.outcome = Outcome::Answered(now);
                return;
            }
            return self.offer(index);
        }
        request.attempt += 1;
        request.avoid.push(server.clone());
        let left = request.late || now < request.deadline;
        if request.attempt >= ATTEMPTS && !request.late || !left {
            request.outcome = Outcome::Failed;
            return;
        }
        if request.late && request.attempt.is_multiple_of(ATTEMPTS) {
            request.avoid.clear();
        }
        self.again(process, index);
    }

    fn again(&mut self, process: Process, index: usize) {
        let attempt = u64::from(self.requests[index].attempt.min(5));
        let jitter_ms = 10 + self.driver.draw(40 << attempt);
        self.driver.put(jitter_ms, process, Event::Again(index));
    }

    fn refused(
        &mut self,
        process: Process,
        id: call::Id,
        refusal: &teaselchute::core::refusal::Refusal,
    ) {
        self.sums.refused += 1;
        let sent = self.hosts[process - 1].sent.contains(&id);
        self.sums.false_not_run += u64::from(sent && refusal.run == Execution::NotRun);
        let Some(index) = self.hosts[process - 1].calls.remove(&id) else {
            return;
        };
        let request = &mut self.requests[index];
        if request.outcome != Outcome::Open || request.call != Some(id) {
            return;
        }
        request.call = None;
        // A plan that was begun is kept until it is answered.
        if request.late && request.attempt > 0 {
            return self.again(process, index);
        }
        request.outcome = Outcome::Refused;
    }
}

/// Lookups a second, besides the pipelines.
const LOOKUPS_RPS: u64 = 50;

/// Load of each small organisation, in parts of a hundred of capacity.
const SMALL_PERCENT: u64 = 4;

fn place(data_centre: usize) -> Place {
    Place {
        region: data_centre,
        data_centre,
    }
}

/// Makes a load report.
fn load(server: &Backend) -> Load {
    Load {
        incarnation: server.incarnation,
        sequence: server.reports,
        running: server.running(),
        waiting: 0,
    }
}
