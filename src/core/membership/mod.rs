//! Membership: which hosts live, by heartbeats, the platform's host list and the log.
//!
//! See `docs/membership-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};

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

mod probe;
mod rumour;
mod table;

use probe::Prober;
use rumour::Queue;
use table::{
    Change,
    Table, //
};

/// Time between two pings, in milliseconds.
const PING_EVERY_MS: u64 = 500;

/// Time between two rounds of news without a question, while there is news, in milliseconds.
const NEWS_EVERY_MS: u64 = 200;

/// Hosts that get the news of one round.
const NEWS_FAN_OUT: usize = 3;

/// Time between two comparisons of whole tables, in milliseconds.
const COMPARE_EVERY_MS: u64 = 10_000;

/// Times at which a leaving host tells all others, in milliseconds after it began to leave.
const LEAVE_TOLD_MS: [u64; 3] = [0, 300, 1_000];

/// Time without a tick after which the host knows that it was paused itself, in milliseconds.
const OWN_PAUSE_MS: u64 = 400;

/// An entry of the platform's host list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The host, as it registered itself.
    pub host: Host,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What the membership parts of hosts say to each other, over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver lives.
    Ping {
        /// Matches the answer.
        number: u64,
        /// What the sender says of itself.
        standing: Standing,
        /// News about others, and about the receiver where it is suspected.
        news: Vec<News>,
    },
    /// Answers a ping.
    Pong {
        /// The ping's number.
        number: u64,
        /// What the sender says of itself.
        standing: Standing,
        /// News about others.
        news: Vec<News>,
    },
    /// Asks the receiver to ping another host on the sender's behalf.
    PingFor {
        /// Matches the answer.
        number: u64,
        /// Whom to ping.
        target: Id,
    },
    /// Tells that the target of a [`Message::PingFor`] answered.
    PongFor {
        /// The number of the request.
        number: u64,
        /// What the target said of itself.
        news: Box<News>,
    },
    /// News without a question.
    News(Vec<News>),
    /// Asks for the receiver's table where its digest is another one.
    Compare {
        /// Digest of the sender's table.
        digest: u64,
    },
    /// The sender's whole table.
    Table {
        /// The table.
        news: Vec<News>,
        /// Digest of the table. The receiver answers with its own where it knows more.
        digest: u64,
        /// Whether this is the answer to a table, which ends the exchange.
        is_answer: bool,
    },
}

/// What a host says of itself with each ping and pong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Rises when the host refutes a suspicion.
    pub refutation: u64,
    /// Whether it is alive or leaving.
    pub state: Said,
    /// Epoch of the newest roster to which it has shrunk its calls.
    pub roster_seen: u64,
    /// Generation of tickets on its own clock.
    pub generation: u64,
    /// Milliseconds for which it has served, `None` where it doesn't yet.
    pub serving_ms: Option<u64>,
    /// Who has left the roster before the current one, as far as the host knows.
    pub progress: Progress,
}

/// One piece of news about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The member.
    pub host: Host,
    /// Rises when the member refutes a suspicion.
    pub refutation: u64,
    /// What is said of it.
    pub state: Said,
    /// Epoch of the newest roster to which it has shrunk its calls.
    pub roster_seen: u64,
    /// Generation of tickets on the member's own clock when it told this.
    pub generation: u64,
    /// Milliseconds for which it has served, `None` where it doesn't yet or isn't known to.
    pub serving_ms: Option<u64>,
}

/// What news say of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Said {
    /// It lives.
    Alive,
    /// It does not answer.
    Suspect,
    /// It is leaving.
    Leaving,
    /// It has gone for good: a newer incarnation, or the host list's word.
    Gone,
}

