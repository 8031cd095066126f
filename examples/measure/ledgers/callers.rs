//! Callers: they keep an address and its ticket, ask, lose patience, retry elsewhere, and check.

use std::collections::BTreeMap;

use teaselchute::{
    core::{
        address,
        call::{
            Body,
            Request, //
        },
        host::Host,
        outcome::{
            Action,
            Caller,
            Event as Told,
            Subject,
            Submission,
            ticket::Ticket, //
        },
        refusal::{
            Execution as Word,
            Refusal,
            Remedy, //
        },
        view::Health,
    },
    names::Name,
    time::Instant,
};

use super::{
    Event as Happening, Run,
    document::{
        CHAT,
        ORDER,
        PLAN,
        STAGES, //
    },
};
use crate::driver::Process;

/// Time after which a patient caller asks elsewhere, in milliseconds.
const PATIENCE_MS: u64 = 7_000;

/// Time after which an impatient caller asks elsewhere, in milliseconds.
const IMPATIENCE_MS: u64 = 250;

/// Chance in a thousand that a caller is impatient with one exchange.
const IMPATIENT_PERMILLE: u64 = 60;

/// Time before a caller asks again, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Time before a caller fetches the end of an order that may have run, in milliseconds.
const FETCH_AFTER_MS: u64 = 3_000;

/// Fetches of an order that may have run, and new ids of one that did not.
const TRIES: u32 = 3;

/// Asks for an idempotent answer that was refused.
const ASKS: u32 = 6;

/// Something that a caller does or meets.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new matter comes up.
    Arrive,
    /// An exchange took too long.
    TimedOut(u64),
    /// An exchange's connection was reset.
    Reset(u64),
    /// No connection could be opened for an exchange.
    Unreachable(u64),
    /// A host gave something.
    Given(Box<Action>),
    /// A caller asks again.
    Again(usize),
    /// A caller fetches.
    Fetch(usize),
}

/// How a matter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// What a caller wants: one order or one answer, perhaps under several ids.
#[derive(Clone, Debug)]
pub struct Matter {
    /// The newest id.
    pub request: Request,
    /// All ids under which it was told not to have run.
    pub not_run: Vec<Request>,
    /// All ids.
    pub ids: Vec<Request>,
    /// Whether it may not run twice.
    pub order: bool,
    /// How it ended.
    pub end: Option<End>,
    /// The last refusal.
    pub refusal: Option<Refusal>,
    /// Whether a host told something that can't be.
    pub crossed: bool,
    /// Whether an answer lacked something.
    pub truncated: bool,
    caller: usize,
    /// Whether the newest id was sent to any host.
    sent: bool,
    subject: &'static str,
    ticket: Option<Ticket>,
    asks: u32,
    renewals: u32,
    fetches: u32,
    pieces: BTreeMap<u64, Body>,
}

/// An address that a caller keeps.
#[derive(Clone, Debug)]
struct Address {
    host: Process,
    ticket: Option<Ticket>,
    until: Instant,
}

/// An exchange that is open at a host.
struct Exchange {
    matter: usize,
    host: Process,
    silent: bool,
    last_delivery: Instant,
}

/// All callers.
pub struct Callers {
    /// What they wanted.
    pub matters: Vec<Matter>,
    addresses: Vec<Option<Address>>,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
}

impl Callers {
    /// Makes callers without an address.
    pub fn new(count: usize) -> Self {
        Self {
            matters: Vec::new(),
            addresses: vec![None; count],
            exchanges: BTreeMap::new(),
            next_exchange: 0,
        }
    }
}

impl Run {
    pub(super) fn start_callers(&mut self) {
        for caller in 0..self.plan.callers {
            let delay_ms = self.driver.draw(2 * self.plan.every_ms);
            let process = self.first_caller + caller;
            self.driver
                .put(delay_ms, process, Happening::Caller(Event::Arrive));
        }
    }

    pub(super) fn caller(&mut self, process: Process, event: Event) {
        match event {
            Event::Arrive => self.arrive(process - self.first_caller),
            Event::TimedOut(exchange) => {
                if let Some(open) = self.callers.exchanges.remove(&exchange) {
                    let gone = Told::CallerDisconnected(Caller(exchange));
                    self.deliver(process, open.host, gone);
                    self.again(open.matter, 0);
                }
            }
            Event::Reset(exchange) => {
                if let Some(open) = self.callers.exchanges.remove(&exchange) {
                    self.again(open.matter, PAUSE_MS);
                }
            }
            Event::Unreachable(exchange) => {
                if let Some(open) = self.callers.exchanges.remove(&exchange) {
                    self.unreachable(open.matter);
                }
            }
            Event::Given(action) => self.given(*action),
            Event::Again(matter) => self.ask_again(matter),
            Event::Fetch(matter) => self.fetch(matter),
        }
    }

