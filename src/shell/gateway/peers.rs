//! What hosts ask each other: to run pieces of stages with others' in full calls.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Gateway,
    log::Event,
    upstream::{
        self,
        ANY_NUMBER,
        Reuse, //
    },
};
use crate::{
    core::gateway::{
        batch::Piece,
        hosts::Heartbeat,
        plan::Input, //
    },
    edges::gateway::{
        Failure,
        Topic, //
    },
    names::Name,
    time::Instant,
};

/// Path of the call by which a host runs pieces for another.
pub(super) const PIECES_PATH: &str = "/v1/pieces";

/// Path of the call by which a host learns that results aren't needed any more.
pub(super) const FREE_PATH: &str = "/v1/free";

/// Path of the call by which a host tells how far its region is with the pieces of a service.
pub(super) const PROGRESS_PATH: &str = "/v1/progress";

/// Path of the call by which a host shows that it lives.
pub(super) const PING_PATH: &str = "/v1/ping";

/// Time after which a host that hasn't answered is asked whether it lives, in milliseconds. A call
/// with pieces takes a few hundred milliseconds, and pieces wait for several.
const PING_MS: u64 = 400;

/// Path of the call by which a host calls the store for another.
pub(super) const RELAY_PATH: &str = "/v1/relay";

/// Largest body of a call between hosts, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Pieces to run, all of one stage of one request. Times are ages, since clocks of two hosts can't
/// be compared.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Ask {
    pub(super) service: Name,
    request: Name,
    stage: u32,
    pieces: u32,
    input: WireInput,
    result_bytes: u64,
    /// Size of the results that one piece works on, in bytes.
    input_bytes: u64,
    wanted_in_ms: i64,
    deadline_in_ms: i64,
    after_ms: u64,
    priority: u8,
    /// Whether they come from the owner of another region, so that they go no further.
    pub(super) is_forwarded: bool,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireInput {
    Key(Name),
    Results(Vec<Name>),
}

/// How the pieces went.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    /// Their results.
    Results {
        /// The results, in order of their pieces.
        results: Vec<Name>,
        /// The host that gathered the calls, where it isn't the one that was asked.
        owner: Option<SocketAddr>,
    },
    /// One failed.
    Failed(WireFailure),
}

/// Why a piece failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum WireFailure {
    Late,
    InputGone,
    NoRoom,
    Failed,
}

impl From<Failure> for WireFailure {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Late => Self::Late,
            Failure::InputGone => Self::InputGone,
            Failure::NoRoom => Self::NoRoom,
            Failure::Failed => Self::Failed,
        }
    }
}

impl From<WireFailure> for Failure {
    fn from(failure: WireFailure) -> Self {
        match failure {
            WireFailure::Late => Self::Late,
            WireFailure::InputGone => Self::InputGone,
            WireFailure::NoRoom => Self::NoRoom,
            WireFailure::Failed => Self::Failed,
        }
    }
}

/// Why a host gave no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// It can't be reached, or its answer broke off.
    #[error("{0}")]
    Upstream(#[from] upstream::Error),
    /// It said nothing in time.
    #[error("no answer within {0} ms")]
    Silent(u64),
    /// Its answer isn't understood.
    #[error("answer not understood: {0}")]
    Malformed(String),
}

fn in_ms(now: Instant, then: Instant) -> i64 {
    let ahead = i64::try_from(then.since_ms(now)).unwrap_or(i64::MAX);
    let behind = i64::try_from(now.since_ms(then)).unwrap_or(i64::MAX);
    ahead - behind
}

fn at_ms(now: Instant, in_ms: i64) -> Instant {
    let ms = in_ms.unsigned_abs();
    if in_ms >= 0 {
        now.after_ms(ms)
    } else {
        now.before_ms(ms)
    }
}

impl Ask {
    /// Makes the message from pieces that differ by their index alone.
    pub(super) fn new(now: Instant, service: &Name, pieces: &[Piece]) -> Option<Self> {
        let first = pieces.first()?;
        Some(Self {
            service: service.clone(),
            request: first.request.clone(),
            stage: u32::try_from(first.stage).ok()?,
            pieces: u32::try_from(pieces.len()).ok()?,
            input: match &first.input {
                Input::Key(key) => WireInput::Key(key.clone()),
                Input::Results(results) => WireInput::Results(results.clone()),
            },
            result_bytes: first.result_bytes,
            input_bytes: first.input_bytes,
            wanted_in_ms: in_ms(now, first.wanted),
            deadline_in_ms: in_ms(now, first.deadline),
            after_ms: first.after_ms,
            priority: first.priority,
            is_forwarded: false,
        })
    }

    /// Returns the pieces.
    pub(super) fn pieces(self, now: Instant) -> Vec<Piece> {
        let input = match self.input {
            WireInput::Key(key) => Input::Key(key),
            WireInput::Results(results) => Input::Results(results),
        };
        let pieces = 0..self.pieces as usize;
        let piece = |index| Piece {
            request: self.request.clone(),
            stage: self.stage as usize,
            index,
            input: input.clone(),
            result_bytes: self.result_bytes,
            input_bytes: self.input_bytes,
            wanted: at_ms(now, self.wanted_in_ms),
            deadline: at_ms(now, self.deadline_in_ms),
            after_ms: self.after_ms,
            priority: self.priority,
        };
        pieces.map(piece).collect()
    }
}

