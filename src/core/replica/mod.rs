//! This host's replica of the shared state: log reads, gossip between hosts and freshness.
//!
//! See `docs/configuration-design.md`.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use self::{
    announced::Announced,
    gossip::Gossip,
    proposals::Proposals,
    reader::Reader,
    recovery::Recovery,
    reports::Reports,
    snapshots::Snapshots,
    tail::Tail, //
};
use crate::{
    core::{
        decision::{
            self,
            Decision, //
        },
        host::Id,
        log,
        state::{
            Position,
            Record,
            State,
            Verdict, //
        },
        view::Member,
    },
    names::Name,
    time::Instant,
};

mod announced;
mod gossip;
mod message;
mod proposals;
mod reader;
mod recovery;
mod reports;
mod snapshots;
mod tail;

pub mod freshness;

pub use message::{
    Content,
    Item,
    Message, //
};
pub use reader::MIN_LOG_RETENTION_MS;

/// Identifies the caller that waits for the verdict on a proposal. The shell assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requester(pub u64);

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The log replied.
    Log(log::Event),
    /// A message from the replica of another host.
    Message {
        /// Host that sent it.
        from: Id,
        /// The message.
        message: Message,
    },
    /// The list of members changed.
    Members(Vec<Member>),
    /// A record is to be appended to the log.
    Propose {
        /// Caller that waits for the verdict, `None` for records of this host's own components.
        requester: Option<Requester>,
        /// The record.
        record: Record,
    },
}

/// Answer to a proposal, as far as the host knows the outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The verdict is final.
    Verdict(Verdict),
    /// The record may still be appended: send it again with the same id.
    Unknown,
    /// This host did not append the record, for this reason. An earlier attempt with the same id
    /// may still take effect.
    Unavailable(Name),
}

/// An output of a replica.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to the log.
    Log(log::Action),
    /// Send a message to the replica of another host.
    Send {
        /// Host that receives it.
        to: Id,
        /// The message.
        message: Message,
    },
    /// Answer a proposal.
    Answer {
        /// Caller that waits for the answer.
        requester: Requester,
        /// The answer.
        answer: Answer,
    },
    /// Write a decision to the decision log.
    Decide(Decision),
}

/// Sources from which a replica learns of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The log and other hosts.
    #[default]
    Teaselchute,
    /// The log only.
    LogOnly,
}

/// This host's replica of the shared state.
pub struct Replica {
    own_id: Id,
    policy: Policy,
    rng: Pcg64Mcg,
    state: State,
    position: Position,
    /// Digest of the newest applied record, 0 for none.
    last_digest: u64,
    tail: Tail,
    /// All records accepted before this instant are applied.
    fresh_at: Instant,
    /// Whether the host may serve: it has caught up, and no lost records are left to restore.
    current: bool,
    /// Whether the state has held all records accepted before the start.
    caught_up: bool,
    started_at: Option<Instant>,
    members: Vec<Member>,
    reader: Reader,
    proposals: Proposals,
    announced: Announced,
    snapshots: Snapshots,
    gossip: Gossip,
    reports: Reports,
    recovery: Recovery,
    decisions: Vec<Decision>,
}

impl Replica {
    /// Creates a replica with an empty state.
    pub fn new(own_id: Id, policy: Policy, seed: u64) -> Self {
        Self {
            own_id,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::default(),
            position: Position::default(),
            last_digest: 0,
            tail: Tail::default(),
            fresh_at: Instant::ZERO,
            current: false,
            caught_up: false,
            started_at: None,
            members: Vec::new(),
            reader: Reader::new(),
            proposals: Proposals::default(),
            announced: Announced::default(),
            snapshots: Snapshots::default(),
            gossip: Gossip::default(),
            reports: Reports::default(),
            recovery: Recovery::default(),
            decisions: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.started_at.get_or_insert(now);
        let old_position = self.position;
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Log(event) => self.on_log(now, event),
            Event::Message { from, message } => self.on_message(now, from, message, &mut out),
            Event::Members(members) => self.members = members,
            Event::Propose { requester, record } => self.propose(now, requester, record, &mut out),
        }
        self.evaluate_reports(now);
        if self.position != old_position {
            self.settle_announced();
            self.resolve_proposals(now, &mut out);
            self.push_records(&mut out);
        }
        out.extend(self.decisions.drain(..).map(Action::Decide));
        out
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.poll(now, out);
        self.run_gossip_round(now, out);
        self.recover(now, out);
        self.restore_lost_records(now, out);
        self.publish_snapshot(now, out);
        self.resolve_proposals(now, out);
    }

