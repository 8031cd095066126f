//! Observes crashes of servers, and shares them and the quarantines derived from them with other hosts.
//!
//! Reports go to all hosts by datagram, and with each heartbeat through the store. So a host that lost
//! a datagram, is cut off from others or starts later gets them too.

use std::rc::Rc;

use super::{
    Gateway,
    clock,
    datagrams,
    log::Event,
    net,
    store, //
};
use crate::core::gateway::{
    cache::Key,
    content::Content,
    quarantine::{
        Change,
        Report,
        Scope, //
    },
    servers::Entry, //
};

/// Number of hosts whose heartbeats hold all that is known.
const RELAYS: usize = 6;

/// Name of their task in the selection of hosts.
const RELAY_TASK: &str = "crashes";

/// Timeout of the connection that tells a crashed server from a lost answer, in milliseconds.
const PROBE_MS: u64 = 600;

/// Records that an attempt at a server ended before its answer began, if the server has crashed: it
/// refuses connections then. The attempt was sent at a Unix time, in milliseconds.
pub(super) fn observe_loss(
    gateway: &Rc<Gateway>,
    server: Entry,
    sent_unix_ms: u64,
    content: &Content,
) {
    let gateway = gateway.clone();
    let content = content.clone();
    // Before the request is sent again: an answer to that clears it.
    let lost_at = clock::unix_ms();
    tokio::task::spawn_local(async move {
        let probe = net::connect(server.address, PROBE_MS).await;
        let is_refused =
            |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        if !probe.as_ref().is_err_and(is_refused) {
            return;
        }
        gateway.metrics.count_crash(&server.service);
        gateway.log.write(&Event::Crash {
            server: &server.id,
            content: content.keys(),
        });
        let incarnation = (server.id, server.started_at);
        let mut table = gateway.quarantine.borrow_mut();
        let changes = table.record_crash(lost_at, sent_unix_ms, incarnation.clone(), &content);
        let mut report = table.crash_report(&incarnation);
        report.clearances = table.clearance_report(&content).clearances;
        drop(table);
        log_changes(&gateway, &changes);
        datagrams::send_report(&gateway, report);
        store::hasten_heartbeat(&gateway);
    });
}

/// Records a complete answer to a request that was sent at a Unix time, in milliseconds.
pub(super) fn observe_answer(gateway: &Gateway, sent_unix_ms: u64, content: &Content) {
    let mut table = gateway.quarantine.borrow_mut();
    let (is_new, changes) = table.record_answer(clock::unix_ms(), sent_unix_ms, content);
    let report = is_new.then(|| table.clearance_report(content));
    drop(table);
    log_changes(gateway, &changes);
    if let Some(report) = report {
        datagrams::send_report(gateway, report);
    }
}

/// Returns the quarantined key of a request, and the remaining time of its quarantine in milliseconds.
pub(super) fn find(gateway: &Gateway, content: &Content) -> Option<(Key, u64)> {
    gateway.quarantine.borrow().find(clock::unix_ms(), content)
}

/// Returns the report for the next heartbeat. Those of a few hosts hold all that is known, so that it
/// outlives the hosts that observed it.
pub(super) fn heartbeat_report(gateway: &Gateway) -> Report {
    let hosts = gateway.hosts.borrow();
    let relays = hosts.coordinators(gateway.now(), RELAY_TASK, |_| true);
    let mut relays = relays.iter().take(RELAYS);
    // A host that knows no others yet is one of few.
    let is_relay = hosts.len() <= RELAYS || relays.any(|it| it.host == gateway.identity.host);
    let scope = if is_relay { Scope::All } else { Scope::Own };
    gateway.quarantine.borrow().report(clock::unix_ms(), scope)
}

/// Merges the report of another host.
pub(super) fn merge(gateway: &Gateway, report: Report) {
    let changes = gateway
        .quarantine
        .borrow_mut()
        .merge(clock::unix_ms(), report);
    log_changes(gateway, &changes);
}

/// Ends the quarantines whose time is over.
pub(super) fn expire(gateway: &Gateway) {
    let changes = gateway.quarantine.borrow_mut().expire(clock::unix_ms());
    log_changes(gateway, &changes);
}

fn log_changes(gateway: &Gateway, changes: &[Change]) {
    for change in changes {
        gateway.log.write(&Event::Quarantine { change });
    }
}
