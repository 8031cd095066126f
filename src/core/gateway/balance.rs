//! Load balancing: selection of the server for a request.

use std::collections::HashMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    cache,
    config::Config,
    limits,
    pause::Wait,
    placement::{
        self,
        Belief,
        Candidate,
        Model,
        Profile,
        Sample,
        cost::Estimate, //
    },
    quota, rate,
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

/// Backoff after a failure of a server, in milliseconds. It doubles with each consecutive failure.
const FAILURE_BACKOFF_MS: u64 = 500;

/// Maximum backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Ratio of the prefill time of a token to the time for a fetch from another server's cache.
const FETCH_DIVISOR: u64 = 8;

/// Minimum number of tokens to fetch from another server. The prefill of fewer is as fast as a
/// fetch.
const MIN_FETCH_TOKENS: u64 = 200;

/// Cost of a running request, in tokens: its decoding slows down the prefill of others.
const RUNNING_COST_TOKENS: u64 = 400;

/// Cost of a server in another region, in tokens: two round trips between regions.
const REMOTE_REGION_COST_TOKENS: u64 = 12_000;

/// A segment of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Its id.
    pub id: Name,
    /// Its size, in tokens.
    pub tokens: u64,
}

/// A request that needs a server.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a str,
    /// Segments of the prompt in order. Empty for plain requests.
    pub prompt: &'a [Segment],
    /// Servers of earlier attempts.
    pub tried: &'a [Name],
    /// Rate limit of a cold server for all hosts, in requests per second. 0 is no limit.
    pub cold_requests_per_s: f64,
    /// Hosts that share the limits of servers.
    pub group: &'a quota::Group,
    /// Maximum number of concurrent requests of this host at a server, from its limit of
    /// connections.
    pub max_running: u32,
    /// Number of hosts in this data centre, which mostly use the same servers.
    pub local_hosts: usize,
    /// Number of requests that this host may send to a server in a window of [`limits`], if the
    /// server names a rate.
    pub named_share: &'a dyn Fn(&Server) -> Option<u64>,
    /// Why a server gets no request now, if it asked this host for a pause.
    pub pause: &'a dyn Fn(&Server) -> Option<Wait>,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service has no usable server.
    #[error("no server may be used")]
    NoServer,
    /// All usable servers are at their limits.
    #[error("all servers are full")]
    Full,
    /// All usable servers get as much as the rates allow that they name. With the time until this host
    /// may send a request, in milliseconds, unless it has no share of any.
    #[error("all servers are at the rates that they name")]
    Limited(Option<u64>),
    /// All usable servers asked this host for a pause. With the time until the first of them ends, in
    /// milliseconds.
    #[error("all servers asked for a pause")]
    Paused(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    running: u32,
    prefill_tokens: u64,
    failures: u32,
    backoff_until: Instant,
}

/// Assignment of a request to a server. It has to be passed to [`Balancer::complete`] at the end.
#[derive(Debug, PartialEq)]
pub struct Assignment {
    /// The server.
    pub server: Name,
    /// Prefill cost of the prompt at the server, in tokens.
    pub tokens: u64,
    /// Server from whose cache it can fetch segments of the prompt.
    pub source: Option<Name>,
    is_prefilling: bool,
    // Where speeds are learnt or decide.
    placed: Option<Box<placement::Placed>>,
    is_by_latency: bool,
}

impl Assignment {
    /// Returns the terms of the expected latency, where it decided.
    pub fn estimate(&self) -> Option<&Estimate> {
        let placed = self.placed.as_ref().filter(|_| self.is_by_latency)?;
        Some(&placed.estimate)
    }

    /// Returns whether the time to the first event tells the speed of the server.
    pub fn is_measured(&self) -> bool {
        self.placed.is_some()
    }
}

/// Load that this host causes at servers, and failures that it observes.
#[derive(Debug)]
pub struct Balancer {
    loads: HashMap<Name, Load>,
    cache: cache::Directory,
    limiter: rate::Limiter,
    // Counts requests for the rates that servers name.
    named_limiter: rate::Limiter,
    // By service, for those that are compared by latency.
    models: HashMap<Name, Model>,
    configured: Option<(u64, Placement)>,
}

impl Default for Balancer {
    fn default() -> Self {
        Self {
            loads: HashMap::new(),
            cache: cache::Directory::default(),
            limiter: rate::Limiter::default(),
            named_limiter: rate::Limiter::new(limits::WINDOW_MS),
            models: HashMap::new(),
            configured: None,
        }
    }
}

/// Predicate on servers, such as whether their region is allowed for a request.
pub type Filter<'a> = &'a dyn Fn(&Server) -> bool;

