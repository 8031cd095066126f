//! Servers that say in their answers that they leave.
//!
//! They are heard wherever an answer of a server is read, and get no new requests from then on, on any way:
//! see [`Gateway::usable_entry`]. What runs there is finished there. Other hosts aren't told: the server's
//! entry tells them within about a second, and a wrong word of one server stays with the hosts that heard it.

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

/// Value of the header of a server that leaves.
const LEAVES: &str = "1";

/// Reads whether an answer to a request for `expected` says that its server leaves.
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
    for (id, started_at) in speakers(gateway, expected, status) {
        let mut servers = gateway.servers.borrow_mut();
        let is_new = servers.record_departure(now, &id, started_at);
        drop(servers);
        if is_new {
            gateway.forget_server(&id);
            gateway.metrics.departures.add(1, &[]);
            let change = "says that it leaves";
            gateway.log.write(&Event::Server { id: &id, change });
        }
    }
}

/// Returns the servers that an answer may come from, with their starts.
fn speakers(gateway: &Gateway, expected: &Entry, status: StatusCode) -> Vec<(Name, Option<u64>)> {
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
