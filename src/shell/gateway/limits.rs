//! Reads the rates that servers name in their answers, and shares them with other hosts.

use http::HeaderMap;

use super::{
    Gateway,
    clock,
    datagrams,
    log::Event,
    store, //
};
use crate::core::gateway::{
    dispatch,
    limits::Limit,
    quota::Group,
    servers::{
        Entry,
        Server, //
    },
};

/// Part of a rate that the host takes which gathers the calls of a stage in the server's data centre, in
/// percent. Those of other data centres divide the rest.
const OWNER_PERCENT: u64 = 50;

/// Records what an answer of a server says about its rate. The request was sent at `sent_unix_ms`.
pub(super) fn observe(gateway: &Gateway, server: &Entry, sent_unix_ms: u64, headers: &HeaderMap) {
    let name = &gateway.adapter.headers().server_limit;
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    let per_s: Option<f64> = text.and_then(|text| text.trim().parse().ok());
    let per_s = per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
    if text.is_some() && per_s.is_none() {
        return;
    }
    let per_ks = per_s.map(|per_s| (per_s * 1_000.0) as u64);
    let now = clock::unix_ms();
    let mut limits = gateway.limits.borrow_mut();
    if !limits.record_answer(now, sent_unix_ms, server, per_ks) {
        return;
    }
    let limit = limits.get(&server.id).cloned();
    drop(limits);
    gateway.log.write(&Event::Limit {
        server: &server.id,
        per_ks,
        is_own: true,
    });
    if let Some(limit) = limit {
        datagrams::send_limit(gateway, limit);
    }
    store::hasten_heartbeat(gateway);
}

/// Merges what another host reports.
pub(super) fn merge(gateway: &Gateway, limit: Limit) {
    let mut limits = gateway.limits.borrow_mut();
    let (server, per_ks) = (limit.server.clone(), limit.per_ks);
    if limits.merge(limit) {
        gateway.log.write(&Event::Limit {
            server: &server,
            per_ks,
            is_own: false,
        });
    }
}

/// Returns what this host may send to a server in a window, of a part of its rate that all hosts divide.
pub(super) fn share(
    gateway: &Gateway,
    server: &Server,
    group: &Group,
    is_dispatched: bool,
) -> Option<u64> {
    let percent = if is_dispatched {
        dispatch::DIVIDED_PERCENT
    } else {
        100
    };
    let limits = gateway.limits.borrow();
    limits.share(clock::unix_ms(), &server.entry, group, percent)
}

/// Returns what this host may assign to a server in a window as a dispatcher.
pub(super) fn dispatcher_share(gateway: &Gateway, server: &Server) -> Option<u64> {
    let limits = gateway.limits.borrow();
    let alone = Group::default();
    let percent = dispatch::DISPATCHER_PERCENT;
    limits.share(clock::unix_ms(), &server.entry, &alone, percent)
}

/// Returns how many calls with pieces this host may send to a server in a window. One host in each data
/// centre sends them.
pub(super) fn stage_share(gateway: &Gateway, server: &Server) -> Option<u64> {
    let own = &gateway.identity.data_centre;
    let limits = gateway.limits.borrow();
    let options = gateway.options.borrow();
    let others = options
        .regions
        .keys()
        .filter(|name| **name != server.entry.data_centre);
    let group = if server.entry.data_centre == *own {
        Group::default()
    } else {
        Group::new(own, others)
    };
    limits.share(clock::unix_ms(), &server.entry, &group, OWNER_PERCENT)
}
