//! A running daemon: its threads, its addresses, and how it ends.

use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        atomic::Ordering,
        mpsc, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

use ntex::rt::{
    DefaultRuntime,
    System, //
};
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::oneshot;

use super::{
    Inbox,
    Shell,
    Told,
    clock,
    control,
    exchange,
    http,
    logging,
    metrics,
    peers,
    perform,
    why, //
};
use crate::{
    core::{
        address, host,
        node::{
            self,
            Node,
            Policies, //
        },
    },
    edges::{
        self,
        Factory, //
    },
    options::Options,
    wire::codec::Key,
};

/// Time for which a leaving host serves callers who still hold its address, in milliseconds.
const LINGER_MS: u64 = address::drain_ms();

/// Time between two looks at what is left, in milliseconds.
const LOOK_MS: u64 = 20;

/// Why a daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound.
    #[error("{field} {address}: {error}")]
    Bind {
        /// Field of the settings.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// A thread can't be started.
    #[error("thread: {0}")]
    Thread(#[from] io::Error),
    /// The metrics can't be opened.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// A thread ended before it served.
    #[error("the thread {0} ended before it served")]
    Early(&'static str),
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers and operators.
    pub http: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
}

/// What was left when a daemon ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Left {
    /// Callers who had no answer yet.
    pub unfinished: usize,
}

/// A running daemon, cheap to clone.
#[derive(Clone)]
pub struct Daemon {
    pub(super) shell: Arc<Shell>,
    addresses: Addresses,
    server: ntex::server::Server,
    stop_control: Arc<Mutex<Option<oneshot::Sender<()>>>>,
    threads: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

/// Starts a daemon whose edges speak HTTP, logging to standard output.
///
/// # Errors
///
/// [`Error`] where an address, a thread or the metrics fail.
pub fn spawn(options: Options) -> Result<Daemon, Error> {
    let logger = logging::open(io::stdout(), options.config.log_level);
    spawn_with(options, logger, None)
}

/// Starts a daemon with a log and edges of the caller's.
///
/// # Errors
///
/// As [`spawn`].
pub fn spawn_with(
    options: Options,
    logger: Logger,
    factory: Option<Arc<dyn Factory>>,
) -> Result<Daemon, Error> {
    let config = &options.config;
    let factory = factory.unwrap_or_else(|| {
        let (platform, limits) = (config.platform.clone(), config.limits.clone());
        Arc::new(edges::http::Factory::new(platform, limits))
    });
    let bind_error = |field, address| {
        move |error| Error::Bind {
            field,
            address,
            error,
        }
    };
    let http = config.http_listen.unwrap_or(config.http);
    let peer = config.peer_listen.unwrap_or(config.peer);
    let listener = TcpListener::bind(http).map_err(bind_error("http", http))?;
    let http_address = listener.local_addr()?;
    let bound = peers::bind(peer).map_err(bind_error("peer", peer))?;
    let (sockets, outbox) = bound;
    let (inbox, told) = tokio::sync::mpsc::unbounded_channel();
    let addresses = Addresses {
        http: http_address,
        peer: sockets.address,
    };
    let shell = Arc::new(open(options, logger, addresses, outbox, inbox)?);
    slog::info!(shell.logger, "starting";
        "host" => %shell.node.own().id.name,
        "incarnation" => shell.node.own().id.incarnation,
        "http" => %addresses.http,
        "peer" => %addresses.peer);
    let (stop_control, control) = spawn_control(&shell, sockets, told, factory.clone())?;
    let (server, http) = spawn_http(&shell, listener, factory)?;
    Ok(Daemon {
        shell,
        addresses,
        server,
        stop_control: Arc::new(Mutex::new(Some(stop_control))),
        threads: Arc::new(Mutex::new(vec![control, http])),
    })
}

fn open(
    options: Options,
    logger: Logger,
    addresses: Addresses,
    peers: peers::Outbox,
    inbox: Inbox,
) -> Result<Shell, Error> {
    let config = &options.config;
    let own = host::Host {
        id: host::Id {
            name: config.host.clone(),
            incarnation: clock::draw_incarnation(),
        },
        data_centre: config.data_centre.clone(),
        region: config.region.clone(),
        http: config.http_listen.map_or(addresses.http, |_| config.http),
        peer: config.peer_listen.map_or(addresses.peer, |_| config.peer),
        weight: config.weight,
    };
    let environment = config.environment.clone();
    let node = Node::new(own, environment, Policies::default(), clock::draw_seed());
    Ok(Shell {
        node,
        logger,
        metrics: metrics::Metrics::open()?,
        clock: clock::Clock::start(),
        key: Key::new(&options.secret),
        exchanges: exchange::Exchanges::default(),
        why: why::Store::new(config.limits.why_requests),
        peers,
        lanes: Shell::new_lanes(),
        aborts: Mutex::default(),
        requesters: Mutex::default(),
        next_requester: 0.into(),
        statuses: Mutex::default(),
        last_tick_ms: 0.into(),
        inbox,
        hurry: false.into(),
        stopping: false.into(),
        options,
    })
}

/// Starts the thread for ticks, the platform and peers, and returns what stops it.
fn spawn_control(
    shell: &Arc<Shell>,
    sockets: peers::Sockets,
    told: Told,
    factory: Arc<dyn Factory>,
) -> Result<(oneshot::Sender<()>, JoinHandle<()>), Error> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, is_ready) = mpsc::channel();
    let shell = shell.clone();
    let thread = thread::Builder::new()
        .name("control".to_string())
        .spawn(move || {
            let system = System::new("control", DefaultRuntime);
            system.block_on(async move {
                let opened = perform::open_edges(factory.as_ref()).await;
                if opened.is_err() || peers::spawn(&shell, sockets).is_err() {
                    return;
                }
                control::spawn(&shell, told);
                // Whoever started the daemon may have given up.
                let _ = ready.send(());
                let _ = stopped.await;
                perform::close_edges();
            });
        })?;
    is_ready.recv().map_err(|_| Error::Early("control"))?;
    Ok((stop, thread))
}

