use teaselchute::core::gateway::{
    quota::Group,
    rate::Limiter, //
};

use super::{
    at,
    names, //
};

fn group(own: &str, hosts: &[&str]) -> Group {
    Group::new(&own.into(), names(hosts).iter())
}

#[test]
fn allows_in_any_second() {
    let hosts = ["a", "b", "c"];
    let server = "s".into();
    let mut meters = hosts.map(|own| (Limiter::default(), group(own, &hosts)));
    let mut sent: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        for (meter, group) in &mut meters {
            if meter.allows(at(now), &server, 25.5, group) {
                meter.record(at(now), &server);
                sent.push(now);
            }
        }
    }
    let most = sent.iter().map(|&from| {
        let within = sent.iter().filter(|&&at| at >= from && at < from + 1_000);
        within.count()
    });
    assert_eq!(most.max(), Some(25), "all of the whole requests in 25.5");
}

#[test]
fn allows_all_without_a_limit() {
    let mut meter = Limiter::default();
    for _ in 0..1_000 {
        assert!(meter.allows(at(0), &"s".into(), 0.0, &group("a", &["b"])));
        meter.record(at(0), &"s".into());
    }
}

#[test]
fn sent_is_remembered_for_a_second_only() {
    // Nobody asks about a server without a limit, and its requests are counted all the same.
    let mut meter = Limiter::default();
    for now in 0..10_000 {
        meter.record(at(now), &"s".into());
    }
    assert_eq!(meter.recent_count("s"), 1_000);
}
