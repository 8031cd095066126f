//! The platform: an append-only log and a list of hosts.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use ntex::{
    http::Method,
    web::{
        HttpRequest,
        HttpResponse,
        types::Payload, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

use super::read_json;

/// Most records in one answer.
const READ_LIMIT: usize = 256;

/// Time after which a silent host is off the list.
const LAG: Duration = Duration::from_secs(5);

/// The log, which keeps all records.
#[derive(Default)]
pub struct Log {
    records: Mutex<Vec<Value>>,
    /// Whether it answers nobody now.
    pub is_down: AtomicBool,
}

impl Log {
    pub(super) async fn answer(&self, request: &HttpRequest, payload: Payload) -> HttpResponse {
        if self.is_down.load(Ordering::Relaxed) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if request.method() == Method::POST {
            let body = read_json(payload).await;
            let mut records = self.records.lock().expect("no thread panics here");
            let offset = records.len();
            records.push(json!({ "offset": offset, "record": body["record"] }));
            return HttpResponse::Ok().json(&json!({ "offset": offset }));
        }
        let query = request.uri().query().unwrap_or_default();
        let from: usize = query
            .strip_prefix("from=")
            .and_then(|from| from.parse().ok())
            .unwrap_or(0);
        let records = self.records.lock().expect("no thread panics here");
        let entries: Vec<_> = records.iter().skip(from).take(READ_LIMIT).collect();
        HttpResponse::Ok().json(&json!({ "first": 0, "end": records.len(), "entries": entries }))
    }
}

/// The host list, which forgets silent hosts after a while.
#[derive(Default)]
pub struct Hosts {
    hosts: Mutex<BTreeMap<String, (Instant, Value)>>,
}

impl Hosts {
    pub(super) async fn answer(&self, request: &HttpRequest, payload: Payload) -> HttpResponse {
        if request.method() == Method::PUT {
            let host = read_json(payload).await;
            let mut hosts = self.hosts.lock().expect("no thread panics here");
            hosts.insert(request.path().to_string(), (Instant::now(), host));
            return HttpResponse::Ok().json(&json!({}));
        }
        let mut hosts = self.hosts.lock().expect("no thread panics here");
        hosts.retain(|_, (at, _)| at.elapsed() < LAG);
        let hosts: Vec<_> = hosts.values().map(|(_, host)| host).collect();
        HttpResponse::Ok().json(&hosts)
    }
}