impl Balancer {
    /// Applies how servers are compared. Does nothing if that is known already, so it may precede every
    /// request. What was learnt of a service is kept unless its capacity changes.
    pub fn configure(&mut self, config: &Config, placement: Placement) {
        let configured = Some((config.version, placement));
        if self.configured == configured {
            return;
        }
        self.configured = configured;
        let mut known = std::mem::take(&mut self.models);
        if placement == Placement::Tokens {
            return;
        }
        for service in config.services.keys() {
            let Some(profile) = Profile::of(config, service) else {
                continue;
            };
            let model = known.remove(service);
            let model = model.filter(|model| model.profile() == profile);
            let model = model.unwrap_or_else(|| Model::new(profile));
            self.models.insert(service.clone(), model);
        }
    }

    /// Selects a server and adds the request to its load.
    ///
    /// Long prompts with shared segments arrive in bursts. A prompt goes to the server that has its
    /// segments cached, unless the pending prefill there takes longer than a prefill elsewhere.
    /// Segments that no server has cached go to the server with the highest rendezvous hash, the
    /// same on all hosts.
    ///
    /// # Errors
    ///
    /// [`Error`] if no server can take the request.
    pub fn place(
        &mut self,
        now: Instant,
        table: &servers::Table,
        request: &Request<'_>,
        is_allowed: Filter<'_>,
        is_local_region: Filter<'_>,
    ) -> Result<Assignment, Error> {
        let mut best: Option<(u64, u64, &Server, u64, Option<Name>)> = None;
        let mut has_candidate = false;
        let mut is_limited = false;
        let mut wait_ms: Option<u64> = None;
        let mut pause_ms: Option<u64> = None;
        let model = self
            .models
            .get(request.service)
            .filter(|_| !request.prompt.is_empty());
        let uses_latency = model.is_some_and(|model| self.is_decided_by(model));
        let learns_speeds = model.is_some() && !uses_latency;
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        let preferred = if uses_latency {
            None
        } else {
            self.preferred_server(table, request, is_allowed, is_local_region)
        };
        for server in table.usable(request.service) {
            if !is_allowed(server) || request.tried.contains(&server.entry.id) {
                continue;
            }
            let id = &server.entry.id;
            match (request.pause)(server) {
                None => {}
                Some(Wait::Paused(ms)) => {
                    pause_ms = pause_ms.into_iter().chain([ms]).min();
                    continue;
                }
                // The trial ends within a second.
                Some(Wait::Trial) => {
                    has_candidate = true;
                    continue;
                }
            }
            if let Some(share) = (request.named_share)(server) {
                let wait = self.named_limiter.wait_ms(now, id, share);
                if wait != Some(0) {
                    is_limited = true;
                    wait_ms = wait_ms.into_iter().chain(wait).min();
                    continue;
                }
            }
            has_candidate = true;
            if !self
                .limiter
                .allows(now, id, request.cold_requests_per_s, request.group)
            {
                continue;
            }
            let load = self.loads.get(id).copied().unwrap_or_default();
            if load.running >= request.max_running {
                continue;
            }
            if uses_latency {
                candidates.push(candidate(now, server, load, is_local_region));
                continue;
            }
            let slots = u64::from(server.entry.slots.max(1));
            let local_hosts = request.local_hosts.max(1) as u64;
            let (tokens, source) = self.prefill_cost(now, table, id, request.prompt);
            let running = u64::from(load.running) * local_hosts;
            let mut cost = load.prefill_tokens * local_hosts + tokens;
            if preferred.as_ref() != Some(id) {
                // Breaks ties if no server has the prompt cached.
                cost += MIN_FETCH_TOKENS;
            }
            if request.prompt.is_empty() {
                // For plain requests, the cost is the fraction of the slots in use.
                cost += running * REMOTE_REGION_COST_TOKENS / slots;
            } else {
                cost += running * RUNNING_COST_TOKENS;
            }
            if running >= slots {
                cost += REMOTE_REGION_COST_TOKENS * 2 * (running - slots + 1);
            }
            if !is_local_region(server) {
                cost += REMOTE_REGION_COST_TOKENS;
            }
            if now < server.cold_until && !request.prompt.is_empty() {
                cost += REMOTE_REGION_COST_TOKENS / 2;
            }
            if now < load.backoff_until {
                cost += REMOTE_REGION_COST_TOKENS * 8;
            }
            let tie_break = hash(&[id, request.prompt.first().map_or("", |segment| &segment.id)]);
            if best
                .as_ref()
                .is_none_or(|&(lowest_cost, lowest_tie_break, ..)| {
                    (cost, tie_break) < (lowest_cost, lowest_tie_break)
                })
            {
                best = Some((cost, tie_break, server, tokens, source));
            }
        }
        if !candidates.is_empty() {
            let is_source = |id: &Name| {
                let server = table.usable_by_id(id);
                server.is_some_and(|server| is_allowed(server) && is_local_region(server))
            };
            return self.place_by_latency(now, request, &candidates, &is_source);
        }
        let Some((_, _, server, tokens, source)) = best else {
            return Err(if has_candidate {
                Error::Full
            } else if is_limited {
                Error::Limited(wait_ms.into_iter().chain(pause_ms).min())
            } else if let Some(pause_ms) = pause_ms {
                Error::Paused(pause_ms)
            } else {
                Error::NoServer
            });
        };
        let id = server.entry.id.clone();
        let placed = if learns_speeds {
            let load = self.loads.get(&id).copied().unwrap_or_default();
            let candidate = candidate(now, server, load, is_local_region);
            self.follow(now, request, candidate)
        } else {
            None
        };
        self.add_load(now, &id, tokens, request.prompt);
        Ok(Assignment {
            server: id,
            tokens,
            source,
            is_prefilling: true,
            placed,
            is_by_latency: false,
        })
    }

