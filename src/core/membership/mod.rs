//! Membership: which hosts are alive, from heartbeats, gossip and the platform's host list.
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
mod gossip;
mod heartbeat;
mod message;
mod probe;
mod receive;
mod table;

use gossip::Queue;
pub use message::{
    Message,
    Registration,
    State,
    Status,
    Update, //
};
use probe::Prober;
use table::Table;

/// Time between two pings, in milliseconds.
const PING_INTERVAL_MS: u64 = 500;

/// Time between two rounds of gossip while updates are queued, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 200;

/// Time between two rounds of anti-entropy, which compares whole tables, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 10_000;

/// Time between two ticks above which this host was paused itself, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 400;

/// Input of membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The platform's host list was read.
    HostList(Vec<Registration>),
    /// A message arrived from another host's membership.
    Message {
        /// The sender.
        from: Host,
        /// The message.
        message: Message,
    },
    /// This host starts to leave.
    Leave,
    /// The calls of this host fit its share under the roster of this epoch.
    RosterApplied(u64),
    /// This host serves from now on.
    Serving,
    /// The current and the previous roster.
    Rosters(Roster, Roster),
}

/// Output of membership, for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another host's membership.
    Send {
        /// The receiver.
        to: Host,
        /// The message.
        message: Message,
    },
    /// Log a decision.
    Decide(Decision),
}

/// How membership learns of other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By heartbeats, gossip and the host list.
    #[default]
    Gossip,
    /// By the host list only, as a baseline.
    HostListOnly,
}

/// Membership as one host knows it.
pub struct Membership {
    own: Host,
    policy: Policy,
    /// Refutation counter of this host.
    refutation: u64,
    leaving_since: Option<Instant>,
    /// Number of broadcasts sent since this host started to leave.
    leave_broadcasts: usize,
    /// Epoch of the newest roster whose share the calls of this host fit.
    roster_epoch: u64,
    serving_since: Option<Instant>,
    roster: Roster,
    previous_roster: Roster,
    /// Members known to have left the previous roster.
    progress: Progress,
    is_declared_gone: bool,
    table: Table,
    gossip: Queue,
    prober: Prober,
    last_tick: Option<Instant>,
    next_ping: Instant,
    next_gossip: Instant,
    next_sync: Instant,
    revision: u64,
    now: Instant,
}

impl Membership {
    /// Makes a membership that knows only this host.
    pub fn new(own: Host, policy: Policy, seed: u64) -> Self {
        let mut gossip = Queue::default();
        gossip.push(Update::from_state(own.clone(), State::Alive));
        Self {
            policy,
            refutation: 0,
            leaving_since: None,
            leave_broadcasts: 0,
            roster_epoch: 0,
            serving_since: None,
            roster: Roster::default(),
            previous_roster: Roster::default(),
            progress: Progress::default(),
            is_declared_gone: false,
            table: Table::new(own.clone()),
            gossip,
            prober: Prober::new(&own.id, seed),
            last_tick: None,
            next_ping: Instant::ZERO,
            next_gossip: Instant::ZERO,
            next_sync: Instant::ZERO,
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
            Event::HostList(list) => self.handle_host_list(now, &list, &mut out),
            Event::Message { from, message } if self.policy == Policy::Gossip => {
                self.handle_message(now, &from, message, &mut out);
            }
            Event::Message { .. } => {}
            Event::Leave => {
                self.leaving_since.get_or_insert(now);
                self.gossip.push(self.own_update());
                self.broadcast_leave(now, &mut out);
            }
            Event::RosterApplied(epoch) => {
                self.roster_epoch = self.roster_epoch.max(epoch.min(self.roster.epoch));
                self.update_progress();
            }
            Event::Serving => {
                if self.serving_since.is_none() {
                    self.serving_since = Some(now);
                    self.gossip.push(self.own_update());
                }
            }
            Event::Rosters(roster, previous_roster) => {
                self.set_rosters(now, roster, previous_roster)
            }
        }
        out
    }

    /// Returns all known members but this host, sorted by id.
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// Returns a counter that is raised when the members, the roster progress or
    /// [`Self::is_declared_gone`] changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether this incarnation is known to have ended for good, not merely suspected.
    pub fn is_gone(&self, id: &Id) -> bool {
        self.table.is_gone(id)
    }

