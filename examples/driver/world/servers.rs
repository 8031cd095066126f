//! How hosts and the fake backend servers meet: calls, pieces, ends, loads, orders.

use std::sync::Arc;

use teaselchute::{
    core::{
        call::{
            self,
            Body,
            Call,
            Completion,
            Incarnation,
            Load, //
        },
        node,
        orders::{
            self,
            Order, //
        },
        routing, //
    },
    names::Name,
    time::Instant,
};

use super::{
    Event,
    World,
    document,
    faults, //
};
use crate::driver::{
    Process,
    server::Running, //
};

/// Time after which a host finds that no connection can be opened, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

impl World {
    pub(super) fn send_call(&mut self, host: Process, call: Call, server: &Name) {
        let Some(target) = self.server_process(&call.pool, server) else {
            return;
        };
        let number = self.server_number(target);
        self.check_send(host, number, &call);
        let sent_to = self.servers[number].incarnation;
        let knew = self.checks.knows(host, number, sent_to);
        let running = Running {
            host,
            call,
            sent_to,
            knew,
            last_delivery: Instant::ZERO,
            silent: false,
        };
        if self.driver.is_cut(host, target) {
            // The host finds no connection, which it knows by itself.
            let at = self.driver.now().after_ms(CONNECT_TIMEOUT_MS);
            return self.put_end(at, target, &running, Completion::NotSent, None);
        }
        let delay_ms = self.driver.delay_ms(host, target);
        self.driver
            .put(delay_ms, target, Event::Call(Box::new(running)));
    }

    pub(super) fn call_arrives(&mut self, process: Process, mut running: Running) {
        let now = self.driver.now();
        let number = self.server_number(process);
        // What was sent before the server turned cold was sent without evidence of that.
        running.knew &= running.sent_to == self.servers[number].incarnation;
        let key = (running.host, running.call.id);
        self.check_arrival(number, &running);
        let order = running.call.pipeline.as_str() == document::ORDER;
        if order {
            self.checks.executed(&running.call.request);
        }
        let server = &mut self.servers[number];
        let (incarnation, pieces) = (server.incarnation, server.shape.pieces);
        let from = running.call.resume_from;
        server.running.insert(key, running);
        let service_ms = server.service_ms(now);
        let spread_ms = self.driver.draw(service_ms / 2 + 1);
        let total_ms = service_ms * 3 / 4 + spread_ms;
        for index in from..pieces {
            let at_ms = total_ms * (index + 1 - from) / (pieces - from + 1);
            let event = Event::Piece(key.0, key.1, incarnation, index);
            self.driver.put(at_ms, process, event);
        }
        self.driver
            .put(total_ms, process, Event::Done(key.0, key.1, incarnation));
    }

    pub(super) fn piece_due(
        &mut self,
        process: Process,
        host: Process,
        call: call::Id,
        incarnation: Incarnation,
        index: u64,
    ) {
        let number = self.server_number(process);
        let server = &self.servers[number];
        let Some(running) = server.running.get(&(host, call)) else {
            return;
        };
        if server.incarnation != incarnation {
            return;
        }
        let pieces = server.shape.pieces;
        let event = node::Event::Piece {
            call,
            pool: running.call.pool.clone(),
            incarnation: Some(incarnation),
            index,
            piece: piece(&answer(&running.call), index, pieces),
        };
        self.deliver_in_order(process, host, call, event, incarnation);
    }

    pub(super) fn call_done(
        &mut self,
        process: Process,
        host: Process,
        call: call::Id,
        incarnation: Incarnation,
    ) {
        let number = self.server_number(process);
        let fails = self.driver.chance(self.servers[number].fail_permille);
        let server = &mut self.servers[number];
        if server.incarnation != incarnation {
            return;
        }
        let Some(running) = server.running.remove(&(host, call)) else {
            return;
        };
        let body = if server.shape.pieces > 0 {
            Body::from([])
        } else {
            answer(&running.call)
        };
        let end = if fails {
            self.driver.count("server_failure");
            Completion::Failed
        } else {
            Completion::Answered(body)
        };
        self.end_later(process, &running, end, Some(incarnation));
    }

    pub(super) fn call_aborted(&mut self, process: Process, host: Process, call: call::Id) {
        let number = self.server_number(process);
        let server = &mut self.servers[number];
        let incarnation = server.incarnation;
        if let Some(running) = server.running.remove(&(host, call)) {
            self.end_later(process, &running, Completion::Cancelled, Some(incarnation));
        }
    }

    /// Brings the end of a call to its host, after all its pieces.
    ///
    /// A reset of the connection tells no start. Nothing comes through a cut, nor after one.
    fn end_later(
        &mut self,
        server: Process,
        running: &Running,
        end: Completion,
        incarnation: Option<Incarnation>,
    ) {
        let host = running.host;
        if running.silent || self.driver.is_cut(server, host) {
            return;
        }
        let delay_ms = self.driver.delay_ms(server, host);
        let at = self.driver.now().after_ms(delay_ms);
        let at = at.max(running.last_delivery);
        if let Some(incarnation) = incarnation {
            let number = self.server_number(server);
            self.checks.tells(host, number, incarnation, at);
        }
        self.put_end(at, server, running, end, incarnation);
    }

