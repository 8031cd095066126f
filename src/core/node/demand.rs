//! Meter of the demand for models on this host, which controllers use for placement.

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
const REPORT_INTERVAL_MS: u64 = 1_000;

#[derive(Default)]
struct Totals {
    /// Model of each running call, and until when its time is accrued.
    running: BTreeMap<call::Id, (Name, Instant)>,
    /// Ended calls and time that calls ran, in milliseconds, by model. Models are kept without
    /// calls, so that the absence of demand is reported too.
    ended: BTreeMap<Name, (u64, u64)>,
    reported_at: Instant,
}

impl Totals {
    /// Accrues the time of running calls up to now. If it were accrued only at the end, a long call
    /// would look like many concurrent calls.
    fn accrue_running(&mut self, now: Instant) {
        for (model, accrued_until) in self.running.values_mut() {
            let ended = self.ended.entry(model.clone());
            let (_, busy_ms) = ended.or_default();
            *busy_ms += now.since_ms(*accrued_until);
            *accrued_until = now.max(*accrued_until);
        }
    }
}

/// Meter of calls that use a model, from sending to end.
#[derive(Default)]
pub struct Meter(Mutex<Totals>);

impl Meter {
    /// Records that a call was sent to a server.
    pub fn record_sent(&self, now: Instant, call: &Call) {
        if let Some(model) = &call.model {
            let running = (model.clone(), now);
            self.0.lock().running.insert(call.id, running);
        }
    }

    /// Records that a call ended or was aborted.
    pub fn record_ended(&self, now: Instant, call: call::Id) {
        let mut totals = self.0.lock();
        if let Some((model, since)) = totals.running.remove(&call) {
            let (calls, busy_ms) = totals.ended.entry(model).or_default();
            *calls += 1;
            *busy_ms += now.since_ms(since);
        }
    }

    /// Returns the demand since the last report, or nothing if no report is due yet.
    pub fn take_report(&self, now: Instant) -> Vec<orders::Event> {
        let mut totals = self.0.lock();
        if now.since_ms(totals.reported_at) < REPORT_INTERVAL_MS {
            return Vec::new();
        }
        totals.reported_at = now;
        totals.accrue_running(now);
        let ended = totals.ended.iter_mut();
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
