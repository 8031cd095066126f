//! Tests of idempotent requests: stages, retries, streams and resumption.

use teaselchute::{
    core::{
        call::Completion,
        outcome::{
            Caller,
            Event,
            Submission, //
        },
        refusal::{
            Code,
            Execution,
            Refusal,
            Remedy, //
        },
    },
    names::Name,
};

use super::{
    CALL_TIMEOUT_MS,
    Cluster,
    DEADLINE_MS,
    answered,
    body,
    chat,
    late_chat, //
};

#[test]
fn submit_two_stages() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &chat());
    cluster.end_call(answered("vector"));
    let (_, second) = &cluster.offers[0];
    assert_eq!(second.stage, 1);
    assert_eq!(second.previous, Some(body("vector")));
    cluster.end_call(answered("text"));
    assert_eq!(cluster.answers(1), ["text"]);
}

#[test]
fn ended_lost() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &chat());
    let first = cluster.end_call(Completion::Lost);
    let (_, second) = &cluster.offers[0];
    assert_ne!(second.id, first.id);
    assert_eq!(second.attempt, 1);
    assert_eq!(second.failed_servers, [Name::from("server-0")]);
}

#[test]
fn ended_lost_every_attempt() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &chat());
    let mut attempts = 0;
    while !cluster.offers.is_empty() {
        cluster.end_call(Completion::Lost);
        cluster.advance(200);
        attempts += 1;
    }
    assert_eq!(attempts, 5);
    assert_eq!(cluster.refusal(1).code, Code::AnswerLost);
    assert_eq!(cluster.refusal(1).run, Execution::MayHaveRun);
}

#[test]
fn refused_after_first_stage() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &chat());
    cluster.end_call(answered("vector"));
    let (host, call) = cluster.offers.remove(0);
    let refusal = Refusal::not_run(Code::Overloaded, Remedy::Wait, "no server has room");
    let call = call.id;
    cluster.handle_event(host, Event::Refused { call, refusal });
    // The first stage ran, which the pool of the second stage doesn't know.
    assert_eq!(cluster.refusal(1).run, Execution::MayHaveRun);
}

#[test]
fn piece_duplicate() {
    let mut cluster = Cluster::new(3);
    stream(&mut cluster);
    cluster.receive_piece(0, "a");
    cluster.receive_piece(0, "a");
    cluster.receive_piece(1, "b");
    cluster.end_call(answered(""));
    assert_eq!(cluster.pieces(1), [(0, "a".into()), (1, "b".into())]);
    assert_eq!(cluster.answers(1), ["ab"]);
    assert_eq!(cluster.coordinator(0).counters().duplicates, 1);
}

#[test]
fn piece_missing() {
    let mut cluster = Cluster::new(3);
    stream(&mut cluster);
    cluster.receive_piece(0, "a");
    cluster.receive_piece(2, "c");
    let interrupted = cluster.offers.remove(0);
    assert_eq!(cluster.cancelled, [interrupted.1.id]);
    assert_eq!(cluster.offers[0].1.resume_from, 1);
    cluster.receive_piece(1, "b");
    cluster.receive_piece(2, "c");
    cluster.end_call(answered(""));
    assert_eq!(cluster.answers(1), ["abc"]);
    assert_eq!(cluster.pieces(1).len(), 3);
}

#[test]
fn piece_of_earlier_attempt() {
    let mut cluster = Cluster::new(3);
    stream(&mut cluster);
    cluster.receive_piece(0, "a");
    let earlier = cluster.end_call(Completion::Lost);
    let late = Event::Piece {
        call: earlier.id,
        index: 1,
        piece: body("late"),
    };
    cluster.handle_event(0, late);
    assert_eq!(cluster.pieces(1).len(), 1);
    assert_eq!(cluster.coordinator(0).counters().late, 1);
    assert_eq!(cluster.offers[0].1.resume_from, 1);
}

#[test]
fn submit_joins_stream() {
    let mut cluster = Cluster::new(3);
    stream(&mut cluster);
    cluster.receive_piece(0, "a");
    cluster.submit(0, 2, &chat());
    cluster.receive_piece(1, "b");
    cluster.end_call(answered(""));
    assert_eq!(cluster.pieces(1), cluster.pieces(2));
    assert_eq!(cluster.answers(2), ["ab"]);
}

