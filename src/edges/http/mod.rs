//! Implementation of the edges over HTTP: JSON, and server-sent events for streams.

mod client;
mod engine;
mod platform;
mod servers;
pub mod sse;

use client::Client;
use platform::{
    Hosts,
    Log,
    Weights, //
};
use servers::Servers;

use super::{
    Edges,
    Error,
    Pending, //
};
use crate::options::config::{
    Limits,
    Platform, //
};

/// Header in which a server states its incarnation.
pub const INCARNATION_HEADER: &str = "x-server-start";

/// Header with the id of a call to a server. The server echoes it.
pub const CALL_HEADER: &str = "x-call-id";

/// Factory of edges over HTTP.
pub struct Factory {
    platform: Platform,
    limits: Limits,
}

impl Factory {
    /// Creates a factory for a platform.
    pub fn new(platform: Platform, limits: Limits) -> Self {
        Self { platform, limits }
    }
}

impl super::Factory for Factory {
    fn open(&self) -> Pending<'_, Result<Edges, Error>> {
        Box::pin(async {
            let client = Client::open(&self.limits).await?;
            Ok(Edges {
                log: Box::new(Log::new(client.clone(), self.platform.log)),
                hosts: Box::new(Hosts::new(client.clone(), self.platform.host_list)),
                weights: Box::new(Weights::new(client.clone(), self.platform.weight_store)),
                servers: Box::new(Servers::new(client)),
            })
        })
    }
}
