//! Datagrams between hosts: placements of prompts, and the assignment of requests by dispatchers.
//!
//! A lost datagram is not sent again, except a question to a dispatcher.

use std::{
    cell::OnceCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::net::UdpSocket;

use super::{
    Gateway,
    quarantines,
    rollouts, //
};
use crate::core::gateway::{
    dispatch::{
        Ask,
        Reply,
        Report, //
    },
    hosts::{
        self,
        Heartbeat, //
    },
    limits,
    mac::MAC_BYTES,
    quarantine, //
};
use crate::names::Name;

mod assignments;
mod liveness;
mod placements;

pub(super) use assignments::{
    Answer,
    Lease,
    ask, //
};
pub(super) use liveness::{
    announce_stop,
    probe as probe_hosts, //
};
use placements::Placement;
pub(super) use placements::record_placement;

/// Interval at which collected placements and reports are sent, in milliseconds. A part can be fetched
/// a few hundred milliseconds after it was placed.
const SEND_INTERVAL_MS: u64 = 60;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_300 + MAC_BYTES;

/// Content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Placements(Vec<Placement>),
    Ask {
        number: u64,
        ask: Ask,
    },
    Reply {
        number: u64,
        reply: Reply,
    },
    Reports(Vec<Report>),
    Quarantine(quarantine::Report),
    Limit(limits::Limit),
    Rollout(rollouts::Report),
    /// Asks a host whether it is alive.
    Probe {
        number: u64,
    },
    /// The answer.
    Ack(hosts::Ack),
    /// Asks a host to pass a probe of the sender on to another host.
    ProbeVia {
        number: u64,
        host: Name,
    },
    /// A probe that is passed on, with the address of the host that asks.
    ProbeFor {
        number: u64,
        asker: SocketAddr,
    },
    /// The answer to it, which goes back the same way.
    AckFor {
        ack: hosts::Ack,
        asker: SocketAddr,
    },
    /// An answer that is passed on, with the host that gave it.
    AckVia {
        ack: hosts::Ack,
        host: Name,
    },
    /// Tells that the sender stops.
    Stop {
        incarnation: u64,
    },
}

/// State of the exchange of datagrams.
#[derive(Default)]
pub(super) struct State {
    socket: OnceCell<UdpSocket>,
    placements: placements::Pending,
    assignments: assignments::State,
}

/// Binds the socket, and starts the tasks that send and receive.
pub(super) fn spawn(gateway: &Rc<Gateway>) -> io::Result<()> {
    let address = gateway.options.borrow().listen.gossip;
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(socket)?;
    if gateway.datagrams.socket.set(socket).is_err() {
        return Err(io::Error::other("datagrams are bound already"));
    }
    tokio::task::spawn_local(flush(gateway.clone()));
    tokio::task::spawn_local(receive(gateway.clone()));
    Ok(())
}

/// Sends a message to a host. One whose key isn't known yet gets nothing, as if it were lost.
fn send(gateway: &Gateway, to: &Heartbeat, message: &Message) {
    let (Some(socket), Some(key)) = (gateway.datagrams.socket.get(), &to.key) else {
        return;
    };
    // Encoding can't fail, and a datagram that can't be sent counts as lost.
    let Ok(mut datagram) = postcard::to_allocvec(message) else {
        return;
    };
    key.sign_datagram(&mut datagram);
    let _ = socket.try_send_to(&datagram, to.datagram_address);
}

/// Sends a message to the host at an address for datagrams.
fn send_to(gateway: &Gateway, to: SocketAddr, message: &Message) {
    let hosts = gateway.hosts.borrow();
    if let Some(host) = hosts.at_datagram_address(to) {
        send(gateway, &host.heartbeat, message);
    }
}

/// Sends a report on one crash, or on the parts of one prompt, to all hosts.
pub(super) fn send_report(gateway: &Gateway, report: quarantine::Report) {
    send_to_all(gateway, &Message::Quarantine(report));
}

/// Sends to all hosts what a server says about the rate of requests that it takes.
pub(super) fn send_limit(gateway: &Gateway, limit: limits::Limit) {
    send_to_all(gateway, &Message::Limit(limit));
}

/// Sends the phase of a rollout to all hosts.
pub(super) fn announce_rollout(gateway: &Gateway, report: rollouts::Report) {
    send_to_all(gateway, &Message::Rollout(report));
}

/// Sends what this host knows of a rollout to the host that decides.
pub(super) fn report_rollout(gateway: &Gateway, to: &Heartbeat, report: rollouts::Report) {
    send(gateway, to, &Message::Rollout(report));
}

fn send_to_all(gateway: &Gateway, message: &Message) {
    let hosts = gateway.hosts.borrow();
    for host in hosts.live(gateway.now()) {
        if host.heartbeat.host != gateway.identity.host {
            send(gateway, &host.heartbeat, message);
        }
    }
}

async fn flush(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
        placements::flush(&gateway);
        assignments::flush(&gateway);
    }
}

async fn receive(gateway: Rc<Gateway>) {
    let Some(socket) = gateway.datagrams.socket.get() else {
        return;
    };
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // Also reports hosts that a datagram did not reach, which doesn't matter to the receiver.
            continue;
        };
        let now = gateway.now();
        let is_host = gateway.hosts.borrow().is_live_at(now, from);
        let key = gateway.key.get();
        let content = key.and_then(|key| key.verify_datagram(&buffer[..length]));
        let Some(content) = content else {
            continue;
        };
        // A message of another version is ignored, as if it were lost.
        match postcard::from_bytes(content) {
            Ok(Message::Probe { number }) => liveness::answer(&gateway, from, number),
            Ok(Message::Ack(ack)) => liveness::record(&gateway, from, &ack),
            Ok(Message::ProbeFor { number, asker }) => {
                liveness::answer_for(&gateway, from, number, asker);
            }
            Ok(Message::Stop { incarnation }) => {
                liveness::record_stop(&gateway, from, incarnation);
            }
            // The others are of no use after their senders have ended.
            Ok(_) if !is_host => {}
            Ok(Message::ProbeVia { number, host }) => {
                liveness::pass_probe(&gateway, from, number, &host);
            }
            Ok(Message::AckFor { ack, asker }) => liveness::pass_ack(&gateway, from, ack, asker),
            Ok(Message::AckVia { ack, host }) => liveness::record_of(&gateway, &host, &ack),
            Ok(Message::Placements(placements)) => placements::record(&gateway, &placements),
            Ok(Message::Ask { number, ask }) => assignments::answer(&gateway, from, number, &ask),
            Ok(Message::Reply { number, reply }) => {
                assignments::receive(&gateway, from, number, reply);
            }
            Ok(Message::Reports(reports)) => assignments::record(&gateway, &reports),
            Ok(Message::Rollout(report)) => rollouts::receive(&gateway, from, report),
            Ok(Message::Limit(limit)) => super::limits::merge(&gateway, limit),
            Ok(Message::Quarantine(report)) => quarantines::merge(&gateway, report),
            Err(_) => {}
        }
    }
}
