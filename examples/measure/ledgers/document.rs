//! The document of the run: a pipeline of three stages, and orders.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use teaselchute::{
    core::document::{
        BackendServer,
        Document,
        Kind,
        Pipeline,
        Pool,
        Service,
        Stage, //
    },
    names::Name,
};

use super::servers::Server;

/// The pipeline of which a late answer is of no use.
pub const CHAT: &str = "chat";

/// The pipeline of which a late answer is wanted.
pub const PLAN: &str = "restock-plan";

/// The service whose requests may not run twice.
pub const ORDER: &str = "place-order";

/// Pools with the time of a call in milliseconds, and the pieces of an answer.
pub const POOLS: &[(&str, u64, u64)] = &[
    ("encode", 20, 0),
    ("rerank", 60, 0),
    ("generate", 400, 8),
    ("orders", 50, 0),
];

/// Servers of each pool.
const SERVERS: usize = 6;

/// Pools through which the pipelines run.
pub const STAGES: &[&str] = &["encode", "rerank", "generate"];

/// Returns all servers.
pub fn servers(slots: usize) -> Vec<Server> {
    let mut servers = Vec::new();
    for (pool, service_ms, pieces) in POOLS {
        for index in 0..SERVERS {
            let name = Name::from(format!("{pool}-{index}"));
            servers.push(Server::new(pool, name, *service_ms, *pieces, slots));
        }
    }
    servers
}

/// Returns the document.
pub fn document(servers: &[Server]) -> Document {
    let mut document = Document::default();
    for (name, service_ms, _) in POOLS {
        let members = servers.iter().filter(|server| server.pool == *name);
        let members: BTreeMap<Name, Arc<BackendServer>> = members
            .map(|server| (server.name.clone(), Arc::new(backend())))
            .collect();
        let pool = Pool {
            kind: Kind::Service,
            cold_limit: 1,
            full_limit: 100,
            warm_up_ms: 1_000,
            call_timeout_ms: 4 * service_ms + 1_000,
            price_milli: 0,
            servers: members,
        };
        document.pools.insert(Name::from(*name), Arc::new(pool));
    }
    for (name, late_answer_wanted) in [(CHAT, false), (PLAN, true)] {
        let stages = STAGES.iter().map(|pool| Stage {
            name: Name::from(*pool),
            pool: Name::from(*pool),
            model: None,
        });
        let pipeline = Pipeline {
            stages: stages.collect(),
            deadline_ms: 4_000,
            late_answer_wanted,
            priority: 1,
        };
        document
            .pipelines
            .insert(Name::from(name), Arc::new(pipeline));
    }
    let service = Service {
        pool: Name::from("orders"),
        idempotent: false,
        deadline_ms: 4_000,
    };
    document
        .services
        .insert(Name::from(ORDER), Arc::new(service));
    document
}

fn backend() -> BackendServer {
    BackendServer {
        address: SocketAddr::from(([10, 1, 0, 1], 9_000)),
        data_centre: Name::from("dc-0"),
        checks_fencing: false,
        memory_mb: 0,
    }
}
