//! Runs the decider of an order, at the host that decides.

use std::{
    collections::BTreeSet,
    rc::Rc, //
};

use super::{
    Gateway,
    Rollout,
    adopt_phase,
    in_flight_old,
    log_step,
    phase_text,
    version_of, //
};
use crate::{
    core::gateway::{
        hosts::Heartbeat,
        rollout::{
            Decider,
            Phase,
            decider::{
                Action,
                Event,
                State, //
            }, //
        },
    },
    edges::gateway::Status,
    names::Name,
    shell::gateway::store,
    time::Instant,
};

/// Prefix of the task of deciding on the order of a service, in the selection of its host.
const TASK: &str = "rollout/";

/// Returns the host that decides on the order of a service, as far as this host knows.
pub(super) fn decider(gateway: &Gateway, service: &Name) -> Option<Heartbeat> {
    let hosts = gateway.hosts.borrow();
    let task = format!("{TASK}{service}");
    let deciders = hosts.coordinators(gateway.now(), &task, |_| true);
    deciders.first().map(|&heartbeat| heartbeat.clone())
}

/// Returns whether no order of a service is open. Records of orders may stay for days after their end, and
/// what the decider needs grows with hosts and servers.
fn is_settled(gateway: &Gateway, name: &Name) -> bool {
    let services = gateway.rollouts.services.borrow();
    let rollout = services
        .get(name)
        .and_then(|service| service.rollout.as_ref());
    rollout.is_none_or(|rollout| rollout.is_settled)
}

/// Runs the periodic work of the decider, if this host decides on the order of a service.
pub(super) fn step(gateway: &Rc<Gateway>, name: &Name) {
    if is_settled(gateway, name) {
        return;
    }
    let is_decider =
        decider(gateway, name).is_some_and(|decider| decider.host == gateway.identity.host);
    let now = gateway.now();
    let hosts = hosts_event(gateway, now);
    let servers = servers_event(gateway, name);
    let incarnation = gateway.store.incarnation();
    let mut services = gateway.rollouts.services.borrow_mut();
    let Some(service) = services.get_mut(name) else {
        return;
    };
    let phase = service.versions.phase();
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    if !is_decider {
        // Its state isn't stored, so a host that decides again later begins anew.
        if rollout.decider.take().is_some() {
            rollout.announcement = None;
            log_step(gateway, rollout, now, "another host decides", "");
        }
        return;
    }
    if rollout.decider.is_none() {
        let decider = Decider::open(now, rollout.order.clone(), rollout.window);
        rollout.decider = Some(decider);
        log_step(gateway, rollout, now, "this host decides", "");
    }
    let in_flight_old = match phase {
        Some(Phase::Promoting) => {
            let count = in_flight_old(gateway, &rollout.order);
            let is_committed = service.versions.commit(rollout.order.id, count);
            (count > 0 || is_committed).then_some(count)
        }
        _ => None,
    };
    let host = gateway.identity.host.clone();
    let mut events = vec![
        hosts,
        servers(&rollout.order.target),
        Event::Evidence {
            host: host.clone(),
            incarnation,
            digest: rollout.evidence.digest(),
        },
    ];
    events.extend(in_flight_old.map(|in_flight_old| Event::HostConfirmed {
        host,
        incarnation,
        in_flight_old,
    }));
    if phase == Some(Phase::Reverted) {
        events.push(Event::HostReverted);
    }
    if rollout.gone_at.is_some() {
        events.push(Event::OrderGone);
    }
    events.push(Event::Tick);
    for event in events {
        feed(gateway, rollout, now, event);
    }
    let actions = std::mem::take(&mut rollout.pending);
    drop(services);
    perform(gateway, name, actions);
}

/// Hands an event to the decider of a rollout. Its actions are performed at the next step.
pub(super) fn feed(gateway: &Gateway, rollout: &mut Rollout, now: Instant, event: Event) {
    let Some(decider) = &mut rollout.decider else {
        return;
    };
    let actions = decider.step(now, event);
    if actions.is_empty() {
        return;
    }
    let verdict = format!("{:?}, {:?}", decider.cause(), decider.verdict());
    for action in &actions {
        match action {
            Action::Read => {}
            Action::Write { state, at } => {
                let detail = format!("{state:?} at {at}: {verdict}");
                log_step(gateway, rollout, now, "write", &detail);
            }
            Action::Announce { phase, is_written } => {
                if rollout.announcement != Some((*phase, *is_written)) {
                    let detail = format!("{}: {verdict}", phase_text(*phase));
                    log_step(gateway, rollout, now, "announce", &detail);
                }
            }
        }
    }
    rollout.pending.extend(actions);
}

