//! Requests that wait while the host stops: see [`crate::core::gateway::shutdown`].

use std::time::Duration;

use http::StatusCode;

use super::{
    EXPECTED_RUN_MS,
    Exchange,
    reply::Refusal,
    send::Error, //
};
use crate::{
    core::gateway::{
        retry::Outcome,
        shutdown::Wait, //
    },
    shell::gateway::log,
};

/// Reason of a refusal for a request that can't be finished before the host ends.
const STOPPING: &str = "the host stops";

/// Time after which a caller may go to another host, in milliseconds. Other hosts can take the request at once.
const RETRY_AFTER_MS: u64 = 100;

impl Exchange {
    /// Returns once the host stops and gives up the request, which has no response yet.
    pub(super) async fn given_up(&self) {
        let mut shutdown = self.gateway.shutdown.subscribe();
        if shutdown.wait_for(Option::is_some).await.is_err() {
            return std::future::pending().await;
        }
        while let Some(left_ms) = self.left_ms().filter(|&left_ms| left_ms > 0) {
            tokio::time::sleep(Duration::from_millis(left_ms)).await;
        }
    }

    /// Returns whether the host stops and doesn't start the request any more.
    pub(super) fn is_given_up(&self) -> bool {
        self.gateway.is_ending.get() || self.left_ms() == Some(0)
    }

    /// Returns the time until the request is given up, in milliseconds, if the host stops.
    fn left_ms(&self) -> Option<u64> {
        let schedule = self.gateway.schedule()?;
        let give_up_at = schedule.give_up_at(self.wait());
        Some(give_up_at.since_ms(self.gateway.now()))
    }

    fn wait(&self) -> Wait {
        if self.is_sent.get() {
            return Wait::Answer;
        }
        let gateway = &self.gateway;
        let awaits_stages = self.inputs.borrow().is_empty();
        let stages_ms = if awaits_stages {
            let durations = gateway.durations.borrow();
            durations.all_stages_ms(&self.route.stages, &self.config)
        } else {
            0
        };
        let durations = gateway.answer_durations.borrow();
        Wait::Server {
            stages_ms,
            answer_ms: durations.mean_ms(&self.route.name, EXPECTED_RUN_MS),
        }
    }

    /// Returns the refusal for a request that the host gives up.
    pub(super) fn leave_refusal(&self) -> Refusal {
        if self.may_have_run.get() {
            return Refusal::may_have_run(StatusCode::BAD_GATEWAY, STOPPING);
        }
        self.retry_after_ms.set(Some(RETRY_AFTER_MS));
        self.refusal(STOPPING.to_string())
    }

    /// Returns the failure of an attempt at a request that the host gives up.
    pub(super) fn left_behind(&self) -> Error {
        self.is_exhausted.set(true);
        self.retry_after_ms.set(Some(RETRY_AFTER_MS));
        Error {
            outcome: Outcome::NotSent,
            reason: STOPPING.to_string(),
            server: None,
            progress: log::Progress::None,
        }
    }
}
