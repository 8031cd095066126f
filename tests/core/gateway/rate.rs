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
fn allows_within_any_window() {
    let hosts = ["a", "b", "c"];
    let server = "s".into();
    let mut limiters = hosts.map(|own| (Limiter::default(), group(own, &hosts)));
    let mut sent: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        for (limiter, group) in &mut limiters {
            if limiter.allows(at(now), &server, 25.5, group) {
                limiter.record(at(now), &server);
                sent.push(now);
            }
        }
    }
    let most = sent.iter().map(|&from| {
        let within = sent.iter().filter(|&&at| at >= from && at < from + 1_000);
        within.count()
    });
    assert_eq!(most.max(), Some(25), "25.5 is rounded down");
}

#[test]
fn allows_no_limit() {
    let mut limiter = Limiter::default();
    for _ in 0..1_000 {
        assert!(limiter.allows(at(0), &"s".into(), 0.0, &group("a", &["b"])));
        limiter.record(at(0), &"s".into());
    }
}

#[test]
fn record_evicts_old_requests() {
    // `allows` isn't called for a server without a limit, but its requests are recorded.
    let mut limiter = Limiter::default();
    for now in 0..10_000 {
        limiter.record(at(now), &"s".into());
    }
    assert_eq!(limiter.recent_count("s"), 1_000);
}
