//! Gossips to other hosts which servers cache which parts of prompts.
//!
//! A lost message costs a second read of a prompt.

use std::cell::RefCell;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Message,
    send, //
};
use crate::{
    core::gateway::{
        balance::{
            self,
            Segment, //
        },
        cache,
        hosts::Heartbeat, //
    },
    names::Name,
    shell::gateway::{
        Gateway,
        overview::DISPATCH_TASK, //
    },
};

/// Maximum number of placements in one datagram, for placements of two parts and a name.
const MAX_PLACEMENTS: usize = 30;

/// Number of hosts that get the placements of a region with a dispatcher: the dispatcher and those
/// that would follow it.
const RECIPIENTS: usize = 3;

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Placement {
    server: Name,
    parts: Vec<cache::Key>,
}

/// Placements that are not sent yet.
#[derive(Default)]
pub(super) struct Pending(RefCell<Vec<Placement>>);

/// Records a placement to be sent.
pub(in crate::shell::gateway) fn record_placement(
    gateway: &Gateway,
    server: &Name,
    prompt: &[Segment],
) {
    let parts: Vec<cache::Key> = balance::shared_segments(prompt)
        .iter()
        .map(cache::key)
        .collect();
    if parts.is_empty() {
        return;
    }
    gateway.datagrams.placements.0.borrow_mut().push(Placement {
        server: server.clone(),
        parts,
    });
}

/// Sends the placements that were recorded since the last call.
pub(super) fn flush(gateway: &Gateway) {
    let placements = gateway.datagrams.placements.0.take();
    if placements.is_empty() {
        return;
    }
    let now = gateway.now();
    let has_dispatchers = gateway.overview().has_dispatchers;
    let hosts = gateway.hosts.borrow();
    let own = &gateway.identity;
    let recipients: Vec<&Heartbeat> = if has_dispatchers {
        let mut first = hosts.coordinators(now, DISPATCH_TASK, |host| host.region == own.region);
        first.truncate(RECIPIENTS);
        first
    } else {
        hosts.live(now).map(|host| &host.heartbeat).collect()
    };
    let others = recipients.iter().filter(|host| host.host != own.host);
    let messages: Vec<Message> = chunks(placements).map(Message::Placements).collect();
    for host in others {
        for message in &messages {
            send(gateway, host, message);
        }
    }
}

fn chunks(mut placements: Vec<Placement>) -> impl Iterator<Item = Vec<Placement>> {
    std::iter::from_fn(move || {
        let rest = placements.split_off(placements.len().min(MAX_PLACEMENTS));
        let chunk = std::mem::replace(&mut placements, rest);
        (!chunk.is_empty()).then_some(chunk)
    })
}

/// Records placements of another host.
pub(super) fn record(gateway: &Gateway, placements: &[Placement]) {
    let now = gateway.now();
    let servers = gateway.servers.borrow();
    let mut balancer = gateway.balancer.borrow_mut();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    if let Some(config) = gateway.config() {
        // A host that may follow the dispatcher has to know these before its first question.
        let placement = gateway.options.borrow().features.placement;
        balancer.configure(&config, placement);
        dispatcher.configure(&config, placement);
    }
    for Placement { server, parts } in placements {
        if let Some(server) = servers.get(server) {
            balancer.record_remote(now, &server.entry.id, parts);
            dispatcher.record_remote(now, &server.entry.id, parts);
            let service = &server.entry.service;
            balancer.record_held(now, service, &server.entry.id, parts);
            dispatcher.record_held(now, service, &server.entry.id, parts);
        }
    }
}
