//! Fetches the initial state from other hosts while the store is unavailable at the start.
//!
//! A host that starts has no keys of others yet, so it asks the hosts that its settings name, and
//! they authenticate it by its address: see `docs/security.md`.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use http::{
    Response,
    StatusCode, //
};

use super::{
    client,
    message::Snapshot, //
};
use crate::{
    core::gateway::hosts::Heartbeat,
    shell::gateway::{
        Gateway,
        forward::Body,
        front::with_status,
        log::Event,
        rollouts,
        store, //
    },
};

/// Interval between two rounds of calls, in milliseconds. The state of hosts changes about as fast as
/// they read the store.
const ROUND_INTERVAL_MS: u64 = 800;

/// Timeout of a call to a host, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 600;

/// Fetches snapshots from the seeds until the store was read, and applies the one of each round
/// that is the least stale.
pub(in crate::shell::gateway) async fn fetch_state(gateway: Rc<Gateway>) {
    while !gateway.store.has_read_all() {
        tokio::time::sleep(Duration::from_millis(ROUND_INTERVAL_MS)).await;
        if !gateway.store.is_failing() {
            continue;
        }
        let seeds = gateway.options.borrow().seeds.clone();
        let own = gateway.options.borrow().listen.peers;
        let mut newest: Option<(SocketAddr, Snapshot)> = None;
        for seed in seeds.into_iter().filter(|&seed| seed != own) {
            match client::fetch_snapshot(&gateway, seed, FETCH_TIMEOUT_MS).await {
                Ok(snapshot) => {
                    if newest
                        .as_ref()
                        .is_none_or(|(_, newest)| snapshot.staleness_ms < newest.staleness_ms)
                    {
                        newest = Some((seed, snapshot));
                    }
                }
                Err(error) => gateway.log.write(&Event::Learned {
                    from: seed,
                    read_ms: 0,
                    error: Some(error.to_string()),
                }),
            }
        }
        if let Some((from, snapshot)) = newest
            && !gateway.store.has_read_all()
        {
            gateway.log.write(&Event::Learned {
                from,
                read_ms: snapshot.staleness_ms,
                error: None,
            });
            store::apply_snapshot(&gateway, snapshot);
        }
    }
}

/// Sends a snapshot to a host that starts, if the caller's IP address is that of a known host.
pub(super) fn serve_snapshot(gateway: &Gateway, to: SocketAddr) -> Response<Body> {
    if !gateway.hosts.borrow().has_ip(to.ip()) {
        gateway.log.write(&Event::Unsealed {
            from: to,
            what: "known",
        });
        return with_status(StatusCode::UNAUTHORIZED, "address of no host");
    }
    let Some(snapshot) = snapshot(gateway) else {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "nothing known yet");
    };
    match postcard::to_allocvec(&snapshot) {
        Ok(body) => with_status(StatusCode::OK, body),
        Err(error) => with_status(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn snapshot(gateway: &Gateway) -> Option<Snapshot> {
    let now = gateway.now();
    let config = gateway.store.config.borrow().clone()?;
    if !gateway.is_ready() {
        return None;
    }
    let servers = gateway.servers.borrow();
    let hosts = gateway.hosts.borrow();
    let without_key = |heartbeat: &Heartbeat| Heartbeat {
        key: None,
        ..heartbeat.clone()
    };
    Some(Snapshot {
        staleness_ms: gateway.store.staleness_ms(now),
        timeline: gateway.store.timeline(),
        config,
        orders: rollouts::order_records(gateway),
        drained: servers.drained().iter().cloned().collect(),
        servers: servers.entries(now),
        hosts: hosts
            .live(now)
            .map(|host| without_key(&host.heartbeat))
            .collect(),
    })
}
