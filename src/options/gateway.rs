//! Settings of a gateway: location, listening addresses and bounds.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Options {
    /// Name of the host, which survives restarts.
    pub host: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Regions by data centre.
    pub regions: BTreeMap<Name, Name>,
    /// Listening addresses.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peer addresses of the hosts that a starting host queries while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Limits of the process.
    pub process: Process,
    /// Bounds that the operators set.
    pub bounds: Bounds,
    /// Behaviour that a deployment asks for.
    #[serde(default)]
    pub features: Features,
}

/// Behaviour that is off unless a deployment's settings ask for it, so that an update changes no decision
/// of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Features {
    /// Gradual moves of a service's traffic to another version of its servers: see
    /// `docs/design/rollout.md`. `None` if versions aren't told apart.
    pub rollout: Option<Rollout>,
    /// How servers are compared for a request.
    pub placement: Placement,
}

/// Bounds on what callers get from a version of a service that may be faulty.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Fraction of the service's requests that a faulty version may get, over all hosts.
    pub exposure_ratio: f64,
    /// Number of requests that it may get in addition.
    pub exposure_tolerance: u64,
    /// Time after enough failures by which it gets none, in milliseconds.
    pub rollback_ms: u64,
}

/// How the servers of a service are compared for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Placement {
    /// By tokens to prefill, with constants for everything else.
    #[default]
    Tokens,
    /// By the expected latency while the measured speeds of a service's servers differ widely, by tokens
    /// otherwise.
    Adaptive,
    /// By the expected latency at each server's measured speed: see `docs/design/placement.md`.
    Latency,
}

/// Addresses on which a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness probes.
    pub ready: SocketAddr,
    /// For lookups of the hosts that callers should use.
    pub lookup: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For gossip of other hosts, over UDP.
    #[serde(rename = "news")]
    pub gossip: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors.
    pub descriptors: u64,
    /// Processor time, in thousandths of a core.
    pub processor: u32,
}

/// Bounds that the operators set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Longest time for which callers cache a lookup, in milliseconds.
    pub lookup_keep_ms: u64,
    /// Retries per first attempt at a service.
    pub retry_ratio: f64,
    /// Retries that are allowed in addition, for all hosts together.
    pub retry_slack: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Factor by which a cold server's rate may be exceeded.
    pub cold_factor: f64,
}

impl Options {
    /// Returns the region of this host.
    pub fn region(&self) -> Name {
        self.region_of(&self.data_centre)
    }

    /// Returns the region of a data centre. An unlisted one forms its own region.
    pub fn region_of(&self, data_centre: &Name) -> Name {
        let region = self.regions.get(data_centre);
        region.unwrap_or(data_centre).clone()
    }
}