/// Starts the HTTP server with its threads.
fn spawn_http(
    shell: &Arc<Shell>,
    listener: TcpListener,
    factory: Arc<dyn Factory>,
) -> Result<(ntex::server::Server, JoinHandle<()>), Error> {
    let (ready, is_ready) = mpsc::channel();
    let shell = shell.clone();
    let thread = thread::Builder::new()
        .name("http".to_string())
        .spawn(move || {
            let system = System::new("http", DefaultRuntime);
            system.block_on(async move {
                match http::serve(&shell, listener, factory) {
                    Ok(server) => {
                        let _ = ready.send(server.clone());
                        // It ends with the server's stop, which is what is wanted.
                        let _ = server.await;
                    }
                    Err(error) => {
                        slog::error!(shell.logger, "no HTTP server"; "error" => %error);
                    }
                }
            });
        })?;
    let server = is_ready.recv().map_err(|_| Error::Early("http"))?;
    Ok((server, thread))
}

impl Daemon {
    /// Returns where the daemon listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns what the daemon's threads share.
    pub fn shell(&self) -> &Arc<Shell> {
        &self.shell
    }

    /// Leaves gracefully: takes no new callers, lets those who came finish, then stops.
    ///
    /// Waits until all is finished or the settings' time is over, and returns what was left.
    pub fn leave(&self) -> Left {
        slog::info!(self.shell.logger, "leaving");
        self.shell.tell(node::Event::Leave);
        let limit_ms = self.shell.options.config.limits.leave_timeout_ms;
        let start = self.shell.now();
        loop {
            thread::sleep(Duration::from_millis(LOOK_MS));
            let waited_ms = self.shell.now().since_ms(start);
            let unfinished = self.shell.exchanges.count();
            let is_done = waited_ms >= LINGER_MS && unfinished == 0 && self.shell.node.is_idle();
            if is_done || waited_ms >= limit_ms || self.shell.must_hurry() {
                slog::info!(self.shell.logger, "left"; "unfinished" => unfinished);
                self.stop(true);
                return Left { unfinished };
            }
        }
    }

    /// Stops at once: sockets are closed and threads end, whatever they were doing.
    pub fn stop_abruptly(&self) {
        self.stop(false);
    }

    fn stop(&self, graceful: bool) {
        if graceful {
            // The last answers are on their way: the server waits until they are written.
            self.stop_server(true);
        }
        self.shell.stopping.store(true, Ordering::Release);
        self.shell.exchanges.close();
        if let Some(stop) = self.stop_control.lock().take() {
            // The thread may have ended already.
            let _ = stop.send(());
        }
        if !graceful {
            self.stop_server(false);
        }
        self.join();
    }

    /// Stops the HTTP server, on a thread of its own because the caller's may have a runtime.
    fn stop_server(&self, graceful: bool) {
        let server = self.server.clone();
        let waiting = thread::spawn(move || {
            System::new("stop", DefaultRuntime)
                .block_on(async move { server.stop(graceful).await });
        });
        if waiting.join().is_err() {
            slog::error!(self.shell.logger, "the HTTP server could not be stopped");
        }
    }

    /// Waits until the daemon's threads have ended.
    pub fn join(&self) {
        let threads: Vec<_> = self.threads.lock().drain(..).collect();
        for thread in threads {
            if thread.join().is_err() {
                slog::error!(self.shell.logger, "a thread panicked");
            }
        }
    }
}
