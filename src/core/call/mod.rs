//! Calls: one attempt of one stage or service request on one backend server.

use std::{
    fmt,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// Identity of a request: the organisation and the id that its caller chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Who asks.
    pub organisation: Name,
    /// The caller's id, unique within the organisation.
    pub id: Name,
}

impl Request {
    /// Returns the subject of decisions about it. Ids of two organisations may be the same.
    pub fn subject(&self) -> Name {
        self.to_string().into()
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.id)
    }
}

/// Number of a call, unique within one life of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

/// Bytes of a request or an answer.
pub type Body = Arc<[u8]>;

/// One attempt to run one stage or service request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the call.
    pub id: Id,
    /// The request that it serves.
    pub request: Request,
    /// Index of the stage, 0 for services.
    pub stage: usize,
    /// Name of the pipeline or service.
    pub pipeline: Name,
    /// Pool that runs it.
    pub pool: Name,
    /// Model that runs it.
    pub model: Option<Name>,
    /// Count of attempts before this one.
    pub attempt: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// When the whole answer is due.
    pub deadline: Instant,
    /// Whether an answer is wanted after the deadline.
    pub late_answer_wanted: bool,
    /// Hash of the prompt's prefix, 0 where there is none.
    pub prefix_hash: u64,
    /// Servers that failed this stage of this request before.
    pub failed_servers: Vec<Name>,
    /// Number of pieces of the stream that the caller has already.
    pub resume_from: u64,
    /// The request's body.
    pub body: Body,
    /// The result of the stage before.
    pub previous: Option<Body>,
}

/// Incarnation of a backend server: its process between two restarts, as stated in its replies and
/// load reports.
///
/// A new incarnation means that the server is cold.
pub type Incarnation = u64;

impl Call {
    /// Returns the name by which a backend server knows this call alone, so that its answer can be
    /// told from those to other calls.
    pub fn wire_id(&self) -> Name {
        let request = &self.request;
        let name = format!(
            "{}/{}/{}/{}/{}",
            request.organisation, request.id, self.stage, self.attempt, self.id.0
        );
        name.into()
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The whole answer came, with its end seen. For streams the body is empty: the pieces came
    /// before.
    Answered(Body),
    /// The server refused the call before it ran.
    Refused,
    /// The server answered that the call failed.
    Failed,
    /// The call was surely never handed to the server.
    NotSent,
    /// The connection ended or fell silent after the call was sent: it may have run.
    Lost,
    /// The call was cancelled on the server.
    Cancelled,
}

/// What a backend server says of its load. It comes late and may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Rises with each report of one incarnation.
    pub sequence: u64,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}
