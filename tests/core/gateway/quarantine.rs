use std::{
    cell::Cell,
    collections::BTreeMap, //
};

use teaselchute::core::gateway::{
    balance::Segment,
    cache,
    content::{
        Content,
        Request, //
    },
    quarantine::{
        AMBIGUOUS_MS,
        Change,
        Incarnation,
        MIN_CRASHES,
        RETENTION_MS,
        Report,
        Scope,
        Table, //
    },
};

/// Part that crashes servers.
const BAD: &str = "bad";

/// Time for which a server runs a request until it crashes, in milliseconds.
const RUN_MS: u64 = 100;

/// Unix time at the start of a test, in milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;

fn unix(ms: u64) -> u64 {
    START_UNIX_MS + ms
}

fn server(name: &str) -> Incarnation {
    (name.into(), Some(1))
}

fn segment(id: &str) -> Segment {
    Segment {
        id: id.into(),
        tokens: 100,
    }
}

/// A request with this body, which is the same at each repetition.
fn repeated(body: &str) -> Content {
    let request = Request {
        method: "POST",
        host: "shop.example",
        path: "/look/1",
        caller: "tannery",
        prompt: "",
        body: body.as_bytes(),
    };
    Content::new(&request, &[])
}

/// A request of its own, whose prompt has these shared parts.
fn prompt(parts: &[&str]) -> Content {
    thread_local! {
        static COUNT: Cell<u64> = const { Cell::new(0) };
    }
    let count = COUNT.replace(COUNT.get() + 1);
    let segments: Vec<Segment> = parts.iter().chain(&["own"]).map(|id| segment(id)).collect();
    let request = Request {
        method: "POST",
        host: "shop.example",
        path: "/prompts/1",
        caller: "tannery",
        prompt: "",
        body: &count.to_be_bytes(),
    };
    Content::new(&request, &segments)
}

fn is_quarantined(table: &Table, ms: u64, parts: &[&str]) -> bool {
    table.find(unix(ms), &prompt(parts)).is_some()
}

fn crash(table: &mut Table, ms: u64, name: &str, parts: &[&str]) -> Vec<Change> {
    lose(table, ms, name, &prompt(parts))
}

/// Records a crash under a request that was sent before it.
fn lose(table: &mut Table, ms: u64, name: &str, content: &Content) -> Vec<Change> {
    table.record_crash(unix(ms), unix(ms) - RUN_MS, server(name), content)
}

/// Crashes servers one after the other, and returns the time after the last crash.
fn crash_all(table: &mut Table, prompts: &[&[&str]]) -> u64 {
    for (index, parts) in (0..).zip(prompts) {
        crash(table, index * 1_000, &format!("s-{index}"), parts);
    }
    prompts.len() as u64 * 1_000
}

#[test]
fn find_part_of_all_crashes() {
    let mut table = Table::default();
    let end = crash_all(&mut table, &[&["a", BAD], &["b", BAD]]);
    assert!(!is_quarantined(&table, end, &["a", BAD]));
    let changes = crash(&mut table, end, "s", &["c", BAD]);
    let part = cache::key(&segment(BAD));
    assert_eq!(
        changes,
        [Change::Added {
            part,
            crashes: MIN_CRASHES,
            is_ambiguous: false,
        }]
    );
    assert!(is_quarantined(&table, end, &["d", BAD]));
    for sound in ["a", "b", "c"] {
        assert!(!is_quarantined(&table, end, &[sound]));
        assert!(!is_quarantined(&table, end, &[sound, "other"]));
    }
}

/// The last part belongs to the request itself.
#[test]
fn find_last_part() {
    let mut table = Table::default();
    for (index, name) in ["s", "t", "u"].iter().enumerate() {
        crash(&mut table, index as u64 * 1_000, name, &[]);
    }
    assert!(table.is_empty());
}

/// Parts that always came together can't be told apart, so only prompts with both are refused.
#[test]
fn find_parts_that_come_together() {
    let mut table = Table::default();
    let end = crash_all(&mut table, &[&["a", BAD], &["a", BAD], &["a", BAD]]);
    assert!(is_quarantined(&table, end, &["a", BAD]));
    assert!(!is_quarantined(&table, end, &["a", "other"]));
    // A crash under another prompt with the part tells them apart.
    assert!(!is_quarantined(&table, end, &["b", BAD]));
    crash(&mut table, end, "s", &["b", BAD]);
    assert!(is_quarantined(&table, end, &["c", BAD]));
    assert!(!is_quarantined(&table, end, &["a", "other"]));
}

