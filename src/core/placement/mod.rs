//! Placement of models on engines, from damped demand.
//!
//! See `docs/placement-design.md`.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    core::{
        decision::{
            Value,
            value, //
        },
        orders::{
            Command,
            LoadedModel, //
        },
    },
    names::Name,
};

pub mod demand;

/// An engine that may be used, as it last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The server.
    pub server: Name,
    /// Memory for models, in megabytes.
    pub memory_mb: u64,
    /// What it has loaded or is loading.
    pub loaded: Vec<LoadedModel>,
}

/// A model that is wanted on the engines of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The model.
    pub model: Name,
    /// Version that is wanted.
    pub version: Name,
    /// Adapters that are wanted with it.
    pub adapters: Vec<Name>,
    /// Memory that it takes, in megabytes.
    pub memory_mb: u64,
    /// Size in the weight store, in megabytes.
    pub weights_mb: u64,
    /// Count of engines that should have it.
    pub replicas: u32,
    /// Servers on which it must stay.
    pub pinned: Vec<Name>,
    /// Servers on which it must not be.
    pub forbidden: Vec<Name>,
}

/// The next change on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The engine.
    pub server: Name,
    /// What it should do.
    pub wish: Command,
    /// Megabytes that the weight store has to serve for it.
    pub weights_mb: u64,
    /// Whether it may take something away that serves.
    pub is_destructive: bool,
    /// The rule that asked for it.
    pub rule: &'static str,
    /// The values that decided.
    pub values: Vec<Value>,
}

/// Where one model stands on the engines of the group.
#[derive(Default)]
struct Standing {
    /// Engines that have the wanted version and can serve.
    ready: Vec<usize>,
    /// Engines that load the wanted version.
    loading: Vec<usize>,
    /// Engines that have another version and can serve.
    old: Vec<usize>,
}

/// One round of planning over the engines of one group.
struct Round<'a> {
    engines: &'a [Engine],
    wants: &'a [Target],
    /// Memory that isn't taken, in megabytes.
    free_mb: Vec<u64>,
    /// Engines that have a step in this round already.
    used: BTreeSet<usize>,
    steps: Vec<Step>,
}

/// Returns the next steps towards what is wanted, at most one for each engine.
///
/// The steps depend on what the engines report and on nothing else, so a step that was carried out
/// isn't asked for again, and one that was lost is. Nothing that serves is taken away before
/// enough others serve.
pub fn plan(engines: &[Engine], wants: &[Target]) -> Vec<Step> {
    let memory: BTreeMap<&Name, u64> = wants
        .iter()
        .map(|want| (&want.model, want.memory_mb))
        .collect();
    let free_mb = engines
        .iter()
        .map(|engine| {
            let taken = engine.loaded.iter().map(|loaded| {
                // What nobody wants has an unknown size, so nothing is put beside it.
                memory.get(&loaded.model).copied().unwrap_or(u64::MAX)
            });
            let taken = taken.fold(0, u64::saturating_add);
            engine.memory_mb.saturating_sub(taken)
        })
        .collect();
    let mut round = Round {
        engines,
        wants,
        free_mb,
        used: BTreeSet::new(),
        steps: Vec::new(),
    };
    round.drop_unwanted();
    for want in wants {
        round.place(want);
    }
    round.steps
}

