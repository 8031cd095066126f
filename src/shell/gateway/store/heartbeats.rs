//! Heartbeats of this host, and of the hosts that write theirs through it.
//!
//! Each call to the store has a price. In a large data centre one host, the writer, appends the
//! heartbeats of all in common calls.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use tokio::sync::oneshot;

use super::{
    CALL_TIMEOUT_MS,
    Error,
    call,
    exchange_within, //
};
use crate::{
    core::gateway::{
        hosts::{
            HEARTBEAT_INTERVAL_MS,
            Heartbeat, //
        },
        mac::Key,
    },
    edges::gateway::{
        Record,
        Topic, //
    },
    shell::gateway::{
        Gateway,
        log::Event,
        peers::{
            self,
            Relay,
            Relayed, //
        },
        quarantines,
        rollouts, //
    },
};

/// Pause between checks whether this host has a key, in milliseconds: the time of two answers of the
/// store.
const KEY_CHECK_INTERVAL_MS: u64 = 10;

/// Time for which the writer gathers heartbeats for one call, in milliseconds. Short against the
/// interval of heartbeats, so that it hardly adds to the time in which a dead host is detected.
const GATHER_MS: u64 = 300;

/// Number of writers that are tried. The store may refuse one of them alone.
const MAX_WRITERS: usize = 2;

/// Minimum interval between heartbeats.
const MIN_INTERVAL: Duration = Duration::from_millis(300);

/// Name of the writer's task in the selection of its host.
const WRITER_TASK: &str = "heartbeats";

/// Heartbeats that are not written yet, with the senders that wait for the outcome.
#[derive(Default)]
pub(super) struct Outbox(RefCell<Vec<(Heartbeat, oneshot::Sender<bool>)>>);

/// Encodes a heartbeat for the store.
pub(super) fn record(heartbeat: &Heartbeat) -> Result<Record, Error> {
    let value = postcard::to_allocvec(heartbeat);
    let value = value.map_err(|error| Error::Call(error.to_string()))?;
    Ok(Record {
        key: heartbeat.host.clone(),
        value: Some(value.into()),
    })
}

/// Appends a heartbeat to the store together with others that arrive at about the same time.
/// Returns whether the store confirmed that.
pub(super) async fn gather(gateway: &Rc<Gateway>, heartbeat: Heartbeat) -> bool {
    let (sender, receiver) = oneshot::channel();
    let is_first = {
        let mut pending = gateway.store.heartbeats.0.borrow_mut();
        pending.push((heartbeat, sender));
        pending.len() == 1
    };
    if is_first {
        tokio::task::spawn_local(flush(gateway.clone()));
    }
    receiver.await.unwrap_or(false)
}

async fn flush(gateway: Rc<Gateway>) {
    tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
    let pending = gateway.store.heartbeats.0.take();
    let records: Result<Vec<Record>, Error> = pending
        .iter()
        .map(|(heartbeat, _)| record(heartbeat))
        .collect();
    let result = match records {
        Ok(records) => {
            let call = gateway.adapter.append(Topic::Hosts, &records);
            exchange_within(&gateway, call, CALL_TIMEOUT_MS).await
        }
        Err(error) => Err(error),
    };
    for (_, sender) in pending {
        // The receiver is gone if its host stopped waiting.
        let _ = sender.send(result.is_ok());
    }
}

/// Sends a heartbeat through a writer of this data centre, or directly if no writer answers.
async fn send(gateway: &Rc<Gateway>, heartbeat: &Heartbeat) -> Result<(), Error> {
    let mut writers = {
        let hosts = gateway.hosts.borrow();
        hosts.readers(gateway.now(), &gateway.identity.data_centre, WRITER_TASK)
    };
    writers.truncate(MAX_WRITERS);
    let mut is_refused = false;
    for (name, address) in writers {
        if name == gateway.identity.host {
            if gather(gateway, heartbeat.clone()).await {
                return Ok(());
            }
            is_refused = true;
            continue;
        }
        let message = Relay::Heartbeat(Box::new(heartbeat.clone()));
        let timeout_ms = GATHER_MS + CALL_TIMEOUT_MS;
        match peers::relay(gateway, address, &message, timeout_ms).await {
            Ok(Relayed::Answer(_) | Relayed::Written) => return Ok(()),
            Ok(Relayed::Gone | Relayed::Failed | Relayed::Conflict) => is_refused = true,
            Err(error) => gateway.suspect(&name, &error),
        }
    }
    if is_refused {
        return Err(Error::Writers);
    }
    send_directly(gateway, heartbeat).await
}

