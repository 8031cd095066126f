//! One request: its stages, its attempts at servers, its answer.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream::{
    FuturesUnordered,
    StreamExt, //
};
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited,
    combinators::UnsyncBoxBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use opentelemetry::KeyValue;
use tokio::sync::mpsc;

use super::{
    Gateway,
    log::Event,
    news, stages,
    upstream::{
        self,
        Lease,
        Reuse, //
    },
};
use crate::{
    core::gateway::{
        answer::{
            self,
            End,
            Next, //
        },
        balance::{
            self,
            Part,
            Placed, //
        },
        batch::Piece,
        config::{
            Config,
            Denial,
            Kind,
            Organisation,
            Route, //
        },
        plan::{
            self,
            Plan, //
        },
        stream::Cutter,
    },
    edges::gateway::Failure,
    names::Name,
    time::Instant,
};

/// Time after a request's deadline for which an answer is still waited for, in milliseconds. A
/// server says itself that its time is over, which tells more than silence.
const LATE_MS: u64 = 150;

/// Largest answer that is no stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Time after which a request asks again for a server when all are full, in milliseconds.
const FULL_PAUSE_MS: u64 = 20;

/// Longest time for which a connection may have been idle before it carries what may run only once,
/// in milliseconds. Servers drop idle connections without notice.
const YOUNG_MS: u64 = 500;

/// Chunks of a stream that wait for a slow caller.
const WAITING_CHUNKS: usize = 16;

/// Time that the request itself takes after its stages, in milliseconds, as measured on a quiet day.
const RUN_MS: u64 = 150;

/// When to come back where nothing better is known, in seconds.
const RETRY_AFTER_S: f64 = 0.5;

/// Part of the time left after which a caller comes back that was refused for a burst, as a divisor.
/// Callers wait for a third of what they have left at most.
const WAIT_DIVISOR: f64 = 3.2;

/// Size of results from which a request runs where they lie, in bytes. The request's own bytes, which
/// then cross regions, cost about as much as a hundred times as many bytes of results.
const HEAVY_BYTES: u64 = 2_000_000;

/// Parts of a prompt that are read from a header.
const MAX_PARTS: usize = 16;

/// Headers that concern one connection alone.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// An answer's body.
pub(super) type Body = UnsyncBoxBody<Bytes, Broken>;

/// A stream ended before its end. The caller's connection is closed, so that it can't look whole.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream broke off")]
pub(super) struct Broken;

/// A body whose chunks come from a task.
struct Pipe(mpsc::Receiver<Result<Bytes, Broken>>);

impl hyper::body::Body for Pipe {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let chunk = self.0.poll_recv(cx);
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Wraps bytes as a body.
pub(super) fn whole(bytes: impl Into<Bytes>) -> Body {
    let never = |error: std::convert::Infallible| match error {};
    UnsyncBoxBody::new(Full::new(bytes.into()).map_err(never))
}

/// Counts a request as running until it is dropped.
struct Running(Rc<Gateway>);

impl Running {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.running.set(gateway.running.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get().saturating_sub(1));
    }
}

/// A place at a server, given back when it is dropped.
struct Place {
    gateway: Rc<Gateway>,
    placed: Option<Placed>,
}

impl Place {
    fn server(&self) -> Name {
        let placed = self.placed.as_ref();
        placed.map_or_else(|| "".into(), |placed| placed.server.clone())
    }

    fn source(&self) -> Option<Name> {
        self.placed.as_ref()?.source.clone()
    }

    fn read(&mut self) {
        if let Some(placed) = &mut self.placed {
            self.gateway.balancer.borrow_mut().read(placed);
        }
    }

    fn end(mut self, failed: bool) {
        if let Some(placed) = self.placed.take() {
            let now = self.gateway.now();
            self.gateway
                .balancer
                .borrow_mut()
                .ended(now, placed, failed);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(placed) = self.placed.take() {
            let now = self.gateway.now();
            self.gateway.balancer.borrow_mut().ended(now, placed, false);
        }
    }
}

/// Results of a request's stages, freed when it is dropped.
struct Results {
    gateway: Rc<Gateway>,
    made: RefCell<Vec<(usize, stages::Made)>>,
}

impl Results {
    fn free(&self) {
        self.free_where(|_| true);
    }

