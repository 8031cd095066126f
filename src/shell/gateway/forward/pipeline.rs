//! Runs the pipeline stages of one request before the request itself.

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
    EXPECTED_RUN_MS, Exchange,
    reply::{
        DEFAULT_RETRY_AFTER_S,
        Refusal,
        header_text, //
    },
};

/// Divisor of the remaining time that gives the retry delay of a request refused during a burst.
/// Callers wait for a third of their remaining time at most.
pub(super) const RETRY_AFTER_DIVISOR: f64 = 3.2;

/// Size of results from which a request prefers the region that stores them, in bytes. The
/// request's own bytes then cross regions, and each costs about as much as a hundred bytes of
/// results.
pub(super) const LARGE_RESULT_BYTES: u64 = 2_000_000;

impl Exchange {
    /// Runs the request's stages, each as soon as its dependencies have finished.
    pub(super) async fn run_stages(&self) -> Result<(), Refusal> {
        if self.route.stages.is_empty() {
            return Ok(());
        }
        let names = self.gateway.adapter.headers();
        let counts = header_text(&self.headers, &names.pieces);
        if counts.is_empty() {
            return Ok(());
        }
        let counts: Vec<usize> = counts
            .split(',')
            .map_while(|count| count.trim().parse().ok())
            .collect();
        let key: Name = header_text(&self.headers, &names.piece_key).into();
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
                    self.gateway.durations.borrow_mut().record(&service, ms);
                    (stage, result)
                });
            }
            let Some((stage, result)) = running.next().await else {
                break;
            };
            let output = result.map_err(|failure| self.refuse_stage(stage, failure))?;
            plan.finish(stage, output.results.clone());
            self.results.push(stage, output);
            self.results.free_where(|stage| plan.is_consumed(stage));
        }
        self.stages_ms.set(self.elapsed_ms());
        self.prefer_result_region();
        *self.inputs.borrow_mut() = plan.request_inputs();
        Ok(())
    }

    /// Returns the refusal for a request with a failed stage. A burst lasts for seconds, so a
    /// caller that is refused for lateness is asked to retry as late as leaves time for the
    /// request.
    pub(super) fn refuse_stage(&self, stage: usize, failure: Failure) -> Refusal {
        let remaining_ms = self.deadline.since_ms(self.gateway.now());
        let mut refusal = Refusal::not_run(format!("stage {stage}: {}", failure_text(failure)));
        if failure == Failure::Late {
            let seconds = remaining_ms as f64 / 1_000.0 / RETRY_AFTER_DIVISOR;
            refusal.retry_after_s = Some(seconds.max(DEFAULT_RETRY_AFTER_S));
        }
        if let Some(ms) = self.pause_ms(&self.route.stages[stage].service) {
            refusal.retry_after_s = Some(ms as f64 / 1_000.0);
        }
        refusal
    }

    /// Prefers the region that stores most bytes of the stage results, if these are large.
    pub(super) fn prefer_result_region(&self) {
        let mut bytes: std::collections::BTreeMap<Name, u64> = std::collections::BTreeMap::new();
        for (stage, output) in &*self.results.outputs.borrow() {
            for result in &output.results {
                if let Some(data_centre) = stages::result_data_centre(&self.gateway, result) {
                    let region = self.gateway.region_of(&data_centre);
                    *bytes.entry(region).or_default() += self.route.stages[*stage].result_bytes;
                }
            }
        }
        let largest = bytes.into_iter().max_by_key(|&(_, bytes)| bytes);
        if let Some((region, bytes)) = largest
            && bytes >= LARGE_RESULT_BYTES
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
        let dependencies = self.route.stages[stage].dependencies.iter();
        let bytes = dependencies.map(|&dependency| {
            let pieces = counts.get(dependency).copied().unwrap_or(0) as u64;
            self.route.stages[dependency].result_bytes * pieces
        });
        let input_bytes: u64 = bytes.sum();
        let remaining_ms = {
            let durations = self.gateway.durations.borrow();
            durations.remaining_ms(&self.route.stages, stage, &self.config)
                + durations.mean_ms(&self.service, EXPECTED_RUN_MS)
        };
        let retention_ms = |&dependency: &usize| {
            let service = self
                .config
                .services
                .get(&self.route.stages[dependency].service)?;
            match service.role {
                Role::Stages(stages) => Some(stages.retention_ms),
                Role::Plain | Role::Engine(_) => None,
            }
        };
        let retentions_ms = self.route.stages[stage]
            .dependencies
            .iter()
            .filter_map(retention_ms);
        let deadline = match (input, retentions_ms.min()) {
            (plan::Input::Results(_), Some(retention_ms)) => plan::piece_deadline(
                self.gateway.now(),
                self.deadline,
                retention_ms,
                remaining_ms,
            ),
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
            remaining_ms,
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
