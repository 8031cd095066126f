//! Streaming: delivers each piece once and in order to all waiters of a request.

use super::{
    Context,
    Coordinator,
    Recipient,
    Waiter,
    running::{
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
    /// Adds a waiter to a running request.
    pub(super) fn join(&mut self, cx: &mut Context<'_>, request: &Request, waiter: Waiter) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        cx.log_decision(Kind::Admission, request, "same_id", "joined", Vec::new());
        if waiter.next_piece < running.first_piece {
            // The stream skipped pieces that the new waiter needs, so restart it from there.
            running.first_piece = waiter.next_piece;
            running.pieces.clear();
            running.waiters.push(waiter);
            if running.is_final_stage() && running.current_call().is_some() {
                self.abandon_call(cx, request);
                self.offer(cx, request);
            }
            return;
        }
        let same_host = running.waiters.iter_mut();
        let same_host = same_host
            .filter(|other| other.recipient == waiter.recipient)
            .find(|_| matches!(waiter.recipient, Recipient::Host(_)));
        if same_host.is_some() {
            return;
        }
        let answer = Answer {
            pieces: running.pieces.clone(),
            body: Vec::new().into(),
        };
        let mut waiter = waiter;
        if let Recipient::Caller(caller) = waiter.recipient
            && running.is_final_stage()
        {
            cx.deliver_pieces(caller, waiter.next_piece, running.first_piece, &answer);
            waiter.next_piece = waiter.next_piece.max(running.next_piece());
        }
        running.waiters.push(waiter);
    }

    pub(super) fn handle_piece(
        &mut self,
        cx: &mut Context<'_>,
        call: call::Id,
        index: u64,
        piece: Body,
    ) {
        let Some(request) = self.request_of_call(call) else {
            return;
        };
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.may_have_run = true;
        let is_final_stage = running.is_final_stage();
        let first_piece = if is_final_stage {
            running.first_piece
        } else {
            0
        };
        let expected = first_piece + running.pieces.len() as u64;
        if index < expected {
            self.counters.duplicates += 1;
            return;
        }
        if index > expected {
            self.handle_gap(cx, &request, expected, index);
            return;
        }
        let timeout_ms = call_timeout_ms(cx.view, running.pool());
        if let State::Calling { timeout_at, .. } = &mut running.state {
            *timeout_at = cx.now.after_ms(timeout_ms);
        }
        running.pieces.push(piece.clone());
        if is_final_stage {
            deliver_piece(cx, &mut running.waiters, index, &piece);
        }
    }

    /// Retries from the missing piece if the request is idempotent.
    fn handle_gap(&mut self, cx: &mut Context<'_>, request: &Request, expected: u64, index: u64) {
        self.counters.gaps += 1;
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        if !running.plan.idempotent {
            running.has_gap = true;
            return;
        }
        let values = vec![value("expected_piece", expected), value("piece", index)];
        cx.log_decision(Kind::Retry, request, "missing_piece", "resume", values);
        self.abandon_call(cx, request);
        self.retry(cx, request, None, Code::AnswerLost);
    }
}

fn deliver_piece(cx: &mut Context<'_>, waiters: &mut [Waiter], index: u64, piece: &Body) {
    for waiter in waiters {
        let Recipient::Caller(caller) = waiter.recipient else {
            continue;
        };
        if index >= waiter.next_piece {
            waiter.next_piece = index + 1;
            cx.actions.push(Action::Piece {
                caller,
                index,
                piece: piece.clone(),
            });
        }
    }
}
