//! Asks dispatchers for servers, and answers the questions of other hosts.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::sync::oneshot;

use super::{
    Message,
    send_to, //
};
use crate::{
    core::gateway::{
        dispatch::{
            Ask,
            Grant,
            Reply,
            Report, //
        },
        placement::Sample, //
    },
    names::Name,
    shell::gateway::{
        Gateway,
        limits,
        pauses,
        rollouts, //
    },
    time::Instant,
};

/// Time after which a question is sent again, in milliseconds. A host whose share of a processor is
/// used up may run only in the next tenth of a second.
const RESEND_MS: u64 = 100;

/// Time after which the next dispatcher is asked, in milliseconds, beside the way to it.
const TIMEOUT_MS: u64 = 200;

/// Time for the way to another region and back, in milliseconds.
const REMOTE_REGION_MS: u64 = 50;

/// Time for which a dispatcher that did not answer isn't asked, in milliseconds.
const SILENT_MS: u64 = 1_000;

/// Maximum age of a grant when its request is sent, in milliseconds. The limit of the server counts
/// requests within a second, so an older grant may no longer fit it.
const MAX_GRANT_AGE_MS: u64 = 400;

/// Maximum number of reports in one datagram.
const MAX_REPORTS: usize = 60;

/// Questions and reports of this host.
#[derive(Default)]
pub(super) struct State {
    next_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    silent: RefCell<HashMap<Name, Instant>>,
    reports: RefCell<HashMap<SocketAddr, Vec<Report>>>,
}

/// Outcome of a question.
#[derive(Debug)]
pub(in crate::shell::gateway) enum Answer {
    /// A dispatcher assigned a server.
    Granted(Grant, Lease),
    /// All usable servers of the region are at their limits, or there is none.
    Full,
    /// All usable servers of the region get as much as the rates allow that they name. With the time
    /// until one may get a request, in milliseconds.
    Limited(Option<u64>),
    /// No dispatcher of the region answers.
    Silent,
}

/// A grant in use. Its dispatcher gets reports about it.
#[derive(Clone, Debug)]
pub(in crate::shell::gateway) struct Lease {
    id: u64,
    /// The dispatcher.
    pub(in crate::shell::gateway) dispatcher: Name,
    address: SocketAddr,
    // Whether the dispatcher compares servers by latency.
    is_measured: bool,
}

impl Lease {
    /// Reports that the first event of the request arrived.
    pub(in crate::shell::gateway) fn finish_prefill(
        &self,
        gateway: &Gateway,
        sample: Option<Sample>,
    ) {
        let id = self.id;
        let made = match sample {
            Some(sample) if self.is_measured => Report::FirstEvent { id, sample },
            _ => Report::Prefilled { id },
        };
        report(gateway, self.address, made);
    }

    /// Reports the end of the request. `failed` states that the server caused a failure.
    pub(in crate::shell::gateway) fn complete(&self, gateway: &Gateway, failed: bool) {
        let id = self.id;
        report(gateway, self.address, Report::Completed { id, failed });
    }
}

/// Asks the dispatchers of a region for the server of a request.
pub(in crate::shell::gateway) async fn ask(
    gateway: &Rc<Gateway>,
    region: &Name,
    question: &Ask,
) -> Answer {
    let overview = gateway.overview();
    let dispatchers = overview.dispatchers.get(region);
    for dispatcher in dispatchers.into_iter().flatten() {
        let asked_at = gateway.now();
        if is_silent(gateway, &dispatcher.host, asked_at) {
            continue;
        }
        let is_own = dispatcher.host == gateway.identity.host;
        let reply = if is_own {
            Some(assign(gateway, question))
        } else {
            let timeout_ms = if *region == gateway.identity.region {
                TIMEOUT_MS
            } else {
                TIMEOUT_MS + REMOTE_REGION_MS
            };
            ask_host(gateway, dispatcher.address, question, timeout_ms).await
        };
        let now = gateway.now();
        match reply {
            Some(Reply::Granted(grant)) => {
                let lease = Lease {
                    id: grant.id,
                    dispatcher: dispatcher.host.clone(),
                    address: dispatcher.address,
                    is_measured: grant.is_measured,
                };
                if now.since_ms(asked_at) <= MAX_GRANT_AGE_MS {
                    return Answer::Granted(grant, lease);
                }
                // This host was paused meanwhile.
                lease.complete(gateway, false);
                return Answer::Silent;
            }
            Some(Reply::Full | Reply::NoServer) => return Answer::Full,
            Some(Reply::Limited(wait_ms)) => return Answer::Limited(wait_ms),
            Some(Reply::NotReady) => {}
            None => {
                let until = now.after_ms(SILENT_MS);
                let mut silent = gateway.datagrams.assignments.silent.borrow_mut();
                silent.insert(dispatcher.host.clone(), until);
            }
        }
    }
    Answer::Silent
}

