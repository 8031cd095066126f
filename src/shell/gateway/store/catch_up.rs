//! Fetches the configuration from another host that has a newer one.
//!
//! The store may lack the newest configuration for a while after it returned from a copy. Hosts that have it
//! keep it; one that starts then reads an older one.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use super::apply::{
    Origin,
    apply_directive, //
};
use crate::shell::gateway::{
    Gateway,
    log::Event,
    peers, //
};

/// Time in which a host reads a new configuration from the store, in milliseconds. Other hosts may tell of
/// it earlier.
const READ_DELAY_MS: u64 = 500;

/// Timeout of a call to the host, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 900;

fn is_behind(gateway: &Gateway, version: u64) -> bool {
    let config = gateway.config();
    config.is_none_or(|config| config.version < version)
}

/// Fetches the newest configuration of other hosts if it is still newer than the own one after the time in
/// which it is read from the store.
pub(super) fn check(gateway: &Rc<Gateway>) {
    let newest = gateway.hosts.borrow().newest_config(gateway.now());
    let Some((version, address)) = newest else {
        return;
    };
    if !is_behind(gateway, version) || gateway.store.is_catching_up.replace(true) {
        return;
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(READ_DELAY_MS)).await;
        if is_behind(&gateway, version) {
            fetch(&gateway, address).await;
        }
        gateway.store.is_catching_up.set(false);
    });
}

async fn fetch(gateway: &Gateway, address: SocketAddr) {
    let result = peers::fetch_config(gateway, address, FETCH_TIMEOUT_MS).await;
    let error = result.as_ref().err().map(ToString::to_string);
    gateway.log.write(&Event::Learned {
        from: address,
        read_ms: gateway.store.staleness_ms(gateway.now()),
        error,
    });
    if let Ok(Some(record)) = result {
        apply_directive(gateway, &record, Origin::Newest);
    }
}
