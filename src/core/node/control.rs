//! Control part of a host: replica, membership, roster and controller under one lock.

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

/// Input of the control part.
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
    /// All calls fit the share under the roster of this epoch.
    RosterApplied(u64),
    Leave,
}

/// Replica, membership and controller of one host.
pub struct Control {
    own: host::Host,
    environment: Name,
    replica: Replica,
    membership: Membership,
    controller: Controller,
    proposer: roster::Proposer,
    /// Epochs of the current and the previous roster that were last passed to membership.
    reported_epochs: (u64, u64),
    leaving: bool,
    view: Arc<View>,
    view_key: Key,
    mutation: Mutation,
    /// Membership revision whose members were last passed to the replica.
    forwarded_revision: Option<u64>,
    next_roster_check: Instant,
}

/// Versions of all inputs of a view, by which a change is detected without comparing the members.
#[derive(Clone, PartialEq, Eq)]
struct Key {
    members_revision: u64,
    position: Position,
    announced_revision: u64,
    fresh_at: Instant,
    serving: bool,
    serving_since: Option<Instant>,
    leaving: bool,
    is_previous_roster_retired: bool,
}

/// Time between two checks whether another roster is needed, in milliseconds.
const ROSTER_CHECK_INTERVAL_MS: u64 = 250;

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
            reported_epochs: (0, 0),
            own,
            environment,
            leaving: false,
            view: Arc::new(view),
            view_key,
            mutation,
            forwarded_revision: None,
            next_roster_check: Instant::ZERO,
        }
    }

    /// Returns this host's replica of the agreed state.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the membership of this host.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the controller of engines.
    pub fn controller(&self) -> &Controller {
        &self.controller
    }

    /// Returns the current view.
    pub(super) fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Rebuilds the view if one of its inputs changed.
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

    /// Passes the members to the replica if they changed.
    fn forward_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        let revision = Some(self.membership.revision());
        if self.forwarded_revision == revision {
            return;
        }
        self.forwarded_revision = revision;
        let members = self.membership.members().to_vec();
        self.step_replica(now, replica::Event::Members(members), out);
    }

    pub(super) fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {
                self.step_membership(now, membership::Event::Tick, &mut out);
                self.forward_members(now, &mut out);
                self.step_replica(now, replica::Event::Tick, &mut out);
                if now >= self.next_roster_check {
                    self.next_roster_check = now.after_ms(ROSTER_CHECK_INTERVAL_MS);
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
                if self.mutation.is_active(Mutation::Rebase) {
                    self.rebase(&mut record);
                }
                let event = replica::Event::Propose {
                    requester: Some(requester),
                    record: *record,
                };
                self.step_replica(now, event, &mut out);
            }
            Event::RosterApplied(epoch) => {
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

    /// Sets the base of a change to the newest revision, for [`Mutation::Rebase`].
    fn rebase(&self, record: &mut Record) {
        let Record::Change(change) = record else {
            return;
        };
        if let Some(environment) = self.replica.state().environments.get(&change.environment) {
            change.based_on = environment.revision;
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

    /// Passes the current rosters to membership, and proposes the next one if it is needed.
    fn step_roster(&mut self, now: Instant, out: &mut Vec<Action>) {
        let state = self.replica.state();
        let (roster, previous) = (state.roster.clone(), state.previous_roster.clone());
        let epochs = (roster.epoch, previous.epoch);
        if std::mem::replace(&mut self.reported_epochs, epochs) != epochs {
            let event = membership::Event::Rosters(roster.clone(), previous);
            self.step_membership(now, event, out);
        }
        if !self.replica.is_current() || self.leaving || self.membership.is_declared_gone() {
            return;
        }
        self.step_membership(now, membership::Event::Serving, out);
        let mut members: Vec<Member> = self.membership.members().to_vec();
        members.push(Member {
            host: self.own.clone(),
            health: Health::Alive,
            roster_epoch: roster.epoch,
            ticket_generation: 0,
            serving_since: Some(now),
        });
        let rank = members
            .iter()
            .filter(|member| member.health == Health::Alive && member.host.id < self.own.id)
            .count();
        let is_previous_retired = self.membership.is_previous_roster_retired(roster.epoch);
        let is_gone_without_successor =
            |id: &host::Id| self.membership.is_gone_without_successor(id);
        let proposal = roster::next(
            &roster,
            is_previous_retired,
            &members,
            is_gone_without_successor,
        );
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
                orders::Action::Order(_) if self.mutation.is_active(Mutation::DropOrders) => {}
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
            members_revision: membership.revision(),
            position: replica.position(),
            announced_revision: replica.announced_revision(),
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
    if mutation.is_active(Mutation::TakeWholeShare) {
        roster.members = vec![own.id.clone()];
    }
    let is_previous_retired = membership.is_previous_roster_retired(roster.epoch);
    let previous_roster = match is_previous_retired || mutation.is_active(Mutation::TakeWholeShare)
    {
        true => Roster::default(),
        false => state.previous_roster.clone(),
    };
    View {
        own: own.clone(),
        serving: replica.is_current() || mutation.is_active(Mutation::ServeEarly),
        serving_since: membership.serving_since(),
        leaving: leaving || membership.is_declared_gone(),
        document,
        position: replica.position(),
        fresh_at: replica.fresh_at(),
        drained: state
            .drained
            .keys()
            .chain(replica.announced_drains())
            .cloned()
            .collect(),
        roster,
        previous_roster,
        members: membership.members().to_vec(),
        mutation,
    }
}
