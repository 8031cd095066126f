//! This host's copy of the agreed state: reading the log, spreading between hosts, freshness.
//!
//! See `docs/configuration-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        decision::Decision,
        host::Id,
        log::{
            self,
            Entry, //
        },
        state::{
            Position,
            Record,
            Snapshot,
            State,
            Verdict, //
        },
        view::Member,
    },
    time::Instant,
};

/// What the replicas of hosts say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// How far the sender is, and how old its news is.
    Digest {
        /// Position of the sender's state.
        position: Position,
        /// Milliseconds since the sender last knew that it had all.
        age_ms: u64,
        /// Echoes the number of the question that this answers, 0 for none.
        answers: u64,
        /// Number of a question, 0 for none.
        asks: u64,
    },
    /// Asks for records from a position on.
    Want {
        /// First position that the sender lacks.
        from: Position,
    },
    /// Contiguous records.
    Entries {
        /// Generation of the entries.
        generation: u64,
        /// The records.
        entries: Vec<Entry>,
    },
    /// The whole state, for one who lacks records that the sender dropped.
    Snapshot(Box<Snapshot>),
}

/// Who waits for the verdict on a proposal: the shell's number for the open exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Asker(pub u64);

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
        asker: Option<Asker>,
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
        asker: Asker,
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
    LogAlone,
}

/// This host's copy of the agreed state.
pub struct Replica {
    own: Id,
    policy: Policy,
    state: State,
    position: Position,
    fresh_at: Instant,
    current: bool,
}

impl Replica {
    /// Makes a replica that knows nothing yet.
    pub fn new(own: Id, policy: Policy, seed: u64) -> Self {
        let _ = seed;
        Self {
            own,
            policy,
            state: State::default(),
            position: Position::default(),
            fresh_at: Instant::ZERO,
            current: false,
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let _ = (now, &self.own, self.policy, event);
        Vec::new()
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
}
