//! Whole nodes under the driver, with fakes of the platform, the backend servers and the callers.
//!
//! A [`Plan`] says what runs and which faults befall it. The [`World`] runs it and keeps the
//! [`ledger`](checks) of what was promised, so that every broken promise is seen.

pub mod callers;
pub mod checks;
pub mod document;
pub mod faults;
mod platform;
mod servers;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use teaselchute::{
    core::{
        call,
        decision::Decision,
        host,
        log as core_log,
        membership::Registration,
        node::{
            self,
            Node,
            Policies, //
        },
        orders,
        state::Record, //
    },
    names::Name,
    time::Instant,
    wire,
};

use super::{
    Driver,
    Network,
    Place,
    Process,
    log::Log,
    server::Server, //
};
use callers::Callers;
use checks::Checks;
use faults::Faults;

/// What runs, how much load comes, and which faults befall it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the run.
    pub seed: u64,
    /// Count of entry hosts.
    pub hosts: usize,
    /// Time under load, in milliseconds.
    pub duration_ms: u64,
    /// Quiet time after it, without faults and new requests, in milliseconds.
    pub settle_ms: u64,
    /// Time between two requests of all callers together, in microseconds.
    pub request_every_us: u64,
    /// Requests in a thousand that are orders, which may not run twice.
    pub orders_permille: u64,
    /// Policies of the nodes.
    pub policies: Policies,
    /// The network.
    pub network: Network,
    /// Faults.
    pub faults: Faults,
    /// Shapes of the servers, in the document too.
    pub document: document::Shape,
    /// Whether frames are encoded and decoded on their way.
    pub encode_frames: bool,
    /// Whether a trace of what happens is kept.
    pub trace: bool,
}

/// What happens at a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A host's clock ticks.
    Tick,
    /// A host is told something.
    Node(Box<node::Event>),
    /// A host reads the platform's host list.
    PollHostList,
    /// A call reaches a server.
    Call(Box<super::server::Running>),
    /// A cancel reaches a server.
    Abort(Process, call::Id),
    /// A call on a server is done.
    Done(Process, call::Id, call::Incarnation),
    /// A server streams a piece.
    Piece(Process, call::Id, call::Incarnation, u64),
    /// A server sends its load to all hosts.
    ReportLoad,
    /// An order reaches an engine.
    Order(Process, Box<orders::Order>),
    /// A read reaches an engine.
    ReadEngine(Process),
    /// The log gets a request of a host.
    Log(Process, core_log::Action),
    /// A caller does something.
    Caller(callers::Event),
    /// A fault strikes or ends.
    Fault(faults::Event),
}

/// What frames and steps cost on this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes of frames with all headers.
    pub bytes: u64,
    /// Count of frames.
    pub messages: u64,
    /// Processor time of the nodes' steps.
    pub cpu: std::time::Duration,
}

/// Whole nodes with their surroundings.
pub struct World {
    /// The plan.
    pub plan: Plan,
    /// Time, queue and network.
    pub driver: Driver<Event>,
    /// The nodes, by process. Empty while the host is down.
    pub nodes: Vec<Option<Node>>,
    /// Who each host is in its current life.
    pub hosts: Vec<host::Host>,
    /// The fake log.
    pub log: Log,
    /// The fake servers, by number.
    pub servers: Vec<Server>,
    /// The callers.
    pub callers: Callers,
    /// What was promised and what was seen.
    pub checks: Checks,
    /// Decisions by kind.
    pub decisions: BTreeMap<&'static str, u64>,
    /// The trace, where wanted.
    pub trace: Vec<String>,
    /// What frames and steps cost, counted from the moment at which it is set.
    pub cost: Option<Cost>,
    /// Hosts that were told to leave and are not yet stopped.
    pub leaving: BTreeSet<Process>,
    /// Since when hosts that are leaving do so.
    pub left_since: BTreeMap<Process, Instant>,
    /// Kinds of faults that strike before any strikes again.
    deck: Vec<faults::Kind>,
    /// Fingerprint of the run: of each event's time and process.
    fingerprint: u64,
    listed: Vec<(Instant, Vec<Registration>)>,
    waiting_for_log: BTreeSet<(Process, u64, core_log::Token)>,
    first_server: Process,
    platform: Process,
    callers_process: Vec<Process>,
    quiet: bool,
    incarnations: u64,
}

/// Bytes of a frame's version and tag, and of the IP and UDP headers around it.
const FRAME_OVERHEAD_BYTES: u64 = 1 + 16 + 28;

/// The environment in which all runs take place.
pub const ENVIRONMENT: &str = "production";

