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
    running: BTreeMap<call::Id, (Name, Instant)>,
    /// Calls and the milliseconds that they ran, by model. Models stay, so that no demand is told.
    ended: BTreeMap<Name, (u64, u64)>,
    reported_at: Instant,
}

/// Calls with a model, from sending to end.
#[derive(Default)]
pub(super) struct Meter(Mutex<Gathered>);

impl Meter {
    pub(super) fn sent(&self, now: Instant, call: &Call) {
        if let Some(model) = &call.model {
            let running = (model.clone(), now);
            self.0.lock().running.insert(call.id, running);
        }
    }

    pub(super) fn ended(&self, now: Instant, call: call::Id) {
        let mut gathered = self.0.lock();
        if let Some((model, since)) = gathered.running.remove(&call) {
            let (calls, busy_ms) = gathered.ended.entry(model).or_default();
            *calls += 1;
            *busy_ms += now.since_ms(since);
        }
    }

    /// Returns what was gathered since the last report, where one is due.
    pub(super) fn report(&self, now: Instant) -> Vec<orders::Event> {
        let mut gathered = self.0.lock();
        if now.since_ms(gathered.reported_at) < REPORT_MS {
            return Vec::new();
        }
        gathered.reported_at = now;
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
