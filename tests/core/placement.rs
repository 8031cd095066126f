//! Tests of placement.

use teaselchute::{
    core::{
        orders::{
            Command,
            LoadedModel, //
        },
        placement::{
            self, Engine, Step, Target,
            demand::{
                self,
                Demand, //
            },
        },
    },
    names::Name,
    time::Instant,
};

fn engine(number: usize, loaded: &[(&str, &str)]) -> Engine {
    Engine {
        server: Name::from(format!("engine-{number}")),
        memory_mb: 100,
        loaded: loaded
            .iter()
            .map(|(model, version)| loaded_model(model, version))
            .collect(),
    }
}

fn loaded_model(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        model: Name::from(model),
        version: Name::from(version),
        adapters: Vec::new(),
        ready: true,
    }
}

fn target(model: &str, version: &str, replicas: u32) -> Target {
    Target {
        model: Name::from(model),
        version: Name::from(version),
        adapters: Vec::new(),
        memory_mb: 60,
        weights_mb: 60,
        replicas,
        pinned: Vec::new(),
        forbidden: Vec::new(),
    }
}

/// Executes steps. A model is ready one round after its load.
fn execute(engines: &mut [Engine], steps: &[Step]) {
    for engine in engines.iter_mut() {
        engine
            .loaded
            .iter_mut()
            .for_each(|loaded| loaded.ready = true);
    }
    for step in steps {
        let engine = engines
            .iter_mut()
            .find(|engine| engine.server == step.server);
        let engine = engine.expect("a step for an engine of the group");
        match &step.command {
            Command::Load { model, version, .. } => {
                let mut loaded = loaded_model(model, version);
                loaded.ready = false;
                engine.loaded.push(loaded);
            }
            Command::Unload { model, version } => {
                let is_same =
                    |loaded: &LoadedModel| loaded.model == *model && loaded.version == *version;
                engine.loaded.retain(|loaded| !is_same(loaded));
            }
        }
    }
}

fn ready(engines: &[Engine], model: &str) -> usize {
    let has = |engine: &&Engine| {
        let mut loaded = engine.loaded.iter();
        loaded.any(|loaded| loaded.model.as_str() == model && loaded.ready)
    };
    engines.iter().filter(has).count()
}

/// Plans and executes steps until there are none. Returns the number of rounds and the minimum of
/// ready replicas.
fn converge(engines: &mut [Engine], targets: &[Target]) -> (usize, usize) {
    let mut min_ready = usize::MAX;
    for round in 0..100 {
        let steps = placement::plan(engines, targets);
        min_ready = min_ready.min(ready(engines, targets[0].model.as_str()));
        if steps.is_empty()
            && engines
                .iter()
                .all(|engine| engine.loaded.iter().all(|loaded| loaded.ready))
        {
            return (round, min_ready);
        }
        execute(engines, &steps);
    }
    panic!("the placement doesn't converge");
}

#[test]
fn plan_missing_replicas() {
    let mut engines = [engine(0, &[]), engine(1, &[]), engine(2, &[])];
    converge(&mut engines, &[target("a", "v1", 2)]);
    assert_eq!(ready(&engines, "a"), 2);
}

#[test]
fn plan_nothing_to_do() {
    let engines = [engine(0, &[("a", "v1")]), engine(1, &[])];
    assert_eq!(placement::plan(&engines, &[target("a", "v1", 1)]), []);
}

#[test]
fn plan_new_version_loaded_before_old_unloaded() {
    let mut engines = [engine(0, &[("a", "v1")]), engine(1, &[])];
    let (_, min_ready) = converge(&mut engines, &[target("a", "v2", 1)]);
    assert_eq!(
        min_ready, 1,
        "the old version serves until the new one is ready"
    );
    assert_eq!(ready(&engines, "a"), 1);
    assert!(engines.iter().all(|engine| {
        engine
            .loaded
            .iter()
            .all(|loaded| loaded.version.as_str() == "v2")
    }));
}

#[test]
fn plan_full_group_one_replica_at_a_time() {
    let mut engines: Vec<Engine> = (0..4).map(|index| engine(index, &[("a", "v1")])).collect();
    let (_, min_ready) = converge(&mut engines, &[target("a", "v2", 4)]);
    assert_eq!(min_ready, 3);
    assert!(
        engines
            .iter()
            .all(|engine| engine.loaded == [loaded_model("a", "v2")])
    );
}

#[test]
fn plan_unbound_model() {
    let mut engines = [engine(0, &[("b", "v1")]), engine(1, &[])];
    converge(&mut engines, &[target("a", "v1", 2)]);
    assert_eq!(ready(&engines, "b"), 0);
    assert_eq!(ready(&engines, "a"), 2);
}

#[test]
fn plan_pinned_and_forbidden() {
    let mut engines = [engine(0, &[]), engine(1, &[("a", "v1")]), engine(2, &[])];
    let mut target = target("a", "v1", 1);
    target.pinned = vec![Name::from("engine-2")];
    target.forbidden = vec![Name::from("engine-1")];
    converge(&mut engines, &[target]);
    assert_eq!(engines[2].loaded, [loaded_model("a", "v1")]);
    assert!(engines[1].loaded.is_empty());
}

#[test]
fn plan_memory_limit() {
    let mut engines = [engine(0, &[]), engine(1, &[])];
    converge(&mut engines, &[target("a", "v1", 2), target("b", "v1", 2)]);
    for engine in &engines {
        assert!(
            engine.loaded.len() <= 1,
            "two models of 60 MB don't fit in 100 MB"
        );
    }
}

#[test]
fn damped_replicas_short_lull() {
    let mut demand = Demand::default();
    let (group, model) = (Name::from("group"), Name::from("a"));
    let at = Instant::from_ms;
    assert_eq!(demand.damped_replicas(at(0), &group, &model, 4), 4);
    assert_eq!(demand.damped_replicas(at(10_000), &group, &model, 1), 4);
    assert_eq!(demand.damped_replicas(at(300_000), &group, &model, 4), 4);
    assert_eq!(demand.damped_replicas(at(310_000), &group, &model, 1), 4);
    assert_eq!(demand.damped_replicas(at(900_000), &group, &model, 1), 4);
    assert_eq!(demand.damped_replicas(at(910_000), &group, &model, 1), 1);
}

#[test]
fn record_short_burst() {
    let mut demand = Demand::default();
    let model = Name::from("a");
    let mut now = Instant::ZERO;
    demand.record(now, &model, 0);
    now = now.after_ms(5_000);
    demand.record(now, &model, 50_000);
    // Ten concurrent calls in one sample count as one.
    assert_eq!(demand.running_milli(&model), 1_000);
    for _ in 0..100 {
        now = now.after_ms(5_000);
        demand.record(now, &model, 50_000);
    }
    assert!(demand.running_milli(&model) > 9_500);
}

#[test]
fn required_replicas_data_centre_failure() {
    // 30 concurrent calls, and 7 of the 10 calls of a replica are used. Of three data centres, the
    // two that are left serve 15 calls each.
    assert_eq!(demand::required_replicas(30_000, 10, 3), 3);
    assert_eq!(demand::required_replicas(0, 10, 3), 0);
}
