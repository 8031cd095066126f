//! A caller as `docs/callers.md` wants it: looks up an address, keeps it a while, asks with an id and
//! a ticket, asks again elsewhere, and checks what it gets.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use ntex::{
    client::{
        Client,
        ClientRequest,
        ClientResponse,
        Connector, //
    },
    http::Method,
    time::{
        Millis,
        Seconds,
        sleep,
        timeout, //
    },
};
use serde_json::Value;
use teaselchute::edges::http::sse;

/// Time for which the caller keeps asking for one answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time without a byte after which a connection counts as silent.
const SILENT: Millis = Millis(5_000);

/// Largest whole answer that it takes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(100);

/// What a caller ended with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer, with its end seen.
    Answer(String),
    /// A refusal that says that nothing ran.
    NotRun(String),
    /// A refusal that says that it may have run.
    MayHaveRun(String),
    /// Nothing was heard for as long as the caller had patience.
    Nothing,
}

/// One try's end.
enum Try {
    Done(Outcome),
    Again,
}

/// The caller's place: which hosts it may use.
pub struct Caller {
    client: Client,
    organisation: String,
    credential: String,
    /// Hosts to ask for addresses.
    known: Vec<SocketAddr>,
    lookup: RefCell<Option<(Instant, Lookup)>>,
    /// What it connects to in place of each host.
    detours: BTreeMap<SocketAddr, SocketAddr>,
    /// Hosts that it sent its tries to, in their order.
    pub tried: RefCell<Vec<SocketAddr>>,
}

/// The answer to an address lookup.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// Hosts to use, the best first.
    pub addresses: Vec<SocketAddr>,
    /// The ticket for non-idempotent requests.
    pub ticket: Option<String>,
    /// The start of their ids.
    pub ticket_tag: Option<String>,
    keep: Duration,
}

impl Caller {
    /// Makes a caller who knows some hosts.
    pub async fn new(known: Vec<SocketAddr>, organisation: &str, credential: &str) -> Self {
        let connector = Connector::default().limit(1_000).keep_alive(Seconds(5));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .build(ntex::SharedCfg::new("caller"))
            .await
            .expect("the client opens");
        Self {
            client,
            organisation: organisation.to_string(),
            credential: credential.to_string(),
            known,
            lookup: RefCell::default(),
            detours: BTreeMap::new(),
            tried: RefCell::default(),
        }
    }

    /// Connects to something else in place of each host.
    #[must_use]
    pub fn with_detours(mut self, detours: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        self.detours = detours;
        self
    }

    /// Sends a request to a host, with the caller's names and credential.
    pub fn request(&self, method: Method, host: SocketAddr, path: &str) -> ClientRequest {
        let host = self.detours.get(&host).unwrap_or(&host);
        self.client
            .request(method, format!("http://{host}{path}"))
            .header("x-organisation", self.organisation.as_str())
            .header("authorization", format!("Bearer {}", self.credential))
    }

    /// Looks up addresses, or returns those that were looked up a short while ago.
    pub async fn lookup(&self) -> Option<Lookup> {
        if let Some((at, lookup)) = &*self.lookup.borrow()
            && at.elapsed() < lookup.keep
        {
            return Some(lookup.clone());
        }
        for &host in &self.known {
            let request = self.request(Method::GET, host, "/v1/address");
            let Ok(Ok(response)) = timeout(SILENT, request.send()).await else {
                continue;
            };
            let Ok(Ok(body)) = timeout(SILENT, response.body()).await else {
                continue;
            };
            let Some(lookup) = parse_lookup(&body) else {
                continue;
            };
            let known = (Instant::now(), lookup.clone());
            *self.lookup.borrow_mut() = Some(known);
            return Some(lookup);
        }
        None
    }

    fn forget(&self) {
        *self.lookup.borrow_mut() = None;
    }

    /// Runs an idempotent pipeline to its whole answer, at whichever host gives it.
    pub async fn ask(&self, pipeline: &str, id: &str, body: &str) -> Outcome {
        let path = format!("/v1/pipelines/{pipeline}/requests");
        let start = Instant::now();
        let mut last = Outcome::Nothing;
        let mut text = String::new();
        let mut pieces = 0;
        let mut tries = 0;
        while start.elapsed() < PATIENCE {
            let Some(host) = self.pick(tries).await else {
                sleep(PAUSE).await;
                continue;
            };
            self.tried.borrow_mut().push(host);
            let mut request = self
                .request(Method::POST, host, &path)
                .header("x-request-id", id)
                .header("accept", "text/event-stream")
                .header("x-resume-from", pieces.to_string());
            if tries > 0 {
                request = request.header("x-retried", "1");
            }
            tries += 1;
            let sent = timeout(SILENT, request.send_body(body.to_string())).await;
            if let Ok(Ok(response)) = sent {
                match read_stream(response, &mut text, &mut pieces).await {
                    Try::Done(outcome @ Outcome::Answer(_)) => return outcome,
                    Try::Done(refused) => last = refused,
                    Try::Again => {}
                }
            }
            self.forget();
            sleep(PAUSE).await;
        }
        last
    }

