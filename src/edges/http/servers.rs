//! Client of backend servers over HTTP.

use std::net::SocketAddr;

use ntex::{
    client::{
        ClientRequest,
        ClientResponse, //
    },
    http::Method,
    time::{
        Millis,
        timeout, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value::RawValue;

use super::{
    super::{
        self as edges,
        Cached,
        Ended,
        Error,
        Pending,
        Piece,
        Status, //
    },
    CALL_HEADER,
    INCARNATION_HEADER,
    client::{
        Client,
        is_not_sent, //
    },
    engine, //
};
use crate::{
    core::{
        call::{
            Body,
            Call,
            Completion,
            Incarnation,
            Load, //
        },
        document::Kind,
        orders::{
            Order,
            Outcome,
            Report, //
        },
    },
    names::Name,
};

/// Body of a request without one.
const NO_BODY: Option<&()> = None;

/// Status of a server that refuses a call before it runs.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Status of a server that limits the rate of its callers.
const TOO_MANY_REQUESTS: u16 = 429;

/// Body of a call to encoders, retrievers, rerankers and services.
#[derive(Serialize)]
struct Run<'a> {
    request: &'a RawValue,
    previous: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct StatusReply {
    #[serde(rename = "start")]
    incarnation: Incarnation,
    sequence: u64,
    running: u32,
    waiting: u32,
    #[serde(default)]
    models: Vec<Name>,
    #[serde(default)]
    cache: Vec<CachedReply>,
}

#[derive(Deserialize)]
struct CachedReply {
    prefix: u64,
    cached: bool,
}

#[derive(Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum OrderReply {
    Obeyed,
    Fenced { newer: u64 },
    Refused { reason: Name },
}

/// Client of backend servers of all kinds.
pub(super) struct Servers {
    client: Client,
}

impl Servers {
    pub(super) fn new(client: Client) -> Self {
        Self { client }
    }

    async fn call(
        &self,
        kind: Kind,
        address: SocketAddr,
        call: &Call,
        timeout_ms: u64,
        on_piece: &mut dyn FnMut(Piece),
    ) -> Ended {
        let mut incarnation = None;
        let limit = Millis(u32::try_from(timeout_ms).unwrap_or(u32::MAX));
        let work = async {
            if kind == Kind::Engine {
                self.call_stream(address, call, on_piece, &mut incarnation)
                    .await
            } else {
                self.call_whole(address, call, &mut incarnation).await
            }
        };
        let end = timeout(limit, work).await.unwrap_or(Completion::Lost);
        Ended { incarnation, end }
    }

    fn request(&self, address: SocketAddr, path: &str, call: &Call) -> ClientRequest {
        let request = if call.idempotent {
            self.client.request(Method::POST, address, path)
        } else {
            self.client.fresh_request(Method::POST, address, path)
        };
        request
            .header("x-request-id", call.request.id.as_str())
            .header(CALL_HEADER, call.wire_id().as_str())
            .header("x-priority", call.priority.to_string())
            .header("content-type", "application/json")
    }

    /// Sends a call and returns the head of its response, or how the call ended without one.
    async fn send(
        &self,
        address: SocketAddr,
        path: &str,
        call: &Call,
        body: Vec<u8>,
        incarnation: &mut Option<Incarnation>,
    ) -> Result<ClientResponse, Completion> {
        let request = self.request(address, path, call);
        let response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) if is_not_sent(&error) => return Err(Completion::NotSent),
            Err(_) => return Err(Completion::Lost),
        };
        // The connection is out of step: neither this response nor later ones can be trusted.
        let echoed = header(&response, CALL_HEADER);
        if echoed.is_some_and(|echoed| echoed != call.wire_id().as_str()) {
            return Err(Completion::Lost);
        }
        *incarnation = header(&response, INCARNATION_HEADER).and_then(|text| text.parse().ok());
        let status = response.status().as_u16();
        if response.status().is_success() {
            return Ok(response);
        }
        // Reads the body to its end, so that the connection can be reused.
        let limit = self.client.limits().answer_bytes;
        let _ = self.client.body(&response, limit).await;
        if status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS {
            return Err(Completion::Refused);
        }
        Err(Completion::Failed)
    }

    async fn call_whole(
        &self,
        address: SocketAddr,
        call: &Call,
        incarnation: &mut Option<Incarnation>,
    ) -> Completion {
        let Some(body) = run_body(call) else {
            return Completion::NotSent;
        };
        let response = match self.send(address, "/v1/run", call, body, incarnation).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let limit = self.client.limits().answer_bytes;
        match self.client.body(&response, limit).await {
            Ok(bytes) => Completion::Answered(bytes.into()),
            Err(_) => Completion::Lost,
        }
    }

    async fn call_stream(
        &self,
        address: SocketAddr,
        call: &Call,
        on_piece: &mut dyn FnMut(Piece),
        incarnation: &mut Option<Incarnation>,
    ) -> Completion {
        let Some(body) = engine::body(call) else {
            return Completion::NotSent;
        };
        let path = "/v1/completions";
        let response = match self.send(address, path, call, body, incarnation).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let limits = self.client.limits();
        engine::pieces(response, call, *incarnation, limits, on_piece).await
    }

    async fn status(&self, address: SocketAddr) -> Result<Status, Error> {
        let reply: StatusReply = self
            .client
            .exchange(Method::GET, address, "/v1/status", NO_BODY)
            .await?;
        let cache = reply.cache.into_iter().map(|change| Cached {
            prefix: change.prefix,
            cached: change.cached,
        });
        Ok(Status {
            load: Load {
                incarnation: reply.incarnation,
                sequence: reply.sequence,
                running: reply.running,
                waiting: reply.waiting,
            },
            models: reply.models,
            cache: cache.collect(),
        })
    }

    async fn order(&self, address: SocketAddr, order: &Order) -> Outcome {
        let reply: Result<OrderReply, Error> = self
            .client
            .exchange(Method::POST, address, "/v1/orders", Some(order))
            .await;
        match reply {
            Ok(OrderReply::Obeyed) => Outcome::Obeyed,
            Ok(OrderReply::Fenced { newer }) => Outcome::Fenced { newer },
            Ok(OrderReply::Refused { reason }) => Outcome::Refused(reason),
            Err(Error::Refused { status }) => Outcome::Refused(format!("status {status}").into()),
            Err(_) => Outcome::Unknown,
        }
    }
}

