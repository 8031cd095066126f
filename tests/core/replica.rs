//! Tests of the replica under faults of the log, the network and hosts.

use teaselchute::{
    core::{
        document::{
            Edit,
            Policies, //
        },
        host::Id,
        log,
        replica::{
            self,
            Answer,
            Policy,
            Replica, //
        },
        state::{
            Change,
            Position,
            Record,
            Snapshot,
            Target,
            Verdict, //
        },
    },
    names::Name,
    time::Instant, //
};

use crate::driver::{
    Network,
    Process,
    replicas::Replicas, //
};

fn replicas(hosts: usize) -> Replicas {
    let mut replicas = Replicas::new(1, hosts, Policy::default(), Network::default());
    replicas.run_ms(3_000);
    replicas
}

fn change(id: &str, based_on: u64, retry_percent: u32) -> Record {
    Record::Change(Change {
        id: id.into(),
        environment: "production".into(),
        based_on,
        edits: vec![Edit::Policies(Policies {
            retry_percent,
            ..Policies::default()
        })],
    })
}

fn drain(id: &str, out: bool) -> Record {
    Record::Drain {
        id: id.into(),
        target: Target::DataCentre("data-centre-0".into()),
        drained: out,
    }
}

fn retry_percent(replicas: &Replicas, process: Process) -> u32 {
    let environments = &replicas.node(process).state().environments;
    environments["production"].document.policies.retry_percent
}

fn is_accepted(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::Verdict(Verdict::Accepted(_))))
}

fn is_void(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::Verdict(Verdict::Void(_))))
}

#[test]
fn propose_accepted_everywhere() {
    let mut replicas = replicas(9);
    let requester = replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(2_000);
    assert!(is_accepted(replicas.answers.get(&requester)));
    for process in 0..9 {
        assert_eq!(retry_percent(&replicas, process), 7);
    }
}

#[test]
fn propose_racing_operators() {
    let mut replicas = replicas(9);
    let first = replicas.propose(0, change("a", 0, 7));
    let second = replicas.propose(1, change("b", 0, 8));
    replicas.run_ms(3_000);
    let answers = [first, second].map(|requester| replicas.answers.get(&requester));
    let accepted = answers.iter().filter(|answer| is_accepted(**answer));
    let void = answers.iter().filter(|answer| is_void(**answer));
    assert_eq!((accepted.count(), void.count()), (1, 1));
}

#[test]
fn propose_lost_answer() {
    let mut replicas = replicas(9);
    replicas.log_faults.lost_permille = 1_000;
    let requester = replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(3_000);
    assert!(is_accepted(replicas.answers.get(&requester)));
}

#[test]
fn propose_late_append() {
    let mut replicas = replicas(9);
    replicas.log_faults.late_permille = 1_000;
    // This append takes effect only after another change of the same revision.
    let late = replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(200);
    replicas.log_faults.late_permille = 0;
    let quick = replicas.propose(1, change("b", 0, 8));
    replicas.run_ms(30_000);
    assert!(is_accepted(replicas.answers.get(&quick)));
    assert!(is_void(replicas.answers.get(&late)));
    assert_eq!(retry_percent(&replicas, 5), 8);
}

#[test]
fn propose_accepted_not_read_from_log() {
    let mut replicas = replicas(9);
    let (platform, host) = (replicas.driver.place(9), replicas.driver.place(1));
    // Requests of the host reach the log, but the replies are lost.
    replicas.driver.cut(platform, host, 60_000);
    let requester = replicas.propose(1, change("a", 0, 7));
    replicas.run_ms(8_000);
    assert_eq!(retry_percent(&replicas, 1), 7);
    replicas.run_ms(4_000);
    assert_eq!(replicas.answers.get(&requester), Some(&Answer::Unknown));
}

#[test]
fn propose_log_down() {
    let mut replicas = replicas(9);
    replicas.log.down = true;
    let requester = replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(15_000);
    assert_eq!(replicas.answers.get(&requester), Some(&Answer::Unknown));
}

#[test]
fn push_records_host_without_log() {
    let mut replicas = replicas(9);
    let (platform, cut_off) = (replicas.driver.place(9), replicas.driver.place(1));
    replicas.driver.cut(cut_off, platform, 60_000);
    // Hosts of the third region reach both the region of the log and the one cut off from it.
    replicas.propose(2, change("a", 0, 7));
    replicas.run_ms(3_000);
    assert_eq!(retry_percent(&replicas, 1), 7);
}

#[test]
fn fresh_at_log_down() {
    let mut replicas = replicas(9);
    replicas.log.down = true;
    replicas.run_ms(60_000);
    let now = replicas.driver.now();
    for process in 0..9 {
        let age_ms = now.since_ms(replicas.node(process).fresh_at());
        assert!(age_ms <= 4_500, "host {process}: {age_ms} ms");
    }
}