/// An answer tells them apart too.
#[test]
fn find_parts_that_come_together_one_answered() {
    let mut table = Table::default();
    let end = crash_all(&mut table, &[&["a", BAD], &["a", BAD], &["a", BAD]]);
    table.record_answer(unix(end), unix(end - 100), &prompt(&["a", "other"]));
    assert!(is_quarantined(&table, end, &["b", BAD]));
    assert!(!is_quarantined(&table, end, &["a", "other"]));
}

/// Sound requests wait at the servers that crash, and other servers crash as well.
#[test]
fn find_among_sound_prompts() {
    let mut table = Table::default();
    for index in 0..3_u64 {
        let name = format!("s-{index}");
        crash(&mut table, index * 2_000, &name, &["a", BAD]);
        crash(&mut table, index * 2_000, &name, &["a", "x"]);
        crash(&mut table, index * 2_000, &name, &["b", "y"]);
        let name = format!("t-{index}");
        crash(&mut table, index * 2_000 + 900, &name, &["b", "x"]);
        crash(&mut table, index * 2_000 + 900, &name, &["c", "y"]);
        let sent_at = unix(index * 2_000 + 950);
        for parts in [["a", "x"], ["b", "y"], ["c", "x"]] {
            table.record_answer(unix(index * 2_000 + 1_500), sent_at, &prompt(&parts));
        }
    }
    assert!(is_quarantined(&table, 6_000, &["c", BAD]));
    assert_eq!(table.len(), 1);
    for parts in [["a", "x"], ["b", "y"], ["c", "x"], ["c", "y"]] {
        assert!(!is_quarantined(&table, 6_000, &parts), "{parts:?}");
    }
}

/// Requests with a hot part are at many servers when these crash together.
#[test]
fn find_servers_crash_together() {
    let mut table = Table::default();
    for index in 0..20 {
        crash(&mut table, 1_000 + index * 5, &format!("s-{index}"), &["a"]);
    }
    assert!(table.is_empty());
}

#[test]
fn find_answers_between_crashes() {
    let mut table = Table::default();
    for index in 0..10 {
        crash(
            &mut table,
            index * 1_000,
            &format!("s-{index}"),
            &["a", "b"],
        );
        let sent_at = unix(index * 1_000 + 100);
        table.record_answer(unix(index * 1_000 + 500), sent_at, &prompt(&["a", "b"]));
    }
    assert!(table.is_empty());
}

/// Answers to requests that were sent before the part turned bad say nothing about it.
#[test]
fn record_answer_sent_before_crashes() {
    let mut table = Table::default();
    for index in 1..4 {
        crash(&mut table, index * 1_000, &format!("s-{index}"), &[BAD]);
        table.record_answer(unix(index * 1_000 + 10), unix(900), &prompt(&[BAD]));
    }
    assert!(is_quarantined(&table, 4_000, &[BAD]));
}

/// Crashes become known to a host late, after it had answers that clear the part they have in common.
#[test]
fn merge_crashes_after_answer() {
    let mut tables: [Table; 2] = Default::default();
    let [cut_off, other] = &mut tables;
    crash_all(cut_off, &[&["a"], &["a"], &["a"]]);
    other.record_answer(unix(4_000), unix(2_500), &prompt(&["a"]));
    other.merge(unix(6_000), cut_off.report(unix(6_000), Scope::Own));
    assert!(!is_quarantined(other, 6_000, &["a"]));
    // The host that saw the crashes learns of the answer, though it came before its report.
    cut_off.merge(unix(6_100), other.report(unix(6_100), Scope::Own));
    assert!(!is_quarantined(cut_off, 6_100, &["a"]));
}

/// Reports of an answer and of the crashes arrive in the wrong order.
#[test]
fn merge_clearance_before_crashes() {
    let mut tables: [Table; 3] = Default::default();
    let [first, second, third] = &mut tables;
    crash_all(first, &[&["a"], &["a"], &["a"]]);
    second.merge(unix(2_100), first.report(unix(2_100), Scope::Own));
    let answered = prompt(&["a"]);
    second.record_answer(unix(2_700), unix(2_500), &answered);
    third.merge(unix(2_800), second.clearance_report(&answered));
    third.merge(unix(2_900), first.report(unix(2_900), Scope::Own));
    assert!(!is_quarantined(third, 2_900, &["a"]));
}

