//! Tests of the outcome module, with the coordinators of a few hosts and a simulated network.

mod answers;
mod idempotent;
mod leaving;
mod non_idempotent;
mod records;
mod remote;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    net::SocketAddr,
    sync::Arc,
};

use teaselchute::{
    core::{
        call::{
            self,
            Body,
            Call,
            Completion,
            Request, //
        },
        document::{
            Document,
            Kind,
            Pipeline,
            Pool,
            Service,
            Stage, //
        },
        host::{
            Host,
            Id, //
        },
        outcome::{
            Action,
            Caller,
            Event,
            Message,
            Policy,
            Subject,
            Submission,
            Ticket,
            coordinator::Coordinator,
            ticket, //
        },
        refusal::Refusal,
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

/// Call timeout of all pools, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 1_000;

/// Deadline of all requests, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;

/// Coordinators of a few hosts, each in its own data centre.
pub struct Cluster {
    pub now: Instant,
    pub views: Vec<View>,
    /// Coordinator of each host, `None` while the host is down.
    pub coordinators: Vec<Option<Coordinator>>,
    /// Pairs of sender and receiver between which messages are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Calls that were handed to their pools and haven't ended, with their host.
    pub offers: Vec<(usize, Call)>,
    /// Calls that were cancelled.
    pub cancelled: Vec<call::Id>,
    /// Pieces, answers and refusals that were sent to callers.
    pub delivered: Vec<Action>,
    messages: VecDeque<(usize, Id, Message)>,
}

impl Cluster {
    pub fn new(hosts: usize) -> Self {
        let ids: Vec<Host> = (0..hosts).map(|index| host(index, 1)).collect();
        let views = (0..hosts).map(|own| view(&ids, own)).collect();
        Self {
            now: Instant::from_ms(100_000),
            views,
            coordinators: (0..hosts)
                .map(|_| Some(Coordinator::new(0, 1, Policy::Teaselchute)))
                .collect(),
            blocked_links: BTreeSet::new(),
            offers: Vec::new(),
            cancelled: Vec::new(),
            delivered: Vec::new(),
            messages: VecDeque::new(),
        }
    }

    /// Passes an event to a host and delivers all messages that result from it.
    pub fn handle_event(&mut self, host: usize, event: Event) {
        self.step(host, event);
        while let Some((from, to, message)) = self.messages.pop_front() {
            let target = self.views.iter().position(|view| view.own.id == to);
            let Some(target) =
                target.filter(|target| !self.blocked_links.contains(&(from, *target)))
            else {
                continue;
            };
            let from = self.views[from].own.id.clone();
            self.step(target, Event::Message { from, message });
        }
    }

    fn step(&mut self, host: usize, event: Event) {
        let Some(coordinator) = &mut self.coordinators[host] else {
            return;
        };
        for action in coordinator.step(self.now, &self.views[host], event) {
            match action {
                Action::Offer(call) => self.offers.push((host, call)),
                Action::Cancel { call, .. } => self.cancelled.push(call),
                Action::Send { to, message } => self.messages.push_back((host, to, message)),
                Action::Decide(_) => {}
                action => self.delivered.push(action),
            }
        }
    }

    /// Advances time in steps of 50 ms, with a tick of every host in each.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.after_ms(ms);
        while self.now < end {
            self.now = self.now.after_ms(50);
            for host in 0..self.coordinators.len() {
                self.handle_event(host, Event::Tick);
            }
        }
    }

    /// Stops a host. If `detected`, the other hosts remove it from their views.
    pub fn crash(&mut self, host: usize, detected: bool) {
        self.coordinators[host] = None;
        let id = self.views[host].own.id.clone();
        if detected {
            for view in &mut self.views {
                view.members.retain(|member| member.host.id != id);
            }
        }
    }

    /// Restarts a host in a new incarnation, and updates the views of the other hosts.
    pub fn restart(&mut self, index: usize) {
        self.crash(index, true);
        self.coordinators[index] = Some(Coordinator::new(0, 1, Policy::Teaselchute));
        self.views[index].own = host(index, 2);
        let member = member(&self.views[index].own);
        for (other, view) in self.views.iter_mut().enumerate() {
            if other != index {
                view.members.push(member.clone());
            }
        }
    }

    pub fn ticket(&self, home: usize) -> Ticket {
        let view = &self.views[home];
        ticket::issue(self.now, view, &view.own).expect("no other host is alive")
    }

    /// Returns the index of a ticket's witness.
    pub fn witness(&self, ticket: &Ticket) -> usize {
        let witness = &ticket.witness.name;
        let mut views = self.views.iter();
        views
            .position(|view| view.own.id.name == *witness)
            .expect("the witness isn't one of the hosts")
    }

    /// Returns a host that is neither the ticket's home nor its witness.
    pub fn other_host(&self, ticket: &Ticket) -> usize {
        let named = [&ticket.home.name, &ticket.witness.name];
        let mut views = self.views.iter();
        views
            .position(|view| !named.contains(&&view.own.id.name))
            .expect("every host is the home or the witness")
    }

    pub fn submit(&mut self, host: usize, caller: u64, submission: &Submission) {
        let submission = Box::new(submission.clone());
        let caller = Caller(caller);
        self.handle_event(host, Event::Submit { caller, submission });
    }

    /// Ends the oldest open call.
    pub fn end_call(&mut self, end: Completion) -> Call {
        let (host, call) = self.offers.remove(0);
        let server = Name::from(format!("server-{}", call.attempt));
        let id = call.id;
        let event = Event::Ended {
            call: id,
            server,
            end,
        };
        self.handle_event(host, event);
        call
    }

    /// Delivers a piece of the oldest open call's answer.
    pub fn receive_piece(&mut self, index: u64, piece: &str) {
        let (host, call) = self.offers[0].clone();
        let event = Event::Piece {
            call: call.id,
            index,
            piece: body(piece),
        };
        self.handle_event(host, event);
    }

    /// Returns the refusal of a caller, which must be the only one.
    pub fn refusal(&self, wanted: u64) -> &Refusal {
        let mut refusals = self.delivered.iter().filter_map(|action| match action {
            Action::Refuse {
                caller, refusal, ..
            } if caller.0 == wanted => Some(refusal),
            _ => None,
        });
        let refusal = refusals.next().expect("the caller wasn't refused");
        assert_eq!(refusals.next(), None);
        refusal
    }

    /// Returns the answers that a caller received.
    pub fn answers(&self, wanted: u64) -> Vec<String> {
        let answers = self.delivered.iter().filter_map(|action| match action {
            Action::Answer { caller, body, .. } if caller.0 == wanted => {
                Some(String::from_utf8_lossy(body).into_owned())
            }
            _ => None,
        });
        answers.collect()
    }

    /// Returns the pieces that a caller received.
    pub fn pieces(&self, wanted: u64) -> Vec<(u64, String)> {
        let pieces = self.delivered.iter().filter_map(|action| match action {
            Action::Piece {
                caller,
                index,
                piece,
            } if caller.0 == wanted => Some((*index, String::from_utf8_lossy(piece).into_owned())),
            _ => None,
        });
        pieces.collect()
    }

    pub fn coordinator(&self, host: usize) -> &Coordinator {
        self.coordinators[host].as_ref().expect("the host is down")
    }
}

pub fn body(text: &str) -> Body {
    text.as_bytes().into()
}

pub fn answered(text: &str) -> Completion {
    Completion::Answered(body(text))
}

/// Returns a non-idempotent request under a ticket.
pub fn order(ticket: &Ticket) -> Submission {
    Submission {
        request: Request {
            organisation: Name::from("stalls"),
            id: ticket.request_id("order-1"),
        },
        subject: Subject::Service(Name::from("place-order")),
        ticket: Some(ticket.clone()),
        ..chat()
    }
}

/// Returns an idempotent request of a pipeline with two stages.
pub fn chat() -> Submission {
    Submission {
        request: Request {
            organisation: Name::from("stalls"),
            id: Name::from("chat-1"),
        },
        subject: Subject::Pipeline(Name::from("chat")),
        priority: None,
        deadline_ms: None,
        ticket: None,
        prefix_hash: 0,
        resume_from: 0,
        retried: false,
        body: body("sugar"),
    }
}

/// Returns an idempotent request whose answer is still wanted after the deadline.
pub fn late_chat() -> Submission {
    Submission {
        subject: Subject::Pipeline(Name::from("plan")),
        ..chat()
    }
}

fn host(index: usize, incarnation: u64) -> Host {
    let address = SocketAddr::from(([10, 0, 0, 1], 7_000 + index as u16));
    Host {
        id: Id {
            name: Name::from(format!("entry-{index}")),
            incarnation,
        },
        data_centre: Name::from(format!("dc-{index}")),
        region: Name::from(format!("region-{index}")),
        http: address,
        peer: address,
        weight: 1,
    }
}

fn member(host: &Host) -> Member {
    Member {
        host: host.clone(),
        health: Health::Alive,
        roster_epoch: 0,
        ticket_generation: 1,
        serving_since: Some(Instant::ZERO),
    }
}

fn view(hosts: &[Host], own: usize) -> View {
    let others = hosts.iter().enumerate().filter(|(index, _)| *index != own);
    View {
        own: hosts[own].clone(),
        serving: true,
        serving_since: Some(Instant::ZERO),
        mutation: teaselchute::core::mutation::Mutation::None,
        leaving: false,
        document: Arc::new(document()),
        position: Position::default(),
        fresh_at: Instant::ZERO,
        drained: BTreeSet::new(),
        roster: Roster::default(),
        previous_roster: Roster::default(),
        members: others.map(|(_, host)| member(host)).collect(),
    }
}

fn document() -> Document {
    let mut document = Document::default();
    for name in ["encode", "generate", "orders"] {
        let pool = Pool {
            kind: Kind::Service,
            cold_limit: 1,
            full_limit: 10,
            warm_up_ms: 1_000,
            call_timeout_ms: CALL_TIMEOUT_MS,
            price_milli: 0,
            servers: BTreeMap::new(),
        };
        document.pools.insert(Name::from(name), Arc::new(pool));
    }
    for (name, late_answer_wanted) in [("chat", false), ("plan", true)] {
        let stages = ["encode", "generate"].iter().map(|pool| Stage {
            name: Name::from(*pool),
            pool: Name::from(*pool),
            model: None,
        });
        let pipeline = Pipeline {
            stages: stages.collect(),
            deadline_ms: DEADLINE_MS,
            late_answer_wanted,
            priority: 1,
        };
        let name = Name::from(name);
        document.pipelines.insert(name, Arc::new(pipeline));
    }
    let service = Service {
        pool: Name::from("orders"),
        idempotent: false,
        deadline_ms: DEADLINE_MS,
    };
    let name = Name::from("place-order");
    document.services.insert(name, Arc::new(service));
    document
}
