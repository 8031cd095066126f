//! Completion of calls: updates of limits, durations, failure rates and costs after an answer, a
//! failure or a timeout.

use std::collections::BTreeMap;

use rand::Rng;

use super::{
    super::{
        Action,
        cost,
        histogram::Histogram,
        scoring, //
    },
    Pool,
    SentCall, //
};
use crate::{
    core::{
        call::{
            self,
            Completion,
            Incarnation, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// An answer that takes longer than the typical duration times this doesn't raise the limit.
const SLOW_FACTOR: u64 = 3;

impl Pool {
    #[expect(clippy::too_many_arguments, reason = "these are the event's fields")]
    pub(super) fn handle_ended(
        &mut self,
        now: Instant,
        view: &View,
        id: call::Id,
        server_name: &Name,
        incarnation: Option<Incarnation>,
        end: &Completion,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent_calls.remove(&id) else {
            return;
        };
        let index = sent.server;
        assert!(
            self.servers[index].name == *server_name,
            "a call ends on the server that it was sent to"
        );
        assert!(
            self.servers[index].in_flight > 0,
            "the server has a call in flight"
        );
        self.servers[index].in_flight -= 1;
        if let Some(incarnation) = incarnation {
            self.observe_incarnation(now, index, incarnation, Some(sent.sent_at), out);
        }
        match end {
            Completion::Answered(_) => {
                self.record_answer(now, index, &sent, incarnation);
                self.answer_queries(now, index, incarnation, sent.sent_at, out);
            }
            Completion::Failed => self.record_failure(now, index, &sent, incarnation),
            Completion::Refused => {
                // A server that refuses calls can serve fewer than estimated.
                self.servers[index].limit.reset_to_cold();
                self.record_failure(now, index, &sent, incarnation);
            }
            Completion::NotSent => self.record_connection_loss(now, index),
            Completion::Lost => {
                let timeout_ms = self
                    .definition
                    .as_ref()
                    .map_or(0, |pool| pool.call_timeout_ms);
                let until = sent.sent_at.after_ms(timeout_ms);
                self.record_connection_loss(now, index);
                let server = &mut self.servers[index];
                let is_past_incarnation =
                    sent.incarnation.is_some() && sent.incarnation != server.limit.incarnation();
                if !is_past_incarnation && until > now {
                    server.reserve_slot(until, sent.incarnation);
                }
            }
            Completion::Cancelled => {
                // A cancelled call would have taken longer, so its duration is a lower bound.
                let ms = now.since_ms(sent.sent_at);
                let histogram =
                    stage_histogram(&mut self.stage_durations, &sent.pipeline, sent.stage);
                if ms > histogram.p90_ms(now) {
                    histogram.add(now, ms);
                }
                self.charge(&sent, ms, false);
            }
        }
        self.refresh(now, view, index);
    }

    fn record_answer(
        &mut self,
        now: Instant,
        index: usize,
        sent: &SentCall,
        incarnation: Option<Incarnation>,
    ) {
        let ms = now.since_ms(sent.sent_at);
        let typical_ms = self.call_durations.median_ms(now);
        let is_good = typical_ms == 0 || ms <= typical_ms * SLOW_FACTOR;
        let server = &mut self.servers[index];
        server.reset_backoff();
        server.record_outcome(false);
        let previous_ms = match server.typical_ms {
            0 => scoring::typical_or_default_ms(typical_ms),
            previous => previous,
        };
        server.typical_ms = previous_ms - previous_ms / 8 + ms / 8;
        server
            .limit
            .reply(now, incarnation, sent.sent_at, is_good, &self.bounds);
        self.call_durations.add(now, ms);
        stage_histogram(&mut self.stage_durations, &sent.pipeline, sent.stage).add(now, ms);
        let total_ms = now.since_ms(sent.offered_at);
        self.shared
            .record_stage_duration(now, &sent.pipeline, sent.stage, total_ms);
        if sent.prefix != 0 {
            self.affinity.update(sent.prefix, index, true);
        }
        self.charge(sent, ms, true);
    }

    fn record_failure(
        &mut self,
        now: Instant,
        index: usize,
        sent: &SentCall,
        incarnation: Option<Incarnation>,
    ) {
        let server = &mut self.servers[index];
        server.reset_backoff();
        server.record_outcome(true);
        server
            .limit
            .reply(now, incarnation, sent.sent_at, false, &self.bounds);
        self.charge(sent, now.since_ms(sent.sent_at), false);
    }

    fn record_connection_loss(&mut self, now: Instant, index: usize) {
        let jitter = self.rng.random_range(0..1 << 16);
        let server = &mut self.servers[index];
        server.limit.connection_lost();
        server.query.close();
        server.record_outcome(true);
        server.back_off(now, jitter);
    }

    fn charge(&mut self, sent: &SentCall, run_ms: u64, answered: bool) {
        let price_milli = self.definition.as_ref().map_or(0, |pool| pool.price_milli);
        let account = self.ledger.account(cost::Key {
            organisation: sent.request.organisation.clone(),
            pipeline: sent.pipeline.clone(),
            stage: sent.stage,
        });
        account.run_ms += run_ms;
        account.answered += u64::from(answered);
        account.price_micro += run_ms * price_milli;
    }

    pub(super) fn handle_progress(
        &mut self,
        now: Instant,
        id: call::Id,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent_calls.get_mut(&id) else {
            return;
        };
        let (index, sent_at, is_first) = (sent.server, sent.sent_at, !sent.progressed);
        sent.progressed = true;
        sent.incarnation = incarnation.or(sent.incarnation);
        if !is_first {
            return;
        }
        if let Some(incarnation) = incarnation {
            self.observe_incarnation(now, index, incarnation, Some(sent_at), out);
        }
        let server = &mut self.servers[index];
        server.reset_backoff();
        server
            .limit
            .reply(now, incarnation, sent_at, true, &self.bounds);
        self.answer_queries(now, index, incarnation, sent_at, out);
    }

    /// Ends the calls that exceed the call timeout without any reported end, and frees their slots.
    pub(super) fn time_out_calls(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let timeout_ms = self
            .definition
            .as_ref()
            .map_or(0, |pool| pool.call_timeout_ms);
        let timed_out: Vec<call::Id> = self
            .sent_calls
            .iter()
            .filter(|(_, sent)| timeout_ms > 0 && now.since_ms(sent.sent_at) > timeout_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            let Some(sent) = self.sent_calls.remove(&id) else {
                continue;
            };
            let index = sent.server;
            self.servers[index].in_flight -= 1;
            self.record_connection_loss(now, index);
            self.refresh(now, view, index);
            out.push(Action::Abort {
                call: id,
                server: self.servers[index].name.clone(),
            });
        }
    }
}

/// Returns the histogram of a stage, and creates it if it doesn't exist.
fn stage_histogram<'a>(
    histograms: &'a mut BTreeMap<Name, Vec<Histogram>>,
    pipeline: &Name,
    stage: usize,
) -> &'a mut Histogram {
    if !histograms.contains_key(pipeline) {
        histograms.insert(pipeline.clone(), Vec::new());
    }
    let stages = histograms.get_mut(pipeline).expect("just inserted");
    if stages.len() <= stage {
        stages.resize_with(stage + 1, Histogram::new);
    }
    &mut stages[stage]
}
