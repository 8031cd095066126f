//! Ledgers of several hosts under the driver, with fake servers, callers, faults and a fake claim
//! log: the part of the system that decides on outcomes, and nothing else.

pub mod callers;
mod document;
pub mod faults;
mod servers;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
};

use teaselchute::{
    core::{
        call,
        document::Document,
        host::{
            Host,
            Id, //
        },
        outcome::{
            Action,
            Event as Told,
            Message,
            Policy,
            coordinator::Coordinator,
            ticket::{
                self,
                Ticket, //
            }, //
        },
        state::{
            Position,
            Roster, //
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

use crate::driver::{
    Driver,
    Network,
    Place,
    Process, //
};
use callers::Callers;
use faults::Faults;
use servers::Server;

/// Time between two ticks of a host, in milliseconds.
const TICK_MS: u64 = 50;

/// Time by which news of hosts lag, at the least and at the most, in milliseconds.
const NEWS_MS: (u64, u64) = (300, 2_500);

/// Time of one append to the claim log, in milliseconds.
const APPEND_MS: u64 = 10;

/// Appends that the claim log takes in a second.
const APPENDS_PER_SECOND: u64 = 300;

/// How requests are kept from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Home and witness.
    Teaselchute,
    /// The home alone.
    HomeAlone,
    /// A claim in the platform's log for each request.
    LogClaim,
}

impl Variant {
    /// Returns the name in the measured lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Teaselchute => "teaselchute",
            Self::HomeAlone => "home_alone",
            Self::LogClaim => "log_claim",
        }
    }
}

/// What runs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the run.
    pub seed: u64,
    /// How requests are kept from running twice.
    pub variant: Variant,
    /// Count of hosts, dealt to three data centres in turn.
    pub hosts: usize,
    /// Time under load, in milliseconds.
    pub load_ms: u64,
    /// Quiet time after it, in milliseconds.
    pub settle_ms: u64,
    /// Count of callers.
    pub callers: usize,
    /// Mean time between two requests of one caller, in milliseconds.
    pub every_ms: u64,
    /// Requests in a thousand that may not run twice.
    pub orders_permille: u64,
    /// Calls that one server runs at once.
    pub slots: usize,
    /// Time in which a leaving host has to finish, in milliseconds. 0 stops it at once.
    pub leave_ms: u64,
    /// Faults of the network.
    pub network: Network,
    /// All other faults.
    pub faults: Faults,
}

/// What happens at a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// A host's clock ticks.
    Tick,
    /// News of hosts reach a host.
    News(Vec<Member>),
    /// A host's ledger is told something.
    Told(Box<Told>),
    /// A frame reaches a host: sender, receiver, message.
    Frame(Box<(Id, Id, Message)>),
    /// A call reaches a server.
    Call(servers::Key, Box<call::Call>),
    /// A cancel reaches a server.
    Cancel(servers::Key),
    /// A server has finished a call, in this life of it.
    Done(u64, servers::Key),
    /// Something happens to a caller.
    Caller(callers::Event),
    /// A fault strikes or ends.
    Fault(faults::Event),
}

/// One host.
pub struct Entry {
    /// What it knows.
    pub view: View,
    /// Its ledger, nothing while it is down.
    pub ledger: Option<Coordinator>,
    /// Server of each call.
    calls: BTreeMap<call::Id, Process>,
    /// When it admitted requests that no call was made for yet.
    admitted: BTreeMap<call::Request, Instant>,
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Replies that came late, doubled or to another call, and were dropped.
    pub dropped: u64,
    /// Stage results that a retry went on from.
    pub resumed: u64,
    /// Time from an order's admission to its first call, in milliseconds.
    pub extra_ms: Vec<u64>,
    /// Exchanges that were open when a leaving host stopped.
    pub interrupted: u64,
    /// Hosts that left and were replaced.
    pub left: u64,
    /// Longest time from a host's leave to its stop, in milliseconds.
    pub leave_ms_max: u64,
    /// Frames between hosts.
    pub frames: u64,
    /// Most bytes of kept answers on one host.
    pub kept_bytes_max: usize,
}

