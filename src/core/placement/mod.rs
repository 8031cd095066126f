//! Placement of models on engines, by damped demand.
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

/// A usable engine, by its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The server.
    pub server: Name,
    /// Total memory for models, in megabytes.
    pub memory_mb: u64,
    /// Models that are loaded or being loaded.
    pub loaded: Vec<LoadedModel>,
}

/// Desired placement of a model on the engines of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The model.
    pub model: Name,
    /// Desired version.
    pub version: Name,
    /// Desired adapters.
    pub adapters: Vec<Name>,
    /// Memory that it occupies on an engine, in megabytes.
    pub memory_mb: u64,
    /// Size of its weights in the weight store, in megabytes.
    pub weights_mb: u64,
    /// Desired number of replicas.
    pub replicas: u32,
    /// Servers that must have it.
    pub pinned: Vec<Name>,
    /// Servers that must not have it.
    pub forbidden: Vec<Name>,
}

/// The next change on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The engine.
    pub server: Name,
    /// Command for the engine.
    pub command: Command,
    /// Data to be read from the weight store, in megabytes.
    pub weights_mb: u64,
    /// Whether it can remove a replica that serves.
    pub is_destructive: bool,
    /// Name of the rule that caused it.
    pub rule: &'static str,
    /// Input values of the decision.
    pub values: Vec<Value>,
}

/// Replicas of one model, as indices of engines.
#[derive(Default)]
struct Replicas {
    /// Replicas of the desired version that can serve.
    ready: Vec<usize>,
    /// Replicas of the desired version that are being loaded.
    loading: Vec<usize>,
    /// Replicas of another version or with other adapters that can serve.
    outdated: Vec<usize>,
}

/// State of the planning for the engines of one group.
struct Planner<'a> {
    engines: &'a [Engine],
    targets: &'a [Target],
    /// Free memory of each engine, in megabytes.
    free_mb: Vec<u64>,
    /// Engines that already have a step.
    planned: BTreeSet<usize>,
    steps: Vec<Step>,
}

/// Returns the next steps towards the desired placement, at most one for each engine.
///
/// The steps depend only on the reports of the engines. So a step that was executed isn't repeated,
/// and one that was lost is. No replica that serves is removed before enough others serve.
pub fn plan(engines: &[Engine], targets: &[Target]) -> Vec<Step> {
    let memory: BTreeMap<&Name, u64> = targets
        .iter()
        .map(|target| (&target.model, target.memory_mb))
        .collect();
    let free_mb = engines
        .iter()
        .map(|engine| {
            let occupied = engine.loaded.iter().map(|loaded| {
                // The size of a model without a target is unknown, so its engine counts as full.
                memory.get(&loaded.model).copied().unwrap_or(u64::MAX)
            });
            let occupied = occupied.fold(0, u64::saturating_add);
            engine.memory_mb.saturating_sub(occupied)
        })
        .collect();
    let mut planner = Planner {
        engines,
        targets,
        free_mb,
        planned: BTreeSet::new(),
        steps: Vec::new(),
    };
    planner.unload_unbound();
    for target in targets {
        planner.plan_model(target);
    }
    planner.steps
}

