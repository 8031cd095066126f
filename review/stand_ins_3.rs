//! Stand-ins of the third review: the platform's store, backend servers and clients, on loopback addresses and the
//! real clock, and the cases 11, 12 and 14 that use them. Built by `review/build-3.sh`; uses the standard library only.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{exit, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Condvar, Mutex, OnceLock,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const PROGRAM: &str = "target/release/teaselchute-entry";
const HOST: &str = "shop.example";
const KEY: &str = "key-of-shop-one";

// ---------------------------------------------------------------- record

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

fn open_record(path: &str) {
    let file = File::create(path).expect("record.txt can be written");
    let record = Record { start: Instant::now(), file: Mutex::new(file) };
    RECORD.set(record).ok().expect("opened once");
}

/// Milliseconds since the script began.
fn now() -> u64 {
    RECORD.get().expect("open").start.elapsed().as_millis() as u64
}

fn note(text: &str) {
    let at = now();
    let mut file = RECORD.get().expect("open").file.lock().unwrap();
    let _ = writeln!(file, "{:>6}.{:03} {text}", at / 1_000, at % 1_000);
}

fn say(text: &str) {
    note(text);
    println!("{text}");
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn sleep_until(ms: u64) {
    while now() < ms {
        sleep((ms - now()).min(20));
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the body arrived completely.
    whole: bool,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    fn query(&self, name: &str) -> Option<String> {
        let query = self.path().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_string(), value.trim().to_string()));
        }
    }
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Some(message);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Some(message);
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                message.whole = true;
                return Some(message);
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    message.whole = reader.read_exact(&mut body).is_ok();
    message.body = body;
    Some(message)
}

fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(stream)).ok();
        }
    });
    address
}

// ---------------------------------------------------------------- store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = number >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    /// Whether the store answers nothing and does nothing.
    is_silent: bool,
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn record_bytes(key: &str, value: &[u8]) -> Vec<u8> {
    let mut bytes = vec![key.len() as u8];
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes
}

fn split_record(record: &[u8]) -> (String, &[u8]) {
    let length = record[0] as usize;
    let (key, value) = record[1..].split_at(length);
    (String::from_utf8_lossy(key).to_string(), value)
}

impl Store {
    fn spawn() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let shared = state.clone();
        let address = listen(move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(call) = read_message(&mut reader) {
                let Some(bytes) = Self::reply(&shared, &call) else {
                    // Nothing further is answered on this connection.
                    let mut byte = [0];
                    let _ = reader.read(&mut byte);
                    return;
                };
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
        Self { address, state }
    }

    fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(topic.to_string()).or_default();
        topic.push(record_bytes(key, value));
        changed.notify_all();
    }

    /// Lets the store be silent, or ends that.
    fn set_silent(&self, is_silent: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_silent = is_silent;
        changed.notify_all();
    }

    fn reply(shared: &Arc<(Mutex<StoreState>, Condvar)>, call: &Message) -> Option<Vec<u8>> {
        let topic = call.query("topic").unwrap_or_default();
        let (state, changed) = &**shared;
        let mut state = state.lock().unwrap();
        if state.is_silent {
            return None;
        }
        match call.path().split('?').next().unwrap_or("") {
            "/log-newest" => {
                let records = state.topics.entry(topic).or_default();
                let mut newest: BTreeMap<String, (usize, String)> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = split_record(record);
                    if value.is_empty() {
                        newest.remove(&key);
                    } else {
                        newest.insert(key, (offset, base64(value)));
                    }
                }
                let entries: Vec<String> = newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
                    })
                    .collect();
                let end = records.len();
                let body = format!(
                    r#"{{"entries":[{}],"has-more":false,"end-offset":{end}}}"#,
                    entries.join(",")
                );
                Some(answer(200, &[("Content-Type", "application/json")], body.as_bytes()))
            }
            "/log-read" => {
                let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                let is_short = |state: &mut StoreState| {
                    !state.is_silent && state.topics.get(&topic).map_or(0, Vec::len) <= from
                };
                let (state, _) = changed.wait_timeout_while(state, wait, is_short).unwrap();
                if state.is_silent {
                    return None;
                }
                let none = Vec::new();
                let records = state.topics.get(&topic).unwrap_or(&none);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                Some(answer(200, &[("Content-Type", "application/octet-stream")], &body))
            }
            "/log-append" => {
                let mut records = Vec::new();
                let mut rest = call.body.as_slice();
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let log = state.topics.entry(topic).or_default();
                let offset = log.len();
                log.extend(records);
                let body = format!(r#"{{"offset":{offset},"end-offset":{}}}"#, log.len());
                changed.notify_all();
                Some(answer(200, &[("Content-Type", "application/json")], body.as_bytes()))
            }
            _ => Some(answer(404, &[], b"")),
        }
    }
}

