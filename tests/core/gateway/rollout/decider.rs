use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use teaselchute::{
    core::gateway::rollout::{
        Decider, Evidence, Phase,
        decider::{
            Action,
            Cause,
            Ending,
            Event,
            State, //
        },
        evidence::Answer,
    },
    names::Name,
};

use super::{
    after,
    order,
    window, //
};

const DURATION_MS: u64 = 12_000;

/// How the store takes writes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Up,
    /// It refuses all calls.
    Down,
    /// It executes writes and doesn't answer.
    Mute,
    /// It doesn't answer, and executes writes some milliseconds later if their condition holds.
    Late(u64),
}

/// The partition of the status topic.
#[derive(Debug)]
struct Store {
    mode: Mode,
    records: Vec<(State, Name)>,
    late: Vec<(u64, u64, (State, Name))>,
}

impl Store {
    fn new() -> Self {
        Self {
            mode: Mode::Up,
            records: Vec::new(),
            late: Vec::new(),
        }
    }

    fn end_offset(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, at: u64, record: (State, Name)) -> bool {
        let is_expected = at == self.end_offset();
        if is_expected {
            self.records.push(record);
        }
        is_expected
    }

    fn execute_late(&mut self, ms: u64) {
        let due: Vec<_> = self.late.extract_if(.., |write| write.0 <= ms).collect();
        for (_, at, record) in due {
            self.append(at, record);
        }
    }

    fn write(&mut self, ms: u64, at: u64, record: (State, Name)) -> Ending {
        match self.mode {
            Mode::Up => {
                if self.append(at, record) {
                    let end_offset = self.end_offset();
                    Ending::Written { end_offset }
                } else {
                    Ending::Conflict
                }
            }
            Mode::Down => Ending::NotDone,
            Mode::Mute => {
                self.append(at, record);
                Ending::Unknown
            }
            Mode::Late(delay_ms) => {
                self.late.push((ms + delay_ms, at, record));
                Ending::Unknown
            }
        }
    }

    fn read(&self) -> Event {
        if self.mode == Mode::Down {
            return Event::ReadFailed;
        }
        Event::StatusRead {
            status: self.records.last().cloned(),
            end_offset: self.end_offset(),
        }
    }

    fn finals(&self) -> Vec<State> {
        let states = self.records.iter().map(|record| record.0);
        states.filter(|&state| state != State::InProgress).collect()
    }
}

/// A host as its decider sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Host {
    /// It confirms this number of requests at old servers.
    Confirming(u64),
    /// It reports answers and doesn't confirm.
    Stuck,
    /// It is silent.
    Silent,
}

/// A decider, the hosts that report to it, and the announcements that they got.
struct Run {
    decider: Decider,
    evidence: Evidence,
    hosts: BTreeMap<Name, Host>,
    announced: Vec<(u64, Phase, bool)>,
    rate: u64,
    /// One of so many answers of the target is bad, 0 for none.
    bad_one_in: u64,
    /// When answers begin to be bad, in milliseconds after the order.
    bad_from_ms: u64,
    sent: u64,
    exposed: u64,
    /// Pending events of the store, which end calls that were made in the step before.
    pending: Vec<Event>,
    servers: (usize, usize),
}

impl Run {
    fn new(duration_ms: u64) -> Self {
        Self::open(0, duration_ms)
    }

    /// Opens the decider some milliseconds after the order.
    fn open(ms: u64, duration_ms: u64) -> Self {
        let order = order("v2", duration_ms, 1);
        let window = window(&order);
        let hosts = ["host-1", "host-2", "host-3"];
        Self {
            decider: Decider::open(after(ms), order, window),
            evidence: Evidence::open(window),
            hosts: hosts.map(|host| (host.into(), Host::Confirming(0))).into(),
            announced: Vec::new(),
            rate: 0,
            bad_one_in: 0,
            bad_from_ms: 0,
            sent: 0,
            exposed: 0,
            pending: Vec::new(),
            servers: (5, 5),
        }
    }

