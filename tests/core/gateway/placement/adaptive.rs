//! Adaptive placement: by latency only while the speeds of servers differ.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::gateway::{
        balance::{
            Balancer,
            Request,
            Segment, //
        },
        placement::Sample,
        quota::Group,
        servers::Table, //
    },
    options::gateway::Placement,
};

use super::engine::{
    UNEQUAL,
    config, //
};
use crate::gateway::{
    at,
    entry, //
};

/// Number of servers.
const SERVERS: usize = 30;

/// Number of requests: about 30 for each server.
const REQUESTS: u64 = 900;

/// Returns the servers of 900 requests. Server `n` takes `factors[n % 3]` times as long as usual, and single
/// requests differ from that by up to `noise`.
fn placed_servers(placement: Placement, factors: [f64; 3], noise: f64) -> Vec<String> {
    let mut balancer = Balancer::default();
    balancer.configure(&config(&UNEQUAL), placement);
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut table = Table::default();
    for index in 0..SERVERS {
        let id = format!("s{index}");
        table.update(
            at(0),
            &id.as_str().into(),
            Some(entry(&id, "llm", "a")),
            false,
        );
    }
    let group = Group::default();
    let mut servers = Vec::new();
    for number in 0..REQUESTS {
        let now = at(1_000 + number * 40);
        let prompt = [Segment {
            id: format!("own-{number}").as_str().into(),
            tokens: rng.random_range(500..6_000_u64),
        }];
        let request = Request {
            service: "llm",
            prompt: &prompt,
            tried: &[],
            cold_requests_per_s: 0.0,
            group: &group,
            max_running: u32::MAX,
            local_hosts: 1,
            named_share: &|_| None,
            pause: &|_| None,
        };
        let mut assignment = balancer
            .place(now, &table, &request, &|_| true, &|_| true)
            .expect("there are servers");
        let index: usize = assignment.server[1..].parse().expect("the name ends so");
        let usual_ms = 50.0 + prompt[0].tokens as f64 * 0.03;
        let ms = usual_ms * factors[index % 3] * (1.0 + rng.random_range(-noise..noise));
        let first_event = now.after_ms(ms as u64);
        balancer.observe(first_event, &mut assignment, Sample::new(ms as u64, None));
        servers.push(assignment.server.to_string());
        balancer.complete(first_event.after_ms(20), assignment, false);
    }
    servers
}

/// Servers of equal speeds, or such that differ as those of earlier deployments do, must be used as before: a
/// third that takes 1.3 times as long, and single requests that differ by up to a third.
#[test]
fn place_even_servers_as_by_tokens() {
    for factors in [[1.0, 1.0, 1.0], [1.0, 1.0, 1.3]] {
        let adaptive = placed_servers(Placement::Adaptive, factors, 0.33);
        let tokens = placed_servers(Placement::Tokens, factors, 0.33);
        assert_eq!(adaptive, tokens, "{factors:?}");
    }
}

/// A slow third of the servers would go on to get a third of the requests.
#[test]
fn place_uneven_servers_by_speed() {
    let slow = |servers: &[String]| {
        let is_slow = |name: &&String| name[1..].parse::<usize>().is_ok_and(|it| it % 3 == 2);
        servers.iter().filter(is_slow).count()
    };
    let factors = [0.7, 0.7, 1.7];
    let adaptive = placed_servers(Placement::Adaptive, factors, 0.33);
    let tokens = placed_servers(Placement::Tokens, factors, 0.33);
    let half = REQUESTS as usize / 2;
    // By tokens every server gets its part.
    assert!(
        slow(&tokens[half..]) * 4 > half,
        "{}",
        slow(&tokens[half..])
    );
    assert!(
        slow(&adaptive[half..]) * 10 < half,
        "{}",
        slow(&adaptive[half..])
    );
}
