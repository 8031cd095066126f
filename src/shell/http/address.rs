//! Address lookup: which entry hosts a caller should use, for how long, and with which ticket.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering, //
};

use ntex::web::{
    HttpRequest,
    HttpResponse,
    types::Query, //
};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Shared,
    answer, //
};
use crate::{
    core::{
        address::{
            self,
            Location, //
        },
        host::Host,
        outcome::{
            self,
            Ticket, //
        },
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
    },
    names::Name,
    wire::ticket,
};

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

pub(super) async fn lookup(request: HttpRequest, shell: Shared) -> HttpResponse {
    let from = match Query::<Location>::from_query(request.query_string()) {
        Ok(from) => from,
        Err(error) => {
            let detail = format!("the query of the address lookup: {error}");
            let refusal = Refusal::not_run(Code::BadRequest, Remedy::ChangeRequest, detail);
            return answer::refuse(None, &refusal);
        }
    };
    let view = shell.node.view();
    let number = shell.next_requester.fetch_add(1, Ordering::Relaxed);
    let own = &view.own.id;
    let seed = xxh3_64_with_seed(own.name.as_bytes(), own.incarnation ^ number);
    let answer = address::resolve(&view, shell.now(), &from, seed);
    let made = answer
        .hosts
        .first()
        .and_then(|first| outcome::ticket::issue(shell.now(), &view, first));
    HttpResponse::Ok().json(&Lookup {
        addresses: answer.hosts.iter().map(named).collect(),
        keep_ms: answer.ttl_ms,
        ticket_tag: made.as_ref().map(Ticket::tag),
        ticket: made.map(|made| ticket::encode(&shell.key, &made)),
    })
}

fn named(host: &Host) -> Address {
    Address {
        host: host.id.name.clone(),
        data_centre: host.data_centre.clone(),
        http: host.http,
    }
}