/// Appends records to the store as a server does, over its own connection. Returns whether it was answered.
fn append(store: SocketAddr, topic: &str, key: &str, value: &[u8]) -> bool {
    let record = record_bytes(key, value);
    let mut body = (record.len() as u32).to_be_bytes().to_vec();
    body.extend_from_slice(&record);
    let Ok(mut stream) = TcpStream::connect(store) else { return false };
    let head = format!(
        "POST /log-append?topic={topic}&part=0 HTTP/1.1\r\nHost: {store}\r\nContent-Type: application/octet-stream\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
    if stream.write_all(head.as_bytes()).is_err() || stream.write_all(&body).is_err() {
        return false;
    }
    read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
}

// ---------------------------------------------------------------- the system's processes

struct Machine {
    child: Child,
    settings: PathBuf,
    name: String,
    frontend: SocketAddr,
    ready: SocketAddr,
    registry: SocketAddr,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// What differs from machine to machine.
struct Setup<'a> {
    name: &'a str,
    memory_mb: u64,
    contact_ms: u64,
}

impl Machine {
    fn spawn(store: &Store, folder: &str, setup: &Setup<'_>) -> Self {
        // Another program may have taken a port in the meantime.
        for _ in 0..3 {
            if let Some(machine) = Self::try_spawn(store, folder, setup) {
                return machine;
            }
        }
        give_up("the program does not start")
    }

    fn try_spawn(store: &Store, folder: &str, setup: &Setup<'_>) -> Option<Self> {
        let name = setup.name;
        let [frontend, ready, control, registry, metrics] = std::array::from_fn(|_| free_address());
        let settings = format!(
            r#"{{"node-name":"{name}","role":"entry","machine-class":"edge","serves":["edge","control","registry"],
"ip":"127.0.0.1","zone":"almaty-a","region":"almaty","zones":{{"almaty-a":"almaty"}},
"listen":{{"frontend":"{frontend}","ready":"{ready}","control-plane":"{control}","registry":"{registry}"}},
"port-range":[{port},{port}],"seed-nodes":[],"bootstrap":true,"loss-counts":false,
"limits":{{"cpu-quota":0.25,"cpu-cores":1,"memory-mb":{memory},"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry-point":"registry","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"],
"fault-tolerance":{{"machines":2,"zones":1,"region-count":1}},
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"contact-ms":{contact_ms},"ack-ms":5000,"catch-up-s":4,"drain-ms":2500,"grace-s":8,
"loss-slack-ms":200,"config-apply-ms":2500,"rollback-slack-ms":250,"outer-ms":6000,"revoke-fail-closed":false,
"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":58,"warmup-factor":1.5,
"warmup-slack":5,"evacuation-ms":5000,"recovery-s":12,"stream-lag-ms":300,"retry-after-s":8.5,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12,"append-ms":2.0,
"ingress-per-s":20.0,"egress-per-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"part-mb":200,
"ttl-min-ms":1000}}}}"#,
            port = metrics.port(),
            memory = setup.memory_mb,
            contact_ms = setup.contact_ms,
            store = store.address,
        );
        let path = PathBuf::from(folder).join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let child = Command::new(PROGRAM)
            .env("TEASELCHUTE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(File::create(PathBuf::from(folder).join(format!("{name}.log"))).unwrap())
            .stderr(Stdio::inherit())
            .spawn();
        let Ok(child) = child else {
            say(&format!("{PROGRAM} can't be started: build it first"));
            quit(2);
        };
        list_process(child.id());
        let mut machine = Self {
            child,
            settings: path,
            name: name.to_string(),
            frontend,
            ready,
            registry,
        };
        for _ in 0..500 {
            if machine.is_ready() {
                note(&format!("{name} is ready, pid {}", machine.child.id()));
                return Some(machine);
            }
            if matches!(machine.child.try_wait(), Ok(Some(_))) {
                return None;
            }
            sleep(20);
        }
        None
    }

    fn is_ready(&self) -> bool {
        let answer = get(self.ready, "/readyz");
        answer.is_some_and(|answer| answer.status() == 200)
    }

    fn has_ended(&mut self) -> bool {
        let has_ended = !matches!(self.child.try_wait(), Ok(None));
        if has_ended {
            forget_process(self.child.id());
        }
        has_ended
    }

    /// Memory of the process, in bytes: what is resident now.
    fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kb.and_then(|kb| kb.trim().parse::<u64>().ok()).unwrap_or(0) * 1_024
    }

    fn signal(&self, name: &str) {
        note(&format!("SIG{name} to {}", self.name));
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_process(self.child.id());
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1_000)));
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------- backend servers

