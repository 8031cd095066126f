//! Orders to model engines, which load and unload models.
//!
//! Claims in the log give each engine one controller at a time, and their offsets fence its orders:
//! see `docs/orders-design.md`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
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
            Kind, //
        },
        host,
        placement::{
            self,
            demand::Demand, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

mod claim;
mod group;
mod issue;
mod order;
mod targets;

use claim::Claimer;
pub use claim::{
    Claim,
    Claims,
    Holder, //
};
use group::{
    Engine,
    Group, //
};
pub use order::{
    Command,
    LoadedModel,
    Order,
    Outcome,
    Report, //
};

/// Time between two checks of claims and engines, in milliseconds.
const TICK_INTERVAL_MS: u64 = 500;

/// Staleness of the agreed state up to which a host claims, in milliseconds.
const MAX_CLAIM_STALENESS_MS: u64 = 4_500;

/// Time between two checks above which this host was paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 5_000;

/// Input of a controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed, or the view changed.
    Tick,
    /// An engine was read, or the read failed.
    Report {
        /// Pool of the engine.
        pool: Name,
        /// The engine.
        server: Name,
        /// Its report, `None` if it did not answer.
        report: Option<Report>,
    },
    /// An order was answered.
    Answer {
        /// Id of the order.
        id: u64,
        /// Outcome of the order.
        outcome: Outcome,
    },
    /// Demand for a model on this host since the last such event.
    Demand {
        /// The model.
        model: Name,
        /// Number of calls that ended.
        calls: u64,
        /// Time that calls ran, in milliseconds.
        busy_ms: u64,
    },
}

/// Output of a controller, for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an order to an engine.
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

/// How cautiously a controller claims and orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Waits for the timeout of the previous holder, and confirms its claim before it issues a
    /// destructive order.
    #[default]
    Conservative,
    /// Claims without that timeout, and issues any order while it believes that it holds the claim,
    /// as a baseline.
    Eager,
}

/// The controller of engines on one host.
///
/// It issues orders only to groups whose claim it holds. If an engine does not check fencing
/// numbers, a destructive order also requires that the agreed state is recent.
pub struct Controller {
    own: host::Id,
    policy: Policy,
    rng: Pcg64Mcg,
    next_id: u64,
    next_tick: Instant,
    last_tick: Option<Instant>,
    /// When the host last resumed from a pause.
    resumed_at: Instant,
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
            resumed_at: Instant::ZERO,
            document: None,
            groups: BTreeMap::new(),
            claimers: BTreeMap::new(),
            demand: Demand::default(),
        }
    }

    /// Sets another policy, as a baseline.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Takes one event and returns what follows from it.
    pub fn step(
        &mut self,
        now: Instant,
        view: &View,
        claims: &Claims,
        event: Event,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick if now >= self.next_tick => {
                self.next_tick = now.after_ms(TICK_INTERVAL_MS);
                self.tick(now, view, claims, &mut out);
            }
            Event::Tick => {}
            Event::Report {
                pool,
                server,
                report,
            } => {
                if let Some(engine) = self.engine(&pool, &server) {
                    engine.record_report(now, report);
                }
            }
            Event::Answer { id, outcome } => self.handle_answer(now, id, &outcome, &mut out),
            Event::Demand { model, busy_ms, .. } => self.demand.record(now, &model, busy_ms),
        }
        out
    }

    /// Returns the names of the groups whose claims this host holds.
    pub fn held_groups(&self) -> Vec<&Name> {
        let held = self
            .groups
            .iter()
            .filter(|(_, group)| group.claim.is_some());
        held.map(|(name, _)| name).collect()
    }

    /// Returns the last report of an engine, `None` since its last order.
    pub fn report(&self, pool: &Name, server: &Name) -> Option<&Report> {
        let mut groups = self.groups.values().filter(|group| group.pool == *pool);
        let engine = groups.find_map(|group| group.engines.get(server))?;
        engine.report.as_ref()
    }

    fn engine(&mut self, pool: &Name, server: &Name) -> Option<&mut Engine> {
        let mut groups = self.groups.values_mut().filter(|group| group.pool == *pool);
        groups.find_map(|group| group.engines.get_mut(server))
    }

    fn tick(&mut self, now: Instant, view: &View, claims: &Claims, out: &mut Vec<Action>) {
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
                group.set_claim(now, None, 0);
            }
            return;
        }
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last| now.since_ms(last) > PAUSE_THRESHOLD_MS) {
            self.resumed_at = now;
        }
        // Another host may have claimed during the pause, so a newer state is needed first.
        if self.policy == Policy::Conservative && view.fresh_at < self.resumed_at {
            return;
        }
        self.claim(now, view, claims, out);
        let group_count = self.groups.len() as u64;
        for name in self.groups.keys().cloned().collect::<Vec<_>>() {
            let holder = claims.holders.get(&name);
            let fence = holder.filter(|holder| holder.controller == self.own);
            let fence = fence.map(|holder| holder.fence);
            let Some(group) = self.groups.get_mut(&name) else {
                continue;
            };
            let settle_ms =
                issue::SETTLE_MS + issue::longest_load_ms(&view.document, &group.pool, group_count);
            group.set_claim(now, fence, settle_ms);
            if group.claim.is_some() {
                self.control_group(now, view, &name, group_count, out);
            }
        }
    }

    /// Groups the engines of all pools that have models.
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

    /// Claims groups that need a holder, unless the agreed state is too stale.
    fn claim(&mut self, now: Instant, view: &View, claims: &Claims, out: &mut Vec<Action>) {
        let staleness_ms = now.since_ms(view.fresh_at);
        if staleness_ms > MAX_CLAIM_STALENESS_MS {
            return;
        }
        for (name, group) in &self.groups {
            let holder = claims.holders.get(name);
            let jitter_ms = self.rng.random_range(0..claim::JITTER_MS);
            let claimer = self.claimers.entry(name.clone()).or_default();
            let is_eager = self.policy == Policy::Eager;
            let place = (name, &group.data_centre);
            let due = claimer.due(now, view, place, holder, jitter_ms, is_eager);
            let Some((claim, reason)) = due else {
                continue;
            };
            let values = vec![
                value("news_ms", staleness_ms),
                value("replaces", claim.replaces.unwrap_or(0)),
            ];
            let decision = decision(now, name, reason.rule(), &self.own.name, values);
            out.push(Action::Decide(decision));
            out.push(Action::Claim(claim));
        }
    }

    /// Reads the engines of a group whose claim this host holds, and issues the next orders.
    fn control_group(
        &mut self,
        now: Instant,
        view: &View,
        name: &Name,
        group_count: u64,
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
            engine.expire_requests(now);
            if engine.start_read(now) {
                out.push(Action::Read {
                    pool: group.pool.clone(),
                    server: server.clone(),
                });
            }
        }
        let targets = targets::targets(&mut self.demand, now, view, name, group);
        let Some(engines) = targets::placeable_engines(now, view, group, pool) else {
            return;
        };
        for step in placement::plan(&engines, &targets) {
            self.issue(now, view, name, group_count, step, out);
        }
    }
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
