//! Tests of one pool on one host: shares, limits, refusals, restarts and lost messages.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use teaselchute::{
    core::{
        call::{
            self,
            Completion,
            Load, //
        },
        document::Organisation,
        refusal::{
            Code,
            Execution, //
        },
        routing::{
            Action,
            Event,
            Message,
            Pool, //
        },
        state::Target,
        view::View, //
    },
    names::Name,
    time::Instant,
};

use super::{
    document,
    id,
    pool,
    some_call,
    view, //
};

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

/// Offers calls, and returns the IDs of those that were sent, with their servers.
fn offer(
    pool: &mut Pool,
    view: &View,
    now: Instant,
    ids: std::ops::Range<u64>,
) -> Vec<(u64, Name)> {
    let actions = ids.flat_map(|number| {
        let mut call = some_call(number);
        call.deadline = now.after_ms(4_000);
        pool.step(now, view, Event::Offer(call))
    });
    sent_calls(actions)
}

fn sent_calls(actions: impl IntoIterator<Item = Action>) -> Vec<(u64, Name)> {
    let sends = actions.into_iter().filter_map(|action| match action {
        Action::Send { call, server } => Some((call.id.0, server)),
        _ => None,
    });
    sends.collect()
}

fn end_call(
    pool: &mut Pool,
    view: &View,
    now: Instant,
    call: &(u64, Name),
    incarnation: u64,
    end: Completion,
) {
    let ended = Event::Ended {
        call: call::Id(call.0),
        server: call.1.clone(),
        incarnation: Some(incarnation),
        end,
    };
    pool.step(now, view, ended);
}

/// Ticks often enough that the process doesn't count as paused, and returns the calls sent.
fn tick_until(pool: &mut Pool, view: &View, from_ms: u64, to_ms: u64) -> Vec<(u64, Name)> {
    let ticks = (from_ms..=to_ms).step_by(200);
    let actions = ticks.flat_map(|ms| pool.step(at(ms), view, Event::Tick));
    sent_calls(actions.collect::<Vec<_>>())
}

fn answered() -> Completion {
    Completion::Answered(Arc::from(&b"answer"[..]))
}

/// Completes calls one after the other until the only server is warm, and returns the time.
fn warm_up(pool: &mut Pool, view: &View) -> Instant {
    warm_up_from(pool, view, at(0), 1)
}

fn warm_up_from(pool: &mut Pool, view: &View, from: Instant, incarnation: u64) -> Instant {
    let mut now = from;
    for number in 0..400 {
        let call = &offer(pool, view, now, 10_000 + number..10_001 + number)[0];
        now = now.after_ms(50);
        end_call(pool, view, now, call, incarnation, answered());
    }
    now
}

#[test]
fn offer_cold_within_share() {
    let view = view(0, 1, document(1, 4, 32));
    assert_eq!(offer(&mut pool(), &view, at(0), 0..20).len(), 4);
}

#[test]
fn offer_cold_sum_over_hosts() {
    let sum: usize = (0..9)
        .map(|own| {
            let view = view(own, 9, document(1, 4, 32));
            offer(&mut pool(), &view, at(0), 0..20).len()
        })
        .sum();
    assert_eq!(sum, 4);
}

#[test]
fn offer_not_on_roster() {
    let view = view(9, 9, document(1, 100, 100));
    assert!(offer(&mut pool(), &view, at(0), 0..20).is_empty());
}

#[test]
fn offer_two_rosters_smaller_share() {
    let mut view = view(9, 10, document(1, 100, 100));
    view.roster.epoch = 2;
    view.previous_roster.epoch = 1;
    view.previous_roster.members = (0..9).map(id).collect();
    assert!(offer(&mut pool(), &view, at(0), 0..20).is_empty());
}