fn header(response: &ClientResponse, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_string)
}

pub(super) fn parse_raw(body: &Body) -> Option<&RawValue> {
    serde_json::from_slice(body).ok()
}

fn run_body(call: &Call) -> Option<Vec<u8>> {
    let previous = match &call.previous {
        Some(previous) => Some(parse_raw(previous)?),
        None => None,
    };
    let run = Run {
        request: parse_raw(&call.body)?,
        previous,
    };
    serde_json::to_vec(&run).ok()
}

impl edges::BackendServers for Servers {
    fn call<'a>(
        &'a self,
        kind: Kind,
        address: SocketAddr,
        call: &'a Call,
        timeout_ms: u64,
        on_piece: &'a mut dyn FnMut(Piece),
    ) -> Pending<'a, Ended> {
        Box::pin(Self::call(self, kind, address, call, timeout_ms, on_piece))
    }

    fn cancel<'a>(&'a self, address: SocketAddr, call: &'a Name) -> Pending<'a, Result<(), Error>> {
        Box::pin(async move {
            let body = serde_json::json!({ "call": call });
            let _: serde_json::Value = self
                .client
                .exchange(Method::POST, address, "/v1/cancel", Some(&body))
                .await?;
            Ok(())
        })
    }

    fn status(&self, address: SocketAddr) -> Pending<'_, Result<Status, Error>> {
        Box::pin(Self::status(self, address))
    }

    fn order<'a>(&'a self, address: SocketAddr, order: &'a Order) -> Pending<'a, Outcome> {
        Box::pin(Self::order(self, address, order))
    }

    fn report(&self, address: SocketAddr) -> Pending<'_, Result<Report, Error>> {
        Box::pin(
            self.client
                .exchange(Method::GET, address, "/v1/orders", NO_BODY),
        )
    }
}
