//! Demand for models, damped so that a short burst or lull moves no model.

use std::collections::BTreeMap;

use crate::{
    names::Name,
    time::Instant, //
};

/// Time between two samples of the demand, in milliseconds.
const SAMPLE_MS: u64 = 5_000;

/// Weight of the newest sample, in parts of a hundred.
const NEWEST_PERCENT: u64 = 10;

/// Time for which demand must have been lower before a replica is given up, in milliseconds.
const LOWER_MS: u64 = 600_000;

/// Load of a replica at which another one is wanted, in parts of a hundred of its limit.
const TARGET_PERCENT: u64 = 70;

/// Thousandths of a call, so that averages are kept in whole numbers.
const MILLI: u64 = 1_000;

struct Average {
    /// Calls that run at once, in thousandths.
    running_milli: u64,
    busy_ms: u64,
    since: Instant,
}

struct Held {
    replicas: u32,
    lower_since: Option<Instant>,
}

/// Damped demand, by model, and the replicas that follow from it, by group and model.
#[derive(Default)]
pub struct Demand {
    averages: BTreeMap<Name, Average>,
    held: BTreeMap<(Name, Name), Held>,
}

impl Demand {
    /// Takes the time for which calls of a model ran since the last time.
    pub fn record(&mut self, now: Instant, model: &Name, busy_ms: u64) {
        let average = self.averages.entry(model.clone()).or_insert(Average {
            running_milli: 0,
            busy_ms: 0,
            since: now,
        });
        average.busy_ms += busy_ms;
        let past_ms = now.since_ms(average.since);
        if past_ms < SAMPLE_MS {
            return;
        }
        let sample = average.busy_ms * MILLI / past_ms;
        let old = average.running_milli * (100 - NEWEST_PERCENT);
        average.running_milli = (old + sample * NEWEST_PERCENT) / 100;
        average.busy_ms = 0;
        average.since = now;
    }

    /// Returns the calls of a model that run at once on average, in thousandths.
    pub fn running_milli(&self, model: &Name) -> u64 {
        self.averages.get(model).map_or(0, |it| it.running_milli)
    }

    /// Returns the replicas of a model that a group should have: more at once, fewer only after
    /// demand has been lower for long.
    pub fn damped_replicas(
        &mut self,
        now: Instant,
        group: &Name,
        model: &Name,
        wanted: u32,
    ) -> u32 {
        let key = (group.clone(), model.clone());
        let held = self.held.entry(key).or_insert(Held {
            replicas: wanted,
            lower_since: None,
        });
        if wanted >= held.replicas {
            held.replicas = wanted;
            held.lower_since = None;
            return held.replicas;
        }
        let since = *held.lower_since.get_or_insert(now);
        if now.since_ms(since) >= LOWER_MS {
            held.replicas = wanted;
            held.lower_since = None;
        }
        held.replicas
    }
}

/// Returns the replicas that carry a demand in one data centre, so that all others can carry it
/// when one is out.
///
/// `running_milli` is the demand of the whole system.
pub fn required_replicas(running_milli: u64, limit: u32, data_centres: usize) -> u32 {
    let others = (data_centres as u64).saturating_sub(1).max(1);
    let each_milli = u64::from(limit.max(1)) * MILLI * TARGET_PERCENT / 100;
    let replicas = running_milli.div_ceil(others).div_ceil(each_milli.max(1));
    u32::try_from(replicas).unwrap_or(u32::MAX)
}
