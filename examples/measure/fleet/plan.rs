//! The Co-operative's pools, pipelines and organisations, as the measurements use them.

use std::sync::Arc;

use teaselchute::{
    core::document::{
        BackendServer,
        DataCentre,
        Document,
        Kind,
        Organisation,
        Pipeline,
        Pool,
        Service,
        Stage, //
    },
    names::Name,
};

/// Number of entry hosts.
pub const HOSTS: usize = 9;

/// Data centres, each in a region of its own.
pub const DATA_CENTRES: [&str; 3] = ["almaty-a", "astana-a", "shymkent-a"];

/// Regions of the data centres.
pub const REGIONS: [&str; 3] = ["almaty", "astana", "shymkent"];

/// What a pool's servers are like.
pub struct Shape {
    /// Name of the pool.
    pub name: &'static str,
    /// Kind of its servers.
    pub kind: Kind,
    /// Number of servers.
    pub servers: usize,
    /// Calls that a cold server carries.
    pub cold: u32,
    /// Calls that a warm server carries.
    pub full: u32,
    /// Time from cold to warm, in milliseconds.
    pub warm_up_ms: u64,
    /// Mean time of a call, in milliseconds.
    pub service_ms: u64,
    /// Price of a second of a call.
    pub price_milli: u64,
}

/// All pools.
pub const SHAPES: [Shape; 8] = [
    shape("lm", Kind::Engine, 20, 2, 16, 20_000, 1_500, 100),
    shape("encoders", Kind::Encoder, 5, 2, 8, 10_000, 40, 10),
    shape("retrievers", Kind::Retriever, 5, 2, 8, 10_000, 60, 10),
    shape("rerankers", Kind::Reranker, 5, 2, 8, 10_000, 70, 10),
    shape("orders", Kind::Service, 3, 2, 8, 10_000, 50, 5),
    shape("ledger", Kind::Service, 5, 2, 8, 10_000, 50, 5),
    shape("catalogue", Kind::Service, 5, 2, 8, 10_000, 50, 5),
    shape("freight", Kind::Service, 5, 2, 8, 10_000, 50, 5),
];

#[expect(clippy::too_many_arguments, reason = "one row of a table")]
const fn shape(
    name: &'static str,
    kind: Kind,
    servers: usize,
    cold: u32,
    full: u32,
    warm_up_ms: u64,
    service_ms: u64,
    price_milli: u64,
) -> Shape {
    Shape {
        name,
        kind,
        servers,
        cold,
        full,
        warm_up_ms,
        service_ms,
        price_milli,
    }
}

/// Longest time for which a call may run, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 12_000;

/// Price of a gigabyte between regions.
pub const EGRESS_PRICE_MILLI: u64 = 90_000;

/// Requests a second of the language-model pipelines at load 1.
pub fn capacity_rps() -> u64 {
    let lm = &SHAPES[0];
    lm.servers as u64 * u64::from(lm.full) * 1_000 / lm.service_ms
}

/// Returns the document.
pub fn document() -> Document {
    let mut document = Document::default();
    for (data_centre, region) in DATA_CENTRES.iter().zip(REGIONS) {
        let described = DataCentre {
            region: Name::from(region),
            egress_price_milli: EGRESS_PRICE_MILLI,
        };
        let name = Name::from(*data_centre);
        document.data_centres.insert(name, Arc::new(described));
    }
    for shape in &SHAPES {
        document
            .pools
            .insert(Name::from(shape.name), Arc::new(pool(shape)));
    }
    let notes = ["encoders", "retrievers", "rerankers", "lm"];
    pipeline(&mut document, "notes", &notes, 4_000, false);
    pipeline(&mut document, "prices", &["retrievers", "lm"], 3_500, false);
    pipeline(&mut document, "plans", &["lm"], 10_000, true);
    for name in ["orders", "ledger", "catalogue", "freight"] {
        let service = Service {
            pool: Name::from(name),
            idempotent: true,
            deadline_ms: 1_000,
        };
        let name = Name::from(format!("{name}-lookup"));
        document.services.insert(name, Arc::new(service));
    }
    for number in 1..=5 {
        let organisation = Organisation {
            credential_digest: Name::from(""),
            weight: 1,
            requests_per_second: None,
            pipelines: Default::default(),
            services: Vec::new(),
        };
        let name = Name::from(format!("o{number}"));
        document.organisations.insert(name, Arc::new(organisation));
    }
    document
}

/// Returns the index of the data centre in which a server stands.
pub fn data_centre_of(server: usize) -> usize {
    server % DATA_CENTRES.len()
}

fn pool(shape: &Shape) -> Pool {
    let servers = (0..shape.servers).map(|number| {
        let server = BackendServer {
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: Name::from(DATA_CENTRES[data_centre_of(number)]),
            checks_fencing: false,
            memory_mb: 0,
        };
        (Name::from(format!("s{number:02}")), Arc::new(server))
    });
    Pool {
        kind: shape.kind,
        cold_limit: shape.cold,
        full_limit: shape.full,
        warm_up_ms: shape.warm_up_ms,
        call_timeout_ms: CALL_TIMEOUT_MS,
        price_milli: shape.price_milli,
        servers: servers.collect(),
    }
}

fn pipeline(document: &mut Document, name: &str, pools: &[&str], deadline_ms: u64, late: bool) {
    let stages = pools.iter().map(|pool| Stage {
        name: Name::from(*pool),
        pool: Name::from(*pool),
        model: None,
    });
    let pipeline = Pipeline {
        stages: stages.collect(),
        deadline_ms,
        late_answer_wanted: late,
        priority: 1,
    };
    document
        .pipelines
        .insert(Name::from(name), Arc::new(pipeline));
}
