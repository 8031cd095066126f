//! Calls between hosts: pieces to run in full calls, reads of the store for hosts that it refuses, and
//! what a host knows for one that starts without the store.

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

mod call;
mod learn;
mod message;
mod serve;

pub(super) use call::{
    Error,
    free,
    recent,
    relay,
    run_pieces,
    send_progress, //
};
pub(super) use learn::learn;
pub(super) use message::{
    Ask,
    Free,
    Known,
    Progress,
    Recent,
    Relay,
    Relayed,
    Reply, //
};
pub(super) use serve::serve;

/// Largest body of a call between hosts, in bytes. The largest hold all records of a topic.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// Header with the seal of a call or its answer, in hexadecimal digits.
const SEAL_HEADER: &str = "teaselchute-seal";

/// Time between two questions to a host that gave no sign of life, in milliseconds.
const ASK_SUSPECTS_MS: u64 = 500;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Pieces,
    Free,
    Progress,
    Ping,
    Relay,
    Recent,
    Known,
}

impl Path {
    const ALL: [Self; 7] = [
        Self::Pieces,
        Self::Free,
        Self::Progress,
        Self::Ping,
        Self::Relay,
        Self::Recent,
        Self::Known,
    ];

    fn text(self) -> &'static str {
        match self {
            Self::Pieces => "/v1/pieces",
            Self::Free => "/v1/free",
            Self::Progress => "/v1/progress",
            Self::Ping => "/v1/ping",
            Self::Relay => "/v1/relay",
            Self::Recent => "/v1/recent",
            Self::Known => "/v1/known",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|path| path.text() == text)
    }
}

fn seal_ask(key: &Key, path: Path, body: &[u8]) -> blake3::Hash {
    key.mac(&[b"ask", path.text().as_bytes(), body])
}

/// Seals an answer together with what was asked, so that it answers nothing else.
fn seal_answer(key: &Key, ask: &blake3::Hash, body: &[u8]) -> blake3::Hash {
    key.mac(&[b"answer", ask.as_bytes(), body])
}

fn read_seal(headers: &HeaderMap) -> Option<blake3::Hash> {
    let digits = headers.get(SEAL_HEADER)?;
    blake3::Hash::from_hex(digits.as_bytes()).ok()
}

/// Asks hosts that gave no sign of life again and again, until they do.
pub(super) async fn ask_suspects(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(ASK_SUSPECTS_MS)).await;
        let suspects = gateway.hosts.borrow_mut().suspects(gateway.now());
        for (name, address) in suspects {
            let gateway = gateway.clone();
            tokio::task::spawn_local(async move {
                let answer = call::ping(&gateway, address).await;
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
