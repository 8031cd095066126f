//! Latency-based placement: the expected cost of a prompt at each engine, from its measured speed and from
//! what its memory holds. See `docs/design/placement.md`.

use std::{
    cell::Cell,
    collections::HashMap, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    balance::{
        self,
        Segment, //
    },
    cache::{
        self,
        Key, //
    },
    config::{
        Config,
        Role, //
    },
    servers::Server,
};
use crate::{
    names::Name,
    time::Instant, //
};

pub mod cost;
pub mod load;
pub mod memory;
pub mod speed;

use cost::Estimate;
use load::Load;
use memory::{
    Memory,
    Slot, //
};
use speed::{
    Line,
    Mean,
    Speed, //
};

/// Minimum number of tokens to fetch from another server. The prefill of fewer is as fast.
const MIN_FETCH_TOKENS: u64 = 200;

/// Ratio by which a transfer has to be faster than a prefill: it uses the links of two servers, whose other
/// transfers wait.
const FETCH_PRICE: f64 = 1.25;

/// Slow-down of a prefill by each running request, as a ratio: a decoding step runs between two chunks of a
/// prefill and takes 0.02 to 0.04 ms longer for each request, against 19 to 63 ms of a chunk.
const BESIDE_RATIO: f64 = 0.002;

/// Weight of the delay of a running request's next event by the prefill of this one. A pause between events
/// is below 400 ms in any case, and matters less than a late first event.
const EVENT_DELAY_WEIGHT: f64 = 0.05;

/// Maximum of the weight with which the prefill of this request counts for those after it. It grows with
/// the utilisation as the mean wait of a queue does; the bound keeps reuse from outweighing any wait when
/// all servers are busy.
const MAX_QUEUE_WEIGHT: f64 = 1.5;

/// Window of the utilisation, in milliseconds. Longer than single prefills, shorter than a burst.
const UTILISATION_MS: f64 = 4_000.0;

/// Weight of the time between the first event and the end. Objectives are for the first event.
const DECODE_WEIGHT: f64 = 0.1;

/// Round trip to another region, in milliseconds: 20 ms each way.
const REGION_ROUND_TRIP_MS: f64 = 40.0;

/// Price of the bytes between regions, as a time in milliseconds. Together with the round trip this is
/// what 12,000 tokens cost in the other placement, at 32 to 110 tokens in a millisecond.
const REGION_PRICE_MS: f64 = 200.0;

/// Cost of a server that warms up, in milliseconds. Its rate is limited, and prompts that others hold are
/// better off there.
const WARM_UP_MS: f64 = 60.0;

/// Cost of a server during its backoff after failures, in milliseconds: more than any usual wait, so that it
/// gets requests only if all others fail too.
const FAILURE_MS: f64 = 10_000.0;

/// Age up to which the load that a server stated is used, in milliseconds. Requests come and go within
/// this time.
const MAX_LOAD_AGE_MS: u64 = 500;

/// Number of samples after which the median speed is computed again, and from which on samples tell whether
/// beliefs about memory are right: before, the line of the service isn't known.
const MEDIAN_SAMPLES: u32 = 32;

/// Tokens of a part that another host reported, before any size is known: a usual shared part.
const DEFAULT_PART_TOKENS: f64 = 2_000.0;

/// Maximum number of parts whose sizes are remembered. Beyond it all are forgotten, and the mean is used.
const MAX_SIZES: usize = 20_000;

/// Time for which the factor of a server is used without a new sample, in milliseconds: short against a
/// spell. Its exponentials would be most of a decision's time.
const FACTOR_MS: u64 = 50;

/// Number of slots of the last decision that are compared with a candidate. Candidates come in the same order
/// each time, and few are missing.
const NEXT_SLOTS: usize = 3;

/// Time of a request at a server before any has ended, in milliseconds.
const DEFAULT_HOLD_MS: f64 = 1_000.0;

/// Time of the prefill of believed parts from which on a sample tells whether they were held, in
/// milliseconds. Less is within the noise of a sample.
const MIN_BELIEF_MS: f64 = 40.0;