    fn free_where(&self, is_used: impl Fn(usize) -> bool) {
        let made = self.made.take();
        let (used, kept): (Vec<_>, Vec<_>) =
            made.into_iter().partition(|(stage, _)| is_used(*stage));
        *self.made.borrow_mut() = kept;
        for (_, made) in used {
            stages::free(&self.gateway, made);
        }
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        self.free();
    }
}

/// Why this host answers a request itself.
#[derive(Clone, Debug, PartialEq)]
struct Refusal {
    status: StatusCode,
    reason: String,
    retry_after_s: Option<f64>,
}

impl Refusal {
    fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after_s: None,
        }
    }

    /// The request has not run and never will.
    fn not_run(reason: impl Into<String>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: reason.into(),
            retry_after_s: Some(RETRY_AFTER_S),
        }
    }

    /// The request failed and may have run.
    fn may_have_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::new(status, reason)
    }
}

/// One request of a caller.
struct Flight {
    gateway: Rc<Gateway>,
    config: Rc<Config>,
    id: Name,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    service: Name,
    prompt: Vec<Part>,
    arrived: Instant,
    deadline: Instant,
    may_have_run: Cell<bool>,
    attempts: Cell<u32>,
    stages_ms: Cell<u64>,
    tried: RefCell<Vec<Name>>,
    results: Results,
    inputs: RefCell<Vec<Name>>,
    /// Region in which it runs best.
    region: RefCell<Name>,
    _running: Running,
}

/// Answers a request of a caller.
pub(super) async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let arrived = gateway.now();
    let id = text(request.headers(), &gateway.adapter.headers().request).to_string();
    match take(&gateway, arrived, &id, request).await {
        Ok(flight) => serve(Rc::new(flight)).await,
        Err(refusal) => refuse(&gateway, &id, arrived, &refusal),
    }
}

fn refuse(gateway: &Gateway, id: &str, arrived: Instant, refusal: &Refusal) -> Response<Body> {
    let status = refusal.status;
    gateway
        .metrics
        .count_request(status.as_u16(), &refusal.reason);
    gateway.log.write(&Event::Refused {
        request: id,
        status: status.as_u16(),
        reason: &refusal.reason,
        version: gateway.config().map_or(0, |config| config.version),
        ms: gateway.now().since_ms(arrived),
    });
    let mut response = Response::new(whole(refusal.reason.clone()));
    *response.status_mut() = status;
    let headers = gateway.adapter.headers();
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert(&headers.request, id);
    }
    if let Some(seconds) = refusal.retry_after_s
        && let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}"))
    {
        response.headers_mut().insert(&headers.retry_after, value);
    }
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn parts(text: &str) -> Vec<Part> {
    let parts = text.split(',').take(MAX_PARTS).filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: id.into(),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Reads a request and finds out what it may do.
async fn take(
    gateway: &Rc<Gateway>,
    arrived: Instant,
    id: &str,
    request: Request<Incoming>,
) -> Result<Flight, Refusal> {
    let running = Running::new(gateway);
    let config = gateway
        .config()
        .ok_or_else(|| Refusal::not_run("no configuration yet"))?;
    let names = gateway.adapter.headers();
    if id.is_empty() {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "no request id"));
    }
    let (head, body) = request.into_parts();
    let credential = head.headers.get(&names.credential);
    let credential = credential.and_then(|value| value.to_str().ok());
    let host = text(&head.headers, &header::HOST);
    let admitted = config.admit(host, head.uri.path(), credential);
    let (route, organisation) = admitted.map_err(|denial| match denial {
        Denial::NoRoute => Refusal::new(StatusCode::NOT_FOUND, denial.to_string()),
        Denial::Unauthorised => Refusal::new(StatusCode::UNAUTHORIZED, denial.to_string()),
    })?;
    let time_left: Option<u64> = text(&head.headers, &names.time_left).parse().ok();
    let time_left = time_left.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = arrived.after_ms(time_left);
    let body = Limited::new(body, config.limits.body_bytes).collect();
    let body = tokio::time::timeout(Duration::from_millis(time_left), body)
        .await
        .map_err(|_| Refusal::new(StatusCode::REQUEST_TIMEOUT, "body too slow"))?
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
            } else {
                Refusal::new(StatusCode::BAD_REQUEST, "body broke off")
            }
        })?
        .to_bytes();
    let service = route.target(balance::hash(&[id]));
    let service = service
        .cloned()
        .ok_or_else(|| Refusal::not_run("route without a service"))?;
    let prompt = if route.shares_prompts {
        parts(text(&head.headers, &names.prompt))
    } else {
        Vec::new()
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(Flight {
        gateway: gateway.clone(),
        config,
        id: id.into(),
        method: head.method,
        path: path.to_string(),
        headers: head.headers,
        body,
        route,
        organisation,
        service,
        prompt,
        arrived,
        deadline,
        may_have_run: Cell::default(),
        attempts: Cell::default(),
        stages_ms: Cell::default(),
        tried: RefCell::default(),
        results: Results {
            gateway: gateway.clone(),
            made: RefCell::default(),
        },
        inputs: RefCell::default(),
        region: RefCell::new(gateway.own.region.clone()),
        _running: running,
    })
}