    /// Returns whether the expected latency decides for a service with a model.
    fn is_decided_by(&self, model: &Model) -> bool {
        match self.configured {
            Some((_, Placement::Latency)) => true,
            Some((_, Placement::Adaptive)) => model.is_uneven(),
            Some((_, Placement::Tokens)) | None => false,
        }
    }

    /// Adds a request to the model of its service that was placed by tokens, so that speeds are learnt.
    fn follow(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        candidate: Candidate<'_>,
    ) -> Option<Box<placement::Placed>> {
        let model = self.models.get_mut(request.service)?;
        let id = &candidate.server.entry.id;
        let hosts = request.local_hosts;
        let choice = model.choose(now, request.prompt, hosts, &[candidate], &|_| false)?;
        let placed = model.add(now, request.service, id, request.prompt, &choice);
        Some(Box::new(placed))
    }

    /// Places a request at the candidate with the smallest expected latency.
    fn place_by_latency(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
        is_source: &dyn Fn(&Name) -> bool,
    ) -> Result<Assignment, Error> {
        let model = self.models.get_mut(request.service);
        let model = model.ok_or(Error::NoServer)?;
        let hosts = request.local_hosts;
        let choice = model.choose(now, request.prompt, hosts, candidates, is_source);
        let choice = choice.ok_or(Error::NoServer)?;
        let id = candidates[choice.index].server.entry.id.clone();
        let placed = model.add(now, request.service, &id, request.prompt, &choice);
        let tokens = u64::from(choice.estimate.missing);
        self.add_load(now, &id, tokens, request.prompt);
        Ok(Assignment {
            server: id,
            tokens,
            source: choice.source,
            is_prefilling: true,
            placed: Some(Box::new(placed)),
            is_by_latency: true,
        })
    }

    fn add_load(&mut self, now: Instant, id: &Name, tokens: u64, prompt: &[Segment]) {
        let load = self.loads.entry(id.clone()).or_default();
        load.running += 1;
        load.prefill_tokens += tokens;
        self.limiter.record(now, id);
        self.named_limiter.record(now, id);
        for segment in shared_segments(prompt) {
            self.cache.record(now, cache::key(segment), id);
        }
    }

    /// Adds a request that a dispatcher assigned to the load. It doesn't count against the rate limits
    /// of this host.
    pub fn accept(&mut self, server: &Name, tokens: u64, source: Option<Name>) -> Assignment {
        let load = self.loads.entry(server.clone()).or_default();
        load.running += 1;
        load.prefill_tokens += tokens;
        Assignment {
            server: server.clone(),
            tokens,
            source,
            is_prefilling: true,
            placed: None,
            is_by_latency: false,
        }
    }

    /// Returns the servers at which `max_running` or more requests of this host run.
    pub fn at_limit(&self, max_running: u32) -> Vec<Name> {
        let loads = self.loads.iter();
        let at_limit = loads.filter(|(_, load)| load.running >= max_running);
        at_limit.map(|(server, _)| server.clone()).collect()
    }

    /// Records that another host sent segments to a server.
    pub fn record_remote(&mut self, now: Instant, server: &Name, segments: &[cache::Key]) {
        for &segment in segments {
            self.cache.record(now, segment, server);
        }
    }

    /// Records that another host sent segments to a server of a service, where the expected latency decides.
    pub fn record_held(
        &mut self,
        now: Instant,
        service: &str,
        server: &Name,
        segments: &[cache::Key],
    ) {
        if let Some(model) = self.models.get_mut(service) {
            model.record_remote(now, server, segments);
        }
    }

