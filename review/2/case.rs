//! After the last key of the last tenant was taken away, all requests are admitted, whatever key they carry.

#[path = "../stand_ins.rs"]
mod stand_ins;

use std::{
    collections::HashMap,
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

use stand_ins::*;

/// A key that no configuration ever held.
const FOREIGN_KEY: &str = "0000neverheldbyanyone";

/// Deadline of the requests and timeout of their route, in milliseconds.
const DEADLINE_MS: u64 = 2_500;

/// Bound of the settings, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2_500;

/// Number of requests of each kind, before and after the change.
const REQUESTS: usize = 20;

/// Requests that servers ran, with the tenant that the system named to the server.
type Runs = Arc<Mutex<HashMap<String, String>>>;

fn serve_desk(record: &Record, runs: &Runs, name: &str, stream: TcpStream) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = Request::read(&mut reader) {
        let id = request.header("Attempt-Id").to_string();
        if request.header("Expect-Instance") != name {
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            let _ = writer.write_all(&answer(421, &headers, b""));
            continue;
        }
        let tenant = request.header("Tenant").to_string();
        record.line(&format!("{name} runs {id} of tenant {tenant:?}"));
        runs.lock().unwrap().insert(id.clone(), tenant);
        sleep_ms(5);
        let headers = [("Attempt-Id", id.as_str()), ("Server-Signature", SIGNATURE)];
        if writer.write_all(&answer(200, &headers, &[b'h'; 800])).is_err() {
            return;
        }
    }
}

/// Returns a version of the configuration with one tenant and its keys.
fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"route-list\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"path-prefix\":\"/cufi501/\",\"route-type\":\"unsafe\",\"timeout-ms\":{DEADLINE_MS},\
         \"target-latency-ms\":250,\"priority\":1,\"service\":\"desk\",\"max-attempts\":1,\
         \"phases\":[],\"public\":false,\"session-affinity\":false,\"stream-resume\":false,\
         \"allowed-regions\":[]}}],\"services\":[{{\"name\":\"desk\",\"health-path\":\"/healthz\",\
         \"max-connections\":370,\"protocol\":\"h1\",\"tls-enabled\":false,\"warmup-s\":0.0,\
         \"warmup-per-s\":0.0}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api-keys\":[{}],\"priority\":1,\
         \"allowed-regions\":[]}}]}}",
        keys.join(",")
    )
}

/// Sends a request with a key and returns the status, 0 without a complete answer.
fn call(host: SocketAddr, id: &str, key: &str) -> u16 {
    let status = || {
        let mut stream = TcpStream::connect(host).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
        let bytes = client_request("POST", "/cufi501/one", id, DEADLINE_MS, &[], b"three hides");
        let bytes = String::from_utf8(bytes).ok()?.replace(KEY, key);
        stream.write_all(bytes.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let head = Head::read(&mut reader)?;
        let mut body = vec![0; head.header("content-length").parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        Some(head.status)
    };
    status().unwrap_or(0)
}

/// Sends requests with a key through all hosts. Returns how many were run, and how many were answered 401.
fn send_all(
    record: &Record,
    hosts: &[Host],
    runs: &Runs,
    kind: u32,
    key: &str,
    what: &str,
) -> (usize, usize) {
    let (mut run, mut refused) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("{kind:08x}{number:08x}");
        let status = call(hosts[number % hosts.len()].callers, &id, key);
        record.line(&format!("{id} with {what} is answered {status}"));
        run += usize::from(runs.lock().unwrap().contains_key(&id));
        refused += usize::from(status == 401);
    }
    record.say(&format!("{what}: {run} of {REQUESTS} requests run, {refused} answered 401"));
    (run, refused)
}

fn main() {
    let record = Record::create();
    let has_trouble = has_trouble();
    let store = Store::spawn();
    let second = "jnbanfqasnmgkcuyj8pj";
    store.put("keyed.op", "config", config(3, &[KEY, second]).as_bytes());
    let runs = Runs::default();
    for number in 1..=3 {
        let name = format!("i-desk-{number}");
        let (record, runs, id) = (record.clone(), runs.clone(), name.clone());
        let address = listen(move |stream| serve_desk(&record, &runs, &name, stream));
        let registration = Registration {
            id,
            service: "desk".to_string(),
            address,
            slots: 6,
            born: unix_ms(),
        };
        registration.keep(&store, || true);
    }
    let hosts = start_hosts(&record, &store, 3);
    let before = send_all(&record, &hosts, &runs, 1, KEY, "the key of the tenant");
    let foreign = send_all(&record, &hosts, &runs, 2, FOREIGN_KEY, "a key that was never held");
    // The operator takes away one key, then the other one.
    if has_trouble {
        store.put("keyed.op", "config", config(5, &[second]).as_bytes());
        sleep_ms(1_500);
        store.put("keyed.op", "config", config(8, &[]).as_bytes());
        record.say("the store has acknowledged the configuration without the last key");
    }
    sleep_ms(2 * CONFIG_APPLY_MS);
    let dropped = send_all(&record, &hosts, &runs, 3, KEY, "the key that was taken away, if so");
    let never = send_all(&record, &hosts, &runs, 4, FOREIGN_KEY, "a key that was never held, later");
    drop(hosts);
    // ROUTE: a request runs whose key no configuration ever held.
    let code = if foreign.0 + never.0 > 0 {
        BROKEN
    } else if before.0 == REQUESTS && (has_trouble || dropped.0 == REQUESTS) {
        HELD
    } else {
        NOT_RUN
    };
    std::process::exit(code);
}
