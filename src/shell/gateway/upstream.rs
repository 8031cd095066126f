//! Connections to servers, the store and other hosts.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request, Response,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
};
use http_body_util::Full;
use hyper::{
    body::{
        Frame,
        Incoming,
        SizeHint, //
    },
    client::conn::http1::{
        self,
        SendRequest, //
    }, //
};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use super::{
    clock::Clock,
    head_limit::{
        self,
        Progress, //
    },
    memory::Memory,
    net, //
};
use crate::{
    core::gateway::{
        balance::hash_bytes,
        holding::Purpose, //
    },
    edges::gateway::Call,
    names::Name,
    time::Instant, //
};

/// Connect timeout, in milliseconds. Covers one lost packet and two long round trips.
const CONNECT_MS: u64 = 600;

/// Longest time for which an idle connection is kept, and the time for peers that announce none, in
/// milliseconds.
const MAX_IDLE_MS: u64 = 8_000;

/// Time before the peer's announced idle timeout at which a connection is closed, in milliseconds.
const IDLE_MARGIN_MS: u64 = 800;

/// No limit on connections to a peer. The store and other hosts set none, and a server of stages
/// gets one call at a time.
pub const UNLIMITED: usize = usize::MAX;

/// Maximum number of idle connections to one peer.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Time within which a connection has to become ready for the next request, in milliseconds.
const READY_MS: u64 = 300;

/// Read buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing of the request left this host.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request was sent, and the connection ended or timed out.
    #[error("lost: {0}")]
    Lost(String),
    /// Nothing of the request left this host, since the peer must not get it any more.
    #[error("held back")]
    HeldBack,
}

/// Why the body of a response ended early.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// Its length isn't stated, and it ended with the connection before the whole request was written. A server that
    /// breaks off ends it in the same way.
    #[error("ended before the request was written")]
    Early,
}

/// Body of a response.
pub struct Body {
    incoming: Incoming,
    progress: Progress,
    // Whether it ends with the connection.
    is_unframed: bool,
}

impl Body {
    fn new(response: Response<Incoming>, progress: &Progress) -> Response<Self> {
        let framing = [CONTENT_LENGTH, TRANSFER_ENCODING];
        let headers = response.headers();
        let is_unframed = !framing.iter().any(|name| headers.contains_key(name));
        response.map(|incoming| Self {
            incoming,
            progress: progress.clone(),
            is_unframed,
        })
    }

    /// Returns whether the body ends with the connection, since its length isn't stated.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if frame.is_none() && self.is_unframed && !self.progress.is_written() {
            return Poll::Ready(Some(Err(BodyError::Early)));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        !self.is_unframed && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any open connection.
    Any,
    /// A connection that was idle for at most this many milliseconds, or a new one. The peer may
    /// close a connection that was idle for longer just as the request is sent.
    IdleAtMost(u64),
}

/// An open connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    progress: Progress,
    // Hash of the last answer that was checked for being a copy.
    last_answer: Option<u64>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Aborts a connection's task on drop unless disarmed.
struct AbortOnDrop(Option<AbortHandle>);

impl AbortOnDrop {
    fn disarm(mut self) -> Option<AbortHandle> {
        self.0.take()
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

/// Counts a connection as open until this is dropped.
struct Open {
    pool: Rc<Pool>,
    peer: Name,
}

impl Open {
    fn new(pool: &Rc<Pool>, peer: &Name) -> Self {
        *pool.open.borrow_mut().entry(peer.clone()).or_default() += 1;
        Self {
            pool: pool.clone(),
            peer: peer.clone(),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut open = self.pool.open.borrow_mut();
        if let Some(count) = open.get_mut(&self.peer) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.peer);
            }
        }
    }
}

/// Pool of connections by peer.
pub struct Pool {
    clock: Clock,
    sockets: Rc<net::Sockets>,
    memory: Arc<Memory>,
    open: RefCell<HashMap<Name, usize>>,
    idle: RefCell<HashMap<Name, Vec<IdleConnection>>>,
}

