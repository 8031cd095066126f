//! Whether a host is alive, by its own heartbeats and answers.
//!
//! Only these make the belief that it is alive young: its heartbeat, which is as old as its sender's clock tells unless it took
//! no longer than usual, or its answer to a probe, which is as old as the probe. A heartbeat may be read late, and a call that
//! a writer has lost may be executed at any time. A host whose last word isn't young is in doubt until it has answered.

use super::{
    Ack,
    HEARTBEAT_TIMEOUT_MS,
    Heartbeat,
    Transition,
    peer_clock::PeerClock, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Interval of probes of a host in doubt, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// The same for a host that has not answered for some time.
const SLOW_PROBE_INTERVAL_MS: u64 = 3_000;

/// Time without an answer after which the probes become slow, in milliseconds.
const SLOW_AFTER_MS: u64 = 3_000;

/// Age of an answer's probe beyond which the answer isn't fresh, in milliseconds. The way to another region and
/// back takes a fraction of it, also while the processors of both hosts are busy.
const MAX_ANSWER_AGE_MS: u64 = 1_000;

/// Time in which a host that was live has to answer the first probe where its heartbeats can't arrive, in milliseconds:
/// three probes, of which two may be lost.
const ANSWER_TIME_MS: u64 = 1_500;

/// Age of the last heartbeat or answer of a host at which it is probed while heartbeats are read, in milliseconds: two
/// heartbeats, the second of which took a second more than usual. It has the rest of the timeout to answer.
const OVERDUE_MS: u64 = 2 * super::HEARTBEAT_INTERVAL_MS + 1_000;

/// Delay of a heartbeat up to which it counts from its arrival, beyond that of the fastest ones, in milliseconds: the time for
/// which its writer gathers heartbeats, and the interval of reads. With the timeout it is well below the 7 s for which
/// lookups may name a host that has ended.
const USUAL_DELAY_MS: u64 = 300 + super::HEARTBEAT_INTERVAL_MS;

/// Time between two heartbeats that show that a host is alive although it doesn't answer, in milliseconds: two
/// intervals. Heartbeats that lost calls left behind are executed together.
const HEARTBEATS_APART_MS: u64 = 2 * super::HEARTBEAT_INTERVAL_MS;

/// What showed last that a host is alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing: it was in the store before this host started.
    #[default]
    None,
    /// Its heartbeat.
    Heartbeat,
    /// Its answer to a probe.
    Answer,
    /// Another host, which took it for alive.
    Relayed,
}

impl Evidence {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Heartbeat => "heartbeat",
            Self::Answer => "answer",
            Self::Relayed => "relayed",
        }
    }
}

/// What is known of whether a host is alive.
#[derive(Clone, Debug, Default)]
pub(super) struct Liveness {
    evidence: Evidence,
    // When it was alive, by its own heartbeat or answer.
    alive_at: Option<Instant>,
    clock: PeerClock,
    doubt: Option<Doubt>,
}

/// A doubt whether a host is alive.
#[derive(Clone, Debug)]
struct Doubt {
    raised_at: Instant,
    // Whether it counts as live until it has had the time to answer.
    is_presumed: bool,
    // When that time ends while heartbeats are read.
    limit: Option<Instant>,
    probed_since: Option<Instant>,
    // The last two probes.
    probes: [Option<(u64, Instant)>; 2],
    // When the first heartbeat since was received.
    heard_at: Option<Instant>,
}

impl Doubt {
    fn new(now: Instant, is_presumed: bool) -> Self {
        Self {
            raised_at: now,
            is_presumed,
            limit: None,
            probed_since: None,
            probes: [None; 2],
            heard_at: None,
        }
    }
}

/// The reading of the store, as far as it bears on the age of what is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub(super) now: Instant,
    /// The time up to which the lack of a heartbeat tells anything.
    pub(super) known_until: Instant,
    /// When the store last recovered from an outage.
    pub(super) recovered_at: Instant,
}

impl Reading {
    /// Returns whether the store is read without a gap.
    pub(super) fn is_current(&self) -> bool {
        self.known_until >= self.now
    }
}

