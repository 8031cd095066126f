//! Fake backend servers: slots, a queue, streams, and every way in which a reply goes wrong.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use teaselchute::{
    core::{
        call::{
            self,
            Body,
            Call,
            Completion, //
        },
        outcome::Event as Told,
    },
    names::Name,
};

use super::{
    Event,
    Run, //
};
use crate::driver::Process;

/// Time after which a host notices that a connection was reset, in milliseconds.
const RESET_MS: u64 = 20;

/// A call of one life of a host.
pub type Key = (Process, u64, call::Id);

/// A fake backend server.
pub struct Server {
    /// Its pool.
    pub pool: &'static str,
    /// Its name.
    pub name: Name,
    /// Its life.
    pub life: u64,
    service_ms: u64,
    pieces: u64,
    slots: usize,
    busy_ms: u64,
    running: BTreeMap<Key, Call>,
    waiting: VecDeque<(Key, Call)>,
}

impl Server {
    /// Makes an idle server.
    pub fn new(pool: &'static str, name: Name, service_ms: u64, pieces: u64, slots: usize) -> Self {
        Self {
            pool,
            name,
            life: 0,
            service_ms,
            pieces,
            slots,
            busy_ms: 0,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}

impl Run {
    /// Sends a call to the least loaded server that isn't to be avoided.
    pub(super) fn send_call(&mut self, host: Process, call: Call) {
        let servers = self.servers.iter().enumerate();
        let chosen = servers
            .filter(|(_, server)| server.pool == call.pool.as_str())
            .min_by_key(|(index, server)| {
                let avoided = call.failed_servers.contains(&server.name);
                let spread = (index + call.id.0 as usize) % 6;
                (avoided, server.load(), spread)
            });
        let Some((index, _)) = chosen else {
            return;
        };
        let process = self.first_server + index;
        self.hosts[host].calls.insert(call.id, process);
        let life = self.driver.life(host);
        if self.driver.is_cut(host, process) {
            return self.back(
                process,
                (host, life, call.id),
                Completion::NotSent,
                RESET_MS,
            );
        }
        let delay_ms = self.driver.delay_ms(host, process);
        if self.driver.chance(self.plan.faults.silent_permille) {
            // The call may reach the server, but nothing comes back on this connection.
            self.driver.count("silent_connection");
            self.hosts[host].calls.remove(&call.id);
            if self.driver.chance(500) {
                return;
            }
        }
        let key = (host, life, call.id);
        self.driver
            .put(delay_ms, process, Event::Call(key, Box::new(call)));
    }

    pub(super) fn call_arrives(&mut self, process: Process, key: Key, call: Call) {
        let fails = self.plan.faults.server_permille;
        if !self.quiet && self.driver.chance(fails) {
            self.driver.count("server_refused");
            let delay_ms = self.driver.delay_ms(process, key.0);
            return self.back(process, key, Completion::Refused, delay_ms);
        }
        let server = &mut self.servers[process - self.first_server];
        server.waiting.push_back((key, call));
        self.run_waiting(process);
    }

    fn run_waiting(&mut self, process: Process) {
        loop {
            let server = &mut self.servers[process - self.first_server];
            if server.running.len() >= server.slots {
                return;
            }
            let Some((key, call)) = server.waiting.pop_front() else {
                return;
            };
            let (life, service_ms) = (server.life, server.service_ms);
            if !call.idempotent {
                *self.executed.entry(call.request.clone()).or_default() += 1;
            }
            server.running.insert(key, call);
            let jitter_ms = self.driver.draw(service_ms / 2 + 1);
            let slow = !self.quiet && self.driver.chance(self.plan.faults.server_permille);
            let factor = if slow { 20 } else { 1 };
            let took_ms = (service_ms + jitter_ms) * factor;
            self.servers[process - self.first_server].busy_ms += took_ms;
            self.driver.put(took_ms, process, Event::Done(life, key));
        }
    }

    pub(super) fn call_cancelled(&mut self, process: Process, key: Key) {
        let server = &mut self.servers[process - self.first_server];
        server.running.remove(&key);
        server.waiting.retain(|(waiting, _)| *waiting != key);
        self.run_waiting(process);
    }

    pub(super) fn call_done(&mut self, process: Process, life: u64, key: Key) {
        let server = &mut self.servers[process - self.first_server];
        if server.life != life {
            return;
        }
        let Some(call) = server.running.remove(&key) else {
            return;
        };
        let pieces = server.pieces;
        self.run_waiting(process);
        if !self.is_connected(process, key) {
            return;
        }
        if !self.quiet && self.driver.chance(self.plan.faults.server_permille) {
            let (fault, end) = if self.driver.chance(500) {
                ("server_failed", Completion::Failed)
            } else {
                ("reply_lost", Completion::Lost)
            };
            self.driver.count(fault);
            return self.back(process, key, end, RESET_MS);
        }
        let delay_ms = self.driver.delay_ms(process, key.0);
        if pieces == 0 {
            let body = result(&call);
            return self.back(process, key, Completion::Answered(body), delay_ms);
        }
        self.stream(process, key, &call, pieces, delay_ms);
    }

    /// Returns whether the host still has the connection of a call. It ends with the host's life.
    fn is_connected(&self, process: Process, (host, life, id): Key) -> bool {
        self.driver.life(host) == life && self.hosts[host].calls.get(&id) == Some(&process)
    }

    /// Streams an answer, perhaps with a piece that comes twice, is missing, or is the last one.
    fn stream(&mut self, process: Process, key: Key, call: &Call, pieces: u64, delay_ms: u64) {
        let host = key.0;
        let whole = result(call);
        for index in call.resume_from..pieces {
            let piece = piece(&whole, index, pieces);
            let fault = if self.quiet {
                1_000
            } else {
                self.driver.draw(1_000)
            };
            let at_ms = delay_ms + 10 * (index - call.resume_from);
            let told = Told::Piece {
                call: call.id,
                index,
                piece,
            };
            let told = Event::Told(Box::new(told));
            match fault {
                // An end without the last piece is no end: the connection broke.
                0..3 if index + 1 < pieces => self.driver.count("piece_missing"),
                3..6 => {
                    self.driver.count("piece_doubled");
                    self.driver.put(at_ms, host, told.clone());
                    self.driver.put(at_ms, host, told);
                }
                0..3 | 6..12 => {
                    self.driver.count("stream_torn");
                    return self.back(process, key, Completion::Lost, at_ms);
                }
                _ => self.driver.put(at_ms, host, told),
            }
        }
        let last_ms = delay_ms + 10 * pieces;
        let empty = Completion::Answered(Vec::new().into());
        self.back(process, key, empty, last_ms);
    }

    /// Tells a host how a call ended, perhaps twice or late.
    fn back(&mut self, process: Process, key: Key, end: Completion, delay_ms: u64) {
        let (host, _, call) = key;
        let server = self.servers[process - self.first_server].name.clone();
        let told = Event::Told(Box::new(Told::Ended { call, server, end }));
        if !self.quiet && self.driver.chance(self.plan.faults.server_permille) {
            self.driver.count("reply_doubled");
            self.driver.put(delay_ms + 300, host, told.clone());
        }
        self.driver.put(delay_ms, host, told);
    }

    /// Restarts a server: its calls are lost.
    pub(super) fn restart_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.life += 1;
        let running = server.running.keys().copied();
        let waiting = server.waiting.iter().map(|(key, _)| *key);
        let lost: Vec<Key> = running.chain(waiting).collect();
        server.running.clear();
        server.waiting.clear();
        for key in lost {
            let process = self.first_server + index;
            if self.is_connected(process, key) {
                self.back(process, key, Completion::Lost, RESET_MS);
            }
        }
    }

    /// Returns the load of a pool while callers came, in parts of a thousand of what it carries.
    pub fn load_permille(&self, pool: &str) -> u64 {
        let servers = self.servers.iter().filter(|server| server.pool == pool);
        let (busy_ms, slots) = servers.fold((0, 0), |(busy_ms, slots), server| {
            (busy_ms + server.busy_ms, slots + server.slots as u64)
        });
        1_000 * busy_ms / (slots * self.plan.load_ms).max(1)
    }

    /// Returns the count of servers.
    pub(super) fn servers(&self) -> usize {
        self.servers.len()
    }
}

/// Returns the only right result of a call.
fn result(call: &Call) -> Body {
    let before = call.previous.as_ref().unwrap_or(&call.body);
    let mut result = before.to_vec();
    result.push(b'|');
    result.extend_from_slice(call.pool.as_bytes());
    result.into()
}

fn piece(whole: &Body, index: u64, pieces: u64) -> Body {
    let at = |index: u64| whole.len() * index as usize / pieces as usize;
    whole[at(index)..at(index + 1)].into()
}