    fn step(&mut self, ms: u64, store: &mut Store, event: Event) {
        for action in self.decider.step(after(ms), event) {
            match action {
                Action::Read => self.pending.push(store.read()),
                Action::Write { state, at } => {
                    let ending = store.write(ms, at, (state, "v2".into()));
                    self.pending.push(Event::WriteEnded(ending));
                }
                Action::Announce { phase, is_written } => {
                    self.announced.push((ms, phase, is_written));
                }
            }
        }
    }

    /// Lets requests arrive and be answered within 50 ms before a time.
    fn serve(&mut self, ms: u64) {
        let before = self.sent;
        // Requests arrive evenly.
        let total = (ms + 50) * self.rate / 1_000;
        for _ in before..total {
            self.sent += 1;
            let (phase, _) = self.decider.phase();
            let is_target = match phase {
                Phase::Canary => {
                    self.exposed < self.sent * 7 / 100 + 25 && (self.exposed + 1) * 2 <= self.sent
                }
                Phase::Promoting | Phase::Completed => true,
                Phase::Reverted => false,
            };
            self.exposed += u64::from(is_target);
            let failed = is_target
                && self.bad_one_in > 0
                && ms >= self.bad_from_ms
                && self.exposed.is_multiple_of(self.bad_one_in);
            let answer = Answer {
                failed,
                ms: (!failed).then_some(50),
            };
            self.evidence
                .record(after(ms), &"/a".into(), is_target, answer);
        }
    }

    /// Runs 50 ms.
    fn pass(&mut self, ms: u64, store: &mut Store) {
        store.execute_late(ms);
        self.serve(ms);
        for event in std::mem::take(&mut self.pending) {
            self.step(ms, store, event);
        }
        if ms.is_multiple_of(250) {
            let (target, others) = self.servers;
            self.step(ms, store, Event::ServersChanged { target, others });
            let digest = self.evidence.digest();
            let evidence = Event::Evidence {
                host: "host-1".into(),
                incarnation: 1,
                digest,
            };
            self.step(ms, store, evidence);
            let hosts = |is_silent: bool| -> BTreeSet<(Name, u64)> {
                let hosts = self.hosts.iter();
                let hosts = hosts.filter(|host| (*host.1 == Host::Silent) == is_silent);
                hosts.map(|host| (host.0.clone(), 1)).collect()
            };
            let changed = Event::HostsChanged {
                live: hosts(false),
                silent: hosts(true),
            };
            self.step(ms, store, changed);
            let is_promoting = self.decider.phase().0 == Phase::Promoting;
            for (host, state) in self.hosts.clone() {
                if let Host::Confirming(in_flight_old) = state
                    && is_promoting
                {
                    let confirmed = Event::HostConfirmed {
                        host,
                        incarnation: 1,
                        in_flight_old,
                    };
                    self.step(ms, store, confirmed);
                }
            }
        }
        self.step(ms, store, Event::Tick);
    }

    fn run(&mut self, store: &mut Store, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..to_ms).step_by(50) {
            self.pass(ms, store);
        }
    }

    fn announced_at(&self, phase: Phase) -> Option<u64> {
        let mut announced = self.announced.iter();
        announced.find(|it| it.1 == phase).map(|it| it.0)
    }
}

fn run(rate: u64, bad_one_in: u64, duration_ms: u64) -> (Run, Store) {
    let mut store = Store::new();
    let mut run = Run::new(duration_ms);
    (run.rate, run.bad_one_in) = (rate, bad_one_in);
    run.run(&mut store, 0, duration_ms);
    (run, store)
}

// Guards against a good version that isn't completed in time, at any rate of requests.
#[test]
fn step_good_version_completes_in_time() {
    for rate in [350, 20, 1, 0] {
        let (run, store) = run(rate, 0, DURATION_MS);
        assert_eq!(store.finals(), [State::Completed], "{rate}/s");
        let promoted = run.announced_at(Phase::Promoting).expect("promoted");
        let completed = run.announced_at(Phase::Completed).expect("completed");
        println!("{rate}/s: promoted after {promoted} ms, completed after {completed} ms");
        // The trial isn't cut short.
        assert!(promoted >= 4_500, "{promoted}");
        assert!(completed <= DURATION_MS - 1_000, "{completed}");
        assert_eq!(store.records[0].0, State::InProgress);
    }
}

