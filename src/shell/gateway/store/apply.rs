//! What records of the store change in what this host believes.

use std::{
    collections::BTreeSet,
    rc::Rc, //
};

use crate::shell::gateway::{
    Gateway,
    log::Event,
    peers::Snapshot, //
};
use crate::{
    core::gateway::{
        config::Config,
        hosts::Heartbeat,
        servers::{
            Change,
            Entry, //
        },
    },
    edges::gateway::{
        Directive, //
        Record,
        Topic,
    },
    names::Name,
};

/// Time after a failure for which the store counts as shaky, in milliseconds: entries of servers may
/// have lapsed, and are back about two seconds after the store.
const SHAKY_MS: u64 = 3_000;

/// Takes what another host knows, as far as this one hasn't read it from the store.
pub(in crate::shell::gateway) fn apply_snapshot(gateway: &Gateway, known: Snapshot) {
    let now = gateway.now();
    let state = &gateway.store;
    if !state.has_read(Topic::Operator) {
        apply_wish(gateway, &known.config);
        let out = gateway.servers.borrow().drained().clone();
        for name in out.iter().filter(|name| !known.drained.contains(name)) {
            set_out(gateway, name, false);
        }
        for name in &known.drained {
            set_out(gateway, name, true);
        }
    }
    if !state.has_read(Topic::Servers) {
        let keys: BTreeSet<Name> = known.servers.iter().map(|entry| entry.id.clone()).collect();
        for entry in known.servers {
            let id = entry.id.clone();
            take_server(gateway, &id, Some(entry), false);
        }
        forget_missing(gateway, Topic::Servers, &keys);
        state.has_servers.set(true);
    }
    if !state.has_read(Topic::Hosts) {
        let others = known.hosts.into_iter();
        for beat in others.filter(|beat| beat.host != gateway.identity.host) {
            gateway.hosts.borrow_mut().record(now, beat, false);
        }
    }
}

/// Treats what is known but not in a whole list as dropped.
pub(super) fn forget_missing(gateway: &Gateway, topic: Topic, keys: &BTreeSet<Name>) {
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
            for name in out.iter().filter(|name| !is_kept(name)) {
                set_out(gateway, name, false);
            }
            return;
        }
        Topic::Hosts => return,
    };
    for key in known.into_iter().filter(|key| !keys.contains(key)) {
        apply(gateway, topic, vec![Record { key, value: None }], true);
    }
}

pub(super) fn apply(gateway: &Gateway, topic: Topic, records: Vec<Record>, is_old: bool) {
    for record in &records {
        match topic {
            Topic::Operator => apply_wish(gateway, record),
            Topic::Servers => apply_server(gateway, record),
            Topic::Hosts => apply_host(gateway, record, is_old),
        }
    }
}

pub(super) fn bad_record(gateway: &Gateway, key: &Name, error: String) {
    // Said once for each key: a server writes the same nonsense again and again.
    if gateway.store.bad.borrow_mut().insert(key.clone()) {
        gateway.log.write(&Event::BadRecord { key, error });
    }
}

pub(super) fn apply_wish(gateway: &Gateway, record: &Record) {
    match gateway.adapter.directive(record) {
        Ok(Directive::Config(config)) => {
            if put_in_force(gateway, *config) {
                *gateway.store.config.borrow_mut() = Some(record.clone());
            }
        }
        Ok(Directive::Drain {
            data_centre,
            drained,
        }) => set_out(gateway, &data_centre, drained),
        Ok(Directive::Other) => {}
        Err(error) => bad_record(gateway, &record.key, error.to_string()),
    }
}

/// Puts a configuration in force, unless a newer one is. Returns whether it did.
fn put_in_force(gateway: &Gateway, config: Config) -> bool {
    let before = gateway.config().map(|config| config.version);
    // Reads may be old, and a configuration never goes back.
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

pub(super) fn set_out(gateway: &Gateway, name: &Name, out: bool) {
    if gateway.servers.borrow_mut().set_drained(name, out) {
        gateway.log.write(&Event::DataCentre { name, out });
    }
}

pub(super) fn apply_server(gateway: &Gateway, record: &Record) {
    let now = gateway.now();
    let failed = gateway.store.failed.get();
    let is_shaky = failed.is_some_and(|at| now.since_ms(at) < SHAKY_MS);
    let entry = match gateway.adapter.server(record) {
        Ok(entry) => entry,
        Err(error) => {
            bad_record(gateway, &record.key, error.to_string());
            None
        }
    };
    // Only an entry that isn't there may have lapsed.
    take_server(
        gateway,
        &record.key,
        entry,
        is_shaky && record.value.is_none(),
    );
}

fn take_server(gateway: &Gateway, id: &Name, entry: Option<Entry>, is_shaky: bool) {
    let now = gateway.now();
    let change = gateway
        .servers
        .borrow_mut()
        .update(now, id, entry, is_shaky);
    let change = match change {
        None => return,
        Some(Change::Joined(_)) => "joined",
        Some(Change::Left(_)) => "left",
        Some(Change::Restarted(_)) => "restarted",
    };
    if change != "joined" {
        gateway.balancer.borrow_mut().forget(id);
    }
    gateway.log.write(&Event::Server { id, change });
}

pub(super) fn apply_host(gateway: &Gateway, record: &Record, is_old: bool) {
    let Some(value) = &record.value else { return };
    let beat: Heartbeat = match postcard::from_bytes(value) {
        Ok(beat) => beat,
        Err(error) => return bad_record(gateway, &record.key, error.to_string()),
    };
    if beat.host == gateway.identity.host
        && let Some(key) = &beat.key
    {
        // Where it is set already, it is this one.
        let _ = gateway.key.set(key.clone());
    }
    let name = beat.host.clone();
    let serving = beat.serving;
    let now = gateway.now();
    if gateway.hosts.borrow_mut().record(now, beat, is_old) {
        let name = &name;
        gateway.log.write(&Event::Host { name, serving });
    }
}