#[test]
fn submit_joins_before_first_piece() {
    let mut cluster = Cluster::new(3);
    let resumed = Submission {
        resume_from: 1,
        ..chat()
    };
    cluster.submit(0, 1, &resumed);
    cluster.end_call(answered("vector"));
    assert_eq!(cluster.offers[0].1.resume_from, 1);
    cluster.receive_piece(1, "b");
    // The second caller has no piece yet, so the stream restarts. The first gets no piece twice.
    cluster.submit(0, 2, &chat());
    cluster.offers.remove(0);
    assert_eq!(cluster.offers[0].1.resume_from, 0);
    cluster.receive_piece(0, "a");
    cluster.receive_piece(1, "b");
    cluster.receive_piece(2, "c");
    cluster.end_call(answered(""));
    assert_eq!(cluster.pieces(1), [(1, "b".into()), (2, "c".into())]);
    assert_eq!(cluster.pieces(2).len(), 3);
}

#[test]
fn caller_disconnected() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &chat());
    cluster.handle_event(0, Event::CallerDisconnected(Caller(1)));
    assert_eq!(cluster.cancelled.len(), 1);
    assert!(cluster.coordinator(0).is_idle());
}

#[test]
fn caller_disconnected_late_answer_wanted() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &late_chat());
    cluster.handle_event(0, Event::CallerDisconnected(Caller(1)));
    assert!(cluster.cancelled.is_empty());
    cluster.end_call(answered("vector"));
    cluster.end_call(answered("text"));
    cluster.submit(0, 2, &late_chat());
    assert_eq!(cluster.answers(2), ["text"]);
}

#[test]
fn tick_deadline_passed() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &chat());
    cluster.advance(DEADLINE_MS);
    assert_eq!(cluster.refusal(1).code, Code::Deadline);
    assert_eq!(cluster.cancelled.len(), 1);
}

#[test]
fn tick_call_timed_out() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &late_chat());
    cluster.end_call(answered("vector"));
    cluster.receive_piece(0, "a");
    cluster.advance(CALL_TIMEOUT_MS);
    assert_eq!(cluster.cancelled.len(), 1);
    cluster.offers.remove(0);
    assert_eq!(cluster.offers[0].1.resume_from, 1);
}

#[test]
fn submit_retry_resumes_stage() {
    let mut cluster = Cluster::new(4);
    cluster.submit(0, 1, &late_chat());
    cluster.end_call(answered("vector"));
    cluster.crash(0, true);
    cluster.offers.clear();
    let retried = Submission {
        retried: true,
        ..late_chat()
    };
    cluster.submit(1, 2, &retried);
    cluster.advance(200);
    let (host, call) = &cluster.offers[0];
    assert_eq!((*host, call.stage), (1, 1));
    assert_eq!(call.previous, Some(body("vector")));
    cluster.end_call(answered("text"));
    assert_eq!(cluster.answers(2), ["text"]);
}

#[test]
fn submit_retry_finds_answer() {
    for first in 0..4 {
        let mut cluster = Cluster::new(4);
        cluster.submit(first, 1, &chat());
        cluster.end_call(answered("vector"));
        cluster.end_call(answered("text"));
        cluster.crash(first, true);
        let retried = Submission {
            retried: true,
            ..chat()
        };
        cluster.submit((first + 1) % 4, 2, &retried);
        assert_eq!(cluster.answers(2), ["text"], "first host {first}");
        assert!(cluster.offers.is_empty());
    }
}

#[test]
fn submit_other_body() {
    let mut cluster = Cluster::new(4);
    cluster.submit(0, 1, &chat());
    cluster.end_call(answered("vector"));
    cluster.end_call(answered("text"));
    let other = Submission {
        body: body("salt"),
        ..chat()
    };
    cluster.submit(0, 2, &other);
    assert_eq!(cluster.refusal(2).code, Code::IdReused);
}

/// Brings a request to the second stage, whose answer is streamed.
fn stream(cluster: &mut Cluster) {
    cluster.submit(0, 1, &chat());
    cluster.end_call(answered("vector"));
}
