//! Which server an attempt goes to, and whether there is another attempt.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    Flight,
    RUN_MS,
    send::Miss, //
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
        log::Event,
        news,
        upstream, //
    },
    time::Instant,
};

/// Time after which a request asks again for a server when all are full, in milliseconds.
const FULL_PAUSE_MS: u64 = 20;

/// A place at a server, given back when it is dropped.
pub(super) struct Place {
    gateway: Rc<Gateway>,
    placed: Option<Assignment>,
}

impl Place {
    pub(super) fn server(&self) -> Name {
        let placed = self.placed.as_ref();
        placed.map_or_else(|| "".into(), |placed| placed.server.clone())
    }

    pub(super) fn source(&self) -> Option<Name> {
        self.placed.as_ref()?.source.clone()
    }

    pub(super) fn read(&mut self) {
        if let Some(placed) = &mut self.placed {
            self.gateway.balancer.borrow_mut().finish_prefill(placed);
        }
    }

    /// Gives the place back. `failed` says that the server was at fault.
    pub(super) fn end(mut self, failed: bool) {
        self.give_back(failed);
    }

    fn give_back(&mut self, failed: bool) {
        if let Some(placed) = self.placed.take() {
            let now = self.gateway.now();
            let mut balancer = self.gateway.balancer.borrow_mut();
            balancer.complete(now, placed, failed);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.give_back(false);
    }
}

impl Flight {
    /// Returns the connections that one of `hosts` may have open to a server of the request's service.
    pub(super) fn connections(&self, hosts: usize) -> usize {
        let service = self.config.services.get(&self.service);
        service.map_or(upstream::ANY_NUMBER, |service| {
            service.connections_per_host(hosts)
        })
    }

    /// Takes one more attempt, if the route and the budget of retries have one left.
    pub(super) fn may_retry(&self, end: Outcome) -> bool {
        let now = self.gateway.now();
        let most = self.route.max_attempts.max(1);
        if now >= self.deadline || self.is_exhausted.get() || self.attempts.get() >= most {
            return false;
        }
        if end == Outcome::NotSent {
            // Nothing arrived, so nothing is repeated.
            return true;
        }
        let hosts = self.gateway.sharers().size();
        self.gateway
            .budget
            .borrow_mut()
            .try_take(now, &self.service, hosts)
    }

    pub(super) async fn place(&self) -> Result<Place, Miss> {
        let miss = |reason: String| Miss {
            end: Outcome::NotSent,
            reason,
            server: None,
        };
        let cold_per_s = self.config.services.get(&self.service);
        let cold_per_s = cold_per_s.map_or(0.0, |service| service.cold_requests_per_s);
        let factor = self.gateway.options.borrow().bounds.cold_factor;
        loop {
            let now = self.gateway.now();
            let tried = self.tried.borrow().clone();
            let group = self.gateway.sharers();
            let ask = balance::Request {
                service: &self.service,
                prompt: &self.prompt,
                tried: &tried,
                cold_requests_per_s: cold_per_s * factor,
                group: &group,
                max_running: u32::try_from(self.connections(group.size())).unwrap_or(u32::MAX),
                local_hosts: self.gateway.near_hosts(),
            };
            let placed = self.gateway.balancer.borrow_mut().place(
                now,
                &self.gateway.servers.borrow(),
                &ask,
                &|server| self.is_allowed(&server.entry.data_centre),
                &|server| {
                    self.gateway.region_of(&server.entry.data_centre) == *self.region.borrow()
                },
            );
            match placed {
                Ok(placed) => {
                    self.log_placed(now, &placed);
                    news::placed(&self.gateway, &placed.server, &self.prompt);
                    return Ok(Place {
                        gateway: self.gateway.clone(),
                        placed: Some(placed),
                    });
                }
                Err(balance::Error::Full) if now.after_ms(RUN_MS) < self.deadline => {
                    tokio::time::sleep(Duration::from_millis(FULL_PAUSE_MS)).await;
                }
                Err(error) => {
                    self.is_exhausted.set(true);
                    return Err(miss(error.to_string()));
                }
            }
        }
    }

    fn log_placed(&self, now: Instant, placed: &Assignment) {
        let gateway = &self.gateway;
        let servers = gateway.servers.borrow();
        let heard = servers.get(&placed.server).map(|server| server.received_at);
        gateway.log.write(&Event::Placed {
            request: &self.id,
            server: &placed.server,
            attempt: self.attempts.get(),
            running: gateway.balancer.borrow().running(&placed.server),
            tokens: placed.tokens,
            age_ms: heard.map_or(0, |heard| now.since_ms(heard)),
        });
    }
}
