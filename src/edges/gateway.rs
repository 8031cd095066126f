//! What the gateway needs translated: the words of callers, servers and the platform's store.
//!
//! An implementation only translates. It keeps no state, decides nothing and sends nothing.

use bytes::Bytes;
use http::{
    HeaderName,
    Method, //
};

use crate::{
    core::gateway::{
        batch::Piece,
        config::Config,
        servers, //
    },
    names::Name,
};

/// A topic of the store.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Topic {
    /// What operators want.
    Operator,
    /// Backend servers, by their own words.
    Servers,
    /// Heartbeats of entry hosts.
    Hosts,
}

/// A request to the store or to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type, where there is a body.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
}

/// Why bytes aren't understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what}: {why}")]
pub struct Error {
    /// What should have been there.
    pub what: &'static str,
    /// What is wrong.
    pub why: String,
}

/// The newest value of a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The key.
    pub key: Name,
    /// The value, `None` where the key was dropped.
    pub value: Option<Bytes>,
}

/// A page of the newest values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records.
    pub records: Vec<Record>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// Offset after the last record of the topic.
    pub end: u64,
}

/// Records that were added to a topic.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tail {
    /// Records in their order, each with its offset.
    pub records: Vec<(u64, Record)>,
    /// Offset after the last of them.
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
    /// A record that the gateway doesn't use.
    Other,
}

/// How one piece of a stage went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its time was over at its turn.
    Late,
    /// A result that it needs is gone.
    InputGone,
    /// The server has no room for the result.
    NoRoom,
    /// It failed.
    Failed,
}

/// Who asks which hosts to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lookup {
    /// Region of the caller, empty where it doesn't say.
    pub region: String,
}

/// Headers, by what they hold.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of one attempt of a caller. Servers echo it.
    pub request: HeaderName,
    /// Time left, in milliseconds.
    pub time_left: HeaderName,
    /// Parts of the prompt and their tokens.
    pub prompt: HeaderName,
    /// The event after which a stream goes on.
    pub last_event: HeaderName,
    /// A server's mark on its own answers.
    pub signature: HeaderName,
    /// The organisation, set by the gateway.
    pub organisation: HeaderName,
    /// The only server that may run the request, set by the gateway.
    pub expected_server: HeaderName,
    /// Says that the server did not run the request.
    pub not_run: HeaderName,
    /// When to come back, in seconds.
    pub retry_after: HeaderName,
    /// Priority at a server, set by the gateway.
    pub priority: HeaderName,
    /// Number of pieces of each stage.
    pub pieces: HeaderName,
    /// Key of the input of pieces.
    pub piece_key: HeaderName,
    /// Server from whose cache parts of the prompt can be fetched, set by the gateway.
    pub cache_source: HeaderName,
    /// Results that the request needs, set by the gateway.
    pub inputs: HeaderName,
    /// The caller's credential, which is not passed on.
    pub credential: HeaderName,
    /// Headers that callers may not set.
    pub reserved: Vec<HeaderName>,
}

/// Translates between the gateway and one platform.
pub trait Adapter {
    /// Returns the names of headers.
    fn headers(&self) -> &Headers;

    /// Asks the store for the newest values of a topic, after a key.
    fn newest(&self, topic: Topic, after: Option<&str>) -> Call;

    /// Reads the answer to [`Adapter::newest`].
    fn newest_page(&self, body: &[u8]) -> Result<Page, Error>;

    /// Asks the store for records from an offset on, and to wait for the first.
    fn tail(&self, topic: Topic, from: u64, wait_ms: u64) -> Call;

    /// Reads the answer to [`Adapter::tail`].
    fn tail_records(&self, from: u64, body: &[u8]) -> Result<Tail, Error>;

    /// Sets the value of a key.
    fn put(&self, topic: Topic, key: &str, value: &[u8]) -> Call;

    /// Decodes a record of the operators.
    fn directive(&self, record: &Record) -> Result<Directive, Error>;

    /// Reads what a server says of itself, `None` where it is gone.
    fn server(&self, record: &Record) -> Result<Option<servers::Entry>, Error>;

    /// Asks a server to run pieces. Times are left at `now`.
    fn run_pieces(&self, pieces: &[(&Piece, u64)]) -> Call;

    /// Reads the results of pieces, in their order.
    fn piece_results(&self, body: &[u8]) -> Result<Vec<Result<Name, Failure>>, Error>;

    /// Tells a server that results aren't needed any more.
    fn free_results(&self, results: &[Name]) -> Call;

    /// Returns the address of the server that holds a result.
    fn holder(&self, result: &str) -> Option<std::net::SocketAddr>;

    /// Reads a question for hosts, `None` where it is another call.
    fn lookup(&self, path_and_query: &str) -> Option<Lookup>;

    /// Writes the answer to a question for hosts.
    fn lookup_answer(&self, hosts: &[std::net::SocketAddr], keep_ms: u64) -> Bytes;

    /// Returns whether a path asks whether this host is ready.
    fn is_ready_path(&self, path: &str) -> bool;
}
