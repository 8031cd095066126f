//! The end of calls: what an answer, a failure or a silence teaches, and what it cost.

use std::collections::BTreeMap;

use rand::Rng;

use super::{
    super::{
        Action,
        choice,
        cost,
        remaining::Histogram, //
    },
    Pool,
    Sent, //
};
use crate::{
    core::{
        call::{
            self,
            End,
            Incarnation, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// How many times longer than typical an answer may take that counts as good.
const REMARKABLE: u64 = 3;

impl Pool {
    #[expect(clippy::too_many_arguments, reason = "these are the event's fields")]
    pub(super) fn ended(
        &mut self,
        now: Instant,
        view: &View,
        id: call::Id,
        name: &Name,
        incarnation: Option<Incarnation>,
        end: &End,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        let index = sent.server;
        assert!(
            self.servers[index].name == *name,
            "a call ends where it was sent"
        );
        assert!(self.servers[index].in_flight > 0, "calls in flight match");
        self.servers[index].in_flight -= 1;
        if let Some(incarnation) = incarnation {
            self.hear(now, index, incarnation, Some(sent.at), out);
        }
        match end {
            End::Answered(_) => {
                self.answered(now, index, &sent, incarnation);
                self.vouch(now, index, incarnation, sent.at, out);
            }
            End::Failed => self.failed(now, index, &sent, incarnation),
            End::Refused => {
                // A server that refuses carries less than was believed.
                self.servers[index].limit.cool();
                self.failed(now, index, &sent, incarnation);
            }
            End::NotSent => self.lost(now, index),
            End::Lost => {
                let timeout_ms = self
                    .document
                    .as_ref()
                    .map_or(0, |pool| pool.call_timeout_ms);
                let until = sent.at.after_ms(timeout_ms);
                self.lost(now, index);
                let server = &mut self.servers[index];
                let over =
                    sent.incarnation.is_some() && sent.incarnation != server.limit.incarnation();
                if !over && until > now {
                    server.linger(until, sent.incarnation);
                }
            }
            End::Cancelled => {
                // A call that was given up would have taken longer still.
                let ms = now.since_ms(sent.at);
                let times = stage_times(&mut self.times, &sent.pipeline, sent.stage);
                if ms > times.tail_ms(now) {
                    times.add(now, ms);
                }
                self.charge(&sent, ms, false);
            }
        }
        self.refresh(now, view, index);
    }

    fn answered(
        &mut self,
        now: Instant,
        index: usize,
        sent: &Sent,
        incarnation: Option<Incarnation>,
    ) {
        let ms = now.since_ms(sent.at);
        let typical_ms = self.all_times.half_ms(now);
        let good = typical_ms == 0 || ms <= typical_ms * REMARKABLE;
        let server = &mut self.servers[index];
        server.answers();
        server.note_failure(false);
        let known_ms = match server.typical_ms {
            0 => choice::typical_or_guess(typical_ms),
            known => known,
        };
        server.typical_ms = known_ms - known_ms / 8 + ms / 8;
        server
            .limit
            .reply(now, incarnation, sent.at, good, &self.bounds);
        self.all_times.add(now, ms);
        stage_times(&mut self.times, &sent.pipeline, sent.stage).add(now, ms);
        let whole_ms = now.since_ms(sent.offered_at);
        self.shared.took(now, &sent.pipeline, sent.stage, whole_ms);
        if sent.prefix != 0 {
            self.affinity.note(sent.prefix, index, true);
        }
        self.charge(sent, ms, true);
    }

    fn failed(
        &mut self,
        now: Instant,
        index: usize,
        sent: &Sent,
        incarnation: Option<Incarnation>,
    ) {
        let server = &mut self.servers[index];
        server.answers();
        server.note_failure(true);
        server
            .limit
            .reply(now, incarnation, sent.at, false, &self.bounds);
        self.charge(sent, now.since_ms(sent.at), false);
    }

    fn lost(&mut self, now: Instant, index: usize) {
        let jitter = self.rng.random_range(0..1 << 16);
        let server = &mut self.servers[index];
        server.limit.lose();
        server.question.close();
        server.note_failure(true);
        server.back_off(now, jitter);
    }

    fn charge(&mut self, sent: &Sent, run_ms: u64, answered: bool) {
        let price_milli = self.document.as_ref().map_or(0, |pool| pool.price_milli);
        let account = self.book.account(cost::Key {
            organisation: sent.request.organisation.clone(),
            pipeline: sent.pipeline.clone(),
            stage: sent.stage,
        });
        account.run_ms += run_ms;
        account.answered += u64::from(answered);
        account.price_micro += run_ms * price_milli;
    }

    pub(super) fn progress(
        &mut self,
        now: Instant,
        id: call::Id,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        let (index, at, first) = (sent.server, sent.at, !sent.progressed);
        sent.progressed = true;
        sent.incarnation = incarnation.or(sent.incarnation);
        if !first {
            return;
        }
        if let Some(incarnation) = incarnation {
            self.hear(now, index, incarnation, Some(at), out);
        }
        let server = &mut self.servers[index];
        server.answers();
        server.limit.reply(now, incarnation, at, true, &self.bounds);
        self.vouch(now, index, incarnation, at, out);
    }

    /// Frees the slots of calls that can't run any more, though nobody told of their end.
    pub(super) fn free_silent(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let timeout_ms = self
            .document
            .as_ref()
            .map_or(0, |pool| pool.call_timeout_ms);
        let silent: Vec<call::Id> = self
            .sent
            .iter()
            .filter(|(_, sent)| timeout_ms > 0 && now.since_ms(sent.at) > timeout_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            let Some(sent) = self.sent.remove(&id) else {
                continue;
            };
            let index = sent.server;
            self.servers[index].in_flight -= 1;
            self.lost(now, index);
            self.refresh(now, view, index);
            out.push(Action::Abort {
                call: id,
                server: self.servers[index].name.clone(),
            });
        }
    }
}

fn stage_times<'a>(
    times: &'a mut BTreeMap<Name, Vec<Histogram>>,
    pipeline: &Name,
    stage: usize,
) -> &'a mut Histogram {
    if !times.contains_key(pipeline) {
        times.insert(pipeline.clone(), Vec::new());
    }
    let stages = times.get_mut(pipeline).expect("just inserted");
    if stages.len() <= stage {
        stages.resize_with(stage + 1, Histogram::new);
    }
    &mut stages[stage]
}