async fn serve(flight: Rc<Flight>) -> Response<Body> {
    let gateway = flight.gateway.clone();
    let left_ms = flight.deadline.since_ms(gateway.now()) + LATE_MS;
    let limit = Duration::from_millis(left_ms);
    let result = tokio::time::timeout(limit, run(&flight))
        .await
        .unwrap_or_else(|_| Err(flight.give_up("deadline passed")));
    match result {
        Ok(response) => response,
        Err(refusal) => refuse(&gateway, &flight.id, flight.arrived, &refusal),
    }
}

async fn run(flight: &Rc<Flight>) -> Result<Response<Body>, Refusal> {
    flight.run_stages().await?;
    loop {
        let answer = flight.attempt(None).await;
        let (end, answer) = match answer {
            Ok(Answer::Stream(stream)) => return Ok(stream.respond(flight)),
            Ok(Answer::Whole(response)) => {
                (End::Answered(response.status().as_u16()), Ok(response))
            }
            Err(failure) => (failure.end, Err(failure)),
        };
        let mut next = answer::next(flight.route.kind, end, flight.may_have_run.get());
        if next == Next::Retry && !flight.may_retry(end) {
            next = match &answer {
                // A server's own failure tells more than one of ours.
                Ok(_) => Next::Deliver,
                Err(_) => answer::give_up(flight.may_have_run.get()),
            };
        }
        let reason = match &answer {
            Ok(response) => format!("server answered {}", response.status().as_u16()),
            Err(failure) => failure.reason.clone(),
        };
        match next {
            Next::Deliver => {
                if let Ok(response) = answer {
                    return Ok(flight.deliver(response));
                }
            }
            Next::Retry => {}
            Next::Refuse => return Err(Refusal::not_run(reason)),
            Next::Fail => {
                return Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason));
            }
        }
    }
}

/// An attempt that brought no answer.
struct Miss {
    end: End,
    reason: String,
    server: Option<Name>,
}

/// What an attempt brought.
enum Answer {
    Whole(Response<Bytes>),
    Stream(Box<Stream>),
}

/// A stream whose first events came.
struct Stream {
    head: http::response::Parts,
    first: Bytes,
    source: Source,
}

/// Where events come from.
struct Source {
    body: Incoming,
    lease: Option<Lease>,
    place: Place,
    cutter: Cutter,
}

