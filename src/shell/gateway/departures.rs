//! Servers that announce in their answers that they leave: see `docs/platform-design.md`.
//!
//! The header is read from every answer of a server. From then on the server gets no new requests, which
//! [`Gateway::usable_entry`] ensures. Other hosts aren't told: the server's entry in the store reaches them
//! within about a second, and an announcement that is wrong or forged affects only the hosts that got it.

use http::{
    HeaderMap,
    StatusCode, //
};

use super::{
    Gateway,
    log::Event, //
};
use crate::{
    core::gateway::servers::Entry,
    names::Name, //
};

/// Value of the header where the server leaves.
const LEAVES: &str = "1";

/// Reads whether the answer to a request for the server `expected` announces that its server leaves.
pub(super) fn observe(
    gateway: &Gateway,
    expected: &Entry,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let name = &gateway.adapter.headers().leaving;
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    if value.is_none_or(|value| value.trim() != LEAVES) {
        return;
    }
    let now = gateway.now();
    for (id, started_at) in origins(gateway, expected, status) {
        let mut servers = gateway.servers.borrow_mut();
        let is_new = servers.record_departure(now, &id, started_at);
        drop(servers);
        if is_new {
            gateway.forget_server(&id);
            gateway.metrics.departures.add(1, &[]);
            let change = "announced leave";
            gateway.log.write(&Event::Server { id: &id, change });
        }
    }
}

/// Returns the servers that an answer may come from, with their starts.
fn origins(gateway: &Gateway, expected: &Entry, status: StatusCode) -> Vec<(Name, Option<u64>)> {
    if status != StatusCode::MISDIRECTED_REQUEST {
        return vec![(expected.id.clone(), expected.started_at)];
    }
    // Another server than the expected one has its address now.
    let servers = gateway.servers.borrow();
    let entries = servers.at_address(expected.address);
    let others = entries.filter(|server| server.entry.id != expected.id);
    others
        .map(|server| (server.entry.id.clone(), server.entry.started_at))
        .collect()
}
