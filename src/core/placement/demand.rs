//! Demand for models, damped so that a short burst or lull doesn't move models.

use std::collections::BTreeMap;

use crate::{
    names::Name,
    time::Instant, //
};

/// Interval of demand samples, in milliseconds.
const SAMPLE_MS: u64 = 5_000;

/// Weight of the newest sample in the moving average, in percent.
const NEWEST_PERCENT: u64 = 10;

/// Time for which demand has to be lower before the number of replicas is reduced, in milliseconds.
const SCALE_DOWN_DELAY_MS: u64 = 600_000;

/// Load of a replica from which another one is required, in percent of its limit.
const TARGET_PERCENT: u64 = 70;

/// Factor to thousandths of a call, so that averages are integers.
const MILLI: u64 = 1_000;

struct Average {
    /// Average number of concurrent calls, in thousandths.
    running_milli: u64,
    busy_ms: u64,
    since: Instant,
}

struct ReplicaCount {
    replicas: u32,
    lower_since: Option<Instant>,
}

/// Damped demand by model, and the resulting number of replicas by group and model.
#[derive(Default)]
pub struct Demand {
    averages: BTreeMap<Name, Average>,
    counts: BTreeMap<(Name, Name), ReplicaCount>,
}

impl Demand {
    /// Records the total run time of a model's calls since the previous record.
    pub fn record(&mut self, now: Instant, model: &Name, busy_ms: u64) {
        let average = self.averages.entry(model.clone()).or_insert(Average {
            running_milli: 0,
            busy_ms: 0,
            since: now,
        });
        average.busy_ms += busy_ms;
        let elapsed_ms = now.since_ms(average.since);
        if elapsed_ms < SAMPLE_MS {
            return;
        }
        let sample = average.busy_ms * MILLI / elapsed_ms;
        let old = average.running_milli * (100 - NEWEST_PERCENT);
        average.running_milli = (old + sample * NEWEST_PERCENT) / 100;
        average.busy_ms = 0;
        average.since = now;
    }

    /// Returns the average number of concurrent calls of a model, in thousandths.
    pub fn running_milli(&self, model: &Name) -> u64 {
        self.averages
            .get(model)
            .map_or(0, |average| average.running_milli)
    }

    /// Returns the damped number of replicas of a model in a group, given the required one. It rises immediately, and falls
    /// only after demand has been lower for `SCALE_DOWN_DELAY_MS`.
    pub fn damped_replicas(
        &mut self,
        now: Instant,
        group: &Name,
        model: &Name,
        required: u32,
    ) -> u32 {
        let key = (group.clone(), model.clone());
        let count = self.counts.entry(key).or_insert(ReplicaCount {
            replicas: required,
            lower_since: None,
        });
        if required >= count.replicas {
            count.replicas = required;
            count.lower_since = None;
            return count.replicas;
        }
        let since = *count.lower_since.get_or_insert(now);
        if now.since_ms(since) >= SCALE_DOWN_DELAY_MS {
            count.replicas = required;
            count.lower_since = None;
        }
        count.replicas
    }
}

/// Returns the number of replicas that each data centre needs, so that the others can serve the
/// demand when one of them fails.
///
/// `running_milli` is the demand of the whole system.
pub fn required_replicas(running_milli: u64, limit: u32, data_centres: usize) -> u32 {
    let others = (data_centres as u64).saturating_sub(1).max(1);
    let replica_milli = u64::from(limit.max(1)) * MILLI * TARGET_PERCENT / 100;
    let replicas = running_milli
        .div_ceil(others)
        .div_ceil(replica_milli.max(1));
    u32::try_from(replicas).unwrap_or(u32::MAX)
}
