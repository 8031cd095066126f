//! Orders to model engines: one controller for each engine at a time, by claims in the log.
//!
//! How orders are fenced: see `docs/orders-design.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    core::{
        decision::{
            self,
            Decision,
            Value,
            value, //
        },
        document::{
            BackendServer,
            Document,
            Kind,
            Pool, //
        },
        host,
        log::Offset,
        placement::{
            self, Step, Want,
            demand::{
                self,
                Demand, //
            },
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

mod claim;
mod group;

use claim::Claimer;
use group::{
    Engine,
    Group, //
};

/// Time between two looks at claims and engines, in milliseconds.
const TICK_MS: u64 = 500;

/// Oldest news of the log with which a host claims, in milliseconds.
const CLAIM_NEWS_MS: u64 = 4_500;

/// Oldest news with which a destructive order goes to an engine that ignores fencing numbers, in
/// milliseconds.
const CONFIRM_NEWS_MS: u64 = 1_500;

/// Oldest news with which a holder orders anything, in milliseconds.
const HOLD_NEWS_MS: u64 = 600_000;

/// Time without a look after which the host knows that it was paused, in milliseconds.
const ASLEEP_MS: u64 = 5_000;

/// Time after a claim in which orders of the holder before may still arrive, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// A claim of a controller on a group of engines. Its offset in the log is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The group of engines, such as all of one pool in one data centre.
    pub group: Name,
    /// Who claims.
    pub controller: host::Id,
    /// Fencing number of the claim that it replaces, `None` for the first.
    pub replaces: Option<Offset>,
}

/// The holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Who holds it.
    pub controller: host::Id,
    /// Fencing number.
    pub fence: Offset,
}

/// Claims in force, by group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Holders by group.
    pub holders: BTreeMap<Name, Holder>,
}

/// What an engine is told to do. Orders are idempotent: they name the wanted state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wish {
    /// Load a model with version and adapters.
    Load {
        /// The model.
        model: Name,
        /// Its version.
        version: Name,
        /// Its adapters.
        adapters: Vec<Name>,
    },
    /// Unload a model's version.
    Unload {
        /// The model.
        model: Name,
        /// Its version.
        version: Name,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's own id, unique within one life of a host.
    pub id: u64,
    /// Pool of the engine.
    pub pool: Name,
    /// The engine.
    pub server: Name,
    /// Fencing number.
    pub fence: Offset,
    /// What is wanted.
    pub wish: Wish,
}

/// A model as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: Name,
    /// Its version.
    pub version: Name,
    /// Its adapters.
    pub adapters: Vec<Name>,
    /// Whether it can serve; otherwise it is being loaded.
    pub ready: bool,
}

/// What an engine reports of itself when it is read back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which life of the engine this is.
    pub start: u64,
    /// Models that it has.
    pub models: Vec<Loaded>,
    /// Highest fencing number that it has obeyed, where it keeps one.
    pub fence: Option<Offset>,
}

/// How an order was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The engine obeyed.
    Obeyed,
    /// The engine refused because the fencing number is old.
    Fenced {
        /// The number that it has obeyed.
        newer: Offset,
    },
    /// The engine refused for another reason.
    Refused(Name),
    /// The answer was lost: the order may have taken effect.
    Unknown,
}

/// What a controller is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed, or the view changed.
    Tick,
    /// An engine was read back, or the reading failed.
    Report {
        /// Pool of the engine.
        pool: Name,
        /// The engine.
        server: Name,
        /// What it reports, `None` where it did not answer.
        report: Option<Report>,
    },
    /// An order was answered.
    Ordered {
        /// The order's id.
        id: u64,
        /// How.
        outcome: Outcome,
    },
    /// Demand for a model that this host saw since the last time, in calls.
    Demand {
        /// The model.
        model: Name,
        /// Count of calls.
        calls: u64,
        /// Time that they ran, in milliseconds.
        busy_ms: u64,
    },
}

/// What a controller wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Give an order to an engine.
    Order(Order),
    /// Read an engine's report.
    Read {
        /// Pool of the engine.
        pool: Name,
        /// The engine.
        server: Name,
    },
    /// Append a claim to the log.
    Claim(Claim),
    /// Log a decision.
    Decide(Decision),
}

/// Returns the name of the group of a pool's engines in one data centre.
pub fn group_name(pool: &Name, data_centre: &Name) -> Name {
    Name::from(format!("{pool}/{data_centre}"))
}

/// How careful a controller is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Waits out the holder before, and confirms its claim before it takes something away.
    #[default]
    Teaselchute,
    /// Claims after a short silence, and orders whatever it wants as long as it takes itself for
    /// the holder.
    Hasty,
}

