//! What was promised and what was seen: each broken promise is counted and told.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use teaselchute::{
    core::{
        call::{
            Call,
            Incarnation,
            Request, //
        },
        decision,
        document::Kind,
        log::Offset,
        replica::Answer,
        state::{
            Position,
            Record,
            Target,
            Verdict, //
        },
    },
    names::Name,
    time::Instant,
};

use super::{
    World,
    callers::{
        Asked,
        Word, //
    },
    document,
    faults::Proposal, //
};
use crate::driver::{
    Process,
    server::Running, //
};

/// Time after which a data centre that was taken out receives no new work, in milliseconds.
pub const DRAIN_MS: u64 = 5_000;

/// What was promised and what was seen.
#[derive(Default)]
pub struct Checks {
    /// Broken promises by name.
    pub broken: BTreeMap<&'static str, u64>,
    /// The first broken promises, for a person to read.
    pub texts: Vec<String>,
    /// Calls beyond what a cold server carries, by senders that could not know.
    pub before_evidence: u64,
    /// Most calls at once on a cold server beyond what it carries.
    pub peak_over_limit: u64,
    /// Operators' proposals.
    pub proposals: Vec<Proposal>,
    executed: BTreeMap<Request, u32>,
    /// When evidence of a server's life reaches a host: host, server, life.
    evidence: BTreeMap<(Process, usize), (Incarnation, Instant)>,
    drained_since: BTreeMap<Target, Instant>,
    drain_orders: BTreeSet<Name>,
    last_position: BTreeMap<Process, Position>,
    was_serving: BTreeSet<Process>,
    accepted: Position,
    accepted_at_start: BTreeMap<Process, Position>,
    now: Instant,
}

impl Checks {
    /// Counts a broken promise.
    pub fn broken(&mut self, promise: &'static str, text: &str) {
        *self.broken.entry(promise).or_default() += 1;
        if self.texts.len() < 20 {
            let at_ms = self.now.as_ms();
            self.texts.push(format!("{at_ms} ms {promise}: {text}"));
        }
    }

    /// Returns how often a promise was broken.
    pub fn count(&self, promise: &str) -> u64 {
        self.broken.get(promise).copied().unwrap_or(0)
    }

    /// Counts a run of a request that may not run twice.
    pub fn executed(&mut self, request: &Request) {
        let count = self.executed.entry(request.clone()).or_default();
        *count += 1;
        if *count > 1 {
            let text = format!("{} ran {count} times", request.id);
            self.broken("doubled", &text);
        }
    }

    /// Returns whether a request ran.
    pub fn ran(&self, request: &Request) -> bool {
        self.executed.contains_key(request)
    }

    /// Notes that a message which tells a server's life reaches a host at an instant.
    pub fn tells(&mut self, host: Process, server: usize, incarnation: Incarnation, at: Instant) {
        let known = self
            .evidence
            .entry((host, server))
            .or_insert((incarnation, at));
        if incarnation > known.0 {
            *known = (incarnation, at);
        } else if incarnation == known.0 {
            known.1 = known.1.min(at);
        }
    }

    /// Returns whether evidence of this life of a server has reached a host.
    pub fn knows(&self, host: Process, server: usize, incarnation: Incarnation) -> bool {
        let known = self.evidence.get(&(host, server));
        known.is_some_and(|(known, at)| *known == incarnation && *at <= self.now)
    }

    /// Notes that a server turned cold, which nobody knows yet.
    pub fn turned_cold(&mut self, server: usize) {
        self.evidence.retain(|(_, known), _| *known != server);
    }

    /// Notes that a host began a new life, which knows nothing.
    pub fn host_started(&mut self, host: Process) {
        self.evidence.retain(|(known, _), _| *known != host);
        self.last_position.remove(&host);
        self.was_serving.remove(&host);
        self.accepted_at_start.insert(host, self.accepted);
    }

    /// Notes that an operator heard that a change at this position was accepted.
    pub fn accepted(&mut self, position: Position) {
        self.accepted = self.accepted.max(position);
    }
}

impl World {
    /// Checks what holds of a node after each step.
    pub(super) fn check_node(&mut self, process: Process) {
        self.checks.now = self.driver.now();
        let Some(node) = &self.nodes[process] else {
            return;
        };
        let view = node.view();
        let before = self.checks.last_position.insert(process, view.position);
        if before.is_some_and(|before| view.position < before) {
            let text = format!("host {process} went from {before:?} to {:?}", view.position);
            self.checks.broken("reverted", &text);
        }
        if view.serving && self.checks.was_serving.insert(process) {
            let needed = self.checks.accepted_at_start[&process];
            if view.position < needed {
                let text = format!("host {process} serves at {:?} < {needed:?}", view.position);
                self.checks.broken("reverted", &text);
            }
        }
    }

    pub(super) fn record_appended(&mut self, _offset: Offset, record: &Record) {
        self.checks.now = self.driver.now();
        let Record::Drain {
            id,
            target,
            drained: out,
        } = record
        else {
            return;
        };
        // The same order may land twice, where the answer to its append was lost.
        if !self.checks.drain_orders.insert(id.clone()) {
            return;
        }
        if *out {
            let now = self.driver.now();
            self.checks
                .drained_since
                .entry(target.clone())
                .or_insert(now);
        } else {
            self.checks.drained_since.remove(target);
        }
    }