impl Planner<'_> {
    /// Unloads models without a target.
    fn unload_unbound(&mut self) {
        for (index, engine) in self.engines.iter().enumerate() {
            let is_desired = |loaded: &LoadedModel| {
                self.targets
                    .iter()
                    .any(|target| target.model == loaded.model)
            };
            let Some(loaded) = engine.loaded.iter().find(|loaded| !is_desired(loaded)) else {
                continue;
            };
            let (model, version) = (loaded.model.clone(), loaded.version.clone());
            self.unload(index, model, version, "not_bound", Vec::new());
        }
    }

    fn plan_model(&mut self, target: &Target) {
        let replicas = self.find_replicas(target);
        let required = self.required_replicas(target);
        let values = vec![
            value("replicas", required as u64),
            value("ready", replicas.ready.len() as u64),
            value("loading", replicas.loading.len() as u64),
            value("old", replicas.outdated.len() as u64),
        ];
        self.load_missing(target, &replicas, required, &values);
        self.unload_outdated(target, &replicas, required, &values);
        self.unload_surplus(target, &replicas, required, &values);
    }

    fn find_replicas(&self, target: &Target) -> Replicas {
        let mut replicas = Replicas::default();
        for (index, engine) in self.engines.iter().enumerate() {
            let of_model = |loaded: &&LoadedModel| loaded.model == target.model;
            for loaded in engine.loaded.iter().filter(of_model) {
                let is_desired =
                    loaded.version == target.version && loaded.adapters == target.adapters;
                match (is_desired, loaded.ready) {
                    (true, true) => replicas.ready.push(index),
                    (true, false) => replicas.loading.push(index),
                    (false, true) => replicas.outdated.push(index),
                    (false, false) => {}
                }
            }
        }
        replicas
    }

    fn required_replicas(&self, target: &Target) -> usize {
        let pinned = self
            .engines
            .iter()
            .filter(|engine| target.pinned.contains(&engine.server));
        let allowed = self
            .engines
            .iter()
            .filter(|engine| !target.forbidden.contains(&engine.server));
        let minimum = pinned.count().max(target.replicas as usize);
        minimum.min(allowed.count())
    }

    fn load_missing(
        &mut self,
        target: &Target,
        replicas: &Replicas,
        required: usize,
        values: &[Value],
    ) {
        let placed: BTreeSet<usize> = replicas
            .ready
            .iter()
            .chain(&replicas.loading)
            .copied()
            .collect();
        let is_pinned = |index: &usize| target.pinned.contains(&self.engines[*index].server);
        let missing_pinned: Vec<usize> = (0..self.engines.len())
            .filter(|index| is_pinned(index) && !placed.contains(index))
            .collect();
        let mut missing = required
            .saturating_sub(placed.len())
            .max(missing_pinned.len());
        let mut order = self.order(target);
        // The sort is stable, so the order by hash breaks ties.
        order.sort_by_key(|index| {
            (
                !missing_pinned.contains(index),
                replicas.outdated.contains(index),
            )
        });
        order.retain(|index| !placed.contains(index));
        for index in order {
            if missing == 0 {
                return;
            }
            if self.planned.contains(&index) || self.free_mb[index] < target.memory_mb {
                continue;
            }
            self.free_mb[index] -= target.memory_mb;
            self.load(index, target, replicas.outdated.contains(&index), values);
            missing -= 1;
        }
        if missing > 0 && replicas.loading.is_empty() {
            self.unload_for_space(target, replicas, required, values);
        }
    }

    /// Unloads one outdated replica if no engine has memory for both versions.
    fn unload_for_space(
        &mut self,
        target: &Target,
        replicas: &Replicas,
        required: usize,
        values: &[Value],
    ) {
        let serving = replicas.ready.len() + replicas.outdated.len();
        // One replica may be missing during a change, but the last one only in a group of one
        // engine.
        let can_unload = serving >= required.max(1) && (serving > 1 || self.engines.len() == 1);
        let index = replicas
            .outdated
            .iter()
            .find(|index| !self.planned.contains(index));
        if let (true, Some(index)) = (can_unload, index) {
            self.unload_version(*index, target, "make_room", values);
        }
    }

    fn unload_outdated(
        &mut self,
        target: &Target,
        replicas: &Replicas,
        required: usize,
        values: &[Value],
    ) {
        let mut serving = replicas.ready.len() + replicas.outdated.len();
        if replicas.ready.is_empty() {
            return;
        }
        for index in &replicas.outdated {
            if serving <= required {
                return;
            }
            if !self.planned.contains(index) {
                self.unload_version(*index, target, "replaced", values);
                serving -= 1;
            }
        }
    }

    fn unload_surplus(
        &mut self,
        target: &Target,
        replicas: &Replicas,
        required: usize,
        values: &[Value],
    ) {
        let mut ready = replicas.ready.len();
        let mut order = self.order(target);
        order.reverse();
        order.sort_by_key(|index| !target.forbidden.contains(&self.engines[*index].server));
        for index in order {
            if ready <= required {
                return;
            }
            let is_pinned = target.pinned.contains(&self.engines[index].server);
            if replicas.ready.contains(&index) && !is_pinned && !self.planned.contains(&index) {
                let (model, version) = (target.model.clone(), target.version.clone());
                self.unload(index, model, version, "surplus", values.to_vec());
                ready -= 1;
            }
        }
    }

    /// Returns the engines that are allowed or have the model, ordered by a hash of model and
    /// server (rendezvous hashing). So models are spread, and another planner would choose the
    /// same.
    fn order(&self, target: &Target) -> Vec<usize> {
        let is_allowed = |index: &usize| !target.forbidden.contains(&self.engines[*index].server);
        let has_model = |index: usize| {
            let mut loaded = self.engines[index].loaded.iter();
            loaded.any(|loaded| loaded.model == target.model)
        };
        let mut order: Vec<usize> = (0..self.engines.len())
            .filter(|index| is_allowed(index) || has_model(*index))
            .collect();
        order.sort_by_cached_key(|index| rank(&target.model, &self.engines[*index].server));
        order
    }

    fn load(&mut self, index: usize, target: &Target, replaces: bool, values: &[Value]) {
        if target.forbidden.contains(&self.engines[index].server) {
            return;
        }
        self.planned.insert(index);
        self.steps.push(Step {
            server: self.engines[index].server.clone(),
            command: Command::Load {
                model: target.model.clone(),
                version: target.version.clone(),
                adapters: target.adapters.clone(),
            },
            weights_mb: target.weights_mb,
            is_destructive: replaces,
            rule: "missing_replica",
            values: values.to_vec(),
        });
    }

    fn unload_version(
        &mut self,
        index: usize,
        target: &Target,
        rule: &'static str,
        values: &[Value],
    ) {
        let mut loaded = self.engines[index].loaded.iter();
        let is_outdated = |loaded: &&LoadedModel| {
            loaded.model == target.model
                && (loaded.version != target.version || loaded.adapters != target.adapters)
        };
        if let Some(old) = loaded.find(is_outdated) {
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
        self.planned.insert(index);
        self.steps.push(Step {
            server: self.engines[index].server.clone(),
            command: Command::Unload { model, version },
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