/// The controller of engines on one host.
///
/// It orders only on groups whose claim it holds. Which orders it then gives without a fresh look
/// at the log depends on whether the engine checks fencing numbers.
pub struct Controller {
    own: host::Id,
    policy: Policy,
    rng: Pcg64Mcg,
    next_id: u64,
    next_tick: Instant,
    last_tick: Option<Instant>,
    /// When the host last woke from a pause.
    woke_at: Instant,
    document: Option<Arc<Document>>,
    groups: BTreeMap<Name, Group>,
    claimers: BTreeMap<Name, Claimer>,
    demand: Demand,
}

impl Controller {
    /// Makes a controller that holds no claim.
    pub fn new(own: host::Id, seed: u64) -> Self {
        let hash = xxh3_64(own.name.as_bytes());
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ hash ^ own.incarnation),
            own,
            policy: Policy::default(),
            next_id: 0,
            next_tick: Instant::ZERO,
            last_tick: None,
            woke_at: Instant::ZERO,
            document: None,
            groups: BTreeMap::new(),
            claimers: BTreeMap::new(),
            demand: Demand::default(),
        }
    }

    /// Makes the controller follow another policy, as a baseline.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, view: &View, claims: &Table, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick if now >= self.next_tick => {
                self.next_tick = now.after_ms(TICK_MS);
                self.tick(now, view, claims, &mut out);
            }
            Event::Tick => {}
            Event::Report {
                pool,
                server,
                report,
            } => {
                if let Some(engine) = self.engine(&pool, &server) {
                    engine.told(now, report);
                }
            }
            Event::Ordered { id, outcome } => self.answered(now, id, &outcome, &mut out),
            Event::Demand { model, busy_ms, .. } => self.demand.take(now, &model, busy_ms),
        }
        out
    }

    /// Returns the names of the groups whose claims this host holds.
    pub fn held(&self) -> Vec<&Name> {
        let held = self.groups.iter().filter(|(_, group)| group.held.is_some());
        held.map(|(name, _)| name).collect()
    }

    /// Returns what an engine last reported to this controller.
    pub fn report(&self, pool: &Name, server: &Name) -> Option<&Report> {
        let mut groups = self.groups.values().filter(|group| group.pool == *pool);
        let engine = groups.find_map(|group| group.engines.get(server))?;
        engine.report.as_ref()
    }

    fn engine(&mut self, pool: &Name, server: &Name) -> Option<&mut Engine> {
        let mut groups = self.groups.values_mut().filter(|group| group.pool == *pool);
        groups.find_map(|group| group.engines.get_mut(server))
    }

    fn tick(&mut self, now: Instant, view: &View, claims: &Table, out: &mut Vec<Action>) {
        let is_known = self
            .document
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &view.document) || **known == *view.document);
        if !is_known {
            self.document = Some(view.document.clone());
            self.regroup(&view.document);
        }
        if !view.serving || view.leaving || view.document.policies.placement_paused {
            for group in self.groups.values_mut() {
                group.hold(now, None, 0);
            }
            return;
        }
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last| now.since_ms(last) > ASLEEP_MS) {
            self.woke_at = now;
        }
        // Others may have claimed while this host slept, which only newer news can tell.
        if self.policy == Policy::Teaselchute && view.fresh_at < self.woke_at {
            return;
        }
        self.claim(now, view, claims, out);
        let share = self.groups.len() as u64;
        for name in self.groups.keys().cloned().collect::<Vec<_>>() {
            let holder = claims.holders.get(&name);
            let fence = holder.filter(|holder| holder.controller == self.own);
            let fence = fence.map(|holder| holder.fence);
            let Some(group) = self.groups.get_mut(&name) else {
                continue;
            };
            let settle_ms = SETTLE_MS + longest_load_ms(&view.document, &group.pool, share);
            group.hold(now, fence, settle_ms);
            if group.held.is_some() {
                self.control(now, view, &name, share, out);
            }
        }
    }

    /// Groups the engines of all pools for which there are models.
    fn regroup(&mut self, document: &Document) {
        let mut names = BTreeMap::new();
        for model in document.models.values() {
            let Some(pool) = document.pools.get(&model.pool) else {
                continue;
            };
            if pool.kind != Kind::Engine {
                continue;
            }
            for server in pool.servers.values() {
                let name = group_name(&model.pool, &server.data_centre);
                names.insert(name, (model.pool.clone(), server.data_centre.clone()));
            }
        }
        self.groups.retain(|name, _| names.contains_key(name));
        self.claimers.retain(|name, _| names.contains_key(name));
        for (name, (pool, data_centre)) in names {
            let make = || Group::new(pool, data_centre);
            self.groups.entry(name).or_insert_with(make);
        }
    }

    /// Claims groups that need a holder. Without fresh news of the log nothing is claimed.
    fn claim(&mut self, now: Instant, view: &View, claims: &Table, out: &mut Vec<Action>) {
        let news_ms = now.since_ms(view.fresh_at);
        if news_ms > CLAIM_NEWS_MS {
            return;
        }
        for (name, group) in &self.groups {
            let holder = claims.holders.get(name);
            let jitter_ms = self.rng.random_range(0..claim::JITTER_MS);
            let claimer = self.claimers.entry(name.clone()).or_default();
            let is_hasty = self.policy == Policy::Hasty;
            let place = (name, &group.data_centre);
            let due = claimer.due(now, view, place, holder, jitter_ms, is_hasty);
            let Some((claim, reason)) = due else {
                continue;
            };
            let values = vec![
                value("news_ms", news_ms),
                value("replaces", claim.replaces.unwrap_or(0)),
            ];
            let decision = decision(now, name, reason.rule(), &self.own.name, values);
            out.push(Action::Decide(decision));
            out.push(Action::Claim(claim));
        }
    }

    /// Reads the engines of a group that this host holds, and gives the next orders.
    fn control(
        &mut self,
        now: Instant,
        view: &View,
        name: &Name,
        share: u64,
        out: &mut Vec<Action>,
    ) {
        let document = view.document.clone();
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some(pool) = document.pools.get(&group.pool) else {
            return;
        };
        let is_member = |server: &BackendServer| server.data_centre == group.data_centre;
        let servers = pool.servers.iter().filter(|(_, server)| is_member(server));
        let names: Vec<Name> = servers.map(|(name, _)| name.clone()).collect();
        group.engines.retain(|server, _| names.contains(server));
        for server in &names {
            let engine = group.engines.entry(server.clone()).or_default();
            engine.give_up(now);
            if engine.wants_read(now) {
                out.push(Action::Read {
                    pool: group.pool.clone(),
                    server: server.clone(),
                });
            }
        }
        let wants = wants(&mut self.demand, now, view, name, group);
        let Some(engines) = usable(now, view, group, pool) else {
            return;
        };
        for step in placement::steps(&engines, &wants) {
            self.give(now, view, name, share, step, out);
        }
    }

    /// Gives one order, where the claim allows it now.
    fn give(
        &mut self,
        now: Instant,
        view: &View,
        name: &Name,
        share: u64,
        step: Step,
        out: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some((fence, since)) = group.held else {
            return;
        };
        let server = view
            .document
            .pools
            .get(&group.pool)
            .and_then(|pool| pool.servers.get(&step.server));
        let checks = server.is_some_and(|server| server.checks_fencing);
        let Some(engine) = group.engines.get_mut(&step.server) else {
            return;
        };
        if !engine.is_free(now) {
            return;
        }
        let news_ms = now.since_ms(view.fresh_at);
        let mut values = step.values.clone();
        values.extend([
            value("fence", fence),
            value("checks_fencing", u64::from(checks)),
            value("destructive", u64::from(step.is_destructive)),
            value("news_ms", news_ms),
        ]);
        let gate = Gate {
            now,
            since,
            read_at: engine.read_at,
            news_ms,
            checks,
            is_destructive: step.is_destructive,
            fenced: engine.fenced_by.is_some_and(|newer| newer > fence),
            is_spaced: step.weights_mb == 0 || now >= group.next_load,
        };
        let withheld = match self.policy {
            Policy::Teaselchute => withheld(&gate),
            Policy::Hasty => None,
        };
        if let Some(rule) = withheld {
            if engine.withheld.replace(rule) != Some(rule) {
                let decision = decision(now, &step.server, rule, "withheld", values);
                out.push(Action::Decide(decision));
            }
            return;
        }
        engine.withheld = None;
        self.next_id += 1;
        let order = Order {
            id: self.next_id,
            pool: group.pool.clone(),
            server: step.server.clone(),
            fence,
            wish: step.wish,
        };
        engine.ordered(now, &order);
        if step.weights_mb > 0 {
            let store = view.document.policies.weight_store_mb_per_second;
            group.next_load = now.after_ms(load_ms(step.weights_mb, store, share));
        }
        let choice = match &order.wish {
            Wish::Load { model, version, .. } => format!("load {model} {version}"),
            Wish::Unload { model, version } => format!("unload {model} {version}"),
        };
        let decision = decision(now, &step.server, step.rule, &choice, values);
        out.push(Action::Decide(decision));
        out.push(Action::Order(order));
    }

    fn answered(&mut self, now: Instant, id: u64, outcome: &Outcome, out: &mut Vec<Action>) {
        for group in self.groups.values_mut() {
            for (server, engine) in &mut group.engines {
                if !engine.answered(now, id, outcome) {
                    continue;
                }
                let (rule, newer) = match outcome {
                    Outcome::Obeyed => return,
                    Outcome::Fenced { newer } => ("order_fenced", *newer),
                    Outcome::Refused(_) => ("order_refused", 0),
                    Outcome::Unknown => ("order_answer_lost", 0),
                };
                let values = vec![value("order", id), value("newer_fence", newer)];
                out.push(Action::Decide(decision(
                    now,
                    server,
                    rule,
                    "read_again",
                    values,
                )));
                return;
            }
        }
    }
}

