//! What the gateway listens on: callers, lookups, readiness, other hosts, metrics.

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

mod pace;

use pace::{
    Pace,
    Watched, //
};

/// Longest time for which a connection may be idle before a configuration says so, in milliseconds.
const IDLE_MS: u64 = 15_000;

/// Time for which a head may take before a configuration says so, in milliseconds.
const HEAD_MS: u64 = 3_000;

/// Bytes that a connection buffers, at least the largest head.
const BUFFER_BYTES: usize = 64 * 1024;

/// Time for which callers keep an answer to a lookup, in milliseconds. Short, so that a host that
/// leaves is soon left alone.
const KEEP_MS: u64 = 2_000;

/// Pause after a connection can't be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Time after the start for which callers wait to be taken until the host is ready, in milliseconds.
/// Reading the store takes about a tenth of a second, and callers wait for a second to be read.
const FIRST_MS: u64 = 500;

/// Time after which a listener looks whether the host has left, in milliseconds.
const ACCEPT_WAIT_MS: u64 = 200;

/// Pause before it is looked again whether the host is ready, in milliseconds.
const READY_PAUSE_MS: u64 = 10;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Callers,
    Ready,
    Lookup,
    Peers,
    Metrics,
}

impl Purpose {
    /// Returns the part of the process's descriptors that connections of a purpose may take, in percent.
    /// A quarter is left for connections to servers, the store and other hosts.
    fn percent(self) -> u64 {
        match self {
            Self::Callers => 40,
            Self::Lookup => 8,
            // The host that gathers pieces for a large data centre has a call of each of its requests.
            Self::Peers => 25,
            Self::Ready | Self::Metrics => 1,
        }
    }
}

/// Sockets that listen.
pub(super) struct Listeners(Vec<(Purpose, TcpListener)>);

/// Binds all addresses.
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

/// Waits until the host can serve callers, or has to tell them that it can't.
async fn wait_until_ready(gateway: &Gateway) {
    let last = gateway.now().after_ms(FIRST_MS);
    while !gateway.is_ready() && gateway.now() < last {
        tokio::time::sleep(Duration::from_millis(READY_PAUSE_MS)).await;
    }
}

async fn accept(gateway: Rc<Gateway>, purpose: Purpose, listener: TcpListener) {
    if purpose == Purpose::Callers {
        wait_until_ready(&gateway).await;
    }
    let open = Rc::new(Cell::new(0_u64));
    let descriptors = gateway.options.borrow().process.descriptors;
    let most = (descriptors * purpose.percent() / 100).max(1);
    loop {
        let is_over = || {
            let left = gateway.leaving.get();
            left.is_some_and(|at| gateway.now().since_ms(at) >= LINGER_MS)
        };
        if purpose == Purpose::Callers && is_over() {
            return;
        }
        let wait = Duration::from_millis(ACCEPT_WAIT_MS);
        let (stream, from) = match tokio::time::timeout(wait, listener.accept()).await {
            Err(_) => continue,
            Ok(Ok(accepted)) => accepted,
            Ok(Err(_)) => {
                // Out of descriptors, or the connection is gone already.
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                continue;
            }
        };
        if open.get() >= most || net::prepare(&stream).is_err() {
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
    let idle_ms = limits.map_or(IDLE_MS, |limits| limits.idle_timeout_ms);
    let head_ms = limits.map_or(HEAD_MS, |limits| limits.head_timeout_ms);
    let pace = Pace::new();
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        let _busy = pace.head_came();
        async move {
            let response = answer(gateway, purpose, from, request).await;
            Ok::<_, Infallible>(response.map(|body| pace::Answer { body, _busy }))
        }
    });
    let watched = Watched {
        stream,
        pace: pace.clone(),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(watched), service);
    tokio::pin!(connection);
    let mut left = gateway.left.subscribe();
    let is_caller = purpose == Purpose::Callers;
    tokio::select! {
        // How a caller's connection ends is the caller's matter.
        _ = connection.as_mut() => return,
        () = pace.wait_for_slow_head(head_ms) => {
            return gateway.log.write(&Event::SlowHead { from });
        }
        _ = left.wait_for(|left| *left && is_caller) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(
    gateway: Rc<Gateway>,
    purpose: Purpose,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    match purpose {
        Purpose::Callers => forward::handle(gateway, request).await,
        Purpose::Ready => ready(&gateway, &request),
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

fn ready(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
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
    let Some(ask) = gateway.adapter.lookup(path) else {
        return with_status(StatusCode::NOT_FOUND, "");
    };
    let now = gateway.now();
    let addresses = lookup::addresses(now, &gateway.hosts.borrow(), &ask.region);
    if addresses.is_empty() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "no host serves");
    }
    let keep_ms = KEEP_MS.min(gateway.options.borrow().bounds.lookup_keep_ms);
    let body = gateway.adapter.lookup_answer(&addresses, keep_ms);
    let mut response = with_status(StatusCode::OK, body);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
