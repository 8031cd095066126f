//! Runs pieces of stages: on this host, or on the one that gathers the calls of a service.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream::{
    FuturesUnordered,
    StreamExt, //
};
use http::Request;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use opentelemetry::KeyValue;
use tokio::sync::oneshot;

use super::{
    Gateway,
    log::Event,
    peers::{
        self,
        Reply, //
    },
    upstream::{
        ANY_NUMBER,
        Reuse, //
    },
};
use crate::{
    core::gateway::{
        balance,
        batch::{
            Call,
            Piece,
            Queue,
            Ticket, //
        },
        config::{
            Role,
            Stages, //
        },
        plan::Input,
        spill,
    },
    edges::gateway::Failure,
    names::Name,
    time::Instant,
};

/// Factor on the usual time of a call after which its server counts as stuck.
const STUCK_FACTOR: f64 = 3.0;

/// Time on top of that, in milliseconds: calls that wait at the server and long ways.
const STUCK_MS: f64 = 500.0;

/// Times that a piece is tried.
const MAX_TRIES: u32 = 3;

/// Time for which results are gathered before their server is told that they aren't needed, in
/// milliseconds.
const FREE_MS: u64 = 10;

/// Time that a call which frees results may take, in milliseconds.
const FREE_LIMIT_MS: u64 = 1_000;

/// Time that news of progress may take, in milliseconds.
const PROGRESS_LIMIT_MS: u64 = 400;

/// Change of the expected time from which other regions hear of it, in milliseconds.
const NEWS_MS: u64 = 40;

/// Time after which they hear of it without a change, in milliseconds.
const REPEAT_MS: u64 = 350;

/// Size of inputs from which pieces go to where they lie, in bytes.
const HEAVY_BYTES: u64 = 300_000;

/// Largest answer of a server, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

type Waiter = oneshot::Sender<Result<Name, Failure>>;

/// The queue of a service on this host, and who waits for its pieces.
pub(super) struct Gatherer {
    service: Name,
    queue: RefCell<Queue>,
    waiters: RefCell<HashMap<Ticket, (Waiter, u32)>>,
    told: RefCell<Option<(Instant, peers::Progress)>>,
}

/// Takes pieces out of the queue when nobody waits for them any more.
struct Cancel<'a> {
    gatherer: &'a Gatherer,
    tickets: Vec<Ticket>,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        for &ticket in &self.tickets {
            self.gatherer.queue.borrow_mut().cancel(ticket);
            self.gatherer.waiters.borrow_mut().remove(&ticket);
        }
    }
}

fn gatherer(gateway: &Gateway, service: &Name) -> Rc<Gatherer> {
    let mut queues = gateway.queues.borrow_mut();
    let new = || {
        Rc::new(Gatherer {
            service: service.clone(),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            told: RefCell::default(),
        })
    };
    queues.entry(service.clone()).or_insert_with(new).clone()
}

fn stages_of(gateway: &Gateway, service: &str) -> Option<Stages> {
    match gateway.config()?.services.get(service)?.role {
        Role::Stages(stages) => Some(stages),
        Role::Plain | Role::Engine { .. } => None,
    }
}

/// Results of a stage, and who gathered the calls.
#[derive(Clone, Debug)]
pub(super) struct Made {
    /// The service.
    pub(super) service: Name,
    /// The host that has to learn when they aren't needed, `None` for this one.
    pub(super) owner: Option<SocketAddr>,
    /// The results, in order of their pieces.
    pub(super) results: Vec<Name>,
}

