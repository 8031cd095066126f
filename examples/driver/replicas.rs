//! Replicas alone under the driver, with the fake log: for the measurement and tests of the state.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use teaselchute::{
    core::{
        host::{
            Host,
            Id, //
        },
        log::{
            self,
            Offset,
            Token, //
        },
        replica::{
            self,
            Action,
            Answer,
            Message,
            Policy,
            Replica,
            Requester, //
        },
        state::{
            Position,
            Record,
            State,
            Verdict, //
        },
        view::{
            Health,
            Member, //
        },
    },
    names::Name,
    time::Instant, //
};

use super::{
    Driver,
    Network,
    Place,
    Process,
    log::Log, //
};

/// Time between two ticks of a host, in milliseconds.
const TICK_MS: u64 = 50;

/// Time after which a host gives up on an answer of the log, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 2_000;

/// Time after which others suspect a host that stopped, in milliseconds.
const SUSPECT_MS: u64 = 1_500;

/// Time after which others know that a host that stopped is gone, in milliseconds.
const GONE_MS: u64 = 10_000;

/// Regions in which the hosts stand.
const REGIONS: usize = 3;

/// What happens to a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A host's clock ticks.
    Tick,
    /// A message reached a host.
    Message(Id, Id, Box<Message>),
    /// A request of a host reached the log.
    Ask(Process, Box<log::Action>),
    /// An answer of the log reached a host.
    Answer(Box<log::Event>),
    /// A host gives up on the log.
    TimedOut(Token),
    /// The run stops here for a while.
    Stop,
}

/// One accepted record, as the log's order makes it.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// When it landed.
    pub at: Instant,
    /// Its position.
    pub position: Position,
}

/// Chances of the log's faults, in a thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// The answer to an append is lost.
    pub lost_permille: u64,
    /// An append takes effect late.
    pub late_permille: u64,
}

/// Hosts with nothing but their replicas, and the log.
pub struct Replicas {
    /// The driver.
    pub driver: Driver<Event>,
    /// The log.
    pub log: Log,
    /// Chances of the log's faults.
    pub log_faults: LogFaults,
    /// Replicas by process, `None` while the host is down.
    pub nodes: Vec<Option<Replica>>,
    /// Hosts by process.
    pub hosts: Vec<Host>,
    /// Answers to proposals.
    pub answers: BTreeMap<Requester, Answer>,
    /// Process of the log.
    pub platform: Process,
    /// What the log's order makes of its records, while it loses none.
    pub truth: State,
    /// Position of the truth.
    pub truth_position: Position,
    /// Records that were accepted, by id.
    pub accepted: BTreeMap<Name, Accepted>,
    /// Whether the run writes down what happens.
    pub trace: bool,
    /// Truths by the count of records that make them, for a log that loses records.
    truths: BTreeMap<Offset, State>,
    /// Hosts that stopped, with the time.
    stopped: Vec<(Host, Instant)>,
    waiting: BTreeSet<(Process, u64, Token)>,
    policy: Policy,
    seed: u64,
    requester: u64,
}

impl Replicas {
    /// Starts hosts, spread over three regions with one data centre each.
    pub fn new(seed: u64, hosts: usize, policy: Policy, network: Network) -> Self {
        let mut replicas = Self {
            driver: Driver::new(seed, network),
            log: Log::default(),
            log_faults: LogFaults::default(),
            nodes: Vec::new(),
            hosts: Vec::new(),
            answers: BTreeMap::new(),
            platform: hosts,
            truth: State::default(),
            truth_position: Position::default(),
            accepted: BTreeMap::new(),
            trace: false,
            truths: BTreeMap::new(),
            stopped: Vec::new(),
            waiting: BTreeSet::new(),
            policy,
            seed,
            requester: 0,
        };
        for process in 0..hosts {
            let place = process % REGIONS;
            replicas.driver.add(Place {
                region: place,
                data_centre: place,
            });
            replicas.hosts.push(host(process, 0));
            replicas.nodes.push(None);
        }
        replicas.driver.add(Place::default());
        for process in 0..hosts {
            replicas.start(process);
        }
        replicas
    }

    /// Starts a host, as another incarnation than before.
    pub fn start(&mut self, process: Process) {
        self.driver.start(process);
        let life = self.driver.life(process);
        self.hosts[process] = host(process, life);
        let seed = self.seed ^ (process as u64) << 32 ^ life << 48;
        let id = self.hosts[process].id.clone();
        self.nodes[process] = Some(Replica::new(id, self.policy, seed));
        let delay_ms = self.driver.draw(TICK_MS);
        self.driver.put(delay_ms, process, Event::Tick);
    }