#[test]
fn offer_after_member_left_waits_call_timeout() {
    let mut pool = pool();
    let mut view = view(0, 2, document(1, 10, 10));
    let calls = offer(&mut pool, &view, at(0), 0..5);
    assert_eq!(calls.len(), 5);
    view.previous_roster = view.roster.clone();
    view.roster.epoch = 2;
    view.roster.members = vec![id(0)];
    pool.step(at(10), &view, Event::Tick);
    view.previous_roster.members.clear();
    assert!(sent_calls(pool.step(at(20), &view, Event::Tick)).is_empty());
    tick_until(&mut pool, &view, 200, 2_000);
    // Calls of the member that left run for 5 s at most.
    assert!(offer(&mut pool, &view, at(2_000), 100..120).is_empty());
    for call in &calls {
        end_call(&mut pool, &view, at(2_000), call, 1, answered());
    }
    assert!(tick_until(&mut pool, &view, 2_000, 5_000).is_empty());
    assert!(sent_calls(pool.step(at(5_019), &view, Event::Tick)).is_empty());
    assert_eq!(
        sent_calls(pool.step(at(5_020), &view, Event::Tick)).len(),
        5
    );
}

#[test]
fn offer_after_crash_of_remaining_member() {
    // The member may have crashed with calls of its larger share under the previous roster, before
    // the new host joined.
    let mut pool = pool();
    let mut view = view(2, 2, document(1, 30, 30));
    pool.step(at(0), &view, Event::Tick);
    view.previous_roster = view.roster.clone();
    view.roster.epoch = 2;
    view.roster.members.push(id(2));
    pool.step(at(10), &view, Event::Tick);
    view.previous_roster.members.clear();
    tick_until(&mut pool, &view, 20, 5_000);
    assert!(offer(&mut pool, &view, at(5_000), 0..20).is_empty());
    assert_eq!(
        sent_calls(pool.step(at(5_020), &view, Event::Tick)).len(),
        10
    );
}

#[test]
fn offer_restarted_host_keeps_position() {
    let mut pool = pool();
    let mut view = view(0, 2, document(1, 10, 10));
    view.roster.epoch = 5;
    view.own.id.incarnation = 2;
    // Calls of its previous incarnation run for 5 s at most.
    tick_until(&mut pool, &view, 0, 4_000);
    assert!(offer(&mut pool, &view, at(4_000), 0..20).is_empty());
    assert!(tick_until(&mut pool, &view, 4_000, 4_999).is_empty());
    assert_eq!(
        sent_calls(pool.step(at(5_000), &view, Event::Tick)).len(),
        5
    );
}

#[test]
fn offer_restarted_host_waits_under_first_roster() {
    let mut pool = pool();
    let mut view = view(0, 2, document(1, 10, 10));
    let roster = std::mem::take(&mut view.roster);
    view.own.id.incarnation = 2;
    // The state arrives after the first tick.
    pool.step(at(0), &view, Event::Tick);
    view.roster = roster;
    tick_until(&mut pool, &view, 100, 4_000);
    assert!(offer(&mut pool, &view, at(4_000), 0..20).is_empty());
    assert!(tick_until(&mut pool, &view, 4_000, 5_099).is_empty());
    assert_eq!(
        sent_calls(pool.step(at(5_100), &view, Event::Tick)).len(),
        5
    );
}

#[test]
fn offer_drained() {
    let mut view = view(0, 1, document(1, 4, 32));
    let target = Target::DataCentre(Name::from("almaty-a"));
    view.drained = BTreeSet::from([target]);
    let actions = pool().step(at(0), &view, Event::Offer(some_call(1)));
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(
        (refusal.run, refusal.code),
        (Execution::NotRun, Code::NoServer)
    );
}

#[test]
fn offer_failed_server_avoided() {
    let view = view(0, 1, document(2, 4, 32));
    for number in 0..20 {
        let mut call = some_call(number);
        call.failed_servers = vec![Name::from("s0")];
        let sent = sent_calls(pool().step(at(0), &view, Event::Offer(call)));
        assert_eq!(&*sent[0].1, "s1");
    }
}