/// What came next from a source.
enum Chunk {
    Events(Bytes),
    End,
    Lost(String),
}

impl Source {
    async fn next(&mut self) -> Chunk {
        loop {
            let frame = match self.body.frame().await {
                None if self.cutter.is_at_boundary() => {
                    if let Some(lease) = self.lease.take() {
                        lease.finish();
                    }
                    return Chunk::End;
                }
                None => return Chunk::Lost("ended within an event".to_string()),
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Chunk::Lost(error.to_string()),
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match self.cutter.push(&bytes) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Chunk::Events(events.into()),
                Err(error) => return Chunk::Lost(error.to_string()),
            }
        }
    }
}

impl Flight {
    fn ms(&self) -> u64 {
        self.gateway.now().since_ms(self.arrived)
    }

    /// Returns what to say where the request can't go on.
    fn give_up(&self, reason: &str) -> Refusal {
        if self.may_have_run.get() {
            Refusal::may_have_run(StatusCode::GATEWAY_TIMEOUT, reason)
        } else {
            Refusal::not_run(reason)
        }
    }

    fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority).min(9)
    }

    fn is_allowed(&self, data_centre: &Name) -> bool {
        let region = self.gateway.region_of(data_centre);
        let binds = |regions: &[Name]| !regions.is_empty() && !regions.contains(&region);
        let organisation = self.organisation.as_ref();
        !binds(&self.route.regions)
            && !organisation.is_some_and(|organisation| binds(&organisation.regions))
    }

    /// Takes one more attempt, if the route and the budget of retries have one left.
    fn may_retry(&self, end: End) -> bool {
        let now = self.gateway.now();
        if now >= self.deadline || self.attempts.get() >= self.route.max_attempts.max(1) {
            return false;
        }
        if end == End::NotSent {
            // Nothing arrived, so nothing is repeated.
            return true;
        }
        let hosts = self.gateway.sharers();
        self.gateway
            .budget
            .borrow_mut()
            .take(now, &self.service, hosts)
    }

    /// Runs the request's stages, each as soon as what it needs is done.
    async fn run_stages(&self) -> Result<(), Refusal> {
        if self.route.stages.is_empty() {
            return Ok(());
        }
        let names = self.gateway.adapter.headers();
        let counts = text(&self.headers, &names.pieces);
        if counts.is_empty() {
            return Ok(());
        }
        let counts: Vec<usize> = counts
            .split(',')
            .map_while(|count| count.trim().parse().ok())
            .collect();
        let key: Name = text(&self.headers, &names.piece_key).into();
        let plan = Plan::new(&self.route.stages, &counts, key);
        let mut plan =
            plan.map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))?;
        let mut running = FuturesUnordered::new();
        loop {
            for (stage, count, input) in plan.start() {
                let pieces = self.pieces(stage, count, &counts, &input);
                let service = self.route.stages[stage].service.clone();
                running.push(async move {
                    let start = self.gateway.now();
                    let result = stages::run(&self.gateway, &service, pieces).await;
                    let ms = self.gateway.now().since_ms(start);
                    self.gateway.times.borrow_mut().took(&service, ms);
                    (stage, result)
                });
            }
            let Some((stage, result)) = running.next().await else {
                break;
            };
            let made = result.map_err(|failure| self.refuse_stage(stage, failure))?;
            plan.finish(stage, made.results.clone());
            self.results.made.borrow_mut().push((stage, made));
            self.results.free_where(|stage| plan.is_used(stage));
        }
        self.stages_ms.set(self.ms());
        self.follow_results();
        *self.inputs.borrow_mut() = plan.inputs();
        Ok(())
    }

    /// Refuses a request whose stages can't be run. A burst lasts for seconds, so the caller is asked
    /// to come back as late as leaves time for the request.
    fn refuse_stage(&self, stage: usize, failure: Failure) -> Refusal {
        let left_ms = self.deadline.since_ms(self.gateway.now());
        let mut refusal = Refusal::not_run(format!("stage {stage}: {}", failure_text(failure)));
        if failure == Failure::Late {
            let seconds = left_ms as f64 / 1_000.0 / WAIT_DIVISOR;
            refusal.retry_after_s = Some(seconds.max(RETRY_AFTER_S));
        }
        refusal
    }

    /// Runs the request in the region that holds most of its results, where they are large.
    fn follow_results(&self) {
        let mut bytes: std::collections::BTreeMap<Name, u64> = std::collections::BTreeMap::new();
        for (stage, made) in &*self.results.made.borrow() {
            for result in &made.results {
                if let Some(region) = stages::region_of_result(&self.gateway, result) {
                    *bytes.entry(region).or_default() += self.route.stages[*stage].result_bytes;
                }
            }
        }
        let most = bytes.into_iter().max_by_key(|&(_, bytes)| bytes);
        if let Some((region, bytes)) = most
            && bytes >= HEAVY_BYTES
        {
            *self.region.borrow_mut() = region;
        }
    }

    fn pieces(
        &self,
        stage: usize,
        count: usize,
        counts: &[usize],
        input: &plan::Input,
    ) -> Vec<Piece> {
        let before = self.route.stages[stage].after.iter();
        let bytes = before.map(|&before| {
            let pieces = counts.get(before).copied().unwrap_or(0) as u64;
            self.route.stages[before].result_bytes * pieces
        });
        let input_bytes: u64 = bytes.sum();
        let after_ms = {
            let times = self.gateway.times.borrow();
            times.after_ms(&self.route.stages, stage, &self.config)
                + times.mean_ms(&self.service, RUN_MS)
        };
        let piece = |index| Piece {
            request: self.id.clone(),
            stage,
            index,
            input: input.clone(),
            result_bytes: self.route.stages[stage].result_bytes,
            input_bytes,
            wanted: self.arrived.after_ms(self.route.objective_ms),
            deadline: self.deadline,
            priority: self.priority(),
            after_ms,
        };
        (0..count).map(piece).collect()
    }

    async fn place(&self) -> Result<Place, Miss> {
        let miss = |reason: String| Miss {
            end: End::NotSent,
            reason,
            server: None,
        };
        let cold_per_s = self.config.services.get(&self.service);
        let cold_per_s = cold_per_s.map_or(0.0, |service| service.cold_per_s);
        let factor = self.gateway.options.borrow().bounds.cold_factor;
        loop {
            let now = self.gateway.now();
            let tried = self.tried.borrow().clone();
            let ask = balance::Ask {
                service: &self.service,
                prompt: &self.prompt,
                tried: &tried,
                cold_per_s: cold_per_s * factor,
                hosts: self.gateway.sharers(),
                near_hosts: self.gateway.near_hosts(),
            };
            let placed = self.gateway.balancer.borrow_mut().place(
                now,
                &self.gateway.servers.borrow(),
                &ask,
                &|server| self.is_allowed(&server.entry.data_centre),
                &|server| {
                    self.gateway.region_of(&server.entry.data_centre) == *self.region.borrow()
                },
            );
            match placed {
                Ok(placed) => {
                    self.log_placed(now, &placed);
                    news::placed(&self.gateway, &placed.server, &self.prompt);
                    return Ok(Place {
                        gateway: self.gateway.clone(),
                        placed: Some(placed),
                    });
                }
                Err(balance::Error::Full) if now.after_ms(RUN_MS) < self.deadline => {
                    tokio::time::sleep(Duration::from_millis(FULL_PAUSE_MS)).await;
                }
                Err(error) => {
                    // No server is left to try, so no attempt is either.
                    self.attempts.set(u32::MAX);
                    return Err(miss(error.to_string()));
                }
            }
        }
    }

    fn log_placed(&self, now: Instant, placed: &Placed) {
        let gateway = &self.gateway;
        let servers = gateway.servers.borrow();
        let heard = servers.get(&placed.server).map(|server| server.heard);
        gateway.log.write(&Event::Placed {
            request: &self.id,
            server: &placed.server,
            attempt: self.attempts.get(),
            running: gateway.balancer.borrow().running(&placed.server),
            tokens: placed.tokens,
            age_ms: heard.map_or(0, |heard| now.since_ms(heard)),
        });
    }

    /// Sends the request to one server. `resume` is the event after which a stream goes on.
    async fn attempt(&self, resume: Option<u64>) -> Result<Answer, Miss> {
        let place = self.place().await?;
        let server = place.server();
        self.tried.borrow_mut().push(server.clone());
        let result = self.send(place, resume).await;
        if let Err(miss) = &result {
            self.gateway
                .metrics
                .count_attempt(&self.service, &miss.reason);
            self.gateway.log.write(&Event::Failed {
                request: &self.id,
                server: miss.server.as_ref().unwrap_or(&server),
                end: &miss.reason,
                next: if self.route.kind.is_repeatable() {
                    "repeatable"
                } else {
                    "once"
                },
                ms: self.ms(),
            });
        }
        result
    }

    async fn send(&self, place: Place, resume: Option<u64>) -> Result<Answer, Miss> {
        let server = place.server();
        let entry = self
            .gateway
            .servers
            .borrow()
            .get(&server)
            .map(|server| server.entry.clone());
        let miss = |end: End, reason: String| Miss {
            end,
            reason,
            server: Some(server.clone()),
        };
        let Some(entry) = entry else {
            return Err(miss(End::NotSent, "server gone".to_string()));
        };
        let request = self
            .request(&server, place.source(), resume)
            .ok_or_else(|| miss(End::NotSent, "request can't be written".to_string()))?;
        let reuse = if self.route.kind.is_repeatable() {
            Reuse::Any
        } else {
            Reuse::Young(YOUNG_MS)
        };
        self.attempts.set(self.attempts.get().saturating_add(1));
        if self.attempts.get() == 1 {
            let now = self.gateway.now();
            self.gateway.budget.borrow_mut().first(now, &self.service);
        }
        // Until the answer says otherwise, and also if nobody waits for it any more.
        let before = self.may_have_run.replace(true);
        let sent = self
            .gateway
            .pool
            .send(&server, entry.address, request, reuse)
            .await;
        let (response, lease) = match sent {
            Ok(sent) => sent,
            Err(upstream::Error::NotSent(reason)) => {
                self.may_have_run.set(before);
                place.end(true);
                return Err(miss(End::NotSent, reason));
            }
            Err(upstream::Error::Lost(reason)) => {
                place.end(true);
                return Err(miss(End::Lost, reason));
            }
        };
        self.receive(place, response, lease, before, resume).await
    }

    /// Checks the head of an answer and takes what follows it.
    async fn receive(
        &self,
        place: Place,
        response: Response<Incoming>,
        lease: Lease,
        before: bool,
        resume: Option<u64>,
    ) -> Result<Answer, Miss> {
        let server = place.server();
        let names = self.gateway.adapter.headers();
        let miss = |end: End, reason: String| Miss {
            end,
            reason,
            server: Some(server.clone()),
        };
        let status = response.status();
        let echo = text(response.headers(), &names.request);
        if !echo.is_empty() && echo != &*self.id {
            place.end(true);
            return Err(miss(End::Lost, "answer to another request".to_string()));
        }
        if response.headers().contains_key(&names.not_run) || status.as_u16() == 421 {
            self.may_have_run.set(before);
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            if body.collect().await.is_ok() {
                lease.finish();
            }
            place.end(status.as_u16() == 421);
            return Err(miss(
                End::NotRun,
                format!("not run, status {}", status.as_u16()),
            ));
        }
        let is_signed = response.headers().contains_key(&names.signature);
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if status.is_success() && (!is_signed || is_encoded || echo.is_empty()) {
            place.end(true);
            return Err(miss(
                End::Lost,
                "success without the server's mark".to_string(),
            ));
        }
        if self.route.kind.is_stream() && status.is_success() {
            return self.receive_stream(place, response, lease, resume).await;
        }
        let (head, body) = response.into_parts();
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => {
                lease.finish();
                place.end(status.is_server_error());
                Ok(Answer::Whole(Response::from_parts(head, body.to_bytes())))
            }
            Err(error) => {
                place.end(true);
                Err(miss(End::Lost, format!("answer broke off: {error}")))
            }
        }
    }

    async fn receive_stream(
        &self,
        place: Place,
        response: Response<Incoming>,
        lease: Lease,
        resume: Option<u64>,
    ) -> Result<Answer, Miss> {
        let server = place.server();
        let (head, body) = response.into_parts();
        let mut source = Source {
            body,
            lease: Some(lease),
            place,
            cutter: Cutter::after(resume),
        };
        match source.next().await {
            Chunk::Events(first) => {
                source.place.read();
                let ms = self.ms().saturating_sub(self.stages_ms.get());
                self.gateway.times.borrow_mut().took(&self.service, ms);
                // The server fetched the results before it read the prompt.
                self.results.free();
                Ok(Answer::Stream(Box::new(Stream {
                    head,
                    first,
                    source,
                })))
            }
            Chunk::End => Ok(Answer::Whole(Response::from_parts(head, Bytes::new()))),
            Chunk::Lost(reason) => {
                source.place.end(true);
                Err(Miss {
                    end: End::Lost,
                    reason,
                    server: Some(server),
                })
            }
        }
    }

    fn request(
        &self,
        server: &Name,
        source: Option<Name>,
        resume: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let names = self.gateway.adapter.headers();
        let mut headers = HeaderMap::with_capacity(self.headers.len() + 4);
        let nominated = text(&self.headers, &header::CONNECTION).to_ascii_lowercase();
        let is_nominated = |name: &HeaderName| {
            let mut nominated = nominated.split(',');
            nominated.any(|text| text.trim() == name.as_str())
        };
        let set_here = [
            &names.time_left,
            &names.organisation,
            &names.expected_server,
            &names.priority,
            &names.inputs,
            &names.cache_source,
            &names.credential,
            &header::CONTENT_LENGTH,
            &header::EXPECT,
        ];
        for (name, value) in &self.headers {
            let stays = HOP_HEADERS.contains(name)
                || set_here.contains(&name)
                || names.reserved.contains(name)
                || is_nominated(name);
            if !stays {
                headers.append(name, value.clone());
            }
        }
        let value = |text: &str| HeaderValue::from_str(text).ok();
        let left_ms = self.deadline.since_ms(self.gateway.now());
        headers.insert(&names.time_left, HeaderValue::from(left_ms));
        headers.insert(&names.expected_server, value(server)?);
        headers.insert(
            &names.priority,
            HeaderValue::from(u16::from(self.priority())),
        );
        if let Some(organisation) = &self.organisation {
            headers.insert(&names.organisation, value(&organisation.name)?);
        }
        if let Some(source) = source
            && let Some(server) = self.gateway.servers.borrow().get(&source)
        {
            let address = value(&server.entry.address.to_string())?;
            headers.insert(&names.cache_source, address);
        }
        let inputs = self.inputs.borrow();
        if !inputs.is_empty() {
            let inputs: Vec<&str> = inputs.iter().map(Name::as_str).collect();
            headers.insert(&names.inputs, value(&inputs.join(","))?);
        }
        if let Some(last) = resume {
            headers.insert(&names.last_event, HeaderValue::from(last));
        }
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    fn deliver(&self, response: Response<Bytes>) -> Response<Body> {
        let (mut head, body) = response.into_parts();
        clean(&mut head.headers);
        self.log_answered(head.status, true, self.ms());
        Response::from_parts(head, whole(body))
    }

    fn log_answered(&self, status: StatusCode, is_whole: bool, first_ms: u64) {
        let gateway = &self.gateway;
        let reason = if is_whole { "answered" } else { "broke off" };
        gateway.metrics.count_request(status.as_u16(), reason);
        let route = KeyValue::new("route", self.route.name.to_string());
        gateway.metrics.first_byte_ms.record(first_ms, &[route]);
        gateway.log.write(&Event::Answered {
            request: &self.id,
            route: &self.route.name,
            status: status.as_u16(),
            whole: is_whole,
            attempts: self.attempts.get(),
            stages_ms: self.stages_ms.get(),
            first_ms,
            ms: self.ms(),
        });
    }
}