impl Round<'_> {
    /// Unloads what isn't bound any more.
    fn drop_unwanted(&mut self) {
        for (index, engine) in self.engines.iter().enumerate() {
            let is_wanted =
                |loaded: &LoadedModel| self.wants.iter().any(|want| want.model == loaded.model);
            let Some(loaded) = engine.loaded.iter().find(|loaded| !is_wanted(loaded)) else {
                continue;
            };
            let (model, version) = (loaded.model.clone(), loaded.version.clone());
            self.unload(index, model, version, "not_bound", Vec::new());
        }
    }

    fn place(&mut self, want: &Target) {
        let standing = self.standing(want);
        let need = self.need(want);
        let values = vec![
            value("replicas", need as u64),
            value("ready", standing.ready.len() as u64),
            value("loading", standing.loading.len() as u64),
            value("old", standing.old.len() as u64),
        ];
        self.load_missing(want, &standing, need, &values);
        self.drop_old(want, &standing, need, &values);
        self.drop_surplus(want, &standing, need, &values);
    }

    fn standing(&self, want: &Target) -> Standing {
        let mut standing = Standing::default();
        for (index, engine) in self.engines.iter().enumerate() {
            let of_model = |loaded: &&LoadedModel| loaded.model == want.model;
            for loaded in engine.loaded.iter().filter(of_model) {
                let is_wanted = loaded.version == want.version && loaded.adapters == want.adapters;
                match (is_wanted, loaded.ready) {
                    (true, true) => standing.ready.push(index),
                    (true, false) => standing.loading.push(index),
                    (false, true) => standing.old.push(index),
                    (false, false) => {}
                }
            }
        }
        standing
    }

    fn need(&self, want: &Target) -> usize {
        let pinned = self
            .engines
            .iter()
            .filter(|engine| want.pinned.contains(&engine.server));
        let allowed = self
            .engines
            .iter()
            .filter(|engine| !want.forbidden.contains(&engine.server));
        let least = pinned.count().max(want.replicas as usize);
        least.min(allowed.count())
    }

    fn load_missing(&mut self, want: &Target, standing: &Standing, need: usize, values: &[Value]) {
        let has: BTreeSet<usize> = standing
            .ready
            .iter()
            .chain(&standing.loading)
            .copied()
            .collect();
        let is_pinned = |index: &usize| want.pinned.contains(&self.engines[*index].server);
        let missing_pins: Vec<usize> = (0..self.engines.len())
            .filter(|index| is_pinned(index) && !has.contains(index))
            .collect();
        let mut missing = need.saturating_sub(has.len()).max(missing_pins.len());
        let mut order = self.order(want);
        // Sorting is stable, so the drawn order decides among equals.
        order.sort_by_key(|index| (!missing_pins.contains(index), standing.old.contains(index)));
        order.retain(|index| !has.contains(index));
        for index in order {
            if missing == 0 {
                return;
            }
            if self.used.contains(&index) || self.free_mb[index] < want.memory_mb {
                continue;
            }
            self.free_mb[index] -= want.memory_mb;
            self.load(index, want, standing.old.contains(&index), values);
            missing -= 1;
        }
        if missing > 0 && standing.loading.is_empty() {
            self.make_room(want, standing, need, values);
        }
    }

    /// Gives up one old replica where no engine has room for the new version beside it.
    fn make_room(&mut self, want: &Target, standing: &Standing, need: usize, values: &[Value]) {
        let serving = standing.ready.len() + standing.old.len();
        // One replica may be missing during a change, but never the last but one.
        let may_miss = serving >= need.max(1) && (serving > 1 || self.engines.len() == 1);
        let index = standing.old.iter().find(|index| !self.used.contains(index));
        if let (true, Some(index)) = (may_miss, index) {
            self.unload_old(*index, want, "make_room", values);
        }
    }

    fn drop_old(&mut self, want: &Target, standing: &Standing, need: usize, values: &[Value]) {
        let mut serving = standing.ready.len() + standing.old.len();
        if standing.ready.is_empty() {
            return;
        }
        for index in &standing.old {
            if serving <= need {
                return;
            }
            if !self.used.contains(index) {
                self.unload_old(*index, want, "replaced", values);
                serving -= 1;
            }
        }
    }

    fn drop_surplus(&mut self, want: &Target, standing: &Standing, need: usize, values: &[Value]) {
        let mut ready = standing.ready.len();
        let mut order = self.order(want);
        order.reverse();
        order.sort_by_key(|index| !want.forbidden.contains(&self.engines[*index].server));
        for index in order {
            if ready <= need {
                return;
            }
            let is_pinned = want.pinned.contains(&self.engines[index].server);
            if standing.ready.contains(&index) && !is_pinned && !self.used.contains(&index) {
                let (model, version) = (want.model.clone(), want.version.clone());
                self.unload(index, model, version, "surplus", values.to_vec());
                ready -= 1;
            }
        }
    }

    /// Returns the allowed engines in an order that is particular to the model, so that models
    /// spread and a planner elsewhere would choose the same.
    fn order(&self, want: &Target) -> Vec<usize> {
        let is_allowed = |index: &usize| !want.forbidden.contains(&self.engines[*index].server);
        let has_model = |index: usize| {
            let mut loaded = self.engines[index].loaded.iter();
            loaded.any(|loaded| loaded.model == want.model)
        };
        let mut order: Vec<usize> = (0..self.engines.len())
            .filter(|index| is_allowed(index) || has_model(*index))
            .collect();
        order.sort_by_cached_key(|index| rank(&want.model, &self.engines[*index].server));
        order
    }

    fn load(&mut self, index: usize, want: &Target, replaces: bool, values: &[Value]) {
        if want.forbidden.contains(&self.engines[index].server) {
            return;
        }
        self.used.insert(index);
        self.steps.push(Step {
            server: self.engines[index].server.clone(),
            wish: Command::Load {
                model: want.model.clone(),
                version: want.version.clone(),
                adapters: want.adapters.clone(),
            },
            weights_mb: want.weights_mb,
            is_destructive: replaces,
            rule: "missing_replica",
            values: values.to_vec(),
        });
    }

    fn unload_old(&mut self, index: usize, want: &Target, rule: &'static str, values: &[Value]) {
        let mut loaded = self.engines[index].loaded.iter();
        let is_old = |loaded: &&LoadedModel| {
            loaded.model == want.model
                && (loaded.version != want.version || loaded.adapters != want.adapters)
        };
        if let Some(old) = loaded.find(is_old) {
            let (model, version) = (old.model.clone(), old.version.clone());
            self.unload(index, model, version, rule, values.to_vec());
        }
    }

    fn unload(
        &mut self,
        index: usize,
        model: Name,
        version: Name,
        rule: &'static str,
        values: Vec<Value>,
    ) {
        self.used.insert(index);
        self.steps.push(Step {
            server: self.engines[index].server.clone(),
            wish: Command::Unload { model, version },
            weights_mb: 0,
            is_destructive: true,
            rule,
            values,
        });
    }
}

fn rank(model: &Name, server: &Name) -> u64 {
    xxh3_64(&[model.as_bytes(), b"/", server.as_bytes()].concat())
}
