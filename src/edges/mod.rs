//! Interfaces of the process to the platform and the backend servers.
//!
//! Other protocols are added as new implementations of these traits: see `docs/edges.md`.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin, //
};

use crate::{
    core::{
        call::{
            Call,
            Completion,
            Incarnation,
            Load, //
        },
        document::Kind,
        log::Offset,
        membership::Registration,
        orders::{
            Order,
            Outcome,
            Report, //
        },
        state::Record,
    },
    names::Name,
};

pub mod gateway;
pub mod http;

/// Boxed future that is not [`Send`].
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Failure of an exchange with the platform or a backend server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No reply came before the timeout, or the connection ended.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The reply has an error status.
    #[error("refused with status {status}")]
    Refused {
        /// HTTP status, or its equivalent.
        status: u16,
    },
    /// The message can't be encoded, or the reply can't be decoded.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// Page of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub first: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// Contiguous records from the requested offset on.
    pub entries: Vec<(Offset, Record)>,
}

/// The platform's append-only log.
pub trait Log {
    /// Appends a record and returns its offset. After an error the append may still take effect.
    fn append<'a>(&'a self, record: &'a Record) -> Pending<'a, Result<Offset, Error>>;

    /// Reads records from an offset on.
    fn read(&self, from: Offset) -> Pending<'_, Result<Page, Error>>;
}

/// The platform's list of hosts.
pub trait HostList {
    /// Registers this host as alive or leaving.
    fn register<'a>(&'a self, host: &'a Registration) -> Pending<'a, Result<(), Error>>;

    /// Returns the registered hosts.
    fn hosts(&self) -> Pending<'_, Result<Vec<Registration>, Error>>;
}

/// The platform's store of weights. Engines load from it; a daemon only queries sizes.
pub trait WeightStore {
    /// Returns the size of a model's weights, in megabytes.
    fn size_mb<'a>(&'a self, model: &'a Name, version: &'a Name)
    -> Pending<'a, Result<u64, Error>>;
}

/// Piece of a stream, as received from a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Incarnation of the server, if it stated one.
    pub incarnation: Option<Incarnation>,
    /// Index of the piece in the whole answer, counted from 0.
    pub index: u64,
    /// Text of the piece.
    pub text: Vec<u8>,
}

/// End of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Incarnation of the server, if it stated one.
    pub incarnation: Option<Incarnation>,
    /// Completion of the call.
    pub end: Completion,
}

/// A published change of a server's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cached {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is now cached.
    pub cached: bool,
}

/// Status that a server reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Load of the server.
    pub load: Load,
    /// Models that it can serve now, for engines.
    pub models: Vec<Name>,
    /// Changes of its prefix cache, which may be late and incomplete.
    pub cache: Vec<Cached>,
}

/// Backend servers of all kinds.
pub trait BackendServers {
    /// Runs a call. Pieces of a stream are passed to `on_piece` as they arrive.
    fn call<'a>(
        &'a self,
        kind: Kind,
        address: SocketAddr,
        call: &'a Call,
        timeout_ms: u64,
        on_piece: &'a mut dyn FnMut(Piece),
    ) -> Pending<'a, Ended>;

    /// Cancels a call at a server.
    fn cancel<'a>(&'a self, address: SocketAddr, call: &'a Name) -> Pending<'a, Result<(), Error>>;

    /// Reads the status of a server.
    fn status(&self, address: SocketAddr) -> Pending<'_, Result<Status, Error>>;

    /// Sends an order to an engine.
    fn order<'a>(&'a self, address: SocketAddr, order: &'a Order) -> Pending<'a, Outcome>;

    /// Reads the report of an engine.
    fn report(&self, address: SocketAddr) -> Pending<'_, Result<Report, Error>>;
}

/// Interfaces of one thread to the platform and the backend servers.
pub struct Edges {
    /// The platform's log.
    pub log: Box<dyn Log>,
    /// The platform's host list.
    pub hosts: Box<dyn HostList>,
    /// The platform's weight store.
    pub weights: Box<dyn WeightStore>,
    /// Backend servers.
    pub servers: Box<dyn BackendServers>,
}

/// Factory of edges. Each thread has its own, since clients are not [`Send`].
pub trait Factory: Send + Sync {
    /// Opens the edges for the current thread.
    fn open(&self) -> Pending<'_, Result<Edges, Error>>;
}
