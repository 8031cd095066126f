use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::gateway::rollout::{
        Evidence,
        evidence::Answer,
        judgement::{
            self,
            ENOUGH,
            Look,
            Reason,
            STOP_BAD,
            Verdict, //
        },
    },
    names::Name,
};

use super::{
    after,
    order,
    window, //
};

const DURATION_MS: u64 = 12_000;

/// Time between looks, in milliseconds.
const LOOK_MS: u64 = 500;

/// False alarms that a rollout of a sound version may have: one in 500.
const MAX_ALARMS: f64 = 0.002;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    /// Fraction of the answers.
    part: f64,
    /// Factor by which they are slower, 0.0 for failures.
    slower: f64,
    /// When it begins, in milliseconds after the order.
    from_ms: u64,
    /// Index of the only route that has it.
    route: Option<usize>,
    /// Requests to the target within the last second from which it shows.
    load: u64,
}

/// Trouble that strikes all versions.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Half of the answers fail in one second of three.
    Failures,
    /// All answers are five times slower in one second of three.
    Slow,
    /// Each server is 2.5 times slower for 600 ms, 15% of the time.
    Spells,
    /// A server crashes with 8 requests, once for each version.
    Crash,
    /// Servers of different speeds, and those of the target are the slowest.
    Uneven,
    /// 2% of the answers are corrupted.
    Corruption,
}

/// Traffic of one rollout.
#[derive(Clone, Copy, Debug)]
struct Traffic {
    seed: u64,
    /// Requests per second.
    rate: u64,
    /// Spread of the latencies, as the standard deviation of their logarithm.
    spread: f64,
    trouble: Trouble,
    fault: Fault,
}

/// What was judged, and when.
struct Outcome {
    reason: Option<Reason>,
    answers: u64,
    ms: u64,
    /// Bad answers until then.
    bad: u64,
}

/// Latencies of the routes in milliseconds, and their parts of the requests.
const ROUTES: [(&str, f64, f64); 3] = [("/a", 40.0, 0.6), ("/b", 120.0, 0.3), ("/c", 400.0, 0.1)];

fn normal(random: &mut Pcg64Mcg) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}

impl Traffic {
    /// Runs the trial of a rollout, as long as the target isn't found to be bad.
    fn run(&self, end_ms: u64) -> Outcome {
        let random = &mut Pcg64Mcg::seed_from_u64(self.seed);
        let routes: Vec<Name> = ROUTES.iter().map(|route| route.0.into()).collect();
        let mut evidence = Evidence::open(window(&order("v2", DURATION_MS, 1)));
        let (mut sent, mut exposed, mut bad) = (0_u64, 0_u64, 0);
        let crash_ms = random.random_range(500..6_000);
        let shifts: Vec<u64> = (0..40).map(|_| random.random_range(0..4_000)).collect();
        let mut recent: Vec<u64> = Vec::new();
        for ms in 0..end_ms {
            if ms > 0
                && ms % LOOK_MS == 0
                && let Verdict::Bad(reason) = judgement::judge(&evidence, Look::Repeated)
            {
                return Outcome {
                    reason: Some(reason),
                    answers: exposed,
                    ms,
                    bad,
                };
            }
            if self.trouble == Trouble::Crash && (ms == crash_ms || ms == crash_ms + 700) {
                for _ in 0..8 {
                    let answer = Answer {
                        failed: true,
                        ms: None,
                    };
                    evidence.record(after(ms), &routes[0], ms == crash_ms, answer);
                }
            }
            if random.random::<f64>() >= self.rate as f64 / 1_000.0 {
                continue;
            }
            sent += 1;
            let is_target = exposed < sent * 7 / 100 + 25 && (exposed + 1) * 2 <= sent;
            exposed += u64::from(is_target);
            let point: f64 = random.random();
            let route = if point < ROUTES[0].2 {
                0
            } else {
                1 + usize::from(point >= ROUTES[0].2 + ROUTES[1].2)
            };
            let mut factor = (normal(random) * self.spread).exp();
            let mut failure = 0.005;
            // Two servers of the target, and 25 others.
            let server = if is_target {
                random.random_range(0..2_usize)
            } else {
                random.random_range(2..27)
            };
            match self.trouble {
                Trouble::Failures if (ms / 1_000).is_multiple_of(3) => failure = 0.5,
                Trouble::Slow if (ms / 1_000).is_multiple_of(3) => factor *= 5.0,
                Trouble::Spells if (ms + shifts[server]) % 4_000 < 600 => factor *= 2.5,
                Trouble::Uneven => {
                    factor *= if server % 3 < 2 && server > 1 {
                        0.7
                    } else {
                        1.7
                    }
                }
                Trouble::Corruption => failure = 0.02,
                _ => {}
            }
            recent.retain(|&at| ms - at < 1_000);
            if is_target {
                recent.push(ms);
            }
            let fault = &self.fault;
            let is_bad = is_target
                && fault.part > 0.0
                && ms >= fault.from_ms
                && fault.route.is_none_or(|it| it == route)
                && recent.len() as u64 >= fault.load
                && random.random::<f64>() < fault.part;
            bad += u64::from(is_bad);
            if is_bad && fault.slower == 0.0 {
                failure = 1.0;
            } else if is_bad {
                factor *= fault.slower;
            }
            let failed = random.random::<f64>() < failure;
            let latency = (ROUTES[route].1 * factor) as u64;
            let answer = Answer {
                failed,
                ms: (!failed).then_some(latency),
            };
            evidence.record(after(ms), &routes[route], is_target, answer);
        }
        Outcome {
            reason: None,
            answers: exposed,
            ms: end_ms,
            bad,
        }
    }
}

