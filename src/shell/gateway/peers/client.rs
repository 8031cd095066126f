//! Client side of the calls between hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Serialize;

use super::{
    MAC_HEADER, MAX_BODY_BYTES, Path,
    message::{
        Batch,
        Free,
        Progress,
        Recent,
        Relay,
        Relayed,
        Reply,
        Shared,
        Snapshot, //
    },
};
use crate::{
    core::gateway::mac::Key,
    edges::gateway::Record,
    names::Name,
    shell::gateway::{Gateway, upstream},
};

/// Interval of pings to a host while its answer is awaited, and their timeout, in milliseconds. A
/// call with pieces takes a few hundred milliseconds, and pieces can wait for several such calls.
const PING_INTERVAL_MS: u64 = 400;

/// Reason for which a call to a host failed.
#[derive(Debug, thiserror::Error)]
pub(in crate::shell::gateway) enum Error {
    /// The host can't be reached, or its answer is incomplete.
    #[error("{0}")]
    Upstream(#[from] upstream::Error),
    /// The host did not answer within this time, in milliseconds.
    #[error("no answer within {0} ms")]
    Timeout(u64),
    /// The status isn't a success, or a message can't be encoded or decoded.
    #[error("answer not understood: {0}")]
    Malformed(String),
    /// No heartbeat with the key of the host was received.
    #[error("key of {0} not known")]
    NoKey(SocketAddr),
    /// The MAC of the answer is missing or wrong.
    #[error("answer without the host's seal")]
    BadMac,
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}

/// Checks that a host answers.
pub(super) async fn ping(gateway: &Gateway, address: SocketAddr) -> Result<(), Error> {
    call(gateway, address, Path::Ping, &(), PING_INTERVAL_MS).await?;
    Ok(())
}

/// Has a host run pieces.
pub(in crate::shell::gateway) async fn run_pieces(
    gateway: &Gateway,
    address: SocketAddr,
    batch: &Batch,
    timeout_ms: u64,
) -> Result<Reply, Error> {
    let body = call_with_pings(gateway, address, Path::Pieces, batch, timeout_ms).await?;
    postcard::from_bytes(&body).map_err(malformed)
}

/// Calls a host, and pings it while the answer is outstanding, so that a host that failed is detected
/// before the timeout.
async fn call_with_pings<T: Serialize>(
    gateway: &Gateway,
    address: SocketAddr,
    path: Path,
    message: &T,
    timeout_ms: u64,
) -> Result<Bytes, Error> {
    let answer = call(gateway, address, path, message, timeout_ms);
    tokio::pin!(answer);
    loop {
        let pause = tokio::time::sleep(Duration::from_millis(PING_INTERVAL_MS));
        tokio::select! {
            body = &mut answer => return body,
            () = pause => ping(gateway, address).await?,
        }
    }
}

/// Has a host free results.
pub(in crate::shell::gateway) async fn free(
    gateway: &Gateway,
    address: SocketAddr,
    free: &Free,
    timeout_ms: u64,
) -> Result<(), Error> {
    call(gateway, address, Path::Free, free, timeout_ms).await?;
    Ok(())
}

/// Reports the progress of a service in this data centre to a host.
pub(in crate::shell::gateway) async fn send_progress(
    gateway: &Gateway,
    address: SocketAddr,
    progress: &Progress,
    timeout_ms: u64,
) -> Result<(), Error> {
    call(gateway, address, Path::Progress, progress, timeout_ms).await?;
    Ok(())
}

/// Has a host call the store on behalf of this one. The answer to a long poll takes long, and a host that
/// failed must not delay the next try.
pub(in crate::shell::gateway) async fn relay(
    gateway: &Gateway,
    address: SocketAddr,
    relay: &Relay,
    timeout_ms: u64,
) -> Result<Relayed, Error> {
    let body = call_with_pings(gateway, address, Path::Relay, relay, timeout_ms).await?;
    postcard::from_bytes(&body).map_err(malformed)
}

/// Returns the records that a host read recently from a topic.
pub(in crate::shell::gateway) async fn fetch_recent(
    gateway: &Gateway,
    address: SocketAddr,
    recent: Recent,
    timeout_ms: u64,
) -> Result<Shared, Error> {
    let body = call(gateway, address, Path::Recent, &recent, timeout_ms).await?;
    postcard::from_bytes(&body).map_err(malformed)
}

/// Returns the operators' record with the configuration of a host.
pub(in crate::shell::gateway) async fn fetch_config(
    gateway: &Gateway,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Option<Record>, Error> {
    let body = call(gateway, address, Path::Config, &(), timeout_ms).await?;
    postcard::from_bytes(&body).map_err(malformed)
}

/// Returns a snapshot of a host's state. The call has no MAC, since this host has no keys yet.
pub(super) async fn fetch_snapshot(
    gateway: &Gateway,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Snapshot, Error> {
    let timeout = Duration::from_millis(timeout_ms);
    let result = tokio::time::timeout(
        timeout,
        exchange(gateway, address, Path::Snapshot, &(), None),
    );
    let body = result.await.unwrap_or(Err(Error::Timeout(timeout_ms)))?;
    postcard::from_bytes(&body).map_err(malformed)
}

async fn call<T: Serialize>(
    gateway: &Gateway,
    address: SocketAddr,
    path: Path,
    message: &T,
    timeout_ms: u64,
) -> Result<Bytes, Error> {
    let key = gateway.hosts.borrow().key_at(address).cloned();
    let key = key.ok_or(Error::NoKey(address))?;
    let timeout = Duration::from_millis(timeout_ms);
    let result = tokio::time::timeout(
        timeout,
        exchange(gateway, address, path, message, Some(&key)), //
    );
    result.await.unwrap_or(Err(Error::Timeout(timeout_ms)))
}

async fn exchange<T: Serialize>(
    gateway: &Gateway,
    address: SocketAddr,
    path: Path,
    message: &T,
    key: Option<&Key>,
) -> Result<Bytes, Error> {
    let body = postcard::to_allocvec(message).map_err(malformed)?;
    let mac = key.map(|key| super::request_mac(key, path, &body));
    let mut request = Request::post(path.text()).header(http::header::HOST, address.to_string());
    if let Some(mac) = &mac {
        request = request.header(MAC_HEADER, &*mac.to_hex());
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
    let answer_mac = super::read_mac(response.headers());
    let body = response.into_body();
    if let (Some(key), Some(mac)) = (key, mac)
        && answer_mac != Some(super::response_mac(key, &mac, &body))
    {
        return Err(Error::BadMac);
    }
    Ok(body)
}
