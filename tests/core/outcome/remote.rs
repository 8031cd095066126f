//! Tests of retries and fetches at other hosts, with homes and witnesses that die or are cut off.

use teaselchute::core::{
    outcome::{
        Caller,
        Event,
        Message,
        Status, //
    },
    refusal::{
        Code,
        Execution,
        Remedy, //
    },
};

use super::{
    Bench,
    DEADLINE_MS,
    answered,
    order, //
};

/// Time in which a host at which a caller retries gives its last word, in milliseconds.
const LAST_WORD_MS: u64 = DEADLINE_MS + 2_100;

#[test]
fn ask_home_alive() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    // The home runs what it hears of for the first time by way of another host.
    bench.ask(third, 1, &order(&ticket));
    assert_eq!(bench.offers.len(), 1);
    assert_eq!(bench.offers[0].0, 0);
    bench.end(answered("done"));
    assert_eq!(bench.answers(1), ["done"]);
}

#[test]
fn ask_home_runs() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    bench.ask(0, 1, &order(&ticket));
    bench.ask(third, 2, &order(&ticket));
    bench.pass(DEADLINE_MS);
    bench.end(answered("done"));
    assert_eq!(bench.answers(1), ["done"]);
    assert_eq!(bench.answers(2), ["done"]);
}

#[test]
fn ask_home_dead_before_prepare() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    bench.crash(0, true);
    bench.ask(third, 1, &order(&ticket));
    assert_eq!(bench.refusal(1).code, Code::Sealed);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    assert_eq!(bench.refusal(1).remedy, Remedy::NewId);
}

#[test]
fn ask_home_dead_unnoticed() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    bench.crash(0, false);
    bench.ask(third, 1, &order(&ticket));
    assert!(bench.given.is_empty());
    bench.pass(500);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
}

#[test]
fn ask_home_dead_after_prepare() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    bench.ask(0, 1, &order(&ticket));
    bench.crash(0, true);
    bench.ask(third, 2, &order(&ticket));
    bench.pass(LAST_WORD_MS);
    assert_eq!(bench.refusal(2).run, Execution::MayHaveRun);
}

#[test]
fn ask_home_dead_after_end() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    bench.ask(0, 1, &order(&ticket));
    bench.end(answered("done"));
    bench.crash(0, true);
    bench.ask(third, 2, &order(&ticket));
    assert_eq!(bench.answers(2), ["done"]);
}

#[test]
fn ask_sealed_then_late_at_home() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let (witness, third) = (bench.witness(&ticket), bench.third(&ticket));
    bench.cut.extend([(third, 0), (0, third)]);
    bench.ask(third, 1, &order(&ticket));
    bench.pass(500);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    // The first ask was held back in the network, or its home was paused.
    bench.ask(0, 2, &order(&ticket));
    assert_eq!(bench.refusal(2).code, Code::Sealed);
    assert!(bench.offers.is_empty());
    assert_eq!(bench.ledger(witness).witness().len(), 1);
}

#[test]
fn ask_witness_restarted() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let (witness, third) = (bench.witness(&ticket), bench.third(&ticket));
    bench.restart(witness);
    // The home says that it didn't run, and never will.
    bench.ask(third, 1, &order(&ticket));
    bench.pass(DEADLINE_MS);
    assert_eq!(bench.refusal(1).code, Code::WitnessUnreachable);
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
}

#[test]
fn ask_home_and_witness_restarted() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let (witness, third) = (bench.witness(&ticket), bench.third(&ticket));
    bench.restart(witness);
    bench.restart(0);
    for (caller, host) in [(1, third), (2, witness), (3, 0)] {
        bench.ask(host, caller, &order(&ticket));
        bench.pass(LAST_WORD_MS);
        assert_eq!(bench.refusal(caller).run, Execution::MayHaveRun);
    }
    assert!(bench.offers.is_empty());
}

#[test]
fn ask_own_former_life() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    bench.restart(0);
    bench.ask(0, 1, &order(&ticket));
    assert_eq!(bench.refusal(1).code, Code::Sealed);
    assert!(bench.offers.is_empty());
}

#[test]
fn standing_of_stranger() {
    let mut bench = Bench::new(4);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    let witness = bench.witness(&ticket);
    bench.cut.extend([(third, 0), (third, witness)]);
    bench.ask(third, 1, &order(&ticket));
    let stranger = (0..4).find(|host| ![0, third, witness].contains(host));
    let from = bench.views[stranger.expect("a fourth host")].own.id.clone();
    let message = Message::Status {
        request: order(&ticket).request,
        status: Status::Sealed,
    };
    bench.tell(third, Event::Message { from, message });
    assert!(bench.given.is_empty());
}

#[test]
fn fetch_unknown() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    let third = bench.third(&ticket);
    let fetch = Event::Fetch {
        caller: Caller(1),
        request: order(&ticket).request,
        ticket: Some(ticket.clone()),
        resume_from: 0,
    };
    bench.tell(third, fetch);
    bench.pass(1_100);
    assert_eq!(bench.refusal(1).code, Code::Unknown);
    // A fetch seals nothing.
    bench.ask(0, 2, &order(&ticket));
    assert_eq!(bench.offers.len(), 1);
}