/// What reached a server.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
}

static ARRIVALS: Mutex<Vec<Arrival>> = Mutex::new(Vec::new());

fn arrivals() -> Vec<Arrival> {
    ARRIVALS.lock().unwrap().clone()
}

/// Runs a request and writes its answer. Returns whether the connection stays open.
type Work = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

#[derive(Clone)]
struct Server {
    id: String,
    address: SocketAddr,
    born: u64,
    sequence: Arc<AtomicU64>,
}

const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

impl Server {
    fn spawn(id: &str, work: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let work: Arc<Work> = Arc::new(work);
        let own = id.to_string();
        let address = listen(move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_message(&mut reader) {
                if !request.whole {
                    return;
                }
                let id = request.header("Attempt-Id").to_string();
                let expected = request.header("Expect-Instance");
                let is_other = !expected.is_empty() && expected != own;
                let arrival = Arrival { id: id.clone() };
                note(&format!("{own}: {} {id}{}", request.first, if is_other { " -> 421" } else { "" }));
                ARRIVALS.lock().unwrap().push(arrival);
                if is_other {
                    let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
                    if writer.write_all(&answer(421, &headers, b"")).is_err() {
                        return;
                    }
                    continue;
                }
                if !work(&request, &mut writer) {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
        Self {
            id: id.to_string(),
            address,
            born: unix_ms(),
            sequence: Arc::default(),
        }
    }

    /// Returns the next entry that the server writes to the store.
    fn entry(&self, service: &str, capacity: u32, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"almaty-a","version":"v1","capacity":{capacity},"state":"{state}","warmup-left-ms":0,"sequence":{sequence},"born":{}}}"#,
            self.address, self.born
        )
    }
}

/// Answers like a sound server after `ms` of work.
fn plain_work(ms: u64) -> impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync {
    move |request, writer| {
        sleep(ms);
        let id = request.header("Attempt-Id");
        let headers = [("Attempt-Id", id), ("Server-Signature", SIGNATURE)];
        writer.write_all(&answer(200, &headers, format!("done {id}").as_bytes())).is_ok()
    }
}

// ---------------------------------------------------------------- clients

/// One request of a client and its end.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: u64,
    end: u64,
    /// Status of the answer, 0 where there was none.
    status: u16,
    whole: bool,
    body: Vec<u8>,
    is_signed: bool,
}

static SENT: Mutex<Vec<Sent>> = Mutex::new(Vec::new());
static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

fn sent() -> Vec<Sent> {
    SENT.lock().unwrap().clone()
}

/// Sends one request with further headers on a connection of its own, and reads its answer.
fn request_with(
    machine: &str,
    frontend: SocketAddr,
    path: &str,
    more: &str,
    body: &str,
    deadline_ms: u64,
) -> Sent {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst) as u64);
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let at = now();
    note(&format!("client: POST {path} {id} to {machine}"));
    let read = || -> Option<Message> {
        let mut stream = TcpStream::connect_timeout(&frontend, Duration::from_millis(1_000)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000))).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    };
    let message = read();
    let sent = Sent {
        id: id.clone(),
        at,
        end: now(),
        status: message.as_ref().map_or(0, Message::status),
        whole: message.as_ref().is_some_and(|it| it.whole),
        is_signed: message.as_ref().is_some_and(|it| !it.header("Server-Signature").is_empty()),
        body: message.map_or_else(Vec::new, |it| it.body),
    };
    note(&format!(
        "client: {id} ends after {} ms, status {}{}",
        sent.end - sent.at,
        sent.status,
        if sent.whole { "" } else { ", not whole" }
    ));
    SENT.lock().unwrap().push(sent.clone());
    sent
}

// ---------------------------------------------------------------- configuration

fn config(routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":7,"route-list":[{routes}],"services":[{services}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1,"allowed-regions":[]}}]}}"#
    )
}

fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","path-prefix":"/{name}/","route-type":"{kind}","timeout-ms":{timeout_ms},"target-latency-ms":250,"priority":2,"service":"{service}","max-attempts":2,"phases":[],"public":false,"allowed-regions":[]{more}}}"#
    )
}

fn service(name: &str, connections: u32, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","health-path":"/healthz","max-connections":{connections},"protocol":"h1","tls-enabled":false,"warmup-s":0.0,"warmup-per-s":0.0{more}}}"#
    )
}

/// Ids of the processes that were started and not waited for yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// File with these ids, by which `review/play-3.sh` ends them if this program is killed.
static PROCESS_FILE: OnceLock<PathBuf> = OnceLock::new();

