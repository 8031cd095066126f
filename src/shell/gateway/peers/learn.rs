//! A host that starts while the store is away learns from others what they know.
//!
//! It has no key of anybody yet, so it is trusted by its address, and asks the hosts that its settings
//! name: see `docs/security.md`.

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
    call,
    message::Known, //
};
use crate::{
    core::gateway::hosts::Heartbeat,
    shell::gateway::{
        Gateway,
        forward::Body,
        front::with_status,
        log::Event,
        store, //
    },
};

/// Pause between two rounds of questions, in milliseconds. What hosts know changes about as fast as
/// they read the store.
const PAUSE_MS: u64 = 800;

/// Time within which a host has to answer, in milliseconds.
const LIMIT_MS: u64 = 600;

/// Asks other hosts for as long as this one has not read the store.
pub(in crate::shell::gateway) async fn learn(gateway: Rc<Gateway>) {
    while !gateway.store.has_read_all() {
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        if !gateway.store.is_failing() {
            continue;
        }
        let seeds = gateway.options.borrow().seeds.clone();
        let own = gateway.options.borrow().listen.peers;
        let mut best: Option<(SocketAddr, Known)> = None;
        for seed in seeds.into_iter().filter(|&seed| seed != own) {
            match call::known(&gateway, seed, LIMIT_MS).await {
                Ok(known) => {
                    if best
                        .as_ref()
                        .is_none_or(|(_, best)| known.read_ms < best.read_ms)
                    {
                        best = Some((seed, known));
                    }
                }
                Err(error) => gateway.log.write(&Event::Learned {
                    from: seed,
                    read_ms: 0,
                    error: Some(error.to_string()),
                }),
            }
        }
        if let Some((from, known)) = best
            && !gateway.store.has_read_all()
        {
            gateway.log.write(&Event::Learned {
                from,
                read_ms: known.read_ms,
                error: None,
            });
            store::learned(&gateway, known);
        }
    }
}

/// Tells a host that just started what this one knows, if its address is that of a host.
pub(super) fn tell(gateway: &Gateway, to: SocketAddr) -> Response<Body> {
    if !gateway.hosts.borrow().has_ip(to.ip()) {
        gateway.log.write(&Event::Unsealed {
            from: to,
            what: "known",
        });
        return with_status(StatusCode::UNAUTHORIZED, "address of no host");
    }
    let Some(known) = known(gateway) else {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "nothing known yet");
    };
    match postcard::to_allocvec(&known) {
        Ok(body) => with_status(StatusCode::OK, body),
        Err(error) => with_status(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn known(gateway: &Gateway) -> Option<Known> {
    let now = gateway.now();
    let config = gateway.store.config.borrow().clone()?;
    if !gateway.is_ready() {
        return None;
    }
    let servers = gateway.servers.borrow();
    let hosts = gateway.hosts.borrow();
    let without_key = |beat: &Heartbeat| Heartbeat {
        key: None,
        ..beat.clone()
    };
    Some(Known {
        read_ms: gateway.store.read_ms(now),
        config,
        out: servers.drained().iter().cloned().collect(),
        servers: servers.entries(now),
        hosts: hosts
            .live(now)
            .map(|host| without_key(&host.heartbeat))
            .collect(),
    })
}
