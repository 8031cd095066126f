//! Admission: a new call is either refused at once with a reason, or queued.

use rand::Rng;

use super::{
    super::{
        Action,
        policy::Policy,
        query::Message,
        queue::Entry,
        rate,
        refuse, //
    },
    Pool, //
};
use crate::{
    core::{
        call::{
            self,
            Call, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Number of waiting calls above which calls are evicted from the queue of one pool.
const QUEUE_LIMIT: usize = 4_096;

/// Number of waiting calls from which calls whose late answer is wanted are refused too. They
/// aren't evicted, so their limit is higher.
const LATE_QUEUE_LIMIT: usize = 65_536;

impl Pool {
    pub(super) fn offer(&mut self, now: Instant, view: &View, call: Call, out: &mut Vec<Action>) {
        let is_known =
            self.queue.remove(call.id).is_some() || self.sent_calls.contains_key(&call.id);
        assert!(!is_known, "a call is offered only once");
        let id = call.id;
        if let Err(refusal) = self.admit(now, view, call, out) {
            out.push(Action::Refuse { call: id, refusal });
        }
        while self.queue.len() > QUEUE_LIMIT {
            let Some(entry) = self.queue.evict() else {
                break;
            };
            out.push(Action::Refuse {
                call: entry.call.id,
                refusal: refuse::queue_full(QUEUE_LIMIT),
            });
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        view: &View,
        call: Call,
        out: &mut Vec<Action>,
    ) -> refuse::Result<()> {
        if self.definition.is_none() {
            return Err(refuse::unknown_pool(&self.name));
        }
        // Only the first call of a request takes a token. The baseline policies have no token
        // limit.
        if call.stage == 0 && call.attempt == 0 && self.policy == Policy::Teaselchute {
            self.take_token(now, view, &call.request.organisation, out)?;
        }
        let organisation = &call.request.organisation;
        let has_credit = self.shared.with_budget(|budget| {
            if call.attempt == 0 {
                let percent = view.document.policies.retry_percent;
                budget.earn(&call.pipeline, call.stage, organisation, percent);
                return true;
            }
            self.policy != Policy::Teaselchute
                || budget.take(&call.pipeline, call.stage, organisation)
        });
        if !has_credit {
            return Err(refuse::no_retry_left(call.attempt));
        }
        let has_usable_server = self.servers.iter().any(|server| {
            server.listed && !view.is_drained(&self.name, &server.name, &server.data_centre)
        });
        if !has_usable_server {
            return Err(refuse::no_server(&self.name));
        }
        if call.late_answer_wanted && self.queue.len() >= LATE_QUEUE_LIMIT {
            return Err(refuse::queue_full(LATE_QUEUE_LIMIT));
        }
        let later_ms = self
            .shared
            .later_stages_ms(now, &view.document, &call.pipeline, call.stage);
        let weight = view
            .document
            .organisations
            .get(organisation)
            .map_or(1, |organisation| organisation.weight);
        let (p10_ms, median_ms, p90_ms) =
            self.stage_percentiles_ms(now, &call.pipeline, call.stage);
        let wait_ms = self.wait_ms(&call, weight, median_ms);
        // The longer the queue, the more pessimistic the assumed duration, since other calls need
        // the slot.
        let run_ms = match wait_ms {
            0 => p10_ms,
            _ => median_ms + (p90_ms - median_ms) * wait_ms.min(median_ms) / median_ms.max(1),
        };
        let left_ms = call.deadline.since_ms(now);
        let checks_deadline = self.policy == Policy::Teaselchute;
        if checks_deadline && !call.late_answer_wanted && wait_ms + run_ms + later_ms > left_ms {
            return Err(refuse::deadline_too_close(
                left_ms, wait_ms, run_ms, later_ms,
            ));
        }
        self.queue.push(Entry {
            send_by: call.deadline.before_ms(run_ms + later_ms),
            call,
            offered_at: now,
            weight,
        });
        Ok(())
    }

    /// Takes a token of an organisation whose requests are limited, and asks another host for
    /// tokens if few are left.
    fn take_token(
        &mut self,
        now: Instant,
        view: &View,
        organisation: &Name,
        out: &mut Vec<Action>,
    ) -> refuse::Result<()> {
        let Some(limit) = rate_limit(view, organisation) else {
            return Ok(());
        };
        let (taken, should_borrow) = self.shared.with_buckets(|buckets| {
            let taken = buckets.take(now, organisation, limit);
            (taken, buckets.should_borrow(now, organisation, limit))
        });
        let members = &view.roster.members;
        if should_borrow && !members.is_empty() {
            let to = &members[self.rng.random_range(0..members.len())];
            if *to != view.own.id {
                out.push(Action::SendMessage {
                    to: to.clone(),
                    message: Message::TokenRequest {
                        organisation: organisation.clone(),
                    },
                });
            }
        }
        if taken {
            return Ok(());
        }
        Err(refuse::organisation_limit(limit.per_second))
    }

    /// Estimates how long a call would wait in the queue, in milliseconds.
    fn wait_ms(&self, call: &Call, weight: u32, median_ms: u64) -> u64 {
        let organisation = &call.request.organisation;
        let calls_ahead = self.queue.calls_ahead(call.priority, organisation, weight) as u64;
        if calls_ahead == 0 {
            return 0;
        }
        (calls_ahead * median_ms / self.total_slots.max(1)).max(1)
    }

    /// Returns the 10th, 50th and 90th percentile of a stage's duration in milliseconds, 0 if
    /// unknown.
    fn stage_percentiles_ms(&self, now: Instant, pipeline: &Name, stage: usize) -> (u64, u64, u64) {
        let histogram = self
            .stage_durations
            .get(pipeline)
            .and_then(|stages| stages.get(stage));
        histogram.map_or((0, 0, 0), |histogram| {
            (
                histogram.p10_ms(now),
                histogram.median_ms(now),
                histogram.p90_ms(now),
            )
        })
    }

    pub(super) fn cancel(&mut self, id: call::Id, out: &mut Vec<Action>) {
        if self.queue.remove(id).is_some() {
            return;
        }
        let Some(sent) = self.sent_calls.get_mut(&id) else {
            return;
        };
        if !sent.aborted {
            sent.aborted = true;
            out.push(Action::Abort {
                call: id,
                server: self.servers[sent.server].name.clone(),
            });
        }
    }
}

/// Returns the request limit of an organisation, `None` if it has none.
pub(super) fn rate_limit(view: &View, organisation: &Name) -> Option<rate::Limit> {
    let definition = view.document.organisations.get(organisation)?;
    Some(rate::Limit {
        per_second: definition.requests_per_second?,
        hosts: view.roster.members.len() as u32,
    })
}