impl Liveness {
    /// The liveness of a host of whose start this is the first heartbeat.
    ///
    /// Nothing tells how old that is. So the host has to answer a probe before it counts as live, if it can be probed.
    pub(super) fn first(now: Instant, heartbeat: &Heartbeat) -> Self {
        let mut clock = PeerClock::default();
        clock.observe(now, heartbeat.uptime_ms);
        let can_answer = heartbeat.key.is_some();
        let doubt = can_answer.then(|| Doubt {
            heard_at: Some(now),
            ..Doubt::new(now, false)
        });
        Self {
            evidence: Evidence::Heartbeat,
            alive_at: Some(now),
            clock,
            doubt,
        }
    }

    /// The liveness of this host.
    pub(super) fn own(now: Instant) -> Self {
        Self {
            evidence: Evidence::Heartbeat,
            alive_at: Some(now),
            ..Self::default()
        }
    }

    /// The liveness of a host that another one takes for alive.
    pub(super) fn relayed(now: Instant) -> Self {
        Self {
            evidence: Evidence::Relayed,
            doubt: Some(Doubt::new(now, true)),
            ..Self::default()
        }
    }

    /// The liveness of a host that has started anew at an unknown time.
    pub(super) fn restarted(now: Instant) -> Self {
        Self {
            doubt: Some(Doubt::new(now, false)),
            ..Self::default()
        }
    }

    pub(super) fn is_live(&self, reading: Reading) -> bool {
        let Some(doubt) = &self.doubt else {
            let at = self.alive_at;
            return at.is_some_and(|at| reading.known_until.since_ms(at) < HEARTBEAT_TIMEOUT_MS);
        };
        let Reading { now, .. } = reading;
        let is_in_time = match doubt.probed_since {
            Some(since) => now.since_ms(since) < ANSWER_TIME_MS,
            // It can't be probed. Its heartbeats tell once they can arrive.
            None if !reading.is_current() => true,
            None => {
                let since = doubt.raised_at.max(reading.recovered_at);
                now.since_ms(since) < HEARTBEAT_TIMEOUT_MS
            }
        };
        // Heartbeats that can't arrive tell nothing.
        let is_overdue = reading.is_current() && doubt.limit.is_some_and(|limit| now >= limit);
        doubt.is_presumed && is_in_time && !is_overdue
    }

    /// Records a heartbeat that is newer than those before it.
    pub(super) fn record_heartbeat(&mut self, reading: Reading, heartbeat: &Heartbeat) {
        let now = reading.now;
        let is_live = self.is_live(reading);
        let can_answer = heartbeat.key.is_some();
        let sent_at = self.clock.observe(now, heartbeat.uptime_ms);
        let is_late = now.since_ms(sent_at) > USUAL_DELAY_MS;
        self.observe(Evidence::Heartbeat, if is_late { sent_at } else { now });
        if !can_answer {
            self.doubt = None;
            return;
        }
        match &mut self.doubt {
            None if is_live => {}
            Some(doubt) if is_live || doubt.heard_at.is_some() => {
                let first = *doubt.heard_at.get_or_insert(now);
                if now.since_ms(first) >= HEARTBEATS_APART_MS && sent_at >= doubt.raised_at {
                    self.doubt = None;
                }
            }
            // It may have been paused, and is probed at once.
            doubt => {
                *doubt = Some(Doubt {
                    heard_at: Some(now),
                    ..Doubt::new(now, false)
                });
            }
        }
    }

    /// Raises a doubt if the host counts as live and its last heartbeat or answer is older than `age_ms`.
    pub(super) fn doubt_if_older(&mut self, reading: Reading, age_ms: u64) {
        let Reading { now, .. } = reading;
        let is_young = self.alive_at.is_some_and(|at| now.since_ms(at) < age_ms);
        if self.doubt.is_none() && !is_young && self.is_live(reading) {
            self.doubt = Some(Doubt::new(now, true));
        }
    }

