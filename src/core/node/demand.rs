//! Demand for models that this host sees, gathered for the controllers of placement.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use crate::{
    core::{
        call::{
            self,
            Call, //
        },
        orders,
    },
    names::Name,
    time::Instant,
};

/// Time between two reports of the demand, in milliseconds.
const REPORT_MS: u64 = 1_000;

#[derive(Default)]
struct Gathered {
    /// Models of running calls, and until when their time is counted.
    running: BTreeMap<call::Id, (Name, Instant)>,
    /// Ended calls and the milliseconds that calls ran, by model. Models stay, so that no demand is
    /// told.
    ended: BTreeMap<Name, (u64, u64)>,
    reported_at: Instant,
}

impl Gathered {
    /// Counts the time of running calls up to now. Counted only at its end, a long call would look
    /// like many at once.
    fn count_running(&mut self, now: Instant) {
        for (model, counted_until) in self.running.values_mut() {
            let ended = self.ended.entry(model.clone());
            let (_, busy_ms) = ended.or_default();
            *busy_ms += now.since_ms(*counted_until);
            *counted_until = now.max(*counted_until);
        }
    }
}

/// Calls with a model, from sending to end.
#[derive(Default)]
pub struct Meter(Mutex<Gathered>);

impl Meter {
    /// Notes that a call was sent to a server.
    pub fn sent(&self, now: Instant, call: &Call) {
        if let Some(model) = &call.model {
            let running = (model.clone(), now);
            self.0.lock().running.insert(call.id, running);
        }
    }

    /// Notes that a call ended, or was aborted.
    pub fn ended(&self, now: Instant, call: call::Id) {
        let mut gathered = self.0.lock();
        if let Some((model, since)) = gathered.running.remove(&call) {
            let (calls, busy_ms) = gathered.ended.entry(model).or_default();
            *calls += 1;
            *busy_ms += now.since_ms(since);
        }
    }

    /// Returns what was gathered since the last report, where one is due.
    pub fn report(&self, now: Instant) -> Vec<orders::Event> {
        let mut gathered = self.0.lock();
        if now.since_ms(gathered.reported_at) < REPORT_MS {
            return Vec::new();
        }
        gathered.reported_at = now;
        gathered.count_running(now);
        let ended = gathered.ended.iter_mut();
        let events = ended.map(|(model, counts)| {
            let (calls, busy_ms) = std::mem::take(counts);
            orders::Event::Demand {
                model: model.clone(),
                calls,
                busy_ms,
            }
        });
        events.collect()
    }
}