/// Other hosts have to hear of each of these answers: they may have quarantined the request meanwhile.
#[test]
fn record_answer_after_each_crash_is_new() {
    let mut table = Table::default();
    let sound = repeated("sound");
    for (index, name) in (1..).zip(["s", "t", "u"]) {
        let ms = index * 1_000;
        lose(&mut table, ms, name, &sound);
        let (is_new, _) = table.record_answer(unix(ms + 50), unix(ms + 10), &sound);
        assert!(is_new);
        let (is_new, _) = table.record_answer(unix(ms + 90), unix(ms + 60), &sound);
        assert!(!is_new);
    }
}

#[test]
fn record_answer_lifts() {
    let mut table = Table::default();
    let end = crash_all(&mut table, &[&["a"], &["a"], &["a"]]);
    assert!(is_quarantined(&table, end, &["a"]));
    let (is_new, changes) = table.record_answer(unix(end), unix(2_500), &prompt(&["a"]));
    assert!(is_new);
    assert!(matches!(changes[..], [Change::Lifted { .. }]));
    assert!(!is_quarantined(&table, end, &["a"]));
    // It is quarantined again after as many crashes.
    for index in 0..MIN_CRASHES as u64 {
        assert!(!is_quarantined(&table, end, &["a"]));
        crash(
            &mut table,
            end + index * 1_000,
            &format!("t-{index}"),
            &["a"],
        );
    }
    assert!(is_quarantined(&table, end + 3_000, &["a"]));
}

/// A quarantine ends when too few crashes are known. Then one more is enough for the next.
#[test]
fn expire_after_time() {
    let mut table = Table::default();
    crash_all(&mut table, &[&[BAD], &[BAD], &[BAD]]);
    let (_, left_ms) = table
        .find(unix(3_000), &prompt(&[BAD]))
        .expect("it is quarantined");
    assert_eq!(left_ms, RETENTION_MS - 3_000);
    assert!(table.expire(unix(RETENTION_MS - 1)).is_empty());
    assert!(matches!(
        table.expire(unix(RETENTION_MS))[..],
        [Change::Lifted { .. }]
    ));
    assert!(!is_quarantined(&table, RETENTION_MS, &[BAD]));
    crash(&mut table, RETENTION_MS + 500, "t", &["a", BAD]);
    assert!(is_quarantined(&table, RETENTION_MS + 500, &["b", BAD]));
}

/// Several hosts see the same crash, and each report arrives several times, late and in any order.
#[test]
fn merge_reports_of_one_crash() {
    let mut tables: Vec<Table> = (0..4).map(|_| Table::default()).collect();
    for table in &mut tables {
        crash(table, 1_000, "s", &["a", BAD]);
    }
    let reports: Vec<Report> = tables
        .iter()
        .map(|table| table.report(unix(1_500), Scope::Own))
        .collect();
    for (round, report) in reports.iter().cycle().take(12).enumerate() {
        tables[0].merge(unix(1_500 + round as u64 * 400), report.clone());
    }
    assert!(tables[0].is_empty());
    // A server that restarts under its id and crashes again is another one.
    for start in [2, 3] {
        let again = ("s".into(), Some(start));
        let at = unix(5_000 + start * 1_000);
        tables[0].record_crash(at, at - RUN_MS, again, &prompt(&["b", BAD]));
    }
    assert!(is_quarantined(&tables[0], 9_000, &["c", BAD]));
}

#[test]
fn merge_crashes_seen_by_different_hosts() {
    let mut tables: Vec<Table> = (0..3).map(|_| Table::default()).collect();
    for (index, table) in tables.iter_mut().enumerate() {
        crash(
            table,
            index as u64 * 1_000,
            &format!("s-{index}"),
            &["a", BAD],
        );
    }
    let reports: Vec<Report> = tables
        .iter()
        .map(|table| table.report(unix(3_000), Scope::Own))
        .collect();
    for table in &mut tables {
        for report in reports.iter().rev() {
            table.merge(unix(3_000), report.clone());
        }
        assert!(is_quarantined(table, 3_000, &["a", BAD]));
        assert!(!is_quarantined(table, 3_000, &["a", "x"]));
    }
}

