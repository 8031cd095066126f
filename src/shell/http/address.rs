//! Address lookup: which entry hosts a caller should use, for how long, and with which ticket.

use std::net::SocketAddr;

use ntex::web::HttpResponse;
use serde::Serialize;

use super::Shared;
use crate::{
    core::{
        host::Host,
        outcome::{
            self,
            Ticket, //
        },
        view::{
            Health,
            View, //
        }, //
    },
    names::Name,
    wire::ticket,
};

/// Time for which a caller may keep the answer, in milliseconds.
const KEEP_MS: u64 = 5_000;

#[derive(Serialize)]
struct Address {
    host: Name,
    data_centre: Name,
    http: SocketAddr,
}

#[derive(Serialize)]
struct Lookup {
    /// Hosts to use, the best first.
    addresses: Vec<Address>,
    keep_ms: u64,
    /// To be sent with non-idempotent requests to the first address.
    ticket: Option<String>,
    /// With what, and a hyphen, the ids of requests under the ticket start.
    ticket_tag: Option<Name>,
}

pub(super) async fn lookup(shell: Shared) -> HttpResponse {
    let view = shell.node.view();
    let hosts = hosts(&view);
    let made = hosts
        .first()
        .and_then(|first| outcome::ticket::issue(shell.now(), &view, first));
    HttpResponse::Ok().json(&Lookup {
        addresses: hosts.into_iter().map(address).collect(),
        keep_ms: KEEP_MS,
        ticket_tag: made.as_ref().map(Ticket::tag),
        ticket: made.map(|made| ticket::encode(&shell.key, &made)),
    })
}

fn address(host: &Host) -> Address {
    Address {
        host: host.id.name.clone(),
        data_centre: host.data_centre.clone(),
        http: host.http,
    }
}

fn hosts(view: &View) -> Vec<&Host> {
    let mut hosts = Vec::new();
    if !view.leaving {
        hosts.push(&view.own);
    }
    let alive = view.members.iter();
    let alive = alive.filter(|member| member.health == Health::Alive);
    hosts.extend(alive.map(|member| &member.host));
    hosts
}