#[test]
fn offer_organisation_over_limit_borrows() {
    let mut document = document(1, 100, 100);
    let organisation = Organisation {
        credential_digest: Name::from(""),
        weight: 1,
        requests_per_second: Some(18),
        pipelines: Default::default(),
        services: Vec::new(),
    };
    document
        .organisations
        .insert(Name::from("o1"), Arc::new(organisation));
    let views = [view(0, 9, document.clone()), view(1, 9, document)];
    let mut pools = [pool(), pool()];
    // Each of the nine hosts earns 2 per second.
    let mut refused = 0;
    let mut token_requests = 0;
    for number in 0..5 {
        for action in pools[0].step(at(0), &views[0], Event::Offer(some_call(number))) {
            match action {
                Action::Refuse { refusal, .. } => {
                    assert_eq!(refusal.code, Code::OrganisationLimit);
                    refused += 1;
                }
                Action::SendMessage { message, .. } => {
                    assert!(matches!(message, Message::TokenRequest { .. }));
                    token_requests += 1;
                }
                _ => {}
            }
        }
    }
    assert_eq!(refused, 3);
    assert!(token_requests <= 1);
    let token_request = Event::Message {
        from: id(0),
        message: Message::TokenRequest {
            organisation: Name::from("o1"),
        },
    };
    let actions = pools[1].step(at(0), &views[1], token_request);
    let [Action::SendMessage { message, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    let token_grant = Event::Message {
        from: id(1),
        message: message.clone(),
    };
    pools[0].step(at(0), &views[0], token_grant);
    let actions = pools[0].step(at(0), &views[0], Event::Offer(some_call(10)));
    let refused = |action: &Action| matches!(action, Action::Refuse { .. });
    assert!(!actions.iter().any(refused));
}

#[test]
fn offer_retry_without_budget() {
    let view = view(0, 1, document(2, 4, 32));
    let mut retry = some_call(1);
    retry.attempt = 1;
    let actions = pool().step(at(0), &view, Event::Offer(retry));
    let [Action::Refuse { refusal, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.code, Code::Overloaded);
}

#[test]
fn offer_deadline_passed_in_queue() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 1, 1));
    offer(&mut pool, &view, at(0), 0..2);
    let actions = pool.step(at(4_000), &view, Event::Tick);
    let [Action::Refuse { call, refusal }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(call.0, 1);
    assert_eq!(
        (refusal.run, refusal.code),
        (Execution::NotRun, Code::Deadline)
    );
}

#[test]
fn offer_warm_server() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let now = warm_up(&mut pool, &view);
    assert_eq!(offer(&mut pool, &view, now, 0..60).len(), 32);
}

#[test]
fn ended_new_incarnation_turns_cold() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let now = warm_up(&mut pool, &view);
    let sent = offer(&mut pool, &view, now, 0..1);
    let ended = Event::Ended {
        call: call::Id(0),
        server: sent[0].1.clone(),
        incarnation: Some(2),
        end: answered(),
    };
    let actions = pool.step(now, &view, ended);
    let is_broadcast =
        |action: &Action| matches!(action, Action::BroadcastCold { incarnation: 2, .. });
    assert!(actions.iter().any(is_broadcast));
    assert_eq!(offer(&mut pool, &view, now, 1..60).len(), 4);
}

#[test]
fn cold_notice_turns_cold_without_forwarding() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let now = warm_up(&mut pool, &view);
    let notice = Event::ColdNotice {
        server: Name::from("s0"),
        incarnation: 2,
    };
    let actions = pool.step(now, &view, notice);
    let is_broadcast = |action: &Action| matches!(action, Action::BroadcastCold { .. });
    assert!(!actions.iter().any(is_broadcast));
    assert_eq!(offer(&mut pool, &view, now, 0..60).len(), 4);
}

