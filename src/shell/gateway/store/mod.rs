//! Follows the topics of the platform's store, and writes this host's heartbeats to it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::HeaderMap;
use opentelemetry::KeyValue;
use tokio::sync::Notify;

use crate::shell::gateway::{
    Gateway,
    log::Event,
    peers::{
        self,
        Answer,
        Relay,
        Relayed,
        Shared, //
    },
    rollouts,
    upstream, //
};
use crate::{
    core::gateway::{
        hosts::HEARTBEAT_INTERVAL_MS,
        position::{
            self,
            Continuity,
            Position, //
        },
        recent::Buffer, //
    },
    edges::gateway::{
        Call,
        Record,
        Topic, //
    },
    names::Name,
    shell::clock::draw_incarnation,
    time::Instant,
};

mod apply;
mod catch_up;
mod heartbeats;
mod shared;
mod statuses;

use apply::{
    Origin,
    apply,
    remove_missing, //
};
pub(super) use apply::{
    apply_snapshot,
    report_bad_record, //
};
pub(super) use heartbeats::{
    announce_leave,
    hasten as hasten_heartbeat, //
};
pub(super) use shared::recent;
pub(super) use statuses::{
    read as read_statuses,
    write as write_status, //
};

/// Maximum duration of a long poll for the operators' next record, in milliseconds. Short, so that a
/// dead connection is detected well within the time that a change may take.
const LONG_POLL_MS: u64 = 1_800;

/// Timeout of a call without a long poll, in milliseconds. A slow store takes 60 times its 4 ms, and
/// a call takes more than one round trip.
const CALL_TIMEOUT_MS: u64 = 900;

/// Pause between reads of topics that change all the time, in milliseconds. Each read is billed.
const READ_INTERVAL_MS: u64 = 800;

/// Backoff after the first failure, in milliseconds.
const MIN_BACKOFF_MS: u64 = 150;

/// Maximum backoff after consecutive failures, in milliseconds.
const MAX_BACKOFF_MS: u64 = 600;

/// Interval at which a host reads a topic itself while the reader can't, in milliseconds. In an outage
/// the calls of all hosts would be wasted, and the reader may be the only one that is refused.
const OWN_READ_INTERVAL_MS: u64 = 3_000;

/// Maximum size of the store's response, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of the newest records of a topic, in bytes. They are held together until all of them are read.
const MAX_TOPIC_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of hosts that are asked to relay a call which the store did not answer.
const MAX_RELAYS: usize = 2;

/// Number of reads after the start with a short pause, while hosts discover each other.
const STARTUP_READS: u32 = 4;

/// Pause between those reads, in milliseconds.
const STARTUP_READ_INTERVAL_MS: u64 = 300;

/// Time after the store returned from a copy for which a full read may still lack what was lost, in
/// milliseconds.
const COPY_MS: u64 = 10_000;

/// Key of the store's connections in the pool.
const POOL_KEY: &str = "store";

/// Status of a read from an offset that the store no longer keeps.
const GONE: u16 = 410;

/// Status of a write whose topic ends at another offset than it requires.
const CONFLICT: u16 = 412;

/// Topics that are always followed. That of rollouts' states is read only while an order is open.
const TOPICS: [Topic; 3] = [Topic::Operator, Topic::Servers, Topic::Hosts];

/// Where the knowledge of a topic comes from.
#[derive(Clone, Copy, Debug)]
struct History {
    timeline: u64,
    // When the topic was first read after the store returned from a copy.
    copied_at: Option<Instant>,
}

/// State of the calls to the store.
#[derive(Default)]
pub(super) struct State {
    failed_at: Cell<Option<Instant>>,
    // Topics whose last call failed.
    failing_topics: RefCell<BTreeSet<Topic>>,
    /// Whether the servers were read once.
    pub(super) has_servers: Cell<bool>,
    /// The active configuration, as it is stored.
    pub(super) config: RefCell<Option<Record>>,
    // When the operators' topic was last read.
    read_at: Cell<Option<Instant>>,
    // Recent reads, for the other hosts of the data centre.
    recent_reads: RefCell<BTreeMap<Topic, Buffer>>,
    // Notified at each of them.
    read_done: Notify,
    heartbeats: heartbeats::Outbox,
    // Notified when the next heartbeat is due early.
    hasten: Notify,
    // Topics that were read once.
    loaded_topics: RefCell<BTreeSet<Topic>>,
    // When this host last read topics that their readers can't.
    tried_at: RefCell<BTreeMap<Topic, Instant>>,
    // Timeline of the newest answer. All topics belong to one store.
    timeline: Cell<u64>,
    // History of what this host knows of each topic.
    histories: RefCell<BTreeMap<Topic, History>>,
    // Whether the configuration of another host is being fetched.
    is_catching_up: Cell<bool>,
    incarnation: Cell<u64>,
    sequence: Cell<u64>,
    relay_turn: Cell<usize>,
    bad_keys: RefCell<BTreeSet<Name>>,
}

