//! Tests of non-idempotent requests at their home.

use teaselchute::{
    core::{
        call::{
            Completion,
            Request, //
        },
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
    order, //
};

#[test]
fn ask_acknowledged() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    bench.ask(0, 1, &order(&ticket));
    assert_eq!(bench.offers.len(), 1);
    bench.end(answered("done"));
    assert_eq!(bench.answers(1), ["done"]);
}

#[test]
fn ask_witness_silent() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let witness = bench.witness(&ticket);
    bench.cut.insert((0, witness));
    bench.ask(0, 1, &order(&ticket));
    bench.pass(DEADLINE_MS);
    assert_eq!(bench.refusal(1).code, Code::WitnessUnreachable);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    // The word is kept, although the witness could answer now.
    bench.cut.clear();
    bench.ask(0, 2, &order(&ticket));
    assert_eq!(bench.refusal(2).run, Execution::NotRun);
    assert!(bench.offers.is_empty());
}

#[test]
fn ask_acknowledgement_lost() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let witness = bench.witness(&ticket);
    bench.cut.insert((witness, 0));
    bench.ask(0, 1, &order(&ticket));
    bench.pass(50);
    bench.cut.clear();
    bench.pass(500);
    assert_eq!(bench.offers.len(), 1);
}

#[test]
fn ask_without_ticket() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let untagged = Submission {
        ticket: None,
        request: Request {
            organisation: Name::from("stalls"),
            id: Name::from("order-1"),
        },
        ..order(&ticket)
    };
    bench.ask(0, 1, &untagged);
    assert_eq!(bench.refusal(1).code, Code::TicketRequired);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    // An id with a tag may have run under the ticket that is missing now.
    let tagged = Submission {
        ticket: None,
        ..order(&ticket)
    };
    bench.ask(0, 2, &tagged);
    assert_eq!(bench.refusal(2).run, Execution::MayHaveRun);
}

#[test]
fn ask_ticket_of_other_id() {
    let mut bench = Bench::new(3);
    let ask = Submission {
        ticket: Some(bench.ticket(1)),
        ..order(&bench.ticket(0))
    };
    bench.ask(1, 1, &ask);
    assert_eq!(bench.refusal(1).code, Code::TicketRequired);
    assert!(bench.offers.is_empty());
}

#[test]
fn ask_other_body() {
    let mut bench = Bench::new(3);
    let ask = order(&bench.ticket(0));
    bench.ask(0, 1, &ask);
    let other = Submission {
        body: body("salt"),
        ..ask
    };
    bench.ask(0, 2, &other);
    assert_eq!(bench.refusal(2).code, Code::IdReused);
    bench.end(answered("done"));
    bench.ask(0, 3, &other);
    assert_eq!(bench.refusal(3).code, Code::IdReused);
}

#[test]
fn ask_same_id_twice() {
    let mut bench = Bench::new(3);
    let ask = order(&bench.ticket(0));
    bench.ask(0, 1, &ask);
    bench.ask(0, 2, &ask);
    bench.end(answered("done"));
    bench.ask(0, 3, &ask);
    for caller in 1..=3 {
        assert_eq!(bench.answers(caller), ["done"]);
    }
    assert!(bench.offers.is_empty());
}

#[test]
fn ask_resumed() {
    let mut bench = Bench::new(3);
    let ask = Submission {
        resume_from: 1,
        ..order(&bench.ticket(0))
    };
    bench.ask(0, 1, &ask);
    assert_eq!(bench.offers[0].1.resume_from, 0);
    bench.piece(0, "do");
    bench.piece(1, "ne");
    bench.end(answered(""));
    // One caller has the first piece already, the other gets all that is kept.
    assert_eq!(bench.pieces(1), [(1, "ne".into())]);
    let whole = order(&bench.ticket(0));
    bench.ask(0, 2, &whole);
    assert_eq!(bench.answers(2), ["done"]);
}

#[test]
fn ended_lost() {
    for end in [Completion::Lost, Completion::Failed, Completion::Cancelled] {
        let mut bench = Bench::new(3);
        let ask = order(&bench.ticket(0));
        bench.ask(0, 1, &ask);
        bench.end(end);
        assert_eq!(bench.refusal(1).run, Execution::MayHaveRun);
        bench.ask(0, 2, &ask);
        assert_eq!(bench.refusal(2).run, Execution::MayHaveRun);
        bench.pass(DEADLINE_MS);
        assert!(bench.offers.is_empty());
    }
}

#[test]
fn ended_refused() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &order(&bench.ticket(0)));
    bench.end(Completion::Refused);
    let (_, second) = &bench.offers[0];
    assert_eq!(second.attempt, 1);
    assert_eq!(second.failed_servers, [Name::from("server-0")]);
    bench.end(answered("done"));
    assert_eq!(bench.answers(1), ["done"]);
}

#[test]
fn ended_refused_always() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &order(&bench.ticket(0)));
    while !bench.offers.is_empty() {
        bench.end(Completion::Refused);
        bench.pass(200);
    }
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    assert_eq!(bench.refusal(1).remedy, Remedy::NewId);
}

#[test]
fn ended_of_unknown_call() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &order(&bench.ticket(0)));
    let (host, call) = bench.offers[0].clone();
    bench.end(answered("done"));
    let doubled = Event::Ended {
        call: call.id,
        server: Name::from("server-0"),
        end: answered("done"),
    };
    bench.tell(host, doubled);
    assert_eq!(bench.answers(1), ["done"]);
    assert_eq!(bench.ledger(0).counters().late, 1);
}

#[test]
fn refused_by_pool() {
    let mut bench = Bench::new(3);
    let ask = order(&bench.ticket(0));
    bench.ask(0, 1, &ask);
    let (host, call) = bench.offers.remove(0);
    let refusal = Refusal::not_run(Code::Overloaded, Remedy::Wait, "no server has room");
    bench.tell(
        host,
        Event::Refused {
            call: call.id,
            refusal,
        },
    );
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    // The id is spent, so that waiting doesn't help.
    assert_eq!(bench.refusal(1).remedy, Remedy::NewId);
}

#[test]
fn caller_gone() {
    let mut bench = Bench::new(3);
    let ask = order(&bench.ticket(0));
    bench.ask(0, 1, &ask);
    bench.tell(0, Event::CallerDisconnected(Caller(1)));
    assert!(bench.cancelled.is_empty());
    bench.end(answered("done"));
    assert!(bench.given.is_empty());
    for host in 0..3 {
        let fetch = Event::Fetch {
            caller: Caller(10 + host as u64),
            request: ask.request.clone(),
            ticket: ask.ticket.clone(),
            resume_from: 0,
        };
        bench.tell(host, fetch);
        assert_eq!(bench.answers(10 + host as u64), ["done"]);
    }
}

#[test]
fn silent_call() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &order(&bench.ticket(0)));
    bench.pass(DEADLINE_MS + CALL_TIMEOUT_MS);
    assert_eq!(bench.cancelled.len(), 1);
    bench.pass(1_100);
    assert_eq!(bench.refusal(1).run, Execution::MayHaveRun);
    assert_eq!(bench.ledger(0).counters().timeouts, 1);
}

#[test]
fn silent_call_never_sent() {
    let mut bench = Bench::new(3);
    bench.ask(0, 1, &order(&bench.ticket(0)));
    bench.pass(DEADLINE_MS + CALL_TIMEOUT_MS);
    bench.end(Completion::NotSent);
    bench.pass(1_100);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
}
