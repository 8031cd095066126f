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
            .map(|(model, version)| of(model, version))
            .collect(),
    }
}

fn of(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        model: Name::from(model),
        version: Name::from(version),
        adapters: Vec::new(),
        ready: true,
    }
}

fn want(model: &str, version: &str, replicas: u32) -> Target {
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

/// Carries out steps. Loading takes one round.
fn carry_out(engines: &mut [Engine], steps: &[Step]) {
    for engine in engines.iter_mut() {
        engine
            .loaded
            .iter_mut()
            .for_each(|loaded| loaded.ready = true);
    }
    for step in steps {
        let engine = engines.iter_mut().find(|it| it.server == step.server);
        let engine = engine.expect("a step for an engine of the group");
        match &step.command {
            Command::Load { model, version, .. } => {
                let mut loaded = of(model, version);
                loaded.ready = false;
                engine.loaded.push(loaded);
            }
            Command::Unload { model, version } => {
                let is_it = |it: &LoadedModel| it.model == *model && it.version == *version;
                engine.loaded.retain(|it| !is_it(it));
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

/// Runs rounds until nothing is left to do. Returns the rounds and the fewest ready replicas.
fn settle(engines: &mut [Engine], wants: &[Target]) -> (usize, usize) {
    let mut fewest = usize::MAX;
    for round in 0..100 {
        let steps = placement::plan(engines, wants);
        fewest = fewest.min(ready(engines, wants[0].model.as_str()));
        if steps.is_empty() && engines.iter().all(|it| it.loaded.iter().all(|it| it.ready)) {
            return (round, fewest);
        }
        carry_out(engines, &steps);
    }
    panic!("it never settles");
}

#[test]
fn steps_missing_replicas_loaded() {
    let mut engines = [engine(0, &[]), engine(1, &[]), engine(2, &[])];
    settle(&mut engines, &[want("a", "v1", 2)]);
    assert_eq!(ready(&engines, "a"), 2);
}

#[test]
fn steps_fitting_does_nothing() {
    let engines = [engine(0, &[("a", "v1")]), engine(1, &[])];
    assert_eq!(placement::plan(&engines, &[want("a", "v1", 1)]), []);
}

#[test]
fn steps_new_version_beside_old_first() {
    let mut engines = [engine(0, &[("a", "v1")]), engine(1, &[])];
    let (_, fewest) = settle(&mut engines, &[want("a", "v2", 1)]);
    assert_eq!(fewest, 1, "the old one serves until the new one can");
    assert_eq!(ready(&engines, "a"), 1);
    assert!(
        engines
            .iter()
            .all(|it| it.loaded.iter().all(|it| it.version.as_str() == "v2"))
    );
}

#[test]
fn steps_full_group_changes_one_at_a_time() {
    let mut engines: Vec<Engine> = (0..4).map(|it| engine(it, &[("a", "v1")])).collect();
    let (_, fewest) = settle(&mut engines, &[want("a", "v2", 4)]);
    assert_eq!(fewest, 3);
    assert!(engines.iter().all(|it| it.loaded == [of("a", "v2")]));
}

#[test]
fn steps_unbound_unloaded() {
    let mut engines = [engine(0, &[("b", "v1")]), engine(1, &[])];
    settle(&mut engines, &[want("a", "v1", 2)]);
    assert_eq!(ready(&engines, "b"), 0);
    assert_eq!(ready(&engines, "a"), 2);
}

#[test]
fn steps_pinned_and_forbidden() {
    let mut engines = [engine(0, &[]), engine(1, &[("a", "v1")]), engine(2, &[])];
    let mut want = want("a", "v1", 1);
    want.pinned = vec![Name::from("engine-2")];
    want.forbidden = vec![Name::from("engine-1")];
    settle(&mut engines, &[want]);
    assert_eq!(engines[2].loaded, [of("a", "v1")]);
    assert!(engines[1].loaded.is_empty());
}

#[test]
fn steps_memory_respected() {
    let mut engines = [engine(0, &[]), engine(1, &[])];
    settle(&mut engines, &[want("a", "v1", 2), want("b", "v1", 2)]);
    for engine in &engines {
        assert!(
            engine.loaded.len() <= 1,
            "two models of 60 MB don't fit in 100 MB"
        );
    }
}

#[test]
fn replicas_short_lull_keeps_them() {
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
fn take_burst_damped() {
    let mut demand = Demand::default();
    let model = Name::from("a");
    let mut now = Instant::ZERO;
    demand.record(now, &model, 0);
    now = now.after_ms(5_000);
    demand.record(now, &model, 50_000);
    // Ten calls at once for one sample count for one.
    assert_eq!(demand.running_milli(&model), 1_000);
    for _ in 0..100 {
        now = now.after_ms(5_000);
        demand.record(now, &model, 50_000);
    }
    assert!(demand.running_milli(&model) > 9_500);
}

#[test]
fn replicas_for_one_data_centre_out() {
    // 30 calls at once, 10 for each replica of which 7 are used, three data centres: the two that
    // are left carry 15 each.
    assert_eq!(demand::required_replicas(30_000, 10, 3), 3);
    assert_eq!(demand::required_replicas(0, 10, 3), 0);
}
