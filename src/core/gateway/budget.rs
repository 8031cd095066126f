//! Retry budget: this host's share of the retries that all hosts may send to a service.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// Fraction of the allowance that is used, so that the total isn't exceeded while a new host joins.
const USED_FRACTION: f64 = 0.7;

/// Limit on the retries of all hosts, from the settings of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Additional retries of all hosts.
    pub slack: f64,
    /// Window in which attempts are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Retry budget of each service.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    services: HashMap<Name, Counts>,
}

impl Budget {
    /// Creates a budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: HashMap::new(),
        }
    }

    fn counts(&mut self, now: Instant, service: &Name) -> &mut Counts {
        let window_ms = self.allowance.window_ms;
        let counts = self.services.entry(service.clone()).or_default();
        for times in [&mut counts.requests, &mut counts.retries] {
            while times
                .front()
                .is_some_and(|&at| now.since_ms(at) > window_ms)
            {
                times.pop_front();
            }
        }
        counts
    }

    /// Counts the first attempt of a request to a service.
    pub fn record_request(&mut self, now: Instant, service: &Name) {
        self.counts(now, service).requests.push_back(now);
    }

    /// Takes one retry from the budget if one is left, and returns whether it did.
    pub fn try_take(&mut self, now: Instant, service: &Name, hosts: usize) -> bool {
        let Allowance { ratio, slack, .. } = self.allowance;
        let counts = self.counts(now, service);
        let requests = counts.requests.len() as f64;
        let allowed = (ratio * requests + slack / hosts as f64) * USED_FRACTION;
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}