#[test]
fn step_bad_version_reverts_in_time() {
    for (rate, bad_one_in) in [(350, 10), (350, 1), (20, 2), (1, 1)] {
        let (run, store) = run(rate, bad_one_in, DURATION_MS);
        assert_eq!(store.finals(), [State::Reverted], "{rate}/s");
        let reverted = run.announced_at(Phase::Reverted).expect("reverted");
        println!(
            "{rate}/s, one of {bad_one_in} bad: reverted after {reverted} ms, {} of {} exposed",
            run.exposed, run.sent
        );
        assert!(run.exposed <= run.sent / 10 + 50, "{}", run.exposed);
    }
}

// Guards against a fault that begins after the promotion and isn't judged any more.
#[test]
fn step_bad_while_promoting_reverts() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    (run.rate, run.bad_one_in, run.bad_from_ms) = (350, 3, 7_000);
    // Requests at old servers keep the rollout from its end.
    run.hosts.insert("host-2".into(), Host::Confirming(1));
    run.run(&mut store, 0, DURATION_MS);
    assert!(run.announced_at(Phase::Promoting).is_some());
    assert_eq!(store.finals(), [State::Reverted]);
}

// Guards against old servers that stop while a host needs them.
#[test]
fn step_completes_after_all_confirmed() {
    for waiting in [Host::Confirming(1), Host::Stuck, Host::Silent] {
        let mut store = Store::new();
        let mut run = Run::new(DURATION_MS);
        run.rate = 350;
        run.hosts.insert("host-2".into(), waiting);
        run.run(&mut store, 0, 9_500);
        assert_eq!(run.decider.phase().0, Phase::Promoting, "{waiting:?}");
        assert!(store.finals().is_empty(), "{waiting:?}");
        // A silent host may be gone, and the deadline is near.
        run.run(&mut store, 9_500, DURATION_MS);
        let expected: &[State] = if waiting == Host::Silent {
            &[State::Completed]
        } else {
            &[]
        };
        assert_eq!(store.finals(), expected, "{waiting:?}");
        run.hosts.insert("host-2".into(), Host::Confirming(0));
        run.run(&mut store, DURATION_MS, DURATION_MS + 1_000);
        assert_eq!(store.finals(), [State::Completed], "{waiting:?}");
    }
}

// Guards against confirmations of a host's earlier process, and ones that aren't repeated.
#[test]
fn step_counts_current_confirmations() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.run(&mut store, 0, 5_900);
    for host in ["host-1", "host-2", "host-3"] {
        run.hosts.insert(host.into(), Host::Stuck);
        let confirmed = Event::HostConfirmed {
            host: host.into(),
            incarnation: if host == "host-2" { 0 } else { 1 },
            in_flight_old: 0,
        };
        run.step(5_900, &mut store, confirmed);
    }
    run.run(&mut store, 5_900, 9_000);
    assert_eq!(run.decider.phase(), (Phase::Promoting, false));
    let confirmed = Event::HostConfirmed {
        host: "host-2".into(),
        incarnation: 1,
        in_flight_old: 0,
    };
    // Those of the other hosts are too old now.
    run.step(9_000, &mut store, confirmed);
    run.run(&mut store, 9_000, DURATION_MS);
    assert_eq!(run.decider.phase(), (Phase::Promoting, false));
}

// Guards against announcements of a completion that isn't in the store: old servers would get nothing
// while another decider reverts.
#[test]
fn step_announces_completion_after_write() {
    for mode in [Mode::Down, Mode::Late(60_000)] {
        let mut store = Store::new();
        store.mode = mode;
        let mut run = Run::new(DURATION_MS);
        run.rate = 350;
        run.run(&mut store, 0, DURATION_MS);
        assert_eq!(run.decider.phase(), (Phase::Promoting, false), "{mode:?}");
        store.mode = Mode::Up;
        run.run(&mut store, DURATION_MS, DURATION_MS + 1_000);
        assert_eq!(run.decider.phase(), (Phase::Completed, true), "{mode:?}");
        assert_eq!(store.finals(), [State::Completed], "{mode:?}");
    }
}