/// A host that starts gets the crashes from the store, also those that ended hosts saw. It passes them
/// on, and the quarantine ends at the same time everywhere.
#[test]
fn merge_report_after_restarts() {
    let mut table = Table::default();
    crash_all(&mut table, &[&["a", BAD], &["b", BAD], &["c", BAD]]);
    let late = table.report(unix(100_000), Scope::Own);
    assert!(late.crashes.is_empty(), "they are old");
    let mut report = table.report(unix(100_000), Scope::All);
    for hop in 0..5 {
        let mut started = Table::default();
        // Each report is read some seconds after it was written.
        started.merge(unix(110_000 + hop * 10_000), report);
        assert!(is_quarantined(&started, 160_000, &["d", BAD]));
        assert!(is_quarantined(&started, RETENTION_MS - 1, &[BAD]));
        assert!(!is_quarantined(&started, RETENTION_MS, &[BAD]));
        report = started.report(unix(118_000 + hop * 10_000), Scope::All);
    }
}

/// Records of hosts that ended long ago stay in the store.
#[test]
fn merge_old_report() {
    let mut table = Table::default();
    let end = crash_all(&mut table, &[&[BAD], &[BAD], &[BAD]]);
    let report = table.report(unix(end), Scope::All);
    let mut started = Table::default();
    assert!(started.merge(unix(end + RETENTION_MS), report).is_empty());
    assert!(started.is_empty());
}

/// A host that saw few of the crashes blames a harmless part. It corrects that with the crashes that
/// others saw, and doesn't mislead them.
#[test]
fn merge_corrects_verdict() {
    let mut few = Table::default();
    for index in 0..4 {
        let name = format!("s-{index}");
        let seen = if index < 3 { ["a", "x"] } else { ["a", BAD] };
        crash(&mut few, index * 1_000, &name, &seen);
    }
    assert!(is_quarantined(&few, 4_000, &["a", "other"]));
    let mut others = Table::default();
    for index in 0..5 {
        let name = format!("s-{index}");
        let parts = [["a", "b"][index as usize % 2], BAD];
        crash(&mut others, index * 1_000, &name, &parts);
    }
    few.record_answer(unix(4_000), unix(900), &prompt(&["a", "other"]));
    others.merge(unix(5_000), few.report(unix(5_000), Scope::All));
    few.merge(unix(5_000), others.report(unix(5_000), Scope::Own));
    for table in [&few, &others] {
        assert!(is_quarantined(table, 5_000, &["c", BAD]));
        assert!(!is_quarantined(table, 5_000, &["a", "other"]));
        assert!(!is_quarantined(table, 5_000, &["a", "x"]));
    }
}

/// A host that answered a request with the part knows better than those that only saw the crashes.
#[test]
fn merge_clearance_lifts() {
    let mut table = Table::default();
    let end = crash_all(&mut table, &[&["a"], &["a"], &["a"]]);
    let mut other = Table::default();
    other.merge(unix(end), table.report(unix(end), Scope::Own));
    assert!(is_quarantined(&other, end, &["a"]));
    other.record_answer(unix(end + 100), unix(end - 500), &prompt(&["a"]));
    table.merge(unix(end + 200), other.report(unix(end + 100), Scope::Own));
    assert!(!is_quarantined(&table, end + 200, &["a"]));
    // Late reports of the quarantine don't bring it back.
    let mut late = Table::default();
    crash_all(&mut late, &[&["a"], &["a"], &["a"]]);
    for table in [&mut table, &mut other] {
        let changes = table.merge(unix(end + 300), late.report(unix(end + 300), Scope::Own));
        assert!(changes.is_empty(), "{changes:?}");
        assert!(!is_quarantined(table, end + 300, &["a"]));
    }
}

#[test]
fn find_two_crashing_parts() {
    let mut table = Table::default();
    for index in 0..4 {
        let name = format!("s-{index}");
        crash(&mut table, index * 1_000, &name, &["a", BAD]);
        crash(
            &mut table,
            index * 1_000 + 500,
            &format!("t-{index}"),
            &["a", "worse"],
        );
    }
    table.record_answer(unix(4_000), unix(3_600), &prompt(&["a", "x"]));
    // One server had prompts with either.
    crash(&mut table, 5_000, "u", &["a", BAD]);
    crash(&mut table, 5_000, "u", &["a", "worse"]);
    assert!(is_quarantined(&table, 6_000, &["b", BAD]));
    assert!(is_quarantined(&table, 6_000, &["b", "worse"]));
    assert!(!is_quarantined(&table, 6_000, &["a", "x"]));
}

/// Pseudorandom numbers from a seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % limit
    }
}

/// Interval between the heartbeats of a host, in milliseconds.
const HEARTBEAT_MS: u64 = 1_300;

