//! Probes of hosts that are in doubt, and their answers.

use std::net::SocketAddr;

use super::{
    Message,
    send,
    send_to, //
};
use crate::{
    core::gateway::hosts::Ack,
    shell::gateway::{
        Gateway,
        log::Event, //
    },
};

/// Probes the hosts whose last heartbeat or answer isn't young, and logs which hosts began or ceased to count as live.
pub(in crate::shell::gateway) fn probe(gateway: &Gateway) {
    let now = gateway.now();
    let mut hosts = gateway.hosts.borrow_mut();
    let probes = hosts.probes(now, &gateway.identity.host);
    let transitions = hosts.transitions(now);
    drop(hosts);
    for probe in probes {
        let number = probe.number;
        send(gateway, &probe.heartbeat, &Message::Probe { number });
    }
    if !transitions.is_empty() {
        gateway.overview.take();
    }
    for transition in transitions {
        gateway.log.write(&Event::Liveness(transition));
    }
}

/// Answers a probe of another host.
pub(super) fn answer(gateway: &Gateway, from: SocketAddr, number: u64) {
    let ack = Ack {
        number,
        incarnation: gateway.store.incarnation(),
        serving: gateway.schedule().is_none(),
        uptime_ms: gateway.now().as_ms(),
    };
    send_to(gateway, from, &Message::Ack(ack));
}

/// Records the answer of a host.
pub(super) fn record(gateway: &Gateway, from: SocketAddr, ack: &Ack) {
    let now = gateway.now();
    let mut hosts = gateway.hosts.borrow_mut();
    let Some(name) = hosts
        .at_datagram_address(from)
        .map(|host| host.heartbeat.host.clone())
    else {
        return;
    };
    let is_change = hosts.record_ack(now, &name, ack);
    drop(hosts);
    if is_change {
        gateway.overview.take();
        gateway.log.write(&Event::Host {
            name: &name,
            serving: ack.serving,
        });
    }
}
