//! Gossips to other hosts which servers cache which parts of prompts, by datagrams.
//!
//! Nothing is retransmitted: a lost datagram costs a second read of a prompt.

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

/// Interval at which collected placements are sent, in milliseconds. A part can be fetched a few
/// hundred milliseconds after it was placed.
const SEND_INTERVAL_MS: u64 = 60;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_300 + MAC_BYTES;

/// Maximum number of placements in one datagram, for placements of two parts and a name.
const MAX_PLACEMENTS: usize = 30;

#[derive(Debug, Serialize, Deserialize)]
struct Placement {
    server: Name,
    parts: Vec<cache::Key>,
}

/// Placements that are not sent yet.
#[derive(Default)]
pub(super) struct Pending(RefCell<Vec<Placement>>);

/// Records a placement to be sent.
pub(super) fn record_placement(gateway: &Gateway, server: &Name, prompt: &[Segment]) {
    let parts: Vec<cache::Key> = balance::shared_segments(prompt)
        .iter()
        .map(cache::key)
        .collect();
    if parts.is_empty() {
        return;
    }
    gateway.pending_placements.0.borrow_mut().push(Placement {
        server: server.clone(),
        parts,
    });
}

/// Binds the socket, and starts the tasks that send and receive placements.
pub(super) fn spawn(gateway: &Rc<Gateway>) -> io::Result<()> {
    let address = gateway.options.borrow().listen.gossip;
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(UdpSocket::from_std(socket)?);
    tokio::task::spawn_local(send_placements(gateway.clone(), socket.clone()));
    tokio::task::spawn_local(receive_placements(gateway.clone(), socket));
    Ok(())
}

async fn send_placements(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
        let placements = gateway.pending_placements.0.take();
        if placements.is_empty() {
            continue;
        }
        let now = gateway.now();
        let hosts: Vec<_> = {
            let hosts = gateway.hosts.borrow();
            let others = hosts
                .live(now)
                .filter(|host| host.heartbeat.host != gateway.identity.host);
            // Hosts whose key isn't known yet are left out. They get later placements.
            let recipients = others.filter_map(|host| {
                Some((host.heartbeat.datagram_address, host.heartbeat.key.clone()?))
            });
            recipients.collect()
        };
        for chunk in placements.chunks(MAX_PLACEMENTS) {
            // Encoding placements can't fail, and a datagram that can't be sent counts as lost.
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

async fn receive_placements(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // Also reports hosts that a datagram did not reach, which doesn't matter to the receiver.
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
