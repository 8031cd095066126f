//! Batches the pieces that are queued for a service on this host into calls to its servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    Response, //
};
use http_body_util::Full;
use opentelemetry::KeyValue;
use tokio::sync::oneshot;

use crate::shell::gateway::{
    Gateway, SERVER_UNUSABLE, clock, departures, limits,
    log::Event,
    pauses, peers,
    rollouts::{
        self,
        Hold,
        Observation, //
    },
    upstream::{
        self,
        Reuse, //
    },
};
use crate::{
    core::gateway::{
        batch::{
            Call,
            Outcome,
            Piece,
            Queue,
            Ticket, //
        },
        config::{
            Role,
            Stages, //
        },
        holding::Purpose,
        pause::Wait,
        servers::{
            Entry,
            Server, //
        },
    },
    edges::{
        self,
        gateway::Failure, //
    },
    names::Name,
    time::Instant,
};

use super::{
    MAX_ANSWER_BYTES,
    Output,
    free::free, //
};

/// Timeout of a call, as a multiple of its expected time.
pub(super) const CALL_TIMEOUT_FACTOR: f64 = 3.0;

/// Time that is added to the timeout of a call, in milliseconds, for queueing at the server and
/// network latency.
pub(super) const CALL_TIMEOUT_SLACK_MS: f64 = 500.0;

/// Number of attempts for a piece.
pub(super) const MAX_TRIES: u32 = 3;

pub(super) type Waiter = oneshot::Sender<Result<Name, Failure>>;

/// The queue of a service on this host, with the waiters for its pieces and their attempts left.
pub(in crate::shell::gateway) struct Batcher {
    pub(super) service: Name,
    pub(super) queue: RefCell<Queue>,
    pub(super) waiters: RefCell<HashMap<Ticket, (Waiter, u32)>>,
    pub(super) sent_progress: RefCell<Option<(Instant, peers::Progress)>>,
}

/// Cancels the pieces that are still queued when their waiter is dropped.
pub(super) struct CancelGuard<'a> {
    pub(super) batcher: &'a Batcher,
    pub(super) tickets: Vec<Ticket>,
}

impl Batcher {
    /// Returns the number of calls in progress and of results of this host at a server.
    pub(in crate::shell::gateway) fn uses(&self, server: &str) -> usize {
        self.queue.borrow().uses(server)
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        for &ticket in &self.tickets {
            self.batcher.queue.borrow_mut().cancel(ticket);
            self.batcher.waiters.borrow_mut().remove(&ticket);
        }
    }
}

pub(super) fn batcher(gateway: &Gateway, service: &Name) -> Rc<Batcher> {
    let mut queues = gateway.batchers.borrow_mut();
    let new = || {
        Rc::new(Batcher {
            service: service.clone(),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            sent_progress: RefCell::default(),
        })
    };
    queues.entry(service.clone()).or_insert_with(new).clone()
}

pub(super) fn stages_of(gateway: &Gateway, service: &str) -> Option<Stages> {
    match gateway.config()?.services.get(service)?.role {
        Role::Stages(stages) => Some(stages),
        Role::Plain | Role::Engine(_) => None,
    }
}

/// Runs pieces with calls from this host.
pub(super) async fn run_local(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
) -> Result<Vec<Name>, Failure> {
    let batcher = batcher(gateway, service);
    let mut receivers = Vec::with_capacity(pieces.len());
    let mut cancel = CancelGuard {
        batcher: &batcher,
        tickets: Vec::with_capacity(pieces.len()),
    };
    let now = gateway.now();
    for piece in pieces {
        let ticket = batcher.queue.borrow_mut().enqueue(piece);
        let (sender, receiver) = oneshot::channel();
        batcher
            .waiters
            .borrow_mut()
            .insert(ticket, (sender, MAX_TRIES));
        cancel.tickets.push(ticket);
        receivers.push(receiver);
        gateway.budget.borrow_mut().record_request(now, service);
    }
    dispatch(gateway, &batcher);
    let mut results = Vec::with_capacity(receivers.len());
    for receiver in receivers {
        // The sender is dropped without a result only if its call ended abnormally.
        match receiver.await.unwrap_or(Err(Failure::Failed)) {
            Ok(result) => results.push(result),
            Err(failure) => {
                free(gateway, local_output(service, results));
                return Err(failure);
            }
        }
    }
    Ok(results)
}