fn is_silent(gateway: &Gateway, host: &Name, now: Instant) -> bool {
    let mut silent = gateway.datagrams.assignments.silent.borrow_mut();
    silent.retain(|_, until| now < *until);
    silent.contains_key(host)
}

/// Removes a question that nobody waits for any more.
struct Waiting<'a> {
    gateway: &'a Gateway,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut waiting = self.gateway.datagrams.assignments.waiting.borrow_mut();
        waiting.remove(&self.number);
    }
}

async fn ask_host(
    gateway: &Gateway,
    address: SocketAddr,
    question: &Ask,
    timeout_ms: u64,
) -> Option<Reply> {
    let state = &gateway.datagrams.assignments;
    let number = state.next_number.get();
    state.next_number.set(number + 1);
    let (sender, receiver) = oneshot::channel();
    state.waiting.borrow_mut().insert(number, sender);
    let _waiting = Waiting { gateway, number };
    let message = Message::Ask {
        number,
        ask: question.clone(),
    };
    tokio::pin!(receiver);
    for wait_ms in [RESEND_MS, timeout_ms - RESEND_MS] {
        send_to(gateway, address, &message);
        let wait = Duration::from_millis(wait_ms);
        if let Ok(reply) = tokio::time::timeout(wait, receiver.as_mut()).await {
            // The sender is kept until the question is removed.
            return reply.ok();
        }
    }
    None
}

/// Assigns a request as the dispatcher of this host's region.
fn assign(gateway: &Gateway, question: &Ask) -> Reply {
    let Some(config) = gateway.config() else {
        return Reply::NotReady;
    };
    let Some(service) = config.services.get(&question.service) else {
        return Reply::NoServer;
    };
    let factor = gateway.options.borrow().bounds.cold_factor;
    let placement = gateway.options.borrow().features.placement;
    let skipped = Cell::new(false);
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.configure(&config, placement);
    let reply = dispatcher.ask(
        gateway.now(),
        &gateway.servers.borrow(),
        question,
        service.cold_requests_per_s * factor,
        &|server| limits::dispatcher_share(gateway, server),
        &|server| {
            if gateway.region_of(&server.entry.data_centre) != gateway.identity.region
                || !rollouts::may_grant(gateway, &server.entry, question.constraint)
            {
                return false;
            }
            // A server that is overloaded by the requests of this host has no room for those of others.
            let is_paused = pauses::is_paused(gateway, &server.entry);
            skipped.set(skipped.get() || is_paused);
            !is_paused
        },
    );
    match reply {
        // The servers that paused this host may take requests of the one that asks, which assigns them itself.
        Reply::NoServer if skipped.get() => Reply::NotReady,
        reply => reply,
    }
}

/// Answers the question of another host.
pub(super) fn answer(gateway: &Gateway, from: SocketAddr, number: u64, question: &Ask) {
    let reply = assign(gateway, question);
    send_to(gateway, from, &Message::Reply { number, reply });
}

/// Receives the answer of a dispatcher.
pub(super) fn receive(gateway: &Gateway, from: SocketAddr, number: u64, reply: Reply) {
    let state = &gateway.datagrams.assignments;
    let waiting = state.waiting.borrow_mut().remove(&number);
    let unused = match waiting {
        Some(sender) => sender.send(reply).err(),
        None => Some(reply),
    };
    // The question was sent twice, or its answer came too late.
    if let Some(Reply::Granted(grant)) = unused {
        let id = grant.id;
        report(gateway, from, Report::Completed { id, failed: false });
    }
}

/// Records reports of another host.
pub(super) fn record(gateway: &Gateway, reports: &[Report]) {
    for &report in reports {
        record_one(gateway, report);
    }
}

fn record_one(gateway: &Gateway, report: Report) {
    let now = gateway.now();
    let belief = gateway.dispatcher.borrow_mut().report(now, report);
    if let Some(belief) = belief {
        gateway.metrics.count_belief(belief);
    }
}

fn report(gateway: &Gateway, to: SocketAddr, report: Report) {
    if to == gateway.options.borrow().listen.gossip {
        return record_one(gateway, report);
    }
    let mut reports = gateway.datagrams.assignments.reports.borrow_mut();
    reports.entry(to).or_default().push(report);
}

/// Sends the reports that were made since the last call.
pub(super) fn flush(gateway: &Gateway) {
    let reports = gateway.datagrams.assignments.reports.take();
    for (to, reports) in reports {
        for chunk in reports.chunks(MAX_REPORTS) {
            send_to(gateway, to, &Message::Reports(chunk.to_vec()));
        }
    }
}