/// Runs all pieces of one stage of a request.
pub(super) async fn run(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
) -> Result<Made, Failure> {
    let start = gateway.now();
    let request = pieces.first().map(|piece| piece.request.clone());
    let count = pieces.len();
    let (owner, result) = run_at_owner(gateway, service, pieces).await;
    let ms = gateway.now().since_ms(start);
    gateway
        .metrics
        .stage_ms
        .record(ms, &[KeyValue::new("service", service.to_string())]);
    let outcome = match &result {
        Ok(_) => "done".to_string(),
        Err(failure) => format!("{failure:?}"),
    };
    gateway.log.write(&Event::Stage {
        request: request.as_deref().unwrap_or_default(),
        service,
        owner: &owner,
        pieces: count,
        outcome: &outcome,
        ms,
    });
    let (owner, results) = result?;
    Ok(Made {
        service: service.clone(),
        owner,
        results,
    })
}

type Ran = Result<(Option<SocketAddr>, Vec<Name>), Failure>;

async fn run_at_owner(gateway: &Rc<Gateway>, service: &Name, pieces: Vec<Piece>) -> (Name, Ran) {
    let own = gateway.own.host.clone();
    let region = input_region(gateway, &pieces);
    let region = region.unwrap_or_else(|| gateway.own.region.clone());
    let Some((owner, address)) = owner(gateway, service, &region) else {
        return (own, run_as_owner(gateway, service, pieces, true).await);
    };
    if owner == own {
        return (own, run_as_owner(gateway, service, pieces, true).await);
    }
    match ask_owner(gateway, address, service, &pieces, false).await {
        Ok(ran) => (owner, ran),
        Err(error) => {
            let now = gateway.now();
            if gateway.hosts.borrow_mut().suspect(now, &owner, true) {
                gateway.log.write(&Event::Dependency {
                    name: &owner,
                    up: false,
                    why: &error.to_string(),
                });
            }
            (own, run_as_owner(gateway, service, pieces, true).await)
        }
    }
}

/// Returns the region in which the results lie that pieces work on, where moving them costs more
/// than asking there.
fn input_region(gateway: &Gateway, pieces: &[Piece]) -> Option<Name> {
    let first = pieces.first()?;
    if first.input_bytes * (pieces.len() as u64) < HEAVY_BYTES {
        return None;
    }
    let Input::Results(inputs) = &first.input else {
        return None;
    };
    region_of_result(gateway, inputs.first()?)
}

/// Returns the region of the server that holds a result.
pub(super) fn region_of_result(gateway: &Gateway, result: &str) -> Option<Name> {
    let holder = gateway.adapter.holder(result)?;
    let servers = gateway.servers.borrow();
    let server = servers.get(&servers.at(holder)?)?;
    Some(gateway.region_of(&server.entry.data_centre))
}

async fn ask_owner(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    service: &Name,
    pieces: &[Piece],
    is_forwarded: bool,
) -> Result<Ran, peers::Error> {
    let now = gateway.now();
    let Some(mut ask) = peers::Ask::new(now, service, pieces) else {
        return Ok(Ok((None, Vec::new())));
    };
    ask.is_forwarded = is_forwarded;
    let limit_ms = pieces
        .first()
        .map_or(0, |piece| piece.deadline.since_ms(now));
    match peers::run_pieces(gateway, address, &ask, limit_ms).await? {
        Reply::Results { results, owner } if results.len() == pieces.len() => {
            Ok(Ok((Some(owner.unwrap_or(address)), results)))
        }
        Reply::Results { .. } => Ok(Err(Failure::Failed)),
        Reply::Failed(failure) => Ok(Err(failure.into())),
    }
}

/// Runs pieces as the host that gathers the calls of this region: here, or in another region that is
/// less behind.
pub(super) async fn run_as_owner(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
    may_forward: bool,
) -> Ran {
    let far = if may_forward {
        choose_region(gateway, service, &pieces)
    } else {
        None
    };
    if let Some(address) = far
        && let Ok(ran) = ask_owner(gateway, address, service, &pieces, true).await
    {
        return ran;
    }
    let results = run_here(gateway, service, pieces).await?;
    Ok((None, results))
}

