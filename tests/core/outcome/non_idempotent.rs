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
    CALL_TIMEOUT_MS,
    Cluster,
    DEADLINE_MS,
    answered,
    body,
    order, //
};

#[test]
fn submit_acknowledged() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    cluster.submit(0, 1, &order(&ticket));
    assert_eq!(cluster.offers.len(), 1);
    cluster.end_call(answered("done"));
    assert_eq!(cluster.answers(1), ["done"]);
}

#[test]
fn submit_witness_unreachable() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let witness = cluster.witness(&ticket);
    cluster.blocked_links.insert((0, witness));
    cluster.submit(0, 1, &order(&ticket));
    cluster.advance(DEADLINE_MS);
    assert_eq!(cluster.refusal(1).code, Code::WitnessUnreachable);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    // The refusal is recorded, although the witness could reply now.
    cluster.blocked_links.clear();
    cluster.submit(0, 2, &order(&ticket));
    assert_eq!(cluster.refusal(2).run, Execution::NotRun);
    assert!(cluster.offers.is_empty());
}

#[test]
fn submit_acknowledgement_lost() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let witness = cluster.witness(&ticket);
    cluster.blocked_links.insert((witness, 0));
    cluster.submit(0, 1, &order(&ticket));
    cluster.advance(50);
    cluster.blocked_links.clear();
    cluster.advance(500);
    assert_eq!(cluster.offers.len(), 1);
}

#[test]
fn submit_without_ticket() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let untagged = Submission {
        ticket: None,
        request: Request {
            organisation: Name::from("stalls"),
            id: Name::from("order-1"),
        },
        ..order(&ticket)
    };
    cluster.submit(0, 1, &untagged);
    assert_eq!(cluster.refusal(1).code, Code::TicketRequired);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    // An id with a tag may have run under its ticket, which is missing here.
    let tagged = Submission {
        ticket: None,
        ..order(&ticket)
    };
    cluster.submit(0, 2, &tagged);
    assert_eq!(cluster.refusal(2).run, Execution::MayHaveRun);
}

#[test]
fn submit_ticket_of_other_id() {
    let mut cluster = Cluster::new(3);
    let submission = Submission {
        ticket: Some(cluster.ticket(1)),
        ..order(&cluster.ticket(0))
    };
    cluster.submit(1, 1, &submission);
    assert_eq!(cluster.refusal(1).code, Code::TicketRequired);
    assert!(cluster.offers.is_empty());
}

#[test]
fn submit_other_body() {
    let mut cluster = Cluster::new(3);
    let submission = order(&cluster.ticket(0));
    cluster.submit(0, 1, &submission);
    let other = Submission {
        body: body("salt"),
        ..submission
    };
    cluster.submit(0, 2, &other);
    assert_eq!(cluster.refusal(2).code, Code::IdReused);
    cluster.end_call(answered("done"));
    cluster.submit(0, 3, &other);
    assert_eq!(cluster.refusal(3).code, Code::IdReused);
}

#[test]
fn submit_same_id_again() {
    let mut cluster = Cluster::new(3);
    let submission = order(&cluster.ticket(0));
    cluster.submit(0, 1, &submission);
    cluster.submit(0, 2, &submission);
    cluster.end_call(answered("done"));
    cluster.submit(0, 3, &submission);
    for caller in 1..=3 {
        assert_eq!(cluster.answers(caller), ["done"]);
    }
    assert!(cluster.offers.is_empty());
}

#[test]
fn submit_resumed() {
    let mut cluster = Cluster::new(3);
    let submission = Submission {
        resume_from: 1,
        ..order(&cluster.ticket(0))
    };
    cluster.submit(0, 1, &submission);
    assert_eq!(cluster.offers[0].1.resume_from, 0);
    cluster.receive_piece(0, "do");
    cluster.receive_piece(1, "ne");
    cluster.end_call(answered(""));
    // The first caller has the first piece already. The second gets the whole stored answer.
    assert_eq!(cluster.pieces(1), [(1, "ne".into())]);
    let from_start = order(&cluster.ticket(0));
    cluster.submit(0, 2, &from_start);
    assert_eq!(cluster.answers(2), ["done"]);
}