/// Fails the pieces that can't meet their deadline, and sends all calls that are due.
pub(super) fn dispatch(gateway: &Rc<Gateway>, batcher: &Rc<Batcher>) {
    let Some(stages) = stages_of(gateway, &batcher.service) else {
        return;
    };
    let now = gateway.now();
    let servers = eligible_servers(gateway, &batcher.service);
    record_pauses(gateway, batcher, &servers);
    let expired = batcher.queue.borrow_mut().expire(now, &stages, &servers);
    for ticket in expired {
        complete_piece(gateway, batcher, ticket, Err(Failure::Late));
    }
    loop {
        let call = next_call(gateway, batcher, &stages, &servers);
        let Some(call) = call else { break };
        let hold = Hold::new(gateway, &call.server);
        let mut limiter = gateway.stage_limiter.borrow_mut();
        limiter.record(now, &call.server);
        drop(limiter);
        let gateway = gateway.clone();
        let batcher = batcher.clone();
        tokio::task::spawn_local(async move {
            run_call(&gateway, &batcher, stages, call).await;
            drop(hold);
            dispatch(&gateway, &batcher);
        });
    }
}

/// Tells the queue how long the servers are paused, and whether no server of the service may get a call.
fn record_pauses(gateway: &Gateway, batcher: &Batcher, servers: &[Name]) {
    let now = gateway.now();
    let table = gateway.servers.borrow();
    let mut queue = batcher.queue.borrow_mut();
    for id in servers {
        let server = table.get(id);
        let wait = server.and_then(|server| pauses::wait(gateway, &server.entry));
        let paused_ms = match wait {
            Some(Wait::Paused(ms)) => ms,
            Some(Wait::Trial) | None => 0,
        };
        queue.record_pause(id, now.after_ms(paused_ms));
    }
    let usable = table.usable(&batcher.service);
    let used = usable.filter(|server| !rollouts::is_barred(gateway, &server.entry));
    let wait = pauses::wait_of_all(gateway, used);
    queue.set_paused(matches!(wait, Some(Wait::Paused(_))));
}

/// Returns the next call: for a trial of a new version if one is due, otherwise for the servers that are used.
fn next_call(
    gateway: &Gateway,
    batcher: &Batcher,
    stages: &Stages,
    servers: &[Name],
) -> Option<Call> {
    let now = gateway.now();
    let trial = rollouts::trial_servers(gateway, &batcher.service);
    let local = trial.filter(|trial| !trial.is_empty()).map(|trial| {
        let own = &gateway.identity.data_centre;
        servers_where(gateway, &batcher.service, |server| {
            trial.contains(&server.entry.id) && server.entry.data_centre == *own
        })
    });
    for servers in local.as_deref().into_iter().chain([servers]) {
        let open = servers_below_rate(gateway, servers);
        let call = batcher.queue.borrow_mut().next_call(now, stages, &open);
        if call.is_some() {
            return call;
        }
    }
    None
}

/// Returns the servers that may get a call now, by the rates that they name and the pauses that they asked for.
fn servers_below_rate(gateway: &Gateway, servers: &[Name]) -> Vec<Name> {
    let now = gateway.now();
    let table = gateway.servers.borrow();
    let limiter = gateway.stage_limiter.borrow();
    let is_below = |id: &&Name| {
        let server = table.get(id);
        if server.is_some_and(|server| pauses::wait(gateway, &server.entry).is_some()) {
            return false;
        }
        let share = server.and_then(|server| limits::stage_share(gateway, server));
        share.is_none_or(|share| limiter.wait_ms(now, id, share) == Some(0))
    };
    servers.iter().filter(is_below).cloned().collect()
}

