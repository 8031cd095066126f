//! Stand-ins for the cases of the review: a store, servers, clients and entry hosts as child processes.
//!
//! Uses the standard library only, so that `rustc` alone builds it. Each case is a program of its own
//! that includes this file as a module and uses a part of it.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";
pub const HOST: &str = "pule25.example";
pub const ZONE: &str = "almaty-a";

/// Time without disruption after which a machine is in touch, in milliseconds.
pub const CONTACT_MS: u64 = 4_000;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Record of what was sent, answered and run, with times in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder that the first argument names.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).expect("the first argument is the case's folder");
        let file = File::create(PathBuf::from(folder).join("record.txt"));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file.expect("the record can be written"))),
        }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let line = read_line(reader)?;
        let mut words = line.split_whitespace();
        let mut request = Self {
            method: words.next()?.to_string(),
            path: words.next()?.to_string(),
            ..Self::default()
        };
        request.headers = read_headers(reader)?;
        if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let chunk = read_chunk(reader)?;
                if chunk.is_empty() {
                    break;
                }
                request.body.extend(chunk);
            }
        } else {
            let length = request.header("content-length").parse().unwrap_or(0);
            request.body = vec![0; length];
            reader.read_exact(&mut request.body).ok()?;
        }
        Some(request)
    }
}

pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&length| length > 0)?;
    Some(line.trim_end().to_string())
}

pub fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads one chunk, an empty one at the end of the body.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let line = read_line(reader)?;
    let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Encodes a response with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Listens on a free loopback port and serves each connection on its own thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

// --- The platform's store ------------------------------------------------------------------------

#[derive(Default)]
struct Topics(BTreeMap<String, Vec<Vec<u8>>>);

/// The platform's store with its keyed topics.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

fn keyed_record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut bytes = vec![key.len() as u8];
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes
}