/// Interval between a host's reads of the others' heartbeats, in milliseconds.
const READ_MS: u64 = 800;

/// Number of hosts whose heartbeats hold all crashes.
const RELAYS: usize = 6;

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 20;

/// Time after the fifth crash from which hardly any bad request may reach a server, and after a
/// disturbance from which a host counts again, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// A host of a simulated deployment.
struct Host {
    table: Table,
    phase: u64,
    disturbed_until: u64,
    is_cut_off: bool,
    is_paused: bool,
}

/// What crashes servers in a simulation.
#[derive(Clone, Copy)]
enum Cause {
    /// A part of prompts.
    Part,
    /// A request that is repeated.
    Request,
}

impl Cause {
    fn bad(self, shared: &str) -> Content {
        match self {
            Self::Part => prompt(&[shared, BAD]),
            Self::Request => repeated(BAD),
        }
    }

    fn sound(self, shared: &str) -> Content {
        match self {
            Self::Part => prompt(&[shared, "x"]),
            // Some sound requests are repeated too.
            Self::Request if shared == "a" => repeated("sound"),
            Self::Request => prompt(&[]),
        }
    }
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    later: usize,
    sound: usize,
    refused: usize,
}

/// Sends the report of a host by datagrams to all hosts that it reaches.
fn send_report(random: &mut Random, fleet: &mut [Host], ms: u64, from: usize) {
    let report = fleet[from].table.report(unix(ms), Scope::Own);
    let is_cut_off = fleet[from].is_cut_off;
    for (to, host) in fleet.iter_mut().enumerate() {
        let is_lost = random.below(20) == 0 || is_cut_off || host.is_cut_off;
        let is_paused = host.is_paused && ms < host.disturbed_until;
        if to != from && !is_lost && !is_paused {
            host.table.merge(unix(ms), report.clone());
        }
    }
}

/// Simulates hosts that get bad and sound requests, while some of them restart, pause or are cut off
/// from the others.
fn simulate(seed: u64, hosts: usize, bad_per_s: u64, end_ms: u64, cause: Cause) -> Outcome {
    let mut random = Random(seed);
    let mut outcome = Outcome::default();
    let mut store: BTreeMap<usize, (u64, Report)> = BTreeMap::new();
    let mut fleet: Vec<Host> = (0..hosts)
        .map(|_| Host {
            table: Table::default(),
            phase: random.below(HEARTBEAT_MS),
            disturbed_until: 0,
            is_cut_off: random.below(5) == 0,
            is_paused: false,
        })
        .collect();
    let mut fifth = None;
    let mut in_flight: Vec<(u64, usize, u64, Content)> = Vec::new();
    for ms in (5_000..end_ms).step_by(STEP_MS as usize) {
        for (index, host) in fleet.iter_mut().enumerate() {
            // One of the hosts restarts or pauses in every two seconds.
            if random.below(hosts as u64 * 2_000 / STEP_MS) == 0 {
                host.disturbed_until = ms + 3_000;
                host.is_paused = random.below(2) == 0;
                if !host.is_paused {
                    host.table = Table::default();
                    for (_, report) in store.values() {
                        host.table.merge(unix(ms), report.clone());
                    }
                }
            }
            if host.is_paused && ms < host.disturbed_until {
                continue;
            }
            if (ms + host.phase) % HEARTBEAT_MS < STEP_MS {
                let scope = if index < RELAYS {
                    Scope::All
                } else {
                    Scope::Own
                };
                store.insert(index, (ms, host.table.report(unix(ms), scope)));
            }
            if (ms + host.phase) % READ_MS < STEP_MS {
                // What this host read before is in its table.
                for (written, report) in store.values() {
                    if ms - written <= READ_MS * 2 + HEARTBEAT_MS {
                        host.table.merge(unix(ms), report.clone());
                    }
                }
            }
        }
        let (ended, running) = in_flight.into_iter().partition(|(end, ..)| *end <= ms);
        in_flight = running;
        let ended: Vec<(u64, usize, u64, Content)> = ended;
        for (_, index, sent_at, prompt) in ended {
            let table = &mut fleet[index].table;
            if table.record_answer(unix(ms), unix(sent_at), &prompt).0 {
                send_report(&mut random, &mut fleet, ms, index);
            }
        }
        let shared = ["a", "b", "c", "d"][random.below(4) as usize];
        let index = random.below(hosts as u64) as usize;
        if random.below(1_000 / STEP_MS) < bad_per_s {
            let bad = cause.bad(shared);
            let is_running = !fleet[index].is_paused || ms >= fleet[index].disturbed_until;
            if is_running && fleet[index].table.find(unix(ms), &bad).is_none() {
                outcome.crashes += 1;
                let is_in_touch = ms >= fleet[index].disturbed_until + CONTACT_MS;
                if fifth.is_some_and(|fifth| ms > fifth + CONTACT_MS) && is_in_touch {
                    outcome.later += 1;
                }
                if outcome.crashes == 5 {
                    fifth = Some(ms);
                }
                let name = format!("s-{}", outcome.crashes);
                lose(&mut fleet[index].table, ms, &name, &bad);
                // A sound request waited there.
                let victim = random.below(hosts as u64) as usize;
                lose(&mut fleet[victim].table, ms, &name, &cause.sound(shared));
                for from in [index, victim] {
                    send_report(&mut random, &mut fleet, ms, from);
                }
            }
        }
        let sound = cause.sound(shared);
        if random.below(4) == 0 {
            outcome.sound += 1;
            let index = random.below(hosts as u64) as usize;
            if fleet[index].table.find(unix(ms), &sound).is_some() {
                outcome.refused += 1;
            } else {
                in_flight.push((ms + 1_200, index, ms, sound));
            }
        }
    }
    outcome
}

