//! Hosts, their decider and the store in one process.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::gateway::{
        quota::Group,
        rollout::{
            Decider,
            Evidence,
            Ledger,
            Phase,
            Versions,
            decider::{
                Action,
                Ending,
                Event,
                State, //
            },
            evidence::Answer,
            judgement,
            ledger::Origin,
            versions::Permission, //
        },
    },
    names::Name,
    options::gateway::Rollout, //
};

use super::{
    after,
    order,
    window, //
};

const BOUNDS: Rollout = Rollout {
    exposure_ratio: 0.1,
    exposure_tolerance: 50,
    rollback_ms: 5_000,
};

const DURATION_MS: u64 = 12_000;

/// Time of an answer, in milliseconds.
const LATENCY_MS: u64 = 40;

/// Interval of the hosts' reports, in milliseconds.
const REPORT_MS: u64 = 250;

#[derive(Clone, Copy, Debug)]
struct Scene {
    seed: u64,
    hosts: usize,
    rate: u64,
    /// Fraction of the target's answers that fail.
    bad: f64,
    bad_from_ms: u64,
    /// Hosts that nobody hears from and that hear from nobody.
    isolated: usize,
    /// Percentage of the reports that are lost.
    lost: u64,
    /// Restarts per second over all hosts.
    restarts: f64,
    /// When the decider moves to another host.
    moved_ms: Option<u64>,
}

const SCENE: Scene = Scene {
    seed: 1,
    hosts: 24,
    rate: 350,
    bad: 0.0,
    bad_from_ms: 0,
    isolated: 0,
    lost: 0,
    restarts: 0.0,
    moved_ms: None,
};

struct Host {
    name: Name,
    incarnation: u64,
    versions: Versions,
    ledger: Ledger,
    evidence: Evidence,
    in_flight_old: u64,
}

impl Host {
    fn open(ms: u64, name: &Name, incarnation: u64, names: &[Name]) -> Self {
        let order = order("v2", DURATION_MS, 1);
        let mut versions = Versions::default();
        versions.see(after(ms), &"v1".into(), 60_000);
        versions.see(after(ms), &"v2".into(), 500 + ms);
        versions.set_order(after(ms), Some(&order));
        let origin = if incarnation == 0 {
            Origin::Running
        } else {
            Origin::Started
        };
        let group = Group::new(name, names.iter());
        Self {
            name: name.clone(),
            incarnation,
            versions,
            ledger: Ledger::open(&order, window(&order), &BOUNDS, &group, origin),
            evidence: Evidence::open(window(&order)),
            in_flight_old: 0,
        }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    sent: u64,
    exposed: u64,
    // When the target gave its 50th bad answer, and when the last request was sent to it.
    fiftieth_ms: Option<u64>,
    last_ms: u64,
    finals: Vec<(u64, State)>,
    // Requests at old servers when the order was completed.
    cut: u64,
}

fn run(scene: Scene) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(scene.seed);
    let names: Vec<Name> = (0..scene.hosts)
        .map(|i| format!("host-{i}").into())
        .collect();
    let mut hosts: Vec<Host> = names
        .iter()
        .map(|name| Host::open(0, name, 0, &names))
        .collect();
    let order = order("v2", DURATION_MS, 1);
    let mut decider = Decider::open(after(0), order.clone(), window(&order));
    let mut end_offset = 0;
    let mut pending: Vec<Event> = Vec::new();
    let mut answers: VecDeque<(u64, usize, u64, bool)> = VecDeque::new();
    let mut outcome = Outcome::default();
    let mut bad = 0;
    for ms in 0..DURATION_MS + 3_000 {
        let now = after(ms);
        if scene.moved_ms == Some(ms) {
            decider = Decider::open(now, order.clone(), window(&order));
            pending.clear();
        }
        if random.random::<f64>() < scene.restarts / 1_000.0 {
            let own = random.random_range(0..hosts.len());
            let incarnation = hosts[own].incarnation + 1;
            hosts[own] = Host::open(ms, &names[own], incarnation, &names);
        }
        while answers.front().is_some_and(|answer| answer.0 <= ms) {
            let Some((_, own, incarnation, is_target)) = answers.pop_front() else {
                break;
            };
            let sent_ms = ms.saturating_sub(LATENCY_MS);
            let is_bad = is_target && sent_ms >= scene.bad_from_ms;
            let failed = is_bad && random.random::<f64>() < scene.bad;
            bad += u64::from(failed);
            if bad == 50 {
                outcome.fiftieth_ms.get_or_insert(ms);
            }
            let host = &mut hosts[own];
            if host.incarnation != incarnation {
                continue;
            }
            host.in_flight_old -= u64::from(!is_target);
            let answer = Answer {
                failed,
                ms: (!failed).then_some(LATENCY_MS),
            };
            let sent_at = after(sent_ms);
            host.evidence
                .record(sent_at, &"/a".into(), is_target, answer);
        }
        if random.random::<f64>() < scene.rate as f64 / 1_000.0 {
            let own = random.random_range(0..hosts.len());
            let host = &mut hosts[own];
            let is_target = match host.versions.permission(now, &"v2".into()) {
                Permission::Any => true,
                Permission::Trial => host.ledger.may_send(now),
                Permission::Fallback | Permission::Barred => false,
            };
            host.ledger.record_sent(now, is_target);
            outcome.sent += u64::from(ms < DURATION_MS);
            if is_target {
                outcome.exposed += 1;
                outcome.last_ms = ms;
            } else {
                host.in_flight_old += 1;
            }
            answers.push_back((ms + LATENCY_MS, own, host.incarnation, is_target));
        }
        let mut events = std::mem::take(&mut pending);
        for (own, host) in hosts.iter_mut().enumerate() {
            // Hosts don't report at the same time.
            if !(ms + own as u64 * 37).is_multiple_of(REPORT_MS) {
                continue;
            }
            if judgement::must_stop(&host.evidence).is_some() {
                host.versions.stop(order.id);
            }
            let is_isolated = own >= scene.hosts - scene.isolated;
            if is_isolated || random.random_range(0..100) < scene.lost {
                continue;
            }
            let (phase, is_written) = decider.phase();
            host.versions.adopt(now, order.id, phase, is_written);
            events.push(Event::Evidence {
                host: host.name.clone(),
                incarnation: host.incarnation,
                digest: host.evidence.digest(),
            });
            if host.versions.commit(order.id, host.in_flight_old) {
                events.push(Event::HostConfirmed {
                    host: host.name.clone(),
                    incarnation: host.incarnation,
                    in_flight_old: host.in_flight_old,
                });
            }
        }
        if ms.is_multiple_of(REPORT_MS) {
            let mut live = BTreeSet::new();
            let mut silent = BTreeSet::new();
            for (own, host) in hosts.iter().enumerate() {
                let is_isolated = own >= scene.hosts - scene.isolated;
                let set = if is_isolated { &mut silent } else { &mut live };
                set.insert((host.name.clone(), host.incarnation));
            }
            events.push(Event::HostsChanged { live, silent });
            events.push(Event::ServersChanged {
                target: 10,
                others: 10,
            });
        }
        if ms.is_multiple_of(50) {
            events.push(Event::Tick);
        }
        for event in events {
            for action in decider.step(now, event) {
                match action {
                    Action::Read => pending.push(Event::StatusRead {
                        status: outcome.finals.last().map(|it| (it.1, "v2".into())),
                        end_offset,
                    }),
                    Action::Write { state, at } => {
                        assert_eq!(at, end_offset);
                        end_offset += 1;
                        if state != State::InProgress {
                            outcome.finals.push((ms, state));
                        }
                        if state == State::Completed {
                            let live = &hosts[..scene.hosts - scene.isolated];
                            outcome.cut += live.iter().map(|host| host.in_flight_old).sum::<u64>();
                        }
                        pending.push(Event::WriteEnded(Ending::Written { end_offset }));
                    }
                    Action::Announce { .. } => {}
                }
            }
        }
    }
    let (phase, is_written) = decider.phase();
    assert!(is_written && phase.is_final(), "{phase:?}");
    assert_eq!(
        phase == Phase::Completed,
        outcome.finals[0].1 == State::Completed
    );
    outcome
}

