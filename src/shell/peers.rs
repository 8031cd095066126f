//! Frames between hosts: datagrams while they are small, else one TCP connection to each peer.
//!
//! A batch on TCP ends with an empty frame, which the receiver echoes. A batch without its echo
//! is sent again on a new connection, so a connection that fell silent loses nothing for long. The
//! core takes frames that come twice: see `docs/wire.md`.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    io,
    net::{
        self,
        SocketAddr, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use ntex::rt;
use parking_lot::Mutex;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Notify,
        mpsc, //
    },
    time::timeout,
};

use super::{
    Shell,
    metrics::label, //
};
use crate::{
    core::{
        host::Host,
        node::Event, //
    },
    wire::{
        Frame,
        MAX_DATAGRAM_BYTES,
        MAX_FRAME_BYTES,
        Message,
        codec, //
    },
};

/// Bytes that wait for one peer. The oldest frames are dropped first.
const QUEUE_BYTES: usize = 8 * 1024 * 1024;

/// Time in which a connection has to open, and a batch to be echoed.
const PROGRESS: Duration = Duration::from_millis(2_000);

/// Pause before a new connection after one failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Time after which an idle connection is closed by its opener.
const IDLE: Duration = Duration::from_secs(10);

/// Time after which a silent connection is closed by its receiver.
const SILENT: Duration = Duration::from_secs(30);

/// Open connections of peers.
const MAX_CONNECTIONS: usize = 1_024;

/// Length prefix of a frame, in bytes. Zero asks for an echo.
const PREFIX_BYTES: usize = 4;

/// Frames that wait for one peer.
#[derive(Default)]
struct Queue {
    frames: Mutex<(VecDeque<Vec<u8>>, usize)>,
    wake: Notify,
}

impl Queue {
    /// Adds a frame and returns how many older ones it pushed out.
    fn push(&self, frame: Vec<u8>) -> u64 {
        let mut dropped = 0;
        let mut frames = self.frames.lock();
        frames.1 += frame.len();
        frames.0.push_back(frame);
        while frames.1 > QUEUE_BYTES {
            let Some(oldest) = frames.0.pop_front() else {
                break;
            };
            frames.1 -= oldest.len();
            dropped += 1;
        }
        drop(frames);
        self.wake.notify_one();
        dropped
    }

    fn take(&self) -> Vec<Vec<u8>> {
        let mut frames = self.frames.lock();
        frames.1 = 0;
        frames.0.drain(..).collect()
    }
}

/// The sending side, which any thread may use.
pub struct Outbox {
    datagrams: net::UdpSocket,
    queues: Mutex<HashMap<SocketAddr, Arc<Queue>>>,
    openings: mpsc::UnboundedSender<(SocketAddr, Arc<Queue>)>,
}

/// The sockets for frames, before their thread runs.
pub struct Sockets {
    datagrams: net::UdpSocket,
    listener: net::TcpListener,
    openings: mpsc::UnboundedReceiver<(SocketAddr, Arc<Queue>)>,
    /// Where other hosts reach them.
    pub address: SocketAddr,
}

/// Binds UDP and TCP to the same port.
///
/// # Errors
///
/// Where the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<(Sockets, Outbox)> {
    const TRIES: usize = 32;
    let mut tries = 0;
    loop {
        let listener = net::TcpListener::bind(address)?;
        let bound = listener.local_addr()?;
        tries += 1;
        let datagrams = match net::UdpSocket::bind(bound) {
            Ok(datagrams) => datagrams,
            // Any free port was wanted, and this one is free for TCP alone.
            Err(_) if address.port() == 0 && tries < TRIES => continue,
            Err(error) => return Err(error),
        };
        listener.set_nonblocking(true)?;
        datagrams.set_nonblocking(true)?;
        let (sender, openings) = mpsc::unbounded_channel();
        let outbox = Outbox {
            datagrams: datagrams.try_clone()?,
            queues: Mutex::default(),
            openings: sender,
        };
        let sockets = Sockets {
            datagrams,
            listener,
            openings,
            address: bound,
        };
        return Ok((sockets, outbox));
    }
}