impl World {
    /// Makes a world at time 0, with all hosts up and the document in the log.
    pub fn new(plan: Plan) -> Self {
        let mut driver = Driver::new(plan.seed, plan.network);
        let places = plan.document.places();
        for index in 0..plan.hosts {
            driver.add(places[index % places.len()]);
        }
        let first_server = plan.hosts;
        let servers = plan.document.servers();
        for (place, _) in &servers {
            driver.add(*place);
        }
        // The platform stands in the first data centre.
        let platform = driver.add(places[0]);
        let callers_process = places.iter().map(|place| driver.add(*place)).collect();
        let mut world = Self {
            driver,
            nodes: (0..plan.hosts).map(|_| None).collect(),
            hosts: Vec::new(),
            log: Log::default(),
            servers: servers
                .into_iter()
                .map(|(_, shape)| Server::new(shape, 1))
                .collect(),
            callers: Callers::default(),
            checks: Checks::default(),
            decisions: BTreeMap::new(),
            trace: Vec::new(),
            cost: None,
            leaving: BTreeSet::new(),
            left_since: BTreeMap::new(),
            deck: Vec::new(),
            fingerprint: plan.seed,
            listed: Vec::new(),
            waiting_for_log: BTreeSet::new(),
            first_server,
            platform,
            callers_process,
            quiet: false,
            incarnations: 0,
            plan,
        };
        world.hold_models();
        world
            .log
            .append(Record::Change(world.plan.document.change()));
        world.hosts = (0..world.plan.hosts)
            .map(|index| world.identity(index))
            .collect();
        for index in 0..world.plan.hosts {
            world.start_host(index);
        }
        world.start_surroundings();
        world
    }

    /// Runs to the end of the plan, quiet time included.
    pub fn run(&mut self) {
        let load_end = Instant::from_ms(self.plan.duration_ms);
        self.run_until(load_end);
        self.quieten();
        self.run_until(load_end.after_ms(self.plan.settle_ms));
        self.check_end();
    }

    /// Runs until an instant.
    pub fn run_until(&mut self, end: Instant) {
        while let Some((process, event)) = self.driver.next(end) {
            let at_ms = self.driver.now().as_ms();
            self.fingerprint = mix(self.fingerprint, at_ms ^ ((process as u64) << 48));
            self.handle(process, event);
        }
    }

    fn handle(&mut self, process: Process, event: Event) {
        match event {
            Event::Tick => {
                self.driver.put(node::TICK_MS, process, Event::Tick);
                self.step(process, node::Event::Tick);
            }
            Event::Node(event) => self.step(process, *event),
            Event::PollHostList => self.poll_host_list(process),
            Event::Call(running) => self.call_arrives(process, *running),
            Event::Abort(host, call) => self.call_aborted(process, host, call),
            Event::Done(host, call, incarnation) => {
                self.call_done(process, host, call, incarnation)
            }
            Event::Piece(host, call, incarnation, index) => {
                self.piece_due(process, host, call, incarnation, index);
            }
            Event::ReportLoad => self.report_load(process),
            Event::Order(host, order) => self.order_arrives(process, host, &order),
            Event::ReadEngine(host) => self.engine_read(process, host),
            Event::Log(host, action) => self.log_asked(host, action),
            Event::Caller(event) => self.caller(process, event),
            Event::Fault(event) => self.fault(event),
        }
    }

    /// Gives a node an event and carries out what follows.
    pub fn step(&mut self, process: Process, event: node::Event) {
        let now = self.driver.now();
        let Some(node) = &self.nodes[process] else {
            return;
        };
        let began = self.cost.map(|_| std::time::Instant::now());
        let actions = node.step(now, event);
        if let (Some(cost), Some(began)) = (&mut self.cost, began) {
            cost.cpu += began.elapsed();
        }
        self.check_node(process);
        for action in actions {
            self.act(process, action);
        }
    }

    fn act(&mut self, process: Process, action: node::Action) {
        match action {
            node::Action::Frame { to, message } => self.send_frame(process, &to, *message),
            node::Action::Log(action) => self.ask_log(process, action),
            node::Action::Send { call, server } => self.send_call(process, *call, &server),
            node::Action::Abort { call, pool, server } => {
                if let Some(target) = self.server_process(&pool, &server) {
                    self.driver
                        .send(process, target, Event::Abort(process, call));
                }
            }
            node::Action::Caller(action) => self.answer_caller(process, action),
            node::Action::AnswerProposal { requester, answer } => {
                self.proposal_answered(requester, &answer)
            }
            node::Action::Order(order) => {
                if let Some(target) = self.server_process(&order.pool, &order.server) {
                    let event = Event::Order(process, Box::new(order));
                    self.driver.send(process, target, event);
                }
            }
            node::Action::ReadEngine { pool, server } => {
                if let Some(target) = self.server_process(&pool, &server) {
                    self.driver
                        .send(process, target, Event::ReadEngine(process));
                }
            }
            node::Action::Decide(decision) => self.decided(process, &decision),
        }
    }