#[test]
fn cold_notice_overtaken_by_newer_incarnation() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let mut now = warm_up(&mut pool, &view);
    let pending = offer(&mut pool, &view, now, 0..1);
    for incarnation in [3, 2] {
        let server = Name::from("s0");
        now = now.after_ms(10);
        pool.step(
            now,
            &view,
            Event::ColdNotice {
                server,
                incarnation,
            },
        );
    }
    // This call was sent before the notice of incarnation 2, so its answer doesn't show that
    // incarnation 3 is running.
    end_call(&mut pool, &view, now, &pending[0], 3, answered());
    assert_eq!(pool.servers().next().unwrap().limit.incarnation(), Some(2));
    let now = warm_up_from(&mut pool, &view, now.after_ms(10), 3);
    assert_eq!(pool.servers().next().unwrap().limit.incarnation(), Some(3));
    assert_eq!(offer(&mut pool, &view, now, 0..60).len(), 32);
}

#[test]
fn load_late_report_of_past_incarnation() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let now = warm_up(&mut pool, &view);
    let server = Name::from("s0");
    let load = |incarnation, sequence| Event::Load {
        server: server.clone(),
        load: Load {
            incarnation,
            sequence,
            running: 0,
            waiting: 0,
        },
    };
    pool.step(now, &view, load(2, 1));
    for sequence in 0..100 {
        pool.step(now.after_ms(sequence), &view, load(1, 500 + sequence));
        pool.step(now.after_ms(sequence), &view, load(2, 2 + sequence));
    }
    assert_eq!(offer(&mut pool, &view, now.after_ms(100), 0..60).len(), 4);
}

#[test]
fn ended_lost_keeps_slot_until_call_timeout() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let calls = offer(&mut pool, &view, at(0), 0..4);
    for call in &calls {
        let ended = Event::Ended {
            call: call::Id(call.0),
            server: call.1.clone(),
            incarnation: None,
            end: Completion::Lost,
        };
        pool.step(at(100), &view, ended);
    }
    // The server may still run them until 5 s after they were sent.
    assert!(offer(&mut pool, &view, at(4_900), 10..20).is_empty());
    assert!(sent_calls(pool.step(at(4_950), &view, Event::Tick)).is_empty());
    assert_eq!(
        sent_calls(pool.step(at(5_050), &view, Event::Tick)).len(),
        4
    );
}

#[test]
fn tick_call_timeout_frees_slot() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 1, 1));
    offer(&mut pool, &view, at(0), 0..1);
    assert!(offer(&mut pool, &view, at(2_000), 1..2).is_empty());
    let actions = pool.step(at(5_050), &view, Event::Tick);
    assert!(matches!(actions[0], Action::Abort { .. }));
}

#[test]
fn message_capacity_report_after_query() {
    let document = document(1, 1, 32);
    let views: Vec<View> = (0..2).map(|own| view(own, 2, document.clone())).collect();
    let mut pools = [pool(), pool()];
    let uninformed = |own: &usize| offer(&mut pool(), &views[*own], at(0), 0..1).is_empty();
    let uninformed = (0..2).find(uninformed).unwrap();
    let informed = 1 - uninformed;
    let now = warm_up(&mut pools[informed], &views[informed]);
    // The host may draw itself as the target, in which case it sends no query and tries again
    // later.
    let mut queries = (0..8).flat_map(|attempt| {
        let actions =
            pools[uninformed].step(now.after_ms(attempt * 500), &views[uninformed], Event::Tick);
        actions.into_iter().filter_map(|action| match action {
            Action::SendMessage { message, .. } => Some(message),
            _ => None,
        })
    });
    let query = queries.next().unwrap();
    drop(queries);
    let from = id(uninformed);
    let received_query = Event::Message {
        from,
        message: query,
    };
    pools[informed].step(now, &views[informed], received_query);
    let later = now.after_ms(10);
    let calls = offer(&mut pools[informed], &views[informed], later, 0..1);
    let ended = Event::Ended {
        call: call::Id(calls[0].0),
        server: calls[0].1.clone(),
        incarnation: Some(1),
        end: answered(),
    };
    let actions = pools[informed].step(later.after_ms(50), &views[informed], ended);
    let report = actions.into_iter().find_map(|action| match action {
        Action::SendMessage { message, .. } => Some(message),
        _ => None,
    });
    let received_report = Event::Message {
        from: id(informed),
        message: report.unwrap(),
    };
    let mut ignored = pools[uninformed].step(later, &views[uninformed], Event::Tick);
    ignored.clear();
    pools[uninformed].step(
        later.after_ms(60),
        &views[uninformed],
        received_report.clone(),
    );
    assert_eq!(
        offer(&mut pools[uninformed], &views[uninformed], later, 0..60).len(),
        16
    );
    // The same report is ignored after newer evidence.
    let notice = Event::ColdNotice {
        server: Name::from("s0"),
        incarnation: 2,
    };
    let mut new_pool = pool();
    new_pool.step(later, &views[uninformed], notice);
    new_pool.step(later, &views[uninformed], received_report);
    assert!(offer(&mut new_pool, &views[uninformed], later, 0..60).is_empty());
}

