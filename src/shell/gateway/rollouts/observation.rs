//! Observes the answers of servers, and counts what needs a server.

use std::rc::Rc;

use opentelemetry::KeyValue;

use super::{
    is_active,
    version_of, //
};
use crate::{
    core::gateway::{
        rollout::evidence::Answer,
        servers::Entry, //
    },
    names::Name,
    shell::gateway::Gateway,
    time::Instant,
};

/// Counts a request, a call or results that need a server, until it is dropped.
pub(in crate::shell::gateway) struct Hold {
    gateway: Rc<Gateway>,
    key: (Name, Name),
}

impl Hold {
    /// Holds a server. `None` if versions aren't told apart or the server is gone.
    pub(in crate::shell::gateway) fn new(gateway: &Rc<Gateway>, server: &Name) -> Option<Self> {
        if !is_active(gateway) {
            return None;
        }
        let entry = gateway.server_entry(server)?;
        let key = (entry.service.clone(), version_of(&entry));
        let mut holds = gateway.rollouts.holds.borrow_mut();
        *holds.entry(key.clone()).or_default() += 1;
        drop(holds);
        let gateway = gateway.clone();
        Some(Self { gateway, key })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut holds = self.gateway.rollouts.holds.borrow_mut();
        if let Some(count) = holds.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                holds.remove(&self.key);
            }
        }
    }
}

/// An answer that a server owes, as evidence on its version. One that is still missing at the deadline is a
/// failure; one that its caller no longer waits for before that says nothing.
pub(in crate::shell::gateway) struct Observation {
    gateway: Rc<Gateway>,
    service: Name,
    version: Name,
    route: Name,
    sent_at: Instant,
    deadline: Instant,
    has_time: bool,
    is_done: bool,
}

impl Observation {
    /// Begins with a request that is sent now. `None` if no order for the service is open. `is_continued`
    /// states that another server sent the beginning of the answer.
    pub(in crate::shell::gateway) fn begin(
        gateway: &Rc<Gateway>,
        entry: &Entry,
        route: &Name,
        deadline: Instant,
        is_continued: bool,
    ) -> Option<Self> {
        if !is_active(gateway) {
            return None;
        }
        let services = gateway.rollouts.services.borrow();
        let rollout = services.get(&entry.service)?.rollout.as_ref()?;
        if !rollout.is_open() {
            return None;
        }
        let now = gateway.now();
        let servers = gateway.servers.borrow();
        let is_cold = servers.get(&entry.id).is_some_and(|it| now < it.cold_until);
        Some(Self {
            gateway: gateway.clone(),
            service: entry.service.clone(),
            version: version_of(entry),
            route: route.clone(),
            sent_at: now,
            deadline,
            has_time: !is_cold && !is_continued,
            is_done: false,
        })
    }

    /// Records the end of a complete answer, or its failure.
    pub(in crate::shell::gateway) fn finish(observation: Option<Self>, failed: bool) {
        if let Some(mut observation) = observation {
            observation.record(failed);
        }
    }

    /// Drops an observation: the server refused the request, or nothing reached it.
    pub(in crate::shell::gateway) fn discard(observation: Option<Self>) {
        if let Some(mut observation) = observation {
            observation.is_done = true;
        }
    }

    fn record(&mut self, failed: bool) {
        self.is_done = true;
        let mut services = self.gateway.rollouts.services.borrow_mut();
        let rollout = services
            .get_mut(&self.service)
            .and_then(|service| service.rollout.as_mut());
        let Some(rollout) = rollout.filter(|rollout| rollout.is_open()) else {
            return;
        };
        let ms = self.gateway.now().since_ms(self.sent_at);
        let ms = (self.has_time && !failed).then_some(ms);
        let is_target = self.version == rollout.order.target;
        let answer = Answer { failed, ms };
        rollout
            .evidence
            .record(self.sent_at, &self.route, is_target, answer);
        let labels = [
            KeyValue::new("service", self.service.to_string()),
            KeyValue::new("target", is_target),
            KeyValue::new("failed", failed),
        ];
        self.gateway.metrics.rollout_answers.add(1, &labels);
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        if !self.is_done && self.gateway.now() >= self.deadline {
            self.record(true);
        }
    }
}