/// Longest time of a script, in milliseconds.
const MAX_SCRIPT_MS: u64 = 112_000;

fn list_process(id: u32) {
    let mut all = PROCESSES.lock().unwrap();
    all.push(id);
    write_processes(&all);
}

fn forget_process(id: u32) {
    let mut all = PROCESSES.lock().unwrap();
    all.retain(|known| *known != id);
    write_processes(&all);
}

fn write_processes(all: &[u32]) {
    let text: String = all.iter().map(|id| format!("{id}\n")).collect();
    if let Some(path) = PROCESS_FILE.get() {
        let _ = std::fs::write(path, text);
    }
}

/// Ends the script, which could not show anything.
fn give_up(text: &str) -> ! {
    say(&format!("could not run: {text}"));
    quit(2);
}

/// Ends the script and all processes that it started.
fn quit(code: i32) -> ! {
    let ids: Vec<u32> = PROCESSES.lock().unwrap().drain(..).collect();
    for id in ids {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    write_processes(&[]);
    exit(code);
}

/// Ends the script with its verdict.
fn finish(broken: bool, text: &str) -> ! {
    say(text);
    say(if broken { "BROKEN" } else { "held" });
    quit(i32::from(broken));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE FOLDER RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    open_record(record);
    let _ = PROCESS_FILE.set(PathBuf::from(folder).join("processes"));
    thread::spawn(|| {
        sleep(MAX_SCRIPT_MS);
        give_up("it takes too long");
    });
    note(&format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let (broken, text) = match case.as_str() {
        "outage" => outage(folder, trouble),
        "wrong-bytes" => wrong_bytes(folder, trouble),
        "endless" => endless(folder, trouble),
        _ => {
            eprintln!("unknown case");
            exit(2);
        }
    };
    finish(broken, &text)
}

// ---------------------------------------------------------------- cases

/// Bounds of the site file chamois-coop, in milliseconds.
const CONTACT_MS: u64 = 4_000;
const HEARTBEAT_MS: u64 = 1_200;

/// Makes the events of a stream.
fn stream_work(
    first_ms: u64,
    gap_ms: u64,
    events: u64,
) -> impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync {
    move |request, writer| {
        sleep(first_ms);
        let id = request.header("Attempt-Id");
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {SIGNATURE}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in 1..=events {
            let event = format!("id: {number}\ndata: part {number} of {id}\n\n");
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if writer.write_all(text.as_bytes()).is_err() {
                return false;
            }
            text.clear();
            sleep(gap_ms);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// The store is down when a machine is removed for good. The others know that it has ended only by its missing heartbeats.
fn outage(folder: &str, trouble: bool) -> (bool, String) {
    const DOWN_MS: u64 = 4_500;
    let store = Store::spawn();
    let server = Server::spawn("i-7f3a91c2", plain_work(30));
    store.put(
        "keyed.op",
        "config",
        config(&route("order", "unsafe", "order-desk", 2_500, ""), &service("order-desk", 110, "")).as_bytes(),
    );
    append(store.address, "keyed.servers", &server.id, server.entry("order-desk", 6, "ready").as_bytes());
    let (beats, sender) = (store.clone(), server.clone());
    thread::spawn(move || loop {
        sleep(HEARTBEAT_MS);
        let entry = sender.entry("order-desk", 6, "ready");
        append(beats.address, "keyed.servers", &sender.id, entry.as_bytes());
    });
    let mut machines: Vec<Machine> = (1..=3)
        .map(|n| {
            let name = format!("edge-almaty-a-{n}");
            Machine::spawn(&store, folder, &Setup { name: &name, memory_mb: 260, contact_ms: CONTACT_MS })
        })
        .collect();
    let named = |machine: &Machine| {
        let path = format!("/resolve?name={HOST}&region=almaty&zone=almaty-a");
        let answer = get(machine.registry, &path);
        String::from_utf8_lossy(&answer.map(|it| it.body).unwrap_or_default()).to_string()
    };
    sleep(6_000);
    let mut leaving = machines.pop().unwrap();
    let frontend = format!("\"{}\"", leaving.frontend);
    if !named(&machines[0]).contains(&frontend) {
        give_up("the machine was not named before")
    }
    let down = now();
    if trouble {
        note("the store is down (platform_down, silent)");
        store.set_silent(true);
    }
    sleep(50);
    // The machine is removed for good, without SIGTERM.
    leaving.signal("KILL");
    while !leaving.has_ended() {
        sleep(1);
    }
    let ended = now();
    note(&format!("{} has ended", leaving.name));
    sleep_until(down + DOWN_MS);
    store.set_silent(false);
    let stable = now();
    note("the store is up");
    let mut wrong = 0;
    let mut asked = 0;
    while now() < stable + CONTACT_MS + 6_000 {
        for machine in &machines {
            let text = named(machine);
            let at = now();
            note(&format!("{} names {text}", machine.name));
            if at > ended + CONTACT_MS + 3_000 && at > stable + CONTACT_MS {
                asked += 1;
                if text.contains(&frontend) {
                    wrong += 1;
                    note(&format!(
                        "DRAIN: named {} ms after it has ended, {} ms after the store is up",
                        at - ended,
                        at - stable
                    ));
                }
            }
        }
        // 21 clients of the zone, each of which keeps an answer for 2 s.
        sleep(190);
    }
    let text = format!(
        "{asked} answers of the directory more than {} ms after {} had ended, {wrong} of them name it",
        CONTACT_MS + 3_000,
        leaving.name
    );
    if asked < 20 {
        give_up("the directory was not asked");
    }
    drop(machines);
    (wrong > 3, text)
}

/// A server spoils one of its streams: wrong bytes come behind an event, and the server breaks off. The stream goes on at
/// another server.
fn wrong_bytes(folder: &str, trouble: bool) -> (bool, String) {
    // The disruption: for 5 s, 2 of 6 servers spoil one of their answers, at most MAX_SHARE of these.
    const SERVERS: usize = 6;
    const FAULTY: usize = 2;
    const SPOIL_FROM_MS: u64 = 1_000;
    const SPOIL_MS: u64 = 5_000;
    const MAX_SHARE: f64 = 0.0103;
    const EVENTS: u64 = 6;
    // Streams of the sheet: name, requests a second, deadline, attempts.
    const STREAMS: [(&str, f64, u64, u64); 3] =
        [("lot-summary", 31.3, 6_000, 2), ("buyer-reply", 38.4, 6_000, 1), ("price-query", 12.4, 20_000, 2)];
    let store = Store::spawn();
    let is_faulty = Arc::new(AtomicBool::new(false));
    let was_spoiled = Arc::new(AtomicBool::new(false));
    let made = Arc::new(AtomicUsize::new(0));
    let spoiled: Arc<Mutex<Vec<String>>> = Arc::default();
    let event = |number: u64, id: &str| format!("id: {number}\ndata: part {number} of {id}\n\n");
    let servers: Vec<Server> = (0..SERVERS)
        .map(|n| {
            let (is_faulty, made, spoiled) = (is_faulty.clone(), made.clone(), spoiled.clone());
            let was_spoiled = was_spoiled.clone();
            Server::spawn(&format!("i-7f3a91{n:02}"), move |request, writer| {
                sleep(30);
                let id = request.header("Attempt-Id");
                let last: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
                let number = if n < FAULTY && is_faulty.load(Ordering::SeqCst) {
                    made.fetch_add(1, Ordering::SeqCst) + 1
                } else {
                    0
                };
                let is_spoiled = number > 20
                    && last == 0
                    && request.path().starts_with("/lot-summary/")
                    && !was_spoiled.swap(true, Ordering::SeqCst);
                let mut text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {SIGNATURE}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                for number in last + 1..=EVENTS {
                    let event = event(number, id);
                    text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
                    if writer.write_all(text.as_bytes()).is_err() {
                        return false;
                    }
                    text.clear();
                    sleep(30);
                    if is_spoiled && number == 3 {
                        spoiled.lock().unwrap().push(id.to_string());
                        note(&format!("the stream of {id} is spoiled behind event 3, and broken off"));
                        let wrong = "data: wrong bytes\n\n";
                        let _ = writer.write_all(format!("{:x}\r\n{wrong}\r\n", wrong.len()).as_bytes());
                        sleep(30);
                        return false;
                    }
                }
                writer.write_all(b"0\r\n\r\n").is_ok()
            })
        })
        .collect();
    let more = r#","session-affinity":true,"stream-resume":true,"gap-aim-ms":300"#;
    let engine = r#","engine":{"capacity":64,"kv-capacity":527212,"kv-token-bytes":1000,"link-mbps":10000,"handle-s":5.0,"models":[{"name":"m"}]}"#;
    let routes: Vec<String> = STREAMS
        .iter()
        .map(|(name, _, timeout_ms, attempts)| {
            route(name, "streaming", "sorter-lm", *timeout_ms, more)
                .replace("\"max-attempts\":2", &format!("\"max-attempts\":{attempts}"))
        })
        .collect();
    store.put("keyed.op", "config", config(&routes.join(","), &service("sorter-lm", 370, engine)).as_bytes());
    for server in &servers {
        append(store.address, "keyed.servers", &server.id, server.entry("sorter-lm", 64, "ready").as_bytes());
    }
    let machine = Machine::spawn(&store, folder, &Setup { name: "edge-almaty-a-1", memory_mb: 260, contact_ms: CONTACT_MS });
    let begin = now() + 500;
    let length_ms = SPOIL_FROM_MS + SPOIL_MS + 1_000;
    let mut senders = Vec::new();
    for (name, per_s, deadline_ms, _) in STREAMS {
        let (machine, frontend) = (machine.name.clone(), machine.frontend);
        senders.push(thread::spawn(move || {
            let mut clients = Vec::new();
            for n in 0u64.. {
                let at = (n as f64 * 1_000.0 / per_s) as u64;
                if at > length_ms {
                    break;
                }
                sleep_until(begin + at);
                let machine = machine.clone();
                let thing = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
                let prompt = format!(
                    "Model: m\r\nToken-Usage: 9190,50\r\nPrefix-Hash: {:x}:6300,{:x}:2890\r\n",
                    thing % 302,
                    ((per_s as u64) << 20) + n
                );
                let path = format!("/{name}/1");
                clients.push(thread::spawn(move || {
                    request_with(&machine, frontend, &path, &prompt, "a prompt", deadline_ms)
                }));
            }
            for client in clients {
                let _ = client.join();
            }
        }));
    }
    sleep_until(begin + SPOIL_FROM_MS);
    is_faulty.store(trouble, Ordering::SeqCst);
    sleep_until(begin + SPOIL_FROM_MS + SPOIL_MS);
    is_faulty.store(false, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let sent = sent();
    let spoiled = spoiled.lock().unwrap().clone();
    let mut wrong = 0;
    for it in sent.iter().filter(|it| it.status == 200 && it.whole && it.is_signed) {
        let body: String = (1..=EVENTS).map(|number| event(number, &it.id)).collect();
        if it.body != body.as_bytes() {
            wrong += 1;
            note(&format!("MIXED: {} has a whole success with the body {:?}", it.id, String::from_utf8_lossy(&it.body)));
        }
    }
    let text = format!(
        "{} requests, {} streams spoiled; {wrong} clients have a whole success whose body no server made",
        sent.len(),
        spoiled.len()
    );
    let served = sent.iter().filter(|it| it.status == 200 && it.whole).count();
    if served * 10 < sent.len() * 9 {
        give_up(&format!("{served} of {} requests were served", sent.len()));
    }
    let made = made.load(Ordering::SeqCst);
    if trouble && (spoiled.is_empty() || spoiled.len() as f64 > MAX_SHARE * made as f64) {
        give_up(&format!("{} of {made} answers were spoiled", spoiled.len()));
    }
    drop(machine);
    (wrong > 0, format!("{text}; {made} answers of these servers meanwhile"))
}

/// Some answers have a body without end, in chunks of one byte. The platform kills a process that exceeds its memory,
/// and starts it again.
fn endless(folder: &str, trouble: bool) -> (bool, String) {
    // 48 of the 77 machines of the site have this memory, and links of 10 Mbit/s.
    const MEMORY_MB: u64 = 120;
    const LINK_BYTES_PER_MS: usize = 1_250;
    const SERVERS: usize = 10;
    const MACHINES: usize = 2;
    // Connections that the clients keep to a machine.
    const CLIENTS: u64 = 11;
    // The disruption: 0.6 of the servers spoil at most 0.05 of their answers, for 6.2 s from these times on.
    const FAULTY: usize = SERVERS * 6 / 10;
    const MAX_SHARE: f64 = 0.05;
    const SPOIL_FROM_MS: [u64; 4] = [4_000, 11_000, 40_000, 47_000];
    const SPOIL_MS: u64 = 6_200;
    // Time to the first event of a sound stream, inside the shortest aim of 1,600 ms.
    const FIRST_MS: u64 = 1_000;
    const LENGTH_MS: u64 = 74_000;
    const RESTART_MS: u64 = 300;
    // Streams of the sheet: name, its part of 30 requests, deadline, events and time between them.
    const STREAMS: [(&str, u64, u64, u64, u64); 3] = [
        ("parcel-dossier", 13, 6_000, 13, 60),
        ("objection-brief", 10, 6_000, 6, 60),
        ("assessor-chat", 7, 20_000, 70, 40),
    ];
    let store = Store::spawn();
    // Number of the spoiled answer that is due, and of those that were made.
    let due = Arc::new(AtomicUsize::new(0));
    let spoiled: Arc<Mutex<Vec<String>>> = Arc::default();
    // Answers of the faulty servers while they spoil some.
    let is_faulty = Arc::new(AtomicBool::new(false));
    let made = Arc::new(AtomicUsize::new(0));
    let servers: Vec<Server> = (0..SERVERS)
        .map(|n| {
            let (due, spoiled, is_faulty, answers) = (due.clone(), spoiled.clone(), is_faulty.clone(), made.clone());
            Server::spawn(&format!("i-7f3a91{n:02}"), move |request, writer| {
                let kind = STREAMS.iter().find(|it| request.path()[1..].starts_with(it.0));
                let (name, _, _, events, gap_ms) = *kind.unwrap_or(&STREAMS[0]);
                let machine = usize::from(request.body.ends_with(b"1"));
                let id = request.header("Attempt-Id");
                if n < FAULTY && is_faulty.load(Ordering::SeqCst) {
                    answers.fetch_add(1, Ordering::SeqCst);
                }
                let mut made = spoiled.lock().unwrap();
                let number = due.load(Ordering::SeqCst);
                let is_spoiled = n < FAULTY
                    && name == "assessor-chat"
                    && number > made.len()
                    && (number - 1) % MACHINES == machine;
                if !is_spoiled {
                    drop(made);
                    return stream_work(FIRST_MS, gap_ms, events)(request, writer);
                }
                made.push(id.to_string());
                due.store(0, Ordering::SeqCst);
                drop(made);
                note(&format!("the answer to {id} has a body without end"));
                let head = format!("HTTP/1.1 500 Status\r\nAttempt-Id: {id}\r\nServer-Signature: {SIGNATURE}\r\nTransfer-Encoding: chunked\r\n\r\n");
                let mut is_open = writer.write_all(head.as_bytes()).is_ok();
                let chunk = b"1\r\nx\r\n";
                let begin = now();
                let mut chunks = 0;
                while is_open {
                    // No faster than the link of the machine.
                    let may = (now() - begin) as usize * LINK_BYTES_PER_MS / chunk.len();
                    is_open = writer.write_all(&chunk.repeat(may - chunks)).is_ok();
                    chunks = may;
                    sleep(10);
                }
                note(&format!("the answer to {id} was closed, after {chunks} chunks"));
                false
            })
        })
        .collect();
    let more = r#","session-affinity":true,"stream-resume":true,"gap-aim-ms":400"#;
    let routes: Vec<String> = STREAMS
        .iter()
        .map(|(name, _, timeout_ms, ..)| route(name, "streaming", "gutachten-llm", *timeout_ms, more))
        .collect();
    let engine = r#","engine":{"capacity":24,"kv-capacity":235638,"kv-token-bytes":1000,"link-mbps":10000,"handle-s":5.0,"models":[{"name":"m"}]}"#;
    store.put("keyed.op", "config", config(&routes.join(","), &service("gutachten-llm", 620, engine)).as_bytes());
    for server in &servers {
        append(store.address, "keyed.servers", &server.id, server.entry("gutachten-llm", 24, "ready").as_bytes());
    }
    let spawn = |name: &str| Machine::spawn(&store, folder, &Setup { name, memory_mb: MEMORY_MB, contact_ms: 5_000 });
    // Machine, the most memory that it had, and how often it was killed.
    let mut machines: Vec<(Machine, u64, u64)> = (1..=MACHINES)
        .map(|n| (spawn(&format!("edge-wien-a-{n}")), 0, 0))
        .collect();
    let addresses: Arc<Mutex<Vec<(String, SocketAddr)>>> = Arc::new(Mutex::new(
        machines.iter().map(|(it, ..)| (it.name.clone(), it.frontend)).collect(),
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let begin = now() + 500;
    // Requests on kept connections that ended without an answer.
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    for machine in 0..MACHINES {
        for client in 0..CLIENTS {
            let (stop, addresses, cut) = (stop.clone(), addresses.clone(), cut.clone());
            thread::spawn(move || {
                sleep_until(begin + client * 300);
                let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
                let mut is_kept = false;
                for n in 0u64.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let (name, frontend) = addresses.lock().unwrap()[machine].clone();
                    if connection.is_none() {
                        is_kept = false;
                        let Ok(stream) = TcpStream::connect_timeout(&frontend, Duration::from_millis(1_000)) else {
                            sleep(100);
                            continue;
                        };
                        let _ = stream.set_read_timeout(Some(Duration::from_millis(21_000)));
                        connection = Some((stream.try_clone().unwrap(), BufReader::new(stream)));
                    }
                    let draw = ((n * CLIENTS + client) * 2 + machine as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                    let mut part = draw % 30;
                    let kind = STREAMS.iter().find(|it| {
                        let is_it = part < it.1;
                        part = part.saturating_sub(it.1);
                        is_it
                    });
                    let (path, _, deadline_ms, ..) = *kind.unwrap();
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst) as u64);
                    let body = format!("a prompt by way of machine {machine}");
                    let text = format!(
                        "POST /{path}/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 2368,25\r\nPrefix-Hash: {:x}:568,{id}:1800\r\nDeadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
                        draw / 30 % 302,
                        body.len()
                    );
                    let at = now();
                    note(&format!("client: POST /{path}/1 {id} to {name}{}", if is_kept { "" } else { ", on a new connection" }));
                    let (writer, reader) = connection.as_mut().unwrap();
                    let message = writer.write_all(text.as_bytes()).ok().and_then(|()| read_message(reader));
                    let whole = message.as_ref().is_some_and(|it| it.whole);
                    let status = message.as_ref().map_or(0, Message::status);
                    note(&format!("client: {id} ends after {} ms, status {status}{}", now() - at, if whole { "" } else { ", not whole" }));
                    let has_ended = stop.load(Ordering::SeqCst);
                    SENT.lock().unwrap().push(Sent { id: id.clone(), at, end: now(), status, whole, is_signed: false, body: vec![] });
                    // A stream that has begun isn't without an answer.
                    if status == 0 && is_kept && !has_ended {
                        cut.lock().unwrap().push(id);
                    }
                    let closes = message.as_ref().is_some_and(|it| it.header("connection").eq_ignore_ascii_case("close"));
                    is_kept = true;
                    if !whole || closes {
                        connection = None;
                    }
                    sleep(1_000 + draw % 1_000);
                }
            });
        }
    }
    let mut windows = 0;
    while now() < begin + LENGTH_MS {
        let at = now().saturating_sub(begin);
        if trouble && windows < SPOIL_FROM_MS.len() && at >= SPOIL_FROM_MS[windows] {
            windows += 1;
            due.store(spoiled.lock().unwrap().len() + 1, Ordering::SeqCst);
            is_faulty.store(true, Ordering::SeqCst);
            note("servers begin to spoil answers (garble)");
        }
        if windows > 0 && at > SPOIL_FROM_MS[windows - 1] + SPOIL_MS && is_faulty.swap(false, Ordering::SeqCst) {
            due.store(0, Ordering::SeqCst);
            note("servers spoil no more answers");
        }
        for n in 0..MACHINES {
            let memory = machines[n].0.memory();
            machines[n].1 = machines[n].1.max(memory);
            if memory <= MEMORY_MB * 1_000_000 {
                continue;
            }
            let name = machines[n].0.name.clone();
            note(&format!("{name} has {} MB of {MEMORY_MB}: the platform kills it", memory / 1_000_000));
            machines[n].2 += 1;
            machines[n].0.signal("KILL");
            sleep(RESTART_MS);
            let again = spawn(&name);
            addresses.lock().unwrap()[n].1 = again.frontend;
            machines[n].0 = again;
        }
        sleep(5);
    }
    stop.store(true, Ordering::SeqCst);
    let ended: Vec<String> = machines
        .iter()
        .map(|(machine, most, ends)| format!("{} ended {ends} times (at most {} MB)", machine.name, most / 1_000_000))
        .collect();
    // Those that were passed on to a sound server.
    let spoiled = spoiled.lock().unwrap().clone();
    let reached: Vec<String> = arrivals().into_iter().map(|it| it.id).collect();
    let lost: Vec<String> = cut
        .lock()
        .unwrap()
        .iter()
        .filter(|id| !spoiled.contains(id) && reached.contains(id))
        .cloned()
        .collect();
    for id in &lost {
        note(&format!("LOST: {id} came on a kept connection, was passed on to a sound server, and got no answer"));
    }
    let text = format!(
        "{} requests, {} answers without end; {}; {} requests from kept connections were passed on to sound servers and got no answer",
        sent().len(),
        spoiled.len(),
        ended.join(", "),
        lost.len()
    );
    let sent = sent();
    let served = sent.iter().filter(|it| it.status == 200 && it.whole).count();
    if served * 10 < sent.len() * 8 {
        give_up(&format!("{served} of {} requests were served", sent.len()));
    }
    let made = made.load(Ordering::SeqCst);
    if trouble && (spoiled.is_empty() || spoiled.len() as f64 > MAX_SHARE * made as f64) {
        give_up(&format!("{} of {made} answers were spoiled", spoiled.len()));
    }
    drop(machines);
    (lost.len() > 3, format!("{text}; {made} answers of the faulty servers meanwhile"))
}