    /// Crashes a host.
    pub fn crash(&mut self, process: Process) {
        self.driver.crash(process);
        self.nodes[process] = None;
        let stopped = (self.hosts[process].clone(), self.driver.now());
        self.stopped.push(stopped);
    }

    /// Makes the log lose its newest records, and returns ids that no host has ever seen accepted.
    pub fn lose(&mut self, count: usize) -> Vec<Name> {
        self.driver.count("log_shorter");
        self.log.lose(count);
        let end = self.log.end();
        let position = Position {
            next: end,
            ..self.truth_position
        };
        self.truth_position = position;
        self.truth = self.truths.get(&end).cloned().unwrap_or_default();
        let nodes = &self.nodes;
        let is_held = |id: &Name| {
            let mut states = nodes.iter().flatten().map(Replica::state);
            states.any(|state| state.verdicts.get(id).is_some())
        };
        let lost = self.accepted.iter();
        let lost = lost.filter(|(id, accepted)| accepted.position > position && !is_held(id));
        let unseen: Vec<Name> = lost.map(|(id, _)| id.clone()).collect();
        for id in &unseen {
            self.accepted.remove(id);
        }
        unseen
    }

    /// Returns the hosts that are up.
    pub fn up(&self) -> Vec<Process> {
        let hosts = 0..self.hosts.len();
        hosts
            .filter(|process| self.nodes[*process].is_some())
            .collect()
    }

    /// Returns the replica of a host that is up.
    pub fn node(&self, process: Process) -> &Replica {
        self.nodes[process].as_ref().expect("host is up")
    }

    /// Proposes a record at a host, and returns who waits for the answer.
    pub fn propose(&mut self, process: Process, record: Record) -> Requester {
        self.requester += 1;
        let requester = Requester(self.requester);
        let event = replica::Event::Propose {
            requester: Some(requester),
            record,
        };
        self.step(process, event);
        requester
    }

    /// Runs for some time.
    pub fn run_ms(&mut self, ms: u64) {
        let end = self.driver.now().after_ms(ms);
        let platform = self.platform;
        self.driver.put(ms, platform, Event::Stop);
        while let Some((process, event)) = self.driver.next(end) {
            match event {
                Event::Tick => self.tick(process),
                Event::Message(from, to, message) => self.message(process, from, &to, *message),
                Event::Ask(host, action) => self.log_asked(host, *action),
                Event::Answer(event) => self.step(process, replica::Event::Log(*event)),
                Event::TimedOut(token) => self.timed_out(process, token),
                Event::Stop => return,
            }
        }
    }

    fn tick(&mut self, process: Process) {
        self.driver.put(TICK_MS, process, Event::Tick);
        let members = self.members(process);
        self.step(process, replica::Event::Members(members));
        self.step(process, replica::Event::Tick);
    }

    /// Returns the members as one host sees them: a host that stopped is suspected after a while
    /// and gone after longer.
    fn members(&self, own: Process) -> Vec<Member> {
        let now = self.driver.now();
        let others = self.up().into_iter().filter(|process| *process != own);
        let mut members: Vec<Member> = others
            .map(|process| member(&self.hosts[process], Health::Alive))
            .collect();
        for (host, at) in &self.stopped {
            match now.since_ms(*at) {
                ..SUSPECT_MS => members.push(member(host, Health::Alive)),
                SUSPECT_MS..GONE_MS => members.push(member(host, Health::Suspect)),
                _ => (),
            }
        }
        members.sort_by(|a, b| a.host.id.cmp(&b.host.id));
        members
    }

    fn message(&mut self, process: Process, from: Id, to: &Id, message: Message) {
        if self.hosts[process].id == *to {
            self.step(process, replica::Event::Message { from, message });
        }
    }

    fn step(&mut self, process: Process, event: replica::Event) {
        let now = self.driver.now();
        let Some(node) = &mut self.nodes[process] else {
            return;
        };
        for action in node.step(now, event) {
            self.act(process, action);
        }
    }

    fn act(&mut self, process: Process, action: Action) {
        match action {
            Action::Log(action) => self.ask_log(process, action),
            Action::Send { to, message } => {
                let Some(target) = self.hosts.iter().position(|host| host.id == to) else {
                    return;
                };
                let from = self.hosts[process].id.clone();
                let event = Event::Message(from, to, Box::new(message));
                self.driver.send(process, target, event);
            }
            Action::Answer { requester, answer } => {
                self.answers.insert(requester, answer);
            }
            Action::Decide(decision) => {
                if self.trace {
                    println!("{} host {process}: {decision:?}", self.driver.now().as_ms());
                }
            }
        }
    }

