//! Listeners of the gateway, for callers, lookups, readiness checks, other hosts and metrics.

use std::{
    cell::Cell,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anyhow::Context;
use http::{
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};

use super::{
    Gateway,
    LINGER_MS,
    forward::{
        self,
        Body, //
    },
    log::Event,
    net,
    peers, //
};
use crate::core::gateway::lookup;

mod delivery;
mod slow_head;

pub(super) use delivery::Connections;
use delivery::{
    Connection,
    finish, //
};
use slow_head::{
    Monitor,
    MonitoredStream, //
};

/// Idle timeout of connections until a configuration sets one, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Timeout for the head of a request until a configuration sets one, in milliseconds.
const DEFAULT_HEAD_MS: u64 = 3_000;

/// Read buffer of a connection, in bytes. Must be at least the largest permitted head.
const BUFFER_BYTES: usize = 64 * 1024;

/// Time for which callers cache the response to a lookup, in milliseconds. Short, so that callers
/// soon stop using a host that leaves.
const LOOKUP_TTL_MS: u64 = 2_000;

/// Delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Time after the start for which callers aren't accepted until the host is ready, in milliseconds.
/// Reading the store takes about 100 ms, and callers wait one second for their request to be read.
const START_WAIT_MS: u64 = 500;

/// Interval at which a listener checks whether the host is leaving, in milliseconds.
const LEAVE_POLL_MS: u64 = 200;

/// Interval at which the start checks whether the host is ready, in milliseconds.
const READY_POLL_MS: u64 = 10;

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Callers,
    Ready,
    Lookup,
    Peers,
    Metrics,
}

impl Purpose {
    /// Returns the share of the process's file descriptors that connections of a purpose may take,
    /// in percent. A quarter is left for connections to servers, the store and other hosts.
    fn percent(self) -> u64 {
        match self {
            Self::Callers => 40,
            Self::Lookup => 8,
            // The host that batches pieces for a large data centre gets a call for each of its
            // requests.
            Self::Peers => 25,
            Self::Ready | Self::Metrics => 1,
        }
    }
}

/// Bound sockets and their purposes.
pub(super) struct Listeners(Vec<(Purpose, TcpListener)>);

/// Binds the addresses of all listeners.
pub(super) fn bind(gateway: &Gateway) -> anyhow::Result<Listeners> {
    let listen = gateway.options.borrow().listen;
    let addresses = [
        (Purpose::Callers, listen.callers),
        (Purpose::Ready, listen.ready),
        (Purpose::Lookup, listen.lookup),
        (Purpose::Peers, listen.peers),
        (Purpose::Metrics, listen.metrics),
    ];
    let mut listeners = Vec::new();
    for (purpose, address) in addresses {
        let listener = net::listen(address);
        let listener = listener.with_context(|| format!("can't listen on {address}"))?;
        listeners.push((purpose, listener));
    }
    Ok(Listeners(listeners))
}

/// Starts to accept connections.
pub(super) fn spawn(gateway: &Rc<Gateway>, listeners: Listeners) {
    for (purpose, listener) in listeners.0 {
        tokio::task::spawn_local(accept(gateway.clone(), purpose, listener));
    }
}

/// Waits until the host can serve callers, or until it has to accept and refuse them.
async fn wait_until_ready(gateway: &Gateway) {
    let deadline = gateway.now().after_ms(START_WAIT_MS);
    while !gateway.is_ready() && gateway.now() < deadline {
        tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
    }
}

