//! Tells other hosts where parts of prompts were placed, by datagrams.
//!
//! A datagram that is lost costs a prompt that is read twice, so nothing is sent again.

use std::{
    cell::RefCell,
    io,
    rc::Rc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::net::UdpSocket;

use super::Gateway;
use crate::{
    core::gateway::{
        balance::{
            self,
            Segment, //
        },
        cache,
        mac::MAC_BYTES, //
    },
    names::Name,
};

/// Time for which placements are gathered, in milliseconds. A part can be fetched a few hundred
/// milliseconds after it was placed.
const GATHER_MS: u64 = 60;

/// Largest datagram, in bytes.
const MAX_BYTES: usize = 1_300 + MAC_BYTES;

/// Placements in one datagram, as large as two parts and a name make them.
const MAX_PLACEMENTS: usize = 30;

#[derive(Debug, Serialize, Deserialize)]
struct Placement {
    server: Name,
    parts: Vec<cache::Key>,
}

/// Placements that others haven't heard of.
#[derive(Default)]
pub(super) struct Untold(RefCell<Vec<Placement>>);

/// Notes a placement to be told.
pub(super) fn placed(gateway: &Gateway, server: &Name, prompt: &[Segment]) {
    let parts: Vec<cache::Key> = balance::shared_segments(prompt)
        .iter()
        .map(cache::key)
        .collect();
    if parts.is_empty() {
        return;
    }
    gateway.untold.0.borrow_mut().push(Placement {
        server: server.clone(),
        parts,
    });
}

/// Starts to tell and to listen.
pub(super) fn spawn(gateway: &Rc<Gateway>) -> io::Result<()> {
    let address = gateway.options.borrow().listen.gossip;
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    tokio::task::spawn_local(tell(gateway.clone(), socket.clone()));
    tokio::task::spawn_local(listen(gateway.clone(), socket));
    Ok(())
}

async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let placements = gateway.untold.0.take();
        if placements.is_empty() {
            continue;
        }
        let now = gateway.now();
        let hosts: Vec<_> = {
            let hosts = gateway.hosts.borrow();
            let others = hosts
                .live(now)
                .filter(|host| host.heartbeat.host != gateway.identity.host);
            // One whose key isn't known yet hears of later placements.
            let told = others.filter_map(|host| {
                Some((host.heartbeat.datagram_address, host.heartbeat.key.clone()?))
            });
            told.collect()
        };
        for chunk in placements.chunks(MAX_PLACEMENTS) {
            // Placements always serialize, and a datagram that can't be sent is as good as lost.
            let Ok(datagram) = postcard::to_allocvec(chunk) else {
                continue;
            };
            for (host, key) in &hosts {
                let mut datagram = datagram.clone();
                key.sign_datagram(&mut datagram);
                let _ = socket.try_send_to(&datagram, *host);
            }
        }
    }
}

async fn listen(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An unreachable host is told of here, and concerns nobody who listens.
            continue;
        };
        let now = gateway.now();
        let is_host = gateway
            .hosts
            .borrow()
            .live(now)
            .any(|host| host.heartbeat.datagram_address == from);
        let key = gateway.key.get();
        let content = key.and_then(|key| key.verify_datagram(&buffer[..length]));
        let Some(content) = content.filter(|_| is_host) else {
            continue;
        };
        let Ok(placements) = postcard::from_bytes::<Vec<Placement>>(content) else {
            continue;
        };
        let servers = gateway.servers.borrow();
        let mut balancer = gateway.balancer.borrow_mut();
        for Placement { server, parts } in &placements {
            if let Some(server) = servers.get(server) {
                balancer.record_remote(now, &server.entry.id, parts);
            }
        }
    }
}