    /// Places a non-idempotent request, and asks after it until the outcome is known.
    pub async fn order(&self, service: &str, own_id: &str, body: &str) -> (String, Outcome) {
        let path = format!("/v1/services/{service}/requests");
        let start = Instant::now();
        let (lookup, id) = loop {
            self.forget();
            if let Some(lookup) = self.lookup().await
                && let Some(tag) = &lookup.ticket_tag
            {
                let id = format!("{tag}-{own_id}");
                break (lookup, id);
            }
            if start.elapsed() > PATIENCE {
                return (own_id.to_string(), Outcome::Nothing);
            }
            sleep(PAUSE).await;
        };
        let ticket = lookup.ticket.unwrap_or_default();
        let mut outcome = Outcome::Nothing;
        let mut tries = 0;
        while start.elapsed() < PATIENCE {
            let host = lookup.addresses[tries % lookup.addresses.len()];
            let mut request = self
                .request(Method::POST, host, &path)
                .header("x-request-id", id.as_str())
                .header("x-ticket", ticket.as_str());
            if tries > 0 {
                request = request.header("x-retried", "1");
            }
            tries += 1;
            let sent = timeout(SILENT, request.send_body(body.to_string())).await;
            if let Ok(Ok(response)) = sent
                && let Some(Try::Done(read)) = read_whole(response).await
            {
                // What may have run may turn out to have run with its answer kept.
                let is_final = !matches!(read, Outcome::MayHaveRun(_));
                outcome = read;
                if is_final {
                    break;
                }
            }
            sleep(PAUSE).await;
        }
        (id, outcome)
    }

    /// Fetches what became of a request, and waits for one that runs.
    pub async fn fetch(&self, host: SocketAddr, id: &str) -> Outcome {
        let request = self.request(Method::GET, host, &format!("/v1/requests/{id}"));
        let sent = timeout(PATIENCE, request.send()).await;
        if let Ok(Ok(response)) = sent
            && let Some(Try::Done(outcome)) = read_whole(response).await
        {
            return outcome;
        }
        Outcome::Nothing
    }

    async fn pick(&self, tries: usize) -> Option<SocketAddr> {
        let addresses = self.lookup().await?.addresses;
        addresses.get(tries % addresses.len().max(1)).copied()
    }
}

fn parse_lookup(body: &[u8]) -> Option<Lookup> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let addresses = value["addresses"].as_array()?;
    let addresses = addresses.iter().filter_map(|address| {
        let http = address["http"].as_str()?;
        http.parse().ok()
    });
    Some(Lookup {
        addresses: addresses.collect(),
        ticket: value["ticket"].as_str().map(str::to_string),
        ticket_tag: value["ticket_tag"].as_str().map(str::to_string),
        keep: Duration::from_millis(value["keep_ms"].as_u64()?),
    })
}

fn refused(body: &[u8]) -> Outcome {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let refusal = &value["refusal"];
    let word = |field: &str| refusal[field].as_str().unwrap_or("none").to_string();
    let code = format!("{}: {}", word("code"), word("detail"));
    match refusal["run"].as_str() {
        Some("not_run") => Outcome::NotRun(code),
        _ => Outcome::MayHaveRun(code),
    }
}

async fn read_whole(response: ClientResponse) -> Option<Try> {
    let is_success = response.status().is_success();
    let body = timeout(SILENT, response.body().limit(MAX_ANSWER_BYTES));
    let body = body.await.ok()?.ok()?;
    if is_success {
        let text = String::from_utf8(body.to_vec()).ok()?;
        return Some(Try::Done(Outcome::Answer(text)));
    }
    Some(Try::Done(refused(&body)))
}

/// Adds the pieces of a stream to what the caller has, until its end is seen.
async fn read_stream(response: ClientResponse, text: &mut String, pieces: &mut u64) -> Try {
    if !response.status().is_success() {
        return read_whole(response).await.unwrap_or(Try::Again);
    }
    let mut payload = response.take_payload();
    let mut parser = sse::Parser::default();
    loop {
        let chunk = timeout(SILENT, ntex::util::stream_recv(&mut payload)).await;
        let Ok(Some(Ok(chunk))) = chunk else {
            return Try::Again;
        };
        let Ok(events) = parser.push(&chunk) else {
            return Try::Again;
        };
        for event in events {
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            match event.kind.as_str() {
                "end" => return Try::Done(Outcome::Answer(text.clone())),
                "refusal" => return Try::Done(refused(event.data.as_bytes())),
                _ => {
                    assert_eq!(data["index"], *pieces, "pieces come once and in order");
                    text.push_str(data["text"].as_str().unwrap_or_default());
                    *pieces += 1;
                }
            }
        }
    }
}