/// Ledgers with their surroundings.
pub struct Run {
    /// The plan.
    pub plan: Plan,
    /// Time, queue and network.
    pub driver: Driver<Event>,
    /// The hosts, by process. The last is the claim log.
    pub hosts: Vec<Entry>,
    /// The callers.
    pub callers: Callers,
    /// What was seen.
    pub seen: Seen,
    /// Hosts that leave, and since when.
    pub leaving: BTreeMap<Process, Instant>,
    /// Whether the claim log answers nobody.
    pub log_down: bool,
    document: Arc<Document>,
    servers: Vec<Server>,
    first_server: Process,
    first_caller: Process,
    incarnations: u64,
    executed: BTreeMap<call::Request, u64>,
    log_free_at: Instant,
    quiet: bool,
    trace: bool,
}

impl Run {
    /// Makes a run at time 0 with all hosts up.
    pub fn new(plan: Plan) -> Self {
        let mut driver = Driver::new(plan.seed, plan.network);
        let place = |index: usize| Place {
            region: index % 3,
            data_centre: index % 3,
        };
        for index in 0..=plan.hosts {
            driver.add(place(index));
        }
        let servers = document::servers(plan.slots);
        let first_server = plan.hosts + 1;
        for index in 0..servers.len() {
            driver.add(place(index));
        }
        let first_caller = first_server + servers.len();
        for index in 0..plan.callers {
            driver.add(place(index));
        }
        let mut run = Self {
            driver,
            hosts: Vec::new(),
            callers: Callers::new(plan.callers),
            seen: Seen::default(),
            leaving: BTreeMap::new(),
            log_down: false,
            document: Arc::new(document::document(&servers)),
            servers,
            first_server,
            first_caller,
            incarnations: 0,
            executed: BTreeMap::new(),
            log_free_at: Instant::ZERO,
            quiet: false,
            trace: std::env::var_os("TRACE").is_some(),
            plan,
        };
        for index in 0..=run.plan.hosts {
            let entry = run.entry(index);
            run.hosts.push(entry);
        }
        let members = run.members();
        for index in 0..run.plan.hosts {
            run.hosts[index].view.members = members.clone();
            run.hosts[index].forget_self();
        }
        for index in 0..=run.plan.hosts {
            run.driver.put(0, index, Event::Tick);
        }
        run.start_callers();
        run.start_faults();
        run
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        let load_end = Instant::from_ms(self.plan.load_ms);
        self.run_until(load_end);
        self.quieten();
        self.run_until(load_end.after_ms(self.plan.settle_ms));
        for host in 0..self.hosts.len() {
            self.count_life(host);
        }
    }

    fn run_until(&mut self, end: Instant) {
        while let Some((process, event)) = self.driver.next(end) {
            match event {
                Event::Tick => self.tick(process),
                Event::News(members) => self.news(process, members),
                Event::Told(told) => self.tell(process, *told),
                Event::Frame(frame) => self.frame(process, *frame),
                Event::Call(key, call) => self.call_arrives(process, key, *call),
                Event::Cancel(key) => self.call_cancelled(process, key),
                Event::Done(life, key) => self.call_done(process, life, key),
                Event::Caller(event) => self.caller(process, event),
                Event::Fault(event) => self.fault(event),
            }
        }
    }

    fn tick(&mut self, host: Process) {
        self.driver.put(TICK_MS, host, Event::Tick);
        let now = self.driver.now();
        for member in &mut self.hosts[host].view.members {
            // Members tell their generation with their news, a little late.
            member.ticket_generation = ticket::generation(now.before_ms(NEWS_MS.1));
        }
        self.tell(host, Told::Tick);
        if let Some(ledger) = &self.hosts[host].ledger {
            let answers = ledger.answers();
            self.seen.kept_bytes_max = self.seen.kept_bytes_max.max(answers.bytes());
        }
    }

