//! Assigns attempts to servers and decides whether a request may be retried.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    EXPECTED_RUN_MS,
    Exchange,
    QUARANTINED,
    send::Error, //
};
use crate::{
    core::gateway::{
        balance::{
            self,
            Assignment, //
        },
        config::Role,
        dispatch::{
            self,
            Ask,
            Grant, //
        },
        pause::Wait,
        placement::{
            Sample,
            cost::Estimate,
            load::Load, //
        },
        retry::Outcome,
        servers::{
            Entry,
            Server, //
        },
    },
    names::Name,
    shell::gateway::{
        Gateway,
        datagrams::{
            self,
            Answer,
            Lease, //
        },
        limits,
        log::{
            Event,
            Progress, //
        },
        pauses,
        quarantines,
        rollouts::{
            self,
            Hold,
            Selection, //
        },
        upstream, //
    },
    time::Instant,
};

/// Delay before a request asks for a server again when all are full, in milliseconds.
const FULL_RETRY_MS: u64 = 20;

/// Maximum number of servers that a question to a dispatcher excludes, so that it fits a datagram.
const MAX_EXCLUDED: usize = 24;

/// Maximum number of grants that a request declines in a region, since their servers get no requests any more.
/// A dispatcher that hasn't heard of so many is no help, and each question takes a round trip.
const MAX_DECLINED: usize = 2;

/// A request's slot at a server, released on drop.
pub(super) struct Slot {
    gateway: Rc<Gateway>,
    assignment: Option<Assignment>,
    lease: Option<Lease>,
    // When the request was handed to a connection.
    sent_at: Option<Instant>,
    // Hold the server, and the one from whose cache it fetches.
    _hold: Option<Hold>,
    source_hold: Option<Hold>,
}

impl Slot {
    pub(super) fn server(&self) -> Name {
        let assignment = self.assignment.as_ref();
        assignment.map_or_else(|| "".into(), |assignment| assignment.server.clone())
    }

    pub(super) fn source(&self) -> Option<Name> {
        self.assignment.as_ref()?.source.clone()
    }

    /// Records that the request is sent now.
    pub(super) fn mark_sent(&mut self) {
        self.sent_at = Some(self.gateway.now());
    }