// Guards against a bad version that gets requests while the store is away.
#[test]
fn step_announces_reversal_before_write() {
    let mut store = Store::new();
    store.mode = Mode::Down;
    let mut run = Run::new(DURATION_MS);
    (run.rate, run.bad_one_in) = (350, 2);
    run.run(&mut store, 0, 4_000);
    assert_eq!(run.decider.phase(), (Phase::Reverted, false));
    store.mode = Mode::Up;
    run.run(&mut store, 4_000, 5_000);
    assert_eq!(run.decider.phase(), (Phase::Reverted, true));
}

// Guards against a blind retry: a write without an answer may have been done.
#[test]
fn step_unknown_write_is_read_first() {
    let mut store = Store::new();
    store.mode = Mode::Mute;
    let mut run = Run::new(DURATION_MS);
    run.rate = 350;
    run.run(&mut store, 0, DURATION_MS);
    let states: Vec<State> = store.records.iter().map(|record| record.0).collect();
    assert_eq!(states, [State::InProgress, State::Completed]);
    assert_eq!(run.decider.phase(), (Phase::Completed, true));
}

// Guards against a write that is done late, after the decider changed its mind: the hosts must not return
// to old servers that a completion stops.
#[test]
fn step_late_completion_and_reversal_agree() {
    for delay_ms in [200, 700, 1_500, 2_500, 20_000] {
        for is_up_again in [false, true] {
            let mut store = Store::new();
            let mut run = Run::new(DURATION_MS);
            run.rate = 350;
            run.run(&mut store, 0, 4_500);
            store.mode = Mode::Late(delay_ms);
            let mut ms = 4_500;
            while !store.late.iter().any(|write| write.2.0 == State::Completed) {
                run.pass(ms, &mut store);
                ms += 50;
                assert!(ms < DURATION_MS, "no completion");
            }
            // The version turns bad after the decider wrote the completion.
            (run.bad_one_in, run.bad_from_ms) = (2, ms);
            if is_up_again {
                store.mode = Mode::Up;
            }
            run.run(&mut store, ms, ms + 5_000);
            store.mode = Mode::Up;
            run.run(&mut store, ms + 5_000, ms + 6_000);
            assert_eq!(store.finals().len(), 1, "{:?}", store.records);
            let (phase, is_written) = run.decider.phase();
            assert!(is_written);
            let is_completed = store.finals() == [State::Completed];
            assert_eq!(phase == Phase::Completed, is_completed);
            if is_completed {
                let reverted = run.announced_at(Phase::Reverted);
                assert_eq!(reverted, None, "{delay_ms} ms");
            }
        }
    }
}

// Guards against a decider that overwrites what another one wrote.
#[test]
fn step_two_deciders_one_final_state() {
    // One of them has evidence that the other hasn't. The first hears from the hosts some time later.
    for head_start_ms in [0, 250, 1_000, 3_000] {
        for mode in [Mode::Up, Mode::Mute, Mode::Late(400)] {
            let mut store = Store::new();
            store.mode = mode;
            let mut good = Run::new(DURATION_MS);
            good.rate = 350;
            let mut bad = Run::new(DURATION_MS);
            (bad.rate, bad.bad_one_in) = (350, 3);
            bad.bad_from_ms = 3_000 + head_start_ms;
            for ms in (0..DURATION_MS + 2_000).step_by(50) {
                good.pass(ms, &mut store);
                bad.pass(ms, &mut store);
            }
            assert_eq!(store.finals().len(), 1, "{:?}", store.records);
            assert_eq!(good.decider.phase(), bad.decider.phase(), "{mode:?}");
            let (phase, is_written) = good.decider.phase();
            assert!(is_written);
            assert_eq!(
                phase == Phase::Completed,
                store.finals() == [State::Completed]
            );
        }
    }
}

// Guards against a decider that is lost between any two steps: the next one ends the rollout in time.
#[test]
fn open_after_lost_decider() {
    for lost_ms in (0..11_000).step_by(500) {
        for bad_one_in in [0, 5] {
            let mut store = Store::new();
            let mut first = Run::new(DURATION_MS);
            (first.rate, first.bad_one_in) = (350, bad_one_in);
            first.run(&mut store, 0, lost_ms);
            let mut second = Run::open(lost_ms, DURATION_MS);
            (second.rate, second.bad_one_in) = (350, bad_one_in);
            (second.sent, second.exposed) = (first.sent, first.exposed);
            second.evidence = first.evidence.clone();
            second.run(&mut store, lost_ms, DURATION_MS + 1_500);
            let expected = if bad_one_in == 0 {
                State::Completed
            } else {
                State::Reverted
            };
            assert_eq!(store.finals(), [expected], "lost after {lost_ms} ms");
            if lost_ms <= 9_000 {
                let phase = second.announced.iter().find(|it| it.2);
                assert!(phase.is_some_and(|it| it.0 <= DURATION_MS), "{lost_ms}");
            }
        }
    }
}