async fn send_directly(gateway: &Gateway, heartbeat: &Heartbeat) -> Result<(), Error> {
    let message = Relay::Heartbeat(Box::new(heartbeat.clone()));
    call(gateway, message, CALL_TIMEOUT_MS).await.map(drop)
}

/// Generates a key for this host, unless its last incarnation left one in the store, which other
/// hosts know.
pub(super) fn ensure_key(gateway: &Gateway) {
    if gateway.key.get().is_some() {
        return;
    }
    let mut bytes = [0; 32];
    match getrandom::fill(&mut bytes) {
        // The key was checked to be unset above.
        Ok(()) => drop(gateway.key.set(Key::new(bytes))),
        Err(error) => gateway.log.write(&Event::Dependency {
            name: "random numbers",
            up: false,
            why: &error.to_string(),
        }),
    }
}

fn heartbeat(gateway: &Gateway) -> Heartbeat {
    let state = &gateway.store;
    let sequence = state.sequence.get() + 1;
    state.sequence.set(sequence);
    let listen = gateway.options.borrow().listen;
    Heartbeat {
        host: gateway.identity.host.clone(),
        caller_address: listen.callers,
        peer_address: listen.peers,
        datagram_address: listen.gossip,
        data_centre: gateway.identity.data_centre.clone(),
        region: gateway.identity.region.clone(),
        incarnation: state.incarnation.get(),
        sequence,
        uptime_ms: gateway.now().as_ms(),
        serving: gateway.schedule().is_none(),
        config_version: gateway.config().map(|config| config.version),
        key: gateway.key.get().cloned(),
        capacity: gateway.options.borrow().process.processor,
        report: quarantines::heartbeat_report(gateway),
        limits: gateway.limits.borrow().report(),
        rollouts: rollouts::heartbeat_rollouts(gateway),
    }
}

/// Writes the heartbeats of this host periodically.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        let heartbeat = heartbeat(&gateway);
        // The own heartbeat is recorded even if the store can't be reached.
        let now = gateway.now();
        gateway
            .hosts
            .borrow_mut()
            .record_own(now, heartbeat.clone());
        // Without a key nothing is written: other hosts can't use such a heartbeat, and it would
        // replace one in the store that may have the key.
        let has_key = heartbeat.key.is_some();
        if has_key && let Err(error) = send(&gateway, &heartbeat).await {
            // The next heartbeat is the retry.
            gateway.log.write(&Event::Dependency {
                name: "heartbeat",
                up: false,
                why: &error.to_string(),
            });
        }
        let pause_ms = if has_key {
            HEARTBEAT_INTERVAL_MS
        } else {
            KEY_CHECK_INTERVAL_MS
        };
        let pause = Duration::from_millis(pause_ms);
        // The minimum bounds the calls to the store while servers crash.
        tokio::time::sleep(pause.min(MIN_INTERVAL)).await;
        let rest = pause.saturating_sub(MIN_INTERVAL);
        let _ = tokio::time::timeout(rest, gateway.store.hasten.notified()).await;
    }
}

/// Has the next heartbeat written soon, since it has a new report.
pub(in crate::shell::gateway) fn hasten(gateway: &Gateway) {
    gateway.store.hasten.notify_one();
}

/// Announces to other hosts that this one no longer serves callers.
pub(in crate::shell::gateway) async fn announce_leave(gateway: &Gateway) {
    let heartbeat = heartbeat(gateway);
    gateway
        .hosts
        .borrow_mut()
        .record_own(gateway.now(), heartbeat.clone());
    // If the store is unavailable, other hosts detect the missing heartbeats instead.
    let _ = send_directly(gateway, &heartbeat).await;
}
