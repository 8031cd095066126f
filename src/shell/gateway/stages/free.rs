//! Frees results at the servers that hold them, in batches.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use futures_util::stream::{
    FuturesUnordered,
    StreamExt, //
};

use crate::names::Name;
use crate::shell::gateway::{
    Gateway,
    departures,
    pauses,
    peers,
    rollouts, //
};

use super::{
    MAX_ANSWER_BYTES, Output,
    batcher::{
        batcher,
        dispatch,
        request, //
    },
};

/// Time for which results are collected before the call that frees them is sent, in milliseconds.
const FREE_DELAY_MS: u64 = 10;

/// Timeout of a call that frees results, in milliseconds.
const FREE_TIMEOUT_MS: u64 = 1_000;

/// The service of results, the server that holds them, and the owner that batched their calls
/// (`None` for this host).
type Holder = (Name, SocketAddr, Option<SocketAddr>);

/// Results that wait to be freed, by holder.
#[derive(Default)]
pub(in crate::shell::gateway) struct FreeQueue(RefCell<HashMap<Holder, Vec<Name>>>);

/// Queues results to be freed. The first result of a holder starts the task that sends them.
pub(in crate::shell::gateway) fn free(gateway: &Rc<Gateway>, output: Output) {
    for result in output.results {
        let Some(server) = gateway.adapter.holder(&result) else {
            continue;
        };
        let holder = (output.service.clone(), server, output.owner);
        let mut unneeded = gateway.free_queue.0.borrow_mut();
        let pending = unneeded.entry(holder.clone()).or_default();
        pending.push(result);
        if pending.len() == 1 {
            tokio::task::spawn_local(send_free(gateway.clone(), holder));
        }
    }
}

async fn send_free(gateway: Rc<Gateway>, holder: Holder) {
    tokio::time::sleep(Duration::from_millis(FREE_DELAY_MS)).await;
    let Some(results) = gateway.free_queue.0.borrow_mut().remove(&holder) else {
        return;
    };
    let (service, _, owner) = holder;
    let Some(owner) = owner else {
        return free_local(&gateway, &service, results).await;
    };
    let free = peers::Free { service, results };
    if peers::free(&gateway, owner, &free, FREE_TIMEOUT_MS)
        .await
        .is_err()
    {
        // The owner can't be reached, so this host frees the results at the servers itself.
        free_local(&gateway, &free.service, free.results).await;
    }
}

/// Frees results whose calls this host batched.
pub(in crate::shell::gateway) async fn free_local(
    gateway: &Rc<Gateway>,
    service: &Name,
    results: Vec<Name>,
) {
    let mut by_holder: HashMap<SocketAddr, Vec<Name>> = HashMap::new();
    let batcher = batcher(gateway, service);
    for result in results {
        if let Some(holder) = gateway.adapter.holder(&result) {
            by_holder.entry(holder).or_default().push(result);
        }
    }
    let mut running: FuturesUnordered<_> = by_holder
        .into_iter()
        .map(|(holder, results)| async move {
            free_on_server(gateway, holder, &results).await;
            results
        })
        .collect();
    while let Some(results) = running.next().await {
        for result in &results {
            batcher.queue.borrow_mut().release(result);
        }
        dispatch(gateway, &batcher);
    }
}

async fn free_on_server(gateway: &Gateway, holder: SocketAddr, results: &[Name]) {
    let Some(server) = gateway.servers.borrow().by_address(holder) else {
        return;
    };
    let entry = gateway.server_entry(&server);
    // A server in need gets no calls that it can do without: it drops the results by itself.
    if gateway.limits.borrow().is_limited(&server) {
        return;
    }
    // Neither does one of a version that was withdrawn.
    if entry
        .as_ref()
        .is_some_and(|entry| rollouts::is_barred(gateway, entry))
    {
        return;
    }
    // It drops them if it asked for a pause, too.
    let sent_at = match &entry {
        Some(entry) => match pauses::claim(gateway, entry) {
            Some(sent_at) => sent_at,
            None => return,
        },
        None => gateway.now(),
    };
    let call = gateway.adapter.free_results(results);
    let Some(request) = request(gateway, &server, holder, call) else {
        return;
    };
    let timeout = Duration::from_millis(FREE_TIMEOUT_MS);
    // These answers are empty, so that one of another call can't be told from them: they have connections of their
    // own.
    let peer: Name = format!("free {server}").into();
    let is_held_back = || {
        let entry = entry.as_ref();
        entry.is_some_and(|entry| pauses::is_paused(gateway, entry))
    };
    let exchange = gateway.pool.exchange_unless(
        &peer,
        holder,
        request,
        MAX_ANSWER_BYTES,
        &is_held_back, //
    );
    // Servers drop results after a time of their own, so a failed call only delays the release of
    // their space.
    let exchanged = tokio::time::timeout(timeout, exchange).await;
    if let (Ok(Ok(response)), Some(entry)) = (exchanged, &entry) {
        let (status, headers) = (response.status(), response.headers());
        departures::observe(gateway, entry, status, headers);
        pauses::observe(gateway, entry, sent_at, status, headers);
    }
}