#[test]
fn fresh_at_region_cut_off() {
    let mut replicas = replicas(9);
    let places = [0, 1, 2].map(|process| replicas.driver.place(process));
    for other in [0, 2] {
        replicas.driver.cut(places[1], places[other], 60_000);
        replicas.driver.cut(places[other], places[1], 60_000);
    }
    replicas.run_ms(10_000);
    replicas.propose(0, drain("d", true));
    replicas.run_ms(3_000);
    // The region can't learn of the drain, so its state must not count as fresh.
    let now = replicas.driver.now();
    let cut_off = replicas.node(1);
    assert!(cut_off.state().drained.is_empty());
    assert!(now.since_ms(cut_off.fresh_at()) > 10_000);
}

#[test]
fn is_current_log_down_confirmed_by_peers() {
    let mut replicas = replicas(9);
    replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(2_000);
    replicas.log.down = true;
    replicas.run_ms(1_000);
    for process in 0..9 {
        replicas.crash(process);
        replicas.run_ms(500);
        replicas.start(process);
        assert!(!replicas.node(process).is_current());
        replicas.run_ms(10_000);
        assert!(replicas.node(process).is_current());
        assert_eq!(retry_percent(&replicas, process), 7);
    }
}

#[test]
fn is_current_all_hosts_starting() {
    let mut replicas = replicas(9);
    replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(2_000);
    replicas.log.down = true;
    for process in 0..9 {
        replicas.crash(process);
    }
    for process in 0..9 {
        replicas.start(process);
    }
    replicas.run_ms(30_000);
    // No host can know which records were accepted before it started.
    for process in 0..9 {
        assert!(!replicas.node(process).is_current());
    }
    replicas.log.down = false;
    replicas.run_ms(5_000);
    for process in 0..9 {
        assert!(replicas.node(process).is_current());
        assert_eq!(retry_percent(&replicas, process), 7);
    }
}

#[test]
fn is_current_cut_off_with_minority() {
    let mut replicas = replicas(9);
    replicas.log.down = true;
    let places = [0, 1, 2].map(|process| replicas.driver.place(process));
    for other in [0, 2] {
        replicas.driver.cut(places[1], places[other], 60_000);
        replicas.driver.cut(places[other], places[1], 60_000);
    }
    replicas.crash(1);
    replicas.start(1);
    replicas.run_ms(30_000);
    // The members that answer are fewer than half.
    assert!(!replicas.node(1).is_current());
}

#[test]
fn publish_snapshot_before_log_trim() {
    let mut replicas = replicas(9);
    replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(60_000);
    replicas.log.forget(1);
    replicas.run_ms(60_000);
    for process in 0..9 {
        replicas.crash(process);
    }
    replicas.run_ms(1_000);
    for process in 0..9 {
        replicas.start(process);
    }
    replicas.run_ms(5_000);
    for process in 0..9 {
        assert!(replicas.node(process).is_current());
        assert_eq!(retry_percent(&replicas, process), 7);
    }
}

#[test]
fn recover_log_shorter() {
    let mut replicas = replicas(9);
    for number in 0..5 {
        let id = format!("change-{number}");
        replicas.propose(0, change(&id, number, number as u32));
        replicas.run_ms(1_500);
    }
    replicas.log.lose(2);
    replicas.run_ms(20_000);
    let requester = replicas.propose(3, change("after", 5, 9));
    replicas.run_ms(5_000);
    assert!(is_accepted(replicas.answers.get(&requester)));
    for process in 0..9 {
        let node = replicas.node(process);
        assert!(node.is_current());
        assert_eq!(node.position().generation, 1);
        assert_eq!(node.state().revision(&Name::from("production")), 6);
        assert_eq!(retry_percent(&replicas, process), 9);
    }
}

#[test]
fn recover_member_silent() {
    let mut replicas = replicas(9);
    replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(2_000);
    replicas.driver.pause(4, 30_000);
    replicas.log.lose(1);
    replicas.run_ms(20_000);
    // The log isn't anchored without the answer of a member that may hold more records.
    let requester = replicas.propose(3, change("b", 1, 9));
    replicas.run_ms(1_000);
    assert!(matches!(
        replicas.answers.get(&requester),
        Some(Answer::Unavailable(_))
    ));
    replicas.run_ms(30_000);
    assert_eq!(replicas.node(3).position().generation, 1);
    assert_eq!(retry_percent(&replicas, 4), 7);
}

#[test]
fn is_current_new_host_log_shorter() {
    let mut replicas = replicas(9);
    replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(2_000);
    replicas.driver.pause(4, 10_000);
    replicas.log.lose(1);
    replicas.crash(0);
    replicas.start(0);
    // The new host must not serve the state of a log that lost an accepted change.
    for _ in 0..100 {
        replicas.run_ms(200);
        if replicas.node(0).is_current() {
            assert_eq!(retry_percent(&replicas, 0), 7);
        }
    }
    assert!(replicas.node(0).is_current());
}

