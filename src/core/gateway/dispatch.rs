//! Central assignment of requests to the engines of a region.
//!
//! Load pattern: hundreds of hosts with a few requests a second each, before engines that may be cold.
//! If hosts divide the rate limit of a cold server, each may send one request a second to a few
//! servers. So prompts can't go to the server that caches them, and a burst finds all servers full
//! while most of them are idle. Instead one host of the region, the dispatcher, assigns the requests
//! of all hosts, with the load, the caches and the rates of all engines in one place.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    balance::{
        self,
        Assignment,
        Balancer,
        Segment, //
    },
    cache,
    config::Config,
    placement::{
        Belief,
        Sample,
        cost::Estimate, //
    },
    quota::Group,
    servers::{
        self,
        Server, //
    },
};
use crate::{
    names::Name,
    options::gateway::Placement,
    time::Instant, //
};

/// Part of a cold server's rate limit that one dispatcher assigns, in percent. While hosts disagree on
/// the dispatcher, the two that they may ask stay within the limit together.
pub const DISPATCHER_PERCENT: u64 = 40;

/// Part of a cold server's rate limit that hosts divide among themselves, for requests that no
/// dispatcher assigns, in percent.
pub const DIVIDED_PERCENT: u64 = 100 - DISPATCHERS as u64 * DISPATCHER_PERCENT;

/// Number of hosts that a host may ask, one after the other.
pub const DISPATCHERS: usize = 2;

/// Minimum number of hosts in all regions for dispatchers. Fewer hosts have shares of about one request
/// a second at every server.
pub const MIN_HOSTS: usize = 24;

/// Time after its start from which a host assigns requests in any case, in milliseconds. By then it has
/// received the heartbeats of all live hosts, and its servers are up to date.
const START_DELAY_MS: u64 = 3_000;

/// Time after a pause of the process from which it assigns requests again, in milliseconds. Its
/// requests of the last second are out of the window of rate limits by then.
const RESUME_DELAY_MS: u64 = 1_000;

/// Asks for the server of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The service.
    pub service: Name,
    /// Segments of the prompt in order.
    pub prompt: Vec<Segment>,
    /// Servers that the request must not go to.
    pub excluded: Vec<Name>,
    /// Time after which the request has ended, in milliseconds.
    pub remaining_ms: u64,
    /// Versions of the service that the request may go to.
    pub constraint: Constraint,
}

/// Versions of a service that a request may go to. A version is stated by the hash of its name, since the
/// name may be long and the datagram must stay small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Constraint {
    /// Any version that the dispatcher uses itself.
    #[default]
    Any,
    /// Only this one.
    Only(u64),
    /// All but this one.
    Not(u64),
}

impl Constraint {
    /// Returns whether it admits a version.
    pub fn admits(self, version: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Not(not) => version != not,
        }
    }
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may be sent to a server.
    Granted(Grant),
    /// All usable servers of the region are at their limits.
    Full,
    /// All usable servers of the region get as much as the rates allow that they name. With the time
    /// until one may get a request, in milliseconds.
    Limited(Option<u64>),
    /// The region has no usable server.
    NoServer,
    /// This host assigns no requests now.
    NotReady,
}

/// Permission to send one request to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the grant at its dispatcher.
    pub id: u64,
    /// The server.
    pub server: Name,
    /// Prefill cost of the prompt at the server, in tokens.
    pub tokens: u64,
    /// Server from whose cache it can fetch segments of the prompt.
    pub source: Option<Name>,
    /// Terms of the expected latency, where it decided. The host logs them.
    pub estimate: Option<Estimate>,
    /// Whether the dispatcher wants to know the time to the first event.
    pub is_measured: bool,
}

/// Progress of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// Its first event arrived.
    Prefilled {
        /// Number of the grant.
        id: u64,
    },
    /// It ended.
    Completed {
        /// Number of the grant.
        id: u64,
        /// Whether the server caused a failure.
        failed: bool,
    },
    /// Its first event arrived. Sent instead of `Prefilled` where speeds are learnt.
    FirstEvent {
        /// Number of the grant.
        id: u64,
        /// What its host saw.
        sample: Sample,
    },
}

#[derive(Debug)]
struct Running {
    assignment: Assignment,
    expires: Instant,
}

/// Assigns the requests of all hosts of a region.
#[derive(Debug)]
pub struct Dispatcher {
    balancer: Balancer,
    alone: Group,
    running: BTreeMap<u64, Running>,
    last_id: u64,
    ready_at: Instant,
    is_starting: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a host that starts now. Numbers of its grants follow `first_id`, so
    /// that they differ from those of an earlier incarnation.
    pub fn new(now: Instant, first_id: u64) -> Self {
        Self {
            balancer: Balancer::default(),
            alone: Group::default(),
            running: BTreeMap::new(),
            last_id: first_id,
            ready_at: now.after_ms(START_DELAY_MS),
            is_starting: true,
        }
    }