impl State {
    /// Returns whether all topics were read.
    pub(super) fn has_read_all(&self) -> bool {
        self.loaded_topics.borrow().len() == TOPICS.len()
    }

    fn has_read(&self, topic: Topic) -> bool {
        self.loaded_topics.borrow().contains(&topic)
    }

    /// Records the timeline of a snapshot for the topics that were not read yet.
    fn learn_timeline(&self, timeline: u64) {
        let history = History {
            timeline,
            copied_at: None,
        };
        let mut histories = self.histories.borrow_mut();
        for topic in TOPICS.into_iter().filter(|&topic| !self.has_read(topic)) {
            histories.insert(topic, history);
        }
    }

    /// Records that a topic was read from the start on a timeline. Returns the timeline of what was known
    /// before, and whether the store may lack some of that.
    fn read_from_start(&self, now: Instant, topic: Topic, timeline: u64) -> (Option<u64>, Origin) {
        let before = self.histories.borrow().get(&topic).copied();
        let is_return = before.is_some_and(|before| before.timeline != timeline);
        let copied_at = if is_return {
            Some(now)
        } else {
            before.and_then(|before| before.copied_at)
        };
        let history = History {
            timeline,
            copied_at,
        };
        self.histories.borrow_mut().insert(topic, history);
        let is_copy = copied_at.is_some_and(|at| now.since_ms(at) < COPY_MS);
        let origin = if is_copy {
            Origin::Copy
        } else {
            Origin::Newest
        };
        (before.map(|before| before.timeline), origin)
    }

    /// Returns whether the last call for any topic failed.
    pub(super) fn is_failing(&self) -> bool {
        !self.failing_topics.borrow().is_empty()
    }

    fn is_failing_for(&self, topic: Topic) -> bool {
        self.failing_topics.borrow().contains(&topic)
    }

    /// Returns whether this host should read a topic although the reader can't, and records that.
    fn try_read(&self, now: Instant, topic: Topic) -> bool {
        let mut tried = self.tried_at.borrow_mut();
        let is_due = tried
            .get(&topic)
            .is_none_or(|&at| now.since_ms(at) >= OWN_READ_INTERVAL_MS);
        if is_due {
            tried.insert(topic, now);
        }
        is_due
    }

