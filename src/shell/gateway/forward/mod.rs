//! Forwarding of one request: admission, pipeline stages, attempts at servers and the response.

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
    log::{
        End,
        Event, //
    },
    quarantines,
    rollouts::Hold,
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
        content::{
            self,
            Content, //
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

use held::Whole;
pub(super) use reply::{
    Body,
    Truncated,
    full_body, //
};
use reply::{
    Refusal,
    header_text,
    refuse,
    remove_hop_headers, //
};
use send::Answer;

mod assign;
mod body;
mod held;
mod leave;
mod pipeline;
mod receive;
mod reply;
mod send;
mod stream;

/// Time past a request's deadline for which the gateway still waits for a response, in
/// milliseconds. A server reports an expired deadline itself, and its response says more than a
/// timeout here.
const ANSWER_GRACE_MS: u64 = 150;

/// Expected time of the request itself after its stages while no measurement exists, in
/// milliseconds. Corresponds to a lightly loaded server.
const EXPECTED_RUN_MS: u64 = 150;

/// Maximum number of prompt segments read from the header.
const MAX_SEGMENTS: usize = 16;

/// Reason of a refusal for a quarantined request or part of its prompt.
const QUARANTINED: &str = "the request or a part of its prompt crashes servers";

/// Counts a request as running until this is dropped.
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

/// Results of a request's stages, freed on drop.
struct Results {
    gateway: Rc<Gateway>,
    outputs: RefCell<Vec<(usize, stages::Output)>>,
    // Hold the servers with the results, by stage.
    holds: RefCell<Vec<(usize, Vec<Hold>)>>,
}

impl Results {
    fn push(&self, stage: usize, output: stages::Output) {
        let results = output.results.iter();
        let holds = results.filter_map(|result| stages::hold(&self.gateway, result));
        self.holds.borrow_mut().push((stage, holds.collect()));
        self.outputs.borrow_mut().push((stage, output));
    }

    fn free(&self) {
        self.free_where(|_| true);
    }

    fn free_where(&self, is_used: impl Fn(usize) -> bool) {
        let outputs = self.outputs.take();
        let (used, kept): (Vec<_>, Vec<_>) =
            outputs.into_iter().partition(|(stage, _)| is_used(*stage));
        *self.outputs.borrow_mut() = kept;
        self.holds
            .borrow_mut()
            .retain(|(stage, _)| !is_used(*stage));
        for (_, output) in used {
            stages::free(&self.gateway, output);
        }
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        self.free();
    }
}

/// A caller's request and its state until it is answered.
struct Exchange {
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
    content: Content,
    arrived: Instant,
    deadline: Instant,
    may_have_run: Cell<bool>,
    /// Whether a server may be working on the request.
    is_sent: Cell<bool>,
    /// When the request was first sent to a server.
    first_sent: Cell<Option<Instant>>,
    attempts: Cell<u32>,
    /// Whether the retry budget counts the request.
    is_counted: Cell<bool>,
    stages_ms: Cell<u64>,
    tried: RefCell<Vec<Name>>,
    /// Servers that have turned the request away.
    refused_by: RefCell<Vec<Name>>,
    results: Results,
    inputs: RefCell<Vec<Name>>,
    /// Time after which a refused request may find a server, in milliseconds, if that is known.
    retry_after_ms: Cell<Option<u64>>,
    /// Whether no untried server is left.
    is_exhausted: Cell<bool>,
    /// Preferred region of the server.
    region: RefCell<Name>,
    _running: Running,
    _reservation: body::Reservation,
}

/// Handles a caller's request.
pub(super) async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let arrived = gateway.now();
    let id = header_text(request.headers(), &gateway.adapter.headers().request).to_string();
    match admit(&gateway, arrived, &id, request).await {
        Ok(exchange) => serve(Rc::new(exchange)).await,
        Err(refusal) => refuse(&gateway, &id, arrived, &refusal),
    }
}

fn parse_segments(text: &str) -> Vec<Segment> {
    let segments = text.split(',').take(MAX_SEGMENTS).filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Segment {
            id: id.into(),
            tokens: tokens.parse().ok()?,
        })
    });
    segments.collect()
}