    /// Assigns a request to one of the servers that `is_own` selects.
    ///
    /// `cold_requests_per_s` is the rate limit of a cold server over all hosts. `named_share` is what
    /// one dispatcher may assign of the rate that a server names: see
    /// [`balance::Request::named_share`].
    pub fn ask(
        &mut self,
        now: Instant,
        table: &servers::Table,
        ask: &Ask,
        cold_requests_per_s: f64,
        named_share: &dyn Fn(&Server) -> Option<u64>,
        is_own: balance::Filter<'_>,
    ) -> Reply {
        if now < self.ready_at {
            return Reply::NotReady;
        }
        self.expire(now);
        let request = balance::Request {
            service: &ask.service,
            prompt: &ask.prompt,
            tried: &ask.excluded,
            cold_requests_per_s: cold_requests_per_s * DISPATCHER_PERCENT as f64 / 100.0,
            group: &self.alone,
            max_running: u32::MAX,
            local_hosts: 1,
            named_share,
            // Servers that asked for a pause are excluded, or not among those that `is_own` selects.
            pause: &|_| None,
        };
        let is_local: &dyn Fn(&Server) -> bool = &|_| true;
        match self.balancer.place(now, table, &request, is_own, is_local) {
            Ok(assignment) => {
                self.last_id += 1;
                let grant = Grant {
                    id: self.last_id,
                    server: assignment.server.clone(),
                    tokens: assignment.tokens,
                    source: assignment.source.clone(),
                    estimate: assignment.estimate().copied(),
                    is_measured: assignment.is_measured(),
                };
                let running = Running {
                    assignment,
                    expires: now.after_ms(ask.remaining_ms),
                };
                self.running.insert(grant.id, running);
                Reply::Granted(grant)
            }
            Err(balance::Error::Full) => Reply::Full,
            Err(balance::Error::Limited(wait_ms)) => Reply::Limited(wait_ms),
            Err(balance::Error::NoServer | balance::Error::Paused(_)) => Reply::NoServer,
        }
    }

    /// Applies how servers are compared: see [`Balancer::configure`].
    pub fn configure(&mut self, config: &Config, placement: Placement) {
        self.balancer.configure(config, placement);
    }

    /// Records the progress of a granted request. One that is unknown or expired is ignored. Returns whether
    /// its first event fits what was believed of the server's cache, where it tells.
    pub fn report(&mut self, now: Instant, report: Report) -> Option<Belief> {
        match report {
            Report::Prefilled { id } => {
                if let Some(running) = self.running.get_mut(&id) {
                    self.balancer.finish_prefill(&mut running.assignment);
                }
            }
            Report::Completed { id, failed } => {
                if let Some(running) = self.running.remove(&id) {
                    self.balancer.complete(now, running.assignment, failed);
                }
            }
            Report::FirstEvent { id, sample } => {
                let running = self.running.get_mut(&id)?;
                return self.balancer.observe(now, &mut running.assignment, sample);
            }
        }
        None
    }

    /// Ends the requests whose time is over. Their reports were lost, or their hosts died.
    fn expire(&mut self, now: Instant) {
        let expired = self
            .running
            .extract_if(.., |_, running| now >= running.expires);
        for (_, running) in expired {
            self.balancer.complete(now, running.assignment, false);
        }
    }

    /// Records how many hosts are live, of those that share the limits of servers.
    ///
    /// A host that knows only a few would take itself for the dispatcher. As soon as it knows most of
    /// them, it need not wait longer: after the loss of all hosts, none would assign requests.
    pub fn observe_hosts(&mut self, now: Instant, live: usize, all: usize) {
        if self.is_starting && live * 2 >= all {
            self.is_starting = false;
            self.ready_at = self.ready_at.min(now);
        }
    }

    /// Records that the process was paused. Another host may have assigned requests meanwhile.
    pub fn resume(&mut self, now: Instant) {
        self.is_starting = false;
        self.ready_at = self.ready_at.max(now.after_ms(RESUME_DELAY_MS));
    }

    /// Records that a request with these segments was sent to a server.
    pub fn record_remote(&mut self, now: Instant, server: &Name, segments: &[cache::Key]) {
        self.balancer.record_remote(now, server, segments);
    }

    /// Records the same where the expected latency decides: see [`Balancer::record_held`].
    pub fn record_held(
        &mut self,
        now: Instant,
        service: &str,
        server: &Name,
        segments: &[cache::Key],
    ) {
        self.balancer.record_held(now, service, server, segments);
    }

    /// Removes a server that has left or restarted.
    pub fn forget(&mut self, id: &Name) {
        self.balancer.forget(id);
    }
}