    fn decided(&mut self, process: Process, decision: &Decision) {
        let kind = checks::kind_name(decision.kind);
        *self.decisions.entry(kind).or_default() += 1;
        if self.plan.trace {
            self.note(&format!(
                "host {process} decides {kind}: {} -> {} by {}",
                decision.subject, decision.choice, decision.rule
            ));
        }
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: &str) {
        if self.plan.trace {
            let at_ms = self.driver.now().as_ms();
            self.trace.push(format!("{at_ms:>8} ms  {text}"));
        }
    }

    fn send_frame(&mut self, from: Process, to: &host::Host, message: wire::Message) {
        let Some(target) = self.hosts.iter().position(|it| it.id.name == to.id.name) else {
            return;
        };
        let frame = wire::Frame {
            from: self.hosts[from].clone(),
            to: to.id.clone(),
            message,
        };
        let frame = if self.plan.encode_frames {
            self.recode(&frame)
        } else {
            frame
        };
        let event = Event::Node(Box::new(node::Event::Frame(Box::new(frame))));
        self.driver.send(from, target, event);
    }

    /// Encodes and decodes a frame, as sockets need it, so that hosts share no memory.
    fn recode(&mut self, frame: &wire::Frame) -> wire::Frame {
        let began = std::time::Instant::now();
        let bytes = postcard::to_stdvec(frame).expect("A frame can be encoded.");
        let frame = postcard::from_bytes(&bytes).expect("A frame can be decoded.");
        if let Some(cost) = &mut self.cost {
            cost.bytes += bytes.len() as u64 + FRAME_OVERHEAD_BYTES;
            cost.messages += 1;
            cost.cpu += began.elapsed();
        }
        frame
    }

    /// Starts a host in a new life, which knows nothing of the one before.
    pub fn start_host(&mut self, process: Process) {
        self.driver.start(process);
        self.hosts[process] = self.identity(process);
        let own = self.hosts[process].clone();
        let seed = self.plan.seed ^ own.id.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let node = Node::new(own, Name::from(ENVIRONMENT), self.plan.policies, seed);
        self.nodes[process] = Some(node);
        self.leaving.remove(&process);
        self.left_since.remove(&process);
        self.checks.host_started(process);
        self.change_listed();
        let offset_ms = self.driver.draw(node::TICK_MS);
        self.driver.put(offset_ms, process, Event::Tick);
        self.driver.put(offset_ms, process, Event::PollHostList);
        self.note(&format!("host {process} starts"));
    }

    /// Stops a host at once: what it knew is lost, its connections are reset.
    pub fn stop_host(&mut self, process: Process) {
        self.driver.crash(process);
        self.nodes[process] = None;
        self.note(&format!("host {process} stops"));
        self.reset_exchanges(process);
        self.drop_calls_of(process);
        self.change_listed();
    }

    fn identity(&mut self, process: Process) -> host::Host {
        self.incarnations += 1;
        let place = self.driver.place(process);
        let address = |port: u16| {
            let last = u8::try_from(process % 250).unwrap_or(0) + 1;
            let third = u8::try_from(process / 250).unwrap_or(0);
            std::net::SocketAddr::from(([10, 0, third, last], port))
        };
        host::Host {
            id: host::Id {
                name: Name::from(format!("entry-{process}")),
                incarnation: self.incarnations,
            },
            data_centre: document::data_centre_name(place),
            region: document::region_name(place),
            http: address(8080),
            peer: address(7070),
            weight: 1,
        }
    }

    fn start_surroundings(&mut self) {
        for number in 0..self.servers.len() {
            let delay_ms = self.driver.draw(faults::LOAD_REPORT_MS);
            self.driver
                .put(delay_ms, self.first_server + number, Event::ReportLoad);
        }
        for process in self.callers_process.clone() {
            self.driver
                .put(0, process, Event::Caller(callers::Event::Arrive));
        }
        self.start_faults();
    }

    /// Returns the servers' first process, by which a number is turned into a process.
    pub fn server_number(&self, process: Process) -> usize {
        process - self.first_server
    }

    fn server_process(&self, pool: &Name, server: &Name) -> Option<Process> {
        let number = self
            .servers
            .iter()
            .position(|it| it.shape.name == *server && it.shape.pool == *pool)?;
        Some(self.first_server + number)
    }

    /// Returns a number that two runs share only where they were the same.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the indices of hosts that are up.
    pub fn up(&self) -> Vec<Process> {
        (0..self.plan.hosts)
            .filter(|process| self.nodes[*process].is_some())
            .collect()
    }

    /// Returns where a server stands.
    pub fn place_of_server(&self, number: usize) -> Place {
        self.driver.place(self.first_server + number)
    }
}

fn mix(fingerprint: u64, value: u64) -> u64 {
    (fingerprint.rotate_left(5) ^ value).wrapping_mul(0x517c_c1b7_2722_0a95)
}