const TRAFFIC: Traffic = Traffic {
    seed: 0,
    rate: 350,
    spread: 0.3,
    trouble: Trouble::None,
    fault: Fault {
        part: 0.0,
        slower: 0.0,
        from_ms: 0,
        route: None,
        load: 0,
    },
};

/// Returns the number of false alarms in trials with different seeds.
fn alarms(traffic: Traffic, trials: u64) -> u64 {
    let alarm = |seed| Traffic { seed, ..traffic }.run(DURATION_MS).reason;
    let mut alarms = 0;
    for reason in (0..trials).filter_map(alarm) {
        println!("{traffic:?}: {reason:?}");
        alarms += 1;
    }
    println!(
        "{:?}, spread {}: {alarms} of {trials}",
        traffic.trouble, traffic.spread
    );
    alarms
}

fn assert_no_alarm(traffic: Traffic, trials: u64) {
    let alarms = alarms(traffic, trials);
    assert!(alarms as f64 <= trials as f64 * MAX_ALARMS, "{alarms}");
}

// Guards against good versions that are reverted by chance.
#[test]
fn judge_alike_narrow_latencies() {
    let spread = 0.1;
    assert_no_alarm(Traffic { spread, ..TRAFFIC }, 500);
}

#[test]
fn judge_alike_usual_latencies() {
    assert_no_alarm(TRAFFIC, 500);
}

#[test]
fn judge_alike_wide_latencies() {
    let spread = 0.8;
    assert_no_alarm(Traffic { spread, ..TRAFFIC }, 500);
}

// The tests of trouble guard against trouble of all versions that is taken for a fault of the target, whose
// requests are spread over time in another way than those of the others.
#[test]
fn judge_common_failures() {
    let trouble = Trouble::Failures;
    assert_no_alarm(Traffic { trouble, ..TRAFFIC }, 250);
}

#[test]
fn judge_common_slowness() {
    let trouble = Trouble::Slow;
    assert_no_alarm(Traffic { trouble, ..TRAFFIC }, 250);
}

#[test]
fn judge_slow_spells_of_servers() {
    let trouble = Trouble::Spells;
    assert_no_alarm(Traffic { trouble, ..TRAFFIC }, 250);
}