/// What decides whether an order may be given.
struct Gate {
    now: Instant,
    /// Since when this host knows that it holds the claim.
    since: Instant,
    read_at: Instant,
    news_ms: u64,
    checks: bool,
    is_destructive: bool,
    fenced: bool,
    is_spaced: bool,
}

/// Returns the rule by which an order is withheld, where one does.
fn withheld(gate: &Gate) -> Option<&'static str> {
    if gate.fenced {
        return Some("engine_obeys_a_newer_claim");
    }
    if gate.news_ms > HOLD_NEWS_MS {
        return Some("claim_not_heard_of_for_long");
    }
    if !gate.is_spaced {
        return Some("weight_store_share_in_use");
    }
    if gate.checks {
        return None;
    }
    // Orders of the holder before may still be on their way, so its engines are read after them.
    if gate.read_at < gate.since.after_ms(SETTLE_MS) || gate.now < gate.since.after_ms(SETTLE_MS) {
        return Some("settling_after_claim");
    }
    if gate.is_destructive && gate.news_ms > CONFIRM_NEWS_MS {
        return Some("claim_not_freshly_confirmed");
    }
    None
}

/// Returns the models that are wanted on the engines of a group.
fn wants(demand: &mut Demand, now: Instant, view: &View, name: &Name, group: &Group) -> Vec<Want> {
    let document = &view.document;
    let Some(pool) = document.pools.get(&group.pool) else {
        return Vec::new();
    };
    // Callers spread over the hosts, so that this host's part stands for that of the others.
    let hosts = view.members.len() as u64 + 1;
    let data_centres: BTreeSet<&Name> = pool
        .servers
        .values()
        .map(|server| &server.data_centre)
        .collect();
    let models = document.models.iter();
    models
        .filter(|(_, model)| model.pool == group.pool)
        .map(|(model_name, model)| {
            let running_milli = demand.running_milli(model_name) * hosts;
            let wanted = demand::replicas_for(running_milli, pool.full_limit, data_centres.len());
            let wanted = wanted.max(model.least_replicas);
            Want {
                model: model_name.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
                memory_mb: model.memory_mb,
                weights_mb: model.weights_mb,
                replicas: demand.replicas(now, name, model_name, wanted),
                pinned: model.pinned.clone(),
                forbidden: model.forbidden.clone(),
            }
        })
        .collect()
}

