use proptest::prelude::*;
use teaselchute::{
    core::gateway::{
        pause::{
            MAX_PAUSE_MS,
            Request,
            Table,
            Wait,
            parse, //
        },
        servers::Entry,
    },
    time::Instant,
};

use super::{
    at,
    entry, //
};

/// Time after the response from which the limit holds, in milliseconds.
const REACTION_MS: u64 = 500;

/// Most requests from then to the end of the pause.
const MOST: usize = 2;

fn server(id: &str) -> Entry {
    entry(id, "llm", "dc-1")
}

fn started(id: &str, started_at: Option<u64>) -> Entry {
    Entry {
        started_at,
        ..server(id)
    }
}

fn parsed(values: &[&str]) -> Request {
    parse(values.iter().map(|value| value.as_bytes()))
}

/// Guards against a value that pauses a server by mistake, for too long or not at all.
#[test]
fn parse_values() {
    assert_eq!(parsed(&[]), Request::None);
    assert_eq!(parsed(&["2"]), Request::Pause(2_000));
    assert_eq!(parsed(&[" 0.25 "]), Request::Pause(250));
    assert_eq!(parsed(&["0.0001"]), Request::Pause(1), "rounded up");
    assert_eq!(parsed(&["0"]), Request::None);
    assert_eq!(parsed(&["-0"]), Request::None);
    for malformed in [
        "-1",
        "",
        "soon",
        "1 s",
        "1,2",
        "0x10",
        "NaN",
        "inf",
        "-inf",
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "1e999",
    ] {
        assert_eq!(parsed(&[malformed]), Request::Malformed, "{malformed}");
    }
    assert_eq!(parse([&b"\xff\xfe"[..]].into_iter()), Request::Malformed);
    for years in ["31536000", "1e300", "99999999999999999999"] {
        assert_eq!(parsed(&[years]), Request::Pause(MAX_PAUSE_MS), "{years}");
    }
    assert_eq!(
        parsed(&["1", "3", "2"]),
        Request::Pause(3_000),
        "the longest"
    );
    assert_eq!(parsed(&["soon", "1"]), Request::Pause(1_000));
    assert_eq!(parsed(&["soon", "0"]), Request::None);
}

/// Hundreds of requests are in flight when a server asks for a pause, and all of them are answered so, some late and
/// with shorter times. Callers press on: whatever reaches the server in the pause is counted.
#[test]
fn record_send_in_pause_of_busy_server() {
    let mut table = Table::default();
    let server = server("s");
    let mut sent: Vec<u64> = Vec::new();
    // A request takes 10 to 410 ms. Those sent from 1,000 ms on are answered with a pause until 4,000 ms.
    let mut in_flight: Vec<(u64, u64)> = Vec::new();
    let mut first_answer = None;
    for now in 0..4_000 {
        let (answered, left): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|&(_, end)| end == now);
        in_flight = left;
        for (start, _) in answered {
            if start < 1_000 {
                table.record_answer(at(start), &server);
                continue;
            }
            first_answer.get_or_insert(now);
            table.record_pause(at(now), "host", &server, 4_000 - now);
        }
        // Two callers in each millisecond.
        for caller in 0..2 {
            if table.record_send(at(now), &server).is_ok() {
                sent.push(now);
                in_flight.push((now, now + 10 + (now * 7 + caller * 13) % 400));
            }
        }
    }
    let first_answer = first_answer.expect("it asked for a pause");
    let before = sent.iter().filter(|&&at| at < first_answer).count();
    assert!(before > 500, "{before} requests before");
    let bound = first_answer + REACTION_MS..4_000;
    let count = sent.iter().filter(|at| bound.contains(at)).count();
    assert!(count <= MOST, "{count} requests in the pause");
    let after = sent.iter().filter(|&&at| at > first_answer).count();
    assert_eq!(after, 0, "it takes effect at once");
}

