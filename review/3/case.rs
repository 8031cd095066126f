//! A stream that is resumed at a server that doesn't answer never ends: neither its route's timeout nor the
//! caller's leave ends the second attempt.

#[path = "../stand_ins.rs"]
mod stand_ins;

use std::{
    collections::HashMap,
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use stand_ins::*;

/// Number of model servers. One of them crashes, and one other fails a part of its requests.
const SERVERS: usize = 7;

/// Number of times that this is played, and number of streams each time.
const ROUNDS: usize = 4;
const STREAMS: usize = 350;

/// Number of events of a stream, and their interval in milliseconds.
const EVENTS: u64 = 20;
const EVENT_MS: u64 = 200;

/// Time from the last request to the crash, in milliseconds.
const CRASH_MS: u64 = 500;

/// Of this many requests at the server that fails a part of them, four hang: a share of 0.444.
const FAILS_EVERY: usize = 9;
const FAILS: usize = 4;

/// Time for which it fails them, in milliseconds.
const GREY_MS: u64 = 6_000;

/// Timeout of the route, deadline of the requests and latency objective, in milliseconds.
const TIMEOUT_MS: u64 = 6_000;
const DEADLINE_MS: u64 = 12_000;
const OBJECTIVE_MS: u64 = 2_500;

/// Gap after which a client abandons a stream, in milliseconds: four times the objective.
const GAP_MS: u64 = 4 * OBJECTIVE_MS;

/// Time past the timeout within which a final answer is due, in milliseconds.
const SLACK_MS: u64 = 500;

/// Bounds of the rule: number of requests without a final answer, and one in how many of those that last
/// longer than the timeout.
const MIN_COUNT: usize = 8;
const MIN_SHARE: usize = 4;

/// Time after the last client has left for which the servers are observed, in milliseconds.
const AFTER_MS: u64 = 6_000;

/// A model server.
struct Engine {
    record: Record,
    name: String,
    is_down: AtomicBool,
    // Whether it fails a part of its requests.
    is_grey: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    running: AtomicUsize,
    arrived_when_grey: AtomicUsize,
    hung: Mutex<HashMap<String, Option<u64>>>,
}

impl Engine {
    fn serve(&self, stream: TcpStream) {
        if self.is_down.load(Ordering::SeqCst) {
            return close(&stream);
        }
        self.streams.lock().unwrap().push(stream.try_clone().unwrap());
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read(&mut reader) {
            if request.path == "/healthz" {
                let _ = writer.write_all(&answer(200, &[("Instance-Id", &self.name)], b""));
                continue;
            }
            if request.header("Expect-Instance") != self.name {
                let id = request.header("Attempt-Id");
                let headers = [("Attempt-Id", id), ("Not-Executed", "1")];
                let _ = writer.write_all(&answer(421, &headers, b""));
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let is_whole = self.run(&request, &mut writer, &mut reader);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_whole {
                return;
            }
        }
    }

    fn run(
        &self,
        request: &Request,
        writer: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
    ) -> bool {
        let id = request.header("Attempt-Id").to_string();
        let last: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
        self.record.line(&format!("{} gets {id} from event {}", self.name, last + 1));
        if self.is_grey.load(Ordering::SeqCst) {
            let number = self.arrived_when_grey.fetch_add(1, Ordering::SeqCst);
            if number % FAILS_EVERY < FAILS {
                self.record.line(&format!("{} doesn't answer {id}", self.name));
                self.hung.lock().unwrap().insert(id.clone(), None);
                let mut byte = [0];
                let _ = reader.read(&mut byte);
                let at = self.record.ms();
                self.hung.lock().unwrap().insert(id.clone(), Some(at));
                self.record.line(&format!("{}: the connection of {id} ends", self.name));
                return false;
            }
        }
        if writer.write_all(&stream_head(&id)).is_err() {
            return false;
        }
        for number in last + 1..=EVENTS {
            sleep_ms(EVENT_MS);
            if self.is_down.load(Ordering::SeqCst) || writer.write_all(&event(number)).is_err() {
                close(writer);
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Ends the process: its connections are closed, and new ones are refused.
    fn crash(&self, listener: &Mutex<Option<TcpListener>>) {
        self.is_down.store(true, Ordering::SeqCst);
        *listener.lock().unwrap() = None;
        for stream in self.streams.lock().unwrap().drain(..) {
            close(&stream);
        }
    }
}

/// Starts a server whose listener can be closed.
fn spawn(engine: Arc<Engine>) -> (SocketAddr, Arc<Mutex<Option<TcpListener>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    let shared = Arc::new(Mutex::new(Some(listener)));
    let kept = shared.clone();
    thread::spawn(move || {
        loop {
            let accepted = match &*shared.lock().unwrap() {
                Some(listener) => listener.accept().ok(),
                None => return,
            };
            match accepted {
                Some((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let engine = engine.clone();
                    thread::spawn(move || engine.serve(stream));
                }
                None => sleep_ms(2),
            }
        }
    });
    (address, kept)
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"route-list\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"path-prefix\":\"/puxa400/\",\"route-type\":\"streaming\",\"timeout-ms\":{TIMEOUT_MS},\
         \"target-latency-ms\":{OBJECTIVE_MS},\"priority\":1,\"service\":\"engine\",\
         \"max-attempts\":2,\"phases\":[],\"public\":false,\"session-affinity\":true,\
         \"stream-resume\":true,\"gap-aim-ms\":300,\"allowed-regions\":[]}}],\
         \"services\":[{{\"name\":\"engine\",\"health-path\":\"/healthz\",\
         \"max-connections\":370,\"protocol\":\"h1\",\"tls-enabled\":false,\"warmup-s\":0.0,\
         \"warmup-per-s\":0.0,\"engine\":{{\"capacity\":64,\"kv-capacity\":527212}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\
         \"allowed-regions\":[]}}]}}"
    )
}

/// How a client's request ended: after how many milliseconds, how, and after how many events.
struct Outcome {
    id: String,
    sent_ms: u64,
    lasted_ms: u64,
    end: &'static str,
    events: usize,
}

fn call(record: &Record, host: SocketAddr, id: String) -> Outcome {
    let start = Instant::now();
    let mut outcome = Outcome {
        id: id.clone(),
        sent_ms: record.ms(),
        lasted_ms: 0,
        end: "not sent",
        events: 0,
    };
    let Ok(mut stream) = TcpStream::connect(host) else {
        return outcome;
    };
    let prefix = format!("{id}:250");
    let more = [
        ("Model", "m"),
        ("Token-Usage", "250,80"),
        ("Prefix-Hash", prefix.as_str()),
    ];
    let bytes = client_request("POST", "/puxa400/2f", &id, DEADLINE_MS, &more, b"hides");
    if stream.write_all(&bytes).is_err() {
        return outcome;
    }
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let next = move || {
        let left = Duration::from_millis(DEADLINE_MS).checked_sub(start.elapsed())?;
        let left = left.clamp(Duration::from_millis(1), Duration::from_millis(GAP_MS));
        let _ = stream.set_read_timeout(Some(left));
        Some(())
    };
    outcome.end = (|| {
        next()?;
        let head = Head::read(&mut reader)?;
        if !head.is_chunked() {
            return Some("refused");
        }
        loop {
            next()?;
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                return Some("whole");
            }
            outcome.events += String::from_utf8_lossy(&chunk).matches("id: ").count();
        }
    })()
    .unwrap_or("broken off");
    outcome.lasted_ms = start.elapsed().as_millis() as u64;
    if outcome.end == "broken off" && outcome.lasted_ms >= GAP_MS {
        outcome.end = "the client has left";
    }
    outcome
}

/// Starts and registers a server.
fn start_engine(record: &Record, store: &Store, id: usize) -> Server {
    let engine = Arc::new(Engine {
        record: record.clone(),
        name: format!("i-engine-{id}"),
        is_down: AtomicBool::new(false),
        is_grey: AtomicBool::new(false),
        streams: Mutex::default(),
        running: AtomicUsize::new(0),
        arrived_when_grey: AtomicUsize::new(0),
        hung: Mutex::default(),
    });
    let (address, listener) = spawn(engine.clone());
    let registration = Registration {
        id: engine.name.clone(),
        service: "engine".to_string(),
        address,
        slots: 64,
        born: unix_ms(),
    };
    let observed = engine.clone();
    registration.keep(store, move || !observed.is_down.load(Ordering::SeqCst));
    (engine, listener)
}

type Server = (Arc<Engine>, Arc<Mutex<Option<TcpListener>>>);

fn main() {
    let record = Record::create();
    let has_trouble = has_trouble();
    let store = Store::spawn();
    store.put("keyed.op", "config", config().as_bytes());
    let mut engines: Vec<Server> =
        (1..=SERVERS).map(|id| start_engine(&record, &store, id)).collect();
    let hosts = start_hosts(&record, &store, 3);
    let (mut whole, mut long, mut unanswered) = (0, 0, 0);
    let mut hung_at: Vec<Arc<Engine>> = Vec::new();
    for round in 0..ROUNDS {
        let calls: Vec<_> = (0..STREAMS)
            .map(|number| {
                let record = record.clone();
                let host = hosts[number % hosts.len()].callers;
                let id = format!("{round:08x}{:08x}", number + 1);
                sleep_ms(2);
                thread::spawn(move || call(&record, host, id))
            })
            .collect();
        sleep_ms(CRASH_MS);
        let count = |(engine, _): &Server| engine.running.load(Ordering::SeqCst);
        let running: Vec<usize> = engines.iter().map(count).collect();
        record.say(&format!("round {round}: streams at the servers {running:?}"));
        if has_trouble {
            let grey = engines[1].0.clone();
            record.say(&format!("{} fails {FAILS} of {FAILS_EVERY} requests from now on", grey.name));
            grey.is_grey.store(true, Ordering::SeqCst);
            hung_at.push(grey.clone());
            let (engine, listener) = &engines[0];
            record.say(&format!("{} crashes", engine.name));
            engine.crash(listener);
            thread::spawn(move || {
                sleep_ms(GREY_MS);
                grey.is_grey.store(false, Ordering::SeqCst);
            });
        }
        let outcomes = calls.into_iter().map(|call| call.join().unwrap());
        for Outcome { id, sent_ms, lasted_ms, end, events } in outcomes {
            record.line(&format!(
                "{id}: sent at {sent_ms} ms, {events} events, after {lasted_ms} ms: {end}"
            ));
            long += usize::from(lasted_ms > TIMEOUT_MS);
            unanswered += usize::from(lasted_ms > TIMEOUT_MS + SLACK_MS);
            whole += usize::from(end == "whole");
        }
        if has_trouble {
            // The crashed server starts again, and another one is next.
            engines.remove(0);
            engines.push(start_engine(&record, &store, SERVERS + 1 + round));
            sleep_ms(2_000);
        }
    }
    record.say(&format!(
        "{whole} of {} streams whole; {long} requests last longer than the timeout of \
         {TIMEOUT_MS} ms, {unanswered} of them have no final answer {SLACK_MS} ms after it",
        ROUNDS * STREAMS
    ));
    if has_trouble {
        sleep_ms(AFTER_MS);
        hung_at.dedup_by_key(|engine| engine.name.clone());
        let hung = hung_at.iter().map(|engine| engine.hung.lock().unwrap().clone());
        let hung: Vec<Option<u64>> = hung.flat_map(HashMap::into_values).collect();
        let open = hung.iter().filter(|end| end.is_none()).count();
        record.say(&format!(
            "{} requests hung at a server; {open} of their connections are still open {AFTER_MS} ms \
             after the last client has left",
            hung.len(),
        ));
    }
    drop(hosts);
    let code = if unanswered >= MIN_COUNT && unanswered * MIN_SHARE > long {
        BROKEN
    } else if whole == ROUNDS * STREAMS || has_trouble && whole > 0 {
        HELD
    } else {
        NOT_RUN
    };
    std::process::exit(code);
}
