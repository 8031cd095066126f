//! Tickets as callers carry them: an opaque text that only a host of the cluster can make.

use super::codec::{
    Key,
    same,
    tag, //
};
use crate::{
    core::outcome::Ticket,
    utils::hex, //
};

/// Version of the text.
const VERSION: u8 = 1;

/// Length of the tag, in bytes.
const TAG_BYTES: usize = 16;

/// Longest text that is looked at, in bytes.
const MAX_TEXT_BYTES: usize = 1_024;

/// Why a text is no ticket of this cluster.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("the ticket was not made by this cluster, or was changed")]
pub struct Error;

/// Returns the text of a ticket.
pub fn encode(key: &Key, ticket: &Ticket) -> String {
    // Postcard only fails on types that it can't know, and a ticket has none.
    let body = postcard::to_stdvec(ticket).unwrap_or_default();
    let mut bytes = tag(key.ticket(), VERSION, &body).to_vec();
    bytes.extend_from_slice(&body);
    hex::encode(&bytes)
}

/// Returns the ticket of a text.
///
/// # Errors
///
/// [`Error`] where no host of this cluster made the text.
pub fn decode(key: &Key, text: &str) -> Result<Ticket, Error> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error);
    }
    let bytes = hex::decode(text).ok_or(Error)?;
    let (sent, body) = bytes.split_at_checked(TAG_BYTES).ok_or(Error)?;
    if !same(&tag(key.ticket(), VERSION, body), sent) {
        return Err(Error);
    }
    postcard::from_bytes(body).map_err(|_| Error)
}
