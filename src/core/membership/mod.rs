//! Membership: which hosts live, by heartbeats, the platform's host list and the log.
//!
//! See `docs/membership-design.md`.

use crate::{
    core::{
        decision::{
            Decision,
            Kind,
            value, //
        },
        host::{
            Host,
            Id, //
        },
        outcome::ticket,
        roster::Progress,
        state::Roster,
        view::Member,
    },
    names::Name,
    time::Instant,
};

mod entry;
mod hearing;
mod heartbeat;
mod message;
mod probe;
mod rumour;
mod table;

pub use message::{
    Message,
    News,
    Registration,
    Said,
    Standing, //
};
use probe::Prober;
use rumour::Queue;
use table::Table;

/// Time between two pings, in milliseconds.
const PING_EVERY_MS: u64 = 500;

/// Time between two rounds of news without a question, while there is news, in milliseconds.
const NEWS_EVERY_MS: u64 = 200;

/// Time between two comparisons of whole tables, in milliseconds.
const COMPARE_EVERY_MS: u64 = 10_000;

/// Time without a tick after which the host knows that it was paused itself, in milliseconds.
const OWN_PAUSE_MS: u64 = 400;

/// What membership is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The platform's host list, read again.
    HostList(Vec<Registration>),
    /// A message of another host's membership.
    Message {
        /// Who sent it.
        from: Host,
        /// What it says.
        message: Message,
    },
    /// This host leaves.
    Leave,
    /// This host has shrunk its calls to the roster of this epoch.
    RosterSeen(u64),
    /// This host serves from now on.
    Serving,
    /// The rosters in force: the current one and the one before.
    Rosters(Roster, Roster),
}

/// What membership wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another host's membership.
    Send {
        /// To whom.
        to: Host,
        /// What.
        message: Message,
    },
    /// Log a decision.
    Decide(Decision),
}

/// How membership learns of other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By heartbeats, news and the host list.
    #[default]
    Gossip,
    /// By the host list alone.
    HostListOnly,
}

/// What this host knows of all others.
pub struct Membership {
    own: Host,
    policy: Policy,
    refutation: u64,
    leaving_since: Option<Instant>,
    leave_told: usize,
    roster_seen: u64,
    serving_since: Option<Instant>,
    roster: Roster,
    previous: Roster,
    progress: Progress,
    is_over: bool,
    table: Table,
    rumours: Queue,
    prober: Prober,
    last_tick: Option<Instant>,
    next_ping: Instant,
    next_news: Instant,
    next_compare: Instant,
    revision: u64,
    now: Instant,
}

impl Membership {
    /// Makes a membership that knows only this host.
    pub fn new(own: Host, policy: Policy, seed: u64) -> Self {
        let mut rumours = Queue::default();
        rumours.put(News::bare(own.clone(), Said::Alive));
        Self {
            policy,
            refutation: 0,
            leaving_since: None,
            leave_told: 0,
            roster_seen: 0,
            serving_since: None,
            roster: Roster::default(),
            previous: Roster::default(),
            progress: Progress::default(),
            is_over: false,
            table: Table::new(own.clone()),
            rumours,
            prober: Prober::new(&own.id, seed),
            last_tick: None,
            next_ping: Instant::ZERO,
            next_news: Instant::ZERO,
            next_compare: Instant::ZERO,
            revision: 0,
            now: Instant::ZERO,
            own,
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = now;
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::HostList(list) => self.host_list(now, &list, &mut out),
            Event::Message { from, message } if self.policy == Policy::Gossip => {
                self.message(now, &from, message, &mut out);
            }
            Event::Message { .. } => {}
            Event::Leave => {
                self.leaving_since.get_or_insert(now);
                self.rumours.put(self.own_news());
                self.tell_leave(now, &mut out);
            }
            Event::RosterSeen(epoch) => {
                self.roster_seen = self.roster_seen.max(epoch.min(self.roster.epoch));
                self.note_progress();
            }
            Event::Serving => {
                if self.serving_since.is_none() {
                    self.serving_since = Some(now);
                    self.rumours.put(self.own_news());
                }
            }
            Event::Rosters(roster, previous) => self.rosters(now, roster, previous),
        }
        out
    }