fn clean(headers: &mut HeaderMap) {
    let nominated = text(headers, &header::CONNECTION).to_ascii_lowercase();
    for name in nominated.split(',') {
        if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
            headers.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    // The length is written anew from the body.
    headers.remove(header::CONTENT_LENGTH);
}

fn failure_text(failure: Failure) -> &'static str {
    match failure {
        Failure::Late => "can't be in time",
        Failure::InputGone => "a result that it needs is gone",
        Failure::NoRoom => "no room for results",
        Failure::Failed => "failed",
    }
}

impl Stream {
    /// Answers with the events that came, and passes on what follows from a task.
    fn respond(self: Box<Self>, flight: &Rc<Flight>) -> Response<Body> {
        let Self {
            mut head,
            first,
            source,
        } = *self;
        let (sender, receiver) = mpsc::channel(WAITING_CHUNKS);
        // The channel is empty, so there is room.
        let _ = sender.try_send(Ok(first));
        let first_ms = flight.ms();
        let status = head.status;
        let flight = flight.clone();
        tokio::task::spawn_local(async move {
            let is_whole = pump(&flight, source, &sender).await;
            flight.log_answered(status, is_whole, first_ms);
        });
        clean(&mut head.headers);
        Response::from_parts(head, UnsyncBoxBody::new(Pipe(receiver)))
    }
}