impl Store {
    pub fn spawn() -> Self {
        let topics: Arc<(Mutex<Topics>, Condvar)> = Arc::default();
        let shared = topics.clone();
        let address = listen(move |stream| {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = Request::read(&mut reader) {
                let bytes = Self::reply(&shared, &request);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
        Self { address, topics }
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.0.entry(topic.to_string()).or_default().push(keyed_record(key, value));
        changed.notify_all();
    }

    fn reply(shared: &(Mutex<Topics>, Condvar), request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default().to_string();
        let (topics, changed) = shared;
        match request.path.split('?').next().unwrap_or_default() {
            "/log-newest" => {
                let mut topics = topics.lock().unwrap();
                let records = topics.0.entry(topic).or_default();
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    let key = String::from_utf8_lossy(key).to_string();
                    if value.is_empty() {
                        newest.remove(&key);
                    } else {
                        newest.insert(key, (offset, base64(value)));
                    }
                }
                let entries: Vec<String> = newest
                    .into_iter()
                    .map(|(key, (offset, value))| {
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let body = format!(
                    "{{\"entries\":[{}],\"has-more\":false,\"end-offset\":{}}}",
                    entries.join(","),
                    records.len()
                );
                answer(200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/log-read" => {
                let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                let topics = topics.lock().unwrap();
                let (topics, _) = changed
                    .wait_timeout_while(topics, wait, |topics| {
                        topics.0.get(&topic).map_or(0, Vec::len) <= from
                    })
                    .unwrap();
                let empty = Vec::new();
                let records = topics.0.get(&topic).unwrap_or(&empty);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                answer(200, &[], &body)
            }
            "/log-append" => {
                let mut topics = topics.lock().unwrap();
                let records = topics.0.entry(topic).or_default();
                let offset = records.len();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let body = format!("{{\"offset\":{offset},\"end-offset\":{}}}", records.len());
                changed.notify_all();
                answer(200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            _ => answer(404, &[], b""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= group.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// What a server reports of itself to the store.
#[derive(Clone)]
pub struct Registration {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Registration {
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":1,\
             \"capacity\":{},\"state\":\"{state}\",\"warmup-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.slots, self.born
        )
    }

    /// Registers the server, and writes a heartbeat every 1.2 s while `is_alive` returns true. A server
    /// that crashed writes nothing, and its entry is removed after three intervals.
    pub fn keep(&self, store: &Store, is_alive: impl Fn() -> bool + Send + 'static) {
        let registration = self.clone();
        let store = store.clone();
        store.put("keyed.servers", &self.id, self.entry("ready", 1).as_bytes());
        thread::spawn(move || {
            let mut sequence = 1;
            let mut silent = 0;
            while silent < 3 {
                sleep_ms(1_200);
                sequence += 1;
                if is_alive() {
                    silent = 0;
                    let entry = registration.entry("ready", sequence);
                    store.put("keyed.servers", &registration.id, entry.as_bytes());
                } else {
                    silent += 1;
                }
            }
            store.put("keyed.servers", &registration.id, b"");
        });
    }
}

// --- Entry hosts ---------------------------------------------------------------------------------

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// An entry host: the program of the deploy file as a child process.
pub struct Host {
    child: Child,
    folder: PathBuf,
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub lookup: SocketAddr,
}

/// Ends all hosts when the case ends, also after a panic.
impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts the entry hosts of a small deployment, and waits until all of them are ready.
pub fn start_hosts(record: &Record, store: &Store, count: usize) -> Vec<Host> {
    // The ports may be taken between their choice and the start, so some starts are repeated.
    for _ in 0..5 {
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let mut hosts: Vec<Host> = (0..count)
            .map(|index| Host::spawn(store, index + 1, &peers))
            .collect();
        let deadline = Instant::now() + Duration::from_secs(8);
        while Instant::now() < deadline {
            if hosts.iter().all(Host::is_ready) {
                // Longer than `contact-ms`, so that they are in touch. They discover each other meanwhile.
                sleep_ms(CONTACT_MS + 500);
                record.say(&format!("{count} entry hosts are ready"));
                return hosts;
            }
            if hosts.iter_mut().any(Host::has_ended) {
                break;
            }
            sleep_ms(50);
        }
    }
    record.say("the entry hosts did not start");
    std::process::exit(NOT_RUN);
}

impl Host {
    fn spawn(store: &Store, number: usize, peers: &[SocketAddr]) -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("edge-{ZONE}-{number}");
        let folder = std::env::temp_dir().join(format!("review-{}-{count}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let [callers, ready, lookup, metrics] = std::array::from_fn(|_| free_address());
        let own = peers[number - 1];
        let seeds: Vec<String> = peers.iter().take(3).map(|peer| format!("\"{peer}\"")).collect();
        let settings = format!(
            "{{\"node-name\":\"{name}\",\"role\":\"entry\",\"machine-class\":\"edge\",\
             \"serves\":[\"edge\",\"control\",\"registry\"],\"ip\":\"127.0.0.1\",\
             \"zone\":\"{ZONE}\",\"region\":\"almaty\",\"zones\":{{\"{ZONE}\":\"almaty\"}},\
             \"listen\":{{\"frontend\":\"{callers}\",\"ready\":\"{ready}\",\
             \"control-plane\":\"{own}\",\"registry\":\"{lookup}\"}},\
             \"port-range\":[{port},{port}],\"seed-nodes\":[{seeds}],\"bootstrap\":true,\
             \"loss-counts\":false,\"limits\":{{\"cpu-quota\":0.25,\"cpu-cores\":1,\
             \"memory-mb\":260,\"max-fds\":4100,\"link-mbps\":1000.0,\"disk-mb\":0}},\
             \"data-dir\":null,\"discovery\":\"platform\",\"entry-point\":\"registry\",\
             \"heartbeat-ms\":1200,\"fault-tolerance\":{{\"machines\":2,\"zones\":1,\
             \"region-count\":1}},\"bounds\":{{\"seed-lag-s\":3,\"reuse-after-s\":2,\
             \"contact-ms\":4000,\"ack-ms\":5000,\"catch-up-s\":4,\"drain-ms\":2500,\"grace-s\":8,\
             \"loss-slack-ms\":200,\"config-apply-ms\":2500,\"rollback-slack-ms\":250,\
             \"outer-ms\":6000,\"revoke-fail-closed\":false,\"revoke-ms\":5000,\
             \"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"retry-budget-slack\":58,\
             \"warmup-factor\":1.5,\"warmup-slack\":5,\"evacuation-ms\":5000,\"recovery-s\":12,\
             \"stream-lag-ms\":300,\"retry-after-s\":8.5,\"ttl_max_s\":5}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writes-per-s\":400,\
             \"reads-per-s\":2000,\"parts\":12,\"append-ms\":2.0,\"keep_s\":300}}}}",
            port = metrics.port(),
            seeds = seeds.join(","),
            store = store.address,
        );
        let path = folder.join("local.json");
        fs::write(&path, settings).expect("the settings can be written");
        Self {
            child: Self::start(&folder),
            folder,
            name,
            callers,
            ready,
            lookup,
        }
    }

    /// Starts the command of deploy/system.toml in the repository root.
    fn start(folder: &Path) -> Child {
        let log = File::options().create(true).append(true).open(folder.join("log"));
        let mut command = Command::new("target/release/teaselchute-entry");
        command
            .env("TEASELCHUTE_BOOT", folder.join("local.json"))
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null());
        // SAFETY: the function only makes a system call.
        unsafe {
            command.pre_exec(|| {
                // The host ends with the case, also if that is killed.
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        command.spawn().unwrap_or_else(|_| {
            eprintln!("target/release/teaselchute-entry doesn't start: build it first");
            std::process::exit(NOT_RUN);
        })
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = Self::start(&self.folder);
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let ask = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(ask.as_bytes());
        let mut reader = BufReader::new(stream);
        read_line(&mut reader).is_some_and(|line| line.contains(" 200"))
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
    }

    /// Returns the lines of the process's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_string).collect()
    }
}

// --- Clients -------------------------------------------------------------------------------------

/// Head and body of a client's request.
pub fn client_request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in more {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Response head as a client reads it.
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let line = read_line(reader)?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            status,
            headers: read_headers(reader)?,
        })
    }

    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").eq_ignore_ascii_case("chunked")
    }
}

/// Encodes the head of a stream.
pub fn stream_head(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {SIGNATURE}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// Encodes one event of a stream as a chunk.
pub fn event(id: u64) -> Vec<u8> {
    let event = format!("id: {id}\ndata: token {id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

// --- JSON ----------------------------------------------------------------------------------------

/// A JSON value, for the calls of stages.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(HashMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = HashMap::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, at)? else {
                                return None;
                            };
                            Self::skip(bytes, at);
                            *at += 1;
                            table.insert(key, Self::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let start = *at;
                // Ids, keys and handles have no escapes.
                while *bytes.get(*at)? != b'"' {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*at]).ok()?.to_string();
                *at += 1;
                Some(Self::Text(text))
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[start..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    text => Some(Self::Number(text.parse().ok()?)),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Table(table) => table.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }
}

/// Closes both directions of a connection, as the end of its process does.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
