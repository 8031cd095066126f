//! Streams: pieces in their order, each once, to all who wait for one run.

use super::{
    Context,
    Coordinator,
    Waiter,
    Who,
    run::{
        State,
        call_timeout_ms, //
    }, //
};
use crate::core::{
    call::{
        self,
        Body,
        Request, //
    },
    decision::{
        Kind,
        value, //
    },
    outcome::{
        Action,
        answers::Answer, //
    },
    refusal::Code, //
};

impl Coordinator {
    /// Adds one more who waits for a request that runs.
    pub(super) fn join(&mut self, cx: &mut Context<'_>, request: &Request, waiter: Waiter) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        cx.decide(Kind::Admission, request, "same_id", "joined", Vec::new());
        if waiter.next < running.base {
            // This run lacks the first pieces, so that it starts again for the one who wants them.
            running.base = waiter.next;
            running.pieces.clear();
            running.waiters.push(waiter);
            if running.is_final() && running.called().is_some() {
                self.abandon(cx, request);
                self.offer(cx, request);
            }
            return;
        }
        let known = running.waiters.iter_mut();
        let known = known
            .filter(|known| known.who == waiter.who)
            .find(|_| matches!(waiter.who, Who::Host(_)));
        if known.is_some() {
            return;
        }
        let answer = Answer {
            pieces: running.pieces.clone(),
            body: Vec::new().into(),
        };
        let mut waiter = waiter;
        if let Who::Caller(caller) = waiter.who
            && running.is_final()
        {
            cx.pieces(caller, waiter.next, running.base, &answer);
            waiter.next = waiter.next.max(running.next_piece());
        }
        running.waiters.push(waiter);
    }

    pub(super) fn piece(&mut self, cx: &mut Context<'_>, call: call::Id, index: u64, piece: Body) {
        let Some(request) = self.expected(call) else {
            return;
        };
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.began = true;
        let is_final = running.is_final();
        let base = if is_final { running.base } else { 0 };
        let expected = base + running.pieces.len() as u64;
        if index < expected {
            self.counters.duplicates += 1;
            return;
        }
        if index > expected {
            self.gap(cx, &request, expected, index);
            return;
        }
        let timeout_ms = call_timeout_ms(cx.view, running.pool());
        if let State::Called { silent_at, .. } = &mut running.state {
            *silent_at = cx.now.after_ms(timeout_ms);
        }
        running.pieces.push(piece.clone());
        if is_final {
            deliver_piece(cx, &mut running.waiters, index, &piece);
        }
    }

    /// Asks again from a missing piece on, where that is allowed.
    fn gap(&mut self, cx: &mut Context<'_>, request: &Request, expected: u64, index: u64) {
        self.counters.gaps += 1;
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        if !running.plan.idempotent {
            running.torn = true;
            return;
        }
        let values = vec![value("expected_piece", expected), value("piece", index)];
        cx.decide(Kind::Retry, request, "missing_piece", "resume", values);
        self.abandon(cx, request);
        self.retry(cx, request, None, Code::AnswerLost);
    }
}

fn deliver_piece(cx: &mut Context<'_>, waiters: &mut [Waiter], index: u64, piece: &Body) {
    for waiter in waiters {
        let Who::Caller(caller) = waiter.who else {
            continue;
        };
        if index >= waiter.next {
            waiter.next = index + 1;
            cx.out.push(Action::Piece {
                caller,
                index,
                piece: piece.clone(),
            });
        }
    }
}