/// Returns the engines on which models may be placed, or nothing while one isn't read yet.
///
/// An engine that leaves is left out, so that its models are placed elsewhere. It keeps what it
/// has.
fn usable(now: Instant, view: &View, group: &Group, pool: &Pool) -> Option<Vec<placement::Engine>> {
    let mut engines = Vec::new();
    for (server, engine) in &group.engines {
        if view.is_drained(&group.pool, server, &group.data_centre) || engine.is_down(now) {
            continue;
        }
        if engine.is_ordered() {
            return None;
        }
        let report = engine.report.as_ref()?;
        engines.push(placement::Engine {
            server: server.clone(),
            memory_mb: pool
                .servers
                .get(server)
                .map_or(0, |server| server.memory_mb),
            loaded: report.models.clone(),
        });
    }
    Some(engines)
}

/// Returns the time that a load may take of the group's share of the weight store, in
/// milliseconds.
fn load_ms(weights_mb: u64, store_mb_per_second: u64, share: u64) -> u64 {
    weights_mb * 1_000 * share.max(1) / store_mb_per_second.max(1)
}

fn longest_load_ms(document: &Document, pool: &Name, share: u64) -> u64 {
    let models = document.models.values().filter(|model| model.pool == *pool);
    let largest_mb = models.map(|model| model.weights_mb).max();
    let store = document.policies.weight_store_mb_per_second;
    load_ms(largest_mb.unwrap_or(0), store, share)
}

fn decision(
    now: Instant,
    subject: &Name,
    rule: &'static str,
    choice: &str,
    values: Vec<Value>,
) -> Decision {
    Decision {
        at: now,
        kind: decision::Kind::Order,
        subject: subject.clone(),
        stage: None,
        rule: Name::from(rule),
        choice: Name::from(choice),
        values,
        candidates: Vec::new(),
    }
}