proptest! {
    /// Whatever is answered, and in which order: from 0.5 s after an answer with a pause to its end, at most two
    /// requests reach the server. Those are sent before the answer was there, so none is sent.
    #[test]
    fn record_send_never_in_pause(
        steps in proptest::collection::vec((0_u64..400, 0_u8..4, 0_u64..3_000), 1..200),
    ) {
        let mut table = Table::default();
        let server = server("s");
        let mut now = 0;
        let mut paused_until = 0;
        let mut sent: Vec<u64> = Vec::new();
        for (wait_ms, event, value) in steps {
            now += wait_ms;
            match event {
                0 => {
                    table.record_pause(at(now), "host", &server, value);
                    paused_until = paused_until.max(now + value);
                }
                1 => {
                    // The answer to any earlier request, also one from before the pause.
                    let index = usize::try_from(value).expect("small") % sent.len().max(1);
                    if let Some(&sent_at) = sent.get(index) {
                        table.record_answer(at(sent_at), &server);
                    }
                }
                _ => {
                    if table.record_send(at(now), &server).is_ok() {
                        prop_assert!(now >= paused_until, "sent at {now}, paused until {paused_until}");
                        sent.push(now);
                    }
                }
            }
            table.expire(at(now));
        }
    }
}

/// Of two end times the later holds, in any order of the answers.
#[test]
fn record_pause_later_end_holds() {
    for (first_ms, second_ms) in [(5_000, 1_000), (1_000, 5_000)] {
        let mut table = Table::default();
        table.record_pause(at(0), "host", &server("s"), first_ms);
        table.record_pause(at(100), "host", &server("s"), second_ms);
        let wait = table.wait(at(4_900), &server("s"));
        assert!(matches!(wait, Some(Wait::Paused(_))), "{wait:?}");
    }
}

/// A server that restarts, or another one at its address, has asked for nothing.
#[test]
fn wait_of_other_start_or_server() {
    let mut table = Table::default();
    let first = started("s", Some(1));
    let second = started("s", Some(2));
    assert!(table.record_pause(at(0), "host", &first, 60_000).is_some());
    assert!(table.wait(at(1), &first).is_some());
    assert_eq!(table.wait(at(1), &second), None);
    assert_eq!(table.record_send(at(1), &second), Ok(()));
    let mut other = server("t");
    other.address = first.address;
    assert_eq!(table.wait(at(1), &other), None);
    // Its own pause replaces that of its earlier start, whose late answers change nothing.
    table.record_pause(at(2), "host", &second, 1_000);
    assert_eq!(table.record_pause(at(3), "host", &first, 60_000), None);
    assert_eq!(table.wait(at(1_500), &second), None);
}

/// A server that doesn't state its start is told from its next start by its leave.
#[test]
fn forget_server_without_start() {
    let mut table = Table::default();
    table.record_pause(at(0), "host", &started("s", None), 60_000);
    table.record_pause(at(0), "host", &started("t", Some(1)), 60_000);
    table.forget("s");
    table.forget("t");
    assert_eq!(table.wait(at(1), &started("s", None)), None);
    let wait = table.wait(at(1), &started("t", Some(1)));
    assert!(wait.is_some(), "an entry that was missed in the store");
}

fn end(host: &str, ms: u64) -> u64 {
    let mut table = Table::default();
    let left_ms = table.record_pause(at(0), host, &server("s"), ms);
    left_ms.expect("it is a new pause")
}

/// Hosts that return together overload a server again. The jitter extends the pause, and never shortens it.
#[test]
fn record_pause_jitter_spreads_hosts() {
    for (ms, most_ms) in [(500, 100), (2_000, 400), (60_000, 500)] {
        let ends: Vec<u64> = (0..300).map(|it| end(&format!("host-{it}"), ms)).collect();
        assert!(ends.iter().all(|end| (ms..=ms + most_ms).contains(end)));
        // Each fifth of the time gets a fair part of the hosts.
        for fifth in 0..5 {
            let from = ms + most_ms * fifth / 5;
            let part = from..from + most_ms / 5;
            let count = ends.iter().filter(|end| part.contains(end)).count();
            assert!((30..=90).contains(&count), "{count} of 300 in {part:?}");
        }
    }
    assert_eq!(end("host", 2_000), end("host", 2_000), "the same each time");
    assert!(end("host", u64::MAX) <= MAX_PAUSE_MS + 500, "capped");
}

fn paused_until(table: &mut Table, ms: u64) -> Instant {
    let left_ms = table.record_pause(at(0), "host", &server("s"), ms);
    at(left_ms.expect("it is a new pause"))
}