#[test]
fn ended_lost() {
    for end in [Completion::Lost, Completion::Failed, Completion::Cancelled] {
        let mut cluster = Cluster::new(3);
        let submission = order(&cluster.ticket(0));
        cluster.submit(0, 1, &submission);
        cluster.end_call(end);
        assert_eq!(cluster.refusal(1).run, Execution::MayHaveRun);
        cluster.submit(0, 2, &submission);
        assert_eq!(cluster.refusal(2).run, Execution::MayHaveRun);
        cluster.advance(DEADLINE_MS);
        assert!(cluster.offers.is_empty());
    }
}

#[test]
fn ended_refused() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &order(&cluster.ticket(0)));
    cluster.end_call(Completion::Refused);
    let (_, second) = &cluster.offers[0];
    assert_eq!(second.attempt, 1);
    assert_eq!(second.failed_servers, [Name::from("server-0")]);
    cluster.end_call(answered("done"));
    assert_eq!(cluster.answers(1), ["done"]);
}

#[test]
fn ended_refused_every_attempt() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &order(&cluster.ticket(0)));
    while !cluster.offers.is_empty() {
        cluster.end_call(Completion::Refused);
        cluster.advance(200);
    }
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    assert_eq!(cluster.refusal(1).remedy, Remedy::NewId);
}

#[test]
fn ended_after_end() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &order(&cluster.ticket(0)));
    let (host, call) = cluster.offers[0].clone();
    cluster.end_call(answered("done"));
    let duplicate = Event::Ended {
        call: call.id,
        server: Name::from("server-0"),
        end: answered("done"),
    };
    cluster.handle_event(host, duplicate);
    assert_eq!(cluster.answers(1), ["done"]);
    assert_eq!(cluster.coordinator(0).counters().late, 1);
}

#[test]
fn refused_by_pool() {
    let mut cluster = Cluster::new(3);
    let submission = order(&cluster.ticket(0));
    cluster.submit(0, 1, &submission);
    let (host, call) = cluster.offers.remove(0);
    let refusal = Refusal::not_run(Code::Overloaded, Remedy::Wait, "no server has room");
    cluster.handle_event(
        host,
        Event::Refused {
            call: call.id,
            refusal,
        },
    );
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    // The outcome of the id is final, so waiting doesn't help.
    assert_eq!(cluster.refusal(1).remedy, Remedy::NewId);
}

#[test]
fn caller_disconnected() {
    let mut cluster = Cluster::new(3);
    let submission = order(&cluster.ticket(0));
    cluster.submit(0, 1, &submission);
    cluster.handle_event(0, Event::CallerDisconnected(Caller(1)));
    assert!(cluster.cancelled.is_empty());
    cluster.end_call(answered("done"));
    assert!(cluster.delivered.is_empty());
    for host in 0..3 {
        let fetch = Event::Fetch {
            caller: Caller(10 + host as u64),
            request: submission.request.clone(),
            ticket: submission.ticket.clone(),
            resume_from: 0,
        };
        cluster.handle_event(host, fetch);
        assert_eq!(cluster.answers(10 + host as u64), ["done"]);
    }
}

#[test]
fn tick_call_timed_out() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &order(&cluster.ticket(0)));
    cluster.advance(DEADLINE_MS + CALL_TIMEOUT_MS);
    assert_eq!(cluster.cancelled.len(), 1);
    cluster.advance(1_100);
    assert_eq!(cluster.refusal(1).run, Execution::MayHaveRun);
    assert_eq!(cluster.coordinator(0).counters().timeouts, 1);
}

#[test]
fn tick_cancelled_call_not_sent() {
    let mut cluster = Cluster::new(3);
    cluster.submit(0, 1, &order(&cluster.ticket(0)));
    cluster.advance(DEADLINE_MS + CALL_TIMEOUT_MS);
    cluster.end_call(Completion::NotSent);
    cluster.advance(1_100);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
}
