//! A fake backend server: a capacity that warms up, a service time, models, an order or two.

use std::collections::BTreeMap;

use teaselchute::{
    core::{
        call,
        log::Offset,
        orders::{
            Command,
            LoadedModel,
            Order,
            Outcome,
            Report, //
        },
    },
    names::Name,
    time::Instant, //
};

use super::Process;

/// A call that runs on the server.
#[derive(Clone, Debug)]
pub struct Running {
    /// The host that sent it.
    pub host: Process,
    /// The call.
    pub call: call::Call,
    /// Life of the server when the call was sent.
    pub sent_to: call::Incarnation,
    /// Whether the sender had evidence of that life then.
    pub knew: bool,
    /// When the last message of the call reaches the host: later ones come later.
    pub last_delivery: Instant,
    /// Whether a part of the answer was lost in a cut: nothing comes through any more, as on a
    /// connection that lost a segment for good.
    pub silent: bool,
}

/// What the server can do, unchanged over its lives.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its pool.
    pub pool: Name,
    /// Its name.
    pub name: Name,
    /// Calls that it carries right after a cold start.
    pub cold_limit: u32,
    /// Calls that it carries when warm.
    pub full_limit: u32,
    /// Time from cold to warm, in milliseconds.
    pub warm_up_ms: u64,
    /// Time of one call, in milliseconds.
    pub service_ms: u64,
    /// Pieces in which it streams its answer, 0 for whole answers.
    pub pieces: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A fake backend server.
pub struct Server {
    /// What it can do.
    pub shape: Shape,
    /// Its life.
    pub incarnation: call::Incarnation,
    /// When it turned cold, or nothing where it is warm since long.
    pub cold_since: Option<Instant>,
    /// Calls that run, by host and number.
    pub running: BTreeMap<(Process, call::Id), Running>,
    /// Chance in a thousand that a call fails.
    pub fail_permille: u64,
    /// Factor on the service time, in parts of a hundred.
    pub slow_percent: u64,
    /// Number of its last load report.
    pub reports: u64,
    models: BTreeMap<Name, LoadedModel>,
    fence: Option<Offset>,
    /// Orders that it obeyed although a newer fencing number had been obeyed before.
    pub stale_orders_obeyed: u64,
}

impl Server {
    /// Makes a warm server.
    pub fn new(shape: Shape, incarnation: call::Incarnation) -> Self {
        Self {
            shape,
            incarnation,
            cold_since: None,
            running: BTreeMap::new(),
            fail_permille: 0,
            slow_percent: 100,
            reports: 0,
            models: BTreeMap::new(),
            fence: None,
            stale_orders_obeyed: 0,
        }
    }

    /// Returns how many calls it carries now.
    pub fn capacity(&self, now: Instant) -> u32 {
        let Some(since) = self.cold_since else {
            return self.shape.full_limit;
        };
        let (cold, full) = (self.shape.cold_limit, self.shape.full_limit);
        let warm_ms = now.since_ms(since).min(self.shape.warm_up_ms);
        let gained = u64::from(full - cold) * warm_ms / self.shape.warm_up_ms.max(1);
        cold + gained as u32
    }

    /// Returns the time of one call now: a server with more calls than it carries is slower.
    pub fn service_ms(&self, now: Instant) -> u64 {
        let running = self.running.len() as u64;
        let capacity = u64::from(self.capacity(now)).max(1);
        let crowded_percent = (100 * running / capacity).max(100);
        self.shape.service_ms * self.slow_percent / 100 * crowded_percent / 100
    }

    /// Turns cold, as a restarted process does, and returns the calls that it drops.
    pub fn restart(&mut self, now: Instant) -> Vec<Running> {
        self.incarnation += 1;
        self.cold_since = Some(now);
        self.models.clear();
        self.fence = None;
        std::mem::take(&mut self.running).into_values().collect()
    }

    /// Holds a model from the start, as an engine does that served before the run.
    pub fn hold(&mut self, model: Name, version: Name) {
        let loaded = LoadedModel {
            model: model.clone(),
            version,
            adapters: Vec::new(),
            ready: true,
        };
        self.models.insert(model, loaded);
    }

    /// Returns whether it can serve a model.
    pub fn holds(&self, model: &str) -> bool {
        self.models.get(model).is_some_and(|loaded| loaded.ready)
    }

    /// Returns what it says of its models.
    pub fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            models: self.models.values().cloned().collect(),
            fence: self.fence.filter(|_| self.shape.checks_fencing),
        }
    }

    /// Obeys an order or refuses it.
    pub fn order(&mut self, order: &Order) -> Outcome {
        let newest = self.fence.unwrap_or(0).max(order.fence);
        if order.fence < newest {
            if self.shape.checks_fencing {
                return Outcome::Fenced { newer: newest };
            }
            self.stale_orders_obeyed += 1;
        }
        self.fence = Some(newest);
        match &order.command {
            Command::Load {
                model,
                version,
                adapters,
            } => {
                let loaded = LoadedModel {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: adapters.clone(),
                    ready: true,
                };
                self.models.insert(model.clone(), loaded);
            }
            Command::Unload { model, version } => {
                if self
                    .models
                    .get(model)
                    .is_some_and(|it| it.version == *version)
                {
                    self.models.remove(model);
                }
            }
        }
        Outcome::Obeyed
    }
}