    fn put_end(
        &mut self,
        at: Instant,
        server: Process,
        running: &Running,
        end: Completion,
        incarnation: Option<Incarnation>,
    ) {
        let number = self.server_number(server);
        let event = node::Event::Ended {
            call: running.call.id,
            pool: running.call.pool.clone(),
            server: self.servers[number].shape.name.clone(),
            incarnation,
            end,
        };
        let delay_ms = at.since_ms(self.driver.now());
        let event = Event::Node(Box::new(event));
        self.driver.put(delay_ms, running.host, event);
    }

    fn deliver_in_order(
        &mut self,
        process: Process,
        host: Process,
        call: call::Id,
        event: node::Event,
        incarnation: Incarnation,
    ) {
        let now = self.driver.now();
        let cut = self.driver.is_cut(process, host);
        let delay_ms = self.driver.delay_ms(process, host);
        let number = self.server_number(process);
        let Some(running) = self.servers[number].running.get_mut(&(host, call)) else {
            return;
        };
        running.silent |= cut;
        if running.silent {
            return;
        }
        let at = now.after_ms(delay_ms).max(running.last_delivery);
        running.last_delivery = at;
        self.checks.tells(host, number, incarnation, at);
        let event = Event::Node(Box::new(event));
        self.driver.put(at.since_ms(now), host, event);
    }

    /// Restarts a server: its connections are reset and it is cold.
    pub fn restart_server(&mut self, number: usize) {
        let now = self.driver.now();
        self.driver.count("server_cold");
        let process = self.first_server + number;
        let dropped = self.servers[number].restart(now);
        self.checks.turned_cold(number);
        let name = self.servers[number].shape.name.clone();
        self.note(&format!(
            "server {name} turns cold, {} dropped",
            dropped.len()
        ));
        for running in dropped {
            self.end_later(process, &running, Completion::Lost, None);
        }
    }

    /// Ends the calls of a host that stopped: their connections are closed.
    pub(super) fn drop_calls_of(&mut self, host: Process) {
        for server in &mut self.servers {
            server.running.retain(|(sender, _), _| *sender != host);
        }
    }

    pub(super) fn report_load(&mut self, process: Process) {
        self.driver
            .put(faults::LOAD_REPORT_MS, process, Event::ReportLoad);
        let number = self.server_number(process);
        let server = &mut self.servers[number];
        server.reports += 1;
        let load = Load {
            incarnation: server.incarnation,
            sequence: server.reports,
            running: server.running.len() as u32,
            waiting: 0,
        };
        let (pool, name) = (server.shape.pool.clone(), server.shape.name.clone());
        for host in self.up() {
            if self.driver.is_cut(process, host) {
                continue;
            }
            let event = node::Event::Server {
                pool: pool.clone(),
                event: routing::Event::Load {
                    server: name.clone(),
                    load,
                },
            };
            // A report is read from a poll, which lags.
            let lag_ms = self.driver.draw(faults::LOAD_LAG_MS);
            let at = self.driver.now().after_ms(lag_ms);
            self.checks.tells(host, number, load.incarnation, at);
            self.driver.put(lag_ms, host, Event::Node(Box::new(event)));
            self.tell_models(number, host, lag_ms);
        }
    }

    /// Lets all engines hold the model from the start.
    pub(super) fn hold_models(&mut self) {
        let shape = self.plan.document.clone();
        for pool in &shape.pools {
            let Some(model) = shape.model_of(pool) else {
                continue;
            };
            let version = Name::from(document::MODEL_VERSION);
            let servers = self.servers.iter_mut();
            for server in servers.filter(|server| server.shape.pool.as_str() == pool.name) {
                server.hold(model.clone(), version.clone());
            }
        }
    }

    /// Tells a host which models an engine can serve, as its poll of the engine does.
    fn tell_models(&mut self, number: usize, host: Process, lag_ms: u64) {
        if !self.plan.document.has_model {
            return;
        }
        let server = &self.servers[number];
        let loaded = server.report().models;
        let models = loaded.into_iter().filter(|it| it.ready).map(|it| it.model);
        let event = node::Event::Server {
            pool: server.shape.pool.clone(),
            event: routing::Event::Models {
                server: server.shape.name.clone(),
                models: models.collect(),
            },
        };
        self.driver.put(lag_ms, host, Event::Node(Box::new(event)));
    }

    pub(super) fn order_arrives(&mut self, process: Process, host: Process, order: &Order) {
        let number = self.server_number(process);
        let outcome = self.servers[number].order(order);
        let event = orders::Event::Answer {
            id: order.id,
            outcome,
        };
        let event = Event::Node(Box::new(node::Event::Engine(event)));
        self.driver.send(process, host, event);
    }

    pub(super) fn engine_read(&mut self, process: Process, host: Process) {
        let number = self.server_number(process);
        let server = &self.servers[number];
        let event = orders::Event::Report {
            pool: server.shape.pool.clone(),
            server: server.shape.name.clone(),
            report: Some(server.report()),
        };
        let event = Event::Node(Box::new(node::Event::Engine(event)));
        self.driver.send(process, host, event);
    }
}

/// Returns what a server answers to a call: all stages so far, so that a lost one is seen.
pub fn answer(call: &Call) -> Body {
    let input = call.previous.as_ref().unwrap_or(&call.body);
    let mut body = input.to_vec();
    body.push(b'|');
    body.extend_from_slice(call.pool.as_bytes());
    body.into()
}

/// Returns one piece of an answer.
fn piece(answer: &Body, index: u64, pieces: u64) -> Body {
    let (length, index, pieces) = (answer.len(), index as usize, pieces as usize);
    let (from, to) = (length * index / pieces, length * (index + 1) / pieces);
    Arc::from(&answer[from..to])
}
