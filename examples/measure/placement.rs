//! Placement under shifts and bursts of demand, a data centre that leaves, and a rollout.

use std::collections::BTreeMap;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::{
        orders::{
            Command,
            LoadedModel, //
        },
        placement::{
            self, Engine, Target,
            demand::{
                self,
                Demand, //
            },
        },
    },
    names::Name,
    time::Instant,
};

use crate::options::Options;

const DATA_CENTRES: usize = 3;
const ENGINES: usize = 8;
const MODELS: usize = 3;

/// Calls at once that a replica carries.
const LIMIT: u32 = 10;

const STEP_MS: u64 = 5_000;
const RUN_MS: u64 = 7_200_000;

/// Time of one load, in milliseconds.
const LOAD_MS: u64 = 50_000;

/// Time after an unload within which the same load again is thrash, in milliseconds.
const THRASH_MS: u64 = 900_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Teaselchute,
    Static,
    Greedy,
}

#[derive(Default)]
struct Seen {
    asked: u64,
    served: u64,
    loads: u64,
    thrash: u64,
    without_ms: u64,
}

struct Run {
    variant: Variant,
    rng: Pcg64Mcg,
    now: Instant,
    engines: Vec<Vec<Engine>>,
    /// When loads are done: data centre, engine, model.
    due: BTreeMap<(usize, Name, Name), Instant>,
    unloaded: BTreeMap<(usize, Name, Name), Instant>,
    demand: Vec<Demand>,
    seen: Seen,
}

/// Measures damped placement beside a static and a greedy one.
pub fn measure(options: &Options) -> bool {
    let mut holds = true;
    for seed in options.seed..options.seed + options.runs {
        for variant in [Variant::Teaselchute, Variant::Static, Variant::Greedy] {
            holds &= Run::new(seed, variant).finish(seed);
        }
    }
    holds
}

impl Run {
    fn new(seed: u64, variant: Variant) -> Self {
        let engine = |place: usize, index: usize| Engine {
            server: Name::from(format!("engine-{place}-{index}")),
            memory_mb: 80_000,
            loaded: Vec::new(),
        };
        let group = |place| (0..ENGINES).map(|index| engine(place, index)).collect();
        Self {
            variant,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::ZERO,
            engines: (0..DATA_CENTRES).map(group).collect(),
            due: BTreeMap::new(),
            unloaded: BTreeMap::new(),
            demand: (0..DATA_CENTRES).map(|_| Demand::default()).collect(),
            seen: Seen::default(),
        }
    }

    /// Calls of a model that run at once: shifts over the run, with noise and bursts.
    fn running(&mut self, model: usize) -> u64 {
        let phase = self.now.as_ms() / 1_200_000;
        let level = 15 + 10 * ((phase + model as u64) % 3);
        let noise = self.rng.random_range(0..level / 2);
        let is_burst = self.rng.random_range(0..40_u64) == 0;
        level * 3 / 4 + noise + if is_burst { level } else { 0 }
    }

    fn is_out(&self, place: usize) -> bool {
        place == 1 && (2_000_000..3_200_000).contains(&self.now.as_ms())
    }

    fn finish(mut self, seed: u64) -> bool {
        while self.now.as_ms() < RUN_MS {
            self.now = self.now.after_ms(STEP_MS);
            let running: Vec<u64> = (0..MODELS).map(|model| self.running(model)).collect();
            self.finish_loads();
            if self.now.as_ms() > 300_000 {
                self.serve(&running);
            }
            for place in 0..DATA_CENTRES {
                // A data centre that is out keeps what it has.
                if !self.is_out(place) {
                    self.plan(place, &running);
                }
            }
        }
        self.report(seed)
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        for (place, engines) in self.engines.iter_mut().enumerate() {
            for engine in engines {
                for loaded in &mut engine.loaded {
                    let key = (place, engine.server.clone(), loaded.model.clone());
                    loaded.ready |= self.due.get(&key).is_some_and(|due| *due <= now);
                }
            }
        }
    }

    fn serve(&mut self, running: &[u64]) {
        for (model, running) in running.iter().enumerate() {
            let name = model_name(model);
            let places = (0..DATA_CENTRES).filter(|place| !self.is_out(*place));
            let engines = places.flat_map(|place| &self.engines[place]);
            let is_ready = |loaded: &LoadedModel| loaded.model == name && loaded.ready;
            let ready = engines
                .filter(|engine| engine.loaded.iter().any(is_ready))
                .count();
            self.seen.asked += running;
            self.seen.served += (*running).min(ready as u64 * u64::from(LIMIT));
            if ready == 0 {
                self.seen.without_ms += STEP_MS;
            }
        }
    }

    fn plan(&mut self, place: usize, running: &[u64]) {
        let group = Name::from(format!("group-{place}"));
        let mut wants = Vec::new();
        for (model, running) in running.iter().enumerate() {
            let name = model_name(model);
            let demand = &mut self.demand[place];
            demand.record(self.now, &name, running * STEP_MS);
            let replicas = match self.variant {
                Variant::Teaselchute => {
                    let average_milli = demand.running_milli(&name);
                    let wanted =
                        demand::required_replicas(average_milli, LIMIT, DATA_CENTRES).max(1);
                    demand.damped_replicas(self.now, &group, &name, wanted)
                }
                Variant::Static => 1,
                Variant::Greedy => {
                    demand::required_replicas(running * 1_000, LIMIT, DATA_CENTRES).max(1)
                }
            };
            let version = if self.now.as_ms() >= 5_000_000 {
                "v2"
            } else {
                "v1"
            };
            wants.push(Target {
                model: name,
                version: Name::from(version),
                adapters: Vec::new(),
                memory_mb: 35_000,
                weights_mb: 30_000,
                replicas,
                pinned: Vec::new(),
                forbidden: Vec::new(),
            });
        }
        for step in placement::plan(&self.engines[place], &wants) {
            self.carry_out(place, step);
        }
    }

    fn carry_out(&mut self, place: usize, step: placement::Step) {
        let now = self.now;
        let engines = self.engines[place].iter_mut();
        let Some(engine) = engines.into_iter().find(|it| it.server == step.server) else {
            return;
        };
        match step.command {
            Command::Load {
                model,
                version,
                adapters,
            } => {
                let key = (place, step.server, model.clone());
                self.seen.loads += 1;
                let again = self.unloaded.get(&key);
                if again.is_some_and(|at| now.since_ms(*at) < THRASH_MS) {
                    self.seen.thrash += 1;
                }
                self.due.insert(key, now.after_ms(LOAD_MS));
                engine.loaded.push(LoadedModel {
                    model,
                    version,
                    adapters,
                    ready: false,
                });
            }
            Command::Unload { model, version } => {
                let is_it = |it: &LoadedModel| it.model == model && it.version == version;
                engine.loaded.retain(|it| !is_it(it));
                self.unloaded.insert((place, step.server, model), now);
            }
        }
    }

    fn report(self, seed: u64) -> bool {
        let seen = &self.seen;
        let mut line = serde_json::json!({
            "case": "placement",
            "variant": format!("{:?}", self.variant).to_lowercase(),
            "seed": seed,
            "attainment": seen.served as f64 / seen.asked as f64,
            "loads": seen.loads,
            "thrash_loads": seen.thrash,
            "without_capacity_ms": seen.without_ms,
        });
        let is_ours = self.variant == Variant::Teaselchute;
        if !is_ours {
            line["baseline"] = true.into();
        }
        println!("{line}");
        !is_ours || seen.without_ms == 0
    }
}

fn model_name(index: usize) -> Name {
    Name::from(format!("model-{index}"))
}