/// Results that aren't needed any more.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Free {
    pub(super) service: Name,
    pub(super) results: Vec<Name>,
}

/// How far the servers of a service in a region are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Progress {
    pub(super) service: Name,
    pub(super) region: Name,
    /// The host that says so, where other hosts reach it.
    pub(super) owner: SocketAddr,
    /// In how many milliseconds a piece that comes now would be done.
    pub(super) done_ms: u64,
    /// Room for results, in bytes.
    pub(super) room_bytes: u64,
}

/// Tells a host how far the servers of a service are in this region.
pub(super) async fn tell_progress(
    gateway: &Gateway,
    address: SocketAddr,
    progress: &Progress,
    limit_ms: u64,
) -> Result<(), Error> {
    call(gateway, address, PROGRESS_PATH, progress, limit_ms).await?;
    Ok(())
}

/// Time between two questions to a host that gave no sign of life, in milliseconds.
const ASK_SUSPECTS_MS: u64 = 500;

/// Asks hosts that gave no sign of life again and again, until they do.
pub(super) async fn ask_suspects(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(ASK_SUSPECTS_MS)).await;
        let suspects = gateway.hosts.borrow_mut().suspects(gateway.now());
        for (name, address) in suspects {
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move {
                let answer = call(&gateway, address, PING_PATH, &(), PING_MS).await;
                let now = gateway.now();
                if answer.is_ok() && gateway.hosts.borrow_mut().suspect(now, &name, false) {
                    gateway.log.write(&Event::Dependency {
                        name: &name,
                        up: true,
                        why: "answered",
                    });
                }
            });
        }
    }
}

/// A read of the store, or a heartbeat, that a host makes for one which the store refuses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Relay {
    /// Read the newest values of a topic.
    Newest { topic: Topic, after: Option<Name> },
    /// Read records from an offset on.
    Tail {
        topic: Topic,
        from: u64,
        wait_ms: u64,
    },
    /// Write a heartbeat.
    Beat(Heartbeat),
}

/// What came of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Relayed {
    /// The store's answer.
    Answer(Vec<u8>),
    /// The records aren't kept any more.
    Gone,
    /// The store gave no answer here either.
    Failed,
}

/// Has a host call the store.
pub(super) async fn relay(
    gateway: &Gateway,
    address: SocketAddr,
    relay: &Relay,
    limit_ms: u64,
) -> Result<Relayed, Error> {
    let body = call(gateway, address, RELAY_PATH, relay, limit_ms).await?;
    postcard::from_bytes(&body).map_err(|error| Error::Malformed(error.to_string()))
}

/// Asks a host to run pieces, and goes on waiting while it shows that it lives.
pub(super) async fn run_pieces(
    gateway: &Gateway,
    address: SocketAddr,
    ask: &Ask,
    limit_ms: u64,
) -> Result<Reply, Error> {
    let answer = call(gateway, address, PIECES_PATH, ask, limit_ms);
    tokio::pin!(answer);
    loop {
        let pause = tokio::time::sleep(Duration::from_millis(PING_MS));
        tokio::select! {
            body = &mut answer => {
                let malformed = |error: postcard::Error| Error::Malformed(error.to_string());
                return postcard::from_bytes(&body?).map_err(malformed);
            }
            () = pause => {
                call(gateway, address, PING_PATH, &(), PING_MS).await?;
            }
        }
    }
}

/// Tells a host that results aren't needed any more.
pub(super) async fn free(
    gateway: &Gateway,
    address: SocketAddr,
    free: &Free,
    limit_ms: u64,
) -> Result<(), Error> {
    call(gateway, address, FREE_PATH, free, limit_ms).await?;
    Ok(())
}

async fn call<T: Serialize>(
    gateway: &Gateway,
    address: SocketAddr,
    path: &str,
    message: &T,
    limit_ms: u64,
) -> Result<Bytes, Error> {
    let malformed = |error: &dyn std::fmt::Display| Error::Malformed(error.to_string());
    let body = postcard::to_allocvec(message).map_err(|error| malformed(&error))?;
    let request = Request::post(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| malformed(&error))?;
    let peer: Name = format!("peer {address}").into();
    let exchange = async {
        let (response, lease) = gateway
            .pool
            .send(&peer, address, request, Reuse::Any, ANY_NUMBER)
            .await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| malformed(&error))?
            .to_bytes();
        lease.finish();
        if !status.is_success() {
            return Err(Error::Malformed(format!("status {status}")));
        }
        Ok(body)
    };
    let limit = Duration::from_millis(limit_ms);
    let result = tokio::time::timeout(limit, exchange).await;
    result.unwrap_or(Err(Error::Silent(limit_ms)))
}
