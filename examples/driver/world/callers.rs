//! Callers: they ask, wait, retry at another host under the same id and ticket, and check answers.

use std::collections::BTreeMap;

use teaselchute::{
    core::{
        address,
        call::{
            Body,
            Request, //
        },
        host::Host,
        node,
        outcome::{
            self, Subject, Submission,
            ticket::{
                self,
                Ticket, //
            },
        },
        refusal::{
            Execution,
            Refusal,
            Remedy, //
        },
    },
    names::Name,
    time::Instant,
};

use super::{
    World,
    document, //
};
use crate::driver::Process;

/// Times that a caller asks again after a refusal at the most. After silence it always does.
const ATTEMPTS: u32 = 4;

/// Time between two tries to find any host that is up, in milliseconds.
const LOOK_AGAIN_MS: u64 = 500;

/// Time beyond the deadline after which a caller asks elsewhere, in milliseconds.
const PATIENCE_MS: u64 = 1_500;

/// Callers at each place, each of which keeps its own address answer.
const CALLERS_PER_PLACE: u64 = 20;

/// Something that a caller does or meets.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new request comes up.
    Arrive,
    /// An exchange took too long.
    TimedOut(u64),
    /// No host was up, and it is time to look again.
    AskLater(usize),
    /// The connection of an exchange was reset.
    Reset(u64),
    /// A host gave a piece, an answer or a refusal.
    Given(Box<outcome::Action>),
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// The whole answer came, this long after the first ask, in milliseconds.
    Answered(u64),
    /// It did not run and never will.
    NotRun(Refusal),
    /// It may have run.
    MayHaveRun(Refusal),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its identity.
    pub request: Request,
    /// Pipeline or service.
    pub subject: Name,
    /// Whether it may not run twice.
    pub order: bool,
    /// Priority that it asks for.
    pub priority: Option<u8>,
    /// When it was first asked.
    pub since: Instant,
    /// Attempts so far.
    pub attempts: u32,
    /// How it ended.
    pub word: Option<Word>,
    process: Process,
    ticket: Option<Ticket>,
    pieces: BTreeMap<u64, Body>,
}

/// An exchange that is open at a host.
struct Exchange {
    asked: usize,
    host: Process,
    silent: bool,
    last_delivery: Instant,
}

/// An address answer that a caller keeps.
struct Kept {
    hosts: Vec<Process>,
    until: Instant,
}

/// All callers.
#[derive(Default)]
pub struct Callers {
    /// Their requests, in the order of their arrival.
    pub asked: Vec<Asked>,
    /// Chance in a thousand that an exchange falls silent after it was opened.
    pub silent_permille: u64,
    /// Answers that named a leaving host although it had left for longer than news may take.
    pub named_leaving: u64,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
    kept: BTreeMap<(Process, u64), Kept>,
}

impl World {
    pub(super) fn caller(&mut self, process: Process, event: Event) {
        match event {
            Event::Arrive => self.caller_arrives(process),
            Event::TimedOut(exchange) => {
                if self.callers.exchanges.contains_key(&exchange) {
                    self.hang_up(exchange);
                    self.ask_again(exchange);
                }
            }
            Event::AskLater(number) => self.ask(number, None),
            Event::Reset(exchange) => self.ask_again(exchange),
            Event::Given(action) => self.caller_given(*action),
        }
    }

    fn caller_arrives(&mut self, process: Process) {
        if self.quiet {
            return;
        }
        let processes = self.callers_process.len() as u64;
        let mean_us = self.plan.request_every_us * processes;
        let next_us = self.driver.draw(2 * mean_us);
        self.driver
            .put(next_us.div_ceil(1_000), process, Event::arrive());
        let number = self.callers.asked.len();
        let order = self.driver.chance(self.plan.orders_permille);
        let organisation = self.driver.draw(self.plan.document.organisations as u64) as usize;
        let subject = if order {
            document::ORDER
        } else {
            document::PIPELINE
        };
        self.callers.asked.push(Asked {
            request: Request {
                organisation: document::organisation_name(organisation),
                id: Name::from(format!("request-{number}")),
            },
            subject: Name::from(subject),
            order,
            priority: None,
            since: self.driver.now(),
            attempts: 0,
            word: None,
            process,
            ticket: None,
            pieces: BTreeMap::new(),
        });
        self.ask(number, None);
    }

