//! Applies records of the store and snapshots of other hosts to the state of this host.

use std::{
    collections::BTreeSet,
    rc::Rc, //
};

use crate::shell::gateway::{
    Gateway,
    limits,
    log::Event,
    peers::Snapshot,
    quarantines,
    rollouts, //
};
use crate::{
    core::gateway::{
        config::Config,
        hosts::Heartbeat,
        servers::Change, //
    },
    edges::gateway::{
        Directive,
        Record,
        Topic, //
    },
    names::Name,
};

/// Time after a failure for which the store counts as unstable, in milliseconds: entries of servers
/// may have expired, and are back about two seconds after the store.
const UNSTABLE_MS: u64 = 3_000;

/// Where records come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The log: they are newer than what is known.
    Log,
    /// A read of the newest of each key: they are as new as what is known, or newer.
    Newest,
    /// Such a read soon after the store returned from a copy: they may be older than what is known.
    Copy,
}

/// Applies a snapshot of another host to the topics that were not read from the store yet.
pub(in crate::shell::gateway) fn apply_snapshot(gateway: &Gateway, snapshot: Snapshot) {
    let now = gateway.now();
    let state = &gateway.store;
    state.learn_timeline(snapshot.timeline);
    if !state.has_read(Topic::Operator) {
        apply_directive(gateway, &snapshot.config, Origin::Newest);
        for order in &snapshot.orders {
            apply_directive(gateway, order, Origin::Newest);
        }
        let out = gateway.servers.borrow().drained().clone();
        for name in out.iter().filter(|name| !snapshot.drained.contains(name)) {
            set_drained(gateway, name, false);
        }
        for name in &snapshot.drained {
            set_drained(gateway, name, true);
        }
    }
    if !state.has_read(Topic::Servers) {
        let keys: BTreeSet<Name> = snapshot
            .servers
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        for entry in snapshot.servers {
            let id = entry.id.clone();
            rollouts::see(gateway, &entry, !state.has_servers.get());
            let change = gateway
                .servers
                .borrow_mut()
                .update(now, &id, Some(entry), false);
            log_server(gateway, &id, change);
        }
        remove_missing(gateway, Topic::Servers, &keys, Origin::Newest);
        state.has_servers.set(true);
    }
    if !state.has_read(Topic::Hosts) {
        let others = snapshot.hosts.into_iter();
        for heartbeat in others.filter(|heartbeat| heartbeat.host != gateway.identity.host) {
            merge_observations(gateway, &heartbeat);
            gateway.hosts.borrow_mut().record_relayed(now, heartbeat);
        }
    }
}

/// Removes what is known but missing from a complete read of a topic.
pub(super) fn remove_missing(
    gateway: &Gateway,
    topic: Topic,
    keys: &BTreeSet<Name>,
    origin: Origin,
) {
    let known = match topic {
        Topic::Servers => gateway.servers.borrow().ids(),
        Topic::Operator => {
            let servers = gateway.servers.borrow();
            let out: Vec<Name> = servers.drained().iter().cloned().collect();
            drop(servers);
            let is_kept = |name: &Name| {
                keys.iter()
                    .any(|key| key.rsplit('/').next() == Some(name.as_str()))
            };
            let now = gateway.now();
            // Operators repeat what a copy of the store lacks, so its orders stay in force.
            if origin != Origin::Copy {
                for service in rollouts::missing_orders(gateway, keys) {
                    rollouts::withdraw(gateway, &service);
                }
            }
            for name in out.iter().filter(|name| !is_kept(name)) {
                if origin == Origin::Copy {
                    gateway.servers.borrow_mut().lose_drain(now, name);
                } else {
                    set_drained(gateway, name, false);
                }
            }
            return;
        }
        Topic::Hosts | Topic::Status => return,
    };
    for key in known.into_iter().filter(|key| !keys.contains(key)) {
        apply(gateway, topic, vec![Record { key, value: None }], origin);
    }
}

pub(super) fn apply(gateway: &Gateway, topic: Topic, records: Vec<Record>, origin: Origin) {
    if topic == Topic::Status {
        return rollouts::apply_statuses(gateway, &records, origin != Origin::Log);
    }
    for record in &records {
        match topic {
            Topic::Operator => apply_directive(gateway, record, origin),
            Topic::Servers => apply_server(gateway, record, origin),
            Topic::Hosts => apply_host(gateway, record, origin),
            // Handled above, all records at once.
            Topic::Status => {}
        }
    }
}

pub(in crate::shell::gateway) fn report_bad_record(gateway: &Gateway, key: &Name, error: String) {
    // Logged once for each key: a server writes the same invalid record again and again.
    if gateway.store.bad_keys.borrow_mut().insert(key.clone()) {
        gateway.log.write(&Event::BadRecord { key, error });
    }
}