fn choose_region(gateway: &Gateway, service: &Name, pieces: &[Piece]) -> Option<SocketAddr> {
    let first = pieces.first()?;
    let stages = stages_of(gateway, service)?;
    let now = gateway.now();
    let servers = near_servers(gateway, service);
    let gatherer = gatherer(gateway, service);
    let own_done_ms = gatherer.queue.borrow().estimate_ms(
        now,
        &stages,
        &servers,
        pieces.len(),
        first.result_bytes,
    );
    let ask = spill::Ask {
        pieces: pieces.len(),
        result_bytes: first.result_bytes,
        input_bytes: first.input_bytes,
        piece_ms: stages.piece_ms as u64,
        own_done_ms,
    };
    gateway.far.borrow_mut().choose(now, service, ask)
}

/// Takes news of another region.
pub(super) fn heard_progress(gateway: &Gateway, progress: peers::Progress) {
    let far = spill::Far {
        owner: progress.owner,
        done_ms: progress.done_ms,
        room_bytes: progress.room_bytes,
        heard: gateway.now(),
    };
    let mut map = gateway.far.borrow_mut();
    map.heard(progress.service, progress.region, far);
}

/// Returns the host that gathers calls of a service in a region.
fn owner(gateway: &Gateway, service: &Name, region: &Name) -> Option<(Name, SocketAddr)> {
    let hosts = gateway.hosts.borrow();
    let near = hosts
        .reachable(gateway.now())
        .filter(|host| host.beat.serving && host.beat.region == *region);
    let owner = near.max_by_key(|host| balance::hash(&[&host.beat.host, service]))?;
    Some((owner.beat.host.clone(), owner.beat.peers))
}

/// Runs pieces with calls of this host.
pub(super) async fn run_here(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
) -> Result<Vec<Name>, Failure> {
    let gatherer = gatherer(gateway, service);
    let mut receivers = Vec::with_capacity(pieces.len());
    let mut cancel = Cancel {
        gatherer: &gatherer,
        tickets: Vec::with_capacity(pieces.len()),
    };
    let now = gateway.now();
    for piece in pieces {
        let ticket = gatherer.queue.borrow_mut().offer(piece);
        let (sender, receiver) = oneshot::channel();
        gatherer
            .waiters
            .borrow_mut()
            .insert(ticket, (sender, MAX_TRIES));
        cancel.tickets.push(ticket);
        receivers.push(receiver);
        gateway.budget.borrow_mut().first(now, service);
    }
    pump(gateway, &gatherer);
    let mut results = Vec::with_capacity(receivers.len());
    for receiver in receivers {
        // A waiter that is dropped belongs to a call that failed without a word.
        match receiver.await.unwrap_or(Err(Failure::Failed)) {
            Ok(result) => results.push(result),
            Err(failure) => {
                free(gateway, made_here(service, results));
                return Err(failure);
            }
        }
    }
    Ok(results)
}

/// Drops what can't be in time, and sends what can be sent.
fn pump(gateway: &Rc<Gateway>, gatherer: &Rc<Gatherer>) {
    let Some(stages) = stages_of(gateway, &gatherer.service) else {
        return;
    };
    let now = gateway.now();
    let servers = servers(gateway, &gatherer.service);
    let lost = gatherer.queue.borrow_mut().expire(now, &stages, &servers);
    for ticket in lost {
        answer(gateway, gatherer, ticket, Err(Failure::Late));
    }
    loop {
        let call = gatherer.queue.borrow_mut().next(now, &stages, &servers);
        let Some(call) = call else { break };
        let gateway = gateway.clone();
        let gatherer = gatherer.clone();
        tokio::task::spawn_local(async move {
            run_call(&gateway, &gatherer, stages, call).await;
            pump(&gateway, &gatherer);
        });
    }
}

/// Returns the servers of a service that this host uses: those of its region, if there are any.
fn servers(gateway: &Gateway, service: &str) -> Vec<Name> {
    let near = near_servers(gateway, service);
    if !near.is_empty() {
        return near;
    }
    let table = gateway.servers.borrow();
    let all = table.usable(service);
    all.map(|server| server.entry.id.clone()).collect()
}

