//! Assigns attempts to servers and decides whether a request may be retried.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    EXPECTED_RUN_MS,
    Exchange,
    send::Error, //
};
use crate::{
    core::gateway::{
        balance::{
            self,
            Assignment, //
        },
        retry::Outcome,
    },
    names::Name,
    shell::gateway::{
        Gateway,
        gossip,
        log::Event,
        upstream, //
    },
    time::Instant,
};

/// Delay before a request asks for a server again when all are full, in milliseconds.
const FULL_RETRY_MS: u64 = 20;

/// A request's slot at a server, released on drop.
pub(super) struct Slot {
    gateway: Rc<Gateway>,
    assignment: Option<Assignment>,
}

impl Slot {
    pub(super) fn server(&self) -> Name {
        let assignment = self.assignment.as_ref();
        assignment.map_or_else(|| "".into(), |assignment| assignment.server.clone())
    }

    pub(super) fn source(&self) -> Option<Name> {
        self.assignment.as_ref()?.source.clone()
    }

    pub(super) fn finish_prefill(&mut self) {
        if let Some(assignment) = &mut self.assignment {
            self.gateway
                .balancer
                .borrow_mut()
                .finish_prefill(assignment);
        }
    }

    /// Releases the slot. `failed` means that the server was at fault.
    pub(super) fn release(mut self, failed: bool) {
        self.complete(failed);
    }

    fn complete(&mut self, failed: bool) {
        if let Some(assignment) = self.assignment.take() {
            let now = self.gateway.now();
            let mut balancer = self.gateway.balancer.borrow_mut();
            balancer.complete(now, assignment, failed);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.complete(false);
    }
}

impl Exchange {
    /// Returns the number of connections that one of `hosts` hosts may have open to a server of the
    /// request's service.
    pub(super) fn max_connections(&self, hosts: usize) -> usize {
        let service = self.config.services.get(&self.service);
        service.map_or(upstream::UNLIMITED, |service| {
            service.connections_per_host(hosts)
        })
    }

    /// Returns whether the route and the retry budget allow another attempt, and charges the
    /// budget.
    pub(super) fn may_retry(&self, outcome: Outcome) -> bool {
        let now = self.gateway.now();
        let max_attempts = self.route.max_attempts.max(1);
        if now >= self.deadline || self.is_exhausted.get() || self.attempts.get() >= max_attempts {
            return false;
        }
        if outcome == Outcome::NotSent {
            // The server received nothing, so this isn't a repeated request and costs no budget.
            return true;
        }
        let hosts = self.gateway.quota_group().size();
        self.gateway
            .budget
            .borrow_mut()
            .try_take(now, &self.service, hosts)
    }

    pub(super) async fn assign(&self) -> Result<Slot, Error> {
        let failure = |reason: String| Error {
            outcome: Outcome::NotSent,
            reason,
            server: None,
        };
        let cold_per_s = self.config.services.get(&self.service);
        let cold_per_s = cold_per_s.map_or(0.0, |service| service.cold_requests_per_s);
        let factor = self.gateway.options.borrow().bounds.cold_factor;
        loop {
            let now = self.gateway.now();
            let tried = self.tried.borrow().clone();
            let group = self.gateway.quota_group();
            let request = balance::Request {
                service: &self.service,
                prompt: &self.prompt,
                tried: &tried,
                cold_requests_per_s: cold_per_s * factor,
                group: &group,
                max_running: u32::try_from(self.max_connections(group.size())).unwrap_or(u32::MAX),
                local_hosts: self.gateway.local_hosts(),
            };
            let result = self.gateway.balancer.borrow_mut().place(
                now,
                &self.gateway.servers.borrow(),
                &request,
                &|server| self.is_allowed(&server.entry.data_centre),
                &|server| {
                    self.gateway.region_of(&server.entry.data_centre) == *self.region.borrow()
                },
            );
            match result {
                Ok(assignment) => {
                    self.log_placed(now, &assignment);
                    gossip::record_placement(&self.gateway, &assignment.server, &self.prompt);
                    return Ok(Slot {
                        gateway: self.gateway.clone(),
                        assignment: Some(assignment),
                    });
                }
                Err(balance::Error::Full) if now.after_ms(EXPECTED_RUN_MS) < self.deadline => {
                    tokio::time::sleep(Duration::from_millis(FULL_RETRY_MS)).await;
                }
                Err(error) => {
                    self.is_exhausted.set(true);
                    return Err(failure(error.to_string()));
                }
            }
        }
    }

    fn log_placed(&self, now: Instant, assignment: &Assignment) {
        let gateway = &self.gateway;
        let servers = gateway.servers.borrow();
        let received_at = servers
            .get(&assignment.server)
            .map(|server| server.received_at);
        gateway.log.write(&Event::Placed {
            request: &self.id,
            server: &assignment.server,
            attempt: self.attempts.get(),
            running: gateway.balancer.borrow().running(&assignment.server),
            tokens: assignment.tokens,
            age_ms: received_at.map_or(0, |received_at| now.since_ms(received_at)),
        });
    }
}
