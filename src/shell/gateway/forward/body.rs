//! Reads request bodies within a limit for each body and a memory limit for all of them together.

use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::reply::Refusal;
use crate::{
    core::gateway::holding,
    shell::gateway::Gateway, //
};

/// Share of the process's memory that buffered request bodies may take together, in percent.
/// Connections, responses and the gateway's tables share the rest.
const MEMORY_PERCENT: u64 = 25;

const BYTES_PER_MB: u64 = 1_000_000;

/// Bytes of buffered bodies, released when the reservation is dropped.
pub(super) struct Reservation {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl Reservation {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: gateway.clone(),
            bytes: 0,
        }
    }

    /// Reserves more bytes and returns whether all bodies together are within their share of
    /// memory.
    fn reserve(&mut self, bytes: usize) -> bool {
        let total = &self.gateway.buffered_bytes;
        self.bytes += bytes;
        total.set(total.get() + bytes);
        let memory = self.gateway.options.borrow().process.memory_mb * BYTES_PER_MB;
        total.get() as u64 <= memory * MEMORY_PERCENT / 100
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let total = &self.gateway.buffered_bytes;
        total.set(total.get().saturating_sub(self.bytes));
    }
}

/// Reads a complete body of at most `max_bytes`.
///
/// A body that exceeds the memory limit is still read to its end and discarded, since closing the
/// connection earlier could lose the refusal.
pub(super) async fn read(
    gateway: &Rc<Gateway>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, Reservation), Refusal> {
    let mut reservation = Reservation::new(gateway);
    let mut bytes = Vec::new();
    let mut read_bytes = 0;
    let mut has_memory = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "body broke off"))?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read_bytes += data.len();
        if read_bytes > max_bytes {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Refusal::new(status, "body too large"));
        }
        if has_memory && read_bytes > bytes.capacity() {
            let capacity = holding::next_capacity(bytes.capacity(), read_bytes, max_bytes);
            has_memory = reservation.reserve(capacity - bytes.capacity());
            if has_memory {
                bytes.reserve_exact(capacity - bytes.len());
            }
        }
        if has_memory {
            bytes.extend_from_slice(&data);
        } else {
            bytes = Vec::new();
        }
    }
    if !has_memory {
        return Err(Refusal::not_run("no memory for the body"));
    }
    Ok((bytes.into(), reservation))
}
