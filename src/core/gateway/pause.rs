//! Pauses that servers ask this host for: see `docs/design/pauses.md`.
//!
//! A server that rejects a request may state a time in which it wants nothing from this host. The pause is extended
//! by a jitter, so that hosts don't return together. The first request after it is a trial: more follow once it was
//! answered, or after a while. Pauses aren't shared with other hosts, since each host is asked by itself.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    balance::hash,
    servers::Entry, //
};
use crate::{
    names::Name,
    time::Instant, //
};

/// Maximum duration of a pause, in milliseconds. It bounds the harm of a wrong value: a server is out of use for five
/// minutes at most, unless it repeats the value.
pub const MAX_PAUSE_MS: u64 = 300_000;

/// Jitter, as a part of the pause in percent.
const JITTER_PERCENT: u64 = 20;

/// Maximum jitter, in milliseconds. Enough to spread the first requests of hundreds of hosts over some hundred
/// milliseconds, and short beside the time for which a server is overloaded.
const MAX_JITTER_MS: u64 = 500;

/// Time after the first request after a pause from which more are sent without its answer, in milliseconds. The
/// request may take long, or its answer may be lost.
const TRIAL_MS: u64 = 1_000;

/// Time after its end for which a pause is remembered without a request to the server, in milliseconds. A server that
/// was not used for that long after its return has had time to recover.
const RETENTION_MS: u64 = 60_000;

/// Maximum number of starts of servers for which a malformed value is remembered, so that it is logged once. Far more
/// than a deployment has servers.
const MAX_MALFORMED: usize = 10_000;

/// Duration that an answer asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// The answer asks for no pause.
    None,
    /// Milliseconds, at most [`MAX_PAUSE_MS`].
    Pause(u64),
    /// No value is a number of seconds.
    Malformed,
}

/// Reads the values of the header, which are numbers of seconds. Of several valid ones the longest counts. Dates are
/// not understood: the clocks of servers and hosts may differ by more than a usual pause.
pub fn parse<'a>(values: impl Iterator<Item = &'a [u8]>) -> Request {
    let mut longest_ms = None;
    let mut has_value = false;
    for value in values {
        has_value = true;
        let seconds = std::str::from_utf8(value).ok().map(str::trim);
        let seconds = seconds.and_then(|text| text.parse::<f64>().ok());
        if let Some(seconds) = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) {
            // Values that are larger than the maximum saturate.
            let ms = (seconds * 1_000.0).ceil() as u64;
            longest_ms = longest_ms.max(Some(ms.min(MAX_PAUSE_MS)));
        }
    }
    match longest_ms {
        Some(0) => Request::None,
        Some(ms) => Request::Pause(ms),
        None if has_value => Request::Malformed,
        None => Request::None,
    }
}

/// Why a server gets no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// It is paused, for this many milliseconds more.
    Paused(u64),
    /// The pause is over, and the answer to the first request is awaited.
    Trial,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    started_at: Option<u64>,
    until: Instant,
    // When the first request after the pause was sent.
    trial_at: Option<Instant>,
}

impl Pause {
    fn wait(&self, now: Instant) -> Option<Wait> {
        if now < self.until {
            return Some(Wait::Paused(self.until.since_ms(now)));
        }
        let trial_at = self.trial_at?;
        (now < trial_at.after_ms(TRIAL_MS)).then_some(Wait::Trial)
    }

    fn is_over(&self, now: Instant) -> bool {
        match self.trial_at {
            Some(trial_at) => now >= trial_at.after_ms(TRIAL_MS),
            None => now >= self.until.after_ms(RETENTION_MS),
        }
    }
}

/// Pauses of all servers, by id. A pause belongs to one start of a server.
#[derive(Debug, Default)]
pub struct Table {
    pauses: BTreeMap<Name, Pause>,
    malformed: BTreeSet<(Name, Option<u64>)>,
}