    /// Returns whether this incarnation is gone and no later one of the same host is known.
    pub fn is_gone_without_successor(&self, id: &Id) -> bool {
        self.table.is_gone_without_successor(id)
    }

    /// Returns when this host started to serve, `None` before that.
    pub fn serving_since(&self) -> Option<Instant> {
        self.serving_since
    }

    /// Returns whether other hosts declared this incarnation gone, so that it must start no work.
    pub fn is_declared_gone(&self) -> bool {
        self.is_declared_gone
    }

    /// Returns whether every member of the roster before the one of this epoch is known to have
    /// left it. Always false for an epoch that membership does not know yet.
    pub fn is_previous_roster_retired(&self, epoch: u64) -> bool {
        self.progress.epoch == epoch
            && self
                .progress
                .is_complete(self.previous_roster.members.len())
    }

    /// Returns which members are known to have left the previous roster.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    fn own_update(&self) -> Update {
        Update::from_status(self.own.clone(), &self.status())
    }

    fn status(&self) -> Status {
        Status {
            refutation: self.refutation,
            state: match self.leaving_since {
                Some(_) => State::Leaving,
                None => State::Alive,
            },
            roster_epoch: self.roster_epoch,
            ticket_generation: ticket::generation(self.now),
            serving_ms: self.serving_since.map(|since| self.now.since_ms(since)),
            progress: self.progress.clone(),
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.policy == Policy::HostListOnly {
            self.update_progress();
            return;
        }
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last| now.since_ms(last) > PAUSE_THRESHOLD_MS) {
            // Answers may be queued behind this tick, so an open probe proves nothing.
            self.prober.clear();
        }
        self.broadcast_leave(now, out);
        self.check_probes(now, out);
        if now >= self.next_ping {
            self.next_ping = now.after_ms(PING_INTERVAL_MS);
            self.ping(now, out);
            self.update_progress();
        }
        if now >= self.next_gossip {
            self.next_gossip = now.after_ms(GOSSIP_INTERVAL_MS);
            self.send_gossip(out);
        }
        if now >= self.next_sync {
            // The second round comes sooner, as does each round of a host that knows no others.
            let is_soon = self.next_sync == Instant::ZERO || self.table.len() == 0;
            self.next_sync = now.after_ms(if is_soon { 1_000 } else { SYNC_INTERVAL_MS });
            self.send_digest(out);
        }
    }

    fn set_rosters(&mut self, now: Instant, roster: Roster, previous_roster: Roster) {
        if roster.epoch != self.roster.epoch
            || previous_roster.members != self.previous_roster.members
        {
            self.progress = Progress::new(roster.epoch, previous_roster.members.len());
        }
        let ids: Vec<Id> = roster
            .members
            .iter()
            .chain(&previous_roster.members)
            .cloned()
            .collect();
        self.table.set_roster_members(now, &ids);
        self.roster = roster;
        self.previous_roster = previous_roster;
        self.update_progress();
    }

    /// Records which members have left the previous roster: those whose calls fit the current one,
    /// and those that are gone without a successor.
    fn update_progress(&mut self) {
        let epoch = self.progress.epoch;
        let mut has_changed = false;
        for (index, id) in self.previous_roster.members.iter().enumerate() {
            if self.progress.has_left(index) {
                continue;
            }
            let has_left = if id.name == self.own.id.name {
                self.roster_epoch >= epoch
            } else {
                let applied = self.table.roster_epoch(&id.name);
                applied.is_some_and(|applied| applied >= epoch)
                    || self.table.is_gone_without_successor(id)
            };
            if has_left {
                self.progress.set_left(index);
                has_changed = true;
            }
        }
        if has_changed {
            self.revision += 1;
        }
    }

    fn record_decision(
        &mut self,
        now: Instant,
        update: &Update,
        rule: &'static str,
        waited_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.revision += 1;
        let choice = match update.state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Leaving => "leaving",
            State::Gone => "gone",
        };
        out.push(Action::Decide(Decision {
            at: now,
            kind: Kind::Membership,
            subject: update.host.id.name.clone(),
            stage: None,
            rule: Name::from(rule),
            choice: Name::from(choice),
            values: vec![
                value("incarnation", update.host.id.incarnation),
                value("refutation", update.refutation),
                value("waited_ms", waited_ms),
            ],
            candidates: Vec::new(),
        }));
    }
}