/// The guard holds over hosts that restart, pause, are cut off or lose datagrams.
#[test]
fn find_at_all_hosts_few() {
    for seed in 1..=40 {
        for (hosts, bad_per_s) in [(3, 1), (7, 3), (9, 10)] {
            for cause in [Cause::Part, Cause::Request] {
                assert_contained(seed, &simulate(seed, hosts, bad_per_s, 45_000, cause));
            }
        }
    }
}

fn assert_contained(seed: u64, outcome: &Outcome) {
    assert!(outcome.crashes >= MIN_CRASHES, "seed {seed}: {outcome:?}");
    assert!(outcome.later <= 3, "seed {seed}: {outcome:?}");
    assert!(
        outcome.refused * 10 <= outcome.sound,
        "seed {seed}: {outcome:?}"
    );
}

#[test]
fn find_at_all_hosts_hundreds() {
    for seed in 1..=2 {
        for cause in [Cause::Part, Cause::Request] {
            assert_contained(seed, &simulate(seed, 295, 5, 25_000, cause));
        }
    }
}

/// A request that is repeated at once crashes the next server within milliseconds.
#[test]
fn find_request_repeated_at_once() {
    let mut table = Table::default();
    let bad = repeated(BAD);
    for (ms, name) in [(1_000, "s"), (1_080, "t"), (1_160, "u")] {
        assert!(table.find(unix(ms), &bad).is_none());
        table.record_crash(unix(ms), unix(ms - 60), server(name), &bad);
    }
    assert!(table.find(unix(1_200), &bad).is_some());
    for sound in [repeated("other"), prompt(&[]), prompt(&["a"])] {
        assert!(table.find(unix(1_200), &sound).is_none());
    }
}

/// Repetitions at other hosts crash the next servers as fast.
#[test]
fn find_request_repeated_at_other_hosts() {
    let mut fleet: [Table; 3] = Default::default();
    let bad = repeated(BAD);
    for (index, name) in (0..).zip(["s", "t", "u"]) {
        let ms = 1_000 + index as u64 * 80;
        let now = unix(ms);
        fleet[index].record_crash(now, unix(ms - 60), server(name), &bad);
        let report = fleet[index].crash_report(&server(name));
        for host in &mut fleet {
            host.merge(now, report.clone());
        }
    }
    for table in &fleet {
        assert!(table.find(unix(1_200), &bad).is_some());
    }
}

/// Servers that crash together have a cause of their own, also under repetitions of one request that
/// were sent before.
#[test]
fn find_request_at_servers_that_crash_together() {
    let mut table = Table::default();
    for (index, name) in (0..).zip(["s", "t", "u", "v"]) {
        let ms = 1_000 + index * 40;
        table.record_crash(unix(ms), unix(900), server(name), &repeated("sound"));
    }
    assert!(table.is_empty());
}

