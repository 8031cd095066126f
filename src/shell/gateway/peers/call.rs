//! Calls to other hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Serialize;

use super::{
    MAX_BODY_BYTES, Path, SEAL_HEADER,
    message::{
        Ask,
        Free,
        Known,
        Progress,
        Recent,
        Relay,
        Relayed,
        Reply, //
    },
};
use crate::{
    core::gateway::mac::Key,
    edges::gateway::Tail,
    names::Name,
    shell::gateway::{Gateway, upstream},
};

/// Time after which a host that hasn't answered is asked whether it lives, in milliseconds. A call
/// with pieces takes a few hundred milliseconds, and pieces wait for several.
const PING_MS: u64 = 400;

/// Why a host gave no answer.
#[derive(Debug, thiserror::Error)]
pub(in crate::shell::gateway) enum Error {
    /// It can't be reached, or its answer broke off.
    #[error("{0}")]
    Upstream(#[from] upstream::Error),
    /// It said nothing in time.
    #[error("no answer within {0} ms")]
    Silent(u64),
    /// Its answer isn't understood.
    #[error("answer not understood: {0}")]
    Malformed(String),
    /// No heartbeat told its key.
    #[error("key of {0} not known")]
    NoKey(SocketAddr),
    /// Its answer isn't its own.
    #[error("answer without the host's seal")]
    NotSealed,
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

/// Shows that a host lives.
pub(super) async fn ping(gateway: &Gateway, address: SocketAddr) -> Result<(), Error> {
    call(gateway, address, Path::Ping, &(), PING_MS).await?;
    Ok(())
}

/// Asks a host to run pieces, and goes on waiting while it shows that it lives.
pub(in crate::shell::gateway) async fn run_pieces(
    gateway: &Gateway,
    address: SocketAddr,
    ask: &Ask,
    limit_ms: u64,
) -> Result<Reply, Error> {
    let answer = call(gateway, address, Path::Pieces, ask, limit_ms);
    tokio::pin!(answer);
    loop {
        let pause = tokio::time::sleep(Duration::from_millis(PING_MS));
        tokio::select! {
            body = &mut answer => return postcard::from_bytes(&body?).map_err(malformed),
            () = pause => ping(gateway, address).await?,
        }
    }
}

/// Tells a host that results aren't needed any more.
pub(in crate::shell::gateway) async fn free(
    gateway: &Gateway,
    address: SocketAddr,
    free: &Free,
    limit_ms: u64,
) -> Result<(), Error> {
    call(gateway, address, Path::Free, free, limit_ms).await?;
    Ok(())
}

/// Tells a host how far the servers of a service are in this data centre.
pub(in crate::shell::gateway) async fn send_progress(
    gateway: &Gateway,
    address: SocketAddr,
    progress: &Progress,
    limit_ms: u64,
) -> Result<(), Error> {
    call(gateway, address, Path::Progress, progress, limit_ms).await?;
    Ok(())
}

/// Has a host call the store.
pub(in crate::shell::gateway) async fn relay(
    gateway: &Gateway,
    address: SocketAddr,
    relay: &Relay,
    limit_ms: u64,
) -> Result<Relayed, Error> {
    let body = call(gateway, address, Path::Relay, relay, limit_ms).await?;
    postcard::from_bytes(&body).map_err(malformed)
}

/// Asks a host for what it read a moment ago, `None` where that isn't known there or is old.
pub(in crate::shell::gateway) async fn recent(
    gateway: &Gateway,
    address: SocketAddr,
    recent: Recent,
    limit_ms: u64,
) -> Result<Option<Tail>, Error> {
    let body = call(gateway, address, Path::Recent, &recent, limit_ms).await?;
    postcard::from_bytes(&body).map_err(malformed)
}

/// Asks a host what it knows, while this one knows nobody's key.
pub(super) async fn known(
    gateway: &Gateway,
    address: SocketAddr,
    limit_ms: u64,
) -> Result<Known, Error> {
    let limit = Duration::from_millis(limit_ms);
    let result = tokio::time::timeout(limit, exchange(gateway, address, Path::Known, &(), None));
    let body = result.await.unwrap_or(Err(Error::Silent(limit_ms)))?;
    postcard::from_bytes(&body).map_err(malformed)
}

async fn call<T: Serialize>(
    gateway: &Gateway,
    address: SocketAddr,
    path: Path,
    message: &T,
    limit_ms: u64,
) -> Result<Bytes, Error> {
    let key = gateway.hosts.borrow().key_at(address).cloned();
    let key = key.ok_or(Error::NoKey(address))?;
    let limit = Duration::from_millis(limit_ms);
    let result = tokio::time::timeout(
        limit,
        exchange(gateway, address, path, message, Some(&key)), //
    );
    result.await.unwrap_or(Err(Error::Silent(limit_ms)))
}

async fn exchange<T: Serialize>(
    gateway: &Gateway,
    address: SocketAddr,
    path: Path,
    message: &T,
    key: Option<&Key>,
) -> Result<Bytes, Error> {
    let body = postcard::to_allocvec(message).map_err(malformed)?;
    let seal = key.map(|key| super::seal_ask(key, path, &body));
    let mut request = Request::post(path.text()).header(http::header::HOST, address.to_string());
    if let Some(seal) = &seal {
        request = request.header(SEAL_HEADER, &*seal.to_hex());
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .map_err(malformed)?;
    let peer: Name = format!("peer {address}").into();
    let response = gateway
        .pool
        .exchange(&peer, address, request, MAX_BODY_BYTES)
        .await?;
    if !response.status().is_success() {
        let status = response.status();
        return Err(Error::Malformed(format!("status {status}")));
    }
    let answered = super::read_seal(response.headers());
    let body = response.into_body();
    if let (Some(key), Some(seal)) = (key, seal)
        && answered != Some(super::seal_answer(key, &seal, &body))
    {
        return Err(Error::NotSealed);
    }
    Ok(body)
}
