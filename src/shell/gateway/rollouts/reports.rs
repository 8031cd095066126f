//! Messages between hosts about open orders.
//!
//! Each host sends its answers and its confirmation to the decider, and the decider sends the phase to all
//! hosts, by datagram and while an order is open. Heartbeats contain the phase and the confirmation for
//! hosts that datagrams don't reach.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Gateway,
    Service,
    adopt_age,
    adopt_phase,
    deciding,
    is_active,
    report_of, //
};
use crate::{
    core::gateway::{
        hosts,
        rollout::{
            Phase,
            decider::Event,
            evidence::Digest, //
        },
    },
    names::Name,
    shell::gateway::datagrams,
};

/// Time for which the decider repeats a final phase, in milliseconds, for hosts that a datagram did not
/// reach. They read it from the store as well.
const FINAL_REPEAT_MS: u64 = 2_000;

/// What a host says about an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(in crate::shell::gateway) struct Report {
    /// The order and its phase at the host.
    rollout: hosts::Rollout,
    /// Start of the host.
    incarnation: u64,
    /// Answers that the host got, if it reports to the decider.
    digest: Option<Digest>,
}

/// Sends what this host has to say about the order of a service: to the decider, or to all if it decides.
pub(super) fn send(gateway: &Gateway, name: &Name) {
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let Some(service) = services.get_mut(name) else {
        return;
    };
    let Some(mut own) = report_of(gateway, service, now) else {
        return;
    };
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    let settled_ms = rollout.settled_at.map(|at| now.since_ms(at));
    let is_deciding = rollout.decider.is_some();
    if settled_ms.is_some_and(|ms| !is_deciding || ms >= FINAL_REPEAT_MS) {
        return;
    }
    let incarnation = gateway.store.incarnation();
    if is_deciding {
        if let Some((phase, is_written)) = rollout.announcement
            && settled_ms.is_none()
        {
            (own.phase, own.is_written) = (phase, is_written);
        }
        let report = Report {
            rollout: own,
            incarnation,
            digest: None,
        };
        drop(services);
        return datagrams::announce_rollout(gateway, report);
    }
    let digest = rollout.evidence.digest();
    drop(services);
    let report = Report {
        rollout: own,
        incarnation,
        digest: Some(digest),
    };
    if let Some(decider) = deciding::decider(gateway, name) {
        datagrams::report_rollout(gateway, &decider, report);
    }
}

/// Receives what another host says.
pub(in crate::shell::gateway) fn receive(gateway: &Gateway, from: SocketAddr, report: Report) {
    let host = {
        let hosts = gateway.hosts.borrow();
        let host = hosts.at_datagram_address(from);
        host.map(|host| host.heartbeat.host.clone())
    };
    let Some(host) = host.filter(|_| is_active(gateway)) else {
        return;
    };
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let Some(service) = services.get_mut(&report.rollout.service) else {
        return;
    };
    merge(gateway, service, &report.rollout);
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    if rollout.order.id != report.rollout.order {
        return;
    }
    let incarnation = report.incarnation;
    if let Some(digest) = report.digest {
        let host = host.clone();
        let event = Event::Evidence {
            host,
            incarnation,
            digest,
        };
        deciding::feed(gateway, rollout, now, event);
    }
    if let Some(in_flight_old) = report.rollout.in_flight_old {
        let event = Event::HostConfirmed {
            host,
            incarnation,
            in_flight_old,
        };
        deciding::feed(gateway, rollout, now, event);
    }
}

/// Adopts the phase and the age of an order that another host states.
fn merge(gateway: &Gateway, service: &mut Service, stated: &hosts::Rollout) {
    let now = gateway.now();
    let is_same = |order: u64| order == stated.order;
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    if !is_same(rollout.order.id) || rollout.gone_at.is_some() {
        return;
    }
    adopt_age(gateway, rollout, now, stated.age_ms);
    // A host that decides takes final phases from the store only, except that an announced reversal is never
    // taken back.
    if rollout.decider.is_none() {
        adopt_phase(gateway, service, now, stated.phase, stated.is_written);
    } else if stated.phase == Phase::Reverted {
        deciding::feed(gateway, rollout, now, Event::HostReverted);
    }
}

/// Returns the rollouts in the next heartbeat of this host.
pub(in crate::shell::gateway) fn heartbeat_rollouts(gateway: &Gateway) -> Vec<hosts::Rollout> {
    if !is_active(gateway) {
        return Vec::new();
    }
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let open = services.values_mut().filter(|service| {
        let rollout = service.rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.is_open())
    });
    open.filter_map(|service| report_of(gateway, service, now))
        .collect()
}

/// Merges the rollouts in a heartbeat of another host.
pub(in crate::shell::gateway) fn merge_heartbeat(gateway: &Gateway, heartbeat: &hosts::Heartbeat) {
    if !is_active(gateway) {
        return;
    }
    for stated in &heartbeat.rollouts {
        let now = gateway.now();
        let mut services = gateway.rollouts.services.borrow_mut();
        let Some(service) = services.get_mut(&stated.service) else {
            continue;
        };
        merge(gateway, service, stated);
        let Some(rollout) = &mut service.rollout else {
            continue;
        };
        let Some(in_flight_old) = stated.in_flight_old else {
            continue;
        };
        if rollout.order.id == stated.order {
            let event = Event::HostConfirmed {
                host: heartbeat.host.clone(),
                incarnation: heartbeat.incarnation,
                in_flight_old,
            };
            deciding::feed(gateway, rollout, now, event);
        }
    }
}