#[test]
fn judge_crash_of_each_version() {
    let trouble = Trouble::Crash;
    assert_no_alarm(Traffic { trouble, ..TRAFFIC }, 500);
}

#[test]
fn judge_uneven_servers() {
    let trouble = Trouble::Uneven;
    assert_no_alarm(Traffic { trouble, ..TRAFFIC }, 250);
}

#[test]
fn judge_corrupted_answers() {
    let trouble = Trouble::Corruption;
    assert_no_alarm(Traffic { trouble, ..TRAFFIC }, 250);
}

fn detect(name: &str, fault: Fault, trials: u64, min_part: f64) -> Vec<Outcome> {
    let traffic = Traffic { fault, ..TRAFFIC };
    let run = |seed| Traffic { seed, ..traffic }.run(DURATION_MS);
    let mut found: Vec<Outcome> = (0..trials)
        .map(run)
        .filter(|outcome| outcome.reason.is_some())
        .collect();
    found.sort_by_key(|outcome| outcome.answers);
    let middle = found.get(found.len() / 2);
    println!(
        "{name}: {} of {trials}, median {:?} answers, {:?} bad, {:?} ms",
        found.len(),
        middle.map(|outcome| outcome.answers),
        middle.map(|outcome| outcome.bad),
        middle.map(|outcome| outcome.ms),
    );
    let part = found.len() as f64 / trials as f64;
    assert!(part >= min_part, "{name}: {part}");
    found
}

// Guards against bad versions that aren't found, by kind.
#[test]
fn judge_finds_each_kind() {
    let failures = Fault {
        part: 0.1,
        ..Fault::default()
    };
    let slow = Fault {
        slower: 4.0,
        ..failures
    };
    for (name, fault) in [("failures", failures), ("slow", slow)] {
        let part = |part: f64| Fault { part, ..fault };
        let late = Fault {
            from_ms: 4_000,
            ..part(0.3)
        };
        let load = Fault {
            load: 20,
            ..part(0.3)
        };
        let route = Fault {
            route: Some(1),
            ..part(0.4)
        };
        let rare = Fault {
            route: Some(2),
            ..part(0.8)
        };
        detect(&format!("{name}, 10%"), part(0.1), 200, 0.97);
        detect(&format!("{name}, 30%"), part(0.3), 200, 0.99);
        detect(&format!("{name}, all"), part(1.0), 200, 0.99);
        detect(&format!("{name}, 30% after 4 s"), late, 200, 0.99);
        detect(&format!("{name}, 30% under load"), load, 200, 0.97);
        detect(&format!("{name}, 40% of one route"), route, 200, 0.97);
        detect(&format!("{name}, 80% of a rare route"), rare, 200, 0.97);
    }
}

// Guards against a version that is found to be sound before a bad one would show.
#[test]
fn judge_power_at_enough_answers() {
    let trials = 1_000;
    let mut missed = 0;
    for seed in 0..trials {
        let random = &mut Pcg64Mcg::seed_from_u64(seed);
        let mut evidence = Evidence::open(window(&order("v2", DURATION_MS, 1)));
        for i in 0..ENOUGH * 10 {
            let is_target = i % 10 == 0;
            let answer = Answer {
                failed: is_target && random.random_range(0..10) == 0,
                ms: Some(50),
            };
            let sent_at = after(i * 6_000 / (ENOUGH * 10));
            evidence.record(sent_at, &"/a".into(), is_target, answer);
        }
        let verdict = judgement::judge(&evidence, Look::Repeated);
        missed += u64::from(!matches!(verdict, Verdict::Bad(_)));
    }
    println!("missed {missed} of {trials}");
    assert!(missed * 100 <= trials, "{missed}");
}

fn record(evidence: &mut Evidence, ms: u64, is_target: bool, failed: u64, good: u64) {
    for i in 0..failed + good {
        let failed = i < failed;
        let answer = Answer {
            failed,
            ms: (!failed).then_some(50),
        };
        evidence.record(after(ms), &"/a".into(), is_target, answer);
    }
}