#[test]
fn restore_lost_records_log_diverged() {
    let mut replicas = replicas(9);
    replicas.propose(0, change("a", 0, 7));
    replicas.run_ms(3_000);
    // Only host 4 applies a record that the log then loses. The others continue without it.
    for process in (0..9).filter(|process| *process != 4) {
        replicas.driver.pause(process, 3_000);
    }
    replicas.driver.network.loss_permille = 1_000;
    replicas.propose(4, drain("lost", true));
    replicas.run_ms(2_500);
    replicas.driver.network.loss_permille = 0;
    assert_eq!(replicas.node(4).state().drained.len(), 1);
    replicas.driver.pause(4, 30_000);
    replicas.log.lose(1);
    replicas.append(drain("other", false));
    replicas.append(change("b", 1, 8));
    replicas.run_ms(20_000);
    assert!(replicas.node(3).state().drained.is_empty());
    replicas.run_ms(40_000);
    for process in 0..9 {
        let node = replicas.node(process);
        assert!(node.is_current(), "host {process}");
        assert_eq!(node.state().drained.len(), 1);
        assert_eq!(retry_percent(&replicas, process), 8);
    }
}

/// Advances the time until the replica sends a read, and returns its token.
fn next_read(replica: &mut Replica, now: &mut Instant) -> log::Token {
    for _ in 0..100 {
        *now = now.after_ms(50);
        for action in replica.step(*now, replica::Event::Tick) {
            if let replica::Action::Log(log::Action::Read { token, .. }) = action {
                return token;
            }
        }
    }
    panic!("no read within 5 s");
}

#[test]
fn adopt_snapshot_log_trimmed_past_anchor() {
    let own = Id {
        name: "host-1".into(),
        incarnation: 1,
    };
    let mut replica = Replica::new(own, Policy::LogOnly, 1);
    let mut now = Instant::ZERO;
    let token = next_read(&mut replica, &mut now);
    let read = |token, first, record| log::Event::Read {
        token,
        log_start: first,
        log_end: first + 1,
        entries: vec![log::Entry {
            offset: first,
            record,
        }],
    };
    replica.step(now, replica::Event::Log(read(token, 0, change("a", 0, 7))));
    assert_eq!(replica.position().next, 1);
    // Meanwhile the log lost the change, was anchored at offset 0, and deleted the anchor.
    let mut state = replica.state().clone();
    state.apply(replica.position(), &drain("d", true));
    state.anchored_from = replica.position();
    let snapshot = Record::Snapshot(Box::new(Snapshot {
        position: Position {
            generation: 1,
            next: 1,
        },
        last_digest: 1,
        state,
    }));
    for _ in 0..2 {
        let token = next_read(&mut replica, &mut now);
        let event = read(token, 1, snapshot.clone());
        replica.step(now, replica::Event::Log(event));
    }
    assert_eq!(replica.position().generation, 1);
    assert_eq!(replica.state().drained.len(), 1);
}

/// A drain lands in the log just before an outage, so that no host reads its record.
#[test]
fn announce_drain_log_fails_after_append() {
    let mut replicas = replicas(9);
    let target = Target::DataCentre("data-centre-0".into());
    replicas.propose(1, drain("a", true));
    while !replicas.truth.drained.contains_key(&target) {
        replicas.run_ms(1);
    }
    replicas.log.down = true;
    replicas.run_ms(2_000);
    let is_respected = |replicas: &Replicas, process| {
        let node = replicas.node(process);
        let mut announced = node.announced_drains();
        announced.any(|drain| *drain == target) || node.state().drained.contains_key(&target)
    };
    for process in 0..9 {
        let is_read = replicas.node(process).state().drained.contains_key(&target);
        assert!(!is_read, "host {process} has not read the record");
        assert!(is_respected(&replicas, process), "host {process}");
    }
    replicas.run_ms(60_000);
    assert!((0..9).all(|process| is_respected(&replicas, process)));
    replicas.log.down = false;
    replicas.run_ms(20_000);
    for process in 0..9 {
        assert_eq!(replicas.node(process).announced_drains().count(), 0);
        let drained = &replicas.node(process).state().drained;
        assert!(drained.contains_key(&target), "the record is read later");
    }
}

/// A drain is announced, and its append is lost.
#[test]
fn announce_drain_never_appended() {
    let mut replicas = replicas(9);
    let (platform, host) = (replicas.driver.place(9), replicas.driver.place(1));
    // No request of the host reaches the log, and the host does not know that yet.
    replicas.driver.cut(host, platform, 120_000);
    replicas.propose(1, drain("a", true));
    replicas.run_ms(2_000);
    // The cut hosts of that data centre can't send to the one of the log either.
    assert_eq!(replicas.node(5).announced_drains().count(), 1);
    replicas.run_ms(30_000);
    assert_eq!(replicas.node(5).announced_drains().count(), 0);
    assert!(replicas.node(5).state().drained.is_empty());
}