impl Shell {
    /// Sends a message to another host. It may be lost, and the core expects that.
    pub(super) fn send_frame(&self, to: &Host, message: Message) {
        let frame = Frame {
            from: self.node.own().clone(),
            to: to.id.clone(),
            message,
        };
        let bytes = match codec::encode(&self.key, &frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                slog::warn!(self.logger, "frame not sent"; "error" => %error);
                self.drop_frames("too_large", 1);
                return;
            }
        };
        self.metrics.frame_bytes.add(bytes.len() as u64, &[]);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            self.metrics.frames_sent.add(1, &[label("carrier", "udp")]);
            if self.peers.datagrams.send_to(&bytes, to.peer).is_err() {
                self.drop_frames("datagram_not_sent", 1);
            }
            return;
        }
        self.metrics.frames_sent.add(1, &[label("carrier", "tcp")]);
        let dropped = self.peers.push(to.peer, bytes);
        if dropped > 0 {
            self.drop_frames("queue_full", dropped);
        }
    }

    fn drop_frames(&self, cause: &'static str, count: u64) {
        let labels = [label("cause", cause)];
        self.metrics.frames_dropped.add(count, &labels);
    }

    fn receive(self: &Arc<Self>, bytes: &[u8]) {
        match codec::decode(&self.key, bytes) {
            Ok(frame) => self.step(Event::Frame(Box::new(frame))),
            Err(error) => {
                slog::debug!(self.logger, "frame dropped"; "error" => %error);
                let cause = match error {
                    codec::Error::Truncated { .. } => "truncated",
                    codec::Error::TooLarge { .. } => "too_large",
                    codec::Error::Version { .. } => "version",
                    codec::Error::Tag => "tag",
                    codec::Error::Postcard(_) => "malformed",
                };
                self.drop_frames(cause, 1);
            }
        }
    }
}

impl Outbox {
    fn push(&self, peer: SocketAddr, frame: Vec<u8>) -> u64 {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get(&peer) {
            return queue.push(frame);
        }
        let queue = Arc::new(Queue::default());
        let dropped = queue.push(frame);
        queues.insert(peer, queue.clone());
        // The receiver goes with the daemon, and then nothing is sent any more.
        let _ = self.openings.send((peer, queue));
        dropped
    }

    /// Forgets the queue of an idle peer, unless a frame came meanwhile.
    fn close(&self, peer: SocketAddr, queue: &Queue) -> bool {
        let mut queues = self.queues.lock();
        let is_empty = queue.frames.lock().0.is_empty();
        if is_empty {
            queues.remove(&peer);
        }
        is_empty
    }
}

/// Receives frames and opens connections to peers, until the thread's tasks are dropped.
///
/// # Errors
///
/// Where the sockets can't be used.
pub(super) fn spawn(shell: &Arc<Shell>, sockets: Sockets) -> io::Result<()> {
    let datagrams = UdpSocket::from_std(sockets.datagrams)?;
    let listener = TcpListener::from_std(sockets.listener)?;
    rt::spawn(receive_datagrams(shell.clone(), datagrams));
    rt::spawn(accept(shell.clone(), listener));
    rt::spawn(open_connections(shell.clone(), sockets.openings));
    Ok(())
}

async fn receive_datagrams(shell: Arc<Shell>, socket: UdpSocket) {
    let mut buffer = vec![0; usize::from(u16::MAX)];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => shell.receive(&buffer[..length]),
            // An earlier datagram was refused by its receiver. The socket itself is sound.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

async fn accept(shell: Arc<Shell>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            shell.drop_frames("connection_limit", 1);
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (shell, open) = (shell.clone(), open.clone());
        rt::spawn(async move {
            let ended = receive_stream(&shell, stream).await;
            open.fetch_sub(1, Ordering::Relaxed);
            if let Err(error) = ended {
                slog::debug!(shell.logger, "peer connection ended"; "error" => %error);
            }
        });
    }
}

