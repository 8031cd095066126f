//! Probes of hosts that are in doubt, and their answers.

use std::net::SocketAddr;

use super::{
    Message,
    send,
    send_to,
    send_to_all, //
};
use crate::{
    core::gateway::hosts::Ack,
    names::Name,
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
        if let Some(helper) = &probe.helper {
            let host = probe.heartbeat.host.clone();
            send(gateway, helper, &Message::ProbeVia { number, host });
        }
    }
    if !transitions.is_empty() {
        gateway.overview.take();
    }
    for transition in transitions {
        gateway.log.write(&Event::Liveness(transition));
    }
}

fn ack(gateway: &Gateway, number: u64) -> Ack {
    Ack {
        number,
        incarnation: gateway.store.incarnation(),
        serving: gateway.schedule().is_none(),
        uptime_ms: gateway.now().as_ms(),
    }
}

/// Answers a probe of another host.
pub(super) fn answer(gateway: &Gateway, from: SocketAddr, number: u64) {
    send_to(gateway, from, &Message::Ack(ack(gateway, number)));
}

/// Answers a probe that a helper has passed on.
pub(super) fn answer_for(gateway: &Gateway, helper: SocketAddr, number: u64, asker: SocketAddr) {
    let ack = ack(gateway, number);
    send_to(gateway, helper, &Message::AckFor { ack, asker });
}

/// Passes a probe of another host on.
pub(super) fn pass_probe(gateway: &Gateway, asker: SocketAddr, number: u64, host: &Name) {
    let hosts = gateway.hosts.borrow();
    if let Some(host) = hosts.get(host) {
        send(
            gateway,
            &host.heartbeat,
            &Message::ProbeFor { number, asker },
        );
    }
}

/// Passes an answer on to the host that asked for it.
pub(super) fn pass_ack(gateway: &Gateway, from: SocketAddr, ack: Ack, asker: SocketAddr) {
    if let Some(host) = name_at(gateway, from) {
        send_to(gateway, asker, &Message::AckVia { ack, host });
    }
}

/// Records the answer of a host.
pub(super) fn record(gateway: &Gateway, from: SocketAddr, ack: &Ack) {
    if let Some(host) = name_at(gateway, from) {
        record_of(gateway, &host, ack);
    }
}

fn name_at(gateway: &Gateway, address: SocketAddr) -> Option<Name> {
    let hosts = gateway.hosts.borrow();
    let host = hosts.at_datagram_address(address);
    host.map(|host| host.heartbeat.host.clone())
}

/// Records the answer of a host, which may have been passed on.
pub(super) fn record_of(gateway: &Gateway, host: &Name, ack: &Ack) {
    let now = gateway.now();
    let is_change = gateway.hosts.borrow_mut().record_ack(now, host, ack);
    if is_change {
        gateway.overview.take();
        gateway.log.write(&Event::Host {
            name: host,
            serving: ack.serving,
        });
    }
}

/// Tells all hosts that this one stops. Its answers and its heartbeat say so to those that don't receive this.
pub(in crate::shell::gateway) fn announce_stop(gateway: &Gateway) {
    let incarnation = gateway.store.incarnation();
    send_to_all(gateway, &Message::Stop { incarnation });
}

/// Records that a host stops.
pub(super) fn record_stop(gateway: &Gateway, from: SocketAddr, incarnation: u64) {
    let Some(name) = name_at(gateway, from) else {
        return;
    };
    let is_news = gateway.hosts.borrow_mut().record_stop(&name, incarnation);
    if is_news {
        gateway.overview.take();
        gateway.log.write(&Event::Host {
            name: &name,
            serving: false,
        });
    }
}
