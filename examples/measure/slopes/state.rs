//! Growth of the agreed state: its bytes, its memory in a process, the time of one change.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Instant, //
};

use teaselchute::{
    core::{
        document::{
            BackendServer,
            Binding,
            Document,
            Edit,
            Kind,
            Model,
            Organisation,
            Pipeline,
            Pool,
            Stage, //
        },
        state::{
            Change,
            Environment,
            Position,
            Record,
            State, //
        },
    },
    names::Name,
};

use super::memory;

/// Copies of the state by which the memory of one is measured.
const COPIES: usize = 16;

/// Changes by which the time of one is measured.
const CHANGES: u64 = 64;

/// Sizes of a document.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// Count of organisations.
    pub organisations: usize,
    /// Count of backend servers, over pools of at most 300.
    pub servers: usize,
    /// Count of models.
    pub models: usize,
    /// Count of pipelines of five stages.
    pub pipelines: usize,
}

/// What was measured of one size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Bytes of the state as it goes over the wire.
    pub bytes: f64,
    /// Memory of one decoded copy, in bytes.
    pub memory: f64,
    /// Time to apply one change, in microseconds.
    pub apply_us: f64,
}

/// Servers in one pool.
const POOL_SERVERS: usize = 300;

/// Measures the state of one size.
pub fn measure(size: Size) -> Point {
    let state = state(size);
    let bytes = postcard::to_stdvec(&state).expect("A state can be encoded.");
    let before = memory::resident_bytes();
    let copies: Vec<State> = (0..COPIES)
        .map(|_| postcard::from_bytes(&bytes).expect("A state can be decoded."))
        .collect();
    let after = memory::resident_bytes();
    let memory = after.saturating_sub(before) as f64 / COPIES as f64;
    let apply_us = apply_us(&mut copies[0].clone());
    // What is freed would be used again by the next size, whose growth would not be seen.
    std::mem::forget(copies);
    Point {
        bytes: bytes.len() as f64,
        memory,
        apply_us,
    }
}

fn apply_us(state: &mut State) -> f64 {
    let revision = state.environments[ENVIRONMENT].revision;
    let changes: Vec<Record> = (0..CHANGES)
        .map(|number| {
            Record::Change(Change {
                id: Name::from(format!("change-{number}")),
                environment: Name::from(ENVIRONMENT),
                based_on: revision + number,
                edits: vec![Edit::Organisation(
                    Name::from("organisation-0"),
                    Some(organisation(0)),
                )],
            })
        })
        .collect();
    let began = Instant::now();
    for (offset, change) in changes.iter().enumerate() {
        let position = Position {
            generation: 0,
            next: offset as u64 + 1,
        };
        state.apply(position, change);
    }
    began.elapsed().as_secs_f64() * 1e6 / CHANGES as f64
}

/// The environment of the measurement.
const ENVIRONMENT: &str = "production";

fn state(size: Size) -> State {
    let mut state = State::default();
    let environment = Environment {
        revision: 1,
        document: document(size).into(),
    };
    state
        .environments
        .insert(Name::from(ENVIRONMENT), environment);
    state
}

/// Makes a document of a size.
pub fn document(size: Size) -> Document {
    let mut document = Document::default();
    for index in 0..size.organisations {
        let name = Name::from(format!("organisation-{index}"));
        document
            .organisations
            .insert(name, Arc::new(organisation(index)));
    }
    for (number, from) in (0..size.servers).step_by(POOL_SERVERS).enumerate() {
        let until = size.servers.min(from + POOL_SERVERS);
        let pool = pool((from..until).map(server).collect());
        document
            .pools
            .insert(Name::from(format!("pool-{number}")), Arc::new(pool));
    }
    for index in 0..size.models {
        document
            .models
            .insert(Name::from(format!("model-{index}")), Arc::new(model()));
    }
    for index in 0..size.pipelines {
        document.pipelines.insert(
            Name::from(format!("pipeline-{index}")),
            Arc::new(pipeline()),
        );
    }
    document
}

fn organisation(index: usize) -> Organisation {
    let bindings = (0..3).map(|number| {
        let name = Name::from(format!("pipeline-{}", (index + number) % 8));
        (name, Binding::default())
    });
    Organisation {
        credential_digest: Name::from(format!("{index:064x}")),
        weight: 1,
        requests_per_second: Some(50),
        pipelines: bindings.collect(),
        services: vec![Name::from("place-order"), Name::from("stock")],
    }
}

fn server(index: usize) -> (Name, Arc<BackendServer>) {
    let server = BackendServer {
        address: SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 9_000)),
        data_centre: Name::from(format!("dc-{}", index % 6)),
        checks_fencing: index.is_multiple_of(2),
        memory_mb: 320_000,
    };
    (Name::from(format!("server-{index}")), Arc::new(server))
}

fn pool(servers: BTreeMap<Name, Arc<BackendServer>>) -> Pool {
    Pool {
        kind: Kind::Engine,
        cold_limit: 4,
        full_limit: 256,
        warm_up_ms: 60_000,
        call_timeout_ms: 10_000,
        price_milli: 10,
        servers,
    }
}

fn model() -> Model {
    Model {
        pool: Name::from("pool-0"),
        version: Name::from("2026-12-01"),
        adapters: (0..8)
            .map(|it| Name::from(format!("adapter-{it}")))
            .collect(),
        memory_mb: 80_000,
        weights_mb: 70_000,
        least_replicas: 2,
        pinned: Vec::new(),
        forbidden: Vec::new(),
    }
}

fn pipeline() -> Pipeline {
    let stages = (0..5).map(|index| Stage {
        name: Name::from(format!("stage-{index}")),
        pool: Name::from("pool-0"),
        model: Some(Name::from("model-0")),
    });
    Pipeline {
        stages: stages.collect(),
        deadline_ms: 4_000,
        late_answer_wanted: false,
        priority: 1,
    }
}
