//! Identity of hosts: a name that persists over restarts, and an incarnation for each start.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// One incarnation of the daemon on one host.
///
/// A restarted process with the same name and addresses is another incarnation. It has none of the
/// state of the previous one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Name of the host.
    pub name: Name,
    /// Number that is drawn at the start of the process, unique among all starts of this host.
    pub incarnation: u64,
}

/// A host with the properties that others need in order to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name and incarnation of the host.
    pub id: Id,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// HTTP address for callers and operators.
    pub http: SocketAddr,
    /// UDP and TCP address for frames of other hosts.
    pub peer: SocketAddr,
    /// Relative weight by which callers are distributed over hosts.
    pub weight: u32,
}
