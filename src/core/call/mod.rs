//! Calls: attempts to run a stage or service request on a backend server.

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

/// Identity of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Organisation of the caller.
    pub organisation: Name,
    /// Id that the caller assigned, unique within the organisation.
    pub id: Name,
}

impl Request {
    /// Returns the subject for decisions about the request. It includes the organisation, because
    /// two organisations may use the same id.
    pub fn subject(&self) -> Name {
        self.to_string().into()
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.id)
    }
}

/// Id of a call, unique within an incarnation of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

/// Body of a request or an answer.
pub type Body = Arc<[u8]>;

/// An attempt to run a stage or service request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id of the call.
    pub id: Id,
    /// Request that it belongs to.
    pub request: Request,
    /// Index of the stage. 0 for services.
    pub stage: usize,
    /// Name of the pipeline or service.
    pub pipeline: Name,
    /// Pool that runs it.
    pub pool: Name,
    /// Model that runs it.
    pub model: Option<Name>,
    /// Number of earlier attempts.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority. 0 is the most urgent.
    pub priority: u8,
    /// Deadline for the complete answer.
    pub deadline: Instant,
    /// Whether the caller accepts an answer after the deadline.
    pub late_answer_wanted: bool,
    /// Hash of the prompt's prefix. 0 without a prompt.
    pub prefix_hash: u64,
    /// Servers that failed earlier attempts of this stage.
    pub failed_servers: Vec<Name>,
    /// Number of pieces of the stream that the caller already has.
    pub resume_from: u64,
    /// Body of the request.
    pub body: Body,
    /// Result of the previous stage.
    pub previous: Option<Body>,
}

/// Incarnation of a backend server: its process between two restarts, as stated in its replies and
/// load reports.
///
/// A new incarnation means that the server is cold.
pub type Incarnation = u64;

impl Call {
    /// Returns the unique id of this call at backend servers, by which an answer to another call is
    /// detected.
    pub fn wire_id(&self) -> Name {
        let request = &self.request;
        let name = format!(
            "{}/{}/{}/{}/{}",
            request.organisation, request.id, self.stage, self.attempt, self.id.0
        );
        name.into()
    }
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The complete answer arrived, up to its end. For streams the body is empty, because the
    /// pieces arrived before.
    Answered(Body),
    /// The server refused the call before it ran.
    Refused,
    /// The server reported that the call failed.
    Failed,
    /// The call is known not to have been sent.
    NotSent,
    /// The connection broke or timed out after the call was sent. It may have run.
    Lost,
    /// The server cancelled the call.
    Cancelled,
}

/// Load report of a backend server. Reports may be late or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Incarnation of the server.
    #[serde(rename = "start")]
    pub incarnation: Incarnation,
    /// Sequence number, ascending within an incarnation.
    pub sequence: u64,
    /// Number of running calls.
    pub running: u32,
    /// Number of waiting calls.
    pub waiting: u32,
}