// Guards against a version that is promoted by a decider that has not heard of its failures yet.
#[test]
fn open_late_collects_evidence() {
    let mut store = Store::new();
    let mut run = Run::open(11_000, DURATION_MS);
    run.run(&mut store, 11_000, 11_900);
    assert_eq!(run.decider.phase().0, Phase::Canary);
}

#[test]
fn step_order_gone_reverts() {
    for ms in [1_000, 7_000] {
        let mut store = Store::new();
        let mut run = Run::new(DURATION_MS);
        run.rate = 350;
        run.hosts.insert("host-2".into(), Host::Confirming(1));
        run.run(&mut store, 0, ms);
        run.step(ms, &mut store, Event::OrderGone);
        assert_eq!(run.decider.phase().0, Phase::Reverted);
        run.run(&mut store, ms, ms + 500);
        assert_eq!(store.finals(), [State::Reverted]);
        assert_eq!(run.decider.cause(), Some(&Cause::Withdrawn));
    }
}

// Guards against a rollout that never ends since hosts that heard of a reversal don't confirm.
#[test]
fn step_host_reverted_reverts() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.rate = 350;
    run.hosts.insert("host-2".into(), Host::Stuck);
    run.run(&mut store, 0, 7_000);
    run.step(7_000, &mut store, Event::HostReverted);
    run.run(&mut store, 7_000, 7_500);
    assert_eq!(store.finals(), [State::Reverted]);
    assert_eq!(run.decider.cause(), Some(&Cause::Announced));
}

// Guards against an order that changes the state after it is final.
#[test]
fn step_final_state_stays() {
    let (mut run, mut store) = run(350, 0, DURATION_MS);
    run.step(DURATION_MS, &mut store, Event::OrderGone);
    run.bad_one_in = 1;
    run.run(&mut store, DURATION_MS, DURATION_MS + 5_000);
    assert_eq!(store.finals(), [State::Completed]);
    assert_eq!(run.decider.phase(), (Phase::Completed, true));
}

// Guards against writes for an order that another one replaced.
#[test]
fn step_order_replaced_writes_nothing() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.rate = 350;
    run.run(&mut store, 0, 1_000);
    run.step(1_000, &mut store, Event::OrderReplaced);
    run.run(&mut store, 1_000, DURATION_MS);
    assert!(store.finals().is_empty());

    // The reversal waits for the store.
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.run(&mut store, 0, 1_000);
    store.mode = Mode::Down;
    run.step(1_000, &mut store, Event::OrderGone);
    run.run(&mut store, 1_050, 2_000);
    run.step(2_000, &mut store, Event::OrderReplaced);
    store.mode = Mode::Up;
    run.run(&mut store, 2_000, DURATION_MS);
    assert!(store.finals().is_empty());
}

// Guards against the state of an earlier order for another version that is taken for this one's.
#[test]
fn step_status_of_other_target_is_replaced() {
    let mut store = Store::new();
    store.records.push((State::Reverted, "v1".into()));
    let mut run = Run::new(DURATION_MS);
    run.run(&mut store, 0, 1_000);
    let last = store.records.last().cloned();
    assert_eq!(last, Some((State::InProgress, "v2".into())));
    assert_eq!(run.decider.phase(), (Phase::Canary, false));
}

#[test]
fn step_target_alone_completes_at_once() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.servers = (5, 0);
    run.run(&mut store, 0, 1_500);
    assert_eq!(store.finals(), [State::Completed]);
    assert_eq!(run.decider.cause(), Some(&Cause::Alone));
}