    /// Raises a doubt if the last heartbeat or answer of the host is so old that a newer heartbeat should have been read.
    pub(super) fn doubt_if_overdue(&mut self, reading: Reading) {
        if self.doubt.is_some() {
            return;
        }
        self.doubt_if_older(reading, OVERDUE_MS);
        if let Some(doubt) = &mut self.doubt {
            // Also where this tick is late.
            let rest_ms = HEARTBEAT_TIMEOUT_MS - OVERDUE_MS;
            doubt.limit = Some(reading.now.after_ms(rest_ms));
        }
    }

    /// Raises a doubt which incarnation of a live host is running. Only answers to new probes tell.
    pub(super) fn doubt_incarnation(&mut self, now: Instant) {
        let limit = self.alive_at.map(|at| at.after_ms(HEARTBEAT_TIMEOUT_MS));
        self.doubt = Some(Doubt {
            limit,
            ..Doubt::new(now, true)
        });
    }

    /// Returns whether the host is to be probed now.
    pub(super) fn is_probe_due(&self, now: Instant) -> bool {
        let Some(doubt) = &self.doubt else {
            return false;
        };
        let is_slow = doubt
            .probed_since
            .is_some_and(|since| now.since_ms(since) >= SLOW_AFTER_MS);
        let interval_ms = if is_slow {
            SLOW_PROBE_INTERVAL_MS
        } else {
            PROBE_INTERVAL_MS
        };
        doubt.probes[0].is_none_or(|(_, at)| now.since_ms(at) >= interval_ms)
    }

    /// Returns whether the host was probed and has not answered yet.
    pub(super) fn is_probed(&self) -> bool {
        let doubt = self.doubt.as_ref();
        doubt.is_some_and(|doubt| doubt.probed_since.is_some())
    }

    /// Returns whether the host counts as live without a doubt.
    pub(super) fn is_undoubted(&self, reading: Reading) -> bool {
        self.doubt.is_none() && self.is_live(reading)
    }

    /// Records a probe of the host.
    pub(super) fn record_probe(&mut self, now: Instant, number: u64) {
        if let Some(doubt) = &mut self.doubt {
            doubt.probed_since.get_or_insert(now);
            doubt.probes = [Some((number, now)), doubt.probes[0]];
        }
    }

    /// Returns when the probe was sent that an answer repeats, if the answer is fresh.
    pub(super) fn fresh_probe(&self, now: Instant, ack: &Ack) -> Option<Instant> {
        let mut probes = self.doubt.iter().flat_map(|doubt| doubt.probes).flatten();
        let (_, at) = probes.find(|(number, _)| *number == ack.number)?;
        (now.since_ms(at) <= MAX_ANSWER_AGE_MS).then_some(at)
    }

    /// Records a fresh answer of the host to a probe that was sent at a time.
    pub(super) fn record_ack(&mut self, now: Instant, ack: &Ack, probed_at: Instant) {
        self.clock.observe(now, ack.uptime_ms);
        self.observe(Evidence::Answer, probed_at);
        self.doubt = None;
    }

    /// Records that the host has ended.
    pub(super) fn end(&mut self, now: Instant) {
        let doubt = self.doubt.get_or_insert_with(|| Doubt::new(now, false));
        doubt.is_presumed = false;
    }

    /// Records that the host was alive at a time.
    fn observe(&mut self, evidence: Evidence, at: Instant) {
        if self.alive_at.is_none_or(|known| known < at) {
            self.evidence = evidence;
            self.alive_at = Some(at);
        }
    }

    /// Returns the state of a host that began or ceased to count as live, and its reasons.
    pub(super) fn transition(&self, now: Instant, name: &Name, live: bool) -> Transition {
        let probed_since = self.doubt.as_ref().and_then(|doubt| doubt.probed_since);
        Transition {
            name: name.clone(),
            live,
            evidence: self.evidence,
            age_ms: self.alive_at.map(|at| now.since_ms(at)),
            unanswered_ms: probed_since.map(|since| now.since_ms(since)),
        }
    }

    /// Drops a doubt of a host that has not answered for so long that only its next start matters.
    pub(super) fn expire(&mut self, reading: Reading, age_ms: u64) {
        let since = self.doubt.as_ref().and_then(|doubt| doubt.probed_since);
        if reading.is_current() && since.is_some_and(|since| reading.now.since_ms(since) >= age_ms)
        {
            *self = Self::default();
        }
    }
}
