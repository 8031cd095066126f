//! The document of a run, from a few numbers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use teaselchute::{
    core::{
        document::{
            BackendServer,
            Binding,
            DataCentre,
            Document,
            Kind,
            Model,
            Organisation,
            Pipeline,
            Pool,
            Service,
            Stage,
            diff, //
        },
        state::Change,
    },
    names::Name,
};

use super::ENVIRONMENT;
use crate::driver::{
    Place,
    server, //
};

/// A pool of a run.
#[derive(Clone, Debug)]
pub struct PoolShape {
    /// Its name.
    pub name: &'static str,
    /// What its servers do.
    pub kind: Kind,
    /// Count of servers, dealt to the data centres in turn.
    pub servers: usize,
    /// Calls of a cold server.
    pub cold_limit: u32,
    /// Calls of a warm server.
    pub full_limit: u32,
    /// Time to warm up, in milliseconds.
    pub warm_up_ms: u64,
    /// Time of a call, in milliseconds.
    pub service_ms: u64,
    /// Pieces of an answer, 0 for whole answers.
    pub pieces: u64,
}

/// The numbers from which a run's document is made.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Count of regions with one data centre each.
    pub data_centres: usize,
    /// The pools. A pipeline runs through all that are not services, in their order.
    pub pools: Vec<PoolShape>,
    /// Count of organisations.
    pub organisations: usize,
    /// Deadline of the pipeline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the stages of engines are bound to a model, which controllers load.
    pub has_model: bool,
}

impl Shape {
    /// The Co-operative's places and services of today.
    pub fn co_operative() -> Self {
        let pool = |name, kind, servers, service_ms, pieces| PoolShape {
            name,
            kind,
            servers,
            cold_limit: 2,
            full_limit: 16,
            warm_up_ms: 20_000,
            service_ms,
            pieces,
        };
        Self {
            data_centres: 3,
            pools: vec![
                pool("encode", Kind::Encoder, 5, 20, 0),
                pool("retrieve", Kind::Retriever, 5, 40, 0),
                pool("rerank", Kind::Reranker, 5, 60, 0),
                pool("generate", Kind::Engine, 20, 800, 8),
                pool("orders", Kind::Service, 3, 50, 0),
            ],
            organisations: 5,
            deadline_ms: 4_000,
            has_model: false,
        }
    }

    /// Returns where data centres stand.
    pub fn places(&self) -> Vec<Place> {
        (0..self.data_centres)
            .map(|index| Place {
                region: index,
                data_centre: index,
            })
            .collect()
    }

    /// Returns the servers and where they stand, in the order of their numbers.
    pub fn servers(&self) -> Vec<(Place, server::Shape)> {
        let places = self.places();
        let mut servers = Vec::new();
        for pool in &self.pools {
            for index in 0..pool.servers {
                let shape = server::Shape {
                    pool: Name::from(pool.name),
                    name: server_name(pool, index),
                    cold_limit: pool.cold_limit,
                    full_limit: pool.full_limit,
                    warm_up_ms: pool.warm_up_ms,
                    service_ms: pool.service_ms,
                    pieces: pool.pieces,
                    checks_fencing: index % 2 == 0,
                };
                servers.push((places[index % places.len()], shape));
            }
        }
        servers
    }

    /// Returns the document.
    pub fn document(&self) -> Document {
        let mut document = Document::default();
        for place in self.places() {
            let data_centre = DataCentre {
                region: region_name(place),
                egress_price_milli: 20,
            };
            document
                .data_centres
                .insert(data_centre_name(place), Arc::new(data_centre));
        }
        for pool in &self.pools {
            document
                .pools
                .insert(Name::from(pool.name), Arc::new(self.pool(pool)));
        }
        if self.has_model {
            document
                .models
                .insert(Name::from(MODEL), Arc::new(self.model()));
        }
        let pipeline = Arc::new(self.pipeline());
        document.pipelines.insert(Name::from(PIPELINE), pipeline);
        for (name, idempotent) in [(ORDER, false), (LOOKUP, true)] {
            let service = Service {
                pool: Name::from("orders"),
                idempotent,
                deadline_ms: self.deadline_ms,
            };
            document
                .services
                .insert(Name::from(name), Arc::new(service));
        }
        for index in 0..self.organisations {
            document
                .organisations
                .insert(organisation_name(index), Arc::new(organisation()));
        }
        document
    }