/// A sound request is repeated at each of the servers that another one crashes. The two can't be told
/// apart, so both are refused for a while.
#[test]
fn find_requests_lost_together() {
    let mut table = Table::default();
    let (bad, sound) = (repeated(BAD), repeated("sound"));
    for (index, name) in (0..).zip(["s", "t", "u"]) {
        let ms = 1_000 + index * 1_000;
        lose(&mut table, ms, name, &sound);
        lose(&mut table, ms, name, &bad);
        lose(&mut table, ms, name, &prompt(&[]));
    }
    for content in [&bad, &sound] {
        let (_, left_ms) = table.find(unix(3_000), content).expect("it is refused");
        assert_eq!(left_ms, AMBIGUOUS_MS);
        let after = unix(3_000 + AMBIGUOUS_MS);
        assert!(table.find(after, content).is_none());
    }
    // One more crash tells them apart, whenever it comes.
    lose(&mut table, 4_000 + AMBIGUOUS_MS, "v", &bad);
    let now = unix(4_000 + AMBIGUOUS_MS);
    assert!(table.find(now, &sound).is_none());
    let (_, left_ms) = table.find(now, &bad).expect("it is refused");
    assert!(left_ms > AMBIGUOUS_MS);
}

/// An answer tells them apart too.
#[test]
fn find_requests_lost_together_one_answered() {
    let mut table = Table::default();
    let (bad, sound) = (repeated(BAD), repeated("sound"));
    for (index, name) in (0..).zip(["s", "t", "u"]) {
        lose(&mut table, index * 1_000, name, &sound);
        lose(&mut table, index * 1_000, name, &bad);
    }
    table.record_answer(unix(2_500), unix(2_200), &sound);
    assert!(table.find(unix(2_600), &sound).is_none());
    let (_, left_ms) = table.find(unix(2_600), &bad).expect("it is refused");
    assert!(left_ms > AMBIGUOUS_MS);
}

/// A request that worked before is at servers that crash for another reason, or has turned bad. Another
/// host answered it.
#[test]
fn find_request_answered_before() {
    let mut table = Table::default();
    let mut other = Table::default();
    let sound = repeated("sound");
    other.record_answer(unix(500), unix(400), &sound);
    for (index, name) in (1..).zip(["s", "t", "u"]) {
        lose(&mut table, index * 1_000, name, &sound);
        other.merge(unix(index * 1_000), table.crash_report(&server(name)));
    }
    let report = other.report(unix(3_100), Scope::All);
    table.merge(unix(3_100), report);
    for table in [&table, &other] {
        let (_, left_ms) = table.find(unix(3_000), &sound).expect("it is refused");
        assert_eq!(left_ms, AMBIGUOUS_MS);
    }
    lose(&mut table, 90_000, "v", &sound);
    assert!(
        table.find(unix(90_000), &sound).is_some(),
        "it has turned bad"
    );
    table.record_answer(unix(90_200), unix(90_100), &sound);
    assert!(table.find(unix(90_200), &sound).is_none());
}

/// All servers of a service crash within a second, and the same sound request is at each of them.
#[test]
fn find_request_in_outage_soon_accepted() {
    /// Time after which a caller who waits for the servers may expect an answer again, in milliseconds.
    const PATIENCE_MS: u64 = 15_000;
    let mut table = Table::default();
    let sound = repeated("sound");
    table.record_answer(unix(200), unix(100), &sound);
    let mut until = 0;
    for round in 1..=4_u64 {
        for (index, name) in (1..).zip(["s", "t", "u"]) {
            lose(
                &mut table,
                until + index * 330,
                &format!("{name}-{round}"),
                &sound,
            );
        }
        let last = until + 990;
        until = last + PATIENCE_MS;
        assert!(table.find(unix(last), &sound).is_some());
        assert!(table.find(unix(until), &sound).is_none(), "round {round}");
        table.record_answer(unix(until + 40), unix(until), &sound);
    }
}

/// A request that many callers send is at each of many servers that crash within seconds.
#[test]
fn find_popular_request_in_large_outage_soon_accepted() {
    const PATIENCE_MS: u64 = 15_000;
    let mut table = Table::default();
    let sound = repeated("sound");
    table.record_answer(unix(200), unix(100), &sound);
    for index in 1..=12 {
        lose(&mut table, index * 400, &format!("s-{index}"), &sound);
    }
    assert!(table.find(unix(4_800 + PATIENCE_MS), &sound).is_none());
}

/// One that goes on crashing servers reaches one less and less often.
#[test]
fn find_request_answered_before_crashes_on() {
    let mut table = Table::default();
    let turned = repeated("turned bad");
    table.record_answer(unix(500), unix(400), &turned);
    let mut crashes = 0;
    for ms in (1_000..601_000).step_by(500) {
        if table.find(unix(ms), &turned).is_none() {
            crashes += 1;
            lose(&mut table, ms, &format!("s-{crashes}"), &turned);
        }
    }
    assert!(crashes <= 9, "{crashes} crashes in ten minutes");
}

