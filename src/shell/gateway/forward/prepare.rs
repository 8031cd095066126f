//! The stages of one request.

use futures_util::stream::{
    FuturesUnordered,
    StreamExt, //
};
use http::StatusCode;

use crate::{
    core::gateway::{
        batch::Piece,
        config::Role,
        plan::{
            self,
            Plan, //
        },
    },
    edges::gateway::Failure,
    names::Name,
    shell::gateway::stages,
};

use super::{
    Flight, RUN_MS,
    reply::{
        RETRY_AFTER_S,
        Refusal,
        text, //
    },
};

/// Part of the time left after which a caller comes back that was refused for a burst, as a divisor.
/// Callers wait for a third of what they have left at most.
pub(super) const WAIT_DIVISOR: f64 = 3.2;

/// Size of results from which a request runs where they lie, in bytes. The request's own bytes, which
/// then cross regions, cost about as much as a hundred times as many bytes of results.
pub(super) const HEAVY_BYTES: u64 = 2_000_000;

impl Flight {
    /// Runs the request's stages, each as soon as what it needs is done.
    pub(super) async fn run_stages(&self) -> Result<(), Refusal> {
        if self.route.stages.is_empty() {
            return Ok(());
        }
        let names = self.gateway.adapter.headers();
        let counts = text(&self.headers, &names.pieces);
        if counts.is_empty() {
            return Ok(());
        }
        let counts: Vec<usize> = counts
            .split(',')
            .map_while(|count| count.trim().parse().ok())
            .collect();
        let key: Name = text(&self.headers, &names.piece_key).into();
        let plan = Plan::new(&self.route.stages, &counts, key);
        let mut plan =
            plan.map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))?;
        let mut running = FuturesUnordered::new();
        loop {
            for (stage, count, input) in plan.take_ready() {
                let pieces = self.pieces(stage, count, &counts, &input);
                let service = self.route.stages[stage].service.clone();
                running.push(async move {
                    let start = self.gateway.now();
                    let result = stages::run(&self.gateway, &service, pieces).await;
                    let ms = self.gateway.now().since_ms(start);
                    self.gateway.times.borrow_mut().record(&service, ms);
                    (stage, result)
                });
            }
            let Some((stage, result)) = running.next().await else {
                break;
            };
            let made = result.map_err(|failure| self.refuse_stage(stage, failure))?;
            plan.finish(stage, made.results.clone());
            self.results.made.borrow_mut().push((stage, made));
            self.results.free_where(|stage| plan.is_consumed(stage));
        }
        self.stages_ms.set(self.ms());
        self.follow_results();
        *self.inputs.borrow_mut() = plan.request_inputs();
        Ok(())
    }

    /// Refuses a request whose stages can't be run. A burst lasts for seconds, so the caller is asked
    /// to come back as late as leaves time for the request.
    pub(super) fn refuse_stage(&self, stage: usize, failure: Failure) -> Refusal {
        let left_ms = self.deadline.since_ms(self.gateway.now());
        let mut refusal = Refusal::not_run(format!("stage {stage}: {}", failure_text(failure)));
        if failure == Failure::Late {
            let seconds = left_ms as f64 / 1_000.0 / WAIT_DIVISOR;
            refusal.retry_after_s = Some(seconds.max(RETRY_AFTER_S));
        }
        refusal
    }

    /// Runs the request in the region that holds most of its results, where they are large.
    pub(super) fn follow_results(&self) {
        let mut bytes: std::collections::BTreeMap<Name, u64> = std::collections::BTreeMap::new();
        for (stage, made) in &*self.results.made.borrow() {
            for result in &made.results {
                if let Some(place) = stages::result_data_centre(&self.gateway, result) {
                    let region = self.gateway.region_of(&place);
                    *bytes.entry(region).or_default() += self.route.stages[*stage].result_bytes;
                }
            }
        }
        let most = bytes.into_iter().max_by_key(|&(_, bytes)| bytes);
        if let Some((region, bytes)) = most
            && bytes >= HEAVY_BYTES
        {
            *self.region.borrow_mut() = region;
        }
    }

    pub(super) fn pieces(
        &self,
        stage: usize,
        count: usize,
        counts: &[usize],
        input: &plan::Input,
    ) -> Vec<Piece> {
        let before = self.route.stages[stage].dependencies.iter();
        let bytes = before.map(|&before| {
            let pieces = counts.get(before).copied().unwrap_or(0) as u64;
            self.route.stages[before].result_bytes * pieces
        });
        let input_bytes: u64 = bytes.sum();
        let after_ms = {
            let times = self.gateway.times.borrow();
            times.remaining_ms(&self.route.stages, stage, &self.config)
                + times.mean_ms(&self.service, RUN_MS)
        };
        let kept_ms = |&before: &usize| {
            let service = self
                .config
                .services
                .get(&self.route.stages[before].service)?;
            match service.role {
                Role::Stages(stages) => Some(stages.retention_ms),
                Role::Plain | Role::Engine => None,
            }
        };
        let keep_ms = self.route.stages[stage]
            .dependencies
            .iter()
            .filter_map(kept_ms);
        let deadline = match (input, keep_ms.min()) {
            (plan::Input::Results(_), Some(keep_ms)) => {
                plan::piece_deadline(self.gateway.now(), self.deadline, keep_ms, after_ms)
            }
            _ => self.deadline,
        };
        let piece = |index| Piece {
            request: self.id.clone(),
            stage,
            index,
            input: input.clone(),
            result_bytes: self.route.stages[stage].result_bytes,
            input_bytes,
            objective: self.arrived.after_ms(self.route.objective_ms),
            deadline,
            priority: self.priority(),
            remaining_ms: after_ms,
        };
        (0..count).map(piece).collect()
    }
}

pub(super) fn failure_text(failure: Failure) -> &'static str {
    match failure {
        Failure::Late => "can't be in time",
        Failure::InputGone => "a result that it needs is gone",
        Failure::NoRoom => "no room for results",
        Failure::Failed => "failed",
    }
}
