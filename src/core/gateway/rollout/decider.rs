//! Decisions on one order, at the host that decides.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    evidence::{
        Digest,
        Evidence, //
    },
    judgement::{
        self,
        Look,
        Reason,
        Verdict, //
    },
    order::{
        Order,
        Phase,
        Window, //
    },
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Time before the deadline at which the trial ends, in milliseconds, if half of the time isn't less: hosts
/// learn of it within 1 s, running requests end within 4 s, and the state is written within 1 s.
const SETTLE_MS: u64 = 6_000;

/// Part of the time for the trial before which a version isn't promoted, whatever the evidence. Faults may
/// begin late, and an early end has no benefit for callers; the rest is a reserve for slow confirmations.
const MIN_TRIAL: (u64, u64) = (3, 4);

/// Time before the deadline at which a version is reverted that has no servers, in milliseconds, so that
/// the state is in the store by then.
const WRITE_MS: u64 = 1_000;

/// Time for which a decider collects what hosts report before it takes missing evidence for none, in
/// milliseconds: four reports of each host.
pub const COLLECT_MS: u64 = 1_000;

/// Time for which a confirmation counts, in milliseconds: six reports. A host that stopped since doesn't
/// repeat it.
pub const CONFIRMATION_MS: u64 = 1_500;

/// Time before the deadline from which hosts without a sign of life needn't confirm, in milliseconds.
const SILENT_MS: u64 = 2_000;

/// Time between two judgements, in milliseconds. Hosts report as often.
const JUDGEMENT_MS: u64 = 250;

/// Time after a failed call of the store until the next one, in milliseconds.
const RETRY_MS: u64 = 250;

/// Time without the end of a read or write after which its outcome counts as unknown, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// State of an order in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It is being executed.
    InProgress,
    /// The service's traffic is at the target. Final.
    Completed,
    /// The target gets nothing. Final.
    Reverted,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The state was written.
    Written {
        /// Offset at which the partition ends now.
        end_offset: u64,
    },
    /// The partition didn't end at the expected offset, and nothing was written.
    Conflict,
    /// Nothing was written for another reason.
    NotDone,
    /// There is no answer. The write may have been done, or may be done later if its condition holds.
    Unknown,
}

/// An event that may change the decision on an order.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed. The caller sends one every 250 ms or more often.
    Tick,
    /// A host reported its answers. The deciding host reports its own in the same way.
    Evidence {
        /// The host.
        host: Name,
        /// Its start.
        incarnation: u64,
        /// Its answers.
        digest: Digest,
    },
    /// A host in [`Phase::Promoting`] sends new requests to the target only.
    HostConfirmed {
        /// The host.
        host: Name,
        /// Its start.
        incarnation: u64,
        /// Number of its requests that still need a server of another version. A host that reports 0 uses
        /// no such server again unless the order is reverted.
        in_flight_old: u64,
    },
    /// A host sends nothing to the target since another decider announced [`Phase::Reverted`].
    HostReverted,
    /// The hosts of the deployment, each with its start.
    HostsChanged {
        /// Those that are alive, the deciding host included.
        live: BTreeSet<(Name, u64)>,
        /// Those without a sign of life for less than 12 s.
        silent: BTreeSet<(Name, u64)>,
    },
    /// The numbers of the service's servers.
    ServersChanged {
        /// Servers of the target.
        target: usize,
        /// Servers of other versions.
        others: usize,
    },
    /// The status of the service was read from the store.
    StatusRead {
        /// State and target, `None` if there is no record or it is older than the order.
        status: Option<(State, Name)>,
        /// Offset at which the partition ends.
        end_offset: u64,
    },
    /// A read failed.
    ReadFailed,
    /// A write ended.
    WriteEnded(Ending),
    /// The order was deleted.
    OrderGone,
    /// Another order for the service took its place.
    OrderReplaced,
}

/// What the deciding host does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the status of the service. [`Event::StatusRead`] or [`Event::ReadFailed`] follows.
    Read,
    /// Write a state if the partition still ends at an offset. [`Event::WriteEnded`] follows.
    Write {
        /// The state.
        state: State,
        /// The offset.
        at: u64,
    },
    /// Tell all hosts the phase, and repeat it until the next one.
    Announce {
        /// The phase.
        phase: Phase,
        /// Whether the store has it as the state of the order.
        is_written: bool,
    },
}