impl Table {
    /// Records that a server asked `host` for a pause of `ms` from now on. Returns the time until it ends, in
    /// milliseconds, if that is later than what was known.
    pub fn record_pause(
        &mut self,
        now: Instant,
        host: &str,
        server: &Entry,
        ms: u64,
    ) -> Option<u64> {
        let ms = ms.min(MAX_PAUSE_MS);
        let max_jitter_ms = (ms * JITTER_PERCENT / 100).min(MAX_JITTER_MS);
        let jitter_ms = hash(&[host, &server.id]) % (max_jitter_ms + 1);
        let until = now.after_ms(ms + jitter_ms);
        let known = self.pauses.get(&server.id);
        // The answer of an earlier start says nothing of the later one.
        if known.is_some_and(|known| known.started_at > server.started_at) {
            return None;
        }
        let known = known.filter(|known| known.started_at == server.started_at);
        if known.is_some_and(|known| known.until >= until) {
            return None;
        }
        let pause = Pause {
            started_at: server.started_at,
            until,
            trial_at: None,
        };
        self.pauses.insert(server.id.clone(), pause);
        Some(until.since_ms(now))
    }

    /// Records an answer without a pause to a request that was sent at `sent_at`. It ends the trial, unless the request
    /// is older than that.
    pub fn record_answer(&mut self, sent_at: Instant, server: &Entry) {
        let pause = self.pauses.get(&server.id);
        let is_trial = pause.is_some_and(|pause| {
            pause.started_at == server.started_at
                && pause.trial_at.is_some_and(|trial_at| sent_at >= trial_at)
        });
        if is_trial {
            self.pauses.remove(&server.id);
        }
    }

    /// Returns whether the value of a server is the first malformed one since its start.
    pub fn record_malformed(&mut self, server: &Entry) -> bool {
        if self.malformed.len() >= MAX_MALFORMED {
            self.malformed.clear();
        }
        self.malformed
            .insert((server.id.clone(), server.started_at))
    }

    /// Returns why a server gets no request now, `None` if it may get one.
    pub fn wait(&self, now: Instant, server: &Entry) -> Option<Wait> {
        let pause = self.pauses.get(&server.id)?;
        if pause.started_at != server.started_at {
            return None;
        }
        pause.wait(now)
    }

    /// Returns why none of some servers gets a request now, `None` if one may get one or if there is none. Where all
    /// are paused, that is the pause that ends first.
    pub fn wait_of_all<'a>(
        &self,
        now: Instant,
        servers: impl Iterator<Item = &'a Entry>,
    ) -> Option<Wait> {
        if self.pauses.is_empty() {
            return None;
        }
        let mut first: Option<Wait> = None;
        for server in servers {
            first = match (first, self.wait(now, server)?) {
                (Some(Wait::Trial), _) | (_, Wait::Trial) => Some(Wait::Trial),
                (Some(Wait::Paused(one)), Wait::Paused(other)) => {
                    Some(Wait::Paused(one.min(other)))
                }
                (None, wait) => Some(wait),
            };
        }
        first
    }

    /// Records that a request is about to be sent to a server.
    ///
    /// # Errors
    ///
    /// [`Wait`] if it must not be sent.
    pub fn record_send(&mut self, now: Instant, server: &Entry) -> Result<(), Wait> {
        let Some(pause) = self.pauses.get_mut(&server.id) else {
            return Ok(());
        };
        if pause.started_at != server.started_at {
            return Ok(());
        }
        match pause.wait(now) {
            Some(wait) => Err(wait),
            None => {
                if pause.is_over(now) {
                    self.pauses.remove(&server.id);
                } else {
                    pause.trial_at = Some(now);
                }
                Ok(())
            }
        }
    }

    /// Returns whether no server is paused or on trial.
    pub fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Drops the pause of a server that has left or restarted and doesn't state its start, by which a pause would be
    /// told from that of another start.
    pub fn forget(&mut self, server: &str) {
        let pause = self.pauses.get(server);
        if pause.is_some_and(|pause| pause.started_at.is_none()) {
            self.pauses.remove(server);
        }
    }

    /// Drops the pauses that are over.
    pub fn expire(&mut self, now: Instant) {
        self.pauses.retain(|_, pause| !pause.is_over(now));
    }
}