/// Returns the servers of a service that this host uses: those of its data centre, otherwise those
/// of its region, otherwise all.
pub(super) fn eligible_servers(gateway: &Gateway, service: &Name) -> Vec<Name> {
    let own = &gateway.identity;
    let is_local = |server: &Server| server.entry.data_centre == own.data_centre;
    let is_near = |server: &Server| gateway.region_of(&server.entry.data_centre) == own.region;
    let scopes: [&dyn Fn(&Server) -> bool; 3] = [&is_local, &is_near, &|_| true];
    for selection in rollouts::selections(gateway, service, true) {
        for is_wanted in scopes {
            let servers = servers_where(gateway, service, |server| {
                is_wanted(server) && selection.admits(&server.entry)
            });
            if !servers.is_empty() {
                return servers;
            }
        }
    }
    Vec::new()
}

/// Returns the servers of a service in this data centre whose versions are used.
pub(super) fn local_servers(gateway: &Gateway, service: &Name) -> Vec<Name> {
    let own = &gateway.identity.data_centre;
    let selections = rollouts::selections(gateway, service, true);
    let selected = selections.iter().map(|selection| {
        servers_where(gateway, service, |server| {
            server.entry.data_centre == *own && selection.admits(&server.entry)
        })
    });
    let mut used = selected.filter(|servers| !servers.is_empty());
    used.next().unwrap_or_default()
}

fn servers_where(
    gateway: &Gateway,
    service: &str,
    is_wanted: impl Fn(&Server) -> bool,
) -> Vec<Name> {
    let table = gateway.servers.borrow();
    let servers = table.usable(service).filter(|&server| is_wanted(server));
    servers.map(|server| server.entry.id.clone()).collect()
}

pub(super) fn local_output(service: &Name, results: Vec<Name>) -> Output {
    Output {
        service: service.clone(),
        owner: None,
        results,
    }
}

pub(super) fn complete_piece(
    gateway: &Rc<Gateway>,
    batcher: &Batcher,
    ticket: Ticket,
    result: Result<Name, Failure>,
) {
    let waiter = batcher.waiters.borrow_mut().remove(&ticket);
    let undelivered = match waiter {
        Some((waiter, _)) => waiter.send(result).err(),
        None => Some(result),
    };
    // The waiter is gone, so the result has to be freed here.
    if let Some(Ok(result)) = undelivered {
        free(gateway, local_output(&batcher.service, vec![result]));
    }
}