    fn arrive(&mut self, caller: usize) {
        if self.quiet {
            return;
        }
        let delay_ms = 1 + self.driver.draw(2 * self.plan.every_ms);
        let process = self.first_caller + caller;
        self.driver
            .put(delay_ms, process, Happening::Caller(Event::Arrive));
        let number = self.callers.matters.len();
        let order = self.driver.chance(self.plan.orders_permille);
        let subject = match (order, self.driver.chance(300)) {
            (true, _) => ORDER,
            (false, true) => PLAN,
            (false, false) => CHAT,
        };
        self.callers.matters.push(Matter {
            request: Request {
                organisation: Name::from(format!("organisation-{}", caller % 5)),
                id: Name::from(format!("matter-{number}")),
            },
            not_run: Vec::new(),
            ids: Vec::new(),
            order,
            end: None,
            refusal: None,
            crossed: false,
            truncated: false,
            caller,
            sent: false,
            subject,
            ticket: None,
            asks: 0,
            renewals: 0,
            fetches: 0,
            pieces: BTreeMap::new(),
        });
        self.ask_new(number);
    }

    /// Asks under a new id, with the address and the ticket that the caller keeps.
    fn ask_new(&mut self, number: usize) {
        let caller = self.callers.matters[number].caller;
        let Some(address) = self.address(caller) else {
            return self.again(number, PAUSE_MS);
        };
        let matter = &mut self.callers.matters[number];
        if matter.order {
            let Some(ticket) = &address.ticket else {
                return self.again(number, PAUSE_MS);
            };
            let own = format!("matter-{number}-{}", matter.renewals);
            matter.sent = false;
            matter.request.id = ticket.request_id(&own);
            matter.ticket = address.ticket.clone();
        }
        matter.ids.push(matter.request.clone());
        self.ask(number, address.host);
    }

    /// Asks elsewhere, under the same id.
    fn ask_again(&mut self, number: usize) {
        let matter = &self.callers.matters[number];
        if matter.end.is_some() {
            return;
        }
        if matter.ids.is_empty() {
            return self.ask_new(number);
        }
        let caller = matter.caller;
        self.callers.addresses[caller] = None;
        match self.address(caller) {
            Some(address) => self.ask(number, address.host),
            None => self.again(number, PAUSE_MS),
        }
    }

    /// Asks elsewhere. An id that was never sent needs no word: a new one, with a new ticket, is
    /// as good.
    fn unreachable(&mut self, number: usize) {
        let matter = &mut self.callers.matters[number];
        self.callers.addresses[matter.caller] = None;
        if matter.order && !matter.sent {
            matter.ids.pop();
            return self.ask_new(number);
        }
        self.again(number, PAUSE_MS);
    }

    fn again(&mut self, number: usize, delay_ms: u64) {
        let process = self.first_caller + self.callers.matters[number].caller;
        let event = Happening::Caller(Event::Again(number));
        self.driver.put(delay_ms, process, event);
    }

    /// Returns the caller's address, asked for anew where it is too old.
    fn address(&mut self, caller: usize) -> Option<Address> {
        let now = self.driver.now();
        let known = self.callers.addresses[caller].as_ref();
        if let Some(known) = known.filter(|known| known.until > now) {
            return Some(known.clone());
        }
        let mut up = self.up();
        up.retain(|host| !self.driver.is_paused(*host));
        let index = self.driver.draw(up.len() as u64) as usize;
        let issuer = *up.get(index)?;
        let home = self.choose(issuer, caller)?;
        let host = self.process_of(&home)?;
        let address = Address {
            host,
            ticket: self.ticket(issuer, &home),
            until: now.after_ms(address::ANSWER_TTL_MS),
        };
        self.callers.addresses[caller] = Some(address.clone());
        Some(address)
    }

    /// Chooses among the hosts that the issuer knows, mostly in the caller's region.
    fn choose(&mut self, issuer: Process, caller: usize) -> Option<Host> {
        let view = &self.hosts[issuer].view;
        let members = view.members.iter();
        let mut hosts: Vec<Host> = members
            .filter(|member| member.health == Health::Alive)
            .map(|member| member.host.clone())
            .collect();
        if !view.leaving {
            hosts.push(view.own.clone());
        }
        if self.driver.chance(700) {
            let place = self.driver.place(self.first_caller + caller);
            let region = Name::from(format!("region-{}", place.region));
            let near: Vec<Host> = hosts
                .iter()
                .filter(|host| host.region == region)
                .cloned()
                .collect();
            if !near.is_empty() {
                hosts = near;
            }
        }
        let index = self.driver.draw(hosts.len() as u64) as usize;
        hosts.get(index).cloned()
    }

