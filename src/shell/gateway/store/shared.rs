//! Shared reads: one host of a large data centre reads each topic for the others.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use super::{
    LONG_POLL_MS,
    topic_name, //
};
use crate::{
    core::gateway::position::Position,
    edges::gateway::{
        Tail,
        Topic, //
    },
    names::Name,
    shell::gateway::{
        Gateway,
        peers::{
            self,
            Recent,
            Shared, //
        },
    },
};

/// Timeout of a call to the reader, in milliseconds. It answers from memory, and the store is the
/// fallback.
const FETCH_TIMEOUT_MS: u64 = 400;

/// Time for which a call to the reader waits for the operators' next record, in milliseconds. Shorter
/// than a long poll of the store, so that a dead reader is detected in time, and a call to another
/// host has no price.
const FETCH_WAIT_MS: u64 = 1_000;

/// Age of the reader's last read of the topics that change all the time, from which its records are
/// stale, in milliseconds: two read intervals, one of them late. Hosts then read the store themselves.
const STALE_MS: u64 = 1_500;

/// The same for operators' records, where a read that returns nothing takes as long as a long poll.
const OPERATOR_STALE_MS: u64 = LONG_POLL_MS + 700;

/// Returns how long a call to the reader waits for a record, in milliseconds. Records of operators
/// have to reach all hosts fast, and seldom change. Those of the other topics change all the time.
fn wait_ms(topic: Topic) -> u64 {
    match topic {
        Topic::Operator | Topic::Status => FETCH_WAIT_MS,
        Topic::Servers | Topic::Hosts => 0,
    }
}

fn stale_ms(topic: Topic) -> u64 {
    match topic {
        Topic::Operator | Topic::Status => OPERATOR_STALE_MS,
        Topic::Servers | Topic::Hosts => STALE_MS,
    }
}

/// Returns whether this host is the reader of a topic.
pub(super) fn is_reader(gateway: &Gateway, topic: Topic) -> bool {
    let reader = reader(gateway, topic);
    reader.is_some_and(|(name, _)| name == gateway.identity.host)
}

fn reader(gateway: &Gateway, topic: Topic) -> Option<(Name, SocketAddr)> {
    let hosts = gateway.hosts.borrow();
    let now = gateway.now();
    hosts.reader(now, &gateway.identity.data_centre, topic_name(topic))
}

/// Fetches the records from a position on from the reader of a topic. They are missing if this host is
/// the reader or there is none, or if it fails.
pub(super) async fn fetch(gateway: &Gateway, topic: Topic, from: Position) -> Shared {
    let reader = reader(gateway, topic).filter(|(name, _)| *name != gateway.identity.host);
    let Some((name, address)) = reader else {
        return Shared::Missing;
    };
    let recent = Recent { topic, from };
    let timeout_ms = wait_ms(topic) + FETCH_TIMEOUT_MS;
    match peers::fetch_recent(gateway, address, recent, timeout_ms).await {
        Ok(shared) => shared,
        Err(error) => {
            gateway.suspect(&name, &error);
            Shared::Missing
        }
    }
}

/// Records a read of the store, for other hosts.
pub(super) fn record_read(gateway: &Gateway, topic: Topic, from: Position, tail: &Tail) {
    let now = gateway.now();
    gateway
        .store
        .recent_reads
        .borrow_mut()
        .entry(topic)
        .or_default()
        .record(now, from, tail);
    gateway.store.read_done.notify_waiters();
}

/// Returns the records that were read recently, for another host. Waits for the next ones if there
/// are none and the topic seldom changes.
pub(in crate::shell::gateway) async fn recent(gateway: &Gateway, request: Recent) -> Shared {
    let topic = request.topic;
    let deadline = gateway.now().after_ms(wait_ms(topic));
    loop {
        // Registered before the check, so that no read is missed between the two.
        let next_read = gateway.store.read_done.notified();
        let now = gateway.now();
        let tail = {
            let reads = gateway.store.recent_reads.borrow();
            let buffer = reads.get(&topic);
            buffer.and_then(|buffer| buffer.since(now, request.from, stale_ms(topic)))
        };
        let Some(tail) = tail else {
            return if gateway.store.is_failing_for(topic) {
                Shared::Unavailable
            } else {
                Shared::Missing
            };
        };
        if !tail.records.is_empty() || now >= deadline {
            return Shared::Records(tail);
        }
        let limit = Duration::from_millis(deadline.since_ms(now));
        // A timeout is handled by the check at the start of the loop.
        let _ = tokio::time::timeout(limit, next_read).await;
    }
}
