//! How the fake backend servers take, end and drop calls.

use teaselchute::{
    core::{
        call::{
            Body,
            Completion,
            Incarnation, //
        },
        routing,
    },
    names::Name,
    time::Instant,
};

use super::{
    Event, Fleet, REPORT_MS,
    backend::Key,
    load,
    plan::{
        HOSTS,
        SHAPES, //
    },
};
use crate::driver::Process;

/// Time for which a server that fell over is down, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// Time after which a host gives up a connection that went silent, in milliseconds.
const SILENCE_MS: u64 = 2_000;

impl Fleet {
    pub(super) fn server_event(&mut self, process: Process, event: Event) {
        let index = self.index_of(process);
        match event {
            Event::Call(key) => self.call(index, key),
            Event::Done(key, incarnation, began) => self.done(index, key, incarnation, began),
            Event::Abort(key) => self.abort(index, key),
            Event::Report => self.report(index),
            Event::Start => self.servers[index].up = true,
            _ => {}
        }
    }

    fn index_of(&self, process: Process) -> usize {
        process - HOSTS - 1
    }

    fn call(&mut self, index: usize, key: Key) {
        let now = self.driver.now();
        let backend = &mut self.servers[index];
        let shape = &SHAPES[backend.pool];
        if !backend.up {
            backend.calls.remove(&key);
            let epoch = backend.epoch;
            return self.end(index, key, None, Completion::NotSent, Some(epoch), 0);
        }
        let Some(call) = backend.calls.get_mut(&key) else {
            return;
        };
        call.began = Some(now);
        backend.warming_since.get_or_insert(now);
        if backend.falls_over(now, shape) {
            self.sums.fell_over += 1;
            self.servers[index].fell_over += 1;
            return self.stop_server(index, DOWN_MS);
        }
        let long = self.luck(key, 1, 1_000) < 50;
        let spread_percent = 50 + self.luck(key, 2, 100) + if long { 50 } else { 0 };
        let backend = &self.servers[index];
        let ms = backend.service_ms(now, shape, spread_percent);
        let event = Event::Done(key, backend.incarnation, now);
        let process = backend.process;
        self.driver.put(ms, process, event);
    }

    fn done(&mut self, index: usize, key: Key, incarnation: Incarnation, began: Instant) {
        if self.servers[index].incarnation != incarnation {
            return;
        }
        let Some(call) = self.servers[index].calls.remove(&key) else {
            return;
        };
        self.charge(index, began);
        let silent = self.luck(key, 3, 1_000) < self.setting.silence_permille;
        let fails = self.luck(key, 4, 1_000) < self.servers[index].fail_permille;
        if silent {
            self.driver.count("silence");
            let epoch = (call.epoch == self.servers[index].epoch).then_some(call.epoch);
            return self.end(index, key, None, Completion::Lost, epoch, SILENCE_MS);
        }
        let end = if fails {
            Completion::Failed
        } else {
            Completion::Answered(Body::from([]))
        };
        self.end(index, key, Some(incarnation), end, None, 0);
    }

    fn charge(&mut self, index: usize, began: Instant) {
        let ms = self.driver.now().since_ms(began);
        let price_milli = SHAPES[self.servers[index].pool].price_milli;
        self.sums.price_micro += ms * price_milli;
    }

    fn abort(&mut self, index: usize, key: Key) {
        let incarnation = self.servers[index].incarnation;
        let Some(call) = self.servers[index].calls.remove(&key) else {
            return;
        };
        if let Some(began) = call.began {
            self.charge(index, began);
        }
        self.end(
            index,
            key,
            Some(incarnation),
            Completion::Cancelled,
            None,
            0,
        );
    }

    /// Brings the end of a call to its host. An end that tells the life is evidence of it.
    fn end(
        &mut self,
        index: usize,
        key: Key,
        incarnation: Option<Incarnation>,
        end: Completion,
        epoch: Option<u64>,
        delay_ms: u64,
    ) {
        let (process, host_incarnation, call) = key;
        let alive =
            self.driver.is_up(process) && self.hosts[process - 1].incarnation == host_incarnation;
        if !alive {
            return;
        }
        let backend = &self.servers[index];
        let told = incarnation.is_some() && incarnation == Some(backend.incarnation);
        // A life that began with this coldness shows it, lost caches only show by slow answers.
        let restarted = told && backend.shows_epoch();
        let epoch = epoch.or(restarted.then_some(backend.epoch));
        let event = Event::Pool {
            pool: backend.pool,
            event: routing::Event::Ended {
                call,
                server: Name::from(format!("s{:02}", backend.number)),
                incarnation,
                end,
            },
            evidence: epoch.map(|epoch| (index, epoch)),
        };
        let delay_ms = delay_ms + self.driver.delay_ms(backend.process, process);
        self.driver.put(delay_ms, process, event);
    }

    fn report(&mut self, index: usize) {
        let process = self.servers[index].process;
        self.driver.put(REPORT_MS, process, Event::Report);
        if !self.servers[index].up {
            return;
        }
        self.servers[index].reports += 1;
        let load = load(&self.servers[index]);
        let backend = &self.servers[index];
        let (pool, number, epoch) = (backend.pool, backend.number, backend.epoch);
        let shows = backend.shows_epoch();
        for host in 1..=HOSTS {
            let lost = self.driver.chance(self.setting.report_loss_permille);
            if lost || !self.driver.is_up(host) {
                continue;
            }
            let event = Event::Pool {
                pool,
                event: routing::Event::Load {
                    server: Name::from(format!("s{number:02}")),
                    load,
                },
                evidence: shows.then_some((index, epoch)),
            };
            let lag_ms = 20 + self.driver.draw(self.setting.report_lag_ms);
            self.driver.put(lag_ms, host, event);
        }
    }

    /// Stops a server and starts it again cold, and resets its connections.
    pub fn stop_server(&mut self, index: usize, down_ms: u64) {
        if !self.servers[index].up {
            return;
        }
        let now = self.driver.now();
        let dropped: Vec<_> = {
            let calls = self.servers[index].calls.clone();
            let keys = self.servers[index].stop();
            keys.into_iter()
                .map(|key| (key, calls[&key].began.unwrap_or(now)))
                .collect()
        };
        let epoch = self.servers[index].epoch;
        for (key, began) in dropped {
            self.charge(index, began);
            self.end(index, key, None, Completion::Lost, Some(epoch), 0);
        }
        let process = self.servers[index].process;
        self.driver.put(down_ms, process, Event::Start);
    }

    /// Lets a server lose its caches without a restart.
    pub fn cool_server(&mut self, index: usize) {
        self.servers[index].lose_warmth();
    }
}