    /// Returns all known members but this host, sorted by id.
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// Returns a number that rises whenever the members, the host's own end or the progress of the
    /// roster changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether this life of a host is known to be over for good, not merely silent.
    pub fn is_gone(&self, id: &Id) -> bool {
        self.table.is_gone(id)
    }

    /// Returns whether this life of a host is over and no later life of it is known.
    pub fn is_vacant(&self, id: &Id) -> bool {
        self.table.is_vacant(id)
    }

    /// Returns since when this host serves.
    pub fn serving_since(&self) -> Option<Instant> {
        self.serving_since
    }

    /// Returns whether others hold this host's own life for over, so that it must start no work.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Returns whether every member of the roster before the one of this epoch is known to have
    /// left it. A roster that membership wasn't told of yet is never closed.
    pub fn is_previous_closed(&self, epoch: u64) -> bool {
        self.progress.epoch == epoch && self.progress.is_complete(self.previous.members.len())
    }

    /// Returns who is known to have left the roster before.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    fn own_news(&self) -> News {
        News::told(self.own.clone(), &self.standing())
    }

    fn standing(&self) -> Standing {
        Standing {
            refutation: self.refutation,
            state: match self.leaving_since {
                Some(_) => Said::Leaving,
                None => Said::Alive,
            },
            roster_seen: self.roster_seen,
            generation: ticket::generation(self.now),
            serving_ms: self.serving_since.map(|since| self.now.since_ms(since)),
            progress: self.progress.clone(),
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.policy == Policy::HostListOnly {
            self.note_progress();
            return;
        }
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last| now.since_ms(last) > OWN_PAUSE_MS) {
            // Answers may stand in the queue behind this tick, so silence proves nothing.
            self.prober.forget();
        }
        self.tell_leave(now, out);
        self.check_probes(now, out);
        if now >= self.next_ping {
            self.next_ping = now.after_ms(PING_EVERY_MS);
            self.ping(now, out);
            self.note_progress();
        }
        if now >= self.next_news {
            self.next_news = now.after_ms(NEWS_EVERY_MS);
            self.spread(out);
        }
        if now >= self.next_compare {
            let soon = self.next_compare == Instant::ZERO || self.table.len() == 0;
            self.next_compare = now.after_ms(if soon { 1_000 } else { COMPARE_EVERY_MS });
            self.compare(out);
        }
    }

    fn rosters(&mut self, now: Instant, roster: Roster, previous: Roster) {
        if roster.epoch != self.roster.epoch || previous.members != self.previous.members {
            self.progress = Progress::new(roster.epoch, previous.members.len());
        }
        let ids: Vec<Id> = roster
            .members
            .iter()
            .chain(&previous.members)
            .cloned()
            .collect();
        self.table.expect(now, &ids);
        self.roster = roster;
        self.previous = previous;
        self.note_progress();
    }

    /// Notes who has left the roster before: a member that shrank, or whose place is vacant.
    fn note_progress(&mut self) {
        let epoch = self.progress.epoch;
        let mut is_new = false;
        for (index, id) in self.previous.members.iter().enumerate() {
            if self.progress.has_left(index) {
                continue;
            }
            let has_left = if id.name == self.own.id.name {
                self.roster_seen >= epoch
            } else {
                let seen = self.table.roster_seen(&id.name);
                seen.is_some_and(|seen| seen >= epoch) || self.table.is_vacant(id)
            };
            if has_left {
                self.progress.set_left(index);
                is_new = true;
            }
        }
        if is_new {
            self.revision += 1;
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        news: &News,
        rule: &'static str,
        waited_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.revision += 1;
        let choice = match news.state {
            Said::Alive => "alive",
            Said::Suspect => "suspect",
            Said::Leaving => "leaving",
            Said::Gone => "gone",
        };
        out.push(Action::Decide(Decision {
            at: now,
            kind: Kind::Membership,
            subject: news.host.id.name.clone(),
            stage: None,
            rule: Name::from(rule),
            choice: Name::from(choice),
            values: vec![
                value("incarnation", news.host.id.incarnation),
                value("refutation", news.refutation),
                value("waited_ms", waited_ms),
            ],
            candidates: Vec::new(),
        }));
    }
}
