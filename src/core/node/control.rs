//! The control part: replica, membership, roster and controllers under one lock.

use std::sync::Arc;

use super::{
    Action,
    Policies, //
};
use crate::{
    core::{
        document::Document,
        host, log,
        membership::{
            self,
            Membership, //
        },
        mutation::Mutation,
        orders::{
            self,
            Controller, //
        },
        replica::{
            self,
            Replica, //
        },
        roster,
        state::{
            Position,
            Record,
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
    wire::Message,
};

/// What the control part is told.
pub(super) enum Event {
    Tick,
    Log(log::Event),
    HostList(Vec<membership::Registration>),
    Membership {
        from: host::Host,
        message: membership::Message,
    },
    Replica {
        from: host::Id,
        message: replica::Message,
    },
    Engine(orders::Event),
    Propose {
        requester: replica::Requester,
        record: Box<Record>,
    },
    Shrunk(u64),
    Leave,
}

/// Replica, membership and controllers of one host.
pub struct Control {
    own: host::Host,
    environment: Name,
    replica: Replica,
    membership: Membership,
    controller: Controller,
    proposer: roster::Proposer,
    epochs_told: (u64, u64),
    leaving: bool,
    view: Arc<View>,
    view_key: Key,
    mutation: Mutation,
    members_told: Option<u64>,
    roster_next: Instant,
}

/// All that a view is made from, by which a change is seen without comparing the members.
#[derive(Clone, PartialEq, Eq)]
struct Key {
    members: u64,
    position: Position,
    fresh_at: Instant,
    serving: bool,
    serving_since: Option<Instant>,
    leaving: bool,
    is_previous_roster_retired: bool,
}

/// Time between two looks whether another roster is wanted, in milliseconds.
const ROSTER_MS: u64 = 250;

impl Control {
    pub(super) fn new(own: host::Host, environment: Name, policies: Policies, seed: u64) -> Self {
        let id = own.id.clone();
        let replica = Replica::new(id.clone(), policies.replica, seed);
        let membership = Membership::new(own.clone(), policies.membership, seed);
        let mutation = policies.mutation;
        let view = view(&own, &environment, &replica, &membership, false, mutation);
        let view_key = Key::of(&replica, &membership, false);
        Self {
            replica,
            membership,
            controller: Controller::new(id, seed),
            proposer: roster::Proposer::default(),
            epochs_told: (0, 0),
            own,
            environment,
            leaving: false,
            view: Arc::new(view),
            view_key,
            mutation,
            members_told: None,
            roster_next: Instant::ZERO,
        }
    }

    /// Returns this host's copy of the agreed state.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns what this host knows of others.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the controller of engines.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    /// Returns what the control part knows now.
    pub(super) fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Makes the view anew where something changed since.
    fn refresh_view(&mut self) {
        let key = Key::of(&self.replica, &self.membership, self.leaving);
        if key == self.view_key {
            return;
        }
        let (own, environment) = (&self.own, &self.environment);
        let view = view(
            own,
            environment,
            &self.replica,
            &self.membership,
            self.leaving,
            self.mutation,
        );
        self.view = Arc::new(view);
        self.view_key = key;
    }

    /// Tells the replica of the members where they changed.
    fn tell_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        let revision = Some(self.membership.revision());
        if self.members_told == revision {
            return;
        }
        self.members_told = revision;
        let members = self.membership.members().to_vec();
        self.step_replica(now, replica::Event::Members(members), out);
    }

    pub(super) fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {
                self.step_membership(now, membership::Event::Tick, &mut out);
                self.tell_members(now, &mut out);
                self.step_replica(now, replica::Event::Tick, &mut out);
                if now >= self.roster_next {
                    self.roster_next = now.after_ms(ROSTER_MS);
                    self.step_roster(now, &mut out);
                }
                self.step_controller(now, orders::Event::Tick, &mut out);
            }
            Event::Log(event) => self.step_replica(now, replica::Event::Log(event), &mut out),
            Event::HostList(list) => {
                self.step_membership(now, membership::Event::HostList(list), &mut out);
            }
            Event::Membership { from, message } => {
                let event = membership::Event::Message { from, message };
                self.step_membership(now, event, &mut out);
            }
            Event::Replica { from, message } => {
                self.step_replica(now, replica::Event::Message { from, message }, &mut out);
            }
            Event::Engine(event) => self.step_controller(now, event, &mut out),
            Event::Propose {
                requester,
                mut record,
            } => {
                if self.mutation.is(Mutation::Rebase) {
                    self.rebase(&mut record);
                }
                let event = replica::Event::Propose {
                    requester: Some(requester),
                    record: *record,
                };
                self.step_replica(now, event, &mut out);
            }
            Event::Shrunk(epoch) => {
                self.step_membership(now, membership::Event::RosterApplied(epoch), &mut out);
            }
            Event::Leave => {
                self.leaving = true;
                self.step_membership(now, membership::Event::Leave, &mut out);
            }
        }
        self.refresh_view();
        out
    }

    /// Gives a change the newest base, as [`Mutation::Rebase`] wants it.
    fn rebase(&self, record: &mut Record) {
        let Record::Change(change) = record else {
            return;
        };
        if let Some(it) = self.replica.state().environments.get(&change.environment) {
            change.based_on = it.revision;
        }
    }

    fn step_replica(&mut self, now: Instant, event: replica::Event, out: &mut Vec<Action>) {
        for action in self.replica.step(now, event) {
            match action {
                replica::Action::Log(action) => out.push(Action::Log(action)),
                replica::Action::Send { to, message } => {
                    let members = self.membership.members();
                    if let Some(member) = members.iter().find(|member| member.host.id == to) {
                        out.push(Action::Frame {
                            to: Box::new(member.host.clone()),
                            message: Box::new(Message::Replica(message)),
                        });
                    }
                }
                replica::Action::Answer { requester, answer } => {
                    out.push(Action::AnswerProposal { requester, answer });
                }
                replica::Action::Decide(decision) => out.push(Action::Decide(decision)),
            }
        }
    }

    fn step_membership(&mut self, now: Instant, event: membership::Event, out: &mut Vec<Action>) {
        for action in self.membership.step(now, event) {
            match action {
                membership::Action::Send { to, message } => out.push(Action::Frame {
                    to: Box::new(to),
                    message: Box::new(Message::Membership(message)),
                }),
                membership::Action::Decide(decision) => out.push(Action::Decide(decision)),
            }
        }
    }

    /// Tells membership of the rosters in force, and proposes the next one where it is wanted.
    fn step_roster(&mut self, now: Instant, out: &mut Vec<Action>) {
        let state = self.replica.state();
        let (roster, previous) = (state.roster.clone(), state.previous_roster.clone());
        let epochs = (roster.epoch, previous.epoch);
        if std::mem::replace(&mut self.epochs_told, epochs) != epochs {
            let event = membership::Event::Rosters(roster.clone(), previous);
            self.step_membership(now, event, out);
        }
        if !self.replica.is_current() || self.leaving || self.membership.is_declared_gone() {
            return;
        }
        self.step_membership(now, membership::Event::Serving, out);
        let mut serving: Vec<Member> = self.membership.members().to_vec();
        serving.push(Member {
            host: self.own.clone(),
            health: Health::Alive,
            roster_epoch: roster.epoch,
            ticket_generation: 0,
            serving_since: Some(now),
        });
        let rank = serving
            .iter()
            .filter(|member| member.health == Health::Alive && member.host.id < self.own.id)
            .count();
        let is_closed = self.membership.is_previous_roster_retired(roster.epoch);
        let is_gone_without_successor =
            |id: &host::Id| self.membership.is_gone_without_successor(id);
        let proposal = roster::next(&roster, is_closed, &serving, is_gone_without_successor);
        let is_due = self
            .proposer
            .is_due(now, roster.epoch, rank, proposal.as_ref());
        if let (true, Some(proposal)) = (is_due, proposal) {
            let event = replica::Event::Propose {
                requester: None,
                record: Record::Roster {
                    based_on: roster.epoch,
                    members: proposal.members,
                },
            };
            self.step_replica(now, event, out);
        }
    }

    fn step_controller(&mut self, now: Instant, event: orders::Event, out: &mut Vec<Action>) {
        self.refresh_view();
        let view = self.view();
        let claims = &self.replica.state().claims;
        for action in self.controller.step(now, &view, claims, event) {
            match action {
                orders::Action::Order(_) if self.mutation.is(Mutation::DropOrders) => {}
                orders::Action::Order(order) => out.push(Action::Order(order)),
                orders::Action::Read { pool, server } => {
                    out.push(Action::ReadEngine { pool, server });
                }
                orders::Action::Claim(claim) => {
                    let event = replica::Event::Propose {
                        requester: None,
                        record: Record::Claim(claim),
                    };
                    self.step_replica(now, event, out);
                }
                orders::Action::Decide(decision) => out.push(Action::Decide(decision)),
            }
        }
    }
}