fn near_servers(gateway: &Gateway, service: &str) -> Vec<Name> {
    let table = gateway.servers.borrow();
    let near = table
        .usable(service)
        .filter(|server| gateway.region_of(&server.entry.data_centre) == gateway.own.region);
    near.map(|server| server.entry.id.clone()).collect()
}

fn made_here(service: &Name, results: Vec<Name>) -> Made {
    Made {
        service: service.clone(),
        owner: None,
        results,
    }
}

fn answer(
    gateway: &Rc<Gateway>,
    gatherer: &Gatherer,
    ticket: Ticket,
    result: Result<Name, Failure>,
) {
    let waiter = gatherer.waiters.borrow_mut().remove(&ticket);
    let unwanted = match waiter {
        Some((waiter, _)) => waiter.send(result).err(),
        None => Some(result),
    };
    // Whoever waited has left, so nobody will free the result.
    if let Some(Ok(result)) = unwanted {
        free(gateway, made_here(&gatherer.service, vec![result]));
    }
}

/// How a call with pieces ended.
enum End {
    Results(Vec<Result<Name, Failure>>),
    NotRun(&'static str),
    Lost(String),
}

impl End {
    /// Returns the number of pieces whose results found no room.
    fn without_room(&self) -> usize {
        let Self::Results(results) = self else {
            return 0;
        };
        let without = results
            .iter()
            .filter(|result| **result == Err(Failure::NoRoom));
        without.count()
    }
}

async fn run_call(gateway: &Rc<Gateway>, gatherer: &Gatherer, stages: Stages, call: Call) {
    let start = gateway.now();
    let usual_ms = stages.call_ms + stages.piece_ms * call.pieces.len() as f64;
    let limit = Duration::from_millis((usual_ms * STUCK_FACTOR + STUCK_MS) as u64);
    let end = tokio::time::timeout(limit, send(gateway, &call))
        .await
        .unwrap_or_else(|_| End::Lost("no answer in time".to_string()));
    let now = gateway.now();
    let (outcome, failed) = match &end {
        End::Results(_) => ("done", false),
        End::NotRun(why) => (*why, true),
        End::Lost(why) => (why.as_str(), true),
    };
    gateway.metrics.batch_pieces.record(
        call.pieces.len() as u64,
        &[KeyValue::new("service", gatherer.service.to_string())],
    );
    gateway.log.write(&Event::Batch {
        service: &gatherer.service,
        server: &call.server,
        pieces: call.pieces.len(),
        waiting: gatherer.queue.borrow().len(),
        no_room: end.without_room(),
        held_bytes: gatherer.queue.borrow().held_bytes(&call.server),
        outcome,
        ms: now.since_ms(start),
    });
    if end.without_room() > 0 {
        let mut queue = gatherer.queue.borrow_mut();
        queue.no_room(now, &stages, &call.server);
    }
    let results = match end {
        End::Results(results) => results,
        End::NotRun(_) | End::Lost(_) => vec![Err(Failure::Failed); call.pieces.len()],
    };
    let handles: Vec<Option<Name>> = results.iter().cloned().map(Result::ok).collect();
    let handles = if failed {
        None
    } else {
        Some(handles.as_slice())
    };
    gatherer
        .queue
        .borrow_mut()
        .finished(now, &stages, &call, handles);
    for ((ticket, piece), result) in call.pieces.into_iter().zip(results) {
        let may_retry = matches!(result, Err(Failure::Failed | Failure::NoRoom));
        if may_retry && take_retry(gateway, gatherer, ticket) {
            gatherer.queue.borrow_mut().put_back(ticket, piece);
        } else {
            answer(gateway, gatherer, ticket, result);
        }
    }
}

/// Takes one more try for a piece, if it, its waiter and the service's budget have one left.
fn take_retry(gateway: &Gateway, gatherer: &Gatherer, ticket: Ticket) -> bool {
    let mut waiters = gatherer.waiters.borrow_mut();
    let Some((_, tries)) = waiters.get_mut(&ticket) else {
        return false;
    };
    *tries -= 1;
    if *tries == 0 {
        return false;
    }
    let hosts = gateway.sharers();
    let now = gateway.now();
    gateway
        .budget
        .borrow_mut()
        .take(now, &gatherer.service, hosts)
}

async fn send(gateway: &Gateway, call: &Call) -> End {
    let now = gateway.now();
    let address = gateway
        .servers
        .borrow()
        .get(&call.server)
        .map(|server| server.entry.address);
    let Some(address) = address else {
        return End::NotRun("server gone");
    };
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
        return End::NotRun("no request");
    };
    let sent = gateway
        .pool
        .send(&call.server, address, request, Reuse::Any, ANY_NUMBER)
        .await;
    let (response, lease) = match sent {
        Ok(sent) => sent,
        Err(error) => return End::Lost(error.to_string()),
    };
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => return End::Lost(error.to_string()),
    };
    lease.finish();
    match status {
        200 => match gateway.adapter.piece_results(&body) {
            Ok(results) if results.len() == call.pieces.len() => End::Results(results),
            Ok(results) => End::Lost(format!("{} results", results.len())),
            Err(error) => End::Lost(error.to_string()),
        },
        503 => End::NotRun("server full"),
        421 => End::NotRun("another server"),
        status => End::Lost(format!("status {status}")),
    }
}

