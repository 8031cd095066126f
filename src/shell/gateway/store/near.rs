//! Reads of topics that change all the time, which one host of a data centre makes for the others.

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

/// Time within which the host that reads has to answer, in milliseconds. It answers from memory, and
/// the store can be asked instead.
const ASK_MS: u64 = 400;

/// Returns whether a topic is read for others. What operators want has to reach all hosts fast, and
/// seldom changes.
fn is_shared(topic: Topic) -> bool {
    match topic {
        Topic::Servers | Topic::Hosts => true,
        Topic::Operator => false,
    }
}

/// Returns whether this host reads a topic for others.
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

/// Asks the host that reads a topic for the records from an offset on. Returns `None` where there is
/// no such host, or it has none to tell.
pub(super) async fn ask(gateway: &Gateway, topic: Topic, from: u64) -> Option<Tail> {
    let (name, address) =
        reader(gateway, topic).filter(|(name, _)| *name != gateway.identity.host)?;
    let recent = Recent { topic, from };
    match peers::fetch_recent(gateway, address, recent, ASK_MS).await {
        Ok(tail) => tail,
        Err(error) => {
            gateway.suspect(&name, &error);
            None
        }
    }
}

/// Notes what was read.
pub(super) fn note(gateway: &Gateway, topic: Topic, from: u64, tail: &Tail) {
    if is_shared(topic) {
        let mut recent = gateway.store.recent.borrow_mut();
        recent
            .entry(topic)
            .or_default()
            .record(gateway.now(), from, tail);
    }
}

/// Returns what was read a moment ago, for another host.
pub(in crate::shell::gateway) fn tell(gateway: &Gateway, ask: Recent) -> Option<Tail> {
    let recent = gateway.store.recent.borrow();
    recent.get(&ask.topic)?.since(gateway.now(), ask.from)
}