    /// Returns the change that publishes the document.
    pub fn change(&self) -> Change {
        let edits = diff(&Document::default(), &self.document());
        Change {
            id: Name::from("first"),
            environment: Name::from(ENVIRONMENT),
            based_on: 0,
            edits,
        }
    }

    fn pool(&self, shape: &PoolShape) -> Pool {
        let places = self.places();
        let servers: BTreeMap<_, _> = (0..shape.servers)
            .map(|index| {
                let server = BackendServer {
                    address: SocketAddr::from(([10, 1, 0, 1], 9_000)),
                    data_centre: data_centre_name(places[index % places.len()]),
                    checks_fencing: index % 2 == 0,
                    memory_mb: 80_000,
                };
                (server_name(shape, index), Arc::new(server))
            })
            .collect();
        Pool {
            kind: shape.kind,
            cold_limit: shape.cold_limit,
            full_limit: shape.full_limit,
            warm_up_ms: shape.warm_up_ms,
            call_timeout_ms: 4 * shape.service_ms + 1_000,
            price_milli: shape.service_ms,
            servers,
        }
    }

    /// Returns the model to which a pool's stage is bound.
    pub fn model_of(&self, pool: &PoolShape) -> Option<Name> {
        (self.has_model && pool.kind == Kind::Engine).then(|| Name::from(MODEL))
    }

    fn model(&self) -> Model {
        let engines = self.pools.iter().find(|pool| pool.kind == Kind::Engine);
        Model {
            pool: Name::from(engines.map_or("", |pool| pool.name)),
            version: Name::from(MODEL_VERSION),
            adapters: Vec::new(),
            memory_mb: 40_000,
            weights_mb: 1_000,
            least_replicas: LEAST_REPLICAS,
            pinned: Vec::new(),
            forbidden: Vec::new(),
        }
    }

    fn pipeline(&self) -> Pipeline {
        let stages = self
            .pools
            .iter()
            .filter(|pool| pool.kind != Kind::Service)
            .map(|pool| Stage {
                name: Name::from(pool.name),
                pool: Name::from(pool.name),
                model: self.model_of(pool),
            });
        Pipeline {
            stages: stages.collect(),
            deadline_ms: self.deadline_ms,
            late_answer_wanted: false,
            priority: 1,
        }
    }
}

/// The pipeline of all runs.
pub const PIPELINE: &str = "sorting-notes";

/// The model of all runs that bind one.
pub const MODEL: &str = "sorter";

/// The version of that model.
pub const MODEL_VERSION: &str = "1";

/// Fewest replicas of that model in each data centre.
pub const LEAST_REPLICAS: u32 = 2;

/// The service whose requests may not run twice.
pub const ORDER: &str = "place-order";

/// The service whose requests may repeat.
pub const LOOKUP: &str = "stock";

/// Returns the name of an organisation.
pub fn organisation_name(index: usize) -> Name {
    Name::from(format!("organisation-{index}"))
}

/// Returns the name of a place's data centre.
pub fn data_centre_name(place: Place) -> Name {
    Name::from(format!("dc-{}", place.data_centre))
}

/// Returns the name of a place's region.
pub fn region_name(place: Place) -> Name {
    Name::from(format!("region-{}", place.region))
}

fn server_name(pool: &PoolShape, index: usize) -> Name {
    Name::from(format!("{}-{index}", pool.name))
}

fn organisation() -> Organisation {
    let binding = (Name::from(PIPELINE), Binding::default());
    Organisation {
        credential_digest: Name::from(""),
        weight: 1,
        requests_per_second: None,
        pipelines: BTreeMap::from([binding]),
        services: vec![Name::from(ORDER), Name::from(LOOKUP)],
    }
}