    fn process_of(&self, host: &Host) -> Option<Process> {
        let mut hosts = self.hosts.iter();
        hosts.position(|it| it.view.own.id.name == host.id.name)
    }

    fn ask(&mut self, number: usize, host: Process) {
        let matter = &mut self.callers.matters[number];
        matter.asks += 1;
        let ask = matter.ask();
        let caller = matter.caller;
        self.open(number, host, |exchange| Told::Submit {
            caller: Caller(exchange),
            submission: Box::new(ask),
        });
        let _ = caller;
    }

    fn fetch(&mut self, number: usize) {
        let matter = &self.callers.matters[number];
        if matter.end.is_some() {
            return;
        }
        let (request, ticket) = (matter.request.clone(), matter.ticket.clone());
        let caller = matter.caller;
        self.callers.addresses[caller] = None;
        let Some(address) = self.address(caller) else {
            return self.fetch_later(number);
        };
        self.open(number, address.host, |exchange| Told::Fetch {
            caller: Caller(exchange),
            request,
            ticket,
            resume_from: 0,
        });
    }

    fn fetch_later(&mut self, number: usize) {
        let process = self.first_caller + self.callers.matters[number].caller;
        let event = Happening::Caller(Event::Fetch(number));
        self.driver.put(FETCH_AFTER_MS, process, event);
    }

    fn open(&mut self, number: usize, host: Process, told: impl FnOnce(u64) -> Told) {
        let exchange = self.callers.next_exchange;
        self.callers.next_exchange += 1;
        let silent = !self.quiet && self.driver.chance(self.plan.faults.silent_permille);
        if silent {
            self.driver.count("silent_connection");
        }
        let open = Exchange {
            matter: number,
            host,
            silent,
            last_delivery: self.driver.now(),
        };
        self.callers.exchanges.insert(exchange, open);
        let process = self.first_caller + self.callers.matters[number].caller;
        let impatient = self.plan.faults.every_ms > 0 && self.driver.chance(IMPATIENT_PERMILLE);
        let patience_ms = if impatient {
            IMPATIENCE_MS + self.driver.draw(2 * IMPATIENCE_MS)
        } else {
            PATIENCE_MS
        };
        let timed_out = Happening::Caller(Event::TimedOut(exchange));
        self.driver.put(patience_ms, process, timed_out);
        if self.hosts[host].ledger.is_none() {
            let refused = Happening::Caller(Event::Unreachable(exchange));
            let delay_ms = self.driver.delay_ms(process, host);
            return self.driver.put(delay_ms, process, refused);
        }
        self.callers.matters[number].sent = true;
        self.deliver(process, host, told(exchange));
    }

    /// Brings something to a host over a connection, now and then very late.
    fn deliver(&mut self, process: Process, host: Process, told: Told) {
        if self.driver.is_cut(process, host) || self.hosts[host].ledger.is_none() {
            return;
        }
        let late = !self.quiet && self.driver.chance(self.plan.faults.silent_permille);
        let late_ms = if late {
            self.driver.count("late_ask");
            self.driver.draw(10_000)
        } else {
            0
        };
        let delay_ms = self.driver.delay_ms(process, host) + late_ms;
        self.driver
            .put(delay_ms, host, Happening::Told(Box::new(told)));
    }

    pub(super) fn answer_caller(&mut self, host: Process, action: Action) {
        let Some(exchange) = exchange_of(&action) else {
            return;
        };
        let Some(open) = self.callers.exchanges.get(&exchange) else {
            return;
        };
        let process = self.first_caller + self.callers.matters[open.matter].caller;
        if open.silent {
            return;
        }
        if self.driver.is_cut(host, process) {
            // What a connection lost it doesn't make up for.
            if let Some(open) = self.callers.exchanges.get_mut(&exchange) {
                open.silent = true;
            }
            return;
        }
        let delay_ms = self.driver.delay_ms(host, process);
        let now = self.driver.now();
        let Some(open) = self.callers.exchanges.get_mut(&exchange) else {
            return;
        };
        // A connection keeps the order of what is sent on it.
        open.last_delivery = open.last_delivery.max(now.after_ms(delay_ms));
        let delay_ms = open.last_delivery.since_ms(now);
        let given = Happening::Caller(Event::Given(Box::new(action)));
        self.driver.put(delay_ms, process, given);
    }

