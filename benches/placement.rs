//! Duration of placement planning at the size that is expected in two years: 2,300 servers and 22
//! models.

use std::hint::black_box;

use criterion::Criterion;
use teaselchute::{
    core::{
        orders::LoadedModel,
        placement::{
            self,
            Engine,
            Target, //
        },
    },
    names::Name,
};

const SERVERS: usize = 2_300;
const MODELS: usize = 22;
const GROUPS: usize = 6;

fn targets(version: &str, replicas: u32) -> Vec<Target> {
    let target = |index| Target {
        model: Name::from(format!("model-{index}")),
        version: Name::from(version),
        adapters: Vec::new(),
        memory_mb: 35_000,
        weights_mb: 30_000,
        replicas,
        pinned: Vec::new(),
        forbidden: Vec::new(),
    };
    (0..MODELS).map(target).collect()
}

fn engines(count: usize) -> Vec<Engine> {
    let engine = |index: usize| Engine {
        server: Name::from(format!("engine-{index}")),
        memory_mb: 80_000,
        loaded: vec![LoadedModel {
            model: Name::from(format!("model-{}", index % MODELS)),
            version: Name::from("v1"),
            adapters: Vec::new(),
            ready: true,
        }],
    };
    (0..count).map(engine).collect()
}

fn bench_plan(criterion: &mut Criterion) {
    let all = engines(SERVERS);
    let unchanged = targets("v1", 100);
    let rollout = targets("v2", 100);
    let group = engines(SERVERS / GROUPS);
    let mut one_change = targets("v1", 17);
    one_change[7].version = Name::from("v2");
    criterion.bench_function("placement 2300 servers fitting", |bench| {
        bench.iter(|| placement::plan(black_box(&all), black_box(&unchanged)));
    });
    criterion.bench_function("placement 2300 servers rollout of all models", |bench| {
        bench.iter(|| placement::plan(black_box(&all), black_box(&rollout)));
    });
    criterion.bench_function("placement one group after one change", |bench| {
        bench.iter(|| placement::plan(black_box(&group), black_box(&one_change)));
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_plan(&mut criterion);
    criterion.final_summary();
}
