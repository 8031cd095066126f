//! Follows the platform's store, and tells it that this host lives.

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
use opentelemetry::KeyValue;

use crate::shell::gateway::{
    Gateway,
    log::Event,
    peers::{
        self,
        Relay,
        Relayed, //
    },
    upstream, //
};
use crate::{
    core::gateway::{
        hosts::{
            HEARTBEAT_INTERVAL_MS,
            Heartbeat, //
        },
        mac::Key,
        recent::Buffer,
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
mod near;

pub(super) use apply::apply_snapshot;
use apply::{
    apply,
    forget_missing, //
};
pub(super) use near::tell as recent;

/// Longest wait of a read for the operators' next record, in milliseconds. Short, so that a
/// connection that fell silent for good is noticed well within the time that a change may take.
const WAIT_MS: u64 = 1_800;

/// Time for which a call without a wait may take, in milliseconds. A slow store takes 60 times its
/// 4 ms, and a call goes over more than one way.
const CALL_MS: u64 = 900;

/// Pause between reads of topics that change all the time, in milliseconds. Each read is paid for.
const PAUSE_MS: u64 = 800;

/// Pause before it is looked again whether this host has a key, in milliseconds: two answers of the
/// store.
const KEY_PAUSE_MS: u64 = 10;

/// Pause after a failure, in milliseconds.
const RETRY_MS: u64 = 150;

/// Longest pause after failures in a row, in milliseconds.
const MAX_RETRY_MS: u64 = 600;

/// Largest answer of the store, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Hosts that are asked to call the store where it gives no answer here.
const MAX_RELAYS: usize = 2;

/// Reads after the start that follow each other fast, while hosts find each other.
const FIRST_READS: u32 = 8;

/// Pause between those reads, in milliseconds.
const FIRST_PAUSE_MS: u64 = 150;

/// Name of the store's connections in the pool.
const PEER: &str = "store";

/// Status of a read from an offset that isn't kept any more.
const GONE: u16 = 410;

const TOPICS: [Topic; 3] = [Topic::Operator, Topic::Servers, Topic::Hosts];

/// What is known of the store itself.
#[derive(Default)]
pub(super) struct State {
    failed: Cell<Option<Instant>>,
    // Topics whose last call failed.
    down: RefCell<BTreeSet<Topic>>,
    /// Whether the servers were read once.
    pub(super) has_servers: Cell<bool>,
    /// The newest configuration, as the store holds it.
    pub(super) config: RefCell<Option<Record>>,
    // When what operators want was last read.
    read: Cell<Option<Instant>>,
    // What was read a moment ago, for hosts near by.
    recent: RefCell<BTreeMap<Topic, Buffer>>,
    // Topics that were read once.
    loaded: RefCell<BTreeSet<Topic>>,
    incarnation: Cell<u64>,
    sequence: Cell<u64>,
    turn: Cell<usize>,
    bad: RefCell<BTreeSet<Name>>,
}

impl State {
    /// Returns whether all topics were read.
    pub(super) fn has_read_all(&self) -> bool {
        self.loaded.borrow().len() == TOPICS.len()
    }

    fn has_read(&self, topic: Topic) -> bool {
        self.loaded.borrow().contains(&topic)
    }

    /// Returns whether the store gave no answer to a last call.
    pub(super) fn is_failing(&self) -> bool {
        !self.down.borrow().is_empty()
    }

    /// Returns the time since it was last read what operators want, in milliseconds.
    pub(super) fn staleness_ms(&self, now: Instant) -> u64 {
        self.read.get().map_or(u64::MAX, |read| now.since_ms(read))
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
}

/// Starts the tasks that follow the store.
pub(super) fn spawn(gateway: &Rc<Gateway>) {
    gateway.store.incarnation.set(draw_incarnation());
    for topic in TOPICS {
        tokio::task::spawn_local(follow(gateway.clone(), topic));
    }
    tokio::task::spawn_local(beat(gateway.clone()));
}

/// Calls the store, and has another host call it where it gives no answer here: it may refuse this
/// host alone.
async fn call(gateway: &Gateway, relay: Relay, limit_ms: u64) -> Result<Bytes, Error> {
    let error = match call_directly(gateway, &relay, limit_ms).await {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    if matches!(error, Error::Status(GONE)) {
        return Err(error);
    }
    for address in relays(gateway) {
        match peers::relay(gateway, address, &relay, limit_ms).await {
            Ok(Relayed::Answer(body)) => return Ok(body),
            Ok(Relayed::Gone) => return Err(Error::Status(GONE)),
            // The first failure is told: it is this host's own.
            Ok(Relayed::Failed) | Err(_) => {}
        }
    }
    Err(error)
}

/// Returns hosts that may reach the store, others at each turn.
fn relays(gateway: &Gateway) -> Vec<SocketAddr> {
    let hosts = gateway.hosts.borrow();
    let now = gateway.now();
    let others = hosts
        .reachable(now)
        .filter(|host| host.heartbeat.host != gateway.identity.host);
    let mut others: Vec<SocketAddr> = others.map(|host| host.heartbeat.peer_address).collect();
    if !others.is_empty() {
        let turn = gateway.store.turn.get();
        gateway.store.turn.set(turn.wrapping_add(1));
        let middle = turn % others.len();
        others.rotate_left(middle);
    }
    others.truncate(MAX_RELAYS);
    others
}

/// Calls the store for another host.
pub(super) async fn relay(gateway: &Gateway, relay: Relay) -> Relayed {
    let limit_ms = match &relay {
        Relay::Newest { .. } | Relay::Heartbeat(_) => CALL_MS,
        Relay::Tail { wait_ms, .. } => (*wait_ms).min(WAIT_MS) + CALL_MS,
    };
    match call_directly(gateway, &relay, limit_ms).await {
        Ok(body) => Relayed::Answer(body),
        Err(Error::Status(GONE)) => Relayed::Gone,
        Err(_) => Relayed::Failed,
    }
}

async fn call_directly(gateway: &Gateway, relay: &Relay, limit_ms: u64) -> Result<Bytes, Error> {
    let adapter = &gateway.adapter;
    let call = match relay {
        Relay::Newest { topic, after } => adapter.newest(*topic, after.as_deref()),
        Relay::Tail {
            topic,
            from,
            wait_ms,
        } => adapter.tail(*topic, *from, (*wait_ms).min(WAIT_MS)),
        Relay::Heartbeat(beat) => {
            let value = postcard::to_allocvec(beat);
            let value = value.map_err(|error| Error::Call(error.to_string()))?;
            adapter.put(Topic::Hosts, &beat.host, &value)
        }
    };

    let address = gateway.options.borrow().store;
    let limit = Duration::from_millis(limit_ms);
    let exchange = exchange(gateway, address, call);
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or(Err(Error::Silent(limit_ms)))
}

async fn exchange(gateway: &Gateway, address: SocketAddr, call: Call) -> Result<Bytes, Error> {
    let request = upstream::request(address, call);
    let request = request.map_err(|error| Error::Call(error.to_string()))?;
    let response = gateway
        .pool
        .exchange(&PEER.into(), address, request, MAX_ANSWER_BYTES)
        .await?;
    match response.status().as_u16() {
        200 => Ok(response.into_body()),
        status => Err(Error::Status(status)),
    }
}

async fn follow(gateway: Rc<Gateway>, topic: Topic) {
    let mut from: Option<u64> = None;
    let mut failures: u64 = 0;
    let mut reads: u32 = 0;
    loop {
        let step = match from {
            None => load(&gateway, topic).await,
            Some(from) => tail(&gateway, topic, from).await,
        };
        note(&gateway, topic, step.as_ref().err());
        match step {
            Ok(next) => {
                failures = 0;
                from = Some(next);
                reads += 1;
                let pause_ms = pause_ms(topic, reads, near::is_reader(&gateway, topic));
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(error) => {
                if matches!(error, Error::Status(GONE) | Error::Malformed(_)) {
                    from = None;
                }
                let pause_ms = (RETRY_MS << failures.min(4)).min(MAX_RETRY_MS);
                failures += 1;
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// Returns the pause between two reads of a topic.
fn pause_ms(topic: Topic, reads: u32, is_reader: bool) -> u64 {
    match topic {
        Topic::Operator => 0,
        Topic::Hosts if reads <= FIRST_READS => FIRST_PAUSE_MS,
        Topic::Servers => PAUSE_MS,
        // Others add a pause of their own.
        Topic::Hosts if is_reader => PAUSE_MS,
        Topic::Hosts => HEARTBEAT_INTERVAL_MS,
    }
}

/// Notes how a call went, and logs when the store is lost or back.
fn note(gateway: &Gateway, topic: Topic, error: Option<&Error>) {
    let now = gateway.now();
    let state = &gateway.store;
    let labels = [
        KeyValue::new("topic", format!("{topic:?}")),
        KeyValue::new("ok", error.is_none()),
    ];
    gateway.metrics.store_calls.add(1, &labels);
    match error {
        // The history was dropped, which the store is free to do.
        Some(Error::Status(GONE)) => {}
        Some(error) => {
            state.failed.set(Some(now));
            if topic == Topic::Hosts {
                gateway.hosts.borrow_mut().store_failed(now);
            }
            if state.down.borrow_mut().insert(topic) {
                gateway.log.write(&Event::Dependency {
                    name: topic_name(topic),
                    up: false,
                    why: &error.to_string(),
                });
            }
        }
        None => {
            if topic == Topic::Operator {
                state.read.set(Some(now));
            }
            if state.down.borrow_mut().remove(&topic) {
                if topic == Topic::Hosts {
                    gateway.hosts.borrow_mut().store_recovered(now);
                }
                gateway.log.write(&Event::Dependency {
                    name: topic_name(topic),
                    up: true,
                    why: "answered",
                });
            }
        }
    }
}

fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Operator => "store: operators",
        Topic::Servers => "store: servers",
        Topic::Hosts => "store: hosts",
    }
}

async fn load(gateway: &Gateway, topic: Topic) -> Result<u64, Error> {
    let mut records = Vec::new();
    let mut after: Option<Name> = None;
    let mut from = None;
    loop {
        let after_key = after.clone();
        let ask = Relay::Newest {
            topic,
            after: after_key,
        };
        let body = call(gateway, ask, CALL_MS).await?;
        let page = gateway.adapter.newest_page(&body)?;
        // What is added while the pages are read is read again from the first page's end.
        from = from.or(Some(page.end));
        after = page.records.last().map(|record| record.key.clone());
        records.extend(page.records);
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let keys: BTreeSet<Name> = records.iter().map(|record| record.key.clone()).collect();
    apply(gateway, topic, records, true);
    forget_missing(gateway, topic, &keys);
    match topic {
        Topic::Operator => {}
        Topic::Servers => gateway.store.has_servers.set(true),
        Topic::Hosts => settle_key(gateway),
    }
    gateway.store.loaded.borrow_mut().insert(topic);
    Ok(from.unwrap_or(0))
}

async fn tail(gateway: &Gateway, topic: Topic, from: u64) -> Result<u64, Error> {
    let ask = Relay::Tail {
        topic,
        from,
        wait_ms: WAIT_MS,
    };
    let tail = match near::ask(gateway, topic, from).await {
        Some(tail) => tail,
        None => {
            let body = call(gateway, ask, WAIT_MS + CALL_MS).await?;
            let tail = gateway.adapter.tail_records(from, &body)?;
            near::note(gateway, topic, from, &tail);
            tail
        }
    };
    let records = tail.records.into_iter().map(|(_, record)| record);
    apply(gateway, topic, records.collect(), false);
    Ok(tail.next)
}

/// Draws a key for this host, unless its last life left one in the store. Others know that one.
fn settle_key(gateway: &Gateway) {
    if gateway.key.get().is_some() {
        return;
    }
    let mut bytes = [0; 32];
    match getrandom::fill(&mut bytes) {
        // It was found to be unset above.
        Ok(()) => drop(gateway.key.set(Key::new(bytes))),
        Err(error) => gateway.log.write(&Event::Dependency {
            name: "random numbers",
            up: false,
            why: &error.to_string(),
        }),
    }
}

fn heartbeat(gateway: &Gateway) -> Heartbeat {
    let state = &gateway.store;
    let sequence = state.sequence.get() + 1;
    state.sequence.set(sequence);
    let listen = gateway.options.borrow().listen;
    Heartbeat {
        host: gateway.identity.host.clone(),
        caller_address: listen.callers,
        peer_address: listen.peers,
        datagram_address: listen.gossip,
        data_centre: gateway.identity.data_centre.clone(),
        region: gateway.identity.region.clone(),
        incarnation: state.incarnation.get(),
        sequence,
        serving: gateway.leaving_since.get().is_none(),
        key: gateway.key.get().cloned(),
    }
}

async fn say(gateway: &Gateway, beat: &Heartbeat) -> Result<(), Error> {
    let result = call(gateway, Relay::Heartbeat(beat.clone()), CALL_MS).await;
    result.map(|_| ())
}

async fn beat(gateway: Rc<Gateway>) {
    loop {
        let beat = heartbeat(&gateway);
        // A host knows itself, whatever the store says.
        let now = gateway.now();
        gateway.hosts.borrow_mut().record(now, beat.clone(), false);
        // Others can't use a heartbeat without a key, and one in the store may have it.
        let is_told = beat.key.is_some();
        if is_told && let Err(error) = say(&gateway, &beat).await {
            // The next heartbeat is the retry.
            gateway.log.write(&Event::Dependency {
                name: "heartbeat",
                up: false,
                why: &error.to_string(),
            });
        }
        let pause_ms = if is_told {
            HEARTBEAT_INTERVAL_MS
        } else {
            KEY_PAUSE_MS
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Tells other hosts that this one takes no more callers.
pub(super) async fn say_leaving(gateway: &Gateway) {
    let beat = heartbeat(gateway);
    gateway
        .hosts
        .borrow_mut()
        .record(gateway.now(), beat.clone(), false);
    // Where the store is away, others notice by the silence that follows.
    let _ = say(gateway, &beat).await;
}
