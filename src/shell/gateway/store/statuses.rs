//! Reads and conditional writes of the states of rollouts, for the host that decides.

use super::{
    CALL_TIMEOUT_MS,
    CONFLICT,
    Error,
    call_directly,
    newest,
    relay_hosts, //
};
use crate::{
    core::gateway::rollout::decider::Ending,
    edges::gateway::{
        Record,
        Status,
        Topic, //
    },
    names::Name,
    shell::gateway::{
        Gateway,
        peers::{
            self,
            Relay,
            Relayed, //
        },
        upstream, //
    },
};

/// Status of a call that the store did not execute.
const UNAVAILABLE: u16 = 503;

/// Reads the states of all services, and the offset at which the topic ends.
pub(in crate::shell::gateway) async fn read(
    gateway: &Gateway,
) -> Result<(Vec<Record>, u64), ReadError> {
    let (records, end) = newest(gateway, Topic::Status).await.map_err(ReadError)?;
    Ok((records, end.offset))
}

/// Why the states can't be read.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(in crate::shell::gateway) struct ReadError(Error);

/// Writes the state of a service's rollout if the topic ends at `at`.
///
/// A write whose outcome is unknown is never sent again, since the first one may be executed later. Another
/// host relays it only if the store certainly did not execute it.
pub(in crate::shell::gateway) async fn write(
    gateway: &Gateway,
    service: &Name,
    status: &Status,
    at: u64,
) -> Ending {
    let record = gateway.adapter.status_record(service, status);
    let write = Relay::Status { record, at };
    let written = Ending::Written { end_offset: at + 1 };
    match call_directly(gateway, &write, CALL_TIMEOUT_MS).await {
        Ok(_) => return written,
        Err(Error::Status(CONFLICT)) => return Ending::Conflict,
        Err(Error::Status(UNAVAILABLE) | Error::Upstream(upstream::Error::NotSent(_))) => {}
        Err(Error::Status(_) | Error::Call(_)) => return Ending::NotDone,
        Err(_) => return Ending::Unknown,
    }
    let Some(address) = relay_hosts(gateway).into_iter().next() else {
        return Ending::NotDone;
    };
    match peers::relay(gateway, address, &write, CALL_TIMEOUT_MS).await {
        Ok(Relayed::Answer(_) | Relayed::Written) => written,
        Ok(Relayed::Conflict) => Ending::Conflict,
        // The store may have executed it without an answer.
        Ok(Relayed::Gone | Relayed::Failed) | Err(_) => Ending::Unknown,
    }
}