/// Unevenness from which servers are compared by latency if that is adaptive: two usual servers differ by a
/// factor of 1.4, which costs in tokens take for none.
const UNEVEN: f64 = 0.17;

/// Unevenness below which they are compared by tokens again, lower so that noise doesn't switch it.
const EVEN: f64 = 0.12;

/// What is known of the engines of a service from the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Memory of an engine, in tokens.
    pub memory_tokens: u64,
    /// Time to transfer a token between engines, in milliseconds.
    pub fetch_token_ms: f64,
    /// Shortest latency objective of the routes to the service, in milliseconds.
    pub objective_ms: u64,
}

impl Profile {
    /// Returns the profile of a service's engines. `None` if the configuration doesn't state all of it.
    pub fn of(config: &Config, service: &str) -> Option<Self> {
        let Role::Engine(Some(engine)) = config.services.get(service)?.role else {
            return None;
        };
        // A megabit per second is 1,000 bits in a millisecond.
        let fetch_token_ms = engine.token_bytes * 8.0 / (engine.link_mbps * 1_000.0);
        Some(Self {
            slots: engine.slots,
            memory_tokens: engine.memory_tokens,
            fetch_token_ms,
            objective_ms: config.objective_ms(service)?,
        })
    }
}

/// What a host saw of a request when its first event came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Time from the send to the first event, in milliseconds.
    pub first_ms: u32,
    /// Running requests, waiting requests and slots that the server stated.
    pub load: Option<[u32; 3]>,
    /// How long work takes there, as the server stated it, in percent of the usual.
    pub pace_percent: Option<u32>,
}

impl Sample {
    /// Creates the sample of a request.
    pub fn new(first_ms: u64, load: Option<Load>) -> Self {
        Self {
            first_ms: u32::try_from(first_ms).unwrap_or(u32::MAX),
            load: load.map(|load| [load.running, load.waiting, load.slots]),
            pace_percent: load.and_then(|load| load.pace_percent),
        }
    }
}

/// Whether what was believed of a server's memory fits the time to the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    /// Whether the server was believed to hold parts of the prompt.
    pub is_cached: bool,
    /// Whether the time fits that better than the opposite.
    pub is_right: bool,
}

/// A server that may get a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Server,
    /// Running requests of this host there.
    pub running: u32,
    /// Tokens that those still have to prefill.
    pub prefill_tokens: u64,
    /// Whether it failed a moment ago.
    pub is_backed_off: bool,
    /// Whether it is in the preferred region.
    pub is_local: bool,
}

/// The server with the smallest expected cost.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// Server from which parts of the prompt are fetched.
    pub source: Option<Name>,
    /// Terms of the cost.
    pub estimate: Estimate,
}

/// A request that was placed. It has to be passed to [`Model::complete`] at the end.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// The service.
    pub service: Name,
    /// Terms of the cost when it was placed.
    pub estimate: Estimate,
    own: Option<(Key, u64)>,
    at: Instant,
    first_event_at: Option<Instant>,
    start: u64,
}

#[derive(Debug)]
struct State {
    id: Name,
    hash: u64,
    // Tells the server from earlier ones in the same slot.
    start: u64,
    speed: Speed,
    // The factor and when it was computed.
    factor: Cell<Option<(Instant, f64)>>,
    // Requests in their prefill, and when the oldest of them got its turn.
    prefilling: u32,
    prefill_since: Instant,
    link_free_at: Instant,
    load: Option<(Instant, Load)>,
}

/// What is known of the engines of a service.
#[derive(Debug)]
pub struct Model {
    profile: Profile,
    index: HashMap<Name, Slot>,
    states: Vec<State>,
    free: Vec<Slot>,
    last_start: u64,
    memory: Memory,
    line: Line,
    median: f64,
    is_uneven: bool,
    samples: u32,
    hold_ms: Mean,
    decode_ms: Mean,
    // Prefill time of assigned requests, which fades within the window of the utilisation.
    work_ms: f64,
    work_at: Instant,
    sizes: HashMap<Key, u64>,
    mean_size: Mean,
    counts: Vec<u16>,
    // Slots of the candidates of the last decision.
    recent: Vec<Slot>,
}

