//! Tests of a graceful shutdown.

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
    Bench,
    answered,
    chat,
    order, //
};

#[test]
fn leaving_serves_while_addresses_are_kept() {
    let mut bench = Bench::new(3);
    leave(&mut bench, 0);
    bench.pass(address::drain_ms() - 100);
    bench.ask(0, 1, &chat());
    assert_eq!(bench.offers.len(), 1);
    bench.pass(200);
    bench.ask(0, 2, &plan_of_another());
    assert_eq!(bench.refusal(2).code, Code::Leaving);
    assert_eq!(bench.refusal(2).remedy, Remedy::AnotherHost);
    // What runs is finished.
    assert!(!bench.ledger(0).is_idle());
    bench.end(answered("vector"));
    bench.end(answered("text"));
    assert_eq!(bench.answers(1), ["text"]);
    assert!(bench.ledger(0).is_idle());
}

/// Time within which all hosts stop naming a leaving one, in milliseconds: see
/// `docs/address-design.md`.
const NEWS_MS: u64 = 1_000;

#[test]
fn leaving_serves_holder_of_last_answer() {
    let mut bench = Bench::new(3);
    leave(&mut bench, 0);
    // Another host named this one just before it heard, and the caller kept that to the end.
    bench.pass(NEWS_MS + address::ANSWER_TTL_MS);
    bench.ask(0, 1, &chat());
    assert_eq!(bench.offers.len(), 1);
}

#[test]
fn leaving_keeps_its_word_on_orders() {
    let mut bench = Bench::new(3);
    let ticket = bench.ticket(0);
    leave(&mut bench, 0);
    bench.pass(address::drain_ms() + 100);
    bench.ask(0, 1, &order(&ticket));
    assert_eq!(bench.refusal(1).run, Execution::NotRun);
    assert_eq!(bench.refusal(1).remedy, Remedy::NewId);
    // Another host hears the same from the home.
    let third = bench.third(&ticket);
    bench.ask(third, 2, &order(&ticket));
    assert_eq!(bench.refusal(2).run, Execution::NotRun);
    assert!(bench.offers.is_empty());
}

#[test]
fn leaving_keeper_hands_over() {
    let mut bench = Bench::new(4);
    bench.ask(0, 1, &chat());
    bench.end(answered("vector"));
    bench.end(answered("text"));
    let keeper = (1..4).find(|host| bench.ledger(*host).answers().bytes() > 0);
    let keeper = keeper.expect("a copy was made");
    bench.crash(0, true);
    leave(&mut bench, keeper);
    bench.pass(500);
    assert!(bench.ledger(keeper).is_idle());
    bench.crash(keeper, true);
    for host in (1..4).filter(|host| *host != keeper) {
        let caller = 10 + host as u64;
        let fetch = Event::Fetch {
            caller: Caller(caller),
            request: chat().request,
            ticket: None,
            resume_from: 0,
        };
        bench.tell(host, fetch);
        assert_eq!(bench.answers(caller), ["text"]);
    }
}

#[test]
fn starting_refuses() {
    let mut bench = Bench::new(3);
    bench.views[0].serving = false;
    bench.ask(0, 1, &chat());
    assert_eq!(bench.refusal(1).code, Code::Starting);
}

fn leave(bench: &mut Bench, host: usize) {
    let id = bench.views[host].own.id.clone();
    bench.views[host].leaving = true;
    let members = bench.views.iter_mut().flat_map(|view| &mut view.members);
    for member in members.filter(|member| member.host.id == id) {
        member.health = Health::Leaving;
    }
}

/// Returns a request that no host has seen.
fn plan_of_another() -> teaselchute::core::outcome::Submission {
    let mut ask = chat();
    ask.request.id = "chat-2".into();
    ask
}