    fn news(&mut self, host: Process, members: Vec<Member>) {
        self.hosts[host].view.members = members;
        self.hosts[host].forget_self();
        self.tell(host, Told::Tick);
    }

    fn frame(&mut self, host: Process, (from, to, message): (Id, Id, Message)) {
        if self.hosts[host].view.own.id != to {
            return;
        }
        self.seen.frames += 1;
        self.tell(host, Told::Message { from, message });
    }

    /// Tells a host's ledger something, and carries out what follows.
    pub fn tell(&mut self, host: Process, told: Told) {
        let now = self.driver.now();
        let entry = &mut self.hosts[host];
        let Some(ledger) = &mut entry.ledger else {
            return;
        };
        if let Told::Submit { submission, .. } = &told {
            entry
                .admitted
                .entry(submission.request.clone())
                .or_insert(now);
        }
        let trace = self.trace.then(|| format!("{told:?}"));
        let actions = ledger.step(now, &entry.view, told);
        if let Some(told) = trace.filter(|told| told != "Tick" || !actions.is_empty()) {
            eprintln!("{} host {host} {told}", now.as_ms());
        }
        for action in actions {
            if self.trace {
                eprintln!("{} host {host}   -> {action:?}", now.as_ms());
            }
            self.act(host, action);
        }
    }

    fn act(&mut self, host: Process, action: Action) {
        match action {
            Action::Offer(call) => self.offered(host, call),
            Action::Cancel { call, .. } => {
                if let Some(server) = self.hosts[host].calls.remove(&call) {
                    let key = (host, self.driver.life(host), call);
                    self.driver.send(host, server, Event::Cancel(key));
                }
            }
            Action::Send { to, message } => self.send(host, to, message),
            Action::Decide(_) => {}
            action => self.answer_caller(host, action),
        }
    }

    fn offered(&mut self, host: Process, call: call::Call) {
        let admitted = self.hosts[host].admitted.remove(&call.request);
        if let Some(admitted) = admitted.filter(|_| !call.idempotent) {
            let extra_ms = self.driver.now().since_ms(admitted);
            self.seen.extra_ms.push(extra_ms);
        }
        self.send_call(host, call);
    }

    fn send(&mut self, host: Process, to: Id, message: Message) {
        let target = self
            .hosts
            .iter()
            .position(|it| it.view.own.id.name == to.name);
        let Some(target) = target else {
            return;
        };
        let from = self.hosts[host].view.own.id.clone();
        let event = Event::Frame(Box::new((from, to, message)));
        if target == self.plan.hosts {
            return self.append(host, event);
        }
        self.driver.send(host, target, event);
    }

    /// Brings a claim or a seal to the log, which takes them one after the other.
    fn append(&mut self, host: Process, event: Event) {
        if self.log_down {
            return;
        }
        let now = self.driver.now();
        let waits_ms = self.log_free_at.since_ms(now);
        self.log_free_at = self
            .log_free_at
            .max(now)
            .after_ms(1_000 / APPENDS_PER_SECOND);
        let log = self.plan.hosts;
        if self.driver.is_cut(host, log) {
            return;
        }
        let delay_ms = self.driver.delay_ms(host, log);
        self.driver.put(delay_ms + APPEND_MS + waits_ms, log, event);
    }

    /// Returns the ticket that the address answer of one host has for another.
    pub fn ticket(&self, issuer: Process, home: &Host) -> Option<Ticket> {
        let now = self.driver.now();
        let view = &self.hosts[issuer].view;
        let mut ticket = ticket::issue(now, view, home)?;
        if self.plan.variant == Variant::LogClaim {
            ticket.witness = self.hosts[self.plan.hosts].view.own.id.clone();
            ticket.generation = ticket::generation(now);
        }
        Some(ticket)
    }

    /// Returns the hosts that are up.
    pub fn up(&self) -> Vec<Process> {
        let hosts = 0..self.plan.hosts;
        hosts
            .filter(|host| self.hosts[*host].ledger.is_some())
            .collect()
    }