// Guards against old servers that are forgotten for a moment.
#[test]
fn step_others_gone_is_not_alone() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.run(&mut store, 0, 1_500);
    run.servers = (5, 0);
    run.run(&mut store, 1_500, 3_000);
    assert_eq!(run.decider.phase().0, Phase::Canary);
}

#[test]
fn step_target_without_servers_reverts() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    (run.rate, run.servers) = (0, (0, 5));
    run.run(&mut store, 0, 10_900);
    assert_eq!(run.decider.phase().0, Phase::Canary);
    run.run(&mut store, 10_900, DURATION_MS);
    assert_eq!(store.finals(), [State::Reverted]);
    assert_eq!(run.decider.cause(), Some(&Cause::NoServers));
}

// Guards against a trial without time since the servers start late.
#[test]
fn step_late_servers_are_tried() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.servers = (0, 5);
    run.run(&mut store, 0, 7_000);
    run.servers = (5, 5);
    run.rate = 350;
    run.sent = 350 * 7;
    run.run(&mut store, 7_000, 8_500);
    assert_eq!(run.decider.phase().0, Phase::Canary);
    run.run(&mut store, 8_500, DURATION_MS);
    assert_eq!(store.finals(), [State::Completed]);
}

// Guards against an overdue order that completes without evidence.
#[test]
fn step_overdue_is_decided_by_evidence() {
    let mut store = Store::new();
    let mut run = Run::new(0);
    run.run(&mut store, 0, 2_000);
    assert_eq!(store.finals(), [State::Reverted]);
    assert_eq!(run.decider.cause(), Some(&Cause::Overdue));

    for (bad_one_in, expected) in [(0, State::Completed), (2, State::Reverted)] {
        let mut store = Store::new();
        let mut run = Run::open(13_000, DURATION_MS);
        (run.rate, run.bad_one_in) = (350, bad_one_in);
        run.run(&mut store, 13_000, 16_000);
        assert_eq!(store.finals(), [expected]);
    }
}

// Guards against a bad version that is promoted since few answers aren't enough for a repeated look.
#[test]
fn step_last_look_reverts() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    for second in 0..6 {
        for i in 0..10 {
            let answer = Answer {
                failed: i == 0,
                ms: None,
            };
            let sent_at = after(second * 1_000);
            run.evidence.record(sent_at, &"/a".into(), i < 2, answer);
        }
    }
    run.run(&mut store, 0, 5_900);
    assert_eq!(run.decider.phase().0, Phase::Canary);
    run.run(&mut store, 5_900, 7_000);
    assert_eq!(store.finals(), [State::Reverted]);
}

// Guards against an early promotion while a fault just begins: good answers before it outweigh few bad ones.
#[test]
fn step_suspicious_version_is_tried_longer() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    // Enough good answers, and then 5 bad ones in the last second.
    for second in 0..4 {
        for i in 0..400 {
            let is_late_failure = second == 3 && i < 5;
            let answer = Answer {
                failed: is_late_failure,
                ms: None,
            };
            let sent_at = after(second * 1_000 + i * 2);
            let is_target = is_late_failure || i % 8 == 7;
            run.evidence
                .record(sent_at, &"/a".into(), is_target, answer);
        }
    }
    run.run(&mut store, 0, 5_900);
    assert_eq!(run.decider.phase().0, Phase::Canary);
}

// Guards against a version of which callers got nothing but failures, too few for a comparison.
#[test]
fn step_no_good_answer_reverts() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    for _ in 0..2 {
        let answer = Answer {
            failed: true,
            ms: None,
        };
        run.evidence.record(after(100), &"/a".into(), true, answer);
    }
    run.run(&mut store, 0, DURATION_MS);
    assert_eq!(store.finals(), [State::Reverted]);
    assert_eq!(run.decider.cause(), Some(&Cause::NoneGood));
}

// Guards against a decider that waits for ever since the end of a call was lost.
#[test]
fn step_lost_call_times_out() {
    let mut store = Store::new();
    let mut run = Run::new(DURATION_MS);
    run.step(0, &mut store, Event::Tick);
    run.pending.clear();
    run.run(&mut store, 50, 4_900);
    assert!(store.records.is_empty());
    run.run(&mut store, 4_900, 6_000);
    assert_eq!(store.records.len(), 1);
}
