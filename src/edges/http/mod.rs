//! The first implementation of the edges: HTTP with JSON, and server-sent events for streams.

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

/// Header that names a call to a server, which the server repeats in its answer.
pub const CALL_HEADER: &str = "x-call-id";

/// Opens edges that speak HTTP.
pub struct Factory {
    platform: Platform,
    limits: Limits,
}

impl Factory {
    /// Makes a factory for a platform.
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