/// A connection that is receiving a response. Dropping the lease closes the connection, which tells
/// the peer that the response is no longer awaited.
pub struct Lease {
    pool: Rc<Pool>,
    peer: Name,
    connection: Option<Connection>,
    keep_ms: u64,
    is_reused: bool,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
    }
}

impl Lease {
    /// Returns whether the body of the answer is that of the last one on this connection, and remembers it. For
    /// answers that don't name their request, but differ from each other.
    pub fn is_repeated(&mut self, body: &[u8]) -> bool {
        let Some(connection) = &mut self.connection else {
            return false;
        };
        let hash = hash_bytes(&[body]);
        connection.last_answer.replace(hash) == Some(hash)
    }

    /// Returns whether the connection has carried another request before, whose server may send a second response to
    /// it where this one is expected.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the connection to the pool after its response was read completely.
    pub fn finish(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let pool = self.pool.clone();
        let peer = self.peer.clone();
        let keep_ms = self.keep_ms;
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(READY_MS);
            let ready = tokio::time::timeout(limit, connection.sender.ready());
            if keep_ms > 0 && matches!(ready.await, Ok(Ok(()))) {
                pool.put(peer, connection, keep_ms);
            } else {
                connection.task.abort();
            }
        });
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: Clock, sockets: Rc<net::Sockets>, memory: Arc<Memory>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            sockets,
            memory,
            open: RefCell::default(),
            idle: RefCell::default(),
        })
    }

    fn put(&self, peer: Name, connection: Connection, keep_ms: u64) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(peer).or_default();
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            let oldest = idle.remove(0);
            oldest.connection.task.abort();
        }
        idle.push(IdleConnection {
            connection,
            since: now,
            until: now.after_ms(keep_ms),
        });
    }

    fn take(&self, peer: &str, reuse: Reuse) -> Option<Connection> {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(peer)?;
        while let Some(last) = idle.pop() {
            let is_reusable = match reuse {
                Reuse::Any => true,
                Reuse::IdleAtMost(ms) => now.since_ms(last.since) <= ms,
            };
            let sender = &last.connection.sender;
            if now >= last.until || sender.is_closed() || !sender.is_ready() {
                last.connection.task.abort();
                continue;
            }
            if is_reusable {
                return Some(last.connection);
            }
            idle.push(last);
            return None;
        }
        None
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for (_, idle) in self.idle.borrow_mut().drain() {
            for idle in idle {
                idle.connection.task.abort();
            }
        }
    }

    /// Closes connections whose idle time has expired, and removes peers without any.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| {
                let keep = now < idle.until && !idle.connection.sender.is_closed();
                if !keep {
                    idle.connection.task.abort();
                }
                keep
            });
            !idle.is_empty()
        });
    }

    /// Closes idle connections to a peer until one more stays within `max_open`.
    fn make_room(&self, peer: &str, max_open: usize) {
        let open = self.open.borrow().get(peer).copied().unwrap_or(0);
        let surplus = (open + 1).saturating_sub(max_open);
        if let Some(idle) = self.idle.borrow_mut().get_mut(peer) {
            let surplus = surplus.min(idle.len());
            for oldest in idle.drain(..surplus) {
                oldest.connection.task.abort();
            }
        }
    }

    async fn open(
        self: &Rc<Self>,
        peer: &Name,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<Connection, Error> {
        self.make_room(peer, max_open);
        let open = Open::new(self, peer);
        let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
        let stream = net::connect(address, CONNECT_MS)
            .await
            .map_err(|error| not_sent(&error))?;
        let (stream, progress) = head_limit::Stream::new(self.sockets.insert(stream));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(&error))?;
        let task = tokio::task::spawn_local(async move {
            let _open = open;
            // The task that awaits the response sees the error.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            progress,
            last_answer: None,
        })
    }

    /// Sends a repeatable request to a peer without a limit on connections, and reads the complete
    /// response of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Error`], also where the response is truncated or larger.
    pub async fn exchange(
        self: &Rc<Self>,
        peer: &Name,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        self.exchange_unless(peer, address, request, max_bytes, &|| false)
            .await
    }

    /// Like [`Self::exchange`], unless `is_held_back` holds when the connection is open: see [`Self::send`].
    ///
    /// # Errors
    ///
    /// [`Error`], also where the response is truncated or larger.
    pub async fn exchange_unless(
        self: &Rc<Self>,
        peer: &Name,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        is_held_back: &dyn Fn() -> bool,
    ) -> Result<Response<Bytes>, Error> {
        let (response, lease) = self
            .send(
                peer,
                address,
                request,
                Reuse::Any,
                UNLIMITED,
                is_held_back, //
            )
            .await?;
        let (head, body) = response.into_parts();
        let body = self.memory.collect(Purpose::Control, body, max_bytes).await;
        let body = body.map_err(|error| Error::Lost(format!("answer broke off: {error}")))?;
        lease.finish();
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request and returns its response with the body unread. Idle connections to the peer
    /// are closed where more than `max_open` would be open.
    ///
    /// `is_held_back` is asked just before the request is handed to a connection, since opening one takes up to
    /// [`CONNECT_MS`]: the peer may have asked for a pause meanwhile.
    ///
    /// # Errors
    ///
    /// [`Error`], which tells whether anything of the request left this host.
    pub async fn send(
        self: &Rc<Self>,
        peer: &Name,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        max_open: usize,
        is_held_back: &dyn Fn() -> bool,
    ) -> Result<(Response<Body>, Lease), Error> {
        loop {
            let reused = self.take(peer, reuse);
            let is_new = reused.is_none();
            let Connection {
                mut sender,
                task,
                progress,
                last_answer,
            } = match reused {
                Some(connection) => connection,
                None => self.open(peer, address, max_open).await?,
            };
            // Closes the connection if dropped before the response, such as when the caller
            // disconnects.
            let mut lease = Lease {
                pool: self.clone(),
                peer: peer.clone(),
                connection: None,
                keep_ms: 0,
                is_reused: !is_new,
            };
            let abort = AbortOnDrop(Some(task));
            if is_held_back() {
                return Err(Error::HeldBack);
            }
            progress.start();
            match sender.try_send_request(request).await {
                Ok(response) => {
                    progress.lift_limit();
                    lease.keep_ms = keep_ms(&response);
                    let response = Body::new(response, &progress);
                    lease.connection = abort.disarm().map(|task| Connection {
                        sender,
                        task,
                        progress,
                        last_answer,
                    });
                    return Ok((response, lease));
                }
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before the request was sent, so another can
                    // carry it.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => return Err(Error::NotSent(error.into_error().to_string())),
                    None => return Err(Error::Lost(error.into_error().to_string())),
                },
            }
        }
    }
}

/// Converts a call to an HTTP request for an address.
pub fn request(address: SocketAddr, call: Call) -> http::Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address.to_string());
    if let Some(kind) = call.content_type {
        request = request.header(http::header::CONTENT_TYPE, kind);
    }
    request.body(Full::new(call.body))
}

fn keep_ms(response: &Response<Incoming>) -> u64 {
    let header = |name: http::HeaderName| {
        let value = response.headers().get(name)?;
        value.to_str().ok()
    };
    if header(http::header::CONNECTION).is_some_and(|text| text.eq_ignore_ascii_case("close")) {
        return 0;
    }
    let seconds: Option<u64> = header(http::HeaderName::from_static("keep-alive"))
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|text| text.parse().ok());
    match seconds {
        Some(seconds) => (seconds * 1_000)
            .saturating_sub(IDLE_MARGIN_MS)
            .min(MAX_IDLE_MS),
        None => MAX_IDLE_MS,
    }
}