impl State {
    fn factor(&self, now: Instant, median: f64) -> f64 {
        if let Some((at, factor)) = self.factor.get()
            && now.since_ms(at) < FACTOR_MS
        {
            return factor;
        }
        let factor = self.speed.factor(now, median);
        self.factor.set(Some((now, factor)));
        factor
    }
}

impl Model {
    /// Creates the model of a service's engines.
    pub fn new(profile: Profile) -> Self {
        Self {
            profile,
            index: HashMap::new(),
            states: Vec::new(),
            free: Vec::new(),
            last_start: 0,
            memory: Memory::new(profile.memory_tokens),
            line: Line::default(),
            median: 1.0,
            is_uneven: false,
            samples: 0,
            hold_ms: Mean::default(),
            decode_ms: Mean::default(),
            work_ms: 0.0,
            work_at: Instant::ZERO,
            sizes: HashMap::new(),
            mean_size: Mean::default(),
            counts: Vec::new(),
            recent: Vec::new(),
        }
    }

    /// Returns what is known from the configuration.
    pub fn profile(&self) -> Profile {
        self.profile
    }

    /// Returns whether the measured speeds of the servers differ so much that costs in tokens mislead.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    fn slot(&mut self, id: &Name) -> Slot {
        if let Some(&slot) = self.index.get(id) {
            return slot;
        }
        self.last_start += 1;
        let state = State {
            id: id.clone(),
            hash: balance::hash(&[id]),
            start: self.last_start,
            speed: Speed::default(),
            factor: Cell::new(None),
            prefilling: 0,
            prefill_since: Instant::ZERO,
            link_free_at: Instant::ZERO,
            load: None,
        };
        let slot = if let Some(slot) = self.free.pop() {
            self.states[slot as usize] = state;
            slot
        } else {
            self.states.push(state);
            (self.states.len() - 1) as Slot
        };
        self.index.insert(id.clone(), slot);
        slot
    }

    /// Returns the slots of candidates. Those of the last decision are tried first, since a comparison of ids
    /// takes a fraction of a lookup.
    fn slots(&mut self, candidates: &[Candidate<'_>]) -> Vec<Slot> {
        let mut next = 0;
        let mut slots = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let id = &candidate.server.entry.id;
            let mut tried = self.recent.iter().skip(next).take(NEXT_SLOTS);
            let found = tried.position(|&slot| self.states[slot as usize].id == *id);
            let slot = match found {
                Some(skipped) => {
                    next += skipped + 1;
                    self.recent[next - 1]
                }
                None => self.slot(id),
            };
            slots.push(slot);
        }
        self.recent.clone_from(&slots);
        slots
    }

    /// Removes a server that has left or restarted.
    pub fn forget(&mut self, id: &str) {
        if let Some(slot) = self.index.remove(id) {
            self.memory.forget(slot);
            self.states[slot as usize].id = "".into();
            self.free.push(slot);
        }
    }

    /// Returns the candidate with the smallest expected cost.
    ///
    /// `hosts` is the number of hosts that send to these servers without a dispatcher. If there are others,
    /// which see the same costs at the same time, only few candidates by hash are compared. `is_source`
    /// states whether parts may be fetched from a server.
    pub fn choose(
        &mut self,
        now: Instant,
        prompt: &[Segment],
        hosts: usize,
        candidates: &[Candidate<'_>],
        is_source: &dyn Fn(&Name) -> bool,
    ) -> Option<Choice> {
        let slots = self.slots(candidates);
        let keys: Vec<Key> = prompt.iter().map(cache::key).collect();
        let mut counts = std::mem::take(&mut self.counts);
        self.memory
            .count_held(&keys, &mut counts, self.states.len());
        let lengths = lengths(prompt);
        let source = self.source(now, &keys, &counts, is_source);
        let queue_weight = self.queue_weight(now, candidates.len(), hosts);
        let home = home_part(&lengths).and_then(|index| keys.get(index));
        let tie = home.copied().unwrap_or_default();
        let request = Prompt {
            lengths: &lengths,
            queue_weight,
            hosts: hosts.max(1) as f64,
            hold_ms: self.hold_ms.value(DEFAULT_HOLD_MS),
            decode_ms: self.decode_ms.value(0.0),
            source,
        };
        let scored = candidates.iter().zip(&slots).enumerate();
        let scored = scored.map(|(index, (candidate, &slot))| {
            let count = counts[slot as usize];
            Scored {
                index,
                slot,
                count,
                order: mix(self.states[slot as usize].hash ^ tie),
                is_preferred: candidate.is_local && !candidate.is_backed_off,
            }
        });
        let cost = |it: &Scored| {
            let estimate = self.estimate(now, &request, &candidates[it.index], it.slot, it.count);
            // Whole milliseconds, so that servers that differ by less are told apart by the hash.
            (estimate.total_ms().round() as u64, it.order, it.index)
        };
        let best = if hosts > 1 {
            let min_tokens = lengths.last().copied().unwrap_or_default() / 2;
            let is_holder = |count: u16| lengths[usize::from(count)] > min_tokens;
            let compared = compared(scored.collect(), is_holder);
            compared.iter().min_by_key(|it| cost(it)).copied()
        } else {
            scored.min_by_key(cost)
        };
        let choice = best.map(|best| {
            let candidate = &candidates[best.index];
            let estimate = self.estimate(now, &request, candidate, best.slot, best.count);
            let source = request.source.filter(|_| estimate.fetch_ms > 0.0);
            Choice {
                index: best.index,
                source: source.map(|(slot, _)| self.states[slot as usize].id.clone()),
                estimate,
            }
        });
        self.counts = counts;
        choice
    }

    /// Returns the server that holds most of a prompt, and the number of parts.
    fn source(
        &self,
        now: Instant,
        keys: &[Key],
        counts: &[u16],
        is_source: &dyn Fn(&Name) -> bool,
    ) -> Option<(Slot, u16)> {
        let most = counts.iter().copied().max()?;
        (1..=most).rev().find_map(|count| {
            let key = *keys.get(usize::from(count) - 1)?;
            let holders = self.memory.holders(key).iter().copied();
            let mut usable = holders.filter(|&slot| {
                counts[slot as usize] == count
                    && self.memory.is_ready(now, slot, key)
                    && is_source(&self.states[slot as usize].id)
            });
            usable.next().map(|slot| (slot, count))
        })
    }

    /// Returns the weight with which the prefill of a request counts for later requests.
    fn queue_weight(&self, now: Instant, servers: usize, hosts: usize) -> f64 {
        let faded = self.faded_work_ms(now) * hosts.max(1) as f64;
        let utilisation = (faded / UTILISATION_MS / servers.max(1) as f64).min(0.99);
        (utilisation / (1.0 - utilisation)).min(MAX_QUEUE_WEIGHT)
    }

    fn faded_work_ms(&self, now: Instant) -> f64 {
        let age_ms = now.since_ms(self.work_at) as f64;
        self.work_ms * (-age_ms / UTILISATION_MS).exp()
    }

    fn estimate(
        &self,
        now: Instant,
        prompt: &Prompt<'_>,
        candidate: &Candidate<'_>,
        slot: Slot,
        count: u16,
    ) -> Estimate {
        let state = &self.states[slot as usize];
        let factor = state.factor(now, self.median);
        let token_ms = self.line.token_ms * factor;
        let all = prompt.lengths.last().copied().unwrap_or_default();
        let cached = prompt.lengths[usize::from(count)];
        // The last token is computed in any case, for the first event.
        let mut missing = (all - cached).max(1);
        let mut fetch_ms = 0.0;
        if let Some((source, source_count)) = prompt.source
            && source != slot
            && source_count > count
        {
            let tokens = prompt.lengths[usize::from(source_count)] - cached;
            let link_ms = self.states[source as usize]
                .link_free_at
                .max(state.link_free_at)
                .since_ms(now);
            let ms = link_ms as f64 + tokens as f64 * self.profile.fetch_token_ms;
            if tokens >= MIN_FETCH_TOKENS && ms * FETCH_PRICE < tokens as f64 * token_ms {
                fetch_ms = ms;
                missing = missing.saturating_sub(tokens).max(1);
            }
        }
        let own_running = f64::from(candidate.running) * prompt.hosts;
        let stated = state
            .load
            .filter(|(at, _)| now.since_ms(*at) < MAX_LOAD_AGE_MS);
        let stated = stated.map_or(0, |(_, load)| load.running.saturating_add(load.waiting));
        let running = own_running.max(f64::from(stated));
        let ahead = self.ahead(now, candidate, state, token_ms) * prompt.hosts;
        let queue_ms = ahead * token_ms;
        let prefill_ms = self.line.base_ms * factor + missing as f64 * token_ms;
        let beside_ms = (queue_ms + prefill_ms) * running * BESIDE_RATIO;
        let work_ms = missing as f64 * token_ms;
        let others_ms = work_ms * (running * EVENT_DELAY_WEIGHT + prompt.queue_weight);
        let slots = f64::from(self.profile.slots.max(1));
        let slot_ms = (running - slots + 1.0).max(0.0) * prompt.hold_ms * factor / slots;
        let used = self.memory.running(slot) as f64 * prompt.hosts;
        let lacking = (used + all as f64 - self.profile.memory_tokens as f64).max(0.0);
        let memory_ms = prompt.hold_ms * factor * lacking / (used + 1.0);
        let decode_ms = prompt.decode_ms * factor * DECODE_WEIGHT;
        let first_ms = queue_ms + prefill_ms + fetch_ms + beside_ms + slot_ms + memory_ms;
        let closeness = (first_ms / (self.profile.objective_ms.max(1) as f64)).min(1.0);
        let uncertainty_ms = state.speed.spread() * (queue_ms + prefill_ms) * closeness;
        let region_ms = if candidate.is_local {
            0.0
        } else {
            REGION_ROUND_TRIP_MS + REGION_PRICE_MS
        };
        let warms_up = now < candidate.server.cold_until;
        let or_zero = |ms: f64, applies: bool| if applies { ms as f32 } else { 0.0 };
        Estimate {
            queue_ms: queue_ms as f32,
            prefill_ms: prefill_ms as f32,
            fetch_ms: fetch_ms as f32,
            beside_ms: beside_ms as f32,
            others_ms: others_ms as f32,
            slot_ms: slot_ms as f32,
            memory_ms: memory_ms as f32,
            region_ms: region_ms as f32,
            warm_up_ms: or_zero(WARM_UP_MS, warms_up),
            failure_ms: or_zero(FAILURE_MS, candidate.is_backed_off),
            uncertainty_ms: uncertainty_ms as f32,
            decode_ms: decode_ms as f32,
            cached: cached as u32,
            missing: missing as u32,
            ahead: ahead as u32,
            factor: factor as f32,
            samples: state.speed.samples,
            speed_age_ms: state.speed.age_ms(now).unwrap_or(0) as u32,
        }
    }

    /// Returns the tokens that a server still has to prefill for earlier requests of this host. A prefill
    /// that takes longer than expected isn't counted as done before its first event came.
    fn ahead(&self, now: Instant, candidate: &Candidate<'_>, state: &State, token_ms: f64) -> f64 {
        if candidate.prefill_tokens == 0 {
            return 0.0;
        }
        let pending = candidate.prefill_tokens as f64;
        let oldest = pending / f64::from(state.prefilling.max(1));
        let done = now.since_ms(state.prefill_since) as f64 / token_ms;
        pending - done.min(oldest)
    }

    /// Adds a request to what is known of its server.
    pub fn add(
        &mut self,
        now: Instant,
        service: &str,
        server: &Name,
        prompt: &[Segment],
        choice: &Choice,
    ) -> Placed {
        let slot = self.slot(server);
        let estimate = choice.estimate;
        let work_ms = f64::from(estimate.missing) * self.line.token_ms * f64::from(estimate.factor);
        self.work_ms = self.faded_work_ms(now) + work_ms;
        self.work_at = now;
        let ready_at = now.after_ms(estimate.first_ms() as u64);
        for segment in balance::shared_segments(prompt) {
            let key = cache::key(segment);
            self.record_size(key, segment.tokens);
            self.memory.touch(slot, key, segment.tokens, ready_at);
        }
        let own = prompt.last().map(|it| (cache::key(it), it.tokens));
        self.memory.start(slot, own.map_or(0, |(_, tokens)| tokens));
        if estimate.fetch_ms > 0.0 {
            let source = choice.source.as_ref().map(|source| self.slot(source));
            let free_at = now.after_ms(estimate.fetch_ms as u64);
            for slot in source.into_iter().chain([slot]) {
                self.states[slot as usize].link_free_at = free_at;
            }
        }
        let state = &mut self.states[slot as usize];
        if state.prefilling == 0 {
            state.prefill_since = now;
        }
        state.prefilling += 1;
        Placed {
            service: service.into(),
            estimate,
            own,
            at: now,
            first_event_at: None,
            start: state.start,
        }
    }

    fn record_size(&mut self, key: Key, tokens: u64) {
        if self.sizes.len() >= MAX_SIZES {
            self.sizes.clear();
        }
        if self.sizes.insert(key, tokens).is_none() {
            self.mean_size.observe(tokens as f64);
        }
    }

    /// Records that another host sent parts to a server.
    pub fn record_remote(&mut self, now: Instant, server: &Name, parts: &[Key]) {
        let slot = self.slot(server);
        for &key in parts {
            let mean = self.mean_size.value(DEFAULT_PART_TOKENS) as u64;
            let tokens = self.sizes.get(&key).copied().unwrap_or(mean);
            let work_ms = tokens as f64 * self.line.token_ms;
            let ready_at = now.after_ms(work_ms as u64);
            self.memory.touch(slot, key, tokens, ready_at);
        }
    }

    /// Returns the state of the server of a request, unless the server has restarted since.
    fn state(&mut self, server: &Name, placed: &Placed) -> Option<(Slot, &mut State)> {
        let slot = *self.index.get(server)?;
        let state = &mut self.states[slot as usize];
        (state.start == placed.start).then_some((slot, state))
    }

    fn end_prefill(&mut self, now: Instant, server: &Name, placed: &mut Placed) -> bool {
        if placed.first_event_at.is_some() {
            return false;
        }
        placed.first_event_at = Some(now);
        let Some((_, state)) = self.state(server, placed) else {
            return false;
        };
        state.prefilling = state.prefilling.saturating_sub(1);
        state.prefill_since = now;
        true
    }

    /// Records the first event of a request. Returns whether it fits what was believed of the server's
    /// memory, where it tells.
    pub fn observe(
        &mut self,
        now: Instant,
        server: &Name,
        placed: &mut Placed,
        sample: Sample,
    ) -> Option<Belief> {
        if !self.end_prefill(now, server, placed) {
            return None;
        }
        let estimate = placed.estimate;
        let (line, median) = (self.line, self.median);
        let is_known = self.samples >= MEDIAN_SAMPLES;
        let (_, state) = self.state(server, placed)?;
        if let Some([running, waiting, slots]) = sample.load {
            let load = Load {
                running,
                waiting,
                slots,
                pace_percent: sample.pace_percent,
            };
            state.load = Some((now, load));
        }
        let round_trip_ms = if estimate.region_ms > 0.0 {
            REGION_ROUND_TRIP_MS
        } else {
            0.0
        };
        let ms = f64::from(sample.first_ms) - round_trip_ms - f64::from(estimate.fetch_ms);
        let ms = ms.max(1.0);
        let tokens = f64::from(estimate.ahead) + f64::from(estimate.missing);
        let expected_ms = line.expected_ms(tokens).max(1.0);
        let factor = state.speed.factor(now, median);
        let belief = belief(&estimate, ms, expected_ms * factor, line.token_ms * factor);
        let belief = belief.filter(|_| is_known);
        // The wait for a slot or for memory says nothing about the speed.
        if estimate.slot_ms == 0.0 && estimate.memory_ms == 0.0 {
            state.speed.observe(now, ms / expected_ms);
            state.factor.set(None);
            self.line.observe(tokens, ms);
            self.samples += 1;
            if self.samples.is_multiple_of(MEDIAN_SAMPLES) {
                let speeds = || self.states.iter().map(|state| &state.speed);
                self.median = speed::median(speeds());
                let limit = if self.is_uneven { EVEN } else { UNEVEN };
                self.is_uneven = speed::unevenness(speeds()) >= limit;
            }
        }
        if let Some(percent) = sample.pace_percent {
            let (_, state) = self.state(server, placed)?;
            state.speed.observe_pace(now, f64::from(percent) / 100.0);
            state.factor.set(None);
        }
        belief
    }

    /// Records the end of a request.
    pub fn complete(&mut self, now: Instant, server: &Name, mut placed: Placed, failed: bool) {
        let begun_at = placed.first_event_at;
        self.end_prefill(now, server, &mut placed);
        if !failed && let Some(begun_at) = begun_at {
            self.hold_ms.observe(now.since_ms(placed.at) as f64);
            self.decode_ms.observe(now.since_ms(begun_at) as f64);
        }
        let Some((slot, _)) = self.state(server, &placed) else {
            return;
        };
        if let Some((key, tokens)) = placed.own {
            self.memory.end(slot, tokens);
            // It stays in the server's memory like shared parts until it is evicted.
            if begun_at.is_some() {
                self.memory.touch(slot, key, tokens, now);
            }
        }
    }
}