fn evidence() -> Evidence {
    Evidence::open(window(&order("v2", DURATION_MS, 1)))
}

// Guards against a host that waits for the decider while callers get failures, and against one that stops
// at trouble of both versions.
#[test]
fn must_stop_at_known_bad_answers() {
    let mut target = evidence();
    for second in 0..13 {
        record(&mut target, second * 1_000, false, 0, 30);
        record(&mut target, second * 1_000, true, 3, 0);
    }
    assert_eq!(judgement::must_stop(&target), None);
    record(&mut target, 0, true, 1, 0);
    assert!(matches!(
        judgement::must_stop(&target),
        Some(Reason::Failures(_))
    ));

    let mut both = evidence();
    record(&mut both, 0, false, 100, 0);
    record(&mut both, 0, true, 60, 0);
    assert_eq!(judgement::must_stop(&both), None);
}

#[test]
fn must_stop_at_slow_answers() {
    let mut evidence = evidence();
    record(&mut evidence, 0, false, 0, 200);
    for _ in 0..STOP_BAD {
        let answer = Answer {
            failed: false,
            ms: Some(200),
        };
        evidence.record(after(0), &"/a".into(), true, answer);
    }
    assert!(matches!(
        judgement::must_stop(&evidence),
        Some(Reason::Latency(_))
    ));
}

