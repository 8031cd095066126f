//! This host's copy of the agreed state: reading the log, spreading between hosts, freshness.
//!
//! See `docs/configuration-design.md`.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use self::{
    loss::Loss,
    proposals::Proposals,
    reading::Reading,
    retention::Retention,
    spread::Spread,
    tail::Tail,
    vouch::Vouch, //
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

mod loss;
mod message;
mod proposals;
mod reading;
mod retention;
mod spread;
mod tail;
mod vouch;

pub mod freshness;

pub use message::{
    Content,
    Item,
    Message, //
};
pub use reading::MIN_LOG_RETENTION_MS;

/// Who waits for the verdict on a proposal: the shell's number for the open exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requester(pub u64);

/// What a replica is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The log answered.
    Log(log::Event),
    /// A message of another host's replica.
    Message {
        /// Who sent it.
        from: Id,
        /// What it says.
        message: Message,
    },
    /// The members changed.
    Members(Vec<Member>),
    /// Somebody wants a record appended.
    Propose {
        /// Who waits for the verdict, `None` for this host's own parts.
        requester: Option<Requester>,
        /// The record.
        record: Record,
    },
}

/// What becomes of a proposal, as far as the host knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The verdict is known for good.
    Verdict(Verdict),
    /// The record may still land: ask again by the change's id.
    Unknown,
    /// This host did not append the record, for this reason. An earlier attempt may still land.
    Unavailable(Name),
}

/// What a replica wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask the log.
    Log(log::Action),
    /// Send a message to another host's replica.
    Send {
        /// To whom.
        to: Id,
        /// What.
        message: Message,
    },
    /// Answer a proposal.
    Answer {
        /// Who waits.
        requester: Requester,
        /// The answer.
        answer: Answer,
    },
    /// Log a decision.
    Decide(Decision),
}

/// How a replica gets its news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// From the log and from other hosts.
    #[default]
    Teaselchute,
    /// From the log alone.
    LogOnly,
}

/// This host's copy of the agreed state.
pub struct Replica {
    own: Id,
    policy: Policy,
    rng: Pcg64Mcg,
    state: State,
    position: Position,
    /// Digest of the record before the position, 0 for none.
    last: u64,
    tail: Tail,
    fresh_at: Instant,
    current: bool,
    /// Whether the state held, at some time since the start, all that was accepted before it.
    caught_up: bool,
    started_at: Option<Instant>,
    members: Vec<Member>,
    reading: Reading,
    proposals: Proposals,
    retention: Retention,
    spread: Spread,
    vouch: Vouch,
    loss: Loss,
    decisions: Vec<Decision>,
}

impl Replica {
    /// Makes a replica that knows nothing yet.
    pub fn new(own: Id, policy: Policy, seed: u64) -> Self {
        Self {
            own,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: State::default(),
            position: Position::default(),
            last: 0,
            tail: Tail::default(),
            fresh_at: Instant::ZERO,
            current: false,
            caught_up: false,
            started_at: None,
            members: Vec::new(),
            reading: Reading::new(),
            proposals: Proposals::default(),
            retention: Retention::default(),
            spread: Spread::default(),
            vouch: Vouch::default(),
            loss: Loss::default(),
            decisions: Vec::new(),
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.started_at.get_or_insert(now);
        let before = self.position;
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Log(event) => self.on_log(now, event),
            Event::Message { from, message } => self.on_message(now, from, message, &mut out),
            Event::Members(members) => self.members = members,
            Event::Propose { requester, record } => self.propose(now, requester, record, &mut out),
        }
        self.weigh_words(now);
        if self.position != before {
            self.settle(now, &mut out);
            self.push_news(&mut out);
        }
        out.extend(self.decisions.drain(..).map(Action::Decide));
        out
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.poll(now, out);
        self.gossip(now, out);
        self.answer_loss(now, out);
        self.bring_back(now, out);
        self.republish(now, out);
        self.settle(now, out);
    }

    fn on_log(&mut self, now: Instant, event: log::Event) {
        match event {
            log::Event::Appended { offset, .. } => self.on_appended(now, offset),
            // Proposals are appended again until their ids are seen.
            log::Event::AppendUnknown { .. } => (),
            log::Event::Read {
                token,
                first,
                end,
                entries,
            } => self.on_read(now, token, first, end, entries),
            log::Event::ReadFailed { token } => self.on_read_failed(now, token),
        }
    }

    fn on_message(&mut self, now: Instant, from: Id, message: Message, out: &mut Vec<Action>) {
        if !self.is_spreading() {
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
                if let Some(asked_at) = self.spread.take(reply_to, &from) {
                    self.on_word(&from, position, age_ms, current, asked_at);
                }
                if query > 0 {
                    self.answer_digest(now, from.clone(), query, out);
                }
                self.on_digest(now, from, position, out);
            }
            Message::Fetch { from: position } => self.on_want(now, from, position, out),
            Message::Entries { generation, items } => {
                self.on_entries(now, from, generation, items, out);
            }
            Message::Snapshot(snapshot) => self.on_snapshot(now, &snapshot),
            Message::LossQuery { query } => self.on_loss(now, from, query, out),
            Message::LossReply {
                reply_to,
                position,
                follows,
            } => {
                if self.spread.take(reply_to, &from).is_some() {
                    self.on_loss_seen(now, from, position, follows, out);
                }
            }
        }
    }

    /// Returns the state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the position for which the state stands.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the instant before which all that was accepted is applied.
    pub fn fresh_at(&self) -> Instant {
        self.fresh_at
    }

    /// Returns whether the state is at least as new as what was accepted before the host started.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Applies the next record.
    fn apply(&mut self, now: Instant, item: Item) {
        assert_eq!(
            item.offset, self.position.next,
            "invariant: records are applied in their order"
        );
        self.position.next += 1;
        self.last = item.digest;
        match &item.content {
            Content::Record(record) => {
                self.state.apply(self.position, record);
            }
            Content::Snapshot(position) if self.is_behind_us(*position) => {
                self.retention.seen(now, position.next);
            }
            Content::Snapshot(_) | Content::Empty => (),
        }
        self.tail.push(item);
    }

    /// Returns whether a position lies in the history that led to this state.
    fn is_behind_us(&self, position: Position) -> bool {
        position.generation == self.position.generation && position < self.position
    }

    /// Takes over a state as a whole.
    fn adopt(
        &mut self,
        now: Instant,
        rule: &'static str,
        position: Position,
        last: u64,
        state: State,
    ) {
        assert!(
            position > self.position,
            "invariant: a replica never goes back"
        );
        let values = [
            ("generation", position.generation),
            ("position", position.next),
        ];
        self.decide(now, rule, "adopt_state", &values);
        if position.generation != self.position.generation {
            self.retention.reset();
        }
        self.state = state;
        self.position = position;
        self.last = last;
        self.tail.clear();
        self.reading.follow_from_here(now);
    }

    /// Takes note that the state holds all that was accepted before the start.
    fn catch_up(&mut self, now: Instant, rule: &'static str) {
        self.caught_up = true;
        if !self.current && !self.has_lost() {
            self.current = true;
            self.spread.skip_to(self.position);
            let next = self.position.next;
            self.decide(now, rule, "current", &[("position", next)]);
        }
    }

    fn draw(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    fn decide(
        &mut self,
        now: Instant,
        rule: &'static str,
        choice: &'static str,
        values: &[(&'static str, u64)],
    ) {
        self.decide_on(now, "log".into(), rule, choice, values);
    }

    fn decide_on(
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