#[test]
fn fits_share_calls_above_new_share() {
    let mut pool = pool();
    let mut view = view(0, 1, document(1, 4, 32));
    let sent = offer(&mut pool, &view, at(0), 0..4);
    view.previous_roster = view.roster.clone();
    view.roster.epoch = 2;
    view.roster.members = vec![id(0), id(1)];
    assert!(!pool.fits_share(&view));
    for call in &sent[..2] {
        end_call(&mut pool, &view, at(10), call, 1, answered());
    }
    assert!(pool.fits_share(&view));
    assert!(offer(&mut pool, &view, at(20), 10..20).is_empty());
}

#[test]
fn tick_failure_rate_decays() {
    // Servers of a zone that was down are cold and idle after the outage, and must get calls again.
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let mut now = at(0);
    for number in 0..50 {
        for call in offer(&mut pool, &view, now, number..number + 1) {
            end_call(&mut pool, &view, now, &call, 1, Completion::Failed);
        }
    }
    assert!(pool.servers().all(|server| server.failure_rate > 900));
    for _ in 0..200 {
        now = now.after_ms(50);
        pool.step(now, &view, Event::Tick);
    }
    assert!(pool.servers().all(|server| server.failure_rate < 100));
}

#[test]
fn cancel_sent_call() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    offer(&mut pool, &view, at(0), 0..1);
    let actions = pool.step(at(1), &view, Event::Cancel(call::Id(0)));
    assert!(matches!(actions.as_slice(), [Action::Abort { .. }]));
}

#[test]
fn costs_one_answered_call() {
    let mut pool = pool();
    let view = view(0, 1, document(1, 4, 32));
    let sent = offer(&mut pool, &view, at(0), 0..1);
    end_call(&mut pool, &view, at(100), &sent[0], 1, answered());
    let account = pool.costs().values().next().unwrap();
    assert_eq!((account.calls, account.answered), (1, 1));
    assert_eq!((account.run_ms, account.price_micro), (100, 1_000));
}

#[test]
fn offer_stale_state() {
    let mut view = view(0, 1, document(1, 4, 32));
    view.fresh_at = at(0);
    let mut pool = pool();
    assert_eq!(offer(&mut pool, &view, at(1_000), 0..1).len(), 1);
    assert!(offer(&mut pool, &view, at(5_000), 1..2).is_empty());
}

#[test]
fn offer_after_pause_waits_for_evidence() {
    let view = view(0, 1, document(1, 4, 32));
    let mut pool = pool();
    pool.step(at(0), &view, Event::Tick);
    assert!(offer(&mut pool, &view, at(3_000), 0..2).is_empty());
    assert!(sent_calls(pool.step(at(3_050), &view, Event::Tick)).is_empty());
    assert_eq!(
        sent_calls(pool.step(at(3_100), &view, Event::Tick)).len(),
        2
    );
}