/// Outcome of a call with pieces.
pub(super) enum Completion {
    Results(Vec<Result<Name, Failure>>),
    /// The server's version may no longer get the call, which was not sent.
    Withheld,
    NotRun(&'static str),
    /// Not sent, since its server asked for a pause meanwhile.
    HeldBack,
    Failed(String),
}

impl Completion {
    /// Returns the number of pieces that failed for lack of space for their results.
    fn no_room_count(&self) -> usize {
        let Self::Results(results) = self else {
            return 0;
        };
        let no_room = results
            .iter()
            .filter(|result| **result == Err(Failure::NoRoom));
        no_room.count()
    }
}

fn call_timeout_ms(stages: &Stages, call: &Call) -> u64 {
    let expected_ms = stages.call_ms + stages.piece_ms * call.pieces.len() as f64;
    (expected_ms * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK_MS) as u64
}

pub(super) async fn run_call(gateway: &Rc<Gateway>, batcher: &Batcher, stages: Stages, call: Call) {
    let start = gateway.now();
    let timeout_after = Duration::from_millis(call_timeout_ms(&stages, &call));
    let completion = tokio::time::timeout(timeout_after, send(gateway, batcher, &stages, &call))
        .await
        .unwrap_or_else(|_| Completion::Failed("no answer in time".to_string()));
    let now = gateway.now();
    let (outcome, failed) = match &completion {
        Completion::Results(_) => ("done", false),
        Completion::Withheld => ("version not used", true),
        Completion::NotRun(reason) => (*reason, true),
        Completion::HeldBack => (pauses::HELD_BACK, false),
        Completion::Failed(reason) => (reason.as_str(), true),
    };
    gateway.metrics.batch_pieces.record(
        call.pieces.len() as u64,
        &[KeyValue::new("service", batcher.service.to_string())],
    );
    gateway.log.write(&Event::Batch {
        service: &batcher.service,
        server: &call.server,
        pieces: call.pieces.len(),
        waiting: batcher.queue.borrow().len(),
        no_room: completion.no_room_count(),
        held_bytes: batcher.queue.borrow().held_bytes(&call.server),
        outcome,
        ms: now.since_ms(start),
    });
    let server_is_full = completion.no_room_count() > 0;
    let is_withheld = matches!(completion, Completion::Withheld);
    let results = match completion {
        Completion::Results(results) => results,
        Completion::Withheld | Completion::NotRun(_) | Completion::Failed(_) => {
            vec![Err(Failure::Failed); call.pieces.len()]
        }
        // Queued again without an attempt, like pieces for which a server lacked space.
        Completion::HeldBack => vec![Err(Failure::NoRoom); call.pieces.len()],
    };
    let handles: Vec<Option<Name>> = results.iter().cloned().map(Result::ok).collect();
    let outcome = if failed {
        Outcome::Failed
    } else {
        Outcome::Ran {
            results: &handles,
            is_full: server_is_full,
        }
    };
    batcher
        .queue
        .borrow_mut()
        .complete_call(now, &stages, &call, outcome);
    for ((ticket, piece), result) in call.pieces.into_iter().zip(results) {
        let should_retry = match result {
            // The piece did not run, so this takes none of its attempts. It expires at its deadline.
            Err(Failure::NoRoom) => batcher.waiters.borrow().contains_key(&ticket),
            Err(Failure::Failed) if is_withheld => batcher.waiters.borrow().contains_key(&ticket),
            Err(Failure::Failed) => take_retry(gateway, batcher, ticket),
            _ => false,
        };
        if should_retry {
            batcher.queue.borrow_mut().requeue(ticket, piece);
        } else {
            complete_piece(gateway, batcher, ticket, result);
        }
    }
}

/// Takes an attempt and a retry of the service's budget for a piece. Returns `false` if either is
/// used up or nobody waits for the piece.
pub(super) fn take_retry(gateway: &Gateway, batcher: &Batcher, ticket: Ticket) -> bool {
    let mut waiters = batcher.waiters.borrow_mut();
    let Some((_, tries)) = waiters.get_mut(&ticket) else {
        return false;
    };
    *tries -= 1;
    if *tries == 0 {
        return false;
    }
    let hosts = gateway.overview().group.size();
    let now = gateway.now();
    gateway
        .budget
        .borrow_mut()
        .try_take(now, &batcher.service, hosts)
}

pub(super) async fn send(
    gateway: &Rc<Gateway>,
    batcher: &Batcher,
    stages: &Stages,
    call: &Call,
) -> Completion {
    let now = gateway.now();
    let Some(entry) = gateway.usable_entry(&call.server) else {
        let entry = gateway.server_entry(&call.server);
        let is_withheld = entry.is_some_and(|entry| !rollouts::may_send(gateway, &entry));
        return if is_withheld {
            Completion::Withheld
        } else {
            Completion::NotRun(SERVER_UNUSABLE)
        };
    };
    let Some(sent_at) = pauses::claim(gateway, &entry) else {
        return Completion::HeldBack;
    };
    let address = entry.address;
    let sent_unix_ms = clock::unix_ms();
    let pieces: Vec<(&Piece, u64)> = call
        .pieces
        .iter()
        .map(|(_, piece)| (piece, piece.deadline.since_ms(now)))
        .collect();
    let request = request(
        gateway,
        &call.server,
        address,
        gateway.adapter.run_pieces(&pieces),
    );
    let Some(request) = request else {
        return Completion::NotRun("no request");
    };
    let deadline = now.after_ms(call_timeout_ms(stages, call));
    let counted = rollouts::record_sent(gateway, &entry);
    // Calls with pieces of all routes share the service's name as their route.
    let observation = Observation::begin(gateway, &entry, &batcher.service, deadline, false);
    let is_held_back =
        || pauses::is_paused(gateway, &entry) || rollouts::is_barred(gateway, &entry);
    let sent = gateway.pool.send(
        &call.server,
        address,
        request,
        Reuse::Any,
        upstream::UNLIMITED,
        &is_held_back, //
    );
    let completion = exchange(
        gateway,
        batcher,
        call,
        &entry,
        (sent_at, sent_unix_ms),
        sent,
    )
    .await;
    match &completion {
        Completion::Results(results) => {
            Observation::finish(observation, results.contains(&Err(Failure::Failed)));
        }
        Completion::Failed(_) => Observation::finish(observation, true),
        Completion::Withheld | Completion::NotRun(_) => Observation::discard(observation),
        Completion::HeldBack => {
            rollouts::record_held_back(gateway, &entry, counted);
            Observation::discard(observation);
        }
    }
    completion
}

/// Awaits the answer to a call and checks it.
async fn exchange(
    gateway: &Gateway,
    batcher: &Batcher,
    call: &Call,
    entry: &Entry,
    (sent_at, sent_unix_ms): (Instant, u64),
    sent: impl Future<Output = Result<(Response<upstream::Body>, upstream::Lease), upstream::Error>>,
) -> Completion {
    let (response, mut lease) = match sent.await {
        Ok(sent) => sent,
        Err(upstream::Error::HeldBack) => return Completion::HeldBack,
        Err(error) => return Completion::Failed(error.to_string()),
    };
    let (status, headers) = (response.status(), response.headers());
    pauses::observe(gateway, entry, sent_at, status, headers);
    departures::observe(gateway, entry, status, headers);
    let status = response.status().as_u16();
    // Another server than the one expected answers 421.
    if status != 421 {
        limits::observe(gateway, entry, sent_unix_ms, response.headers());
    }
    let body = response.into_body();
    let body = gateway
        .held
        .collect(Purpose::Request, body, MAX_ANSWER_BYTES);
    let body = match body.await {
        Ok(body) => body,
        Err(error) => return Completion::Failed(format!("answer broke off: {error}")),
    };
    let completion = match status {
        200 => match gateway.adapter.piece_results(&body) {
            Ok(results) if results.len() == call.pieces.len() => Completion::Results(results),
            Ok(results) => Completion::Failed(format!("{} results", results.len())),
            Err(error) => Completion::Failed(error.to_string()),
        },
        503 => Completion::NotRun("server full"),
        421 => Completion::NotRun("another server"),
        status => Completion::Failed(format!("status {status}")),
    };
    if let Completion::Results(results) = &completion {
        let results: Vec<Name> = results.iter().cloned().filter_map(Result::ok).collect();
        let mut queue = batcher.queue.borrow_mut();
        // A connection may idle while others carry more calls than the queue remembers.
        if queue.is_repeated(&call.server, &results) || lease.is_repeated(&body) {
            // The answer to this call may follow, so the connection is closed.
            return Completion::Failed("answer to an earlier call".to_string());
        }
        // Nothing tells an answer without results from a late copy of another one, so the next call isn't sent on
        // this connection, where a copy may follow.
        if !results.is_empty() {
            lease.finish();
        }
    }
    completion
}

/// Builds the request of a call. A header names the only server that may run it, so that another
/// server at the same address refuses it.
pub(super) fn request(
    gateway: &Gateway,
    server: &Name,
    address: SocketAddr,
    call: edges::gateway::Call,
) -> Option<Request<Full<Bytes>>> {
    let mut request = upstream::request(address, call).ok()?;
    let expected = &gateway.adapter.headers().expected_server;
    let server = HeaderValue::from_str(server).ok()?;
    request.headers_mut().insert(expected, server);
    Some(request)
}