fn request(
    gateway: &Gateway,
    server: &Name,
    address: SocketAddr,
    call: crate::edges::gateway::Call,
) -> Option<Request<Full<Bytes>>> {
    let headers = gateway.adapter.headers();
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address.to_string())
        .header(&headers.expected_server, server.as_str());
    if let Some(kind) = call.content_type {
        request = request.header(http::header::CONTENT_TYPE, kind);
    }
    request.body(Full::new(call.body)).ok()
}

/// Does what falls due with time: sends what became free to be sent, and tells other regions how far
/// this one is.
pub(super) fn tick(gateway: &Rc<Gateway>) {
    let gatherers: Vec<_> = gateway.queues.borrow().values().cloned().collect();
    for gatherer in gatherers {
        if !gatherer.queue.borrow().is_empty() {
            pump(gateway, &gatherer);
        }
    }
    let Some(config) = gateway.config() else {
        return;
    };
    for service in config.services.values() {
        if let Role::Stages(stages) = service.role {
            tell_progress(gateway, &service.name, &stages);
        }
    }
}

/// Tells the owners of other regions how far this one is, if this host is its owner.
fn tell_progress(gateway: &Rc<Gateway>, service: &Name, stages: &Stages) {
    let own = &gateway.own;
    let is_owner = owner(gateway, service, &own.region).is_some_and(|(name, _)| name == own.host);
    if !is_owner {
        return;
    }
    let now = gateway.now();
    let servers = near_servers(gateway, service);
    let gatherer = gatherer(gateway, service);
    let queue = gatherer.queue.borrow();
    let Some(done_ms) = queue.estimate_ms(now, stages, &servers, 1, 0) else {
        return;
    };
    let progress = peers::Progress {
        service: service.clone(),
        region: own.region.clone(),
        owner: gateway.options.borrow().listen.peers,
        done_ms,
        room_bytes: queue.room_bytes(stages, &servers),
    };
    drop(queue);
    if !gatherer.is_news(now, &progress) {
        return;
    }
    let regions: std::collections::BTreeSet<Name> = {
        let options = gateway.options.borrow();
        options.regions.values().cloned().collect()
    };
    for region in regions.iter().filter(|region| **region != own.region) {
        let Some((_, address)) = owner(gateway, service, region) else {
            continue;
        };
        let gateway = gateway.clone();
        let progress = progress.clone();
        tokio::task::spawn_local(async move {
            // News that is lost is followed by more, and is stale soon anyway.
            let _ = peers::tell_progress(&gateway, address, &progress, PROGRESS_LIMIT_MS).await;
        });
    }
}