    /// Records the first event, with the load that the server stated in its answer.
    pub(super) fn finish_prefill(&mut self, load: Option<Load>) {
        self.source_hold = None;
        let now = self.gateway.now();
        let sent_at = self.sent_at;
        let sample = sent_at.map(|sent_at| Sample::new(now.since_ms(sent_at), load));
        if let Some(assignment) = &mut self.assignment {
            let mut balancer = self.gateway.balancer.borrow_mut();
            let belief = match sample {
                Some(sample) => balancer.observe(now, assignment, sample),
                None => {
                    balancer.finish_prefill(assignment);
                    None
                }
            };
            if let Some(belief) = belief {
                self.gateway.metrics.count_belief(belief);
            }
        }
        if let Some(lease) = &self.lease {
            lease.finish_prefill(&self.gateway, sample);
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
        if let Some(lease) = self.lease.take() {
            lease.complete(&self.gateway, failed);
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
        let hosts = self.gateway.overview().group.size();
        self.gateway
            .budget
            .borrow_mut()
            .try_take(now, &self.service, hosts)
    }

    /// Waits until a server can take the request, and takes a slot there.
    pub(super) async fn assign(&self, is_resumed: bool) -> Result<Slot, Error> {
        let mut has_waited = false;
        loop {
            if quarantines::find(&self.gateway, &self.content).is_some() {
                return Err(self.quarantined());
            }
            if self.is_given_up() {
                return Err(self.left_behind());
            }
            match self.assign_once().await {
                Ok(slot) => return Ok(slot),
                Err(balance::Error::Full)
                    if self.gateway.now().after_ms(EXPECTED_RUN_MS) < self.deadline =>
                {
                    tokio::time::sleep(Duration::from_millis(FULL_RETRY_MS)).await;
                }
                Err(balance::Error::Paused(wait_ms)) if self.may_await(wait_ms, is_resumed) => {
                    if !std::mem::replace(&mut has_waited, true) {
                        pauses::count(&self.gateway, &self.service, "waited");
                        self.gateway.log.write(&Event::AwaitsPause {
                            request: &self.id,
                            service: &self.service,
                            left_ms: wait_ms,
                        });
                    }
                    // A server that starts meanwhile isn't paused.
                    let step_ms = wait_ms.clamp(1, FULL_RETRY_MS);
                    tokio::time::sleep(Duration::from_millis(step_ms)).await;
                }
                // More requests than the servers take wait for the next one, and few can get it.
                Err(error) => {
                    match error {
                        balance::Error::Limited(wait_ms) => self.retry_after_ms.set(wait_ms),
                        balance::Error::Paused(wait_ms) => {
                            pauses::count(&self.gateway, &self.service, "refused");
                            self.retry_after_ms.set(Some(wait_ms));
                        }
                        balance::Error::NoServer | balance::Error::Full => {}
                    }
                    self.is_exhausted.set(true);
                    return Err(Error {
                        outcome: Outcome::NotSent,
                        reason: error.to_string(),
                        server: None,
                        progress: Progress::None,
                    });
                }
            }
        }
    }

    /// Returns whether the request may wait for a pause that ends in `wait_ms`: if it can meet the objective of its
    /// route after that. The caller of a stream that is resumed has waited already, and waits until its deadline.
    fn may_await(&self, wait_ms: u64, is_resumed: bool) -> bool {
        let gateway = &self.gateway;
        let objective = self.arrived.after_ms(self.route.objective_ms);
        let limit = if is_resumed {
            self.deadline
        } else {
            objective.min(self.deadline)
        };
        let durations = gateway.durations.borrow();
        let run_ms = durations.mean_ms(&self.service, EXPECTED_RUN_MS);
        gateway.now().after_ms(wait_ms + run_ms) <= limit
    }

    /// Returns the time until a server of a service may get a request, in milliseconds, if all that the request may
    /// use asked for a pause.
    pub(super) fn pause_ms(&self, service: &str) -> Option<u64> {
        let servers = self.gateway.servers.borrow();
        let usable = servers.usable(service);
        let allowed = usable.filter(|server| self.is_allowed(&server.entry.data_centre));
        match pauses::wait_of_all(&self.gateway, allowed)? {
            Wait::Paused(ms) => Some(ms),
            Wait::Trial => None,
        }
    }

    /// Fails if all servers of a selection that may get the request asked for a pause, so that no dispatcher is asked.
    fn check_paused(&self, selection: &Selection) -> Result<(), balance::Error> {
        let tried = self.tried.borrow();
        let servers = self.gateway.servers.borrow();
        let usable = servers.usable(&self.service);
        let untried = usable.filter(|server| {
            self.is_allowed(&server.entry.data_centre)
                && selection.admits(&server.entry)
                && !tried.contains(&server.entry.id)
        });
        match pauses::wait_of_all(&self.gateway, untried) {
            None => Ok(()),
            Some(Wait::Paused(ms)) => Err(balance::Error::Paused(ms)),
            Some(Wait::Trial) => Err(balance::Error::Full),
        }
    }

    /// Takes a slot at a server of the first versions that have one. The reason of those that are used by
    /// most requests is returned if none has.
    async fn assign_once(&self) -> Result<Slot, balance::Error> {
        let is_repeated = !self.tried.borrow().is_empty();
        let mut result = Err(balance::Error::NoServer);
        for selection in rollouts::selections(&self.gateway, &self.service, is_repeated) {
            let assigned = if self.uses_dispatchers() {
                self.ask_dispatchers(&selection).await
            } else {
                self.place(&selection)
            };
            match (assigned, &result) {
                (Ok(slot), _) => return Ok(slot),
                // Full servers are worth a wait, whatever the others are.
                (Err(_), Err(balance::Error::Full)) => {}
                (Err(balance::Error::NoServer), Err(_)) => {}
                (Err(error), _) => result = Err(error),
            }
        }
        result
    }

    /// Returns the failure of an attempt at a request that was quarantined while it waited for a server.
    pub(super) fn quarantined(&self) -> Error {
        self.is_exhausted.set(true);
        Error {
            outcome: Outcome::NotSent,
            reason: QUARANTINED.to_string(),
            server: None,
            progress: Progress::None,
        }
    }

    /// Returns whether dispatchers assign the request: where there are many hosts, those of prompts.
    fn uses_dispatchers(&self) -> bool {
        !self.prompt.is_empty() && self.gateway.overview().has_dispatchers
    }

    /// Returns the registration of a server if the request may be sent to it, by what this host knows at this
    /// moment.
    pub(super) fn usable_entry(&self, server: &Name) -> Option<Entry> {
        let entry = self.gateway.usable_entry(server)?;
        let is_allowed = entry.service == self.service && self.is_allowed(&entry.data_centre);
        is_allowed.then_some(entry)
    }

    /// Returns whether any server may get the request that hasn't failed it.
    fn has_untried_server(&self, selection: &Selection) -> bool {
        let tried = self.tried.borrow();
        let servers = self.gateway.servers.borrow();
        let mut usable = servers.usable(&self.service);
        usable.any(|server| {
            self.is_allowed(&server.entry.data_centre)
                && selection.admits(&server.entry)
                && !tried.contains(&server.entry.id)
        })
    }

    /// Has a dispatcher assign a server, that of the preferred region first. This host assigns one
    /// from its own share if no dispatcher of that region answers.
    async fn ask_dispatchers(&self, selection: &Selection) -> Result<Slot, balance::Error> {
        let gateway = &self.gateway;
        if !self.has_untried_server(selection) {
            return Err(balance::Error::NoServer);
        }
        self.check_paused(selection)?;
        let preferred = self.region.borrow().clone();
        let mut regions: Vec<Name> = gateway.overview().dispatchers.keys().cloned().collect();
        regions.sort_by_key(|region| *region != preferred);
        let mut has_server = false;
        let mut limited = None;
        for region in regions.iter().filter(|region| self.allows_region(region)) {
            match self.ask_region(region, selection).await {
                Answer::Granted(grant, lease) => return Ok(self.accept(grant, lease)),
                Answer::Full => has_server = true,
                Answer::Limited(wait_ms) => limited = Some(wait_ms),
                Answer::Silent if *region == preferred => match self.place(selection) {
                    Ok(slot) => return Ok(slot),
                    Err(balance::Error::Limited(wait_ms)) => limited = Some(wait_ms),
                    Err(error) => has_server |= error == balance::Error::Full,
                },
                Answer::Silent => {}
            }
        }
        Err(match limited {
            _ if has_server => balance::Error::Full,
            Some(wait_ms) => balance::Error::Limited(wait_ms),
            None => balance::Error::NoServer,
        })
    }

    /// Asks the dispatchers of a region until one grants a server to which the request may be sent. They
    /// count as silent if they only grant servers that this host knows to be leaving, gone or paused: the store may
    /// not answer them, and pauses are known to this host alone.
    async fn ask_region(&self, region: &Name, selection: &Selection) -> Answer {
        let gateway = &self.gateway;
        let mut declined = Vec::new();
        while declined.len() < MAX_DECLINED {
            let ask = Ask {
                service: self.service.clone(),
                prompt: self.prompt.clone(),
                excluded: self.excluded(&declined),
                remaining_ms: self.deadline.since_ms(gateway.now()),
                constraint: selection.constraint(),
            };
            let (grant, lease) = match datagrams::ask(gateway, region, &ask).await {
                Answer::Granted(grant, lease) => (grant, lease),
                answer => return answer,
            };
            let entry = self.usable_entry(&grant.server);
            if entry.is_some_and(|entry| pauses::wait(gateway, &entry).is_none()) {
                return Answer::Granted(grant, lease);
            }
            lease.complete(gateway, false);
            gateway.metrics.declined_grants.add(1, &[]);
            gateway.log.write(&Event::Declined {
                request: &self.id,
                server: &grant.server,
                dispatcher: &lease.dispatcher,
                is_known: gateway.servers.borrow().get(&grant.server).is_some(),
            });
            declined.push(grant.server);
        }
        Answer::Silent
    }

    /// Returns the servers that a dispatcher must not grant, those that matter most first.
    fn excluded(&self, declined: &[Name]) -> Vec<Name> {
        let gateway = &self.gateway;
        let max_running = self.max_connections(gateway.overview().group.size());
        let max_running = u32::try_from(max_running).unwrap_or(u32::MAX);
        let mut excluded = declined.to_vec();
        excluded.extend(self.tried.borrow().iter().cloned());
        let paused = |server: &&Server| pauses::wait(gateway, &server.entry).is_some();
        if !gateway.pauses.borrow().is_empty() {
            let servers = gateway.servers.borrow();
            let servers = servers.usable(&self.service).filter(paused);
            excluded.extend(servers.map(|server| server.entry.id.clone()));
        }
        excluded.extend(gateway.balancer.borrow().at_limit(max_running));
        let servers = gateway.servers.borrow();
        let unusable = servers.unusable(&self.service);
        excluded.extend(unusable.map(|server| server.entry.id.clone()));
        excluded.truncate(MAX_EXCLUDED);
        excluded
    }

    /// Takes the slot that a dispatcher granted.
    fn accept(&self, grant: Grant, lease: Lease) -> Slot {
        let gateway = &self.gateway;
        let assignment = gateway.balancer.borrow_mut().accept(
            &grant.server,
            grant.tokens,
            grant.source, //
        );
        let dispatcher = Some(&lease.dispatcher);
        self.log_placed(&assignment, dispatcher, grant.estimate.as_ref());
        datagrams::record_placement(gateway, &assignment.server, &self.prompt);
        self.slot(assignment, Some(lease))
    }

    /// Assigns a server from this host's own share of the limits.
    fn place(&self, selection: &Selection) -> Result<Slot, balance::Error> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let overview = gateway.overview();
        let service = self.config.services.get(&self.service);
        let mut cold_per_s = service.map_or(0.0, |service| service.cold_requests_per_s);
        cold_per_s *= gateway.options.borrow().bounds.cold_factor;
        if overview.has_dispatchers {
            cold_per_s *= dispatch::DIVIDED_PERCENT as f64 / 100.0;
        }
        let is_engine = service.is_some_and(|service| matches!(service.role, Role::Engine(_)));
        let is_dispatched = overview.has_dispatchers && is_engine;
        let max_running = self.max_connections(overview.group.size());
        let tried = self.tried.borrow();
        let request = balance::Request {
            service: &self.service,
            prompt: &self.prompt,
            tried: &tried,
            cold_requests_per_s: cold_per_s,
            group: &overview.group,
            max_running: u32::try_from(max_running).unwrap_or(u32::MAX),
            local_hosts: overview.local_hosts,
            named_share: &|server| limits::share(gateway, server, &overview.group, is_dispatched),
            pause: &|server| pauses::wait(gateway, &server.entry),
        };
        if let Some(config) = gateway.config() {
            let placement = gateway.options.borrow().features.placement;
            gateway.balancer.borrow_mut().configure(&config, placement);
        }
        let assignment = gateway.balancer.borrow_mut().place(
            now,
            &gateway.servers.borrow(),
            &request,
            &|server| self.is_allowed(&server.entry.data_centre) && selection.admits(&server.entry),
            &|server| gateway.region_of(&server.entry.data_centre) == *self.region.borrow(),
        )?;
        self.log_placed(&assignment, None, assignment.estimate());
        datagrams::record_placement(gateway, &assignment.server, &self.prompt);
        Ok(self.slot(assignment, None))
    }

    fn slot(&self, assignment: Assignment, lease: Option<Lease>) -> Slot {
        let gateway = &self.gateway;
        let source = assignment.source.as_ref();
        Slot {
            _hold: Hold::new(gateway, &assignment.server),
            source_hold: source.and_then(|source| Hold::new(gateway, source)),
            gateway: gateway.clone(),
            assignment: Some(assignment),
            lease,
            sent_at: None,
        }
    }

    fn log_placed(
        &self,
        assignment: &Assignment,
        dispatcher: Option<&Name>,
        estimate: Option<&Estimate>,
    ) {
        let gateway = &self.gateway;
        let now = gateway.now();
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
            dispatcher,
            source: assignment.source.as_ref(),
            estimate,
        });
    }
}