fn hosts_event(gateway: &Gateway, now: Instant) -> Event {
    let hosts = gateway.hosts.borrow();
    let key = |heartbeat: &Heartbeat| (heartbeat.host.clone(), heartbeat.incarnation);
    let live: BTreeSet<(Name, u64)> = hosts.live(now).map(|host| key(&host.heartbeat)).collect();
    let silent = hosts.silent(now).map(|host| key(&host.heartbeat));
    Event::HostsChanged {
        silent: silent.collect(),
        live,
    }
}

/// Counts the servers of a service by whether they run the target.
fn servers_event(gateway: &Gateway, service: &Name) -> impl Fn(&Name) -> Event {
    let table = gateway.servers.borrow();
    let usable = table.usable(service);
    let versions: Vec<Name> = usable.map(|server| version_of(&server.entry)).collect();
    move |target| {
        let count = versions.iter().filter(|version| *version == target).count();
        Event::ServersChanged {
            target: count,
            others: versions.len() - count,
        }
    }
}

/// Performs the actions of the decider of a service's order.
fn perform(gateway: &Rc<Gateway>, name: &Name, actions: Vec<Action>) {
    let now = gateway.now();
    for action in actions {
        match action {
            Action::Read => {
                tokio::task::spawn_local(read(gateway.clone(), name.clone()));
            }
            Action::Write { state, at } => {
                let services = gateway.rollouts.services.borrow();
                let rollout = services.get(name).and_then(|it| it.rollout.as_ref());
                let Some(rollout) = rollout else { continue };
                let target = rollout.order.target.clone();
                let order = rollout.order.id;
                drop(services);
                let status = Status { state, target };
                let write = write(gateway.clone(), name.clone(), order, status, at);
                tokio::task::spawn_local(write);
            }
            Action::Announce { phase, is_written } => {
                let mut services = gateway.rollouts.services.borrow_mut();
                let Some(service) = services.get_mut(name) else {
                    continue;
                };
                if let Some(rollout) = &mut service.rollout {
                    rollout.announcement = Some((phase, is_written));
                }
                adopt_phase(gateway, service, now, phase, is_written);
                // For hosts that datagrams don't reach.
                store::hasten_heartbeat(gateway);
            }
        }
    }
}

/// Reads the state of an order from the store.
async fn read(gateway: Rc<Gateway>, name: Name) {
    let result = store::read_statuses(&gateway).await;
    let now = gateway.now();
    let event = match &result {
        Ok((records, end_offset)) => {
            super::apply_statuses(&gateway, records, true);
            Event::StatusRead {
                status: status_of(&gateway, &name, records),
                end_offset: *end_offset,
            }
        }
        Err(_) => Event::ReadFailed,
    };
    let mut services = gateway.rollouts.services.borrow_mut();
    let rollout = services.get_mut(&name).and_then(|it| it.rollout.as_mut());
    if let Some(rollout) = rollout {
        feed(&gateway, rollout, now, event);
    }
}

/// Returns the state of a service's order among the records of all services. That of an earlier order
/// doesn't count.
fn status_of(
    gateway: &Gateway,
    name: &Name,
    records: &[crate::edges::gateway::Record],
) -> Option<(State, Name)> {
    let services = gateway.rollouts.services.borrow();
    let old = services
        .get(name)
        .and_then(|service| service.rollout.as_ref()?.old_status.clone());
    let decoded = records.iter().filter_map(|record| {
        // A record that can't be decoded was logged when it was applied.
        let (service, status) = gateway.adapter.status(record).ok()??;
        (service == *name).then_some(status)
    });
    let status = decoded
        .last()
        .filter(|status| old.as_ref() != Some(status))?;
    Some((status.state, status.target))
}

async fn write(gateway: Rc<Gateway>, name: Name, order: u64, status: Status, at: u64) {
    let ending = store::write_status(&gateway, &name, &status, at).await;
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let rollout = services.get_mut(&name).and_then(|it| it.rollout.as_mut());
    let Some(rollout) = rollout.filter(|rollout| rollout.order.id == order) else {
        return;
    };
    // What was read before this order is no longer the newest state.
    rollout.old_status = None;
    let detail = format!("{:?} at {at}: {ending:?}", status.state);
    log_step(&gateway, rollout, now, "written", &detail);
    feed(&gateway, rollout, now, Event::WriteEnded(ending));
}