impl Gatherer {
    /// Returns whether other regions should hear of this progress, and notes that they did.
    fn is_news(&self, now: Instant, progress: &peers::Progress) -> bool {
        let mut told = self.told.borrow_mut();
        if let Some((at, before)) = &*told {
            let change_ms = progress.done_ms.abs_diff(before.done_ms);
            let age_ms = now.since_ms(*at);
            if change_ms < NEWS_MS && age_ms < REPEAT_MS {
                return false;
            }
        }
        *told = Some((now, progress.clone()));
        true
    }
}

/// Where results are that aren't needed any more, and who has to learn that.
type Holder = (Name, SocketAddr, Option<SocketAddr>);

/// Results that aren't needed any more, by the server that holds them.
#[derive(Default)]
pub(super) struct Unneeded(RefCell<HashMap<Holder, Vec<Name>>>);

/// Tells servers that results aren't needed any more, a few at a time.
pub(super) fn free(gateway: &Rc<Gateway>, made: Made) {
    for result in made.results {
        let Some(server) = gateway.adapter.holder(&result) else {
            continue;
        };
        let holder = (made.service.clone(), server, made.owner);
        let mut unneeded = gateway.unneeded.0.borrow_mut();
        let waiting = unneeded.entry(holder.clone()).or_default();
        waiting.push(result);
        if waiting.len() == 1 {
            tokio::task::spawn_local(send_free(gateway.clone(), holder));
        }
    }
}

async fn send_free(gateway: Rc<Gateway>, holder: Holder) {
    tokio::time::sleep(Duration::from_millis(FREE_MS)).await;
    let Some(results) = gateway.unneeded.0.borrow_mut().remove(&holder) else {
        return;
    };
    let (service, _, owner) = holder;
    let Some(owner) = owner else {
        return free_here(&gateway, &service, results).await;
    };
    let free = peers::Free { service, results };
    if peers::free(&gateway, owner, &free, FREE_LIMIT_MS)
        .await
        .is_err()
    {
        // The owner is gone, so the servers learn it from here.
        free_here(&gateway, &free.service, free.results).await;
    }
}

/// Frees results whose calls this host gathered.
pub(super) async fn free_here(gateway: &Rc<Gateway>, service: &Name, results: Vec<Name>) {
    let mut by_holder: HashMap<SocketAddr, Vec<Name>> = HashMap::new();
    let gatherer = gatherer(gateway, service);
    for result in results {
        if let Some(holder) = gateway.adapter.holder(&result) {
            by_holder.entry(holder).or_default().push(result);
        }
    }
    let mut running: FuturesUnordered<_> = by_holder
        .into_iter()
        .map(|(holder, results)| async move {
            free_at(gateway, holder, &results).await;
            results
        })
        .collect();
    while let Some(results) = running.next().await {
        for result in &results {
            gatherer.queue.borrow_mut().freed(result);
        }
        pump(gateway, &gatherer);
    }
}

async fn free_at(gateway: &Gateway, holder: SocketAddr, results: &[Name]) {
    let Some(server) = gateway.servers.borrow().at(holder) else {
        return;
    };
    let call = gateway.adapter.free_results(results);
    let Some(request) = request(gateway, &server, holder, call) else {
        return;
    };
    let limit = Duration::from_millis(FREE_LIMIT_MS);
    let exchange = async {
        let sent = gateway
            .pool
            .send(&server, holder, request, Reuse::Any, ANY_NUMBER)
            .await;
        let Ok((response, lease)) = sent else { return };
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        if body.collect().await.is_ok() {
            lease.finish();
        }
    };
    // The server drops results by itself after a while, so a failure costs only their room.
    let _ = tokio::time::timeout(limit, exchange).await;
}