/// Why a phase was entered.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// Enough answers show no difference.
    Sound,
    /// The time for the trial is over, and too few answers show no difference.
    FewAnswers {
        /// Number of answers of the target.
        answers: u64,
    },
    /// No version but the target has servers.
    Alone,
    /// The target is bad.
    Bad(Reason),
    /// The target has answers, all of which are failures.
    NoneGood,
    /// The target had no servers.
    NoServers,
    /// The deadline passed without any answer.
    Overdue,
    /// The order was deleted.
    Withdrawn,
    /// Another decider announced it.
    Announced,
    /// The store has the state, which another decider wrote.
    Stored,
}

/// Call of the store whose end is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Read,
    Write(State),
}

/// A write of [`State::Completed`].
#[derive(Clone, Copy, Debug)]
struct Completion {
    at: u64,
    // It ended without an answer.
    is_lost: bool,
}

/// Decider of one order.
///
/// Its phase follows from the evidence, so that a decider at another host reaches the same. The store's
/// conditional writes ensure that only one of two deciders writes a final state, and neither announces
/// [`Phase::Completed`] before.
#[derive(Clone, Debug)]
pub struct Decider {
    order: Order,
    window: Window,
    opened_at: Instant,
    evidence: Evidence,
    has_news: bool,
    judged_at: Option<Instant>,
    verdict: Option<Verdict>,
    phase: Phase,
    is_written: bool,
    is_complete: bool,
    cause: Option<Cause>,
    is_replaced: bool,
    // Servers of the target and of other versions.
    servers: Option<(usize, usize)>,
    had_others: bool,
    // When the target got servers, if it had none.
    target_since: Option<Instant>,
    live: BTreeSet<(Name, u64)>,
    silent: BTreeSet<(Name, u64)>,
    confirmed: BTreeMap<(Name, u64), (u64, Instant)>,
    call: Option<(Call, Instant)>,
    retry_at: Instant,
    offset: Option<u64>,
    has_status: bool,
    // A write of `Completed` at an offset that may have been done or may be done yet.
    completion: Option<Completion>,
}

impl Decider {
    /// Opens the decider of an order. It takes the evidence of all hosts anew.
    pub fn open(now: Instant, order: Order, window: Window) -> Self {
        Self {
            order,
            window,
            opened_at: now,
            evidence: Evidence::open(window),
            has_news: false,
            judged_at: None,
            verdict: None,
            phase: Phase::Canary,
            is_written: false,
            is_complete: false,
            cause: None,
            is_replaced: false,
            servers: None,
            had_others: false,
            target_since: None,
            live: BTreeSet::new(),
            silent: BTreeSet::new(),
            confirmed: BTreeMap::new(),
            call: None,
            retry_at: now,
            offset: None,
            has_status: false,
            completion: None,
        }
    }