    /// Asks a host, another than the one to be avoided where there is one.
    fn ask(&mut self, number: usize, avoid: Option<Process>) {
        let process = self.callers.asked[number].process;
        let Some(host) = self.choose_host(process, avoid) else {
            let event = Event::AskLater(number).into();
            return self.driver.put(LOOK_AGAIN_MS, process, event);
        };
        if self.callers.asked[number].order && self.callers.asked[number].ticket.is_none() {
            let ticket = self.ticket(host);
            let asked = &mut self.callers.asked[number];
            if let Some(ticket) = &ticket {
                asked.request.id = ticket.request_id(&asked.request.id);
            }
            asked.ticket = ticket;
        }
        self.callers.asked[number].attempts += 1;
        self.note(&format!(
            "caller asks host {host} for {}",
            self.callers.asked[number].request.id
        ));
        let exchange = self.callers.next_exchange;
        self.callers.next_exchange += 1;
        let silent = self.driver.chance(self.callers.silent_permille);
        if silent {
            self.driver.count("silent_connection");
        }
        self.callers.exchanges.insert(
            exchange,
            Exchange {
                asked: number,
                host,
                silent,
                last_delivery: self.driver.now(),
            },
        );
        let asked = &self.callers.asked[number];
        let process = asked.process;
        let event = node::Event::Caller(outcome::Event::Submit {
            caller: outcome::Caller(exchange),
            submission: Box::new(asked.ask()),
        });
        let patience_ms = self.plan.document.deadline_ms + PATIENCE_MS;
        self.driver
            .put(patience_ms, process, Event::TimedOut(exchange).into());
        self.send_surely(process, host, event);
    }

    /// Sends over a connection: no loss and no doubling, but nothing gets through a cut.
    fn send_surely(&mut self, from: Process, host: Process, event: node::Event) {
        if self.driver.is_cut(from, host) {
            return;
        }
        let delay_ms = self.driver.delay_ms(from, host);
        let event = super::Event::Node(Box::new(event));
        self.driver.put(delay_ms, host, event);
    }

    /// Returns the first host of the answer that the caller keeps which is up: others refuse the
    /// connection at once.
    fn choose_host(&mut self, from: Process, avoid: Option<Process>) -> Option<Process> {
        let caller = (from, self.driver.draw(CALLERS_PER_PLACE));
        let now = self.driver.now();
        let kept = self.callers.kept.get(&caller);
        if kept.is_none_or(|kept| kept.until <= now) {
            let kept = self.look_up(from)?;
            self.callers.kept.insert(caller, kept);
        }
        let hosts = self.callers.kept[&caller].hosts.clone();
        let up = self.up();
        let usable = |host: &Process| up.contains(host) && Some(*host) != avoid;
        if let Some(host) = hosts.into_iter().find(usable) {
            return Some(host);
        }
        self.callers.kept.remove(&caller);
        let others: Vec<Process> = up.iter().copied().filter(usable).collect();
        let index = self.driver.draw(others.len() as u64) as usize;
        others.get(index).copied()
    }

    /// Asks any host that is up for addresses.
    fn look_up(&mut self, from: Process) -> Option<Kept> {
        let up = self.up();
        let index = self.driver.draw(up.len() as u64) as usize;
        let asked = up.get(index).copied()?;
        let now = self.driver.now();
        let seed = self.driver.draw(u64::MAX);
        let place = address::Location {
            region: Some(document::region_name(self.driver.place(from))),
            data_centre: None,
        };
        let view = self.nodes[asked].as_ref()?.view();
        let answer = address::resolve(&view, now, &place, seed);
        let process = |host: &Host| self.hosts.iter().position(|it| it.id.name == host.id.name);
        let hosts: Vec<Process> = answer.hosts.iter().filter_map(process).collect();
        for host in &hosts {
            let since = self.left_since.get(host);
            if since.is_some_and(|since| now.since_ms(*since) > super::checks::DRAIN_MS) {
                self.callers.named_leaving += 1;
            }
        }
        Some(Kept {
            hosts,
            until: now.after_ms(answer.ttl_ms),
        })
    }

    fn hang_up(&mut self, exchange: u64) {
        let Some(open) = self.callers.exchanges.get(&exchange) else {
            return;
        };
        let from = self.callers.asked[open.asked].process;
        let host = open.host;
        let event = node::Event::Caller(outcome::Event::CallerDisconnected(outcome::Caller(
            exchange,
        )));
        self.send_surely(from, host, event);
    }

    fn ask_again(&mut self, exchange: u64) {
        let Some(open) = self.callers.exchanges.remove(&exchange) else {
            return;
        };
        let asked = &self.callers.asked[open.asked];
        if asked.word.is_some() {
            return;
        }
        self.ask(open.asked, Some(open.host));
    }

    /// Brings what a host gives to its caller, in order, unless the connection is silent.
    pub(super) fn answer_caller(&mut self, host: Process, action: outcome::Action) {
        let Some(exchange) = exchange_of(&action) else {
            return;
        };
        let Some(open) = self.callers.exchanges.get(&exchange) else {
            return;
        };
        if open.silent {
            return;
        }
        let caller = self.callers.asked[open.asked].process;
        if self.driver.is_cut(host, caller) {
            return self.silence(exchange);
        }
        let delay_ms = self.driver.delay_ms(host, caller);
        let earliest = open_delivery(&self.callers, exchange);
        let at = self.driver.now().after_ms(delay_ms).max(earliest);
        if let Some(open) = self.callers.exchanges.get_mut(&exchange) {
            open.last_delivery = at;
        }
        let event = Event::Given(Box::new(action)).into();
        self.driver
            .put(at.since_ms(self.driver.now()), caller, event);
    }

