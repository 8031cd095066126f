//! Tests of routing, with functions that create documents, views and calls.

mod histogram;
mod limit;
mod pool;
mod queue;
mod rate;
mod share;

use std::sync::Arc;

use teaselchute::{
    core::{
        call::{
            self,
            Call, //
        },
        document::{
            BackendServer,
            DataCentre,
            Document,
            Kind,
            Pool, //
        },
        host::{
            Host,
            Id, //
        },
        routing,
        state::Roster,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Returns the identity of a host by its number.
pub fn id(number: usize) -> Id {
    Id {
        name: Name::from(format!("h{number}")),
        incarnation: 1,
    }
}

/// Returns a host by its number.
pub fn host(number: usize) -> Host {
    Host {
        id: id(number),
        data_centre: Name::from("almaty-a"),
        region: Name::from("almaty"),
        http: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        weight: 1,
    }
}

/// Returns a document with one pool `lm` of servers `s0`, `s1` and so on.
pub fn document(servers: usize, cold: u32, full: u32) -> Document {
    let mut document = Document::default();
    let data_centre = DataCentre {
        region: Name::from("almaty"),
        egress_price_milli: 0,
    };
    document
        .data_centres
        .insert(Name::from("almaty-a"), Arc::new(data_centre));
    let servers = (0..servers).map(|number| {
        let server = BackendServer {
            address: "127.0.0.1:3".parse().unwrap(),
            data_centre: Name::from("almaty-a"),
            checks_fencing: false,
            memory_mb: 0,
        };
        (Name::from(format!("s{number}")), Arc::new(server))
    });
    let pool = Pool {
        kind: Kind::Service,
        cold_limit: cold,
        full_limit: full,
        warm_up_ms: 10_000,
        call_timeout_ms: 5_000,
        price_milli: 10,
        servers: servers.collect(),
    };
    document.pools.insert(Name::from("lm"), Arc::new(pool));
    document
}

/// Returns the view of one host, with hosts `h0`, `h1` and so on on the roster.
pub fn view(own: usize, hosts: usize, document: Document) -> View {
    View {
        own: host(own),
        serving: true,
        serving_since: None,
        mutation: teaselchute::core::mutation::Mutation::None,
        leaving: false,
        document: Arc::new(document),
        position: Default::default(),
        // Later than any instant of the tests, so that the state is never stale.
        fresh_at: Instant::from_ms(u64::MAX),
        drained: Default::default(),
        roster: Roster {
            epoch: 1,
            members: (0..hosts).map(id).collect(),
        },
        previous_roster: Roster::default(),
        members: Vec::new(),
    }
}

/// Returns an idempotent call of organisation `o1` with a deadline at 4 s.
pub fn some_call(number: u64) -> Call {
    Call {
        id: call::Id(number),
        request: call::Request {
            organisation: Name::from("o1"),
            id: Name::from(format!("r{number}")),
        },
        stage: 0,
        pipeline: Name::from("notes"),
        pool: Name::from("lm"),
        model: None,
        attempt: 0,
        idempotent: true,
        priority: 1,
        deadline: Instant::from_ms(4_000),
        late_answer_wanted: false,
        prefix_hash: 0,
        failed_servers: Vec::new(),
        resume_from: 0,
        body: Arc::from(&b"body"[..]),
        previous: None,
    }
}

/// Returns a pool `lm` without calls, with the production policy.
pub fn pool() -> routing::Pool {
    let shared = Arc::new(routing::Shared::default());
    let policy = routing::policy::Policy::Teaselchute;
    routing::Pool::new(Name::from("lm"), policy, shared, 1)
}
