//! The choice of a server for one call, with what was compared.
//!
//! What a candidate costs is [`choice::score`]; the policies of the baselines are here too.

use rand::Rng;

use super::{
    super::{
        choice,
        policy::Policy,
        server::Server,
        words::value, //
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
    /// Chooses a server for a call, and returns the candidates that were compared.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        view: &View,
        call: &Call,
    ) -> (Option<usize>, Vec<Candidate>) {
        if self.policy != Policy::Teaselchute {
            return self.choose_baseline(now, view, call);
        }
        let context = choice::Context {
            now,
            bounds: self.bounds,
            typical_ms: choice::typical_or_guess(self.all_times.half_ms(now)),
            price_milli: self.document.as_ref().map_or(0, |pool| pool.price_milli),
            bytes: sent_bytes(call),
        };
        let mut candidates = Vec::with_capacity(choice::SAMPLES + 2);
        let mut best: Option<(u64, usize, usize)> = None;
        let mut seen = [usize::MAX; choice::LOOKS];
        let mut looks = 0;
        let cached = self.affinity.servers(call.prefix).len().min(4);
        let source = self.source_len(call);
        let offset = self.rng.random_range(0..source.max(1));
        let tries = cached + source.min(choice::LOOKS);
        for attempt in 0..tries {
            if candidates.len() >= choice::SAMPLES || looks == choice::LOOKS {
                break;
            }
            let (index, hit) = if attempt < cached {
                let index = self.affinity.servers(call.prefix)[attempt] as usize;
                (index, call.prefix != 0)
            } else if source <= choice::LOOKS {
                (self.source(call, (offset + attempt) % source), false)
            } else {
                let position = self.rng.random_range(0..source);
                (self.source(call, position), false)
            };
            if seen[..looks].contains(&index) {
                continue;
            }
            seen[looks] = index;
            looks += 1;
            let server = &self.servers[index];
            if server.open_at.is_none() || !server.has_room(now, &self.bounds) {
                continue;
            }
            let mut candidate = Candidate {
                name: server.name.clone(),
                values: Vec::new(),
                passed_over: None,
            };
            candidate.passed_over = self.unfit(now, view, call, server);
            if candidate.passed_over.is_none() {
                let score = choice::score(&context, server, hit);
                candidate.values = vec![
                    value(&self.words.score, score),
                    value(&self.words.allowed, u64::from(server.allowed(&self.bounds))),
                    value(&self.words.used, u64::from(server.used())),
                    value(
                        &self.words.limit,
                        u64::from(server.limit.slots(&self.bounds)),
                    ),
                    value(&self.words.estimated, u64::from(server.estimated(now))),
                    value(&self.words.cached, u64::from(hit)),
                ];
                if best.is_none_or(|(least, _, _)| score < least) {
                    best = Some((score, index, candidates.len()));
                }
            }
            candidates.push(candidate);
        }
        let chosen = best.map(|(_, index, position)| {
            for (at, candidate) in candidates.iter_mut().enumerate() {
                if at != position && candidate.passed_over.is_none() {
                    candidate.passed_over = Some(self.words.higher_score.clone());
                }
            }
            index
        });
        (chosen, candidates)
    }

    /// Returns why a server can't take a call, or nothing where it can.
    fn unfit(&self, now: Instant, view: &View, call: &Call, server: &Server) -> Option<Name> {
        if call.avoid.contains(&server.name) {
            return Some(self.words.avoided.clone());
        }
        if view.is_drained(&self.name, &server.name, &server.data_centre) {
            return Some(self.words.drained.clone());
        }
        if !may_start(now, view, server) {
            return Some(self.words.stale_news.clone());
        }
        let loaded = match (&call.model, &server.models) {
            (Some(model), Some(models)) => models.contains(model),
            // With no news of models in the pool, all its servers are taken as able.
            (Some(_), None) => self.models.is_empty(),
            (None, _) => true,
        };
        (!loaded).then(|| self.words.no_model.clone())
    }

    /// Returns the number of servers among which candidates are sampled.
    fn source_len(&self, call: &Call) -> usize {
        match self.with_model(call) {
            Some(servers) => servers.len(),
            None => self.open.len(),
        }
    }

    fn source(&self, call: &Call, position: usize) -> usize {
        match self.with_model(call) {
            Some(servers) => servers[position],
            None => self.open[position],
        }
    }

    fn with_model(&self, call: &Call) -> Option<&Vec<usize>> {
        self.models.get(call.model.as_ref()?)
    }

    fn choose_baseline(
        &mut self,
        now: Instant,
        view: &View,
        call: &Call,
    ) -> (Option<usize>, Vec<Candidate>) {
        let fits = |pool: &Self, index: usize| {
            let server = &pool.servers[index];
            server.open_at.is_some() && pool.unfit(now, view, call, server).is_none()
        };
        let open: Vec<usize> = (0..self.servers.len())
            .filter(|&index| fits(self, index))
            .collect();
        if open.is_empty() {
            return (None, Vec::new());
        }
        let load = |index: &usize| self.servers[*index].in_flight;
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                open[self.turn % open.len()]
            }
            Policy::LeastOutstanding => *open.iter().min_by_key(|index| load(index)).expect("some"),
            Policy::TwoChoices => {
                let one = open[self.rng.random_range(0..open.len())];
                let two = open[self.rng.random_range(0..open.len())];
                if load(&two) < load(&one) { two } else { one }
            }
            Policy::Random | Policy::Teaselchute => open[self.rng.random_range(0..open.len())],
        };
        (Some(chosen), Vec::new())
    }
}

/// Returns whether this host's news is fresh enough for new work in a server's data centre.
fn may_start(now: Instant, view: &View, server: &Server) -> bool {
    match freshness::allowed_scope(view, now) {
        Scope::All => true,
        Scope::OwnRegion => {
            let data_centre = view.document.data_centres.get(&server.data_centre);
            data_centre.is_some_and(|it| it.region == view.own.region)
        }
        Scope::Nothing => false,
    }
}
