//! Tests of hosts that leave gracefully or don't serve yet.

use teaselchute::core::{
    address,
    outcome::{
        Caller,
        Event, //
    },
    refusal::{
        Code,
        Execution,
        Remedy, //
    },
    view::Health,
};

use super::{
    Cluster,
    answered,
    chat,
    order, //
};

#[test]
fn leaving_serves_until_addresses_expire() {
    let mut cluster = Cluster::new(3);
    leave(&mut cluster, 0);
    cluster.advance(address::drain_ms() - 100);
    cluster.submit(0, 1, &chat());
    assert_eq!(cluster.offers.len(), 1);
    cluster.advance(200);
    cluster.submit(0, 2, &other_chat());
    assert_eq!(cluster.refusal(2).code, Code::Leaving);
    assert_eq!(cluster.refusal(2).remedy, Remedy::AnotherHost);
    // Running requests are finished.
    assert!(!cluster.coordinator(0).is_idle());
    cluster.end_call(answered("vector"));
    cluster.end_call(answered("text"));
    assert_eq!(cluster.answers(1), ["text"]);
    assert!(cluster.coordinator(0).is_idle());
}

/// Time within which all hosts stop giving out the address of a leaving host, in milliseconds: see
/// `docs/address-design.md`.
const PROPAGATION_MS: u64 = 1_000;

#[test]
fn leaving_serves_last_address_holder() {
    let mut cluster = Cluster::new(3);
    leave(&mut cluster, 0);
    // Another host gave out this address just before it learned that the host leaves, and the
    // caller kept using it as long as allowed.
    cluster.advance(PROPAGATION_MS + address::ANSWER_TTL_MS);
    cluster.submit(0, 1, &chat());
    assert_eq!(cluster.offers.len(), 1);
}

#[test]
fn leaving_refuses_order_at_every_host() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.ticket(0);
    leave(&mut cluster, 0);
    cluster.advance(address::drain_ms() + 100);
    cluster.submit(0, 1, &order(&ticket));
    assert_eq!(cluster.refusal(1).run, Execution::NotRun);
    assert_eq!(cluster.refusal(1).remedy, Remedy::NewId);
    // A host that forwards the request gets the same refusal from the home.
    let other_host = cluster.other_host(&ticket);
    cluster.submit(other_host, 2, &order(&ticket));
    assert_eq!(cluster.refusal(2).run, Execution::NotRun);
    assert!(cluster.offers.is_empty());
}

#[test]
fn leaving_backup_host_hands_over() {
    let mut cluster = Cluster::new(4);
    cluster.submit(0, 1, &chat());
    cluster.end_call(answered("vector"));
    cluster.end_call(answered("text"));
    let backup_host = (1..4).find(|host| cluster.coordinator(*host).answers().bytes() > 0);
    let backup_host = backup_host.expect("no host has a backup");
    cluster.crash(0, true);
    leave(&mut cluster, backup_host);
    cluster.advance(500);
    assert!(cluster.coordinator(backup_host).is_idle());
    cluster.crash(backup_host, true);
    for host in (1..4).filter(|host| *host != backup_host) {
        let caller = 10 + host as u64;
        let fetch = Event::Fetch {
            caller: Caller(caller),
            request: chat().request,
            ticket: None,
            resume_from: 0,
        };
        cluster.handle_event(host, fetch);
        assert_eq!(cluster.answers(caller), ["text"]);
    }
}

#[test]
fn starting_refuses() {
    let mut cluster = Cluster::new(3);
    cluster.views[0].serving = false;
    cluster.submit(0, 1, &chat());
    assert_eq!(cluster.refusal(1).code, Code::Starting);
}

fn leave(cluster: &mut Cluster, host: usize) {
    let id = cluster.views[host].own.id.clone();
    cluster.views[host].leaving = true;
    let members = cluster.views.iter_mut().flat_map(|view| &mut view.members);
    for member in members.filter(|member| member.host.id == id) {
        member.health = Health::Leaving;
    }
}

/// Returns a request with another id.
fn other_chat() -> teaselchute::core::outcome::Submission {
    let mut submission = chat();
    submission.request.id = "chat-2".into();
    submission
}
