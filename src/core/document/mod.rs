//! The configuration document of an environment, from pipelines down to backend servers.
//!
//! Each part is behind an [`Arc`], so that a changed document shares all unchanged parts with the
//! previous one. For the format, see `docs/configuration.md`.

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

/// Returns the JSON schema of documents, for editors.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}

/// The configuration of one environment.
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
    /// Region in which it is located.
    pub region: Name,
    /// Price of a gigabyte that leaves its region, in thousandths of the operators' currency unit.
    #[serde(default)]
    pub egress_price_milli: u64,
}

/// The kind of work that the servers of a pool do.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Generates text, with batching, a prefix cache and streaming.
    Engine,
    /// Encodes text as vectors.
    Encoder,
    /// Retrieves documents for a vector.
    Retriever,
    /// Ranks documents by relevance.
    Reranker,
    /// Runs a plain service.
    Service,
}

/// A pool of identical backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Kind of its servers.
    pub kind: Kind,
    /// Maximum number of concurrent calls of a server after a cold start.
    pub cold_limit: u32,
    /// Maximum number of concurrent calls of a warm server.
    pub full_limit: u32,
    /// Minimum time in which a server warms up from the cold to the full limit, in milliseconds.
    pub warm_up_ms: u64,
    /// Maximum time for which a call may run, even after its caller disconnected, in milliseconds.
    pub call_timeout_ms: u64,
    /// Price of one second of a call, in thousandths of the operators' currency unit.
    #[serde(default)]
    pub price_milli: u64,
    /// Servers by name.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Address on which it listens.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Data centre in which it is located.
    pub data_centre: Name,
    /// Whether it refuses orders with an outdated fencing token. Defaults to false.
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
    /// Version to load.
    pub version: Name,
    /// Adapters to load with it.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// Memory that it needs, in megabytes.
    pub memory_mb: u64,
    /// Size in the weight store, in megabytes.
    pub weights_mb: u64,
    /// Minimum number of replicas in each data centre.
    #[serde(default)]
    pub least_replicas: u32,
    /// Servers on which it must stay loaded.
    #[serde(default)]
    pub pinned: Vec<Name>,
    /// Servers on which it must not be loaded.
    #[serde(default)]
    pub forbidden: Vec<Name>,
}

/// A pipeline: a sequence of stages with one deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Stages in order of execution.
    pub stages: Vec<Stage>,
    /// Time within which the whole answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Whether answers after the deadline are still wanted, so that late requests aren't dropped.
    #[serde(default)]
    pub late_answer_wanted: bool,
    /// Default priority of requests, where 0 is the most urgent.
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
    /// Model that runs it, if the pool consists of engines.
    #[serde(default)]
    pub model: Option<Name>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Pool that runs it.
    pub pool: Name,
    /// Whether a request may run more than once. Defaults to false.
    #[serde(default)]
    pub idempotent: bool,
    /// Time within which the answer is due, in milliseconds.
    pub deadline_ms: u64,
}

/// An organisation, a customer with limits and bindings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// BLAKE3 digest of its credential, as hexadecimal digits.
    pub credential_digest: Name,
    /// Share of capacity, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of requests per second over the whole system, unlimited by default.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
    /// Pipelines that it may use.
    #[serde(default)]
    pub pipelines: BTreeMap<Name, Binding>,
    /// Services that it may use.
    #[serde(default)]
    pub services: Vec<Name>,
}

fn default_weight() -> u32 {
    1
}

/// Settings of an organisation for a pipeline, which override those of the pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Binding {
    /// Default priority of requests.
    pub priority: Option<u8>,
    /// Time within which the whole answer is due, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether answers after the deadline are still wanted.
    pub late_answer_wanted: Option<bool>,
}

/// What a host with a stale state may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StaleRule {
    /// Start no new work, so that no drained data centre receives any.
    #[default]
    Refuse,
    /// Start new work in the own region only, and report that a drain there isn't in force yet.
    OwnRegion,
}

/// Policies of the whole environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// What a host with a stale state may do.
    pub stale_rule: StaleRule,
    /// Maximum number of retries per hundred calls.
    pub retry_percent: u32,
    /// Total rate at which the weight store serves model loads, in megabytes per second.
    pub weight_store_mb_per_second: u64,
    /// Whether the placement controllers are paused.
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

/// A change of one part of a document. `None` removes the part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Changes a data centre.
    DataCentre(Name, Option<DataCentre>),
    /// Changes a pool except its servers.
    Pool(Name, Option<Pool>),
    /// Changes one server of a pool, given the names of the pool and the server.
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
