//! Bodies of callers' requests, bounded each and in sum.

use std::rc::Rc;

use bytes::{
    Bytes,
    BytesMut, //
};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::reply::Refusal;
use crate::shell::gateway::Gateway;

/// Part of the process's memory that callers' bodies may take together, in percent. Connections,
/// answers and what the host knows share the rest.
const SUM_PERCENT: u64 = 25;

/// Bytes in a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// Bytes that count as held until this is dropped.
pub(super) struct Held {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl Held {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: gateway.clone(),
            bytes: 0,
        }
    }

    /// Takes more bytes, and returns whether all bodies together stay within their part of memory.
    fn take(&mut self, bytes: usize) -> bool {
        let held = &self.gateway.held_bytes;
        self.bytes += bytes;
        held.set(held.get() + bytes);
        let memory = self.gateway.options.borrow().process.memory_mb * MEGABYTE;
        held.get() as u64 <= memory * SUM_PERCENT / 100
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = &self.gateway.held_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}

/// Reads a body whole.
///
/// One for which there is no memory is read to its end all the same, since closing the connection
/// before would take the refusal with it.
pub(super) async fn read(
    gateway: &Rc<Gateway>,
    mut body: Incoming,
    most: usize,
) -> Result<(Bytes, Held), Refusal> {
    let mut held = Held::new(gateway);
    let mut bytes = BytesMut::new();
    let mut read = 0;
    let mut has_memory = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "body broke off"))?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read += data.len();
        if read > most {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Refusal::new(status, "body too large"));
        }
        has_memory = has_memory && held.take(data.len());
        if has_memory {
            bytes.extend_from_slice(&data);
        } else {
            bytes = BytesMut::new();
        }
    }
    if !has_memory {
        return Err(Refusal::not_run("no memory for the body"));
    }
    Ok((bytes.freeze(), held))
}