    /// Returns all hosts as the platform knows them.
    fn members(&self) -> Vec<Member> {
        let up: BTreeSet<Process> = self.up().into_iter().collect();
        let entries = self.hosts.iter().enumerate();
        let mut members: Vec<Member> = entries
            .filter(|(index, _)| up.contains(index))
            .map(|(index, entry)| Member {
                host: entry.view.own.clone(),
                health: if self.leaving.contains_key(&index) {
                    Health::Leaving
                } else {
                    Health::Alive
                },
                roster_epoch: 0,
                ticket_generation: 0,
                serving_since: Some(Instant::ZERO),
            })
            .collect();
        members.sort_by(|a, b| a.host.id.cmp(&b.host.id));
        members
    }

    /// Spreads news of hosts, late.
    pub fn spread_news(&mut self) {
        let members = self.members();
        for host in 0..self.plan.hosts {
            let lag_ms = NEWS_MS.0 + self.driver.draw(NEWS_MS.1 - NEWS_MS.0);
            self.driver.put(lag_ms, host, Event::News(members.clone()));
        }
    }

    /// Makes a host in a new life.
    fn entry(&mut self, index: Process) -> Entry {
        self.incarnations += 1;
        let place = self.driver.place(index);
        let name = if index == self.plan.hosts {
            Name::from("log")
        } else {
            Name::from(format!("entry-{index}"))
        };
        let address = SocketAddr::from(([10, 0, 0, 1], 7_000 + index as u16));
        let own = Host {
            id: Id {
                name,
                incarnation: self.incarnations,
            },
            data_centre: Name::from(format!("dc-{}", place.data_centre)),
            region: Name::from(format!("region-{}", place.region)),
            http: address,
            peer: address,
            weight: 1,
        };
        let policy = match self.plan.variant {
            Variant::HomeAlone => Policy::HomeOnly,
            Variant::Teaselchute | Variant::LogClaim => Policy::Teaselchute,
        };
        Entry {
            view: View {
                own,
                serving: true,
                serving_since: None,
                mutation: teaselchute::core::mutation::Mutation::None,
                leaving: false,
                document: self.document.clone(),
                position: Position::default(),
                fresh_at: Instant::ZERO,
                drained: BTreeSet::new(),
                roster: Roster::default(),
                previous_roster: Roster::default(),
                members: Vec::new(),
            },
            ledger: Some(Coordinator::new(0, 1, policy)),
            calls: BTreeMap::new(),
            admitted: BTreeMap::new(),
        }
    }

    /// Starts a host in a new life that knows nothing of the one before.
    pub fn start_host(&mut self, host: Process) {
        self.driver.start(host);
        let entry = self.entry(host);
        self.hosts[host] = entry;
        self.hosts[host].view.members = self.members();
        self.hosts[host].forget_self();
        self.driver.put(0, host, Event::Tick);
        self.spread_news();
    }

    /// Stops a host: what it knew is lost, and its connections are reset.
    pub fn stop_host(&mut self, host: Process) {
        self.count_life(host);
        self.driver.crash(host);
        self.hosts[host].ledger = None;
        self.leaving.remove(&host);
        self.reset_exchanges(host);
        self.spread_news();
    }

    fn count_life(&mut self, host: Process) {
        if let Some(ledger) = &self.hosts[host].ledger {
            let counters = ledger.counters();
            self.seen.dropped += counters.late + counters.duplicates + counters.gaps;
            self.seen.resumed += counters.resumed;
        }
    }

    fn quieten(&mut self) {
        self.quiet = true;
        self.log_down = false;
        self.driver.network = Network {
            loss_permille: 0,
            double_permille: 0,
            hold_permille: 0,
            ..self.driver.network
        };
    }
}

impl Entry {
    fn forget_self(&mut self) {
        let own = self.view.own.id.clone();
        self.view.members.retain(|member| member.host.id != own);
    }
}
