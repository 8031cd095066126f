//! Interface between the gateway and the protocols of callers, servers and the platform's store.
//!
//! An implementation only encodes and decodes. It has no state, makes no decisions and does no I/O.

use bytes::Bytes;
use http::{
    HeaderName,
    Method, //
};

use crate::{
    core::gateway::{
        batch::Piece,
        config::Config,
        rollout::decider::State,
        servers, //
    },
    names::Name,
};

/// A topic of the store.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Topic {
    /// Configuration and directives of operators.
    Operator,
    /// Entries of backend servers, written by the servers.
    Servers,
    /// Heartbeats of entry hosts.
    Hosts,
    /// States of rollouts, written by the hosts.
    Status,
}

/// A request to the store or to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type, if there is a body.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
}

/// Decoding error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what}: {why}")]
pub struct Error {
    /// Expected item.
    pub what: &'static str,
    /// Reason of the failure.
    pub why: String,
}

/// Newest value of a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The key.
    pub key: Name,
    /// The value, `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Page of the newest values of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records.
    pub records: Vec<Record>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// Offset after the last record of the topic.
    pub end: u64,
}

/// Records that were appended to a topic.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tail {
    /// Records in order of offset, each with its offset.
    pub records: Vec<(u64, Record)>,
    /// Offset after the last record.
    pub next: u64,
}

/// Decoded record of the operators.
#[derive(Clone, Debug)]
pub enum Directive {
    /// The configuration.
    Config(Box<Config>),
    /// Drains a data centre, or ends its drain.
    Drain {
        /// The data centre.
        data_centre: Name,
        /// Whether the data centre gets no new work.
        drained: bool,
    },
    /// Moves a service's traffic to a version of its servers, or withdraws that order.
    Rollout {
        /// The service.
        service: Name,
        /// The order, `None` if it was deleted.
        order: Option<Rollout>,
    },
    /// A record that the gateway doesn't use.
    Other,
}

/// Order to move a service's traffic to a version of its servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The version.
    pub target: Name,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
}

/// State of a rollout in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The state.
    pub state: State,
    /// Version of the order that it belongs to.
    pub target: Name,
}

/// Failure of one piece of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its deadline passed before it was run.
    Late,
    /// A result that it needs is no longer kept.
    InputGone,
    /// The server has no memory for the result.
    NoRoom,
    /// The server failed to run it.
    Failed,
}

/// Lookup of the hosts that a caller should use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// Region of the caller, empty if it isn't stated.
    pub region: String,
    /// Data centre of the caller, empty if it isn't stated.
    pub data_centre: String,
}

/// Header names, by content.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a caller's attempt. Servers echo it.
    pub request: HeaderName,
    /// Remaining time, in milliseconds.
    pub time_left: HeaderName,
    /// Hashes of the parts of the prompt, with their token counts.
    pub prompt: HeaderName,
    /// Id of the event after which a stream resumes.
    pub last_event: HeaderName,
    /// A server's signature on its replies.
    pub signature: HeaderName,
    /// The organisation, set by the gateway.
    pub organisation: HeaderName,
    /// The only server that may run the request, set by the gateway.
    pub expected_server: HeaderName,
    /// States that the server did not run the request.
    pub not_run: HeaderName,
    /// Requests per second that a server takes from all hosts together, while it is in need.
    pub server_limit: HeaderName,
    /// Running and waiting requests of a server and its slots, on answers of some servers.
    pub server_load: HeaderName,
    /// States that the server leaves, on all answers of one that does.
    pub leaving: HeaderName,
    /// Timeline of the store, on all its answers. It ascends each time the store returns from an older copy.
    pub store_timeline: HeaderName,
    /// Delay before a retry, in seconds.
    pub retry_after: HeaderName,
    /// Priority at a server, set by the gateway.
    pub priority: HeaderName,
    /// Number of pieces of each stage.
    pub pieces: HeaderName,
    /// Key of the input of pieces.
    pub piece_key: HeaderName,
    /// Server whose cache holds parts of the prompt, set by the gateway.
    pub cache_source: HeaderName,
    /// Results that the request needs, set by the gateway.
    pub inputs: HeaderName,
    /// The caller's credential, which is not forwarded.
    pub credential: HeaderName,
    /// Headers that callers must not set.
    pub reserved: Vec<HeaderName>,
}

/// Encoder and decoder of the messages of one platform.
pub trait Adapter {
    /// Returns the header names of the platform.
    fn headers(&self) -> &Headers;

    /// Encodes a read of a topic's newest values, from after a key on.
    fn newest(&self, topic: Topic, after: Option<&str>) -> Call;

    /// Decodes the reply to [`Adapter::newest`].
    fn newest_page(&self, body: &[u8]) -> Result<Page, Error>;

    /// Encodes a read of records from an offset on, which waits up to `wait_ms` for the first.
    fn tail(&self, topic: Topic, from: u64, wait_ms: u64) -> Call;

    /// Decodes the reply to [`Adapter::tail`].
    fn tail_records(&self, from: u64, body: &[u8]) -> Result<Tail, Error>;

    /// Encodes a write of records, which are appended together or not at all.
    fn append(&self, topic: Topic, records: &[Record]) -> Call;

    /// Encodes a write of records which the store executes only if the topic ends at an offset.
    fn append_at(&self, topic: Topic, records: &[Record], end: u64) -> Call;

    /// Decodes a record of the operators.
    fn directive(&self, record: &Record) -> Result<Directive, Error>;

    /// Decodes the state of a service's rollout, `None` if the record is another one or was deleted.
    fn status(&self, record: &Record) -> Result<Option<(Name, Status)>, Error>;

    /// Encodes the state of a service's rollout.
    fn status_record(&self, service: &Name, status: &Status) -> Record;

    /// Decodes a server's entry, `None` if it was deleted.
    fn server(&self, record: &Record) -> Result<Option<servers::Entry>, Error>;

    /// Encodes a call that runs pieces, each with its remaining time in milliseconds.
    fn run_pieces(&self, pieces: &[(&Piece, u64)]) -> Call;

    /// Decodes the results of pieces, in the order of the call.
    fn piece_results(&self, body: &[u8]) -> Result<Vec<Result<Name, Failure>>, Error>;

    /// Encodes a call that frees results.
    fn free_results(&self, results: &[Name]) -> Call;

    /// Returns the address of the server that holds a result.
    fn holder(&self, result: &str) -> Option<std::net::SocketAddr>;

    /// Decodes a host lookup, `None` if the path is not that of a lookup.
    fn lookup(&self, path_and_query: &str) -> Option<Lookup>;

    /// Encodes the reply to a host lookup, which callers keep for `keep_ms`.
    fn lookup_answer(&self, hosts: &[std::net::SocketAddr], keep_ms: u64) -> Bytes;

    /// Returns whether a path is that of the readiness probe.
    fn is_ready_path(&self, path: &str) -> bool;
}