    /// Returns the incarnation of this host, unique to each start.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation.get()
    }

    /// Returns the timeline of the newest answer.
    pub(super) fn timeline(&self) -> u64 {
        self.timeline.get()
    }

    /// Returns the time since the operators' topic was last read, in milliseconds.
    pub(super) fn staleness_ms(&self, now: Instant) -> u64 {
        self.read_at
            .get()
            .map_or(u64::MAX, |read| now.since_ms(read))
    }
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Upstream(#[from] upstream::Error),
    #[error("no answer within {0} ms")]
    Silent(u64),
    #[error("status {0}")]
    Status(u16),
    #[error("call can't be written: {0}")]
    Call(String),
    #[error("{0}")]
    Malformed(#[from] crate::edges::gateway::Error),
    #[error("the store returned from a copy, timeline {timeline} after {known}")]
    Restored { timeline: u64, known: u64 },
    #[error("late answer of timeline {timeline}, known is {known}")]
    Outdated { timeline: u64, known: u64 },
    #[error("the newest records take more than {0} bytes")]
    TooLarge(usize),
    #[error("the store does not answer the host that reads it")]
    Reader,
    #[error("the store does not answer the hosts that write to it")]
    Writers,
}

/// Starts the tasks that follow the store.
pub(super) fn spawn(gateway: &Rc<Gateway>) {
    gateway.store.incarnation.set(draw_incarnation());
    for topic in TOPICS {
        tokio::task::spawn_local(follow(gateway.clone(), topic));
    }
    tokio::task::spawn_local(follow(gateway.clone(), Topic::Status));
    tokio::task::spawn_local(heartbeats::run(gateway.clone()));
}

/// Calls the store, and has other hosts relay the call if it fails: the store may refuse only this
/// host.
///
/// Returns `None` if another host wrote a heartbeat, whose answer isn't passed on.
async fn call(gateway: &Gateway, relay: Relay, limit_ms: u64) -> Result<Option<Answer>, Error> {
    let error = match call_directly(gateway, &relay, limit_ms).await {
        Ok(answer) => return Ok(Some(answer)),
        Err(error) => error,
    };
    if matches!(error, Error::Status(GONE)) {
        return Err(error);
    }
    for address in relay_hosts(gateway) {
        match peers::relay(gateway, address, &relay, limit_ms).await {
            Ok(Relayed::Answer(answer)) => return Ok(Some(answer)),
            Ok(Relayed::Written) => return Ok(None),
            Ok(Relayed::Gone) => return Err(Error::Status(GONE)),
            // The error of the direct call is returned, not those of the relays.
            Ok(Relayed::Failed | Relayed::Conflict) | Err(_) => {}
        }
    }
    Err(error)
}

/// Reads from the store, through other hosts if it fails.
async fn read(gateway: &Gateway, relay: Relay, limit_ms: u64) -> Result<Answer, Error> {
    let answer = call(gateway, relay, limit_ms).await?;
    answer.ok_or(Error::Reader)
}

/// Returns hosts that may reach the store, in round-robin order.
fn relay_hosts(gateway: &Gateway) -> Vec<SocketAddr> {
    let hosts = gateway.hosts.borrow();
    let now = gateway.now();
    let others = hosts
        .reachable(now)
        .filter(|host| host.heartbeat.host != gateway.identity.host);
    let mut others: Vec<SocketAddr> = others.map(|host| host.heartbeat.peer_address).collect();
    if !others.is_empty() {
        let turn = gateway.store.relay_turn.get();
        gateway.store.relay_turn.set(turn.wrapping_add(1));
        let offset = turn % others.len();
        others.rotate_left(offset);
    }
    others.truncate(MAX_RELAYS);
    others
}

/// Calls the store for another host.
pub(super) async fn relay(gateway: &Rc<Gateway>, relay: Relay) -> Relayed {
    let limit_ms = match &relay {
        Relay::Newest { .. } | Relay::Status { .. } => CALL_TIMEOUT_MS,
        Relay::Tail { wait_ms, .. } => (*wait_ms).min(LONG_POLL_MS) + CALL_TIMEOUT_MS,
        Relay::Heartbeat(heartbeat) => {
            let is_written = heartbeats::gather(gateway, (**heartbeat).clone()).await;
            return if is_written {
                Relayed::Written
            } else {
                Relayed::Failed
            };
        }
    };
    match call_directly(gateway, &relay, limit_ms).await {
        Ok(answer) => Relayed::Answer(answer),
        Err(Error::Status(GONE)) => Relayed::Gone,
        Err(Error::Status(CONFLICT)) => Relayed::Conflict,
        Err(_) => Relayed::Failed,
    }
}

async fn call_directly(gateway: &Gateway, relay: &Relay, limit_ms: u64) -> Result<Answer, Error> {
    let adapter = &gateway.adapter;
    let call = match relay {
        Relay::Newest { topic, after } => adapter.newest(*topic, after.as_deref()),
        Relay::Tail {
            topic,
            from,
            wait_ms,
        } => adapter.tail(*topic, *from, (*wait_ms).min(LONG_POLL_MS)),
        Relay::Heartbeat(heartbeat) => {
            adapter.append(Topic::Hosts, &[heartbeats::record(heartbeat)?])
        }
        Relay::Status { record, at } => {
            adapter.append_at(Topic::Status, std::slice::from_ref(record), *at)
        }
    };
    exchange_within(gateway, call, limit_ms).await
}

async fn exchange_within(gateway: &Gateway, call: Call, limit_ms: u64) -> Result<Answer, Error> {
    let address = gateway.options.borrow().store;
    let limit = Duration::from_millis(limit_ms);
    let exchange = exchange(gateway, address, call);
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or(Err(Error::Silent(limit_ms)))
}

async fn exchange(gateway: &Gateway, address: SocketAddr, call: Call) -> Result<Answer, Error> {
    let request = upstream::request(address, call);
    let request = request.map_err(|error| Error::Call(error.to_string()))?;
    let response = gateway
        .pool
        .exchange(&POOL_KEY.into(), address, request, MAX_ANSWER_BYTES)
        .await?;
    match response.status().as_u16() {
        200 => Ok(Answer {
            timeline: timeline(gateway, response.headers()),
            body: response.into_body(),
        }),
        status => Err(Error::Status(status)),
    }
}

/// Returns the timeline that an answer names. A store that never returns from a copy names none.
fn timeline(gateway: &Gateway, headers: &HeaderMap) -> u64 {
    let value = headers.get(&gateway.adapter.headers().store_timeline);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Checks that an answer continues what was read before on a timeline.
fn check_timeline(gateway: &Gateway, known: u64, timeline: u64) -> Result<(), Error> {
    let newest = &gateway.store.timeline;
    newest.set(newest.get().max(timeline));
    match position::continuity(known, timeline) {
        Continuity::Same => Ok(()),
        Continuity::Restored => Err(Error::Restored { timeline, known }),
        Continuity::Outdated => Err(Error::Outdated { timeline, known }),
    }
}

async fn follow(gateway: Rc<Gateway>, topic: Topic) {
    let mut from: Option<Position> = None;
    let mut failures: u64 = 0;
    let mut reads: u32 = 0;
    loop {
        if topic == Topic::Status && !rollouts::is_any_open(&gateway) {
            from = None;
            gateway.store.failing_topics.borrow_mut().remove(&topic);
            gateway.rollouts.opened.notified().await;
        }
        // An answer for another topic shows as well that the store returned from a copy.
        from = from.filter(|from| from.timeline == gateway.store.timeline());
        let step = match from {
            None => load(&gateway, topic).await,
            Some(from) => tail(&gateway, topic, from).await,
        };
        record_result(&gateway, topic, step.as_ref().err());
        match step {
            Ok(next) => {
                failures = 0;
                from = Some(next);
                if topic == Topic::Hosts {
                    catch_up::check(&gateway);
                }
                reads += 1;
                let pause_ms = pause_ms(topic, reads, shared::is_reader(&gateway, topic));
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(Error::Restored { .. }) => from = None,
            Err(error) => {
                if matches!(error, Error::Status(GONE) | Error::Malformed(_)) {
                    from = None;
                }
                let pause_ms = (MIN_BACKOFF_MS << failures.min(4)).min(MAX_BACKOFF_MS);
                failures += 1;
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// Returns the pause between two reads of a topic, in milliseconds.
fn pause_ms(topic: Topic, reads: u32, is_reader: bool) -> u64 {
    match topic {
        Topic::Operator | Topic::Status => 0,
        Topic::Hosts if reads <= STARTUP_READS => STARTUP_READ_INTERVAL_MS,
        Topic::Servers => READ_INTERVAL_MS,
        // Hosts that read from this one add a pause of their own.
        Topic::Hosts if is_reader => READ_INTERVAL_MS,
        Topic::Hosts => HEARTBEAT_INTERVAL_MS,
    }
}

/// Records the outcome of a read, and logs when a topic starts or stops failing.
fn record_result(gateway: &Gateway, topic: Topic, error: Option<&Error>) {
    let now = gateway.now();
    let state = &gateway.store;
    let labels = [
        KeyValue::new("topic", format!("{topic:?}")),
        KeyValue::new("ok", error.is_none()),
    ];
    gateway.metrics.store_calls.add(1, &labels);
    match error {
        // Not a failure: the store may drop old records, and return from a copy.
        Some(Error::Status(GONE) | Error::Restored { .. }) => {}
        Some(error) => {
            state.failed_at.set(Some(now));
            if topic == Topic::Hosts {
                gateway.hosts.borrow_mut().store_failed(now);
            }
            if state.failing_topics.borrow_mut().insert(topic) {
                gateway.log.write(&Event::Dependency {
                    name: topic_name(topic),
                    up: false,
                    why: &error.to_string(),
                });
            }
        }
        None => {
            if topic == Topic::Operator {
                state.read_at.set(Some(now));
            }
            if state.failing_topics.borrow_mut().remove(&topic) {
                if topic == Topic::Hosts {
                    gateway.hosts.borrow_mut().store_recovered(now);
                }
                gateway.log.write(&Event::Dependency {
                    name: topic_name(topic),
                    up: true,
                    why: "answered",
                });
            }
            if topic == Topic::Hosts {
                gateway.hosts.borrow_mut().read(now);
            }
        }
    }
}

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "store: operators",
        Topic::Servers => "store: servers",
        Topic::Hosts => "store: hosts",
        Topic::Status => "store: rollouts",
    }
}

/// Returns the number of bytes that a record takes.
fn record_bytes(record: &Record) -> usize {
    let value = record.value.as_ref().map_or(0, Bytes::len);
    size_of::<Record>() + record.key.len() + value
}

/// Reads the newest value of each key of a topic, and the position after them.
async fn newest(gateway: &Gateway, topic: Topic) -> Result<(Vec<Record>, Position), Error> {
    let mut records = Vec::new();
    let mut bytes = 0;
    let mut after: Option<Name> = None;
    let mut from: Option<Position> = None;
    loop {
        let after_key = after.clone();
        let request = Relay::Newest {
            topic,
            after: after_key,
        };
        let answer = read(gateway, request, CALL_TIMEOUT_MS).await?;
        let page = gateway.adapter.newest_page(&answer.body)?;
        // The first page may be of a newer timeline than what is known.
        let known = from.map_or(gateway.store.timeline().max(answer.timeline), |from| {
            from.timeline
        });
        check_timeline(gateway, known, answer.timeline)?;
        // Records that are added while the pages are read are read again from the end that the
        // first page states.
        let start = Position {
            timeline: answer.timeline,
            offset: page.end,
        };
        from = from.or(Some(start));
        after = page.records.last().map(|record| record.key.clone());
        bytes += page.records.iter().map(record_bytes).sum::<usize>();
        if bytes > MAX_TOPIC_BYTES {
            return Err(Error::TooLarge(MAX_TOPIC_BYTES));
        }
        records.extend(page.records);
        if !page.has_more || after.is_none() {
            break;
        }
    }
    Ok((records, from.unwrap_or_default()))
}

async fn load(gateway: &Gateway, topic: Topic) -> Result<Position, Error> {
    let (records, from) = newest(gateway, topic).await?;
    let keys: BTreeSet<Name> = records.iter().map(|record| record.key.clone()).collect();
    let now = gateway.now();
    let (before, origin) = gateway.store.read_from_start(now, topic, from.timeline);
    apply(gateway, topic, records, origin);
    remove_missing(gateway, topic, &keys, origin);
    match topic {
        Topic::Operator => {}
        Topic::Servers => gateway.store.has_servers.set(true),
        Topic::Hosts => heartbeats::ensure_key(gateway),
        Topic::Status => {}
    }
    if topic != Topic::Status {
        gateway.store.loaded_topics.borrow_mut().insert(topic);
    }
    gateway.log.write(&Event::Position {
        topic: topic_name(topic),
        position: from,
        before,
    });
    Ok(from)
}

async fn tail(gateway: &Gateway, topic: Topic, from: Position) -> Result<Position, Error> {
    let request = Relay::Tail {
        topic,
        from: from.offset,
        wait_ms: LONG_POLL_MS,
    };
    let limit_ms = LONG_POLL_MS + CALL_TIMEOUT_MS;
    let answer = match shared::fetch(gateway, topic, from).await {
        Shared::Records(tail) => {
            let records = tail.records.into_iter().map(|(_, record)| record);
            apply(gateway, topic, records.collect(), Origin::Log);
            return Ok(Position {
                offset: tail.next,
                ..from
            });
        }
        Shared::Missing => read(gateway, request, limit_ms).await?,
        // The reader tried other hosts as well, so this one tries only itself, and seldom.
        Shared::Unavailable if gateway.store.try_read(gateway.now(), topic) => {
            call_directly(gateway, &request, limit_ms).await?
        }
        Shared::Unavailable => return Err(Error::Reader),
    };
    check_timeline(gateway, from.timeline, answer.timeline)?;
    let tail = gateway.adapter.tail_records(from.offset, &answer.body)?;
    shared::record_read(gateway, topic, from, &tail);
    let records = tail.records.into_iter().map(|(_, record)| record);
    apply(gateway, topic, records.collect(), Origin::Log);
    Ok(Position {
        offset: tail.next,
        ..from
    })
}