    /// Handles an event.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let before = self.phase();
        let is_tick = matches!(event, Event::Tick);
        self.take(now, event);
        if !self.is_written && !self.is_replaced {
            self.decide(now, is_tick);
        }
        let mut actions = Vec::new();
        let (phase, is_written) = self.phase();
        if (phase, is_written) != before {
            actions.push(Action::Announce { phase, is_written });
        }
        actions.extend(self.call_store(now));
        actions
    }

    /// Returns the phase to announce, and whether the store has it as the state of the order.
    ///
    /// A reversal isn't announced while a completion may be done: hosts would return to servers that stop.
    pub fn phase(&self) -> (Phase, bool) {
        match self.phase {
            Phase::Reverted if !self.is_written && self.completion.is_some() => {
                (Phase::Promoting, false)
            }
            phase => (phase, self.is_written),
        }
    }

    /// Returns why the phase was entered.
    pub fn cause(&self) -> Option<&Cause> {
        self.cause.as_ref()
    }

    /// Returns the last verdict.
    pub fn verdict(&self) -> Option<&Verdict> {
        self.verdict.as_ref()
    }

    fn take(&mut self, now: Instant, event: Event) {
        match event {
            Event::Tick => {
                if self
                    .call
                    .is_some_and(|(_, since)| now.since_ms(since) >= CALL_TIMEOUT_MS)
                {
                    self.end_call(now, Ending::Unknown);
                }
            }
            Event::Evidence {
                host,
                incarnation,
                digest,
            } => self.has_news |= self.evidence.merge(&host, incarnation, digest),
            Event::HostConfirmed {
                host,
                incarnation,
                in_flight_old,
            } => {
                self.confirmed
                    .insert((host, incarnation), (in_flight_old, now));
            }
            Event::HostsChanged { live, silent } => {
                let is_known = |host: &(Name, u64)| live.contains(host) || silent.contains(host);
                self.confirmed.retain(|host, _| is_known(host));
                (self.live, self.silent) = (live, silent);
            }
            Event::ServersChanged { target, others } => {
                let had_none = self.servers.is_some_and(|(target, _)| target == 0);
                if had_none && target > 0 {
                    self.target_since.get_or_insert(now);
                }
                self.had_others |= others > 0;
                self.servers = Some((target, others));
            }
            Event::StatusRead { status, end_offset } => {
                if !matches!(self.call, Some((Call::Write(_), _))) {
                    self.call = None;
                    self.offset = Some(end_offset);
                }
                // Writes at an earlier offset can't be done any more, and what was done is read here.
                self.completion = self.completion.filter(|it| it.at >= end_offset);
                let status = status.filter(|(_, target)| *target == self.order.target);
                match status.map(|(state, _)| state) {
                    Some(State::InProgress) => self.has_status = true,
                    Some(State::Completed) => self.store(Phase::Completed),
                    Some(State::Reverted) => self.store(Phase::Reverted),
                    None => self.has_status = false,
                }
            }
            Event::ReadFailed => {
                if matches!(self.call, Some((Call::Read, _))) {
                    self.end_call(now, Ending::NotDone);
                }
            }
            Event::WriteEnded(ending) => {
                if matches!(self.call, Some((Call::Write(_), _))) {
                    self.end_call(now, ending);
                }
            }
            Event::OrderGone => {
                if self.phase != Phase::Reverted {
                    self.enter(Phase::Reverted, Cause::Withdrawn);
                }
            }
            // Its evidence may be lost, and hosts that reverted never confirm.
            Event::HostReverted => {
                if self.phase != Phase::Reverted {
                    self.enter(Phase::Reverted, Cause::Announced);
                }
            }
            Event::OrderReplaced => self.is_replaced = true,
        }
    }

    fn end_call(&mut self, now: Instant, ending: Ending) {
        let Some((call, _)) = self.call.take() else {
            return;
        };
        match (call, ending) {
            (Call::Write(state), Ending::Written { end_offset }) => {
                self.offset = Some(end_offset);
                match state {
                    State::InProgress => self.has_status = true,
                    State::Completed => self.store(Phase::Completed),
                    State::Reverted => self.store(Phase::Reverted),
                }
            }
            (_, Ending::Conflict | Ending::Written { .. }) => self.offset = None,
            (call, Ending::NotDone) => {
                self.retry_at = now.after_ms(RETRY_MS);
                if call == Call::Write(State::Completed) {
                    self.completion = self.completion.filter(|it| it.is_lost);
                }
            }
            (call, Ending::Unknown) => {
                self.offset = None;
                self.retry_at = now.after_ms(RETRY_MS);
                if call == Call::Write(State::Completed)
                    && let Some(completion) = &mut self.completion
                {
                    completion.is_lost = true;
                }
            }
        }
    }

    /// Adopts the final state that the store has.
    fn store(&mut self, phase: Phase) {
        if self.is_written {
            return;
        }
        let is_own = match phase {
            Phase::Completed => self.phase == Phase::Promoting && self.is_complete,
            _ => self.phase == phase,
        };
        if !is_own {
            self.cause = Some(Cause::Stored);
        }
        (self.phase, self.is_written) = (phase, true);
    }

    fn enter(&mut self, phase: Phase, cause: Cause) {
        // The store may already have the order's state, which is final.
        if !self.is_written {
            self.phase = phase;
            self.cause = Some(cause);
            self.is_complete = false;
        }
    }

    /// Returns when the trial ends at the earliest, and at the latest.
    fn trial_end(&self) -> (Instant, Instant) {
        let Window {
            deadline,
            duration_ms,
        } = self.window;
        let since = self.target_since;
        let span_ms = since.map_or(duration_ms, |since| deadline.since_ms(since));
        let trial_ms = span_ms - SETTLE_MS.min(span_ms / 2);
        let left_ms = trial_ms - trial_ms * MIN_TRIAL.0 / MIN_TRIAL.1;
        let end = deadline.before_ms(span_ms - trial_ms);
        (end.before_ms(left_ms), end)
    }

    fn decide(&mut self, now: Instant, is_tick: bool) {
        let is_collected = now.since_ms(self.opened_at) >= COLLECT_MS;
        if matches!(self.phase, Phase::Canary | Phase::Promoting) {
            let is_due = self
                .judged_at
                .is_none_or(|at| now.since_ms(at) >= JUDGEMENT_MS);
            if self.has_news && is_due {
                self.judge(now, Look::Repeated);
            }
            if let Some(Verdict::Bad(reason)) = &self.verdict {
                let cause = Cause::Bad(reason.clone());
                return self.enter(Phase::Reverted, cause);
            }
        }
        match self.phase {
            Phase::Canary if is_collected => self.end_trial(now),
            // Hundreds of hosts confirm, so this isn't checked for each message. Confirmations may become
            // void until the state is written.
            Phase::Promoting if is_tick => {
                self.is_complete = self.cause == Some(Cause::Alone) || self.is_confirmed(now);
            }
            _ => {}
        }
    }

    fn judge(&mut self, now: Instant, look: Look) {
        self.verdict = Some(judgement::judge(&self.evidence, look));
        self.judged_at = Some(now);
        self.has_news = false;
    }

    /// Ends the trial if the time has come.
    fn end_trial(&mut self, now: Instant) {
        let Some((target, others)) = self.servers else {
            return;
        };
        let deadline = self.window.deadline;
        let write_ms = WRITE_MS.min(self.window.duration_ms / 2);
        if target == 0 {
            if now.after_ms(write_ms) >= deadline {
                self.enter(Phase::Reverted, Cause::NoServers);
            }
            return;
        }
        if others == 0 && !self.had_others {
            self.enter(Phase::Promoting, Cause::Alone);
            self.is_complete = true;
            return;
        }
        let (earliest, latest) = self.trial_end();
        let is_new = self.judged_at == Some(now);
        if now >= earliest && is_new && self.verdict == Some(Verdict::Sound) {
            // A fault that just began looks like a burst. The rest of the trial tells.
            if judgement::judge(&self.evidence, Look::Early) == Verdict::Sound {
                return self.enter(Phase::Promoting, Cause::Sound);
            }
        }
        if now < latest {
            return;
        }
        self.judge(now, Look::Last);
        match self.verdict.clone() {
            Some(Verdict::Bad(reason)) => self.enter(Phase::Reverted, Cause::Bad(reason)),
            Some(Verdict::Sound) => self.enter(Phase::Promoting, Cause::Sound),
            Some(Verdict::Undecided { answers, good }) => {
                if answers == 0 && now >= deadline {
                    self.enter(Phase::Reverted, Cause::Overdue);
                } else if answers > 0 && good == 0 {
                    self.enter(Phase::Reverted, Cause::NoneGood);
                } else {
                    self.enter(Phase::Promoting, Cause::FewAnswers { answers });
                }
            }
            None => {}
        }
    }

    /// Returns whether no request of any host can need a server of another version any more.
    fn is_confirmed(&self, now: Instant) -> bool {
        let has_confirmed = |host: &(Name, u64)| {
            self.confirmed.get(host).is_some_and(|&(in_flight, at)| {
                in_flight == 0 && now.since_ms(at) < CONFIRMATION_MS
            })
        };
        let is_late = now.after_ms(SILENT_MS) > self.window.deadline;
        !self.live.is_empty()
            && self.live.iter().all(has_confirmed)
            && (is_late || self.silent.iter().all(has_confirmed))
    }

    /// Returns the state that the store should have.
    fn wanted(&self) -> Option<State> {
        match self.phase {
            _ if self.is_written || self.is_replaced => None,
            Phase::Reverted => Some(State::Reverted),
            Phase::Promoting if self.is_complete => Some(State::Completed),
            _ => (!self.has_status).then_some(State::InProgress),
        }
    }

    fn call_store(&mut self, now: Instant) -> Option<Action> {
        if self.call.is_some() || now < self.retry_at {
            return None;
        }
        let state = self.wanted()?;
        let Some(at) = self.offset else {
            self.call = Some((Call::Read, now));
            return Some(Action::Read);
        };
        if state == State::Completed {
            let earlier = self.completion.filter(|it| it.at == at);
            let is_lost = earlier.is_some_and(|it| it.is_lost);
            self.completion = Some(Completion { at, is_lost });
        }
        self.call = Some((Call::Write(state), now));
        Some(Action::Write { state, at })
    }
}