// Guards against one crash whose failures are taken for a faulty version.
#[test]
fn judge_single_burst_is_no_evidence() {
    let mut evidence = evidence();
    for second in 0..6 {
        record(&mut evidence, second * 1_000, false, 0, 200);
        record(&mut evidence, second * 1_000, true, 0, 20);
    }
    // The burst spans the end of a slice.
    record(&mut evidence, 2_900, true, 10, 0);
    record(&mut evidence, 3_000, true, 10, 0);
    let verdict = judgement::judge(&evidence, Look::Repeated);
    assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
    // Other failures follow.
    record(&mut evidence, 5_000, true, 4, 0);
    let verdict = judgement::judge(&evidence, Look::Repeated);
    assert!(matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

// Guards against answers of different times that are compared: the target gets more requests at the
// beginning, when all versions fail.
#[test]
fn judge_compares_same_time() {
    let mut evidence = evidence();
    for second in 0..6 {
        let is_disturbed = second < 3;
        let (others, target) = if is_disturbed {
            ((50, 50), (15, 15))
        } else {
            ((0, 300), (0, 2))
        };
        record(&mut evidence, second * 1_000, false, others.0, others.1);
        record(&mut evidence, second * 1_000, true, target.0, target.1);
    }
    let verdict = judgement::judge(&evidence, Look::Repeated);
    assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

// Guards against answers of different routes that are compared: the target gets more requests on the route
// that fails at all versions.
#[test]
fn judge_compares_same_route() {
    let mut evidence = evidence();
    for second in 0..6 {
        let mut record = |route: &str, is_target: bool, count: u64, failed: bool| {
            let answer = Answer { failed, ms: None };
            for _ in 0..count {
                evidence.record(after(second * 1_000), &route.into(), is_target, answer);
            }
        };
        record("/good", false, 100, false);
        record("/good", true, 5, false);
        record("/bad", false, 20, true);
        record("/bad", true, 10, true);
    }
    let verdict = judgement::judge(&evidence, Look::Repeated);
    assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

// Guards against a fault on one route that is lost in the failures of both versions on another one.
#[test]
fn judge_each_route_by_itself() {
    let mut evidence = evidence();
    for second in 0..6 {
        let mut record = |route: &str, is_target: bool, failed: u64, good: u64| {
            for i in 0..failed + good {
                let answer = Answer {
                    failed: i < failed,
                    ms: None,
                };
                evidence.record(after(second * 1_000), &route.into(), is_target, answer);
            }
        };
        record("/noisy", false, 150, 350);
        record("/noisy", true, 15, 35);
        record("/quiet", false, 0, 70);
        record("/quiet", true, 2, 5);
    }
    let verdict = judgement::judge(&evidence, Look::Repeated);
    let Verdict::Bad(Reason::Failures(difference)) = &verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(difference.route.as_deref(), Some("/quiet"));
}

// Guards against a fault that begins late and is outweighed by the good answers before.
#[test]
fn judge_newest_part_by_itself() {
    let mut evidence = evidence();
    for second in 0..12 {
        // Failures that callers get from all versions, until the middle.
        let failed = if second < 7 { 20 } else { 0 };
        record(&mut evidence, second * 1_000, false, failed * 10, 200);
        let failed = if second < 7 { failed / 2 } else { 2 };
        record(&mut evidence, second * 1_000, true, failed, 20);
    }
    let verdict = judgement::judge(&evidence, Look::Repeated);
    assert!(matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

// Guards against a bad version that is promoted after few answers, as at a low request rate.
#[test]
fn judge_last_look_needs_less() {
    let mut evidence = evidence();
    for second in 0..10 {
        record(&mut evidence, second * 1_000, false, 0, 8);
        record(&mut evidence, second * 1_000, true, second % 2, 1);
    }
    let is_bad = |look| matches!(judgement::judge(&evidence, look), Verdict::Bad(_));
    assert!(!is_bad(Look::Repeated));
    assert!(is_bad(Look::Last));
}

// Guards against a fault that begins when the target gets all requests, so that there is nothing to compare
// of the same time, and against trouble that ends soon.
#[test]
fn judge_sustained_fault_of_target_alone() {
    for (slices, is_bad) in [(2, false), (3, true)] {
        let mut evidence = evidence();
        for second in 0..6 {
            record(&mut evidence, second * 1_000, false, 3, 297);
            record(&mut evidence, second * 1_000, true, 0, 20);
        }
        for second in 6..6 + slices {
            record(&mut evidence, second * 1_000, true, 40, 260);
        }
        let verdict = judgement::judge(&evidence, Look::Repeated);
        assert_eq!(matches!(verdict, Verdict::Bad(_)), is_bad, "{verdict:?}");
    }
    // Trouble that the other versions had as well.
    let mut evidence = evidence();
    for second in 0..6 {
        let failed = if second == 3 { 40 } else { 3 };
        record(&mut evidence, second * 1_000, false, failed, 300 - failed);
        record(&mut evidence, second * 1_000, true, 0, 20);
    }
    for second in 6..10 {
        record(&mut evidence, second * 1_000, true, 40, 260);
    }
    let verdict = judgement::judge(&evidence, Look::Repeated);
    assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

#[test]
fn judge_sound_needs_enough_on_each_route() {
    let mut evidence = evidence();
    record(&mut evidence, 0, false, 0, ENOUGH * 10);
    record(&mut evidence, 0, true, 0, ENOUGH - 1);
    let answers = ENOUGH - 1;
    let undecided = |answers| Verdict::Undecided {
        answers,
        good: answers,
    };
    assert_eq!(
        judgement::judge(&evidence, Look::Repeated),
        undecided(answers)
    );
    record(&mut evidence, 0, true, 0, 1);
    assert_eq!(judgement::judge(&evidence, Look::Repeated), Verdict::Sound);
    // There is too little to compare with.
    let mut alone = self::evidence();
    record(&mut alone, 0, false, 0, ENOUGH - 1);
    record(&mut alone, 0, true, 0, ENOUGH);
    assert_eq!(judgement::judge(&alone, Look::Repeated), undecided(ENOUGH));
    // A second route with more than a twentieth of the answers.
    let answer = Answer {
        failed: false,
        ms: Some(50),
    };
    for _ in 0..20 {
        evidence.record(after(0), &"/b".into(), true, answer);
        evidence.record(after(0), &"/b".into(), false, answer);
    }
    assert_eq!(
        judgement::judge(&evidence, Look::Repeated),
        undecided(ENOUGH + 20)
    );
}
