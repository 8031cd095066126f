use teaselchute::{
    core::gateway::rollout::{
        Evidence,
        evidence::{
            Answer,
            Digest,
            MAX_DIGEST_BYTES, //
        },
        judgement::{
            self,
            Look,
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

const GOOD: Answer = Answer {
    failed: false,
    ms: Some(50),
};

fn evidence() -> Evidence {
    Evidence::open(window(&order("v2", 12_000, 1)))
}

fn answers(evidence: &Evidence) -> u64 {
    let cells = evidence.cells();
    cells.values().map(|pair| pair.target.answers).sum()
}

fn digest(count: u64) -> Digest {
    let mut host = evidence();
    for _ in 0..count {
        host.record(after(0), &"/a".into(), true, GOOD);
    }
    host.digest()
}

// Guards against answers that count twice since a host repeats or reorders its reports, and against those
// of a restarted host that are lost or replaced.
#[test]
fn merge_counts_each_answer_once() {
    let mut evidence = evidence();
    let host: Name = "host-1".into();
    let mut reporter = self::evidence();
    reporter.record(after(0), &"/a".into(), true, GOOD);
    let first = reporter.digest();
    reporter.record(after(1), &"/a".into(), true, GOOD);
    let second = reporter.digest();
    assert!(evidence.merge(&host, 1, second.clone()));
    assert!(!evidence.merge(&host, 1, second));
    assert!(!evidence.merge(&host, 1, first));
    assert_eq!(answers(&evidence), 2);
    // Its next process counts from zero.
    assert!(evidence.merge(&host, 2, digest(3)));
    assert_eq!(answers(&evidence), 5);
    assert!(evidence.merge(&"host-2".into(), 1, digest(1)));
    assert_eq!(answers(&evidence), 6);
}

// Guards against memory that grows with the restarts of hosts.
#[test]
fn merge_is_bounded() {
    let mut evidence = evidence();
    for incarnation in 0..2_000 {
        evidence.merge(&"host".into(), incarnation, digest(1));
    }
    assert_eq!(answers(&evidence), 1_024);
}

// Guards against digests that don't fit into a datagram, and answers that are left out of them.
#[test]
fn digest_is_bounded() {
    for routes in [1, 3, 8, 40] {
        let mut evidence = evidence();
        let mut count = 0;
        for ms in 0..12_000_u64 {
            let route = format!("/a/rather/long/route/of/a/service/{}", ms % routes).into();
            let latency = 10 + (ms * 7_919) % 3_000;
            let answer = Answer {
                failed: ms % 97 == 0,
                ms: Some(latency),
            };
            let is_target = ms % 10 == 0;
            evidence.record(after(ms), &route, is_target, answer);
            count += u64::from(is_target);
        }
        let digest = evidence.digest();
        assert!(digest.len() <= MAX_DIGEST_BYTES, "{}", digest.len());
        assert_eq!(digest.target_answers(), count, "{routes} routes");
    }
}

// Guards against memory that grows with the time of an order and with its routes.
#[test]
fn record_is_bounded() {
    let mut evidence = Evidence::open(window(&order("v2", 3_600_000, 1)));
    for second in 0..3_600 {
        let route = format!("/{}", second % 500).into();
        evidence.record(after(second * 1_000), &route, true, GOOD);
    }
    let cells = evidence.cells();
    assert!(cells.len() <= 9 * 13, "{}", cells.len());
    assert_eq!(answers(&evidence), 3_600);
}

// Guards against a fault that hosts see only together.
#[test]
fn merge_evidence_of_many_hosts() {
    let mut all = evidence();
    for host in 0..100 {
        let mut evidence = evidence();
        for i in 0..20 {
            let sent_at = after(host * 50 + i);
            let is_target = i < 2;
            let answer = Answer {
                failed: is_target && host % 4 == 0 && i == 0,
                ms: None,
            };
            evidence.record(sent_at, &"/a".into(), is_target, answer);
        }
        let verdict = judgement::judge(&evidence, Look::Last);
        assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
        all.merge(&format!("host-{host}").into(), 1, evidence.digest());
    }
    let verdict = judgement::judge(&all, Look::Repeated);
    assert!(matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
}

// Guards against an order that is older than the process of a host, or without a duration.
#[test]
fn open_any_window() {
    for (duration_ms, age_ms) in [(0, 0), (12_000, 1_000_000), (u64::MAX, 5)] {
        let order = order("v2", duration_ms, 1);
        let window = super::Window::open(after(0), &order, age_ms);
        let mut evidence = Evidence::open(window);
        evidence.record(after(0), &"/a".into(), true, GOOD);
        evidence.record(after(u64::from(u32::MAX)), &"/a".into(), true, GOOD);
        assert_eq!(answers(&evidence), 2);
        assert_eq!(evidence.digest().target_answers(), 2);
    }
}