/// Passes events on until the end, and returns whether the stream is whole.
async fn pump(
    flight: &Rc<Flight>,
    mut source: Source,
    sender: &mpsc::Sender<Result<Bytes, Broken>>,
) -> bool {
    let left_ms = flight.deadline.since_ms(flight.gateway.now()) + LATE_MS;
    let deadline = tokio::time::sleep(Duration::from_millis(left_ms));
    tokio::pin!(deadline);
    loop {
        let chunk = tokio::select! {
            chunk = source.next() => chunk,
            // The caller left. Dropping the source closes the server's connection.
            () = sender.closed() => return false,
            () = &mut deadline => {
                let _ = sender.send(Err(Broken)).await;
                return false;
            }
        };
        match chunk {
            Chunk::Events(events) => {
                if sender.send(Ok(events)).await.is_err() {
                    return false;
                }
            }
            Chunk::End => return true,
            Chunk::Lost(reason) => match resume(flight, source, &reason).await {
                Some(next) => {
                    let (next, events) = next;
                    source = next;
                    if sender.send(Ok(events)).await.is_err() {
                        return false;
                    }
                }
                None => {
                    // The caller's connection is closed either way.
                    let _ = sender.send(Err(Broken)).await;
                    return false;
                }
            },
        }
    }
}

/// Goes on at another server after the last whole event, where that is allowed.
async fn resume(flight: &Rc<Flight>, lost: Source, reason: &str) -> Option<(Source, Bytes)> {
    let last = lost.cutter.last();
    let server = lost.place.server();
    // Closes the connection, so that the server stops before another one goes on.
    drop(lost.lease);
    lost.place.end(true);
    flight.gateway.log.write(&Event::Failed {
        request: &flight.id,
        server: &server,
        end: reason,
        next: "resume",
        ms: flight.ms(),
    });
    let resumes = matches!(flight.route.kind, Kind::Stream { resumes: true });
    while resumes && last.is_some() && flight.may_retry(End::Lost) {
        if let Ok(Answer::Stream(stream)) = flight.attempt(last).await {
            return Some((stream.source, stream.first));
        }
    }
    None
}
