//! Faults and operators: what strikes, how often, and what ends it.

use teaselchute::{
    core::{
        address,
        document::{
            Edit,
            Organisation, //
        },
        log, node,
        replica::{
            Answer,
            Requester, //
        },
        state::{
            Change,
            Record,
            Target,
            Verdict, //
        },
    },
    names::Name,
    time::Instant,
};

use super::{
    ENVIRONMENT,
    World,
    document, //
};
use crate::driver::{
    Network,
    Process, //
};

/// Time between two load reports of a server, in milliseconds.
pub const LOAD_REPORT_MS: u64 = 500;

/// Longest lag of a load report, in milliseconds.
pub const LOAD_LAG_MS: u64 = 1_000;

/// Records that the log keeps when it forgets.
const LOG_KEEPS: usize = 16;

/// Longest time for which a host that leaves is given to finish, in milliseconds.
pub const LEAVE_MS: u64 = 60_000;

/// How often faults strike. All are off by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Mean time between two faults of the kinds below, in milliseconds, 0 for none.
    pub every_ms: u64,
    /// The kinds that strike.
    pub kinds: Vec<Kind>,
    /// Chance in a thousand that the answer to an append is lost.
    pub lost_append_permille: u64,
    /// Chance in a thousand that an append takes effect late.
    pub late_append_permille: u64,
    /// Chance in a thousand that a caller's connection falls silent.
    pub silent_permille: u64,
    /// Chance in a thousand that a call fails on its server.
    pub server_fail_permille: u64,
    /// Mean time between two changes by operators, in milliseconds, 0 for none.
    pub change_every_ms: u64,
}

/// Kinds of faults and of operators' doings that strike at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A host crashes and is replaced after a while.
    Crash,
    /// A host is paused.
    Pause,
    /// Two regions lose each other, in one direction or both.
    RegionCut,
    /// The log answers nobody.
    LogOutage,
    /// A server restarts cold.
    ServerCold,
    /// All servers of a data centre restart cold.
    ZoneCold,
    /// Operators take a data centre out and bring it back later.
    Drain,
    /// A host is told to leave and is restarted when it has finished.
    Leave,
    /// The log forgets old records.
    Forget,
}

/// All kinds.
pub const ALL: &[Kind] = &[
    Kind::Crash,
    Kind::Pause,
    Kind::RegionCut,
    Kind::LogOutage,
    Kind::ServerCold,
    Kind::ZoneCold,
    Kind::Drain,
    Kind::Leave,
    Kind::Forget,
];

/// A fault strikes or ends.
#[derive(Clone, Debug)]
pub enum Event {
    /// A fault of a random kind strikes.
    Strike,
    /// A fault of a kind strikes.
    Now(Kind),
    /// A host that stopped is replaced.
    Replace(Process),
    /// A host that leaves is looked at: whether it has finished.
    Left(Process, Instant),
    /// The log answers again.
    LogBack,
    /// An operator sends an order for a data centre.
    Drain(usize, bool),
    /// An operator publishes a change.
    Change,
    /// A host gives up on the log.
    LogTimeout(Process, u64, Box<log::Event>),
}

/// An operator's proposal that waits for its answer.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The change's or order's id.
    pub id: Name,
    /// Revision on which a change was based.
    pub based_on: Option<u64>,
    /// The answer.
    pub answer: Option<Answer>,
}

impl World {
    pub(super) fn start_faults(&mut self) {
        self.callers.silent_permille = self.plan.faults.silent_permille;
        for server in &mut self.servers {
            server.fail_permille = self.plan.faults.server_fail_permille;
        }
        self.strike_later();
        self.change_later();
    }

    fn strike_later(&mut self) {
        let every_ms = self.plan.faults.every_ms;
        if every_ms > 0 {
            let delay_ms = self.driver.draw(2 * every_ms);
            self.schedule(delay_ms, Event::Strike);
        }
    }

    fn change_later(&mut self) {
        let every_ms = self.plan.faults.change_every_ms;
        if every_ms > 0 {
            let delay_ms = self.driver.draw(2 * every_ms);
            self.schedule(delay_ms, Event::Change);
        }
    }