pub(super) fn apply_directive(gateway: &Gateway, record: &Record, origin: Origin) {
    match gateway.adapter.directive(record) {
        Ok(Directive::Config(config)) => {
            if activate_config(gateway, *config) {
                *gateway.store.config.borrow_mut() = Some(record.clone());
            }
        }
        Ok(Directive::Drain {
            data_centre,
            drained,
        }) => set_drained(gateway, &data_centre, drained),
        Ok(Directive::Rollout { service, order }) => {
            let is_new = origin == Origin::Log;
            rollouts::apply_order(gateway, &service, order, record, is_new);
        }
        Ok(Directive::Other) => {}
        Err(error) => report_bad_record(gateway, &record.key, error.to_string()),
    }
}

/// Activates a configuration if its version is newer than the active one. Returns whether it was
/// activated.
fn activate_config(gateway: &Gateway, config: Config) -> bool {
    let before = gateway.config().map(|config| config.version);
    // Reads may be stale, and the version of the configuration must not decrease.
    if before.is_some_and(|before| config.version <= before) {
        return false;
    }
    gateway.log.write(&Event::Configuration {
        version: config.version,
        before,
    });
    *gateway.config.borrow_mut() = Some(Rc::new(config));
    true
}

pub(super) fn set_drained(gateway: &Gateway, name: &Name, out: bool) {
    if gateway.servers.borrow_mut().set_drained(name, out) {
        gateway.log.write(&Event::DataCentre { name, out });
    }
}

pub(super) fn apply_server(gateway: &Gateway, record: &Record, origin: Origin) {
    let now = gateway.now();
    let failed = gateway.store.failed_at.get();
    let is_unstable = failed.is_some_and(|at| now.since_ms(at) < UNSTABLE_MS);
    let entry = match gateway.adapter.server(record) {
        Ok(entry) => entry,
        Err(error) => {
            report_bad_record(gateway, &record.key, error.to_string());
            None
        }
    };
    if let Some(entry) = &entry {
        rollouts::see(gateway, entry, !gateway.store.has_servers.get());
    }
    let mut servers = gateway.servers.borrow_mut();
    let change = if origin == Origin::Copy {
        servers.restore(now, &record.key, entry)
    } else {
        // Only a missing entry may have expired.
        let may_have_expired = is_unstable && record.value.is_none();
        servers.update(now, &record.key, entry, may_have_expired)
    };
    drop(servers);
    log_server(gateway, &record.key, change);
}

fn log_server(gateway: &Gateway, id: &Name, change: Option<Change>) {
    let change = match change {
        None => return,
        Some(Change::Joined(_)) => "joined",
        Some(Change::Left(_)) => "left",
        Some(Change::Restarted(_)) => "restarted",
    };
    if change != "joined" {
        gateway.forget_server(id);
    }
    gateway.log.write(&Event::Server { id, change });
}

/// Merges what a host observed of the servers.
fn merge_observations(gateway: &Gateway, heartbeat: &Heartbeat) {
    quarantines::merge(gateway, heartbeat.report.clone());
    for limit in &heartbeat.limits {
        limits::merge(gateway, limit.clone());
    }
    if heartbeat.host != gateway.identity.host {
        rollouts::merge_heartbeat(gateway, heartbeat);
    }
}

pub(super) fn apply_host(gateway: &Gateway, record: &Record, origin: Origin) {
    let Some(value) = &record.value else { return };
    let heartbeat: Heartbeat = match postcard::from_bytes(value) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return report_bad_record(gateway, &record.key, error.to_string()),
    };
    if heartbeat.host == gateway.identity.host
        && let Some(key) = &heartbeat.key
    {
        // A key that is already set is the same one.
        let _ = gateway.key.set(key.clone());
    }
    if heartbeat.host == gateway.identity.host {
        // The table has the newest of this host.
        if origin != Origin::Log {
            merge_observations(gateway, &heartbeat);
        }
        return;
    }
    // A late one tells nothing that wasn't known.
    if gateway.hosts.borrow().is_news(&heartbeat) {
        merge_observations(gateway, &heartbeat);
    }
    let name = heartbeat.host.clone();
    let serving = heartbeat.serving;
    let now = gateway.now();
    let mut hosts = gateway.hosts.borrow_mut();
    let is_change = match origin {
        Origin::Log => hosts.record(now, heartbeat, false),
        Origin::Newest => hosts.record(now, heartbeat, true),
        Origin::Copy => hosts.restore(now, heartbeat),
    };
    drop(hosts);
    if is_change {
        let name = &name;
        gateway.log.write(&Event::Host { name, serving });
    }
}