/// A prompt that is repeated as it is says nothing about others with the same parts.
#[test]
fn find_repeated_prompt() {
    let mut table = Table::default();
    let same = prompt(&["a", BAD]);
    for (index, name) in (0..).zip(["s", "t", "u"]) {
        lose(&mut table, index * 1_000, name, &same);
    }
    assert!(table.find(unix(3_000), &same).is_some());
    assert!(!is_quarantined(&table, 3_000, &["a", BAD]));
    // Under another request, the part is what the crashes have in common.
    crash(&mut table, 4_000, "v", &["b", BAD]);
    assert!(is_quarantined(&table, 4_000, &["c", BAD]));
}

/// One request crashes servers again and again, each time with another session's part in its prompt.
#[test]
fn find_request_repeated_in_other_sessions() {
    let content = |body: &str, session: &str| {
        let prompt = format!("shared:100,{session}:50");
        let request = Request {
            method: "POST",
            host: "shop.example",
            path: "/prompts/1",
            caller: "tannery",
            prompt: &prompt,
            body: body.as_bytes(),
        };
        Content::new(&request, &[segment("shared"), segment(session)])
    };
    let mut table = Table::default();
    for (index, name) in (0..).zip(["s", "t", "u"]) {
        lose(&mut table, index * 1_000, name, &content(BAD, name));
    }
    assert!(table.find(unix(2_100), &content(BAD, "other")).is_some());
    assert!(
        table
            .find(unix(2_100), &content("sound", "other"))
            .is_none()
    );
}

/// Many requests wait at a server that crashes, and the report of it has to fit into a datagram.
#[test]
fn crash_report_bounded() {
    let mut table = Table::default();
    for _ in 0..200 {
        crash(&mut table, 1_000, "i-0123456789", &[]);
    }
    let report = table.crash_report(&server("i-0123456789"));
    let requests = report.crashes[0].requests.len();
    assert!((40..=200).contains(&requests), "{requests} requests");
    let bytes = postcard::to_allocvec(&report).expect("it can be encoded");
    assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
}

/// All hosts lose power after servers crashed under many requests. When they start again they all read the
/// reports of all hosts, for which the store has to suffice.
#[test]
fn report_bounded_at_hundreds_of_hosts() {
    const HOSTS: usize = 295;
    const CRASHES: u64 = 20;
    /// Requests that wait at a server which crashes.
    const WAITING: u64 = 100;
    /// Rate at which the store answers reads, in bytes per second.
    const EGRESS_PER_S: usize = 80_000_000;
    /// Time in which all have read, in milliseconds: the timeout of one call. The reports may be half of it.
    const TIMEOUT_MS: usize = 900;
    let mut random = Random(1);
    let mut fleet: Vec<Table> = (0..HOSTS).map(|_| Table::default()).collect();
    for crash in 0..CRASHES {
        let (ms, name) = (1_000 + crash * 700, format!("i-{crash:010}"));
        let mut lost = Vec::new();
        for _ in 0..WAITING {
            let host = random.below(HOSTS as u64) as usize;
            let content = prompt(&["hot", ["a", "b", "c"][random.below(3) as usize]]);
            lose(&mut fleet[host], ms, &name, &content);
            lost.push((host, content));
        }
        let mut all = Report::default();
        for table in &fleet {
            all.crashes
                .extend(table.crash_report(&server(&name)).crashes);
        }
        for table in &mut fleet {
            table.merge(unix(ms), all.clone());
        }
        for (host, content) in lost {
            fleet[host].record_answer(unix(ms + 500), unix(ms + 10), &content);
        }
    }
    let now = unix(1_000 + CRASHES * 700);
    let bytes = fleet.iter().enumerate().map(|(index, table)| {
        let scope = if index < RELAYS {
            Scope::All
        } else {
            Scope::Own
        };
        let report = table.report(now, scope);
        postcard::to_allocvec(&report)
            .expect("it can be encoded")
            .len()
    });
    let bytes: usize = bytes.sum();
    let bound = EGRESS_PER_S / 1_000 * TIMEOUT_MS / HOSTS / 2;
    assert!(bytes <= bound, "{bytes} bytes of at most {bound}");
}
