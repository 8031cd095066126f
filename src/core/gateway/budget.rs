//! This host's share of the retries that a service takes from all hosts together.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    names::Name,
    time::Instant, //
};

/// Part of the allowance that is used, so that hosts that have just joined stay within the whole.
const USED_PART: f64 = 0.7;

/// What all hosts together may repeat: settings of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each first request.
    pub ratio: f64,
    /// Repeats on top, for all hosts together.
    pub slack: f64,
    /// Span in which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct Counts {
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// First sends and repeats of each service within the window.
#[derive(Debug)]
pub struct Budget {
    allowance: Allowance,
    services: HashMap<Name, Counts>,
}

impl Budget {
    /// Makes a budget.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: HashMap::new(),
        }
    }

    fn counts(&mut self, now: Instant, service: &Name) -> &mut Counts {
        let window_ms = self.allowance.window_ms;
        let counts = self.services.entry(service.clone()).or_default();
        for times in [&mut counts.firsts, &mut counts.repeats] {
            while times
                .front()
                .is_some_and(|&at| now.since_ms(at) > window_ms)
            {
                times.pop_front();
            }
        }
        counts
    }

    /// Counts a request that goes to a service for the first time.
    pub fn record_request(&mut self, now: Instant, service: &Name) {
        self.counts(now, service).firsts.push_back(now);
    }

    /// Takes one repeat, and returns whether there was one left.
    pub fn try_take(&mut self, now: Instant, service: &Name, hosts: usize) -> bool {
        let Allowance { ratio, slack, .. } = self.allowance;
        let counts = self.counts(now, service);
        let firsts = counts.firsts.len() as f64;
        let allowed = (ratio * firsts + slack / hosts as f64) * USED_PART;
        if counts.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }
}