/// A server that returns gets one request first. A crowd would overload it again.
#[test]
fn record_send_trial_first() {
    let mut table = Table::default();
    let end = paused_until(&mut table, 1_000);
    assert_eq!(table.record_send(end, &server("s")), Ok(()));
    for ms in 0..1_000 {
        let sent = table.record_send(end.after_ms(ms), &server("s"));
        assert_eq!(sent, Err(Wait::Trial));
    }
    // Its answer may be lost.
    let later = end.after_ms(1_000);
    assert_eq!(table.record_send(later, &server("s")), Ok(()));
    assert_eq!(table.record_send(later, &server("s")), Ok(()));
}

/// The answer to the trial lets the others go, that to an older request doesn't.
#[test]
fn record_answer_ends_trial() {
    let mut table = Table::default();
    let end = paused_until(&mut table, 1_000);
    let trial = end.after_ms(50);
    assert_eq!(table.record_send(trial, &server("s")), Ok(()));
    table.record_answer(at(0), &server("s"));
    let wait = table.wait(trial.after_ms(20), &server("s"));
    assert_eq!(wait, Some(Wait::Trial), "an older request");
    table.record_answer(trial, &server("s"));
    assert_eq!(table.wait(trial.after_ms(20), &server("s")), None);
    assert!(table.is_empty());
}

/// The trial is answered with another pause, which counts from then on.
#[test]
fn record_pause_in_trial() {
    let mut table = Table::default();
    let end = paused_until(&mut table, 1_000);
    assert_eq!(table.record_send(end, &server("s")), Ok(()));
    let answered = end.after_ms(30);
    table.record_pause(answered, "host", &server("s"), 2_000);
    for ms in [0, 1_000, 1_999] {
        let sent = table.record_send(answered.after_ms(ms), &server("s"));
        assert!(matches!(sent, Err(Wait::Paused(_))), "{sent:?}");
    }
    let next = answered.after_ms(2_500);
    assert_eq!(table.record_send(next, &server("s")), Ok(()));
    let sent = table.record_send(next, &server("s"));
    assert_eq!(sent, Err(Wait::Trial), "one again");
}

/// What is known of servers that get no requests must not grow for ever, and a pause must not end early with it.
#[test]
fn expire_after_end_only() {
    let mut table = Table::default();
    let end = paused_until(&mut table, 200_000);
    table.expire(end.before_ms(1));
    assert!(table.wait(end.before_ms(1), &server("s")).is_some());
    table.expire(end.after_ms(30_000));
    assert!(!table.is_empty(), "the trial is still to come");
    table.expire(end.after_ms(60_000));
    assert!(table.is_empty());
}

/// A value that is no number is logged once for each start of a server.
#[test]
fn record_malformed_first_only() {
    let mut table = Table::default();
    assert!(table.record_malformed(&started("s", Some(1))));
    assert!(!table.record_malformed(&started("s", Some(1))));
    assert!(table.record_malformed(&started("s", Some(2))));
    assert!(table.record_malformed(&started("t", Some(1))));
    assert!(table.is_empty(), "nothing is paused");
}

/// A service is paused if all its servers are. One on trial gets the next request within a second.
#[test]
fn wait_of_all_first_end() {
    let mut table = Table::default();
    let servers = [server("s"), server("t")];
    let wait = |table: &Table, now| table.wait_of_all(at(now), servers.iter());
    assert_eq!(wait(&table, 0), None);
    table.record_pause(at(0), "host", &servers[0], 1_000);
    assert_eq!(wait(&table, 1), None, "the other one isn't paused");
    table.record_pause(at(0), "host", &servers[1], 3_000);
    let Some(Wait::Paused(ms)) = wait(&table, 0) else {
        panic!("both are paused");
    };
    assert!((1_000..=1_200).contains(&ms), "{ms}");
    assert_eq!(wait(&table, 1_300), None, "the trial of the first is due");
    assert_eq!(table.record_send(at(1_300), &servers[0]), Ok(()));
    assert_eq!(wait(&table, 1_301), Some(Wait::Trial));
    assert_eq!(table.wait_of_all(at(0), [].iter()), None, "no server");
}