/// Returns the size of a request head on the wire.
fn head_bytes(head: &http::request::Parts) -> usize {
    /// Bytes of the separator between name and value and of the line end.
    const LINE_BYTES: usize = 4;
    let line = head.method.as_str().len() + head.uri.to_string().len();
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES);
    line + headers.sum::<usize>()
}

/// Authenticates a request, matches its route, and reads its body.
async fn admit(
    gateway: &Rc<Gateway>,
    arrived: Instant,
    id: &str,
    request: Request<Incoming>,
) -> Result<Exchange, Refusal> {
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
    // One that isn't text is unknown rather than missing.
    let credential = credential.map(|value| value.to_str().unwrap_or_default());
    let host = header_text(&head.headers, &header::HOST);
    let admitted = config.admit(host, head.uri.path(), credential);
    let (route, organisation) = admitted.map_err(|denial| match denial {
        Denial::NoRoute => Refusal::new(StatusCode::NOT_FOUND, denial.to_string()),
        Denial::Unauthorised => Refusal::new(StatusCode::UNAUTHORIZED, denial.to_string()),
    })?;
    let time_left: Option<u64> = header_text(&head.headers, &names.time_left).parse().ok();
    let time_left = time_left.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = arrived.after_ms(time_left);
    let body = body::read(gateway, body, config.limits.body_bytes);
    let (body, reservation) = tokio::time::timeout(Duration::from_millis(time_left), body)
        .await
        .map_err(|_| Refusal::new(StatusCode::REQUEST_TIMEOUT, "body too slow"))??;
    let service = route.target(balance::hash(&[id]));
    let service = service
        .cloned()
        .ok_or_else(|| Refusal::not_run("route without a service"))?;
    let prompt = if route.shares_prompts {
        parse_segments(header_text(&head.headers, &names.prompt))
    } else {
        Vec::new()
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let content = Content::new(
        &content::Request {
            method: head.method.as_str(),
            host: header_text(&head.headers, &header::HOST),
            path,
            caller: organisation.as_ref().map_or("", |it| &it.name),
            prompt: header_text(&head.headers, &names.prompt),
            body: &body,
        },
        &prompt,
    );
    Ok(Exchange {
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
        content,
        arrived,
        deadline,
        may_have_run: Cell::default(),
        is_sent: Cell::default(),
        first_sent: Cell::default(),
        attempts: Cell::default(),
        is_counted: Cell::default(),
        stages_ms: Cell::default(),
        tried: RefCell::default(),
        refused_by: RefCell::default(),
        results: Results {
            gateway: gateway.clone(),
            outputs: RefCell::default(),
            holds: RefCell::default(),
        },
        inputs: RefCell::default(),
        retry_after_ms: Cell::default(),
        is_exhausted: Cell::default(),
        region: RefCell::new(gateway.identity.region.clone()),
        _running: running,
        _reservation: reservation,
    })
}

async fn serve(exchange: Rc<Exchange>) -> Response<Body> {
    let gateway = exchange.gateway.clone();
    let remaining_ms = exchange.deadline.since_ms(gateway.now()) + ANSWER_GRACE_MS;
    let limit = Duration::from_millis(remaining_ms);
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout(limit, run(&exchange)) => {
            result.unwrap_or_else(|_| Err(exchange.deadline_refusal("deadline passed")))
        }
        () = exchange.given_up() => Err(exchange.leave_refusal()),
    };
    match result {
        Ok(response) => response,
        Err(refusal) => refuse(&gateway, &exchange.id, exchange.arrived, &refusal),
    }
}

async fn run(exchange: &Rc<Exchange>) -> Result<Response<Body>, Refusal> {
    if exchange.is_given_up() {
        return Err(exchange.leave_refusal());
    }
    exchange.check_quarantine()?;
    exchange.run_stages().await?;
    loop {
        exchange.check_quarantine()?;
        let answer = exchange.attempt(None).await;
        let (outcome, answer) = match answer {
            Ok(Answer::Stream(stream)) => return Ok(stream.respond(exchange)),
            Ok(Answer::Whole(response)) => {
                (Outcome::Answered(response.status().as_u16()), Ok(response))
            }
            Err(failure) => (failure.outcome, Err(failure)),
        };
        let mut next = retry::decide(exchange.route.kind, outcome, exchange.may_have_run.get());
        if next == Action::Retry && !exchange.may_retry(outcome) {
            next = match &answer {
                // The server's own error says more than one from the gateway.
                Ok(_) => Action::Deliver,
                Err(_) => retry::exhausted(exchange.may_have_run.get()),
            };
        }
        let reason = match &answer {
            Ok(response) => format!("server answered {}", response.status().as_u16()),
            Err(failure) => failure.reason.clone(),
        };
        match next {
            Action::Deliver => {
                if let Ok(response) = answer {
                    return Ok(exchange.deliver(response));
                }
            }
            Action::Retry => {}
            Action::Refuse => {
                exchange.check_quarantine()?;
                return Err(exchange.refusal(reason));
            }
            Action::Fail => {
                return Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason));
            }
        }
    }
}