/// What the costs of a request at all servers have in common.
struct Prompt<'a> {
    // Tokens of the first parts, by their number.
    lengths: &'a [u64],
    queue_weight: f64,
    hosts: f64,
    hold_ms: f64,
    decode_ms: f64,
    source: Option<(Slot, u16)>,
}

#[derive(Clone, Copy)]
struct Scored {
    index: usize,
    slot: Slot,
    // Leading parts of the prompt that it holds.
    count: u16,
    order: u64,
    is_preferred: bool,
}

/// Returns the index of the part whose hash decides between servers that are alike: the last shared one, if
/// shared parts are more than half of the prompt. Requests that share less would save little at a common
/// server, and all of a kind would crowd there, so their own part decides.
fn home_part(lengths: &[u64]) -> Option<usize> {
    let parts = lengths.len().checked_sub(2)?;
    let all = lengths[parts + 1];
    let shared = lengths[parts];
    Some(if shared > all / 2 { parts - 1 } else { parts })
}

/// Returns the servers that a host compares which decides alone: two by hash, and two by hash of those that
/// hold most parts of the prompt, if that is enough by `is_holder`.
fn compared(mut all: Vec<Scored>, is_holder: impl Fn(u16) -> bool) -> Vec<Scored> {
    if all.iter().any(|it| it.is_preferred) {
        all.retain(|it| it.is_preferred);
    }
    all.sort_unstable_by_key(|it| it.order);
    let most = all.iter().map(|it| it.count).max().unwrap_or(0);
    let holders = all.iter().filter(|it| it.count == most && is_holder(most));
    let mut compared: Vec<Scored> = holders.take(2).copied().collect();
    compared.extend(all.iter().take(2));
    compared
}

fn lengths(prompt: &[Segment]) -> Vec<u64> {
    let mut sum = 0_u64;
    let sums = prompt.iter().map(|segment| {
        sum = sum.saturating_add(segment.tokens);
        sum
    });
    [0].into_iter().chain(sums).collect()
}

/// Returns whether the time to the first event fits what was believed of the server's memory.
fn belief(estimate: &Estimate, ms: f64, expected_ms: f64, token_ms: f64) -> Option<Belief> {
    let cached_ms = f64::from(estimate.cached) * token_ms;
    if cached_ms >= MIN_BELIEF_MS {
        let is_right = ms < expected_ms + cached_ms / 2.0;
        return Some(Belief {
            is_cached: true,
            is_right,
        });
    }
    let missing_ms = f64::from(estimate.missing) * token_ms;
    (missing_ms >= MIN_BELIEF_MS).then_some(Belief {
        is_cached: false,
        is_right: ms > expected_ms - missing_ms / 2.0,
    })
}

/// Mixes the bits of a number, as the finalizer of SplitMix64 does.
fn mix(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
