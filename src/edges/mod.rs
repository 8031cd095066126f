//! The edges of the process: traits behind which the platform and the backend servers stand.
//!
//! The users' own protocols become new implementations of these: see `docs/edges.md`.

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

/// A future of one thread.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why the platform or a backend server gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing came within the time allowed, or the connection ended.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// It answered with a refusal.
    #[error("refused with status {status}")]
    Refused {
        /// HTTP status, or the like.
        status: u16,
    },
    /// The answer can't be understood.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

/// What a read of the log returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub first: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
    /// Records from the wanted offset on, contiguous, `None` where a record isn't ours to read.
    pub entries: Vec<(Offset, Record)>,
}

/// The platform's append-only log.
pub trait Log {
    /// Appends a record and returns its offset. After an error it may still take effect.
    fn append<'a>(&'a self, record: &'a Record) -> Pending<'a, Result<Offset, Error>>;

    /// Reads records from an offset on.
    fn read(&self, from: Offset) -> Pending<'_, Result<Page, Error>>;
}

/// The platform's list of hosts.
pub trait HostList {
    /// Says that this host lives or is leaving.
    fn register<'a>(&'a self, host: &'a Registration) -> Pending<'a, Result<(), Error>>;

    /// Returns the hosts.
    fn hosts(&self) -> Pending<'_, Result<Vec<Registration>, Error>>;
}

/// The platform's store of weights. Engines load from it; a daemon only asks what it has.
pub trait WeightStore {
    /// Returns the size of a model's weights, in megabytes.
    fn size_mb<'a>(&'a self, model: &'a Name, version: &'a Name)
    -> Pending<'a, Result<u64, Error>>;
}

/// A piece of a stream as a server gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Incarnation of the server, if it stated one.
    pub incarnation: Option<Incarnation>,
    /// Index of the piece, counted from 0 for the whole answer.
    pub index: u64,
    /// The piece.
    pub text: Vec<u8>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Incarnation of the server, if it stated one.
    pub incarnation: Option<Incarnation>,
    /// How.
    pub end: Completion,
}

/// A published change of a server's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cached {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is cached now.
    pub cached: bool,
}

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its load.
    pub load: Load,
    /// Models that it can serve now, for engines.
    pub models: Vec<Name>,
    /// Changes of its cache, which may come late and with gaps.
    pub cache: Vec<Cached>,
}

/// Backend servers of all kinds.
pub trait BackendServers {
    /// Runs a call. Pieces of a stream go to `on_piece` as they come.
    fn call<'a>(
        &'a self,
        kind: Kind,
        address: SocketAddr,
        call: &'a Call,
        timeout_ms: u64,
        on_piece: &'a mut dyn FnMut(Piece),
    ) -> Pending<'a, Ended>;

    /// Tells a server that a call isn't wanted any more.
    fn cancel<'a>(&'a self, address: SocketAddr, call: &'a Name) -> Pending<'a, Result<(), Error>>;

    /// Reads what a server says of itself.
    fn status(&self, address: SocketAddr) -> Pending<'_, Result<Status, Error>>;

    /// Gives an order to an engine.
    fn order<'a>(&'a self, address: SocketAddr, order: &'a Order) -> Pending<'a, Outcome>;

    /// Reads back what an engine has.
    fn report(&self, address: SocketAddr) -> Pending<'_, Result<Report, Error>>;
}

/// All edges of one thread.
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

/// Opens the edges once for each thread, since clients belong to their thread.
pub trait Factory: Send + Sync {
    /// Opens the edges for the current thread.
    fn open(&self) -> Pending<'_, Result<Edges, Error>>;
}
