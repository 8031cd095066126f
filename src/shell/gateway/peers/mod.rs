//! Calls between hosts: pieces to batch at their owner, relayed calls to the store, and snapshots for
//! hosts that start while the store is unavailable.

use std::{
    rc::Rc,
    time::Duration, //
};

use http::HeaderMap;

use super::{
    Gateway,
    log::Event, //
};
use crate::core::gateway::mac::Key;

mod bootstrap;
mod client;
mod message;
mod server;

pub(super) use bootstrap::fetch_state;
pub(super) use client::{
    Error,
    fetch_config,
    fetch_recent,
    free,
    relay,
    run_pieces,
    send_progress, //
};
pub(super) use message::{
    Answer,
    Batch,
    Free,
    Progress,
    Recent,
    Relay,
    Relayed,
    Reply,
    Shared,
    Snapshot, //
};
pub(super) use server::serve;

/// Maximum size of the body of a call between hosts, in bytes. The largest bodies hold all records
/// of a topic.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Header with the MAC of a call or its answer, in hexadecimal digits.
const MAC_HEADER: &str = "teaselchute-seal";

/// Interval of pings to a suspected host, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// Route of a call between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Pieces,
    Free,
    Progress,
    Ping,
    Relay,
    Recent,
    Config,
    Snapshot,
}

impl Path {
    const ALL: [Self; 8] = [
        Self::Pieces,
        Self::Free,
        Self::Progress,
        Self::Ping,
        Self::Relay,
        Self::Recent,
        Self::Config,
        Self::Snapshot,
    ];

    fn text(self) -> &'static str {
        match self {
            Self::Pieces => "/v1/pieces",
            Self::Free => "/v1/free",
            Self::Progress => "/v1/progress",
            Self::Ping => "/v1/ping",
            Self::Relay => "/v1/relay",
            Self::Recent => "/v1/recent",
            Self::Config => "/v1/config",
            Self::Snapshot => "/v1/known",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|path| path.text() == text)
    }
}

fn request_mac(key: &Key, path: Path, body: &[u8]) -> blake3::Hash {
    key.mac(&[b"ask", path.text().as_bytes(), body])
}

/// Returns the MAC of an answer. It covers the MAC of the request, so that the answer is not valid
/// for another request.
fn response_mac(key: &Key, request: &blake3::Hash, body: &[u8]) -> blake3::Hash {
    key.mac(&[b"answer", request.as_bytes(), body])
}

fn read_mac(headers: &HeaderMap) -> Option<blake3::Hash> {
    let digits = headers.get(MAC_HEADER)?;
    blake3::Hash::from_hex(digits.as_bytes()).ok()
}

/// Pings suspected hosts periodically, and ends the suspicion once they answer.
pub(super) async fn probe_suspects(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        let suspects = gateway.hosts.borrow_mut().suspects(gateway.now());
        for (name, address) in suspects {
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move {
                let answer = client::ping(&gateway, address).await;
                let now = gateway.now();
                if answer.is_ok() && gateway.hosts.borrow_mut().suspect(now, &name, false) {
                    gateway.log.write(&Event::Dependency {
                        name: &name,
                        up: true,
                        why: "answered",
                    });
                }
            });
        }
    }
}