async fn receive_stream(shell: &Arc<Shell>, mut stream: TcpStream) -> io::Result<()> {
    loop {
        let mut prefix = [0; PREFIX_BYTES];
        timeout(SILENT, stream.read_exact(&mut prefix)).await??;
        let length = u32::from_le_bytes(prefix) as usize;
        if length == 0 {
            timeout(PROGRESS, stream.write_all(&prefix)).await??;
            continue;
        }
        if length > MAX_FRAME_BYTES {
            shell.drop_frames("too_large", 1);
            return Err(io::Error::other("a frame is too large"));
        }
        // Memory grows with what really comes, not with what the prefix promises.
        let mut frame = Vec::new();
        let mut limited = (&mut stream).take(length as u64);
        timeout(SILENT, limited.read_to_end(&mut frame)).await??;
        if frame.len() < length {
            shell.drop_frames("truncated", 1);
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        shell.receive(&frame);
    }
}

async fn open_connections(
    shell: Arc<Shell>,
    mut openings: mpsc::UnboundedReceiver<(SocketAddr, Arc<Queue>)>,
) {
    while let Some((peer, queue)) = openings.recv().await {
        rt::spawn(send_queue(shell.clone(), peer, queue));
    }
}

/// Sends what waits for a peer until nothing came for a while.
async fn send_queue(shell: Arc<Shell>, peer: SocketAddr, queue: Arc<Queue>) {
    let mut batch = Vec::new();
    loop {
        let sent = send_batches(peer, &queue, &mut batch).await;
        match sent {
            Ok(()) if shell.peers.close(peer, &queue) => return,
            Ok(()) => {}
            Err(error) => {
                slog::debug!(shell.logger, "no connection to peer"; "peer" => %peer, "error" => %error);
                tokio::time::sleep(RECONNECT_PAUSE).await;
                // A peer that is gone for good must not be called for ever.
                if batch.is_empty() && shell.peers.close(peer, &queue) {
                    return;
                }
                drop_stale(&shell, &queue, &mut batch);
            }
        }
    }
}

/// Drops a batch behind which a full queue has gathered.
fn drop_stale(shell: &Shell, queue: &Queue, batch: &mut Vec<Vec<u8>>) {
    let waiting = queue.frames.lock().1;
    if waiting >= QUEUE_BYTES / 2 || !shell.knows_peer_of(batch) {
        shell.drop_frames("peer_unreachable", batch.len() as u64);
        batch.clear();
    }
}

impl Shell {
    /// Returns whether a batch is worth another try: whether any member is left to send to.
    fn knows_peer_of(&self, batch: &[Vec<u8>]) -> bool {
        !batch.is_empty() && !self.node.view().members.is_empty()
    }
}

async fn send_batches(peer: SocketAddr, queue: &Queue, batch: &mut Vec<Vec<u8>>) -> io::Result<()> {
    let mut stream = timeout(PROGRESS, TcpStream::connect(peer)).await??;
    stream.set_nodelay(true)?;
    loop {
        if batch.is_empty() {
            *batch = queue.take();
        }
        if batch.is_empty() {
            if timeout(IDLE, queue.wake.notified()).await.is_err() {
                return Ok(());
            }
            continue;
        }
        timeout(PROGRESS, send_batch(&mut stream, batch)).await??;
        batch.clear();
    }
}

async fn send_batch(stream: &mut TcpStream, batch: &[Vec<u8>]) -> io::Result<()> {
    for frame in batch {
        // Frames are bounded far below what the prefix can say.
        let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
        stream.write_all(&length.to_le_bytes()).await?;
        stream.write_all(frame).await?;
    }
    let mut echo = [0; PREFIX_BYTES];
    stream.write_all(&echo).await?;
    stream.read_exact(&mut echo).await?;
    Ok(())
}