    fn on_log(&mut self, now: Instant, event: log::Event) {
        match event {
            log::Event::Appended { offset, .. } => self.on_appended(now, offset),
            // Proposals are appended again until their ids appear in the log.
            log::Event::AppendUnknown { .. } => (),
            log::Event::Read {
                token,
                log_start,
                log_end,
                entries,
            } => self.on_read(now, token, log_start, log_end, entries),
            log::Event::ReadFailed { token } => self.on_read_failed(now, token),
        }
    }

    fn on_message(&mut self, now: Instant, from: Id, message: Message, out: &mut Vec<Action>) {
        if !self.is_gossip_enabled() {
            return;
        }
        match message {
            Message::Digest {
                position,
                age_ms,
                current,
                reply_to,
                query,
            } => {
                if let Some(queried_at) = self.gossip.complete_query(reply_to, &from) {
                    self.on_report(&from, position, age_ms, current, queried_at);
                }
                if query > 0 {
                    self.send_digest(now, from.clone(), query, out);
                }
                self.on_digest(now, from, position, out);
            }
            Message::Fetch { from: position } => self.on_fetch(now, from, position, out),
            Message::Entries { generation, items } => {
                self.on_entries(now, from, generation, items, out);
            }
            Message::Snapshot(snapshot) => self.on_snapshot(now, &snapshot),
            Message::Announce(record) => {
                self.on_announced(now, &record);
            }
            Message::LossQuery { query } => self.on_loss_query(now, from, query, out),
            Message::LossReply {
                reply_to,
                position,
                is_following_log,
            } => {
                if self.gossip.complete_query(reply_to, &from).is_some() {
                    self.on_loss_reply(now, from, position, is_following_log, out);
                }
            }
        }
    }

    /// Returns the state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the position up to which records are applied.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the instant up to which all accepted records are known to be applied.
    pub fn fresh_at(&self) -> Instant {
        self.fresh_at
    }

    /// Returns whether the state includes all records accepted before the host started.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Applies the next record of the log.
    fn apply(&mut self, now: Instant, item: Item) {
        assert_eq!(
            item.offset, self.position.next,
            "invariant: records are applied in log order"
        );
        self.position.next += 1;
        self.last_digest = item.digest;
        match &item.content {
            Content::Record(record) => {
                self.state.apply(self.position, record);
            }
            Content::Snapshot(position) if self.is_in_own_history(*position) => {
                self.snapshots.note_snapshot(now, position.next);
            }
            Content::Snapshot(_) | Content::Empty => (),
        }
        self.tail.push(item);
    }

    /// Returns whether a position is an earlier one of the current generation.
    fn is_in_own_history(&self, position: Position) -> bool {
        position.generation == self.position.generation && position < self.position
    }

    /// Replaces the state by a newer one.
    fn adopt_state(
        &mut self,
        now: Instant,
        rule: &'static str,
        position: Position,
        last_digest: u64,
        state: State,
    ) {
        assert!(
            position > self.position,
            "invariant: the position of a replica only increases"
        );
        let values = [
            ("generation", position.generation),
            ("position", position.next),
        ];
        self.record_decision(now, rule, "adopt_state", &values);
        if position.generation != self.position.generation {
            self.snapshots.reset();
        }
        self.state = state;
        self.position = position;
        self.last_digest = last_digest;
        self.tail.clear();
        self.reader.resume_following(now);
    }

    /// Notes that the state holds all records accepted before the start.
    fn mark_caught_up(&mut self, now: Instant, rule: &'static str) {
        self.caught_up = true;
        if !self.current && !self.has_lost_records() {
            self.current = true;
            self.gossip.mark_pushed(self.position);
            let next = self.position.next;
            self.record_decision(now, rule, "current", &[("position", next)]);
        }
    }

    fn random_below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    fn record_decision(
        &mut self,
        now: Instant,
        rule: &'static str,
        choice: &'static str,
        values: &[(&'static str, u64)],
    ) {
        self.record_decision_on(now, "log".into(), rule, choice, values);
    }

    fn record_decision_on(
        &mut self,
        now: Instant,
        subject: Name,
        rule: &'static str,
        choice: &'static str,
        values: &[(&'static str, u64)],
    ) {
        let values = values
            .iter()
            .map(|(name, value)| decision::value(name, *value));
        self.decisions.push(Decision {
            at: now,
            kind: decision::Kind::Configuration,
            subject,
            stage: None,
            rule: rule.into(),
            choice: choice.into(),
            values: values.collect(),
            candidates: Vec::new(),
        });
    }
}