fn assert_reverted(scene: Scene) {
    let outcome = run(scene);
    println!("{scene:?}: {outcome:?}");
    assert_eq!(outcome.finals.len(), 1, "{scene:?}");
    let (ms, state) = outcome.finals[0];
    assert_eq!(state, State::Reverted, "{scene:?}");
    assert!(ms <= DURATION_MS, "{scene:?}");
    let bound = outcome.sent / 10 + BOUNDS.exposure_tolerance;
    assert!(outcome.exposed <= bound, "{outcome:?} {scene:?}");
    if let Some(fiftieth_ms) = outcome.fiftieth_ms {
        let end_ms = fiftieth_ms + BOUNDS.rollback_ms;
        assert!(outcome.last_ms <= end_ms, "{outcome:?} {scene:?}");
    }
}

fn assert_completed(scene: Scene) {
    let outcome = run(scene);
    println!("{scene:?}: {outcome:?}");
    assert_eq!(outcome.finals.len(), 1, "{scene:?}");
    let (ms, state) = outcome.finals[0];
    assert_eq!(state, State::Completed, "{scene:?}");
    assert!(ms <= DURATION_MS, "{scene:?}");
    assert_eq!(outcome.cut, 0, "{scene:?}");
}

// Guards against hosts that together exceed a bound that each of them keeps, and against a decider that
// doesn't see what they see together.
#[test]
fn bad_version_is_reverted_at_each_size() {
    for hosts in [3, 24, 91, 295] {
        for bad in [0.1, 0.3, 1.0] {
            assert_reverted(Scene {
                hosts,
                bad,
                ..SCENE
            });
        }
    }
}

#[test]
fn bad_version_is_reverted_despite_trouble() {
    let scene = Scene {
        bad: 0.3,
        lost: 20,
        ..SCENE
    };
    assert_reverted(scene);
    assert_reverted(Scene {
        restarts: 1.0,
        ..scene
    });
    assert_reverted(Scene {
        isolated: 2,
        hosts: 3,
        bad: 1.0,
        ..scene
    });
    assert_reverted(Scene {
        moved_ms: Some(2_000),
        ..scene
    });
    assert_reverted(Scene {
        bad_from_ms: 3_500,
        ..scene
    });
}

#[test]
fn good_version_is_completed_at_each_size() {
    for hosts in [3, 24, 91, 295] {
        for rate in [350, 1, 0] {
            assert_completed(Scene {
                hosts,
                rate,
                ..SCENE
            });
        }
    }
}

#[test]
fn good_version_is_completed_despite_trouble() {
    let scene = Scene { lost: 20, ..SCENE };
    assert_completed(scene);
    assert_completed(Scene {
        restarts: 1.0,
        ..scene
    });
    assert_completed(Scene {
        isolated: 2,
        ..scene
    });
    for moved_ms in [3_000, 5_500, 7_000] {
        assert_completed(Scene {
            moved_ms: Some(moved_ms),
            ..scene
        });
    }
}