    /// Lets nothing more through a connection that lost something in a cut.
    fn silence(&mut self, exchange: u64) {
        if let Some(open) = self.callers.exchanges.get_mut(&exchange) {
            open.silent = true;
        }
    }

    fn caller_given(&mut self, action: outcome::Action) {
        let Some(exchange) = exchange_of(&action) else {
            return;
        };
        let Some(open) = self.callers.exchanges.get(&exchange) else {
            return;
        };
        let number = open.asked;
        match action {
            outcome::Action::Piece { index, piece, .. } => {
                let known = self.callers.asked[number]
                    .pieces
                    .insert(index, piece.clone());
                if known.is_some_and(|known| known != piece) {
                    self.checks
                        .broken("crossed", &format!("piece {index} differs"));
                }
            }
            outcome::Action::Answer { request, body, .. } => {
                self.callers.exchanges.remove(&exchange);
                self.answered(number, &request, &body);
            }
            outcome::Action::Refuse { refusal, .. } => self.refused(exchange, number, refusal),
            _ => {}
        }
    }

    fn answered(&mut self, number: usize, request: &Request, body: &Body) {
        let asked = &self.callers.asked[number];
        let expected = super::checks::expected_answer(&self.plan.document, asked);
        if *request != asked.request {
            let text = format!(
                "{} was given the answer of {}",
                asked.request.id, request.id
            );
            self.checks.broken("crossed", &text);
        } else if expected.as_bytes() != &**body {
            let text = format!(
                "{}: {:?} in place of {expected:?}",
                asked.request.id,
                String::from_utf8_lossy(body)
            );
            self.checks.broken("truncated", &text);
        }
        let took_ms = self.driver.now().since_ms(asked.since);
        self.finish(number, Word::Answered(took_ms));
    }

    fn refused(&mut self, exchange: u64, number: usize, refusal: Refusal) {
        let asked = &self.callers.asked[number];
        let again = !asked.order
            && asked.attempts < ATTEMPTS
            && refusal.remedy == Remedy::AnotherHost
            && !self.quiet;
        if again {
            return self.ask_again(exchange);
        }
        self.callers.exchanges.remove(&exchange);
        let word = match refusal.run {
            Execution::NotRun => Word::NotRun(refusal),
            Execution::MayHaveRun => Word::MayHaveRun(refusal),
        };
        self.finish(number, word);
    }

    fn finish(&mut self, number: usize, word: Word) {
        let id = self.callers.asked[number].request.id.clone();
        self.note(&format!("caller of {id} hears {word:?}"));
        let asked = &mut self.callers.asked[number];
        asked.word.get_or_insert(word);
        asked.pieces.clear();
    }

    /// Resets all exchanges that are open at a host.
    pub(super) fn reset_exchanges(&mut self, host: Process) {
        let open: Vec<(u64, usize)> = self
            .callers
            .exchanges
            .iter()
            .filter(|(_, open)| open.host == host && !open.silent)
            .map(|(exchange, open)| (*exchange, open.asked))
            .collect();
        for (exchange, number) in open {
            let process = self.callers.asked[number].process;
            let delay_ms = self.driver.delay_ms(host, process);
            self.driver
                .put(delay_ms, process, Event::Reset(exchange).into());
        }
    }

    /// Returns how many exchanges are open at a host.
    pub fn open_exchanges(&self, host: Process) -> usize {
        let open = self.callers.exchanges.values();
        open.filter(|open| open.host == host && !open.silent)
            .count()
    }

    /// Asks a host for a ticket, as the address answer carries one.
    fn ticket(&self, home: Process) -> Option<Ticket> {
        let node = self.nodes[home].as_ref()?;
        ticket::issue(self.driver.now(), &node.view(), node.own())
    }
}

impl Asked {
    fn ask(&self) -> Submission {
        let subject = if self.subject.as_str() == document::PIPELINE {
            Subject::Pipeline(self.subject.clone())
        } else {
            Subject::Service(self.subject.clone())
        };
        Submission {
            request: self.request.clone(),
            subject,
            priority: self.priority,
            deadline_ms: None,
            ticket: self.ticket.clone(),
            prefix_hash: 0,
            resume_from: 0,
            retried: self.attempts > 1,
            body: self.request.id.as_bytes().into(),
        }
    }
}

impl Event {
    fn arrive() -> super::Event {
        Self::Arrive.into()
    }
}

impl From<Event> for super::Event {
    fn from(event: Event) -> Self {
        Self::Caller(event)
    }
}

fn exchange_of(action: &outcome::Action) -> Option<u64> {
    match action {
        outcome::Action::Piece { caller, .. }
        | outcome::Action::Answer { caller, .. }
        | outcome::Action::Refuse { caller, .. } => Some(caller.0),
        _ => None,
    }
}

fn open_delivery(callers: &Callers, exchange: u64) -> Instant {
    match callers.exchanges.get(&exchange) {
        Some(open) => open.last_delivery,
        None => Instant::ZERO,
    }
}