    /// Checks a call as its host sends it.
    pub(super) fn check_send(&mut self, host: Process, server: usize, call: &Call) {
        self.checks.now = self.driver.now();
        let name = document::data_centre_name(self.place_of_server(server));
        let shape = &self.servers[server].shape;
        let targets = [
            Target::DataCentre(name),
            Target::BackendServer(shape.pool.clone(), shape.name.clone()),
        ];
        for target in targets {
            let Some(since) = self.checks.drained_since.get(&target) else {
                continue;
            };
            let age_ms = self.driver.now().since_ms(*since);
            if age_ms > DRAIN_MS {
                let id = &call.request.id;
                let text = format!("host {host} sent {id} to {target:?}, out for {age_ms} ms");
                self.checks.broken("new_work_in_drained_dc", &text);
            }
        }
    }

    /// Checks a call as it reaches its server.
    pub(super) fn check_arrival(&mut self, number: usize, arriving: &Running) {
        let now = self.driver.now();
        let server = &self.servers[number];
        let capacity = u64::from(server.capacity(now));
        if server.cold_since.is_none() || capacity >= u64::from(server.shape.full_limit) {
            return;
        }
        let running = server.running.len() as u64 + 1;
        let knowing = server.running.values().filter(|it| it.knew).count() as u64;
        let over = running.saturating_sub(capacity);
        self.checks.peak_over_limit = self.checks.peak_over_limit.max(over);
        if arriving.knew && knowing + 1 > capacity {
            let holders: Vec<String> = server
                .running
                .values()
                .map(|it| {
                    format!(
                        "{} of host {} knew={}",
                        it.call.request.id, it.host, it.knew
                    )
                })
                .collect();
            let text = format!(
                "{} carries {capacity}, got {} from host {}, runs {}",
                server.shape.name,
                arriving.call.request.id,
                arriving.host,
                holders.join(", ")
            );
            self.checks.broken("over_capacity", &text);
        } else if over > 0 {
            self.checks.before_evidence += 1;
        }
    }

    /// Checks what holds at the end of a run.
    pub(super) fn check_end(&mut self) {
        self.checks.now = self.driver.now();
        self.check_words();
        self.check_states();
        self.check_models();
    }

    /// Each data centre that isn't taken out holds enough replicas of the model at the end.
    fn check_models(&mut self) {
        if !self.plan.document.has_model {
            return;
        }
        for place in self.plan.document.places() {
            let name = document::data_centre_name(place);
            let target = Target::DataCentre(name.clone());
            if self.checks.drained_since.contains_key(&target) {
                continue;
            }
            let holding = (0..self.servers.len())
                .filter(|number| self.place_of_server(*number) == place)
                .filter(|number| self.servers[*number].holds(document::MODEL))
                .count();
            if holding < document::LEAST_REPLICAS as usize {
                let text = format!("{name} holds {holding} replicas at the end");
                self.checks.broken("without_model", &text);
            }
        }
    }

    fn check_words(&mut self) {
        for asked in std::mem::take(&mut self.callers.asked) {
            let id = &asked.request.id;
            match &asked.word {
                None => self.checks.broken("lost", &format!("{id} has no word")),
                Some(Word::NotRun(refusal)) if asked.order && self.checks.ran(&asked.request) => {
                    let text = format!("{id} ran, but its caller was told {refusal:?}");
                    self.checks.broken("false_not_run", &text);
                }
                Some(_) => {}
            }
            self.callers.asked.push(asked);
        }
    }

    /// All hosts hold the same state at the end, and operators were told the truth.
    fn check_states(&mut self) {
        let up = self.up();
        let mut states = up.iter().filter_map(|process| {
            let node = self.nodes[*process].as_ref()?;
            Some(node.with_control(|control| {
                let replica = control.replica();
                (*process, replica.position(), replica.state().clone())
            }))
        });
        let Some((_, position, state)) = states.next() else {
            return;
        };
        let others: Vec<_> = states.collect();
        for (process, other_position, other) in others {
            if other_position != position || other != state {
                let text = format!("host {process} at {other_position:?}, another at {position:?}");
                self.checks.broken("diverged", &text);
            }
        }
        let mut bases = BTreeSet::new();
        for proposal in self.checks.proposals.clone() {
            let Some(Answer::Verdict(told)) = &proposal.answer else {
                continue;
            };
            let Some(known) = state.verdicts.get(&proposal.id) else {
                continue;
            };
            let (told, known) = (is_accepted(told), is_accepted(known));
            let is_second = told && proposal.based_on.is_some_and(|base| !bases.insert(base));
            if is_second {
                let text = format!("{} is accepted on a base that another took", proposal.id);
                self.checks.broken("false_accept", &text);
            }
            if told != known {
                let text = format!("{} was told {told}, is {known}", proposal.id);
                let promise = if told {
                    "false_accept"
                } else {
                    "false_refusal"
                };
                self.checks.broken(promise, &text);
            }
        }
    }
}

fn is_accepted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted(_))
}

/// Returns the only right answer to a request.
pub fn expected_answer(shape: &document::Shape, asked: &Asked) -> String {
    let mut answer = asked.request.id.to_string();
    if asked.subject.as_str() != document::PIPELINE {
        return answer + "|orders";
    }
    for pool in &shape.pools {
        if pool.kind != Kind::Service {
            answer.push('|');
            answer.push_str(pool.name);
        }
    }
    answer
}

/// Returns the name of a kind of decision.
pub fn kind_name(kind: decision::Kind) -> &'static str {
    match kind {
        decision::Kind::Admission => "admission",
        decision::Kind::Route => "route",
        decision::Kind::Retry => "retry",
        decision::Kind::Outcome => "outcome",
        decision::Kind::Placement => "placement",
        decision::Kind::Order => "order",
        decision::Kind::Limit => "limit",
        decision::Kind::Configuration => "configuration",
        decision::Kind::Membership => "membership",
    }
}