    fn preferred_server(
        &self,
        table: &servers::Table,
        request: &Request<'_>,
        is_allowed: Filter<'_>,
        is_local_region: Filter<'_>,
    ) -> Option<Name> {
        let shared = shared_segments(request.prompt).last()?;
        table
            .usable(request.service)
            .filter(|server| is_allowed(server) && is_local_region(server))
            .max_by_key(|server| hash(&[&server.entry.id, &shared.id]))
            .map(|server| server.entry.id.clone())
    }

    /// Returns the prefill cost of a prompt at a server in tokens, and the server from which it can
    /// fetch segments. A fetched token costs a fraction of one that is computed.
    fn prefill_cost(
        &self,
        now: Instant,
        table: &servers::Table,
        id: &Name,
        prompt: &[Segment],
    ) -> (u64, Option<Name>) {
        let tokens =
            |segments: &[Segment]| segments.iter().map(|segment| segment.tokens).sum::<u64>();
        let cached = self.cache.cached_segments(now, prompt, id);
        let is_usable = |name: &Name| name != id && table.usable_by_id(name).is_some();
        let missing = tokens(&prompt[cached..]);
        let Some((source, count)) = self.cache.source(now, prompt, cached, is_usable) else {
            return (missing, None);
        };
        let fetched = tokens(&prompt[cached..count]);
        if fetched < MIN_FETCH_TOKENS {
            return (missing, None);
        }
        (missing - fetched + fetched / FETCH_DIVISOR, Some(source))
    }

    /// Records the first event of a request, with what its host saw. Returns whether that fits what was
    /// believed of the server's cache, where it tells.
    pub fn observe(
        &mut self,
        now: Instant,
        assignment: &mut Assignment,
        sample: Sample,
    ) -> Option<Belief> {
        self.finish_prefill(assignment);
        let placed = assignment.placed.as_mut()?;
        let model = self.models.get_mut(&placed.service)?;
        let belief = model.observe(now, &assignment.server, placed, sample);
        // What is believed of caches matters only where it decided.
        belief.filter(|_| assignment.is_by_latency)
    }

    /// Records the end of the prefill, which is when the first event arrives.
    pub fn finish_prefill(&mut self, assignment: &mut Assignment) {
        if !std::mem::take(&mut assignment.is_prefilling) {
            return;
        }
        if let Some(load) = self.loads.get_mut(&assignment.server) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(assignment.tokens);
        }
    }

    /// Records the end of a request. `failed` states that the server caused a failure.
    pub fn complete(&mut self, now: Instant, mut assignment: Assignment, failed: bool) {
        self.finish_prefill(&mut assignment);
        if let Some(placed) = assignment.placed.take()
            && let Some(model) = self.models.get_mut(&placed.service)
        {
            model.complete(now, &assignment.server, *placed, failed);
        }
        let Some(load) = self.loads.get_mut(&assignment.server) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        if failed {
            load.failures = (load.failures + 1).min(8);
            let backoff_ms = (FAILURE_BACKOFF_MS << (load.failures - 1).min(4)).min(MAX_BACKOFF_MS);
            load.backoff_until = now.after_ms(backoff_ms);
        } else {
            load.failures = load.failures.saturating_sub(1);
        }
    }

    /// Removes a server that has left or restarted.
    pub fn forget(&mut self, id: &Name) {
        if self.loads.get(id).is_some_and(|load| load.running == 0) {
            self.loads.remove(id);
        }
        self.limiter.forget(id);
        self.named_limiter.forget(id);
        self.cache.forget(id);
        for model in self.models.values_mut() {
            model.forget(id);
        }
    }

    /// Returns the number of requests of this host that run at a server.
    pub fn running(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.running)
    }
}

fn candidate<'a>(
    now: Instant,
    server: &'a Server,
    load: Load,
    is_local_region: Filter<'_>,
) -> Candidate<'a> {
    Candidate {
        server,
        running: load.running,
        prefill_tokens: load.prefill_tokens,
        is_backed_off: now < load.backoff_until,
        is_local: is_local_region(server),
    }
}

/// Returns the segments that other requests may share: all but the last.
pub fn shared_segments(prompt: &[Segment]) -> &[Segment] {
    prompt.split_last().map_or(&[], |(_, shared)| shared)
}

/// Hashes texts. The result is the same on all hosts.
pub fn hash(texts: &[&str]) -> u64 {
    hash_all(texts.iter().map(|text| text.as_bytes()))
}

/// Hashes strings of bytes like [`hash`].
pub fn hash_bytes(strings: &[&[u8]]) -> u64 {
    hash_all(strings.iter().copied())
}

fn hash_all<'a>(strings: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for bytes in strings {
        hasher.update(bytes);
        hasher.update(&[0xff]);
    }
    hasher.digest()
}