/// What membership is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The platform's host list, read again.
    HostList(Vec<Listed>),
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
    Teaselchute,
    /// By the host list alone.
    HostListAlone,
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
        rumours.put(News {
            host: own.clone(),
            refutation: 0,
            state: Said::Alive,
            roster_seen: 0,
            generation: 0,
            serving_ms: None,
        });
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
            Event::Message { from, message } if self.policy == Policy::Teaselchute => {
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
        self.progress.epoch == epoch && self.progress.is_closed(self.previous.members.len())
    }

    /// Returns who is known to have left the roster before.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    fn own_news(&self) -> News {
        let standing = self.standing();
        News {
            host: self.own.clone(),
            refutation: standing.refutation,
            state: standing.state,
            roster_seen: standing.roster_seen,
            generation: standing.generation,
            serving_ms: standing.serving_ms,
        }
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
        if self.policy == Policy::HostListAlone {
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

    fn tell_leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let due = LEAVE_TOLD_MS.get(self.leave_told);
        if due.is_none_or(|due_ms| now.since_ms(since) < *due_ms) {
            return;
        }
        self.leave_told += 1;
        let news = vec![self.own_news()];
        for member in self.table.members() {
            out.push(Action::Send {
                to: member.host.clone(),
                message: Message::News(news.clone()),
            });
        }
    }

    /// Asks others about hosts that are late, and suspects those that are silent to all.
    fn check_probes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.prober.due(now);
        for (number, target) in due.late {
            let Some(entry) = self.table.entry(&target) else {
                continue;
            };
            let host = entry.host.clone();
            let members = self.table.members();
            for helper in self.prober.helpers(members, &self.own, &host) {
                out.push(Action::Send {
                    to: helper,
                    message: Message::PingFor {
                        number,
                        target: target.clone(),
                    },
                });
            }
            out.push(self.ping_action(number, host));
        }
        for (target, waited_ms) in due.silent {
            let Some(news) = self.table.suspect(now, &target) else {
                continue;
            };
            self.decide(now, &news, "suspect_silent", waited_ms, out);
            self.rumours.put(news);
        }
    }

    fn ping(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(target) = self.prober.target(self.table.members()) {
            let number = self.prober.probe(now, &target.id);
            out.push(self.ping_action(number, target));
        }
        // Those who woke up learn from this that they are suspected, and refute it.
        let doubtful: Vec<Host> = self
            .table
            .entries()
            .filter(|entry| entry.said == Said::Suspect || entry.is_missing())
            .map(|entry| entry.host.clone())
            .collect();
        if let Some(target) = self.prober.pick(&doubtful) {
            let number = self.prober.recheck(now, &target.id);
            out.push(self.ping_action(number, target));
        }
    }

    fn ping_action(&mut self, number: u64, to: Host) -> Action {
        let message = Message::Ping {
            number,
            standing: self.standing(),
            news: self.news_for(&to.id),
        };
        Action::Send { to, message }
    }

    /// Returns news for a host, first what it should know of itself.
    fn news_for(&mut self, to: &Id) -> Vec<News> {
        let mut news = self.rumours.take(self.table.len());
        if let Some(own) = self.table.news(self.now, to)
            && own.state != Said::Alive
        {
            news.push(own);
        }
        news
    }

    fn spread(&mut self, out: &mut Vec<Action>) {
        if self.rumours.is_empty() {
            return;
        }
        for to in self.prober.draw(self.table.members(), NEWS_FAN_OUT) {
            let news = self.rumours.take(self.table.len());
            if news.is_empty() {
                break;
            }
            out.push(Action::Send {
                to,
                message: Message::News(news),
            });
        }
    }

    fn compare(&mut self, out: &mut Vec<Action>) {
        let digest = self.table.digest(self.now, &self.own_news());
        for to in self.prober.draw(self.table.members(), 1) {
            out.push(Action::Send {
                to,
                message: Message::Compare { digest },
            });
        }
    }

    fn message(&mut self, now: Instant, from: &Host, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Ping {
                number,
                standing,
                news,
            } => {
                self.hear(now, from, &standing, &news, out);
                let message = Message::Pong {
                    number,
                    standing: self.standing(),
                    news: self.news_for(&from.id),
                };
                let to = from.clone();
                out.push(Action::Send { to, message });
            }
            Message::Pong {
                number,
                standing,
                news,
            } => {
                self.hear(now, from, &standing, &news, out);
                if self.prober.answered(number, &from.id) {
                    self.table.heard(now, &from.id);
                }
                if let Some((to, number)) = self.prober.relayed(number) {
                    let news = News {
                        host: from.clone(),
                        refutation: standing.refutation,
                        state: standing.state,
                        roster_seen: standing.roster_seen,
                        generation: standing.generation,
                        serving_ms: standing.serving_ms,
                    };
                    let news = Box::new(news);
                    let message = Message::PongFor { number, news };
                    out.push(Action::Send { to, message });
                }
            }
            Message::PingFor { number, target } => {
                if let Some(entry) = self.table.entry(&target) {
                    let host = entry.host.clone();
                    let number = self.prober.relay(now, from, number);
                    out.push(self.ping_action(number, host));
                }
            }
            Message::PongFor { number, news } => {
                self.take(now, &news, true, out);
                if self.prober.answered(number, &news.host.id) {
                    self.table.heard(now, &news.host.id);
                }
            }
            Message::News(news) => {
                for news in &news {
                    self.take(now, news, true, out);
                }
            }
            Message::Compare { digest } => {
                if digest != self.table.digest(self.now, &self.own_news()) {
                    self.send_table(from, false, out);
                }
            }
            Message::Table {
                news,
                digest,
                is_answer,
            } => {
                for news in &news {
                    self.take(now, news, false, out);
                }
                if !is_answer && digest != self.table.digest(self.now, &self.own_news()) {
                    self.send_table(from, true, out);
                }
            }
        }
    }

    fn send_table(&self, to: &Host, is_answer: bool, out: &mut Vec<Action>) {
        let mut news = self.table.all_news(self.now);
        news.push(self.own_news());
        out.push(Action::Send {
            to: to.clone(),
            message: Message::Table {
                news,
                digest: self.table.digest(self.now, &self.own_news()),
                is_answer,
            },
        });
    }

    /// Takes what another host says of itself and of others.
    fn hear(
        &mut self,
        now: Instant,
        from: &Host,
        standing: &Standing,
        news: &[News],
        out: &mut Vec<Action>,
    ) {
        let change = self.table.merge_standing(now, from, standing);
        if let Some(news) = self.table.news(now, &from.id) {
            self.pass_on(now, news, change, out);
        }
        if self.progress.join(&standing.progress) {
            self.revision += 1;
        }
        for news in news {
            self.take(now, news, true, out);
        }
    }

    fn take(&mut self, now: Instant, news: &News, is_rumour: bool, out: &mut Vec<Action>) {
        if news.host.id.name == self.own.id.name {
            self.take_own(now, news, out);
            return;
        }
        let change = self.table.merge(now, news, is_rumour);
        self.pass_on(now, news.clone(), change, out);
    }

    /// Refutes what others say of this host, where it can.
    fn take_own(&mut self, now: Instant, news: &News, out: &mut Vec<Action>) {
        let own = self.own.id.incarnation;
        let said = news.host.id.incarnation;
        if said < own {
            return;
        }
        if said > own || news.state == Said::Gone {
            if !std::mem::replace(&mut self.is_over, true) {
                self.revision += 1;
                self.decide(now, news, "own_life_is_over", 0, out);
            }
            return;
        }
        if news.state == Said::Suspect && news.refutation >= self.refutation {
            self.refutation = news.refutation + 1;
            self.rumours.put(self.own_news());
        }
    }

    fn pass_on(&mut self, now: Instant, news: News, change: Change, out: &mut Vec<Action>) {
        let rule = match change {
            Change::Nothing => return,
            Change::Joined => "joined",
            Change::Suspected => "suspect_told",
            Change::Refuted => "refuted",
            Change::Serving => "serving",
            Change::Leaving => "leaving",
            Change::Gone => "gone_told",
        };
        if change == Change::Joined {
            self.prober.join(&news.host.id);
        }
        self.decide(now, &news, rule, 0, out);
        self.rumours.put(news);
    }

    fn host_list(&mut self, now: Instant, list: &[Listed], out: &mut Vec<Action>) {
        let own = list
            .iter()
            .filter(|listed| listed.host.id.name == self.own.id.name);
        if let Some(own) = own.max_by_key(|listed| listed.host.id.incarnation) {
            let news = News {
                host: own.host.clone(),
                refutation: 0,
                state: Said::Alive,
                roster_seen: 0,
                generation: 0,
                serving_ms: None,
            };
            self.take_own(now, &news, out);
        }
        for (news, change) in self.table.read_list(now, list) {
            match change {
                Change::Gone => self.decide(now, &news, "gone_delisted", 0, out),
                Change::Leaving => self.decide(now, &news, "leaving_listed", 0, out),
                _ => self.decide(now, &news, "joined_listed", 0, out),
            }
            if self.policy == Policy::Teaselchute && change != Change::Joined {
                self.rumours.put(news);
            }
        }
        if self.policy == Policy::HostListAlone {
            self.table.trust_all(now);
        }
        self.revision += 1;
        self.note_progress();
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