impl Exchange {
    fn elapsed_ms(&self) -> u64 {
        self.gateway.now().since_ms(self.arrived)
    }

    /// Returns the refusal for a request whose deadline has passed.
    fn deadline_refusal(&self, reason: &str) -> Refusal {
        if self.may_have_run.get() {
            Refusal::may_have_run(StatusCode::GATEWAY_TIMEOUT, reason)
        } else {
            Refusal::not_run(reason)
        }
    }

    /// Returns the refusal for a request that no server takes now.
    fn refusal(&self, reason: String) -> Refusal {
        let mut refusal = Refusal::not_run(reason);
        let pause_ms = || self.pause_ms(&self.service);
        if let Some(ms) = self.retry_after_ms.get().or_else(pause_ms) {
            refusal.retry_after_s = Some(ms as f64 / 1_000.0);
        }
        refusal
    }

    /// Refuses the request if it or a part of its prompt is quarantined. The caller is told when the quarantine
    /// ends: until then any repetition would be refused.
    fn check_quarantine(&self) -> Result<(), Refusal> {
        let Some((part, left_ms)) = quarantines::find(&self.gateway, &self.content) else {
            return Ok(());
        };
        self.gateway.log.write(&Event::Quarantined {
            request: &self.id,
            part,
            left_ms,
        });
        if self.may_have_run.get() {
            return Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, QUARANTINED));
        }
        let mut refusal = Refusal::not_run(QUARANTINED);
        refusal.retry_after_s = Some(left_ms as f64 / 1_000.0);
        Err(refusal)
    }

    fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let priority = organisation.and_then(|organisation| organisation.priority);
        priority.unwrap_or(self.route.priority).min(9)
    }

    fn is_allowed(&self, data_centre: &Name) -> bool {
        self.allows_region(&self.gateway.region_of(data_centre))
    }

    fn allows_region(&self, region: &Name) -> bool {
        let excludes = |regions: &[Name]| !regions.is_empty() && !regions.contains(region);
        let organisation = self.organisation.as_ref();
        !excludes(&self.route.regions)
            && !organisation.is_some_and(|organisation| excludes(&organisation.regions))
    }

    fn deliver(&self, response: Response<Whole>) -> Response<Body> {
        let (mut head, body) = response.into_parts();
        remove_hop_headers(&mut head.headers);
        self.log_answered(head.status, End::Complete, self.elapsed_ms());
        Response::from_parts(head, body.into_body())
    }

    fn log_answered(&self, status: StatusCode, end: End, first_ms: u64) {
        let gateway = &self.gateway;
        if end == End::Complete
            && status.is_success()
            && let Some(sent) = self.first_sent.get()
        {
            let ms = gateway.now().since_ms(sent);
            let mut durations = gateway.answer_durations.borrow_mut();
            durations.record(&self.route.name, ms);
        }
        let reason = match end {
            End::Complete => "answered",
            End::Lost | End::Deadline | End::CallerLeft => "broke off",
        };
        gateway.metrics.count_request(status.as_u16(), reason);
        let route = KeyValue::new("route", self.route.name.to_string());
        gateway.metrics.first_byte_ms.record(first_ms, &[route]);
        gateway.log.write(&Event::Answered {
            request: &self.id,
            content: self.content.whole(),
            route: &self.route.name,
            status: status.as_u16(),
            end,
            attempts: self.attempts.get(),
            stages_ms: self.stages_ms.get(),
            first_ms,
            ms: self.elapsed_ms(),
        });
    }
}
