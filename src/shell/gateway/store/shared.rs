//! Shared reads: one host of a data centre reads the topics that change all the time for the others.

use std::net::SocketAddr;

use super::topic_name;
use crate::{
    edges::gateway::{
        Tail,
        Topic, //
    },
    names::Name,
    shell::gateway::{
        Gateway,
        peers::{
            self,
            Recent, //
        },
    },
};

/// Timeout of a call to the reader, in milliseconds. It answers from memory, and the store is the
/// fallback.
const FETCH_TIMEOUT_MS: u64 = 400;

/// Returns whether reads of a topic are shared. Records of operators have to reach all hosts fast,
/// and seldom change.
fn is_shared(topic: Topic) -> bool {
    match topic {
        Topic::Servers | Topic::Hosts => true,
        Topic::Operator => false,
    }
}

/// Returns whether this host is the reader of a topic.
pub(super) fn is_reader(gateway: &Gateway, topic: Topic) -> bool {
    let reader = reader(gateway, topic);
    reader.is_some_and(|(name, _)| name == gateway.identity.host)
}

fn reader(gateway: &Gateway, topic: Topic) -> Option<(Name, SocketAddr)> {
    if !is_shared(topic) {
        return None;
    }
    let hosts = gateway.hosts.borrow();
    let now = gateway.now();
    hosts.reader(now, &gateway.identity.data_centre, topic_name(topic))
}

/// Fetches the records from an offset on from the reader of a topic. Returns `None` if this host is
/// the reader or there is none, or if it fails or has no such records.
pub(super) async fn fetch(gateway: &Gateway, topic: Topic, from: u64) -> Option<Tail> {
    let (name, address) =
        reader(gateway, topic).filter(|(name, _)| *name != gateway.identity.host)?;
    let recent = Recent { topic, from };
    match peers::fetch_recent(gateway, address, recent, FETCH_TIMEOUT_MS).await {
        Ok(tail) => tail,
        Err(error) => {
            gateway.suspect(&name, &error);
            None
        }
    }
}

/// Records a read of the store, for other hosts.
pub(super) fn record_read(gateway: &Gateway, topic: Topic, from: u64, tail: &Tail) {
    if is_shared(topic) {
        let mut recent = gateway.store.recent_reads.borrow_mut();
        recent
            .entry(topic)
            .or_default()
            .record(gateway.now(), from, tail);
    }
}

/// Returns the records that were read recently, for another host.
pub(in crate::shell::gateway) fn recent(gateway: &Gateway, request: Recent) -> Option<Tail> {
    let recent = gateway.store.recent_reads.borrow();
    recent
        .get(&request.topic)?
        .since(gateway.now(), request.from)
}
