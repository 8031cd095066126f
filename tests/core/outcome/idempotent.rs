//! Tests of stages that may repeat: retries, streams and resumption.

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
    Bench,
    CALL_TIMEOUT_MS,
    DEADLINE_MS,
    answered,
    body,
    chat,
    plan, //
};

#[test]
fn ask_two_stages() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &chat());
    bench.end(answered("vector"));
    let (_, second) = &bench.offers[0];
    assert_eq!(second.stage, 1);
    assert_eq!(second.previous, Some(body("vector")));
    bench.end(answered("text"));
    assert_eq!(bench.answers(1), ["text"]);
}

#[test]
fn ended_lost() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &chat());
    let first = bench.end(Completion::Lost);
    let (_, second) = &bench.offers[0];
    assert_ne!(second.id, first.id);
    assert_eq!(second.attempt, 1);
    assert_eq!(second.failed_servers, [Name::from("server-0")]);
}

#[test]
fn ended_lost_always() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &chat());
    let mut attempts = 0;
    while !bench.offers.is_empty() {
        bench.end(Completion::Lost);
        bench.pass(200);
        attempts += 1;
    }
    assert_eq!(attempts, 5);
    assert_eq!(bench.refusal(1).code, Code::AnswerLost);
    assert_eq!(bench.refusal(1).run, Execution::MayHaveRun);
}

#[test]
fn refused_after_first_stage() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &chat());
    bench.end(answered("vector"));
    let (host, call) = bench.offers.remove(0);
    let refusal = Refusal::not_run(Code::Overloaded, Remedy::Wait, "no server has room");
    let call = call.id;
    bench.tell(host, Event::Refused { call, refusal });
    // The first stage ran, whatever the pool of the second knows.
    assert_eq!(bench.refusal(1).run, Execution::MayHaveRun);
}

#[test]
fn piece_doubled() {
    let mut bench = Bench::new(3);
    stream(&mut bench);
    bench.piece(0, "a");
    bench.piece(0, "a");
    bench.piece(1, "b");
    bench.end(answered(""));
    assert_eq!(bench.pieces(1), [(0, "a".into()), (1, "b".into())]);
    assert_eq!(bench.answers(1), ["ab"]);
    assert_eq!(bench.ledger(0).counters().duplicates, 1);
}

#[test]
fn piece_missing() {
    let mut bench = Bench::new(3);
    stream(&mut bench);
    bench.piece(0, "a");
    bench.piece(2, "c");
    let torn = bench.offers.remove(0);
    assert_eq!(bench.cancelled, [torn.1.id]);
    assert_eq!(bench.offers[0].1.resume_from, 1);
    bench.piece(1, "b");
    bench.piece(2, "c");
    bench.end(answered(""));
    assert_eq!(bench.answers(1), ["abc"]);
    assert_eq!(bench.pieces(1).len(), 3);
}

#[test]
fn piece_of_former_attempt() {
    let mut bench = Bench::new(3);
    stream(&mut bench);
    bench.piece(0, "a");
    let former = bench.end(Completion::Lost);
    let late = Event::Piece {
        call: former.id,
        index: 1,
        piece: body("late"),
    };
    bench.tell(0, late);
    assert_eq!(bench.pieces(1).len(), 1);
    assert_eq!(bench.ledger(0).counters().late, 1);
    assert_eq!(bench.offers[0].1.resume_from, 1);
}

#[test]
fn join_stream() {
    let mut bench = Bench::new(3);
    stream(&mut bench);
    bench.piece(0, "a");
    bench.ask(0, 2, &chat());
    bench.piece(1, "b");
    bench.end(answered(""));
    assert_eq!(bench.pieces(1), bench.pieces(2));
    assert_eq!(bench.answers(2), ["ab"]);
}

#[test]
fn join_before_the_first_piece() {
    let mut bench = Bench::new(3);
    let resumed = Submission {
        resume_from: 1,
        ..chat()
    };
    bench.ask(0, 1, &resumed);
    bench.end(answered("vector"));
    assert_eq!(bench.offers[0].1.resume_from, 1);
    bench.piece(1, "b");
    // One who has nothing yet joins: the stream starts again, without repeating to the other.
    bench.ask(0, 2, &chat());
    bench.offers.remove(0);
    assert_eq!(bench.offers[0].1.resume_from, 0);
    bench.piece(0, "a");
    bench.piece(1, "b");
    bench.piece(2, "c");
    bench.end(answered(""));
    assert_eq!(bench.pieces(1), [(1, "b".into()), (2, "c".into())]);
    assert_eq!(bench.pieces(2).len(), 3);
}

#[test]
fn caller_gone() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &chat());
    bench.tell(0, Event::CallerDisconnected(Caller(1)));
    assert_eq!(bench.cancelled.len(), 1);
    assert!(bench.ledger(0).is_idle());
}

#[test]
fn caller_gone_late_answer_wanted() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &plan());
    bench.tell(0, Event::CallerDisconnected(Caller(1)));
    assert!(bench.cancelled.is_empty());
    bench.end(answered("vector"));
    bench.end(answered("text"));
    bench.ask(0, 2, &plan());
    assert_eq!(bench.answers(2), ["text"]);
}

#[test]
fn deadline_passed() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &chat());
    bench.pass(DEADLINE_MS);
    assert_eq!(bench.refusal(1).code, Code::Deadline);
    assert_eq!(bench.cancelled.len(), 1);
}

#[test]
fn silent_call() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &plan());
    bench.end(answered("vector"));
    bench.piece(0, "a");
    bench.pass(CALL_TIMEOUT_MS);
    assert_eq!(bench.cancelled.len(), 1);
    bench.offers.remove(0);
    assert_eq!(bench.offers[0].1.resume_from, 1);
}

#[test]
fn retried_elsewhere_resumes_stage() {
    let mut bench = Bench::new(4);
    bench.ask(0, 1, &plan());
    bench.end(answered("vector"));
    bench.crash(0, true);
    bench.offers.clear();
    let retried = Submission {
        retried: true,
        ..plan()
    };
    bench.ask(1, 2, &retried);
    bench.pass(200);
    let (host, call) = &bench.offers[0];
    assert_eq!((*host, call.stage), (1, 1));
    assert_eq!(call.previous, Some(body("vector")));
    bench.end(answered("text"));
    assert_eq!(bench.answers(2), ["text"]);
}

#[test]
fn retried_elsewhere_finds_answer() {
    for first in 0..4 {
        let mut bench = Bench::new(4);
        bench.ask(first, 1, &chat());
        bench.end(answered("vector"));
        bench.end(answered("text"));
        bench.crash(first, true);
        let retried = Submission {
            retried: true,
            ..chat()
        };
        bench.ask((first + 1) % 4, 2, &retried);
        assert_eq!(bench.answers(2), ["text"], "first host {first}");
        assert!(bench.offers.is_empty());
    }
}

#[test]
fn retried_with_other_body() {
    let mut bench = Bench::new(4);
    bench.ask(0, 1, &chat());
    bench.end(answered("vector"));
    bench.end(answered("text"));
    let other = Submission {
        body: body("salt"),
        ..chat()
    };
    bench.ask(0, 2, &other);
    assert_eq!(bench.refusal(2).code, Code::IdReused);
}

/// Brings the pipeline to its second stage, which streams.
fn stream(bench: &mut Bench) {
    bench.ask(0, 1, &chat());
    bench.end(answered("vector"));
}