    fn ask_log(&mut self, process: Process, action: log::Action) {
        let (log::Action::Append { token, .. } | log::Action::Read { token, .. }) = &action;
        let token = *token;
        let life = self.driver.life(process);
        self.waiting.insert((process, life, token));
        self.driver
            .put(LOG_TIMEOUT_MS, process, Event::TimedOut(token));
        if !self.driver.is_cut(process, self.platform) {
            let delay_ms = self.driver.delay_ms(process, self.platform);
            let event = Event::Ask(process, Box::new(action));
            self.driver.put(delay_ms, self.platform, event);
        }
    }

    fn log_asked(&mut self, host: Process, action: log::Action) {
        if self.log.down {
            return;
        }
        let event = match action {
            log::Action::Append { token, record } => {
                if self.driver.chance(self.log_faults.late_permille) {
                    self.driver.count("late_append");
                    let delay_ms = self.driver.draw(10_000);
                    let late = log::Action::Append { token, record };
                    let event = Event::Ask(host, Box::new(late));
                    return self.driver.put(delay_ms, self.platform, event);
                }
                let offset = self.append(*record);
                if self.driver.chance(self.log_faults.lost_permille) {
                    self.driver.count("lost_append_answer");
                    return;
                }
                log::Event::Appended { token, offset }
            }
            log::Action::Read { token, from } => {
                let read = self.log.read(from);
                log::Event::Read {
                    token,
                    log_start: read.first,
                    log_end: read.end,
                    entries: read.entries,
                }
            }
        };
        self.log_answers(host, event);
    }

    /// Appends a record to the log and to the truth.
    pub fn append(&mut self, record: Record) -> Offset {
        let offset = self.log.append(record.clone());
        if self.trace {
            let text = match &record {
                Record::Snapshot(snapshot) => format!("snapshot of {:?}", snapshot.position),
                Record::Anchor(anchor) => {
                    format!("anchor {} at {}", anchor.generation, anchor.log_end)
                }
                record => format!("{record:?}"),
            };
            println!("{} log takes {offset}: {text}", self.driver.now().as_ms());
        }
        if let Record::Anchor(anchor) = &record
            && anchor.is_valid_at(offset)
            && anchor.generation > self.truth_position.generation
        {
            self.truth = anchor.snapshot.state.clone();
            self.truth.anchored_from = anchor.snapshot.position;
            self.truth_position = Position {
                generation: anchor.generation,
                next: offset + 1,
            };
            return offset;
        }
        self.truths.insert(offset, self.truth.clone());
        self.truth_position.next = offset + 1;
        let known = record.id().is_some_and(|id| self.accepted.contains_key(id));
        let verdict = self.truth.apply(self.truth_position, &record);
        if let (Some(id), Verdict::Accepted(position), false) = (record.id(), verdict, known) {
            let at = self.driver.now();
            self.accepted.insert(id.clone(), Accepted { at, position });
        }
        offset
    }

    fn log_answers(&mut self, host: Process, event: log::Event) {
        let life = self.driver.life(host);
        if self.driver.is_cut(self.platform, host) {
            return;
        }
        if self.waiting.remove(&(host, life, token_of(&event))) {
            let delay_ms = self.driver.delay_ms(self.platform, host);
            self.driver
                .put(delay_ms, host, Event::Answer(Box::new(event)));
        }
    }

    fn timed_out(&mut self, process: Process, token: Token) {
        let life = self.driver.life(process);
        if self.waiting.remove(&(process, life, token)) {
            let event = log::Event::AppendUnknown { token };
            self.step(process, replica::Event::Log(event));
        }
    }
}

fn host(process: Process, life: u64) -> Host {
    let place = process % REGIONS;
    let port = 1_000 + process as u16;
    Host {
        id: Id {
            name: format!("host-{process:03}").into(),
            incarnation: life,
        },
        data_centre: format!("data-centre-{place}").into(),
        region: format!("region-{place}").into(),
        http: ([127, 0, 0, 1], port).into(),
        peer: ([127, 0, 0, 1], port).into(),
        weight: 1,
    }
}

fn member(host: &Host, health: Health) -> Member {
    Member {
        host: host.clone(),
        health,
        roster_epoch: 0,
        ticket_generation: 0,
        serving_since: Some(Instant::ZERO),
    }
}

fn token_of(event: &log::Event) -> Token {
    match event {
        log::Event::Appended { token, .. }
        | log::Event::AppendUnknown { token }
        | log::Event::Read { token, .. }
        | log::Event::ReadFailed { token } => *token,
    }
}