    /// Schedules a fault or the end of one.
    pub fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.driver
            .put(delay_ms, self.platform, super::Event::Fault(event));
    }

    pub(super) fn fault(&mut self, event: Event) {
        match event {
            Event::Strike => self.strike(),
            Event::Now(kind) => self.strike_kind(kind),
            Event::Replace(process) => self.start_host(process),
            Event::Left(process, deadline) => self.left(process, deadline),
            Event::LogBack => {
                self.log.down = false;
                self.note("log is back");
            }
            Event::Drain(data_centre, out) => self.propose_drain(data_centre, out),
            Event::Change => self.change(),
            Event::LogTimeout(process, life, event) => self.log_timed_out(process, life, *event),
        }
    }

    fn strike(&mut self) {
        if self.quiet || self.plan.faults.kinds.is_empty() {
            return;
        }
        self.strike_later();
        if self.deck.is_empty() {
            self.deck = self.plan.faults.kinds.clone();
        }
        let index = self.driver.draw(self.deck.len() as u64) as usize;
        let kind = self.deck.swap_remove(index);
        self.strike_kind(kind);
    }

    /// Lets a fault of a kind strike something at random.
    pub fn strike_kind(&mut self, kind: Kind) {
        let up = self.up();
        let index = self.driver.draw(up.len() as u64) as usize;
        let host = up.get(index).copied();
        match (kind, host) {
            (Kind::Crash, Some(host)) => self.crash(host),
            (Kind::Pause, Some(host)) => {
                let for_ms = 200 + self.driver.draw(15_000);
                self.note(&format!("host {host} pauses for {for_ms} ms"));
                self.driver.pause(host, for_ms);
            }
            (Kind::RegionCut, _) => self.cut_regions(),
            (Kind::LogOutage, _) => self.log_outage(),
            (Kind::ServerCold, _) => {
                let number = self.driver.draw(self.servers.len() as u64) as usize;
                self.restart_server(number);
            }
            (Kind::ZoneCold, _) => self.zone_cold(),
            (Kind::Drain, _) => {
                let data_centre = self.driver.draw(self.plan.document.data_centres as u64);
                let back_ms = 10_000 + self.driver.draw(30_000);
                self.schedule(0, Event::Drain(data_centre as usize, true));
                self.schedule(back_ms, Event::Drain(data_centre as usize, false));
            }
            (Kind::Leave, Some(host)) => self.leave(host),
            (Kind::Forget, _) => {
                self.driver.count("log_forgets");
                self.log.forget(LOG_KEEPS);
            }
            (_, None) => {}
        }
    }

    fn crash(&mut self, host: Process) {
        if self.up().len() < 2 {
            return;
        }
        self.stop_host(host);
        let back_ms = 500 + self.driver.draw(10_000);
        self.schedule(back_ms, Event::Replace(host));
    }

    /// Cuts a region from another one, in one direction or both, or from all others.
    fn cut_regions(&mut self) {
        let places = self.plan.document.places();
        let from = self.driver.draw(places.len() as u64) as usize;
        let step = 1 + self.driver.draw(places.len().saturating_sub(1) as u64) as usize;
        let other = (from + step) % places.len();
        let for_ms = 1_000 + self.driver.draw(20_000);
        let from_all = self.driver.chance(400);
        let both_ways = from_all || self.driver.chance(700);
        for to in 0..places.len() {
            if to == other || (from_all && to != from) {
                self.note(&format!(
                    "regions {from} and {to} lose each other for {for_ms} ms"
                ));
                self.driver.cut(places[from], places[to], for_ms);
                if both_ways {
                    self.driver.cut(places[to], places[from], for_ms);
                }
            }
        }
    }

    fn log_outage(&mut self) {
        self.driver.count("log_outage");
        self.log.down = true;
        self.note("log is down");
        let for_ms = 1_000 + self.driver.draw(20_000);
        self.schedule(for_ms, Event::LogBack);
    }

    fn zone_cold(&mut self) {
        self.driver.count("zone_cold");
        let data_centre = self.driver.draw(self.plan.document.data_centres as u64) as usize;
        for number in 0..self.servers.len() {
            if self.place_of_server(number).data_centre == data_centre {
                self.restart_server(number);
            }
        }
    }

    /// Tells a host to leave. It is stopped and replaced once it has finished.
    pub fn leave(&mut self, host: Process) {
        if self.leaving.contains(&host) || self.up().len() < 3 {
            return;
        }
        self.driver.count("leave");
        self.note(&format!("host {host} leaves"));
        self.leaving.insert(host);
        self.left_since.insert(host, self.driver.now());
        self.change_listed();
        self.step(host, node::Event::Leave);
        let deadline = self.driver.now().after_ms(LEAVE_MS);
        self.schedule(address::drain_ms(), Event::Left(host, deadline));
    }

    fn left(&mut self, host: Process, deadline: Instant) {
        if !self.leaving.contains(&host) {
            return;
        }
        let open = self.open_exchanges(host);
        let idle = self.nodes[host].as_ref().is_none_or(|node| node.is_idle());
        let overdue = self.driver.now() >= deadline;
        if (open > 0 || !idle) && !overdue {
            return self.schedule(500, Event::Left(host, deadline));
        }
        if open > 0 {
            let text = format!("host {host} left with {open} open exchanges");
            self.checks.broken("interrupted", &text);
        }
        self.stop_host(host);
        self.schedule(500, Event::Replace(host));
    }

    fn propose_drain(&mut self, data_centre: usize, out: bool) {
        self.driver.count("drain");
        let place = self.plan.document.places()[data_centre];
        let target = Target::DataCentre(document::data_centre_name(place));
        self.propose(|id| Record::Drain {
            id,
            target,
            drained: out,
        });
    }

    fn change(&mut self) {
        if self.quiet {
            return;
        }
        self.change_later();
        self.driver.count("change");
        // Operators race: two changes at once on the same base.
        let racers = 1 + u64::from(self.driver.chance(200));
        for _ in 0..racers {
            let number = self.driver.draw(self.plan.document.organisations as u64) as usize;
            let Some(based_on) = self.any_revision() else {
                return;
            };
            let weight = 1 + self.driver.draw(5) as u32;
            let organisation = self.organisation(number, weight);
            let name = document::organisation_name(number);
            self.propose(|id| {
                Record::Change(Change {
                    id,
                    environment: Name::from(ENVIRONMENT),
                    based_on,
                    edits: vec![Edit::Organisation(name, Some(organisation))],
                })
            });
        }
    }

    fn organisation(&self, number: usize, weight: u32) -> Organisation {
        let document = self.plan.document.document();
        let organisation = &document.organisations[&document::organisation_name(number)];
        let mut organisation = Organisation::clone(organisation);
        organisation.weight = weight;
        organisation
    }

    fn any_revision(&mut self) -> Option<u64> {
        let up = self.up();
        let index = self.driver.draw(up.len() as u64) as usize;
        let node = self.nodes[*up.get(index)?].as_ref()?;
        node.with_control(|control| {
            let state = control.replica().state();
            let environment = state.environments.get(ENVIRONMENT)?;
            Some(environment.revision)
        })
    }

    /// Proposes a record at a random host, as an operator does.
    pub fn propose(&mut self, record: impl FnOnce(Name) -> Record) {
        let up = self.up();
        let index = self.driver.draw(up.len() as u64) as usize;
        let Some(host) = up.get(index).copied() else {
            return;
        };
        let number = self.checks.proposals.len() as u64;
        let id = Name::from(format!("proposal-{number}"));
        let record = record(id.clone());
        let based_on = match &record {
            Record::Change(change) => Some(change.based_on),
            _ => None,
        };
        self.checks.proposals.push(Proposal {
            id: id.clone(),
            based_on,
            answer: None,
        });
        self.note(&format!("operator proposes {id} at host {host}"));
        let event = node::Event::Propose {
            requester: Requester(number),
            record: Box::new(record),
        };
        self.driver
            .put(3, host, super::Event::Node(Box::new(event)));
    }

    pub(super) fn proposal_answered(&mut self, requester: Requester, answer: &Answer) {
        let index = requester.0 as usize;
        let id = self.checks.proposals[index].id.clone();
        self.note(&format!("operator of {id} hears {answer:?}"));
        self.checks.proposals[index].answer = Some(answer.clone());
        if let Answer::Verdict(Verdict::Accepted(position)) = answer {
            self.checks.accepted(*position);
        }
    }

    /// Ends all faults and new requests, so that the system can settle.
    pub(super) fn quieten(&mut self) {
        self.quiet = true;
        self.log.down = false;
        self.callers.silent_permille = 0;
        self.driver.network = Network {
            loss_permille: 0,
            double_permille: 0,
            hold_permille: 0,
            ..self.driver.network
        };
        for server in &mut self.servers {
            server.fail_permille = 0;
        }
        self.note("faults end");
    }
}
