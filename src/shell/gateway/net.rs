//! Sockets with the options common to all connections of the gateway.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use socket2::{
    Domain,
    Protocol,
    SockRef,
    Socket,
    TcpKeepalive,
    Type, //
};
use tokio::net::{
    TcpListener,
    TcpSocket,
    TcpStream, //
};

/// Length of the queue of connections that aren't accepted yet.
const BACKLOG: i32 = 1_024;

/// Time for which sent bytes may stay unacknowledged, in milliseconds. Distinguishes a peer that
/// lost power or is partitioned from one that is slow.
const UNACKNOWLEDGED_MS: u64 = 1_500;

/// Idle time before the first keepalive probe, and interval between probes, in seconds.
const PROBE_INTERVAL_S: u64 = 1;

/// Unanswered keepalive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// Listens on an address.
///
/// # Errors
///
/// Where the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects within `timeout_ms`.
///
/// # Errors
///
/// Where the peer can't be reached in time.
pub async fn connect(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let limit = Duration::from_millis(timeout_ms);
    let stream = tokio::time::timeout(limit, socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the options of a connected socket.
///
/// # Errors
///
/// Where the system refuses one.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_MS)))?;
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(PROBE_INTERVAL_S))
        .with_interval(Duration::from_secs(PROBE_INTERVAL_S))
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)
}
