//! A fake backend server that falls over when it gets far more than it carries while cold.

use std::collections::BTreeMap;

use teaselchute::{
    core::call::{
        self,
        Incarnation, //
    },
    time::Instant,
};

use super::plan::Shape;
use crate::driver::Process;

/// Identity of a call over all hosts and their lives.
pub type Key = (Process, u64, call::Id);

/// A call that was sent to the server and hasn't ended there.
#[derive(Clone, Debug)]
pub struct Outstanding {
    /// Coldness of the server when it was sent.
    pub epoch: u64,
    /// Whether its sender had evidence of that coldness.
    pub knew: bool,
    /// When it began to run, nothing while it is on its way.
    pub began: Option<Instant>,
}

/// A fake backend server.
pub struct Backend {
    /// Index of its pool.
    pub pool: usize,
    /// Its number in the pool.
    pub number: usize,
    /// Its process.
    pub process: Process,
    /// Its life.
    pub incarnation: Incarnation,
    /// Rises when it turns cold, with or without a new life.
    pub epoch: u64,
    /// Coldness with which this life began.
    pub start_epoch: u64,
    /// Whether it runs.
    pub up: bool,
    /// Number of its last load report.
    pub reports: u64,
    /// When it first ran a call since it turned cold.
    pub warming_since: Option<Instant>,
    /// Factor on its warm-up, in parts of a hundred of the configured time.
    pub warm_up_percent: u64,
    /// Factor on the time of its calls, in parts of a hundred.
    pub slow_percent: u64,
    /// Chance in a thousand that a call fails.
    pub fail_permille: u64,
    /// Calls on their way or running.
    pub calls: BTreeMap<Key, Outstanding>,
    /// How often it fell over.
    pub fell_over: u64,
}

impl Backend {
    /// Makes a cold server.
    pub fn new(pool: usize, number: usize, process: Process, warm_up_percent: u64) -> Self {
        Self {
            pool,
            number,
            process,
            incarnation: 1,
            epoch: 0,
            start_epoch: 0,
            up: true,
            reports: 0,
            warming_since: None,
            warm_up_percent,
            slow_percent: 100,
            fail_permille: 0,
            calls: BTreeMap::new(),
            fell_over: 0,
        }
    }

    /// Returns how many calls it carries now.
    pub fn capacity(&self, now: Instant, shape: &Shape) -> u32 {
        let Some(since) = self.warming_since else {
            return shape.cold;
        };
        let warm_up_ms = shape.warm_up_ms * self.warm_up_percent / 100;
        if warm_up_ms == 0 {
            return shape.full;
        }
        let warm_ms = now.since_ms(since).min(warm_up_ms);
        shape.cold + (u64::from(shape.full - shape.cold) * warm_ms / warm_up_ms) as u32
    }

    /// Returns the number of calls that run.
    pub fn running(&self) -> u32 {
        self.calls
            .values()
            .filter(|call| call.began.is_some())
            .count() as u32
    }

    /// Returns the number of calls that were sent with evidence of this coldness.
    pub fn knowing(&self) -> u32 {
        self.calls
            .values()
            .filter(|call| call.knew && call.epoch == self.epoch)
            .count() as u32
    }

    /// Returns whether calls of this coldness are far more than it carries.
    pub fn falls_over(&self, now: Instant, shape: &Shape) -> bool {
        let capacity = self.capacity(now, shape);
        let fresh = self
            .calls
            .values()
            .filter(|call| call.began.is_some() && call.epoch == self.epoch)
            .count();
        capacity < shape.full && fresh as u32 > 2 * capacity + 1
    }

    /// Returns the time of one call now: with more calls than it carries it is slower.
    pub fn service_ms(&self, now: Instant, shape: &Shape, spread_percent: u64) -> u64 {
        let capacity = u64::from(self.capacity(now, shape)).max(1);
        let crowded_percent = (100 * u64::from(self.running()) / capacity).max(100);
        let ms = shape.service_ms * spread_percent / 100 * self.slow_percent / 100;
        (ms * crowded_percent / 100).max(1)
    }

    /// Returns whether a word of this life shows that it is cold.
    pub fn shows_epoch(&self) -> bool {
        self.epoch == self.start_epoch
    }

    /// Turns cold without a new life, as an engine does that lost its caches.
    pub fn lose_warmth(&mut self) {
        self.epoch += 1;
        self.warming_since = None;
    }

    /// Stops, and returns the calls that it drops.
    pub fn stop(&mut self) -> Vec<Key> {
        self.up = false;
        self.epoch += 1;
        self.start_epoch = self.epoch;
        self.incarnation += 1;
        self.reports = 0;
        self.warming_since = None;
        let mut dropped = Vec::new();
        self.calls.retain(|key, call| {
            if call.began.is_some() {
                dropped.push(*key);
            }
            call.began.is_none()
        });
        dropped
    }
}