    fn given(&mut self, action: Action) {
        let Some(exchange) = exchange_of(&action) else {
            return;
        };
        let Some(open) = self.callers.exchanges.get(&exchange) else {
            return;
        };
        let number = open.matter;
        let matter = &mut self.callers.matters[number];
        match action {
            Action::Piece { index, piece, .. } => {
                let known = matter.pieces.insert(index, piece.clone());
                matter.crossed |= known.is_some_and(|known| known != piece);
            }
            Action::Answer { request, body, .. } => {
                self.callers.exchanges.remove(&exchange);
                matter.answered(&request, &body);
            }
            Action::Refuse { refusal, .. } => {
                self.callers.exchanges.remove(&exchange);
                self.refused(number, &refusal);
            }
            _ => {}
        }
    }

    fn refused(&mut self, number: usize, refusal: &Refusal) {
        let matter = &mut self.callers.matters[number];
        if matter.end.is_some() {
            return;
        }
        let not_run = refusal.run == Word::NotRun;
        matter.refusal = Some(refusal.clone());
        if !matter.order {
            if matter.asks < ASKS {
                return self.again(number, PAUSE_MS);
            }
            matter.end = Some(if not_run {
                End::NotRun
            } else {
                End::MayHaveRun
            });
            return;
        }
        if not_run {
            let request = matter.request.clone();
            matter.not_run.push(request);
            matter.renewals += 1;
            if matter.renewals < TRIES {
                matter.ids.push(matter.request.clone());
                self.callers.addresses[matter.caller] = None;
                return self.ask_new(number);
            }
            matter.end = Some(End::NotRun);
            return;
        }
        matter.fetches += 1;
        if refusal.remedy == Remedy::Wait && matter.fetches <= TRIES {
            // Asking again is as safe as fetching, and may settle what a fetch only reads.
            return match matter.fetches {
                1 => self.fetch_later(number),
                _ => self.again(number, FETCH_AFTER_MS),
            };
        }
        matter.end = Some(End::MayHaveRun);
    }

    /// Resets all exchanges that are open at a host.
    pub(super) fn reset_exchanges(&mut self, host: Process) {
        let exchanges = self.callers.exchanges.iter();
        let open: Vec<(u64, usize)> = exchanges
            .filter(|(_, open)| open.host == host && !open.silent)
            .map(|(exchange, open)| (*exchange, open.matter))
            .collect();
        for (exchange, number) in open {
            let process = self.first_caller + self.callers.matters[number].caller;
            let delay_ms = self.driver.delay_ms(host, process);
            let reset = Happening::Caller(Event::Reset(exchange));
            self.driver.put(delay_ms, process, reset);
        }
    }

    /// Returns how many exchanges are open at a host.
    pub(super) fn open_exchanges(&self, host: Process) -> u64 {
        let open = self.callers.exchanges.values();
        open.filter(|open| open.host == host && !open.silent)
            .count() as u64
    }

    /// Returns how often a request that may not run twice was run.
    pub fn executions(&self, request: &Request) -> u64 {
        self.executed.get(request).copied().unwrap_or(0)
    }
}

impl Matter {
    fn ask(&self) -> Submission {
        let name = Name::from(self.subject);
        let subject = if self.order {
            Subject::Service(name)
        } else {
            Subject::Pipeline(name)
        };
        let got = (0..).take_while(|index| self.pieces.contains_key(index));
        Submission {
            request: self.request.clone(),
            subject,
            priority: None,
            deadline_ms: None,
            ticket: self.ticket.clone(),
            prefix_hash: 0,
            resume_from: got.count() as u64,
            retried: self.asks > 1,
            body: self.body(),
        }
    }

    fn body(&self) -> Body {
        self.request.id.as_bytes().into()
    }

    fn answered(&mut self, request: &Request, body: &Body) {
        self.crossed |= *request != self.request;
        let mut expected = self.body().to_vec();
        let stages = if self.order { &["orders"] } else { STAGES };
        for stage in stages {
            expected.push(b'|');
            expected.extend_from_slice(stage.as_bytes());
        }
        let pieces: Vec<u8> = self.pieces.values().flat_map(|it| it.to_vec()).collect();
        let whole = if self.pieces.is_empty() {
            body.to_vec()
        } else {
            pieces
        };
        self.truncated |= whole != expected;
        self.end.get_or_insert(End::Answered);
    }
}

fn exchange_of(action: &Action) -> Option<u64> {
    match action {
        Action::Piece { caller, .. }
        | Action::Answer { caller, .. }
        | Action::Refuse { caller, .. } => Some(caller.0),
        _ => None,
    }
}
