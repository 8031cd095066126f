//! The gateway's sockets and tasks: see `docs/platform-design.md`.
//!
//! One thread runs all tasks, since an entry host has only a share of one core. Tasks share state
//! in cells that are never borrowed across an await.

use std::{
    cell::{
        Cell,
        OnceCell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use anyhow::Context;
use ntex::rt::{
    DefaultRuntime,
    System, //
};
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

use crate::{
    core::gateway::{
        balance::Balancer,
        budget::{
            Allowance,
            Budget, //
        },
        config::Config,
        dispatch::Dispatcher,
        hosts,
        limits as rates,
        mac::Key,
        pause,
        plan,
        quarantine,
        rate::Limiter,
        servers,
        shutdown::Schedule,
        spillover, //
    },
    edges::gateway::Adapter,
    names::Name,
    options::{
        config::LogLevel,
        gateway::Options, //
    },
    shell::{
        clock::draw_incarnation,
        logging, //
    },
    time::Instant,
};

mod clock;
mod datagrams;
mod departures;
mod forward;
mod front;
mod head_limit;
mod limits;
mod log;
mod memory;
mod metrics;
mod net;
mod overview;
mod pauses;
mod peers;
mod quarantines;
mod rollouts;
mod stages;
mod store;
mod upstream;

use clock::Clock;
use log::{
    Event,
    Log, //
};
use metrics::Metrics;
use overview::Overview;

/// Interval between ticks, in milliseconds.
const TICK_MS: u64 = 100;

/// Time without a tick after which the process counts as paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// Time after SIGTERM for which new connections are still accepted, in milliseconds. Callers that
/// looked up addresses shortly before still connect.
const LINGER_MS: u64 = 2_500;

/// Why nothing was sent to a server that is leaving, drained or gone.
const SERVER_UNUSABLE: &str = "server leaving or gone";

/// Reads the settings.
pub type ReadOptions = Box<dyn Fn() -> anyhow::Result<Options>>;

/// State shared by the tasks of a gateway.
pub(crate) struct Gateway {
    options: RefCell<Options>,
    adapter: Arc<dyn Adapter>,
    clock: Clock,
    log: Log,
    metrics: Metrics,
    config: RefCell<Option<Rc<Config>>>,
    servers: RefCell<servers::Table>,
    hosts: RefCell<hosts::Table>,
    balancer: RefCell<Balancer>,
    budget: RefCell<Budget>,
    batchers: RefCell<HashMap<Name, Rc<stages::Batcher>>>,
    free_queue: stages::FreeQueue,
    durations: RefCell<plan::Durations>,
    /// Durations of whole answers after the stages, by route.
    answer_durations: RefCell<plan::Durations>,
    dispatcher: RefCell<Dispatcher>,
    datagrams: datagrams::State,
    overview: RefCell<Option<Rc<Overview>>>,
    spillover: RefCell<spillover::Table>,
    quarantine: RefCell<quarantine::Table>,
    limits: RefCell<rates::Table>,
    pauses: RefCell<pause::Table>,
    // Counts calls with pieces for the rates that servers name.
    stage_limiter: RefCell<Limiter>,
    /// Bytes of responses and of other bodies that are held.
    held: Arc<memory::Memory>,
    sockets: Rc<net::Sockets>,
    pool: Rc<upstream::Pool>,
    store: store::State,
    rollouts: rollouts::State,
    /// Key with which other hosts seal their messages to this host.
    key: OnceCell<Key>,
    callers: front::Connections,
    /// Number of running requests.
    running: Cell<usize>,
    /// Bytes of buffered request bodies.
    buffered_bytes: Cell<usize>,
    /// Schedule of the stop, since SIGTERM.
    shutdown: tokio::sync::watch::Sender<Option<Schedule>>,
    /// Whether connections of callers close after the response in progress.
    draining: tokio::sync::watch::Sender<bool>,
    /// Whether the process is about to exit, so that no request is started any more.
    is_ending: Cell<bool>,
    identity: Identity,
}

/// Identity of this host, which is constant while the process runs.
struct Identity {
    host: Name,
    data_centre: Name,
    region: Name,
}

impl Gateway {
    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Marks a host as suspected, and logs the reason if it wasn't suspected before.
    fn suspect(&self, host: &Name, why: &dyn std::fmt::Display) {
        let now = self.now();
        if self.hosts.borrow_mut().suspect(now, host, true) {
            self.overview.take();
            self.log.write(&Event::Dependency {
                name: host,
                up: false,
                why: &why.to_string(),
            });
        }
    }

    /// Drops what is known about the load and the cache of a server that has left or restarted.
    fn forget_server(&self, id: &Name) {
        self.balancer.borrow_mut().forget(id);
        self.dispatcher.borrow_mut().forget(id);
        self.stage_limiter.borrow_mut().forget(id);
        self.pauses.borrow_mut().forget(id);
    }

    /// Returns the registration of a server if requests may be sent to it, by what this host knows at this
    /// moment. Every request passes this just before it is sent: its server may have been selected by another
    /// host that hasn't heard that the server leaves, or before the request waited.
    fn usable_entry(&self, id: &Name) -> Option<servers::Entry> {
        let servers = self.servers.borrow();
        let server = servers.usable_by_id(id)?;
        rollouts::may_send(self, &server.entry).then(|| server.entry.clone())
    }

    /// Returns the registration of a server.
    fn server_entry(&self, id: &Name) -> Option<servers::Entry> {
        let servers = self.servers.borrow();
        servers.get(id).map(|server| server.entry.clone())
    }

    fn region_of(&self, data_centre: &Name) -> Name {
        self.options.borrow().region_of(data_centre)
    }

    /// Returns the schedule of the stop if the host got SIGTERM.
    fn schedule(&self) -> Option<Schedule> {
        *self.shutdown.borrow()
    }

    /// Returns whether this host can serve callers.
    fn is_ready(&self) -> bool {
        self.schedule().is_none() && self.config.borrow().is_some() && self.store.has_servers.get()
    }
}

/// Runs a gateway until SIGTERM.
///
/// # Errors
///
/// Where the settings are wrong or an address can't be bound.
pub fn run(adapter: Arc<dyn Adapter>, read: ReadOptions) -> anyhow::Result<()> {
    let options = read()?;
    let system = System::new("gateway", DefaultRuntime);
    system.block_on(serve(adapter, options, read))
}

async fn serve(
    adapter: Arc<dyn Adapter>,
    options: Options,
    read: ReadOptions, //
) -> anyhow::Result<()> {
    let gateway = open(adapter, options)?;
    let identity = &gateway.identity;
    gateway.log.write(&Event::Start {
        host: &identity.host,
        data_centre: &identity.data_centre,
    });
    let listeners = front::bind(&gateway)?;
    datagrams::spawn(&gateway).context("can't listen for datagrams")?;
    store::spawn(&gateway);
    front::spawn(&gateway, listeners);
    tokio::task::spawn_local(peers::probe_suspects(gateway.clone()));
    tokio::task::spawn_local(peers::fetch_state(gateway.clone()));
    tokio::task::spawn_local(gateway.sockets.clone().watch());
    tokio::task::spawn_local(tick(gateway.clone()));
    tokio::task::spawn_local(rollouts::run(gateway.clone()));
    tokio::task::spawn_local(reload(gateway.clone(), read));
    let mut terminate = signal(SignalKind::terminate()).context("can't catch SIGTERM")?;
    terminate.recv().await;
    drain(&gateway).await;
    Ok(())
}

fn open(adapter: Arc<dyn Adapter>, options: Options) -> anyhow::Result<Rc<Gateway>> {
    let clock = Clock::start();
    let bounds = options.bounds;
    let budget = Budget::new(Allowance {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window_ms: bounds.retry_window_ms,
    });
    let identity = Identity {
        host: options.host.clone(),
        data_centre: options.data_centre.clone(),
        region: options.region(),
    };
    let logger = logging::open(std::io::stdout(), LogLevel::Info);
    let dispatcher = Dispatcher::new(clock.now(), draw_incarnation());
    let sockets: Rc<net::Sockets> = Rc::default();
    let held = memory::Memory::new(options.process.memory_mb);
    Ok(Rc::new(Gateway {
        options: RefCell::new(options),
        adapter,
        clock,
        log: Log::new(logger, clock),
        metrics: Metrics::open()?,
        config: RefCell::default(),
        servers: RefCell::default(),
        hosts: RefCell::default(),
        balancer: RefCell::default(),
        budget: RefCell::new(budget),
        batchers: RefCell::default(),
        free_queue: stages::FreeQueue::default(),
        durations: RefCell::default(),
        answer_durations: RefCell::default(),
        dispatcher: RefCell::new(dispatcher),
        datagrams: datagrams::State::default(),
        overview: RefCell::default(),
        spillover: RefCell::default(),
        quarantine: RefCell::default(),
        limits: RefCell::default(),
        pauses: RefCell::default(),
        stage_limiter: RefCell::new(Limiter::new(rates::WINDOW_MS)),
        pool: upstream::Pool::new(clock, sockets.clone(), held.clone()),
        held,
        sockets,
        store: store::State::default(),
        rollouts: rollouts::State::default(),
        key: OnceCell::new(),
        callers: front::Connections::default(),
        running: Cell::default(),
        buffered_bytes: Cell::default(),
        shutdown: tokio::sync::watch::Sender::new(None),
        draining: tokio::sync::watch::Sender::new(false),
        is_ending: Cell::default(),
        identity,
    }))
}

/// Runs periodic work, and detects pauses of the process.
async fn tick(gateway: Rc<Gateway>) {
    let mut last = gateway.now();
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now = gateway.now();
        let gap_ms = now.since_ms(last);
        if gap_ms > PAUSE_THRESHOLD_MS {
            gateway.log.write(&Event::Paused { ms: gap_ms });
            // Peers have closed idle connections meanwhile, or may when the next request is sent.
            gateway.pool.close_idle();
            gateway.dispatcher.borrow_mut().resume(now);
        }
        last = now;
        let expired = gateway.servers.borrow_mut().expire(now);
        for id in &expired {
            gateway.forget_server(id);
            gateway.log.write(&Event::Server { id, change: "gone" });
        }
        for name in &gateway.servers.borrow_mut().expire_drains(now) {
            gateway.log.write(&Event::DataCentre { name, out: false });
        }
        let held = u64::try_from(gateway.held.bytes()).unwrap_or(u64::MAX);
        gateway.metrics.held_bytes.record(held, &[]);
        let given_up = gateway.held.take_given_up();
        if given_up > 0 {
            gateway.metrics.given_up.add(given_up, &[]);
        }
        gateway.pool.close_expired();
        datagrams::probe_hosts(&gateway);
        quarantines::expire(&gateway);
        gateway.limits.borrow_mut().expire(clock::unix_ms());
        gateway.pauses.borrow_mut().expire(now);
        stages::tick(&gateway);
    }
}

/// Reloads the settings at SIGHUP.
async fn reload(gateway: Rc<Gateway>, read: ReadOptions) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            let error = Some(error.to_string());
            return gateway.log.write(&Event::Reload { error });
        }
    };
    while hangup.recv().await.is_some() {
        let error = match read() {
            Ok(options) => {
                *gateway.options.borrow_mut() = options;
                None
            }
            Err(error) => Some(format!("{error:#}")),
        };
        gateway.log.write(&Event::Reload { error });
    }
}

/// Drains the host: stops accepting callers, and returns once no request runs and the callers have their responses,
/// or the grace period ends.
async fn drain(gateway: &Rc<Gateway>) {
    let grace_ms = gateway.options.borrow().bounds.grace_ms;
    let schedule = Schedule::new(gateway.now(), grace_ms);
    gateway.shutdown.send_replace(Some(schedule));
    let running = gateway.running.get();
    gateway.log.write(&Event::Stop {
        step: "leaving",
        running,
        undelivered: gateway.callers.undelivered(),
    });
    datagrams::announce_stop(gateway);
    store::announce_leave(gateway).await;
    gateway.draining.send_replace(true);
    while gateway.now() < schedule.exit_at() {
        let lingered = schedule.elapsed_ms(gateway.now()) >= LINGER_MS;
        if lingered && gateway.running.get() == 0 && gateway.callers.undelivered() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    gateway.is_ending.set(true);
    gateway.log.write(&Event::Stop {
        step: "end",
        running: gateway.running.get(),
        undelivered: gateway.callers.undelivered(),
    });
    // Lets the log's thread write its last lines.
    tokio::time::sleep(Duration::from_millis(30)).await;
}
