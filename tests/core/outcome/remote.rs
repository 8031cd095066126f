//! Tests of submissions and fetches at hosts other than the home, while home or witness fail.

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
    Cluster,
    DEADLINE_MS,
    answered,
    order, //
};

/// Time after which a host that isn't the home answers or refuses a request, in milliseconds.
const GIVE_UP_MS: u64 = DEADLINE_MS + 2_100;

#[test]
fn submit_home_alive() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    // The home runs a forwarded request that it hasn't seen before.
    cluster.submit(other_host, 1, &order(&ticket));
    assert_eq!(cluster.offers.len(), 1);
    assert_eq!(cluster.offers[0].0, 0);
    cluster.end_call(answered("done"));
    assert_eq!(cluster.answers(1), ["done"]);
}

#[test]
fn submit_home_running() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    cluster.submit(0, 1, &order(&ticket));
    cluster.submit(other_host, 2, &order(&ticket));
    cluster.advance(DEADLINE_MS);
    cluster.end_call(answered("done"));
    assert_eq!(cluster.answers(1), ["done"]);
    assert_eq!(cluster.answers(2), ["done"]);
}

#[test]
fn submit_home_down_before_prepare() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    cluster.crash(0, true);
    cluster.submit(other_host, 1, &order(&ticket));
    assert_eq!(cluster.refusal(1).code, Code::Sealed);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    assert_eq!(cluster.refusal(1).remedy, Remedy::NewId);
}

#[test]
fn submit_home_down_undetected() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    cluster.crash(0, false);
    cluster.submit(other_host, 1, &order(&ticket));
    assert!(cluster.delivered.is_empty());
    cluster.advance(500);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
}

#[test]
fn submit_home_down_after_prepare() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    cluster.submit(0, 1, &order(&ticket));
    cluster.crash(0, true);
    cluster.submit(other_host, 2, &order(&ticket));
    cluster.advance(GIVE_UP_MS);
    assert_eq!(cluster.refusal(2).run, Execution::MayHaveRun);
}

#[test]
fn submit_home_down_after_end() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    cluster.submit(0, 1, &order(&ticket));
    cluster.end_call(answered("done"));
    cluster.crash(0, true);
    cluster.submit(other_host, 2, &order(&ticket));
    assert_eq!(cluster.answers(2), ["done"]);
}

#[test]
fn submit_at_home_after_seal() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let (witness, other_host) = (cluster.witness(&ticket), cluster.other_host(&ticket));
    cluster
        .blocked_links
        .extend([(other_host, 0), (0, other_host)]);
    cluster.submit(other_host, 1, &order(&ticket));
    cluster.advance(500);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    // The first submission was delayed in the network, or its home was paused.
    cluster.submit(0, 2, &order(&ticket));
    assert_eq!(cluster.refusal(2).code, Code::Sealed);
    assert!(cluster.offers.is_empty());
    assert_eq!(cluster.coordinator(witness).witness().len(), 1);
}

#[test]
fn submit_witness_restarted() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let (witness, other_host) = (cluster.witness(&ticket), cluster.other_host(&ticket));
    cluster.restart(witness);
    // The home refuses the request, which didn't run and never will.
    cluster.submit(other_host, 1, &order(&ticket));
    cluster.advance(DEADLINE_MS);
    assert_eq!(cluster.refusal(1).code, Code::WitnessUnreachable);
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
}

#[test]
fn submit_home_and_witness_restarted() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let (witness, other_host) = (cluster.witness(&ticket), cluster.other_host(&ticket));
    cluster.restart(witness);
    cluster.restart(0);
    for (caller, host) in [(1, other_host), (2, witness), (3, 0)] {
        cluster.submit(host, caller, &order(&ticket));
        cluster.advance(GIVE_UP_MS);
        assert_eq!(cluster.refusal(caller).run, Execution::MayHaveRun);
    }
    assert!(cluster.offers.is_empty());
}

#[test]
fn submit_ticket_of_earlier_incarnation() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    cluster.restart(0);
    cluster.submit(0, 1, &order(&ticket));
    assert_eq!(cluster.refusal(1).code, Code::Sealed);
    assert!(cluster.offers.is_empty());
}

#[test]
fn status_from_unrelated_host() {
    let mut cluster = Cluster::new(4);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    let witness = cluster.witness(&ticket);
    cluster
        .blocked_links
        .extend([(other_host, 0), (other_host, witness)]);
    cluster.submit(other_host, 1, &order(&ticket));
    let unrelated = (0..4).find(|host| ![0, other_host, witness].contains(host));
    let from = cluster.views[unrelated.expect("no fourth host")]
        .own
        .id
        .clone();
    let message = Message::Status {
        request: order(&ticket).request,
        status: Status::Sealed,
    };
    cluster.handle_event(other_host, Event::Message { from, message });
    assert!(cluster.delivered.is_empty());
}

#[test]
fn fetch_unknown() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    let other_host = cluster.other_host(&ticket);
    let fetch = Event::Fetch {
        caller: Caller(1),
        request: order(&ticket).request,
        ticket: Some(ticket.clone()),
        resume_from: 0,
    };
    cluster.handle_event(other_host, fetch);
    cluster.advance(1_100);
    assert_eq!(cluster.refusal(1).code, Code::Unknown);
    // A fetch seals nothing.
    cluster.submit(0, 2, &order(&ticket));
    assert_eq!(cluster.offers.len(), 1);
}