impl Key {
    fn of(replica: &Replica, membership: &Membership, leaving: bool) -> Self {
        let epoch = replica.state().roster.epoch;
        Self {
            members: membership.revision(),
            position: replica.position(),
            fresh_at: replica.fresh_at(),
            serving: replica.is_current(),
            serving_since: membership.serving_since(),
            leaving: leaving || membership.is_declared_gone(),
            is_previous_roster_retired: membership.is_previous_roster_retired(epoch),
        }
    }
}

fn view(
    own: &host::Host,
    environment: &Name,
    replica: &Replica,
    membership: &Membership,
    leaving: bool,
    mutation: Mutation,
) -> View {
    let state = replica.state();
    let document = match state.environments.get(environment) {
        Some(environment) => environment.document.clone(),
        None => Arc::new(Document::default()),
    };
    let mut roster = state.roster.clone();
    if mutation.is(Mutation::TakeWholeShare) {
        roster.members = vec![own.id.clone()];
    }
    let is_closed = membership.is_previous_roster_retired(roster.epoch);
    let previous_roster = match is_closed || mutation.is(Mutation::TakeWholeShare) {
        true => Roster::default(),
        false => state.previous_roster.clone(),
    };
    View {
        own: own.clone(),
        serving: replica.is_current() || mutation.is(Mutation::ServeEarly),
        serving_since: membership.serving_since(),
        leaving: leaving || membership.is_declared_gone(),
        document,
        position: replica.position(),
        fresh_at: replica.fresh_at(),
        drained: state.drained.keys().cloned().collect(),
        roster,
        previous_roster,
        members: membership.members().to_vec(),
        mutation,
    }
}
