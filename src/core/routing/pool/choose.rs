//! Choice of a server for one call, with the candidates that were compared.
//!
//! Candidates are compared by [`scoring::score`]. The baseline policies are here too.

use rand::Rng;

use super::{
    super::{
        labels::value,
        policy::Policy,
        scoring,
        server::Server, //
    },
    Pool,
    dispatch::sent_bytes, //
};
use crate::{
    core::{
        call::Call,
        decision::Candidate,
        replica::freshness::{
            self,
            Scope, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

impl Pool {
    /// Chooses a server for a call, and returns it with the candidates that were compared.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        view: &View,
        call: &Call,
    ) -> (Option<usize>, Vec<Candidate>) {
        if self.policy != Policy::Teaselchute {
            return self.choose_baseline(now, view, call);
        }
        let context = scoring::Context {
            now,
            bounds: self.bounds,
            typical_ms: scoring::typical_or_default_ms(self.call_durations.median_ms(now)),
            price_milli: self.definition.as_ref().map_or(0, |pool| pool.price_milli),
            sent_bytes: sent_bytes(call),
        };
        let mut candidates = Vec::with_capacity(scoring::MAX_CANDIDATES + 2);
        let mut lowest: Option<(u64, usize, usize)> = None;
        let mut probed = [usize::MAX; scoring::MAX_PROBES];
        let mut probe_count = 0;
        let cached_count = self.affinity.servers(call.prefix_hash).len().min(4);
        let population = self.candidate_count(call);
        let offset = self.rng.random_range(0..population.max(1));
        let attempts = cached_count + population.min(scoring::MAX_PROBES);
        for attempt in 0..attempts {
            if candidates.len() >= scoring::MAX_CANDIDATES || probe_count == scoring::MAX_PROBES {
                break;
            }
            let (index, cache_hit) = if attempt < cached_count {
                let index = self.affinity.servers(call.prefix_hash)[attempt] as usize;
                (index, call.prefix_hash != 0)
            } else if population <= scoring::MAX_PROBES {
                (
                    self.candidate_at(call, (offset + attempt) % population),
                    false,
                )
            } else {
                let position = self.rng.random_range(0..population);
                (self.candidate_at(call, position), false)
            };
            if probed[..probe_count].contains(&index) {
                continue;
            }
            probed[probe_count] = index;
            probe_count += 1;
            let server = &self.servers[index];
            if server.open_index.is_none() || !server.has_room(now, &self.bounds) {
                continue;
            }
            let mut candidate = Candidate {
                name: server.name.clone(),
                values: Vec::new(),
                passed_over: None,
            };
            candidate.passed_over = self.exclusion_reason(now, view, call, server);
            if candidate.passed_over.is_none() {
                let score = scoring::score(&context, server, cache_hit);
                candidate.values = vec![
                    value(&self.labels.score, score),
                    value(
                        &self.labels.allowed,
                        u64::from(server.allowed(&self.bounds)),
                    ),
                    value(&self.labels.used, u64::from(server.used())),
                    value(
                        &self.labels.limit,
                        u64::from(server.limit.slots(&self.bounds)),
                    ),
                    value(
                        &self.labels.estimated,
                        u64::from(server.estimated_calls(now)),
                    ),
                    value(&self.labels.cached, u64::from(cache_hit)),
                ];
                if lowest.is_none_or(|(lowest_score, _, _)| score < lowest_score) {
                    lowest = Some((score, index, candidates.len()));
                }
            }
            candidates.push(candidate);
        }
        let chosen = lowest.map(|(_, index, position)| {
            for (other, candidate) in candidates.iter_mut().enumerate() {
                if other != position && candidate.passed_over.is_none() {
                    candidate.passed_over = Some(self.labels.higher_score.clone());
                }
            }
            index
        });
        (chosen, candidates)
    }

    /// Returns the reason why a server can't take a call, `None` if it can.
    fn exclusion_reason(
        &self,
        now: Instant,
        view: &View,
        call: &Call,
        server: &Server,
    ) -> Option<Name> {
        if call.failed_servers.contains(&server.name) {
            return Some(self.labels.failed_before.clone());
        }
        if view.is_drained(&self.name, &server.name, &server.data_centre) {
            return Some(self.labels.drained.clone());
        }
        if !is_fresh_enough(now, view, server) {
            return Some(self.labels.stale_state.clone());
        }
        let is_loaded = match (&call.model, &server.models) {
            (Some(model), Some(models)) => models.contains(model),
            // If no server of the pool has reported its models, any of them may be used.
            (Some(_), None) => self.servers_by_model.is_empty(),
            (None, _) => true,
        };
        (!is_loaded).then(|| self.labels.no_model.clone())
    }

    /// Returns the number of servers that candidates are sampled from.
    fn candidate_count(&self, call: &Call) -> usize {
        match self.servers_with_model(call) {
            Some(servers) => servers.len(),
            None => self.open_servers.len(),
        }
    }

    fn candidate_at(&self, call: &Call, position: usize) -> usize {
        match self.servers_with_model(call) {
            Some(servers) => servers[position],
            None => self.open_servers[position],
        }
    }

    fn servers_with_model(&self, call: &Call) -> Option<&Vec<usize>> {
        self.servers_by_model.get(call.model.as_ref()?)
    }

    fn choose_baseline(
        &mut self,
        now: Instant,
        view: &View,
        call: &Call,
    ) -> (Option<usize>, Vec<Candidate>) {
        let can_take = |pool: &Self, index: usize| {
            let server = &pool.servers[index];
            server.open_index.is_some() && pool.exclusion_reason(now, view, call, server).is_none()
        };
        let usable: Vec<usize> = (0..self.servers.len())
            .filter(|&index| can_take(self, index))
            .collect();
        if usable.is_empty() {
            return (None, Vec::new());
        }
        let load = |index: &usize| self.servers[*index].in_flight;
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.round_robin_turn += 1;
                usable[self.round_robin_turn % usable.len()]
            }
            Policy::LeastOutstanding => *usable
                .iter()
                .min_by_key(|index| load(index))
                .expect("at least one server is usable"),
            Policy::TwoChoices => {
                let first = usable[self.rng.random_range(0..usable.len())];
                let second = usable[self.rng.random_range(0..usable.len())];
                if load(&second) < load(&first) {
                    second
                } else {
                    first
                }
            }
            Policy::Random | Policy::Teaselchute => usable[self.rng.random_range(0..usable.len())],
        };
        (Some(chosen), Vec::new())
    }
}

/// Returns whether this host's state is fresh enough to start work in a server's data centre.
fn is_fresh_enough(now: Instant, view: &View, server: &Server) -> bool {
    match freshness::allowed_scope(view, now) {
        Scope::All => true,
        Scope::OwnRegion => {
            let data_centre = view.document.data_centres.get(&server.data_centre);
            data_centre.is_some_and(|data_centre| data_centre.region == view.own.region)
        }
        Scope::Nothing => false,
    }
}
