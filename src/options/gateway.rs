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
