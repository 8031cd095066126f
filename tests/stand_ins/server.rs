//! Backend servers: model engines, pools of encoders, retrievers and rerankers, plain services.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use ntex::{
    http::Method,
    time::sleep,
    util::Bytes,
    web::{
        HttpRequest,
        HttpResponse,
        HttpResponseBuilder,
        types::Payload, //
    },
};
use serde_json::{
    Value,
    json, //
};
use tokio::sync::mpsc;

use super::read_json;

/// What a backend server does, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time of a call, or before the first piece.
    pub call_ms: u64,
    /// Pieces of an engine's answer.
    pub pieces: u64,
    /// Time between pieces.
    pub piece_ms: u64,
    /// Bytes by which each piece is longer. JSON writes each of them as six.
    pub pad_bytes: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            call_ms: 2,
            pieces: 8,
            piece_ms: 2,
            pad_bytes: 0,
        }
    }
}

impl Pace {
    fn pad(&self) -> String {
        "\u{1}".repeat(self.pad_bytes)
    }

    /// Returns the whole answer of a pipeline of four stages at this pace.
    pub fn whole_answer(&self, id: &str) -> String {
        let pieces = (0..self.pieces).map(|index| piece(id, 3, index) + &self.pad());
        pieces.collect()
    }
}

/// A backend server of any kind.
pub struct Server {
    /// Its name.
    pub name: String,
    /// The stage that it runs, as it names itself in answers.
    pub kind: &'static str,
    /// Its data centre.
    pub data_centre: String,
    pace: Pace,
    start: u64,
    sequence: AtomicU64,
    running: AtomicU64,
    /// Most calls that ran at once.
    pub most_running: AtomicU64,
    ran: Mutex<BTreeMap<String, u64>>,
    orders: Mutex<Vec<Value>>,
}

/// Counts a call for as long as it runs.
struct Running<'a>(&'a Server);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Makes a server.
    pub fn new(name: String, kind: &'static str, data_centre: &str, pace: Pace) -> Self {
        Self {
            name,
            kind,
            data_centre: data_centre.to_string(),
            pace,
            start: 1,
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            most_running: AtomicU64::new(0),
            ran: Mutex::default(),
            orders: Mutex::default(),
        }
    }

    /// Returns how often each request ran here.
    pub fn ran(&self) -> BTreeMap<String, u64> {
        self.ran.lock().expect("no thread panics here").clone()
    }

    /// Returns how many calls ran here.
    pub fn calls(&self) -> u64 {
        self.ran().values().sum()
    }

    fn begin(&self, id: &str) -> Running<'_> {
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.most_running.fetch_max(running, Ordering::Relaxed);
        let mut ran = self.ran.lock().expect("no thread panics here");
        *ran.entry(id.to_string()).or_default() += 1;
        Running(self)
    }

    pub(super) async fn answer(&self, request: &HttpRequest, payload: Payload) -> HttpResponse {
        match (request.method(), request.path()) {
            (&Method::GET, "/v1/status") => self.status(),
            (&Method::GET, "/v1/orders") => self.report(),
            (&Method::POST, "/v1/orders") => self.order(payload).await,
            (&Method::POST, "/v1/cancel") => HttpResponse::Ok().json(&json!({})),
            (&Method::POST, "/v1/run") => self.run(request, payload).await,
            (&Method::POST, "/v1/completions") => self.complete(request, payload).await,
            _ => HttpResponse::NotFound().finish(),
        }
    }

    fn status(&self) -> HttpResponse {
        HttpResponse::Ok().json(&json!({
            "start": self.start,
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed),
            "running": self.running.load(Ordering::Relaxed),
            "waiting": 0,
            "models": ["writer"],
        }))
    }

    fn report(&self) -> HttpResponse {
        HttpResponse::Ok().json(&json!({
            "start": self.start,
            "models": [{ "model": "writer", "version": "1", "adapters": [], "ready": true }],
            "fence": null,
        }))
    }

    async fn order(&self, payload: Payload) -> HttpResponse {
        let order = read_json(payload).await;
        self.orders
            .lock()
            .expect("no thread panics here")
            .push(order);
        HttpResponse::Ok().json(&json!({ "outcome": "obeyed" }))
    }

    fn head(&self, request: &HttpRequest) -> HttpResponseBuilder {
        let mut response = HttpResponse::Ok();
        response.header("x-server-start", self.start.to_string());
        response.header("x-call-id", header(request, "x-call-id"));
        response
    }

    /// Runs a stage: adds its name to the trail of the stages before.
    async fn run(&self, request: &HttpRequest, payload: Payload) -> HttpResponse {
        let id = header(request, "x-request-id");
        let body = read_json(payload).await;
        let _running = self.begin(&id);
        sleep(Duration::from_millis(self.pace.call_ms)).await;
        let mut trail = trail(&body["previous"], &id);
        trail.push(json!(self.kind));
        self.head(request)
            .json(&json!({ "request": id, "trail": trail }))
    }

    /// Streams an answer whose pieces name the request, the stages before and the piece.
    async fn complete(&self, request: &HttpRequest, payload: Payload) -> HttpResponse {
        let id = header(request, "x-request-id");
        let body = read_json(payload).await;
        let trail = trail(&body["previous"], &id);
        let from = body["resume_from"].as_u64().unwrap_or(0);
        let pace = self.pace;
        let (sender, receiver) = mpsc::unbounded_channel();
        drop(self.begin(&id));
        let stages = trail.len();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(pace.call_ms)).await;
            for index in from..pace.pieces {
                sleep(Duration::from_millis(pace.piece_ms)).await;
                let text = piece(&id, stages, index) + &pace.pad();
                let data = json!({ "choices": [{ "text": text }] });
                let event = format!("id: {index}\ndata: {data}\n\n");
                // A daemon that hung up ends the call, as a cancel does.
                if sender.send(Bytes::from(event)).is_err() {
                    return;
                }
            }
            let _ = sender.send(Bytes::from_static(b"data: [DONE]\n\n"));
        });
        self.head(request)
            .content_type("text/event-stream")
            .streaming(Pieces(receiver))
    }
}

struct Pieces(mpsc::UnboundedReceiver<Bytes>);

impl ntex::util::Stream for Pieces {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(context).map(|bytes| bytes.map(Ok))
    }
}

/// Returns the text of a piece. Callers work out the whole answer with it.
pub fn piece(id: &str, stages: usize, index: u64) -> String {
    format!("{id}/{stages}/{index};")
}

/// Returns the whole answer of a pipeline of four stages.
pub fn whole_answer(id: &str, pieces: u64) -> String {
    let pace = Pace {
        pieces,
        ..Pace::default()
    };
    pace.whole_answer(id)
}

/// Returns the stages before, or a mark where they belong to another request.
fn trail(previous: &Value, id: &str) -> Vec<Value> {
    if previous.is_null() {
        return Vec::new();
    }
    if previous["request"] != id {
        return vec![json!("crossed")];
    }
    previous["trail"].as_array().cloned().unwrap_or_default()
}

fn header(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_string()
}