async fn accept(gateway: Rc<Gateway>, purpose: Purpose, listener: TcpListener) {
    if purpose == Purpose::Callers {
        wait_until_ready(&gateway).await;
    }
    let open = Rc::new(Cell::new(0_u64));
    let descriptors = gateway.options.borrow().process.descriptors;
    let max_open = (descriptors * purpose.percent() / 100).max(1);
    loop {
        let has_lingered = || {
            let schedule = gateway.schedule();
            schedule.is_some_and(|schedule| schedule.elapsed_ms(gateway.now()) >= LINGER_MS)
        };
        if purpose == Purpose::Callers && has_lingered() {
            return;
        }
        let interval = Duration::from_millis(LEAVE_POLL_MS);
        let (stream, from) = match tokio::time::timeout(interval, listener.accept()).await {
            Err(_) => continue,
            Ok(Ok(accepted)) => accepted,
            Ok(Err(_)) => {
                // Out of descriptors, or the connection is closed already.
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        if open.get() >= max_open || net::set_options(&stream).is_err() {
            continue;
        }
        open.set(open.get() + 1);
        let gateway = gateway.clone();
        let open = open.clone();
        tokio::task::spawn_local(async move {
            serve(&gateway, purpose, from, stream).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve(gateway: &Rc<Gateway>, purpose: Purpose, from: SocketAddr, stream: TcpStream) {
    let limits = gateway.config().map(|config| config.limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
    let head_ms = limits.map_or(DEFAULT_HEAD_MS, |limits| limits.head_timeout_ms);
    let monitor = Monitor::new();
    let caller = Connection::new(gateway.sockets.insert(stream));
    let is_caller = purpose == Purpose::Callers;
    let _listed = is_caller.then(|| gateway.callers.insert(&caller));
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        caller.record_request();
        let _guard = monitor.record_head();
        async move {
            let response = answer(gateway, purpose, from, request).await;
            Ok::<_, Infallible>(response.map(|body| slow_head::Answer { body, _guard }))
        }
    });
    let monitored = MonitoredStream {
        connection: caller.clone(),
        monitor: monitor.clone(),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(monitored), service);
    tokio::pin!(connection);
    let mut draining = gateway.draining.subscribe();
    tokio::select! {
        // The error of a caller's connection isn't reported.
        _ = connection.as_mut() => {
            if is_caller {
                finish(&caller).await;
            }
            return;
        }
        () = monitor.wait_for_slow_head(head_ms) => {
            return gateway.log.write(&Event::SlowHead { from });
        }
        _ = draining.wait_for(|draining| *draining && is_caller) => {}
    }
    // The library would close a connection on which nothing has arrived. Its caller has just opened it to send a
    // request, and looked up the address when this host was still named.
    if !caller.has_request() {
        tokio::select! {
            _ = connection.as_mut() => return finish(&caller).await,
            () = caller.first_request() => {}
            () = tokio::time::sleep(Duration::from_millis(LINGER_MS)) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    // Only the connections of callers are drained.
    let _ = connection.await;
    finish(&caller).await;
}

async fn answer(
    gateway: Rc<Gateway>,
    purpose: Purpose,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    match purpose {
        Purpose::Callers => forward::handle(gateway, request).await,
        Purpose::Ready => check_ready(&gateway, &request),
        Purpose::Lookup => look_up(&gateway, &request),
        Purpose::Peers => peers::serve(&gateway, from, request).await,
        Purpose::Metrics => with_status(StatusCode::OK, gateway.metrics.text()),
    }
}

pub(super) fn with_status(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(forward::full_body(body));
    *response.status_mut() = status;
    response
}

fn check_ready(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    if !gateway.adapter.is_ready_path(request.uri().path()) {
        return with_status(StatusCode::NOT_FOUND, "");
    }
    if gateway.is_ready() {
        with_status(StatusCode::OK, "ready")
    } else {
        with_status(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn look_up(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let Some(query) = gateway.adapter.lookup(path) else {
        return with_status(StatusCode::NOT_FOUND, "");
    };
    let now = gateway.now();
    let hosts = gateway.hosts.borrow();
    let addresses = lookup::addresses(now, &hosts, &query.region, &query.data_centre);
    if addresses.is_empty() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "no host serves");
    }
    let ttl_ms = LOOKUP_TTL_MS.min(gateway.options.borrow().bounds.lookup_keep_ms);
    let body = gateway.adapter.lookup_answer(&addresses, ttl_ms);
    let mut response = with_status(StatusCode::OK, body);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
