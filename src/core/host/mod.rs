//! Identity of entry hosts: a name that survives restarts and an incarnation that does not.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// One life of the daemon on one host.
///
/// A restarted process with the same name and addresses is another incarnation, and remembers
/// nothing of the one before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Name of the host.
    pub name: Name,
    /// Number drawn at the start of the process, unique among the lives of this host.
    pub incarnation: u64,
}

/// What a host says of itself, which others need in order to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Which life of which host this is.
    pub id: Id,
    /// The data centre in which the host stands.
    pub data_centre: Name,
    /// The region of that data centre.
    pub region: Name,
    /// Address for callers and operators, HTTP.
    pub http: SocketAddr,
    /// Address for frames of other hosts, UDP and TCP.
    pub peer: SocketAddr,
    /// Relative share of callers that the host can take.
    pub weight: u32,
}
