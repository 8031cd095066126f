use teaselchute::core::gateway::rate::Meter;

use super::at;

#[test]
fn allows_in_any_second() {
    let mut meter = Meter::default();
    let server = "s".into();
    let mut sent: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        if meter.allows(at(now), &server, 25.5, 3) {
            meter.sent(at(now), &server);
            sent.push(now);
        }
    }
    let most = sent.iter().map(|&from| {
        let within = sent.iter().filter(|&&at| at >= from && at < from + 1_000);
        within.count()
    });
    assert_eq!(most.max(), Some(8), "a third of 25.5");
}

#[test]
fn allows_all_without_a_limit() {
    let mut meter = Meter::default();
    for _ in 0..1_000 {
        assert!(meter.allows(at(0), &"s".into(), 0.0, 9));
        meter.sent(at(0), &"s".into());
    }
}

#[test]
fn sent_is_remembered_for_a_second_only() {
    // Nobody asks about a server without a limit, and its requests are counted all the same.
    let mut meter = Meter::default();
    for now in 0..10_000 {
        meter.sent(at(now), &"s".into());
    }
    assert_eq!(meter.remembered("s"), 1_000);
}
