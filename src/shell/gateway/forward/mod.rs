//! One request: its stages, its attempts at servers, its answer.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    header, //
};
use hyper::body::Incoming;
use opentelemetry::KeyValue;

use crate::shell::gateway::{
    Gateway,
    log::Event,
    stages, //
};
use crate::{
    core::gateway::{
        balance::{
            self,
            Segment, //
        },
        config::{
            Config,
            Denial,
            Organisation,
            Route, //
        },
        retry::{
            self,
            Action,
            Outcome, //
        },
    },
    names::Name,
    time::Instant,
};

pub(super) use reply::{
    Body,
    Broken,
    whole, //
};
use reply::{
    Refusal,
    clean,
    refuse,
    text, //
};
use send::Answer;

mod body;
mod place;
mod prepare;
mod receive;
mod reply;
mod send;
mod stream;

/// Time after a request's deadline for which an answer is still waited for, in milliseconds. A
/// server says itself that its time is over, which tells more than silence.
const LATE_MS: u64 = 150;

/// Time that the request itself takes after its stages, in milliseconds, as measured on a quiet day.
const RUN_MS: u64 = 150;

/// Parts of a prompt that are read from a header.
const MAX_PARTS: usize = 16;

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

/// Results of a request's stages, freed when it is dropped.
struct Results {
    gateway: Rc<Gateway>,
    made: RefCell<Vec<(usize, stages::Output)>>,
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
    prompt: Vec<Segment>,
    arrived: Instant,
    deadline: Instant,
    may_have_run: Cell<bool>,
    attempts: Cell<u32>,
    stages_ms: Cell<u64>,
    tried: RefCell<Vec<Name>>,
    results: Results,
    inputs: RefCell<Vec<Name>>,
    /// Whether no server is left to try.
    is_exhausted: Cell<bool>,
    /// Region in which it runs best.
    region: RefCell<Name>,
    _running: Running,
    _held: body::Held,
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

fn parts(text: &str) -> Vec<Segment> {
    let parts = text.split(',').take(MAX_PARTS).filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Segment {
            id: id.into(),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns the bytes that a head takes on the wire.
fn head_bytes(head: &http::request::Parts) -> usize {
    /// Bytes between a name and its value, and at the end of a line.
    const LINE_BYTES: usize = 4;
    let line = head.method.as_str().len() + head.uri.to_string().len();
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES);
    line + headers.sum::<usize>()
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
    if head_bytes(&head) > config.limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Refusal::new(status, "head too large"));
    }
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
    let body = body::read(gateway, body, config.limits.body_bytes);
    let (body, held) = tokio::time::timeout(Duration::from_millis(time_left), body)
        .await
        .map_err(|_| Refusal::new(StatusCode::REQUEST_TIMEOUT, "body too slow"))??;
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
        is_exhausted: Cell::default(),
        region: RefCell::new(gateway.own.region.clone()),
        _running: running,
        _held: held,
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
                (Outcome::Answered(response.status().as_u16()), Ok(response))
            }
            Err(failure) => (failure.end, Err(failure)),
        };
        let mut next = retry::decide(flight.route.kind, end, flight.may_have_run.get());
        if next == Action::Retry && !flight.may_retry(end) {
            next = match &answer {
                // A server's own failure tells more than one of ours.
                Ok(_) => Action::Deliver,
                Err(_) => retry::exhausted(flight.may_have_run.get()),
            };
        }
        let reason = match &answer {
            Ok(response) => format!("server answered {}", response.status().as_u16()),
            Err(failure) => failure.reason.clone(),
        };
        match next {
            Action::Deliver => {
                if let Ok(response) = answer {
                    return Ok(flight.deliver(response));
                }
            }
            Action::Retry => {}
            Action::Refuse => return Err(Refusal::not_run(reason)),
            Action::Fail => {
                return Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason));
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
