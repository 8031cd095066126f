//! The operators' document: one for each environment, from pipelines down to backend servers.
//!
//! Every part is behind an [`Arc`], so that a change of one part shares all others with the
//! document before it. How a document is written: `docs/configuration.md`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

mod check;
mod edit;
mod json;
mod problem;

pub use check::check;
pub use edit::diff;
pub use problem::Problem;

/// Returns the JSON schema of a document, for editors.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}

/// What operators want of one environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Data centres by name.
    pub data_centres: BTreeMap<Name, Arc<DataCentre>>,
    /// Pools of backend servers by name.
    pub pools: BTreeMap<Name, Arc<Pool>>,
    /// Models by name.
    pub models: BTreeMap<Name, Arc<Model>>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<Name, Arc<Pipeline>>,
    /// Plain services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
    /// Organisations by name.
    pub organisations: BTreeMap<Name, Arc<Organisation>>,
    /// Policies of the whole environment.
    pub policies: Policies,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region in which it stands.
    pub region: Name,
    /// Price of a gigabyte that leaves its region, in thousandths of the operators' unit.
    #[serde(default)]
    pub egress_price_milli: u64,
}

/// What the servers of a pool do.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Generates text, with batches, prefix cache and streams.
    Engine,
    /// Turns text into vectors.
    Encoder,
    /// Finds documents for a vector.
    Retriever,
    /// Orders documents by relevance.
    Reranker,
    /// A plain service.
    Service,
}

/// A pool of alike backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What its servers do.
    pub kind: Kind,
    /// Concurrent calls that a server carries right after a cold start.
    pub cold_limit: u32,
    /// Concurrent calls that a warm server carries.
    pub full_limit: u32,
    /// Shortest time in which a server warms up from the cold to the full limit, in milliseconds.
    pub warm_up_ms: u64,
    /// Longest time for which a call may run, also after its caller vanished, in milliseconds.
    pub call_timeout_ms: u64,
    /// Price of a second of one call, in thousandths of the operators' unit.
    #[serde(default)]
    pub price_milli: u64,
    /// Servers by name.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Where it listens.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Whether it refuses orders with an old fencing number. Not said means that it doesn't.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Memory for models, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Pool whose engines may load it.
    pub pool: Name,
    /// Version that is wanted.
    pub version: Name,
    /// Adapters that are wanted with it.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// Memory that it takes, in megabytes.
    pub memory_mb: u64,
    /// Size in the weight store, in megabytes.
    pub weights_mb: u64,
    /// Fewest replicas in each data centre.
    #[serde(default)]
    pub least_replicas: u32,
    /// Servers on which it must stay.
    #[serde(default)]
    pub pinned: Vec<Name>,
    /// Servers on which it must not be.
    #[serde(default)]
    pub forbidden: Vec<Name>,
}

/// A pipeline: stages under one deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in their order.
    pub stages: Vec<Stage>,
    /// Time in which the whole answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Whether an answer is wanted also after the deadline, so that it's never dropped.
    #[serde(default)]
    pub late_answer_wanted: bool,
    /// Priority where the request names none, 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
}

/// A stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique in its pipeline.
    pub name: Name,
    /// Pool that runs it.
    pub pool: Name,
    /// Model that runs it, for pools of engines.
    #[serde(default)]
    pub model: Option<Name>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Pool that runs it.
    pub pool: Name,
    /// Whether a request may run more than once. Not said means that it may not.
    #[serde(default)]
    pub idempotent: bool,
    /// Time in which the answer is due, in milliseconds.
    pub deadline_ms: u64,
}

/// An organisation: a customer with limits and bindings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// BLAKE3 digest of its credential, in hexadecimal digits.
    pub credential_digest: Name,
    /// Share of capacity relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests a second over the whole system, unlimited where not said.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
    /// Pipelines that it may use, with its own priority.
    #[serde(default)]
    pub pipelines: BTreeMap<Name, Binding>,
    /// Services that it may use.
    #[serde(default)]
    pub services: Vec<Name>,
}

fn default_weight() -> u32 {
    1
}

/// How an organisation uses a pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Binding {
    /// Priority in place of the pipeline's.
    pub priority: Option<u8>,
    /// Deadline in place of the pipeline's, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether late answers are wanted, in place of the pipeline's word.
    pub late_answer_wanted: Option<bool>,
}

/// What a host may do whose news is too old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StaleRule {
    /// Start nothing new, so that no data centre that was taken out receives work.
    #[default]
    Refuse,
    /// Go on within the own region, and tell operators that a drain there isn't in force yet.
    OwnRegion,
}

/// Policies of the whole environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// What a host may do whose news is too old.
    pub stale_rule: StaleRule,
    /// Retries allowed for each hundred calls.
    pub retry_percent: u32,
    /// Rate at which the weight store serves all loads together, in megabytes a second.
    pub weight_store_mb_per_second: u64,
    /// Whether the controllers of placement are paused.
    pub placement_paused: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            stale_rule: StaleRule::Refuse,
            retry_percent: 10,
            weight_store_mb_per_second: 1_000,
            placement_paused: false,
        }
    }
}

/// One part of a document that changes, `None` removes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Changes a data centre.
    DataCentre(Name, Option<DataCentre>),
    /// Changes a pool, all but its servers.
    Pool(Name, Option<Pool>),
    /// Changes one server of a pool: pool, server.
    BackendServer(Name, Name, Option<BackendServer>),
    /// Changes a model.
    Model(Name, Option<Model>),
    /// Changes a pipeline.
    Pipeline(Name, Option<Pipeline>),
    /// Changes a service.
    Service(Name, Option<Service>),
    /// Changes an organisation.
    Organisation(Name, Option<Organisation>),
    /// Changes the policies.
    Policies(Policies),
}
