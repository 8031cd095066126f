//! Orders to engines of both kinds while controllers pause, die and race, and the log is down.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use teaselchute::{
    core::{
        document::{
            BackendServer,
            Document,
            Kind,
            Model,
            Pool, //
        },
        host::{
            Host,
            Id, //
        },
        orders::{
            Action,
            Command,
            Controller,
            Event as Told,
            LoadedModel,
            Order,
            Outcome,
            Policy,
            Report, //
        },
        placement::{
            self,
            Target, //
        },
        state::{
            Position,
            Record,
            State, //
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

use crate::{
    driver::{
        Driver,
        Network,
        Place,
        Process,
        log::Log, //
    },
    options::Options,
};

const HOSTS: usize = 9;
const ENGINES: usize = 24;
const PLACES: usize = 3;

/// Time under faults, in milliseconds.
const RUN_MS: u64 = 3_600_000;

/// Quiet time after it, in milliseconds.
const SETTLE_MS: u64 = 600_000;

/// Time between two faults, in milliseconds.
const FAULT_EVERY_MS: u64 = 30_000;

/// Time between two changes of the document, in milliseconds.
const CHANGE_EVERY_MS: u64 = 240_000;

/// Time between two reads of the log by one host, in milliseconds.
const LOG_POLL_MS: u64 = 500;

/// Time after which a silent host is suspected, in milliseconds.
const DETECTION_MS: u64 = 2_000;

/// Rate of the weight store, in megabytes a second.
const STORE_MB_PER_S: u64 = 3_000;

/// Size of each model in the weight store, in megabytes.
const WEIGHTS_MB: u64 = 16_000;

const POOL: &str = "generate";

#[derive(Clone)]
enum Event {
    Tick,
    ReadLog,
    Append(Box<Record>),
    Told(Box<Told>),
    Order(Process, Box<Order>),
    Read(Process),
    Loaded(Name, Name, u64),
    Fault,
    Change,
    Restart(Process),
    LogBack,
}

/// A fake engine that needs time to load.
#[derive(Default)]
struct Engine {
    start: u64,
    models: BTreeMap<Name, LoadedModel>,
    /// What it remembers of fencing numbers in this life.
    fence: Option<u64>,
    /// Newest number that it ever obeyed, over all lives.
    newest: u64,
    /// Since when a stale order's effect stands.
    stale_since: Option<Instant>,
}

#[derive(Default)]
struct Seen {
    stale_checking: u64,
    stale_ignoring: u64,
    stale_effect_max_ms: u64,
    appends: u64,
    orders: u64,
    over_rate: u64,
    backlog_mb: u64,
    backlog_at: Instant,
}

struct Run {
    seed: u64,
    policy: Policy,
    driver: Driver<Event>,
    hosts: Vec<Host>,
    controllers: Vec<Controller>,
    /// Each host's copy of the agreed state, how far it has read, and when.
    states: Vec<(State, u64, Instant)>,
    /// Since when each host is silent.
    silent: Vec<Option<Instant>>,
    engines: Vec<Engine>,
    log: Log,
    document: Arc<Document>,
    platform: Process,
    quiet: bool,
    seen: Seen,
}

/// Measures our controllers and hasty ones.
pub fn measure(options: &Options) -> bool {
    let mut holds = true;
    for seed in options.seed..options.seed + options.runs {
        holds &= Run::new(seed, Policy::Conservative).finish();
        Run::new(seed, Policy::Eager).finish();
    }
    holds
}

impl Run {
    fn new(seed: u64, policy: Policy) -> Self {
        let network = Network {
            loss_permille: 20,
            double_permille: 20,
            hold_permille: 20,
            hold_ms: 3_000,
            ..Network::default()
        };
        let mut driver = Driver::new(seed, network);
        let place = |index: usize| Place {
            region: index % PLACES,
            data_centre: index % PLACES,
        };
        for index in 0..HOSTS {
            driver.add(place(index));
        }
        for index in 0..ENGINES {
            driver.add(place(index));
        }
        let platform = driver.add(Place::default());
        let hosts: Vec<Host> = (0..HOSTS).map(|index| host(index, 1)).collect();
        let controller = |host: &Host| Controller::new(host.id.clone(), seed).with_policy(policy);
        let mut run = Self {
            seed,
            policy,
            controllers: hosts.iter().map(controller).collect(),
            hosts,
            states: (0..HOSTS)
                .map(|_| (State::default(), 0, Instant::ZERO))
                .collect(),
            silent: vec![None; HOSTS],
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            log: Log::default(),
            document: Arc::new(document(1)),
            platform,
            quiet: false,
            seen: Seen::default(),
            driver,
        };
        for index in 0..HOSTS {
            let offset_ms = run.driver.draw(LOG_POLL_MS);
            run.driver.put(offset_ms, index, Event::Tick);
            run.driver.put(offset_ms, index, Event::ReadLog);
        }
        run.driver.put(120_000, platform, Event::Fault);
        run.driver.put(300_000, platform, Event::Change);
        run
    }

    fn finish(mut self) -> bool {
        self.run_until(RUN_MS);
        self.quiet = true;
        self.log.down = false;
        self.driver.network = Network::default();
        self.run_until(RUN_MS + SETTLE_MS);
        self.report()
    }

    fn run_until(&mut self, ms: u64) {
        while let Some((process, event)) = self.driver.next(Instant::from_ms(ms)) {
            self.handle(process, event);
            self.mend();
        }
    }

    fn handle(&mut self, process: Process, event: Event) {
        match event {
            Event::Tick => {
                self.driver.put(250, process, Event::Tick);
                self.step(process, Told::Tick);
            }
            Event::ReadLog => {
                self.driver.put(LOG_POLL_MS, process, Event::ReadLog);
                self.read_log(process);
            }
            Event::Append(record) => self.append(*record),
            Event::Told(told) => self.step(process, *told),
            Event::Order(host, order) => self.order(process, host, &order),
            Event::Read(host) => {
                let engine = &self.engines[process - HOSTS];
                let report = Report {
                    incarnation: engine.start,
                    models: engine.models.values().cloned().collect(),
                    fence: engine.fence,
                };
                let told = Told::Report {
                    pool: Name::from(POOL),
                    server: engine_name(process - HOSTS),
                    report: Some(report),
                };
                self.driver.send(process, host, Event::Told(Box::new(told)));
            }
            Event::Loaded(model, version, start) => {
                let engine = &mut self.engines[process - HOSTS];
                if engine.start == start
                    && let Some(loaded) = engine.models.get_mut(&model)
                    && loaded.version == version
                {
                    loaded.ready = true;
                }
            }
            Event::Fault => self.fault(),
            Event::Change => self.change(),
            Event::Restart(host) => self.restart(host),
            Event::LogBack => self.log.down = false,
        }
    }

    fn read_log(&mut self, process: Process) {
        if self.log.down || self.driver.is_cut(process, self.platform) {
            return;
        }
        let now = self.driver.now();
        let (state, next, fresh_at) = &mut self.states[process];
        for entry in self.log.read(*next).entries {
            let position = Position {
                generation: 0,
                next: entry.offset + 1,
            };
            state.apply(position, &entry.record);
            *next = entry.offset + 1;
        }
        *fresh_at = now;
    }

    fn append(&mut self, record: Record) {
        if self.log.down {
            return;
        }
        // The answer may be lost: the controller looks at the state only.
        self.log.append(record);
        self.seen.appends += 1;
    }

    fn view(&self, process: Process) -> View {
        let now = self.driver.now();
        let members = (0..HOSTS).filter(|other| *other != process).map(|other| {
            let silent = self.silent[other];
            let is_known = silent.is_some_and(|since| now.since_ms(since) >= DETECTION_MS);
            Member {
                host: self.hosts[other].clone(),
                health: if is_known {
                    Health::Suspect
                } else {
                    Health::Alive
                },
                roster_epoch: 0,
                ticket_generation: 0,
                serving_since: Some(Instant::ZERO),
            }
        });
        View {
            own: self.hosts[process].clone(),
            serving: true,
            serving_since: Some(Instant::ZERO),
            mutation: teaselchute::core::mutation::Mutation::None,
            leaving: false,
            document: self.document.clone(),
            position: Position::default(),
            fresh_at: self.states[process].2,
            drained: BTreeSet::new(),
            roster: Default::default(),
            previous_roster: Default::default(),
            members: members.collect(),
        }
    }

    fn step(&mut self, process: Process, told: Told) {
        if !self.driver.is_up(process) {
            return;
        }
        let now = self.driver.now();
        let view = self.view(process);
        let claims = self.states[process].0.claims.clone();
        for action in self.controllers[process].step(now, &view, &claims, told) {
            match action {
                Action::Order(order) => {
                    let Some(target) = engine_process(&order.server) else {
                        continue;
                    };
                    let event = Event::Order(process, Box::new(order));
                    self.driver.send(process, target, event);
                }
                Action::Read { server, .. } => {
                    if let Some(target) = engine_process(&server) {
                        self.driver.send(process, target, Event::Read(process));
                    }
                }
                Action::Claim(claim) => {
                    if !self.driver.is_cut(process, self.platform) {
                        // An append may take effect late.
                        let late_ms = match self.driver.chance(100) {
                            true => self.driver.draw(10_000),
                            false => 20,
                        };
                        let record = Event::Append(Box::new(Record::Claim(claim)));
                        self.driver.put(late_ms, self.platform, record);
                    }
                }
                Action::Decide(_) => {}
            }
        }
    }

    fn order(&mut self, process: Process, host: Process, order: &Order) {
        let now = self.driver.now();
        let number = process - HOSTS;
        let checks = checks_fencing(number);
        self.seen.orders += 1;
        let engine = &mut self.engines[number];
        let outcome = match engine.fence {
            Some(newer) if checks && newer > order.fence => Outcome::Fenced { newer },
            _ => Outcome::Obeyed,
        };
        if outcome == Outcome::Obeyed {
            let is_stale = order.fence < engine.newest;
            engine.newest = engine.newest.max(order.fence);
            engine.fence = Some(engine.fence.unwrap_or(0).max(order.fence));
            if is_stale && checks {
                self.seen.stale_checking += 1;
            } else if is_stale {
                self.seen.stale_ignoring += 1;
                engine.stale_since.get_or_insert(now);
            }
            self.obey(process, &order.command);
        }
        let told = Told::Answer {
            id: order.id,
            outcome,
        };
        self.driver.send(process, host, Event::Told(Box::new(told)));
    }

    fn obey(&mut self, process: Process, command: &Command) {
        let now = self.driver.now();
        let engine = &mut self.engines[process - HOSTS];
        match command {
            Command::Load {
                model,
                version,
                adapters,
            } => {
                let has = engine.models.get(model);
                if has.is_some_and(|it| it.version == *version && it.adapters == *adapters) {
                    return;
                }
                let loaded = LoadedModel {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: adapters.clone(),
                    ready: false,
                };
                engine.models.insert(model.clone(), loaded);
                let event = Event::Loaded(model.clone(), version.clone(), engine.start);
                let load_ms = WEIGHTS_MB * 1_000 * PLACES as u64 / STORE_MB_PER_S;
                self.driver.put(load_ms, process, event);
                self.store(now);
            }
            Command::Unload { model, version } => {
                if engine
                    .models
                    .get(model)
                    .is_some_and(|it| it.version == *version)
                {
                    engine.models.remove(model);
                }
            }
        }
    }

    /// Counts a load at the weight store, which serves all at its one rate.
    fn store(&mut self, now: Instant) {
        let served_mb = now.since_ms(self.seen.backlog_at) * STORE_MB_PER_S / 1_000;
        self.seen.backlog_mb = self.seen.backlog_mb.saturating_sub(served_mb) + WEIGHTS_MB;
        self.seen.backlog_at = now;
        // One load for each group may be under way, and one may have been held back on its way.
        if self.seen.backlog_mb > (PLACES as u64 + 1) * WEIGHTS_MB {
            self.seen.over_rate += 1;
        }
    }

    /// Ends the count of a stale order's effect once the engine's group is as wanted.
    fn mend(&mut self) {
        let now = self.driver.now();
        for place in 0..PLACES {
            let is_stale = |number: &usize| self.engines[*number].stale_since.is_some();
            let stale: Vec<usize> = group(place).filter(is_stale).collect();
            if stale.is_empty() || !self.steps(place).is_empty() {
                continue;
            }
            for number in stale {
                if let Some(since) = self.engines[number].stale_since.take() {
                    let lasted_ms = now.since_ms(since);
                    self.seen.stale_effect_max_ms = self.seen.stale_effect_max_ms.max(lasted_ms);
                }
            }
        }
    }

    /// Returns what is left to do in a data centre, by the true state of its engines.
    fn steps(&self, place: usize) -> Vec<placement::Step> {
        let engines: Vec<placement::Engine> = group(place)
            .map(|number| placement::Engine {
                server: engine_name(number),
                memory_mb: MEMORY_MB,
                loaded: self.engines[number].models.values().cloned().collect(),
            })
            .collect();
        let models = self.document.models.iter();
        let wants: Vec<Target> = models
            .map(|(name, model)| Target {
                model: name.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
                memory_mb: model.memory_mb,
                weights_mb: model.weights_mb,
                replicas: model.least_replicas,
                pinned: model.pinned.clone(),
                forbidden: model.forbidden.clone(),
            })
            .collect();
        placement::plan(&engines, &wants)
    }

    fn fault(&mut self) {
        if self.quiet {
            return;
        }
        self.driver.put(FAULT_EVERY_MS, self.platform, Event::Fault);
        let host = self.driver.draw(HOSTS as u64) as usize;
        if !self.driver.is_up(host) || self.driver.is_paused(host) {
            return;
        }
        let now = self.driver.now();
        match self.driver.draw(5) {
            0 => {
                self.driver.crash(host);
                self.silent[host] = Some(now);
                let back_ms = 1_000 + self.driver.draw(60_000);
                self.driver
                    .put(back_ms, self.platform, Event::Restart(host));
            }
            1 => {
                let for_ms = 1_000 + self.driver.draw(180_000);
                self.driver.pause(host, for_ms);
                self.silent[host] = Some(now);
                // It is heard again once it wakes.
                self.driver.put(for_ms, self.platform, Event::Restart(host));
            }
            2 => {
                let place = self.driver.place(host);
                let other = Place {
                    region: (place.region + 1) % PLACES,
                    data_centre: (place.region + 1) % PLACES,
                };
                let for_ms = self.driver.draw(120_000);
                self.driver.cut(place, other, for_ms);
                self.driver.cut(other, place, for_ms);
            }
            3 => {
                self.log.down = true;
                let for_ms = 1_000 + self.driver.draw(180_000);
                self.driver.put(for_ms, self.platform, Event::LogBack);
            }
            _ => {
                let number = self.driver.draw(ENGINES as u64) as usize;
                let engine = &mut self.engines[number];
                engine.start += 1;
                engine.models.clear();
                engine.fence = None;
            }
        }
    }

    fn restart(&mut self, host_index: Process) {
        self.silent[host_index] = None;
        if self.driver.is_up(host_index) {
            return;
        }
        let incarnation = self.hosts[host_index].id.incarnation + 1;
        self.hosts[host_index] = host(host_index, incarnation);
        let id = self.hosts[host_index].id.clone();
        let seed = self.seed ^ incarnation;
        self.controllers[host_index] = Controller::new(id, seed).with_policy(self.policy);
        self.states[host_index] = (State::default(), 0, Instant::ZERO);
        self.driver.start(host_index);
        self.driver.put(0, host_index, Event::ReadLog);
        self.driver.put(1, host_index, Event::Tick);
    }

    fn change(&mut self) {
        if self.quiet {
            return;
        }
        self.driver
            .put(CHANGE_EVERY_MS, self.platform, Event::Change);
        let version = 2 + self.driver.now().as_ms() / CHANGE_EVERY_MS;
        self.document = Arc::new(document(version));
    }

    fn report(self) -> bool {
        let hours = (RUN_MS + SETTLE_MS) as f64 / 3_600_000.0;
        let wrong: usize = (0..PLACES).map(|place| self.steps(place).len()).sum();
        let lasting = self
            .engines
            .iter()
            .filter(|it| it.stale_since.is_some())
            .count();
        let is_ours = self.policy == Policy::Conservative;
        let mut line = serde_json::json!({
            "case": "orders",
            "variant": if is_ours { "teaselchute" } else { "hasty" },
            "seed": self.seed,
            "orders": self.seen.orders,
            "stale_orders_obeyed_checking": self.seen.stale_checking,
            "stale_orders_obeyed_ignoring": self.seen.stale_ignoring,
            "stale_effect_max_ms": self.seen.stale_effect_max_ms,
            "stale_effects_lasting": lasting,
            "wrong_at_end": wrong,
            "appends_per_host_per_hour": self.seen.appends as f64 / HOSTS as f64 / hours,
            "weight_store_over_rate": self.seen.over_rate,
        });
        if !is_ours {
            line["baseline"] = true.into();
        }
        println!("{line}");
        let seen = &self.seen;
        seen.stale_checking == 0 && wrong == 0 && lasting == 0 && seen.over_rate == 0
    }
}

/// Memory of each engine, in megabytes.
const MEMORY_MB: u64 = 80_000;

fn document(version: u64) -> Document {
    let mut document = Document::default();
    let servers = (0..ENGINES).map(|number| {
        let server = BackendServer {
            address: ([10, 1, 0, 1], 9_000).into(),
            data_centre: Name::from(format!("data-centre-{}", number % PLACES)),
            checks_fencing: checks_fencing(number),
            memory_mb: MEMORY_MB,
        };
        (engine_name(number), Arc::new(server))
    });
    let pool = Pool {
        kind: Kind::Engine,
        cold_limit: 2,
        full_limit: 16,
        warm_up_ms: 20_000,
        call_timeout_ms: 4_000,
        price_milli: 1,
        servers: servers.collect(),
    };
    document.pools.insert(Name::from(POOL), Arc::new(pool));
    for index in 0..4 {
        // One model changes its version with each change, the others now and then.
        let own_version = if index == 0 { version } else { version / 4 };
        let model = Model {
            pool: Name::from(POOL),
            version: Name::from(format!("v{own_version}")),
            adapters: Vec::new(),
            memory_mb: 20_000,
            weights_mb: WEIGHTS_MB,
            least_replicas: 3,
            pinned: Vec::new(),
            forbidden: Vec::new(),
        };
        document
            .models
            .insert(Name::from(format!("model-{index}")), Arc::new(model));
    }
    document.policies.weight_store_mb_per_second = STORE_MB_PER_S;
    document
}

fn checks_fencing(number: usize) -> bool {
    (number / PLACES).is_multiple_of(2)
}

fn engine_name(number: usize) -> Name {
    Name::from(format!("engine-{number:02}"))
}

fn engine_process(name: &Name) -> Option<Process> {
    let number: usize = name.strip_prefix("engine-")?.parse().ok()?;
    Some(HOSTS + number)
}

fn group(place: usize) -> impl Iterator<Item = usize> {
    (0..ENGINES).filter(move |number| number % PLACES == place)
}

fn host(index: usize, incarnation: u64) -> Host {
    let last = index as u8;
    Host {
        id: Id {
            name: Name::from(format!("entry-{index}")),
            incarnation,
        },
        data_centre: Name::from(format!("data-centre-{}", index % PLACES)),
        region: Name::from(format!("region-{}", index % PLACES)),
        http: ([10, 0, 0, last], 8_080).into(),
        peer: ([10, 0, 0, last], 7_070).into(),
        weight: 1,
    }
}
