//! Sockets with the options common to all connections of the gateway.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net::SocketAddr,
    pin::Pin,
    rc::{
        Rc,
        Weak, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use rustix::ioctl::{
    Getter,
    Opcode,
    ioctl, //
};
use socket2::{
    Domain,
    Protocol,
    SockRef,
    TcpKeepalive,
    Type, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
};

use crate::core::gateway::window::{
    Backlog,
    Window, //
};

/// Length of the queue of connections that aren't accepted yet.
const BACKLOG: i32 = 1_024;

/// Interval at which connections with a backlog are checked, in milliseconds. A fraction of the time after which the
/// system would close one whose peer reads nothing.
const CHECK_INTERVAL_MS: u64 = 400;

/// Request code of `SIOCOUTQ`: the number of bytes in the send buffer of a socket that its peer hasn't
/// acknowledged. The same on the architectures on which Linux numbers terminal requests from 0x5400.
const SIOCOUTQ: Opcode = 0x5411;

/// Request code of `SIOCOUTQNSD`: the number of those bytes that haven't been sent.
const SIOCOUTQNSD: Opcode = 0x894b;

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
    let socket = socket2::Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
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
    set_user_timeout(stream, Window::Open)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(PROBE_INTERVAL_S))
        .with_interval(Duration::from_secs(PROBE_INTERVAL_S))
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Sets the time after which the system closes a connection with unacknowledged bytes.
fn set_user_timeout(stream: &TcpStream, window: Window) -> io::Result<()> {
    let timeout = Duration::from_millis(window.timeout_ms());
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// A connected socket, whose peer may read slowly.
pub struct Socket {
    stream: RefCell<TcpStream>,
    /// Whether bytes were written since the send buffer was last seen empty.
    has_backlog: Cell<bool>,
    window: Cell<Window>,
}

impl Socket {
    /// Returns whether bytes are in the send buffer for a peer that is still there. Where the system doesn't tell,
    /// what it took counts as delivered.
    pub fn has_unacknowledged(&self) -> bool {
        let stream = self.stream.borrow();
        // A socket whose connection was reset or timed out has no peer, but may keep its count.
        stream.peer_addr().is_ok() && queued_bytes::<SIOCOUTQ>(&stream).is_ok_and(|bytes| bytes > 0)
    }

    pub fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buffer)
    }

    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.has_backlog.set(true);
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, bytes)
    }

    pub fn poll_write_vectored(
        &self,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.has_backlog.set(true);
        Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, parts)
    }

    pub fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    pub fn poll_flush(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    pub fn poll_shutdown(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }

    /// Lets a peer wait that has closed its window. The system takes that for a peer that doesn't answer, although
    /// it acknowledges probes.
    fn check_window(&self) {
        if !self.has_backlog.get() {
            return;
        }
        let stream = self.stream.borrow();
        let queued = queued_bytes::<SIOCOUTQ>(&stream);
        let unsent = queued_bytes::<SIOCOUTQNSD>(&stream);
        // Where the system doesn't tell, its timeout stays.
        let (Ok(queued), Ok(unsent)) = (queued, unsent) else {
            return;
        };
        let backlog = Backlog { queued, unsent };
        self.has_backlog.set(!backlog.is_empty());
        let window = backlog.window();
        // A socket that refuses the option has lost its connection, which its next use reports.
        if window != self.window.get() && set_user_timeout(&stream, window).is_ok() {
            self.window.set(window);
        }
    }
}

/// Returns a number of bytes in the send buffer of a socket, by the request code that reads it.
fn queued_bytes<const REQUEST: Opcode>(stream: &TcpStream) -> io::Result<u64> {
    if !cfg!(target_os = "linux") {
        return Err(io::ErrorKind::Unsupported.into());
    }
    // SAFETY: on Linux both request codes of a TCP socket write one `int`.
    let bytes: i32 = unsafe { ioctl(stream, Getter::<REQUEST, i32>::new()) }?;
    u64::try_from(bytes).map_err(io::Error::other)
}

/// The open sockets of a host: to callers, servers, other hosts and the store.
#[derive(Default)]
pub struct Sockets(RefCell<Vec<Weak<Socket>>>);

impl Sockets {
    /// Adds a connected socket, which is checked until it is dropped.
    pub fn insert(&self, stream: TcpStream) -> Rc<Socket> {
        let socket = Rc::new(Socket {
            stream: RefCell::new(stream),
            has_backlog: Cell::default(),
            window: Cell::new(Window::Open),
        });
        self.0.borrow_mut().push(Rc::downgrade(&socket));
        socket
    }

    /// Checks the sockets periodically.
    pub async fn watch(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            self.0.borrow_mut().retain(|socket| {
                let socket = socket.upgrade();
                socket.inspect(|socket| socket.check_window()).is_some()
            });
        }
    }
}
