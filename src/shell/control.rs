//! The control thread: ticks, the host list, and what backend servers say of themselves.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use ntex::rt;
use parking_lot::Mutex;
use tokio::time::{
    MissedTickBehavior,
    interval, //
};

use super::{
    Shell,
    Told,
    perform, //
};
use crate::{
    core::{
        membership::Registration,
        node::{
            Event,
            TICK_MS, //
        },
        routing, //
    },
    edges::Status,
    names::Name,
};

/// Spawns the control thread's tasks on the current thread.
pub(super) fn spawn(shell: &Arc<Shell>, told: Told) {
    rt::spawn(follow_inbox(shell.clone(), told));
    rt::spawn(tick(shell.clone()));
    rt::spawn(follow_hosts(shell.clone()));
    rt::spawn(poll_servers(shell.clone()));
}

/// Steps what other threads told, whose actions need this thread's edges.
async fn follow_inbox(shell: Arc<Shell>, mut told: Told) {
    while let Some(event) = told.recv().await {
        let is_leave = matches!(event, Event::Leave);
        shell.step(event);
        if is_leave {
            register(&shell).await;
        }
    }
}

async fn tick(shell: Arc<Shell>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        shell.step(Event::Tick);
        shell.mark_tick();
        let open = shell.exchanges.count() as u64;
        shell.metrics.open_exchanges.record(open, &[]);
        let age_ms = shell.now().since_ms(shell.node.view().fresh_at);
        shell.metrics.news_age_ms.record(age_ms, &[]);
    }
}

/// Registers this host and reads the others.
async fn follow_hosts(shell: Arc<Shell>) {
    let poll_ms = shell.options.config.limits.host_list_poll_ms;
    let mut polls = interval(Duration::from_millis(poll_ms));
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        polls.tick().await;
        register(&shell).await;
        let Some(edges) = perform::edges() else {
            return;
        };
        match edges.hosts.hosts().await {
            Ok(hosts) => shell.step(Event::HostList(hosts)),
            Err(error) => perform::platform_failed(&shell, "host_list", &error),
        }
    }
}

/// Tells the host list that this host lives or is leaving.
pub(super) async fn register(shell: &Arc<Shell>) {
    let Some(edges) = perform::edges() else {
        return;
    };
    let listed = Registration {
        host: shell.node.own().clone(),
        leaving: shell.node.view().leaving,
    };
    if let Err(error) = edges.hosts.register(&listed).await {
        perform::platform_failed(shell, "host_list", &error);
    }
}

/// Reads the load of all servers, at most one reading of each at a time.
async fn poll_servers(shell: Arc<Shell>) {
    let pending = Arc::new(Mutex::new(HashSet::new()));
    let poll_ms = shell.options.config.limits.load_poll_ms;
    let mut polls = interval(Duration::from_millis(poll_ms));
    polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        polls.tick().await;
        for (pool, server, address) in servers(&shell) {
            if !pending.lock().insert(address) {
                continue;
            }
            let (shell, pending) = (shell.clone(), pending.clone());
            rt::spawn(async move {
                poll_server(&shell, &pool, &server, address).await;
                pending.lock().remove(&address);
            });
        }
    }
}

fn servers(shell: &Shell) -> Vec<(Name, Name, SocketAddr)> {
    let document = shell.node.view().document.clone();
    let mut servers = Vec::new();
    for (pool_name, pool) in &document.pools {
        for (name, server) in &pool.servers {
            servers.push((pool_name.clone(), name.clone(), server.address));
        }
    }
    servers
}

async fn poll_server(shell: &Arc<Shell>, pool: &Name, server: &Name, address: SocketAddr) {
    let Some(edges) = perform::edges() else {
        return;
    };
    match edges.servers.status(address).await {
        Ok(status) => {
            tell_status(shell, pool, server, &status);
            shell.keep_status(pool, server, status);
        }
        Err(error) => {
            slog::debug!(shell.logger, "no load report";
                "server" => %server, "error" => %error);
        }
    }
}

fn tell_status(shell: &Arc<Shell>, pool: &Name, server: &Name, status: &Status) {
    let step = |event| {
        shell.step(Event::Server {
            pool: pool.clone(),
            event,
        });
    };
    step(routing::Event::Load {
        server: server.clone(),
        load: status.load,
    });
    step(routing::Event::Models {
        server: server.clone(),
        models: status.models.clone(),
    });
    for change in &status.cache {
        step(routing::Event::CacheUpdate {
            server: server.clone(),
            prefix: change.prefix,
            cached: change.cached,
        });
    }
}
