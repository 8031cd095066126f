//! Dispatch: sends queued calls in order, as long as servers have room.

use super::{
    super::{
        Action,
        cost,
        labels::value,
        policy::Policy,
        queue::Entry,
        refuse,
        server::Distance, //
    },
    Pool,
    SentCall, //
};
use crate::{
    core::{
        call::Call,
        decision::{
            Candidate,
            Decision,
            Kind, //
        },
        view::View, //
    },
    time::Instant,
};

/// Number of calls without a suitable server after which a dispatch stops.
const MAX_UNSENT_PER_DISPATCH: usize = 4;

impl Pool {
    /// Sends queued calls as long as servers have room.
    pub(super) fn dispatch(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        if now < self.hold_until {
            return;
        }
        let mut unsent = Vec::new();
        while unsent.len() < MAX_UNSENT_PER_DISPATCH && !self.open_servers.is_empty() {
            let Some(entry) = self.queue.pop() else {
                break;
            };
            if entry.send_by < now && !entry.call.late_answer_wanted {
                let refusal = refuse::expired(now, &entry, self.queue.len(), self.total_slots);
                out.push(Action::Refuse {
                    call: entry.call.id,
                    refusal,
                });
                continue;
            }
            let (chosen, candidates) = self.choose(now, view, &entry.call);
            match chosen {
                Some(index) => self.send(now, view, entry, index, candidates, out),
                None => unsent.push(entry),
            }
        }
        for entry in unsent.into_iter().rev() {
            self.queue.put_back(entry, now);
        }
    }

    fn send(
        &mut self,
        now: Instant,
        view: &View,
        entry: Entry,
        index: usize,
        candidates: Vec<Candidate>,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[index];
        server.record_send();
        if self.policy == Policy::Teaselchute {
            assert!(
                server.used() <= server.allowed(&self.bounds),
                "a host uses no more slots than allowed"
            );
        }
        let call = entry.call;
        let server_name = server.name.clone();
        out.push(Action::Decide(Decision {
            at: now,
            kind: Kind::Route,
            subject: call.request.subject(),
            stage: Some(call.stage.to_string().into()),
            rule: match self.policy {
                Policy::Teaselchute => self.labels.lowest_score.clone(),
                _ => self.labels.baseline.clone(),
            },
            choice: server_name.clone(),
            values: vec![
                value(&self.labels.waited, now.since_ms(entry.offered_at)),
                value(&self.labels.left, call.deadline.since_ms(now)),
                value(&self.labels.queued, self.queue.len() as u64),
            ],
            candidates,
        }));
        let account = self.ledger.account(cost::Key {
            organisation: call.request.organisation.clone(),
            pipeline: call.pipeline.clone(),
            stage: call.stage,
        });
        account.calls += 1;
        account.retries += u64::from(call.attempt > 0);
        if server.distance == Distance::OtherRegion {
            let bytes = sent_bytes(&call);
            account.metered_bytes += bytes;
            account.price_micro += bytes * server.egress_price_milli / 1_000_000;
        }
        self.sent_calls.insert(
            call.id,
            SentCall {
                server: index,
                request: call.request.clone(),
                pipeline: call.pipeline.clone(),
                stage: call.stage,
                prefix: call.prefix_hash,
                offered_at: entry.offered_at,
                sent_at: now,
                incarnation: None,
                progressed: false,
                aborted: false,
            },
        );
        out.push(Action::Send {
            call,
            server: server_name,
        });
        self.refresh(now, view, index);
    }
}

/// Returns the number of bytes that a call sends to its server.
pub(super) fn sent_bytes(call: &Call) -> u64 {
    let previous = call.previous.as_ref().map_or(0, |body| body.len());
    (call.body.len() + previous) as u64
}
